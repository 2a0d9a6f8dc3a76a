"""HTTP server of the management address: the listening socket and its connections.

The module owns the connections of operators and their tools, each of which carries one request (HTTP/1.1, RFC 9112,
parsed by httptools); `canvasbeam/admin/routes.py` builds the response. The server must never accept a request body,
never hold more connections or bytes than its own limits allow, and never let an idle client block another client.
"""

from __future__ import annotations

import logging
import socket
from http import HTTPStatus
from typing import Any

import httptools

from canvasbeam.admin.routes import Operations, plain_response, respond
from canvasbeam.scheduler.limits import Limits
from canvasbeam.scheduler.loop import READ, Deadline, Endpoint, Loop, Stream

log = logging.getLogger(__name__)


class ManagementListener(Endpoint):
    """Accepts connections on the management address and owns the table of open connections."""

    rank = 0  # highest priority: served before other sockets in a pass of the loop

    def __init__(self, loop: Loop, limits: Limits, operations: Operations, sock: socket.socket) -> None:
        super().__init__(loop, sock)
        self.limits = limits
        self.operations = operations
        self.connections: dict[int, ManagementConnection] = {}
        self.wants(READ)

    @classmethod
    def bind(cls, loop: Loop, limits: Limits, operations: Operations, address: tuple[str, int]) -> ManagementListener:
        """Return a listener bound to this address only; raise OSError if the address cannot be bound."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.create_server(address, family=family, backlog=limits.mgmt_backlog)
        return cls(loop, limits, operations, sock)

    def on_event(self, mask: int) -> None:
        """Accept pending connections, at most `mgmt_backlog` in one pass of the loop."""
        for _ in range(self.limits.mgmt_backlog):
            if len(self.connections) >= self.limits.mgmt_connections and not self._evict_connection():
                return
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                log.warning("accept on the management address failed: %s", error)
                return
            ManagementConnection(self, sock)

    def _evict_connection(self) -> bool:
        """Close one connection to make room for a new one; return False if no connection is open.

        Without this, clients that hold connections and send nothing would fill the table. Connections that already
        have their response are closed first, then the connection that has been open longest without a response.
        """
        by_priority = sorted(
            self.connections.values(), key=lambda connection: (not connection.answered, connection.since)
        )
        if not by_priority:
            return False
        by_priority[0].close()
        return True

    def on_failure(self) -> None:
        """Keep the listener open: a failure while accepting must not close the listening socket."""

    def remove(self, connection: ManagementConnection) -> None:
        """Remove a closed connection from the table."""
        self.connections.pop(connection.handle, None)


class ManagementConnection(Stream):
    """Connection that carries one request and its response.

    The connection owns the parser, which calls `on_url`, `on_headers_complete`, `on_body` and `on_message_complete`,
    and a single deadline: first for receiving the complete request, and after the response for the client's close.
    """

    rank = 0

    def __init__(self, owner: ManagementListener, sock: socket.socket) -> None:
        self._owner = owner
        self._limits = owner.limits
        super().__init__(owner.loop, sock, owner.limits.mgmt_head)
        owner.connections[self.handle] = self
        self.since = self.loop.now  # time of the connection's start, or of the response once written
        self.answered = False
        self._parser: Any = httptools.HttpRequestParser(self)  # httptools has no type annotations
        self._url = b""
        self._received_bytes = 0
        self._has_body = False
        self._is_head_complete = False
        self._deadline: Deadline | None = self.loop.after(self._limits.mgmt_call, self._on_deadline, self)

    # --- reading ----------------------------------------------------------------------------------

    def on_data(self, data: bytes) -> None:
        """Parse received bytes, and reject malformed or oversized requests; ignore data received after the response."""
        if self.answered:
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._answer(plain_response(HTTPStatus.BAD_REQUEST, "no other protocol is spoken here"))
        except httptools.HttpParserError as error:
            self._answer(plain_response(HTTPStatus.BAD_REQUEST, f"malformed call: {error}"))
        if not self.answered and not self._is_head_complete and self._received_bytes > self._limits.mgmt_head:
            self._answer(plain_response(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the call's head is too long"))

    def on_url(self, url: bytes) -> None:
        """Parser callback: append a fragment of the request target."""
        self._url += url

    def on_headers_complete(self) -> None:
        """Parser callback: record the end of the request headers, and reject HTTP versions other than 1.0 and 1.1."""
        self._is_head_complete = True
        if self._parser.get_http_version() not in ("1.0", "1.1"):
            self._answer(plain_response(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 is spoken here"))

    def on_body(self, data: bytes) -> None:
        """Parser callback: record that the request has a body, which no management request may have."""
        if data:
            self._has_body = True

    def on_message_complete(self) -> None:
        """Parser callback: respond to the complete request."""
        if self.answered:
            return
        if self._has_body:
            self._answer(plain_response(HTTPStatus.BAD_REQUEST, "no call here takes a body"))
            return
        method = self._parser.get_method()
        try:
            self._answer(respond(self._owner.operations, method, self._url.partition(b"?")[0]))
        except Exception:
            log.exception("request on the management address failed")
            self._answer(plain_response(HTTPStatus.INTERNAL_SERVER_ERROR, "the call failed"))

    # --- answering --------------------------------------------------------------------------------

    def _answer(self, response: bytes) -> None:
        """Write the connection's only response, and close the connection after `mgmt_linger` if the client has not."""
        if self.answered or self.closed:
            return
        self.answered = True
        self.since = self.loop.now
        self.loop.cancel(self._deadline)
        self._deadline = self.loop.after(self._limits.mgmt_linger, self.close, self)
        self.write(response)

    def on_written(self) -> None:
        """Shut down the sending side once the complete response is written."""
        if self.answered and not self.closed:
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()

    def _on_deadline(self) -> None:
        """Close the connection if nothing was received by the deadline; respond with 408 to an incomplete request."""
        if self._received_bytes:
            self._answer(plain_response(HTTPStatus.REQUEST_TIMEOUT, "the call did not come whole in time"))
        else:
            self.close()

    def close(self) -> None:
        """Close the connection and remove it from the listener's table."""
        if not self.closed:
            super().close()
            self.loop.cancel(self._deadline)
            self._owner.remove(self)
