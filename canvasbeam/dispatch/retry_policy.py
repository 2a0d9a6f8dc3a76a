"""Say where and when a request may be sent again, so that no effect happens twice.

The policy keeps no state: it judges a request by its class, its attempts and the deployment's limits. It must never
choose a worker; all times are nanoseconds on the clock of the events.
"""

from __future__ import annotations

from canvasbeam.dispatch.collaborators import FleetLimiter
from canvasbeam.dispatch.records import TrackedAttempt, TrackedRequest, TrackedWorker
from canvasbeam.dispatch.settings import DispatchLimits, Effect, Scope


class RetryPolicy:
    """The rules for attempts after the first one, and for two at once."""

    def __init__(self, limits: DispatchLimits, sweep_ns: int, fleet_limits: FleetLimiter | None) -> None:
        """Keep to these limits; what is sent may be up to `sweep_ns` late."""
        self._limits = limits
        self._sweep_ns = sweep_ns
        self._fleet_limits = fleet_limits

    def may_send(self, request: TrackedRequest, now: int) -> bool:
        """Return whether a request may be sent, for the first time or again.

        No effect twice: what may have run is sent again only where and while its class permits.
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
        """Return whether a request that may be sent again may go to this worker: not to where it already is."""
        if any(attempt.worker is worker for attempt in request.open_attempts()):
            return False
        if request.request_class.effect is not Effect.KEYED:
            return True
        return all(self.is_same_group(request, attempt.worker, worker) for attempt in request.possibly_executed())

    def is_same_group(self, request: TrackedRequest, one: TrackedWorker, other: TrackedWorker) -> bool:
        """Return whether both workers drop each other's retries of this request."""
        match request.request_class.scope:
            case Scope.ALL:
                return True
            case Scope.ZONE:
                return one.zone == other.zone
            case Scope.CELL:
                return one.cell == other.cell

    def may_resend_after(self, attempt: TrackedAttempt, now: int) -> bool:
        """Return whether an attempt may be cancelled to send its request again.

        Where two may not be out at once, the cancel must leave time and attempts for another.
        """
        request = attempt.request
        if request.counted_attempts() >= self._max_attempts(request):
            return False
        if request.request_class.effect is Effect.SAFE:
            return True
        margin = self._sweep_ns + self._limits.connect_timeout_ns
        return now + margin < request.possibly_executed()[0].sent_at + request.request_class.window_ns

    def _max_attempts(self, request: TrackedRequest) -> int:
        """Return how many workers a request may be sent to."""
        return request.request_class.max_attempts or self._limits.max_attempts

    def _is_within_fleet_limits(self, request: TrackedRequest, now: int) -> bool:
        """Return whether the budget that all dispatchers share for retries has capacity for the request."""
        if self._fleet_limits is None or not (request.counted_attempts() or request.event.repeat):
            return True
        return self._fleet_limits.may_retry(now, request.request_class.kind or "")
