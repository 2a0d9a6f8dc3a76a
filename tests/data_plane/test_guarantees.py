"""Guarantees of a data-plane node to clients, workers and operators, one group of tests for each guarantee."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import pytest

from canvasbeam.cluster import workers_pb2
from canvasbeam.data_plane import ingress
from canvasbeam.data_plane.program import DataPlane
from canvasbeam.data_plane.request_table import WORKER_ANSWER_GRACE_NS
from canvasbeam.data_plane.requests import ClientAnswer, ClientRequest
from canvasbeam.data_plane.worker_request import worker_request
from canvasbeam.item_table.items import Item, ItemKind, Version
from canvasbeam.leases.contact import ControlVersions, RelayedGrant
from canvasbeam.runtime.settings import Address, Bounds
from canvasbeam.units import MILLISECOND, SECOND
from tests.data_plane.test_data_plane_requests import run
from tests.support.data_plane_harness import (
    HOST,
    ROUTES,
    Client,
    DataPlaneUnderTest,
    ScriptedWorker,
    WorkerTurn,
    event,
    make_route,
    make_settings,
    parse_configuration,
    request_bytes,
)
from tests.support.system_processes import host

REACTION_LIMIT_S = 2.0  # time limit in seconds for an immediate reaction, also on a busy machine
LONG_TARGET_MS = 20_000  # latency target in milliseconds of routes whose requests stay queued during a whole test
MAX_BEYOND_TIMEOUT_NS = 250 * MILLISECOND


async def wait_until(condition: Callable[[], bool]) -> None:
    """Run the event loop until the condition is true."""
    while not condition():
        await asyncio.sleep(0)


async def wait_for_no_open_requests(data_plane: DataPlaneUnderTest) -> None:
    """Wait until no request is open; raise TimeoutError after `REACTION_LIMIT_S`."""
    async with asyncio.timeout(REACTION_LIMIT_S):
        await wait_until(lambda: data_plane.router.open_requests == 0)


async def run_ready_tasks(count: int = 50) -> None:
    """Yield `count` times to the event loop, so that tasks that are ready run."""
    for _ in range(count):
        await asyncio.sleep(0)


async def never_answer(turn: WorkerTurn) -> None:
    """Send no answer until the data plane closes the connection."""
    await turn.until_closed()


# --- before the first configuration -----------------------------------------------------------------


@pytest.mark.parametrize(
    ("path", "headers"),
    [
        ("/safe/x", ()),
        ("/no-such-route/x", ()),
        ("/safe/x", ("Authorization: none",)),
        ("/safe/x", ("X-Large: " + "x" * 20_000,)),  # a header above the limit of most configurations
    ],
)
def test_node_without_configuration_answers_every_request_with_503(
    path: str, headers: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ingress, "FIRST_CONFIGURATION_WAIT_S", 0.0)
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        data_plane.view.current = None
        data_plane.view._adopted.clear()
        data_plane.server.apply_limits(replace(data_plane.server.limits, max_header_bytes=65536))
        answer = await (await data_plane.client()).request(path, "id-1", "", *headers)
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert not worker.received

    run(body, worker)


def test_parser_accepts_the_largest_head_that_a_configuration_may_allow() -> None:
    async def main() -> None:
        data_plane = DataPlane(process_settings())
        assert data_plane._servers.front.limits.max_header_bytes >= 65536
        data_plane._view._adopt_configuration(configuration_item(max_header_bytes=1000))
        assert data_plane._servers.front.limits.max_header_bytes >= 65536

    asyncio.run(main())


def test_body_that_exceeds_the_route_timeout_gets_408() -> None:
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        head, _, _ = request_bytes("/short/x", "id-1", "hello").partition("hello")
        began = asyncio.get_running_loop().time()
        await client.send(head)
        answer = await client.response()
        assert answer.status == 408
        assert asyncio.get_running_loop().time() - began < 0.1 + REACTION_LIMIT_S
        assert await client.closed()
        assert not worker.received

    run(body, worker, routes=[make_route("short", "unsafe", timeout_ms=100)])


# --- the X-Deadline header sent to workers ----------------------------------------------------------


def make_request(route: dict[str, Any], client_wait_ms: int | None, now_ns: int) -> ClientRequest:
    """Return the request that the ingress builds for a call that arrived at `now_ns`."""
    document = {"generation": 1, "routes": [route], "services": [{"name": "svc"}]}
    configuration = parse_configuration(document)
    headers = [] if client_wait_ms is None else [(b"x-deadline", str(client_wait_ms).encode())]
    headers += [(b"host", HOST.encode()), (b"x-request-id", b"id-1")]
    scope = {"headers": headers, "method": "POST", "raw_path": b"/a/x", "query_string": b""}
    found = configuration.routes[0]
    handler = ingress.Ingress(None, None, None, random.Random(1))  # type: ignore[arg-type]
    return handler._make_request(scope, b"", found, ClientAnswer(None, None), now_ns)  # type: ignore[arg-type]


def deadline_headers_ms(request: ClientRequest, now_ns: int) -> list[int]:
    """Return the values of all X-Deadline headers that a worker would receive at `now_ns`, in milliseconds."""
    headers = worker_request(request, "w1", now_ns).headers
    return [int(value) for name, value in headers if name == b"x-deadline"]


@pytest.mark.parametrize("kind", ["safe", "unsafe", "streaming"])
@pytest.mark.parametrize("client_wait_ms", [None, 300, 2000, 100_000])
def test_worker_deadline_header_is_the_remaining_time(kind: str, client_wait_ms: int | None) -> None:
    request = make_request(make_route("a", kind, timeout_ms=5000), client_wait_ms, SECOND)
    limit_ms = min(5000, 5000 if client_wait_ms is None else client_wait_ms)
    for passed_ms in (0, 100, 250, 1900, 4999, 6000):
        (deadline_ms,) = deadline_headers_ms(request, SECOND + passed_ms * MILLISECOND)
        assert max(0, limit_ms - passed_ms - 20) <= deadline_ms <= max(0, limit_ms - passed_ms)


def test_resumed_stream_gets_the_remaining_time_as_deadline() -> None:
    deadlines_ms: list[int] = []

    async def break_first(turn: WorkerTurn) -> None:
        deadlines_ms.append(int(turn.request.headers["x-deadline"]))
        await turn.begin_stream()
        await turn.event(len(deadlines_ms))
        if len(deadlines_ms) == 1:
            turn.reset()
        else:
            await turn.end_stream()

    first, second = (ScriptedWorker(name, default=break_first) for name in ("w1", "w2"))

    async def body(data_plane: DataPlaneUnderTest) -> None:
        answer = await (await data_plane.client()).request("/resume/x")
        assert answer.body == (event(1) + event(2)).encode()
        assert len(deadlines_ms) == 2
        assert 4000 >= deadlines_ms[0] >= deadlines_ms[1] > 0

    run(body, first, second)


# --- clients that disconnect ------------------------------------------------------------------------


class BlockingWorker:
    """A worker script that answers health checks and leaves other requests unanswered until their connection closes."""

    def __init__(self) -> None:
        self.began = asyncio.Event()
        self.stopped = asyncio.Event()

    async def serve(self, turn: WorkerTurn) -> None:
        if turn.request.target == "/healthz":
            await turn.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Instance: w1\r\n\r\n")
            return
        self.began.set()
        await turn.until_closed()
        self.stopped.set()


@pytest.mark.parametrize("name", ["safe", "unsafe", "stream", "resume"])
def test_work_stops_as_soon_as_its_client_disconnects(name: str) -> None:
    blocking = BlockingWorker()

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        await client.send(request_bytes(f"/{name}/x"))
        await blocking.began.wait()
        client.close()
        async with asyncio.timeout(REACTION_LIMIT_S):
            await blocking.stopped.wait()
        assert data_plane.router.open_requests == 0

    run(body, ScriptedWorker("w1", default=blocking.serve))


def test_work_stops_when_its_client_disconnects_with_a_pipelined_request() -> None:
    blocking = BlockingWorker()
    worker = ScriptedWorker("w1", default=blocking.serve)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        await client.send(request_bytes("/unsafe/x", "id-1") + request_bytes("/unsafe/x", "id-2"))
        await blocking.began.wait()
        client.close()
        async with asyncio.timeout(REACTION_LIMIT_S):
            await blocking.stopped.wait()
        await wait_until(lambda: data_plane.server.connection_count == 0)
        assert [request.identity for request in worker.received] == ["id-1"]

    run(body, worker)


def test_requests_pipelined_during_an_answer_are_served_in_order() -> None:
    began, proceed = asyncio.Event(), asyncio.Event()

    async def work(turn: WorkerTurn) -> None:
        began.set()
        await proceed.wait()
        await turn.answer(body=turn.request.identity)

    worker = ScriptedWorker("w1", default=work)
    later = [f"id-{number}" for number in range(2, 120)]  # requests of more than MAX_READ_AHEAD_BYTES in total

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        await client.send(request_bytes("/safe/x", "id-1") + request_bytes("/safe/x", later[0]))
        await began.wait()
        sending = asyncio.ensure_future(
            client.send("".join(request_bytes("/safe/x", identity, "b" * 900) for identity in later[1:]))
        )
        await run_ready_tasks()
        proceed.set()
        for identity in ["id-1", *later]:
            assert (await client.response()).body == identity.encode()
        await sending

    run(body, worker)


@pytest.mark.parametrize("name", ["safe", "unsafe", "resume"])
def test_queued_request_of_a_disconnected_client_reaches_no_worker(name: str) -> None:
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        data_plane.heartbeat(worker, workers_pb2.WORKER_STATE_DRAINING)
        client = await data_plane.client()
        await client.send(request_bytes(f"/{name}/x", "id-1"))
        await wait_until(lambda: data_plane.router.open_requests == 1)
        client.close()
        await wait_for_no_open_requests(data_plane)
        data_plane.heartbeat(worker)
        assert (await (await data_plane.client()).request("/safe/x", "id-2")).status == 200
        assert [request.identity for request in worker.received] == ["id-2"]

    run(
        body,
        worker,
        routes=[make_route(each, kind, target_ms=LONG_TARGET_MS, resume=each == "resume") for each, kind in KINDS],
    )


KINDS = (("safe", "safe"), ("unsafe", "unsafe"), ("resume", "streaming"))


@pytest.mark.parametrize("name", ["safe", "unsafe", "resume"])
def test_request_waiting_for_a_connection_is_not_written_after_client_disconnect(name: str) -> None:
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        pool = data_plane.connections.pool("w1")
        assert pool is not None
        pool.max_connections = 1
        acquired = await pool.acquire(unsafe=True)
        client = await data_plane.client()
        await client.send(request_bytes(f"/{name}/x", "id-1"))
        await wait_until(lambda: bool(pool._waiting))
        client.close()
        await wait_for_no_open_requests(data_plane)
        pool.discard(acquired)
        assert (await (await data_plane.client()).request("/safe/x", "id-2")).status == 200
        assert [request.identity for request in worker.received] == ["id-2"]

    run(body, worker)


def test_request_of_a_client_disconnected_before_the_first_configuration_is_not_sent() -> None:
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        data_plane.view.current = None
        data_plane.view._adopted.clear()
        client = await data_plane.client()
        await client.send(request_bytes("/safe/x", "id-1"))
        await wait_until(lambda: data_plane.server.busy_count == 1)
        client.close()
        (connection,) = data_plane.server._connections
        await wait_until(connection.reader.at_eof)
        await run_ready_tasks()
        data_plane.configure()
        assert (await (await data_plane.client()).request("/safe/x", "id-2")).status == 200
        assert [request.identity for request in worker.received] == ["id-2"]

    run(body, worker)


def test_request_is_not_retried_after_client_disconnect() -> None:
    rejected = asyncio.Event()

    async def reject(turn: WorkerTurn) -> None:
        rejected.set()
        await turn.reject()

    first, second = ScriptedWorker("w1", default=reject), ScriptedWorker("w2")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        data_plane.heartbeat(second, workers_pb2.WORKER_STATE_DRAINING)
        client = await data_plane.client()
        await client.send(request_bytes("/safe/x", "id-1"))
        await rejected.wait()
        client.close()
        await wait_for_no_open_requests(data_plane)
        data_plane.heartbeat(second)
        await run_ready_tasks()
        assert not second.received

    run(body, first, second, routes=[make_route("safe", "safe", target_ms=LONG_TARGET_MS)])


# --- the timeout of a route -------------------------------------------------------------------------


async def stall_after_first_event(turn: WorkerTurn) -> None:
    await turn.begin_stream()
    await turn.event(1)
    await turn.until_closed()


async def stall_in_body(turn: WorkerTurn) -> None:
    await turn.write(f"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-Request-Id: {turn.request.identity}\r\n\r\nhalf")
    await turn.until_closed()


@pytest.mark.parametrize("kind", ["safe", "unsafe", "streaming"])
@pytest.mark.parametrize(
    "script",
    [never_answer, stall_after_first_event, stall_in_body, None],
    ids=["no answer", "one event", "half a body", "no worker"],
)
def test_every_request_ends_by_the_route_timeout(
    kind: str, script: Callable[[WorkerTurn], Awaitable[None]] | None
) -> None:
    worker = ScriptedWorker("w1", default=script or never_answer)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        if script is None:
            data_plane.heartbeat(worker, workers_pb2.WORKER_STATE_DRAINING)
        client = await data_plane.client()
        await client.send(request_bytes("/short/x"))
        async with asyncio.timeout(0.1 + REACTION_LIMIT_S):
            assert (await client.reader.read(65536)).startswith(b"HTTP/1.1 ")
            if kind == "streaming" and script is stall_after_first_event:
                while await client.reader.read(65536):
                    pass
        await wait_until(lambda: data_plane.router.open_requests == 0)

    run(body, worker, routes=[make_route("short", kind, timeout_ms=100, target_ms=LONG_TARGET_MS)])


def test_wait_for_a_worker_beyond_the_route_timeout_is_bounded() -> None:
    assert 0 < WORKER_ANSWER_GRACE_NS <= MAX_BEYOND_TIMEOUT_NS


def test_request_waiting_for_a_connection_gets_503_by_the_route_timeout() -> None:
    async def body(data_plane: DataPlaneUnderTest) -> None:
        pool = data_plane.connections.pool("w1")
        assert pool is not None
        pool.max_connections = 1
        acquired = await pool.acquire(unsafe=True)
        client = await data_plane.client()
        async with asyncio.timeout(0.1 + REACTION_LIMIT_S):
            assert (await client.request("/short/x")).status == 503
        pool.discard(acquired)

    run(body, ScriptedWorker("w1"), routes=[make_route("short", "unsafe", timeout_ms=100, target_ms=LONG_TARGET_MS)])


# --- planned changes: configuration, drains, evacuations --------------------------------------------


async def start_requests(data_plane: DataPlaneUnderTest, *workers: ScriptedWorker) -> tuple[Client, Client]:
    """Return the clients of a stream after its first event and of a plain request that a worker has received."""
    stream, whole = await data_plane.client(), await data_plane.client()
    await stream.send(request_bytes("/stream/x", "id-1"))
    await stream.head()
    await whole.send(request_bytes("/unsafe/x", "id-2"))
    await wait_until(lambda: sum(len(worker.received) for worker in workers) == 2)
    return stream, whole


class GatedWorker:
    """A worker script that finishes its answers only once `opened` is set."""

    def __init__(self) -> None:
        self.opened = asyncio.Event()

    async def serve(self, turn: WorkerTurn) -> None:
        is_stream = turn.request.target.startswith("/stream")
        if is_stream:
            await turn.begin_stream()
            await turn.event(1)
        await self.opened.wait()
        if not is_stream:
            await turn.answer()
            return
        await turn.event(2)
        await turn.end_stream()

    async def finish(self, stream: Client, whole: Client) -> None:
        """Let the workers finish, and check that both clients receive complete answers."""
        self.opened.set()
        assert [await stream.chunk() for _ in range(3)] == [event(1).encode(), event(2).encode(), b""]
        answer = await whole.response()
        assert (answer.status, answer.body) == (200, b"done")


def replace_configuration(data_plane: DataPlaneUnderTest) -> None:
    data_plane.routes = [make_route("other", "safe", service="other", timeout_ms=50)]
    data_plane.configure(idle_timeout_ms=1, header_timeout_ms=1)


def delete_workers(data_plane: DataPlaneUnderTest) -> None:
    """Delete all workers from the item table without marking them as draining first."""
    for worker in data_plane.workers:
        data_plane.table.merge([Item(ItemKind.WORKER, worker.name, Version(1 << 62), b"", deleted=True)])


def drain_and_delete_workers(data_plane: DataPlaneUnderTest) -> None:
    for worker in data_plane.workers:
        data_plane.heartbeat(worker, workers_pb2.WORKER_STATE_DRAINING)
    delete_workers(data_plane)


def evacuate(data_plane: DataPlaneUnderTest) -> None:
    data_plane.evacuate("z1")


@pytest.mark.parametrize("change", [replace_configuration, delete_workers, drain_and_delete_workers, evacuate])
def test_planned_change_completes_requests_in_flight(change: Callable[[DataPlaneUnderTest], None]) -> None:
    gate = GatedWorker()
    workers = [ScriptedWorker(name, default=gate.serve) for name in ("w1", "w2")]

    async def body(data_plane: DataPlaneUnderTest) -> None:
        stream, whole = await start_requests(data_plane, *workers)
        change(data_plane)
        await run_ready_tasks()
        await gate.finish(stream, whole)

    run(body, *workers)


def test_queued_request_is_served_after_removal_of_its_route() -> None:
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        data_plane.heartbeat(worker, workers_pb2.WORKER_STATE_DRAINING)
        client = await data_plane.client()
        await client.send(request_bytes("/unsafe/x"))
        await wait_until(lambda: data_plane.router.open_requests == 1)
        await run_ready_tasks()
        replace_configuration(data_plane)
        data_plane.heartbeat(worker)
        assert (await client.response()).status == 200

    run(body, worker, routes=[make_route("unsafe", "unsafe", target_ms=LONG_TARGET_MS)])


def test_worker_deleted_without_draining_receives_no_new_requests() -> None:
    """Guard against a delayed heartbeat that restores a deleted worker."""
    first, second = ScriptedWorker("w1"), ScriptedWorker("w2")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        data_plane.table.merge([Item(ItemKind.WORKER, "w1", Version(1 << 62), b"", deleted=True)])
        data_plane.heartbeat(first)  # a delayed heartbeat, sent before the worker left
        client = await data_plane.client()
        for number in range(4):
            assert (await client.request("/safe/x", f"id-{number}")).status == 200
        assert not first.received

    run(body, first, second)


# --- graceful shutdown of a node --------------------------------------------------------------------


@pytest.mark.parametrize(("elapsed_s", "status"), [(0.5, 200), (2.9, 200), (3.1, 503)])
def test_stream_late_in_a_shutdown_is_accepted_only_with_spare_time(elapsed_s: float, status: int) -> None:
    async def script(turn: WorkerTurn) -> None:
        await turn.begin_stream()
        await turn.event(1)
        await turn.end_stream()

    async def body(data_plane: DataPlaneUnderTest) -> None:
        data_plane.shutdown._stream_times.learn("stream", 3 * SECOND)
        data_plane.shutdown._phases.begin(data_plane.router.now_ns() - round(elapsed_s * SECOND))
        answer = await (await data_plane.client()).request("/stream/x")
        assert answer.status == status

    run(body, ScriptedWorker("w1", default=script), bounds=Bounds(grace_s=8))


def process_settings() -> Any:
    """Return the settings of a complete data-plane process on loopback."""
    ip = host(60)
    listen = {"front": Address(ip, 8144), "ready": Address(ip, 8140)}
    bounds = Bounds(grace_s=2.0, ttl_max_s=1.0)
    return replace(make_settings(), ip=ip, listen=listen, bounds=bounds)


def configuration_item(**limits: int) -> Item:
    document = {"generation": 1, "routes": ROUTES, "services": [{"name": "svc"}], "limits": limits}
    return Item(ItemKind.CONFIGURATION, "current", Version(1), json.dumps(document).encode())


async def connect(address: Address) -> Client:
    return Client(*await asyncio.open_connection(address.host, address.port))


async def is_ready(data_plane: DataPlane) -> bool:
    client = await connect(data_plane._settings.listen["ready"])
    await client.send("GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
    status = (await client.response()).status
    client.close()
    return status == 200


def worker_item(worker: ScriptedWorker) -> Item:
    record = workers_pb2.WorkerRecord(
        service="svc", address=f"127.0.0.1:{worker.port}", zone="z1", slots=4, state=workers_pb2.WORKER_STATE_READY
    )
    return Item(ItemKind.WORKER, worker.name, Version(1), record.SerializeToString())


def grant_contact(data_plane: DataPlane) -> None:
    """Give the node the relayed grant that a parent would send, so that the node is in contact."""
    distribution = data_plane._cluster._core.distribution
    versions = ControlVersions.of(distribution.table)
    assert distribution.relayed_lease.on_grant(RelayedGrant(time.monotonic_ns(), versions), versions)


@asynccontextmanager
async def running_node(worker: ScriptedWorker) -> AsyncIterator[DataPlane]:
    """Run a complete data plane without signal handlers; yield it once it is ready, and stop it at the end."""
    await worker.start()
    data_plane = DataPlane(process_settings())
    assert await data_plane.start() is None
    data_plane._cluster.publish([configuration_item(), worker_item(worker)])
    assert not data_plane.is_ready()  # a node is unready until its first contact
    grant_contact(data_plane)
    await wait_until(lambda: data_plane._cluster.members()[0].ready)
    try:
        yield data_plane
    finally:
        if not data_plane._shutdown.has_begun:
            await data_plane.stop()
        await worker.stop()


def test_node_in_shutdown_is_unready_at_once_and_still_serves() -> None:
    async def main() -> None:
        async with running_node(ScriptedWorker("w1")) as data_plane:
            assert await is_ready(data_plane)
            shutdown = asyncio.ensure_future(data_plane.stop())
            await asyncio.sleep(0)
            assert not data_plane._cluster.members()[0].ready  # the readiness flag that service discovery reads
            for _ in range(2):
                assert not await is_ready(data_plane)
            client = await connect(data_plane._settings.listen["front"])
            assert (await client.request("/safe/x")).status == 200
            client.close()
            await shutdown

    asyncio.run(main())


def test_reloaded_settings_complete_requests_in_flight() -> None:
    gate = GatedWorker()
    worker = ScriptedWorker("w1", default=gate.serve)

    async def main() -> None:
        async with running_node(worker) as data_plane:
            front = data_plane._settings.listen["front"]
            stream, whole = await connect(front), await connect(front)
            await stream.send(request_bytes("/stream/x", "id-1"))
            await stream.head()
            await whole.send(request_bytes("/unsafe/x", "id-2"))
            await wait_until(lambda: len(worker.received) == 2)
            changed = replace(data_plane._settings, seeds=(Address(host(61), 8146),), bounds=Bounds(grace_s=2.0))
            data_plane.change_settings(changed)
            await run_ready_tasks()
            await gate.finish(stream, whole)
            assert (await whole.request("/safe/x", "id-3")).status == 200
            for client in (stream, whole):
                client.close()

    asyncio.run(main())


# --- prompt headers sent to workers -----------------------------------------------------------------


@pytest.mark.parametrize("name", ["safe", "unsafe", "stream"])
def test_prompt_headers_reach_the_worker_unchanged(name: str) -> None:
    sent = {"x-model": "M, odd name", "x-tokens": "00120,7", "x-prefix-hash": "1F:100,2a:20"}

    async def serve(turn: WorkerTurn) -> None:
        await turn.answer()

    worker = ScriptedWorker("w1", default=serve)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        await client.request(f"/{name}/x", "id-1", "", *(f"{name.title()}: {value}" for name, value in sent.items()))
        received = worker.received[0].headers
        assert {name: received[name] for name in sent} == sent

    run(body, worker)
