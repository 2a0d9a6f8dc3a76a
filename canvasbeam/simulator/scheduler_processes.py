"""The scheduler processes of a run on sockets: started, asked whether they are ready, given signals, and ended.

It must never touch a process that it did not start.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from canvasbeam.simulator import deployment
from canvasbeam.simulator.discovery_agent import DiscoveryAgent
from canvasbeam.simulator.links import DatagramRelay
from canvasbeam.simulator.model import faults
from canvasbeam.simulator.model.request_log import Broken
from canvasbeam.simulator.model.units import MS
from canvasbeam.simulator.socket_simulation import LoopWorld
from canvasbeam.simulator.wire import ClientConnection

LOOK_EVERY = 50 * MS
LOOK_WITHIN = 500 * MS
MOST_MOVES = 3
ROOT = Path(__file__).resolve().parents[2]


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


def free_loopback_address(place: int) -> tuple[str, int]:
    """Return an address of this scheduler's own, with a port that the kernel has just found free there.

    Not on 127.0.0.1: there the port may next be given to any connection that somebody opens.
    """
    with socket.create_server((f"127.78.0.{1 + place}", 0)) as sock:
        address: tuple[str, int] = sock.getsockname()
    return address


class SchedulerProcesses:
    """All scheduler processes of a run."""

    def __init__(
        self,
        world: LoopWorld,
        agents: Sequence[DiscoveryAgent],
        relay: DatagramRelay | None,
        folder: Path,
        command: Sequence[str],
    ) -> None:
        self._world = world
        self._agents = agents
        self._relay = relay  # between schedulers that know each other
        self._folder = folder
        self._command = list(command) or [sys.executable, "-m", "canvasbeam"]
        self._logs: list[Any] = []
        self.failure: str | None = None  # why the run cannot go on
        self.processes = [SchedulerProcess(place) for place in range(world.scenario.schedulers.count)]

    def spawn_all(self) -> None:
        """Start every scheduler."""
        for process in self.processes:
            self.spawn(process)

    def not_ready(self) -> list[str]:
        """Return the schedulers that have not been ready yet."""
        return [faults.scheduler_name(process.place) for process in self.processes if not process.ready]

    def spawn(self, process: SchedulerProcess) -> None:
        """Start a scheduler's process, and ask it whether it is ready until it is."""
        place = process.place
        if not process.address[1]:
            process.address = free_loopback_address(place)
        world, agent = self._world, self._agents[place]
        told = deployment.configuration(
            world.scenario,
            world.machines,
            place,
            deployment.seed_of(world.chance, place, process.starts),
            "{}:{}".format(*process.address),
            "{}:{}".format(*agent.server.address),
            agent.known() if process.starts else None,
        )
        # Named for this process too: two runs that share a folder must not share schedulers.
        path = self._folder / f"{faults.scheduler_name(place)}.{os.getpid()}.json"
        path.write_text(json.dumps(told))
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environment |= {"LB_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        clocks = self._world.scenario.schedulers.clock_s
        skew = clocks[place] if place < len(clocks) else 0.0
        command = [sys.executable, "-m", "canvasbeam.simulator.skewed_clock", str(skew)] if skew else self._command
        if self._relay is not None:
            file = self._folder / f"{faults.scheduler_name(place)}.{os.getpid()}.toml"
            self._relay.write_file(faults.scheduler_name(place), file)
            environment["LB_PEERS"] = str(file)
        log = self._log_path(process).open("ab")
        self._logs.append(log)
        process.starts += 1
        process.ready, process.ending = False, False
        process.running = subprocess.Popen(
            command, env=environment, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        self._world.after(LOOK_EVERY, partial(self._look_ready, process, process.running))

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
                self.spawn(process)
                return
            self.failure = self.failure or f"scheduler n{process.place} ended at its start:\n{told}"
            return
        again = partial(self._look_ready, process, running)
        later = partial(self._world.after, LOOK_EVERY, again)

        def answered(connection: ClientConnection, status: int, headers: dict[str, str], body: bytes) -> None:
            connection.close()
            if status == 200:
                process.ready = True
                process.ready_at = self._world.now()
                if self._world.playing:
                    self._world.load_balancer.back(process.place, self._world.now())
            else:
                self._world.after(LOOK_EVERY, again)

        try:
            connection = ClientConnection(self._world.loop, process.address, answered, lambda _: later())
            connection.ask(b"GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
            self._world.after(LOOK_WITHIN, partial(self._look_late, connection, again))
        except OSError:
            self._world.after(LOOK_EVERY, again)

    def _look_late(self, connection: ClientConnection, again: Callable[[], None]) -> None:
        """Who has its port may be somebody else, who never answers."""
        if not connection.closed:
            connection.close()
            again()

    def _log_path(self, process: SchedulerProcess) -> Path:
        return self._folder / f"{faults.scheduler_name(process.place)}.log"

    def _tail(self, process: SchedulerProcess) -> str:
        path = self._log_path(process)
        lines = path.read_text(errors="replace").splitlines()[-5:] if path.exists() else []
        return "\n".join(f"  {line}" for line in lines) or "  it wrote nothing"

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
        self._world.after(self._world.longest_end, partial(self._kill_old, running))
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
            self._world.after(LOOK_EVERY, partial(self.start, place))
        elif not process.alive:
            process.idle.clear()
            self.spawn(process)

    def watch(self) -> None:
        """Note that a scheduler that ends by itself has crashed."""
        for process in self.processes:
            running = process.running
            if running is not None and running.poll() is not None and not process.ending:
                process.ending = True
                text = f"scheduler n{process.place} ended by itself ({running.returncode}):\n{self._tail(process)}"
                self._world.ledger.add(Broken("crash", text))
                self._world.load_balancer.died(process.place, self._world.now())
        self._world.after(4 * LOOK_EVERY, self.watch)

    def stop(self) -> None:
        """End every process, and close the logs."""
        for process in self.processes:
            if process.running is not None and process.running.poll() is None:
                process.running.kill()
                process.running.wait()
        for log in self._logs:
            log.close()
