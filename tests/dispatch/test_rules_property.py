"""Property tests of the dispatcher's four rules on random valid event sequences.

1. Each request has exactly one final answer, before its deadline.
2. A request that may have run is sent again only as its class permits.
3. Draining and gone workers receive no requests.
4. No dispatcher sends a cold worker more than its share of the worker's budget.

The checker judges the dispatcher's actions alone and reads none of its state. Dispatchers with planted faults show that
the checker detects a violation of each rule.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from canvasbeam import Dispatcher
from canvasbeam.dispatch.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
)
from canvasbeam.dispatch.endpoint_set import LARGE_FLEET_DISPATCHERS_PER_WORKER, LARGE_FLEET_MIN_DISPATCHERS
from canvasbeam.dispatch.events import (
    AttemptEnded,
    AttemptStarted,
    ClientDisconnected,
    Event,
    HealthCheckEnded,
    ListKind,
    Outcome,
    RequestArrived,
    TimerFired,
    WorkerEntry,
    WorkersListed,
    WorkerState,
)
from canvasbeam.dispatch.settings import DispatchLimits, Effect, RequestClass, Rules, Scope, Settings
from canvasbeam.dispatch.slow_start import OWN_ZONE_FRACTION
from tests.support.helpers import MS, SECOND, START, settings
from tests.support.planted_faults import (
    AnswersTwice,
    ForgetsGroups,
    ForgetsWindows,
    IgnoresDrains,
    IgnoresSlowStart,
    NeverGivesUp,
    RetriesAll,
)

NEVER_RAN = {Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT}
WORK = 60 * MS
CLASSES = tuple(
    RequestClass(
        f"c{place}", latency_target_ns=200 * MS, deadline_ns=3 * SECOND, stretch=2.0, late_value=0.3 * (place % 2),
        effect=effect, scope=scope, window_ns=SECOND,
    )
    for place, (effect, scope) in enumerate(
        [
            (Effect.SAFE, Scope.ALL), (Effect.KEYED, Scope.ALL), (Effect.KEYED, Scope.ZONE),
            (Effect.KEYED, Scope.CELL), (Effect.UNSAFE, Scope.ALL),
        ]
    )
)  # fmt: skip


def is_large_fleet(dispatch_settings: Settings, fleet: Iterable[WorkerEntry]) -> bool:
    """Return True if a zone has so many dispatchers that each uses a worker too rarely to learn its limits."""
    own_zone_workers = sum(worker.zone == dispatch_settings.own_zone for worker in fleet)
    return dispatch_settings.dispatchers / len(dispatch_settings.zones) >= max(
        LARGE_FLEET_MIN_DISPATCHERS, LARGE_FLEET_DISPATCHERS_PER_WORKER * own_zone_workers
    )


class RuleBrokenError(AssertionError):
    pass


def require(is_kept: bool, text: str) -> None:
    if not is_kept:
        raise RuleBrokenError(text)


@dataclass
class SentAttempt:
    worker: WorkerEntry
    at: int
    outcome: Outcome | None = None
    started: bool = False
    cancelled: bool = False

    def may_have_run(self) -> bool:
        return self.outcome not in NEVER_RAN


@dataclass
class AcceptedRequest:
    cls: RequestClass
    due: int
    ended: bool = False
    sent: list[SentAttempt] = field(default_factory=list)


class RuleChecker:
    """Sends random valid events to one dispatcher and checks its actions against the rules."""

    def __init__(
        self, kind: type[Dispatcher], rng: random.Random, dispatch_settings: Settings,
        fleet: tuple[WorkerEntry, ...], is_dense: bool,
    ) -> None:  # fmt: skip
        self.rng, self.now = rng, START
        self.is_dense = is_dense  # dense traffic and many restarts, which overload cold workers
        self.settings = dispatch_settings
        self.dispatcher = kind(dispatch_settings, 3)
        self.fleet = {worker.worker: worker for worker in fleet}
        self.jobs: dict[str, AcceptedRequest] = {}
        self.timers: list[tuple[int, str]] = []
        self.probes: list[str] = []
        self.max_concurrency = 1
        self.feed(WorkersListed(ListKind.WARM_COPY, tuple(self.fleet.values())))

    def feed(self, event: Event) -> None:
        for action in self.dispatcher.handle(self.now, [event]):
            self.check_action(action)

    def check_action(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self.check_send(action)
            case RejectRequest(name):
                job = self.jobs[name]
                may_have_run = any(sent.may_have_run() for sent in job.sent)
                is_safe = job.cls.effect is Effect.SAFE
                is_deduplicated = job.cls.effect is Effect.KEYED and job.cls.scope is Scope.ALL
                require(
                    not may_have_run or is_safe or is_deduplicated,
                    "2: request rejected as safe to retry although it may have run",
                )
                self.end(job)
            case FailRequest(name):
                self.end(self.jobs[name])
            case CancelAttempt(name, attempt):
                self.jobs[name].sent[attempt].cancelled = True
            case SetTimer(token, when):
                self.timers.append((when, token))
            case CheckHealth(worker):
                self.probes.append(worker)

    def end(self, job: AcceptedRequest) -> None:
        require(not job.ended, "1: request has two final answers")
        require(self.now <= job.due + self.settings.rules.answer_slack_ns, "1: request answered after its deadline")
        job.ended = True

    def check_send(self, action: StartAttempt) -> None:
        job, worker = self.jobs[action.request_id], self.fleet[action.worker]
        require(not job.ended, "1: request sent after its final answer")
        require(worker.state is WorkerState.LIVE, "3: request sent to a draining or gone worker")
        require(len(job.sent) < self.settings.limits.max_attempts, "request has more attempts than the limits allow")
        in_flight = [sent for sent in job.sent if sent.outcome is None]
        require(self.settings.limits.second_copies or not in_flight, "2: request has two attempts in flight")
        may_have_run = [sent for sent in job.sent if sent.may_have_run()]
        if may_have_run and job.cls.effect is not Effect.SAFE:
            require(job.cls.effect is Effect.KEYED, "2: unsafe request sent again although it may have run")
            require(
                self.now <= may_have_run[0].at + job.cls.window_ns, "2: keyed request sent again after its retry window"
            )
            for attempt in may_have_run:
                is_same_group = {
                    Scope.ALL: True,
                    Scope.ZONE: attempt.worker.zone == worker.zone,
                    Scope.CELL: attempt.worker.cell == worker.cell,
                }
                require(is_same_group[job.cls.scope], "2: keyed request sent again outside its group of workers")
        job.sent.append(SentAttempt(worker, self.now))
        self.check_slow_start(worker)

    def check_slow_start(self, worker: WorkerEntry) -> None:
        rules = self.settings.rules
        age = self.now - worker.started_ns
        at_worker = [sent for job in self.jobs.values() for sent in job.sent if sent.worker.worker == worker.worker]
        if worker.started_ns == 0 or age >= rules.warm_up_ns:
            in_flight = sum(attempt.outcome is None for attempt in at_worker)
            self.max_concurrency = max(self.max_concurrency, in_flight)
            return
        window_start = max(worker.started_ns, self.now - rules.overload_window_ns + 1)
        work = WORK * sum(attempt.at >= window_start for attempt in at_worker)
        share = rules.initial_share + (1 - rules.initial_share) * age / rules.warm_up_ns
        fleet_budget = rules.overload_multiple * share * self.max_concurrency * rules.overload_window_ns
        # Where a share is less than one request, schedulers send one request each in turn: never two in a window.
        require(
            work <= max(fleet_budget * self.budget_fraction(worker), WORK),
            "4: cold worker received more than this scheduler's share",
        )

    def budget_fraction(self, worker: WorkerEntry) -> float:
        """Return this scheduler's fraction of a cold worker's budget.

        All schedulers have equal fractions, but in a large fleet the worker's own zone has 3/4 of the budget.
        """
        dispatch_settings, zones = self.settings, len(self.settings.zones)
        if zones < 2 or not is_large_fleet(dispatch_settings, self.fleet.values()):
            return 1 / dispatch_settings.dispatchers
        if worker.zone == dispatch_settings.own_zone:
            return OWN_ZONE_FRACTION * zones / dispatch_settings.dispatchers
        return (1 - OWN_ZONE_FRACTION) / (dispatch_settings.dispatchers - dispatch_settings.dispatchers / zones)

    def step(self) -> None:
        """Send one random valid event, then let some time pass."""
        chance = self.rng.random()
        in_flight = [
            (name, number, sent)
            for name, job in self.jobs.items()
            for number, sent in enumerate(job.sent)
            if sent.outcome is None
        ]
        if chance < 0.35:
            self.arrive()
        elif chance < (0.70 if self.is_dense else 0.75) and in_flight:
            self.advance_attempt(*self.rng.choice(in_flight))
        elif chance < 0.80:
            self.list_worker()
        elif chance < 0.82:
            open_jobs = [name for name, job in self.jobs.items() if not job.ended]
            if open_jobs:
                name = self.rng.choice(open_jobs)
                self.jobs[name].ended = True
                self.feed(ClientDisconnected(name))
        elif self.probes:
            outcome = self.rng.choice([Outcome.OK, Outcome.TIMED_OUT])
            self.feed(HealthCheckEnded(self.probes.pop(0), outcome))
        self.pass_time(self.rng.choice([0, 2, 5] if self.is_dense else [0, 2, 5, 30, 120]) * MS)

    def arrive(self) -> None:
        cls = self.rng.choice(self.settings.classes)
        time_left_ns = round(cls.deadline_ns * self.rng.choice([1 / 6, 1.0]))
        name = f"j{len(self.jobs)}"
        self.jobs[name] = AcceptedRequest(cls, self.now + time_left_ns)
        tenant = self.rng.choice([tenant.name for tenant in self.settings.tenants] + [None])
        key = f"k{self.rng.randrange(4)}"
        self.feed(RequestArrived(name, cls.name, self.now + time_left_ns, tenant=tenant, key=key, service_hint_ns=WORK))

    def advance_attempt(self, name: str, number: int, sent: SentAttempt) -> None:
        if sent.cancelled:
            return self.end_attempt(name, number, Outcome.CANCELLED)
        if not sent.started and self.rng.random() < 0.6:
            sent.started = True
            if not self.settings.tells_start:
                return None
            return self.feed(AttemptStarted(name, number, sent.worker.worker))
        outcomes = [Outcome.OK] * 6 + [Outcome.ERROR, Outcome.RESET, Outcome.TIMED_OUT]
        if not sent.started:
            outcomes = [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.MOOT]
        return self.end_attempt(name, number, self.rng.choice(outcomes))

    def end_attempt(self, name: str, number: int, outcome: Outcome) -> None:
        job = self.jobs[name]
        sent = job.sent[number]
        sent.outcome = outcome
        if outcome is Outcome.OK:
            job.ended = True
        self.feed(AttemptEnded(name, number, sent.worker.worker, outcome, final=job.ended))

    def list_worker(self) -> None:
        name = self.rng.choice(list(self.fleet))
        previous = self.fleet[name]
        state = WorkerState.LIVE if self.is_dense else self.rng.choice(list(WorkerState))
        started = self.now if self.rng.random() < 0.5 else previous.started_ns
        weight = self.rng.choice([0.0, 0.3, 1.0])
        self.fleet[name] = WorkerEntry(name, previous.zone, previous.kind, previous.cell, state, weight, started)
        if state is WorkerState.GONE:
            listed = tuple(worker for worker in self.fleet.values() if worker.state is not WorkerState.GONE)
            self.feed(WorkersListed(ListKind.COMPLETE, listed))
        else:
            self.feed(WorkersListed(ListKind.CHANGES, (self.fleet[name],)))

    def pass_time(self, span: int) -> None:
        end = self.now + span
        while self.timers and min(self.timers)[0] <= end:
            when, token = min(self.timers)
            self.timers.remove((when, token))
            self.now = max(self.now, when)
            self.feed(TimerFired(token))
        self.now = end
        for job in self.jobs.values():
            late = self.now > job.due + self.settings.rules.answer_slack_ns
            require(job.ended or not late, "1: request has no answer by its deadline")


def run_seed(kind: type[Dispatcher], seed: int, steps: int = 150) -> None:
    limits = DispatchLimits(
        max_attempts=4, probes=True, cancel=True, second_copies=bool(seed % 2), connect_timeout_ns=50 * MS
    )
    dispatch_settings = settings(
        classes=CLASSES, limits=limits, dispatchers=2, progress_ns=300 * MS,
        rules=Rules(answer_slack_ns=16 * MS, initial_share=0.2, warm_up_ns=4 * SECOND,
                       overload_multiple=3.0, overload_window_ns=SECOND),
    )  # fmt: skip
    fleet = tuple(WorkerEntry(f"w{place}", "here" if place % 2 else "there", "k", place // 2) for place in range(6))
    run_events(RuleChecker(kind, random.Random(seed), dispatch_settings, fleet, is_dense=seed % 3 == 0), steps)


def run_events(checker: RuleChecker, steps: int) -> None:
    """Send a number of random events, then let time pass until every deadline is over."""
    for _ in range(steps):
        checker.step()
    checker.pass_time(2 * SECOND + max(request_class.deadline_ns for request_class in checker.settings.classes))


@profile(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 10**9))
def test_rules_hold_on_random_valid_events(seed: int) -> None:
    run_seed(Dispatcher, seed)


@pytest.mark.parametrize(
    ("kind", "broken"),
    [
        (AnswersTwice, "1: request has two final answers"), (NeverGivesUp, "1: request has no answer by its deadline"),
        (RetriesAll, "2: "), (ForgetsGroups, "2: keyed request sent again outside"),
        (ForgetsWindows, "2: keyed request sent again after"), (IgnoresDrains, "3: "), (IgnoresSlowStart, "4: "),
    ],
)  # fmt: skip
def test_checker_detects_a_violation_of_each_rule(kind: type[Dispatcher], broken: str) -> None:
    seen = []
    for seed in range(120):
        try:
            run_seed(kind, seed)
        except RuleBrokenError as error:
            seen.append(str(error))
    assert any(text.startswith(broken) for text in seen), seen[:5]
