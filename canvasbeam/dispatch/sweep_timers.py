"""Schedule the checks of requests and workers, and the timer that starts the sweep in which checks that are due run.

Owns the two heaps of check times, the timer's state, and the interval of checks of pending requests. It must never
decide what a check does. All times are nanoseconds on the clock of the events.
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
# Minimum interval between two sweeps, in quanta of the settings: short enough for any latency target.
SWEEP_QUANTA = 4
# While requests are pending, the number of sweeps within the shortest latency target that look for available workers.
PENDING_SWEEPS_PER_LATENCY_TARGET = 10

_Tracked = TypeVar("_Tracked", TrackedRequest, TrackedWorker)


class SweepTimers:
    """The next check time of each request and worker.

    Checking all requests and workers in each sweep would cost too much CPU time in a large fleet. Therefore each one is
    scheduled for the time at which a check may be needed, and later events bring that time forward.
    """

    def __init__(self, settings: Settings, current: CurrentPass) -> None:
        self._current = current
        self.min_interval_ns = SWEEP_QUANTA * settings.quantum_ns  # minimum interval between two sweeps
        self._pending_interval_ns = self._choose_pending_interval(settings.classes)
        self._next_sweep_at = inf  # time at which the next sweep is needed
        self._armed_for = inf  # time of the earliest timer that was set for a sweep
        self._requests: list[tuple[float, int, TrackedRequest]] = []
        self._workers: list[tuple[float, int, TrackedWorker]] = []
        self._push_count = 0  # entries pushed onto either heap so far: the tie-breaker between equal times

    @property
    def now(self) -> int:
        """The time of the current pass, in nanoseconds."""
        return self._current.now

    def change_classes(self, classes: Sequence[RequestClass]) -> None:
        """Replace the classes, whose shortest latency target determines how often pending requests are checked."""
        self._pending_interval_ns = self._choose_pending_interval(classes)

    def _choose_pending_interval(self, classes: Sequence[RequestClass]) -> int:
        """Return the interval, in nanoseconds, between sweeps while requests are pending."""
        shortest = min((known.latency_target_ns for known in classes), default=SECOND)
        return max(self.min_interval_ns, shortest // PENDING_SWEEPS_PER_LATENCY_TARGET)

    def next_pending_sweep(self) -> int:
        """Return the time at which pending requests are checked next."""
        return self._current.now + self._pending_interval_ns

    def schedule(self, tracked: TrackedRequest | TrackedWorker, when: float) -> None:
        """Schedule a check of a request or worker in the first sweep at or after `when`, unless scheduled earlier."""
        if when < tracked.check_at:
            tracked.check_at = when
            self._push_count += 1
            if isinstance(tracked, TrackedWorker):
                heappush(self._workers, (when, self._push_count, tracked))
            else:
                heappush(self._requests, (when, self._push_count, tracked))
            self.schedule_sweep_by(when)

    def schedule_sweep_by(self, when: float) -> None:
        """Schedule a sweep at `when` at the latest, but not before the minimum interval has passed.

        Hundreds of dispatchers that each sweep every few quanta would cost too much CPU time.
        """
        self._next_sweep_at = min(self._next_sweep_at, max(when, self._current.now + self.min_interval_ns))

    def begin_sweep(self) -> bool:
        """Begin a sweep; return False without one if the timer fired before the time set last, so is outdated."""
        if self._current.now < self._armed_for:
            return False
        self._next_sweep_at = self._armed_for = inf
        return True

    def due_workers(self) -> list[TrackedWorker]:
        """Remove and return the workers to check now, in the order in which workers were first listed."""
        return sorted(self._due(self._workers), key=lambda worker: worker.listing_order)

    def due_requests(self) -> list[TrackedRequest]:
        """Remove and return the requests to check now, in the order of their arrival."""
        return sorted(self._due(self._requests), key=lambda request: request.rank.arrival)

    def end_sweep(self) -> None:
        """Schedule the next sweep for the earliest check time in either heap."""
        if self._workers:
            self.schedule_sweep_by(self._workers[0][0])
        if self._requests:
            self.schedule_sweep_by(self._requests[0][0])

    def rearm(self) -> int | None:
        """Return the time of a timer that must be set, or None if the timer already set is early enough.

        The time is a whole microsecond, because a caller whose clock counts microseconds may fire a timer a fraction of
        one early. `begin_sweep` would ignore that timer as an outdated one, and no sweep would ever run again.
        """
        if not (self._next_sweep_at < self._armed_for or self._armed_for <= self._current.now):
            return None
        when = ceil(self._next_sweep_at / 1000) * 1000
        self._next_sweep_at = self._armed_for = when
        return when

    def _due(self, heap: list[tuple[float, int, _Tracked]]) -> list[_Tracked]:
        """Remove and return the requests or workers in a heap that are due; drop entries that were rescheduled."""
        due = []
        while heap and (heap[0][0] <= self._current.now or heap[0][2].check_at != heap[0][0]):
            when, _, tracked = heappop(heap)
            if tracked.check_at == when:
                tracked.check_at = inf
                due.append(tracked)
        return due
