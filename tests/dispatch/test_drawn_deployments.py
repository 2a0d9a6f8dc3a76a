"""Tests of randomly drawn deployments: each keeps the rules of `test_rules_property.py` and serves a light load."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import fields, replace
from functools import partial
from heapq import heappop, heappush

import pytest
from hypothesis import Phase, given
from hypothesis import settings as profile
from hypothesis import strategies as st

from canvasbeam import Dispatcher
from canvasbeam.dispatch.actions import CheckHealth, FailRequest, RejectRequest, SetTimer, StartAttempt
from canvasbeam.dispatch.events import (
    AttemptEnded,
    AttemptStarted,
    Event,
    HealthCheckEnded,
    ListKind,
    Outcome,
    RequestArrived,
    TimerFired,
    WorkerEntry,
    WorkersListed,
)
from canvasbeam.dispatch.settings import (
    Discovery,
    DispatchLimits,
    Effect,
    QueueOrder,
    ReportHow,
    RequestClass,
    Rules,
    Scope,
    Settings,
    Tenant,
    Weights,
)
from canvasbeam.scheduler.limits import Limits
from tests.dispatch.test_rules_property import RuleBrokenError, RuleChecker, is_large_fleet, run_events
from tests.support.helpers import MS, SECOND, START
from tests.support.loopback import Peer, Server, World, complete, done, job
from tests.support.planted_faults import AnswersTwice, RetriesAll

ZONES = ("east", "west", "north", "south")
KINDS = ("old", "new")
Deployment = tuple[Settings, tuple[WorkerEntry, ...]]


@st.composite
def classes(draw: st.DrawFn, kinds: tuple[str, ...]) -> tuple[RequestClass, ...]:
    """Draw one to four request classes; their requests run for 60 ms."""
    return tuple(
        RequestClass(
            f"c{place}",
            latency_target_ns=draw(st.integers(100, 1_500)) * MS,
            deadline_ns=draw(st.integers(1_000, 20_000)) * MS,
            value=draw(st.sampled_from([0.0, 1.0, 8.0])),
            late_value=draw(st.sampled_from([0.0, 0.3])),
            effect=draw(st.sampled_from(Effect)),
            scope=draw(st.sampled_from(Scope)),
            window_ns=draw(st.sampled_from([0, 300 * MS, SECOND, 8 * SECOND])),
            kind=draw(st.sampled_from([None, None, None, *kinds])),
            priority=draw(st.integers(0, 1)),
            stretch=draw(st.sampled_from([0.0, 1.0, 2.5])),
        )
        for place in range(draw(st.integers(1, 4)))
    )


@st.composite
def deployments(draw: st.DrawFn) -> Deployment:
    """Draw settings over their whole range, and a fleet with workers of every kind in every zone."""
    zones = ZONES[: draw(st.integers(1, 4))]
    kinds = KINDS[: draw(st.integers(0, 2))]
    dispatchers = draw(st.integers(1, 40))
    settings = Settings(
        classes=draw(classes(kinds)), zones=zones, own_zone=draw(st.sampled_from(zones)), kinds=kinds,
        tenants=tuple(
            Tenant(f"t{place}", share=0.3, quota_per_s=draw(st.sampled_from([0.0, 5.0, 500.0])))
            for place in range(draw(st.integers(0, 3)))
        ),
        own_number=draw(st.integers(0, dispatchers - 1)), dispatchers=dispatchers,
        quantum_ns=draw(st.sampled_from([1, 2, 5])) * MS, discovery=draw(st.sampled_from(Discovery)),
        weights=draw(st.sampled_from(Weights)), report_how=draw(st.sampled_from(ReportHow)),
        tells_start=draw(st.booleans()), progress_ns=draw(st.sampled_from([0, 500 * MS, 2 * SECOND])),
        queue_order=draw(st.sampled_from(QueueOrder)), value_by_work=draw(st.booleans()),
        over_quota_value=draw(st.sampled_from([0.05, 1.0])), marks_repeats=draw(st.booleans()),
        limits=DispatchLimits(
            cancel=draw(st.booleans()), probes=draw(st.booleans()), second_copies=draw(st.booleans()),
            retry_advice=draw(st.booleans()), max_attempts=draw(st.integers(1, 5)), max_retry_advice_ns=2 * SECOND,
            connect_timeout_ns=draw(st.sampled_from([50, 250, 1_500])) * MS,
            idle_connection_ns=draw(st.sampled_from([0, 10 * SECOND])),
        ),
        rules=Rules(
            answer_slack_ns=26 * MS, drain_grace_ns=400 * MS, initial_share=draw(st.sampled_from([0.2, 0.5])),
            warm_up_ns=draw(st.sampled_from([0, 4, 9])) * SECOND, overload_multiple=3.0,
            overload_window_ns=draw(st.sampled_from([1, 3])) * SECOND,
        ),
    )  # fmt: skip
    zones_and_kinds = [(zone, kind) for zone in zones for kind in kinds or ("",)]
    fleet = tuple(
        WorkerEntry(f"w{place}", *zones_and_kinds[place % len(zones_and_kinds)], cell=place // 3)
        for place in range(len(zones_and_kinds) * draw(st.integers(1 if dispatchers <= 8 else 3, 4)))
    )
    return settings, fleet


# The shrinking phase is left out: it takes minutes, and the settings of a failing example already show the cause.
PROFILE = profile(
    max_examples=60, deadline=None, derandomize=True, database=None, phases=(Phase.explicit, Phase.generate)
)  # fmt: skip


@PROFILE
@given(deployments(), st.integers(0, 10**6), st.booleans())
def test_rules_hold_on_drawn_deployments(drawn: Deployment, seed: int, is_dense: bool) -> None:
    settings, fleet = drawn
    run_events(RuleChecker(Dispatcher, random.Random(seed), settings, fleet, is_dense), steps=80)


@pytest.mark.parametrize(("kind", "broken"), [(AnswersTwice, "1: "), (RetriesAll, "2: ")])
def test_drawn_deployments_reveal_a_faulty_dispatcher(kind: type[Dispatcher], broken: str) -> None:
    @PROFILE
    @given(deployments(), st.integers(0, 10**6))
    def search(drawn: Deployment, seed: int) -> None:
        run_events(RuleChecker(kind, random.Random(seed), *drawn, is_dense=False), steps=80)

    with pytest.raises((RuleBrokenError, ExceptionGroup)) as found:
        search()
    error = found.value
    seen = [str(exception) for exception in error.exceptions] if isinstance(error, ExceptionGroup) else [str(error)]
    assert any(text.startswith(broken) for text in seen), seen


class LightLoad:
    """Simulates one dispatcher and fault-free workers of two slots each, loaded to a third of their capacity."""

    SERVICE_NS = 60 * MS
    SLOTS = 2
    ONE_WAY_NS = 200_000

    def __init__(self, settings: Settings, fleet: tuple[WorkerEntry, ...], seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.dispatcher = Dispatcher(settings, seed)
        self.now, self._order = START, 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self.running = {worker.worker: 0 for worker in fleet}
        self.queues: dict[str, deque[tuple[str, int]]] = {worker.worker: deque() for worker in fleet}
        self.last_attempts: dict[str, int] = {}
        self.arrived_at: dict[str, int] = {}
        self.latencies_ns: dict[str, int] = {}
        self.rejected: set[str] = set()
        self.give(WorkersListed(ListKind.COMPLETE, fleet, 1))
        # Some classes run on one kind of worker only, so the load is a third of one kind's capacity. In a large fleet
        # this dispatcher gets only its own share of the load, because it allows for the requests of the others.
        rate = 0.33 * len(fleet) * self.SLOTS / max(1, len(settings.kinds)) / (self.SERVICE_NS / SECOND)
        sharing_dispatchers = settings.dispatchers if is_large_fleet(settings, fleet) else 1
        rate /= sharing_dispatchers
        when, self.arrivals_end = START + SECOND, START + (5 * sharing_dispatchers + 1) * SECOND
        while when < self.arrivals_end:
            self.at(when, self.arrive)
            when += round(self.rng.expovariate(rate) * SECOND)

    def at(self, when: int, action: Callable[[], None]) -> None:
        self._order += 1
        heappush(self._events, (when, self._order, action))

    def run(self) -> None:
        while self._events and self._events[0][0] <= self.arrivals_end + 20 * SECOND:
            self.now, _, action = heappop(self._events)
            action()

    def give(self, event: Event) -> None:
        for action in self.dispatcher.handle(self.now, (event,)):
            match action:
                case StartAttempt(job, worker):
                    number = self.last_attempts[job] = self.last_attempts.get(job, -1) + 1
                    self.at(self.now + self.ONE_WAY_NS, partial(self.queue, job, number, worker))
                case RejectRequest(job) | FailRequest(job):
                    self.rejected.add(job)
                case SetTimer(token, when):
                    self.at(max(self.now, when), partial(self.give, TimerFired(token)))
                case CheckHealth(worker):
                    self.at(self.now + 2 * self.ONE_WAY_NS, partial(self.give, HealthCheckEnded(worker, Outcome.OK)))

    def arrive(self) -> None:
        cls = self.rng.choice(self.settings.classes)
        name = f"j{len(self.arrived_at)}"
        self.arrived_at[name] = self.now
        self.give(RequestArrived(name, cls.name, self.now + cls.deadline_ns, key=f"k{self.rng.randrange(50)}"))

    def queue(self, job: str, number: int, worker: str) -> None:
        self.queues[worker].append((job, number))
        self.start_next(worker)

    def start_next(self, worker: str) -> None:
        while self.running[worker] < self.SLOTS and self.queues[worker]:
            job, number = self.queues[worker].popleft()
            self.running[worker] += 1
            if self.settings.tells_start:
                self.at(self.now + self.ONE_WAY_NS, partial(self.give, AttemptStarted(job, number, worker)))
            self.at(self.now + self.SERVICE_NS, partial(self.end, job, number, worker))

    def end(self, job: str, number: int, worker: str) -> None:
        self.running[worker] -= 1
        self.start_next(worker)

        def report_end() -> None:
            self.latencies_ns.setdefault(job, self.now - self.arrived_at[job])
            self.give(AttemptEnded(job, number, worker, Outcome.OK, final=True))

        self.at(self.now + self.ONE_WAY_NS, report_end)


def check_light_load(settings: Settings, fleet: tuple[WorkerEntry, ...], seed: int) -> None:
    """Check that every request is served, and nine in ten in time where starts are reported.

    Without reported starts the dispatcher cannot tell a queued request from a long one.
    """
    simulation = LightLoad(settings, fleet, seed)
    simulation.run()
    assert not simulation.rejected
    assert set(simulation.latencies_ns) == set(simulation.arrived_at)
    in_time = sum(latency_ns <= 2.5 * LightLoad.SERVICE_NS for latency_ns in simulation.latencies_ns.values())
    assert in_time >= 0.9 * len(simulation.arrived_at) or not settings.tells_start, (
        in_time,
        len(simulation.arrived_at),
    )


@PROFILE
@given(deployments(), st.integers(0, 10**6))
def test_light_load_is_served_on_drawn_deployments(drawn: Deployment, seed: int) -> None:
    check_light_load(*drawn, seed)


# --- the scheduler over sockets -------------------------------------------------------------------


@profile(max_examples=25, deadline=None, derandomize=True, database=None, phases=(Phase.explicit, Phase.generate))
@given(deployments(), st.integers(1, 3))
def test_light_load_is_served_over_sockets_on_drawn_deployments(drawn: Deployment, targets: int) -> None:
    """Guards against lost requests in the complete scheduler, whose buffers are sized by the settings.

    Each client gets the result of its own request, and a planned shutdown loses no request.
    """
    settings = replace(
        drawn[0], kinds=(), classes=tuple(replace(request_class, kind=None) for request_class in drawn[0].classes)
    )
    changes = {field.name: getattr(settings, field.name) for field in fields(settings) if field.name != "limits"}
    world = World(
        *(Server() for _ in range(targets)), limits=Limits.of(settings, 512, 88), allowed=settings.limits, **changes
    )  # fmt: skip
    dispatcher, answered = world.coordinator.decisions.dispatcher, set()

    def serve() -> None:
        for server in world.servers:
            for peer in server.look():
                for part in peer.got.split(b"X-Call-Id: ")[1:]:
                    name = part.partition(b"\r\n")[0].decode()
                    if name not in answered and b"BODY" in part:
                        answered.add(name)
                        peer.say(done(f"r-{name}", name))

    clients = []
    for number, request_class in enumerate(settings.classes * 2):
        if number == len(settings.classes):
            # The second half of the requests arrives during the planned shutdown, before the deadline of any class.
            world.listener.drain()
        client = world.client(
            job(request_class.name, call_id=f"c{number}", budget=f"{request_class.deadline_ns / SECOND:.3f}")
        )
        clients.append(client)

        def is_answered(client: Peer = client) -> bool:
            serve()
            return complete(client.look()) == 1

        world.until(is_answered)
        status = client.got.split()[1]
        assert status == b"200" or (status == b"503" and number >= len(settings.classes))
        assert status == b"503" or client.got.endswith(f"r-c{number}".encode())
    # An exception in the dispatcher would have replaced the dispatcher by a new one.
    assert world.coordinator.decisions.dispatcher is dispatcher
    for each_peer in clients:
        each_peer.close()
    world.loop.close()
    for server in world.servers:
        server.sock.close()
