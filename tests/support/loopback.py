"""A scheduler on loopback sockets, pumped by hand, with scripted clients, targets and discovery."""

from __future__ import annotations

import itertools
import json
import socket
import time
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from canvasbeam.dispatch.events import ListKind, WorkerState
from canvasbeam.dispatch.settings import DispatchLimits
from canvasbeam.scheduler.attempt_sender import AttemptSender
from canvasbeam.scheduler.limits import ZERO, Limits
from canvasbeam.scheduler.listener import Listener
from canvasbeam.scheduler.loop import Loop
from canvasbeam.scheduler.request_coordinator import RequestCoordinator
from canvasbeam.scheduler.worker_table import ListedWorker
from tests.support.helpers import settings

PASSES = 20_000  # a story that takes more hangs
REPORT_NAMES = {"util": "busy_share"}


class Peer:
    """One end of a connection, read without waiting."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock = sock
        self.got = b""
        self.ended = False

    def look(self) -> bytes:
        """All that has come so far."""
        if self.ended:
            return self.got
        try:
            while data := self.sock.recv(65536):
                self.got += data
            self.ended = True
        except BlockingIOError:
            pass
        except ConnectionError:
            self.ended = True
        return self.got

    def say(self, data: bytes) -> None:
        self.sock.sendall(data)

    def close(self) -> None:
        """Close this end; what it got stays readable here."""
        self.look()
        self.ended = True
        self.sock.close()


class Server:
    """A scripted target, or discovery: a listening socket, whose port the kernel chose unless one is named."""

    def __init__(self, address: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        self.sock = socket.create_server(address)
        self.sock.setblocking(False)
        self.address: tuple[str, int] = self.sock.getsockname()
        self.peers: list[Peer] = []

    def look(self) -> list[Peer]:
        try:
            while True:
                self.peers.append(Peer(self.sock.accept()[0]))
        except BlockingIOError:
            pass
        for peer in self.peers:
            peer.look()
        return self.peers

    def requests(self) -> int:
        """Requests that have come whole, over all connections."""
        return sum(received.look().count(b"BODY") for received in self.look())


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
END = b"0\r\n\r\n"


def line(state: str, call_id: str = "c1", **more: Any) -> bytes:
    return json.dumps({"id": call_id, "from": "s", "state": state, **more}).encode() + b"\n"


def done(result: str, call_id: str = "c1") -> bytes:
    return HEAD + chunk(line("done", call_id, result=result)) + END


def job(request_class: str = "look", call_id: str = "c1", budget: str = "4.0", extra: str = "") -> bytes:
    return (
        f"POST /api?sid=k1&x=%20y HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {call_id}\r\n"
        f"X-Call-Class: {request_class}\r\nX-Budget: {budget}\r\n{extra}Content-Length: 4\r\n\r\nBODY"
    ).encode()


class World:
    """Loop, coordinator, listener and sender, wired as the program wires them."""

    def __init__(
        self, *servers: Server, limits: Limits | None = None, allowed: DispatchLimits | None = None, **changes: Any
    ) -> None:
        """`limits` are the program's own, `allowed` the settings'; `changes` are other settings."""
        if allowed is not None:
            changes["limits"] = allowed
        base = {"client_connections": 8, "worker_connections": 8, "retry_after": timedelta(seconds=2)}
        self.limits = limits or Limits(**base)  # type: ignore[arg-type]
        self.loop = Loop(self.limits.slow_pass)
        self.loop.read_clock()
        born = timedelta(days=20_000)
        self.coordinator = RequestCoordinator(self.loop, settings(**changes), self.limits, 1, born)
        self.forwarder = AttemptSender(self.loop, self.coordinator, self.limits, REPORT_NAMES)
        self.coordinator.transport = self.forwarder
        self.listener = Listener.bind(self.loop, self.coordinator, self.limits, ("127.0.0.1", 0))
        self.address: tuple[str, int] = self.listener.sock.getsockname()
        self.loop.end_of_pass = self.coordinator.end_of_pass
        self.servers = servers
        self.list_targets()
        self._tick()

    def _tick(self) -> None:
        """Keeps passes coming, so that a story's condition is looked at."""
        self.loop.after(timedelta(milliseconds=1), self._tick)

    def target(self, place: int, state: WorkerState = WorkerState.LIVE) -> ListedWorker:
        return ListedWorker(f"s-{place}", self.servers[place].address, "here", "k", 0, state, 1.0, None)

    def list_targets(self, state: WorkerState = WorkerState.LIVE) -> None:
        targets = [self.target(place, state) for place in range(len(self.servers))]
        self.coordinator.listed(ListKind.COMPLETE, targets, 1)

    def until(self, condition: Callable[[], object]) -> None:
        """Pass after pass until it holds."""
        for _ in range(PASSES):
            if condition():
                return
            self.loop.one_pass()
        raise AssertionError("the story hangs")

    def skip(self, span: float) -> None:
        """Have the loop's clock jump so many seconds, in place of waiting for them."""
        self.loop._begun -= int(span * 1e9)
        self.loop.one_pass()

    def step_clock(self, step: timedelta) -> None:
        """From here on the loop's clock goes on by this much with each reading, however busy the machine is."""
        loop, real = self.loop, time.monotonic_ns
        readings, started, begun = itertools.count(1), real(), loop._begun

        def read_clock() -> timedelta:
            skipped = begun - loop._begun
            loop.now = timedelta(microseconds=(started - begun + skipped) // 1000) + next(readings) * step
            return loop.now

        loop.read_clock = read_clock  # type: ignore[method-assign]

    def client(self, data: bytes = b"") -> Peer:
        """A client that has written this."""
        peer = Peer(socket.create_connection(self.address))
        peer.say(data)
        return peer

    def answer(self, client: Peer, times: int = 1) -> str:
        """What the client was answered, once that many answers are whole."""
        self.until(lambda: complete(client.look()) >= times)
        return client.got.decode()

    def asked(self, place: int = 0, times: int = 1) -> Peer:
        """The connection on which a target got its newest request."""
        server = self.servers[place]
        self.until(lambda: server.requests() >= times)
        return server.peers[-1]

    def settle(self) -> None:
        """Until nothing is open: what could still have been sent has been."""
        self.until(lambda: self.coordinator.open_requests == 0)


def complete(data: bytes) -> int:
    """How many whole answers these bytes hold; all answers here state their length."""
    count = 0
    while b"\r\n\r\n" in data:
        head, _, rest = data.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        if len(rest) < length:
            break
        count, data = count + 1, rest[length:]
    return count


__all__ = ["END", "HEAD", "ZERO", "Peer", "Server", "World", "chunk", "done", "job", "line"]
