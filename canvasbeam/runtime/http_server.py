"""An HTTP/1.1 server on one address: hypercorn's protocol under connections whose times and end the caller decides.

Hypercorn supplies the parsing, the ASGI interface and the back-pressure. Added here and in `http_connection.py`: a time
for the head of a request apart from that for an idle connection, limits that may change while the server runs, one
system call for a short answer, and a drain that announces the close of a connection before it happens. HTTP/2 and
WebSocket are not spoken.

An app that raises before its answer began is answered 500; one that raises later has its connection closed without the
end of the body, so that a partial answer never looks complete.
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
    IDLE_SINCE,
    ClientConnection,
    ConnectionSettings,
    HttpLimits,
    hypercorn_config,
)
from canvasbeam.runtime.listeners import LISTEN_BACKLOG, open_listener
from canvasbeam.runtime.settings import Address

__all__ = ["IDLE_SINCE", "App", "HttpLimits", "HttpServer", "Message", "Receive", "Scope", "Send"]

CLOSE_AFTER_EACH_ANSWER = 0  # answers after this many on a connection carry `Connection: close`

# As the ASGI specification has them: mappings with values of several types.
Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

log = logbook.Logger("http")


class HttpServer:
    """Serves one ASGI app on one address.

    It owns the listening socket and the set of open connections; each `ClientConnection` owns its own bytes and timer.
    """

    def __init__(
        self,
        app: App,
        address: Address,
        limits: HttpLimits | None = None,
        listener: socket.socket | None = None,
    ) -> None:
        self._address = address
        self._listener = listener
        self._settings = ConnectionSettings(
            app=ASGIWrapper(app),  # type: ignore[arg-type]
            config=hypercorn_config(),
            context=WorkerContext(None),
            limits=limits or HttpLimits(),
        )
        self._server: asyncio.Server | None = None
        self._connections: set[ClientConnection] = set()
        self._all_closed = asyncio.Event()
        self._all_closed.set()
        self.apply_limits(self._settings.limits)

    def apply_limits(self, limits: HttpLimits) -> None:
        """Take other limits: timers that start from now on and connections opened from now on use them."""
        self._settings.limits = limits
        self._settings.config.h11_max_incomplete_size = limits.max_header_bytes

    @property
    def limits(self) -> HttpLimits:
        """The limits that are in force."""
        return self._settings.limits

    @property
    def connection_count(self) -> int:
        """How many connections of clients are open."""
        return len(self._connections)

    @property
    def busy_count(self) -> int:
        """How many connections have a request in progress."""
        return sum(connection.is_busy for connection in self._connections)

    @property
    def port(self) -> int:
        """The port that is listened on; it differs from the address's only where that one is 0."""
        if self._server is None or not self._server.sockets:
            return self._address.port
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> Failure | None:
        """Accept connections, with those that have waited where a listener was given; return why it cannot."""
        try:
            listener = self._listener or open_listener(self._address)
            self._server = await asyncio.start_server(self._serve, sock=listener, backlog=LISTEN_BACKLOG)
        except OSError as error:
            return Failure(ResultCode.ADDRESS_IN_USE, f"{self._address}: {error}")
        return None

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections go on."""
        if self._server is not None:
            self._server.close()

    def announce_close(self) -> None:
        """Let each answer end its connection from now on and say so; idle connections stay open."""
        self._settings.config.keep_alive_max_requests = CLOSE_AFTER_EACH_ANSWER

    def close_idle(self) -> None:
        """Close the connections on which no byte of a request has been read."""
        for connection in tuple(self._connections):
            if connection.is_idle:
                connection.close_in_order()

    async def drain(self, timeout_s: float) -> bool:
        """Accept nothing more and let the calls in progress end; return whether all have within the time."""
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
        """Accept nothing more and abort what is still open."""
        self.stop_accepting()
        for connection in tuple(self._connections):
            connection.abort()
        await self._all_closed.wait()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._connections) >= self.limits.max_connections:
            writer.transport.abort()
            return
        connection = ClientConnection(self._settings, reader, writer)
        self._connections.add(connection)
        self._all_closed.clear()
        try:
            await connection.run()
        except Exception:
            log.exception("connection ended reason=a fault")
            writer.transport.abort()
        finally:
            self._connections.discard(connection)
            if not self._connections:
                self._all_closed.set()
