"""A fleet that spends one budget, in simulated time on a hostile network, and the bound that it must keep.

It owns the clocks that run at different speeds, the post that is lost, doubled and late, kills, stops and cuts, and
the check of what was spent in any window. It must never read a clock, nor tell an instance anything but its post.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import replace
from heapq import heappop, heappush

from canvasbeam.simulator.lending_budgets import (
    SECOND,
    Action,
    Ask,
    Asked,
    Budget,
    Event,
    Grant,
    Granted,
    Reloaded,
    Terms,
    There,
)

MS = SECOND // 1000
STEP = 40 * MS
WINDOWS = (STEP, SECOND // 4, SECOND, 5 * SECOND)


class OverspentError(AssertionError):
    """More was spent in a window than the bound allows."""


class Market:
    """Instances on a hostile network; each spends all that it may, where there is something to do."""

    def __init__(self, terms: Terms, seed: int, kind: type[Budget] = Budget) -> None:
        self.terms, self.kind = terms, kind
        self.most = terms.rate
        self.rng = random.Random(seed)
        self.now = 0
        self.names = [f"n{place}" for place in range(terms.instances)]
        # No two clocks differ by more than the drift that the terms allow.
        self.speed = {name: 1 + terms.drift * 0.98 * (self.rng.random() - 0.5) for name in self.names}
        self.budgets: dict[str, Budget] = {}
        self.stopped: set[str] = set()
        self.side = dict.fromkeys(self.names, 0)
        self.loss = self.doubled = 0.0
        self.late_ms = 1.0
        self.slow_grants_ms = 0
        self.wanted = dict.fromkeys(self.names, 0.0)  # units a second that come to each
        self.spent: list[tuple[int, float]] = []
        self.by: dict[str, float] = dict.fromkeys(self.names, 0.0)
        self._post: list[tuple[int, int, str, Event]] = []
        self._order = 0
        for name in self.names:
            self.start(name)

    def clock(self, name: str) -> int:
        """Return the time by an instance's own clock."""
        return round(self.now * self.speed[name])

    def start(self, name: str) -> None:
        """Start a new process, which has forgotten all that an earlier one knew."""
        self.budgets[name] = self.kind(self.terms, self.rng.getrandbits(30), self.clock(name))
        self.stopped.discard(name)

    def run(self, span_s: float) -> None:
        """Let so much time pass."""
        end = self.now + round(span_s * SECOND)
        while self.now < end:
            self.now += STEP
            for name, budget in tuple(self.budgets.items()):
                if name in self.stopped:
                    continue
                events: list[Event] = [There(tuple(budget for budget in self.budgets if budget != name))]
                self.carry(name, budget.handle(self.clock(name), events))
                self.spend(name, budget)
            self.deliver()

    def spend(self, name: str, budget: Budget) -> None:
        """Return what has come to an instance, as far as it may be spent."""
        units = self.wanted[name] * STEP / SECOND
        while units > 0:
            part = min(0.2, units)
            if not budget.take(self.clock(name), part):
                return
            self.spent.append((self.now, part))
            self.by[name] += part
            units -= part

    def carry(self, name: str, actions: Sequence[Action]) -> None:
        """Post what an instance says."""
        for action in actions:
            event: Event
            match action:
                case Ask(to, number, rate):
                    event = Asked(name, number, rate)
                case Grant(to, number, rate):
                    event = Granted(name, number, rate)
            if self.rng.random() < self.loss or self.side[to] != self.side[name]:
                continue
            for _ in range(1 + (self.rng.random() < self.doubled)):
                self._order += 1
                late = round(self.late_ms * self.rng.random() * MS)
                late += self.slow_grants_ms * MS if isinstance(action, Grant) else 0
                heappush(self._post, (self.now + late, self._order, to, event))

    def deliver(self) -> None:
        """Deliver what the post brings by now; to a stopped process, once it goes on."""
        kept = []
        while self._post and self._post[0][0] <= self.now:
            when, order, to, event = heappop(self._post)
            if to in self.stopped:
                kept.append((when, order, to, event))  # it waits at its socket
            elif to in self.budgets:
                self.carry(to, self.budgets[to].handle(self.clock(to), [event]))
        for connection in kept:
            heappush(self._post, connection)

    def check(self) -> float:
        """Return the worst factor over the bound's own allowance for a window; OverspentError above 1."""
        worst = 0.0
        fastest = 1 + self.terms.drift / 2  # rates run by the instances' clocks
        for window in WINDOWS:
            allowed = self.most * fastest * (window / SECOND + self.terms.burst_s)
            allowed += self.terms.instances * self.terms.grain
            first, whole = 0, 0.0
            for at, units in self.spent:
                whole += units
                while self.spent[first][0] <= at - window:
                    whole -= self.spent[first][1]
                    first += 1
                worst = max(worst, whole / allowed)
                if whole > allowed * (1 + 1e-9):
                    raise OverspentError(f"{whole:.2f} in {window / SECOND} s, where {allowed:.2f} may be spent")
        return worst


