"""Hold what is common to the parts of a dispatcher during one call: the time, and the actions decided so far.

`Dispatcher.handle` begins a pass; its parts read the time and append actions. The order in which they are appended is
the order in which the caller carries them out.
"""

from __future__ import annotations

from canvasbeam.dispatch.actions import Action


class CurrentPass:
    """One call of a dispatcher: the time of its events, in nanoseconds, and the actions that they lead to."""

    __slots__ = ("actions", "now")

    def __init__(self) -> None:
        self.now = 0
        self.actions: list[Action] = []

    def begin(self, now: int) -> None:
        """Begin the pass for the events that came in at this time."""
        self.now = now
        self.actions = []
