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

WEIGHED: dict[str, Any] = {"dispatchers": 40, "weights": Weights.LIVE, "report_fields": ("free_slots",)}


def ring(*held: float, size: float = 4.0, zone: str = "here") -> list[WorkerEntry]:
    """Return workers whose live weights report these numbers of queued and running requests per slot."""
    return [entry(f"{zone}{place}", zone, weight=size / (1 + item)) for place, item in enumerate(held)]


def crowd(*workers: WorkerEntry) -> Bench:
    """Return one dispatcher of forty, which has learned the weight of an idle worker from an earlier list."""
    bench = Bench(entry("gone", weight=4.0), **WEIGHED)
    bench.listed(*workers)
    return bench


def test_among_a_crowd_what_the_list_says_that_a_worker_holds_passes_it_over() -> None:
    """Guards against plain round-robin, which sent full workers as many requests as idle ones.

    The full workers had been filled by all forty dispatchers together.
    """
    bench = crowd(*ring(3, 0, 3, 3, 0, 3))
    sent = {only(bench.job(), StartAttempt).worker for _ in range(2)}
    assert sent == {"here1", "here4"}
    # The third request stays pending: the load estimates of both idle workers now include a request of each other
    # dispatcher.
    assert not of(bench.job(), StartAttempt)


def test_a_job_that_waits_takes_what_is_less_and_less_empty_and_is_not_held_for_ever() -> None:
    bench = crowd(*ring(3, 3.5, 4))
    assert not of(bench.job(), StartAttempt)
    assert next(action.worker for action in of(bench.pass_time(SECOND), StartAttempt)) == "here0"


def test_other_zones_take_over_only_what_the_own_ring_has_no_room_for() -> None:
    full, empty = ring(3, 3), ring(0, zone="there")
    assert only(crowd(*full, *empty).job(), StartAttempt).worker == "there0"
    assert only(crowd(*ring(0.7, 3), *empty).job(), StartAttempt).worker == "here0"
    # Workers of other zones count as saturated at a lower load, which leaves capacity for their own zone's requests.
    assert not of(crowd(*full, *ring(0.7, zone="there")).job(), StartAttempt)


def test_what_other_zones_hold_is_not_reckoned_away_between_two_lists() -> None:
    """Guards against the assumption that workers of other zones drain their queues between two lists.

    Half a second after a list, nearly full zones were taken to be idle, and all requests of a lost zone went to them.
    """
    for zone, sends in (("here", 1), ("there", 0)):
        bench = crowd(*ring(1.5, zone=zone))
        bench.pass_time(300 * MS)
        assert len(of(bench.job(), StartAttempt)) == sends


def test_one_dispatcher_or_few_keep_to_what_they_see_themselves() -> None:
    for dispatchers in (1, 4):
        bench = Bench(entry("gone", weight=4.0), dispatchers=dispatchers, weights=Weights.LIVE)
        bench.listed(*ring(3, 3))
        assert len(of(bench.job(), StartAttempt)) == 1


@pytest.mark.parametrize("weight", [0.0, -1.0, math.nan, math.inf])
def test_a_weight_that_cannot_be_is_no_news(weight: float) -> None:
    bench = crowd(*ring(3, 0))
    bench.listed(entry("here0", weight=weight), entry("here1", weight=weight), kind=ListKind.CHANGES)
    assert only(bench.job(), StartAttempt).worker == "here1"


def test_where_lists_tell_what_workers_hold_none_is_asked_for_it() -> None:
    """Guards against probe storms: forty dispatchers made 2000 probes a second to place 400 requests."""
    bench = crowd(*ring(*[0.0] * 8))
    given = [action for _ in range(20) for action in [*bench.job(), *bench.pass_time(20 * MS)]]
    assert len(of(given, StartAttempt)) >= 8
    assert not of(given, CheckHealth)


def test_a_job_that_waits_in_a_queue_moves_to_where_there_is_room_but_to_no_other_zone() -> None:
    """Guards against requests that stay queued behind urgent ones until their deadline while other workers are idle."""
    for elsewhere, moved in (("here", ["here1"]), ("there", [])):
        bench = crowd(*ring(0))
        assert only(bench.job(), StartAttempt).worker == "here0"
        first = entry("here0", weight=1.0)
        bench.listed(first, *(entry for entry in ring(0, 0, zone=elsewhere) if entry.worker[-1] == "1"))
        given = bench.pass_time(SECOND)
        assert [action.worker for action in of(given, StartAttempt)] == moved
        assert len(of(given, CancelAttempt)) == len(moved)


