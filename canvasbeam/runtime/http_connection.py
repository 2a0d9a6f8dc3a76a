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
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

import h11
import logbook
from hypercorn.asyncio.tcp_server import MAX_RECV, TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.typing import AppWrapper, ConnectionState

from canvasbeam.runtime.app_tasks import AppTaskGroup

FLUSH_BYTES = 65536  # buffered output bytes of a connection that cause an immediate write
MAX_READ_AHEAD_BYTES = 65536  # limit on the bytes of pipelined requests that are buffered for a connection
NO_REQUEST_LIMIT = 1 << 62  # responses on a connection before a response carries `Connection: close`
# Key in the state of an ASGI scope. The value is the time on the event loop's clock, in seconds, at which the
# connection was opened or its previous response was complete. A client that does not pipeline sent the request after
# this time.
IDLE_SINCE = "at_rest_since"
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
    max_connections: int = 2048


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

    def close_gracefully(self) -> None:
        """Send the buffered output, then close the connection."""
        self._flush()
        self.writer.close()

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
                self._enter(Activity.BUSY, timeout_s=None)

    async def _read_data(self) -> None:
        while self._read_ahead_bytes or not self.reader.at_eof():
            try:
                data = await self._next_bytes()
            except OSError:
                break
            if self.writer.is_closing():
                break
            if self.is_idle and data:
                self._enter(Activity.READING_HEAD, self._settings.limits.header_timeout_s)
            try:
                await self.protocol.handle(RawData(data))
            except _ClientDisconnectedError:
                break
        await self.protocol.handle(Closed())

    async def _next_bytes(self) -> bytes:
        """Return the bytes that were read ahead, if any, or else the next bytes read from the connection."""
        if not self._read_ahead_bytes:
            return await self.reader.read(MAX_RECV)
        data, self._read_ahead_bytes = bytes(self._read_ahead_bytes), bytearray()
        return data

    async def _read_ahead(self) -> bool:
        """Buffer up to `MAX_READ_AHEAD_BYTES` of pipelined requests; return True if the client disconnects."""
        while len(self._read_ahead_bytes) < MAX_READ_AHEAD_BYTES:
            try:
                data = await self.reader.read(MAX_RECV)
            except OSError:
                return True
            if not data:
                return True
            self._read_ahead_bytes += data
        return False

    async def _send_bytes(self, data: bytes) -> None:
        """Buffer the output of one event-loop iteration, so that a short response needs one system call."""
        self._unsent += data
        if len(self._unsent) >= FLUSH_BYTES:
            self._flush()
        elif not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self.loop.call_soon(self._flush)
        try:
            await self.writer.drain()
        except (ConnectionError, RuntimeError):
            await self.protocol.handle(Closed())

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        if self._unsent:
            data, self._unsent = self._unsent, bytearray()
            self.writer.write(data)

    async def _close(self) -> None:
        self._flush()
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
