"""The simulated network between schedulers and workers: connections, the bytes on them, and what is lost.

It must never let one byte of a connection overtake another, or tell a scheduler more than its sockets could.
"""

from __future__ import annotations

import random
from abc import abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from canvasbeam.dispatch.events import Outcome
from canvasbeam.scheduler.limits import MICROSECOND, Limits, nanoseconds
from canvasbeam.scheduler.request_coordinator import RequestCoordinator
from canvasbeam.scheduler.requests import Attempt
from canvasbeam.simulator.model import worker_messages
from canvasbeam.simulator.model.clients import Try
from canvasbeam.simulator.model.machine import Machine
from canvasbeam.simulator.model.request_log import What
from canvasbeam.simulator.model.units import MS
from canvasbeam.simulator.model.worker_messages import Said, Task
from canvasbeam.simulator.simulated_time import EventQueue, SimulatedLoop
from canvasbeam.simulator.simulation import EmulatedWorker, World, result_of

OUTCOMES = {
    Said.DONE: Outcome.OK,
    Said.FAILED: Outcome.ERROR,
    Said.RETURNED: Outcome.FULL,
    Said.REJECTED: Outcome.FULL,
    Said.LOST: Outcome.RESET,
    Said.BROKE: Outcome.BROKEN,
}
# The names under which the program knows the values of a load report.
REPORT = {"qps": "served_per_s", "util": "busy_share", "eps": "errors_per_s", "x0": "free_slots"}


@dataclass(slots=True, eq=False)
class Forward:
    """One attempt on its simulated connection."""

    attempt: Attempt
    scheduler: ForwardingScheduler
    worker: SimulatedWorker
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


class ForwardingCarrier(Protocol):
    """What becomes of a scheduler's connections, as far as the network tells it."""

    @property
    def idle(self) -> dict[str, list[int]]:
        """By worker: the births that idle connections belong to."""
        ...

    def ended(self, forward: Forward, outcome: Outcome, report: dict[str, float], result: bytes) -> None:
        """Note that a forward ended."""


class ForwardingScheduler(Protocol):
    """A scheduler as far as the network knows it."""

    @property
    def name(self) -> str: ...
    @property
    def zone(self) -> str: ...
    @property
    def alive(self) -> bool: ...
    @property
    def limits(self) -> Limits: ...
    @property
    def loop(self) -> SimulatedLoop: ...
    @property
    def coordinator(self) -> RequestCoordinator: ...
    @property
    def transport(self) -> ForwardingCarrier: ...
    @property
    def forwards(self) -> dict[int, Forward]: ...


class NetworkWorld(World):
    """A world in simulated time, as far as its network knows it."""

    queue: EventQueue
    network: SimulatedNetwork
    workers: dict[str, SimulatedWorker]

    @property
    @abstractmethod
    def senders(self) -> Sequence[ForwardingScheduler]:
        """The schedulers that are connected to the workers."""


class SimulatedWorker(EmulatedWorker):
    """A worker on the simulated network: the model and its connections."""

    world: NetworkWorld

    def __init__(self, world: NetworkWorld, machine: Machine, place: int) -> None:
        super().__init__(world, machine, place)
        self.world = world
        self.forwards: dict[int, Forward] = {}

    def say(self, name: tuple[int, int], said: Said, share: float) -> None:
        """Take a line of an answer."""
        forward = self.forwards.get(name[0])
        if forward is None:
            return
        report: dict[str, float] = {}
        if said.is_last:
            del self.forwards[name[0]]
            report = self.model.report(self.world.queue.now)
        self.world.network.tell(forward, said, share, report)

    def reset(self) -> None:
        """Note that the process is gone: every connection of it is reset."""
        broken, self.forwards = self.forwards, {}
        for forward in broken.values():
            self.world.network.break_off(forward)
        self.world.network.reset_others(self)

    def hush(self, on: bool) -> None:
        """Note that a machine that is heard again resets its connections; after a cut, those that missed something."""
        if not on:
            self.world.network.heard_again(self)

    def begin(self) -> None:
        """Note that a new process has started: nothing is left of the old one's connections."""

    def hung_up(self, born: int) -> None:
        """Note that a scheduler closed a connection."""
        if born == self.model.born_ns and self.model.alive:
            self.model.connections -= 1


