"""Drawn deployments and drawn days for one dispatcher, from a seed alone: nothing is judged, all is recorded.

The draws use `random.Random` and nothing of the other tests, so that no change of theirs changes a day.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from canvasbeam import Dispatcher
from canvasbeam.dispatch.actions import (
    CancelAttempt,
    CheckHealth,
    FailRequest,
    FetchWorkerList,
    RejectRequest,
    SetTimer,
    StartAttempt,
)
from canvasbeam.dispatch.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClassesChanged,
    ClientDisconnected,
    Event,
    HealthCheckEnded,
    ListKind,
    Outcome,
    PeerMessageReceived,
    PromptEstimate,
    PromptPart,
    RequestArrived,
    StreamOpened,
    TimerFired,
    WorkerEntry,
    WorkersListed,
    WorkerState,
)
from canvasbeam.dispatch.fleet_limits import FleetLimits, RetryLimit, WarmUpLimit, WarmUpRate
from canvasbeam.dispatch.language_model.expectations import EngineCapacity, EngineExpectations
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

MS = 1_000_000
SECOND = 1_000 * MS
START = 100 * SECOND
WORK = 60 * MS
ZONES = ("east", "west", "north", "south")
KINDS = ("old", "new")
MODELS = ("small", "large")
EFFECTS = (Effect.SAFE, Effect.KEYED, Effect.UNSAFE)
SCOPES = (Scope.ALL, Scope.ZONE, Scope.CELL)
STARTED_OUTCOMES = (*[Outcome.OK] * 12, Outcome.ERROR, Outcome.RESET, Outcome.TIMED_OUT, Outcome.BROKEN)
UNSTARTED_OUTCOMES = (
    *[Outcome.OK] * 3, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.UNSENT, Outcome.MOOT,
    Outcome.RESET, Outcome.TIMED_OUT,
)  # fmt: skip
PROBE_OUTCOMES = (Outcome.OK, Outcome.OK, Outcome.TIMED_OUT, Outcome.CONNECT_FAILED, Outcome.ERROR)
STATES = (*[WorkerState.LIVE] * 5, WorkerState.DRAINING, WorkerState.GONE)
WEIGHTS = (Weights.NONE, Weights.NOMINAL, Weights.ROUGH, Weights.LIVE)
REPORTS = (ReportHow.NONE, ReportHow.ANSWERS, ReportHow.PROBES)
ORDERS = (QueueOrder.FIFO, QueueOrder.BACKFILL, QueueOrder.PRIORITY)
CROWDS = (1, 1, 2, 4, 12, 40)
MOST_OPEN = 40  # jobs at once


@dataclass(frozen=True, slots=True)
class Deployment:
    """What a dispatcher is told at its start."""

    settings: Settings
    fleet: tuple[WorkerEntry, ...]
    is_of_models: bool
    is_governed: bool


def draw_classes(chance: random.Random, kinds: tuple[str, ...], zones: tuple[str, ...]) -> tuple[RequestClass, ...]:
    """One to eight classes of jobs."""
    return tuple(
        RequestClass(
            f"c{place}", latency_target_ns=chance.randrange(100, 1_500) * MS,
            deadline_ns=chance.randrange(600, 6_000) * MS,
            value=chance.choice((0.0, 1.0, 8.0)), late_value=chance.choice((0.0, 0.3)), effect=chance.choice(EFFECTS),
            scope=chance.choice(SCOPES), window_ns=chance.choice((0, 300 * MS, SECOND, 8 * SECOND)),
            streams=chance.random() < 0.3, kind=chance.choice((None, None, None, *kinds)),
            priority=chance.randrange(4), stretch=chance.choice((0.0, 1.0, 2.5)),
            max_attempts=chance.choice((0, 0, 1, 3)), homes=chance.choice(((), (), zones[:2])),
        )
        for place in range(chance.randrange(1, 9))
    )  # fmt: skip


def draw_limits(chance: random.Random) -> DispatchLimits:
    """What the deployment permits."""
    return DispatchLimits(
        cancel=chance.random() < 0.8, probes=chance.random() < 0.8, second_copies=chance.random() < 0.5,
        retry_advice=chance.random() < 0.5, max_attempts=chance.randrange(1, 6), max_retry_advice_ns=2 * SECOND,
        connect_timeout_ns=chance.choice((50, 250, 1_500)) * MS,
        idle_connection_ns=chance.choice((0, 10 * SECOND)), max_open=chance.choice((12, 10_000)),
    )  # fmt: skip


def draw_rules(chance: random.Random) -> Rules:
    """The figures behind the rules."""
    return Rules(
        answer_slack_ns=26 * MS, drain_grace_ns=400 * MS, initial_share=chance.choice((0.2, 0.5)),
        warm_up_ns=chance.choice((0, 4, 9)) * SECOND, overload_multiple=3.0,
        overload_window_ns=chance.choice((1, 3)) * SECOND,
        list_interval_ns=chance.choice((0, SECOND)),
    )  # fmt: skip


def draw_deployment(chance: random.Random) -> Deployment:
    """All that settings can say, and a fleet of which every zone and kind has some."""
    zones = ZONES[: chance.randrange(1, 5)]
    kinds = KINDS[: chance.randrange(3)]
    dispatchers = chance.choice(CROWDS)
    is_of_models = chance.random() < 0.35
    if is_of_models:
        kinds = KINDS
    settings = Settings(
        classes=draw_classes(chance, kinds, zones), zones=zones, own_zone=chance.choice(zones), kinds=kinds,
        tenants=tuple(
            Tenant(f"t{place}", share=0.3, quota_per_s=chance.choice((0.0, 5.0, 500.0)))
            for place in range(chance.randrange(4))
        ),
        own_number=chance.randrange(dispatchers), dispatchers=dispatchers,
        quantum_ns=chance.choice((1, 2, 5)) * MS,
        discovery=chance.choice((Discovery.PUSHED, Discovery.ASKED)),
        weights=chance.choice(WEIGHTS), report_how=chance.choice(REPORTS),
        report_fields=chance.choice(((), ("free_slots",))), tells_start=chance.random() < 0.7,
        progress_ns=chance.choice((0, 300 * MS, SECOND)), queue_order=chance.choice(ORDERS),
        value_by_work=chance.random() < 0.5, over_quota_value=chance.choice((0.05, 1.0)),
        marks_repeats=chance.random() < 0.5, limits=draw_limits(chance), rules=draw_rules(chance),
        priority_first=chance.random() < 0.4, batches=is_of_models or chance.random() < 0.2,
        early_rejection_share=chance.choice((0.0, 0.0, 0.5)), max_round_robin_lead=chance.choice((0.0, 2.0)),
    )  # fmt: skip
    homes = [(zone, kind) for zone in zones for kind in kinds or ("",)]
    least = 1 if dispatchers <= 8 else 3
    fleet = tuple(
        WorkerEntry(
            f"w{place}", *homes[place % len(homes)], cell=place // 3, weight=chance.choice((0.5, 1.0, 4.0)),
            slots=chance.choice((0, 2, 8)), models=chance.choice(((), MODELS, MODELS[:1])) if is_of_models else (),
        )
        for place in range(len(homes) * chance.randrange(least, 5))
    )  # fmt: skip
    return Deployment(settings, fleet, is_of_models, chance.random() < 0.35)


@dataclass(slots=True)
class DayAttempt:
    """An attempt that is out."""

    job: str
    number: int
    worker: str
    is_started: bool = False
    is_streaming: bool = False
    is_cancelled: bool = False


@dataclass(slots=True)
class Day:
    """Feeds one dispatcher drawn events that its world could bring; what it decides is for who records its calls."""

    deployment: Deployment
    chance: random.Random
    now: int = START
    events: int = 0
    jobs: int = 0
    open_jobs: dict[str, None] = field(default_factory=dict)
    out: list[DayAttempt] = field(default_factory=list)
    sends: dict[str, int] = field(default_factory=dict)
    timers: list[tuple[int, str]] = field(default_factory=list)
    probes: list[str] = field(default_factory=list)
    fleet: dict[str, WorkerEntry] = field(default_factory=dict)
    failing: set[str] = field(default_factory=set)  # the workers that fail most jobs in this spell
    engines: EngineExpectations | None = None
    fleet_limits: FleetLimits | None = None
    dispatcher: Dispatcher = field(init=False)

    def __post_init__(self) -> None:
        settings = self.deployment.settings
        self.fleet = {worker.worker: worker for worker in self.deployment.fleet}
        if self.deployment.is_of_models:
            self.engines = EngineExpectations(settings.own_zone)
            self.engines.set_engines({kind: EngineCapacity(kv_cache_tokens=20_000) for kind in KINDS})
        if self.deployment.is_governed:
            self.fleet_limits = FleetLimits("d0", RetryLimit(0.2, 20.0), WarmUpLimit(1.5, 8.0), START - 10 * SECOND)
            names = [f"d{number}" for number in range(settings.dispatchers)]
            zones = settings.zones
            regions = {name: zones[place % len(zones)] for place, name in enumerate(names)}
            self.fleet_limits.members(self.now - SECOND, {**regions, "d0": settings.own_zone})
            self.fleet_limits.services(self.now, {kind: WarmUpRate(20.0) for kind in settings.kinds or ("",)})
        seed = self.chance.randrange(1 << 30)
        self.dispatcher = Dispatcher(settings, seed, fleet_limits=self.fleet_limits, engines=self.engines)
        self.give(WorkersListed(ListKind.WARM_COPY, tuple(self.fleet.values()), 1))

    # --- events and actions -----------------------------------------------------------------------

    def give(self, *events: Event) -> None:
        """Hand over events at the present time, and take note of the actions."""
        self.events += len(events)
        for action in self.dispatcher.handle(self.now, events):
            match action:
                case StartAttempt(job, worker):
                    number = self.sends[job] = self.sends.get(job, -1) + 1
                    self.out.append(DayAttempt(job, number, worker))
                case CancelAttempt(job, number):
                    for attempt in self.out:
                        attempt.is_cancelled |= (attempt.job, attempt.number) == (job, number)
                case RejectRequest(job) | FailRequest(job):
                    self.open_jobs.pop(job, None)
                case SetTimer(token, when):
                    self.timers.append((when, token))
                case CheckHealth(worker):
                    self.probes.append(worker)
                case FetchWorkerList():
                    self.timers.append((self.now + 20 * MS, ""))

    def pass_time(self, span: int) -> None:
        """Let time pass; due timers fire, and a list that was asked for comes."""
        end = self.now + span
        while self.timers and min(self.timers)[0] <= end:
            when, token = min(self.timers)
            self.timers.remove((when, token))
            self.now = max(self.now, when)
            self.give(TimerFired(token) if token else self._whole_list())
        self.now = end

    def run(self, steps: int) -> None:
        """So many drawn events, in spells of more and of less traffic, and then time enough for every answer."""
        for step in range(steps):
            if step % 100 == 0:
                busy = self.chance.choice((0.25, 0.4, 0.6))
                spans = self.chance.choice(((0, 0, 1), (0, 2, 5), (0, 2, 5, 30, 120)))
                self.failing = set(self.chance.sample(list(self.fleet), len(self.fleet) // 3))
            self.step(busy)
            self.pass_time(self.chance.choice(spans) * MS)
        self.pass_time(8 * SECOND)

    def step(self, busy: float) -> None:
        """One drawn event."""
        draw = self.chance.random()
        if draw < busy and len(self.open_jobs) < MOST_OPEN:
            self.give(*(self._arrival() for _ in range(self.chance.choice((1, 1, 1, 2, 5)))))
        elif draw < 0.85 and self.out:
            self._news(self.chance.choice(self.out))
        elif draw < 0.92:
            self._relist()
        elif draw < 0.94 and self.open_jobs:
            name = self.chance.choice(list(self.open_jobs))
            del self.open_jobs[name]
            self.give(ClientDisconnected(name))
        elif draw < 0.95:
            self._rare()
        elif self.probes:
            worker = self.probes.pop(0)
            outcome = self.chance.choice(PROBE_OUTCOMES)
            self.give(HealthCheckEnded(worker, outcome, self.chance.randrange(1, 40) * MS, self._report()))

    def _report(self) -> dict[str, float] | None:
        if self.chance.random() < 0.3:
            return None
        return {"free_slots": float(self.chance.randrange(5)), "queue": float(self.chance.randrange(3))}

    # --- jobs -------------------------------------------------------------------------------------

    def _arrival(self) -> RequestArrived:
        chance, settings = self.chance, self.deployment.settings
        job_class = chance.choice(settings.classes)
        name = f"j{self.jobs}"
        self.jobs += 1
        self.open_jobs[name] = None
        return RequestArrived(
            name, job_class.name, self.now + round(job_class.deadline_ns * chance.choice((1 / 6, 1.0))),
            tenant=chance.choice([tenant.name for tenant in settings.tenants] + [None]),
            key=f"k{chance.randrange(4)}", service_hint_ns=chance.choice((0, WORK, 3 * WORK)),
            slots=chance.choice((1.0, 1.0, 2.0)), repeat=chance.random() < 0.05, write=chance.random() < 0.2,
            is_returning=chance.random() < 0.05, prompt=self._prompt() if self.deployment.is_of_models else None,
        )  # fmt: skip

    def _prompt(self) -> PromptEstimate:
        chance = self.chance
        parts = (
            PromptPart(f"system {chance.randrange(3)}", 800),
            PromptPart(f"talk {chance.randrange(12)}", 300 * chance.randrange(1, 6)),
            PromptPart(f"question {self.jobs}", 50),
        )
        tokens = sum(part.tokens for part in parts)
        return PromptEstimate(tokens, chance.choice((50, 400, 2_000)), parts, chance.choice(("", *MODELS)))

    def _news(self, attempt: DayAttempt) -> None:
        chance, where = self.chance, (attempt.job, attempt.number, attempt.worker)
        if attempt.is_cancelled:
            self._end(attempt, Outcome.CANCELLED)
        elif not attempt.is_started and chance.random() < 0.7:
            attempt.is_started = True
            if self.deployment.settings.tells_start:
                self.give(AttemptStarted(*where))
        elif attempt.is_started and chance.random() < 0.25:
            self.give(AttemptProgressed(*where, done=chance.random()))
        elif attempt.is_started and not attempt.is_streaming and chance.random() < 0.2:
            attempt.is_streaming = True
            self.open_jobs.pop(attempt.job, None)
            self.give(StreamOpened(*where, elapsed_ns=chance.randrange(1, 90) * MS))
            if self.engines is not None:
                self.engines.note_event_gap(self.now, attempt.worker, chance.randrange(5, 40) * MS)
        else:
            if attempt.worker in self.failing and chance.random() < 0.8:
                self._end(attempt, Outcome.ERROR)
                return
            self._end(attempt, chance.choice(STARTED_OUTCOMES if attempt.is_started else UNSTARTED_OUTCOMES))

    def _end(self, attempt: DayAttempt, outcome: Outcome) -> None:
        self.out.remove(attempt)
        if outcome is Outcome.OK:
            self.open_jobs.pop(attempt.job, None)
        is_final = attempt.job not in self.open_jobs
        took = self.chance.randrange(1, 200) * MS
        where = (attempt.job, attempt.number, attempt.worker)
        self.give(AttemptEnded(*where, outcome, took, final=is_final, report=self._report()))

    # --- workers ----------------------------------------------------------------------------------

    def _whole_list(self) -> WorkersListed:
        listed = tuple(worker for worker in self.fleet.values() if worker.state is not WorkerState.GONE)
        return WorkersListed(ListKind.COMPLETE, listed, self.events)

    def _relist(self) -> None:
        chance = self.chance
        name = chance.choice(list(self.fleet))
        old = self.fleet[name]
        is_new = chance.random() < 0.3
        new = replace(
            old, state=chance.choice(STATES), weight=chance.choice((0.0, 0.3, 1.0, 4.0)),
            started_ns=self.now if is_new else old.started_ns,
            cold_until_ns=self.now + 3 * SECOND if is_new else old.cold_until_ns,
        )  # fmt: skip
        self.fleet[name] = new
        if new.state is WorkerState.GONE:
            self.give(self._whole_list())
        else:
            self.give(WorkersListed(ListKind.CHANGES, (new,), self.events))

    def _rare(self) -> None:
        chance, settings = self.chance, self.deployment.settings
        which = chance.randrange(5)
        if which == 0:
            self.give(WorkersListed(ListKind.LOST))
        elif which == 1:
            classes = tuple(
                replace(request_class, latency_target_ns=request_class.latency_target_ns + chance.randrange(50) * MS)
                for request_class in settings.classes
            )
            self.give(ClassesChanged(classes, settings.kinds))
        elif which == 2:
            self.give(PeerMessageReceived(1, b"hello"))
        elif which == 3:
            if self.engines is not None:
                self.engines.note_remote_timeout(self.now, chance.choice(list(self.fleet)))
        elif self.engines is not None:
            self.engines.note_remote_attempt(self.now, chance.choice(list(self.fleet)), self._prompt(), 20.0 * MS)
