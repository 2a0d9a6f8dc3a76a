"""The sockets engine: a scenario in real time on loopback, with real scheduler processes.

It puts the parts on sockets together and plays a run, all in one process on the project's own loop. What a worker, a
client or discovery does is the shared model's. It must never reach beyond loopback, or take a scheduler's word for what
it did.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable, Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any

from canvasbeam.dispatch.events import WorkerState
from canvasbeam.scheduler.limits import nanoseconds
from canvasbeam.scheduler.loop import Loop
from canvasbeam.simulator import deployment
from canvasbeam.simulator.discovery_agent import DiscoveryAgent
from canvasbeam.simulator.links import DatagramRelay, free_address
from canvasbeam.simulator.model import spec
from canvasbeam.simulator.model.clients import Try
from canvasbeam.simulator.model.draw import Stream
from canvasbeam.simulator.model.machine import Machine
from canvasbeam.simulator.model.registry import Listed
from canvasbeam.simulator.model.units import MS, SECOND
from canvasbeam.simulator.result import Result
from canvasbeam.simulator.scheduler_processes import SchedulerProcesses
from canvasbeam.simulator.simulation import EmulatedWorker
from canvasbeam.simulator.socket_clients import SocketClients
from canvasbeam.simulator.socket_simulation import JobOrder, LoopWorld
from canvasbeam.simulator.socket_worker import SocketWorker
from canvasbeam.simulator.wire import Asked, span

# The world's clock stands here at its start, so that no time is 0, which means long ago.
START = 1_000 * SECOND
SLOW_PASS = timedelta(seconds=10)
READY_WITHIN = 20 * SECOND
# Where the world's own lateness passes this at the 99th percentile, a run's figures are not to be trusted.
LATE_WORLD = 20 * MS
MOST_WORKERS = 200  # one process plays them all
STATES = {WorkerState.LIVE: "Ready", WorkerState.DRAINING: "Terminating", WorkerState.GONE: "Gone"}


class UnplayableError(Exception):
    """A run that could not be begun or carried through; the message says why."""


class SocketWorld(LoopWorld):
    """A world in real time."""

    engine = "sockets"

    def __init__(
        self,
        scenario: spec.Scenario,
        folder: Path,
        command: Sequence[str] = (),
        discovery: tuple[str, int] | None = None,
    ) -> None:
        if scenario.fleet.workers > MOST_WORKERS:
            raise UnplayableError(f"the sockets engine plays at most {MOST_WORKERS} workers; use the sim engine")
        self.loop = Loop(SLOW_PASS)
        self.loop.read_clock()
        self.born_unix_ns = time.time_ns() - START
        self._numbers = 0
        super().__init__(scenario, START)
        self._rng = self.chance.single(Stream.NETWORK)
        self.agents = [
            DiscoveryAgent(self, place, (discovery[0], discovery[1] + place) if discovery else ("127.77.0.1", 0))
            for place in range(scenario.schedulers.count)
        ]
        for agent in self.agents:
            agent.list = {part.machine.name: part for part in self.registry.whole()}
        self.relay = DatagramRelay(self.loop, self.links) if scenario.schedulers.peers else None
        if self.relay is not None:
            for place, name in enumerate(self.links.zones):
                self.relay.register(name, free_address(f"127.79.{1 + place // 250}.{1 + place % 250}"))
        self.schedulers = SchedulerProcesses(self, self.agents, self.relay, folder, command)
        self.sockets = SocketClients(self, self.schedulers.processes)

    # --- time -------------------------------------------------------------------------------------

    def now(self) -> int:
        """Return the real time, in the world's nanoseconds."""
        return START + nanoseconds(self.loop.read_clock())

    def after(self, span_ns: int, action: Callable[[], None]) -> None:
        """Do this so much later."""
        self.loop.after(span(span_ns), action)

    def next_number(self) -> int:
        """Return a number for an attempt at a worker."""
        self._numbers += 1
        return self._numbers

    def way(self, scheduler: int, to: Machine) -> int:
        """One way between a scheduler and a worker, beyond loopback's own."""
        zone = deployment.zone_of(self.scenario, scheduler)
        return self.delay(self.way_ms(zone, to))

    def delay(self, ms: float) -> int:
        """Return a latency of so many milliseconds, with jitter, in nanoseconds."""
        return round(ms * MS * (1 + self.scenario.network.jitter * self._rng.random()))

    # --- workers and discovery --------------------------------------------------------------------

    def make_worker(self, machine: Machine, place: int) -> EmulatedWorker:
        """Return a worker behind its doors."""
        return SocketWorker(self, machine, place)

    def order_of(self, asked: Asked) -> JobOrder | None:
        """Return what a request that came to a worker is about; None where no client sent it."""
        return self.sockets.orders.get(asked.headers.get("x-call-id", ""))

    def host(self, each: Listed, place: int) -> dict[str, Any]:
        """Return an entry as discovery words it for one scheduler."""
        emulated = self.emulated_workers[each.machine.name]
        assert isinstance(emulated, SocketWorker)
        host, port = emulated.servers[place].address
        born = (each.born_ns + self.born_unix_ns) // MS if each.born_ns else 0
        return {
            "host": each.machine.name,
            "dial": f"{host}:{port}",
            "site": each.machine.zone,
            "class": each.machine.model,
            "block": each.machine.cell,
            "health": STATES[each.state],
            "share": each.weight,
            "born_ms": born,
        }

    def tell_list(self, place: int, whole: bool, entries: Sequence[Listed]) -> None:
        """Discovery sends an agent something."""
        self.agents[place].tell(entries)

    # --- clients and schedulers -------------------------------------------------------------------

    def submit(self, attempt: Try) -> str | None:
        """Send a request, on a kept connection or on a new one."""
        return self.sockets.submit(attempt)

    def leave(self, attempt: Try) -> None:
        """Note that the client closes its connection."""
        self.sockets.leave(attempt)

    def kill(self, place: int) -> bool:
        """SIGKILL."""
        return self.schedulers.kill(place)

    def term(self, place: int) -> bool:
        """SIGTERM, and SIGKILL where it does not end in time."""
        return self.schedulers.term(place)

    def freeze(self, place: int) -> bool:
        """SIGSTOP."""
        return self.schedulers.freeze(place)

    def thaw(self, place: int) -> bool:
        """SIGCONT."""
        return self.schedulers.thaw(place)

    def start(self, place: int) -> None:
        """Start again, once the old process has ended."""
        self.schedulers.start(place)

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
            self.schedulers.spawn_all()
            deadline = self.now() + READY_WITHIN
            self._tick_on()
            while late := self.schedulers.not_ready():
                self._pass()
                if self.now() > deadline:
                    raise UnplayableError(f"not ready within {READY_WITHIN // SECOND} s: {', '.join(late)}")
            self.playing = True
            self.begun = self.recorder.begun = self.now() + 200 * MS
            if self.relay is not None:
                self.relay.began = self.begun - START
            self.arm()
            self.schedulers.watch()
            told = 0
            while not self.is_over and self.now() < self.end:
                self._pass()
                if tick is not None and self.now() - told > SECOND // 4:
                    told = self.now()
                    tick((told - self.begun) / SECOND, self)
            return self._result()
        finally:
            self.stop()
            gc.set_threshold(*collects)
            gc.unfreeze()

    def _pass(self) -> None:
        self.loop.one_pass()
        if self.schedulers.failure:
            raise UnplayableError(self.schedulers.failure)

    def _tick_on(self) -> None:
        """Keep passes coming, so that whoever runs them can look at its conditions."""
        self.loop.after(timedelta(milliseconds=20), self._tick_on)

    def _result(self) -> Result:
        late = self.sockets.late_ns
        if late > LATE_WORLD:
            self.recorder.mark(self.now(), f"the world ran {late / MS:.0f} ms late: do not trust this run")
        return self.finish()

    def stop(self) -> None:
        """End every process and socket that this run began."""
        self.schedulers.stop()
        self.loop.close()


def play(
    scenario: spec.Scenario,
    folder: Path,
    command: Sequence[str] = (),
    tick: Callable[[float, SocketWorld], None] | None = None,
) -> Result:
    """Play a scenario in real time; logs and configurations of the schedulers are left in the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    return SocketWorld(scenario, folder, command).play(tick)