def history(seed: int, kind: type[Budget] = Budget, steps: int = 14) -> float:
    """Return the worst factor of what may be spent in a drawn history: some idle and lending, then all busy."""
    rng = random.Random(seed)
    terms = Terms(rate=40.0, instances=rng.choice([2, 3, 5]), drift=0.05, keep=0.0, burst_s=0.05)
    market = Market(terms, seed, kind)
    market.run(5.5)
    for step in range(steps):
        name = rng.choice(market.names)
        action = rng.randrange(len(STEPS) + 1)
        if action < len(STEPS):  # else nothing happens in this step
            STEPS[action](market, rng, name)
        for instance in market.names:
            market.wanted[instance] = 100.0 if step % 2 or rng.random() < 0.5 else 0.0
        market.run(rng.choice([0.3, 1.0, 2.0]))
    return market.check()


def _kill(market: Market, rng: random.Random, name: str) -> None:
    if name in market.budgets:
        del market.budgets[name]
        market.stopped.discard(name)


def _start(market: Market, rng: random.Random, name: str) -> None:
    if name not in market.budgets:
        market.start(name)


def _change_side(market: Market, rng: random.Random, name: str) -> None:
    market.side[name] = 1 - market.side[name]


def _join_sides(market: Market, rng: random.Random, name: str) -> None:
    market.side = dict.fromkeys(market.names, 0)


def _stop_or_go_on(market: Market, rng: random.Random, name: str) -> None:
    if name in market.budgets:
        market.stopped ^= {name}


def _change_links(market: Market, rng: random.Random, name: str) -> None:
    market.loss, market.doubled = rng.choice([0, 0.3]), rng.choice([0, 0.5])
    market.late_ms = rng.choice([1, 50, 1500, 4000])


def _change_rate(market: Market, rng: random.Random, name: str) -> None:
    """Have a half of the instances read a new rate."""
    rate = rng.choice([20.0, 40.0, 60.0])
    market.most = max(market.most, rate)
    for instance in rng.sample(market.names, len(market.names) // 2):
        if instance in market.budgets and instance not in market.stopped:
            reloaded = [Reloaded(replace(market.terms, rate=rate))]
            market.carry(instance, market.budgets[instance].handle(market.clock(instance), reloaded))


# What may happen at a step of a drawn history.
STEPS: tuple[Callable[[Market, random.Random, str], None], ...] = (
    _kill,
    _start,
    _start,
    _change_side,
    _join_sides,
    _stop_or_go_on,
    _change_links,
    _change_rate,
)


def pair(kind: type[Budget]) -> Market:
    """Two, of which the first has lent most of its part to the other."""
    terms = Terms(rate=40.0, instances=2, drift=0.05, keep=0.0, burst_s=0.05)
    market = Market(terms, 1, kind)
    market.run(6)
    market.wanted["n1"] = 100.0
    return market


def late_answers(kind: type[Budget] = Budget) -> float:
    """Grants come almost as late as their lease would end, and the owner has work again."""
    market = pair(kind)
    market.slow_grants_ms = 1_850
    market.run(2)
    market.side["n0"] = 1  # what is under way still comes
    market.wanted["n0"] = 100.0
    market.run(4)
    return market.check()


def owner_restarts(kind: type[Budget] = Budget) -> float:
    """Return an owner is killed just after it lent, is back at once, and has work."""
    market = pair(kind)
    market.run(3)
    market.start("n0")
    market.wanted["n0"] = 100.0
    market.run(4)
    return market.check()
