"""An HTTP/1.1 server on one address, built on hypercorn's protocol, with its own timeouts, limits and drain.

Hypercorn supplies parsing, the ASGI interface and back-pressure. This module and `http_connection.py` add: a timeout
for the head of a request that is separate from the idle timeout, limits that may change while the server runs, a single
system call for a short response, and a drain that sends `Connection: close` before a connection is closed.
HTTP/2 and WebSocket are not supported.

If an app raises before its response starts, the server responds 500. If an app raises later, the server closes the
connection without ending the body, so that a partial response never looks complete.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import logbook
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.worker_context import WorkerContext

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.runtime.http_connection import (
    CONNECTION_MEMORY,
    IDLE_SINCE,
    READ_BUFFER_BYTES,
    ClientConnection,
    ConnectionSettings,
    HttpLimits,
    hypercorn_config,
)
from canvasbeam.runtime.listeners import LISTEN_BACKLOG, open_listener
from canvasbeam.runtime.process_budget import MemoryReservation, ProcessBudget
from canvasbeam.runtime.settings import Address

__all__ = [
    "CONNECTION_MEMORY",
    "IDLE_SINCE",
    "App",
    "HttpLimits",
    "HttpServer",
    "Message",
    "Receive",
    "Scope",
    "Send",
    "connection_memory",
]

ACCEPT_BATCH = 32  # connections that are accepted before the event loop handles others
CLOSE_AFTER_EACH_RESPONSE = 0  # a `keep_alive_max_requests` with which every response carries `Connection: close`

# Types of the ASGI specification; the mappings have values of several types.
Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

log = logbook.Logger("http")


class HttpServer:
    """Serves one ASGI app on one address.

    The server owns the listening socket and the set of open connections; each `ClientConnection` owns its buffers and
    its timer.
    """

    def __init__(
        self,
        app: App,
        address: Address,
        limits: HttpLimits | None = None,
        listener: socket.socket | None = None,
        *,
        budget: ProcessBudget | None = None,
        backlog: int = LISTEN_BACKLOG,
    ) -> None:
        self._backlog = backlog
        self._address = address
        self._listener = listener
        self._settings = ConnectionSettings(
            app=ASGIWrapper(app),  # type: ignore[arg-type]
            config=hypercorn_config(),
            context=WorkerContext(None),
            limits=limits or HttpLimits(),
            budget=budget or ProcessBudget.unlimited(),
        )
        self._server: asyncio.Server | None = None
        self._connections: set[ClientConnection] = set()
        self._all_closed = asyncio.Event()
        self._all_closed.set()
        self.apply_limits(self._settings.limits)

    def apply_limits(self, limits: HttpLimits) -> None:
        """Replace the limits; the new limits apply to timers started and connections opened after this call."""
        self._settings.limits = limits
        self._settings.config.h11_max_incomplete_size = limits.max_header_bytes

    @property
    def limits(self) -> HttpLimits:
        """Limits currently in force."""
        return self._settings.limits

    @property
    def connection_count(self) -> int:
        """Number of open client connections."""
        return len(self._connections)

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in progress."""
        return sum(connection.is_busy for connection in self._connections)

    @property
    def port(self) -> int:
        """Listening port; differs from the port of the configured address only if the configured port is 0."""
        if self._server is None or not self._server.sockets:
            return self._address.port
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> Failure | None:
        """Accept connections, including those in the backlog of a listener passed to the constructor.

        Return a `Failure` if the address cannot be bound.
        """
        try:
            listener = self._listener or open_listener(self._address)
            # asyncio accepts as many connections at once as it is given as the backlog, so the backlog is set again.
            self._server = await asyncio.start_server(
                self._serve, sock=listener, backlog=ACCEPT_BATCH, limit=READ_BUFFER_BYTES
            )
            listener.listen(self._backlog)
        except OSError as error:
            return Failure(ResultCode.ADDRESS_IN_USE, f"{self._address}: {error}")
        return None

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay open."""
        if self._server is not None:
            self._server.close()

    def announce_close(self) -> None:
        """Add `Connection: close` to each further response and close its connection; idle connections stay open."""
        self._settings.config.keep_alive_max_requests = CLOSE_AFTER_EACH_RESPONSE

    def close_idle(self) -> None:
        """Close the idle connections: those without a byte of a request since the last response."""
        for connection in tuple(self._connections):
            if connection.is_idle:
                connection.close_gracefully()

    async def drain(self, timeout_s: float) -> bool:
        """Stop accepting, close idle connections and wait up to `timeout_s` for the requests in progress.

        Return True if all connections were closed within `timeout_s`.
        """
        self.stop_accepting()
        self.announce_close()
        await self._settings.context.terminated.set()
        self.close_idle()
        try:
            async with asyncio.timeout(timeout_s):
                await self._all_closed.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Stop accepting and abort all open connections."""
        self.stop_accepting()
        for connection in tuple(self._connections):
            connection.abort()
        await self._all_closed.wait()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ClientConnection(self._settings, reader, writer)
        if len(self._connections) >= self.limits.max_connections or not connection.take_slot():
            writer.transport.abort()
            return
        self._connections.add(connection)
        self._all_closed.clear()
        try:
            await connection.run()
        except Exception:
            log.exception("connection closed reason=unhandled exception")
            writer.transport.abort()
        finally:
            connection.give_back_slot()
            self._connections.discard(connection)
            if not self._connections:
                self._all_closed.set()


def connection_memory(scope: Scope) -> MemoryReservation:
    """Return the memory reservation of the connection of a request; one without a limit outside an `HttpServer`."""
    memory = scope.get("state", {}).get(CONNECTION_MEMORY)
    return memory if isinstance(memory, MemoryReservation) else MemoryReservation(ProcessBudget.unlimited())
