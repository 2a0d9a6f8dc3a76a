"""A data plane on loopback sockets between clients that write raw bytes and workers that follow a script."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import struct
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from canvasbeam.cluster import workers_pb2
from canvasbeam.data_plane.configuration_view import ConfigurationView
from canvasbeam.data_plane.dispatcher_settings import dispatcher_settings
from canvasbeam.data_plane.endpoint_list import EndpointList
from canvasbeam.data_plane.ingress import Ingress
from canvasbeam.data_plane.request_classes import RequestClasses
from canvasbeam.data_plane.router import RequestRouter
from canvasbeam.data_plane.routes import Configuration
from canvasbeam.data_plane.shutdown import GracefulShutdown
from canvasbeam.data_plane.worker_connections import WorkerConnections
from canvasbeam.dispatch.dispatcher import Dispatcher
from canvasbeam.dispatch.events import ClassesChanged
from canvasbeam.item_table.configuration_document import document_of
from canvasbeam.item_table.items import Item, ItemKind, ItemTable, Version
from canvasbeam.runtime.http_server import HttpLimits, HttpServer
from canvasbeam.runtime.process_budget import MEBIBYTE, ProcessBudget
from canvasbeam.runtime.settings import Address, ProcessSettings

HOST = "a.example"
SEAL = "X-Response-Seal: 3e1b.07"


def make_settings() -> ProcessSettings:
    return ProcessSettings(
        node="edge-1", role="data", node_class="edge", serves=("edge",), ip="127.0.0.1", zone="z1", region="r1",
        port_range=(7000, 7010), seeds=(), zones={"z1": "r1", "z2": "r2"},
    )  # fmt: skip


def make_route(name: str, kind: str, **changes: Any) -> dict[str, Any]:
    route = {
        "name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind, "timeout_ms": 5000, "target_ms": 500,
        "priority": 1, "service": "svc", "retries": 2, "sticky": False, "resume": False, "gap_aim_ms": 400,
        "home_regions": [],
    }  # fmt: skip
    return route | changes


ROUTES = [
    make_route("safe", "safe"),
    make_route("unsafe", "unsafe"),
    make_route("once", "safe", retries=1),
    make_route("stream", "streaming"),
    make_route("resume", "streaming", resume=True),
]


def parse_configuration(configuration: Mapping[str, Any]) -> Configuration:
    """Read a configuration document."""
    return Configuration(document_of(configuration))


def all_classes(configuration: Configuration) -> ClassesChanged:
    """What the dispatcher is told once each route and service of a configuration was asked for."""
    classes = RequestClasses()
    classes.change_configuration(configuration)
    for route in configuration.routes:
        for part in route.split:
            assert classes.admit(route, part.service)
    return classes.as_event()


@dataclass
class Received:
    """One request as a worker read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def identity(self) -> str:
        """The id of the client's request; empty for a health check, which has none."""
        return self.headers.get("x-request-id", "")


class WorkerTurn:
    """One request at a worker, and the bytes that its script writes."""

    def __init__(self, received: Received, writer: asyncio.StreamWriter, reader: asyncio.StreamReader) -> None:
        self.request = received
        self.writer = writer
        self.reader = reader

    async def write(self, data: bytes | str) -> None:
        self.writer.write(data.encode() if isinstance(data, str) else data)
        await self.writer.drain()

    async def answer(
        self, status: str = "200 OK", body: str = "done", *headers: str, seal: bool = True, identity: str | None = None
    ) -> None:
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
        answered = identity or self.request.identity
        if answered:
            lines.append(f"X-Request-Id: {answered}")
        if seal:
            lines.append(SEAL)
        await self.write("\r\n".join([*lines, *headers]) + "\r\n\r\n" + body)

    async def reject(self, status: str = "503 Service Unavailable") -> None:
        await self.answer(status, "", "X-Not-Executed: 1", seal=False)

    async def begin_stream(self, *headers: str) -> None:
        lines = [
            "HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
            f"X-Request-Id: {self.request.identity}", SEAL, *headers,
        ]  # fmt: skip
        await self.write("\r\n".join(lines) + "\r\n\r\n")

    async def chunk(self, data: str) -> None:
        await self.write(f"{len(data):x}\r\n{data}\r\n")

    async def event(self, number: int) -> None:
        await self.chunk(event(number))

    async def end_stream(self) -> None:
        await self.write("0\r\n\r\n")

    def reset(self) -> None:
        """End the connection by a reset: a plain close would be its proper end."""
        connection = self.writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def until_closed(self) -> None:
        """Return once the other side has closed the connection."""
        try:
            while await self.reader.read(1000):
                pass
        except ConnectionError:
            return


def event(number: int) -> str:
    return f"id: {number}\ndata: token {number}\n\n"


Script = Callable[[WorkerTurn], Awaitable[None]]


async def serve_plainly(turn: WorkerTurn) -> None:
    await turn.answer()


class ScriptedWorker:
    """A worker on a loopback socket. The script of each next request is taken from `scripts`, else `default`."""

    def __init__(self, name: str, zone: str = "z1", default: Script = serve_plainly) -> None:
        self.name = name
        self.zone = zone
        self.default = default
        self.scripts: list[Script] = []
        self.received: list[Received] = []
        self.connections = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.connections += 1
        try:
            while not writer.is_closing():
                received = await read_request(reader)
                self.received.append(received)
                script = self.scripts.pop(0) if self.scripts else self.default
                await script(WorkerTurn(received, writer, reader))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the other side left, or the test is over
        finally:
            writer.close()


