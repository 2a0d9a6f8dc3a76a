"""Tests of placement with the serving system's settings.

Covers changes of classes, batching workers, early rejection, prefix caches, and the limits over all schedulers.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import replace
from typing import Any

import pytest

from canvasbeam import Dispatcher
from canvasbeam.dispatch.actions import Action, CancelAttempt, RejectRequest, SetTimer, StartAttempt, WriteLog
from canvasbeam.dispatch.events import (
    AttemptEnded,
    ClassesChanged,
    Event,
    ListKind,
    Outcome,
    PromptEstimate,
    PromptPart,
    RequestArrived,
    StreamOpened,
    WorkerEntry,
    WorkersListed,
)
from canvasbeam.dispatch.language_model.expectations import EngineCapacity, EngineExpectations
from canvasbeam.dispatch.language_model.learned_latencies import PREFILL_NS_PER_TOKEN
from canvasbeam.dispatch.settings import DispatchLimits, Effect, RequestClass, Settings
from tests.support.helpers import MS, SECOND, START, TimedDriver

LLM = "llm"
LOOKUP = "lookup"
CHAT = RequestClass(
    "chat", latency_target_ns=500 * MS, deadline_ns=5 * SECOND, late_value=0.3,
    effect=Effect.UNSAFE, streams=True, kind=LLM,
    max_attempts=1,
)  # fmt: skip
BRIEF = replace(CHAT, name="brief", effect=Effect.SAFE, priority=9, max_attempts=2)
READ = RequestClass("read", latency_target_ns=300 * MS, deadline_ns=3 * SECOND, effect=Effect.UNSAFE, kind=LOOKUP)
TOKENS_OF_500_MS = round(500 * MS / PREFILL_NS_PER_TOKEN)


class FakeFleetLimits:
    """A `FleetLimiter` with answers set by the test, which records the sends."""

    def __init__(self) -> None:
        self.retries_permitted = True
        self.cold_workers: set[str] = set()
        self.sends: list[tuple[str, bool]] = []

    def arrived(self, now: int, kind: str) -> None:
        pass

    def may_retry(self, now: int, kind: str) -> bool:
        return self.retries_permitted

    def may_send_while_warming_up(self, now: int, worker: str) -> bool:
        return worker not in self.cold_workers

    def sent(self, now: int, kind: str, worker: str, repeat: bool) -> None:
        self.sends.append((worker, repeat))

    def retain(self, workers: Container[str]) -> None:
        pass

    def listed(self, now: int, entry: WorkerEntry) -> None:
        pass


def worker(name: str, zone: str = "here", kind: str = LLM, slots: int = 64, **fields: Any) -> WorkerEntry:
    return WorkerEntry(name, zone, kind, slots=slots, **fields)


def prompt(tokens: int = 100, *parts: tuple[str, int]) -> PromptEstimate:
    return PromptEstimate(tokens, 50, tuple(PromptPart(name, size) for name, size in parts))


class SystemDriver(TimedDriver):
    """Drives one dispatcher with the serving system's settings."""

    def __init__(
        self, *workers: WorkerEntry, classes: tuple[RequestClass, ...] = (CHAT, BRIEF, READ), **changes: Any
    ) -> None:
        limits = DispatchLimits(
            probes=False, retry_advice=True, max_retry_advice_ns=300 * MS, connect_timeout_ns=300 * MS
        )
        settings: dict[str, Any] = {
            "classes": (), "classes_later": True, "zones": ("here", "there"), "own_zone": "here", "batches": True,
            "priority_first": True, "early_rejection_share": 0.2, "limits": limits, "quantum_ns": 2 * MS,
        }  # fmt: skip
        self.limits = FakeFleetLimits()
        self.engines = EngineExpectations("here")
        self.engines.set_engines({LLM: EngineCapacity(kv_cache_tokens=200_000)})
        self.dispatcher = Dispatcher(Settings(**{**settings, **changes}), 1, self.limits, self.engines)
        self.now = START
        self.timers: list[tuple[int, str]] = []
        self.made = 0
        self.give(ClassesChanged(classes, (LLM, LOOKUP)))
        self.give(WorkersListed(ListKind.CHANGES, workers))

    def give(self, *events: Event) -> list[Action]:
        actions = self.dispatcher.handle(self.now, events)
        self.timers += [(action.when_ns, action.token) for action in actions if isinstance(action, SetTimer)]
        return [action for action in actions if not isinstance(action, SetTimer | WriteLog)]

    def job(self, job_class: str = "chat", due: int = 5 * SECOND, **fields: Any) -> list[Action]:
        """Let a request arrive, with the next id of j0, j1, ...; return the actions."""
        fields.setdefault("prompt", prompt())
        name = f"j{self.made}"
        self.made += 1
        return self.give(RequestArrived(name, job_class, self.now + due, **fields))

    def opened(self, job: str, worker_name: str, attempt: int = 0) -> list[Action]:
        return self.give(StreamOpened(job, attempt, worker_name))

    def ended(self, job: str, worker_name: str, outcome: Outcome = Outcome.OK, attempt: int = 0) -> list[Action]:
        return self.give(AttemptEnded(job, attempt, worker_name, outcome, final=outcome is Outcome.OK))


