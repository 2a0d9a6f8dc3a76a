"""Busy, dead and cold workers, each failure found with the test that answers it."""

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


def test_a_late_start_cuts_the_cap_which_regrows() -> None:
    bench = Bench(entry("a"))
    bench.run_job(span=200 * MS)
    bench.job()
    bench.pass_time(MS)
    bench.started("j1", "a")
    bench.job()
    bench.pass_time(20 * MS)  # j2 does not start: full with one of ours
    bench.ended("j1", "a")
    bench.started("j2", "a")
    assert of(bench.job(), StartAttempt) == []
    assert of(bench.pass_time(50 * MS), StartAttempt) == []
    assert len(of(bench.pass_time(200 * MS), StartAttempt)) == 1  # a mean job later it is tried one higher


def test_full_with_nothing_of_ours_there_is_not_asked_again_at_once() -> None:
    # Regression: a full worker with none of our jobs would be open again the same instant, for ever.
    bench = Bench(entry("a"))
    bench.job()
    assert of(bench.ended("j0", "a", Outcome.FULL), StartAttempt) == []
    assert len(of(bench.pass_time(3 * SECOND), StartAttempt)) == 1


def test_a_fast_failing_worker_does_not_attract_the_work() -> None:
    # Regression: a worker that answers errors at once is always open and would draw every job.
    # A job that must not be repeated is lost by each error: one is enough. Others are tried again.
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


def retried(bench: Bench) -> bool:
    """One job that can be repeated; where worker a gets it, it fails there and is done elsewhere. Whether a got it."""
    name = f"j{bench.made}"
    worker, attempt = only(bench.job(), StartAttempt).worker, 0
    bench.started(name, worker)
    failed = bool(worker == "a")
    if failed:
        worker, attempt = only(bench.ended(name, "a", Outcome.ERROR), StartAttempt).worker, 1
        bench.started(name, worker, attempt)
    bench.ended(name, worker, attempt=attempt)
    return failed


def test_three_errors_rest_a_worker_whose_jobs_can_be_repeated() -> None:
    bench = Bench(entry("a"), entry("b"))
    assert sum(retried(bench) for _ in range(20)) == 3


def test_a_worker_back_from_its_rest_is_rested_again_at_its_next_error() -> None:
    # Regression: back from each short rest it had three more errors to make.
    bench = Bench(entry("a"), entry("b"))
    assert sum(retried(bench) for _ in range(20)) == 3
    for _ in range(2):
        for probe in of(bench.pass_time(SECOND), CheckHealth):
            bench.give(HealthCheckEnded(probe.worker, Outcome.OK))
        assert sum(retried(bench) for _ in range(20)) == 1


def test_a_failed_connection_rests_a_worker_until_a_probe_and_a_trial_job() -> None:
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


def test_rests_grow_while_probes_fail() -> None:
    bench = Bench(entry("a"))
    bench.job(due=60 * SECOND)
    bench.ended("j0", "a", Outcome.CONNECT_FAILED)
    probes = 0
    for _ in range(100):
        for _ in of(bench.pass_time(100 * MS), CheckHealth):
            probes += 1
            bench.give(HealthCheckEnded("a", Outcome.TIMED_OUT))
        bench.job()
    assert 20 <= probes <= 30  # 100, 200, then every 400 ms


def test_a_silent_worker_loses_its_running_job_to_another() -> None:
    # Regression: a worker that was cut off ends no attempt; only its progress notes stop.
    bench = Bench(entry("a"), entry("b"))
    worker = only(bench.job(due=20 * SECOND), StartAttempt).worker
    bench.started("j0", worker)
    for _ in range(3):
        assert of(bench.pass_time(SECOND), StartAttempt) == []
        bench.give(AttemptProgressed("j0", 0, worker, 0.1))
    assert only(bench.pass_time(3 * SECOND), StartAttempt).worker != worker


def test_a_queued_job_is_no_sign_of_silence() -> None:
    bench = Bench(entry("a"))
    bench.job(due=20 * SECOND)
    assert of(bench.pass_time(5 * SECOND), StartAttempt | CancelAttempt | WriteLog) == []


def test_a_job_that_never_starts_is_sent_again_and_keeps_nobody_from_its_worker() -> None:
    """Regression: its connection fell silent under way; the start that never came shut the worker out."""
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
    # One that may not be repeated is left out there, but its worker is heard of and gets more.
    bench.job("pay", due=60 * SECOND)
    lost = only(bench.last, StartAttempt).worker
    bench.pass_time(100 * MS)
    parts = parts_of(bench.dispatcher)
    parts.ejection.record_activity(parts.endpoints.workers[lost])
    bench.pass_time(2 * SECOND)
    assert parts.acceptance.is_available(parts.endpoints.workers[lost], bench.now)


def test_room_is_left_where_others_queue_too() -> None:
    # Regression: many dispatchers, each keeping one job queued at a worker, outlast every aim together.
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


