"""An emulated worker of the serving system: it registers, sends heartbeats, and answers or streams at a set pace.

It keeps what the protocol promises of a worker: a request for another instance is answered 421 and not run, one beyond
its slots 503 with `X-Not-Executed`, and a stream is taken up after `Last-Event-Id`. It is for trying the system by hand
and for tests; it is no model of a worker's speed.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from dataclasses import dataclass, field

import httpcore

from canvasbeam.errors import Failure
from canvasbeam.runtime.http_server import HttpServer, Receive, Scope, Send
from canvasbeam.runtime.settings import Address

HEALTH_PATH = "/healthz"
REPORT_PATH = "/v1/report"
CALL_TIMEOUT_S = 1.0
SEAL = "X-Response-Seal"

Headers = dict[str, str]


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """Which worker is emulated."""

    instance: str
    service: str
    address: Address
    zone: str
    slots: int = 8
    events: int = 10
    pause_s: float = 0.05
    heartbeat_s: float = 1.0


@dataclass(slots=True)
class Ran:
    """A request that this worker began to work on."""

    request_id: str
    path: str
    body: bytes
    after_event: int = 0


@dataclass(slots=True)
class WorkerCounts:
    """What a worker did so far."""

    ran: list[Ran] = field(default_factory=list)
    refused: int = 0
    heartbeats: int = 0


class StreamGate:
    """Lets the events of streams pass: all of them while it is open, else as many as were allowed."""

    def __init__(self) -> None:
        self._is_open = True
        self._allowed = 0
        self._changed = asyncio.Event()

    def open(self) -> None:
        """Let every event pass."""
        self._is_open = True
        self._changed.set()

    def close(self) -> None:
        """Hold the next event, in every stream."""
        self._is_open = False

    def allow(self, count: int) -> None:
        """Let so many events pass a closed gate."""
        self._allowed += count
        self._changed.set()

    async def wait(self) -> None:
        """Return when the next event may be sent."""
        while not self._is_open and self._allowed == 0:
            self._changed.clear()
            await self._changed.wait()
        if not self._is_open:
            self._allowed -= 1


class EmulatedWorker:
    """One worker on the running event loop."""

    def __init__(self, spec: WorkerSpec, control: Sequence[Address]) -> None:
        self._spec = spec
        self._control = [str(address) for address in control]
        self._server = HttpServer(self._answer, spec.address)
        self._sequence = 0
        self._running: set[asyncio.Task[None]] = set()
        self._state = "ready"
        self._beating: asyncio.Task[None] | None = None
        self.counts = WorkerCounts()
        self.registered = asyncio.Event()
        self.began = asyncio.Event()  # set by the first request that runs; a test may clear it
        self.gate = StreamGate()

    @property
    def instance(self) -> str:
        """The id of this worker."""
        return self._spec.instance

    async def start(self) -> Failure | None:
        """Listen, and register by the first heartbeat."""
        failure = await self._server.start()
        if failure is None:
            self._beating = asyncio.create_task(self._send_heartbeats())
        return failure

    async def stop(self) -> None:
        """Leave as planned: say so, finish what runs, sign off."""
        self._state = "draining"
        await self._call("PUT", self._heartbeat())
        await self._server.drain(timeout_s=5.0)
        await self.sign_off()
        await self.crash()

    async def drain(self) -> bool:
        """Say that this worker drains, in its last heartbeat, but go on serving; return True if acknowledged."""
        self._stop_heartbeats()
        self._state = "draining"
        return await self._call("PUT", self._heartbeat())

    async def sign_off(self) -> bool:
        """Stop the heartbeats and deregister, but go on serving; return True if that was acknowledged."""
        self._stop_heartbeats()
        return await self._call("DELETE", b"")

    async def crash(self) -> None:
        """End without a word: connections are reset, and what runs is dropped."""
        self._stop_heartbeats()
        closing = asyncio.ensure_future(self._server.close())
        await asyncio.sleep(0)  # the connections are reset before what runs on them ends
        for task in tuple(self._running):
            task.cancel()
        await closing

    def _stop_heartbeats(self) -> None:
        if self._beating is not None:
            self._beating.cancel()

    # --- registration -----------------------------------------------------------------------------

    async def _send_heartbeats(self) -> None:
        while True:
            if await self._call("PUT", self._heartbeat()):
                self.counts.heartbeats += 1
                self.registered.set()
            await asyncio.sleep(self._spec.heartbeat_s)

    def _heartbeat(self) -> bytes:
        self._sequence += 1
        spec = self._spec
        record = {
            "service": spec.service,
            "address": str(spec.address),
            "zone": spec.zone,
            "generation": "v1",
            "slots": spec.slots,
            "state": self._state,
            "cold_left_ms": 0,
            "stage": "hybrid",
            "models": [{"name": "m", "generation": 1, "adapters": []}],
            "seq": self._sequence,
        }
        return json.dumps(record).encode()

    async def _call(self, method: str, body: bytes) -> bool:
        """Try the control addresses in turn; tells whether one acknowledged."""
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), CALL_TIMEOUT_S)
        async with httpcore.AsyncConnectionPool() as pool:
            for address in self._control:
                url = f"http://{address}/v1/instances/{self._spec.instance}"
                try:
                    response = await pool.request(
                        method,
                        url,
                        headers=[("Host", address), ("Content-Type", "application/json")],
                        content=body,
                        extensions={"timeout": timeout},
                    )
                except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
                    continue
                if 200 <= response.status < 300:
                    return True
        return False

    # --- requests ---------------------------------------------------------------------------------

    async def _answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = {name.decode().lower(): value.decode() for name, value in scope["headers"]}
        body = await _read_body(receive)
        if scope["path"] == HEALTH_PATH:
            await _respond(send, 200 if self._state == "ready" else 503, {"X-Instance": self._spec.instance})
        elif scope["path"] == REPORT_PATH:
            await _respond(send, 200, {"Content-Type": "application/json"}, self._report())
        else:
            await self._take(scope, headers, body, send)

    async def _take(self, scope: Scope, headers: Headers, body: bytes, send: Send) -> None:
        """Run a request, or say that it was not run."""
        refusal = self._refusal(headers)
        if refusal is not None:
            self.counts.refused += 1
            await _respond(send, refusal, {"X-Not-Executed": "1", "X-Instance": self._spec.instance})
            return
        after_event = int(headers.get("last-event-id") or 0)
        run = Ran(headers["x-request-id"], scope["path"], body, after_event)
        self.counts.ran.append(run)
        task = asyncio.current_task()
        assert task is not None
        self._running.add(task)
        self.began.set()
        try:
            if "x-tokens" in headers:
                await self._stream(run, send)
            else:
                await asyncio.sleep(self._spec.pause_s)
                await _respond(send, 200, self._head(run), body or b"done\n")
        finally:
            self._running.discard(task)

    def _refusal(self, headers: Headers) -> int | None:
        if "x-request-id" not in headers:
            return 400
        if headers.get("x-target-instance", self._spec.instance) != self._spec.instance:
            return 421
        return 503 if len(self._running) >= self._spec.slots or self._state != "ready" else None

    def _head(self, run: Ran) -> Headers:
        seal = f"{self._spec.instance}.{run.request_id}"
        return {"X-Request-Id": run.request_id, SEAL: seal, "X-Instance": self._spec.instance}

    async def _stream(self, run: Ran, send: Send) -> None:
        head = {**self._head(run), "Content-Type": "text/event-stream"}
        await send({"type": "http.response.start", "status": 200, "headers": _encoded(head)})
        for number in range(run.after_event + 1, self._spec.events + 1):
            await self.gate.wait()
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            await send({"type": "http.response.body", "body": event, "more_body": True})
            await asyncio.sleep(self._spec.pause_s)
        await send({"type": "http.response.body", "body": b""})

    def _report(self) -> bytes:
        models = [{"name": "m", "generation": 1, "adapters": []}]
        report = {
            "stage": "hybrid", "models": models, "busy": False, "seq": 0, "queued": 0, "active": len(self._running),
            "kv_used": 0, "kv_total": 200000, "handles": 0,
        }  # fmt: skip
        return json.dumps(report).encode()


async def _read_body(receive: Receive) -> bytes:
    chunks = []
    while True:
        message = await receive()
        chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(chunks)


async def _respond(send: Send, status: int, headers: Headers, body: bytes = b"") -> None:
    head = _encoded({**headers, "Content-Length": str(len(body))})
    await send({"type": "http.response.start", "status": status, "headers": head})
    await send({"type": "http.response.body", "body": body})


def _encoded(headers: Headers) -> list[tuple[bytes, bytes]]:
    return [(name.encode(), value.encode()) for name, value in headers.items()]
