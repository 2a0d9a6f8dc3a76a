"""The role of a primary: serves calls through its `primary.Primary`, and watches whether its view must change.

Owns the primary's part of one view. A view is never changed here: the machine only says that it is outdated.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.calls import PendingCall, replies_to_lost
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
    """The machine of the role PRIMARY, in one view."""

    def __init__(self, shared: SharedState, candidate: Candidate, view: View, now: int) -> None:
        """Take over from a candidate that won: the view is in force, and this member's replica has its state."""
        super().__init__(Role.PRIMARY, shared)
        shared.known_view.learn(view, in_force=True)
        shared.known_primary.follow(shared.me, view.epoch)
        self._leave_out_overdue(candidate, view, now)
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
        """The calls that wait for an answer."""
        return self.primary.pending

    def begin(self, candidate: Candidate, pending: Sequence[PendingCall], now: int) -> list[Action]:
        """Tell the view, and go on with the calls of the view before if this member's state was kept whole."""
        if candidate.source == self._shared.me:
            return [*self.primary.begin(now), *self.primary.adopt(pending, now)]
        return [*replies_to_lost(pending), *self.primary.begin(now), *self.primary.adopt((), now)]

    def tick(self, now: int) -> Outcome:
        """Notice lost contact, stuck replicas and an outdated view; else repeat what is due."""
        shared, primary = self._shared, self.primary
        if primary.has_lost_contact(now):
            return Outcome(event=RoleEvent.UNABLE_TO_LEAD)
        for member in primary.stuck_replicas(now):
            if member == shared.me:
                return Outcome(event=RoleEvent.UNABLE_TO_LEAD)
            shared.liveness.record_failure(member, now)
        if shared.planner.wants_change(primary.view, now):
            return Outcome(event=RoleEvent.VIEW_OUTDATED)
        followers = shared.planner.followers(primary.view, now)
        return Outcome([*primary.catch_up.set_members(followers, now), *primary.tick(now)])

    def take_answer(self, sender: MemberId, answer: Answer, now: int) -> Outcome:
        """Take a witness's, a replica's or a joining member's answer in this view's epoch."""
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
        return Outcome()  # an answer to the candidate that this member was

    def _take_refused(self, sender: MemberId, answer: Refused, now: int) -> Outcome:
        """Step down for a replica that promised a higher epoch; take in one that can join in a higher epoch only."""
        primary = self.primary
        self._shared.liveness.record_answer(sender, now)
        if answer.promised <= primary.view.epoch:
            return Outcome()
        if sender in primary.view.replicas:
            return Outcome(event=RoleEvent.EPOCH_REFUSED)
        is_steady = now - primary.began >= self._shared.timing.steady_after_ns
        if primary.catch_up.has(sender) and is_steady:
            return Outcome(event=RoleEvent.VIEW_OUTDATED)  # nothing but a higher epoch lets this member catch up
        return Outcome()

    def awaits(self, answer: Answer) -> bool:
        """Return whether the answer is in the epoch of this view."""
        return not isinstance(answer, PreVote) and answer.epoch == self.primary.view.epoch

    def discount_stall(self, stall: int) -> None:
        """Do not blame witnesses and replicas for the time for which this process stalled."""
        self.primary.discount_stall(stall)

    def submit(self, call: int, change: Change, now: int) -> list[Action]:
        """Apply and replicate a change, or refuse it where too much is pending."""
        if not self.primary.has_capacity_for(change):
            return [Reply(call, Failure(ResultCode.OVERLOADED, "too many changes are in progress"))]
        return self.primary.submit(call, change, now)

    def read(self, call: int, now: int) -> list[Action]:
        """Answer with the committed state once a quorum confirmed this primary."""
        return self.primary.read(call, now)

    def release(self, member: MemberId, standbys: Collection[MemberId], now: int) -> LeaveGranted | None:
        """Release a member that the view in force does without, if no standby may still take its vote."""
        primary = self.primary
        if member in primary.view.replicas or not primary.is_reconfiguration_complete:
            return None
        if self._shared.planner.will_change(primary.view, now):
            return None
        liveness = self._shared.liveness
        if not all(standby in primary.view.members or liveness.may_join(standby, now) for standby in standbys):
            return None
        return LeaveGranted(primary.view.epoch, len(primary.view.replicas))

    def removal(self, ip: str, now: int) -> Removal | Failure:
        """Return how far the removal of the member at an address is, or why it may not be removed."""
        primary, planner = self.primary, self._shared.planner
        return removal_of(
            ip,
            primary.view,
            primary.is_reconfiguration_complete,
            known=self._shared.liveness.known(),
            can_do_without=lambda member: planner.can_do_without(member, primary.view, now),
        )

    def is_caught_up(self, member: MemberId, now: int) -> bool:
        """Return whether the member follows closely."""
        return self.primary.catch_up.is_nearly_caught_up(member, now)

    def finds_primary_unresponsive(self, now: int) -> bool:
        """Return False: it is the primary."""
        del now
        return False

    def _leave_out_overdue(self, candidate: Candidate, view: View, now: int) -> None:
        """Whoever answered too late to be a replica is not taken in again at once."""
        liveness = self._shared.liveness
        for member in view.witnesses:
            if member in view.replicas or liveness.is_leaving(member) or candidate.has_promise(member):
                continue
            if liveness.is_alive(member, now):
                liveness.record_failure(member, now)