async def read_request(reader: asyncio.StreamReader) -> Received:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = head[0].split(" ")
    headers = {}
    for line in filter(None, head[1:]):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Received(method, target, headers, body)


@dataclass
class ClientResponse:
    """What a client read: `complete` tells whether the end of the answer was there."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


class Client:
    """One connection of a client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def send(self, data: bytes | str) -> None:
        self.writer.write(data.encode() if isinstance(data, str) else data)
        await self.writer.drain()

    async def request(self, path: str, identity: str = "r1", body: str = "", *headers: str) -> ClientResponse:
        await self.send(request_bytes(path, identity, body, *headers))
        return await self.response()

    async def head(self) -> tuple[int, dict[str, str]]:
        lines = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in filter(None, lines[1:]):
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        return int(lines[0].split(" ")[1]), headers

    async def chunk(self) -> bytes | None:
        """The next chunk of a body; empty at its proper end, None where the connection ended before."""
        try:
            size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
            data = await self.reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return data[:-2]

    async def response(self) -> ClientResponse:
        status, headers = await self.head()
        if headers.get("transfer-encoding") == "chunked":
            return await self._chunked(status, headers)
        length = int(headers.get("content-length", 0))
        return ClientResponse(status, headers, await self.reader.readexactly(length), True)

    async def _chunked(self, status: int, headers: dict[str, str]) -> ClientResponse:
        body = b""
        while chunk := await self.chunk():
            body += chunk
        return ClientResponse(status, headers, body, chunk is not None)

    async def closed(self) -> bool:
        """Wait for the server's close; whether no byte came before it."""
        try:
            return not await self.reader.read(1000)
        except ConnectionError:
            return True

    def close(self) -> None:
        self.writer.close()


def request_bytes(path: str, identity: str = "r1", body: str = "", *headers: str) -> str:
    lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {identity}", f"Content-Length: {len(body)}"]
    if not any(header.lower().startswith("x-deadline") for header in headers):
        lines.append("X-Deadline: 4000")
    return "\r\n".join([*lines, *headers]) + "\r\n\r\n" + body


@dataclass
class DataPlaneUnderTest:
    """The parts of a data plane without a cluster: the test writes the item table."""

    workers: list[ScriptedWorker]
    routes: list[dict[str, Any]] = field(default_factory=lambda: list(ROUTES))
    table: ItemTable = field(default_factory=ItemTable)
    generation: int = 0
    sequence: int = 0
    is_behind: bool = False  # a newer configuration is known of than the one held
    settings: ProcessSettings = field(default_factory=make_settings)

    async def __aenter__(self) -> DataPlaneUnderTest:
        self.connections = WorkerConnections()
        self.router = RequestRouter(lambda: Dispatcher(dispatcher_settings(self.settings), 1), self.connections)
        self.view = ConfigurationView(self.table)
        self.shutdown = GracefulShutdown(self.settings, self.router.now_ns)
        self.view.add_listener(self._on_configuration)
        self.endpoint_list = EndpointList(
            self.table, self.view, self.router, self.connections, regions=self.settings.zones, live_nodes=1
        )
        self.budget = ProcessBudget(16 * MEBIBYTE, 64)
        ingress = Ingress(
            self.view,
            self.router,
            self.shutdown,
            random.Random(1),
            is_configuration_current=lambda: not self.is_behind,
        )
        self.server = HttpServer(ingress, Address("127.0.0.1", 0), HttpLimits(), budget=self.budget)
        assert await self.server.start() is None
        for worker in self.workers:
            await worker.start()
        self.configure()
        for worker in self.workers:
            self.heartbeat(worker)
        self._clients: list[Client] = []
        return self

    async def __aexit__(self, *_: object) -> None:
        for client in self._clients:
            client.close()
        await self.server.close()
        self.connections.close()
        for worker in self.workers:
            await worker.stop()

    def _on_configuration(self, configuration: Configuration) -> None:
        self.router.change_configuration(configuration)

    def configure(self, **limits: int) -> None:
        self.generation += 1
        document = {
            "generation": self.generation,
            "routes": self.routes,
            "services": [{"name": "svc", "health_check": "/healthz", "max_conns": 16}],
            "limits": {"max_body_bytes": 1000} | limits,
        }
        payload = json.dumps(document).encode()
        self.table.merge([Item(ItemKind.CONFIGURATION, "current", Version(self.generation), payload)])

    def heartbeat(self, worker: ScriptedWorker, state: int = workers_pb2.WORKER_STATE_READY) -> None:
        self.sequence += 1
        record = workers_pb2.WorkerRecord(
            service="svc", address=f"127.0.0.1:{worker.port}", zone=worker.zone, slots=4,
            state=state,  # type: ignore[arg-type]
        )  # fmt: skip
        self.table.merge([Item(ItemKind.WORKER, worker.name, Version(self.sequence), record.SerializeToString())])

    def evacuate(self, *zones: str) -> None:
        self.sequence += 1
        payload = json.dumps(list(zones)).encode()
        self.table.merge([Item(ItemKind.EVACUATIONS, "current", Version(self.sequence), payload)])

    async def client(self) -> Client:
        client = Client(*await asyncio.open_connection("127.0.0.1", self.server.port))
        self._clients.append(client)
        return client
