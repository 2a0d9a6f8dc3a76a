"""The open requests of clients: the deadline of each, and the answers that this node generates itself.

`RequestTable` owns the entries and their timers. It does not depend on the dispatcher, and sends nothing to workers.

A 503 guarantees that the request has not run and never will. A 503 is therefore sent only if no attempt was written to
a worker that may have run the request, and only after every attempt that could still be written has been stopped.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from canvasbeam.data_plane.open_requests import OpenRequest
from canvasbeam.data_plane.requests import DEFAULT_RETRY_AFTER_NS, Answer, AnswerState, ClientRequest, local_answer
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.runtime.logs import get_logger
from canvasbeam.units import MILLISECOND, SECOND

log = get_logger(__name__)

# If a worker may still be running a request at the deadline, the node waits this much longer for the worker's answer,
# but not longer than the client waits.
WORKER_ANSWER_GRACE_NS = 150 * MILLISECOND


class RequestTable:
    """The requests that have no complete answer yet.

    `stop_dispatches` stops all attempts in flight for an entry, `start` starts a task, and `on_closed` is called once
    for each request, after the request has ended.
    """

    def __init__(
        self,
        now_ns: Callable[[], int],
        stop_dispatches: Callable[[OpenRequest], None],
        start: Callable[[Coroutine[Any, Any, None]], object],
        on_closed: Callable[[ClientRequest], None],
    ) -> None:
        self._now_ns = now_ns
        self._stop_dispatches = stop_dispatches
        self._start = start
        self._on_closed = on_closed
        self._loop = asyncio.get_running_loop()
        self._entries: dict[ClientRequest, OpenRequest] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def requests(self) -> tuple[ClientRequest, ...]:
        """Return all open requests."""
        return tuple(self._entries)

    def entry(self, request: ClientRequest) -> OpenRequest | None:
        """Return the entry of a request, or None if the request is not open."""
        return self._entries.get(request)

    def open(self, request: ClientRequest) -> None:
        """Add a request, and start the timer that fails the request at its deadline."""
        delay_s = (request.deadline_ns - self._now_ns()) / SECOND
        self._entries[request] = OpenRequest(self._loop.call_later(delay_s, self._on_deadline, request))

    def close(self, request: ClientRequest) -> None:
        """Remove a request that needs no further answer, and stop its attempts."""
        entry = self._entries.pop(request, None)
        if entry is not None:
            entry.timer.cancel()
            self._stop_dispatches(entry)
            self._on_closed(request)

    def fail(self, request: ClientRequest, retry_after_ns: int = DEFAULT_RETRY_AFTER_NS) -> None:
        """Answer a request that no worker answered: 503 only if it has not run, else a worker's failure, 504 or 502."""
        entry = self._entries.get(request)
        if entry is None:
            return
        in_flight = _is_written(entry)
        if not in_flight and not request.may_have_run:
            self.answer_locally(request, ResultCode.REQUEST_REFUSED, "no worker could take it in time", retry_after_ns)
        elif request.worker_failure is not None and not in_flight:
            request.local_code = ResultCode.REQUEST_FAILED
            self._answer(entry, request, request.worker_failure)
        elif in_flight or self._now_ns() >= request.deadline_ns:
            self.answer_locally(request, ResultCode.REQUEST_TIMED_OUT, "no answer came in time")
        else:
            self.answer_locally(request, ResultCode.REQUEST_FAILED, "the worker gave no usable answer")

    def answer_locally(
        self, request: ClientRequest, code: ResultCode, reason: str, retry_after_ns: int = DEFAULT_RETRY_AFTER_NS
    ) -> None:
        """Answer a request locally, or close the client's connection if a part of another answer was already sent."""
        entry = self._entries.get(request)
        if entry is None:
            return
        request.local_code = code
        identity = request.identity.decode("latin-1")
        log.info(
            "request answered locally code={} name={} reason={}",
            int(code),
            code.name.lower(),
            reason,
            extra={"request_id": identity},
        )
        self._answer(entry, request, local_answer(Failure(code, reason), retry_after_ns))

    def _answer(self, entry: OpenRequest, request: ClientRequest, answer: Answer) -> None:
        self._stop_dispatches(entry)
        if request.answer.state is AnswerState.WAITING:
            self._start(self._send_last(request, answer))
        else:
            request.answer.abort()
            self.close(request)

    async def _send_last(self, request: ClientRequest, answer: Answer) -> None:
        await request.answer.send_complete(answer)
        self.close(request)

    def _on_deadline(self, request: ClientRequest) -> None:
        """Fail a request at its deadline; a worker has `WORKER_ANSWER_GRACE_NS` more to answer or end a stream."""
        entry = self._entries.get(request)
        if entry is None:
            return
        last_ns = min(request.deadline_ns + WORKER_ANSWER_GRACE_NS, request.client_deadline_ns)
        remaining_ns = last_ns - self._now_ns()
        if remaining_ns > 0 and _is_written(entry):
            entry.timer = self._loop.call_later(remaining_ns / SECOND, self._on_deadline, request)
            return
        self.fail(request)


def _is_written(entry: OpenRequest) -> bool:
    """Return True if a worker may be running the request."""
    return any(attempt.written for attempt in entry.attempts_in_flight())
