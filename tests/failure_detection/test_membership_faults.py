"""SWIM membership of a simulated fleet, one fault at a time: crash, partition, stall, clock step, datagram loss."""

from __future__ import annotations

from typing import Any

import pytest

from canvasbeam.failure_detection.swim import (
    Membership,
    OwnState,
    Sender,
    Ticked,
)
from canvasbeam.simulator.model.links import LinkFault
from canvasbeam.simulator.model.units import SECOND
from canvasbeam.simulator.peers_sim import PeerWorld


def start_fleet(count: int, *faults: LinkFault, **more: Any) -> PeerWorld:
    """Start all instances within a second and wait until their membership views agree."""
    world = PeerWorld(count, faults=faults, **more)
    world.start_all()
    world.run(1.01)
    assert world.until(world.agree, 10) < 10
    return world


@pytest.mark.parametrize("count", [3, 5, 40])
def test_killed_instance_is_detected_within_two_seconds_and_rejoins(count: int) -> None:
    world = start_fleet(count)
    for name in ("n0", "n2", "n1"):
        world.kill(name)
        assert world.until(lambda name=name: world.all_know_gone(name), 5) < 2  # type: ignore[misc]
        world.start(name)
        assert world.until(world.agree, 5) < 2


def test_leaving_instance_is_removed_within_300_ms() -> None:
    world = start_fleet(40)
    world.leave("n7")
    assert world.until(lambda: world.all_know_gone("n7"), 5) < 0.3
    assert not world.false_deaths()


@pytest.mark.parametrize(("count", "parts"), [(5, 2), (12, 3), (40, 2)])
def test_one_minute_partition_heals_without_deaths_within_a_side(count: int, parts: int) -> None:
    world = start_fleet(count, LinkFault(kind="cut", at_s=10, for_s=60, parts=parts))
    world.run(70.01 - world.now / SECOND)
    reaches = world.links.hears
    for seen in world.seen:
        if seen.after == "dead" and seen.name != seen.by:
            assert not reaches(20 * SECOND, seen.name, seen.by), seen
    healed = world.now
    assert world.until(world.agree, 10) < 2
    assert not world.false_deaths(healed)


def test_link_cut_in_one_direction_causes_no_deaths() -> None:
    world = start_fleet(5, LinkFault(kind="cut", at_s=5, for_s=60, of=("n1",), to=("n2",), one_way=True))
    world.run(65)
    assert not world.false_deaths()


def test_instance_that_receives_nothing_reports_so_and_declares_no_deaths() -> None:
    others = tuple(f"n{place}" for place in range(8) if place != 1)
    world = start_fleet(8, LinkFault(kind="cut", at_s=5, for_s=8, of=others, one_way=True, to=("n1",)))
    world.run(10 - world.now / SECOND)
    each = world.instances["n1"]
    assert each.members is not None
    view = each.members.view(world.now + each.base)
    assert (view.confidence, len(view.present)) == (0.0, 8)
    assert view.nothing_received_since is not None
    assert 4.5 * SECOND < world.now + each.base - view.nothing_received_since < 5.5 * SECOND
    world.run(8)
    assert not [seen for seen in world.false_deaths() if seen.by == "n1"]
    assert world.until(world.agree, 5) < 2


def test_last_of_two_instances_declares_other_dead_only_after_nine_seconds() -> None:
    world = start_fleet(2)
    world.kill("n0")
    took = world.until(lambda: world.all_know_gone("n0"), 30)
    assert 9 < took < 14


def test_instance_resumed_after_20_seconds_declares_no_deaths() -> None:
    world = start_fleet(5)
    world.stop("n1")
    assert world.until(lambda: world.all_know_gone("n1"), 5) < 2
    world.run(20)
    woken = world.now
    world.go_on("n1")
    assert world.until(world.agree, 5) < 2
    assert not world.false_deaths(woken)


