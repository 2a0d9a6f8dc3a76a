"""The simulated engine: a scenario in simulated time, many schedulers in one process.

It owns the one queue of events, the simulated network between clients, schedulers, workers and discovery, and the
carrier that stands where the program has sockets. What decides is the program's own: its core, with its checks and
guards, round its decision module. It must never read a clock for anything that a result depends on, iterate a set,
or let an event happen before one that came first.
"""

from __future__ import annotations

import gc
import heapq
import logging
import resource
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from functools import partial

import msgspec

from canvasbeam.interface import Effect, ListKind, Outcome
from canvasbeam.lab import deployment
from canvasbeam.lab.model import clients as people
from canvasbeam.lab.model import draw, faults, spec, worker
from canvasbeam.lab.model.draw import Stream
from canvasbeam.lab.model.ledger import What
from canvasbeam.lab.model.registry import Listed
from canvasbeam.lab.model.worker import MS, SECOND, Said, Task
from canvasbeam.lab.peers_sim import Embedded
from canvasbeam.lab.result import PERCENTILES, Result, histogram
from canvasbeam.lab.stage import Actor, Stage, result_of
from canvasbeam.net.core import Core
from canvasbeam.net.limits import MICROSECOND, Limits, nanoseconds
from canvasbeam.net.loop import Deadline
from canvasbeam.net.requests import Answer, Attempt, FinalAnswer, Request, ShuttingDown
from canvasbeam.net.target_table import Target

# The simulated day begins here, so that no time is 0, which means long ago.
START = 1_000 * SECOND
OUTCOMES = {
    Said.DONE: Outcome.OK, Said.FAILED: Outcome.ERROR, Said.RETURNED: Outcome.FULL, Said.REJECTED: Outcome.FULL,
    Said.LOST: Outcome.RESET, Said.BROKE: Outcome.BROKEN,
}  # fmt: skip
# Lists that are on their way to several schedulers at once are translated once.
KEPT_LISTS = 16


