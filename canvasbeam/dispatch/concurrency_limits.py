"""Limit the attempts in flight: at each worker by what it has shown to bear, and of all in a large fleet.

A worker's limit is cut to the load at which it started requests late or said that it was full, and raised by one at a
time after a backoff that doubles while it is cut again. The limit of all attempts in flight grows additively by starts
in time and decreases multiplicatively where requests start late at one worker after the other.

Owns each worker's `concurrency_limit`, `limit_changed_at` and `regrow_wait`, and the count of attempts in flight.
"""

from __future__ import annotations

from math import inf

from canvasbeam.dispatch.records import TrackedAttempt, TrackedWorker
from canvasbeam.dispatch.service_estimates import ServiceEstimates

# The backoff before a concurrency limit is tried one higher doubles up to this many mean service times.
MAX_REGROW_SERVICE_TIMES = 16
# Multiplicative decrease of the attempts in flight where a third worker is full too; it grows additively by starts.
IN_FLIGHT_DECREASE_FACTOR = 0.8


class ConcurrencyLimits:
    """The limits of attempts in flight, of each worker and of all."""

    def __init__(self, estimates: ServiceEstimates) -> None:
        self._estimates = estimates
        self._in_flight = 0
        self._max_in_flight = inf

    @property
    def max_in_flight(self) -> float:
        """The most attempts that may be in flight for requests that have none; infinite until it was decreased."""
        return self._max_in_flight

    # --- all attempts in flight

    def is_in_flight_limit_reached(self) -> bool:
        """Return whether no request may get its first open attempt now."""
        return self._in_flight >= self._max_in_flight

    def on_attempt_added(self) -> None:
        """Count an attempt that was started."""
        self._in_flight += 1

    def on_attempt_removed(self) -> None:
        """Count an attempt off that no longer occupies its worker."""
        self._in_flight -= 1

    def grow_in_flight_limit(self) -> None:
        """Grow the limit additively, for an attempt that started in time."""
        self._max_in_flight += 1 / self._max_in_flight

    def decrease_in_flight_limit(self) -> None:
        """Decrease the limit multiplicatively, for a request that starts late at one worker after the other."""
        self._max_in_flight = max(1.0, IN_FLIGHT_DECREASE_FACTOR * min(self._max_in_flight, self._in_flight))

    # --- a worker's limit

    def reset(self, worker: TrackedWorker) -> None:
        """Forget the limit of a process that was replaced."""
        worker.concurrency_limit = inf
        worker.saturated_until = 0
        worker.regrow_wait = 1.0

    def has_capacity(self, worker: TrackedWorker, now: int) -> bool:
        """Return whether a worker is below its limit, or may be tried with one more: capacity may have come back."""
        if worker.load < worker.concurrency_limit:
            return True
        wait = worker.regrow_wait * self._estimates.mean_at_ns(worker)
        return worker.load <= worker.concurrency_limit and now - worker.limit_changed_at >= wait

    def raise_to(self, attempt: TrackedAttempt) -> None:
        """Raise a worker's limit to the load that it has shown to bear with this attempt."""
        worker = attempt.worker
        if attempt.load > worker.concurrency_limit:
            worker.concurrency_limit = attempt.load
            worker.regrow_wait = 1.0
            worker.limit_changed_at = 0

    def cut_to(self, worker: TrackedWorker, load: float, now: int) -> None:
        """Lower a worker's limit to this load, and wait longer each time before raising it."""
        limit = max(1.0, load)
        is_cut_again = worker.concurrency_limit <= limit
        worker.concurrency_limit = limit
        worker.limit_changed_at = now
        worker.regrow_wait = min(MAX_REGROW_SERVICE_TIMES, worker.regrow_wait * 2) if is_cut_again else 1.0
