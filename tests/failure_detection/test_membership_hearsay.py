"""Deaths by hearsay: after a partition heals, no member that answers within the suspicion time-out is declared dead.

After a partition each side has declared the other dead. The death updates arrive late, and more than once, at instances
whose own information is newer. `EarlyHearsay` is the former, faulty rule: a member that was suspect for a quarter of a
second was declared dead at the next death update, however recently the member itself had sent a datagram.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim import (
    Datagram,
    DatagramKind,
    DatagramReceived,
    Membership,
    MemberUpdate,
    SendDatagram,
    Sender,
    SwimParameters,
    Ticked,
)
from canvasbeam.failure_detection.swim.member_updates import MemberUpdates
from canvasbeam.simulator.model.units import MS, SECOND
from canvasbeam.simulator.peers_sim import Seen
from tests.support.peering import Fleet, run_history, with_parts

SMALL_PART, LARGE_PART = ("n0", "n1"), ("n2", "n3", "n4")


class EarlyHearsay(MemberUpdates):
    """Planted fault: accepts a death by hearsay after half of the minimum suspicion time-out."""

    def apply(self, now: int, update: MemberUpdate, source: str) -> None:
        member = self._members.get(update.name)
        if member is not None and update.status is MemberStatus.DEAD and member.known.status is MemberStatus.SUSPECT:
            same = (update.start, update.incarnation) == (member.known.start, member.known.incarnation)
            if same and now - member.since >= self._parameters.min_suspicion // 2:
                self.set_known(now, member, update, f"told by {source}")
                return
        super().apply(now, update, source)


WITH_EARLY_HEARSAY = with_parts(MemberUpdates=EarlyHearsay)


class FleetWithoutDeathCheck(Fleet):
    """Fleet without the referee's check of deaths, which tolerates deaths for six seconds after a cut."""

    def _check_death(self, each: object, change: object) -> None:
        pass


def deaths_within_parts_after_heal(
    seed: int, stall_s: float, make: Callable[..., Membership] = Membership
) -> list[Seen]:
    """Heal a partition while one instance is stalled; return the deaths that a member of the same part declared."""
    fleet = FleetWithoutDeathCheck(len(SMALL_PART + LARGE_PART), make, seed)
    for name in fleet.instances:
        fleet.start(name)
    assert fleet.until(fleet.agree, 10) < 10
    for one in SMALL_PART:
        for other in LARGE_PART:
            fleet.cut(one, other)
    parted = fleet.until(
        lambda: all(
            fleet.view(name) == (SMALL_PART if name in SMALL_PART else LARGE_PART) for name in SMALL_PART + LARGE_PART
        ),
        20,
    )
    assert parted < 20
    healed = fleet.now
    fleet.heal()
    fleet.stop("n3")
    fleet.run(stall_s)
    fleet.go_on("n3")
    assert fleet.until(fleet.agree, 20) < 20
    deaths = [seen for seen in fleet.seen if seen.after == "dead" and seen.at_ns >= healed]
    return [seen for seen in deaths if (seen.name in SMALL_PART) is (seen.by in SMALL_PART)]


@pytest.mark.parametrize("stall_s", [0.0, 0.2, 0.4])
def test_heal_causes_no_death_of_member_stalled_below_minimum_suspicion(stall_s: float) -> None:
    assert SwimParameters().min_suspicion > stall_s * SECOND
    assert [death for seed in range(40) for death in deaths_within_parts_after_heal(seed, stall_s)] == []


def test_early_hearsay_is_detected_after_heal() -> None:
    assert [death for seed in range(40) for death in deaths_within_parts_after_heal(seed, 0.4, WITH_EARLY_HEARSAY)]


@pytest.mark.parametrize("seed", [42, 300, 384])
def test_formerly_failing_histories_of_six_keep_rules(seed: int) -> None:
    run_history(seed, count=6)


# --- one instance, by hand ----------------------------------------------------------------------------


ADDRESSES = {"m0": "127.0.0.2:1000", "m1": "127.0.0.2:1001"}


def datagram_from(sender_name: str, incarnation: int = 0, *updates: MemberUpdate) -> DatagramReceived:
    return DatagramReceived(
        Sender(sender_name, 1, incarnation, ADDRESSES[sender_name]), Datagram(DatagramKind.UPDATES, updates=updates)
    )


def update_of_m1(status: MemberStatus, incarnation: int = 0, by: str = "") -> MemberUpdate:
    return MemberUpdate("m1", ADDRESSES["m1"], status, 1, incarnation, by)


def with_two_members(make: Callable[..., Membership] = Membership) -> Membership:
    """Return an instance with the members `m0` and `m1`, known since the first second.

    The instance sends no pings, so that no missed answer lowers its local health (Lifeguard).
    """
    instance = make(Sender("n0", 100, 0, "127.0.0.1:1"), (), SwimParameters(ping_interval=60 * SECOND), 1, SECOND)
    for name, address in ADDRESSES.items():
        instance.updates.apply(SECOND, MemberUpdate(name, address, MemberStatus.ALIVE, 1, 0), name)
    instance.on_received(SECOND, datagram_from("m0").sender, Datagram(DatagramKind.UPDATES))
    return instance


