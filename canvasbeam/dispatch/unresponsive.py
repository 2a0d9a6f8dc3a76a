"""Detect stalled attempts and unresponsive workers by missing start and progress notifications.

A connection may stall although its worker is healthy: the response of its attempt never arrives. A worker that hangs or
is partitioned completes no attempt, and all its notifications stop.

Keeps no state: it compares the times in the records of attempts and workers.
"""

from __future__ import annotations

from math import inf

from canvasbeam.dispatch.records import FleetTraits, TrackedAttempt, TrackedWorker
from canvasbeam.dispatch.service_estimates import ServiceEstimates
from canvasbeam.dispatch.settings import Settings

# A worker is unresponsive after this many progress intervals without a progress notification, because one notification
# may be lost or late.
UNRESPONSIVE_PROGRESS_INTERVALS = 2.5
# A started attempt has stalled after this many progress intervals without a progress notification.
STALLED_PROGRESS_INTERVALS = 1.25
# An attempt that has not started has stalled after this many mean service times.
STALLED_START_SERVICE_TIMES = 3
# The wait until an attempt stalls is checked this many times, because newly learned service times may shorten the wait.
STALL_CHECKS_PER_WAIT = 4


class ResponseTimeouts:
    """Times after which attempts count as stalled and workers as unresponsive."""

    def __init__(self, settings: Settings, estimates: ServiceEstimates, fleet: FleetTraits) -> None:
        self._estimates = estimates
        self._fleet = fleet
        self._runs_batches = settings.batches
        self._tells_start = settings.tells_start
        self._progress_ns = settings.progress_ns

    def stall_time(self, attempt: TrackedAttempt) -> float:
        """Return when the next start or progress notification of an attempt is overdue; inf = never."""
        if attempt.started_at:
            return attempt.last_seen + STALLED_PROGRESS_INTERVALS * self._progress_ns if self._progress_ns else inf
        wait = round(STALLED_START_SERVICE_TIMES * self._estimates.mean_ns())
        # In a large fleet workers' queues are long, and moving queued requests would lengthen the queues further.
        return attempt.sent_at + wait if self._tells_start and not self._fleet.is_large else inf

    def next_stall_check(self, attempt: TrackedAttempt, now: int) -> float:
        """Return when a notification of an attempt is overdue, or the end of the current part of the wait if sooner."""
        stalls_at = self.stall_time(attempt)
        if stalls_at == inf:
            return inf
        wait = round(stalls_at - max(attempt.sent_at, attempt.last_seen))
        part = max(1, wait // STALL_CHECKS_PER_WAIT)
        return min(stalls_at, float((now // part + 1) * part))

    def has_stalled(self, attempt: TrackedAttempt, now: int) -> bool:
        """Return True if the next notification of an attempt is overdue."""
        return now >= self.stall_time(attempt)

    def unresponsive_at(self, worker: TrackedWorker) -> float:
        """Return when a worker counts as unresponsive because notifications of its running attempts have stopped.

        A request that has not started is no evidence, because it may wait behind other dispatchers' requests. Workers
        that run batches start every request, so a missing start at these workers is evidence.
        """
        if self._runs_batches:
            return self._start_missing_at(worker)
        started = [attempt.started_at for attempt in worker.attempts if attempt.started_at]
        if not started or not self._progress_ns:
            return inf
        return max(worker.last_seen, min(started)) + UNRESPONSIVE_PROGRESS_INTERVALS * self._progress_ns

    def _start_missing_at(self, worker: TrackedWorker) -> float:
        """Return when the first start at a worker is late, counted from the worker's last activity."""
        return min(
            (
                max(attempt.late_at, worker.last_seen + attempt.late_at - attempt.sent_at)
                for attempt in worker.attempts
                if not attempt.started_at
            ),
            default=inf,
        )
