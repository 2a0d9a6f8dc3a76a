"""The HTTP server on loopback sockets: responses to malformed requests, app faults, slow heads and a drain."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress

from canvasbeam.errors import Failure
from canvasbeam.runtime.http_connection import CONNECTION_BYTES, REQUEST_BYTES
from canvasbeam.runtime.http_server import App, HttpLimits, HttpServer, Receive, Scope, Send
from canvasbeam.runtime.process_budget import MEBIBYTE, ProcessBudget
from canvasbeam.runtime.settings import Address

GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
OK_HEAD = {"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"2")]}

LARGE_POST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 13200000\r\n\r\n"


async def answer_ok(scope: Scope, receive: Receive, send: Send) -> None:
    message = await receive()
    while message.get("more_body"):
        message = await receive()
    await send(dict(OK_HEAD))
    await send({"type": "http.response.body", "body": b"ok"})


async def answer_unread(scope: Scope, receive: Receive, send: Send) -> None:
    await asyncio.sleep(0.05)
    await send(dict(OK_HEAD))
    await send({"type": "http.response.body", "body": b"ok"})


@asynccontextmanager
async def serving(
    app: App, limits: HttpLimits | None = None, budget: ProcessBudget | None = None
) -> AsyncIterator[HttpServer]:
    server = HttpServer(app, Address("127.0.0.1", 0), limits, budget=budget)
    assert await server.start() is None
    try:
        yield server
    finally:
        await server.close()


async def connect(server: HttpServer) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection("127.0.0.1", server.port)


async def exchange(server: HttpServer, data: bytes) -> bytes:
    """Send `data`, and return all bytes until the server closes the connection."""
    reader, writer = await connect(server)
    writer.write(data)
    try:
        async with asyncio.timeout(5):
            return await reader.read()
    finally:
        writer.close()


async def read_head(reader: asyncio.StreamReader) -> bytes:
    return await reader.readuntil(b"\r\n\r\n")


def run(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(test())  # type: ignore[arg-type]


def test_two_requests_use_one_connection() -> None:
    async def body() -> None:
        async with serving(answer_ok) as server:
            reader, writer = await connect(server)
            for _ in range(2):
                writer.write(GET)
                assert (await read_head(reader)).startswith(b"HTTP/1.1 200")
                assert await reader.readexactly(2) == b"ok"
            assert server.connection_count == 1
            writer.close()

    run(body)


def test_malformed_request_is_answered_400_and_closed() -> None:
    """Guards against a connection that stays open after a request whose end cannot be determined."""

    async def body() -> None:
        async with serving(answer_ok) as server:
            for malformed in (b"\x00\x01\r\n\r\n", b"GET\r\n\r\n", b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"):
                answer = await exchange(server, malformed)
                assert answer.startswith(b"HTTP/1.1 400"), malformed
                assert b"connection: close" in answer.lower()

    run(body)


def test_request_head_over_the_limit_is_answered_431() -> None:
    """Guards against a request head that grows without limit and so exhausts memory."""

    async def body() -> None:
        async with serving(answer_ok, HttpLimits(max_header_bytes=200)) as server:
            answer = await exchange(server, b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 400)
            assert answer.startswith(b"HTTP/1.1 431")

    run(body)


def test_slow_head_closes_the_connection_without_a_response() -> None:
    """Guards against a client that never completes a request head and so occupies a connection forever."""

    async def body() -> None:
        async with serving(answer_ok, HttpLimits(header_timeout_s=0.01)) as server:
            assert await exchange(server, b"GET / HT") == b""

    run(body)


def test_idle_connection_is_closed_after_the_idle_timeout() -> None:
    """Guards against idle client connections that occupy descriptors forever."""

    async def body() -> None:
        async with serving(answer_ok, HttpLimits(idle_timeout_s=0.01)) as server:
            answer = await exchange(server, GET)
            assert answer.endswith(b"\r\n\r\nok")

    run(body)


def test_exception_before_the_response_is_answered_500() -> None:
    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        raise RuntimeError("exception raised by the app")

    async def body() -> None:
        async with serving(app) as server:
            assert (await exchange(server, GET)).startswith(b"HTTP/1.1 500")

    run(body)


def test_exception_within_a_chunked_response_leaves_the_response_incomplete() -> None:
    """Guards against a final chunk after an exception of the app: the client would accept a partial body as whole."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b"part", "more_body": True})
        raise RuntimeError("exception raised by the app")

    async def body() -> None:
        async with serving(app) as server:
            answer = await exchange(server, GET)
            assert b"transfer-encoding: chunked" in answer.lower()
            assert answer.endswith(b"4\r\npart\r\n")

    run(body)


