"""The budget of a process: what is refused, who is closed for whom, and that everything is given back."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest

from canvasbeam.runtime.process_budget import (
    GRACE_S,
    MEBIBYTE,
    MIN_MEMORY_BYTES,
    MIN_SCAN_INTERVAL_S,
    ConnectionSlot,
    MemoryReservation,
    ProcessBudget,
    Stage,
)
from canvasbeam.runtime.settings import MachineLimits


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


@dataclass(eq=False)
class FakeConnection:
    """A connection that records its eviction."""

    budget: ProcessBudget
    stage: Stage
    active_at_s: float = 0.0
    was_evicted: bool = False
    slot: ConnectionSlot = field(init=False)

    def __post_init__(self) -> None:
        self.slot = ConnectionSlot(self.budget, self)

    def evict(self) -> None:
        self.was_evicted = True
        self.slot.memory.close()


def test_budget_of_a_process_leaves_its_own_memory_and_the_reserved_descriptors() -> None:
    budget = ProcessBudget.of(MachineLimits(memory_mb=140, max_fds=1200), own_memory_mb=40)
    assert budget.memory_bytes == 75 * MEBIBYTE
    assert budget._max_connections == 650
    assert ProcessBudget.of(MachineLimits(memory_mb=10), own_memory_mb=40).memory_bytes == MIN_MEMORY_BYTES


def test_reservation_and_its_parts_give_everything_back() -> None:
    budget = ProcessBudget(100, 10)
    whole = MemoryReservation(budget)
    part = whole.part()
    assert whole.grow(40)
    assert part.grow(60)
    assert not part.grow(1)
    part.shrink(20)
    assert budget.reserved_bytes == 80
    whole.close()
    assert budget.reserved_bytes == 0
    assert not part.grow(1)
    assert not whole.part().grow(1)
    part.release()
    assert budget.reserved_bytes == 0


def test_connections_are_closed_in_the_order_of_their_stage_and_age() -> None:
    clock = Clock()
    budget = ProcessBudget(1000, 5, clock)
    stages = (Stage.WRITING, Stage.BUSY, Stage.IDLE, Stage.IDLE, Stage.SILENT)
    connections = [FakeConnection(budget, stage, float(10 - n)) for n, stage in enumerate(stages)]
    assert all(connection.slot.take(100) for connection in connections)
    order = []
    for _ in range(4):
        newcomer = FakeConnection(budget, Stage.BUSY, clock.now_s)
        assert newcomer.slot.take(100)
        order.append(next(c for c in connections if c.was_evicted and c not in order))
    assert order == [connections[4], connections[3], connections[2], connections[0]]
    refused = FakeConnection(budget, Stage.BUSY, clock.now_s)
    assert not refused.slot.take(100)
    assert (budget.connection_count, budget.reserved_bytes, budget.evictions) == (5, 500, 4)


@pytest.mark.parametrize(("silent_s", "is_admitted"), [(GRACE_S, True), (GRACE_S - 0.01, False)])
def test_connection_that_was_just_active_is_not_closed(silent_s: float, is_admitted: bool) -> None:
    clock = Clock()
    budget = ProcessBudget(100, 10, clock)
    first = FakeConnection(budget, Stage.READING, clock.now_s - silent_s)
    assert first.slot.take(100)
    assert FakeConnection(budget, Stage.BUSY).slot.take(100) is is_admitted
    assert first.was_evicted is is_admitted
    assert budget.reserved_bytes == 100


def test_search_for_connections_to_close_is_not_repeated_at_once() -> None:
    clock = Clock()
    budget = ProcessBudget(100, 10, clock)
    first = FakeConnection(budget, Stage.SILENT, clock.now_s)
    assert first.slot.take(100)
    assert not budget.reserve(1)
    first.active_at_s = 0.0
    assert not budget.reserve(1)
    clock.now_s += 2 * MIN_SCAN_INTERVAL_S
    assert budget.reserve(1)


def test_connection_is_not_closed_for_its_own_memory() -> None:
    budget = ProcessBudget(100, 10)
    connection = FakeConnection(budget, Stage.READING)
    assert connection.slot.take(90)
    assert not connection.slot.memory.grow(20)
    assert not connection.was_evicted
    connection.slot.give_back()
    connection.slot.give_back()
    assert (budget.reserved_bytes, budget.connection_count) == (0, 0)


def test_release_of_half_of_the_budget_is_reported_once() -> None:
    async def body() -> None:
        calls = []
        budget = ProcessBudget(100, 10)
        budget.on_much_released = lambda: calls.append(budget.reserved_bytes)
        assert budget.reserve(90)
        for _ in range(9):
            budget.release(10)
        assert calls == [30]

    asyncio.run(body())
