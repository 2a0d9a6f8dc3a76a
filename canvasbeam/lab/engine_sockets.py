"""The sockets engine: a scenario in real time on loopback, with real scheduler processes.

It owns the scheduler processes, the doors of the emulated workers and of discovery, and the clients' connections, all
in one process on the project's own loop. What a worker, a client or discovery does is the shared model's. It must
never touch a process that it did not start, reach beyond loopback, or take a scheduler's word for what it did.
"""

from __future__ import annotations

import gc
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from canvasbeam.interface import WorkerState
from canvasbeam.lab import deployment
from canvasbeam.lab.links import DatagramRelay, free_address
from canvasbeam.lab.model import faults, spec, worker
from canvasbeam.lab.model.clients import Try
from canvasbeam.lab.model.draw import Stream
from canvasbeam.lab.model.ledger import Broken, What
from canvasbeam.lab.model.registry import Listed
from canvasbeam.lab.model.worker import MS, SECOND, Machine, Said
from canvasbeam.lab.result import Result
from canvasbeam.lab.wire import (
    STREAM_END,
    STREAM_HEAD,
    Asked,
    ClientConnection,
    ServerConnection,
    ServerSocket,
    answer,
    chunk,
    span,
)
from canvasbeam.lab.world import EmulatedWorker, World, result_of
from canvasbeam.net.limits import nanoseconds
from canvasbeam.net.loop import Loop
from canvasbeam.net.requests import Answer

# The world's clock stands here at its start, so that no time is 0, which means long ago.
START = 1_000 * SECOND
SLOW_PASS = timedelta(seconds=10)
READY_WITHIN = 20 * SECOND
LOOK_EVERY = 50 * MS
LOOK_WITHIN = 500 * MS
# Where the world's own lateness passes this at the 99th percentile, a run's figures are not to be trusted.
LATE_STAGE = 20 * MS
MOST_MOVES = 3
MOST_WORKERS = 200  # one process plays them all
STATES = {WorkerState.LIVE: "Ready", WorkerState.DRAINING: "Terminating", WorkerState.GONE: "Gone"}
ANSWERS = {200: Answer.SERVED, 429: Answer.REFUSED, 503: Answer.REFUSED, 504: Answer.OVERDUE}
ROOT = Path(__file__).resolve().parents[2]


class Unplayable(Exception):
    """A run that could not be begun or carried through; the message says why."""


@dataclass(frozen=True, slots=True)
class JobOrder:
    """What a worker is to do for a request."""

    request: int
    call_id: str
    cls: int
    work_ns: int
    slots: int
    sid: str
    due_ns: int


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

    world: SocketWorld

    def __init__(self, world: SocketWorld, machine: Machine, place: int) -> None:
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
        self.give(worker.Connected())

    def _left(self, connection: ServerConnection) -> None:
        self.model.connections = max(0, self.model.connections - 1)
        link = connection.state
        if isinstance(link, OpenAttempt) and self.links.pop(link.number, None) is not None:
            self.give(worker.Withdrawn(link.ref))

    def _asked(self, scheduler: int, connection: ServerConnection, asked: Asked) -> None:
        """A request has come whole; it counts once its way is over."""
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
        task = worker.Task(
            link.ref, float(order.work_ns), order.slots, cls.priority, cls.effect == "safe", order.sid,
            float(order.due_ns),
        )  # fmt: skip
        self.give(worker.Offered(task))

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
        """A line of an answer, in the order in which it was said."""
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
        """The process is gone."""
        self.links.clear()
        for server in self.servers:
            server.shut()
        self.model.connections = 0

    def begin(self) -> None:
        """A new process listens where the old one did."""
        self.servers = [server.open_again() for server in self.servers]
        for server in self.servers:
            if self.world.silent(server.mark, self):
                server.hush()

    def hush(self, on: bool) -> None:
        """The machine, or the way to it from some zones, falls silent or is heard again."""
        for server in self.servers:
            silent = self.world.silent(server.mark, self)
            if server.closed or silent == server.silent:
                continue
            if silent:
                server.hush()
            else:
                server.unhush()


