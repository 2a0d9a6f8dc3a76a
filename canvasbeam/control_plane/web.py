"""Serve HTTP in a control process: typed requests and answers over ASGI, and routing by path prefix.

The memory of the bodies, and of the documents in them, is reserved from the budget of the process. An endpoint may
require that a request has an effect only while the caller waits for the answer. Callers time out and retry at another
node; a request that was delayed in the network or in a stalled process then arrives together with the end of its
connection. Such a delayed request is dropped (`CallerWatch`).
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from canvasbeam.control_plane.json_documents import JsonValue
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.runtime.http_server import IDLE_SINCE, Message, Receive, Scope, Send, connection_memory
from canvasbeam.runtime.process_budget import KIBIBYTE, MemoryReservation

JSON_CONTENT = (b"content-type", b"application/json")
MAX_DISCARDED_BYTES = 64 << 20  # bytes to discard of an oversized body, so that the sender can read the answer
BODY_COPIES = 2  # of a body: as it is read, and as it is handled
REQUEST_BYTES = 32 * KIBIBYTE  # the Python objects of a request and its tasks
# An upper bound of the memory of a JSON document: of the Python objects for each value, and of the text.
JSON_VALUE_BYTES = 200
JSON_TEXT_COPIES = 2
BODY_WAIT_S = 10.0
RETRY_AFTER_S = "0.2"
DISCONNECT_WAIT_S = 0.02  # seconds; a delayed request and the end of its connection arrive within this time
OVERLOADED = Failure(ResultCode.OVERLOADED, "too many requests are held in memory")
INCOMPLETE = Failure(ResultCode.REQUEST_INCOMPLETE, "the body did not come in time")
CLOSE = (b"connection", b"close")
EXTRA_LOOP_ITERATIONS = 10  # more iterations than pass between the end of a connection and `http.disconnect`


@dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request with its complete body."""

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)  # header names in lower case
    body: bytes = b""
    # Time at which the connection last became idle, and thus a time before the request was sent. In seconds of the
    # event loop's clock; None if unknown.
    idle_since_s: float | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a request."""

    status: int
    body: bytes = b""
    headers: Sequence[tuple[bytes, bytes]] = ()


Handler = Callable[[Request], Awaitable[Answer]]


@dataclass(frozen=True, slots=True)
class Endpoint:
    """The handler and the maximum body size for all paths that begin with a prefix."""

    prefix: str
    handler: Handler
    max_body_bytes: Callable[[], int]
    needs_caller: bool = False  # whether the request of a disconnected caller is dropped
    too_large: ResultCode = ResultCode.CONFIG_TOO_LARGE  # code of the 413 answer to an oversized body
    document_bytes: Callable[[bytes], int] = lambda body: 0  # memory that the handler needs for the body


def json_bytes(body: bytes) -> int:
    """Return an upper bound of the memory that a JSON document needs when it is parsed, in bytes."""
    values = sum(body.count(mark) for mark in (b"[", b"{", b",", b":"))
    return JSON_TEXT_COPIES * len(body) + JSON_VALUE_BYTES * values


def json_answer(status: int, document: JsonValue, headers: Sequence[tuple[bytes, bytes]] = ()) -> Answer:
    """Return an answer with a JSON body."""
    body = json.dumps(document, separators=(",", ":")).encode("ascii")
    return Answer(status, body, (JSON_CONTENT, *headers))


def failure_answer(status: int, failure: Failure, headers: Sequence[tuple[bytes, bytes]] = ()) -> Answer:
    """Return an answer that reports the number, the name and the reason of a failure."""
    error = {"code": int(failure.code), "name": failure.code.name, "reason": failure.reason}
    return json_answer(status, {"error": error}, headers)


def unavailable(failure: Failure) -> Answer:
    """Return a 503 answer: the caller should retry at another node, or at this node after `RETRY_AFTER_S`."""
    return failure_answer(503, failure, ((b"retry-after", RETRY_AFTER_S.encode()),))


def retry_on_new_connection(failure: Failure) -> Answer:
    """Return a 503 answer that closes the connection: the caller should retry on a new connection."""
    return failure_answer(503, failure, ((b"retry-after", RETRY_AFTER_S.encode()), CLOSE))


def method_not_allowed(*allowed: str) -> Answer:
    """Return a 405 answer: the path exists, but supports only the allowed methods."""
    return Answer(405, headers=((b"allow", ", ".join(allowed).encode()),))


class WebApp:
    """An ASGI app that routes each request to the first endpoint whose prefix matches the path."""

    def __init__(self, endpoints: Sequence[Endpoint]) -> None:
        self._endpoints = endpoints

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        path = scope["path"]
        endpoint = next((entry for entry in self._endpoints if path.startswith(entry.prefix)), None)
        if endpoint is None:
            await _send_answer(send, Answer(404))
            return
        memory = connection_memory(scope).part()
        try:
            answer = await self._answer(endpoint, scope, receive, memory)
        finally:
            memory.close()
        if answer is not None:
            await _send_answer(send, answer)

    async def _answer(
        self, endpoint: Endpoint, scope: Scope, receive: Receive, memory: MemoryReservation
    ) -> Answer | None:
        """Return the answer to a request, or None if the caller has disconnected."""
        if not memory.grow(REQUEST_BYTES):
            return retry_on_new_connection(OVERLOADED)
        body = _Body(endpoint.max_body_bytes())
        try:
            async with asyncio.timeout(BODY_WAIT_S):
                if not await _read_body(body, receive, memory):
                    return None
        except TimeoutError:
            return failure_answer(408, INCOMPLETE, (CLOSE,))
        except _NoMemoryError:
            return retry_on_new_connection(OVERLOADED)
        if body.is_too_large:
            reason = f"the body exceeds {body.max_bytes} bytes"
            return failure_answer(413, Failure(endpoint.too_large, reason))
        content = body.data()
        if not memory.grow(endpoint.document_bytes(content)):
            return retry_on_new_connection(OVERLOADED)
        has_effect = endpoint.needs_caller and scope["method"] != "GET"
        if has_effect and await CallerWatch(receive).has_disconnected():
            return None
        return await endpoint.handler(_request(scope, content))


class _NoMemoryError(Exception):
    """The budget of the process has no memory for the rest of a body."""


async def _read_body(body: _Body, receive: Receive, memory: MemoryReservation) -> bool:
    """Read a whole body; return False if the caller disconnects, and raise `_NoMemoryError` if memory is short."""
    while not body.is_complete:
        message = await receive()
        if message["type"] == "http.disconnect":
            return False
        growth = BODY_COPIES * body.add_chunk(message)
        if growth < 0:
            memory.shrink(-growth)
        elif not memory.grow(growth):
            raise _NoMemoryError
    return True


class CallerWatch:
    """Detects whether the caller of a completely read request has disconnected."""

    def __init__(self, receive: Receive) -> None:
        self._receive = receive

    async def has_disconnected(self) -> bool:
        """Return True if the connection has ended after the request, or ends within `DISCONNECT_WAIT_S`.

        If the process stalls during the wait, the timeout expires although the event loop has not read from the socket.
        The extra event-loop iterations let the event loop read the end of the connection in that case.
        """
        disconnect = asyncio.create_task(self._wait_for_disconnect())
        try:
            await asyncio.wait({disconnect}, timeout=DISCONNECT_WAIT_S)
            for _ in range(EXTRA_LOOP_ITERATIONS):
                await asyncio.sleep(0)
            return disconnect.done()
        finally:
            disconnect.cancel()

    async def _wait_for_disconnect(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass


class _Body:
    """The received part of a request body; an oversized body is read but not stored."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.size = 0  # number of stored bytes
        self.is_too_large = False
        self.is_complete = False
        self._discarded = 0
        self._content = bytearray()

    def add_chunk(self, message: Message) -> int:
        """Add the next chunk of the body; return the change of the stored size in bytes, negative on a discard."""
        chunk: bytes = message.get("body", b"")
        self.is_complete = not message.get("more_body", False)
        former = self.size
        if self.is_too_large or self.size + len(chunk) > self.max_bytes:
            self._discard(chunk)
        else:
            self._content += chunk
            self.size += len(chunk)
        return self.size - former

    def data(self) -> bytes:
        """Return the complete body."""
        return bytes(self._content)

    def _discard(self, chunk: bytes) -> None:
        self.is_too_large = True
        self._content.clear()
        self.size = 0
        self._discarded += len(chunk)
        self.is_complete = self.is_complete or self._discarded > MAX_DISCARDED_BYTES


def _request(scope: Scope, body: bytes) -> Request:
    query = parse_qs(scope["query_string"].decode("latin-1"))
    return Request(
        method=scope["method"],
        path=scope["path"],
        query={name: values[0] for name, values in query.items()},
        headers={name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]},
        body=body,
        idle_since_s=scope.get("state", {}).get(IDLE_SINCE),
    )


async def _send_answer(send: Send, answer: Answer) -> None:
    headers = [*answer.headers, (b"content-length", str(len(answer.body)).encode())]
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body})
