"""Tests of the retry, rejection or failure that follows an attempt, by its outcome and the effect of its class."""

from __future__ import annotations

from typing import Any

import pytest

from canvasbeam.dispatch.actions import Action, CancelAttempt, FailRequest, RejectRequest, StartAttempt
from canvasbeam.dispatch.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientDisconnected,
    HealthCheckEnded,
    Outcome,
    StreamOpened,
    TimerFired,
)
from canvasbeam.dispatch.settings import Effect, RequestClass, Scope
from tests.support.helpers import KEYED, LIMITS, MS, SECOND, Bench, entry, of, only

MAY_HAVE_RUN = [Outcome.ERROR, Outcome.TIMED_OUT, Outcome.RESET]
NEVER_RAN = [Outcome.FULL, Outcome.CONNECT_FAILED]


def sent_to(bench: Bench, job_class: str) -> str:
    worker: str = only(bench.job(job_class), StartAttempt).worker
    return worker


@pytest.mark.parametrize("outcome", NEVER_RAN)
@pytest.mark.parametrize("job_class", ["look", "book", "pay"])
def test_request_that_never_ran_is_retried_at_another_worker(outcome: Outcome, job_class: str) -> None:
    bench = Bench(entry("a"), entry("b"))
    worker = sent_to(bench, job_class)
    again = only(bench.ended("j0", worker, outcome), StartAttempt)
    assert again.worker != worker


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
@pytest.mark.parametrize("job_class", ["look", "book"])
def test_safe_and_keyed_requests_that_may_have_run_are_retried(outcome: Outcome, job_class: str) -> None:
    bench = Bench(entry("a"), entry("b"))
    worker = sent_to(bench, job_class)
    assert only(bench.ended("j0", worker, outcome), StartAttempt).worker != worker


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_unsafe_request_that_may_have_run_fails_at_once(outcome: Outcome) -> None:
    bench = Bench(entry("a"), entry("b"))
    given = bench.ended("j0", sent_to(bench, "pay"), outcome)
    assert of(given, StartAttempt) == []
    assert only(given, FailRequest) == FailRequest("j0")


@pytest.mark.parametrize(
    ("scope", "zone", "cell", "allowed"),
    [
        (Scope.ALL, "there", 2, True),
        (Scope.ZONE, "there", 1, False),
        (Scope.ZONE, "here", 2, True),
        (Scope.CELL, "here", 2, False),
        (Scope.CELL, "here", 1, True),
    ],
)
def test_keyed_request_is_retried_only_within_its_scope(scope: Scope, zone: str, cell: int, allowed: bool) -> None:
    keyed = RequestClass("book", 200 * MS, 5 * SECOND, effect=Effect.KEYED, scope=scope, window_ns=3 * SECOND)
    bench = Bench(entry("a", cell=1), classes=(keyed,))
    sent_to(bench, "book")
    bench.listed(entry("b", zone, cell=cell))
    assert bool(of(bench.ended("j0", "a", Outcome.RESET), StartAttempt)) is allowed


def test_keyed_request_is_rejected_after_its_retry_window() -> None:
    bench = Bench(entry("a"), entry("b"))
    worker = sent_to(bench, "book")
    bench.started("j0", worker)
    bench.now += KEYED.window_ns
    given = bench.ended("j0", worker, Outcome.ERROR)
    assert of(given, StartAttempt) == []
    assert only(given, RejectRequest).request_id == "j0"


def test_keyed_request_of_zone_scope_fails_after_its_retry_window() -> None:
    keyed = RequestClass("book", 200 * MS, 5 * SECOND, effect=Effect.KEYED, scope=Scope.ZONE, window_ns=SECOND)
    bench = Bench(entry("a"), classes=(keyed,))
    worker = sent_to(bench, "book")
    bench.now += SECOND
    assert of(bench.ended("j0", worker, Outcome.ERROR), FailRequest) == [FailRequest("j0")]


def test_request_is_rejected_after_its_last_attempt() -> None:
    bench = Bench(*(entry(name) for name in "abcdef"))
    worker = sent_to(bench, "look")
    for attempt in range(LIMITS.max_attempts - 1):
        given = bench.ended("j0", worker, Outcome.CONNECT_FAILED, attempt)
        worker = only(given, StartAttempt).worker
    given = bench.ended("j0", worker, Outcome.CONNECT_FAILED, LIMITS.max_attempts - 1)
    assert of(given, StartAttempt) == []
    assert only(given, RejectRequest).request_id == "j0"


@pytest.mark.parametrize("job_class", ["look", "book", "pay"])
def test_request_is_rejected_in_time_if_no_worker_is_known(job_class: str) -> None:
    bench = Bench()
    bench.job(job_class)
    answers = of(bench.pass_time(5 * SECOND), RejectRequest)
    assert [answer.request_id for answer in answers] == ["j0"]
    assert answers[0].retry_after_ns == LIMITS.max_retry_advice_ns


@pytest.mark.parametrize(
    ("job_class", "kind"), [("look", RejectRequest), ("book", RejectRequest), ("pay", FailRequest)]
)
def test_request_is_answered_in_time_if_its_worker_never_responds(job_class: str, kind: type[Action]) -> None:
    bench = Bench(entry("a"))
    bench.job(job_class)
    given = bench.pass_time(5 * SECOND - 1)
    assert len(of(given, RejectRequest) + of(given, FailRequest)) == 1
    assert len(of(given, kind)) == 1
    assert not of(bench.pass_time(SECOND), StartAttempt)


