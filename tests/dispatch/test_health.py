"""Tests of placement with saturated, failed and cold workers; most guard against a failure that was found."""

from __future__ import annotations

from dataclasses import replace
from typing import cast

import pytest

from canvasbeam import Dispatcher
from canvasbeam.dispatch.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchWorkers,
    WriteLog,
)
from canvasbeam.dispatch.events import (
    AttemptProgressed,
    AttemptStarted,
    HealthCheckEnded,
    ListKind,
    Outcome,
    WorkerEntry,
    WorkersListed,
)
from canvasbeam.dispatch.records import TrackedRequest, TrackedWorker
from canvasbeam.dispatch.settings import Discovery
from canvasbeam.dispatch.slow_start import SlowStart
from canvasbeam.dispatch.worker_acceptance import WorkerAcceptance
from tests.support.helpers import LIMITS, MS, SAFE, SECOND, START, Bench, entry, of, only, settings
from tests.support.planted_faults import parts_of, plant, tracked_request


def test_late_start_lowers_the_concurrency_limit_which_grows_again() -> None:
    bench = Bench(entry("a"))
    bench.run_job(span=200 * MS)
    bench.job()
    bench.pass_time(MS)
    bench.started("j1", "a")
    bench.job()
    bench.pass_time(20 * MS)  # j2 does not start, so the worker counts as full with one request
    bench.ended("j1", "a")
    bench.started("j2", "a")
    assert of(bench.job(), StartAttempt) == []
    assert of(bench.pass_time(50 * MS), StartAttempt) == []
    # After one mean service time the concurrency limit is raised by one on trial.
    assert len(of(bench.pass_time(200 * MS), StartAttempt)) == 1


def test_full_worker_without_own_attempts_is_not_tried_again_at_once() -> None:
    # Regression: a worker that answered FULL, with no attempt of this dispatcher in flight, became available again at
    # the same instant, in an endless loop.
    bench = Bench(entry("a"))
    bench.job()
    assert of(bench.ended("j0", "a", Outcome.FULL), StartAttempt) == []
    assert len(of(bench.pass_time(3 * SECOND), StartAttempt)) == 1


def test_worker_that_fails_fast_does_not_attract_requests() -> None:
    # Regression: a worker that returns errors at once is always available and receives every request. For an unsafe
    # request, which must not be repeated, one error ejects the worker, because each error loses a request. Requests of
    # other classes are retried.
    bench = Bench(entry("a"), entry("b"))
    errors = 0
    for number in range(20):
        worker = only(bench.job("pay"), StartAttempt).worker
        bench.started(f"j{number}", worker)
        if worker == "a":
            errors += 1
            bench.ended(f"j{number}", worker, Outcome.ERROR)
        else:
            bench.ended(f"j{number}", worker)
    assert errors == 1


def run_safe_request(bench: Bench) -> bool:
    """Run one safe request, which fails at worker "a" and is then retried at "b"; return True if it failed."""
    name = f"j{bench.made}"
    worker, attempt = only(bench.job(), StartAttempt).worker, 0
    bench.started(name, worker)
    failed = bool(worker == "a")
    if failed:
        worker, attempt = only(bench.ended(name, "a", Outcome.ERROR), StartAttempt).worker, 1
        bench.started(name, worker, attempt)
    bench.ended(name, worker, attempt=attempt)
    return failed


def test_three_errors_of_safe_requests_eject_a_worker() -> None:
    bench = Bench(entry("a"), entry("b"))
    assert sum(run_safe_request(bench) for _ in range(20)) == 3


def test_returned_worker_is_ejected_again_at_its_next_error() -> None:
    # Regression: after each short ejection a worker was ejected again only after three more errors.
    bench = Bench(entry("a"), entry("b"))
    assert sum(run_safe_request(bench) for _ in range(20)) == 3
    for _ in range(2):
        for probe in of(bench.pass_time(SECOND), CheckHealth):
            bench.give(HealthCheckEnded(probe.worker, Outcome.OK))
        assert sum(run_safe_request(bench) for _ in range(20)) == 1


