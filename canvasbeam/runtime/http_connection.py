"""A client connection of an `HttpServer`: hypercorn's HTTP/1.1 protocol with timeouts and a graceful close.

`ClientConnection` owns the buffers, the timer and the activity (idle, reading head or busy) of the connection. The
responses of the app are sent unchanged. A truncated response must never look complete, because the client would accept
the response as whole.

| activity | timeout that closes the connection | next activity |
| --- | --- | --- |
| idle: initially, and after each response | `idle_timeout_s` | reading head, when a byte arrives |
| reading head | `header_timeout_s` | busy, when the head of a request is complete |
| busy | none | idle, when the response is complete |

Every change of activity goes through `ClientConnection._enter`.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

import h11
import logbook
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.typing import AppWrapper, ConnectionState

from canvasbeam.runtime.app_tasks import MAX_QUEUED_MESSAGES, AppTaskGroup
from canvasbeam.runtime.listeners import CONNECTION_KERNEL_BYTES
from canvasbeam.runtime.process_budget import KIBIBYTE, UNLIMITED, ConnectionSlot, ProcessBudget, Stage

READ_BUFFER_BYTES = 16 * KIBIBYTE  # a connection stops reading once it holds twice as many unread bytes
READ_BYTES = 32 * KIBIBYTE  # limit on the bytes of one read from the kernel
FLUSH_BYTES = 16 * KIBIBYTE  # buffered output bytes of a connection that cause an immediate write
WRITE_BUFFER_BYTES = 16 * KIBIBYTE  # unsent bytes above which a writer waits for the peer
MAX_READ_AHEAD_BYTES = 16 * KIBIBYTE  # limit on the bytes of pipelined requests that are buffered for a connection
OBJECTS_BYTES = 16 * KIBIBYTE  # the Python objects of an open connection
CONNECTION_BYTES = CONNECTION_KERNEL_BYTES + OBJECTS_BYTES  # what an idle connection may hold
HEAD_ALLOWANCE_BYTES = 16 * KIBIBYTE  # of a request's head in the parser; a longer head is reserved as it grows
SEND_ALLOWANCE_BYTES = FLUSH_BYTES + 2 * WRITE_BUFFER_BYTES
# What a connection may hold in addition from the first byte of a request to the end of its response: the bytes read,
# and then either the head and a queued part of the body, or the bytes read ahead and those not sent yet.
REQUEST_BYTES = (
    2 * READ_BUFFER_BYTES
    + READ_BYTES
    + max(HEAD_ALLOWANCE_BYTES + (1 + MAX_QUEUED_MESSAGES) * READ_BYTES, READ_BYTES + SEND_ALLOWANCE_BYTES)
)
HEAD_COPIES = 2  # of a head: in the parser, and as the list of its headers
SEND_COPIES = 2  # of a part of a response: as it was given, and in the buffer of the transport
CLOSE_TIMEOUT_S = 3.0  # a peer that takes nothing of the last response for so long is disconnected
NO_REQUEST_LIMIT = 1 << 62  # responses on a connection before a response carries `Connection: close`
# Key in the state of an ASGI scope. The value is the time on the event loop's clock, in seconds, at which the
# connection was opened or its previous response was complete. A client that does not pipeline sent the request after
# this time.
IDLE_SINCE = "at_rest_since"
CONNECTION_MEMORY = "memory"  # key of the connection's `MemoryReservation` in the state of an ASGI scope
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER with which closing the socket resets the connection

log = logbook.Logger("http")


class Activity(Enum):
    """Activity of a client connection: idle, reading the head of a request, or busy with a request."""

    IDLE = "idle"
    READING_HEAD = "reading head"
    BUSY = "busy"


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on the connections and request heads of clients; every limit may change while the server runs."""

    max_header_bytes: int = 16384
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    max_connections: int = UNLIMITED


class _ClientDisconnectedError(Exception):
    """The client closed its connection while a pipelined request waited for the response to the previous request."""


