"""Small workers and clients that follow PROTOCOL.md, on an event loop of their own.

A worker registers itself, serves, drains and ends as the pages say. What a case needs besides (a slow answer, a failure
that the pages allow) is given to it as the coroutine `behave`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import threading
import time
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import TypeVar

from system import CONTROL, System


@dataclass
class Request:
    """One request as it arrived."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    at: float
    worker: str = ""

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty text."""
        return next((value for key, value in self.headers if key.lower() == name.lower()), "")

    @property
    def id(self) -> str:
        """The id of the request."""
        return self.header("X-Request-Id")


@dataclass
class Answer:
    """An answer: sealed unless it says otherwise; `ran` tells whether the worker worked on the request."""

    status: int = 200
    body: bytes = b"ok"
    headers: dict[str, str] = field(default_factory=dict)
    ran: bool = True


Result = TypeVar("Result")
HEARTBEAT_S = 1.2
NOT_EXECUTED = {"X-Not-Executed": "1"}
Behaviour = Callable[["Worker", Request], Awaitable[Answer]]


class Worker:
    """One incarnation of a worker of a service."""

    def __init__(
        self, system: System, host: int, service: str, zone: str, *, behave: Behaviour | None = None, slots: int = 64
    ) -> None:
        self.system, self.service, self.zone, self.slots = system, service, zone, slots
        self.id = f"i-{random.getrandbits(40):010x}"
        self.ip, self.port = system.ip(host), 8080
        self.behave = behave
        self.arrived: list[Request] = []
        self.ran: list[Request] = []
        self.state, self.seq = "ready", 0
        self.cold_from = self.cold_until = 0.0
        self.acknowledged_at: dict[str, float] = {}
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.is_dark = False
        self._beat_at = ""
        self._has_beaten = asyncio.Event()
        self.next_beat_late_by = 0.0  # seconds; a heartbeat may come seconds late

    @property
    def cold_left_ms(self) -> int:
        """How much longer the worker is cold; 0 before it turns cold."""
        if time.monotonic() < self.cold_from:
            return 0
        return max(0, round((self.cold_until - time.monotonic()) * 1000))

    async def start(self) -> None:
        """Listen, and begin to send heartbeats."""
        self._listener.bind((self.ip, self.port))
        self._listener.listen(512)
        await self._accept()
        self._tasks.append(asyncio.create_task(self._beat_always()))

    async def _accept(self) -> None:
        self._server = await asyncio.start_server(self._serve, sock=self._listener.dup(), limit=1 << 20)

    async def go_dark(self, seconds: float, until_next_beat: float) -> None:
        """Say nothing for some seconds, on any connection; then serve on, and send the next heartbeat a while later."""
        for task in self._tasks:
            task.cancel()
        self.is_dark = True
        if self._server is not None:
            self._server.close()  # the socket goes on listening, so that new connections hang
        for writer in tuple(self._writers):
            writer.transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.sleep(seconds)
        self.is_dark = False
        for writer in tuple(self._writers):
            writer.transport.resume_reading()  # type: ignore[attr-defined]
        await self._accept()
        await asyncio.sleep(until_next_beat)
        self._tasks = [asyncio.create_task(self._beat_always())]

    async def stop(self) -> None:
        """End at once, as a crash would."""
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    # --- heartbeats -----------------------------------------------------------------------------------

    async def _beat_always(self) -> None:
        while True:
            await self.beat()
            self._has_beaten.set()
            await asyncio.sleep(HEARTBEAT_S)
            late_by, self.next_beat_late_by = self.next_beat_late_by, 0.0
            await asyncio.sleep(late_by)

    async def beat_on_time(self) -> None:
        """Return right after the next heartbeat."""
        self._has_beaten.clear()
        await self._has_beaten.wait()

    async def beat(self) -> bool:
        """Send one heartbeat, to the next control node where one fails; return True if it was acknowledged."""
        state = self.state
        for _ in range(6):
            self.seq += 1
            body = {
                "service": self.service,
                "address": f"{self.ip}:{self.port}",
                "zone": self.zone,
                "generation": "v1",
                "slots": self.slots,
                "state": state,
                "cold_left_ms": self.cold_left_ms,
                "seq": self.seq,
            }
            if await self._tell("PUT", json.dumps(body).encode()):
                self.acknowledged_at.setdefault(state, time.monotonic())
                return True
            await asyncio.sleep(0.1)
        return False

    def stop_beating(self) -> None:
        """Send no more heartbeats."""
        for task in self._tasks:
            task.cancel()

    async def leave(self) -> bool:
        """Send the end of the worker to the control nodes."""
        return any([await self._tell("DELETE", b"") for _ in range(3)])

    async def _tell(self, method: str, body: bytes) -> bool:
        cores = [core.ip for core in self.system.cores]
        ip = self._beat_at or random.choice(cores)
        status, data = await call(ip, self.system.ports[CONTROL], method, f"/v1/instances/{self.id}", body)
        if status != 200:
            self._beat_at = random.choice(cores)
            return False
        with contextlib.suppress(ValueError):
            url = json.loads(data or b"{}").get("beat_url")
            if url:
                self._beat_at = url.split("//")[1].split(":")[0]
        return True

    # --- requests -------------------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                answer = await self._answer(request)
                if answer is None:
                    break
                while self.is_dark:  # noqa: ASYNC110 - a dark worker has nothing to wait for
                    await asyncio.sleep(0.02)
                await write_answer(writer, request, answer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, request: Request) -> Answer | None:
        if request.target == "/healthz":
            told = {"X-Instance": self.id, "X-Cold-Ms": str(self.cold_left_ms)}
            return Answer(200 if self.state == "ready" else 503, b"", told, ran=False)
        request.worker = self.id
        self.arrived.append(request)
        if request.header("X-Target-Instance") not in ("", self.id):
            return Answer(421, b"", NOT_EXECUTED, ran=False)
        answer = await self.behave(self, request) if self.behave else Answer()
        if answer is not None and answer.ran:
            self.ran.append(request)
        return answer


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request, with its body, or None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").rstrip("\r\n").split(" ", 2)
    headers = await read_headers(reader)
    body = await reader.readexactly(int({name.lower(): value for name, value in headers}.get("content-length", "0")))
    return Request(method, target, headers, body, time.monotonic())


async def read_headers(reader: asyncio.StreamReader) -> list[tuple[str, str]]:
    """Read the headers up to the empty line."""
    headers = []
    while line := (await reader.readline()).decode("latin-1").rstrip("\r\n"):
        name, _, value = line.partition(":")
        headers.append((name, value.strip()))
    return headers


async def write_answer(writer: asyncio.StreamWriter, request: Request, answer: Answer) -> None:
    """Write an answer, with the worker's seal where it worked on the request."""
    headers = {"X-Request-Id": request.id, **answer.headers, "Content-Length": str(len(answer.body))}
    if answer.ran:
        headers["X-Response-Seal"] = f"{request.worker}.{request.id}"
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    body = b"" if request.method == "HEAD" else answer.body
    writer.write(f"HTTP/1.1 {answer.status} X\r\n{head}\r\n".encode("latin-1") + body)
    await writer.drain()


