"""Limit the attempts in flight: at each worker by the load that it has handled, and in total in a large fleet.

A worker's limit is lowered to the load at which the worker started requests late or reported that it was full. A limit
is raised by one at a time, after a backoff that doubles each time the limit is lowered again. The limit on all attempts
in flight grows additively with each start in time and decreases multiplicatively when a request starts late at one
worker after the other.

Owns each worker's `concurrency_limit`, `limit_changed_at` and `regrow_wait`, and the count of attempts in flight.
"""

from __future__ import annotations

from math import inf

from canvasbeam.dispatch.records import TrackedAttempt, TrackedWorker
from canvasbeam.dispatch.service_estimates import ServiceEstimates

# Maximum backoff, in mean service times, before one attempt above a worker's concurrency limit is tried.
MAX_REGROW_SERVICE_TIMES = 16
# Factor by which the limit on all attempts in flight is decreased when a request finds a third worker full too; each
# start in time grows that limit additively.
IN_FLIGHT_DECREASE_FACTOR = 0.8


class ConcurrencyLimits:
    """Limits on the attempts in flight, per worker and in total."""

    def __init__(self, estimates: ServiceEstimates) -> None:
        self._estimates = estimates
        self._in_flight = 0
        self._max_in_flight = inf

    @property
    def max_in_flight(self) -> float:
        """Limit on all attempts in flight, applied to requests without an open attempt; infinite until decreased."""
        return self._max_in_flight

    # --- all attempts in flight

    def is_in_flight_limit_reached(self) -> bool:
        """Return True if requests without an open attempt must wait because too many attempts are in flight."""
        return self._in_flight >= self._max_in_flight

    def on_attempt_added(self) -> None:
        """Add a started attempt to the count of attempts in flight."""
        self._in_flight += 1

    def on_attempt_removed(self) -> None:
        """Remove an attempt that no longer occupies its worker from the count of attempts in flight."""
        self._in_flight -= 1

    def grow_in_flight_limit(self) -> None:
        """Grow the limit on all attempts in flight additively, after an attempt started in time."""
        self._max_in_flight += 1 / self._max_in_flight

    def decrease_in_flight_limit(self) -> None:
        """Decrease the limit on all attempts in flight, after a request started late at one worker after the other."""
        self._max_in_flight = max(1.0, IN_FLIGHT_DECREASE_FACTOR * min(self._max_in_flight, self._in_flight))

    # --- a worker's limit

    def reset(self, worker: TrackedWorker) -> None:
        """Remove the limit of a worker whose process was replaced."""
        worker.concurrency_limit = inf
        worker.saturated_until = 0
        worker.regrow_wait = 1.0

    def has_capacity(self, worker: TrackedWorker, now: int) -> bool:
        """Return True if a worker is below its limit, or may be tried above it, as capacity may have come back."""
        if worker.load < worker.concurrency_limit:
            return True
        wait = worker.regrow_wait * self._estimates.mean_at_ns(worker)
        return worker.load <= worker.concurrency_limit and now - worker.limit_changed_at >= wait

    def raise_to(self, attempt: TrackedAttempt) -> None:
        """Raise a worker's limit to its load including this attempt, which the worker has handled."""
        worker = attempt.worker
        if attempt.load > worker.concurrency_limit:
            worker.concurrency_limit = attempt.load
            worker.regrow_wait = 1.0
            worker.limit_changed_at = 0

    def cut_to(self, worker: TrackedWorker, load: float, now: int) -> None:
        """Lower a worker's limit to `load` slots; double the backoff if the limit was already as low, else reset it."""
        limit = max(1.0, load)
        is_cut_again = worker.concurrency_limit <= limit
        worker.concurrency_limit = limit
        worker.limit_changed_at = now
        worker.regrow_wait = min(MAX_REGROW_SERVICE_TIMES, worker.regrow_wait * 2) if is_cut_again else 1.0