def sent_to(actions: list[Action]) -> list[str]:
    return [action.worker for action in actions if isinstance(action, StartAttempt)]


# --- classes ----------------------------------------------------------------------------------


def test_settings_without_classes_are_rejected_unless_classes_come_later() -> None:
    with pytest.raises(ValueError, match="classes"):
        Settings(classes=(), zones=("here",), own_zone="here")
    Settings(classes=(), zones=("here",), own_zone="here", classes_later=True)


def test_new_class_is_served_and_pending_requests_keep_their_class() -> None:
    system = SystemDriver(worker("a", slots=1), worker("b", kind=LOOKUP))
    assert sent_to(system.job()) == ["a"]
    assert system.job() == []
    system.give(ClassesChanged((replace(CHAT, name="new", kind=LOOKUP),), (LLM, LOOKUP)))
    assert sent_to(system.job("new")) == ["b"]
    assert sent_to(system.ended("j0", "a")) == ["a"]


def test_changed_timeouts_do_not_make_new_requests_look_like_retries() -> None:
    system = SystemDriver(worker("a", slots=1))
    system.job(due=5 * SECOND)
    system.give(ClassesChanged((CHAT, BRIEF), (LLM,)))
    system.job(due=3 * SECOND)
    assert system.pass_time(200 * MS) == [RejectRequest("j1", 300 * MS)]


def test_class_runs_only_in_its_home_zones() -> None:
    homes = replace(CHAT, homes=("there",))
    system = SystemDriver(worker("a"), worker("b", "there"), classes=(homes,))
    assert sent_to(system.job()) == ["b"]


def test_request_goes_only_to_workers_with_its_model() -> None:
    system = SystemDriver(worker("a", models=("other",)), worker("b", "there", models=("wanted", "other")))
    wanted = replace(prompt(), model="wanted")
    assert sent_to(system.job(prompt=wanted)) == ["b"]
    assert sent_to(system.job(prompt=replace(prompt(), model="other"))) == ["a"]
    assert system.job(prompt=replace(prompt(), model="third")) == []


def test_worker_that_lists_no_models_may_get_any_model() -> None:
    system = SystemDriver(worker("a"))
    assert sent_to(system.job(prompt=replace(prompt(), model="wanted"))) == ["a"]


def test_request_is_sent_to_no_more_workers_than_its_class_permits() -> None:
    system = SystemDriver(worker("a"), worker("b"), worker("c"))
    first = sent_to(system.job("brief"))[0]
    second = sent_to(system.ended("j0", first, Outcome.FULL))
    assert len(second) == 1
    assert second != [first]
    assert system.ended("j0", second[0], Outcome.FULL, attempt=1) == [RejectRequest("j0", 300 * MS)]