class DiscoveryAgent:
    """Discovery's agent at one scheduler: the list as it was sent, and one watch at a time."""

    def __init__(self, world: SocketWorld, place: int, address: tuple[str, int]) -> None:
        self.world = world
        self.place = place
        self.seq = 1
        self.list: dict[str, Listed] = {}
        self.changes: list[tuple[int, Listed]] = []
        self._waiting: list[tuple[ServerConnection, int]] = []
        self.server = ServerSocket(world.loop, address, self._asked, lambda _: None, self._left, world.now)

    def tell(self, entries: Sequence[Listed]) -> None:
        """Something new has been sent to this agent."""
        self.seq += 1
        for each in entries:
            if each.state is WorkerState.GONE:
                self.list.pop(each.machine.name, None)
            else:
                self.list[each.machine.name] = each
            self.changes.append((self.seq, each))
        del self.changes[: max(0, len(self.changes) - 4096)]
        waiting, self._waiting = self._waiting, []
        for connection, since in waiting:
            self._answer(connection, since)

    def _left(self, connection: ServerConnection) -> None:
        self._waiting = [each for each in self._waiting if each[0] is not connection]

    def _asked(self, connection: ServerConnection, asked: Asked) -> None:
        parts = urlsplit(asked.path)
        query = parse_qs(parts.query)
        if parts.path != "/registry/instances":
            connection.write(answer("404 Not Found"))
        elif "from" not in query:
            self._answer(connection, None)
        else:
            since = int(query["from"][0])
            hold = min(60_000, int(query.get("hold_ms", ["0"])[0]))
            if since < self.seq:
                self._answer(connection, since)
            else:
                self._waiting.append((connection, since))
                self.world.after(hold * MS, partial(self._held, connection, since))

    def _held(self, connection: ServerConnection, since: int) -> None:
        if (connection, since) in self._waiting:
            self._waiting.remove((connection, since))
            self._answer(connection, since)

    def _answer(self, connection: ServerConnection, since: int | None) -> None:
        whole = since is None or (bool(self.changes) and since + 1 < self.changes[0][0])
        if whole:
            entries = list(self.list.values())
        else:
            latest = {each.machine.name: each for seq, each in self.changes if since is not None and seq > since}
            entries = list(latest.values())
        self.world.told(faults.scheduler_name(self.place), entries)
        hosts = [self.world.host(each, self.place) for each in entries]
        body = json.dumps({"seq": self.seq, "whole": whole, "hosts": hosts}).encode()
        if not connection.closed:
            connection.write(answer("200 OK", body))

    def known(self) -> dict[str, Any]:
        """The list for a scheduler that starts again."""
        return {"seq": self.seq, "whole": True,
                "hosts": [self.world.host(each, self.place) for each in self.list.values()]}  # fmt: skip


@dataclass(slots=True, eq=False)
class SchedulerProcess:
    """One scheduler process."""

    place: int
    address: tuple[str, int] = ("", 0)
    moved: int = 0  # times that its port was taken by somebody else
    starts: int = 0
    running: subprocess.Popen[bytes] | None = None
    ready: bool = False
    ending: bool = False
    ready_at: int = 0
    idle: list[ClientConnection] = field(default_factory=list)
    busy: dict[int, ClientConnection] = field(default_factory=dict)

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.running is not None and self.running.poll() is None


