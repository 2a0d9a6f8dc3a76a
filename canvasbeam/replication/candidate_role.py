"""The role of a candidate, or of a primary that changes its view: makes attempts until one is won or lost.

Owns the current attempt (`candidate.Candidate`) and, while a primary changes its view, the deferred calls. A replica
that does not store the state in time is excluded from the next attempt.
"""

from __future__ import annotations

from collections.abc import Sequence

from canvasbeam.replication.calls import DeferredCalls, PendingCall
from canvasbeam.replication.candidate import Candidate, Phase
from canvasbeam.replication.control_state import Change
from canvasbeam.replication.messages import Action, Answer, Fetched, PreVote, Reply, Send
from canvasbeam.replication.primary import Primary
from canvasbeam.replication.role_machine import RoleMachine
from canvasbeam.replication.roles import Outcome, Role, RoleEvent
from canvasbeam.replication.shared_state import SharedState
from canvasbeam.replication.views import MemberId, View


class CandidateRole(RoleMachine):
    """The state machine of the roles CANDIDATE and REFORMING."""

    def __init__(self, shared: SharedState, base: View, former_primary: Primary | None, now: int) -> None:
        """Prepare an attempt. `former_primary` led the view that is being changed; None for a candidate."""
        super().__init__(Role.CANDIDATE if former_primary is None else Role.REFORMING, shared)
        self._deferred = None if former_primary is None else DeferredCalls(former_primary.pending)
        self._caught_up = None if former_primary is None else former_primary.catch_up.nearly_caught_up_members(now)
        self.candidate = self._next_candidate(base)

    @property
    def pending(self) -> Sequence[PendingCall]:
        """Operator calls that are deferred until the new view is in force."""
        return () if self._deferred is None else self._deferred.pending

    def begin(self, now: int) -> Outcome:
        """Start the attempt: a candidate requests pre-votes, a primary requests promises without a pre-vote."""
        return self._perform_own_steps(self.candidate.begin(pre_vote=self.role is Role.CANDIDATE, now=now), now)

    def tick(self, now: int) -> Outcome:
        """Advance the attempt; if replicas did not store the state in time, begin a new attempt without them."""
        overdue = self.candidate.replicas_without_state()
        sends = self.candidate.tick(now)
        view = self._shared.known_view.view
        if self.candidate.phase is not Phase.LOST or not overdue or view is None:
            return self._perform_own_steps(sends, now)
        for member in overdue:
            self._shared.liveness.record_failure(member, now)
        self.candidate = self._next_candidate(view)
        return self._perform_own_steps(self.candidate.begin(pre_vote=False, now=now), now)

    def take_answer(self, sender: MemberId, answer: Answer, now: int) -> Outcome:
        """Pass an answer to the current attempt."""
        return self._perform_own_steps(self.candidate.handle(sender, answer, now), now)

    def awaits(self, answer: Answer) -> bool:
        """Return True if the answer responds to a request of the current attempt."""
        if isinstance(answer, PreVote):
            return answer.number == self.candidate.epoch.number
        return answer.epoch == self.candidate.epoch

    def awaits_state(self, answer: Fetched) -> bool:
        """Return True if the current attempt waits for this state."""
        return self.candidate.awaits(answer)

    def record_progress(self, now: int) -> None:
        """Restart the phase timeout because a snapshot chunk was transferred."""
        self.candidate.record_progress(now)

    def submit(self, call: int, change: Change, now: int) -> list[Action]:
        """Defer a change until the new view is in force, or refuse the change."""
        return self._defer_or_refuse(PendingCall(call, now, change=change))

    def read(self, call: int, now: int) -> list[Action]:
        """Defer a read until the new view is in force, or refuse the read."""
        return self._defer_or_refuse(PendingCall(call, now, sequence=1))

    def is_caught_up(self, member: MemberId, now: int) -> bool:
        """Return True if the member was nearly caught up in the old view or, for a candidate, has the source state."""
        del now
        if self._caught_up is not None:
            return member in self._caught_up
        return self.candidate.has_source_state(member)

    def _defer_or_refuse(self, pending: PendingCall) -> list[Action]:
        if self._deferred is not None and self._deferred.defer(pending):
            return []
        return [Reply(pending.call, self._shared.known_primary.refusal())]

    def _next_candidate(self, base: View) -> Candidate:
        shared = self._shared
        return Candidate(
            shared.me,
            base,
            shared.known_view.in_force,
            number=shared.epoch_numbers.draw(),
            plan=shared.planner.plan,
            is_alive=shared.liveness.is_alive,
            timing=shared.timing,
            snapshots=shared.snapshots,
        )

    def _perform_own_steps(self, sends: Sequence[Send], now: int) -> Outcome:
        """Perform the attempt's steps on this member's witness and replica; return the actions and any end event."""
        candidate = self.candidate
        shared = self._shared
        actions: list[Action] = [*sends]
        if candidate.phase is Phase.PREPARING and shared.witness.promised < candidate.epoch:
            # `Prepare` is sent only after this member's own promise is synced, so that no epoch is ever used twice.
            shared.witness.promise(candidate.epoch)
            actions.insert(0, shared.witness.save_action())
        if candidate.needs_own_state:
            actions += candidate.provide_state(shared.replica.state, now)
        if candidate.phase is Phase.WON:
            return Outcome(actions, RoleEvent.WON)
        if candidate.phase is Phase.LOST:
            return Outcome(actions, RoleEvent.LOST if candidate.has_prepared else RoleEvent.PRE_VOTE_LOST)
        return Outcome(actions)
