"""Read the head of a client's request: its validity, size, host, and the time that the client waits.

All functions are pure functions of an ASGI scope and its headers; `Ingress` makes the checks that depend on the
configuration.
"""

from __future__ import annotations

import re

from canvasbeam.data_plane.headers import CONTENT_LENGTH, DEADLINE, REQUEST_ID, Headers, find_header
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.runtime.http_server import Scope
from canvasbeam.units import MILLISECOND

# An answer is sent at the latest this long before the client's own deadline, to arrive before that deadline.
CLIENT_MARGIN_NS = 10 * MILLISECOND
MAX_REQUEST_ID_BYTES = 256
MAX_DEADLINE_MS = 3_600_000
_DEADLINE_PATTERN = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,9})?")


def validate_head(scope: Scope, headers: Headers) -> Failure | None:
    """Return the `REQUEST_INVALID` failure of an invalid head, or None if the head is valid."""
    names = [name for name, _ in headers]
    if CONTENT_LENGTH in names and b"transfer-encoding" in names:
        return Failure(ResultCode.REQUEST_INVALID, "the request has two lengths")
    if names.count(b"host") != 1:
        return Failure(ResultCode.REQUEST_INVALID, "the request must have one Host")
    if names.count(REQUEST_ID) != 1:
        return Failure(ResultCode.REQUEST_INVALID, "the request must have one X-Request-Id")
    identity = find_header(headers, REQUEST_ID) or b""
    if not 0 < len(identity) <= MAX_REQUEST_ID_BYTES:
        return Failure(ResultCode.REQUEST_INVALID, "X-Request-Id is empty or too long")
    if not scope["raw_path"].startswith(b"/"):
        return Failure(ResultCode.REQUEST_INVALID, "the target must be a path")
    deadline = find_header(headers, DEADLINE)
    if deadline is not None and _DEADLINE_PATTERN.fullmatch(deadline) is None:
        return Failure(ResultCode.REQUEST_INVALID, "X-Deadline must be a number of milliseconds")
    return None


def head_bytes(scope: Scope, headers: Headers) -> int:
    """Return the approximate size of a request's head, in bytes."""
    line = len(scope["raw_path"]) + len(scope["query_string"])
    return line + sum(len(name) + len(value) + 4 for name, value in headers)


def host_name(headers: Headers) -> str:
    """Return the `Host` header without the port, in lower case."""
    host = (find_header(headers, b"host") or b"").decode("latin-1")
    return (host.rpartition(":")[0] or host).lower()


def client_wait_ns(headers: Headers) -> int:
    """Return how long the client waits, in nanoseconds, less `CLIENT_MARGIN_NS` for the transfer of the answer."""
    deadline = find_header(headers, DEADLINE)
    wait_ms = MAX_DEADLINE_MS if deadline is None else min(int(float(deadline)), MAX_DEADLINE_MS)
    return max(0, wait_ms * MILLISECOND - CLIENT_MARGIN_NS)
