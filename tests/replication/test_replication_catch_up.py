"""Tests of `CatchUp` and `ChangeFlow`: when a member may join a view, and how many bytes may be in flight."""

from __future__ import annotations

from canvasbeam.replication.catch_up import MAX_JOIN_LAG_NS, CatchUp
from canvasbeam.replication.change_flow import MAX_WINDOW_BYTES, MIN_WINDOW_BYTES, Batch, ChangeFlow
from canvasbeam.replication.change_log import ChangeLog
from canvasbeam.replication.control_state import Change, ChangeKind, ControlState
from canvasbeam.replication.messages import Append, Install, Installed, Send
from canvasbeam.replication.replica import Replica
from canvasbeam.replication.snapshots import QUICK_ANSWER_NS, SLOW_ANSWER_NS, SnapshotSource
from canvasbeam.replication.timing import ReplicationTiming
from canvasbeam.replication.views import Epoch, MemberId, Position
from tests.support.replication_simulation import apply_tag

EPOCH = Epoch(4, MemberId("10.0.0.1/0"))
BEGAN_AT = Position(Epoch(3, MemberId("10.0.0.1/0")), 7)
MEMBER = MemberId("10.0.0.2/x")


def change(size: int) -> Change:
    return Change(ChangeKind.PUT_CONFIGURATION, bytes(size))


def catch_up_with_follower(log: ChangeLog) -> CatchUp:
    """Return a `CatchUp` with one member, which has stored the state with which the view began."""
    replica = Replica(apply_tag, EPOCH, ControlState(index=BEGAN_AT.index), BEGAN_AT.index)
    catch_up = CatchUp(
        EPOCH, BEGAN_AT, replica=replica, log=log, snapshots=SnapshotSource(None), timing=ReplicationTiming()
    )
    assert catch_up.set_members([MEMBER], 0) == [Send(MEMBER, Install(EPOCH, BEGAN_AT, None))]
    assert catch_up.take_installed(MEMBER, Installed(EPOCH, stored=True, index=BEGAN_AT.index), 0) == []
    return catch_up


def test_member_that_confirms_in_time_is_nearly_caught_up() -> None:
    """A member counts as nearly caught up as long as no change is unconfirmed for more than `MAX_JOIN_LAG_NS`."""
    log = ChangeLog(BEGAN_AT.index)
    catch_up = catch_up_with_follower(log)
    assert catch_up.is_nearly_caught_up(MEMBER, 0)
    log.append(change(10), 0)
    [send] = catch_up.on_change(0)
    assert isinstance(send.message, Append)
    assert catch_up.is_nearly_caught_up(MEMBER, MAX_JOIN_LAG_NS)
    assert not catch_up.is_nearly_caught_up(MEMBER, MAX_JOIN_LAG_NS + 1)
    catch_up.take_appended(MEMBER, log.end, MAX_JOIN_LAG_NS + 1)
    assert catch_up.nearly_caught_up_members(MAX_JOIN_LAG_NS + 1) == {MEMBER}


def test_member_with_unsent_changes_is_not_nearly_caught_up() -> None:
    """A member may lack changes that the window does not let through yet, even if all sent ones are confirmed."""
    log = ChangeLog(BEGAN_AT.index)
    catch_up = catch_up_with_follower(log)
    for _ in range(2):
        log.append(change(MIN_WINDOW_BYTES), 0)
        catch_up.on_change(0)
    assert not catch_up.is_nearly_caught_up(MEMBER, 0)
    catch_up.take_appended(MEMBER, log.end - 1, 0)
    assert catch_up.is_nearly_caught_up(MEMBER, 0)


def test_member_without_the_initial_state_gets_a_snapshot() -> None:
    """A member that has not stored the initial state of the view is sent a snapshot, and may not join before."""
    log = ChangeLog(BEGAN_AT.index)
    catch_up = catch_up_with_follower(log)
    catch_up.set_members([], 0)
    catch_up.set_members([MEMBER], 0)
    [send] = catch_up.take_installed(MEMBER, Installed(EPOCH, stored=False), 0)
    assert isinstance(send.message, Install)
    assert send.message.state is not None
    assert not catch_up.is_nearly_caught_up(MEMBER, 0)


def test_window_grows_on_quick_and_shrinks_on_slow_confirmations() -> None:
    """On a slow link a large window would delay the heartbeats that share the connection."""
    log = ChangeLog(0)
    flow = ChangeFlow(log, 0)
    now = 0
    for _ in range(8):  # quick confirmations of large batches double the window
        log.append(change(MAX_WINDOW_BYTES), now)
        assert flow.next_batch(now) is not None
        now += QUICK_ANSWER_NS
        flow.confirm(log.end, now)
    assert flow._window == MAX_WINDOW_BYTES
    for _ in range(8):
        log.append(change(MAX_WINDOW_BYTES), now)
        assert flow.next_batch(now) is not None
        now += SLOW_ANSWER_NS + 1
        flow.confirm(log.end, now)
    assert flow._window == MIN_WINDOW_BYTES


def test_change_larger_than_the_window_is_sent_alone() -> None:
    """A change that is larger than the window must be sent alone, or the member would never get it."""
    log = ChangeLog(0)
    flow = ChangeFlow(log, 0)
    large, small = change(2 * MIN_WINDOW_BYTES), change(10)
    log.append(large, 0)
    log.append(small, 0)
    assert flow.next_batch(0) == Batch(0, (large,))
    assert flow.next_batch(0) is None
    assert flow.confirm(1, 0)
    assert not flow.confirm(1, 0)
    assert flow.next_batch(0) == Batch(1, (small,))
    flow.restart()
    assert flow.next_batch(0) == Batch(1, (small,))