def test_what_must_not_run_twice_stays_in_its_queue() -> None:
    bench = crowd(*ring(0))
    assert only(bench.job("pay"), StartAttempt).worker == "here0"
    bench.listed(entry("here0", weight=1.0), ring(0, 0)[1])
    assert not of(bench.pass_time(4 * SECOND), StartAttempt)


def test_an_urgent_job_waits_for_more_room_than_others() -> None:
    """Guards against preemption: urgent requests preempted running ones; one request in ten was lost and repeated."""
    urgent = RequestClass("urgent", latency_target_ns=SECOND, deadline_ns=20 * SECOND, priority=1)
    for job_class, count in (("look", 1), ("urgent", 0)):
        bench = Bench(entry("gone", weight=4.0), classes=(SAFE, urgent), **WEIGHED)
        bench.listed(*ring(0.6))
        assert len(of(bench.job(job_class, 20 * SECOND), StartAttempt)) == count


def test_a_job_turned_away_goes_on_only_to_who_was_heard_of_lately() -> None:
    """Guards against retries at gone workers: with an outdated list a request used up all its attempts on them."""
    bench = crowd(*ring(*[0.0] * 4))
    good = bench.run_job()
    bench.listed(*ring(*[0.0] * 4), kind=ListKind.CHANGES)
    worker = only(bench.job(), StartAttempt).worker
    assert worker != good
    given = bench.give(AttemptEnded("j1", 0, worker, Outcome.CONNECT_FAILED))
    assert only(given, StartAttempt).worker == good


def test_a_job_pushed_out_rests_no_worker_of_a_crowd() -> None:
    """Guards against ejections for preempted requests: each kept a healthy worker idle and cost a health check."""
    urgent = RequestClass("urgent", latency_target_ns=SECOND, deadline_ns=20 * SECOND, priority=1)
    for dispatchers, probes in ((40, 0), (1, 1)):
        bench = Bench(entry("here0"), classes=(SAFE, urgent), **{**WEIGHED, "dispatchers": dispatchers})
        bench.job()
        bench.started("j0", "here0")
        bench.ended("j0", "here0", Outcome.RESET)
        assert len(of(bench.pass_time(200 * MS), CheckHealth)) == probes


def test_a_worker_of_a_crowd_that_fails_a_job_rests_at_once_and_first_gets_what_can_be_repeated() -> None:
    """Guards against a worker that fails fast and therefore looks idle.

    Every list shows this worker as the idlest, so forty dispatchers sent 50 requests a second to it.
    """
    bench = crowd(*ring(0))
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
    bench = crowd(*ring(0))
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