def test_failed_connection_ejects_a_worker_until_a_health_check_and_a_trial_request() -> None:
    bench = Bench(entry("a"), entry("b"))
    first = only(bench.job(), StartAttempt).worker
    other = "b" if first == "a" else "a"
    assert only(bench.ended("j0", first, Outcome.CONNECT_FAILED), StartAttempt).worker == other
    probe = of(bench.pass_time(SECOND), CheckHealth)
    assert probe == [CheckHealth(first)]
    bench.give(HealthCheckEnded(first, Outcome.OK))
    bench.started("j0", other, 1)
    sends = of(bench.job() + bench.job() + bench.job(), StartAttempt)
    assert [send.worker for send in sends].count(first) == 1


def test_ejections_grow_while_health_checks_fail() -> None:
    bench = Bench(entry("a"))
    bench.job(due=60 * SECOND)
    bench.ended("j0", "a", Outcome.CONNECT_FAILED)
    probes = 0
    for _ in range(100):
        for _ in of(bench.pass_time(100 * MS), CheckHealth):
            probes += 1
            bench.give(HealthCheckEnded("a", Outcome.TIMED_OUT))
        bench.job()
    assert 20 <= probes <= 30  # health checks run after 100 ms, 200 ms, and then every 400 ms


def test_running_request_of_an_unresponsive_worker_moves_to_another() -> None:
    # Regression: a worker behind a network partition ends no attempt; only its progress events stop.
    bench = Bench(entry("a"), entry("b"))
    worker = only(bench.job(due=20 * SECOND), StartAttempt).worker
    bench.started("j0", worker)
    for _ in range(3):
        assert of(bench.pass_time(SECOND), StartAttempt) == []
        bench.give(AttemptProgressed("j0", 0, worker, 0.1))
    assert only(bench.pass_time(3 * SECOND), StartAttempt).worker != worker


def test_queued_request_does_not_make_its_worker_unresponsive() -> None:
    bench = Bench(entry("a"))
    bench.job(due=20 * SECOND)
    assert of(bench.pass_time(5 * SECOND), StartAttempt | CancelAttempt | WriteLog) == []


def test_request_that_never_starts_is_retried_and_its_worker_stays_available() -> None:
    """Regression: a connection stalled before the start was reported.

    The missing start then kept the worker unavailable for other requests.
    """
    bench = Bench(entry("a"), entry("b"))
    bench.job("pay", due=60 * SECOND)
    other = only(bench.last, StartAttempt).worker
    bench.started("j0", other)
    worker = only(bench.job(due=4 * SECOND), StartAttempt).worker
    assert of(bench.pass_time(500 * MS), StartAttempt) == []
    sent = of(bench.pass_time(500 * MS), StartAttempt)
    assert [(start.request_id, start.worker) for start in sent] == [("j1", other)]
    assert CancelAttempt("j1", 0) in bench.last or tracked_request(bench.dispatcher, "j1").attempts[0].is_cancelled
    bench.ended("j1", worker, Outcome.CANCELLED)
    bench.started("j1", other, attempt=1)
    bench.ended("j1", other, attempt=1)
    # An unsafe request stays in flight, but other activity of its worker makes the worker available again.
    bench.job("pay", due=60 * SECOND)
    lost = only(bench.last, StartAttempt).worker
    bench.pass_time(100 * MS)
    parts = parts_of(bench.dispatcher)
    parts.ejection.record_activity(parts.endpoints.workers[lost])
    bench.pass_time(2 * SECOND)
    assert parts.acceptance.is_available(parts.endpoints.workers[lost], bench.now)


def test_capacity_is_left_where_other_dispatchers_queue_too() -> None:
    # Regression: many dispatchers each kept one request queued at a worker; together these requests waited longer than
    # every latency target.
    for dispatchers, waits in ((20, True), (2, False)):
        bench = Bench(entry("a"), dispatchers=dispatchers)
        bench.run_job()
        bench.job()
        bench.pass_time(100 * MS)
        bench.started("j1", "a")
        bench.pass_time(MS)
        bench.ended("j1", "a")
        assert (of(bench.job(), StartAttempt) == []) is waits
        assert len(of(bench.pass_time(200 * MS), StartAttempt)) == waits


