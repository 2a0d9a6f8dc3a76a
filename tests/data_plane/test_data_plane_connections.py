"""The connection pool of one worker: which idle connections are reused, and the limit on open connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import httpcore
import pytest

from canvasbeam.data_plane.network_stream import MAX_JOINED_BYTES, WorkerStream
from canvasbeam.data_plane.worker_connections import (
    DEFAULT_IDLE_LIMIT_UNSAFE_S,
    WorkerConnectError,
    WorkerConnection,
    WorkerPool,
    connections_per_node,
)
from canvasbeam.runtime.settings import Address


class Server:
    """A worker's listening socket that keeps the writer of each accepted connection for the test."""

    def __init__(self) -> None:
        self.writers: list[asyncio.StreamWriter] = []
        self.accepted = asyncio.Event()

    async def __aenter__(self) -> Server:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = Address("127.0.0.1", self._server.sockets[0].getsockname()[1])
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for writer in self.writers:
            writer.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        self.accepted.set()

    async def writer(self, number: int) -> asyncio.StreamWriter:
        while len(self.writers) <= number:
            self.accepted.clear()
            await self.accepted.wait()
        return self.writers[number]


def run(body: Callable[[Server, WorkerPool], Awaitable[None]], max_connections: int = 2) -> None:
    async def main() -> None:
        async with asyncio.timeout(10), Server() as server:
            pool = WorkerPool("w1", server.address, max_connections)
            await body(server, pool)
            pool.retire()

    asyncio.run(main())


def add_idle(pool: WorkerPool, connection: WorkerConnection, idle_s: float = 0.0) -> None:
    """Put a connection among the idle ones, as if its last complete exchange had ended `idle_s` seconds ago."""
    pool._idle.append(connection)
    connection.idle_since_s = asyncio.get_running_loop().time() - idle_s


def test_newest_idle_connection_is_reused_first() -> None:
    async def body(server: Server, pool: WorkerPool) -> None:
        first, second = await pool.acquire(False), await pool.acquire(False)
        add_idle(pool, first)
        add_idle(pool, second)
        assert await pool.acquire(False) is second
        assert await pool.acquire(True) is first
        assert pool.open_count == 2

    run(body)


@pytest.mark.parametrize("worker_action", ["close", "reset", "bytes"])
def test_idle_connection_that_becomes_readable_is_not_reused(worker_action: str) -> None:
    async def body(server: Server, pool: WorkerPool) -> None:
        first = await pool.acquire(False)
        writer = await server.writer(0)
        if worker_action == "close":
            writer.close()
        elif worker_action == "reset":
            writer.transport.abort()
        else:
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        while not first.stream.is_readable():
            await asyncio.sleep(0)
        add_idle(pool, first)
        assert await pool.acquire(True) is not first

    run(body)


def test_unsafe_request_avoids_connection_close_to_its_announced_idle_limit() -> None:
    """Guard against a worker that closes an idle connection while an unsafe request is sent, which is never retried."""

    async def body(server: Server, pool: WorkerPool) -> None:
        old = await pool.acquire(False)
        old.announced_idle_limit_s = 5.0
        add_idle(pool, old, idle_s=4.5)
        fresh = await pool.acquire(True)
        assert fresh is not old
        assert await pool.acquire(False) is old
        add_idle(pool, old, idle_s=4.9)
        assert await pool.acquire(False) is not old

    run(body, max_connections=3)


def test_unsafe_request_avoids_long_idle_connection_without_announced_limit() -> None:
    async def body(server: Server, pool: WorkerPool) -> None:
        old = await pool.acquire(False)
        add_idle(pool, old, idle_s=DEFAULT_IDLE_LIMIT_UNSAFE_S + 0.1)
        assert await pool.acquire(True) is not old

    run(body)


def test_full_pool_gives_the_next_free_slot_to_the_first_waiter() -> None:
    async def body(server: Server, pool: WorkerPool) -> None:
        acquired = [await pool.acquire(False), await pool.acquire(False)]
        waiting = [asyncio.ensure_future(pool.acquire(False)) for _ in range(2)]
        await server.writer(1)
        assert pool.open_count == 2
        pool.discard(acquired[0])
        fresh = await waiting[0]
        assert pool.open_count == 2
        assert fresh not in acquired
        assert not waiting[1].done()
        waiting[1].cancel()

    run(body)


