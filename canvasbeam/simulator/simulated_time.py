"""Simulated time: the one queue of events, and the loop that a scheduler's core runs on.

It must never read a clock, or let an event happen before one that came first.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from canvasbeam.scheduler.limits import MICROSECOND, nanoseconds
from canvasbeam.scheduler.loop import Deadline
from canvasbeam.simulator.model.units import SECOND

# The simulated day begins here, so that no time is 0, which means long ago.
START = 1_000 * SECOND


class EventQueue:
    """The one queue of events: by time, and at one time in the order in which they were asked for."""

    def __init__(self) -> None:
        self.now = START
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._order = 0
        self.events = 0

    def at(self, when: int, action: Callable[[], None]) -> None:
        """Do this at that time, whole microseconds, not before now."""
        self._order += 1
        heapq.heappush(self._heap, (max(self.now, -(-when // 1000) * 1000), self._order, action))

    def after(self, span: int, action: Callable[[], None]) -> None:
        """Do this so much later."""
        self.at(self.now + span, action)

    def run(self, until: Callable[[], bool], end: int) -> None:
        """Event after event until the condition holds, the end has come, or nothing is left."""
        heap = self._heap
        while heap and not until():
            when, _, action = heap[0]
            if when > end:
                break
            heapq.heappop(heap)
            self.now = when
            self.events += 1
            action()


class SimulatedLoop:
    """What the core wants of a loop, on the queue: deadlines, and a pass soon after something came in."""

    def __init__(self, queue: EventQueue, pass_ns: int) -> None:
        self.queue = queue
        self.end_of_pass: Callable[[], None] = lambda: None
        self._pass_ns = pass_ns
        self._passing = False
        self._order = 0
        self.stopped = False
        self.frozen = False  # by SIGSTOP: what comes waits
        self._waiting: list[Callable[[], object]] = []

    def gate(self, action: Callable[[], object]) -> None:
        """Run what comes from outside, or is due, at once or once the process goes on."""
        if self.frozen:
            self._waiting.append(action)
        else:
            action()

    def thaw(self) -> None:
        """SIGCONT: all that waited, in the order in which it came."""
        self.frozen = False
        waiting, self._waiting = self._waiting, []
        for action in waiting:
            action()

    @property
    def now(self) -> timedelta:
        """Since the day's start."""
        return (self.queue.now - START) // 1000 * MICROSECOND

    def at(self, when: timedelta, action: Callable[[], None], owner: object = None) -> Deadline:
        """As the program's loop does it: at or after that time, unless cancelled."""
        self._order += 1
        deadline = Deadline(when, self._order, None, action)
        self.queue.at(START + nanoseconds(when), partial(self.gate, partial(self._due, deadline)))
        return deadline

    def after(self, span: timedelta, action: Callable[[], None], owner: object = None) -> Deadline:
        """Do this once the span is over."""
        return self.at(self.now + span, action, owner)

    def _due(self, deadline: Deadline) -> None:
        action, deadline.action = deadline.action, None
        if action is not None and not self.stopped:
            action()

    def cancel(self, deadline: Deadline | None) -> None:
        """Drop a deadline."""
        if deadline is not None:
            deadline.action = None

    def again(self) -> None:
        """Have a pass soon."""
        if not self._passing:
            self._passing = True
            self.queue.after(self._pass_ns, partial(self.gate, self._pass))

    def _pass(self) -> None:
        self._passing = False
        if not self.stopped:
            self.end_of_pass()