def test_restart_ends_an_ejection_and_begins_slow_start() -> None:
    bench = Bench(entry("a"), dispatchers=8)
    bench.job(due=60 * SECOND)
    bench.ended("j0", "a", Outcome.CONNECT_FAILED)
    given = bench.listed(entry("a", started_ns=bench.now))
    # Eight dispatchers share a fifth of the worker's capacity, so the budget is still too small for this request.
    assert of(given, StartAttempt) == []
    assert of(given, WriteLog) != []


def test_a_cold_worker_gets_no_more_than_its_share_in_any_window() -> None:
    # Regression: all dispatchers together overloaded a worker that had just started.
    work, dispatchers = 50 * MS, 3
    bench = Bench(entry("a", started_ns=START), dispatchers=dispatchers)
    sent: list[int] = []
    for _ in range(400):
        given = bench.job(service_hint_ns=work)
        for send in of(given, StartAttempt):
            sent.append(bench.now)
            bench.started(send.request_id, "a")
            bench.ended(send.request_id, "a")
        bench.pass_time(20 * MS)
    assert sent
    for window_start in sent:
        window = [sent_at for sent_at in sent if window_start <= sent_at < window_start + 2 * SECOND]
        share = 0.2 + 0.8 * (window_start + 2 * SECOND - START) / (10 * SECOND)
        assert len(window) * work <= 3.0 * share * 2 * SECOND / dispatchers


class CountingSlowStart(SlowStart):
    """Counts the computations of slow-start budgets."""

    budgets = 0

    def _comparable_slots(self, worker: TrackedWorker, now: int) -> float:
        self.budgets += 1
        return super()._comparable_slots(worker, now)


class CountingAcceptance(WorkerAcceptance):
    """Counts the tests whether a worker is available or accepts a request."""

    tests = availability_tests = 0

    def is_available(self, worker: TrackedWorker, now: int) -> bool:
        self.availability_tests += 1
        return super().is_available(worker, now)

    def accepts(self, worker: TrackedWorker, request: TrackedRequest, now: int) -> bool:
        self.tests += 1
        return super().accepts(worker, request, now)


def count_tests(dispatcher: Dispatcher) -> tuple[CountingAcceptance, CountingSlowStart]:
    """Make a dispatcher count its tests of workers and its computations of slow-start budgets."""
    parts = parts_of(dispatcher)
    plant(parts.acceptance, CountingAcceptance)
    plant(parts.slow_start, CountingSlowStart)
    return cast("CountingAcceptance", parts.acceptance), cast("CountingSlowStart", parts.slow_start)


def test_cold_workers_are_not_tested_again_for_every_pending_request_and_sweep() -> None:
    # Regression: after a fleet grew by 100 workers the dispatcher needed more CPU time than it had, so that all answers
    # were late.
    workers, jobs = 100, 40
    cold = [entry(f"w{number}", started_ns=START) for number in range(workers)]
    bench = Bench(dispatchers=12)
    bench.dispatcher = Dispatcher(settings(dispatchers=12), 1)
    acceptance, slow_start = count_tests(bench.dispatcher)
    bench.timers.clear()
    bench.listed(*cold, kind=ListKind.WARM_COPY)
    for _ in range(jobs):
        bench.job()
    acceptance.tests = slow_start.budgets = 0
    bench.give()
    assert acceptance.tests <= workers  # each worker is tested once for all requests of a kind
    slow_start.budgets = 0
    bench.pass_time(150 * MS)
    assert slow_start.budgets <= workers  # only time has passed, so each budget is computed once for all sweeps


def test_cold_worker_accepts_a_request_once_its_budget_has_grown() -> None:
    # Regression: a cold worker whose rejection is cached and never tested again would stay unavailable for good.
    patient = replace(SAFE, late_value=0.5, deadline_ns=60 * SECOND)
    bench = Bench(entry("a", started_ns=START), classes=(patient,))
    # 1.5 s of work exceeds the budget: safety factor 0.7 x initial share 0.2 x overload multiple 3 x window 2 s.
    assert of(bench.job(service_hint_ns=1500 * MS, due=60 * SECOND), StartAttempt) == []
    share = 1500 * MS / (0.7 * 3.0 * 2 * SECOND)
    grown = round((share - 0.2) / 0.8 * 10 * SECOND)
    assert of(bench.pass_time(grown - 30 * MS), StartAttempt) == []
    assert len(of(bench.pass_time(60 * MS), StartAttempt)) == 1


