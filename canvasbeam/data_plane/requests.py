"""Types for the requests of clients and the answers to these requests, as the modules of the data plane share them.

`ClientAnswer` owns the state of the only answer to a request; no other module writes to a client's connection. Other
modules decide the content of an answer.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

from canvasbeam.data_plane.headers import Headers
from canvasbeam.data_plane.outcomes import RequestTimes, Ring
from canvasbeam.data_plane.routes import Route
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.runtime.process_budget import KIBIBYTE, MemoryReservation, ProcessBudget
from canvasbeam.units import SECOND

if TYPE_CHECKING:
    # For type checking only, because importing the HTTP server this early raises the peak memory at startup by 2 MB.
    from canvasbeam.runtime.http_server import Send

PIECE_BYTES = 32 * KIBIBYTE
DEFAULT_RETRY_AFTER_NS = SECOND // 2  # the `Retry-After` of a 503 when the dispatcher gives no advice

STATUS_OF_CODE = {
    ResultCode.REQUEST_INVALID: 400,
    ResultCode.REQUEST_NO_ROUTE: 404,
    ResultCode.REQUEST_INCOMPLETE: 408,
    ResultCode.REQUEST_TOO_LARGE: 413,
    ResultCode.REQUEST_HEAD_TOO_LARGE: 431,
    ResultCode.REQUEST_REFUSED: 503,
    ResultCode.OVERLOADED: 503,
    ResultCode.REQUEST_FAILED: 502,
    ResultCode.REQUEST_TIMED_OUT: 504,
    ResultCode.REQUEST_NOT_READY: 503,
}


@dataclass(frozen=True, slots=True)
class Answer:
    """One complete HTTP answer."""

    status: int
    headers: Headers
    body: bytes | bytearray = b""


def local_answer(failure: Failure, retry_after_ns: int = DEFAULT_RETRY_AFTER_NS, close: bool = False) -> Answer:
    """Return the answer that this node generates for a request without an answer from a worker.

    The status is 503, with `Retry-After`, only for a failure that guarantees that the request has not run and never
    will. `close` adds `Connection: close`.
    """
    status = STATUS_OF_CODE[failure.code]
    body = json.dumps({"code": int(failure.code), "reason": failure.reason}).encode()
    headers = [(b"content-type", b"application/json"), (b"content-length", str(len(body)).encode())]
    if status == 503:
        headers.append((b"retry-after", f"{retry_after_ns / SECOND:.3f}".encode()))
    if close:
        headers.append((b"connection", b"close"))
    return Answer(status, headers, body)


async def send_answer(send: Send, answer: Answer) -> None:
    """Send a complete answer as ASGI messages; a large body in pieces, each of which waits for the client."""
    await send({"type": "http.response.start", "status": answer.status, "headers": answer.headers})
    last = b""
    for piece in pieces(answer.body):
        if last:
            await send({"type": "http.response.body", "body": last, "more_body": True})
        last = piece
    await send({"type": "http.response.body", "body": last, "more_body": False})


def pieces(body: bytes | bytearray) -> Iterator[bytes]:
    """Yield a body in pieces of at most `PIECE_BYTES`, so that no second copy of the whole body is needed."""
    for start in range(0, len(body), PIECE_BYTES):
        yield bytes(memoryview(body)[start : start + PIECE_BYTES])


class AnswerState(Enum):
    """The state of the answer to a client's request."""

    WAITING = auto()
    STREAMING = auto()
    COMPLETE = auto()
    ABORTED = auto()  # this node closed the connection before the answer was complete
    CLIENT_DISCONNECTED = auto()


_NEXT_STATES = {
    AnswerState.WAITING: (
        AnswerState.STREAMING,
        AnswerState.COMPLETE,
        AnswerState.ABORTED,
        AnswerState.CLIENT_DISCONNECTED,
    ),
    AnswerState.STREAMING: (AnswerState.COMPLETE, AnswerState.ABORTED, AnswerState.CLIENT_DISCONNECTED),
    AnswerState.COMPLETE: (),
    AnswerState.ABORTED: (),
    AnswerState.CLIENT_DISCONNECTED: (),
}


class ClientAnswer:
    """Writes the only answer to a client's request to the client's connection."""

    def __init__(self, send: Send, abort: Callable[[], None]) -> None:
        self._send = send
        self._abort = abort
        self.state = AnswerState.WAITING

    @property
    def open(self) -> bool:
        """True while the client still waits for the answer or for the rest of the answer."""
        return bool(_NEXT_STATES[self.state])

    def _change_state(self, state: AnswerState) -> bool:
        """Change the state; return False, and change nothing, if `_NEXT_STATES` does not permit the transition."""
        if state not in _NEXT_STATES[self.state]:
            return False
        self.state = state
        return True

    async def send_complete(self, answer: Answer) -> None:
        """Write a complete answer, unless an answer has already begun."""
        if self.state is AnswerState.WAITING and self._change_state(AnswerState.COMPLETE):
            await send_answer(self._send, answer)

    async def begin(self, status: int, headers: Headers) -> None:
        """Write the head of an answer whose body is streamed in chunks."""
        if self._change_state(AnswerState.STREAMING):
            await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def send_chunk(self, data: bytes) -> None:
        """Write a chunk of the body of a streamed answer."""
        if self.state is AnswerState.STREAMING:
            await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def finish(self) -> None:
        """Write the end of the body of a streamed answer."""
        if self.state is AnswerState.STREAMING and self._change_state(AnswerState.COMPLETE):
            await self._send({"type": "http.response.body", "body": b"", "more_body": False})

    def abort(self) -> None:
        """Close the client's connection, so that the client detects that the answer is incomplete."""
        if self._change_state(AnswerState.ABORTED):
            self._abort()

    def client_disconnected(self) -> None:
        """Record that the client closed its connection."""
        self._change_state(AnswerState.CLIENT_DISCONNECTED)


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One client request that was read completely and has a route."""

    identity: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray
    route: Route
    service: str
    arrived_ns: int
    deadline_ns: int
    client_deadline_ns: int  # when the client stops waiting, less a margin for the transfer of the answer
    answer: ClientAnswer
    # Memory of the request, its body and its answer; it ends with the request.
    memory: MemoryReservation = field(default_factory=lambda: MemoryReservation(ProcessBudget.unlimited()))
    attempts_written: int = 0  # attempts that were written, or are about to be written, to a worker
    may_have_run: bool = False  # True if a worker may have run the request
    worker_failure: Answer | None = None  # last failure from a worker; forwarded if no other attempt succeeds
    last_event_id: bytes | None = None  # id of the last stream event that was forwarded to the client
    local_code: ResultCode = ResultCode.OK  # code of the answer that this node generated; else OK
    worker: str = ""  # worker of the last attempt
    ring: Ring = Ring.NONE  # locality (own or other region) of the worker of the last attempt
    times: RequestTimes = field(init=False)

    def __post_init__(self) -> None:
        self.times = RequestTimes(self.arrived_ns)

    def forget_bodies(self) -> None:
        """Drop the bodies of a request that has ended, which records of its attempts may outlive."""
        self.body = b""
        self.worker_failure = None

    @property
    def request_class(self) -> str:
        """The name of the dispatcher's request class for this request."""
        return request_class_name(self.route.name, self.service)


def request_class_name(route: str, service: str) -> str:
    """Return the name of the dispatcher's request class for a route and one of its services."""
    return f"{route}/{service}"
