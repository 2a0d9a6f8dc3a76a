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


JUDGES_WITHOUT_CONTACT = with_parts(SuspicionRules=DeclaresWithoutContact)


def joined(seed: int, make: Callable[..., Membership] = Membership) -> Fleet:
    fleet = Fleet(len(NAMES), make, seed)
    for name in NAMES:
        fleet.start(name)
    assert fleet.until(fleet.agree, 10) < 10
    return fleet


def mute(fleet: Fleet, name: str, heard: tuple[str, ...] = NAMES) -> None:
    """Drop all datagrams from the instance `name`; only the members in `heard` still reach the instance."""
    for other in NAMES:
        if other != name:
            fleet.cut(name, other, both=other not in heard)


def view(fleet: Fleet, name: str) -> MembershipView:
    each = fleet.instances[name]
    assert each.members is not None
    return each.members.view(fleet.now + each.base)


def deaths_by(fleet: Fleet, name: str) -> list[str]:
    return [seen.name for seen in fleet.seen if seen.by == name and seen.after == "dead"]


@pytest.mark.parametrize("heard", [NAMES, ("n0",), ("n2", "n4")])
@pytest.mark.parametrize("seed", range(5))
def test_who_is_heard_by_nobody_calls_nobody_dead(seed: int, heard: tuple[str, ...]) -> None:
    fleet = joined(seed)
    mute(fleet, "n1", heard)
    fleet.run(CUT_S)
    assert deaths_by(fleet, "n1") == []
    assert fleet.all_know_gone("n1")
    assert {name for name in NAMES if name != "n1" and deaths_by(fleet, name) == ["n1"]} == set(NAMES) - {"n1"}
    fleet.heal()
    assert fleet.until(fleet.agree, 10) < 3
    assert deaths_by(fleet, "n1") == []


def test_who_is_heard_by_nobody_says_since_when_it_was_not_answered() -> None:
    fleet = joined(1)
    cut_at = fleet.now
    mute(fleet, "n1")
    fleet.run(CUT_S)
    told = view(fleet, "n1")
    base = fleet.instances["n1"].base
    assert (told.confidence, told.nothing_received_since) == (0.0, None)
    assert told.unanswered_since is not None
    assert cut_at - SECOND < told.unanswered_since - base <= cut_at
    assert view(fleet, "n0").unanswered_since is None
    fleet.heal()
    assert fleet.until(fleet.agree, 10) < 3
    assert view(fleet, "n1").unanswered_since is None


def test_the_cut_shows_who_judges_by_what_it_merely_hears() -> None:
    found = []
    for seed in range(5):
        fleet = joined(seed, JUDGES_WITHOUT_CONTACT)
        mute(fleet, "n1", ("n0",))
        fleet.run(CUT_S)
        found += deaths_by(fleet, "n1")
    assert set(found) <= set(NAMES) - {"n0"}
    assert found


# --- one instance, by hand ----------------------------------------------------------------------------

OTHER = Sender("m0", 1, 0, "127.0.0.2:1000")


def asked_back(mine: Membership, now: int) -> int:
    """Return the number of the ping with which this instance verifies the unknown sender `OTHER`."""
    told = mine.handle(now, [DatagramReceived(OTHER, Datagram(DatagramKind.PING, 5))])
    (ping,) = [item for item in told if isinstance(item, SendDatagram) and item.datagram.kind is DatagramKind.PING]
    return ping.datagram.number


def test_contact_counts_from_when_the_answered_ping_was_sent() -> None:
    mine = Membership(Sender("n0", 100, 0, "127.0.0.1:1"), (), SwimParameters(ping_interval=60 * SECOND), 1, SECOND)
    number = asked_back(mine, SECOND)
    mine.handle(SECOND + 200 * MS, [DatagramReceived(OTHER, Datagram(DatagramKind.ACK, number))])
    mine.handle(SECOND + mine.parameters.answer_timeout, [DatagramReceived(OTHER, Datagram(DatagramKind.UPDATES))])
    assert mine.view(SECOND + mine.parameters.answer_timeout).unanswered_since is None
    later = mine.view(SECOND + mine.parameters.answer_timeout + MS)  # datagrams of the other member still arrive
    assert (later.nothing_received_since, later.unanswered_since, later.confidence) == (None, SECOND, 0.0)


def test_an_answer_of_long_ago_lets_nobody_judge() -> None:
    """Guards against an instance that declares a death although its last answered ping is too old.

    The suspicion lasts long because its member keeps sending datagrams, while no ping is answered any more.
    """
    mine = Membership(Sender("n0", 100, 0, "127.0.0.1:1"), (), SwimParameters(ping_interval=60 * SECOND), 1, SECOND)
    number = asked_back(mine, SECOND)
    mine.handle(SECOND, [DatagramReceived(OTHER, Datagram(DatagramKind.ACK, number))])
    suspect = MemberUpdate("m1", "127.0.0.2:1001", MemberStatus.SUSPECT, 1, 0, "m0")
    mine.handle(SECOND, [DatagramReceived(OTHER, Datagram(DatagramKind.UPDATES, updates=(suspect,)))])
    mine.reachability.confirm(SECOND + MS)
    speaks = DatagramReceived(Sender("m1", 1, 0, suspect.address), Datagram(DatagramKind.UPDATES))
    stretched = SECOND + 4 * SECOND
    for now in range(SECOND + 50 * MS, stretched, 50 * MS):
        mine.handle(now, [DatagramReceived(OTHER, Datagram(DatagramKind.UPDATES)), speaks])
    for now in range(stretched, stretched + 4 * SECOND, 50 * MS):
        mine.handle(now, [DatagramReceived(OTHER, Datagram(DatagramKind.UPDATES))])
        assert mine.members["m1"].known.status is MemberStatus.SUSPECT
