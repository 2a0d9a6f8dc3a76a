"""A hand-driven dispatcher: events in, actions out, no bench."""

from __future__ import annotations

from typing import Any

from robinstream import Dispatcher
from robinstream import interface as ri

MS = 1_000_000
SECOND = 1_000 * MS
START = 100 * SECOND

SAFE = ri.JobClass("look", aim_ns=200 * MS, deadline_ns=5 * SECOND, stretch=2.0)
KEYED = ri.JobClass(
    "book", aim_ns=200 * MS, deadline_ns=5 * SECOND, stretch=2.0, effect=ri.Effect.KEYED, window_ns=3 * SECOND
)
UNSAFE = ri.JobClass(
    "pay", aim_ns=200 * MS, deadline_ns=5 * SECOND, stretch=2.0, effect=ri.Effect.UNSAFE
)
LIMITS = ri.Limits(max_attempts=4, probes=True, cancel=True, second_copies=True, retry_advice=True,
                   max_retry_advice_ns=2 * SECOND, connect_timeout_ns=100 * MS)  # fmt: skip
RULES = ri.Rules(
    answer_slack_ns=16 * MS, drain_grace_ns=500 * MS, cold_from=0.2, warm_within_ns=10 * SECOND,
    tip_multiple=3.0, overload_for_ns=2 * SECOND,
)  # fmt: skip


def settings(**changes: Any) -> ri.Settings:
    """Two zones, three classes of each effect, starts told."""
    base: dict[str, Any] = {
        "classes": (SAFE, KEYED, UNSAFE), "zones": ("here", "there"), "own_zone": "here", "tells_start": True,
        "progress_ns": SECOND, "limits": LIMITS, "rules": RULES, "quantum_ns": 2 * MS,
    }  # fmt: skip
    return ri.Settings(**{**base, **changes})


def entry(worker: str, zone: str = "here", **changes: Any) -> ri.WorkerEntry:
    return ri.WorkerEntry(worker, zone, **changes)


class Bench:
    """Drives one dispatcher on a clock of its own."""

    def __init__(self, *workers: ri.WorkerEntry, seed: int = 1, **changes: Any) -> None:
        self.dispatcher = Dispatcher(settings(**changes), seed)
        self.now = START
        self.made = 0
        self.attempts: dict[str, int] = {}
        self.timers: list[tuple[int, str]] = []
        self.last: list[ri.Action] = []
        self.listed(*workers, kind=ri.ListKind.WARM_COPY)

    def give(self, *events: ri.Event) -> list[ri.Action]:
        """Hand over events at the present time."""
        self.last = self.dispatcher.handle(self.now, events)
        for action in self.last:
            if isinstance(action, ri.SetTimer):
                self.timers.append((action.when_ns, action.token))
        return self.last

    def listed(
        self, *workers: ri.WorkerEntry, kind: ri.ListKind = ri.ListKind.COMPLETE
    ) -> list[ri.Action]:
        return self.give(ri.WorkersListed(kind, workers, 1))

    def pass_time(self, span: int) -> list[ri.Action]:
        """Let time pass; due timers fire. All actions given meanwhile."""
        end, given = self.now + span, []
        while self.timers and min(self.timers)[0] <= end:
            when, token = min(self.timers)
            self.timers.remove((when, token))
            self.now = max(self.now, when)
            given += self.give(ri.TimerFired(token))
        self.now = end
        return given

    def job(self, job_class: str = "look", due: int = 5 * SECOND, **fields: Any) -> list[ri.Action]:
        """A job arrives, named j0, j1, ..."""
        name = f"j{self.made}"
        self.made += 1
        return self.give(ri.JobArrived(name, job_class, self.now + due, **fields))

    def started(self, job: str, worker: str, attempt: int = 0) -> list[ri.Action]:
        return self.give(ri.JobStarted(job, attempt, worker))

    def ended(
        self, job: str, worker: str, outcome: ri.Outcome = ri.Outcome.OK, attempt: int = 0,
        final: bool | None = None,
    ) -> list[ri.Action]:  # fmt: skip
        return self.give(
            ri.AttemptEnded(
                job, attempt, worker, outcome, final=outcome is ri.Outcome.OK if final is None else final
            )
        )

    def run_job(self, span: int = 20 * MS, **fields: Any) -> str:
        """A job arrives, starts at once and is served; the worker that it went to."""
        given = self.job(**fields)
        worker: str = only(given, ri.Send).worker
        name = f"j{self.made - 1}"
        self.pass_time(MS)
        self.started(name, worker)
        self.pass_time(span)
        self.ended(name, worker)
        return worker


def of(actions: list[ri.Action], kind: Any) -> list[Any]:
    """The actions of one type, or of several."""
    return [each for each in actions if isinstance(each, kind)]


def only(actions: list[ri.Action], kind: Any) -> Any:
    """The one action of a type."""
    found = of(actions, kind)
    assert len(found) == 1, actions
    return found[0]
