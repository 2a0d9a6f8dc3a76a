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


def make_instance(**parameters: Any) -> Membership:
    return Membership(Sender("n0", 100, 0, "127.0.0.1:1"), (), SwimParameters(**parameters), 1, SECOND)


def unverified_datagram(
    number: int, kind: DatagramKind = DatagramKind.PING, updates: tuple[MemberUpdate, ...] = ()
) -> DatagramReceived:
    sender = Sender(f"x{number}", 1, 0, f"127.0.0.1:{1000 + number}")
    return DatagramReceived(sender, Datagram(kind, number, updates=updates))


def test_unverified_senders_are_pinged_within_bound_and_their_updates_ignored() -> None:
    instance = make_instance()
    false = MemberUpdate("ghost", "127.0.0.1:9", MemberStatus.ALIVE, 1, 0)
    actions = instance.handle(SECOND, [unverified_datagram(number, updates=(false,)) for number in range(500)])
    pings = [
        action for action in actions if isinstance(action, SendDatagram) and action.datagram.kind is DatagramKind.PING
    ]
    assert not instance.members
    assert len(pings) == instance.parameters.max_unverified
    assert instance.pings.pending_count == instance.parameters.max_unverified


def test_ack_from_other_address_than_pinged_adds_no_member() -> None:
    instance = make_instance()
    (ping,) = [
        action for action in instance.handle(SECOND, [unverified_datagram(1)])
        if isinstance(action, SendDatagram) and action.datagram.kind is DatagramKind.PING
    ]  # fmt: skip
    forged = DatagramReceived(Sender("x1", 1, 0, "127.0.0.1:6666"), Datagram(DatagramKind.ACK, ping.datagram.number))
    instance.handle(SECOND + MS, [forged])
    assert not instance.members
    right = DatagramReceived(Sender("x1", 1, 0, ping.address), Datagram(DatagramKind.ACK, ping.datagram.number))
    changes = [action for action in instance.handle(SECOND + 2 * MS, [right]) if isinstance(action, ReportChange)]
    assert [(change.name, change.after) for change in changes] == [("x1", "alive"), ("n0", "member")]


def join(instance: Membership, name: str, now: int) -> None:
    ping_received = DatagramReceived(
        Sender(name, 1, 0, f"127.0.0.2:{1000 + len(instance.members)}"), Datagram(DatagramKind.PING, 5)
    )
    (ping,) = [
        action for action in instance.handle(now, [ping_received])
        if isinstance(action, SendDatagram) and action.datagram.kind is DatagramKind.PING
        and action.address == ping_received.sender.address
    ]  # fmt: skip
    instance.handle(now, [DatagramReceived(ping_received.sender, Datagram(DatagramKind.ACK, ping.datagram.number))])


def test_member_limit_holds_and_left_member_makes_room() -> None:
    instance = make_instance(max_members=3)
    for index in range(3):
        join(instance, f"m{index}", SECOND)
    joined_update = MemberUpdate("m9", "127.0.0.2:9", MemberStatus.ALIVE, 1, 0)
    update_datagram = DatagramReceived(
        Sender("m0", 1, 0, "127.0.0.2:1000"), Datagram(DatagramKind.UPDATES, updates=(joined_update,))
    )
    instance.handle(SECOND, [update_datagram])
    assert sorted(instance.members) == ["m0", "m1", "m2"]
    gone = MemberUpdate("m2", "127.0.0.2:1002", MemberStatus.LEFT, 1, 0)
    left = DatagramReceived(update_datagram.sender, Datagram(DatagramKind.UPDATES, updates=(gone,)))
    instance.handle(SECOND, [left, update_datagram])
    assert sorted(instance.members) == ["m0", "m1", "m9"]


def test_left_member_is_forgotten_after_retention() -> None:
    instance = make_instance(left_retention=2 * SECOND)
    join(instance, "m0", SECOND)
    join(instance, "m1", SECOND)
    left = MemberUpdate("m1", "127.0.0.2:1001", MemberStatus.LEFT, 1, 0)
    instance.handle(
        SECOND,
        [DatagramReceived(Sender("m0", 1, 0, "127.0.0.2:1000"), Datagram(DatagramKind.UPDATES, updates=(left,)))],
    )
    assert instance.view(SECOND).absent == ("m1",)
    instance.handle(4 * SECOND, [Ticked()])
    assert "m1" not in instance.members


def test_updates_of_a_datagram_stay_within_byte_limit() -> None:
    instance = make_instance()
    join(instance, "m0", SECOND)
    updates = tuple(
        MemberUpdate(f"name-{index:03}", f"127.0.0.3:{index}", MemberStatus.ALIVE, 1, 0) for index in range(1, 200)
    )
    sent = []
    now = SECOND
    for part in range(0, 199, 20):
        now += 50 * MS
        update_datagram = DatagramReceived(
            Sender("m0", 1, 0, "127.0.0.2:1000"), Datagram(DatagramKind.UPDATES, updates=updates[part : part + 20])
        )
        sent += [action for action in instance.handle(now, [update_datagram]) if isinstance(action, SendDatagram)]
    assert len(instance.members) == 200
    assert (
        max(sum(update.size for update in action.datagram.updates) for action in sent)
        <= instance.parameters.max_update_bytes
    )


@pytest.mark.parametrize(
    "parameters",
    [{"ping_interval": 0}, {"ping_timeout": 1}, {"filler_bytes": 5_000}, {"max_suspicion": 1}, {"gossip_fanout": 0}],
)
def test_contradictory_parameters_raise(parameters: dict[str, int]) -> None:
    with pytest.raises(ValueError, match="membership"):
        SwimParameters(**parameters)
