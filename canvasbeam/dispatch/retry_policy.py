"""Decide where and when a request may be sent again without repeating an effect that is not idempotent.

The policy keeps no state: its decisions depend on a request's class and attempts, and on the deployment's limits. The
policy must never choose a worker (`worker_choice` does). All times are nanoseconds on the clock of the events.
"""

from __future__ import annotations

from canvasbeam.dispatch.collaborators import FleetLimiter
from canvasbeam.dispatch.records import TrackedAttempt, TrackedRequest, TrackedWorker
from canvasbeam.dispatch.settings import DispatchLimits, Effect, Scope


class RetryPolicy:
    """Rules for retries, and for concurrent attempts of one request."""

    def __init__(self, limits: DispatchLimits, sweep_ns: int, fleet_limits: FleetLimiter | None) -> None:
        """Apply these limits; an attempt may be sent up to `sweep_ns` after the decision to send."""
        self._limits = limits
        self._sweep_ns = sweep_ns
        self._fleet_limits = fleet_limits

    def may_send(self, request: TrackedRequest, now: int) -> bool:
        """Return True if a request may be sent now, for the first time or again.

        A request that may have run is sent again only if its class is safe to repeat, or is keyed and still within its
        repeat window, so that no effect happens twice.
        """
        if request.is_done or request.is_streaming or request.counted_attempts() >= self._max_attempts(request):
            return False
        if not self._is_within_fleet_limits(request, now):
            return False
        if request.open_attempts() and not self._limits.second_copies:
            return False
        possibly_executed = request.possibly_executed()
        effect = request.request_class.effect
        if not possibly_executed or effect is Effect.SAFE:
            return True
        if effect is Effect.UNSAFE:
            return False
        return now + self._sweep_ns < possibly_executed[0].sent_at + request.request_class.window_ns

    def may_send_to(self, worker: TrackedWorker, request: TrackedRequest) -> bool:
        """Return True if a retry of a request may go to this worker, which must have no open attempt of the request.

        A keyed request must stay within one group of workers that deduplicates its retries.
        """
        if any(attempt.worker is worker for attempt in request.open_attempts()):
            return False
        if request.request_class.effect is not Effect.KEYED:
            return True
        return all(self.is_same_group(request, attempt.worker, worker) for attempt in request.possibly_executed())

    def is_same_group(self, request: TrackedRequest, one: TrackedWorker, other: TrackedWorker) -> bool:
        """Return True if both workers belong to one group that deduplicates retries of this request."""
        match request.request_class.scope:
            case Scope.ALL:
                return True
            case Scope.ZONE:
                return one.zone == other.zone
            case Scope.CELL:
                return one.cell == other.cell

    def may_resend_after(self, attempt: TrackedAttempt, now: int) -> bool:
        """Return True if an attempt may be cancelled so that its request is sent again.

        Where concurrent attempts of a request are not permitted, a cancel must leave time and attempts for a retry.
        """
        request = attempt.request
        if request.counted_attempts() >= self._max_attempts(request):
            return False
        if request.request_class.effect is Effect.SAFE:
            return True
        margin = self._sweep_ns + self._limits.connect_timeout_ns
        return now + margin < request.possibly_executed()[0].sent_at + request.request_class.window_ns

    def _max_attempts(self, request: TrackedRequest) -> int:
        """Return the maximum number of attempts of a request."""
        return request.request_class.max_attempts or self._limits.max_attempts

    def _is_within_fleet_limits(self, request: TrackedRequest, now: int) -> bool:
        """Return True if the retry budget that all dispatchers share permits sending the request."""
        if self._fleet_limits is None or not (request.counted_attempts() or request.event.repeat):
            return True
        return self._fleet_limits.may_retry(now, request.request_class.kind or "")
