"""Property tests: with the serving system's settings random events break no rule on sends and answers."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from canvasbeam.dispatch.actions import Action, CancelAttempt, FailRequest, RejectRequest, StartAttempt
from canvasbeam.dispatch.events import (
    AttemptEnded,
    ClientDisconnected,
    ListKind,
    Outcome,
    PromptEstimate,
    PromptPart,
    RequestArrived,
    WorkerEntry,
    WorkersListed,
    WorkerState,
)
from canvasbeam.dispatch.open_requests import OpenRequests
from canvasbeam.dispatch.records import TrackedRequest
from canvasbeam.dispatch.retry_policy import RetryPolicy
from canvasbeam.dispatch.settings import Effect, RequestClass
from tests.dispatch.test_system_placement import BRIEF, CHAT, LLM, LOOKUP, READ, SystemDriver
from tests.support.helpers import MS, SECOND

MODELS = ("m", "n")
HOME = replace(CHAT, name="home", homes=("there",))
CLASSES = (CHAT, BRIEF, READ, HOME)
OUTCOMES = (
    Outcome.OK, Outcome.OK, Outcome.OK, Outcome.FULL, Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.UNSENT,
    Outcome.RESET, Outcome.BROKEN, Outcome.TIMED_OUT, Outcome.MOOT,
)  # fmt: skip


class RuleBrokenError(AssertionError):
    """Raised for a send or an answer that the rules do not allow."""


@dataclass
class Send:
    worker: str
    outcome: Outcome | None = None
    opened: bool = False


@dataclass
class Request:
    """A request as seen from outside of the dispatcher: its class, its sends, and the number of its answers."""

    job: RequestArrived
    job_class: RequestClass
    sends: list[Send] = field(default_factory=list)
    answers: int = 0

    def in_flight(self) -> list[int]:
        return [number for number, send in enumerate(self.sends) if send.outcome is None]


class CheckedWorld:
    """Simulates workers, clients and a transport that keep to the dispatcher's interface, and checks every action."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.system = SystemDriver(classes=CLASSES, max_round_robin_lead=self.rng.choice((0.0, 4.0)))
        self.entries: dict[str, WorkerEntry] = {}
        self.requests: dict[str, Request] = {}

    def run(self, steps: int) -> None:
        for _ in range(6):
            self.list_worker()
        for _ in range(steps):
            self.rng.choices(
                (self.arrive, self.open_stream, self.end, self.list_worker, self.leave, self.wait),
                weights=(8, 6, 8, 1, 1, 6),
            )[0]()
        self.finish()

    def finish(self) -> None:
        """Let 20 s pass without new events; every request must then have its answer."""
        self.apply(self.system.pass_time(20 * SECOND))
        for name, request in self.requests.items():
            if request.answers != 1 and not any(send.opened for send in request.sends):
                raise RuleBrokenError(f"request {name} has {request.answers} answers, expected 1")

    # --- events to the dispatcher -----------------------------------------------------------------

    def arrive(self) -> None:
        job_class = self.rng.choice(CLASSES)
        name = f"j{self.system.made}"
        self.system.made += 1
        prompt = None
        if job_class.kind == LLM:
            part = PromptPart(f"p{self.rng.randrange(4)}", 2000)
            tokens = 2000 + self.rng.randrange(10_000)
            prompt = PromptEstimate(tokens, 200, (part,), self.rng.choice(MODELS))
        due = self.system.now + self.rng.randrange(10, 5000) * MS
        job = RequestArrived(name, job_class.name, due, prompt=prompt, repeat=self.rng.random() < 0.1)
        self.requests[name] = Request(job, job_class)
        self.system.limits.retries_permitted = self.rng.random() < 0.7
        self.apply(self.system.give(job))

    def attempts_in_flight(self) -> Iterator[tuple[str, int]]:
        for name, request in self.requests.items():
            for number in request.in_flight():
                yield name, number

    def choose_attempt_in_flight(self) -> tuple[str, int] | None:
        attempts_in_flight = list(self.attempts_in_flight())
        return self.rng.choice(attempts_in_flight) if attempts_in_flight else None

    def open_stream(self) -> None:
        chosen = self.choose_attempt_in_flight()
        if chosen is not None:
            name, number = chosen
            send = self.requests[name].sends[number]
            if not send.opened and self.requests[name].job_class.streams:
                send.opened = True
                self.apply(self.system.opened(name, send.worker, number))

    def end(self) -> None:
        chosen = self.choose_attempt_in_flight()
        if chosen is None:
            return
        name, number = chosen
        request = self.requests[name]
        send = request.sends[number]
        send.outcome = self.rng.choice(OUTCOMES)
        final = send.outcome is Outcome.OK or send.opened
        if final:
            request.answers += not request.answers
        self.apply(self.system.give(AttemptEnded(name, number, send.worker, send.outcome, final=final)))

    def list_worker(self) -> None:
        name = f"w{self.rng.randrange(8)}"
        entry = WorkerEntry(
            name,
            self.rng.choice(("here", "there")),
            LLM if int(name[1]) < 6 else LOOKUP,
            state=self.rng.choice((WorkerState.LIVE, WorkerState.LIVE, WorkerState.DRAINING, WorkerState.GONE)),
            slots=self.rng.choice((1, 4, 64)),
            models=self.rng.choice(((), ("m",), MODELS)),
        )
        self.entries[name] = entry
        self.apply(self.system.give(WorkersListed(ListKind.CHANGES, (entry,))))

    def leave(self) -> None:
        waiting = [name for name, request in self.requests.items() if not request.answers]
        if waiting:
            name = self.rng.choice(waiting)
            self.requests[name].answers = 1
            self.apply(self.system.give(ClientDisconnected(name)))

    def wait(self) -> None:
        self.apply(self.system.pass_time(self.rng.choice((1, 20, 300, 1500)) * MS))

    # --- actions of the dispatcher ----------------------------------------------------------------

    def apply(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case StartAttempt(name, worker):
                    self.check_send(name, worker)
                    self.requests[name].sends.append(Send(worker))
                case RejectRequest(name, _) | FailRequest(name):
                    self.check_answer(name, isinstance(action, RejectRequest))
                    self.requests[name].answers += 1
                case CancelAttempt(name, number):
                    send = self.requests[name].sends[number]
                    if send.outcome is None:
                        send.outcome = Outcome.CANCELLED
                        ended = AttemptEnded(name, number, send.worker, Outcome.CANCELLED)
                        self.apply(self.system.give(ended))

    def check_send(self, name: str, worker: str) -> None:
        request, entry = self.requests[name], self.entries[worker]
        if request.answers:
            raise RuleBrokenError(f"request {name} is sent after its answer")
        if entry.state is not WorkerState.LIVE or not entry.may_run(request.job_class, request.job):
            raise RuleBrokenError(f"request {name} is sent to worker {worker}, which may not run it")
        if request.in_flight():
            raise RuleBrokenError(f"request {name} has two attempts in flight")
        not_sent = (Outcome.CONNECT_FAILED, Outcome.UNSENT)
        counted = [send for send in request.sends if send.outcome not in not_sent]
        if len(counted) >= max(1, request.job_class.max_attempts):
            raise RuleBrokenError(f"request {name} has more attempts than its class allows")
        may_have_run = [attempt for attempt in counted if attempt.outcome is not None and not attempt.outcome.never_ran]
        if request.job_class.effect is Effect.UNSAFE and may_have_run:
            raise RuleBrokenError(f"unsafe request {name} is sent again although it may have run")
        if (counted or request.job.repeat) and not self.system.limits.retries_permitted:
            raise RuleBrokenError(f"request {name} is retried without retry budget")

    def check_answer(self, name: str, is_rejection: bool) -> None:
        request = self.requests[name]
        if request.answers:
            raise RuleBrokenError(f"request {name} is answered twice")
        may_have_run = any(send.outcome is None or not send.outcome.never_ran for send in request.sends)
        if is_rejection and may_have_run and request.job_class.effect is not Effect.SAFE:
            raise RuleBrokenError(f"request {name} is rejected as safe to retry although it may have run")


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 2**32))
def test_random_events_break_no_rule(seed: int) -> None:
    CheckedWorld(seed).run(150)


