"""One scheduler of a simulated run: the program's core on a simulated loop, and the carrier in place of its sockets."""

from __future__ import annotations

import time
from abc import abstractmethod
from collections.abc import Callable, Sequence
from functools import partial

from hdrh.histogram import HdrHistogram

from canvasbeam.dispatch.events import ListKind, Outcome
from canvasbeam.dispatch.settings import Effect
from canvasbeam.scheduler.limits import MICROSECOND, Limits, nanoseconds
from canvasbeam.scheduler.request_coordinator import RequestCoordinator
from canvasbeam.scheduler.requests import Answer, Attempt, FinalAnswer, Request, ShuttingDownError
from canvasbeam.scheduler.worker_table import ListedWorker
from canvasbeam.simulator import deployment
from canvasbeam.simulator.model import faults
from canvasbeam.simulator.model.clients import Try
from canvasbeam.simulator.model.registry import Listed
from canvasbeam.simulator.model.units import MS
from canvasbeam.simulator.peers_sim import Embedded
from canvasbeam.simulator.simulated_network import Forward, NetworkWorld
from canvasbeam.simulator.simulated_time import START, SimulatedLoop
from canvasbeam.simulator.simulation import result_of


class SchedulerWorld(NetworkWorld):
    """A world in simulated time, as far as its schedulers know it."""

    core_class: type[RequestCoordinator]
    passes: HdrHistogram  # what a pass of the core takes, in tenths of a microsecond
    peers: Embedded | None  # the schedulers' knowledge of each other, where they have any

    @abstractmethod
    def after_client(self, action: Callable[[], None]) -> None:
        """Do this one way between client and scheduler later."""

    @abstractmethod
    def targets(self, entries: Sequence[Listed]) -> list[ListedWorker]:
        """Entries of discovery's as the program's core takes them."""


