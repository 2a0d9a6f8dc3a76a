"""The primary of a view that is in force: handles writes and confirmed reads, and detects unresponsive members.

A write is answered when every replica of the view has stored the change on disk. An answer that depends on the state
but changes nothing (a read, a refusal, a change that was applied before) waits for two conditions: a majority of the
witnesses has confirmed, in a heartbeat round begun after the call, that it promised no higher epoch; and every change
on which the answer depends is committed.

Owns the change log, the pending calls and, through its parts, the progress of replicas (`replica_progress`), the
heartbeat rounds (`heartbeat_rounds`) and the members that catch up (`catch_up`). It must never change the view.
"""

from __future__ import annotations

from collections.abc import Sequence

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.calls import MAX_BYTES_IN_FLIGHT, MAX_PENDING_CALLS, PendingCall
from canvasbeam.replication.catch_up import CatchUp
from canvasbeam.replication.change_flow import ChangeFlow
from canvasbeam.replication.change_log import ChangeLog, change_size
from canvasbeam.replication.control_state import Change, Committed
from canvasbeam.replication.heartbeat_rounds import HeartbeatRounds
from canvasbeam.replication.member_liveness import MemberLiveness
from canvasbeam.replication.messages import (
    Accept,
    Accepted,
    Action,
    Append,
    Appended,
    Heartbeat,
    HeartbeatAck,
    Installed,
    Publish,
    Reply,
    SaveChange,
    SaveCommitted,
    Send,
)
from canvasbeam.replication.replica import Replica
from canvasbeam.replication.replica_progress import ReplicaProgress
from canvasbeam.replication.snapshots import SnapshotSource
from canvasbeam.replication.timing import ReplicationTiming
from canvasbeam.replication.views import ApplyChange, MemberId, Position, View, is_majority

MAX_CATCH_UP_BYTES = 8 << 20  # total size of committed changes kept for joining members


