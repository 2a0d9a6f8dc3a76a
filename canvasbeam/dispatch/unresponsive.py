"""Judge by missing notes which attempts have stalled and which workers are unresponsive.

A connection may stall though its worker is healthy: the answer of its attempt never comes. A worker that hangs or is
partitioned ends no attempt, and all its notes stop.

Keeps no state: it judges by the times in the records of attempts and workers.
"""

from __future__ import annotations

from math import inf

from canvasbeam.dispatch.records import FleetTraits, TrackedAttempt, TrackedWorker
from canvasbeam.dispatch.service_estimates import ServiceEstimates
from canvasbeam.dispatch.settings import Settings

# A worker is unresponsive without a progress note for this many intervals: one note may be lost or late.
UNRESPONSIVE_PROGRESS_INTERVALS = 2.5
# An attempt that has started stalls without a progress note for this many intervals.
STALLED_PROGRESS_INTERVALS = 1.25
# An attempt stalls that has not started for this many mean service times.
STALLED_START_SERVICE_TIMES = 3
# What is learned meanwhile may shorten a wait, so it is checked after each part of it.
STALL_CHECKS_PER_WAIT = 4


class ResponseTimeouts:
    """The times at which attempts stall and workers become unresponsive."""

    def __init__(self, settings: Settings, estimates: ServiceEstimates, fleet: FleetTraits) -> None:
        self._estimates = estimates
        self._fleet = fleet
        self._runs_batches = settings.batches
        self._tells_start = settings.tells_start
        self._progress_ns = settings.progress_ns

    def stall_time(self, attempt: TrackedAttempt) -> float:
        """Return when the next note of an attempt is overdue: that it has started, or that it goes on."""
        if attempt.started_at:
            return attempt.last_seen + STALLED_PROGRESS_INTERVALS * self._progress_ns if self._progress_ns else inf
        wait = round(STALLED_START_SERVICE_TIMES * self._estimates.mean_ns())
        # In a large fleet queues are long, and moving what waits there would fill them further.
        return attempt.sent_at + wait if self._tells_start and not self._fleet.is_large else inf

    def next_stall_check(self, attempt: TrackedAttempt, now: int) -> float:
        """Return when a note is overdue, or the end of the present part of that wait."""
        stalls_at = self.stall_time(attempt)
        if stalls_at == inf:
            return inf
        wait = round(stalls_at - max(attempt.sent_at, attempt.last_seen))
        part = max(1, wait // STALL_CHECKS_PER_WAIT)
        return min(stalls_at, float((now // part + 1) * part))

    def has_stalled(self, attempt: TrackedAttempt, now: int) -> bool:
        """Return whether the notes of an attempt have stopped, or never came."""
        return now >= self.stall_time(attempt)

    def unresponsive_at(self, worker: TrackedWorker) -> float:
        """Return when a worker counts as unresponsive: the notes of what runs there have stopped.

        A request that has not started proves nothing: it may wait behind the requests of other dispatchers. Workers
        that run batches start every request, so there a missing start tells.
        """
        if self._runs_batches:
            return self._start_missing_at(worker)
        started = [attempt.started_at for attempt in worker.attempts if attempt.started_at]
        if not started or not self._progress_ns:
            return inf
        return max(worker.last_seen, min(started)) + UNRESPONSIVE_PROGRESS_INTERVALS * self._progress_ns

    def _start_missing_at(self, worker: TrackedWorker) -> float:
        """Return when the first start at a worker is late, counted from the last sign of the worker."""
        return min(
            (
                max(attempt.late_at, worker.last_seen + attempt.late_at - attempt.sent_at)
                for attempt in worker.attempts
                if not attempt.started_at
            ),
            default=inf,
        )