def test_cancelled_waiter_passes_its_slot_to_the_next_one() -> None:
    """Guard against a lost wakeup: the waiter that received the free slot is cancelled before it opens a connection."""

    async def body(server: Server, pool: WorkerPool) -> None:
        acquired = await pool.acquire(False)
        first, second = (asyncio.ensure_future(pool.acquire(False)) for _ in range(2))
        await server.writer(0)
        pool.discard(acquired)
        while pool.open_count:
            await asyncio.sleep(0)
        first.cancel()
        assert await second is not acquired

    run(body, max_connections=1)


def test_retired_pool_fails_waiters_and_closes_released_connections() -> None:
    async def body(server: Server, pool: WorkerPool) -> None:
        acquired = await pool.acquire(False)
        waiting = asyncio.ensure_future(pool.acquire(False))
        await server.writer(0)
        pool.retire()
        with pytest.raises(WorkerConnectError):
            await waiting
        pool.release(acquired)
        assert acquired.stream.closed

    run(body, max_connections=1)


def test_failed_connect_discards_idle_connections() -> None:
    async def body(server: Server, pool: WorkerPool) -> None:
        first, second = await pool.acquire(False), await pool.acquire(False)
        add_idle(pool, first)
        server._server.close()
        pool.discard(second)
        with pytest.raises(WorkerConnectError):
            await pool._connect()
        assert pool.idle_count == 0

    run(body)


@pytest.mark.parametrize("ended_by", ["local abort", "reset by the worker"])
def test_aborted_connection_raises_read_error_and_closed_one_ends_the_stream(ended_by: str) -> None:
    """Guard against a truncated answer that looks complete: an answer without a length ends with its connection."""

    async def body(server: Server, pool: WorkerPool) -> None:
        connection, ended = await pool.acquire(False), await pool.acquire(False)
        writer = await server.writer(0)
        reading = asyncio.ensure_future(connection.stream.read(100))
        await asyncio.sleep(0)
        if ended_by == "local abort":
            connection.stream.abort()
        else:
            option = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
            writer.transport.abort()
        with pytest.raises(httpcore.ReadError):
            await reading
        (await server.writer(1)).close()
        assert await ended.stream.read(100) == b""

    run(body)


def test_connections_per_node_divides_the_limit_of_a_worker() -> None:
    assert connections_per_node(360, 6) == 60
    assert connections_per_node(96, 350) == 3
    assert connections_per_node(2, 350) == 2


def test_raised_maximum_is_used_by_requests_that_already_wait() -> None:
    """Guards against requests that wait for a connection although more may be opened since a node left."""

    async def body(server: Server, pool: WorkerPool) -> None:
        held = [await pool.acquire(False) for _ in range(2)]
        waiters = [asyncio.ensure_future(pool.acquire(False)) for _ in range(3)]
        await asyncio.sleep(0)
        pool.set_max_connections(4)
        first, second = await waiters[0], await waiters[1]
        assert pool.open_count == 4
        pool.set_max_connections(1)
        pool.discard(first)
        await asyncio.sleep(0)
        assert not waiters[2].done()
        for connection in (*held, second):
            pool.discard(connection)
        await waiters[2]

    run(body)


class RecordingTransport(asyncio.Transport):
    """Records the buffers that are written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.buffers: list[bytes | memoryview] = []

    def write(self, data: bytes | bytearray | memoryview) -> None:
        assert isinstance(data, bytes | memoryview)
        self.buffers.append(data)

    def get_extra_info(self, name: str, default: object = None) -> object:
        return socket.socket()

    def is_closing(self) -> bool:
        return False


@pytest.mark.parametrize("size", [0, 1, MAX_JOINED_BYTES - 4, MAX_JOINED_BYTES, 3 * MAX_JOINED_BYTES])
def test_parts_of_a_request_are_sent_in_order_and_a_large_body_is_not_copied(size: int) -> None:
    """Guards against copies of large bodies, each of which costs the process memory beyond its budget, and time."""
    body = bytes(range(256)) * (size // 256) + bytes(size % 256)

    async def main() -> None:
        stream, transport = WorkerStream(), RecordingTransport()
        stream.connection_made(transport)
        for part in (b"head", body, b"", b"tail"):
            await stream.write(part)
        assert stream.has_unsent is True
        stream.eof_received()
        await stream.read(1)
        assert b"".join(transport.buffers) == b"head" + body + b"tail"
        assert stream.bytes_written == len(body) + 8
        views = [buffer for buffer in transport.buffers if isinstance(buffer, memoryview)]
        assert all(view.obj is body for view in views)
        assert len(views) == (size > MAX_JOINED_BYTES)
        assert len(transport.buffers) <= 3
        assert all(len(buffer) <= MAX_JOINED_BYTES for buffer in transport.buffers if buffer not in views)

    asyncio.run(main())