def test_a_restart_clears_rest_and_keys_and_is_cold() -> None:
    bench = Bench(entry("a"), dispatchers=8)
    bench.job(due=60 * SECOND)
    bench.ended("j0", "a", Outcome.CONNECT_FAILED)
    given = bench.listed(entry("a", started_ns=bench.now))
    assert of(given, StartAttempt) == []  # a fifth of a worker, shared by eight: no room for this job yet
    assert of(given, WriteLog) != []


def test_a_cold_worker_gets_no_more_than_its_share_in_any_window() -> None:
    # Regression: all dispatchers together push over a worker that has just started.
    work, dispatchers = 50 * MS, 3
    hinted = Bench(entry("a", started_ns=START), dispatchers=dispatchers)
    sent: list[int] = []
    for _ in range(400):
        given = hinted.job(service_hint_ns=work)
        for send in of(given, StartAttempt):
            sent.append(hinted.now)
            hinted.started(send.request_id, "a")
            hinted.ended(send.request_id, "a")
        hinted.pass_time(20 * MS)
    assert sent
    for begin in sent:
        window = [moment for moment in sent if begin <= moment < begin + 2 * SECOND]
        share = 0.2 + 0.8 * (begin + 2 * SECOND - START) / (10 * SECOND)
        assert len(window) * work <= 3.0 * share * 2 * SECOND / dispatchers


class CountingSlowStart(SlowStart):
    """Counts how often it works out the budget of a worker that warms up."""

    budgets = 0

    def _comparable_slots(self, worker: TrackedWorker, now: int) -> float:
        self.budgets += 1
        return super()._comparable_slots(worker, now)


class CountingAcceptance(WorkerAcceptance):
    """Counts how often it tests a worker for a request."""

    tests = availability_tests = 0

    def is_available(self, worker: TrackedWorker, now: int) -> bool:
        self.availability_tests += 1
        return super().is_available(worker, now)

    def accepts(self, worker: TrackedWorker, request: TrackedRequest, now: int) -> bool:
        self.tests += 1
        return super().accepts(worker, request, now)


def count_tests(dispatcher: Dispatcher) -> tuple[CountingAcceptance, CountingSlowStart]:
    """Have a dispatcher count its tests of workers and the budgets that it works out."""
    parts = parts_of(dispatcher)
    plant(parts.acceptance, CountingAcceptance)
    plant(parts.slow_start, CountingSlowStart)
    return cast("CountingAcceptance", parts.acceptance), cast("CountingSlowStart", parts.slow_start)


def test_many_cold_workers_are_not_asked_again_for_every_held_job_and_sweep() -> None:
    # Regression: a fleet that grows by a hundred workers took more time than there was, and all came late.
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
    assert acceptance.tests <= workers  # once for all jobs of a kind
    slow_start.budgets = 0
    bench.pass_time(150 * MS)
    assert slow_start.budgets <= workers  # nothing changed but the time: once for all sweeps


def test_a_cold_worker_without_room_takes_a_job_when_its_share_has_grown() -> None:
    # Regression: not asked again, it would stay closed for good.
    patient = replace(SAFE, late_value=0.5, deadline_ns=60 * SECOND)
    bench = Bench(entry("a", started_ns=START), classes=(patient,))
    assert of(bench.job(service_hint_ns=1500 * MS, due=60 * SECOND), StartAttempt) == []  # over .7 x .2 x 3 x 2 s
    share = 1500 * MS / (0.7 * 3.0 * 2 * SECOND)
    grown = round((share - 0.2) / 0.8 * 10 * SECOND)
    assert of(bench.pass_time(grown - 30 * MS), StartAttempt) == []
    assert len(of(bench.pass_time(60 * MS), StartAttempt)) == 1


def test_asked_for_discovery_is_watched_and_asked_again_after_a_loss() -> None:
    bench = Bench(entry("a"), discovery=Discovery.ASKED)
    assert of(bench.last, WatchWorkers) == [WatchWorkers(True)]
    assert of(bench.give(WorkersListed(ListKind.LOST)), WatchWorkers) == []
    assert of(bench.pass_time(SECOND), WatchWorkers) == [WatchWorkers(True)]


def test_lost_answers_do_not_keep_a_healed_worker_busy() -> None:
    # Regression: after a cut the answers of what ran there never come; the worker must not wait for them.
    bench = Bench(entry("a"))
    bench.job("pay", due=60 * SECOND)
    bench.started("j0", "a")
    probes = of(bench.pass_time(3 * SECOND), CheckHealth)
    assert probes == [CheckHealth("a")]
    bench.give(HealthCheckEnded("a", Outcome.OK))
    assert only(bench.job(), StartAttempt).worker == "a"


def test_no_sweep_is_asked_for_while_nothing_can_be_due() -> None:
    # Regression: hundreds of dispatchers that each look every few quanta take more CPU time than there is.
    bench = Bench(entry("a"))
    (sent,) = of(bench.job(), StartAttempt)
    bench.give(AttemptStarted(sent.request_id, 0, sent.worker))
    bench.pass_time(500 * MS)
    assert len(bench.timers) <= 1
    assert all(when - bench.now >= 100 * MS for when, _ in bench.timers)


