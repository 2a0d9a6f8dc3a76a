"""The primary role: serves calls through `primary.Primary`, and detects when the view must change.

Owns the primary of one view. The role never changes the view: it only reports that the view is outdated.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.calls import PendingCall, primary_lost_replies
from canvasbeam.replication.candidate import Candidate
from canvasbeam.replication.control_state import Change
from canvasbeam.replication.messages import (
    Accepted,
    Action,
    Answer,
    Appended,
    HeartbeatAck,
    Installed,
    LeaveGranted,
    PreVote,
    Refused,
    Reply,
)
from canvasbeam.replication.primary import Primary
from canvasbeam.replication.removal import Removal, removal_of
from canvasbeam.replication.role_machine import RoleMachine
from canvasbeam.replication.roles import Outcome, Role, RoleEvent
from canvasbeam.replication.shared_state import SharedState
from canvasbeam.replication.views import MemberId, View


class PrimaryRole(RoleMachine):
    """The state machine of the role PRIMARY, in one view."""

    def __init__(self, shared: SharedState, candidate: Candidate, view: View, now: int) -> None:
        """Take over from a candidate that won: the view is in force, and this member's replica has the view's state."""
        super().__init__(Role.PRIMARY, shared)
        shared.known_view.learn(view, in_force=True)
        shared.known_primary.follow(shared.me, view.epoch)
        self._exclude_late_witnesses(candidate, view, now)
        self.primary = Primary(
            shared.me,
            view,
            shared.replica,
            candidate.source_position,
            apply=shared.apply,
            liveness=shared.liveness,
            timing=shared.timing,
            snapshots=shared.snapshots,
            now=now,
        )

    @property
    def pending(self) -> Sequence[PendingCall]:
        """Operator calls that wait for an answer."""
        return self.primary.pending

    def begin(self, candidate: Candidate, pending: Sequence[PendingCall], now: int) -> list[Action]:
        """Announce the view; resume the pending calls if this member's own state was kept, otherwise fail them."""
        if candidate.source == self._shared.me:
            return [*self.primary.begin(now), *self.primary.resume_calls(pending, now)]
        return [*primary_lost_replies(pending), *self.primary.begin(now), *self.primary.resume_calls((), now)]

    def tick(self, now: int) -> Outcome:
        """Detect a lost quorum, stuck replicas and an outdated view; otherwise send the messages that are due."""
        shared, primary = self._shared, self.primary
        if primary.has_lost_quorum(now):
            return Outcome(event=RoleEvent.UNABLE_TO_LEAD)
        for member in primary.stuck_replicas(now):
            if member == shared.me:
                return Outcome(event=RoleEvent.UNABLE_TO_LEAD)
            shared.liveness.record_failure(member, now)
        if shared.planner.needs_view_change(primary.view, now):
            return Outcome(event=RoleEvent.VIEW_OUTDATED)
        members_to_catch_up = shared.planner.members_to_catch_up(primary.view, now)
        return Outcome([*primary.catch_up.set_members(members_to_catch_up, now), *primary.tick(now)])

    def take_answer(self, sender: MemberId, answer: Answer, now: int) -> Outcome:
        """Process an answer of a witness, a replica or a joining member in this view's epoch."""
        match answer:
            case Installed():
                return Outcome(self.primary.take_installed(sender, answer, now))
            case Accepted():
                return Outcome(self.primary.take_accepted(sender, answer))
            case HeartbeatAck():
                self._shared.liveness.record_answer(sender, now)
                return Outcome(self.primary.take_heartbeat_ack(sender, answer, now))
            case Appended():
                return Outcome(self.primary.take_appended(sender, answer, now))
            case Refused():
                return self._take_refused(sender, answer, now)
        return Outcome()  # an answer to a request of this member as a candidate

    def _take_refused(self, sender: MemberId, answer: Refused, now: int) -> Outcome:
        """Step down if a replica promised a higher epoch; change the view if a joining member needs a higher epoch."""
        primary = self.primary
        self._shared.liveness.record_answer(sender, now)
        if answer.promised <= primary.view.epoch:
            return Outcome()
        if sender in primary.view.replicas:
            return Outcome(event=RoleEvent.EPOCH_REFUSED)
        is_steady = now - primary.began_at >= self._shared.timing.steady_after_ns
        if primary.catch_up.has(sender) and is_steady:
            return Outcome(event=RoleEvent.VIEW_OUTDATED)  # the sender can catch up only in a higher epoch
        return Outcome()

    def awaits(self, answer: Answer) -> bool:
        """Return True if the answer has the epoch of this view."""
        return not isinstance(answer, PreVote) and answer.epoch == self.primary.view.epoch

    def discount_stall(self, stall: int) -> None:
        """Exclude a stall of this process, in nanoseconds, from the timeouts of witnesses and replicas."""
        self.primary.discount_stall(stall)

    def submit(self, call: int, change: Change, now: int) -> list[Action]:
        """Apply and replicate a change, or refuse the change if too many are pending."""
        if not self.primary.has_capacity_for(change):
            return [Reply(call, Failure(ResultCode.OVERLOADED, "too many changes are in progress"))]
        return self.primary.submit(call, change, now)

    def read(self, call: int, now: int) -> list[Action]:
        """Answer with the committed state after a majority of the witnesses has confirmed this primary."""
        return self.primary.read(call, now)

    def grant_leave(self, member: MemberId, standbys: Collection[MemberId], now: int) -> LeaveGranted | None:
        """Return a grant if `member` is no replica of the view and no standby may still replace it as a witness."""
        primary = self.primary
        if member in primary.view.replicas or not primary.is_reconfiguration_complete:
            return None
        if self._shared.planner.will_need_view_change(primary.view, now):
            return None
        liveness = self._shared.liveness
        if not all(standby in primary.view.members or liveness.may_join(standby, now) for standby in standbys):
            return None
        return LeaveGranted(primary.view.epoch, len(primary.view.replicas))

    def removal(self, ip: str, now: int) -> Removal | Failure:
        """Return the progress of removing the member at an address, or why the removal is refused."""
        primary, planner = self.primary, self._shared.planner
        return removal_of(
            ip,
            primary.view,
            primary.is_reconfiguration_complete,
            known=self._shared.liveness.known(),
            can_remove=lambda member: planner.can_remove(member, primary.view, now),
        )

    def is_caught_up(self, member: MemberId, now: int) -> bool:
        """Return True if the member is joining and nearly caught up."""
        return self.primary.catch_up.is_nearly_caught_up(member, now)

    def finds_primary_unresponsive(self, now: int) -> bool:
        """Return False, because this member is the primary."""
        del now
        return False

    def _exclude_late_witnesses(self, candidate: Candidate, view: View, now: int) -> None:
        """Record witnesses that promised too late as failed, so that they are not added as replicas again at once."""
        liveness = self._shared.liveness
        for member in view.witnesses:
            if member in view.replicas or liveness.is_leaving(member) or candidate.has_promise(member):
                continue
            if liveness.is_alive(member, now):
                liveness.record_failure(member, now)