class _CanReadEvent:
    """Replacement for hypercorn's `can_read` event, which delays a pipelined request until the previous response ends.

    Hypercorn does not read from the connection while waiting for the event, and so would not notice that the client
    disconnects; `wait` of this class reads ahead to detect a disconnect.
    """

    def __init__(self, read_until_disconnected: Callable[[], Awaitable[bool]]) -> None:
        self._read_until_disconnected = read_until_disconnected
        self._event = asyncio.Event()

    async def set(self) -> None:
        """Allow the next request on the connection: the previous response is complete."""
        self._event.set()

    async def clear(self) -> None:
        """Delay the next request on the connection: the previous response is not complete."""
        self._event.clear()

    async def wait(self) -> None:
        """Wait for the previous response to end; raise `_ClientDisconnectedError` if the client disconnects first."""
        event_task = asyncio.ensure_future(self._event.wait())
        read_task = asyncio.ensure_future(self._read_until_disconnected())
        try:
            await asyncio.wait((event_task, read_task), return_when=asyncio.FIRST_COMPLETED)
            if not event_task.done() and read_task.result():
                raise _ClientDisconnectedError
            await event_task
        finally:
            event_task.cancel()
            read_task.cancel()
            await asyncio.wait((event_task, read_task))  # end the read: a StreamReader allows only one


@dataclass(slots=True)
class ConnectionSettings:
    """State shared by all connections of a server; `limits` may be replaced while connections are open."""

    app: AppWrapper
    config: Config
    context: WorkerContext
    limits: HttpLimits
    budget: ProcessBudget