class Queue:
    """The one queue of events: by time, and at one time in the order in which they were asked for."""

    def __init__(self) -> None:
        self.now = START
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._order = 0
        self.events = 0

    def at(self, when: int, action: Callable[[], None]) -> None:
        """Do this at that time, whole microseconds, not before now."""
        self._order += 1
        heapq.heappush(self._heap, (max(self.now, -(-when // 1000) * 1000), self._order, action))

    def after(self, span: int, action: Callable[[], None]) -> None:
        """Do this so much later."""
        self.at(self.now + span, action)

    def run(self, until: Callable[[], bool], end: int) -> None:
        """Event after event until the condition holds, the end has come, or nothing is left."""
        heap = self._heap
        while heap and not until():
            when, _, action = heap[0]
            if when > end:
                break
            heapq.heappop(heap)
            self.now = when
            self.events += 1
            action()


class SimLoop:
    """What the core wants of a loop, on the queue: deadlines, and a pass soon after something came in."""

    def __init__(self, queue: Queue, pass_ns: int) -> None:
        self.queue = queue
        self.end_of_pass: Callable[[], None] = lambda: None
        self._pass_ns = pass_ns
        self._passing = False
        self._order = 0
        self.stopped = False
        self.frozen = False  # by SIGSTOP: what comes waits
        self._waiting: list[Callable[[], object]] = []

    def gate(self, action: Callable[[], object]) -> None:
        """What comes from outside, or is due: at once, or once the process goes on."""
        if self.frozen:
            self._waiting.append(action)
        else:
            action()

    def thaw(self) -> None:
        """SIGCONT: all that waited, in the order in which it came."""
        self.frozen = False
        waiting, self._waiting = self._waiting, []
        for action in waiting:
            action()

    @property
    def now(self) -> timedelta:
        """Since the day's start."""
        return (self.queue.now - START) // 1000 * MICROSECOND

    def at(self, when: timedelta, action: Callable[[], None], owner: object = None) -> Deadline:
        """As the program's loop does it: at or after that time, unless cancelled."""
        self._order += 1
        deadline = Deadline(when, self._order, None, action)
        self.queue.at(START + nanoseconds(when), partial(self.gate, partial(self._due, deadline)))
        return deadline

    def after(self, span: timedelta, action: Callable[[], None], owner: object = None) -> Deadline:
        """Do this once the span is over."""
        return self.at(self.now + span, action, owner)

    def _due(self, deadline: Deadline) -> None:
        action, deadline.action = deadline.action, None
        if action is not None and not self.stopped:
            action()

    def cancel(self, deadline: Deadline | None) -> None:
        """Drop a deadline."""
        if deadline is not None:
            deadline.action = None

    def again(self) -> None:
        """A pass soon."""
        if not self._passing:
            self._passing = True
            self.queue.after(self._pass_ns, partial(self.gate, self._pass))

    def _pass(self) -> None:
        self._passing = False
        if not self.stopped:
            self.end_of_pass()


@dataclass(slots=True, eq=False)
class Forward:
    """One attempt on its simulated connection."""

    attempt: Attempt
    scheduler: Scheduler
    worker: Worker
    request: int
    number: int  # its name at the worker
    came_up: bool = False
    written: bool = False  # the last byte has left
    arrived: bool = False
    over: bool = False
    heard_at: int = 0  # nothing overtakes on a connection
    broken: bool = False
    born: int = 0

    @property
    def ref(self) -> tuple[int, int]:
        """Its name at the worker's model."""
        return self.number, self.request


class Carrier:
    """Forwards and probes of one scheduler over the simulated network."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.idle: dict[str, list[int]] = {}  # by worker: the births that idle connections belong to

    def send(self, attempt: Attempt, target: Target) -> None:
        """Start a forward."""
        scheduler = self.scheduler
        to = scheduler.world.workers[target.name]
        payload = attempt.request.payload
        assert isinstance(payload, people.Try)
        forward = Forward(attempt, scheduler, to, payload.request, scheduler.world.next_forward())
        attempt.carrier = forward
        scheduler.forwards[forward.number] = forward
        kept = self.idle.get(target.name)
        if kept:
            born = kept.pop()
            forward.came_up, forward.born = True, born
            self._begin(forward, 0)
        else:
            scheduler.world.connect(forward, self._begin)

    def _begin(self, forward: Forward, took: int) -> None:
        """The connection is up: write, but for the last byte of what must not run twice."""
        core, attempt = self.scheduler.core, forward.attempt
        if forward.over or attempt.outcome is not None:
            return
        forward.came_up = True
        if not core.may_send(attempt):
            forward.over = True
            self.scheduler.forwards.pop(forward.number, None)
            core.attempt_ended(attempt, Outcome.MOOT)
            return
        core.attempt_written(attempt)
        world = self.scheduler.world
        world.first_byte(forward)
        if attempt.effect is Effect.SAFE:
            self._last_byte(forward)
            return
        limits = self.scheduler.limits
        span = min(max(nanoseconds(limits.proof), 2 * took), nanoseconds(limits.longest_proof))
        world.queue.after(span, partial(self.scheduler.loop.gate, partial(self._last_byte, forward)))

    def _last_byte(self, forward: Forward) -> None:
        if not forward.over and forward.attempt.outcome is None:
            forward.written = True
            self.scheduler.world.offer(forward)

    def withdraw(self, attempt: Attempt) -> bool:
        """Stop a forward by closing its connection."""
        forward = attempt.carrier
        if not isinstance(forward, Forward):
            return attempt.written is not None
        if not forward.over:
            forward.over = True
            self.scheduler.forwards.pop(forward.number, None)
            self.scheduler.world.closed(forward)
        return forward.written

    def probe(self, target: Target) -> None:
        """Ask a worker for its load report."""
        self.scheduler.world.probe(self.scheduler, target.name)

    def close_idle(self, target: str) -> None:
        """Close the idle connections to a worker."""
        kept = self.idle.pop(target, [])
        world = self.scheduler.world
        to = world.workers[target]
        if kept and to.model.born_ns == kept[-1]:
            to.model.connections -= sum(each == to.model.born_ns for each in kept)

    def ended(self, forward: Forward, outcome: Outcome, report: dict[str, float], result: bytes) -> None:
        """A forward ended; its connection stays where its answer was whole."""
        forward.over = True
        self.scheduler.forwards.pop(forward.number, None)
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.RESET):
            kept = self.idle.setdefault(forward.worker.name, [])
            kept.append(forward.born)
            if len(kept) > self.scheduler.limits.kept_idle:
                born = kept.pop(0)
                forward.worker.hung_up(born)
        else:
            forward.worker.hung_up(forward.born)
        self.scheduler.core.attempt_ended(forward.attempt, outcome, report or None, result)


class Scheduler:
    """One scheduler: the program's core on a simulated loop. It may die and begin again from nothing."""

    def __init__(self, world: World, place: int) -> None:
        self.world = world
        self.place = place
        self.name = faults.scheduler_name(place)
        self.zone = deployment.zone_of(world.scenario, place)
        self.settings = deployment.settings(world.scenario, world.machines, place)
        self.limits: Limits = deployment.limits(world.scenario, self.settings)
        self.starts = 0
        self.alive = False
        self.draining = False
        self.known: dict[str, Target] = {}
        self.forwards: dict[int, Forward] = {}
        self.tries: dict[int, people.Try] = {}
        self.decide_ns = 0
        self.decisions = 0

    def start(self) -> None:
        """Begin from nothing but the list as last held."""
        world = self.world
        self.loop = SimLoop(world.queue, round(world.scenario.schedulers.pass_ms * MS))
        seed = deployment.seed_of(world.chance, self.place, self.starts)
        born = START // 1000 * MICROSECOND
        self.core = world.core_class(self.loop, self.settings, self.limits, seed, born)  # type: ignore[arg-type]
        self.carrier = Carrier(self)
        self.core.carrier = self.carrier
        self.loop.end_of_pass = self._pass
        self.starts += 1
        self.alive, self.draining = True, False
        if world.peers is not None:
            clocks = world.scenario.schedulers.clock_s
            world.peers.start(self.name, clocks[self.place] if self.place < len(clocks) else 0.0)
        if self.starts > 1 and self.known:
            self.core.listed(ListKind.WARM_COPY, list(self.known.values()), 1)
            world.queue.after(20 * MS, partial(self._whole, self.loop))
        else:
            self.heard(ListKind.COMPLETE, world.registry.whole())

    def _whole(self, loop: SimLoop) -> None:
        if loop is self.loop and self.alive and not self.world.registry.is_stale:
            self.heard(ListKind.COMPLETE, self.world.registry.whole())

    def _pass(self) -> None:
        begun = time.perf_counter_ns()
        self.core.end_of_pass()
        took = time.perf_counter_ns() - begun
        self.decide_ns += took
        self.decisions += 1
        self.world.passes.record_value(max(1, took // 100))
        if self.draining and not self.core.open_requests:
            self.stop()

    def heard(self, kind: ListKind, entries: Sequence[Listed]) -> None:
        """Discovery tells something, now."""
        if not self.alive:
            return
        if self.loop.frozen:
            self.loop.gate(partial(self.heard, kind, entries))
            return
        self.world.told(self.name, entries)
        targets = self.world.targets(entries)
        for each in targets:
            self.known[each.name] = each
        self.core.listed(kind, targets, 1)

    def begin_shutdown(self) -> None:
        """SIGTERM: what cannot be answered in time is refused, and all is answered before the kill."""
        self.loop.gate(self.core.begin_shutdown)
        if self.world.peers is not None:
            self.world.peers.leave(self.name)
        self.world.queue.after(nanoseconds(self.limits.leave), partial(self.leave, self.starts))

    def leave(self, starts: int) -> None:
        """The process of that start is gone, by itself or killed."""
        if starts == self.starts:
            self.stop()

    def drain(self, starts: int) -> None:
        """No more comes to the process of that start: it ends with its last answer."""
        if starts != self.starts:
            return
        self.draining = True
        if not self.core.open_requests:
            self.stop()

    def stop(self) -> None:
        """The process ends: what is open is lost."""
        if not self.alive:
            return
        self.alive = False
        self.loop.stopped = True
        if self.world.peers is not None:
            self.world.peers.kill(self.name)
        for forward in tuple(self.forwards.values()):
            forward.over = True
            self.world.closed(forward)
        self.forwards.clear()
        for name in tuple(self.carrier.idle):
            self.carrier.close_idle(name)
        lost, self.tries = self.tries, {}
        for each in lost.values():
            self.world.after_client(partial(self.world.audience.lost, each))

    # --- requests ---------------------------------------------------------------------------------

    def submit(self, attempt: people.Try) -> None:
        """A client's request has come."""
        if not self.alive:
            self.world.after_client(partial(self.world.audience.lost, attempt))
            return
        if self.loop.frozen:
            self.loop.gate(partial(self.submit, attempt))
            return
        world = self.world
        cls = world.scenario.classes[attempt.cls]
        departments = world.scenario.departments
        request = Request(
            identity=str(attempt.request), job_class=cls.name,
            due=(attempt.due_ns - START) // 1000 * MICROSECOND, payload=attempt,
            answer=partial(self._answered, attempt),
            tenant=departments[attempt.department].name if departments else None,
            key=str(attempt.sid), slots=float(attempt.slots), repeat=attempt.marked,
            work_hint=attempt.hint_ns // 1000 * MICROSECOND,
        )  # fmt: skip
        self.tries[attempt.request] = attempt
        attempt.core_request = request
        try:
            self.core.submit(request)
        except ShuttingDown:  # refused at once, as the program's listener does
            self._answered(attempt, FinalAnswer(Answer.REFUSED, retry_after=self.limits.shutdown_retry_after))

    def left(self, attempt: people.Try) -> None:
        """The client closed its connection."""
        if self.alive and self.loop.frozen:
            self.loop.gate(partial(self.left, attempt))
        elif self.tries.pop(attempt.request, None) is not None and self.alive:
            assert isinstance(attempt.core_request, Request)
            self.core.hang_up(attempt.core_request)

    def _answered(self, attempt: people.Try, answer: FinalAnswer) -> None:
        self.tries.pop(attempt.request, None)
        own = answer.kind is not Answer.SERVED or answer.result == result_of(attempt.request).encode()
        self.world.after_client(
            partial(self.world.audience.answered, attempt, answer.kind, nanoseconds(answer.retry_after), own)
        )


class Worker(Actor):
    """A worker on the simulated network: the model and its connections."""

    world: World

    def __init__(self, world: World, machine: worker.Machine, place: int) -> None:
        super().__init__(world, machine, place)
        self.world = world
        self.forwards: dict[int, Forward] = {}

    def say(self, name: tuple[int, int], said: Said, share: float) -> None:
        """A line of an answer."""
        forward = self.forwards.get(name[0])
        if forward is None:
            return
        report: dict[str, float] = {}
        if said.is_last:
            del self.forwards[name[0]]
            report = self.model.report(self.world.queue.now)
        self.world.tell(forward, said, share, report)

    def reset(self) -> None:
        """The process is gone: every connection of it is reset."""
        broken, self.forwards = self.forwards, {}
        for forward in broken.values():
            self.world.break_off(forward)
        self.world.reset_others(self)

    def hush(self, on: bool) -> None:
        """A machine that is heard again resets its connections; after a cut, those that missed something."""
        if not on:
            self.world.heard_again(self)

    def begin(self) -> None:
        """A new process has started: nothing is left of the old one's connections."""

    def hung_up(self, born: int) -> None:
        """A scheduler closed a connection."""
        if born == self.model.born_ns and self.model.alive:
            self.model.connections -= 1


class World(Stage):
    """All that a simulated run consists of."""

    engine = "sim"

    def __init__(
        self, scenario: spec.Scenario, core_class: type[Core] = Core,
        fleet: list[worker.Machine] | None = None, jobs: draw.Jobs | None = None,
    ) -> None:  # fmt: skip
        self.core_class = core_class
        self.queue = Queue()
        self.workers: dict[str, Worker] = {}
        super().__init__(scenario, START, fleet, jobs)
        self.rng = self.chance.single(Stream.NETWORK)
        self._forwards = 0
        self.passes = histogram()  # what a pass of the core takes, in tenths of a microsecond
        self._translated: dict[int, tuple[Sequence[Listed], list[Target]]] = {}
        self.schedulers = [Scheduler(self, place) for place in range(scenario.schedulers.count)]
        self.peers: Embedded | None = None
        if scenario.schedulers.peers:
            self.peers = Embedded(len(self.schedulers), self, self.links, scenario.seed)

    def now(self) -> int:
        """The simulated time."""
        return self.queue.now

    def after(self, span: int, action: Callable[[], None]) -> None:
        """Do this so much later."""
        self.queue.after(span, action)

    def actor(self, machine: worker.Machine, place: int) -> Actor:
        """A worker on the simulated network."""
        made = self.workers[machine.name] = Worker(self, machine, place)
        return made

    # --- clients ----------------------------------------------------------------------------------

    def after_client(self, action: Callable[[], None]) -> None:
        """Do this one way between client and scheduler later."""
        self.queue.after(self._latency(self.scenario.network.client_ms), action)

    def submit(self, attempt: people.Try) -> str | None:
        """Send a request to a scheduler of its zone."""
        place = self.front.pick(attempt.zone, self.queue.now)
        scheduler = self.schedulers[place]
        attempt.scheduler = place
        self.after_client(partial(scheduler.submit, attempt))
        return scheduler.name

    def leave(self, attempt: people.Try) -> None:
        """The client closes its connection."""
        self.after_client(partial(self.schedulers[attempt.scheduler].left, attempt))

    # --- the network ------------------------------------------------------------------------------

    def next_forward(self) -> int:
        """A number for a forward: unlike an address in memory it is never used again."""
        self._forwards += 1
        return self._forwards

    def _latency(self, ms: float) -> int:
        return round(ms * MS * (1 + self.scenario.network.jitter * self.rng.random()))

    def _way(self, scheduler: Scheduler, to: Worker) -> int:
        """One way between a scheduler and a worker."""
        return self._latency(self.way_ms(scheduler.zone, to.machine))

    def connect(self, forward: Forward, ready: Callable[[Forward, int], None]) -> None:
        """Open a connection: a round trip, the handshake, and work for the worker."""
        scheduler, to = forward.scheduler, forward.worker
        way = self._way(scheduler, to)

        def refused() -> None:
            if not forward.over and scheduler.alive:
                forward.over = True
                scheduler.forwards.pop(forward.number, None)
                scheduler.core.attempt_ended(forward.attempt, Outcome.CONNECT_FAILED)

        def reached() -> None:
            if forward.over:
                return
            if self.silent(scheduler.zone, to):
                return  # the time-out set below ends it
            if not to.model.alive or to.model.connections >= to.machine.connections:
                self.queue.after(way, partial(loop.gate, refused))
                return
            to.model.connections += 1
            forward.born = to.model.born_ns
            to.give(worker.Connected())
            took = 2 * way * (1 + self.scenario.fleet.handshake_rtts)
            self.queue.after(took - way, partial(loop.gate, up))

        def up() -> None:
            if forward.over or not scheduler.alive:
                to.hung_up(forward.born)
            elif not forward.came_up:
                ready(forward, 2 * way * (1 + self.scenario.fleet.handshake_rtts))

        def late() -> None:
            if not forward.came_up:
                refused()

        loop = scheduler.loop
        self.queue.after(way, reached)
        self.queue.after(nanoseconds(scheduler.limits.connect), partial(loop.gate, late))

    def first_byte(self, forward: Forward) -> None:
        """The first byte of a request leaves."""
        self.ledger.worked(forward.request, self.queue.now, What.SENT, forward.worker.name, forward.scheduler.name)

    def offer(self, forward: Forward) -> None:
        """The last byte leaves, and comes a little later."""
        self.queue.after(self._way(forward.scheduler, forward.worker), partial(self._offered, forward))

    def _offered(self, forward: Forward) -> None:
        to, scheduler = forward.worker, forward.scheduler
        if self.silent(scheduler.zone, to):
            forward.broken = True
            return
        if not to.model.alive or to.model.born_ns != forward.born:
            if not forward.over:  # its connection was of a process that is gone
                self.break_off(forward)
            return
        if forward.over:
            return  # closed while it was on its way: the bytes and the end come together
        cls = self.scenario.classes[self.ledger.cls[forward.request]]
        payload = forward.attempt.request.payload
        assert isinstance(payload, people.Try)
        forward.arrived = True
        to.forwards[forward.number] = forward
        self.ledger.worked(forward.request, self.queue.now, What.OFFERED, to.name)
        self.recorder.offered(to.name, scheduler.zone == to.machine.zone)
        to.give(
            worker.Offered(
                Task(
                    forward.ref, float(payload.work_ns), payload.slots, cls.priority, cls.effect == "safe",
                    str(payload.sid), float(payload.due_ns),
                )
            )
        )  # fmt: skip

    def tell(self, forward: Forward, said: Said, share: float, report: dict[str, float]) -> None:
        """A worker's line, on its way to the scheduler."""
        if self.silent(forward.scheduler.zone, forward.worker):
            if said.is_last:
                forward.broken = True  # the connection is reset once the machine is back
            return
        when = max(forward.heard_at, self.queue.now + self._way(forward.scheduler, forward.worker))
        forward.heard_at = when
        gate = forward.scheduler.loop.gate
        self.queue.at(when, partial(gate, partial(self._told, forward, said, share, report)))

    def _told(self, forward: Forward, said: Said, share: float, report: dict[str, float]) -> None:
        if forward.over or not forward.scheduler.alive:
            return
        core = forward.scheduler.core
        if said is Said.STARTED:
            core.attempt_started(forward.attempt)
        elif said is Said.RUNNING:
            core.attempt_progressed(forward.attempt, share)
        else:
            result = result_of(forward.request).encode() if said is Said.DONE else b""
            named = {REPORT[name]: value for name, value in report.items()}
            forward.scheduler.carrier.ended(forward, OUTCOMES[said], named, result)

    def closed(self, forward: Forward) -> None:
        """A scheduler closed a connection that was in use; the worker hears of it a little later."""
        self.queue.after(self._way(forward.scheduler, forward.worker), partial(self._heard_closed, forward))

    def _heard_closed(self, forward: Forward) -> None:
        to = forward.worker
        if self.silent(forward.scheduler.zone, to):
            return
        if forward.came_up:
            to.hung_up(forward.born)
        if to.forwards.pop(forward.number, None) is not None:
            to.give(worker.Withdrawn(forward.ref))

    def break_off(self, forward: Forward) -> None:
        """The worker's side of a connection is gone: the scheduler reads a reset, unless nothing passes."""
        if self.silent(forward.scheduler.zone, forward.worker):
            forward.broken = True
            return
        gate = forward.scheduler.loop.gate
        self.queue.after(self._way(forward.scheduler, forward.worker), partial(gate, partial(self._broke, forward)))

    def _broke(self, forward: Forward) -> None:
        if not forward.over and forward.scheduler.alive:
            outcome = Outcome.BROKEN if forward.written else Outcome.UNSENT
            forward.scheduler.carrier.ended(forward, outcome, {}, b"")

    def reset_others(self, to: Worker) -> None:
        """Idle connections to a dead worker end, and so do those whose request has not come whole."""
        for scheduler in self.schedulers:
            if scheduler.alive:
                scheduler.carrier.idle.pop(to.name, None)
                for forward in tuple(scheduler.forwards.values()):
                    if forward.worker is to and forward.came_up and not forward.arrived:
                        self.break_off(forward)

    def heard_again(self, to: Worker) -> None:
        """Something passes again: connections on which something was lost meanwhile are reset."""
        for scheduler in self.schedulers:
            if not scheduler.alive or self.silent(scheduler.zone, to):
                continue
            for forward in tuple(scheduler.forwards.values()):
                if forward.worker is to and forward.came_up and forward.broken:
                    to.forwards.pop(forward.number, None)
                    to.give(worker.Withdrawn(forward.ref))
                    way = self._way(scheduler, to)
                    self.queue.after(way, partial(scheduler.loop.gate, partial(self._broke, forward)))

    def probe(self, scheduler: Scheduler, name: str) -> None:
        """A probe: a round trip, on a connection that is there or not; it costs the worker work."""
        to, begun, loop = self.workers[name], self.queue.now, scheduler.loop
        way = self._way(scheduler, to)

        def ended(outcome: Outcome, report: dict[str, float]) -> None:
            if loop.frozen:
                loop.gate(partial(ended, outcome, report))
            elif scheduler.alive and loop is scheduler.loop:
                span = (self.queue.now - begun) // 1000 * MICROSECOND
                scheduler.core.probe_ended(name, outcome, span, report or None)

        def reached() -> None:
            if self.silent(scheduler.zone, to):
                waits = nanoseconds(scheduler.limits.connect) - way
                self.queue.after(waits, lambda: ended(Outcome.CONNECT_FAILED, {}))
            elif not to.model.alive:
                self.queue.after(way, lambda: ended(Outcome.CONNECT_FAILED, {}))
            else:
                self.recorder.probes += 1
                well = to.model.probe_answer(self.queue.now)
                to.give()
                told = {REPORT[key]: value for key, value in to.model.report(self.queue.now).items()}
                self.queue.after(way, lambda: ended(Outcome.OK if well else Outcome.ERROR, told))

        self.queue.after(way, reached)

    # --- discovery --------------------------------------------------------------------------------

    def target(self, each: Listed) -> Target:
        """An entry as the program's core takes it."""
        machine, born = each.machine, each.born_ns
        started = None if not born else (born - START) // 1_000_000 * 1000 * MICROSECOND
        return Target(
            machine.name, ("127.0.0.1", 1), machine.zone, machine.model, machine.cell, each.state, each.weight, started
        )

    def targets(self, entries: Sequence[Listed]) -> list[Target]:
        """The same for several, remembered while they are on their way to all."""
        found = self._translated.get(id(entries))
        if found is None or found[0] is not entries:
            if len(self._translated) > KEPT_LISTS:
                self._translated.pop(next(iter(self._translated)))
            found = self._translated[id(entries)] = (entries, [self.target(each) for each in entries])
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
        self.queue.after(people.STILL_COMES, partial(scheduler.drain, scheduler.starts))
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

    def _started(self, scheduler: Scheduler) -> None:
        if not scheduler.alive:
            scheduler.start()
            self.front.back(scheduler.place, self.queue.now)

    # --- a run ------------------------------------------------------------------------------------

    def play(self) -> Result:
        """The whole run, and what became of it."""
        for scheduler in self.schedulers:
            scheduler.start()
        self.arm()
        self.queue.run(lambda: self.is_over, self.end)
        return self.finish()


# The names under which the program knows the values of a load report.
REPORT = {"qps": "served_per_s", "util": "busy_share", "eps": "errors_per_s", "x0": "free_slots"}


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
    scenario: spec.Scenario, core_class: type[Core] = Core, fleet: list[worker.Machine] | None = None,
    jobs: draw.Jobs | None = None,
) -> tuple[Result, Cost]:  # fmt: skip
    """Play a scenario in simulated time: the result, the same for one seed anywhere, and what it cost."""
    noise = logging.getLogger("canvasbeam.net")
    before, collects = noise.level, gc.get_threshold()
    noise.setLevel(logging.CRITICAL)
    # A run makes millions of objects that die young; looking them through every 700 takes an eighth of its time.
    gc.set_threshold(50_000, 20, 1000)
    begun = time.perf_counter()
    try:
        world = World(scenario, core_class, fleet, jobs)
        result = world.play()
    finally:
        noise.setLevel(before)
        gc.set_threshold(*collects)
    wall = time.perf_counter() - begun
    passes = sum(each.decisions for each in world.schedulers)
    spent = sum(each.decide_ns for each in world.schedulers)
    count = max(1, len(world.jobs))
    return result, Cost(
        wall_s=round(wall, 3), us_per_job=round(wall / count * 1e6, 1),
        us_per_pass=round(spent / max(1, passes) / 1000, 1),
        pass_us={f"p{each:g}": world.passes.get_value_at_percentile(each) / 10 for each in PERCENTILES},
        passes=passes, events=world.queue.events, jobs=count,
        peak_mb=round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
    )  # fmt: skip
