"""Run one exchange with a worker: send a request over one connection, and read and classify the answer.

An outcome proves that the request did not run only if the worker said so or no byte was written. Bytes that are not the
worker's complete, sealed answer to this request are never forwarded as a complete answer. A connection belongs to one
exchange at a time, and returns to its pool afterwards.

The table in docs/design/hardening/calls.md states for each outcome whether a request may be written again.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass, replace
from typing import Protocol

import httpcore

from canvasbeam.data_plane.event_stream import EventSplitter, EventTooLargeError, StreamEvent
from canvasbeam.data_plane.headers import (
    CONTENT_LENGTH,
    NOT_EXECUTED,
    REQUEST_ID,
    SEAL,
    Headers,
    end_to_end,
    find_header,
)
from canvasbeam.data_plane.network_stream import STREAM_BYTES
from canvasbeam.data_plane.requests import Answer, pieces
from canvasbeam.data_plane.worker_connections import WorkerConnection
from canvasbeam.dispatch.events import Outcome
from canvasbeam.runtime.process_budget import KIBIBYTE, MemoryReservation

EVENT_STREAM = b"text/event-stream"
# Statuses which promise that the request did not run; the promise is trusted only with an `X-Not-Executed` header.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
MISDIRECTED = 421
MAX_ANSWER_BYTES = 64 << 20
PARSER_BYTES = 32 * KIBIBYTE  # of an answer: its head or a part of its body in the parser
EVENT_ALLOWANCE_BYTES = 16 * KIBIBYTE  # of an incomplete event; a longer one is reserved as it grows
EVENT_COPIES = 2  # of an event: in the splitter, and on its way to the client
EXCHANGE_BYTES = STREAM_BYTES + PARSER_BYTES + EVENT_COPIES * EVENT_ALLOWANCE_BYTES  # what an exchange may hold


class EventSink(Protocol):
    """Receiver of the events of a stream."""

    async def begin(self, status: int, headers: Headers) -> None:
        """Receive the status and headers of the stream; called once, before the first event."""

    async def send_events(self, events: list[StreamEvent]) -> None:
        """Receive one or more complete events, in order."""

    async def send_remainder(self, data: bytes) -> None:
        """Receive the bytes after the last event of a stream that ended without an error."""


@dataclass(frozen=True, slots=True)
class WorkerRequest:
    """A request as written to a worker."""

    identity: bytes
    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray
    streams: bool


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """Result of an exchange. `answer` is the worker's complete answer, or None; a stream's events go to the sink."""

    outcome: Outcome
    answer: Answer | None = None
    written: bool = True
    stream_began: bool = False


class _InvalidAnswerError(Exception):
    """The bytes from the worker are not a complete answer to this request."""


class Exchange:
    """Sends one request on one connection and reads its answer."""

    def __init__(
        self, connection: WorkerConnection, request: WorkerRequest, sink: EventSink, memory: MemoryReservation
    ) -> None:
        self._connection = connection
        self._memory = memory
        self._request = request
        self._sink = sink
        self._bytes_written_before = connection.stream.bytes_written
        self._reusable = False
        self.stream_began = False

    @property
    def written(self) -> bool:
        """True if any byte of the request was passed to the kernel."""
        return self._connection.stream.bytes_written > self._bytes_written_before

    async def run(self) -> ExchangeResult:
        """Send the request and read the answer; afterwards the connection must be discarded unless `reusable`."""
        self._connection.recent_request_ids.append(self._request.identity)
        try:
            return await self._exchange()
        except (httpcore.NetworkError, httpcore.ProtocolError, _InvalidAnswerError, EventTooLargeError):
            outcome = Outcome.BROKEN if self.written else Outcome.UNSENT
            return ExchangeResult(outcome, None, self.written, self.stream_began)
        finally:
            self._request = replace(self._request, body=b"")  # records of the attempt may outlive the request

    @property
    def reusable(self) -> bool:
        """True if the connection can carry another request."""
        return self._reusable

    async def _exchange(self) -> ExchangeResult:
        response = await self._connection.http.handle_async_request(self._http_request())
        headers = [(name.lower(), value) for name, value in response.headers]
        self._apply_connection_headers(headers)
        self._check_head(response.status, headers)
        if self._request.streams and response.status == 200 and _is_event_stream(headers):
            return await self._forward_events(response, headers)
        body = await self._read_body(response)
        await self._finish(response)
        return self._classify(response.status, headers, body)

    def _http_request(self) -> httpcore.Request:
        origin = self._connection.origin
        url = httpcore.URL(scheme=origin.scheme, host=origin.host, port=origin.port, target=self._request.target)
        return httpcore.Request(self._request.method, url, headers=self._request.headers, content=self._content())

    def _content(self) -> bytes | AsyncIterator[bytes]:
        body = self._request.body
        return bytes(body) if len(body) <= PARSER_BYTES else _async_pieces(body)

    def _apply_connection_headers(self, headers: Headers) -> None:
        connection = self._connection
        for name, value in headers:
            if name == b"connection" and b"close" in value.lower():
                connection.closing = True
            elif name == b"keep-alive":
                connection.announced_idle_limit_s = _announced_idle_limit_s(value)

    def _check_head(self, status: int, headers: Headers) -> None:
        """Raise `_InvalidAnswerError` if the answer may be for another request, is not final, or is encoded.

        A surplus answer to an earlier request may arrive in place of the expected answer. A rejection without a request
        id is accepted only if the connection has carried no earlier request.
        """
        if status < 200:
            raise _InvalidAnswerError(f"the status of the answer is {status}, expected at least 200")
        identity = find_header(headers, REQUEST_ID)
        rejected = status == MISDIRECTED or find_header(headers, NOT_EXECUTED) is not None
        is_accepted_without_id = identity is None and rejected and self._connection.is_first_use
        if identity != self._request.identity and not is_accepted_without_id:
            raise _InvalidAnswerError(f"the answer is for request {identity!r}, expected {self._request.identity!r}")
        if find_header(headers, b"content-encoding") is not None:
            raise _InvalidAnswerError("the answer has a Content-Encoding header, expected an unencoded body")

    async def _read_body(self, response: httpcore.Response) -> bytearray:
        """Return the complete body; a body without a length ends with a close of the connection, not with a reset."""
        body = bytearray()
        async for chunk in _chunks(response):
            if len(body) + len(chunk) > MAX_ANSWER_BYTES:
                raise _InvalidAnswerError(f"the body of the answer exceeds {MAX_ANSWER_BYTES} bytes")
            if not self._memory.grow(len(chunk)):
                raise _InvalidAnswerError("there is no memory for the body of the answer")
            body += chunk
        return body

    async def _finish(self, response: httpcore.Response) -> None:
        """Close the response; bytes after the answer belong to no request and make the connection unusable."""
        await response.aclose()
        self._reusable = self._connection.is_clean

    def _classify(self, status: int, headers: Headers, body: bytearray) -> ExchangeResult:
        answer = Answer(status, _answer_headers(headers, len(body)), body)
        if status == MISDIRECTED:
            return ExchangeResult(Outcome.CONNECT_FAILED)  # another worker now uses the address
        if find_header(headers, NOT_EXECUTED) is not None:
            if status == 400:
                return ExchangeResult(Outcome.MOOT, answer)
            return ExchangeResult(Outcome.FULL)
        if status in NOT_EXECUTED_STATUSES:
            return ExchangeResult(Outcome.ERROR)
        if 200 <= status < 300 and find_header(headers, SEAL) is None:
            return ExchangeResult(Outcome.ERROR)
        return ExchangeResult(Outcome.ERROR if status >= 500 else Outcome.OK, answer)

    async def _forward_events(self, response: httpcore.Response, headers: Headers) -> ExchangeResult:
        if find_header(headers, SEAL) is None:
            raise _InvalidAnswerError("the event stream has no X-Response-Seal header")
        splitter = EventSplitter()
        reserved_bytes = EVENT_ALLOWANCE_BYTES
        async for chunk in _chunks(response):
            events = splitter.feed(chunk)
            if splitter.partial_bytes > reserved_bytes:
                if not self._memory.grow(EVENT_COPIES * (splitter.partial_bytes - reserved_bytes)):
                    raise _InvalidAnswerError("there is no memory for an event of the answer")
                reserved_bytes = splitter.partial_bytes
            if events:
                await self._begin_stream(headers)
                await self._sink.send_events(events)
        if not _is_framed(headers) and (splitter.partial or not self.stream_began):
            raise _InvalidAnswerError("the connection ended within an event or before the first event")
        await self._begin_stream(headers)
        if splitter.partial:
            await self._sink.send_remainder(splitter.partial)
        await self._finish(response)
        return ExchangeResult(Outcome.OK, None, True, True)

    async def _begin_stream(self, headers: Headers) -> None:
        if not self.stream_began:
            self.stream_began = True
            await self._sink.begin(200, _answer_headers(headers, None))


async def _async_pieces(body: bytes | bytearray) -> AsyncIterator[bytes]:
    for piece in pieces(body):
        yield piece


async def _chunks(response: httpcore.Response) -> AsyncIterator[bytes]:
    assert not isinstance(response.stream, bytes)
    async for chunk in response.stream:  # type: ignore[union-attr]
        yield chunk


def _is_event_stream(headers: Headers) -> bool:
    kind = find_header(headers, b"content-type")
    return kind is not None and kind.split(b";")[0].strip().lower() == EVENT_STREAM


def _is_framed(headers: Headers) -> bool:
    """Return True if the headers delimit the body, so that its end is not marked by the end of the connection."""
    return any(name in (CONTENT_LENGTH, b"transfer-encoding") for name, _ in headers)


def _answer_headers(headers: Headers, length: int | None) -> Headers:
    kept = [(name, value) for name, value in end_to_end(headers) if name != CONTENT_LENGTH]
    if length is not None:
        kept.append((CONTENT_LENGTH, str(length).encode()))
    return kept


def _announced_idle_limit_s(value: bytes) -> float | None:
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number.strip())
    return None
