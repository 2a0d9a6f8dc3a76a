"""What the second address asks of the running scheduler, and tells it.

It owns the answers to the operators' calls, read from the parts that count them where they happen. It must never
touch a socket, never decide which target gets a job, and never estimate a figure that is not counted.
"""

from __future__ import annotations

from canvasbeam.net.core import Core
from canvasbeam.net.listener import Listener


class OperatorDesk:
    """The calls of the second address, on one scheduler."""

    def __init__(self, core: Core, listener: Listener) -> None:
        self._core = core
        self._listener = listener

    def can_serve(self) -> bool:
        """Yes once there is a live target to send to, and no planned end has begun."""
        return self._listener.is_ready
