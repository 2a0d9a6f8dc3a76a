"""Budgets of a fleet keep the bound on the sum spent under any faults.

Partitions, losses, delays, doubles, stops, kills and restarts, with clocks that run at different speeds; each clause of
the bound with a mutation that breaks it.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from canvasbeam.simulator.budget_fleet import Market, OverspentError, history, late_answers, owner_restarts
from canvasbeam.simulator.lending_budgets import SECOND, Ask, Asked, Budget, Grant, Granted, Lease, Terms, There

STORIES = (late_answers, owner_restarts)


@pytest.mark.parametrize("story", STORIES)
def test_the_bound_holds_in_the_hard_cases(story: Callable[[], float]) -> None:
    assert 0.5 < story() <= 1


@settings(max_examples=25, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
@given(st.integers(0, 2**20))
def test_the_sum_spent_stays_in_its_bound_whatever_happens(seed: int) -> None:
    assert history(seed) <= 1


class CountsFromTheGrant(Budget):
    """A lease that begins when the answer comes, not when it was asked for."""

    def _borrow(self, who: str, number: int, rate: float) -> None:
        if self._requests.pop((who, number), None) is not None:
            self._borrowed.append(Lease(rate, self._now + self.terms.span))


class TakesTwice(Budget):
    def _borrow(self, who: str, number: int, rate: float) -> None:
        asked_at = self._requests.get((who, number))
        if asked_at is not None:
            self._borrowed.append(Lease(rate, asked_at + self.terms.span))


class ForgetsAtOnce(Budget):
    """An owner that spends its whole part right after a start, though it may have lent of it before."""

    def __init__(self, terms: Terms, seed: int, now: int) -> None:
        super().__init__(terms, seed, now)
        self._began = now - terms.longest


class LendsAndKeeps(Budget):
    def _lend(self, asked: float) -> float:
        lent = super()._lend(asked)
        if lent:
            self._lent.pop()
        return lent


class NoDrift(Budget):
    """An owner that takes its clock for the borrower's."""

    def _lend(self, asked: float) -> float:
        lent = super()._lend(asked)
        if lent:
            self._lent[-1].until = self._now + self.terms.span // 2
        return lent


class KeepsItsTokens(Budget):
    """A bucket that stays as full as it was while its rate was higher."""

    def _room(self, now: int) -> float:
        return self.terms.rate * self.terms.burst_s


@pytest.mark.parametrize(
    "mutation", [CountsFromTheGrant, TakesTwice, ForgetsAtOnce, LendsAndKeeps, NoDrift, KeepsItsTokens]
)
def test_the_histories_catch_each_mutation(mutation: type[Budget]) -> None:
    plays: list[Callable[[type[Budget]], float]] = [*STORIES, *(partial(history, seed) for seed in range(60))]
    for play in plays:
        try:
            play(mutation)
        except OverspentError:
            return
    raise AssertionError(f"{mutation.__name__} went unseen")


def busy(instances: int = 5, **changes: float) -> Market:
    """One instance has all the work, past the quarantine after the starts."""
    market = Market(Terms(rate=50.0, instances=instances), 3)
    market.run(6)
    market.wanted["n0"] = 45.0
    return market


def test_who_has_all_the_work_gets_most_of_the_budget() -> None:
    market = busy()
    market.run(5)
    before = market.by["n0"]
    market.run(10)
    assert (market.by["n0"] - before) / 10 > 25  # its own part is 10
    market.check()


def test_who_hears_nothing_keeps_its_own_part_and_never_less_than_its_floor() -> None:
    market = busy()
    market.run(5)
    market.side["n0"] = 1
    market.run(3)  # what it borrowed and lent is over
    before = market.by["n0"]
    market.run(10)
    alone = (market.by["n0"] - before) / 10
    assert 9.5 < alone < 10.5
    market.check()


def test_after_a_start_an_owner_spends_its_floor_alone_and_then_its_part() -> None:
    budget = Budget(Terms(rate=50.0, instances=5), 1, 0)
    assert budget.rate(4 * SECOND) == 2.5
    assert budget.rate(5 * SECOND) == 10.0


def test_the_floor_is_never_lent_however_much_is_asked() -> None:
    terms = Terms(rate=50.0, instances=5, keep=0.0)
    budget = Budget(terms, 1, 0)
    now = 6 * SECOND
    lent = [action for number in range(50) for action in budget.handle(now, [Asked("n1", number, 1_000.0)])]
    assert sum(loan.rate for loan in lent if isinstance(loan, Grant)) == pytest.approx(7.5)
    assert budget.rate(now) == pytest.approx(2.5)


def test_an_answer_that_nobody_asked_for_or_that_comes_too_late_lends_nothing() -> None:
    budget = Budget(Terms(rate=50.0, instances=5), 1, 0)
    now = 6 * SECOND
    budget.handle(now, [There(("n1", "n2"))])
    assert not budget.take(now, 30.0)
    asked = [action for action in budget.handle(now + SECOND, []) if isinstance(action, Ask)]
    assert {ask.to for ask in asked} == {"n1", "n2"}
    rate = budget.rate(now + SECOND)
    budget.handle(now + SECOND, [Granted("n3", asked[0].number, 5.0), Granted(asked[0].to, 1, 5.0)])
    assert budget.rate(now + SECOND) == rate
    budget.handle(now + SECOND, [Granted(asked[0].to, asked[0].number, 5.0)])
    assert budget.rate(now + SECOND) == rate + 5.0
    budget.handle(now + 4 * SECOND, [Granted(asked[1].to, asked[1].number, 5.0)])
    assert budget.rate(now + 4 * SECOND) == rate


def test_a_small_part_spends_whole_units_by_its_grain() -> None:
    market = Market(Terms(rate=8.0, instances=8, grain=1.0), 3)
    market.run(6)
    for name in market.names:
        market.wanted[name] = 5.0
    market.run(20)
    assert 7.5 < sum(units for at, units in market.spent if at > 16 * SECOND) / 10 < 8.5
    market.check()


@pytest.mark.parametrize(
    "terms",
    [{"rate": 0.0}, {"instances": 0}, {"floor": 0.0}, {"keep": 2.0}, {"span": SECOND * 9}, {"burst_s": 0.0}],
)
def test_terms_that_cannot_be_are_refused(terms: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=r"budget|lease"):
        Terms(**{"rate": 1.0, "instances": 1, **terms})  # type: ignore[arg-type]