@pytest.mark.parametrize("asking", ["own zone", "everybody"])
def test_a_cold_worker_gets_most_of_what_it_can_bear_from_its_own_zone_and_never_more_than_that(asking: str) -> None:
    """Guards against equal shares of a cold worker's budget among all dispatchers.

    A zone whose workers all restarted used a quarter of their budget, and sent its requests to other zones meanwhile.
    """
    zones = ("here", "there", "yonder", "beyond")
    rules = Rules(initial_share=0.3, warm_up_ns=8 * SECOND, overload_multiple=3.0, overload_window_ns=3 * SECOND)
    cold = entry("cold", "here", weight=4.0, started_ns=START)
    sent = 0
    for number in range(40 if asking == "everybody" else 10):
        zone = zones[number // 10]
        each = Dispatcher(
            settings(zones=zones, own_zone=zone, own_number=number, rules=rules, **WEIGHED), number
        )  # fmt: skip
        each.handle(START, [WorkersListed(ListKind.WARM_COPY, (cold,), 1)])
        now = START
        for step in range(300):  # 3 s with one request every 0.3 s, each served at once
            now += 10 * MS
            events: list[Event] = [TimerFired("sweep")]
            if step % 30 == 0:
                events.append(RequestArrived(f"j{step}", "look", now + SECOND // 3, service_hint_ns=200 * MS))
                events.append(WorkersListed(ListKind.CHANGES, (cold,), 1))
            for send in of(each.handle(now, events), StartAttempt):
                sent += 1
                each.handle(now, [AttemptStarted(send.request_id, 0, "cold")])
                each.handle(now, [AttemptEnded(send.request_id, 0, "cold", Outcome.OK, final=True)])
    # Overload window 3 s x overload multiple 3 x share of capacity after 3 s of the 8 s warm-up / service time 0.2 s.
    # A worker counts as one slot until more slots are observed or reported.
    bears = 3 * 3 * (0.3 + 0.7 * 3 / 8) / 0.2
    assert sent <= bears
    if asking == "own zone":
        # With equal shares no request would be sent, because each share is less than one request.
        assert sent >= 3


def test_forty_dispatchers_side_by_side_fill_a_ring_by_what_its_workers_can_do() -> None:
    """Guards against equal turns for unequal workers.

    Twenty dispatchers of one zone send to six workers, two of which are three times as fast as the others. The
    dispatchers exchange no messages.
    """
    sizes = [12.0, 4.0, 4.0, 12.0, 4.0, 4.0]
    kinds = ["quick" if size > 4 else "slow" for size in sizes]
    many = [
        Dispatcher(settings(limits=LIMITS, kinds=("quick", "slow"), own_number=number, **WEIGHED), number)
        for number in range(20)
    ]
    empty = [entry(f"w{place}", kind=kinds[place], weight=size) for place, size in enumerate(sizes)]
    for item in many:
        item.handle(START, [WorkersListed(ListKind.WARM_COPY, tuple(empty), 1)])
    held = [0.0] * 6  # requests at each worker, which has four slots
    sent = [0] * 6
    running: list[tuple[int, Dispatcher, str, int]] = []
    worst, made = 0.0, 0
    for step in range(400):
        now = START + step * 10 * MS
        if step % 50 == 0:  # every 0.5 s an endpoint list with the current load
            told = [
                entry(f"w{place}", kind=kinds[place], weight=size / (1 + held[place] / 4))
                for place, size in enumerate(sizes)
            ]
            for item in many:
                item.handle(now, [WorkersListed(ListKind.CHANGES, tuple(told), 2)])
        for item in many:
            events: list[Event] = [TimerFired("sweep")]
            for over in [over for over in running if over[0] <= now and over[1] is item]:
                running.remove(over)
                held[over[3]] -= 1
                events.append(AttemptEnded(over[2], 0, f"w{over[3]}", Outcome.OK, final=True))
            if step % 27 == many.index(item):  # 74 requests a second from all dispatchers; the workers can serve 89
                events.append(RequestArrived(f"j{made}", "look", now + 5 * SECOND))
                made += 1
            for action in of(item.handle(now, events), StartAttempt):
                place = int(action.worker[1:])
                # A worker runs four requests at once; further requests queue there.
                waits = max(0.0, held[place] - 3) / 4
                took = round((0.15 if kinds[place] == "quick" else 0.45) * (1 + waits) * SECOND)
                held[place] += 1
                sent[place] += 1
                worst = max(worst, held[place] / 4)
                running.append((now + took, item, action.request_id, place))
                item.handle(now, [AttemptStarted(action.request_id, 0, action.worker)])
    assert made > 290
    assert sum(sent) >= made - 10
    # Plain round-robin reaches 7.25 requests per slot, and the queues keep growing.
    assert worst <= 6, (worst, sent)
    assert min(sent[0], sent[3]) > 1.4 * max(sent[1], sent[2], sent[4], sent[5]), sent


def test_where_starts_are_not_told_a_long_job_is_not_taken_for_a_queue() -> None:
    """Guards platforms that report no starts.

    Each request in flight for longer than the connect timeout counted as queued, and its worker was skipped in the
    next rounds.
    """
    bench = Bench(entry("here0"), entry("here1"), **{**WEIGHED, "weights": Weights.NONE, "tells_start": False})
    first = only(bench.job(), StartAttempt).worker
    bench.pass_time(150 * MS)  # 1.5 connect timeouts, but no longer than the request may run
    bench.ended("j0", first)
    assert {only(bench.job(), StartAttempt).worker for _ in range(2)} == {"here0", "here1"}


# --- a large fleet whose lists carry no load ------------------------------------------------------

WORTHLESS = RequestClass(
    "look", latency_target_ns=200 * MS, deadline_ns=5 * SECOND, effect=Effect.KEYED, window_ns=4 * SECOND
)
UNTOLD: dict[str, Any] = {"dispatchers": 40, "classes": (WORTHLESS,), "limits": replace(LIMITS, second_copies=False)}


def untold(workers: int, **changes: Any) -> Bench:
    """Return one dispatcher of forty, whose endpoint lists carry no load."""
    return Bench(*(entry(f"here{place}") for place in range(workers)), **{**UNTOLD, **changes})


def test_among_a_crowd_a_job_in_a_queue_is_given_up_once_its_answer_earns_nothing() -> None:
    """Guards against worthless requests in a worker's queue.

    Each such request stayed for as long as its client waited, and made the requests behind it late.
    """
    bench = untold(1, classes=(replace(WORTHLESS, effect=Effect.UNSAFE),))
    assert only(bench.job(), StartAttempt).worker == "here0"
    assert not of(bench.pass_time(150 * MS), CancelAttempt)  # the request can still meet its latency target
    given = bench.pass_time(SECOND)
    assert of(given, CancelAttempt) == [CancelAttempt("j0", 0)]
    assert only(given, FailRequest).request_id == "j0"


@pytest.mark.parametrize("why", ["it has started", "no start is told", "late answers earn something", "there are few"])
def test_a_job_that_may_still_earn_something_stays(why: str) -> None:
    earns = replace(WORTHLESS, late_value=0.5)
    ways: dict[str, dict[str, Any]] = {
        "it has started": {}, "no start is told": {"tells_start": False},
        "late answers earn something": {"classes": (earns,)}, "there are few": {"dispatchers": 2},
    }  # fmt: skip
    changes = ways[why]
    unsafe = tuple(
        replace(request_class, effect=Effect.UNSAFE) for request_class in changes.pop("classes", (WORTHLESS,))
    )
    bench = untold(1, classes=unsafe, **changes)
    bench.job()
    if why == "it has started":
        bench.started("j0", "here0")
    given = bench.pass_time(SECOND)
    assert not of(given, RejectRequest)
    assert not of(given, FailRequest)


def test_a_marked_repeat_of_what_earns_nothing_late_stands_behind_first_tries() -> None:
    """Guards against retry storms.

    Rejected clients retried at once, and took capacity that first attempts could still have used in time.
    """
    bench = untold(0)
    bench.job(repeat=True)
    bench.job()
    given = bench.listed(entry("here0"))
    assert only(given, StartAttempt).request_id == "j1"


def test_a_job_whose_third_worker_is_full_too_has_fewer_sent_until_starts_are_prompt_again() -> None:
    """Guards against standing queues: a burst filled all queues, and answers stayed late long after the burst."""
    bench = untold(8, classes=(replace(WORTHLESS, late_value=0.5),))
    for _ in range(8):
        bench.run_job(10 * MS)  # every worker starts its request without delay
    most = parts_of(bench.dispatcher).limits.max_in_flight
    assert most == math.inf
    name = f"j{bench.made}"
    worker = only(bench.job(), StartAttempt).worker
    for number in range(3):  # no worker starts the request: each attempt is cancelled, and another worker is tried
        given = bench.pass_time(150 * MS)
        assert of(given, CancelAttempt) == [CancelAttempt(name, number)]
        worker = only(bench.ended(name, worker, Outcome.CANCELLED, number, False), StartAttempt).worker
    assert 1 <= parts_of(bench.dispatcher).limits.max_in_flight < most
    first = bench.made
    sent = [f"j{first + place}" for place in range(8) if of(bench.job(), StartAttempt)]
    # While one request is in flight, the others stay pending at the dispatcher and can still be sent to any worker.
    assert not sent
    given = bench.started(name, worker, 3)
    assert parts_of(bench.dispatcher).limits.max_in_flight > 1
    assert of(given, StartAttempt)
