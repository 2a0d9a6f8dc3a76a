"""Graceful shutdown: each request that was read is answered, and a request that would be cut is rejected early."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from canvasbeam.data_plane.readiness import ReadinessApp
from canvasbeam.data_plane.shutdown import shutdown_times
from canvasbeam.runtime.http_server import HttpServer
from canvasbeam.runtime.settings import Address, Bounds
from canvasbeam.units import MILLISECOND, SECOND
from tests.data_plane.test_data_plane_requests import run
from tests.support.data_plane_harness import (
    Client,
    DataPlaneUnderTest,
    ScriptedWorker,
    WorkerTurn,
    event,
    request_bytes,
)

SHORT_GRACE = Bounds(grace_s=2.0, ttl_max_s=0.0)


class Clock:
    """A manual clock in nanoseconds; the test sets `now`."""

    def __init__(self) -> None:
        self.now = SECOND

    def __call__(self) -> int:
        return self.now


def test_shutdown_phases_are_in_order_for_any_grace_time() -> None:
    settings = DataPlaneUnderTest([]).settings
    for grace_s in (0.5, 1, 2, 5, 8, 30):
        times = shutdown_times(replace(settings, bounds=Bounds(grace_s=grace_s)))
        assert 0 < times.window < times.last_answer < times.leave < grace_s * SECOND


def test_stream_in_flight_completes_during_shutdown() -> None:
    began, proceed = asyncio.Event(), asyncio.Event()

    async def script(turn: WorkerTurn) -> None:
        await turn.begin_stream()
        await turn.event(1)
        began.set()
        await proceed.wait()
        await turn.event(2)
        await turn.end_stream()

    worker = ScriptedWorker("w1", default=script)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        await client.send(request_bytes("/stream/x"))
        await began.wait()
        shutdown = asyncio.ensure_future(data_plane.shutdown.run(data_plane.server, data_plane.router))
        await asyncio.sleep(0)
        proceed.set()
        answer = await client.response()
        assert answer.complete
        assert answer.body == (event(1) + event(2)).encode()
        assert await client.closed()
        await shutdown
        assert data_plane.server.connection_count == 0

    run_with_short_grace(body, worker)


def test_requests_during_shutdown_are_served_with_connection_close() -> None:
    async def body(data_plane: DataPlaneUnderTest) -> None:
        existing = await data_plane.client()
        assert (await existing.request("/safe/x", "id-1")).headers.get("connection") is None
        shutdown = asyncio.ensure_future(data_plane.shutdown.run(data_plane.server, data_plane.router))
        await asyncio.sleep(0)
        for client in (existing, await data_plane.client()):
            answer = await client.request("/safe/x", "id-2")
            assert answer.status == 200
            assert answer.headers["connection"] == "close"
            assert await client.closed()
        await shutdown

    run_with_short_grace(body, ScriptedWorker("w1"))


def test_request_unanswered_at_the_end_of_shutdown_gets_504() -> None:
    async def work(turn: WorkerTurn) -> None:
        await turn.until_closed()

    worker = ScriptedWorker("w1", default=work)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        await client.send(request_bytes("/unsafe/x"))
        await asyncio.ensure_future(data_plane.shutdown.run(data_plane.server, data_plane.router))
        answer = await client.response()
        assert answer.status == 504
        assert await client.closed()

    run_with_short_grace(body, worker)


def test_request_that_cannot_be_answered_before_the_end_is_rejected_at_once() -> None:
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        clock = Clock()
        data_plane.shutdown._now_ns = clock
        data_plane.shutdown._phases.begin(clock.now)
        clock.now += data_plane.shutdown._phases.times.last_answer - 1
        answer = await (await data_plane.client()).request("/unsafe/x")
        assert answer.status == 503
        assert answer.headers["connection"] == "close"
        assert not worker.received

    run(body, worker)


def test_request_is_rejected_near_the_end_when_one_in_five_of_its_kind_is_too_slow() -> None:
    """Regression: a request was cut at the end of a shutdown and answered with 504 (result code 706).

    The request was accepted while three in four requests of its kind would still have been answered in time, and took
    longer than those three. A rejection would have sent its client to another node.
    """
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        clock = Clock()
        data_plane.shutdown._now_ns = clock
        phases = data_plane.shutdown._phases
        for sample in range(64):
            phases.record_service_time("unsafe", (400 if sample % 5 == 0 else 10) * MILLISECOND)
        phases.begin(clock.now)
        clock.now += phases.times.last_answer - 200 * MILLISECOND
        answer = await (await data_plane.client()).request("/unsafe/x")
        assert answer.status == 503
        assert not worker.received

    run(body, worker)


def test_request_of_a_fast_kind_is_served_near_the_end() -> None:
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        phases = data_plane.shutdown._phases
        for _ in range(64):
            phases.record_service_time("unsafe", 10 * MILLISECOND)
        phases.begin(data_plane.shutdown._now_ns() - phases.times.last_answer + SECOND)
        assert (await (await data_plane.client()).request("/unsafe/x")).status == 200

    run(body, worker)


def test_long_stream_is_rejected_during_shutdown_and_short_one_served() -> None:
    async def script(turn: WorkerTurn) -> None:
        await turn.begin_stream()
        await turn.event(1)
        await turn.end_stream()

    worker = ScriptedWorker("w1", default=script)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        data_plane.shutdown._stream_times.learn("stream", 100 * SECOND, work=1000)
        data_plane.shutdown._phases.begin(data_plane.shutdown._now_ns())
        client = await data_plane.client()
        assert (await client.request("/stream/x", "id-1", "", "X-Tokens: 10,200")).status == 503
        assert not worker.received
        client = await data_plane.client()
        assert (await client.request("/stream/x", "id-2", "", "X-Tokens: 10,2")).complete

    run(body, worker)


def test_readiness_endpoint_reports_the_current_state() -> None:
    async def main() -> None:
        ready = False
        server = HttpServer(ReadinessApp(lambda: ready), Address("127.0.0.1", 0))
        assert await server.start() is None
        client = Client(*await asyncio.open_connection("127.0.0.1", server.port))
        for is_ready, status in ((False, 503), (True, 200), (False, 503)):
            ready = is_ready
            await client.send("GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await client.response()).status == status
        await client.send("GET /other HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await client.response()).status == 404
        client.close()
        await server.close()

    asyncio.run(main())


def run_with_short_grace(body: object, worker: ScriptedWorker) -> None:
    async def checked_body(data_plane: DataPlaneUnderTest) -> None:
        assert callable(body)
        await body(data_plane)

    run(checked_body, worker, bounds=SHORT_GRACE)