def test_restart_with_clock_set_back_reclaims_name() -> None:
    """Guards against a restarted process whose lower start time makes its updates look older than its previous run."""
    world = start_fleet(5)
    for clock in (-3600.0, -7200.0, 3600.0, 0.0):
        world.kill("n1")
        world.run(0.2)  # too short for any instance to detect the crash
        world.start("n1", clock)
        assert world.until(world.agree, 10) < 2, clock


def test_older_of_two_processes_with_one_name_is_displaced() -> None:
    """Guards against two live processes that are both members under one name."""
    world = start_fleet(5)
    old = world.instances["n1"]
    assert old.members is not None
    twin = world.instances["n1b"] = type(old)("n1b", "127.78.9.9:7000")
    world._by_address[twin.address] = twin
    world.links.zones["n1b"] = "z0"  # type: ignore[index]
    twin.starts, twin.base = 1, 77 * SECOND
    me = Sender("n1", old.members.start + 5_000, 0, twin.address)
    twin.members = Membership(me, world._seeds, world.terms, 5, world.now + twin.base)
    world._give(twin, 1, Ticked())
    took = world.until(lambda: old.members is not None and old.members.own_state is OwnState.DISPLACED, 10)
    assert took < 5
    world.run(3)
    assert twin.members.own_state is OwnState.MEMBER
    for name in ("n0", "n2", "n3", "n4"):
        members = world.instances[name].members
        assert members is not None
        assert members.members["n1"].known.address == twin.address
    twin.members = None  # the newer process ends, and the displaced process becomes the member again
    assert world.until(lambda: old.members is not None and old.members.own_state is OwnState.MEMBER, 20) < 20


def test_fleet_without_live_seeds_finds_restarted_members() -> None:
    world = start_fleet(6)
    for name in ("n0", "n1", "n2"):
        world.kill(name)
    world.kill("n5")
    world.run(5)
    assert world.agree()  # instances that are already members need no seed
    world.start("n5")  # all its configured seeds are dead, but the other instances ping dead members now and then
    assert world.until(world.agree, 10) < 5
    world.start("n2")
    assert world.until(world.agree, 10) < 5


def test_left_instance_rejoins_without_live_seeds() -> None:
    world = start_fleet(6)
    for name in ("n0", "n1", "n2"):
        world.kill(name)
    world.leave("n5")
    world.run(5)
    assert world.agree()
    world.start("n5")
    assert world.until(world.agree, 20) < 10


def test_two_hundred_instances_started_within_a_second_find_each_other() -> None:
    world = PeerWorld(200)
    world.start_all()
    world.run(1.01)
    assert world.until(world.agree, 10, 0.1) < 5


def test_overloaded_machine_causes_few_suspicions_and_no_deaths() -> None:
    """Guards against mass suspicions on a machine where every process runs late."""
    world = start_fleet(5)
    world.cpu = 0.25
    world.run(30)
    assert not world.false_deaths()
    assert sum(seen.after == "suspect" for seen in world.seen) < 10


def test_twenty_percent_datagram_loss_causes_no_deaths() -> None:
    world = start_fleet(5, LinkFault(kind="lose", at_s=2, for_s=60, size=0.2))
    world.run(61)
    assert not world.false_deaths()


def test_flapping_link_ends_in_agreement() -> None:
    world = start_fleet(5, LinkFault(kind="cut", at_s=2, for_s=30, part=0.2, flap_s=1))
    world.run(32 - world.now / SECOND + 0.01)
    assert world.until(world.agree, 10) < 3


def test_idle_send_rate_is_independent_of_fleet_size() -> None:
    rates = []
    for count in (5, 40):
        world = start_fleet(count)
        world.run(5)
        before = sum(world.sent.values())
        world.run(5)
        rates.append((sum(world.sent.values()) - before) / count / 5)
    assert max(rates) < 1.2 * min(rates)
    assert max(rates) < 25