def test_late_repeated_and_unknown_events_are_ignored() -> None:
    bench = Bench(entry("a"))
    bench.job()
    bench.started("j0", "a")
    bench.ended("j0", "a")
    for event in (
        AttemptEnded("j0", 0, "a", Outcome.OK, final=True), AttemptStarted("j0", 0, "a"),
        AttemptProgressed("j0", 5, "a", 0.5), ClientDisconnected("j0"), TimerFired("never set"),
        AttemptEnded("unknown", 0, "a", Outcome.RESET), HealthCheckEnded("nobody", Outcome.OK),
    ):  # fmt: skip
        assert of(bench.give(event), StartAttempt | RejectRequest | FailRequest) == []


def test_disconnected_client_gets_no_retry_and_no_answer() -> None:
    bench = Bench(entry("a"))
    bench.job()
    assert of(bench.give(ClientDisconnected("j0")), CancelAttempt) == [CancelAttempt("j0", 0)]
    given = bench.ended("j0", "a", Outcome.CANCELLED, final=True) + bench.pass_time(6 * SECOND)
    assert of(given, StartAttempt | RejectRequest | FailRequest) == []


def test_open_stream_has_no_deadline() -> None:
    stream = RequestClass("stream", 200 * MS, SECOND, streams=True)
    bench = Bench(entry("a"), entry("b"), classes=(stream,), progress_ns=0)
    worker = only(bench.job("stream", due=SECOND), StartAttempt).worker
    bench.give(StreamOpened("j0", 0, worker))
    assert of(bench.pass_time(3 * SECOND), RejectRequest | FailRequest | CancelAttempt) == []


def test_late_request_is_rejected_where_a_late_answer_has_no_value() -> None:
    bench = Bench()
    bench.job("look", due=5 * SECOND)
    assert of(bench.pass_time(SECOND), RejectRequest) == [RejectRequest("j0", LIMITS.max_retry_advice_ns)]


def test_late_request_with_value_is_sent_after_requests_in_time() -> None:
    # With a queue ordered by the least time left alone, under overload every request starts only when its latency
    # target is about to pass.
    valuable_when_late = RequestClass("look", 200 * MS, 5 * SECOND, stretch=2.0, late_value=0.3)
    bench = Bench(classes=(valuable_when_late,))
    bench.job()
    bench.pass_time(400 * MS)
    bench.job()
    assert of(bench.listed(entry("a")), StartAttempt) == [StartAttempt("j1", "a")]


def test_client_retry_keeps_the_age_of_its_first_request() -> None:
    bench = Bench()
    bench.job("look")
    bench.pass_time(SECOND)
    # The deadline is 1 s earlier than the class's, because the client first sent this request 1 s ago.
    bench.job("look", due=4 * SECOND)
    assert [action.request_id for action in of(bench.pass_time(20 * MS), RejectRequest)] == ["j1"]


def test_request_with_less_time_left_than_a_sweep_is_rejected_at_once() -> None:
    # The request is rejected at once: its worker may be busy or slow, and the next sweep, which could reject the
    # request, runs only after the deadline.
    bench = Bench(entry("a"))
    bench.job()
    given = bench.job(due=5 * MS)
    assert len(of(given, RejectRequest)) == 1
    assert of(given, StartAttempt) == []


def order_of_pending_requests(**changes: Any) -> list[str]:
    """Return the ids of a large, a small and a more valuable small request in the order of their sends."""
    look = RequestClass("look", 200 * MS, 5 * SECOND, stretch=2.0)
    valuable = RequestClass("dear", 200 * MS, 5 * SECOND, value=2.0, stretch=2.0)
    bench = Bench(entry("a"), classes=(look, valuable), **changes)
    assert bench.run_job(span=100 * MS) == "a"
    bench.pass_time(SECOND)
    bench.job("dear")
    bench.started("j1", "a")
    bench.pass_time(400 * MS)
    bench.job()  # this request does not start in time, which lowers the worker's concurrency limit
    bench.pass_time(100 * MS)
    bench.job(service_hint_ns=900 * MS)
    bench.pass_time(MS)
    bench.job(service_hint_ns=10 * MS)
    bench.pass_time(MS)
    bench.job("dear")
    order: list[str] = []
    actions = bench.ended("j1", "a") + bench.ended("j2", "a")
    while len(order) < 3:
        sent = of(actions, StartAttempt)
        if sent:
            order.append(sent[0].request_id)
            bench.started(sent[0].request_id, sent[0].worker)
            actions = bench.ended(sent[0].request_id, sent[0].worker)
        else:
            actions = bench.pass_time(10 * MS)
    return order


def test_large_request_is_sent_before_later_small_requests() -> None:
    order = order_of_pending_requests()
    assert order.index("j3") < order.index("j4")


def test_class_of_long_requests_is_not_ranked_lower_where_value_counts_by_work() -> None:
    # Class "dear" has twice the value of "look", and its requests run four times as long. The value counts for each
    # request, or with `value_by_work` for each second of work.
    assert order_of_pending_requests().index("j5") == 2
    assert order_of_pending_requests(value_by_work=True).index("j5") == 0