class SimulatedTransport:
    """Forwards and probes of one scheduler over the simulated network."""

    def __init__(self, scheduler: SimulatedScheduler) -> None:
        self.scheduler = scheduler
        self.idle: dict[str, list[int]] = {}  # by worker: the births that idle connections belong to

    def send(self, attempt: Attempt, worker: ListedWorker) -> None:
        """Start a forward."""
        scheduler = self.scheduler
        to = scheduler.world.workers[worker.name]
        payload = attempt.request.payload
        assert isinstance(payload, Try)
        forward = Forward(attempt, scheduler, to, payload.request, scheduler.world.network.next_forward())
        attempt.transport = forward
        scheduler.forwards[forward.number] = forward
        kept = self.idle.get(worker.name)
        if kept:
            born = kept.pop()
            forward.came_up, forward.born = True, born
            self._begin(forward, 0)
        else:
            scheduler.world.network.connect(forward, self._begin)

    def _begin(self, forward: Forward, took: int) -> None:
        """Write on a connection that is up, but for the last byte of what must not run twice."""
        coordinator, attempt = self.scheduler.coordinator, forward.attempt
        if forward.over or attempt.outcome is not None:
            return
        forward.came_up = True
        if not coordinator.may_send(attempt):
            forward.over = True
            self.scheduler.forwards.pop(forward.number, None)
            coordinator.attempt_ended(attempt, Outcome.MOOT)
            return
        coordinator.attempt_written(attempt)
        world = self.scheduler.world
        world.network.first_byte(forward)
        if attempt.effect is Effect.SAFE:
            self._last_byte(forward)
            return
        limits = self.scheduler.limits
        span = min(max(nanoseconds(limits.proof), 2 * took), nanoseconds(limits.longest_proof))
        world.queue.after(span, partial(self.scheduler.loop.gate, partial(self._last_byte, forward)))

    def _last_byte(self, forward: Forward) -> None:
        if not forward.over and forward.attempt.outcome is None:
            forward.written = True
            self.scheduler.world.network.offer(forward)

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Stop a forward by closing its connection."""
        forward = attempt.transport
        if not isinstance(forward, Forward):
            return attempt.written is not None
        if not forward.over:
            forward.over = True
            self.scheduler.forwards.pop(forward.number, None)
            self.scheduler.world.network.closed(forward)
        return forward.written

    def check_health(self, worker: ListedWorker) -> None:
        """Ask a worker for its load report."""
        self.scheduler.world.network.probe(self.scheduler, worker.name)

    def close_idle(self, target: str) -> None:
        """Close the idle connections to a worker."""
        kept = self.idle.pop(target, [])
        world = self.scheduler.world
        to = world.workers[target]
        if kept and to.model.born_ns == kept[-1]:
            to.model.connections -= sum(connection == to.model.born_ns for connection in kept)

    def ended(self, forward: Forward, outcome: Outcome, report: dict[str, float], result: bytes) -> None:
        """Note that a forward ended; its connection stays where its answer was whole."""
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
        self.scheduler.coordinator.attempt_ended(forward.attempt, outcome, report or None, result)


class SimulatedScheduler:
    """One scheduler: the program's core on a simulated loop. It may die and begin again from nothing."""

    def __init__(self, world: SchedulerWorld, place: int) -> None:
        self.world = world
        self.place = place
        self.name = faults.scheduler_name(place)
        self.zone = deployment.zone_of(world.scenario, place)
        self.settings = deployment.settings(world.scenario, world.machines, place)
        self.limits: Limits = deployment.limits(world.scenario, self.settings)
        self.starts = 0
        self.alive = False
        self.draining = False
        self.known: dict[str, ListedWorker] = {}
        self.forwards: dict[int, Forward] = {}
        self.tries: dict[int, Try] = {}
        self.decide_ns = 0
        self.decisions = 0

    def start(self) -> None:
        """Begin from nothing but the list as last held."""
        world = self.world
        self.loop = SimulatedLoop(world.queue, round(world.scenario.schedulers.pass_ms * MS))
        seed = deployment.seed_of(world.chance, self.place, self.starts)
        born = START // 1000 * MICROSECOND
        self.coordinator = world.core_class(self.loop, self.settings, self.limits, seed, born)  # type: ignore[arg-type]
        self.transport = SimulatedTransport(self)
        self.coordinator.transport = self.transport
        self.loop.end_of_pass = self._pass
        self.starts += 1
        self.alive, self.draining = True, False
        if world.peers is not None:
            clocks = world.scenario.schedulers.clock_s
            world.peers.start(self.name, clocks[self.place] if self.place < len(clocks) else 0.0)
        if self.starts > 1 and self.known:
            self.coordinator.listed(ListKind.WARM_COPY, list(self.known.values()), 1)
            world.queue.after(20 * MS, partial(self._whole, self.loop))
        else:
            self.heard(ListKind.COMPLETE, world.registry.whole())

    def _whole(self, loop: SimulatedLoop) -> None:
        if loop is self.loop and self.alive and not self.world.registry.is_stale:
            self.heard(ListKind.COMPLETE, self.world.registry.whole())

    def _pass(self) -> None:
        begun = time.perf_counter_ns()
        self.coordinator.end_of_pass()
        took = time.perf_counter_ns() - begun
        self.decide_ns += took
        self.decisions += 1
        self.world.passes.record_value(max(1, took // 100))
        if self.draining and not self.coordinator.open_requests:
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
        for target in targets:
            self.known[target.name] = target
        self.coordinator.listed(kind, targets, 1)

    def begin_shutdown(self) -> None:
        """SIGTERM: what cannot be answered in time is refused, and all is answered before the kill."""
        self.loop.gate(self.coordinator.begin_shutdown)
        if self.world.peers is not None:
            self.world.peers.leave(self.name)
        self.world.queue.after(nanoseconds(self.limits.leave), partial(self.leave, self.starts))

    def leave(self, starts: int) -> None:
        """Note that the process of that start is gone, by itself or killed."""
        if starts == self.starts:
            self.stop()

    def drain(self, starts: int) -> None:
        """No more comes to the process of that start: it ends with its last answer."""
        if starts != self.starts:
            return
        self.draining = True
        if not self.coordinator.open_requests:
            self.stop()

    def stop(self) -> None:
        """Note that the process ends: what is open is lost."""
        if not self.alive:
            return
        self.alive = False
        self.loop.stopped = True
        if self.world.peers is not None:
            self.world.peers.kill(self.name)
        for forward in tuple(self.forwards.values()):
            forward.over = True
            self.world.network.closed(forward)
        self.forwards.clear()
        for name in tuple(self.transport.idle):
            self.transport.close_idle(name)
        lost, self.tries = self.tries, {}
        for item in lost.values():
            self.world.after_client(partial(self.world.clients.lost, item))

    # --- requests ---------------------------------------------------------------------------------

    def submit(self, attempt: Try) -> None:
        """Note that a client's request has come."""
        if not self.alive:
            self.world.after_client(partial(self.world.clients.lost, attempt))
            return
        if self.loop.frozen:
            self.loop.gate(partial(self.submit, attempt))
            return
        world = self.world
        cls = world.scenario.classes[attempt.cls]
        departments = world.scenario.departments
        request = Request(
            identity=str(attempt.request),
            request_class=cls.name,
            due=(attempt.due_ns - START) // 1000 * MICROSECOND,
            payload=attempt,
            answer=partial(self._answered, attempt),
            tenant=departments[attempt.department].name if departments else None,
            key=str(attempt.sid),
            slots=float(attempt.slots),
            repeat=attempt.marked,
            service_hint=attempt.hint_ns // 1000 * MICROSECOND,
        )
        self.tries[attempt.request] = attempt
        attempt.core_request = request
        try:
            self.coordinator.submit(request)
        except ShuttingDownError:  # refused at once, as the program's listener does
            self._answered(attempt, FinalAnswer(Answer.REFUSED, retry_after=self.limits.shutdown_retry_after))

    def left(self, attempt: Try) -> None:
        """Note that the client closed its connection."""
        if self.alive and self.loop.frozen:
            self.loop.gate(partial(self.left, attempt))
        elif self.tries.pop(attempt.request, None) is not None and self.alive:
            assert isinstance(attempt.core_request, Request)
            self.coordinator.client_disconnected(attempt.core_request)

    def _answered(self, attempt: Try, answer: FinalAnswer) -> None:
        self.tries.pop(attempt.request, None)
        own = answer.kind is not Answer.SERVED or answer.result == result_of(attempt.request).encode()
        self.world.after_client(
            partial(self.world.clients.answered, attempt, answer.kind, nanoseconds(answer.retry_after), own)
        )
