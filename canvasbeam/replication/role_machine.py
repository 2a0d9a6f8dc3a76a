"""The interface of a role's state machine, and the default behaviour for roles that do not override a method.

The defaults are those of a member that neither leads nor has a request pending. A machine changes the shared parts only
through their methods. A machine must never change the role itself; it requests the change in its `Outcome`.
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
    """Base class of the state machines of all roles. All times are integer nanoseconds of one monotonic clock."""

    def __init__(self, role: Role, shared: SharedState) -> None:
        self.role = role
        self._shared = shared

    @property
    def pending(self) -> Sequence[PendingCall]:
        """Operator calls that wait for an answer, in order of arrival."""
        return ()

    def tick(self, now: int) -> Outcome:
        """Return the actions due at `now`, and the event that ends the role, if any."""
        raise NotImplementedError

    def take_answer(self, sender: MemberId, answer: Answer, now: int) -> Outcome:
        """Process an answer for which `awaits` returned True."""
        raise NotImplementedError

    def awaits(self, answer: Answer) -> bool:
        """Return True if an answer responds to a request of this machine."""
        del answer
        return False

    def awaits_state(self, answer: Fetched) -> bool:
        """Return True if the machine waits for this state, so that the snapshot must be fetched."""
        del answer
        return False

    def record_progress(self, now: int) -> None:
        """Record that a chunk of a snapshot was transferred."""

    def discount_stall(self, stall: int) -> None:
        """Exclude a stall of this process, in nanoseconds, from the timeouts of other members."""

    def submit(self, call: int, change: Change, now: int) -> list[Action]:
        """Handle a change of the operator; by default refuse the change, naming the primary if one is known."""
        del change, now
        return [Reply(call, self._shared.known_primary.refusal())]

    def read(self, call: int, now: int) -> list[Action]:
        """Handle a read of the newest state; by default refuse the read, naming the primary if one is known."""
        del now
        return [Reply(call, self._shared.known_primary.refusal())]

    def grant_leave(self, member: MemberId, standbys: Collection[MemberId], now: int) -> LeaveGranted | None:
        """Return the grant for a member that leaves, or None if this machine cannot decide on the grant yet."""
        del member, standbys, now
        return None

    def is_caught_up(self, member: MemberId, now: int) -> bool:
        """Return True if a joining member is nearly caught up, or if this role has no data on the member's progress."""
        del member, now
        return True

    def finds_primary_unresponsive(self, now: int) -> bool:
        """Return the answer to a pre-vote request: True if the primary is unresponsive or unknown."""
        return self._shared.finds_primary_unresponsive(now)
