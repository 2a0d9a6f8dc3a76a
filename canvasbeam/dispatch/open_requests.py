"""Keep the requests that have no final answer yet, and give each its one answer.

Owns the table of requests. A request stays in it until it has its answer and none of its attempts is open.
"""

from __future__ import annotations

from canvasbeam.dispatch.actions import FailRequest, RejectRequest
from canvasbeam.dispatch.attempts import Attempts
from canvasbeam.dispatch.current_pass import CurrentPass
from canvasbeam.dispatch.pending_queue import PendingQueue
from canvasbeam.dispatch.records import TrackedAttempt, TrackedRequest
from canvasbeam.dispatch.settings import DispatchLimits, Effect, Scope


class OpenRequests:
    """The requests that are owed an answer, or that still have an attempt in flight."""

    def __init__(self, limits: DispatchLimits, current: CurrentPass, queue: PendingQueue, attempts: Attempts) -> None:
        self._retry_advice_ns = limits.max_retry_advice_ns if limits.retry_advice else 0
        self._current = current
        self._queue = queue
        self._attempts = attempts
        self._requests: dict[str, TrackedRequest] = {}

    def add(self, request: TrackedRequest) -> None:
        """Keep a request until it has its answer."""
        self._requests[request.id] = request

    def find(self, request_id: str) -> TrackedRequest | None:
        """Return the request of this id; none where it is unknown."""
        return self._requests.get(request_id)

    def find_open_attempt(self, request_id: str, number: int) -> TrackedAttempt | None:
        """Return the attempt that an event names; none where it is unknown or has ended."""
        request = self._requests.get(request_id)
        if request is None or not 0 <= number < len(request.attempts):
            return None
        attempt = request.attempts[number]
        return None if attempt.has_ended else attempt

    def reject_or_fail(self, request: TrackedRequest) -> None:
        """Reject a request where that is permitted, which tells the client that a retry is harmless; else fail it."""
        effect, scope = request.request_class.effect, request.request_class.scope
        is_deduplicated = effect is Effect.KEYED and scope is Scope.ALL
        if not request.possibly_executed() or effect is Effect.SAFE or is_deduplicated:
            self._current.actions.append(RejectRequest(request.id, self._retry_advice_ns))
        else:
            self._current.actions.append(FailRequest(request.id))
        self.close(request)

    def close(self, request: TrackedRequest) -> None:
        """End a request that has its answer or whose client has left: nothing more is sent for it."""
        request.is_done = True
        self._queue.remove(request)
        self._attempts.cancel_all(request)
        self.forget_if_done(request)

    def forget_if_done(self, request: TrackedRequest) -> None:
        """Drop a request that has its answer and no open attempt."""
        if request.is_done and not request.open_attempts():
            self._requests.pop(request.id, None)
