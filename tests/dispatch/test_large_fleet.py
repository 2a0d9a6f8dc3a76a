"""Tests of dispatchers in a large fleet without shared state: choices that are harmless for one but harmful for 40."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

import pytest

from canvasbeam import Dispatcher
from canvasbeam.dispatch.actions import CancelAttempt, CheckHealth, FailRequest, RejectRequest, StartAttempt
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
from canvasbeam.dispatch.settings import Effect, RequestClass, Rules, Weights
from tests.support.helpers import LIMITS, MS, SAFE, SECOND, START, Bench, entry, of, only, settings
from tests.support.planted_faults import parts_of, tracked_request

LIVE_WEIGHTS: dict[str, Any] = {"dispatchers": 40, "weights": Weights.LIVE, "report_fields": ("free_slots",)}


def ring(*loads: float, size: float = 4.0, zone: str = "here") -> list[WorkerEntry]:
    """Return workers whose live weights report these numbers of queued and running requests per slot."""
    return [entry(f"{zone}{place}", zone, weight=size / (1 + load)) for place, load in enumerate(loads)]


def large_fleet(*workers: WorkerEntry) -> Bench:
    """Return one dispatcher of forty, which has learned the weight of an idle worker from an earlier list."""
    bench = Bench(entry("gone", weight=4.0), **LIVE_WEIGHTS)
    bench.listed(*workers)
    return bench


def test_large_fleet_skips_workers_that_the_list_shows_loaded() -> None:
    """Guards against plain round-robin, which sent full workers as many requests as idle ones.

    The full workers had been filled by all forty dispatchers together.
    """
    bench = large_fleet(*ring(3, 0, 3, 3, 0, 3))
    sent = {only(bench.job(), StartAttempt).worker for _ in range(2)}
    assert sent == {"here1", "here4"}
    # The third request stays pending: the load estimates of both idle workers now include a request of each other
    # dispatcher.
    assert not of(bench.job(), StartAttempt)


def test_pending_request_accepts_more_loaded_workers_the_longer_it_waits() -> None:
    bench = large_fleet(*ring(3, 3.5, 4))
    assert not of(bench.job(), StartAttempt)
    assert next(action.worker for action in of(bench.pass_time(SECOND), StartAttempt)) == "here0"


def test_other_zones_get_only_requests_for_which_the_own_ring_has_no_capacity() -> None:
    full, empty = ring(3, 3), ring(0, zone="there")
    assert only(large_fleet(*full, *empty).job(), StartAttempt).worker == "there0"
    assert only(large_fleet(*ring(0.7, 3), *empty).job(), StartAttempt).worker == "here0"
    # Workers of other zones count as saturated at a lower load, which leaves capacity for their own zone's requests.
    assert not of(large_fleet(*full, *ring(0.7, zone="there")).job(), StartAttempt)


def test_load_of_other_zones_is_not_assumed_to_drain_between_two_lists() -> None:
    """Guards against the assumption that workers of other zones drain their queues between two lists.

    Half a second after a list, nearly full zones were taken to be idle, and all requests of a lost zone went to them.
    """
    for zone, sends in (("here", 1), ("there", 0)):
        bench = large_fleet(*ring(1.5, zone=zone))
        bench.pass_time(300 * MS)
        assert len(of(bench.job(), StartAttempt)) == sends


def test_small_fleet_ignores_the_listed_load() -> None:
    for dispatchers in (1, 4):
        bench = Bench(entry("gone", weight=4.0), dispatchers=dispatchers, weights=Weights.LIVE)
        bench.listed(*ring(3, 3))
        assert len(of(bench.job(), StartAttempt)) == 1


@pytest.mark.parametrize("weight", [0.0, -1.0, math.nan, math.inf])
def test_invalid_weight_is_ignored(weight: float) -> None:
    bench = large_fleet(*ring(3, 0))
    bench.listed(entry("here0", weight=weight), entry("here1", weight=weight), kind=ListKind.CHANGES)
    assert only(bench.job(), StartAttempt).worker == "here1"


def test_no_worker_is_probed_where_lists_carry_load() -> None:
    """Guards against probe storms: forty dispatchers made 2000 probes a second to place 400 requests."""
    bench = large_fleet(*ring(*[0.0] * 8))
    given = [action for _ in range(20) for action in [*bench.job(), *bench.pass_time(20 * MS)]]
    assert len(of(given, StartAttempt)) >= 8
    assert not of(given, CheckHealth)


def test_queued_request_moves_to_an_idle_worker_of_its_own_zone_only() -> None:
    """Guards against requests that stay queued behind urgent ones until their deadline while other workers are idle."""
    for elsewhere, moved in (("here", ["here1"]), ("there", [])):
        bench = large_fleet(*ring(0))
        assert only(bench.job(), StartAttempt).worker == "here0"
        first = entry("here0", weight=1.0)
        bench.listed(first, *(entry for entry in ring(0, 0, zone=elsewhere) if entry.worker[-1] == "1"))
        given = bench.pass_time(SECOND)
        assert [action.worker for action in of(given, StartAttempt)] == moved
        assert len(of(given, CancelAttempt)) == len(moved)


def test_queued_unsafe_request_does_not_move() -> None:
    bench = large_fleet(*ring(0))
    assert only(bench.job("pay"), StartAttempt).worker == "here0"
    bench.listed(entry("here0", weight=1.0), ring(0, 0)[1])
    assert not of(bench.pass_time(4 * SECOND), StartAttempt)


def test_urgent_request_needs_a_less_loaded_worker() -> None:
    """Guards against preemption: urgent requests preempted running ones; one request in ten was lost and repeated."""
    urgent = RequestClass("urgent", latency_target_ns=SECOND, deadline_ns=20 * SECOND, priority=1)
    for job_class, count in (("look", 1), ("urgent", 0)):
        bench = Bench(entry("gone", weight=4.0), classes=(SAFE, urgent), **LIVE_WEIGHTS)
        bench.listed(*ring(0.6))
        assert len(of(bench.job(job_class, 20 * SECOND), StartAttempt)) == count


def test_request_that_did_not_run_is_retried_only_at_a_recently_seen_worker() -> None:
    """Guards against retries at gone workers: with an outdated list a request used up all its attempts on them."""
    bench = large_fleet(*ring(*[0.0] * 4))
    good = bench.run_job()
    bench.listed(*ring(*[0.0] * 4), kind=ListKind.CHANGES)
    worker = only(bench.job(), StartAttempt).worker
    assert worker != good
    given = bench.give(AttemptEnded("j1", 0, worker, Outcome.CONNECT_FAILED))
    assert only(given, StartAttempt).worker == good


def test_preempted_request_ejects_no_worker_in_a_large_fleet() -> None:
    """Guards against ejection for a preempted request, which kept a healthy worker idle and cost a health check."""
    urgent = RequestClass("urgent", latency_target_ns=SECOND, deadline_ns=20 * SECOND, priority=1)
    for dispatchers, probes in ((40, 0), (1, 1)):
        bench = Bench(entry("here0"), classes=(SAFE, urgent), **{**LIVE_WEIGHTS, "dispatchers": dispatchers})
        bench.job()
        bench.started("j0", "here0")
        bench.ended("j0", "here0", Outcome.RESET)
        assert len(of(bench.pass_time(200 * MS), CheckHealth)) == probes


def test_error_ejects_a_worker_of_a_large_fleet_which_first_gets_a_safe_request_on_return() -> None:
    """Guards against a worker that fails every request fast and therefore looks idle.

    Every list shows this worker as the idlest, so forty dispatchers sent 50 requests a second to it.
    """
    bench = large_fleet(*ring(0))
    bench.job()
    bench.started("j0", "here0")
    bench.give(AttemptEnded("j0", 0, "here0", Outcome.ERROR))
    # The worker is ejected, and a health check follows.
    assert only(bench.pass_time(300 * MS), CheckHealth).worker == "here0"
    bench.job("pay")
    bench.listed(*ring(0), kind=ListKind.CHANGES)
    given = bench.give(HealthCheckEnded("here0", Outcome.OK))
    assert only(given, StartAttempt).request_id == "j0"
    bench.started("j0", "here0", attempt=1)
    bench.pass_time(20 * MS)
    bench.listed(*ring(0), kind=ListKind.CHANGES)
    given = bench.ended("j0", "here0", attempt=1)
    assert [action.request_id for action in of([*given, *bench.pass_time(SECOND)], StartAttempt)] == ["j1"]


def test_a_start_that_waited_for_a_new_connection_is_not_late() -> None:
    """Guards against slow handshakes: each first request on a new connection was taken to be queued at its worker."""
    bench = large_fleet(*ring(0))
    bench.job()
    bench.pass_time(40 * MS)
    bench.started("j0", "here0")
    bench.ended("j0", "here0")
    bench.pass_time(SECOND)
    bench.job()  # this request reuses the open connection, so its start is fast
    bench.pass_time(2 * MS)
    bench.started("j1", "here0")
    bench.job()  # the second request in flight needs a new connection
    attempt = tracked_request(bench.dispatcher, "j2").attempts[0]
    bench.pass_time(40 * MS)
    assert attempt.on_new_connection
    assert not attempt.is_late
    bench.pass_time(200 * MS)
    assert attempt.is_late


@pytest.mark.parametrize("senders", ["own zone", "all zones"])
def test_cold_worker_gets_most_of_its_budget_from_its_own_zone_and_never_more_than_all(senders: str) -> None:
    """Guards against equal shares of a cold worker's budget among all dispatchers.

    A zone whose workers all restarted used a quarter of their budget, and sent its requests to other zones meanwhile.
    """
    zones = ("here", "there", "yonder", "beyond")
    rules = Rules(initial_share=0.3, warm_up_ns=8 * SECOND, overload_multiple=3.0, overload_window_ns=3 * SECOND)
    cold = entry("cold", "here", weight=4.0, started_ns=START)
    sent = 0
    for number in range(40 if senders == "all zones" else 10):
        zone = zones[number // 10]
        dispatcher = Dispatcher(
            settings(zones=zones, own_zone=zone, own_number=number, rules=rules, **LIVE_WEIGHTS), number
        )  # fmt: skip
        dispatcher.handle(START, [WorkersListed(ListKind.WARM_COPY, (cold,), 1)])
        now = START
        for step in range(300):  # 3 s in which one request arrives every 0.3 s and is served at once
            now += 10 * MS
            events: list[Event] = [TimerFired("sweep")]
            if step % 30 == 0:
                events.append(RequestArrived(f"j{step}", "look", now + SECOND // 3, service_hint_ns=200 * MS))
                events.append(WorkersListed(ListKind.CHANGES, (cold,), 1))
            for send in of(dispatcher.handle(now, events), StartAttempt):
                sent += 1
                dispatcher.handle(now, [AttemptStarted(send.request_id, 0, "cold")])
                dispatcher.handle(now, [AttemptEnded(send.request_id, 0, "cold", Outcome.OK, final=True)])
    # Overload window 3 s x overload multiple 3 x share of capacity after 3 s of the 8 s warm-up / service time 0.2 s.
    # A worker counts as one slot until more slots are observed or reported.
    budget = 3 * 3 * (0.3 + 0.7 * 3 / 8) / 0.2
    assert sent <= budget
    if senders == "own zone":
        # With equal shares no request would be sent, because each share is less than one request.
        assert sent >= 3


def test_dispatchers_without_messages_load_workers_by_their_capacity() -> None:
    """Guards against equal turns for workers of unequal speed.

    Twenty dispatchers of one zone send to six workers, two of which are three times as fast as the others. The
    dispatchers exchange no messages.
    """
    sizes = [12.0, 4.0, 4.0, 12.0, 4.0, 4.0]
    kinds = ["quick" if size > 4 else "slow" for size in sizes]
    dispatchers = [
        Dispatcher(settings(limits=LIMITS, kinds=("quick", "slow"), own_number=number, **LIVE_WEIGHTS), number)
        for number in range(20)
    ]
    idle = [entry(f"w{place}", kind=kinds[place], weight=size) for place, size in enumerate(sizes)]
    for dispatcher in dispatchers:
        dispatcher.handle(START, [WorkersListed(ListKind.WARM_COPY, tuple(idle), 1)])
    load = [0.0] * 6  # requests at each worker, which has four slots
    sent = [0] * 6
    running: list[tuple[int, Dispatcher, str, int]] = []
    worst, request_count = 0.0, 0
    for step in range(400):
        now = START + step * 10 * MS
        if step % 50 == 0:  # every 0.5 s the dispatchers get a list with the current load
            listed = [
                entry(f"w{place}", kind=kinds[place], weight=size / (1 + load[place] / 4))
                for place, size in enumerate(sizes)
            ]
            for dispatcher in dispatchers:
                dispatcher.handle(now, [WorkersListed(ListKind.CHANGES, tuple(listed), 2)])
        for dispatcher in dispatchers:
            events: list[Event] = [TimerFired("sweep")]
            for ended in [ended for ended in running if ended[0] <= now and ended[1] is dispatcher]:
                running.remove(ended)
                load[ended[3]] -= 1
                events.append(AttemptEnded(ended[2], 0, f"w{ended[3]}", Outcome.OK, final=True))
            # 74 requests a second from all dispatchers; the workers can serve 89.
            if step % 27 == dispatchers.index(dispatcher):
                events.append(RequestArrived(f"j{request_count}", "look", now + 5 * SECOND))
                request_count += 1
            for action in of(dispatcher.handle(now, events), StartAttempt):
                place = int(action.worker[1:])
                # A worker runs four requests at once; further requests queue there.
                wait = max(0.0, load[place] - 3) / 4
                duration_ns = round((0.15 if kinds[place] == "quick" else 0.45) * (1 + wait) * SECOND)
                load[place] += 1
                sent[place] += 1
                worst = max(worst, load[place] / 4)
                running.append((now + duration_ns, dispatcher, action.request_id, place))
                dispatcher.handle(now, [AttemptStarted(action.request_id, 0, action.worker)])
    assert request_count > 290
    assert sum(sent) >= request_count - 10
    # Plain round-robin reaches 7.25 requests per slot, and the queues keep growing.
    assert worst <= 6, (worst, sent)
    assert min(sent[0], sent[3]) > 1.4 * max(sent[1], sent[2], sent[4], sent[5]), sent


def test_long_request_is_not_taken_for_a_queue_where_starts_are_not_reported() -> None:
    """Guards against skipped workers on platforms that report no starts.

    Each request in flight for longer than the connect timeout counted as queued, and its worker was skipped in the
    next rounds.
    """
    bench = Bench(entry("here0"), entry("here1"), **{**LIVE_WEIGHTS, "weights": Weights.NONE, "tells_start": False})
    first = only(bench.job(), StartAttempt).worker
    bench.pass_time(150 * MS)  # the request runs for 1.5 connect timeouts, which is still allowed
    bench.ended("j0", first)
    assert {only(bench.job(), StartAttempt).worker for _ in range(2)} == {"here0", "here1"}


# --- a large fleet whose lists carry no load ------------------------------------------------------

WORTHLESS_WHEN_LATE = RequestClass(
    "look", latency_target_ns=200 * MS, deadline_ns=5 * SECOND, effect=Effect.KEYED, window_ns=4 * SECOND
)
WITHOUT_LOAD: dict[str, Any] = {
    "dispatchers": 40,
    "classes": (WORTHLESS_WHEN_LATE,),
    "limits": replace(LIMITS, second_copies=False),
}


def large_fleet_without_load(workers: int, **changes: Any) -> Bench:
    """Return one dispatcher of forty, whose endpoint lists carry no load."""
    return Bench(*(entry(f"here{place}") for place in range(workers)), **{**WITHOUT_LOAD, **changes})


def test_queued_request_is_cancelled_once_its_answer_has_no_value() -> None:
    """Guards against queued requests whose answers no longer have any value.

    Each such request stayed for as long as its client waited, and made the requests behind it late.
    """
    bench = large_fleet_without_load(1, classes=(replace(WORTHLESS_WHEN_LATE, effect=Effect.UNSAFE),))
    assert only(bench.job(), StartAttempt).worker == "here0"
    assert not of(bench.pass_time(150 * MS), CancelAttempt)  # the request can still meet its latency target
    given = bench.pass_time(SECOND)
    assert of(given, CancelAttempt) == [CancelAttempt("j0", 0)]
    assert only(given, FailRequest).request_id == "j0"


@pytest.mark.parametrize("case", ["started", "starts not reported", "late answers have value", "small fleet"])
def test_request_whose_answer_may_have_value_is_kept(case: str) -> None:
    valuable_when_late = replace(WORTHLESS_WHEN_LATE, late_value=0.5)
    changes_of_case: dict[str, dict[str, Any]] = {
        "started": {}, "starts not reported": {"tells_start": False},
        "late answers have value": {"classes": (valuable_when_late,)}, "small fleet": {"dispatchers": 2},
    }  # fmt: skip
    changes = changes_of_case[case]
    unsafe = tuple(
        replace(request_class, effect=Effect.UNSAFE) for request_class in changes.pop("classes", (WORTHLESS_WHEN_LATE,))
    )
    bench = large_fleet_without_load(1, classes=unsafe, **changes)
    bench.job()
    if case == "started":
        bench.started("j0", "here0")
    given = bench.pass_time(SECOND)
    assert not of(given, RejectRequest)
    assert not of(given, FailRequest)


def test_marked_client_retry_is_sent_after_first_attempts() -> None:
    """Guards against retry storms.

    Rejected clients retried at once, and took capacity that first attempts could still have used in time.
    """
    bench = large_fleet_without_load(0)
    bench.job(repeat=True)
    bench.job()
    given = bench.listed(entry("here0"))
    assert only(given, StartAttempt).request_id == "j1"


def test_late_starts_at_three_workers_lower_the_in_flight_limit_until_a_prompt_start() -> None:
    """Guards against standing queues: a burst filled all queues, and answers stayed late long after the burst."""
    bench = large_fleet_without_load(8, classes=(replace(WORTHLESS_WHEN_LATE, late_value=0.5),))
    for _ in range(8):
        bench.run_job(10 * MS)  # every worker starts its request without delay
    initial_limit = parts_of(bench.dispatcher).limits.max_in_flight
    assert initial_limit == math.inf
    name = f"j{bench.made}"
    worker = only(bench.job(), StartAttempt).worker
    for number in range(3):  # no worker starts the request: each attempt is cancelled, and another worker is tried
        given = bench.pass_time(150 * MS)
        assert of(given, CancelAttempt) == [CancelAttempt(name, number)]
        worker = only(bench.ended(name, worker, Outcome.CANCELLED, number, False), StartAttempt).worker
    assert 1 <= parts_of(bench.dispatcher).limits.max_in_flight < initial_limit
    first = bench.made
    sent = [f"j{first + place}" for place in range(8) if of(bench.job(), StartAttempt)]
    # While one request is in flight, the others stay pending at the dispatcher and can still be sent to any worker.
    assert not sent
    given = bench.started(name, worker, 3)
    assert parts_of(bench.dispatcher).limits.max_in_flight > 1
    assert of(given, StartAttempt)