class SimulatedNetwork:
    """What passes between the schedulers and the workers of a run, and how long it takes."""

    def __init__(self, world: NetworkWorld, queue: EventQueue, rng: random.Random) -> None:
        self._world = world
        self._queue = queue
        self._rng = rng
        self._forwards = 0

    def next_forward(self) -> int:
        """Return a number for a forward: unlike an address in memory it is never used again."""
        self._forwards += 1
        return self._forwards

    def latency(self, ms: float) -> int:
        """Return a latency of so many milliseconds, with jitter, in nanoseconds."""
        return round(ms * MS * (1 + self._world.scenario.network.jitter * self._rng.random()))

    def _way(self, scheduler: ForwardingScheduler, to: SimulatedWorker) -> int:
        """One way between a scheduler and a worker."""
        return self.latency(self._world.way_ms(scheduler.zone, to.machine))

    def connect(self, forward: Forward, ready: Callable[[Forward, int], None]) -> None:
        """Open a connection: a round trip, the handshake, and work for the worker."""
        scheduler = forward.scheduler
        way = self._way(scheduler, forward.worker)
        self._queue.after(way, partial(self._reach, forward, way, ready))
        timeout = partial(self._connect_timed_out, forward)
        self._queue.after(nanoseconds(scheduler.limits.connect), partial(scheduler.loop.gate, timeout))

    def _reach(self, forward: Forward, way: int, ready: Callable[[Forward, int], None]) -> None:
        """Come to the worker with the first packet of a connection."""
        scheduler, to = forward.scheduler, forward.worker
        if forward.over or self._world.silent(scheduler.zone, to):
            return  # the time-out ends it
        if not to.model.alive or to.model.connections >= to.machine.connections:
            self._queue.after(way, partial(scheduler.loop.gate, partial(self._connect_failed, forward)))
            return
        to.model.connections += 1
        forward.born = to.model.born_ns
        to.give(worker_messages.Connected())
        took = 2 * way * (1 + self._world.scenario.fleet.handshake_rtts)
        self._queue.after(took - way, partial(scheduler.loop.gate, partial(self._connected, forward, took, ready)))

    def _connected(self, forward: Forward, took: int, ready: Callable[[Forward, int], None]) -> None:
        """Hand over a connection that is up, or close it where nobody wants it any more."""
        if forward.over or not forward.scheduler.alive:
            forward.worker.hung_up(forward.born)
        elif not forward.came_up:
            ready(forward, took)

    def _connect_timed_out(self, forward: Forward) -> None:
        """Give up a connection that has not come up in time."""
        if not forward.came_up:
            self._connect_failed(forward)

    def _connect_failed(self, forward: Forward) -> None:
        """End an attempt whose connection failed."""
        scheduler = forward.scheduler
        if not forward.over and scheduler.alive:
            forward.over = True
            scheduler.forwards.pop(forward.number, None)
            scheduler.coordinator.attempt_ended(forward.attempt, Outcome.CONNECT_FAILED)

    def first_byte(self, forward: Forward) -> None:
        """Send the first byte of a request."""
        self._world.ledger.worked(
            forward.request, self._queue.now, What.SENT, forward.worker.name, forward.scheduler.name
        )

    def offer(self, forward: Forward) -> None:
        """Send the last byte, which comes a little later."""
        self._queue.after(self._way(forward.scheduler, forward.worker), partial(self._offered, forward))

    def _offered(self, forward: Forward) -> None:
        to, scheduler = forward.worker, forward.scheduler
        if self._world.silent(scheduler.zone, to):
            forward.broken = True
            return
        if not to.model.alive or to.model.born_ns != forward.born:
            if not forward.over:  # its connection was of a process that is gone
                self.break_off(forward)
            return
        if forward.over:
            return  # closed while it was on its way: the bytes and the end come together
        cls = self._world.scenario.classes[self._world.ledger.cls[forward.request]]
        payload = forward.attempt.request.payload
        assert isinstance(payload, Try)
        forward.arrived = True
        to.forwards[forward.number] = forward
        self._world.ledger.worked(forward.request, self._queue.now, What.OFFERED, to.name)
        self._world.recorder.offered(to.name, scheduler.zone == to.machine.zone)
        to.give(
            worker_messages.Offered(
                Task(
                    forward.ref,
                    float(payload.work_ns),
                    payload.slots,
                    cls.priority,
                    cls.effect == "safe",
                    str(payload.sid),
                    float(payload.due_ns),
                )
            )
        )

    def tell(self, forward: Forward, said: Said, share: float, report: dict[str, float]) -> None:
        """Send a worker's line on its way to the scheduler."""
        if self._world.silent(forward.scheduler.zone, forward.worker):
            if said.is_last:
                forward.broken = True  # the connection is reset once the machine is back
            return
        when = max(forward.heard_at, self._queue.now + self._way(forward.scheduler, forward.worker))
        forward.heard_at = when
        gate = forward.scheduler.loop.gate
        self._queue.at(when, partial(gate, partial(self._told, forward, said, share, report)))

    def _told(self, forward: Forward, said: Said, share: float, report: dict[str, float]) -> None:
        if forward.over or not forward.scheduler.alive:
            return
        coordinator = forward.scheduler.coordinator
        if said is Said.STARTED:
            coordinator.attempt_started(forward.attempt)
        elif said is Said.RUNNING:
            coordinator.attempt_progressed(forward.attempt, share)
        else:
            result = result_of(forward.request).encode() if said is Said.DONE else b""
            named = {REPORT[name]: value for name, value in report.items()}
            forward.scheduler.transport.ended(forward, OUTCOMES[said], named, result)

    def closed(self, forward: Forward) -> None:
        """Note that a scheduler closed a connection that was in use; the worker hears of it a little later."""
        self._queue.after(self._way(forward.scheduler, forward.worker), partial(self._heard_closed, forward))

    def _heard_closed(self, forward: Forward) -> None:
        to = forward.worker
        if self._world.silent(forward.scheduler.zone, to):
            return
        if forward.came_up:
            to.hung_up(forward.born)
        if to.forwards.pop(forward.number, None) is not None:
            to.give(worker_messages.Withdrawn(forward.ref))

    def break_off(self, forward: Forward) -> None:
        """Note that the worker's side of a connection is gone: the scheduler reads a reset, unless nothing passes."""
        if self._world.silent(forward.scheduler.zone, forward.worker):
            forward.broken = True
            return
        gate = forward.scheduler.loop.gate
        self._queue.after(self._way(forward.scheduler, forward.worker), partial(gate, partial(self._broke, forward)))

    def _broke(self, forward: Forward) -> None:
        if not forward.over and forward.scheduler.alive:
            outcome = Outcome.BROKEN if forward.written else Outcome.UNSENT
            forward.scheduler.transport.ended(forward, outcome, {}, b"")

    def reset_others(self, to: SimulatedWorker) -> None:
        """Idle connections to a dead worker end, and so do those whose request has not come whole."""
        for scheduler in self._world.senders:
            if scheduler.alive:
                scheduler.transport.idle.pop(to.name, None)
                for forward in tuple(scheduler.forwards.values()):
                    if forward.worker is to and forward.came_up and not forward.arrived:
                        self.break_off(forward)

    def heard_again(self, to: SimulatedWorker) -> None:
        """Something passes again: connections on which something was lost meanwhile are reset."""
        for scheduler in self._world.senders:
            if not scheduler.alive or self._world.silent(scheduler.zone, to):
                continue
            for forward in tuple(scheduler.forwards.values()):
                if forward.worker is to and forward.came_up and forward.broken:
                    to.forwards.pop(forward.number, None)
                    to.give(worker_messages.Withdrawn(forward.ref))
                    way = self._way(scheduler, to)
                    self._queue.after(way, partial(scheduler.loop.gate, partial(self._broke, forward)))

    def probe(self, scheduler: ForwardingScheduler, name: str) -> None:
        """Check health in a round trip, on a connection that is there or not; it costs the worker work."""
        to, begun, loop = self._world.workers[name], self._queue.now, scheduler.loop
        way = self._way(scheduler, to)

        def ended(outcome: Outcome, report: dict[str, float]) -> None:
            if loop.frozen:
                loop.gate(partial(ended, outcome, report))
            elif scheduler.alive and loop is scheduler.loop:
                span = (self._queue.now - begun) // 1000 * MICROSECOND
                scheduler.coordinator.health_check_ended(name, outcome, span, report or None)

        def reached() -> None:
            if self._world.silent(scheduler.zone, to):
                waits = nanoseconds(scheduler.limits.connect) - way
                self._queue.after(waits, lambda: ended(Outcome.CONNECT_FAILED, {}))
            elif not to.model.alive:
                self._queue.after(way, lambda: ended(Outcome.CONNECT_FAILED, {}))
            else:
                self._world.recorder.probes += 1
                well = to.model.probe_answer(self._queue.now)
                to.give()
                told = {REPORT[key]: value for key, value in to.model.report(self._queue.now).items()}
                self._queue.after(way, lambda: ended(Outcome.OK if well else Outcome.ERROR, told))

        self._queue.after(way, reached)
