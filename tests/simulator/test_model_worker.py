"""The emulated worker of the serving system keeps what the protocol promises of a worker."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import httpcore

from canvasbeam.runtime.http_server import HttpServer, Receive, Scope, Send
from canvasbeam.runtime.settings import Address
from canvasbeam.simulator.model_worker import EmulatedWorker, WorkerSpec
from tests.support.free_ports import free_port

DEADLINE_S = 20.0
HEADERS = {"Host": "a.example", "X-Request-Id": "r1"}


class Registry:
    """Stands for a control process: acknowledges each heartbeat, and remembers it."""

    def __init__(self) -> None:
        self.address = Address("127.0.0.1", free_port())
        self.calls: list[tuple[str, str, str]] = []
        self._server = HttpServer(self._answer, self.address)

    async def start(self) -> None:
        assert await self._server.start() is None

    async def stop(self) -> None:
        await self._server.close()

    async def _answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        body = (await receive()).get("body", b"")
        state = json.loads(body)["state"] if body else ""
        self.calls.append((scope["method"], scope["path"], state))
        await send({"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"0")]})
        await send({"type": "http.response.body", "body": b""})


Scene = Callable[[Registry, EmulatedWorker, str], Awaitable[None]]


def play(scene: Scene, slots: int = 1) -> None:
    async def run() -> None:
        registry = Registry()
        await registry.start()
        address = Address("127.0.0.1", free_port())
        spec = WorkerSpec("i-1", "s1", address, "z1", slots=slots, events=3, pause_s=0.0, heartbeat_s=0.05)
        worker = EmulatedWorker(spec, [Address("127.0.0.1", 1), registry.address])
        assert await worker.start() is None
        await worker.registered.wait()
        await scene(registry, worker, f"http://{address}")
        await worker.stop()
        await registry.stop()

    asyncio.run(asyncio.wait_for(run(), DEADLINE_S))


async def ask(url: str, path: str, **headers: str) -> httpcore.Response:
    names = {**HEADERS, **{name.replace("_", "-"): value for name, value in headers.items()}}
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request("POST", url + path, headers=list(names.items()), content=b"x")


def header(response: httpcore.Response, name: str) -> str | None:
    return next((value.decode() for key, value in response.headers if key.lower() == name.encode()), None)


def test_it_registers_at_whoever_answers_and_leaves_as_planned() -> None:
    registries = []

    async def scene(registry: Registry, worker: EmulatedWorker, url: str) -> None:
        del worker, url
        registries.append(registry)

    play(scene)
    calls = registries[0].calls
    assert calls[0] == ("PUT", "/v1/instances/i-1", "ready")
    assert calls[-2:] == [("PUT", "/v1/instances/i-1", "draining"), ("DELETE", "/v1/instances/i-1", "")]


def test_it_answers_streams_and_takes_up_a_stream() -> None:
    async def scene(registry: Registry, worker: EmulatedWorker, url: str) -> None:
        del registry
        plain = await ask(url, "/x", X_Target_Instance="i-1")
        assert (plain.status, plain.content, header(plain, "x-request-id")) == (200, b"x", "r1")
        assert header(plain, "x-response-seal")
        stream = await ask(url, "/x", X_Tokens="10,3")
        assert stream.content.count(b"\n\n") == 3
        rest = await ask(url, "/x", X_Tokens="10,3", Last_Event_Id="2")
        assert rest.content == b"id: 3\ndata: token 3\n\n"
        assert [run.after_event for run in worker.counts.ran] == [0, 0, 2]

    play(scene)


def test_it_runs_nothing_for_another_instance_beyond_its_slots_or_while_draining() -> None:
    async def scene(registry: Registry, worker: EmulatedWorker, url: str) -> None:
        del registry
        other = await ask(url, "/x", X_Target_Instance="i-2")
        assert (other.status, header(other, "x-instance")) == (421, "i-1")
        worker.gate.close()
        held = asyncio.create_task(ask(url, "/x", X_Tokens="10,3"))
        await worker.began.wait()
        full = await ask(url, "/x")
        assert (full.status, header(full, "x-not-executed")) == (503, "1")
        worker.gate.open()
        assert (await held).status == 200
        assert worker.counts.refused == 2

    play(scene)
