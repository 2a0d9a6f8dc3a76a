"""An emulated worker on sockets: one server socket for each scheduler, so that each has its own way to it."""

from __future__ import annotations

import json
from dataclasses import dataclass
from functools import partial
from typing import Any

from canvasbeam.simulator import deployment
from canvasbeam.simulator.model import faults, worker_messages
from canvasbeam.simulator.model.machine import Machine
from canvasbeam.simulator.model.request_log import What
from canvasbeam.simulator.model.worker_messages import Said
from canvasbeam.simulator.simulation import EmulatedWorker, result_of
from canvasbeam.simulator.socket_simulation import JobOrder, LoopWorld
from canvasbeam.simulator.wire import (
    STREAM_END,
    STREAM_HEAD,
    Asked,
    ServerConnection,
    ServerSocket,
    answer,
    chunk,
)


@dataclass(slots=True, eq=False)
class OpenAttempt:
    """An attempt at a worker and the connection that it came on."""

    order: JobOrder
    connection: ServerConnection
    scheduler: int
    number: int
    open: bool = False  # the answer's head is written
    written_at: int = 0

    @property
    def ref(self) -> tuple[int, int]:
        """Its name at the worker's model."""
        return self.number, self.order.request


class SocketWorker(EmulatedWorker):
    """An emulated worker behind one server for each scheduler, so that each has its own way to it."""

    world: LoopWorld

    def __init__(self, world: LoopWorld, machine: Machine, place: int) -> None:
        super().__init__(world, machine, place)
        self.world = world
        self.links: dict[int, OpenAttempt] = {}
        host = f"127.77.{1 + place // 250}.{1 + place % 250}"
        self.servers = [self._server_for(host, number) for number in range(world.scenario.schedulers.count)]

    def _server_for(self, host: str, scheduler: int) -> ServerSocket:
        server = ServerSocket(
            self.world.loop, (host, 0), partial(self._asked, scheduler), self._came, self._left, self.world.now
        )
        server.mark = deployment.zone_of(self.world.scenario, scheduler)
        return server

    # --- connections ------------------------------------------------------------------------------

    def _came(self, connection: ServerConnection) -> None:
        if self.model.connections >= self.machine.connections:
            connection.reset()
            return
        self.model.connections += 1
        self.give(worker_messages.Connected())

    def _left(self, connection: ServerConnection) -> None:
        self.model.connections = max(0, self.model.connections - 1)
        link = connection.state
        if isinstance(link, OpenAttempt) and self.links.pop(link.number, None) is not None:
            self.give(worker_messages.Withdrawn(link.ref))

    def _asked(self, scheduler: int, connection: ServerConnection, asked: Asked) -> None:
        """Note that a request has come whole; it counts once its way is over."""
        world = self.world
        way = world.way(scheduler, self.machine)
        if connection.requests == 1:
            way += 2 * way * world.scenario.fleet.handshake_rtts
        if asked.method == "POST":
            order = world.order_of(asked)
            if order is None:
                known = "x-call-id" in asked.headers
                connection.write(answer("400 Bad Request" if known else "404 Not Found"))
                return
            link = connection.state = OpenAttempt(order, connection, scheduler, world.next_number())
            name = faults.scheduler_name(scheduler)
            world.ledger.worked(order.request, asked.first_at, What.SENT, self.name, name)
            world.after(way, partial(self._offered, link))
        elif asked.path in ("/stats", "/health/live"):
            world.after(way, partial(self._probed, scheduler, connection, asked.path))
        else:
            connection.write(answer("404 Not Found"))

    def _offered(self, link: OpenAttempt) -> None:
        if link.connection.closed or self.world.silent(link.connection.server.mark, self):
            return
        world, order = self.world, link.order
        cls = world.scenario.classes[order.cls]
        self.links[link.number] = link
        world.ledger.worked(order.request, world.now(), What.OFFERED, self.name)
        world.recorder.offered(self.name, link.connection.server.mark == self.machine.zone)
        task = worker_messages.Task(
            link.ref,
            float(order.work_ns),
            order.slots,
            cls.priority,
            cls.effect == "safe",
            order.sid,
            float(order.due_ns),
        )
        self.give(worker_messages.Offered(task))

    def _probed(self, scheduler: int, connection: ServerConnection, path: str) -> None:
        if connection.closed or self.world.silent(connection.server.mark, self):
            return
        now = self.world.now()
        self.world.recorder.probes += 1
        well = self.model.probe_answer(now)
        self.give()
        report = ",".join(f"{name}={value}" for name, value in self.model.report(now).items())
        body = report.encode() if path == "/stats" else b""
        data = answer("200 OK" if well else "503 Service Unavailable", body)
        self.world.after(self.world.way(scheduler, self.machine), partial(self._write, connection, data))

    def _write(self, connection: ServerConnection, data: bytes) -> None:
        if not connection.closed and not self.world.silent(connection.server.mark, self):
            connection.write(data)

    # --- what the model says ----------------------------------------------------------------------

    def say(self, name: tuple[int, int], said: Said, share: float) -> None:
        """Note that a line of an answer, in the order in which it was said."""
        link = self.links.get(name[0])
        if link is None:
            return
        world = self.world
        if said.is_last:
            del self.links[name[0]]
            link.connection.state = None
        when = max(link.written_at, world.now() + world.way(link.scheduler, self.machine))
        link.written_at = when
        if said is Said.BROKE:
            world.after(when - world.now(), link.connection.reset)
            return
        world.after(when - world.now(), partial(self._write, link.connection, self._line(link, said, share)))

    def _line(self, link: OpenAttempt, said: Said, share: float) -> bytes:
        report = self.model.report(self.world.now()) if said.is_last else {}
        if said is Said.REJECTED:
            told = ",".join(f"{name}={value}" for name, value in report.items())
            extra = "X-Rejected: 1\r\n" + (f"X-Load-Report: {told}\r\n" if told else "")
            return answer("503 Service Unavailable", b"", extra)
        fields: dict[str, Any] = {"id": link.order.call_id, "from": self.name, "state": said.value}
        if said is Said.RUNNING:
            fields["share"] = round(share, 3)
        if said is Said.DONE:
            fields["result"] = result_of(link.order.request)
        if report:
            fields["load"] = report
        # Head, line and end go out in one piece: in three, each small one would wait for the one before to be
        # acknowledged, and a scheduler sees every start 40 ms late.
        data = b"" if link.open else STREAM_HEAD
        link.open = True
        data += chunk(json.dumps(fields, separators=(",", ":")).encode() + b"\n")
        return data + STREAM_END if said.is_last else data

    # --- the machine ------------------------------------------------------------------------------

    def reset(self) -> None:
        """Note that the process is gone."""
        self.links.clear()
        for server in self.servers:
            server.shut()
        self.model.connections = 0

    def begin(self) -> None:
        """Note that a new process listens where the old one did."""
        self.servers = [server.open_again() for server in self.servers]
        for server in self.servers:
            if self.world.silent(server.mark, self):
                server.hush()

    def hush(self, on: bool) -> None:
        """Note that the machine, or the way to it from some zones, falls silent or is heard again."""
        for server in self.servers:
            silent = self.world.silent(server.mark, self)
            if server.closed or silent == server.silent:
                continue
            if silent:
                server.hush()
            else:
                server.unhush()
