"""The departure of a member that may not return: the member may stop once enough other members store the state.

| state | meaning | next state |
| --- | --- | --- |
| STAYING | the member takes part as usual | LEAVING on `begin` |
| LEAVING | the member announces its departure; it votes and stores, but does not lead | GRANTED on a grant; ALONE |
| GRANTED | a view in force excludes the member and has enough synced copies of the state | none |
| ALONE | all other members are leaving too, so no member could take over | LEAVING if another member stays |

Only `_enter` changes the state. The module owns the departure state; the resignation of the member and the end of the
process are up to the caller.
"""

from __future__ import annotations

from enum import Enum, auto

from canvasbeam.replication.member_liveness import MemberLiveness
from canvasbeam.replication.messages import Leave, Send
from canvasbeam.replication.timing import ReplicationTiming
from canvasbeam.replication.views import MemberId, View


class DepartureState(Enum):
    """The progress of a member's departure; the module docstring has the transitions."""

    STAYING = auto()
    LEAVING = auto()
    GRANTED = auto()
    ALONE = auto()


class Departure:
    """The departure of this member: announcements to the other members, and the grant by the primary."""

    def __init__(self, me: MemberId, timing: ReplicationTiming) -> None:
        self.state = DepartureState.STAYING
        self.copies = 0  # synced copies of the state on other members, set by the grant
        self._me = me
        self._timing = timing
        self._last_sent = 0
        self._alone_since: int | None = None  # time since which all other members appear to be leaving

    @property
    def has_begun(self) -> bool:
        """Return True if the departure of this member has begun."""
        return self.state is not DepartureState.STAYING

    @property
    def may_end(self) -> bool:
        """Return True if the process of this member may end now."""
        return self.state in (DepartureState.GRANTED, DepartureState.ALONE)

    def begin(self, view: View | None, liveness: MemberLiveness, now: int) -> list[Send]:
        """Begin the departure, and return the announcements to the other members; empty if already begun."""
        if self.has_begun:
            return []
        self._enter(DepartureState.LEAVING)
        self._decide_whether_alone(view, liveness, now)
        return self._notify(view, liveness, now)

    def tick(self, view: View | None, liveness: MemberLiveness, now: int) -> list[Send]:
        """Repeat the announcements while the process runs: other members judge by the newest message they received."""
        if not self.has_begun:
            return []
        self._decide_whether_alone(view, liveness, now)
        if now - self._last_sent < self._timing.hello_interval_ns:
            return []
        return self._notify(view, liveness, now)

    def record_grant(self, copies: int) -> None:
        """Record the primary's grant: the view excludes this member, and `copies` other members store the state."""
        if self.has_begun:
            self.copies = copies
            self._enter(DepartureState.GRANTED)

    def _enter(self, state: DepartureState) -> None:
        self.state = state

    def _decide_whether_alone(self, view: View | None, liveness: MemberLiveness, now: int) -> None:
        """Enter ALONE if no other member stays, else LEAVING; members that stay answer `Leave`, so they are seen."""
        if self.state is DepartureState.GRANTED:
            return
        others = self._others(view)
        if not all(liveness.is_leaving(member) for member in others):
            self._alone_since = None
            self._enter(DepartureState.LEAVING)
            return
        if self._alone_since is None:
            self._alone_since = now
        if not others or now - self._alone_since >= self._timing.unresponsive_after_ns:
            self._enter(DepartureState.ALONE)

    def _notify(self, view: View | None, liveness: MemberLiveness, now: int) -> list[Send]:
        self._last_sent = now
        members = () if view is None else view.members
        message = Leave(tuple(liveness.usable_outside(members, now)))
        return [Send(member, message) for member in self._others(view)]

    def _others(self, view: View | None) -> list[MemberId]:
        members = () if view is None else view.members
        return [member for member in members if member != self._me]
