"""What both engines share: the emulated world with its workers, clients, discovery and faults.

It owns the world's parts and carries out the timetable of faults on them. An engine is a subclass of `World` that
adds time and a network: how long things take, how bytes travel, and what a scheduler is. `World` must never know its
engine, and an engine must never decide what a worker or a client does.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from functools import partial

from canvasbeam.dispatch.events import WorkerState
from canvasbeam.simulator.model import draw, faults, spec, worker, worker_messages
from canvasbeam.simulator.model.clients import Clients, LoadBalancer, Try
from canvasbeam.simulator.model.draw import Chance, Stream
from canvasbeam.simulator.model.links import Links, strip
from canvasbeam.simulator.model.machine import Machine
from canvasbeam.simulator.model.registry import Listed, Registry
from canvasbeam.simulator.model.request_log import Ledger, What
from canvasbeam.simulator.model.units import SECOND
from canvasbeam.simulator.model.worker_messages import Said
from canvasbeam.simulator.recorder import Recorder
from canvasbeam.simulator.result import Result

# After the last arrival a run goes on until all is answered, but no longer than this past the longest budget.
TAIL = SECOND


def result_of(request: int) -> str:
    """Return what a worker makes for a request: nobody else can."""
    return f"result of {request}"


class EmulatedWorker(ABC):
    """A worker of a world: the model, and the wake-ups that it asks for."""

    def __init__(self, world: World, machine: Machine, place: int) -> None:
        self.world = world
        self.name = machine.name
        self.machine = machine
        self.model = worker.Worker(machine, world.chance.single(Stream.WORKERS, place))
        self.condition = faults.Condition()
        self._armed = 0

    def give(self, *events: worker_messages.Event) -> None:
        """Hand the model events, carry its words to the schedulers, and arm its next wake-up."""
        world = self.world
        now = world.now()
        for action in self.model.handle(now, events):
            match action:
                case worker_messages.Say(ref, said, share):
                    self._say(name_of(ref), said, share)
                case worker_messages.Began(ref):
                    world.ledger.worked(name_of(ref)[1], now, What.BEGAN, self.name)
                case worker_messages.FellOver():
                    world.ledger.fell(self.name, now)
                    world.recorder.mark(now, f"{self.name} fell over")
                    self.reset()
        if self.model.next_at < float("inf"):
            when = -(-int(self.model.next_at) // 1000) * 1000
            if not self._armed or when < self._armed or self._armed <= now:
                self._armed = when
                world.after(when - now, partial(self._wake, when))

    def _wake(self, when: int) -> None:
        if when == self._armed:
            self._armed = 0
            self.give(worker_messages.Woken())

    def _say(self, name: tuple[int, int], said: Said, share: float) -> None:
        world = self.world
        if said.is_last:
            what = What.DONE if said is Said.DONE else What.FAILED if said is Said.FAILED else What.OTHER
            world.ledger.worked(name[1], world.now(), what, self.name)
            world.recorder.worked(self.name, said)
        self.say(name, said, share)

    @abstractmethod
    def say(self, name: tuple[int, int], said: Said, share: float) -> None:
        """Carry a word to whoever sent the attempt."""

    @abstractmethod
    def reset(self) -> None:
        """Note that the process is gone, and every connection of it with it."""

    @abstractmethod
    def hush(self, on: bool) -> None:
        """Note that the machine falls silent, or is heard again."""

    @abstractmethod
    def begin(self) -> None:
        """Note that a new process has started."""


def name_of(ref: object) -> tuple[int, int]:
    """Return what a worker calls an attempt: the attempt's number and the request's."""
    assert isinstance(ref, tuple)
    return ref


class World(ABC):
    """The emulated world of one run."""

    engine = ""

    def __init__(
        self, scenario: spec.Scenario, begun: int, fleet: list[Machine] | None = None, jobs: draw.Jobs | None = None
    ) -> None:
        self.scenario = scenario
        self.begun = begun
        self.chance = Chance(scenario.seed)
        self.machines = draw.machines(scenario, self.chance) if fleet is None else fleet
        self.jobs = draw.jobs(scenario, self.machines, self.chance) if jobs is None else jobs
        zone_of = {machine.name: machine.zone for machine in self.machines}
        self.ledger = Ledger(scenario, zone_of, {machine.name: machine.cell for machine in self.machines})
        zones = {
            faults.scheduler_name(place): scenario.zones[place % len(scenario.zones)]
            for place in range(scenario.schedulers.count)
        }
        network = scenario.network
        self.links = Links(zones, scenario.links, scenario.seed, network.same_ms, network.cross_ms, network.jitter)
        self.recorder = Recorder(scenario, self.machines, begun)
        self.cut_zones: dict[str, int] = {}
        self.emulated_workers = {
            machine.name: self.make_worker(machine, place) for place, machine in enumerate(self.machines)
        }
        self.registry = Registry(scenario, self.machines, self.chance, self, self.tell_list, self.after)
        self.load_balancer = LoadBalancer(scenario, self.chance)
        self.clients = Clients(
            scenario,
            self.jobs,
            self.ledger,
            self.recorder,
            self.chance,
            self.submit,
            self.leave,
            self.after,
            self.now,
        )

    # --- what an engine adds ----------------------------------------------------------------------

    @abstractmethod
    def now(self) -> int:
        """Return the time in nanoseconds."""

    @abstractmethod
    def after(self, span: int, action: Callable[[], None]) -> None:
        """Do this so many nanoseconds later."""

    @abstractmethod
    def make_worker(self, machine: Machine, place: int) -> EmulatedWorker:
        """Return a worker on this engine's network."""

    @abstractmethod
    def submit(self, attempt: Try) -> str | None:
        """Send a client's request; the scheduler's name, or None where there is none."""

    @abstractmethod
    def leave(self, attempt: Try) -> None:
        """Note that the client closes its connection."""

    @abstractmethod
    def tell_list(self, place: int, whole: bool, entries: Sequence[Listed]) -> None:
        """Discovery tells a scheduler something, now."""

    @abstractmethod
    def kill(self, place: int) -> bool:
        """SIGKILL to a scheduler; whether it ran."""

    @abstractmethod
    def term(self, place: int) -> bool:
        """SIGTERM to a scheduler; whether it ran."""

    @abstractmethod
    def start(self, place: int) -> None:
        """Start a scheduler, again where the old one has ended or once it has."""

    @abstractmethod
    def freeze(self, place: int) -> bool:
        """SIGSTOP to a scheduler; whether it ran."""

    @abstractmethod
    def thaw(self, place: int) -> bool:
        """SIGCONT to a scheduler; whether it is there."""

    # --- discovery's view -------------------------------------------------------------------------

    def state_of(self, name: str) -> tuple[WorkerState, bool, int, float]:
        """Return what discovery can find out about a worker."""
        emulated = self.emulated_workers[name]
        state = WorkerState.LIVE
        if not emulated.model.alive:
            state = WorkerState.GONE
        elif emulated.condition.draining:
            state = WorkerState.DRAINING
        return state, emulated.condition.silent, emulated.model.born_ns, emulated.model.weight()

    def told(self, scheduler: str, entries: Sequence[Listed]) -> None:
        """Note what a scheduler knows from now on, for the rule on drains."""
        now = self.now()
        for entry in entries:
            self.ledger.drains(scheduler, entry.machine.name, None if entry.state is WorkerState.LIVE else now)

    # --- the network's state ----------------------------------------------------------------------

    def silent(self, zone: str, to: EmulatedWorker) -> bool:
        """Whether nothing passes between a scheduler's zone and a worker."""
        if to.condition.silent:
            return True
        return (
            bool(self.cut_zones)
            and zone != to.machine.zone
            and (zone in self.cut_zones or to.machine.zone in self.cut_zones)
        )

    def way_ms(self, zone: str, to: Machine) -> float:
        """One way between a scheduler's zone and a worker, before jitter."""
        network = self.scenario.network
        return network.same_ms if zone == to.zone else network.cross_ms

    # --- faults -----------------------------------------------------------------------------------

    def carry_out(self, step: faults.Step) -> None:
        """One change of the timetable."""
        match step.what:
            case "kill" | "term" | "start" | "stop" | "go_on":
                self._scheduler_step(step, int(step.member.removeprefix("n")))
            case "stale" | "fresh":
                self.registry.stale(step.what == "stale")
            case "cut" | "joined":
                zone = step.member
                before = zone in self.cut_zones
                self.cut_zones[zone] = self.cut_zones.get(zone, 0) + (1 if step.what == "cut" else -1)
                if self.cut_zones[zone] <= 0:
                    del self.cut_zones[zone]
                if before != (zone in self.cut_zones):
                    self.cut(zone, not before)
            case _:
                self._worker_step(self.emulated_workers[step.member], step)

    def cut(self, zone: str, on: bool) -> None:
        """Note that a zone is cut off from the others, or joined to them again."""
        for emulated in self.emulated_workers.values():
            emulated.hush(on)

    def _worker_step(self, emulated: EmulatedWorker, step: faults.Step) -> None:
        told = self.scenario.discovery
        condition, name = emulated.condition, emulated.name
        was_silent, was_draining = condition.silent, condition.draining
        condition.take(step)
        if step.what == "pause":
            emulated.give(worker_messages.Paused(self.now() + round(step.value * SECOND)))
        elif step.what in ("slow", "errors", "breaks"):
            emulated.give(
                worker_messages.Slowed(condition.slow),
                worker_messages.Errs(condition.errors),
                worker_messages.Breaks(condition.breaks),
            )
        if condition.silent != was_silent:
            emulated.hush(condition.silent)
            if condition.silent:
                self.registry.notice(name, WorkerState.GONE, told.silent_notice_s)
            else:
                self.registry.notice(name, WorkerState.LIVE, told.add_s)
        if condition.down and emulated.model.alive:
            emulated.give(worker_messages.Died())
            emulated.reset()
            self.registry.notice(name, WorkerState.GONE, told.notice_s)
        elif step.what == "return" and not condition.down and not emulated.model.alive and not emulated.model.fallen:
            emulated.give(worker_messages.Born())
            emulated.begin()
            self.registry.notice(name, WorkerState.LIVE, told.add_s)
        if condition.draining != was_draining and emulated.model.alive:
            emulated.give(worker_messages.Drains(condition.draining))
            state = WorkerState.DRAINING if condition.draining else WorkerState.LIVE
            self.registry.notice(name, state, (0.0, 0.1) if condition.draining else told.add_s)

    def _scheduler_step(self, step: faults.Step, place: int) -> None:
        if step.what == "kill":
            if self.kill(place):
                self.load_balancer.died(place, self.now())
        elif step.what == "term":
            if self.term(place):
                self.load_balancer.leaves(place, self.now())
        elif step.what == "stop":
            if self.freeze(place):
                self.ledger.stopped(step.member, self.now())
                self.load_balancer.died(place, self.now())
        elif step.what == "go_on":
            if self.thaw(place):
                self.ledger.goes_on(step.member, self.now())
                self.load_balancer.back(place, self.now())
        else:
            self.start(place)

    @property
    def longest_end(self) -> int:
        """How long after SIGTERM the platform's SIGKILL comes at the earliest, in nanoseconds."""
        longest = max(request_class.deadline_s for request_class in self.scenario.classes)
        return round((min(3.0, longest) + 0.7) * SECOND)

    # --- a run ------------------------------------------------------------------------------------

    def arm(self) -> None:
        """Set out all that will happen: faults, live weights, arrivals. The run begins at `begun`."""
        for step in faults.timetable(self.scenario, self.machines, self.chance):
            self.after(self.begun + step.at_ns - self.now(), partial(self.carry_out, step))
            self.recorder.step(step)
        self.registry.begin()
        self.clients.begin(self.begun)

    @property
    def last(self) -> int:
        """When the last arrival may come."""
        return self.begun + round(self.scenario.length_s * SECOND)

    @property
    def end(self) -> int:
        """When a run ends at the latest."""
        clients = self.scenario.clients
        longest = max(request_class.deadline_s for request_class in self.scenario.classes)
        patience = (1 + clients.retries) * (longest + clients.most_wait_s)
        return self.last + round(patience * SECOND) + TAIL

    @property
    def is_over(self) -> bool:
        """Whether all that was to come has come and is answered."""
        return self.clients.is_done and self.now() >= self.last

    def finish(self) -> Result:
        """Close the books."""
        self.ledger.close(self.now())
        result = self.recorder.result(self.engine, self.scenario, self.ledger, self.jobs)
        if self.scenario.schedulers.peers:
            result.strip = strip(self.links, int(self.scenario.length_s), self.recorder.away())
        return result