class ClientConnection(TCPServer):
    """A client connection: reads requests, runs the app and sends the responses."""

    def __init__(
        self, settings: ConnectionSettings, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(settings.app, loop, settings.config, settings.context, {}, reader, writer)
        self._settings = settings
        self._state = ConnectionState({})  # copied into the ASGI scope of each request
        self._timer: asyncio.TimerHandle | None = None
        self._unsent = bytearray()
        self._read_ahead_bytes = bytearray()
        self._is_flush_scheduled = False
        self._activity = Activity.IDLE
        self._has_asked = False
        self._head_bytes = 0  # bytes read of the head of a request
        self._slot = ConnectionSlot(settings.budget, self)
        self._request_memory = self._slot.memory.part()
        self._send_memory = self._slot.memory.part()
        self._state[CONNECTION_MEMORY] = self._slot.memory
        self._closing: asyncio.TimerHandle | None = None
        self.active_at_s = time.monotonic()
        writer.transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        writer.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    @property
    def stage(self) -> Stage:
        """What the connection waits for, for the budget of the process."""
        if self._unsent_bytes() > 0:
            return Stage.WRITING
        if self._activity is Activity.IDLE:
            return Stage.IDLE if self._has_asked else Stage.SILENT
        return Stage.BUSY if self._has_whole_request() else Stage.READING

    def take_slot(self) -> bool:
        """Take a place in the budget of the process; return False if the connection must be closed."""
        return self._slot.take(CONNECTION_BYTES)

    def give_back_slot(self) -> None:
        """Give the place in the budget back; called once the connection is closed."""
        self._slot.give_back()

    def evict(self) -> None:
        """Close the connection at once to make room for another one."""
        self._slot.memory.close()
        self.abort()

    @property
    def is_idle(self) -> bool:
        """True if no byte of a request has been read since the last response."""
        return self._activity is Activity.IDLE

    @property
    def is_busy(self) -> bool:
        """True if a request is in progress."""
        return self._activity is Activity.BUSY

    async def run(self) -> None:
        """Serve requests until the client or the server closes the connection."""
        client = self.writer.get_extra_info("peername")
        local = self.writer.get_extra_info("sockname")
        try:
            async with AppTaskGroup(self.loop) as group:
                self.protocol = _Http1Protocol(  # type: ignore[assignment]
                    self.app,
                    self.config,
                    self.context,
                    group,
                    self._state,
                    False,
                    client,
                    local,
                    self.protocol_send,
                )
                self.protocol.can_read = _CanReadEvent(self._read_ahead)  # type: ignore[attr-defined]
                self._become_idle()
                await self._read_data()
        except OSError:
            pass
        finally:
            self._stop_timer()
            await self._close()
            if self._closing is not None:
                self._closing.cancel()

    def close_gracefully(self) -> None:
        """Send the buffered output, then close the connection, at the latest after `CLOSE_TIMEOUT_S`."""
        self._flush()
        self.writer.close()
        self._limit_close()

    def abort(self) -> None:
        """Close the connection immediately and discard its unsent output."""
        self.writer.transport.abort()

    async def protocol_send(self, event: Event) -> None:
        """Handle an event of the HTTP protocol object: bytes to send, a close, or a change between idle and busy."""
        if isinstance(event, RawData):
            await self._send_bytes(event.data)
        elif isinstance(event, Closed):
            await self._close()
        elif isinstance(event, Updated):
            if event.idle:
                self._become_idle()
            else:
                self._has_asked = True
                self._enter(Activity.BUSY, timeout_s=None)
                if not self._reserve_request():
                    self.abort()

    async def _read_data(self) -> None:
        while self._read_ahead_bytes or not self.reader.at_eof():
            try:
                data = await self._next_bytes()
            except OSError:
                break
            if self.writer.is_closing():
                break
            if not self._reserve_for(data):
                self.abort()
                break
            try:
                await self.protocol.handle(RawData(data))
            except _ClientDisconnectedError:
                break
        await self.protocol.handle(Closed())

    def _reserve_for(self, data: bytes) -> bool:
        """Enter the state of a connection that has read `data`; return False if there is no memory for the request."""
        self.active_at_s = time.monotonic()
        if self.is_idle and data:
            if not self._reserve_request():
                return False
            self._enter(Activity.READING_HEAD, self._settings.limits.header_timeout_s)
        if self._activity is not Activity.READING_HEAD:
            return True
        former = max(self._head_bytes, HEAD_ALLOWANCE_BYTES)
        self._head_bytes += len(data)
        return self._request_memory.grow(HEAD_COPIES * max(0, self._head_bytes - former))

    def _reserve_request(self) -> bool:
        """Reserve the memory of a request, unless that was done at its first byte; return False if there is none."""
        return self._request_memory.reserved_bytes > 0 or self._request_memory.grow(REQUEST_BYTES)

    async def _next_bytes(self) -> bytes:
        """Return the bytes that were read ahead, if any, or else the next bytes read from the connection."""
        if not self._read_ahead_bytes:
            return await self.reader.read(READ_BYTES)
        data, self._read_ahead_bytes = bytes(self._read_ahead_bytes), bytearray()
        return data

    async def _read_ahead(self) -> bool:
        """Buffer up to `MAX_READ_AHEAD_BYTES` of pipelined requests; return True if the client disconnects."""
        while len(self._read_ahead_bytes) < MAX_READ_AHEAD_BYTES:
            try:
                data = await self.reader.read(READ_BYTES)
            except OSError:
                return True
            if not data:
                return True
            self._read_ahead_bytes += data
        return False

    async def _send_bytes(self, data: bytes) -> None:
        """Buffer the output of one event-loop iteration, so that a short response needs one system call."""
        excess = SEND_COPIES * (self._unsent_bytes() + len(data)) - SEND_ALLOWANCE_BYTES
        if excess > 0 and not self._send_memory.grow(max(0, excess - self._send_memory.reserved_bytes)):
            self.abort()
            await self.protocol.handle(Closed())
            return
        self._unsent += data
        if len(self._unsent) >= FLUSH_BYTES:
            self._flush()
        elif not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self.loop.call_soon(self._flush)
        try:
            await self._drain()
        except (ConnectionError, RuntimeError):
            await self.protocol.handle(Closed())
        self._send_memory.release()

    async def _drain(self) -> None:
        """Wait while too many bytes are unsent; abort the connection if the client takes none of them for too long."""
        transport = self.writer.transport
        while (unsent := transport.get_write_buffer_size()) > WRITE_BUFFER_BYTES:
            try:
                async with asyncio.timeout(self._settings.limits.idle_timeout_s):
                    await self.writer.drain()
            except TimeoutError:
                if transport.get_write_buffer_size() >= unsent:
                    log.info("connection closed reason=the client does not read")
                    self.abort()
        await self.writer.drain()
        self.active_at_s = time.monotonic()

    def _unsent_bytes(self) -> int:
        return len(self._unsent) + self.writer.transport.get_write_buffer_size()

    def _has_whole_request(self) -> bool:
        """Return True if the current request was read completely."""
        connection = self.protocol.connection if isinstance(self.protocol, H11Protocol) else None
        return connection is not None and connection.their_state not in (h11.IDLE, h11.SEND_BODY)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        if self._unsent:
            data, self._unsent = self._unsent, bytearray()
            self.writer.write(data)

    def _limit_close(self) -> None:
        """Abort the connection if the client does not take the buffered output in time."""
        if self._closing is None and self._unsent_bytes() > 0:
            self._closing = self.loop.call_later(CLOSE_TIMEOUT_S, self.abort)

    async def _close(self) -> None:
        self._flush()
        self._limit_close()
        if self._has_unterminated_http10_response():
            self._reset()
        await super()._close()

    def _has_unterminated_http10_response(self) -> bool:
        """Return True if closing now would truncate a response whose end is marked only by the end of the connection.

        Only HTTP/1.0 clients get such responses, because HTTP/1.0 has no chunked encoding.
        """
        connection = self.protocol.connection if isinstance(self.protocol, H11Protocol) else None
        return (
            connection is not None and connection.our_state is h11.SEND_BODY and connection.their_http_version == b"1.0"
        )

    def _reset(self) -> None:
        """Reset the connection with a TCP RST, so that the client does not accept a truncated response as complete."""
        client = self.writer.get_extra_info("socket")
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.abort()

    def _become_idle(self) -> None:
        self._state[IDLE_SINCE] = self.loop.time()
        self._head_bytes = 0
        self._request_memory.release()
        self._enter(Activity.IDLE, self._settings.limits.idle_timeout_s)

    def _enter(self, activity: Activity, timeout_s: float | None) -> None:
        """Change the activity; close the connection if the activity does not change again within `timeout_s`."""
        self._activity = activity
        self._stop_timer()
        if timeout_s is not None:
            self._timer = self.loop.call_later(timeout_s, self.close_gracefully)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class _Http1Protocol(H11Protocol):
    """Hypercorn's HTTP/1.1 protocol without upgrades to HTTP/2 or WebSocket."""

    async def _check_protocol(self, event: h11.Request) -> None:
        """Treat every request as HTTP/1.1, whatever its `Upgrade` header requests."""

    async def _create_stream(self, request: h11.Request) -> None:
        await super()._create_stream(_without_upgrade(request))


def _without_upgrade(request: h11.Request) -> h11.Request:
    headers = [(name, value) for name, value in request.headers if name != b"upgrade"]
    if len(headers) == len(request.headers):
        return request
    return h11.Request(method=request.method, target=request.target, headers=headers, http_version=request.http_version)


class _HypercornLogger:
    """Logger for hypercorn that writes exceptions and omits access logs; hypercorn passes arguments of any type."""

    def __init__(self, config: Config) -> None:
        pass

    async def access(self, *_: object) -> None:
        """Omit the access log record of a request."""

    async def exception(self, message: str, *arguments: object, **_: object) -> None:
        """Log an exception raised by an app."""
        log.exception(message, *arguments)


def hypercorn_config() -> Config:
    """Return a hypercorn configuration with the settings common to all servers."""
    config = Config()
    config.logger_class = _HypercornLogger  # type: ignore[assignment]
    config.include_server_header = False
    config.include_date_header = False
    config.keep_alive_max_requests = NO_REQUEST_LIMIT
    return config