class Primary:
    """The primary of one view: created when the view comes into force, dropped when the member leaves the role."""

    def __init__(
        self,
        me: MemberId,
        view: View,
        replica: Replica,
        start_position: Position,
        *,
        apply: ApplyChange,
        liveness: MemberLiveness,
        timing: ReplicationTiming,
        snapshots: SnapshotSource,
        now: int,
    ) -> None:
        self.me = me
        self.view = view
        self.began_at = now
        self.pending: list[PendingCall] = []
        self._replica = replica
        self._apply = apply
        self._liveness = liveness
        self._timing = timing
        self._log = ChangeLog(replica.state.index)
        self.catch_up = CatchUp(
            view.epoch, start_position, replica=replica, log=self._log, snapshots=snapshots, timing=timing
        )
        self._committed = replica.state.index
        self._progress = {
            member: ReplicaProgress(ChangeFlow(self._log, self._committed), timing) for member in view.replicas
        }
        self._rounds = HeartbeatRounds(view.witnesses, now)
        self._in_force_on_disk: set[MemberId] = set()  # members whose disk marks the view as in force

    def begin(self, now: int) -> list[Action]:
        """Announce that the view is in force, and publish the whole state as committed."""
        actions: list[Action] = [Send(member, Accept(self.view, in_force=True)) for member in self.view.members]
        return actions + self._publish() + self.new_round(now)

    def tick(self, now: int) -> list[Action]:
        """Send due heartbeats, resend lost appends, and fail the calls that exceeded `call_timeout_ns`."""
        actions: list[Action] = []
        if now - self._rounds.begun_at >= self._timing.heartbeat_interval_ns:
            actions += self.new_round(now)
        for member in self.view.replicas:
            progress = self._progress[member]
            if progress.is_resend_due(now):
                progress.flow.restart()
                actions += self._append_to(member, now)
        return actions + self.catch_up.tick(now) + self._end_overdue_calls(now)

    def discount_stall(self, stall: int) -> None:
        """Exclude a stall of this process, in nanoseconds, from the timeouts of witnesses and replicas."""
        self._rounds.discount_stall(stall)
        for progress in self._progress.values():
            progress.discount_stall(stall)

    def has_lost_quorum(self, now: int) -> bool:
        """Return True if the last confirmed heartbeat round was sent more than `unresponsive_after_ns` ago."""
        return now - self._rounds.confirmed_at > self._timing.unresponsive_after_ns

    def stuck_replicas(self, now: int) -> list[MemberId]:
        """Return the replicas whose confirmation of a change is overdue."""
        return [member for member, progress in self._progress.items() if progress.is_stuck(now)]

    def has_capacity_for(self, change: Change) -> bool:
        """Return True if the limits allow another uncommitted change; a single change may have any size."""
        if len(self.pending) >= MAX_PENDING_CALLS:
            return False
        in_flight = self._log.size_after(self._committed)
        return in_flight == 0 or in_flight + change_size(change) <= MAX_BYTES_IN_FLIGHT

    def submit(self, call: int, change: Change, now: int) -> list[Action]:
        """Apply a change and send it to the replicas; a refused or repeated change only awaits confirmation."""
        outcome = self._apply(self._replica.state, change)
        if isinstance(outcome, Failure):
            return self._await_confirmation(PendingCall(call, now, failure=outcome), now)
        if outcome is self._replica.state:
            return self._await_confirmation(PendingCall(call, now), now)
        self._replica.advance(outcome)
        self._log.append(change, now)
        self.pending.append(PendingCall(call, now, index=outcome.index))
        actions: list[Action] = [SaveChange(change, outcome)]
        for member in self.view.replicas:
            self._progress[member].expect_confirmation(now)
            actions += self._append_to(member, now)
        return actions + self.catch_up.on_change(now)

    def read(self, call: int, now: int) -> list[Action]:
        """Answer with the committed state after a heartbeat round has confirmed this primary."""
        return self._await_confirmation(PendingCall(call, now), now)

    def resume_calls(self, pending: Sequence[PendingCall], now: int) -> list[Action]:
        """Resume the calls of the previous view, which this member also led and whose whole state was kept."""
        actions: list[Action] = []
        for call in pending:
            if call.change is not None:
                actions += self.submit(call.call, call.change, now)
            elif call.sequence:
                actions += self._await_confirmation(call, now)
            else:
                self.pending.append(call)
        return actions + self._answer()

    def take_heartbeat_ack(self, sender: MemberId, message: HeartbeatAck, now: int) -> list[Action]:
        """Process a confirmation of the epoch; send the view to a sender that lacks the view."""
        self._rounds.take_answer(sender, message.sequence)
        actions: list[Action] = []
        if sender in self.view.members and self._lacks_view(sender, message):
            actions.append(Send(sender, Accept(self.view, in_force=True)))
        return actions + self._answer()

    def _lacks_view(self, sender: MemberId, message: HeartbeatAck) -> bool:
        """Return True if the sender lacks the view, or has not confirmed in a reconfiguration that it is in force."""
        if message.accepted < self.view.epoch or not message.in_force:
            return True
        return not (self.is_reconfiguration_complete or sender in self._in_force_on_disk)

    @property
    def is_reconfiguration_complete(self) -> bool:
        """True if a majority of the new electorate has stored on disk that the change of the electorate has ended.

        Before, a candidate might also need a majority of the old electorate, of which some may be lost permanently.
        """
        if set(self.view.witnesses) == set(self.view.previous_witnesses):
            return True
        return is_majority(self._in_force_on_disk, self.view.witnesses)

    def take_accepted(self, sender: MemberId, message: Accepted) -> list[Action]:
        """Process a witness's `Accepted`; record the witness if its disk marks the view as in force."""
        if message.in_force:
            self._in_force_on_disk.add(sender)
        return self._answer()

    def take_appended(self, sender: MemberId, message: Appended, now: int) -> list[Action]:
        """Record a replica's confirmation that the changes up to an index are on its disk."""
        progress = self._progress.get(sender)
        if progress is None:
            return [*self.catch_up.take_appended(sender, message.index, now)]
        if not progress.confirm(message.index, self._replica.state.index, now):
            return []
        return [*self._append_to(sender, now), *self._commit(now)]

    def take_installed(self, sender: MemberId, message: Installed, now: int) -> list[Action]:
        """Record a joining member's answer on whether the member has a state of this view."""
        return [*self.catch_up.take_installed(sender, message, now)]

    def new_round(self, now: int) -> list[Action]:
        """Send a heartbeat to the view's members and to other recently seen members, which may join the view."""
        message = Heartbeat(self.view.epoch, self._rounds.begin(now), self._committed)
        liveness = self._liveness
        joining = [member for member in liveness.known() if not liveness.is_replaceable(member, now)]
        return [Send(member, message) for member in dict.fromkeys((self.me, *self.view.members, *joining))]

    def _await_confirmation(self, pending: PendingCall, now: int) -> list[Action]:
        pending.index = self._replica.state.index
        actions = self.new_round(now)
        pending.sequence = self._rounds.sequence
        self.pending.append(pending)
        return actions

    def _append_to(self, member: MemberId, now: int) -> list[Action]:
        """Send a replica the next batch of changes; this member's own replica already has every change."""
        batch = self._progress[member].flow.next_batch(now)
        if batch is None:
            return []
        if member == self.me:
            return [Send(member, Appended(self.view.epoch, self._replica.state.index))]
        return [Send(member, Append(self.view.epoch, batch.previous, batch.changes, self._committed))]

    def _commit(self, now: int) -> list[Action]:
        committed = min(progress.flow.index for progress in self._progress.values())
        if committed <= self._committed:
            return []
        self._committed = committed
        self._trim_log()
        # Every replica of the view confirmed this index only after its own sync to disk (`durability.Outbox`).
        return self._answer() + self._publish() + self.new_round(now)

    def _trim_log(self) -> None:
        """Keep the changes that replicas need, and up to `MAX_CATCH_UP_BYTES` of committed ones for joining members."""
        needed = self.catch_up.oldest_needed()
        self._log.trim(self._committed if needed is None else min(needed, self._committed))
        self._log.trim_to(MAX_CATCH_UP_BYTES, self._committed)

    def _publish(self) -> list[Action]:
        newer = self._replica.commit(self.view.epoch, self._committed)
        return [] if newer is None else [Publish(newer), SaveCommitted(newer.index)]

    def _answer(self) -> list[Action]:
        """Answer the calls whose index is committed and whose heartbeat round is confirmed."""
        if not self.is_reconfiguration_complete:
            return []
        confirmed = self._rounds.newest_confirmed()
        ready = [call for call in self.pending if call.index <= self._committed and call.sequence <= confirmed]
        if not ready:
            return []
        self.pending = [call for call in self.pending if call not in ready]
        state = self._replica.state_at(self._committed)
        return [Reply(call.call, call.failure or Committed(state)) for call in ready]

    def _end_overdue_calls(self, now: int) -> list[Action]:
        overdue = [call for call in self.pending if now - call.began_at > self._timing.call_timeout_ns]
        if not overdue:
            return []
        self.pending = [call for call in self.pending if call not in overdue]
        failure = Failure(ResultCode.REPLICATION_TIMEOUT, "the replicas or witnesses did not confirm in time")
        return [Reply(call.call, failure) for call in overdue]
