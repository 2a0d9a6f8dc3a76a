"""Workers out by hand: the pure module against a model of its page, and each property against a broken copy."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from canvasbeam.decide import hands

NAMES = st.sampled_from(["a", "b", "c", "d"])


class Machine(RuleBasedStateMachine):
    """Calls, lists and what another process left, in any order; the model is the page's words."""

    kind: type[hands.Hands] = hands.Hands

    def __init__(self) -> None:
        super().__init__()
        self.hands = self.kind()
        self.listed: set[str] = set()
        self.out: set[str] = set()
        self.now = 0
        self.calls = 0
        self.draining: set[str] = set()  # as the core would be told, from Drain and Return alone
        self.starts: dict[str, int] = {}  # as the list says
        self.out_at: dict[str, int] = {}
        self.kept: frozenset[str] | None = None

    def give(self, *events: hands.Event) -> list[hands.Action]:
        self.now += 1
        actions = self.hands.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, hands.Drain):
                self.draining.add(action.worker)
            elif isinstance(action, hands.Return):
                told = self.starts.get(action.worker, 0)
                restarted = action.worker in self.out_at and told >= self.out_at[action.worker]
                assert action.started_ns == (told if restarted else self.now), "a told restart, else one now"
                self.draining.discard(action.worker)
                self.out_at.pop(action.worker, None)
            elif isinstance(action, hands.Keep):
                self.kept = action.out
        return actions

    def answer(self, actions: list[hands.Action]) -> bool:
        answers = [each for each in actions if isinstance(each, hands.Answered)]
        assert [each.call for each in answers] == [self.calls], "one answer to each call"
        return answers[0].yes

    @rule(names=st.sets(NAMES), restarted=st.sets(NAMES))
    def listed_by_discovery(self, names: set[str], restarted: set[str]) -> None:
        self.listed = names
        fresh = dict.fromkeys(restarted & names, self.now + 1)
        self.starts = {name: fresh.get(name, self.starts.get(name, 0)) for name in names}  # the list as last told
        self.give(hands.Listed(frozenset(names), dict(self.starts)))

    @rule(name=NAMES)
    def take_out(self, name: str) -> None:
        self.calls += 1
        yes = self.answer(self.give(hands.TakeOut(name, self.calls)))
        assert yes == (name in self.listed or name in self.out), "ids that nobody has are owed a no"
        if yes:
            self.out_at.setdefault(name, self.now)
            self.out.add(name)
            assert self.kept == frozenset(self.out)

    @rule(name=NAMES)
    def put_back(self, name: str) -> None:
        self.calls += 1
        yes = self.answer(self.give(hands.PutBack(name, self.calls)))
        assert yes == (name in self.listed or name in self.out)
        self.out.discard(name)
        if yes:
            assert self.kept is None or name not in self.kept

    @rule(names=st.sets(NAMES))
    def handed_by_another_process(self, names: set[str]) -> None:
        for name in names - self.out:
            self.out_at[name] = self.now + 1
        self.out = set(names)
        self.kept = frozenset(names)  # the shared file says so
        self.give(hands.Handed(frozenset(names)))

    @invariant()
    def out_is_a_set_and_told_as_draining(self) -> None:
        assert self.hands.out == frozenset(self.out)
        assert self.draining == self.out


class Counting(hands.Hands):
    """Broken: two calls out need two calls back."""

    def __init__(self) -> None:
        super().__init__()
        self.times: dict[str, int] = {}

    def handle(self, now: int, events: list[hands.Event]) -> list[hands.Action]:
        kept: list[hands.Event] = []
        for event in events:
            if isinstance(event, hands.TakeOut) and event.worker in self.out:
                self.times[event.worker] = self.times.get(event.worker, 1) + 1
            if isinstance(event, hands.PutBack) and self.times.get(event.worker, 1) > 1:
                self.times[event.worker] -= 1
                kept.append(hands.Listed(frozenset()))
                return [hands.Answered(event.call, True)]
            kept.append(event)
        return super().handle(now, kept)


class Trusting(hands.Hands):
    """Broken: any id is taken out, known or not."""

    def handle(self, now: int, events: list[hands.Event]) -> list[hands.Action]:
        names = {each.worker for each in events if isinstance(each, hands.TakeOut | hands.PutBack)}
        return super().handle(now, [hands.Listed(frozenset(names)), *events])


class Forgetful(hands.Hands):
    """Broken: what another process left is not taken up."""

    def handle(self, now: int, events: list[hands.Event]) -> list[hands.Action]:
        return super().handle(now, [each for each in events if not isinstance(each, hands.Handed)])


class Doubting(hands.Hands):
    """Broken: a restart that discovery told is not believed; every return is a start now."""

    def handle(self, now: int, events: list[hands.Event]) -> list[hands.Action]:
        kept = [hands.Listed(each.workers) if isinstance(each, hands.Listed) else each for each in events]
        return super().handle(now, kept)


class Silent(hands.Hands):
    """Broken: the set is not handed on."""

    def handle(self, now: int, events: list[hands.Event]) -> list[hands.Action]:
        return [each for each in super().handle(now, events) if not isinstance(each, hands.Keep)]


TestHands = Machine.TestCase
TestHands.settings = profile(max_examples=80, stateful_step_count=30, deadline=None, derandomize=True, database=None)


@pytest.mark.parametrize("broken", [Counting, Trusting, Forgetful, Doubting, Silent])
def test_each_property_catches_a_broken_module(broken: type[hands.Hands]) -> None:
    class Broken(Machine):
        kind = broken

    case: Any = Broken.TestCase
    case.settings = profile(
        max_examples=80, stateful_step_count=30, deadline=None, derandomize=True, database=None,
        report_multiple_bugs=False,
    )  # fmt: skip
    with pytest.raises(AssertionError):
        case().runTest()


def test_two_calls_out_need_one_back_and_the_return_is_a_start() -> None:
    module = hands.Hands()
    module.handle(0, [hands.Listed(frozenset({"a"}))])
    assert module.handle(1, [hands.TakeOut("a", 1)]) == [
        hands.Drain("a"), hands.Keep(frozenset({"a"})), hands.Answered(1, True),
    ]  # fmt: skip
    assert module.handle(2, [hands.TakeOut("a", 2)]) == [hands.Answered(2, True)]
    assert module.handle(3, [hands.PutBack("a", 3)]) == [
        hands.Return("a", 3), hands.Keep(frozenset()), hands.Answered(3, True),
    ]  # fmt: skip
    assert module.out == frozenset()
    assert module.handle(4, [hands.TakeOut("nobody", 4)]) == [hands.Answered(4, False)]
