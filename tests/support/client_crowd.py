"""Crowds of clients that send much and read nothing, and what a process of the system uses meanwhile."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from canvasbeam.runtime.http_server import Receive, Scope, Send
from canvasbeam.runtime.settings import Address
from canvasbeam.simulator.model_worker import EmulatedWorker, StreamGate, WorkerSpec
from tests.support.system_processes import (
    CONFIGURATION,
    CONTROL_PORT,
    CONTROLS,
    EDGES,
    FRONT_PORT,
    WORKER_PORT,
    Node,
    System,
    ask,
    host,
)

MEBIBYTE = 1 << 20
MEMORY_MB = 133
MAX_FDS = 700
RESERVED_FDS = 200  # of `max_fds`, reserved by the platform for files outside the disk folder
LIMITS = f"[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}"
SAMPLE_EVERY_S = 0.02
RECOVERY_S = 20.0  # time for the memory to come back, and for an ordinary request to be answered
CROWD_S = 4.0  # time that a crowd which has sent all that it can keeps its connections open
RECEIVE_BUFFER_BYTES = 4096  # of a client that does not read
CONNECTION_BURST = 64  # connections that a crowd opens before it lets the event loop run
SERVICE, EDGE = "register", EDGES[0]


# --- what a process uses -----------------------------------------------------------------------------


@dataclass(slots=True)
class Usage:
    """Memory of a process with the kernel's buffers of its connections, in bytes, and its open descriptors."""

    memory_bytes: int = 0
    descriptors: int = 0


def _resident_bytes(pid: int) -> int:
    status = Path(f"/proc/{pid}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS")) * 1024


def _queued_bytes(ip: str) -> int:
    """Return the bytes in the kernel's queues, received and to be sent, of all TCP sockets of an address."""
    wanted = socket.inet_aton(ip)[::-1].hex().upper()
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].startswith(wanted) and fields[3] != "0A":  # the queue of a listening socket counts connections
            to_send, _, received = fields[4].partition(":")
            total += int(to_send, 16) + int(received, 16)
    return total


def usage(system: System, node: Node) -> Usage:
    """Return what a process uses now."""
    pid = system.processes[node.name].pid
    descriptors = len(list(Path(f"/proc/{pid}/fd").iterdir()))
    return Usage(_resident_bytes(pid) + _queued_bytes(node.ip), descriptors)


class UsageWatch:
    """Samples what a process uses, until it is stopped, and keeps the peaks."""

    def __init__(self, system: System, node: Node) -> None:
        self._system, self._node = system, node
        self.before = usage(system, node)
        self.peak = Usage(self.before.memory_bytes, self.before.descriptors)
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        with suppress(FileNotFoundError, ProcessLookupError, StopIteration):  # the process has ended
            while True:
                now = usage(self._system, self._node)
                self.peak.memory_bytes = max(self.peak.memory_bytes, now.memory_bytes)
                self.peak.descriptors = max(self.peak.descriptors, now.descriptors)
                await asyncio.sleep(SAMPLE_EVERY_S)

    def stop(self) -> None:
        self._task.cancel()

    def check(self) -> None:
        """The process lives, and stayed within the limits of its settings."""
        process = self._system.processes[self._node.name]
        told = f"{self.before} before, {self.peak} at the peak"
        print(f"{self._node.name}: {told}")
        assert process.returncode is None, told
        assert self.peak.memory_bytes <= MEMORY_MB * MEBIBYTE, told
        assert self.peak.descriptors <= MAX_FDS - RESERVED_FDS, told

    async def check_recovery(self) -> None:
        """Half of what the limit leaves above the memory before the crowd is free again."""
        bound = (self.before.memory_bytes + MEMORY_MB * MEBIBYTE) // 2
        with suppress(TimeoutError):
            async with asyncio.timeout(RECOVERY_S):
                while usage(self._system, self._node).memory_bytes > bound:
                    await asyncio.sleep(SAMPLE_EVERY_S)
        after = usage(self._system, self._node)
        assert after.memory_bytes <= bound, f"{after} after the crowd has gone, {self.before} before"


# --- the system --------------------------------------------------------------------------------------


class SizedWorker(EmulatedWorker):
    """A worker that answers with as many bytes as the request asks for, and keeps no bodies.

    `X-Answer-Bytes` is the size of the body, or of each event of a stream. A request to a path that ends with `/held`
    waits for `held`.
    """

    def __init__(self, spec: WorkerSpec, control: Sequence[Address]) -> None:
        super().__init__(spec, control)
        self.held = StreamGate()

    async def _answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        if not scope["path"].startswith("/v1/question"):
            await super()._answer(scope, receive, send)
            return
        headers = {name.decode().lower(): value.decode() for name, value in scope["headers"]}
        while (await receive()).get("more_body", False):
            pass
        if scope["path"].endswith("/held"):
            await self.held.wait()
        body = b"x" * int(headers.get("x-answer-bytes", "5"))
        head = [
            (b"x-request-id", headers["x-request-id"].encode()),
            (b"x-response-seal", b"s"),
            (b"x-instance", self.instance.encode()),
        ]
        if "x-tokens" in headers:
            await self._send_events(send, [*head, (b"content-type", b"text/event-stream")], body)
            return
        head.append((b"content-length", str(len(body)).encode()))
        await send({"type": "http.response.start", "status": 200, "headers": head})
        await send({"type": "http.response.body", "body": body})

    async def _send_events(self, send: Send, head: list[tuple[bytes, bytes]], data: bytes) -> None:
        await send({"type": "http.response.start", "status": 200, "headers": head})
        for number in range(1, self._spec.events + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, data)
            await send({"type": "http.response.body", "body": event, "more_body": True})
        await send({"type": "http.response.body", "body": b""})