def test_app_receives_disconnect_when_the_client_closes() -> None:
    """Guards against an app that continues to work on a request after the client has closed the connection."""

    async def body() -> None:
        started, disconnected = asyncio.Event(), asyncio.Event()

        async def app(scope: Scope, receive: Receive, send: Send) -> None:
            await receive()
            started.set()
            message = await receive()
            if message["type"] == "http.disconnect":
                disconnected.set()

        async with serving(app) as server:
            _, writer = await connect(server)
            writer.write(GET)
            await started.wait()
            writer.close()
            async with asyncio.timeout(5):
                await disconnected.wait()

    run(body)


def test_upgrade_to_another_protocol_is_ignored() -> None:
    """Guards against hypercorn switching to HTTP/2 or WebSocket, which this server does not support."""

    async def body() -> None:
        async with serving(answer_ok, HttpLimits(idle_timeout_s=0.01)) as server:
            for protocol in (b"h2c", b"websocket"):
                head = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: " + protocol + b"\r\n\r\n"
                assert (await exchange(server, head)).startswith(b"HTTP/1.1 200")
            assert b" 101 " not in await exchange(server, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")

    run(body)


def test_drain_waits_for_requests_in_progress_and_announces_the_close() -> None:
    """Guards against a drain that aborts requests in progress or keeps their connections open after the response."""

    async def body() -> None:
        started, finish = asyncio.Event(), asyncio.Event()

        async def app(scope: Scope, receive: Receive, send: Send) -> None:
            started.set()
            await finish.wait()
            await answer_ok(scope, receive, send)

        async with serving(app) as server:
            idle_reader, _ = await connect(server)
            reader, writer = await connect(server)
            writer.write(GET)
            await started.wait()
            drained = asyncio.create_task(server.drain(5))
            assert await idle_reader.read() == b""
            assert server.busy_count == 1
            finish.set()
            answer = await reader.read()
            assert b"connection: close" in answer.lower()
            assert answer.endswith(b"ok")
            assert await drained

    run(body)


def test_drain_returns_false_if_a_request_outlasts_the_timeout() -> None:
    """Guards against a drain that reports success while a request is still in progress at the timeout."""

    async def body() -> None:
        started = asyncio.Event()

        async def app(scope: Scope, receive: Receive, send: Send) -> None:
            started.set()
            while (await receive())["type"] != "http.disconnect":
                pass

        async with serving(app) as server:
            _, writer = await connect(server)
            writer.write(GET)
            await started.wait()
            assert not await server.drain(0.01)

    run(body)


def test_connections_over_the_limit_are_reset() -> None:
    """Guards against clients that exhaust the descriptors of the process with connections."""

    async def body() -> None:
        async with serving(answer_ok, HttpLimits(max_connections=1)) as server:
            reader, writer = await connect(server)
            writer.write(GET)
            await read_head(reader)
            with suppress(ConnectionError):
                assert await exchange(server, GET) == b""
            assert server.connection_count == 1
            writer.close()

    run(body)


def test_connection_ends_although_the_app_answers_without_reading_the_body() -> None:
    """Guards against connections that stay for ever, because the end of a request waits for room in a queue."""

    async def body() -> None:
        async with serving(answer_unread) as server:
            for head in (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", LARGE_POST):
                _, writer = await connect(server)
                writer.write(head + b"400\r\n" + b"x" * 1024 + b"\r\n")
                for _ in range(200):
                    writer.write((b"400\r\n" + b"x" * 1024 + b"\r\n") * 64)
                    with suppress(ConnectionError):
                        await writer.drain()
                writer.close()
            async with asyncio.timeout(5):
                while server.connection_count:
                    await asyncio.sleep(0.01)

    run(body)


def test_each_of_two_requests_sent_together_reserves_its_memory() -> None:
    """Guards against requests that were read ahead and that the budget of the process does not know of."""

    async def body() -> None:
        budget = ProcessBudget(MEBIBYTE, 10)
        reserved: list[int] = []

        async def app(scope: Scope, receive: Receive, send: Send) -> None:
            reserved.append(budget.reserved_bytes)
            await answer_ok(scope, receive, send)

        async with serving(app, budget=budget) as server:
            reader, writer = await connect(server)
            writer.write(GET + GET)
            for _ in range(2):
                await read_head(reader)
            writer.close()
        assert reserved == [CONNECTION_BYTES + REQUEST_BYTES] * 2
        assert budget.reserved_bytes == 0

    run(body)


def test_address_in_use_is_a_failure() -> None:
    async def body() -> None:
        async with serving(answer_ok) as server:
            second = HttpServer(answer_ok, Address("127.0.0.1", server.port))
            assert isinstance(await second.start(), Failure)

    run(body)
