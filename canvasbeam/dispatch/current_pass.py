"""Hold the state that the parts of a dispatcher share during one call: the time, and the actions decided so far.

`Dispatcher.handle` begins a pass; the parts read the time and append actions. The caller executes the actions in the
order in which the parts appended them.
"""

from __future__ import annotations

from canvasbeam.dispatch.actions import Action


class CurrentPass:
    """One call of a dispatcher: the time of the events, in nanoseconds, and the resulting actions."""

    __slots__ = ("actions", "now")

    def __init__(self) -> None:
        self.now = 0
        self.actions: list[Action] = []

    def begin(self, now: int) -> None:
        """Begin a pass for the events that arrived at time `now`, without actions so far."""
        self.now = now
        self.actions = []
