"""An evacuation request that may be a delayed copy of an older request has no effect.

Tests `EvacuationFence` alone, and the operator's API over real sockets on loopback.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from canvasbeam.control_plane.evacuation_fence import EvacuationFence
from canvasbeam.control_plane.operator_api import EVACUATION_PREFIX, OperatorApi
from canvasbeam.control_plane.web import Endpoint, WebApp
from canvasbeam.replication.control_state import Change, ChangeKind
from canvasbeam.runtime.http_server import HttpServer
from canvasbeam.runtime.settings import Address
from tests.control_plane.test_operator_api import SETTINGS, FakeService

START = Change(ChangeKind.START_EVACUATION, zone="z1")
END = Change(ChangeKind.END_EVACUATION, zone="z1")
END_OTHER_ZONE = Change(ChangeKind.END_EVACUATION, zone="z2")


def test_request_possibly_older_than_opposite_request_is_stale() -> None:
    fence = EvacuationFence()
    fence.record(END, 10.0)
    assert fence.may_be_stale(START, 9.0)
    assert not fence.may_be_stale(START, 10.5)


def test_requests_of_same_kind_or_other_zones_make_no_request_stale() -> None:
    fence = EvacuationFence()
    fence.record(START, 10.0)
    fence.record(END_OTHER_ZONE, 11.0)
    assert not fence.may_be_stale(START, 9.0)


def test_request_possibly_older_than_becoming_primary_is_stale() -> None:
    fence = EvacuationFence()
    assert not fence.may_be_stale(START, 0.0)
    fence.become_primary(5.0)
    assert fence.may_be_stale(START, 4.0)
    assert fence.may_be_stale(END, 4.0)
    assert not fence.may_be_stale(START, 5.5)


class Client:
    """HTTP client that sends all its requests over one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, server: HttpServer) -> Client:
        return cls(*await asyncio.open_connection("127.0.0.1", server.port))

    async def call(self, method: str) -> int:
        request = f"{method} {EVACUATION_PREFIX}z1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
        self._writer.write(request.encode())
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = next(line for line in head.split("\r\n") if line.startswith("content-length"))
        await self._reader.readexactly(int(length.partition(":")[2]))
        return int(head.split()[1])

    async def is_closed(self) -> bool:
        return await self._reader.read() == b""

    def close(self) -> None:
        self._writer.close()


def run(test: Callable[[HttpServer, OperatorApi], Awaitable[None]]) -> None:
    async def body() -> None:
        api = OperatorApi(SETTINGS, FakeService(), lambda ip: True, dict)
        app = WebApp([Endpoint(EVACUATION_PREFIX, api.evacuation, lambda: 4096, needs_caller=True)])
        server = HttpServer(app, Address("127.0.0.1", 0))
        assert await server.start() is None
        try:
            async with asyncio.timeout(10):
                await test(server, api)
        finally:
            await server.close()

    asyncio.run(body())


def test_consecutive_requests_on_one_connection_are_accepted() -> None:
    async def body(server: HttpServer, api: OperatorApi) -> None:
        client = await Client.connect(server)
        assert [await client.call(method) for method in ("POST", "DELETE", "POST", "DELETE")] == [200] * 4
        client.close()

    run(body)


def test_request_on_older_connection_gets_503_and_succeeds_on_new_connection() -> None:
    async def body(server: HttpServer, api: OperatorApi) -> None:
        older, other = await Client.connect(server), await Client.connect(server)
        assert [await other.call(method) for method in ("POST", "DELETE")] == [200, 200]
        assert await older.call("POST") == 503
        assert await older.is_closed()
        newer = await Client.connect(server)
        assert await newer.call("POST") == 200
        for client in (older, other, newer):
            client.close()

    run(body)


def test_request_on_connection_older_than_becoming_primary_gets_503() -> None:
    async def body(server: HttpServer, api: OperatorApi) -> None:
        older = await Client.connect(server)
        assert await older.call("POST") == 200
        api.on_primary_changed("10.2.0.30")
        assert await older.call("POST") == 200
        api.on_primary_changed(SETTINGS.ip)
        assert await older.call("DELETE") == 503
        newer = await Client.connect(server)
        assert await newer.call("DELETE") == 200
        for client in (older, newer):
            client.close()

    run(body)