def test_cold_workers_are_sent_to_in_turns_where_an_equal_part_holds_no_job() -> None:
    # Regression: among hundreds of dispatchers each part is less than one job, and a returning zone stays unused.
    dispatchers, sends = 200, 0
    for number in range(dispatchers):
        bench = Bench(entry("a", started_ns=START), dispatchers=dispatchers, own_number=number)
        bench.job(service_hint_ns=100 * MS)
        sends += bool(of(bench.last, StartAttempt)) + len(of(bench.pass_time(2 * SECOND), StartAttempt))
    budget = 3.0 * 0.36 * 2 * SECOND  # multiple x share at the window's end x one slot x window
    assert 0 < sends * 100 * MS <= budget


def crowd(*workers: WorkerEntry) -> Bench:
    """A dispatcher among twenty, without load reports, where two may not be out at once."""
    return Bench(*workers, dispatchers=20, limits=replace(LIMITS, second_copies=False))


def test_a_late_start_costs_a_worker_its_next_turn_among_a_crowd() -> None:
    # Regression: met rarely, slow workers get as many jobs as quick ones, and drown.
    bench = crowd(entry("a"), entry("b"))
    for _ in range(2):
        bench.run_job()
    late = only(bench.job(), StartAttempt).worker
    bench.pass_time(100 * MS)
    bench.started("j2", late)
    bench.pass_time(SECOND)
    bench.ended("j2", late)
    bench.pass_time(5 * SECOND)
    bench.run_job()
    assert bench.run_job() != late  # the worker's turn, lost
    assert late in {bench.run_job(), bench.run_job()}


def test_a_waiting_keyed_job_moves_among_a_crowd_while_queues_are_short() -> None:
    # Regression: moved while cancels leave work behind, every job fills several queues, and all collapse.
    bench = crowd(*(entry(f"w{number}") for number in range(6)))
    bench.run_job()
    bench.job("book")
    assert len(of(bench.pass_time(50 * MS), CancelAttempt)) == 1
    full = crowd(*(entry(f"w{number}") for number in range(6)))
    full.run_job()
    for _ in range(6):
        worker = only(full.job(), StartAttempt).worker
        full.pass_time(400 * MS)
        full.started(f"j{full.made - 1}", worker)
        full.ended(f"j{full.made - 1}", worker)
    full.job("book")
    assert of(full.pass_time(50 * MS), CancelAttempt) == []


def test_what_nobody_took_is_offered_only_where_something_changed() -> None:
    # Regression: with a hundred workers asked again at every event, a grown deployment was cut off for its CPU.
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
def test_one_broken_connection_rests_nobody_and_two_without_a_sign_of_work_do(outcome: Outcome) -> None:
    """Regression: jobs are killed and connections break on healthy workers; a rest for each shut those out."""
    bench = Bench(entry("a"), limits=replace(LIMITS, max_attempts=9))
    sent = [action.worker for action in of(bench.job(due=60 * SECOND), StartAttempt)]
    again = of(bench.ended("j0", "a", outcome), StartAttempt)
    assert [repeat.worker for repeat in again] == sent == ["a"]
    bench.give(AttemptStarted("j0", 1, "a"))  # a sign of work between two breaks
    assert of(bench.ended("j0", "a", outcome, attempt=1), StartAttempt) != []
    assert of(bench.ended("j0", "a", outcome, attempt=2), StartAttempt) == []
    assert of(bench.last, WriteLog) != []


def test_a_break_before_the_job_was_sent_is_no_try_and_no_sign_of_a_full_ring() -> None:
    bench = Bench(*(entry(name) for name in "abc"), limits=replace(LIMITS, max_attempts=1))
    worker = only(bench.job("pay", due=60 * SECOND), StartAttempt).worker
    other = only(bench.ended("j0", worker, Outcome.UNSENT), StartAttempt).worker
    assert other != worker
    given = bench.ended("j0", other, Outcome.RESET, attempt=1)
    assert of(given, StartAttempt) == []
    assert of(given, FailRequest) != []


def test_a_job_whose_notes_stop_is_sent_again_and_is_no_load_while_its_worker_is_well() -> None:
    """Regression: an answer's connection may fall silent under one job; counted on, it keeps a slot for ever."""
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


def test_sweeps_are_asked_for_at_whole_microseconds() -> None:
    """Guards the sweeps: a clock of microseconds fired a timer a part of one early, and it was passed over."""
    bench = Bench(entry("a"))
    given: list[Action] = []
    for step in range(40):
        bench.now += 123_457
        given += bench.job(due=SECOND + step * 7)
        given += bench.pass_time(3 * MS + 11)
    given += bench.pass_time(2 * SECOND)
    asked = [action.when_ns for action in of(given, SetTimer)]
    assert len(asked) > 40
    assert all(when % 1000 == 0 for when in asked)
    assert len(of(given, (RejectRequest, FailRequest))) == 40
