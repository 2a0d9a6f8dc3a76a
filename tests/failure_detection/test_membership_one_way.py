"""One-way partitions in simulated time: an instance whose pings nobody answers declares no member dead.

Contact means an answered ping, and its time is the sending of that ping. `DeclaresWithoutContact` is the former, faulty
rule: a datagram received from one other member counted as contact.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim import (
    Datagram,
    DatagramKind,
    DatagramReceived,
    Member,
    Membership,
    MembershipView,
    MemberUpdate,
    SendDatagram,
    Sender,
    SwimParameters,
)
from canvasbeam.failure_detection.swim.suspicion import SuspicionRules
from canvasbeam.simulator.model.units import MS, SECOND
from tests.support.peering import Fleet, with_parts

NAMES = ("n0", "n1", "n2", "n3", "n4")
CUT_S = 20.0


class DeclaresWithoutContact(SuspicionRules):
    """Planted fault: counts any received datagram as contact with the fleet."""

    def may_declare_dead(self, member: Member, now: int) -> bool:
        received_at = self._reachability.last_received_at
        return received_at > member.since and now - received_at < self._parameters.min_suspicion


DECLARES_WITHOUT_CONTACT = with_parts(SuspicionRules=DeclaresWithoutContact)


def start_fleet(seed: int, make: Callable[..., Membership] = Membership) -> Fleet:
    fleet = Fleet(len(NAMES), make, seed)
    for name in NAMES:
        fleet.start(name)
    assert fleet.until(fleet.agree, 10) < 10
    return fleet


def cut_outgoing(fleet: Fleet, name: str, receives_from: tuple[str, ...] = NAMES) -> None:
    """Drop all datagrams from the instance `name`; only the members in `receives_from` still reach the instance."""
    for other in NAMES:
        if other != name:
            fleet.cut(name, other, both=other not in receives_from)


def view(fleet: Fleet, name: str) -> MembershipView:
    each = fleet.instances[name]
    assert each.members is not None
    return each.members.view(fleet.now + each.base)


def deaths_by(fleet: Fleet, name: str) -> list[str]:
    return [seen.name for seen in fleet.seen if seen.by == name and seen.after == "dead"]


@pytest.mark.parametrize("receives_from", [NAMES, ("n0",), ("n2", "n4")])
@pytest.mark.parametrize("seed", range(5))
def test_instance_whose_datagrams_are_lost_declares_no_deaths(seed: int, receives_from: tuple[str, ...]) -> None:
    fleet = start_fleet(seed)
    cut_outgoing(fleet, "n1", receives_from)
    fleet.run(CUT_S)
    assert deaths_by(fleet, "n1") == []
    assert fleet.all_know_gone("n1")
    assert {name for name in NAMES if name != "n1" and deaths_by(fleet, name) == ["n1"]} == set(NAMES) - {"n1"}
    fleet.heal()
    assert fleet.until(fleet.agree, 10) < 3
    assert deaths_by(fleet, "n1") == []


def test_instance_whose_datagrams_are_lost_reports_unanswered_since() -> None:
    fleet = start_fleet(1)
    cut_at = fleet.now
    cut_outgoing(fleet, "n1")
    fleet.run(CUT_S)
    actions = view(fleet, "n1")
    base = fleet.instances["n1"].base
    assert (actions.confidence, actions.nothing_received_since) == (0.0, None)
    assert actions.unanswered_since is not None
    assert cut_at - SECOND < actions.unanswered_since - base <= cut_at
    assert view(fleet, "n0").unanswered_since is None
    fleet.heal()
    assert fleet.until(fleet.agree, 10) < 3
    assert view(fleet, "n1").unanswered_since is None


def test_declaring_deaths_without_contact_is_detected() -> None:
    found = []
    for seed in range(5):
        fleet = start_fleet(seed, DECLARES_WITHOUT_CONTACT)
        cut_outgoing(fleet, "n1", ("n0",))
        fleet.run(CUT_S)
        found += deaths_by(fleet, "n1")
    assert set(found) <= set(NAMES) - {"n0"}
    assert found


# --- one instance, by hand ----------------------------------------------------------------------------

OTHER = Sender("m0", 1, 0, "127.0.0.2:1000")


def verification_ping_number(instance: Membership, now: int) -> int:
    """Return the number of the ping with which this instance verifies the unknown sender `OTHER`."""
    actions = instance.handle(now, [DatagramReceived(OTHER, Datagram(DatagramKind.PING, 5))])
    (ping,) = [item for item in actions if isinstance(item, SendDatagram) and item.datagram.kind is DatagramKind.PING]
    return ping.datagram.number


def test_contact_counts_from_sending_of_answered_ping() -> None:
    instance = Membership(Sender("n0", 100, 0, "127.0.0.1:1"), (), SwimParameters(ping_interval=60 * SECOND), 1, SECOND)
    number = verification_ping_number(instance, SECOND)
    instance.handle(SECOND + 200 * MS, [DatagramReceived(OTHER, Datagram(DatagramKind.ACK, number))])
    instance.handle(
        SECOND + instance.parameters.answer_timeout, [DatagramReceived(OTHER, Datagram(DatagramKind.UPDATES))]
    )
    assert instance.view(SECOND + instance.parameters.answer_timeout).unanswered_since is None
    # Datagrams of the other member still arrive.
    later = instance.view(SECOND + instance.parameters.answer_timeout + MS)
    assert (later.nothing_received_since, later.unanswered_since, later.confidence) == (None, SECOND, 0.0)


def test_old_answer_does_not_allow_declaring_deaths() -> None:
    """Guards against an instance that declares a death although its last answered ping is too old.

    The suspicion lasts long because its member keeps sending datagrams, while no ping is answered any more.
    """
    instance = Membership(Sender("n0", 100, 0, "127.0.0.1:1"), (), SwimParameters(ping_interval=60 * SECOND), 1, SECOND)
    number = verification_ping_number(instance, SECOND)
    instance.handle(SECOND, [DatagramReceived(OTHER, Datagram(DatagramKind.ACK, number))])
    suspect = MemberUpdate("m1", "127.0.0.2:1001", MemberStatus.SUSPECT, 1, 0, "m0")
    instance.handle(SECOND, [DatagramReceived(OTHER, Datagram(DatagramKind.UPDATES, updates=(suspect,)))])
    instance.reachability.confirm(SECOND + MS)
    speaks = DatagramReceived(Sender("m1", 1, 0, suspect.address), Datagram(DatagramKind.UPDATES))
    suspicion_extended_until = SECOND + 4 * SECOND
    for now in range(SECOND + 50 * MS, suspicion_extended_until, 50 * MS):
        instance.handle(now, [DatagramReceived(OTHER, Datagram(DatagramKind.UPDATES)), speaks])
    for now in range(suspicion_extended_until, suspicion_extended_until + 4 * SECOND, 50 * MS):
        instance.handle(now, [DatagramReceived(OTHER, Datagram(DatagramKind.UPDATES))])
        assert instance.members["m1"].known.status is MemberStatus.SUSPECT
