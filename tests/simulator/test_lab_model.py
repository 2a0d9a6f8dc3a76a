"""The emulated worker, the faults and the draws: each rule of the model, and what it must survive."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from canvasbeam.simulator import theory
from canvasbeam.simulator.model import draw, faults, spec, worker_messages
from canvasbeam.simulator.model.machine import Machine
from canvasbeam.simulator.model.units import MS, SECOND
from canvasbeam.simulator.model.worker import Worker
from canvasbeam.simulator.model.worker_messages import Offered, Said, Say, Task, Woken
from tests.support.lab import small

BEGUN = 100 * SECOND


class Stand:
    """One worker on a clock of its own."""

    def __init__(self, **machine: Any) -> None:
        base: dict[str, Any] = {"name": "w", "zone": "z", "cores": 2, "slots": 2, "queue": 10, "cold_ns": 0}
        self.model = Worker(Machine(**{**base, **machine}), random.Random(1))
        self.now = BEGUN
        self.said: list[tuple[int, object, Said]] = []
        self.began: list[object] = []
        self.fell = False

    def give(self, *events: worker_messages.Event) -> None:
        for action in self.model.handle(self.now, events):
            if isinstance(action, Say):
                self.said.append((self.now - BEGUN, action.ref, action.said))
            elif isinstance(action, worker_messages.Began):
                self.began.append(action.ref)
            else:
                self.fell = True

    def offer(self, ref: object, work: int = 100 * MS, **fields: Any) -> None:
        self.give(Offered(Task(ref, float(work), **fields)))

    def wait(self, span: int) -> None:
        end = self.now + span
        while self.model.next_at <= end:
            self.now = max(self.now, round(self.model.next_at))
            self.give(Woken())
        self.now = end
        self.give(Woken())

    def last(self) -> dict[object, tuple[int, Said]]:
        """The last word of each job."""
        return {ref: (at // MS, said) for at, ref, said in self.said if said.is_last}


def test_jobs_share_cores_and_wait_in_order() -> None:
    stand = Stand(order="fifo")
    for ref in "abc":
        stand.offer(ref)
    stand.wait(SECOND)
    assert stand.last() == {"a": (100, Said.DONE), "b": (100, Said.DONE), "c": (200, Said.DONE)}
    crowded = Stand(cores=1, slots=2)
    crowded.offer("a")
    crowded.offer("b")
    crowded.wait(SECOND)
    assert crowded.last() == {"a": (200, Said.DONE), "b": (200, Said.DONE)}


@pytest.mark.parametrize(
    ("order", "first"), [("fifo", ["big", "small"]), ("backfill", ["small", "big"]), ("priority", ["big", "small"])]
)
def test_the_queue_is_served_in_its_order(order: Any, first: list[str]) -> None:
    stand = Stand(order=order)
    stand.offer("a", 100 * MS)
    stand.offer("b", 300 * MS)  # one slot free at 100 ms, two at 300 ms
    stand.offer("big", 100 * MS, slots=2, priority=1)
    stand.offer("small", 100 * MS)
    stand.wait(2 * SECOND)
    assert [ref for ref in stand.began if ref in first] == first


def test_a_high_priority_kills_or_suspends_what_may_be_repeated() -> None:
    killing = Stand(preempt="kill")
    killing.offer("safe", 500 * MS)
    killing.offer("once", 500 * MS, may_be_killed=False)
    killing.wait(100 * MS)
    killing.offer("urgent", 100 * MS, priority=1)
    killing.wait(SECOND)
    assert killing.last() == {"safe": (100, Said.LOST), "urgent": (200, Said.DONE), "once": (500, Said.DONE)}
    suspending = Stand(preempt="suspend", slots=1, cores=1)
    suspending.offer("low", 500 * MS)
    suspending.wait(100 * MS)
    suspending.offer("urgent", 100 * MS, priority=1)
    suspending.wait(SECOND)
    assert suspending.last() == {"urgent": (200, Said.DONE), "low": (600, Said.DONE)}
    assert suspending.began == ["low", "urgent"]


def test_a_full_queue_a_drain_and_a_job_too_large_turn_away() -> None:
    stand = Stand(queue=1)
    for ref in "abcd":
        stand.offer(ref)
    stand.offer("huge", slots=3)
    assert {ref for ref, (_, said) in stand.last().items() if said is Said.REJECTED} == {"d", "huge"}
    stand.give(worker_messages.Drains())
    assert stand.last()["c"][1] is Said.RETURNED
    stand.offer("e")
    stand.wait(SECOND)
    assert stand.last()["e"][1] is Said.REJECTED
    assert stand.last()["a"][1] is Said.DONE


def test_a_cold_worker_is_slow_warms_up_and_falls_over_when_pushed() -> None:
    stand = Stand(cold_from=0.5, cold_ns=2 * SECOND, tip_multiple=3.0, tip_window_ns=SECOND)
    stand.give(worker_messages.Died(), worker_messages.Born())
    stand.offer("a", 100 * MS)
    stand.wait(SECOND)
    took = stand.last()["a"][0]
    assert 190 <= took <= 200  # half as fast at first, a little faster by its end
    stand.wait(2 * SECOND)
    stand.offer("b", 100 * MS)
    stand.wait(SECOND)
    assert stand.last()["b"][0] - 3000 == 100
    stand.give(worker_messages.Died(), worker_messages.Born())
    # Capacity 2 x 0.5 for a second, three times over: 3 s of work may be sent.
    for ref in range(30):
        stand.offer(ref, 100 * MS)
    assert not stand.fell
    stand.offer("one too many", 100 * MS)
    assert stand.fell
    assert not stand.model.alive
    stand.give(worker_messages.Born())
    assert not stand.model.alive


def test_nothing_is_said_during_a_pause() -> None:
    stand = Stand()
    stand.offer("a")
    stand.give(worker_messages.Paused(stand.now + 300 * MS))
    stand.offer("b")
    assert stand.began == ["a"]
    stand.wait(SECOND)
    assert stand.last() == {"a": (400, Said.DONE), "b": (400, Said.DONE)}


@pytest.mark.parametrize("end", [worker_messages.Died(), worker_messages.Withdrawn("a")])
def test_a_job_that_ends_at_the_instant_it_completes_ends_once(end: worker_messages.Event) -> None:
    stand = Stand()
    stand.offer("a", 100 * MS)
    stand.now = BEGUN + 100 * MS
    stand.give(end, Woken())
    assert "a" not in stand.last()
    again = Stand()
    again.offer("a", 100 * MS)
    again.now = BEGUN + 100 * MS
    again.give(Woken(), end)
    again.give(Woken())
    # The end came in the same instant and before the worker could say so; either way there is one last word.
    assert len([name for name in again.said if name[2].is_last]) <= 1
    assert again.model.used == 0


def test_thousands_of_jobs_that_end_at_the_same_nanosecond_all_end() -> None:
    stand = Stand(cores=10_000, slots=10_000)
    for ref in range(10_000):
        stand.offer(ref, 100 * MS)
    stand.wait(SECOND)
    assert Counter(stand.last().values()) == {(100, Said.DONE): 10_000}


class Handling(RuleBasedStateMachine):
    """Whatever comes in whatever order: slots are never overdrawn, and no job has two last words."""

    def __init__(self) -> None:
        super().__init__()
        self.stand = Stand(queue=3, preempt="kill", progress_ns=50 * MS, pause_every_ns=400 * MS, pause_ns=30 * MS)
        self.offered = 0
        self.gone: set[object] = set()

    @rule(work=st.integers(1, 300), slots=st.integers(1, 2), priority=st.integers(0, 1))
    def offer(self, work: int, slots: int, priority: int) -> None:
        if self.stand.model.alive:
            self.stand.offer(self.offered, work * MS, slots=slots, priority=priority)
            self.offered += 1

    @rule(pick=st.integers(0, 50))
    def cancel_attempt(self, pick: int) -> None:
        if self.offered:
            self.gone.add(pick % self.offered)
            self.stand.give(worker_messages.Withdrawn(pick % self.offered))

    @rule(span=st.integers(0, 200))
    def wait(self, span: int) -> None:
        self.stand.wait(span * MS)

    @rule(on=st.booleans())
    def drain(self, on: bool) -> None:
        self.stand.give(worker_messages.Drains(on))

    @rule()
    def restart(self) -> None:
        self.gone |= set(range(self.offered))
        self.stand.give(worker_messages.Died(), worker_messages.Born())

    @rule(share=st.sampled_from([0.0, 0.5, 1.0]))
    def errors(self, share: float) -> None:
        self.stand.give(worker_messages.Errs(share), worker_messages.Breaks(share))

    @invariant()
    def slots_are_never_overdrawn(self) -> None:
        assert 0 <= self.stand.model.used <= self.stand.model.machine.slots

    @invariant()
    def one_last_word(self) -> None:
        words = Counter(ref for _, ref, said in self.stand.said if said.is_last)
        assert not [ref for ref, count in words.items() if count > 1]
        assert max(Counter(self.stand.began).values(), default=0) <= 1

    def teardown(self) -> None:
        self.stand.give(worker_messages.Drains(False), worker_messages.Errs(0.0))
        self.stand.wait(20 * SECOND)
        ended = {ref for _, ref, said in self.stand.said if said.is_last}
        assert set(range(self.offered)) <= ended | self.gone


TestHandling = Handling.TestCase
TestHandling.settings = profile(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True, database=None)


def test_faults_that_overlap_on_one_worker_add_up_and_end_one_by_one() -> None:
    condition = faults.Condition()
    begun = (("slow", 2.0), ("slow", 3.0), ("die", 0.0), ("die", 0.0), ("errors", 0.5), ("errors", 0.5))
    for number, (what, value) in enumerate(begun):
        condition.take(faults.Step(0, number, what, "w", value))  # type: ignore[arg-type]
    assert (condition.slow, condition.errors, condition.down) == (6.0, 0.75, True)
    condition.take(faults.Step(1, 2, "return", "w"))
    assert condition.down
    condition.take(faults.Step(1, 3, "return", "w"))
    condition.take(faults.Step(1, 0, "slow", "w", 1.0))
    assert (condition.slow, condition.down) == (3.0, False)


def test_a_ramp_rises_to_its_size_and_ends_calm() -> None:
    scenario = small({"kind": "slow", "at_s": 1, "for_s": 4, "size": 5, "part": 0.2, "ramp_s": 1})
    chance = draw.Chance(1)
    steps = faults.timetable(scenario, draw.machines(scenario, chance), chance)
    values = [step.value for step in steps]
    assert max(values) == pytest.approx(5, rel=0.06)
    assert values[-1] == 1.0
    assert values[:10] == sorted(values[:10])
    assert len({step.member for step in steps}) == 1


def test_one_matter_s_draw_moves_no_other() -> None:
    calm = small()
    busy = small(**{"clients.impatient": 0.5, "fleet.report_noise": 0.5})
    chance = draw.Chance(calm.seed)
    one = draw.jobs(calm, draw.machines(calm, chance), chance)
    other = draw.jobs(busy, draw.machines(busy, chance), chance)
    assert (one.at_ns, one.work_ns, one.cls) == (other.at_ns, other.work_ns, other.cls)
    assert one.leaves_ns != other.leaves_ns


def test_a_pareto_class_has_its_mean_and_tails_lengthen_only_what_they_strike() -> None:
    shape: dict[str, Any] = {"length_s": 400, "traffic.hints": "rough", "fleet.workers": 40, "classes": [
        {"name": "one", "dist": "pareto", "cv": 1.0, "work_s": 0.2},
    ]}  # fmt: skip
    calm = small(**shape)
    struck = small({"kind": "heavy_tail", "at_s": 100, "for_s": 200, "part": 0.1, "size": 10}, **shape)
    chance = draw.Chance(3)
    fleet = draw.machines(calm, chance)
    one, other = draw.jobs(calm, fleet, chance), draw.jobs(struck, fleet, chance)
    assert sum(one.work_ns) / len(one) / SECOND == pytest.approx(0.2, rel=0.03)
    longer = [at for at, a, b in zip(one.at_ns, one.work_ns, other.work_ns, strict=True) if a != b]
    assert all(100 * SECOND <= at < 300 * SECOND for at in longer)
    assert len(longer) / sum(100 * SECOND <= at < 300 * SECOND for at in one.at_ns) == pytest.approx(0.1, rel=0.1)
    far = [abs(hint / work - 1) for hint, work in zip(one.hint_ns, one.work_ns, strict=True)]
    assert 0.15 < sorted(far)[len(far) // 2] < 0.25  # rough, and no more
    assert set(draw.jobs(small(), fleet, chance).hint_ns) == {0}


def test_arrivals_follow_a_burst() -> None:
    scenario = small({"kind": "burst", "at_s": 100, "for_s": 100, "size": 2}, length_s=400)
    chance = draw.Chance(3)
    at = draw.jobs(scenario, draw.machines(scenario, chance), chance).at_ns
    inside = sum(100 * SECOND <= when < 200 * SECOND for when in at) / 100
    outside = sum(when >= 200 * SECOND for when in at) / 200
    assert inside / outside == pytest.approx(2, rel=0.1)


@pytest.mark.parametrize("name", ["M/M/1, half busy", "M/M/4, 0.8 busy", "M/G/1, three priorities"])
def test_the_model_queues_as_theory_says(name: str) -> None:
    """A fixed draw of 60,000 jobs; bench/theory.py holds two million against 2%."""
    streams, servers = theory.CASES[name]
    found = theory.measured(streams, servers, 60_000, seed=3)
    assert found == pytest.approx(theory.expected(streams, servers), rel=0.04)


def test_hundreds_of_machines_share_models_and_zones_exactly() -> None:
    scenario = small(**{"fleet.workers": 300, "fleet.zone_weights": [2, 1]})
    fleet = draw.machines(scenario, draw.Chance(1))
    assert Counter(worker.zone for worker in fleet) == {"north": 200, "south": 100}
    assert Counter(worker.model for worker in fleet) == {"gen-a": 63, "gen-b": 78, "gen-c": 159}
    assert isinstance(scenario.fleet.models[0], spec.MachineModel)
