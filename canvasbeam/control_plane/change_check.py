"""Check large changes in a thread, so that the event loop keeps sending heartbeats during a check.

The structure of a change does not depend on the control state: after a change has passed the check once, the primary
and the other replicas can apply the change without checking its structure again.
"""

from __future__ import annotations

import asyncio

from canvasbeam.errors import Failure
from canvasbeam.replication.control_state import Change, ControlState
from canvasbeam.replication.views import ApplyChange

LARGE_BYTES = 64 << 10


class ChangeCheck:
    """The `ApplyChange` function of a primary. Owns the set of changes whose structure was checked in advance."""

    def __init__(self, apply: ApplyChange, apply_checked: ApplyChange) -> None:
        self._apply = apply
        self._apply_checked = apply_checked
        self._checked: dict[int, Change] = {}  # changes that passed the check, by `id()`, until `end`

    async def begin(self, state: ControlState, change: Change) -> None:
        """Check a large change in a thread; a change that fails the check is checked again when it is applied."""
        if len(change.body) < LARGE_BYTES:
            return
        outcome = await asyncio.to_thread(self._apply, state, change)
        if not isinstance(outcome, Failure):
            self._checked[id(change)] = change

    def end(self, change: Change) -> None:
        """Discard the check result of a change after the call that submitted the change has ended."""
        self._checked.pop(id(change), None)

    def apply(self, state: ControlState, change: Change) -> ControlState | Failure:
        """Apply a change, without a structure check if the change has passed the check in `begin`."""
        apply = self._apply_checked if id(change) in self._checked else self._apply
        return apply(state, change)
