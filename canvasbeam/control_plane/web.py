"""Serve HTTP in a control process: typed requests and answers over ASGI, and the choice of a handler by path.

Owns the bodies of the requests that are being read or handled, and bounds their sum. An endpoint may demand that a
request has an effect only while its caller waits for it. Callers time out and go elsewhere; a copy that was delayed in
the network, or in a process that was stalled, then arrives with the end of its connection behind it. Such a copy is
dropped (`CallerWatch`).
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
MAX_DISCARDED_BYTES = 64 << 20  # of a body that is too large, so that its sender gets to read the answer
MAX_BODIES_BYTES = 48 << 20  # of all bodies that are being read or handled
RETRY_AFTER_S = "0.2"
CALLER_END_S = 0.02  # the end of a connection comes within this time of the bytes that were delayed with it
LOOP_ITERATIONS = 10  # more than lie between the arrival of that end and its event


@dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request with its complete body."""

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)  # names in lower case
    body: bytes = b""
    sent_after: float | None = None  # in s of the loop's clock: it was not sent before this, where that is known


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a request."""

    status: int
    body: bytes = b""
    headers: Sequence[tuple[bytes, bytes]] = ()


Handler = Callable[[Request], Awaitable[Answer]]


@dataclass(frozen=True, slots=True)
class Endpoint:
    """The handler of the paths that begin with a prefix, and how large their bodies may be."""

    prefix: str
    handler: Handler
    max_body_bytes: Callable[[], int]
    needs_caller: bool = False  # a request whose caller has disconnected has no effect
    too_large: ResultCode = ResultCode.CONFIG_TOO_LARGE  # of a request with a body above the limit


def json_answer(status: int, document: JsonValue, headers: Sequence[tuple[bytes, bytes]] = ()) -> Answer:
    """Return an answer with a JSON body."""
    body = json.dumps(document, separators=(",", ":")).encode("ascii")
    return Answer(status, body, (JSON_CONTENT, *headers))


def failure_answer(status: int, failure: Failure, headers: Sequence[tuple[bytes, bytes]] = ()) -> Answer:
    """Return the answer that reports a failure: its number, its name and the reason."""
    error = {"code": int(failure.code), "name": failure.code.name, "reason": failure.reason}
    return json_answer(status, {"error": error}, headers)


def unavailable(failure: Failure) -> Answer:
    """Return the answer 503: the caller should try another node, or this one after `RETRY_AFTER_S`."""
    return failure_answer(503, failure, ((b"retry-after", RETRY_AFTER_S.encode()),))


def retry_on_new_connection(failure: Failure) -> Answer:
    """Return the answer 503 that closes the connection: the caller should retry on a new one."""
    return failure_answer(503, failure, ((b"retry-after", RETRY_AFTER_S.encode()), (b"connection", b"close")))


def method_not_allowed(*allowed: str) -> Answer:
    """Return the answer 405: the path is known, and takes these methods."""
    return Answer(405, headers=((b"allow", ", ".join(allowed).encode()),))


class WebApp:
    """An ASGI app that gives each request to the first endpoint whose prefix begins its path."""

    def __init__(self, endpoints: Sequence[Endpoint]) -> None:
        self._endpoints = endpoints
        self._bodies_bytes = 0

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
            self._bodies_bytes -= body.size
        if answer is not None:
            await _send_answer(send, answer)

    async def _answer(self, endpoint: Endpoint, scope: Scope, receive: Receive, body: _Body) -> Answer | None:
        """Return the answer, or None where the caller has disconnected."""
        while not body.is_complete:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            self._bodies_bytes += body.take(message)
            if self._bodies_bytes > MAX_BODIES_BYTES:
                return unavailable(Failure(ResultCode.OVERLOADED, "too many bodies are being read"))
        if body.is_too_large:
            reason = f"the body exceeds {body.max_bytes} bytes"
            return failure_answer(413, Failure(endpoint.too_large, reason))
        has_effect = endpoint.needs_caller and scope["method"] != "GET"
        if has_effect and await CallerWatch(receive).has_disconnected():
            return None
        return await endpoint.handler(_request(scope, body.data()))


class CallerWatch:
    """Tells whether the caller of a request that has been read completely still waits for the answer."""

    def __init__(self, receive: Receive) -> None:
        self._receive = receive

    async def has_disconnected(self) -> bool:
        """Return whether the connection has ended behind the request, or does so within `CALLER_END_S`.

        Where the process was stalled meanwhile, that time is over although nothing was read in it: hence the loop.
        """
        end = asyncio.create_task(self._end())
        try:
            await asyncio.wait({end}, timeout=CALLER_END_S)
            for _ in range(LOOP_ITERATIONS):
                await asyncio.sleep(0)
            return end.done()
        finally:
            end.cancel()

    async def _end(self) -> None:
        while (await self._receive())["type"] != "http.disconnect":
            pass


class _Body:
    """The body of a request, as far as it was received; one that is too large is read on but not stored."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.size = 0  # bytes that are stored
        self.is_too_large = False
        self.is_complete = False
        self._discarded = 0
        self._chunks: list[bytes] = []

    def take(self, message: Message) -> int:
        """Take the next part; return by how many bytes the stored size has changed."""
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
        sent_after=scope.get("state", {}).get(IDLE_SINCE),
    )


async def _send_answer(send: Send, answer: Answer) -> None:
    headers = [*answer.headers, (b"content-length", str(len(answer.body)).encode())]
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body})
