"""A hand-driven dispatcher: events in, actions out, no bench."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

from canvasbeam import Dispatcher
from canvasbeam.dispatch.actions import Action, SetTimer, StartAttempt
from canvasbeam.dispatch.events import (
    AttemptEnded,
    AttemptStarted,
    Event,
    ListKind,
    Outcome,
    RequestArrived,
    TimerFired,
    WorkerEntry,
    WorkersListed,
)
from canvasbeam.dispatch.settings import DispatchLimits, Effect, RequestClass, Rules, Settings

MS = 1_000_000
SECOND = 1_000 * MS
START = 100 * SECOND

SAFE = RequestClass("look", latency_target_ns=200 * MS, deadline_ns=5 * SECOND, stretch=2.0)
KEYED = RequestClass(
    "book", latency_target_ns=200 * MS, deadline_ns=5 * SECOND, stretch=2.0, effect=Effect.KEYED, window_ns=3 * SECOND
)
UNSAFE = RequestClass("pay", latency_target_ns=200 * MS, deadline_ns=5 * SECOND, stretch=2.0, effect=Effect.UNSAFE)
LIMITS = DispatchLimits(max_attempts=4, probes=True, cancel=True, second_copies=True, retry_advice=True,
                   max_retry_advice_ns=2 * SECOND, connect_timeout_ns=100 * MS)  # fmt: skip
RULES = Rules(
    answer_slack_ns=16 * MS, drain_grace_ns=500 * MS, initial_share=0.2, warm_up_ns=10 * SECOND,
    overload_multiple=3.0, overload_window_ns=2 * SECOND,
)  # fmt: skip


def settings(**changes: Any) -> Settings:
    """Two zones, three classes of each effect, starts told."""
    base: dict[str, Any] = {
        "classes": (SAFE, KEYED, UNSAFE), "zones": ("here", "there"), "own_zone": "here", "tells_start": True,
        "progress_ns": SECOND, "limits": LIMITS, "rules": RULES, "quantum_ns": 2 * MS,
    }  # fmt: skip
    return Settings(**{**base, **changes})


def entry(worker: str, zone: str = "here", **changes: Any) -> WorkerEntry:
    return WorkerEntry(worker, zone, **changes)


class TimedDriver(ABC):
    """Drives one dispatcher on a clock of its own, and fires the timers that it asks for."""

    now: int
    timers: list[tuple[int, str]]

    @abstractmethod
    def give(self, *events: Event) -> list[Action]:
        """Hand over events at the present time."""

    def pass_time(self, span: int) -> list[Action]:
        """Let time pass; due timers fire. All actions given meanwhile."""
        end, given = self.now + span, []
        while self.timers and min(self.timers)[0] <= end:
            when, token = min(self.timers)
            self.timers.remove((when, token))
            self.now = max(self.now, when)
            given += self.give(TimerFired(token))
        self.now = end
        return given


class Bench(TimedDriver):
    """A dispatcher with the settings above."""

    def __init__(self, *workers: WorkerEntry, seed: int = 1, **changes: Any) -> None:
        self.dispatcher = Dispatcher(settings(**changes), seed)
        self.now = START
        self.made = 0
        self.attempts: dict[str, int] = {}
        self.timers: list[tuple[int, str]] = []
        self.last: list[Action] = []
        self.listed(*workers, kind=ListKind.WARM_COPY)

    def give(self, *events: Event) -> list[Action]:
        """Hand over events at the present time."""
        self.last = self.dispatcher.handle(self.now, events)
        for action in self.last:
            if isinstance(action, SetTimer):
                self.timers.append((action.when_ns, action.token))
        return self.last

    def listed(self, *workers: WorkerEntry, kind: ListKind = ListKind.COMPLETE) -> list[Action]:
        return self.give(WorkersListed(kind, workers, 1))

    def job(self, job_class: str = "look", due: int = 5 * SECOND, **fields: Any) -> list[Action]:
        """A job arrives, named j0, j1, ..."""
        name = f"j{self.made}"
        self.made += 1
        return self.give(RequestArrived(name, job_class, self.now + due, **fields))

    def started(self, job: str, worker: str, attempt: int = 0) -> list[Action]:
        return self.give(AttemptStarted(job, attempt, worker))

    def ended(
        self, job: str, worker: str, outcome: Outcome = Outcome.OK, attempt: int = 0,
        final: bool | None = None,
    ) -> list[Action]:  # fmt: skip
        return self.give(
            AttemptEnded(job, attempt, worker, outcome, final=outcome is Outcome.OK if final is None else final)
        )

    def run_job(self, span: int = 20 * MS, **fields: Any) -> str:
        """A job arrives, starts at once and is served; the worker that it went to."""
        given = self.job(**fields)
        worker: str = only(given, StartAttempt).worker
        name = f"j{self.made - 1}"
        self.pass_time(MS)
        self.started(name, worker)
        self.pass_time(span)
        self.ended(name, worker)
        return worker


def of(actions: list[Action], kind: Any) -> list[Any]:
    """The actions of one type, or of several."""
    return [action for action in actions if isinstance(action, kind)]


def only(actions: list[Action], kind: Any) -> Any:
    """The one action of a type."""
    found = of(actions, kind)
    assert len(found) == 1, actions
    return found[0]