class SocketWorld(World):
    """A world in real time."""

    engine = "sockets"

    def __init__(
        self, scenario: spec.Scenario, folder: Path, command: Sequence[str] = (),
        discovery: tuple[str, int] | None = None,
    ) -> None:  # fmt: skip
        if scenario.fleet.workers > MOST_WORKERS:
            raise Unplayable(f"the sockets engine plays at most {MOST_WORKERS} workers; use the sim engine")
        self.loop = Loop(SLOW_PASS)
        self.loop.read_clock()
        self.born_unix_ns = time.time_ns() - START
        self.folder = folder
        self.command = list(command) or [sys.executable, "-m", "canvasbeam"]
        self._numbers = 0
        self._orders: dict[str, JobOrder] = {}
        self._jitter = 0.0
        super().__init__(scenario, START)
        self._rng = self.chance.single(Stream.NETWORK)
        self.agents = [
            DiscoveryAgent(self, place, (discovery[0], discovery[1] + place) if discovery else ("127.77.0.1", 0))
            for place in range(scenario.schedulers.count)
        ]
        for agent in self.agents:
            agent.list = {each.machine.name: each for each in self.registry.whole()}
        self.processes = [SchedulerProcess(place) for place in range(scenario.schedulers.count)]
        self.relay = DatagramRelay(self.loop, self.links) if scenario.schedulers.peers else None
        if self.relay is not None:
            for place, name in enumerate(self.links.zones):
                self.relay.register(name, free_address(f"127.79.{1 + place // 250}.{1 + place % 250}"))
        self.lateness: list[int] = []
        self._failure: str | None = None
        self._logs: list[Any] = []
        self._playing = False

    # --- time -------------------------------------------------------------------------------------

    def now(self) -> int:
        """The real time, in the world's nanoseconds."""
        return START + nanoseconds(self.loop.read_clock())

    def after(self, span_ns: int, action: Callable[[], None]) -> None:
        """Do this so much later."""
        self.loop.after(span(span_ns), action)

    def next_number(self) -> int:
        """A number for an attempt at a worker."""
        self._numbers += 1
        return self._numbers

    def way(self, scheduler: int, to: Machine) -> int:
        """One way between a scheduler and a worker, beyond loopback's own."""
        zone = deployment.zone_of(self.scenario, scheduler)
        return self._delay(self.way_ms(zone, to))

    def _delay(self, ms: float) -> int:
        return round(ms * MS * (1 + self.scenario.network.jitter * self._rng.random()))

    # --- workers and discovery --------------------------------------------------------------------

    def make_worker(self, machine: Machine, place: int) -> EmulatedWorker:
        """A worker behind its doors."""
        return SocketWorker(self, machine, place)

    def order_of(self, asked: Asked) -> JobOrder | None:
        """What a request that came to a worker is about; None where no client sent it."""
        return self._orders.get(asked.headers.get("x-call-id", ""))

    def host(self, each: Listed, place: int) -> dict[str, Any]:
        """An entry as discovery words it for one scheduler."""
        emulated = self.emulated_workers[each.machine.name]
        assert isinstance(emulated, SocketWorker)
        host, port = emulated.servers[place].address
        born = (each.born_ns + self.born_unix_ns) // MS if each.born_ns else 0
        return {
            "host": each.machine.name, "dial": f"{host}:{port}", "site": each.machine.zone,
            "class": each.machine.model, "block": each.machine.cell, "health": STATES[each.state],
            "share": each.weight, "born_ms": born,
        }  # fmt: skip

    def tell_list(self, place: int, whole: bool, entries: Sequence[Listed]) -> None:
        """Discovery sends an agent something."""
        self.agents[place].tell(entries)

    # --- clients ----------------------------------------------------------------------------------

    def submit(self, attempt: Try) -> str | None:
        """Send a request, on a kept connection or on a new one."""
        planned = self.begun + self.jobs.at_ns[attempt.job]
        if attempt.number == 0:
            self.lateness.append(self.now() - planned)
        place = self.load_balancer.pick(attempt.zone, self.now())
        attempt.scheduler = place
        call_id = f"{attempt.request:x}-{self.scenario.seed:x}"
        self._orders[call_id] = JobOrder(
            attempt.request, call_id, attempt.cls, attempt.work_ns, attempt.slots, str(attempt.sid), attempt.due_ns
        )
        self.after(self._delay(self.scenario.network.client_ms), partial(self._ask, attempt, call_id, True))
        return faults.scheduler_name(place)

    def _ask(self, attempt: Try, call_id: str, may_reuse: bool) -> None:
        if attempt.over:
            return
        process = self.processes[attempt.scheduler]
        connection = None
        while may_reuse and process.idle and connection is None:
            kept = process.idle.pop()
            if not kept.closed and kept.is_quiet():
                connection = kept
            else:
                kept.close()
        if connection is None:
            try:
                connection = ClientConnection(
                    self.loop,
                    process.address,
                    partial(self._answered, process),
                    partial(self._broke, process),
                )
            except OSError:
                self.clients.lost(attempt)
                return
        connection.state = (attempt, call_id)
        attempt.core_request = connection
        process.busy[attempt.request] = connection
        connection.ask(self._request(attempt, call_id))

    def _request(self, attempt: Try, call_id: str) -> bytes:
        cls = self.scenario.classes[attempt.cls]
        departments = self.scenario.departments
        lines = [
            f"POST /api?sid={attempt.sid:x} HTTP/1.1", "Host: origin.svc", f"X-Call-Id: {call_id}",
            f"X-Call-Class: {cls.name}", f"X-Budget: {(attempt.due_ns - self.now()) / SECOND:.6f}",
        ]  # fmt: skip
        if departments:
            lines.append(f"X-Caller: {departments[attempt.department].name}")
        if cls.effect == "keyed":
            lines.append(f"Idempotency-Key: k{attempt.job:x}")
        if attempt.marked:
            lines.append("X-Again: 1")
        if attempt.hint_ns:
            lines.append(f"X-Call-Cost: {max(1, attempt.hint_ns // 1000)}")
        if attempt.slots != 1:
            lines.append(f"X-Call-Info: slots={attempt.slots}")
        body = b"job %d" % attempt.job
        lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def _answered(
        self, process: SchedulerProcess, connection: ClientConnection, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        attempt, _ = connection.state
        process.busy.pop(attempt.request, None)
        connection.state = None
        kind = ANSWERS.get(status, Answer.FAILED)
        own = status != 200 or body.decode("latin-1") == result_of(attempt.request)
        come_back = 0
        if "retry-after" in headers:
            come_back = round(float(headers["retry-after"]) * SECOND)
        if connection.stays:
            process.idle.append(connection)
        else:
            connection.close()
        late = self._delay(self.scenario.network.client_ms)
        self.after(late, partial(self.clients.answered, attempt, kind, come_back, own))

    def _broke(self, process: SchedulerProcess, connection: ClientConnection) -> None:
        if connection.state is None:
            if connection in process.idle:
                process.idle.remove(connection)
            return
        attempt, call_id = connection.state
        process.busy.pop(attempt.request, None)
        # A kept connection that closes may cross a request that was not read: it is sent once more.
        crossed = connection.requests > 1 and not connection.got_bytes and process.alive
        if crossed and not attempt.over:
            self._ask(attempt, call_id, False)
        else:
            self.after(self._delay(self.scenario.network.client_ms), partial(self.clients.lost, attempt))

    def leave(self, attempt: Try) -> None:
        """The client closes its connection."""
        connection = attempt.core_request
        if isinstance(connection, ClientConnection) and not connection.closed:
            self.processes[attempt.scheduler].busy.pop(attempt.request, None)
            if connection.state is not None and connection.state[0] is attempt:
                connection.close()

    # --- scheduler processes ----------------------------------------------------------------------

    def _spawn(self, process: SchedulerProcess) -> None:
        place = process.place
        if not process.address[1]:
            process.address = _free_address(place)
        agent = self.agents[place].server.address
        seed = deployment.seed_of(self.chance, place, process.starts)
        told = deployment.configuration(
            self.scenario, self.machines, place, seed, "{}:{}".format(*process.address), "{}:{}".format(*agent),
            self.agents[place].known() if process.starts else None,
        )  # fmt: skip
        # Named for this process too: two runs that share a folder must not share schedulers.
        path = self.folder / f"{faults.scheduler_name(place)}.{os.getpid()}.json"
        path.write_text(json.dumps(told))
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environment |= {"LB_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        clocks = self.scenario.schedulers.clock_s
        skew = clocks[place] if place < len(clocks) else 0.0
        command = [sys.executable, "-m", "canvasbeam.lab.skewed", str(skew)] if skew else self.command
        if self.relay is not None:
            file = self.folder / f"{faults.scheduler_name(place)}.{os.getpid()}.toml"
            self.relay.write_file(faults.scheduler_name(place), file)
            environment["LB_PEERS"] = str(file)
        log = self._log_path(process).open("ab")
        self._logs.append(log)
        process.starts += 1
        process.ready, process.ending = False, False
        process.running = subprocess.Popen(
            command, env=environment, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        self.after(LOOK_EVERY, partial(self._look_ready, process, process.running))

    def _look_ready(self, process: SchedulerProcess, running: subprocess.Popen[bytes]) -> None:
        """Ask whether it is ready, until it is."""
        if process.running is not running:
            return
        if running.poll() is not None:
            told = self._tail(process)
            if "Address already in use" in told and process.starts == 1 and process.moved < MOST_MOVES:
                # Between the kernel's finding a port free and the scheduler's taking it, another run took it.
                process.address, process.starts = ("", 0), 0
                process.moved += 1
                self._log_path(process).unlink()
                self._spawn(process)
                return
            self._failure = self._failure or f"scheduler n{process.place} ended at its start:\n{told}"
            return
        again = partial(self._look_ready, process, running)

        def answered(connection: ClientConnection, status: int, headers: dict[str, str], body: bytes) -> None:
            connection.close()
            if status == 200:
                process.ready = True
                process.ready_at = self.now()
                if self._playing:
                    self.load_balancer.back(process.place, self.now())
            else:
                self.after(LOOK_EVERY, again)

        try:
            connection = ClientConnection(self.loop, process.address, answered, lambda _: self.after(LOOK_EVERY, again))
            connection.ask(b"GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
            self.after(LOOK_WITHIN, partial(self._look_late, connection, again))
        except OSError:
            self.after(LOOK_EVERY, again)

    def _look_late(self, connection: ClientConnection, again: Callable[[], None]) -> None:
        """Who has its port may be somebody else, who never answers."""
        if not connection.closed:
            connection.close()
            again()

    def _log_path(self, process: SchedulerProcess) -> Path:
        return self.folder / f"{faults.scheduler_name(process.place)}.log"

    def _tail(self, process: SchedulerProcess) -> str:
        path = self._log_path(process)
        lines = path.read_text(errors="replace").splitlines()[-5:] if path.exists() else []
        return "\n".join(f"  {each}" for each in lines) or "  it wrote nothing"

    def kill(self, place: int) -> bool:
        """SIGKILL."""
        process = self.processes[place]
        if not process.alive or process.running is None:
            return False
        process.ending = True
        process.running.kill()
        process.running.wait()
        return True

    def term(self, place: int) -> bool:
        """SIGTERM, and SIGKILL where it does not end in time."""
        process = self.processes[place]
        running = process.running
        if not process.alive or running is None:
            return False
        process.ending = True
        running.send_signal(signal.SIGTERM)
        self.after(self.longest_end, partial(self._kill_old, running))
        return True

    def _kill_old(self, running: subprocess.Popen[bytes]) -> None:
        if running.poll() is None:
            running.kill()
            running.wait()

    def freeze(self, place: int) -> bool:
        """SIGSTOP."""
        return self._signal(place, signal.SIGSTOP)

    def thaw(self, place: int) -> bool:
        """SIGCONT."""
        return self._signal(place, signal.SIGCONT)

    def _signal(self, place: int, number: signal.Signals) -> bool:
        process = self.processes[place]
        if not process.alive or process.running is None:
            return False
        process.running.send_signal(number)
        return True

    def start(self, place: int) -> None:
        """Start again, once the old process has ended."""
        process = self.processes[place]
        if process.alive and process.ending:
            self.after(LOOK_EVERY, partial(self.start, place))
        elif not process.alive:
            process.idle.clear()
            self._spawn(process)

    def _watch(self) -> None:
        """A scheduler that ends by itself has crashed."""
        for process in self.processes:
            running = process.running
            if running is not None and running.poll() is not None and not process.ending:
                process.ending = True
                text = f"scheduler n{process.place} ended by itself ({running.returncode}):\n{self._tail(process)}"
                self.ledger.add(Broken("crash", text))
                self.load_balancer.died(process.place, self.now())
        self.after(4 * LOOK_EVERY, self._watch)

    # --- a run ------------------------------------------------------------------------------------

    def play(self, tick: Callable[[float, SocketWorld], None] | None = None) -> Result:
        """Start the schedulers, play the scenario, end all that was started; `tick` is called a few times a second."""
        collects = gc.get_threshold()
        # A collection of everything stops the whole world for longer than a start may take, and schedulers would
        # take the workers for slow ones.
        gc.collect()
        gc.freeze()
        gc.set_threshold(50_000, 20, 1000)
        try:
            for process in self.processes:
                self._spawn(process)
            deadline = self.now() + READY_WITHIN
            self._tick_on()
            while not all(each.ready for each in self.processes):
                self.loop.one_pass()
                if self._failure:
                    raise Unplayable(self._failure)
                if self.now() > deadline:
                    late = ", ".join(faults.scheduler_name(each.place) for each in self.processes if not each.ready)
                    raise Unplayable(f"not ready within {READY_WITHIN // SECOND} s: {late}")
            self._playing = True
            self.begun = self.recorder.begun = self.now() + 200 * MS
            if self.relay is not None:
                self.relay.began = self.begun - START
            self.arm()
            self._watch()
            told = 0
            while not self.is_over and self.now() < self.end:
                self.loop.one_pass()
                if self._failure:
                    raise Unplayable(self._failure)
                if tick is not None and self.now() - told > SECOND // 4:
                    told = self.now()
                    tick((told - self.begun) / SECOND, self)
            return self._result()
        finally:
            self.stop()
            gc.set_threshold(*collects)
            gc.unfreeze()

    def _tick_on(self) -> None:
        """Keeps passes coming, so that whoever runs them can look at its conditions."""
        self.loop.after(timedelta(milliseconds=20), self._tick_on)

    def _result(self) -> Result:
        late = self.late_ns
        if late > LATE_STAGE:
            self.recorder.mark(self.now(), f"the world ran {late / MS:.0f} ms late: do not trust this run")
        return self.finish()

    @property
    def late_ns(self) -> int:
        """By how much the world's own arrivals came late, at the 99th percentile."""
        late = sorted(self.lateness)
        return late[min(len(late) - 1, len(late) * 99 // 100)] if late else 0

    def stop(self) -> None:
        """End every process and socket that this run began."""
        for process in self.processes:
            if process.running is not None and process.running.poll() is None:
                process.running.kill()
                process.running.wait()
        for log in self._logs:
            log.close()
        self.loop.close()


def _free_address(place: int) -> tuple[str, int]:
    """An address of this scheduler's own, with a port that the kernel has just found free there.

    Not on 127.0.0.1: there the port may next be given to any connection that somebody opens.
    """
    with socket.create_server((f"127.78.0.{1 + place}", 0)) as sock:
        address: tuple[str, int] = sock.getsockname()
    return address


def play(
    scenario: spec.Scenario, folder: Path, command: Sequence[str] = (),
    tick: Callable[[float, SocketWorld], None] | None = None,
) -> Result:  # fmt: skip
    """Play a scenario in real time; logs and configurations of the schedulers are left in the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    return SocketWorld(scenario, folder, command).play(tick)