def detects_fault() -> bool:
    for seed in range(60):
        try:
            CheckedWorld(seed).run(150)
        except RuleBrokenError:
            return True
    return False


def test_planted_fault_of_an_unsafe_retry_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(TrackedRequest, "possibly_executed", lambda self: [])
    assert detects_fault()


def test_planted_fault_of_too_many_attempts_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RetryPolicy, "_max_attempts", lambda self, request: 5)
    assert detects_fault()


def test_planted_fault_of_a_retry_without_budget_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RetryPolicy, "_is_within_fleet_limits", lambda self, request, now: True)
    assert detects_fault()


def test_planted_fault_of_a_worker_of_another_kind_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(WorkerEntry, "may_run", lambda self, job_class, job: True)
    real = CheckedWorld.check_send

    def check(self: CheckedWorld, name: str, worker: str) -> None:
        request, entry = self.requests[name], self.entries[worker]
        if request.job_class.kind != entry.kind:
            raise RuleBrokenError(f"request {name} is sent to a worker of another kind")
        real(self, name, worker)

    monkeypatch.setattr(CheckedWorld, "check_send", check)
    assert detects_fault()


def test_planted_fault_of_an_unanswered_request_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(OpenRequests, "reject_or_fail", lambda self, request: None)
    assert detects_fault()
