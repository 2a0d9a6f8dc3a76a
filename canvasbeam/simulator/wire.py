"""The emulated world's side of the sockets: HTTP servers for workers and discovery, and HTTP clients.

It owns bytes and connections on the project's own loop, and nothing of what they mean: a request or an answer that
has come whole is handed on. It must never decide what a worker says, and never listen or connect beyond loopback.
"""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import httptools

from canvasbeam.scheduler.limits import MICROSECOND, ZERO
from canvasbeam.scheduler.loop import READ, Endpoint, Loop, Stream
from canvasbeam.scheduler.worker_discovery import connect

READ_SIZE = 64 * 1024
LARGEST = 4 * 1024 * 1024  # of a body
BACKLOG = 512
ACCEPTS = 64
# Closing with this resets the connection, as the end of a process does to what it had not read.
RESET = struct.pack("ii", 1, 0)


def span(ns: int) -> timedelta:
    """Nanoseconds as the loop's type."""
    return max(ZERO, -(-ns // 1000) * MICROSECOND)


class Asked:
    """A request that has come whole."""

    __slots__ = ("body", "first_at", "headers", "method", "path")

    def __init__(self) -> None:
        self.method = ""
        self.path = ""
        self.headers: dict[str, str] = {}
        self.body = b""
        self.first_at = 0  # when its first byte was read, by the owner's clock


class ServerConnection(Stream):
    """One accepted connection: requests one after another."""

    def __init__(self, server: ServerSocket, sock: socket.socket) -> None:
        super().__init__(server.loop, sock, READ_SIZE)
        self.server = server
        self.requests = 0
        self.state: Any = None  # whatever the owner keeps with it
        self._begin()

    def _begin(self) -> None:
        self._parser: Any = httptools.HttpRequestParser(self)
        self._asked = Asked()
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Take a part of the path, from the parser."""
        self._asked.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header, from the parser."""
        self._asked.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Take a part of the body, from the parser."""
        self._body += data

    def on_message_complete(self) -> None:
        """Take the end of a request, from the parser."""
        asked, self._asked = self._asked, Asked()
        asked.method = self._parser.get_method().decode("latin-1")
        asked.body = bytes(self._body)
        self._body.clear()
        self.requests += 1
        self.server.asked(self, asked)

    def on_data(self, data: bytes) -> None:
        if not self._asked.first_at:
            self._asked.first_at = self.server.clock()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()
            return
        if len(self._body) > LARGEST:
            self.reset()

    def reset(self) -> None:
        """End it as a dying process does."""
        if not self.closed:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.close()

    def close(self) -> None:
        """Close, and tell the owner once."""
        if not self.closed:
            super().close()
            self.server.connections.pop(self.handle, None)
            self.server.left(self)


class ServerSocket(Endpoint):
    """A listening socket that can be shut, so that connections are refused, or made silent."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        asked: Callable[[ServerConnection, Asked], None],
        came: Callable[[ServerConnection], None],
        left: Callable[[ServerConnection], None],
        clock: Callable[[], int],
    ) -> None:
        if not address[0].startswith("127."):
            raise ValueError(f"{address[0]} is not a loopback address")
        sock = socket.create_server(address, backlog=BACKLOG)
        super().__init__(loop, sock)
        self.address: tuple[str, int] = sock.getsockname()
        self.asked, self.came, self.left, self.clock = asked, came, left, clock
        self.connections: dict[int, ServerConnection] = {}
        self.mark = ""  # whose server it is
        self.silent = False
        self._fillers: list[socket.socket] = []
        self.wants(READ)

    def on_event(self, mask: int) -> None:
        for _ in range(ACCEPTS):
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                return
            connection = ServerConnection(self, sock)
            self.connections[connection.handle] = connection
            self.came(connection)

    def shut(self) -> None:
        """Note that the process is gone: reset what is open, refuse what comes."""
        self._unfill()
        for connection in tuple(self.connections.values()):
            connection.reset()
        self.close()

    def open_again(self) -> ServerSocket:
        """Return a server at the same address, for a new process."""
        server = ServerSocket(self.loop, self.address, self.asked, self.came, self.left, self.clock)
        server.mark = self.mark
        return server

    def hush(self) -> None:
        """Let no new connection come up from here on; open ones stay, unread.

        The kernel drops a connection's first packet while a listening socket's queue is full, so it is made as
        short as it can be and filled.
        """
        self.silent = True
        self.wants(0)
        self.sock.listen(0)
        for _ in range(3):
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.connect_ex(self.address)
            self._fillers.append(sock)
        for connection in self.connections.values():
            connection.wants(0)

    def unhush(self) -> None:
        """Speak again: what was open is reset, and what waits in the queue is taken and dropped."""
        self.silent = False
        self._unfill()
        for connection in tuple(self.connections.values()):
            connection.reset()
        with contextlib.suppress(OSError):
            while True:
                self.sock.accept()[0].close()
        self.sock.listen(BACKLOG)
        self.wants(READ)

    def _unfill(self) -> None:
        fillers, self._fillers = self._fillers, []
        for sock in fillers:
            sock.close()


class ClientConnection(Stream):
    """One connection to a scheduler; one request at a time."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        answered: Callable[[ClientConnection, int, dict[str, str], bytes], None],
        failed: Callable[[ClientConnection], None],
    ) -> None:
        super().__init__(loop, connect(address), READ_SIZE, connected=False)
        self.state: Any = None
        self.requests = 0
        self.got_bytes = False
        self._answered, self._failed = answered, failed
        self._begin()

    def _begin(self) -> None:
        self._parser: Any = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._done = False
        self.stays = False

    def ask(self, data: bytes) -> None:
        """Write a request; it waits where the connection is still coming up."""
        self.requests += 1
        self.got_bytes = False
        self.write(data)

    def on_connected(self) -> None:
        self._write_out()

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header, from the parser."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Take a part of the body, from the parser."""
        self._body += data

    def on_message_complete(self) -> None:
        """Take the end of an answer, from the parser."""
        self._done = True
        self.stays = bool(self._parser.should_keep_alive())

    def on_data(self, data: bytes) -> None:
        self.got_bytes = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.on_eof()
            return
        if self._done:
            status, headers, body = self._parser.get_status_code(), self._headers, bytes(self._body)
            stays = self.stays
            self._begin()
            self.stays = stays
            self._answered(self, status, headers, body)

    def on_eof(self) -> None:
        if not self.closed:
            self.close()
            self._failed(self)

    def on_broken(self, error: OSError) -> None:
        self.on_eof()

    def on_failure(self) -> None:
        self.on_eof()


def answer(status: str, body: bytes = b"", extra: str = "") -> bytes:
    """Return a whole answer."""
    return f"HTTP/1.1 {status}\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


def chunk(data: bytes) -> bytes:
    """One chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
STREAM_END = b"0\r\n\r\n"
