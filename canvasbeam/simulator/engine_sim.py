"""The simulated engine: a scenario in simulated time, many schedulers in one process.

It puts the simulated parts together and plays a run. What decides is the program's own: its core, with its checks and
guards, round its decision module. It must never read a clock for anything that a result depends on, or iterate a set.
"""

from __future__ import annotations

import gc
import logging
import resource
import time
from collections.abc import Callable, Sequence
from functools import partial

import msgspec

from canvasbeam.dispatch.events import ListKind
from canvasbeam.scheduler.limits import MICROSECOND
from canvasbeam.scheduler.request_coordinator import RequestCoordinator
from canvasbeam.scheduler.worker_table import ListedWorker
from canvasbeam.simulator.model import draw, spec
from canvasbeam.simulator.model.clients import STILL_COMES, Try
from canvasbeam.simulator.model.draw import Stream
from canvasbeam.simulator.model.machine import Machine
from canvasbeam.simulator.model.registry import Listed
from canvasbeam.simulator.model.units import MS, SECOND
from canvasbeam.simulator.peers_sim import Embedded
from canvasbeam.simulator.result import PERCENTILES, Result, histogram
from canvasbeam.simulator.simulated_network import SimulatedNetwork, SimulatedWorker
from canvasbeam.simulator.simulated_scheduler import SchedulerWorld, SimulatedScheduler
from canvasbeam.simulator.simulated_time import START, EventQueue
from canvasbeam.simulator.simulation import EmulatedWorker

# Lists that are on their way to several schedulers at once are translated once.
KEPT_LISTS = 16


class SimulatedWorld(SchedulerWorld):
    """All that a simulated run consists of."""

    engine = "sim"

    def __init__(
        self,
        scenario: spec.Scenario,
        core_class: type[RequestCoordinator] = RequestCoordinator,
        fleet: list[Machine] | None = None,
        jobs: draw.Jobs | None = None,
    ) -> None:
        self.core_class = core_class
        self.queue = EventQueue()
        self.workers: dict[str, SimulatedWorker] = {}
        super().__init__(scenario, START, fleet, jobs)
        self.network = SimulatedNetwork(self, self.queue, self.chance.single(Stream.NETWORK))
        self.passes = histogram()  # what a pass of the core takes, in tenths of a microsecond
        self._translated: dict[int, tuple[Sequence[Listed], list[ListedWorker]]] = {}
        self.schedulers = [SimulatedScheduler(self, place) for place in range(scenario.schedulers.count)]
        self.peers = None
        if scenario.schedulers.peers:
            self.peers = Embedded(len(self.schedulers), self, self.links, scenario.seed)

    @property
    def senders(self) -> Sequence[SimulatedScheduler]:
        """The schedulers."""
        return self.schedulers

    def now(self) -> int:
        """Return the simulated time."""
        return self.queue.now

    def after(self, span: int, action: Callable[[], None]) -> None:
        """Do this so much later."""
        self.queue.after(span, action)

    def make_worker(self, machine: Machine, place: int) -> EmulatedWorker:
        """Return a worker on the simulated network."""
        made = self.workers[machine.name] = SimulatedWorker(self, machine, place)
        return made

    # --- clients ----------------------------------------------------------------------------------

    def after_client(self, action: Callable[[], None]) -> None:
        """Do this one way between client and scheduler later."""
        self.queue.after(self.network.latency(self.scenario.network.client_ms), action)

    def submit(self, attempt: Try) -> str | None:
        """Send a request to a scheduler of its zone."""
        place = self.load_balancer.pick(attempt.zone, self.queue.now)
        scheduler = self.schedulers[place]
        attempt.scheduler = place
        self.after_client(partial(scheduler.submit, attempt))
        return scheduler.name

    def leave(self, attempt: Try) -> None:
        """Note that the client closes its connection."""
        self.after_client(partial(self.schedulers[attempt.scheduler].left, attempt))

    # --- discovery --------------------------------------------------------------------------------

    def target(self, each: Listed) -> ListedWorker:
        """Return an entry as the program's core takes it."""
        machine, born = each.machine, each.born_ns
        started = None if not born else (born - START) // 1_000_000 * 1000 * MICROSECOND
        return ListedWorker(
            machine.name, ("127.0.0.1", 1), machine.zone, machine.model, machine.cell, each.state, each.weight, started
        )

    def targets(self, entries: Sequence[Listed]) -> list[ListedWorker]:
        """Return the same for several, remembered while they are on their way to all."""
        found = self._translated.get(id(entries))
        if found is None or found[0] is not entries:
            if len(self._translated) > KEPT_LISTS:
                self._translated.pop(next(iter(self._translated)))
            found = self._translated[id(entries)] = (entries, [self.target(entry) for entry in entries])
        return found[1]

    def tell_list(self, place: int, whole: bool, entries: Sequence[Listed]) -> None:
        """Discovery tells a scheduler something, now."""
        self.schedulers[place].heard(ListKind.COMPLETE if whole else ListKind.CHANGES, entries)

    # --- schedulers -------------------------------------------------------------------------------

    def kill(self, place: int) -> bool:
        """SIGKILL."""
        scheduler = self.schedulers[place]
        was = scheduler.alive
        scheduler.stop()
        return was

    def term(self, place: int) -> bool:
        """SIGTERM, and SIGKILL where it does not end."""
        scheduler = self.schedulers[place]
        if not scheduler.alive:
            return False
        scheduler.begin_shutdown()
        self.queue.after(STILL_COMES, partial(scheduler.drain, scheduler.starts))
        self.queue.after(self.longest_end, partial(scheduler.leave, scheduler.starts))
        return True

    def freeze(self, place: int) -> bool:
        """SIGSTOP: what comes waits, and its deadlines too."""
        scheduler = self.schedulers[place]
        if not scheduler.alive:
            return False
        scheduler.loop.frozen = True
        if self.peers is not None:
            self.peers.stop(scheduler.name)
        return True

    def thaw(self, place: int) -> bool:
        """SIGCONT."""
        scheduler = self.schedulers[place]
        if not scheduler.alive:
            return False
        scheduler.loop.thaw()
        if self.peers is not None:
            self.peers.go_on(scheduler.name)
        return True

    def start(self, place: int) -> None:
        """Start again, once the old process has ended."""
        scheduler = self.schedulers[place]
        if scheduler.alive and scheduler.draining:
            self.queue.after(100 * MS, partial(self.start, place))
        elif not scheduler.alive:
            self.queue.after(round(self.scenario.schedulers.start_s * SECOND), partial(self._started, scheduler))

    def _started(self, scheduler: SimulatedScheduler) -> None:
        if not scheduler.alive:
            scheduler.start()
            self.load_balancer.back(scheduler.place, self.queue.now)

    # --- a run ------------------------------------------------------------------------------------

    def play(self) -> Result:
        """Return the whole run, and what became of it."""
        for scheduler in self.schedulers:
            scheduler.start()
        self.arm()
        self.queue.run(lambda: self.is_over, self.end)
        return self.finish()


