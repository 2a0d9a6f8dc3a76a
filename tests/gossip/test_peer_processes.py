"""Tests membership among real scheduler processes, with link faults injected between them by the simulator's links.

No test depends on timing: each waits until all instances report the expected membership, and then checks the reports
and logs up to that point. `bench/peers.py` measures the durations.
"""

from __future__ import annotations

import json
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from canvasbeam.cli.commands import cli
from canvasbeam.simulator.links import PeerFleet
from tests.support.peering import ManualLinks

NAMES = ("n0", "n1", "n2", "n3", "n4")


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[PeerFleet]:
    made = PeerFleet(len(NAMES) + 1, tmp_path)  # the last address stays unused
    held = ManualLinks(made.relay.links.zones)
    held.cuts = set()
    made.relay.links = held
    try:
        for name in NAMES:
            made.start(name)
        made.until(made.agree)
        yield made
    finally:
        made.close()


def links(fleet: PeerFleet) -> ManualLinks:
    assert isinstance(fleet.relay.links, ManualLinks)
    return fleet.relay.links


def row(fleet: PeerFleet, of: str, name: str) -> dict[str, object]:
    found = [item for item in fleet.members[of].told["members"] if item["name"] == name]
    return dict(found[0])


def is_unanswered(told: dict[str, Any]) -> bool:
    """Return True if an instance reports that it receives datagrams but that its pings remain unanswered."""
    return told["unanswered_s"] is not None and told["silent_s"] is None


def test_kill_return_and_planned_end_are_known_to_all(fleet: PeerFleet) -> None:
    fleet.signal("n1", signal.SIGKILL)
    fleet.until(lambda: fleet.all_know_gone("n1"))
    assert {row(fleet, name, "n1")["state"] for name in NAMES if name != "n1"} == {"dead"}
    fleet.start("n1", clock_s=-3600)  # restarted without state, with its clock one hour behind
    fleet.until(fleet.agree)
    # The slow clock gives n1 a lower start time than its earlier process had, so n1 announces a higher start time.
    assert fleet.counted("an earlier process of this name started later by its clock") == 1
    fleet.signal("n0", signal.SIGTERM)  # n0 is a seed
    fleet.until(lambda: fleet.all_know_gone("n0"))
    assert {row(fleet, name, "n0")["state"] for name in NAMES if name != "n0"} == {"left"}
    done = CliRunner().invoke(cli, ["peers", "{}:{}".format(*fleet.members["n2"].mgmt), "--json"])
    assert json.loads(done.output)["gone"] == ["n0"]


def test_a_fleet_in_two_parts_goes_on_and_heals(fleet: PeerFleet) -> None:
    few, many = ("n0", "n1"), ("n2", "n3", "n4")
    links(fleet).cuts = {pair for one in few for other in many for pair in ((one, other), (other, one))}
    fleet.until(lambda: all(fleet.view(item) == list(few) for item in few))
    fleet.until(lambda: all(fleet.view(item) == list(many) for item in many))
    links(fleet).cuts.clear()
    fleet.until(fleet.agree)
    # No instance may declare a member of its own part of the partition dead.
    for name in NAMES:
        part = few if name in few else many
        log = (fleet.folder / f"{name}.log").read_text()
        assert not [element for element in part if f"member {element}: dead" in log], log


def test_who_hears_nobody_says_so_while_the_others_hear_it(fleet: PeerFleet) -> None:
    links(fleet).cuts = {(name, "n3") for name in NAMES if name != "n3"}
    fleet.until(lambda: fleet.members["n3"].told["silent_s"] is not None)
    assert fleet.members["n3"].told["sure"] == 0
    assert len(fleet.view("n3")) == len(NAMES)  # n3 considers itself cut off before it declares others dead
    fleet.until(lambda: fleet.all_know_gone("n3"))  # n3 answers no ping
    links(fleet).cuts.clear()
    fleet.until(fleet.agree)
    assert not fleet.counted("nothing heard at all")


def test_who_is_heard_by_nobody_says_so_and_calls_nobody_dead(fleet: PeerFleet) -> None:
    links(fleet).cuts = {("n3", name) for name in NAMES if name != "n3"}
    fleet.until(lambda: fleet.all_know_gone("n3"))
    # n3 still receives the pings of the others.
    fleet.until(lambda: is_unanswered(fleet.members["n3"].told))
    assert fleet.members["n3"].told["sure"] == 0
    assert fleet.members["n0"].told["unanswered_s"] is None
    done = CliRunner().invoke(cli, ["peers", "{}:{}".format(*fleet.members["n3"].mgmt)])
    assert "hears others, and has been answered by nobody for" in done.output
    links(fleet).cuts.clear()
    fleet.until(fleet.agree)
    assert ": dead, before" not in (fleet.folder / "n3.log").read_text()


def test_who_was_stopped_wakes_and_calls_nobody_dead(fleet: PeerFleet) -> None:
    fleet.signal("n2", signal.SIGSTOP)
    fleet.until(lambda: fleet.all_know_gone("n2"))
    before = (fleet.folder / "n2.log").read_text()
    fleet.signal("n2", signal.SIGCONT)
    fleet.until(fleet.agree)
    said = (fleet.folder / "n2.log").read_text()[len(before) :]
    assert "incarnation" in said  # n2 received the report of its death and refuted it
    assert ": dead, before" not in said


def test_a_rough_network_kills_nobody(fleet: PeerFleet) -> None:
    held = links(fleet)
    held.loss, held.doubled, held.late_ms = 0.2, 0.3, 20.0
    fleet.until(lambda: min(fleet.members[name].told["taken"]["datagrams"] for name in NAMES) > 150)
    dropped = [fleet.members[name].told["dropped"] for name in NAMES]
    assert all(drop["replayed"] > 0 for drop in dropped)
    held.loss = held.doubled = held.late_ms = 0.0
    fleet.until(fleet.agree)
    assert not fleet.counted(": dead, before")


def test_of_two_processes_with_one_name_the_newer_is_the_member(fleet: PeerFleet) -> None:
    fleet.start("n5", called="n1")
    fleet.until(lambda: fleet.members["n1"].told["me"]["state"] == "displaced")
    address = fleet.relay.known("n5")
    fleet.until(lambda: all(row(fleet, name, "n1")["address"] == address for name in ("n0", "n2", "n3", "n4")))
    assert fleet.members["n5"].told["me"]["state"] == "member"
    assert "a newer process of this name answers" in (fleet.folder / "n1.log").read_text()
