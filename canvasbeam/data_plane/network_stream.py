"""Implement httpcore's network stream over a TCP connection to a worker.

A `WorkerStream` reports whether bytes were passed to the kernel, which decides whether a request may have run, and
whether unread bytes are available or the worker has closed, which decides whether an idle connection may be reused.
This module does not depend on HTTP.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable, Iterable, Sequence

import httpcore

from canvasbeam.runtime.process_budget import KIBIBYTE
from canvasbeam.runtime.settings import Address

# A network partition or a power failure sends no FIN or RST, so a connection, idle or in use, is closed after this time
# without an acknowledgement of sent bytes or keepalive probes. Clients abandon an unresponsive stream slightly later.
USER_TIMEOUT_MS = 3000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
# Kernel's receive buffer of a connection to a worker, which the kernel doubles for its own bookkeeping. Without it the
# buffer grows to several megabytes if a client does not read the answer.
RECEIVE_BUFFER_BYTES = 32 * KIBIBYTE
READ_BYTES = 32 * KIBIBYTE  # limit on the bytes of one read from the kernel
READ_PAUSE_BYTES = 32 * KIBIBYTE
# Size up to which the parts of a request are copied into one buffer, so that they need one system call. A larger body
# is passed to the transport as it is: each copy of it costs memory and processor time.
MAX_JOINED_BYTES = 64 * KIBIBYTE
# What a connection may hold of an answer: in the kernel, in the buffer of the stream and in a part that is read.
STREAM_BYTES = 2 * RECEIVE_BUFFER_BYTES + 2 * READ_PAUSE_BYTES + READ_BYTES


class WorkerStream(httpcore.AsyncNetworkStream, asyncio.Protocol):
    """One TCP connection to a worker; must be used on one event loop only."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._descriptor = -1
        self._received = bytearray()
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0
        self._has_flushed_part = False  # True while a request of which a part was passed to the transport is written
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._write_paused = False
        self._eof = False
        self._lost = False
        self._error: Exception | None = None
        self.bytes_written = 0
        self.on_closed: Callable[[], None] | None = None  # called once, when the connection is closed or lost

    # --- asyncio.Protocol -----------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and its file descriptor."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        self._descriptor = transport.get_extra_info("socket").fileno()

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes; pause the transport above `READ_PAUSE_BYTES`."""
        self._received += data
        if len(self._received) > READ_PAUSE_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Record the worker's end of stream, and return False so that the transport closes the connection."""
        self._eof = True
        self._wake_reader()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is closed; `exc` is None for an end of stream or a local close."""
        self._lost = True
        self._error = self._error or exc
        self._wake_reader()
        self._wake_writer()
        if self.on_closed is not None:
            self.on_closed()

    def pause_writing(self) -> None:
        """Pause writing, because the transport's write buffer is above its high-water mark."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Resume writing, because the transport's write buffer has drained."""
        self._write_paused = False
        self._wake_writer()

    def _wake_reader(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)
        self._wake_writer()  # an answer may arrive before the request is sent completely

    def _wake_writer(self) -> None:
        if self._writer is not None and not self._writer.done():
            self._writer.set_result(None)

    # --- httpcore.AsyncNetworkStream --------------------------------------------------------------

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:  # noqa: ASYNC109 - httpcore's signature
        """Send buffered bytes and wait for received bytes.

        Return no bytes after the worker's regular end of stream; raise `ReadError` if the connection ended otherwise.
        """
        self._has_flushed_part = False
        await self._flush()
        while not self._received and not self._eof and not self._lost:
            self._reader = self._loop.create_future()
            await self._reader
        if not self._received:
            if self._error is not None or not self._eof:
                raise httpcore.ReadError(str(self._error or "the connection to the worker was aborted"))
            return b""
        data = bytes(self._received[:max_bytes])
        del self._received[:max_bytes]
        if self._transport is not None and not self._lost:
            self._transport.resume_reading()
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:  # noqa: ASYNC109 - httpcore's signature
        """Buffer bytes until the next read, so that the head and a small body of a request are sent together.

        Raise `WriteError` if an answer arrived before the whole request was sent: the rest of a large body is not sent.
        """
        if self._has_flushed_part and (self._received or self._eof):
            raise httpcore.WriteError("the worker answered before the end of the request")
        if not buffer:
            return
        if self._unsent_bytes > MAX_JOINED_BYTES:
            self._has_flushed_part = True
            await self._flush()
        self._unsent.append(buffer)
        self._unsent_bytes += len(buffer)

    async def _flush(self) -> None:
        if not self._unsent:
            return
        if self._lost or self._transport is None or self._transport.is_closing():
            raise httpcore.WriteError("the connection to the worker is closed")
        buffers, self._unsent, self._unsent_bytes = _joined(self._unsent), [], 0
        for buffer in buffers:
            self.bytes_written += len(buffer)
            self._transport.write(buffer)
        while self._write_paused and not self._lost and not self._received and not self._eof:
            self._writer = self._loop.create_future()
            await self._writer

    async def aclose(self) -> None:
        """Abort the connection; unsent bytes are dropped."""
        self.abort()

    def abort(self) -> None:
        """Abort the connection, so that the worker detects at once that the answer is no longer needed."""
        if self._transport is not None:
            self._transport.abort()

    def close_gracefully(self) -> None:
        """Close an idle connection without a reset."""
        if self._transport is not None:
            self._transport.close()

    def get_extra_info(self, info: str) -> bool | None:
        """Return `is_readable()` for the info `is_readable`, which httpcore queries; None for any other info."""
        return self.is_readable() if info == "is_readable" else None

    @property
    def closed(self) -> bool:
        """True if the connection is known to be closed, closing, or at the worker's end of stream."""
        return self._lost or self._eof or self._transport is None or self._transport.is_closing()

    @property
    def has_unsent(self) -> bool:
        """True if written bytes are not in the kernel's send buffer yet."""
        return bool(self._unsent) or (self._transport is not None and self._transport.get_write_buffer_size() > 0)

    def is_readable(self) -> bool:
        """Return True if bytes or an end of stream can be read, including from the kernel.

        An idle connection that is readable has ended or received surplus bytes, and cannot be reused.
        """
        if self.closed or self._received:
            return True
        poller = select.poll()
        poller.register(self._descriptor, select.POLLIN)
        return bool(poller.poll(0))


async def connect(address: Address, timeout_s: float) -> WorkerStream:
    """Open a connection to a worker; raise `OSError`, or `TimeoutError` after `timeout_s` seconds."""
    loop = asyncio.get_running_loop()
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        _set_socket_options(connection)
        async with asyncio.timeout(timeout_s):
            await loop.sock_connect(connection, (address.host, address.port))
        _, stream = await loop.create_connection(WorkerStream, sock=connection)
    except BaseException:
        connection.close()
        raise
    return stream


def _joined(buffers: Iterable[bytes]) -> Sequence[bytes | memoryview]:
    """Return the same bytes in fewer buffers: consecutive small buffers joined, and views of large ones."""
    joined: list[bytes | memoryview] = []
    small = bytearray()
    for buffer in buffers:
        if len(small) + len(buffer) > MAX_JOINED_BYTES and small:
            joined.append(bytes(small))
            small = bytearray()
        if len(buffer) > MAX_JOINED_BYTES:
            joined.append(memoryview(buffer))
        else:
            small += buffer
    if small:
        joined.append(bytes(small))
    return joined


def _set_socket_options(connection: socket.socket) -> None:
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