class Cost(msgspec.Struct, kw_only=True):
    """What a run took of the machine; apart from the result, which is the same on any machine."""

    wall_s: float = 0.0
    us_per_job: float = 0.0
    us_per_pass: float = 0.0
    pass_us: dict[str, float] = {}
    passes: int = 0
    events: int = 0
    jobs: int = 0
    peak_mb: float = 0.0


def play(
    scenario: spec.Scenario,
    core_class: type[RequestCoordinator] = RequestCoordinator,
    fleet: list[Machine] | None = None,
    jobs: draw.Jobs | None = None,
) -> tuple[Result, Cost]:
    """Play a scenario in simulated time: the result, the same for one seed anywhere, and what it cost."""
    noise = logging.getLogger("canvasbeam.scheduler")
    before, collects = noise.level, gc.get_threshold()
    noise.setLevel(logging.CRITICAL)
    # A run makes millions of objects that die young; looking them through every 700 takes an eighth of its time.
    gc.set_threshold(50_000, 20, 1000)
    begun = time.perf_counter()
    try:
        world = SimulatedWorld(scenario, core_class, fleet, jobs)
        result = world.play()
    finally:
        noise.setLevel(before)
        gc.set_threshold(*collects)
    wall = time.perf_counter() - begun
    passes = sum(scheduler.decisions for scheduler in world.schedulers)
    spent = sum(scheduler.decide_ns for scheduler in world.schedulers)
    count = max(1, len(world.jobs))
    return result, Cost(
        wall_s=round(wall, 3),
        us_per_job=round(wall / count * 1e6, 1),
        us_per_pass=round(spent / max(1, passes) / 1000, 1),
        pass_us={
            f"p{percentile:g}": world.passes.get_value_at_percentile(percentile) / 10 for percentile in PERCENTILES
        },
        passes=passes,
        events=world.queue.events,
        jobs=count,
        peak_mb=round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
    )