async def call(
    ip: str,
    port: int,
    method: str,
    target: str,
    body: bytes = b"",
    *,
    headers: dict[str, str] | None = None,
    wait: float = 1,
) -> tuple[int, bytes]:
    """Make one call on a new connection; return the status (0: no whole answer) and the body."""
    all_headers = {"Host": f"{ip}:{port}", "Content-Length": str(len(body)), "Connection": "close", **(headers or {})}
    head = "".join(f"{name}: {value}\r\n" for name, value in all_headers.items())
    writer = None
    try:
        async with asyncio.timeout(wait):
            reader, writer = await asyncio.open_connection(ip, port, limit=1 << 24)
            writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode("latin-1") + body)
            return await read_answer(reader, method)
    except (OSError, TimeoutError, ValueError, IndexError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.transport.abort()


async def read_answer(reader: asyncio.StreamReader, method: str = "GET") -> tuple[int, bytes]:
    """Read a whole answer; raise an error where it ends early."""
    status = int((await reader.readuntil(b"\r\n")).split()[1])
    headers = {name.lower(): value for name, value in await read_headers(reader)}
    if method == "HEAD" or status in (204, 304):
        return status, b""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return status, await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while (size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)) > 0:
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return status, body


class Loop:
    """An event loop in a thread, for the stand-ins."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def run(self, work: Coroutine[object, object, Result], within: float = 110) -> Result:
        """Run a coroutine and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(within)

    def start(self, work: Coroutine[object, object, object]) -> None:
        """Start a coroutine without waiting for it."""
        asyncio.run_coroutine_threadsafe(work, self._loop)
