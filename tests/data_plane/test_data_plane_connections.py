"""The connection pool of one worker: which idle connections are reused, and the limit on open connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import httpcore
import pytest

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


def run(body: Callable[[Server, WorkerPool], Awaitable[None]], most: int = 2) -> None:
    async def main() -> None:
        async with asyncio.timeout(10), Server() as server:
            pool = WorkerPool("w1", server.address, most)
            await body(server, pool)
            pool.retire()

    asyncio.run(main())


def put_at_rest(pool: WorkerPool, connection: WorkerConnection, idle_s: float = 0.0) -> None:
    """Put a connection among the idle ones, as if its last complete exchange had ended `idle_s` seconds ago."""
    pool._idle.append(connection)
    connection.idle_since_s = asyncio.get_running_loop().time() - idle_s


def test_the_newest_connection_at_rest_is_used_first() -> None:
    async def body(server: Server, pool: WorkerPool) -> None:
        first, second = await pool.acquire(False), await pool.acquire(False)
        put_at_rest(pool, first)
        put_at_rest(pool, second)
        assert await pool.acquire(False) is second
        assert await pool.acquire(True) is first
        assert pool.open_count == 2

    run(body)


@pytest.mark.parametrize("what", ["close", "reset", "bytes"])
def test_a_connection_that_shows_anything_at_rest_is_not_used(what: str) -> None:
    async def body(server: Server, pool: WorkerPool) -> None:
        first = await pool.acquire(False)
        writer = await server.writer(0)
        if what == "close":
            writer.close()
        elif what == "reset":
            writer.transport.abort()
        else:
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        while not first.stream.is_readable():
            await asyncio.sleep(0)
        put_at_rest(pool, first)
        assert await pool.acquire(True) is not first

    run(body)


def test_an_unsafe_request_takes_no_connection_near_the_end_that_its_worker_stated() -> None:
    """Guard against a worker that closes an idle connection while an unsafe request, which is not retried, is sent."""

    async def body(server: Server, pool: WorkerPool) -> None:
        old = await pool.acquire(False)
        old.announced_idle_limit_s = 5.0
        put_at_rest(pool, old, idle_s=4.5)
        fresh = await pool.acquire(True)
        assert fresh is not old
        assert await pool.acquire(False) is old
        put_at_rest(pool, old, idle_s=4.9)
        assert await pool.acquire(False) is not old

    run(body, most=3)


def test_an_unsafe_request_takes_no_old_connection_without_a_stated_end() -> None:
    async def body(server: Server, pool: WorkerPool) -> None:
        old = await pool.acquire(False)
        put_at_rest(pool, old, idle_s=DEFAULT_IDLE_LIMIT_UNSAFE_S + 0.1)
        assert await pool.acquire(True) is not old

    run(body)


def test_no_more_connections_than_allowed_and_the_next_in_line_gets_the_first_one_free() -> None:
    async def body(server: Server, pool: WorkerPool) -> None:
        held = [await pool.acquire(False), await pool.acquire(False)]
        waiting = [asyncio.ensure_future(pool.acquire(False)) for _ in range(2)]
        await server.writer(1)
        assert pool.open_count == 2
        pool.discard(held[0])
        fresh = await waiting[0]
        assert pool.open_count == 2
        assert fresh not in held
        assert not waiting[1].done()
        waiting[1].cancel()

    run(body)


def test_one_that_waits_and_leaves_passes_its_place_on() -> None:
    async def body(server: Server, pool: WorkerPool) -> None:
        held = await pool.acquire(False)
        first, second = (asyncio.ensure_future(pool.acquire(False)) for _ in range(2))
        await server.writer(0)
        pool.discard(held)
        while pool.open_count:
            await asyncio.sleep(0)
        first.cancel()
        assert await second is not held

    run(body, most=1)


def test_a_worker_that_is_gone_takes_no_more() -> None:
    async def body(server: Server, pool: WorkerPool) -> None:
        held = await pool.acquire(False)
        waiting = asyncio.ensure_future(pool.acquire(False))
        await server.writer(0)
        pool.retire()
        with pytest.raises(WorkerConnectError):
            await waiting
        pool.release(held)
        assert held.stream.closed

    run(body, most=1)


def test_a_worker_that_cannot_be_reached_keeps_no_connection_at_rest() -> None:
    async def body(server: Server, pool: WorkerPool) -> None:
        first, second = await pool.acquire(False), await pool.acquire(False)
        put_at_rest(pool, first)
        server._server.close()
        pool.discard(second)
        with pytest.raises(WorkerConnectError):
            await pool._connect()
        assert pool.idle_count == 0

    run(body)


@pytest.mark.parametrize("how", ["aborted here", "reset there"])
def test_only_an_end_by_the_worker_reads_as_an_end(how: str) -> None:
    """Guard against a truncated answer that looks complete: an answer without a length ends with its connection."""

    async def body(server: Server, pool: WorkerPool) -> None:
        connection, ended = await pool.acquire(False), await pool.acquire(False)
        writer = await server.writer(0)
        reading = asyncio.ensure_future(connection.stream.read(100))
        await asyncio.sleep(0)
        if how == "aborted here":
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


def test_the_share_of_a_workers_connections() -> None:
    assert connections_per_node(360, 6) == 60
    assert connections_per_node(96, 350) == 3
    assert connections_per_node(2, 350) == 2
