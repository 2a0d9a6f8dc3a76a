"""Delivery of changes to listeners that raise: the others get every change, and a retry misses none."""

from __future__ import annotations

import random

import pytest

from canvasbeam.runtime.change_listeners import ChangeListeners, latest, raise_failures

Batch = dict[str, int]


def newest(earlier: Batch, later: Batch) -> Batch:
    return {name: max(earlier.get(name, 0), later.get(name, 0)) for name in earlier.keys() | later.keys()}


class Reader:
    """A listener that keeps the newest number of each name, and raises while `is_faulty`."""

    def __init__(self) -> None:
        self.held: Batch = {}
        self.calls: list[Batch] = []
        self.is_faulty = False

    def __call__(self, batch: Batch) -> None:
        self.calls.append(batch)
        if self.is_faulty:
            raise RuntimeError("planted fault in a listener")
        self.held = newest(self.held, batch)


def test_listeners_after_one_that_raises_get_the_change() -> None:
    listeners = ChangeListeners(newest)
    first, second = Reader(), Reader()
    first.is_faulty = True
    listeners.add(first)
    listeners.add(second)
    failures = listeners.notify({"a": 1})
    assert [str(failure) for failure in failures] == ["planted fault in a listener"]
    assert second.held == {"a": 1}
    assert listeners.behind_count == 1


@pytest.mark.parametrize("is_retried", [True, False])
def test_listener_that_raised_gets_all_that_it_missed_by_a_retry_or_the_next_change(is_retried: bool) -> None:
    listeners = ChangeListeners(newest)
    reader = Reader()
    listeners.add(reader)
    reader.is_faulty = True
    listeners.notify({"a": 1, "b": 1})
    listeners.notify({"a": 2})
    reader.is_faulty = False
    assert (listeners.retry() if is_retried else listeners.notify({"c": 3})) == []
    assert reader.calls[-1] == {"a": 2, "b": 1} | ({} if is_retried else {"c": 3})
    assert listeners.behind_count == 0
    listeners.retry()
    assert len(reader.calls) == 3


def test_change_that_a_listener_causes_is_not_lost_if_the_listener_then_raises() -> None:
    listeners = ChangeListeners(newest)
    reader = Reader()

    def cause_another_change(batch: Batch) -> None:
        reader(batch)
        if batch == {"a": 1}:
            reader.is_faulty = True
            listeners.notify({"a": 2, "b": 2})
            raise RuntimeError("planted fault after another change")

    listeners.add(cause_another_change)
    assert len(listeners.notify({"a": 1})) == 1
    reader.is_faulty = False
    assert listeners.retry() == []
    assert reader.held == {"a": 2, "b": 2}


@pytest.mark.parametrize("seed", range(20))
def test_drawn_faults_leave_every_listener_with_the_newest_values(seed: int) -> None:
    rng = random.Random(seed)
    listeners = ChangeListeners(newest)
    readers = [Reader() for _ in range(3)]
    for reader in readers:
        listeners.add(reader)
    published: Batch = {}
    for number in range(1, 60):
        for reader in readers:
            reader.is_faulty = rng.random() < 0.4
        if rng.random() < 0.3:
            listeners.retry()
        else:
            batch = {name: number for name in "abc" if rng.random() < 0.5}
            published |= batch
            failures = listeners.notify(batch)
            assert len(failures) == sum(reader.is_faulty for reader in readers)
        assert all(reader.held == published for reader in readers if not reader.is_faulty and reader.calls) or (
            listeners.behind_count > 0
        )
    for reader in readers:
        reader.is_faulty = False
    listeners.retry()
    assert [reader.held for reader in readers] == [published] * 3


def parts_of(batch: Batch) -> list[Batch]:
    return [{name: number} for name, number in batch.items()]


def test_part_that_always_raises_keeps_no_other_part_from_the_listener() -> None:
    """Guards against a reader that one change stops for good, since it is handed over together with all later ones."""
    listeners = ChangeListeners(newest, parts_of)
    held: Batch = {}

    def listener(batch: Batch) -> None:
        for name, number in batch.items():
            if name == "bad":
                raise RuntimeError("planted fault")
            held[name] = number

    listeners.add(listener)
    assert len(listeners.notify({"bad": 1, "a": 1})) == 1
    assert held == {"a": 1}
    assert len(listeners.notify({"b": 2, "a": 3})) == 1
    assert held == {"a": 3, "b": 2}
    assert len(listeners.retry()) == 1
    assert listeners.behind_count == 1


def test_fault_that_has_passed_when_the_parts_are_tried_leaves_the_listener_up_to_date() -> None:
    listeners = ChangeListeners(newest, parts_of)
    reader = Reader()

    def listener(batch: Batch) -> None:
        reader.is_faulty = len(batch) > 1
        reader(batch)

    listeners.add(listener)
    assert len(listeners.notify({"a": 1, "b": 2})) == 1
    assert reader.held == {"a": 1, "b": 2}
    assert listeners.behind_count == 0


def test_latest_replaces_the_missed_value() -> None:
    listeners: ChangeListeners[int] = ChangeListeners(latest)
    received: list[int] = []
    is_faulty = [True]

    def listener(value: int) -> None:
        if is_faulty[0]:
            raise RuntimeError("planted fault")
        received.append(value)

    listeners.add(listener)
    listeners.notify(1)
    listeners.notify(2)
    is_faulty[0] = False
    listeners.retry()
    assert received == [2]


def test_one_failure_is_raised_itself_and_several_as_a_group() -> None:
    raise_failures([])
    with pytest.raises(KeyError):
        raise_failures([KeyError("a")])
    with pytest.raises(ExceptionGroup) as raised:
        raise_failures([KeyError("a"), ValueError("b")])
    assert len(raised.value.exceptions) == 2
