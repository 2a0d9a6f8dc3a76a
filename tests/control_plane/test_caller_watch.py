"""A delayed copy of a state-changing request has no effect if the client has disconnected: real sockets on loopback.

Client and server share one thread: while the client makes a blocking call, the server does not run, which simulates a
stalled server process.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest

from canvasbeam.control_plane import web
from canvasbeam.control_plane.web import Answer, Endpoint, Request, WebApp
from canvasbeam.runtime.http_server import HttpServer, Message, Receive, Scope, Send
from canvasbeam.runtime.settings import Address

POST = b"POST /v1/evacuate/z1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
Disconnect = Callable[[socket.socket], None]


def close_connection(client: socket.socket) -> None:
    client.close()


def reset_connection(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


EACH_DISCONNECT = pytest.mark.parametrize("disconnect", [close_connection, reset_connection])


class RecordingServer:
    """HTTP server with one endpoint, which records the method of each request that reaches the endpoint's handler."""

    def __init__(self, needs_caller: bool = True) -> None:
        self.handled: list[str] = []
        self.request_ended = asyncio.Event()
        self.on_receive: Callable[[int], None] = lambda number: None
        self._app = WebApp([Endpoint("/v1/evacuate/", self._handle, lambda: 4096, needs_caller)])
        self.server = HttpServer(self._serve, Address("127.0.0.1", 0))

    async def _handle(self, request: Request) -> Answer:
        self.handled.append(request.method)
        return Answer(200)

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        count = 0

        async def counting_receive() -> Message:
            nonlocal count
            count += 1
            self.on_receive(count)
            return await receive()

        try:
            await self._app(scope, counting_receive, send)
        finally:
            self.request_ended.set()

    def connect(self) -> socket.socket:
        """Connect with a blocking call, so that the event loop of the server does not run meanwhile."""
        return socket.create_connection(("127.0.0.1", self.server.port))


def run(test: Callable[[RecordingServer], Awaitable[None]], needs_caller: bool = True) -> RecordingServer:
    async def body() -> RecordingServer:
        recorder = RecordingServer(needs_caller)
        assert await recorder.server.start() is None
        try:
            async with asyncio.timeout(10):
                await test(recorder)
        finally:
            await recorder.server.close()
        return recorder

    return asyncio.run(body())


@EACH_DISCONNECT
def test_request_read_after_client_disconnected_has_no_effect(disconnect: Disconnect) -> None:
    """Guards against executing a delayed request after its client has timed out and disconnected.

    The server finds the request and the disconnection together in the kernel's receive buffer, because the server
    process was stalled or because the network delayed both.
    """

    async def body(recorder: RecordingServer) -> None:
        client = recorder.connect()
        client.sendall(POST)
        disconnect(client)
        other = recorder.connect()
        other.sendall(POST.replace(b"POST", b"DELETE"))
        loop = asyncio.get_running_loop()
        other.setblocking(False)
        assert (await loop.sock_recv(other, 4096)).startswith(b"HTTP/1.1 200")
        other.close()

    assert run(body).handled == ["DELETE"]


@EACH_DISCONNECT
def test_disconnect_during_stall_after_reading_request_is_noticed(
    disconnect: Disconnect, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(web, "DISCONNECT_WAIT_S", 0.0)  # the wait for a disconnection expires during the stall

    async def body(recorder: RecordingServer) -> None:
        client = recorder.connect()
        client.sendall(POST)
        first_receive_after_body = 2
        recorder.on_receive = lambda number: disconnect(client) if number == first_receive_after_body else None
        await recorder.request_ended.wait()

    assert run(body).handled == []


def test_waiting_client_is_answered() -> None:
    async def body(recorder: RecordingServer) -> None:
        client = recorder.connect()
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        for _ in range(2):
            await loop.sock_sendall(client, POST)
            assert (await loop.sock_recv(client, 4096)).startswith(b"HTTP/1.1 200")
        client.close()

    assert run(body).handled == ["POST", "POST"]


def test_without_watch_request_of_disconnected_client_has_effect() -> None:
    """Shows that the tests above can fail: without `needs_caller`, a disconnected client's request is executed."""

    async def body(recorder: RecordingServer) -> None:
        client = recorder.connect()
        client.sendall(POST)
        client.close()
        await recorder.request_ended.wait()

    assert run(body, needs_caller=False).handled == ["POST"]