def test_refused_connection_does_not_count_as_attempt() -> None:
    system = SystemDriver(worker("a"), worker("b"))
    first = sent_to(system.job("chat"))[0]
    other = sent_to(system.ended("j0", first, Outcome.CONNECT_FAILED))
    assert other == [{"a": "b", "b": "a"}[first]]
    assert system.limits.sends[-1] == (other[0], False)


# --- rings and round-robin --------------------------------------------------------------------


def test_round_robin_is_even_in_the_own_region_before_requests_start() -> None:
    system = SystemDriver(worker("a"), worker("b"), worker("c", "there"))
    names = [sent_to(system.job())[0] for _ in range(6)]
    assert sorted(names) == ["a", "a", "a", "b", "b", "b"]


def test_request_spills_to_another_region_only_while_the_own_region_would_be_late() -> None:
    system = SystemDriver(worker("a"), worker("c", "there"))
    assert sent_to(system.job("brief", prompt=prompt(TOKENS_OF_500_MS // 2))) == ["a"]
    assert sent_to(system.job("brief", prompt=prompt(TOKENS_OF_500_MS // 2))) == ["c"]
    system.opened("j0", "a")
    assert sent_to(system.job("brief", prompt=prompt(TOKENS_OF_500_MS // 2))) == ["a"]


def test_no_more_requests_than_slots_are_sent() -> None:
    system = SystemDriver(worker("a", kind=LOOKUP, slots=2), worker("b", "there", kind=LOOKUP, slots=2))
    names = [sent_to(system.job("read", prompt=None))[0] for _ in range(4)]
    assert names == ["a", "a", "b", "b"]
    assert system.job("read", prompt=None) == []


def test_worker_that_answers_full_is_skipped_for_a_while() -> None:
    system = SystemDriver(worker("a"), worker("b", "there"))
    assert sent_to(system.job("brief")) == ["a"]
    assert sent_to(system.ended("j0", "a", Outcome.FULL)) == ["b"]
    assert sent_to(system.job("brief")) == ["b"]
    system.pass_time(2 * SECOND)
    assert sent_to(system.job("brief")) == ["a"]


# --- pending requests and rejection -----------------------------------------------------------


def test_request_without_any_worker_is_rejected_with_retry_advice_after_a_short_wait() -> None:
    system = SystemDriver()
    assert system.job() == []
    assert system.pass_time(90 * MS) == []
    assert system.pass_time(35 * MS) == [RejectRequest("j0", 300 * MS)]


def test_pending_request_goes_to_a_new_worker() -> None:
    system = SystemDriver()
    system.job()
    assert sent_to(system.give(WorkersListed(ListKind.CHANGES, (worker("a"),)))) == ["a"]


def test_client_retry_stays_pending_and_is_sent_although_late() -> None:
    system = SystemDriver(worker("a", slots=1))
    system.job(due=5 * SECOND)
    system.opened("j0", "a")
    system.job(due=4 * SECOND)
    assert system.pass_time(2 * SECOND) == []
    assert sent_to(system.ended("j0", "a")) == ["a"]


def test_pending_request_of_higher_priority_goes_first() -> None:
    system = SystemDriver(worker("a", slots=1))
    system.job()
    system.job("chat")
    system.job("brief")
    assert [action.request_id for action in system.ended("j0", "a") if isinstance(action, StartAttempt)] == ["j2"]


# --- unresponsive workers ---------------------------------------------------------------------


def test_unresponsive_worker_is_ejected_and_its_safe_requests_move() -> None:
    system = SystemDriver(worker("a"), worker("b", "there"))
    assert sent_to(system.job("brief")) == ["a"]
    assert sent_to(system.job("chat")) == ["a"]
    given = system.pass_time(900 * MS)
    assert given == [CancelAttempt("j0", 0)]
    assert system.dispatcher.ejected_workers() == ["a"]
    assert sent_to(system.ended("j0", "a", Outcome.CANCELLED)) == ["b"]
    assert sent_to(system.job("chat")) == ["b"]


def test_worker_that_opens_a_stream_is_not_unresponsive() -> None:
    system = SystemDriver(worker("a"))
    system.job("brief")
    system.job("brief")
    system.pass_time(600 * MS)
    system.opened("j0", "a")
    assert system.pass_time(600 * MS) == []
    assert system.dispatcher.ejected_workers() == []


def test_running_requests_of_an_ejected_worker_are_not_cancelled() -> None:
    system = SystemDriver(worker("a"), worker("b"))
    first = sent_to(system.job("brief"))[0]
    system.job("brief")
    system.job("brief")
    system.ended("j2", first, Outcome.CONNECT_FAILED)
    assert system.dispatcher.ejected_workers() == [first]
    assert not [action for action in system.pass_time(100 * MS) if isinstance(action, CancelAttempt)]


# --- limits that all schedulers share ---------------------------------------------------------


def test_no_retry_is_sent_without_retry_budget() -> None:
    system = SystemDriver(worker("a"), worker("b"))
    system.limits.retries_permitted = False
    first = sent_to(system.job("brief"))[0]
    assert system.ended("j0", first, Outcome.FULL) == [RejectRequest("j0", 300 * MS)]


def test_second_attempt_and_resumed_stream_count_as_retries() -> None:
    system = SystemDriver(worker("a"), worker("b"))
    first = sent_to(system.job("brief"))[0]
    system.ended("j0", first, Outcome.FULL)
    system.job("brief", repeat=True)
    assert [repeat for _, repeat in system.limits.sends] == [False, True, True]


def test_cold_worker_without_budget_is_skipped() -> None:
    system = SystemDriver(worker("a"), worker("b"))
    system.limits.cold_workers = {"a"}
    assert [sent_to(system.job())[0] for _ in range(3)] == ["b", "b", "b"]


# --- prefix caches ----------------------------------------------------------------------------

SHARED = prompt(3000, ("shared", 2900), ("own", 100))


def test_round_robin_stays_even_without_prefix_affinity() -> None:
    system = SystemDriver(worker("a"), worker("b"))
    names = [sent_to(system.job(prompt=SHARED))[0] for _ in range(4)]
    assert sorted(names) == ["a", "a", "b", "b"]


def test_worker_with_a_cached_prefix_is_preferred_within_the_maximum_lead() -> None:
    system = SystemDriver(worker("a"), worker("b"), max_round_robin_lead=2.0)
    names = []
    for number in range(20):
        names += sent_to(system.job(prompt=SHARED))
        system.opened(f"j{number}", names[-1])
    assert names[0] == names[1]
    leads = [names[: end + 1].count("a") - names[: end + 1].count("b") for end in range(20)]
    assert max(map(abs, leads)) <= 2


def test_prompts_without_shared_prefixes_use_even_round_robin() -> None:
    system = SystemDriver(worker("a"), worker("b"), max_round_robin_lead=2.0)
    names = [sent_to(system.job(prompt=prompt(100, (f"p{number}", 100))))[0] for number in range(6)]
    assert sorted(names) == ["a", "a", "a", "b", "b", "b"]


def test_known_prefill_queue_outweighs_a_cached_prefix() -> None:
    """Guards against the thundering herd of a cold start.

    Where only cached prefixes count, all nodes send the requests that share a prefix to one worker.
    """
    system = SystemDriver(worker("a"), worker("b"), max_round_robin_lead=4.0)
    first = sent_to(system.job(prompt=prompt(9000, ("common", 2500), ("own-1", 6500))))[0]
    system.opened("j0", first)
    for _ in range(3):
        system.engines.note_remote_attempt(system.now, first, prompt(9000, ("common", 2500), ("other", 6500)))
    assert sent_to(system.job(prompt=prompt(9000, ("common", 2500), ("own-2", 6500)))) != [first]
