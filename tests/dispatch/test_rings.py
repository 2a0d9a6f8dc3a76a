"""Tests of priority rings by zone: round-robin within a ring, failover only while the better ring is full or down."""

from __future__ import annotations

from canvasbeam.dispatch.actions import StartAttempt
from canvasbeam.dispatch.events import ListKind, WorkerEntry, WorkerState
from canvasbeam.dispatch.settings import RequestClass
from tests.support.helpers import MS, Bench, entry, of, only


def entries(*workers: str) -> list[WorkerEntry]:
    return [entry(worker) for worker in workers]


def test_round_robin_is_even_and_stays_in_the_own_zone() -> None:
    bench = Bench(*entries("a", "b", "c"), entry("z", "there"))
    workers_in_turn = [bench.run_job() for _ in range(9)]
    assert sorted(workers_in_turn[:3]) == ["a", "b", "c"]
    assert workers_in_turn[:3] == workers_in_turn[3:6] == workers_in_turn[6:]


def test_busy_worker_is_skipped_and_gets_one_turn_on_return() -> None:
    bench = Bench(*entries("a", "b", "c"))
    first, second, third = (bench.run_job() for _ in range(3))
    assert only(bench.job(), StartAttempt).worker == first
    assert [bench.run_job(span=2 * MS) for _ in range(4)] == [second, third, second, third]
    bench.started("j3", first)
    bench.ended("j3", first)
    assert [bench.run_job() for _ in range(4)] == [first, second, third, first]


def test_full_ring_fails_over_to_the_next_and_back_at_once() -> None:
    bench = Bench(*entries("a", "b"), entry("z", "there"))
    bench.job()
    bench.job()
    assert only(bench.job(), StartAttempt).worker == "z"
    assert of(bench.job(), StartAttempt) == []
    first = bench.started("j0", "a") or bench.started("j0", "b")
    assert only(first, StartAttempt).worker in ("a", "b")


def test_worker_added_in_mid_cycle_gets_one_turn_for_each_of_the_others() -> None:
    bench = Bench(*entries("a", "b"))
    first = bench.run_job()
    bench.listed(*entries("a", "b", "c"))
    second = "b" if first == "a" else "a"
    assert [bench.run_job() for _ in range(5)] == [second, first, "c", second, first]


def test_worker_removed_in_mid_cycle_does_not_change_the_order_of_the_others() -> None:
    bench = Bench(*entries("a", "b", "c"))
    first, second, third = (bench.run_job() for _ in range(3))
    bench.listed(*entries(second, third))
    assert [bench.run_job() for _ in range(4)] == [second, third, second, third]
    assert first not in (second, third)


def test_draining_worker_gets_no_requests_until_it_is_live_again() -> None:
    bench = Bench(*entries("a"))
    bench.listed(entry("a", state=WorkerState.DRAINING), kind=ListKind.CHANGES)
    assert of(bench.job(), StartAttempt) == []
    bench.listed(entry("a"), kind=ListKind.CHANGES)
    assert of(bench.last, StartAttempt) == [StartAttempt("j0", "a")]


def test_worker_absent_from_a_complete_list_is_gone() -> None:
    bench = Bench(*entries("a", "b"))
    bench.listed(*entries("b"))
    assert [bench.run_job() for _ in range(3)] == ["b", "b", "b"]


def test_class_of_a_kind_uses_only_workers_of_that_kind() -> None:
    tied = RequestClass("tied", latency_target_ns=200 * MS, deadline_ns=5000 * MS, kind="big")
    bench = Bench(entry("a", kind="small"), entry("b", kind="big"), classes=(tied,), kinds=("small", "big"))
    assert [bench.run_job(job_class="tied") for _ in range(3)] == ["b", "b", "b"]
