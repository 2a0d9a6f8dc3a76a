"""Read the body of one request within a size limit, the memory budget of the process, and a timeout.

`BodyReader` reserves memory before it reads and never releases the reservation; `Ingress` releases the reservation
when the request is over.
"""

from __future__ import annotations

import asyncio

from canvasbeam.data_plane.headers import CONTENT_LENGTH, Headers, find_header
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.runtime.http_server import Receive
from canvasbeam.runtime.process_budget import MemoryReservation
from canvasbeam.units import SECOND

BODY_COPIES = 2  # of a body: the one that is kept for retries, and the kernel's on the way to a worker
OVERLOADED = Failure(ResultCode.OVERLOADED, "too many requests are held in memory")


class ClientDisconnectedError(Exception):
    """Raised when a client closes its connection before its request was read completely."""


class BodyReader:
    """Reads the body of one request."""

    def __init__(self, receive: Receive, reservation: MemoryReservation) -> None:
        self._receive = receive
        self._reservation = reservation

    async def read(self, headers: Headers, limit_bytes: int, wait_ns: int) -> bytearray | Failure:
        """Return the complete body, or the failure with which the request is rejected.

        The failures are `REQUEST_TOO_LARGE`, `OVERLOADED` and, after `wait_ns` nanoseconds, `REQUEST_INCOMPLETE`.
        Raise `ClientDisconnectedError` if the client closes its connection.
        """
        declared_bytes = int(find_header(headers, CONTENT_LENGTH) or 0)
        if declared_bytes > limit_bytes:
            return _too_large(limit_bytes)
        try:
            async with asyncio.timeout(wait_ns / SECOND):
                return await self._read_chunks(limit_bytes)
        except TimeoutError:
            return Failure(ResultCode.REQUEST_INCOMPLETE, "the body did not come in time")

    async def _read_chunks(self, limit_bytes: int) -> bytearray | Failure:
        """Read into one buffer, because a list of many small chunks would need far more memory than their bytes."""
        body = bytearray()
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise ClientDisconnectedError
            chunk = message.get("body", b"")
            if len(body) + len(chunk) > limit_bytes:
                return _too_large(limit_bytes)
            if not self._reservation.grow(BODY_COPIES * len(chunk)):
                return OVERLOADED
            body += chunk
            if not message.get("more_body", False):
                return body


def _too_large(limit_bytes: int) -> Failure:
    return Failure(ResultCode.REQUEST_TOO_LARGE, f"the body is larger than {limit_bytes} bytes")
