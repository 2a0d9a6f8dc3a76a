"""A single SWIM instance fed by hand: which updates it accepts, and the bounds on its members and datagrams."""

from __future__ import annotations

from typing import Any

import pytest

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim import (
    Datagram,
    DatagramKind,
    DatagramReceived,
    Membership,
    MemberUpdate,
    ReportChange,
    SendDatagram,
    Sender,
    SwimParameters,
    Ticked,
)
from canvasbeam.simulator.model.units import MS, SECOND


def alone(**parameters: Any) -> Membership:
    return Membership(Sender("n0", 100, 0, "127.0.0.1:1"), (), SwimParameters(**parameters), 1, SECOND)


def stranger(
    number: int, kind: DatagramKind = DatagramKind.PING, updates: tuple[MemberUpdate, ...] = ()
) -> DatagramReceived:
    sender = Sender(f"x{number}", 1, 0, f"127.0.0.1:{1000 + number}")
    return DatagramReceived(sender, Datagram(kind, number, updates=updates))


def test_strangers_are_asked_back_within_a_bound_and_believed_nothing() -> None:
    mine = alone()
    false = MemberUpdate("ghost", "127.0.0.1:9", MemberStatus.ALIVE, 1, 0)
    actions = mine.handle(SECOND, [stranger(number, updates=(false,)) for number in range(500)])
    pings = [
        action for action in actions if isinstance(action, SendDatagram) and action.datagram.kind is DatagramKind.PING
    ]
    assert not mine.members
    assert len(pings) == mine.parameters.max_unverified
    assert mine.pings.pending_count == mine.parameters.max_unverified


def test_an_answer_from_another_address_than_was_asked_brings_nobody_in() -> None:
    mine = alone()
    (ping,) = [
        action for action in mine.handle(SECOND, [stranger(1)])
        if isinstance(action, SendDatagram) and action.datagram.kind is DatagramKind.PING
    ]  # fmt: skip
    forged = DatagramReceived(Sender("x1", 1, 0, "127.0.0.1:6666"), Datagram(DatagramKind.ACK, ping.datagram.number))
    mine.handle(SECOND + MS, [forged])
    assert not mine.members
    right = DatagramReceived(Sender("x1", 1, 0, ping.address), Datagram(DatagramKind.ACK, ping.datagram.number))
    changes = [action for action in mine.handle(SECOND + 2 * MS, [right]) if isinstance(action, ReportChange)]
    assert [(change.name, change.after) for change in changes] == [("x1", "alive"), ("n0", "member")]


def join(mine: Membership, name: str, now: int) -> None:
    told = DatagramReceived(Sender(name, 1, 0, f"127.0.0.2:{1000 + len(mine.members)}"), Datagram(DatagramKind.PING, 5))
    (ping,) = [
        action for action in mine.handle(now, [told])
        if isinstance(action, SendDatagram) and action.datagram.kind is DatagramKind.PING
        and action.address == told.sender.address
    ]  # fmt: skip
    mine.handle(now, [DatagramReceived(told.sender, Datagram(DatagramKind.ACK, ping.datagram.number))])


def test_no_more_members_are_kept_than_allowed_and_absent_ones_make_space() -> None:
    mine = alone(max_members=3)
    for place in range(3):
        join(mine, f"m{place}", SECOND)
    told = MemberUpdate("m9", "127.0.0.2:9", MemberStatus.ALIVE, 1, 0)
    news = DatagramReceived(Sender("m0", 1, 0, "127.0.0.2:1000"), Datagram(DatagramKind.UPDATES, updates=(told,)))
    mine.handle(SECOND, [news])
    assert sorted(mine.members) == ["m0", "m1", "m2"]
    gone = MemberUpdate("m2", "127.0.0.2:1002", MemberStatus.LEFT, 1, 0)
    left = DatagramReceived(news.sender, Datagram(DatagramKind.UPDATES, updates=(gone,)))
    mine.handle(SECOND, [left, news])
    assert sorted(mine.members) == ["m0", "m1", "m9"]


def test_the_dead_and_the_left_are_forgotten_after_their_time() -> None:
    mine = alone(left_retention=2 * SECOND)
    join(mine, "m0", SECOND)
    join(mine, "m1", SECOND)
    left = MemberUpdate("m1", "127.0.0.2:1001", MemberStatus.LEFT, 1, 0)
    mine.handle(
        SECOND,
        [DatagramReceived(Sender("m0", 1, 0, "127.0.0.2:1000"), Datagram(DatagramKind.UPDATES, updates=(left,)))],
    )
    assert mine.view(SECOND).absent == ("m1",)
    mine.handle(4 * SECOND, [Ticked()])
    assert "m1" not in mine.members


def test_no_datagram_holds_more_updates_than_allowed() -> None:
    mine = alone()
    join(mine, "m0", SECOND)
    updates = tuple(
        MemberUpdate(f"name-{place:03}", f"127.0.0.3:{place}", MemberStatus.ALIVE, 1, 0) for place in range(1, 200)
    )
    said = []
    now = SECOND
    for part in range(0, 199, 20):
        now += 50 * MS
        news = DatagramReceived(
            Sender("m0", 1, 0, "127.0.0.2:1000"), Datagram(DatagramKind.UPDATES, updates=updates[part : part + 20])
        )
        said += [action for action in mine.handle(now, [news]) if isinstance(action, SendDatagram)]
    assert len(mine.members) == 200
    assert (
        max(sum(update.size for update in name.datagram.updates) for name in said) <= mine.parameters.max_update_bytes
    )


@pytest.mark.parametrize(
    "parameters",
    [{"ping_interval": 0}, {"ping_timeout": 1}, {"filler_bytes": 5_000}, {"max_suspicion": 1}, {"gossip_fanout": 0}],
)
def test_parameters_that_contradict_are_refused(parameters: dict[str, int]) -> None:
    with pytest.raises(ValueError, match="membership"):
        SwimParameters(**parameters)