def test_repeated_death_updates_do_not_kill_member_that_sends() -> None:
    instance = with_two_members()
    for step in range(1, 30):
        now = SECOND + step * 100 * MS
        instance.handle(now, [datagram_from("m0", 0, update_of_m1(MemberStatus.DEAD)), datagram_from("m1")])
        assert instance.members["m1"].known.status is MemberStatus.SUSPECT


def test_repeated_death_updates_kill_sending_member_under_early_hearsay() -> None:
    instance = with_two_members(WITH_EARLY_HEARSAY)
    for step in range(1, 30):
        instance.handle(
            SECOND + step * 100 * MS, [datagram_from("m0", 0, update_of_m1(MemberStatus.DEAD)), datagram_from("m1")]
        )
    assert instance.members["m1"].known.status is MemberStatus.DEAD


def test_member_reported_dead_is_notified_and_its_refutation_prevails() -> None:
    instance = with_two_members()
    now = SECOND + 100 * MS
    actions = instance.handle(now, [datagram_from("m0", 0, update_of_m1(MemberStatus.DEAD))])
    notifications = [
        action.datagram for action in actions if isinstance(action, SendDatagram) and action.address == ADDRESSES["m1"]
    ]
    assert update_of_m1(MemberStatus.SUSPECT, by="m0") in [
        update for datagram in notifications for update in datagram.updates
    ]
    instance.handle(now + MS, [datagram_from("m1", 1)])
    instance.handle(now + 400 * MS, [datagram_from("m0", 0, update_of_m1(MemberStatus.DEAD))])
    assert (instance.members["m1"].known.status, instance.members["m1"].known.incarnation) == (MemberStatus.ALIVE, 1)


def deliver_with_contact(instance: Membership, now: int, *events: DatagramReceived) -> None:
    """Deliver a datagram and a recent ping answer of another member, so that this instance may declare deaths."""
    instance.reachability.confirm(now - MS)
    instance.handle(now, [datagram_from("m0"), *events])


def suspicion_of_m1(incarnation: int = 0) -> DatagramReceived:
    return datagram_from("m0", 0, update_of_m1(MemberStatus.SUSPECT, incarnation, "m0"))


def test_suspicion_expires_while_other_member_answers() -> None:
    instance = with_two_members()
    deliver_with_contact(instance, SECOND, suspicion_of_m1())
    for now in range(SECOND, SECOND + instance.parameters.max_suspicion + 100 * MS, 50 * MS):
        deliver_with_contact(instance, now)
    assert instance.members["m1"].known.status is MemberStatus.DEAD


def test_suspicion_of_newer_incarnation_lasts_full_timeout() -> None:
    """Guards against a suspicion of a newer incarnation that inherits the elapsed time of the older suspicion.

    The fault needs a member that refuted the older suspicion with a refutation that was lost on its way here.
    """
    instance = with_two_members()
    deliver_with_contact(instance, SECOND, suspicion_of_m1())
    renewed = SECOND + 900 * MS
    for now in range(SECOND + 50 * MS, renewed, 50 * MS):
        deliver_with_contact(instance, now)
    assert instance.members["m1"].known.status is MemberStatus.SUSPECT
    deliver_with_contact(instance, renewed, suspicion_of_m1(incarnation=1))
    for now in range(renewed, renewed + instance.parameters.min_suspicion, 50 * MS):
        deliver_with_contact(instance, now)
        assert instance.members["m1"].known.status is MemberStatus.SUSPECT


def test_death_of_newer_incarnation_becomes_suspicion() -> None:
    instance = with_two_members()
    deliver_with_contact(instance, SECOND, suspicion_of_m1())
    later = SECOND + 700 * MS
    for now in range(SECOND + 50 * MS, later, 50 * MS):
        deliver_with_contact(instance, now)
    deliver_with_contact(instance, later, datagram_from("m0", 0, update_of_m1(MemberStatus.DEAD, incarnation=1)))
    assert (instance.members["m1"].known.status, instance.members["m1"].known.incarnation) == (MemberStatus.SUSPECT, 1)


def test_suspicion_restarts_after_instance_was_cut_off() -> None:
    """Guards against a death declared right after the instance receives again.

    While the instance was cut off, no refutation of the suspicion could arrive.
    """
    instance = with_two_members()
    deliver_with_contact(instance, SECOND, suspicion_of_m1())
    heard_again = SECOND + instance.parameters.receive_timeout + 500 * MS
    for now in range(SECOND + 50 * MS, heard_again, 50 * MS):
        instance.handle(now, [Ticked()])
    for now in range(heard_again, heard_again + instance.parameters.min_suspicion, 50 * MS):
        deliver_with_contact(instance, now)
        assert instance.members["m1"].known.status is MemberStatus.SUSPECT
