"""Serve HTTP in a control process: typed requests and answers over ASGI, and routing by path prefix.

Owns the bodies of the requests that are being read or handled, and limits their total size. An endpoint may require
that a request has an effect only while the caller waits for the answer. Callers time out and retry at another node; a
request that was delayed in the network or in a stalled process then arrives together with the end of its connection.
Such a delayed request is dropped (`CallerWatch`).
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from canvasbeam.control_plane.json_documents import JsonValue
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.runtime.http_server import IDLE_SINCE, Message, Receive, Scope, Send

JSON_CONTENT = (b"content-type", b"application/json")
MAX_DISCARDED_BYTES = 64 << 20  # bytes to discard of an oversized body, so that the sender can read the answer
MAX_BODIES_BYTES = 48 << 20  # total size of all request bodies that are being read or handled
RETRY_AFTER_S = "0.2"
DISCONNECT_WAIT_S = 0.02  # seconds; a delayed request and the end of its connection arrive within this time
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
    return failure_answer(503, failure, ((b"retry-after", RETRY_AFTER_S.encode()), (b"connection", b"close")))


def method_not_allowed(*allowed: str) -> Answer:
    """Return a 405 answer: the path exists, but supports only the allowed methods."""
    return Answer(405, headers=((b"allow", ", ".join(allowed).encode()),))


class WebApp:
    """An ASGI app that routes each request to the first endpoint whose prefix matches the path."""

    def __init__(self, endpoints: Sequence[Endpoint]) -> None:
        self._endpoints = endpoints
        self._total_body_bytes = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        path = scope["path"]
        endpoint = next((entry for entry in self._endpoints if path.startswith(entry.prefix)), None)
        if endpoint is None:
            await _send_answer(send, Answer(404))
            return
        body = _Body(endpoint.max_body_bytes())
        try:
            answer = await self._answer(endpoint, scope, receive, body)
        finally:
            self._total_body_bytes -= body.size
        if answer is not None:
            await _send_answer(send, answer)

    async def _answer(self, endpoint: Endpoint, scope: Scope, receive: Receive, body: _Body) -> Answer | None:
        """Return the answer to a request, or None if the caller has disconnected."""
        while not body.is_complete:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            self._total_body_bytes += body.add_chunk(message)
            if self._total_body_bytes > MAX_BODIES_BYTES:
                return unavailable(Failure(ResultCode.OVERLOADED, "too many bodies are being read"))
        if body.is_too_large:
            reason = f"the body exceeds {body.max_bytes} bytes"
            return failure_answer(413, Failure(endpoint.too_large, reason))
        has_effect = endpoint.needs_caller and scope["method"] != "GET"
        if has_effect and await CallerWatch(receive).has_disconnected():
            return None
        return await endpoint.handler(_request(scope, body.data()))


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
        self._chunks: list[bytes] = []

    def add_chunk(self, message: Message) -> int:
        """Add the next chunk of the body; return the change of the stored size in bytes, negative on a discard."""
        chunk: bytes = message.get("body", b"")
        self.is_complete = not message.get("more_body", False)
        former = self.size
        if self.is_too_large or self.size + len(chunk) > self.max_bytes:
            self._discard(chunk)
        else:
            self._chunks.append(chunk)
            self.size += len(chunk)
        return self.size - former

    def data(self) -> bytes:
        """Return the complete body."""
        return b"".join(self._chunks)

    def _discard(self, chunk: bytes) -> None:
        self.is_too_large = True
        self._chunks.clear()
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
