"""HTTP/1.1 responses that the program makes itself (RFC 9112), for clients and for operators.

It owns their form, byte for byte. It must never decide which response is given.
"""

from __future__ import annotations

from datetime import timedelta
from http import HTTPStatus

from canvasbeam.scheduler.limits import ZERO

HEAD_END = b"\r\n\r\n"


def framing(length: int, close: bool) -> bytes:
    """Return the last lines of a head: the body's length in bytes, and whether the connection closes after it."""
    last = "Connection: close\r\n" if close else ""
    return f"Content-Length: {length}\r\n{last}\r\n".encode()


def response(status: HTTPStatus, body: bytes, close: bool, content_type: str = "text/plain", extra: str = "") -> bytes:
    """Return a whole response; `extra` holds whole header lines."""
    head = f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Type: {content_type}\r\n{extra}"
    return head.encode() + framing(len(body), close) + body


def text_response(status: HTTPStatus, reason: str, close: bool, extra: str = "") -> bytes:
    """Return a whole response in plain text: the reason and a line feed."""
    return response(status, f"{reason}\n".encode(), close, extra=extra)


def head_only(whole: bytes) -> bytes:
    """Return the same response to a HEAD request: its head alone (RFC 9110, 9.3.2)."""
    return whole[: whole.index(HEAD_END) + len(HEAD_END)]


def retry_after_header(span: timedelta) -> str:
    """Return the header line that asks a client to wait, in seconds with three decimals; empty for no span."""
    return f"Retry-After: {span.total_seconds():.3f}\r\n" if span > ZERO else ""
