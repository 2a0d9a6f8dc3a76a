"""Catch-up of members that are not replicas of the view, while the primary continues to serve.

The members are those about to join the view, and standbys, which may have to replace a lost replica at any time.

| stage | waits for | next stage |
| --- | --- | --- |
| ASKED | the answer whether the member has the initial state of the view, or a later one | FOLLOWING, INSTALLING |
| INSTALLING | the confirmation that the member stores a state, which is sent in chunks if large | FOLLOWING |
| FOLLOWING | nothing: the primary sends the changes in order | INSTALLING if the log lacks the next change |

A member may join once it lags the primary by at most 0.3 s: the view change then transfers only changes that are in
flight already. The confirmations of a member that catches up commit nothing, and a candidate (`Candidate`) never takes
the view's state from a member that is not yet a replica.

Owns the stage of each member that catches up. The primary owns the log and the snapshots.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

from canvasbeam.replication.change_flow import ChangeFlow
from canvasbeam.replication.change_log import ChangeLog
from canvasbeam.replication.control_state import ControlState
from canvasbeam.replication.messages import Append, Install, Installed, Send
from canvasbeam.replication.replica import Replica
from canvasbeam.replication.snapshots import SnapshotSource
from canvasbeam.replication.timing import ReplicationTiming
from canvasbeam.replication.views import Epoch, MemberId, Position
from canvasbeam.units import MILLISECOND

MAX_JOIN_LAG_NS = 300 * MILLISECOND  # largest lag behind the primary at which a member may join
# Multiple of `resend_interval_ns` after which an unconfirmed batch is resent; a batch may take long on a slow link.
CATCH_UP_RESEND_FACTOR = 4


class CatchUpStage(Enum):
    """The catch-up stage of one member; the module docstring has the transitions."""

    ASKED = auto()
    INSTALLING = auto()
    FOLLOWING = auto()


@dataclass(slots=True)
class _MemberCatchUp:
    """The catch-up of one member: the state to install, or the flow of changes to the member."""

    stage: CatchUpStage = CatchUpStage.ASKED
    last_sent: int = 0
    snapshot: ControlState | None = None
    flow: ChangeFlow | None = None  # set in stage FOLLOWING only


class CatchUp:
    """Brings members up to date with the primary of one view."""

    def __init__(
        self,
        epoch: Epoch,
        began_at: Position,
        *,
        replica: Replica,
        log: ChangeLog,
        snapshots: SnapshotSource,
        timing: ReplicationTiming,
    ) -> None:
        self._epoch = epoch
        self._began_at = began_at
        self._replica = replica
        self._log = log
        self._snapshots = snapshots
        self._timing = timing
        self._joining: dict[MemberId, _MemberCatchUp] = {}

    def set_members(self, members: Sequence[MemberId], now: int) -> list[Send]:
        """Start the catch-up of new members, and end the catch-up of members that are no longer listed."""
        for member in [member for member in self._joining if member not in members]:
            del self._joining[member]
        sends: list[Send] = []
        for member in members:
            if member not in self._joining:
                self._joining[member] = _MemberCatchUp()
                sends.append(self._install(member, now))
        return sends

    def tick(self, now: int) -> list[Send]:
        """Resend unanswered messages, and send a new state to members that need changes trimmed from the log."""
        sends: list[Send] = []
        for member, joining in self._joining.items():
            if joining.flow is not None and not joining.flow.is_covered_by_log:
                self._enter(joining, CatchUpStage.INSTALLING)
            if joining.flow is not None:
                sends += self._resend(member, joining.flow, now)
            elif now - joining.last_sent >= self._timing.resend_interval_ns:
                sends.append(self._install(member, now))
        return sends

    def on_change(self, now: int) -> list[Send]:
        """Send the change just appended to the log to the members in stage FOLLOWING."""
        sends: list[Send] = []
        for member, joining in self._joining.items():
            if joining.flow is not None:
                sends += self._next_batch(member, joining.flow, now)
        return sends

    def take_installed(self, sender: MemberId, message: Installed, now: int) -> list[Send]:
        """Handle a member's answer that it has stored a state of this epoch, or that it needs one."""
        joining = self._joining.get(sender)
        if joining is None or joining.stage is CatchUpStage.FOLLOWING:
            return []
        if message.stored and self._log.reaches_back_to(message.index):
            self._enter(joining, CatchUpStage.FOLLOWING)
            joining.flow = ChangeFlow(self._log, message.index)
            return self._next_batch(sender, joining.flow, now)
        if joining.stage is CatchUpStage.INSTALLING and not message.stored:
            return []
        self._enter(joining, CatchUpStage.INSTALLING)
        return [self._install(sender, now)]

    def take_appended(self, sender: MemberId, index: int, now: int) -> list[Send]:
        """Handle a member's confirmation that it has stored all changes up to `index`."""
        joining = self._joining.get(sender)
        if joining is None or joining.flow is None or not joining.flow.confirm(index, now):
            return []
        return self._next_batch(sender, joining.flow, now)

    def has(self, member: MemberId) -> bool:
        """Return True if the member is catching up."""
        return member in self._joining

    def is_nearly_caught_up(self, member: MemberId, now: int) -> bool:
        """Return True if the member may join: all changes were sent, and the oldest unconfirmed change is recent."""
        joining = self._joining.get(member)
        if joining is None or joining.flow is None or not joining.flow.is_covered_by_log:
            return False
        return joining.flow.sent == self._log.end and self._log.lag_of(joining.flow.index, now) <= MAX_JOIN_LAG_NS

    def nearly_caught_up_members(self, now: int) -> frozenset[MemberId]:
        """Return all members that may join now."""
        return frozenset(member for member in self._joining if self.is_nearly_caught_up(member, now))

    def oldest_needed(self) -> int | None:
        """Return the lowest index after which joining members still need all changes, or None if no member joins."""
        followed = [joining.flow.index for joining in self._joining.values() if joining.flow is not None]
        installed = [joining.snapshot.index for joining in self._joining.values() if joining.snapshot is not None]
        asked = [self._began_at.index for joining in self._joining.values() if joining.stage is CatchUpStage.ASKED]
        return min((*followed, *installed, *asked), default=None)

    def _enter(self, joining: _MemberCatchUp, stage: CatchUpStage) -> None:
        """Change the stage of a member; no other method changes a stage."""
        joining.stage = stage
        joining.flow = None
        joining.snapshot = self._snapshot_for_all() if stage is CatchUpStage.INSTALLING else None

    def _snapshot_for_all(self) -> ControlState:
        """Return a state that other members are installing if the log continues from it, else the newest state."""
        offered = [joining.snapshot for joining in self._joining.values() if joining.snapshot is not None]
        usable = [state for state in offered if self._log.reaches_back_to(state.index)]
        return usable[0] if usable else self._replica.state

    def _install(self, member: MemberId, now: int) -> Send:
        joining = self._joining[member]
        joining.last_sent = now
        if joining.snapshot is None:
            return Send(member, Install(self._epoch, self._began_at, None))
        if not self._log.reaches_back_to(joining.snapshot.index):
            joining.snapshot = self._snapshot_for_all()
        position = Position(self._epoch, joining.snapshot.index)
        return Send(member, Install(self._epoch, position, self._snapshots.offer(joining.snapshot)))

    def _resend(self, member: MemberId, flow: ChangeFlow, now: int) -> list[Send]:
        if now - flow.last_sent < CATCH_UP_RESEND_FACTOR * self._timing.resend_interval_ns:
            return []
        flow.restart()
        return self._next_batch(member, flow, now)

    def _next_batch(self, member: MemberId, flow: ChangeFlow, now: int) -> list[Send]:
        batch = flow.next_batch(now)
        if batch is None:
            return []
        return [Send(member, Append(self._epoch, batch.previous, batch.changes, self._replica.committed.index))]
