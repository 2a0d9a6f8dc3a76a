"""Say where and when a request may be sent again, so that no effect happens twice.

The policy keeps no state: it judges a request by its class, its attempts and the deployment's limits. It must never
choose a worker; all times are nanoseconds on the clock of the events.
"""

from __future__ import annotations

from canvasbeam.dispatch.collaborators import Governor
from canvasbeam.dispatch.records import TrackedAttempt, TrackedRequest, TrackedWorker
from canvasbeam.dispatch.settings import DispatchLimits, Effect, Scope


class RetryPolicy:
    """The rules for attempts after the first one, and for two at once."""

    def __init__(self, limits: DispatchLimits, sweep_ns: int, governor: Governor | None) -> None:
        """Keep to these limits; what is sent may be up to `sweep_ns` late."""
        self._limits = limits
        self._sweep_ns = sweep_ns
        self._governor = governor

    def _repeat_permitted(self, request: TrackedRequest, now: int) -> bool:
        """Whether the budget that all dispatchers share for repeats has room."""
        if self._governor is None or not (request.counted_attempts() or request.event.repeat):
            return True
        return self._governor.may_repeat(now, request.request_class.kind or "")

    def _most_attempts(self, request: TrackedRequest) -> int:
        return request.request_class.max_attempts or self._limits.max_attempts

    def may_send(self, request: TrackedRequest, now: int) -> bool:
        """No effect twice: what may have run is sent again only where and while its class permits."""
        if request.is_done or request.is_streaming or request.counted_attempts() >= self._most_attempts(request):
            return False
        if not self._repeat_permitted(request, now):
            return False
        if request.open_attempts() and not self._limits.second_copies:
            return False
        risky = request.possibly_executed()
        if not risky or request.request_class.effect is Effect.SAFE:
            return True
        if request.request_class.effect is Effect.UNSAFE:
            return False
        return now + self._sweep_ns < risky[0].sent_at + request.request_class.window_ns

    def may_send_to(self, worker: TrackedWorker, request: TrackedRequest) -> bool:
        """Whether a request that may be sent again may go to this worker: not to where it already is."""
        if any(each.worker is worker for each in request.open_attempts()):
            return False
        keyed = request.request_class.effect is Effect.KEYED
        return not keyed or all(
            self.is_same_group(request, each.worker, worker) for each in request.possibly_executed()
        )

    def is_same_group(self, request: TrackedRequest, one: TrackedWorker, other: TrackedWorker) -> bool:
        """Whether both drop each other's repeats of this request."""
        match request.request_class.scope:
            case Scope.ALL:
                return True
            case Scope.ZONE:
                return one.zone == other.zone
            case Scope.CELL:
                return one.cell == other.cell

    def may_resend_after(self, attempt: TrackedAttempt, now: int) -> bool:
        """Where two may not be out at once, the cancel must leave time and tries for another send."""
        request = attempt.request
        if request.counted_attempts() >= self._most_attempts(request):
            return False
        margin = self._sweep_ns + self._limits.connect_timeout_ns
        return (
            request.request_class.effect is Effect.SAFE
            or now + margin < request.possibly_executed()[0].sent_at + request.request_class.window_ns
        )
