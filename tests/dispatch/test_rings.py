"""Tests of priority rings by zone: round-robin within a ring, failover only while the better ring is full or down."""

from __future__ import annotations

from canvasbeam.dispatch.actions import StartAttempt
from canvasbeam.dispatch.events import ListKind, WorkerEntry, WorkerState
from canvasbeam.dispatch.settings import RequestClass
from tests.support.helpers import MS, Bench, entry, of, only


def names(*workers: str) -> list[WorkerEntry]:
    return [entry(worker) for worker in workers]


def test_turns_are_even_and_own_zone_only() -> None:
    bench = Bench(*names("a", "b", "c"), entry("z", "there"))
    turns = [bench.run_job() for _ in range(9)]
    assert sorted(turns[:3]) == ["a", "b", "c"]
    assert turns[:3] == turns[3:6] == turns[6:]


def test_busy_worker_is_skipped_and_comes_back_to_one_turn() -> None:
    bench = Bench(*names("a", "b", "c"))
    first, second, third = (bench.run_job() for _ in range(3))
    assert only(bench.job(), StartAttempt).worker == first
    assert [bench.run_job(span=2 * MS) for _ in range(4)] == [second, third, second, third]
    bench.started("j3", first)
    bench.ended("j3", first)
    assert [bench.run_job() for _ in range(4)] == [first, second, third, first]


def test_full_ring_falls_to_the_next_and_returns_at_once() -> None:
    bench = Bench(*names("a", "b"), entry("z", "there"))
    bench.job()
    bench.job()
    assert only(bench.job(), StartAttempt).worker == "z"
    assert of(bench.job(), StartAttempt) == []
    first = bench.started("j0", "a") or bench.started("j0", "b")
    assert only(first, StartAttempt).worker in ("a", "b")


def test_joiner_in_mid_cycle_takes_one_turn_for_each_of_the_others() -> None:
    bench = Bench(*names("a", "b"))
    first = bench.run_job()
    bench.listed(*names("a", "b", "c"))
    second = "b" if first == "a" else "a"
    assert [bench.run_job() for _ in range(5)] == [second, first, "c", second, first]


def test_leaver_in_mid_cycle_leaves_the_others_turns_alone() -> None:
    bench = Bench(*names("a", "b", "c"))
    first, second, third = (bench.run_job() for _ in range(3))
    bench.listed(*names(second, third))
    assert [bench.run_job() for _ in range(4)] == [second, third, second, third]
    assert first not in (second, third)


def test_draining_worker_gets_nothing_at_once() -> None:
    bench = Bench(*names("a"))
    bench.listed(entry("a", state=WorkerState.DRAINING), kind=ListKind.CHANGES)
    assert of(bench.job(), StartAttempt) == []
    bench.listed(entry("a"), kind=ListKind.CHANGES)
    assert of(bench.last, StartAttempt) == [StartAttempt("j0", "a")]


def test_absent_from_a_complete_list_is_gone() -> None:
    bench = Bench(*names("a", "b"))
    bench.listed(*names("b"))
    assert [bench.run_job() for _ in range(3)] == ["b", "b", "b"]


def test_class_tied_to_a_kind_sees_that_kind_alone() -> None:
    tied = RequestClass("tied", latency_target_ns=200 * MS, deadline_ns=5000 * MS, kind="big")
    bench = Bench(entry("a", kind="small"), entry("b", kind="big"), classes=(tied,), kinds=("small", "big"))
    assert [bench.run_job(job_class="tied") for _ in range(3)] == ["b", "b", "b"]
