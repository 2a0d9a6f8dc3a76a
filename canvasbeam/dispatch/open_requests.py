"""Track the requests without a final answer, and answer each request exactly once.

Owns the table of requests. A request stays in the table until the request has its answer and no open attempt.
"""

from __future__ import annotations

from canvasbeam.dispatch.actions import FailRequest, RejectRequest
from canvasbeam.dispatch.attempts import Attempts
from canvasbeam.dispatch.current_pass import CurrentPass
from canvasbeam.dispatch.pending_queue import PendingQueue
from canvasbeam.dispatch.records import TrackedAttempt, TrackedRequest
from canvasbeam.dispatch.settings import DispatchLimits, Effect, Scope


class OpenRequests:
    """Requests without a final answer, and answered requests with an attempt in flight."""

    def __init__(self, limits: DispatchLimits, current: CurrentPass, queue: PendingQueue, attempts: Attempts) -> None:
        self._retry_advice_ns = limits.max_retry_advice_ns if limits.retry_advice else 0
        self._current = current
        self._queue = queue
        self._attempts = attempts
        self._requests: dict[str, TrackedRequest] = {}

    def add(self, request: TrackedRequest) -> None:
        """Track a request until it has its answer and no open attempt."""
        self._requests[request.id] = request

    def find(self, request_id: str) -> TrackedRequest | None:
        """Return the request with this id, or None for an unknown id."""
        return self._requests.get(request_id)

    def find_open_attempt(self, request_id: str, number: int) -> TrackedAttempt | None:
        """Return the attempt with this request id and number, or None if the attempt is unknown or has ended."""
        request = self._requests.get(request_id)
        if request is None or not 0 <= number < len(request.attempts):
            return None
        attempt = request.attempts[number]
        return None if attempt.has_ended else attempt

    def reject_or_fail(self, request: TrackedRequest) -> None:
        """Reject a request if a retry by the client is harmless, as a rejection states; otherwise fail the request."""
        effect, scope = request.request_class.effect, request.request_class.scope
        is_deduplicated = effect is Effect.KEYED and scope is Scope.ALL
        if not request.possibly_executed() or effect is Effect.SAFE or is_deduplicated:
            self._current.actions.append(RejectRequest(request.id, self._retry_advice_ns))
        else:
            self._current.actions.append(FailRequest(request.id))
        self.close(request)

    def close(self, request: TrackedRequest) -> None:
        """End a request that has its answer or whose client has disconnected: cancel its attempts and start no more."""
        request.is_done = True
        self._queue.remove(request)
        self._attempts.cancel_all(request)
        self.forget_if_done(request)

    def forget_if_done(self, request: TrackedRequest) -> None:
        """Remove a request that has ended and has no open attempt."""
        if request.is_done and not request.open_attempts():
            self._requests.pop(request.id, None)