def test_workers_are_watched_again_after_a_lost_list() -> None:
    bench = Bench(entry("a"), discovery=Discovery.ASKED)
    assert of(bench.last, WatchWorkers) == [WatchWorkers(True)]
    assert of(bench.give(WorkersListed(ListKind.LOST)), WatchWorkers) == []
    assert of(bench.pass_time(SECOND), WatchWorkers) == [WatchWorkers(True)]


def test_lost_answers_do_not_keep_a_recovered_worker_busy() -> None:
    # Regression: after a network partition the answers of requests that ran at the worker never arrive, and the worker
    # counted as busy with these requests.
    bench = Bench(entry("a"))
    bench.job("pay", due=60 * SECOND)
    bench.started("j0", "a")
    probes = of(bench.pass_time(3 * SECOND), CheckHealth)
    assert probes == [CheckHealth("a")]
    bench.give(HealthCheckEnded("a", Outcome.OK))
    assert only(bench.job(), StartAttempt).worker == "a"


def test_no_sweep_is_scheduled_while_nothing_can_be_due() -> None:
    # Regression: hundreds of dispatchers that each sweep every few quanta need more CPU time than the machines have.
    bench = Bench(entry("a"))
    (sent,) = of(bench.job(), StartAttempt)
    bench.give(AttemptStarted(sent.request_id, 0, sent.worker))
    bench.pass_time(500 * MS)
    assert len(bench.timers) <= 1
    assert all(when - bench.now >= 100 * MS for when, _ in bench.timers)


def test_dispatchers_take_turns_at_a_cold_worker_where_each_share_is_below_one_request() -> None:
    # Regression: with hundreds of dispatchers each equal share of the budget is less than one request, so a zone
    # that returned after an outage received no requests.
    dispatchers, sends = 200, 0
    for number in range(dispatchers):
        bench = Bench(entry("a", started_ns=START), dispatchers=dispatchers, own_number=number)
        bench.job(service_hint_ns=100 * MS)
        sends += bool(of(bench.last, StartAttempt)) + len(of(bench.pass_time(2 * SECOND), StartAttempt))
    # Budget: overload multiple x share of capacity at the window's end x window, for a worker of one slot.
    budget = 3.0 * 0.36 * 2 * SECOND
    assert 0 < sends * 100 * MS <= budget


def large_fleet(*workers: WorkerEntry) -> Bench:
    """Return one dispatcher of twenty, without load reports, where a request may have only one attempt in flight."""
    return Bench(*workers, dispatchers=20, limits=replace(LIMITS, second_copies=False))


def test_late_start_skips_a_worker_for_one_round_in_a_large_fleet() -> None:
    # Regression: a dispatcher that rarely sends to a slow worker does not learn its limit, so slow workers get as many
    # requests as fast ones and are overloaded.
    bench = large_fleet(entry("a"), entry("b"))
    for _ in range(2):
        bench.run_job()
    late = only(bench.job(), StartAttempt).worker
    bench.pass_time(100 * MS)
    bench.started("j2", late)
    bench.pass_time(SECOND)
    bench.ended("j2", late)
    bench.pass_time(5 * SECOND)
    bench.run_job()
    assert bench.run_job() != late  # the late worker is skipped for one round
    assert late in {bench.run_job(), bench.run_job()}


def test_queued_keyed_request_moves_only_while_queues_are_short_in_a_large_fleet() -> None:
    # Regression: where a cancelled attempt still occupies its queue, moving every request fills several queues for each
    # request, and all workers are overloaded.
    bench = large_fleet(*(entry(f"w{number}") for number in range(6)))
    bench.run_job()
    bench.job("book")
    assert len(of(bench.pass_time(50 * MS), CancelAttempt)) == 1
    full = large_fleet(*(entry(f"w{number}") for number in range(6)))
    full.run_job()
    for _ in range(6):
        worker = only(full.job(), StartAttempt).worker
        full.pass_time(400 * MS)
        full.started(f"j{full.made - 1}", worker)
        full.ended(f"j{full.made - 1}", worker)
    full.job("book")
    assert of(full.pass_time(50 * MS), CancelAttempt) == []


