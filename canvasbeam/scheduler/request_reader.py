"""Reads requests from one client's bytes, within the limits on their size.

It owns the parser (httptools), what was received and not yet parsed, and the requests that are complete. It must never
let one client's bytes take memory without bound, nor take a request whose length a worker could read in another way
(request smuggling: RFC 9112, 11.2).
"""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from http import HTTPStatus
from typing import Any, Protocol

import httptools

from canvasbeam.scheduler.limits import Limits

# Headers that belong to one connection (RFC 9110, 7.6.1), or that an attempt writes itself.
HOP_BY_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"host",
    b"content-length",
    b"expect",
    b"x-budget",
}
VERSIONS = ("1.0", "1.1")


class RequestRejectedError(Exception):
    """A request is rejected before the coordinator is asked: it gets a fixed response with this status and reason."""

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class ReceivedRequest:
    """A request as it was received, or as much of it as has come."""

    __slots__ = ("arrived", "body", "headers", "is_head_complete", "keep_alive", "method", "url")

    def __init__(self, now: timedelta) -> None:
        self.arrived = now
        self.url = b""
        self.method = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.is_head_complete = False
        self.keep_alive = True

    def value(self, name: bytes) -> bytes | None:
        """Return the value of the first header of this name (lower case), None where it is missing."""
        return next((value for header, value in self.headers if header.lower() == name), None)

    def text(self, name: bytes) -> str:
        """Return the same as stripped text, empty where it is missing."""
        return (self.value(name) or b"").decode("latin-1").strip()

    def end_to_end_headers(self) -> bytes:
        """Return the header lines that are forwarded to a worker, unchanged."""
        lines = [name + b": " + value + b"\r\n" for name, value in self.headers if name.lower() not in HOP_BY_HOP]
        return b"".join(lines)


class BodyAccount(Protocol):
    """Counts the bytes of all clients' bodies that are in memory."""

    bodies: int


class ReaderEvents(Protocol):
    """What a reader asks of its connection, and the events that it reports to it."""

    def clock(self) -> timedelta:
        """Return the time now."""

    def request_began(self) -> None:
        """Note that the first byte of a request was parsed."""

    def request_rejected(self) -> None:
        """Note that the request being read is rejected, and that nothing after it is read."""

    def continue_expected(self) -> None:
        """Note that the client waits for a 100 (Continue) to send its body."""


class RequestReader:
    """One client's requests, in the order in which they came."""

    def __init__(self, limits: Limits, account: BodyAccount, events: ReaderEvents) -> None:
        self._limits = limits
        self._account = account
        self._events = events
        self._parser: Any = httptools.HttpRequestParser(self)  # httptools has no types
        self._head_size = 0
        self._framed_size = 0
        self._bodies = 0  # bytes of bodies counted for this client
        self._stopped = False
        self.unparsed = bytearray()
        self.complete_requests: deque[ReceivedRequest] = deque()  # parsed in full, not yet taken by the connection
        self.current: ReceivedRequest | None = None  # in the middle of being received
        self.rejection: RequestRejectedError | None = None

    @property
    def has_more(self) -> bool:
        """Whether more requests have come, completely or in part."""
        return bool(self.complete_requests or self.unparsed)

    def feed(self) -> None:
        """Parse until a request is complete. Chunks are small, as each may hold many requests."""
        while self.unparsed and not self.complete_requests and self.rejection is None:
            chunk = bytes(self.unparsed[: self._limits.piece])
            del self.unparsed[: self._limits.piece]
            if self.current is None or not self.current.is_head_complete:
                self._head_size += len(chunk)
            else:
                self._framed_size += len(chunk)
            before = self.current
            self._parse(chunk)
            current = self.current
            if self._head_size > self._limits.head and (current is None or not current.is_head_complete):
                self.reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the request's head is too long")
            elif self._framed_size > self._limits.framing * self._limits.body:
                self.reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long")
            if current is not None and current is not before:
                self._events.request_began()

    def _parse(self, chunk: bytes) -> None:
        """Parse a chunk, and reject the request where it cannot be parsed."""
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade:
            self.reject(HTTPStatus.BAD_REQUEST, "no other protocol is spoken here")
        except httptools.HttpParserError as error:
            self.reject(HTTPStatus.BAD_REQUEST, f"malformed request: {error}")

    def reject(self, status: HTTPStatus, reason: str) -> None:
        """Reject the request being read; what was read before it is still taken, and nothing after it."""
        if self.rejection is None:
            self.rejection = RequestRejectedError(status, reason)
            self.unparsed.clear()
            self._events.request_rejected()

    def take_rejection(self) -> RequestRejectedError | None:
        """Return the rejection that is to be answered now, once; None where there is none."""
        rejection, self.rejection = self.rejection, None
        if rejection is not None:
            self.current = None
        return rejection

    def drop_unparsed(self) -> None:
        """Drop what was not parsed: nothing more is read from this client."""
        self.unparsed.clear()

    def release_answered(self) -> None:
        """Stop counting the bodies of requests that are answered; those that are still to be answered count on."""
        held_bytes = sum(len(request.body) for request in self.complete_requests)
        held_bytes += len(self.current.body) if self.current is not None else 0
        self._account.bodies -= self._bodies - held_bytes
        self._bodies = held_bytes

    def stop(self) -> None:
        """Drop everything: the connection is closed."""
        self._stopped = True
        self.unparsed.clear()
        self.complete_requests.clear()
        self.current = None
        self.release_answered()

    # --- callbacks of the parser ------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin a request, from the parser."""
        if not self._stopped:
            self.current = ReceivedRequest(self._events.clock())

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request's target, from the parser."""
        if self.current is not None:
            self.current.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header, from the parser; trailers are dropped."""
        request = self.current
        if request is not None and not request.is_head_complete:
            request.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head at its end, from the parser: what is rejected for it is known before its body comes."""
        request = self.current
        if request is None:
            return
        request.is_head_complete = True
        request.method = self._parser.get_method()
        request.keep_alive = self._parser.should_keep_alive()
        self._head_size = 0
        self._framed_size = 0
        length, coding = request.value(b"content-length"), request.value(b"transfer-encoding")
        if self._parser.get_http_version() not in VERSIONS:
            self.reject(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 is spoken here")
        elif coding is not None and (length is not None or coding.strip().lower() != b"chunked"):
            # Guards against a second request hidden in a body whose length can be read in two ways.
            self.reject(HTTPStatus.BAD_REQUEST, "the body's length is not clear")
        elif length is not None and int(length) > self._limits.body:
            self.reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long")
        elif (request.value(b"expect") or b"").lower() == b"100-continue":
            self._events.continue_expected()

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body within the limits, from the parser."""
        request = self.current
        if request is None or self.rejection is not None:
            return
        request.body += data
        self._bodies += len(data)
        self._account.bodies += len(data)
        if len(request.body) > self._limits.body:
            self.reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long")
        elif self._account.bodies > self._limits.bodies:
            # Guards memory against many large bodies at once. Nothing was taken: a retry is harmless.
            self.reject(HTTPStatus.SERVICE_UNAVAILABLE, "too much is open")

    def on_message_complete(self) -> None:
        """Move a request to the complete ones at its end, from the parser."""
        request, self.current = self.current, None
        if request is not None and self.rejection is None:
            request.arrived = self._events.clock()
            self.complete_requests.append(request)
