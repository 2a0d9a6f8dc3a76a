"""What the state machine of a role offers, and what a role does where it has nothing of its own to do.

The defaults are those of a member that leads nothing and asks for nothing. A machine changes the shared parts through
their calls; it must never change the role, which it only asks for in its `Outcome`.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from canvasbeam.replication.calls import PendingCall
from canvasbeam.replication.control_state import Change
from canvasbeam.replication.messages import Action, Answer, Fetched, LeaveGranted, Reply
from canvasbeam.replication.roles import Outcome, Role
from canvasbeam.replication.shared_state import SharedState
from canvasbeam.replication.views import MemberId


class RoleMachine:
    """The base of the machines of all roles. All times are whole nanoseconds of one monotonic clock."""

    def __init__(self, role: Role, shared: SharedState) -> None:
        self.role = role
        self._shared = shared

    @property
    def pending(self) -> Sequence[PendingCall]:
        """The operator's calls that wait for an answer, in their order."""
        return ()

    def tick(self, now: int) -> Outcome:
        """Act on the time that has passed."""
        raise NotImplementedError

    def take_answer(self, sender: MemberId, answer: Answer, now: int) -> Outcome:
        """Take an answer that `awaits` accepted."""
        raise NotImplementedError

    def awaits(self, answer: Answer) -> bool:
        """Return whether an answer is to a call that this machine made."""
        del answer
        return False

    def awaits_state(self, answer: Fetched) -> bool:
        """Return whether the machine waits for this state, so that its snapshot is worth fetching."""
        del answer
        return False

    def record_progress(self, now: int) -> None:
        """Record that a chunk of a snapshot moved."""

    def discount_stall(self, stall: int) -> None:
        """Do not blame others for the time for which this process stalled."""

    def submit(self, call: int, change: Change, now: int) -> list[Action]:
        """Take a change of the operator; by default refuse it, naming the primary where one is known."""
        del change, now
        return [Reply(call, self._shared.known_primary.refusal())]

    def read(self, call: int, now: int) -> list[Action]:
        """Take the operator's question for the newest state; by default refuse it."""
        del now
        return [Reply(call, self._shared.known_primary.refusal())]

    def release(self, member: MemberId, standbys: Collection[MemberId], now: int) -> LeaveGranted | None:
        """Return the release of a member that leaves, or None where this machine cannot decide that yet."""
        del member, standbys, now
        return None

    def is_caught_up(self, member: MemberId, now: int) -> bool:
        """Return whether a member that is to join a view has nearly everything, as far as this machine can tell."""
        del member, now
        return True

    def finds_primary_unresponsive(self, now: int) -> bool:
        """Return the answer to a candidate that asks for a pre-vote."""
        return self._shared.finds_primary_unresponsive(now)
