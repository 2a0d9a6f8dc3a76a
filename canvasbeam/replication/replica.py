"""The replica of a member: its state, which may be ahead of the state known to be committed.

Owns the states from the committed one to the newest. The replica never decides whether an epoch is refused: the
member's witness does.
"""

from __future__ import annotations

from collections.abc import Sequence

from canvasbeam.errors import Failure
from canvasbeam.replication.control_state import Change, ControlState
from canvasbeam.replication.messages import SaveChange
from canvasbeam.replication.views import NO_EPOCH, ApplyChange, Epoch, Position


class Replica:
    """Applies changes in order, and only within the epoch for which the replica was installed."""

    def __init__(self, apply: ApplyChange, epoch: Epoch, state: ControlState, committed: int) -> None:
        self._apply = apply
        self.epoch = epoch
        self.state = state
        self.committed = state if 0 < state.index <= committed else ControlState()
        self._uncommitted: dict[int, ControlState] = {state.index: state}

    @property
    def position(self) -> Position:
        """The epoch of the replica and the index of its state."""
        return Position(self.epoch, self.state.index)

    def install(self, epoch: Epoch, state: ControlState) -> None:
        """Begin an epoch with the given state."""
        self.epoch = epoch
        self.state = state
        self._uncommitted = {state.index: state}

    def append(self, previous: int, changes: Sequence[Change]) -> list[SaveChange] | Failure:
        """Apply the new ones of the changes after index `previous`; return an empty list on a gap or if none is new."""
        saves: list[SaveChange] = []
        for index, change in enumerate(changes, previous + 1):
            if index != self.state.index + 1:
                continue
            outcome = self._apply(self.state, change)
            if isinstance(outcome, Failure):
                return outcome
            self.advance(outcome)
            saves.append(SaveChange(change, outcome))
        return saves

    def advance(self, state: ControlState) -> None:
        """Set the state that resulted from the next change."""
        self.state = state
        self._uncommitted[state.index] = state

    def state_at(self, index: int) -> ControlState:
        """Return the state at an index between the committed and the newest one."""
        return self._uncommitted[index]

    def commit(self, epoch: Epoch, index: int) -> ControlState | None:
        """Record that all replicas of the epoch have stored `index`; return the newly committed state, or None."""
        if epoch != self.epoch or self.epoch == NO_EPOCH or index <= self.committed.index:
            return None
        reached = [stored for stored in self._uncommitted if stored <= index]
        if not reached:
            return None
        newest = self._uncommitted[max(reached)]
        for stored in reached:
            if stored < newest.index:
                del self._uncommitted[stored]
        if newest.index <= self.committed.index:
            return None
        self.committed = newest
        return newest