async def start_system(system: System) -> SizedWorker:
    """Start the control processes, one data-plane process and a worker of each service; return that of `SERVICE`."""
    await system.start((*CONTROLS, EDGE))
    services = [{**service, "max_conns": 360} for service in CONFIGURATION["services"]]
    routes = [{**route, "timeout_ms": 15000} for route in CONFIGURATION["routes"]]
    configuration = {**CONFIGURATION, "services": services, "routes": routes}
    answer = await system.order("PUT", "/v1/config", configuration, if_match=0)
    assert answer.status == 200, answer
    workers = []
    for number, service in ((1, "model"), (2, SERVICE)):
        spec = WorkerSpec(
            f"i-{number}", service, Address(host(30 + number), WORKER_PORT), "z1", slots=64, heartbeat_s=0.3
        )
        worker = SizedWorker(spec, [Address(control.ip, CONTROL_PORT) for control in CONTROLS])
        assert await worker.start() is None
        system.workers.append(worker)
        await worker.registered.wait()
        workers.append(worker)
    await system.until_ready(EDGE)
    return workers[1]


def request_head(
    number: int, length: int | None, *, path: str = "/v1/question", extra: str = "", deadline_ms: int = 15000
) -> bytes:
    """The head of a client's request with a body of so many bytes, in chunks if `length` is None."""
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    return (
        f"POST {path} HTTP/1.1\r\nHost: lookup.example\r\nX-Request-Id: crowd-{number}\r\nX-Deadline: {deadline_ms}\r\n"
        f"{extra}{framing}\r\n\r\n"
    ).encode()


async def check_is_served(node: Node, name: str) -> None:
    """An ordinary caller, that calls again when it is refused, gets its answer."""
    last = None
    for number in range(int(RECOVERY_S)):
        with suppress(TimeoutError):
            async with asyncio.timeout(RECOVERY_S):
                last = await _ordinary_call(node, f"{name}-{number}")
        if last == 200:
            return
        await asyncio.sleep(1.0)
    raise AssertionError(f"no answer, the last one was {last}")


async def _ordinary_call(node: Node, identity: str) -> int | None:
    if node.is_control:
        answer = await ask(node.address(CONTROL_PORT), "GET", "/v1/status")
    else:
        headers = {"Host": "lookup.example", "X-Request-Id": identity, "X-Deadline": "5000"}
        answer = await ask(node.address(FRONT_PORT), "POST", "/v1/question", headers, b"hello")
    return None if answer is None else answer.status


# --- crowds ------------------------------------------------------------------------------------------


class Crowd:
    """Connections that send what they are given and read nothing."""

    def __init__(self, node: Node, port: int) -> None:
        self._address = (node.ip, port)
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def open(self, count: int, messages: Sequence[bytes] = (), *, port: int | None = None) -> None:
        """Open connections that each send these messages, one after the other, as far as they are taken."""
        address = self._address if port is None else (self._address[0], port)
        for number in range(count):
            self._tasks.append(asyncio.create_task(self._run(address, messages)))
            if number % CONNECTION_BURST == CONNECTION_BURST - 1:
                await asyncio.sleep(SAMPLE_EVERY_S)

    async def _run(self, address: tuple[str, int], messages: Sequence[bytes]) -> None:
        loop = asyncio.get_running_loop()
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sockets.append(connection)
        with suppress(OSError):
            await loop.sock_connect(connection, address)
            for message in messages:
                await loop.sock_sendall(connection, message)

    async def wait(self) -> None:
        """Return once all was sent or refused, or after `CROWD_S` seconds, whichever is later."""
        await asyncio.sleep(CROWD_S)
        await asyncio.wait(self._tasks, timeout=CROWD_S)

    async def leave(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in self._sockets:
            connection.close()


async def send_whole(node: Node, port: int, message: bytes) -> bytes:
    """Send one message on a connection of its own and return what is answered, up to the end of the connection."""
    answer = b""
    with suppress(OSError):
        reader, writer = await asyncio.open_connection(node.ip, port)
        try:
            writer.write(message)
            await writer.drain()
            answer = await reader.read(1 << 16)
        finally:
            writer.close()
            with suppress(OSError):
                await writer.wait_closed()
    return answer


def chunked(size: int, piece: int) -> list[bytes]:
    """So many bytes as chunks of the given size, without the last chunk that would end the body."""
    chunk = b"%x\r\n%s\r\n" % (piece, b"x" * piece)
    together = max(1, (1 << 16) // piece)
    return [chunk * together for _ in range(size // piece // together)]


def configuration_put(length: int) -> bytes:
    """The head of an operator's order."""
    return f"PUT /v1/config HTTP/1.1\r\nHost: c\r\nIf-Match: 1\r\nContent-Length: {length}\r\n\r\n".encode()
