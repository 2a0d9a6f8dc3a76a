"""The HTTP side of a control process: typed requests and answers over ASGI, and the choice of a handler by path."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.runtime.http_server import App, Receive, Scope, Send

JSON_CONTENT = (b"content-type", b"application/json")
DISCARD_BYTES = 64 << 20  # of a body that is too large, so that its sender gets to read the answer
RETRY_SOON = "0.2"


@dataclass(frozen=True, slots=True)
class Request:
    """One call with its whole body."""

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)  # names in lower case
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Answer:
    """What a call is answered."""

    status: int
    body: bytes = b""
    headers: Sequence[tuple[bytes, bytes]] = ()


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The caller closed the connection before its call was whole."""


Handler = Callable[[Request], Awaitable[Answer]]


@dataclass(frozen=True, slots=True)
class Endpoint:
    """The handler of the paths that begin with a prefix, and how large their bodies may be."""

    prefix: str
    handler: Handler
    most_body_bytes: Callable[[], int]


def json_answer(status: int, document: Any, headers: Sequence[tuple[bytes, bytes]] = ()) -> Answer:
    """An answer with a JSON body."""
    body = json.dumps(document, separators=(",", ":")).encode("ascii")
    return Answer(status, body, (JSON_CONTENT, *headers))


def failure_answer(status: int, failure: Failure, headers: Sequence[tuple[bytes, bytes]] = ()) -> Answer:
    """The answer that tells of a failure."""
    error = {"code": int(failure.code), "name": failure.code.name, "reason": failure.reason}
    return json_answer(status, {"error": error}, headers)


def unavailable(failure: Failure) -> Answer:
    """The caller should try another node, or this one soon."""
    return failure_answer(503, failure, ((b"retry-after", RETRY_SOON.encode()),))


def method_not_allowed(*allowed: str) -> Answer:
    """The path is known, and takes other methods."""
    return Answer(405, headers=((b"allow", ", ".join(allowed).encode()),))


def web_app(endpoints: Sequence[Endpoint]) -> App:
    """An ASGI app that gives each call to the first endpoint whose prefix begins its path."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        path = scope["path"]
        endpoint = next((each for each in endpoints if path.startswith(each.prefix)), None)
        if endpoint is None:
            await _send_answer(send, Answer(404))
            return
        body = await _read_body(receive, endpoint.most_body_bytes())
        if isinstance(body, ClientGone):
            return
        if isinstance(body, Failure):
            await _send_answer(send, failure_answer(413, body))
            return
        await _send_answer(send, await endpoint.handler(_request(scope, body)))

    return app


def _request(scope: Scope, body: bytes) -> Request:
    query = parse_qs(scope["query_string"].decode("latin-1"))
    return Request(
        method=scope["method"],
        path=scope["path"],
        query={name: values[0] for name, values in query.items()},
        headers={name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]},
        body=body,
    )


async def _read_body(receive: Receive, most: int) -> bytes | Failure | ClientGone:
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return ClientGone()
        chunk = message.get("body", b"")
        size += len(chunk)
        if size <= most:
            chunks.append(chunk)
        elif size > DISCARD_BYTES:
            break
        if not message.get("more_body", False):
            break
    if size > most:
        return Failure(ResultCode.CONFIG_TOO_LARGE, f"the body is larger than {most} bytes")
    return b"".join(chunks)


async def _send_answer(send: Send, answer: Answer) -> None:
    headers = [*answer.headers, (b"content-length", str(len(answer.body)).encode())]
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body})
