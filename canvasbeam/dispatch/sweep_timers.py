"""Keep what is due when: the requests and workers that a sweep is to look at, and the timer that starts it.

Owns the two heaps of times, the timer's state, and how often pending requests are looked at. It must never decide what
is done at a sweep. All times are nanoseconds on the clock of the events.
"""

from __future__ import annotations

from collections.abc import Sequence
from heapq import heappop, heappush
from math import ceil, inf
from typing import TypeVar

from canvasbeam.dispatch.current_pass import CurrentPass
from canvasbeam.dispatch.records import TrackedRequest, TrackedWorker
from canvasbeam.dispatch.settings import RequestClass, Settings
from canvasbeam.units import SECOND

# The token of the timer that starts a sweep.
SWEEP_TIMER = "sweep"
# The sweep looks at time-outs no more often than this many quanta: often enough for any latency target.
SWEEP_QUANTA = 4
# Sweeps for workers that have become available, in the shortest latency target, while requests are pending.
PENDING_SWEEPS_PER_LATENCY_TARGET = 10

_Tracked = TypeVar("_Tracked", TrackedRequest, TrackedWorker)


class SweepTimers:
    """When each request and worker is to be looked at next.

    A sweep that looks at all requests and workers takes more time than there is among many. Each says when something
    may have to be done for it; what happens to it meanwhile brings that forward.
    """

    def __init__(self, settings: Settings, current: CurrentPass) -> None:
        self._current = current
        self.shortest_ns = SWEEP_QUANTA * settings.quantum_ns  # between two sweeps at the least
        self._pending_interval_ns = self._choose_pending_interval(settings.classes)
        self._wake = inf  # when the next sweep is needed
        self._armed = inf  # the earliest timer set for it
        self._requests: list[tuple[float, int, TrackedRequest]] = []
        self._workers: list[tuple[float, int, TrackedWorker]] = []
        self._pushed = 0  # entries of both heaps so far: orders those of one time

    @property
    def now(self) -> int:
        """The time of the current pass."""
        return self._current.now

    def change_classes(self, classes: Sequence[RequestClass]) -> None:
        """Take new classes, whose shortest latency target tells how often pending requests are looked at."""
        self._pending_interval_ns = self._choose_pending_interval(classes)

    def _choose_pending_interval(self, classes: Sequence[RequestClass]) -> int:
        """Return how often workers are looked for while requests are pending, in nanoseconds."""
        shortest = min((known.latency_target_ns for known in classes), default=SECOND)
        return max(self.shortest_ns, shortest // PENDING_SWEEPS_PER_LATENCY_TARGET)

    def next_pending_sweep(self) -> int:
        """Return when pending requests are looked at next."""
        return self._current.now + self._pending_interval_ns

    def schedule(self, tracked: TrackedRequest | TrackedWorker, when: float) -> None:
        """Have the first sweep at or after this time look at a request or a worker."""
        if when < tracked.check_at:
            tracked.check_at = when
            self._pushed += 1
            if isinstance(tracked, TrackedWorker):
                heappush(self._workers, (when, self._pushed, tracked))
            else:
                heappush(self._requests, (when, self._pushed, tracked))
            self.wake_by(when)

    def wake_by(self, when: float) -> None:
        """Have a sweep at this time at the latest, but no sooner than the shortest interval from now.

        Hundreds of dispatchers that each look every few quanta take more time than there is.
        """
        self._wake = min(self._wake, max(when, self._current.now + self.shortest_ns))

    def begin_sweep(self) -> bool:
        """Begin the sweep that the timer was set for; false where this timer was set for an earlier one."""
        if self._current.now < self._armed:
            return False
        self._wake = self._armed = inf
        return True

    def due_workers(self) -> list[TrackedWorker]:
        """Take the workers to be looked at now, in the order in which they were first named."""
        return sorted(self._due(self._workers), key=lambda worker: worker.listing_order)

    def due_requests(self) -> list[TrackedRequest]:
        """Take the requests to be looked at now, in the order of their arrival."""
        return sorted(self._due(self._requests), key=lambda request: request.rank.arrival)

    def end_sweep(self) -> None:
        """Plan the next sweep by what is due first."""
        if self._workers:
            self.wake_by(self._workers[0][0])
        if self._requests:
            self.wake_by(self._requests[0][0])

    def rearm(self) -> int | None:
        """Return the time of a timer that is to be set, or none where the one that is set will do.

        Whose clock counts microseconds may fire a timer a part of one early. Taken for one that was set before,
        it would be passed over, and no sweep ever came again.
        """
        if not (self._wake < self._armed or self._armed <= self._current.now):
            return None
        when = ceil(self._wake / 1000) * 1000
        self._wake = self._armed = when
        return when

    def _due(self, heap: list[tuple[float, int, _Tracked]]) -> list[_Tracked]:
        """Take what is due off a heap; entries that were brought forward since are dropped."""
        found = []
        while heap and (heap[0][0] <= self._current.now or heap[0][2].check_at != heap[0][0]):
            when, _, tracked = heappop(heap)
            if tracked.check_at == when:
                tracked.check_at = inf
                found.append(tracked)
        return found