def test_pending_requests_are_tested_only_against_changed_workers() -> None:
    # Regression: after a deployment grew to 100 workers, testing all of them again at every event exceeded its CPU
    # allowance, and the deployment was cut off.
    bench = Bench(*(entry(f"w{number}") for number in range(20)))
    bench.dispatcher = Dispatcher(settings(), 1)
    acceptance, _ = count_tests(bench.dispatcher)
    bench.timers.clear()
    bench.listed(*(entry(f"w{number}") for number in range(20)), kind=ListKind.WARM_COPY)
    sent = [of(bench.job(), StartAttempt) for _ in range(25)]
    first = sent[0][0].worker
    acceptance.availability_tests = 0
    given = bench.started("j0", first)
    assert [action.worker for action in of(given, StartAttempt)] == [first]
    assert acceptance.availability_tests <= 3


@pytest.mark.parametrize("outcome", [Outcome.BROKEN, Outcome.UNSENT])
def test_worker_is_ejected_after_two_broken_connections_without_activity_between(outcome: Outcome) -> None:
    """Regression: every broken connection ejected its worker.

    Requests are killed and connections break also at healthy workers, which then became unavailable.
    """
    bench = Bench(entry("a"), limits=replace(LIMITS, max_attempts=9))
    sent = [action.worker for action in of(bench.job(due=60 * SECOND), StartAttempt)]
    again = of(bench.ended("j0", "a", outcome), StartAttempt)
    assert [repeat.worker for repeat in again] == sent == ["a"]
    bench.give(AttemptStarted("j0", 1, "a"))  # a start shows activity of the worker between two broken connections
    assert of(bench.ended("j0", "a", outcome, attempt=1), StartAttempt) != []
    assert of(bench.ended("j0", "a", outcome, attempt=2), StartAttempt) == []
    assert of(bench.last, WriteLog) != []


def test_connection_broken_before_the_send_does_not_count_as_attempt() -> None:
    bench = Bench(*(entry(name) for name in "abc"), limits=replace(LIMITS, max_attempts=1))
    worker = only(bench.job("pay", due=60 * SECOND), StartAttempt).worker
    other = only(bench.ended("j0", worker, Outcome.UNSENT), StartAttempt).worker
    assert other != worker
    given = bench.ended("j0", other, Outcome.RESET, attempt=1)
    assert of(given, StartAttempt) == []
    assert of(given, FailRequest) != []


def test_request_without_progress_is_retried_and_no_longer_counts_as_load() -> None:
    """Regression: a request whose connection had stalled still counted as load, and so occupied a slot for ever."""
    bench = Bench(entry("a"), entry("b"))
    worker = only(bench.job(due=4 * SECOND), StartAttempt).worker
    bench.started("j0", worker)
    bench.pass_time(1200 * MS)
    stalled = parts_of(bench.dispatcher).endpoints.workers[worker]
    assert stalled.load == 1
    bench.job("pay", due=60 * SECOND)
    other = only(bench.last, StartAttempt).worker
    bench.started("j1", other)
    bench.job("pay", due=60 * SECOND)
    assert only(bench.last, StartAttempt).worker == worker
    bench.started("j2", worker)
    sent = of(bench.pass_time(600 * MS), StartAttempt)
    assert [(start.request_id, start.worker) for start in sent] == [("j0", other)]
    assert stalled.load == 1
    assert not stalled.ejected_until


def test_sweeps_are_scheduled_at_whole_microseconds() -> None:
    """Guards against skipped sweeps.

    A clock of whole microseconds fired a timer up to a microsecond early, and the dispatcher ignored the timer as not
    yet due.
    """
    bench = Bench(entry("a"))
    actions: list[Action] = []
    for step in range(40):
        bench.now += 123_457
        actions += bench.job(due=SECOND + step * 7)
        actions += bench.pass_time(3 * MS + 11)
    actions += bench.pass_time(2 * SECOND)
    sweep_times = [action.when_ns for action in of(actions, SetTimer)]
    assert len(sweep_times) > 40
    assert all(when % 1000 == 0 for when in sweep_times)
    assert len(of(actions, (RejectRequest, FailRequest))) == 40
