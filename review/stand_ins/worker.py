"""A worker as the pages describe it: heartbeats, `X-Target-Instance`, the seal, and an end by `DELETE`."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from review.stand_ins.deployment import CONTROL, HEARTBEAT_MS, Deployment
from review.stand_ins.http import Message, call, encode, serve


@dataclass
class Run:
    """A request that a worker began to work on."""

    request_id: str
    at: float
    caller: str
    is_answered: bool = False


@dataclass
class Worker:
    """One worker of a service without a language model."""

    deployment: Deployment
    instance: str
    service: str
    address: str
    zone: str
    work_s: float = 0.03
    slots: int = 6
    runs: list[Run] = field(default_factory=list)
    on_run: Callable[[Message], None] | None = None
    registered: asyncio.Event = field(default_factory=asyncio.Event)
    _sequence: int = 0
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _beat_address: str | None = None

    async def start(self) -> None:
        """Serve, and send heartbeats."""
        self._server = await serve(self.address, self._answer)
        self._beats = asyncio.create_task(self._send_heartbeats())

    async def _send_heartbeats(self) -> None:
        while True:
            if await self.call_control("PUT", self._heartbeat()):
                self.registered.set()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def _heartbeat(self) -> bytes:
        self._sequence += 1
        document = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "generation": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self._sequence,
        }
        return json.dumps(document).encode()

    async def call_control(self, method: str, body: bytes = b"") -> bool:
        """Call the control processes in turn, each for a second; return True once one has acknowledged."""
        addresses = [core.at(CONTROL) for core in self.deployment.cores]
        if self._beat_address is not None:
            addresses.insert(0, self._beat_address)
        for address in addresses:
            answer = await call(address, method, f"/v1/instances/{self.instance}", body=body)
            if answer is not None and 200 <= answer.status < 300:
                if method == "PUT":
                    url = json.loads(answer.body or b"{}").get("beat_url")
                    self._beat_address = None if url is None else url.removeprefix("http://").split("/", 1)[0]
                return True
        return False

    async def leave(self) -> bool:
        """Send no more heartbeats, and sign off by `DELETE`; return True if that was acknowledged."""
        self._beats.cancel()
        for _ in range(5):
            if await self.call_control("DELETE"):
                return True
        return False

    def end(self) -> None:
        """End: nothing answers at the address any more, and what still runs is dropped."""
        self._beats.cancel()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        identity = request.headers.get("x-request-id", "")
        headers = {"X-Request-Id": identity} if identity else {}
        if request.target == "/healthz":
            writer.write(encode("HTTP/1.1 200 OK", {"X-Instance": self.instance, **headers}, b""))
            return
        if request.headers.get("x-target-instance", self.instance) != self.instance:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", {"X-Not-Executed": "1", **headers}, b""))
            return
        run = Run(identity, time.monotonic(), str(writer.get_extra_info("peername")[0]))
        self.runs.append(run)
        if self.on_run is not None:
            self.on_run(request)
        await asyncio.sleep(self.work_s)
        if writer.transport.is_closing():
            return
        run.is_answered = True
        writer.write(
            encode("HTTP/1.1 200 OK", {**headers, "X-Response-Seal": f"{identity}.1"}, b"answer " + request.body)
        )
