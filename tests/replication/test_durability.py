"""Tests of `Outbox`, which delays messages until the state that they depend on is durable."""

from __future__ import annotations

from canvasbeam.replication.control_state import Change, ChangeKind, ControlState
from canvasbeam.replication.durability import Outbox
from canvasbeam.replication.messages import Appended, Heartbeat, Promise, SaveChange, SaveWitness, Send
from canvasbeam.replication.views import NO_EPOCH, Epoch, MemberId, Position

B = MemberId("10.0.0.2/0")
NEXT = Epoch(5, MemberId("10.0.0.1/0"))
SAVE = SaveWitness(NEXT, None, False)
CHANGE = SaveChange(Change(ChangeKind.START_EVACUATION, zone="z"), ControlState(index=1))
PROMISE = Send(B, Promise(NEXT, None, False, Position(NO_EPOCH, 0), True))
APPENDED = Send(B, Appended(NEXT, 1))
HEARTBEAT = Send(B, Heartbeat(NEXT, 1, 0))


def test_messages_that_depend_on_unsynced_state_wait_and_others_do_not() -> None:
    """A power loss could break a promise or a confirmation that was sent before its save was durable."""
    outbox = Outbox()
    assert outbox.take([SAVE, PROMISE, HEARTBEAT]) == [HEARTBEAT]
    assert outbox.next_batch() == [SAVE]
    assert outbox.take([CHANGE, APPENDED]) == []
    assert outbox.batch_durable() == [PROMISE]
    assert outbox.next_batch() == [CHANGE]
    assert outbox.batch_durable() == [APPENDED]
    assert outbox.take([APPENDED]) == [APPENDED]
    assert not outbox.has_unwritten
