"""What a fleet may spend in sum: each instance's own part of a budget, and what it lends to others for a while.

Pure: events and the time in whole nanoseconds in, actions out; no I/O, no clock. It must never let the fleet spend more
than the budget's rate and one burst of it in any window, whatever the network does, and never lend the floor.

A budget is a rate in units a second. The settings number the instances, so each owns an equal part of it for ever, with
nobody to ask: that needs no agreement. An instance with more to do than its part asks others; who has spare rate lends.

| a part of the rate | spent by | until |
| --- | --- | --- |
| floor: `floor` of an own part | its owner | for ever; it is never lent |
| own, not lent | its owner; for `longest` after its start nobody | it is lent |
| lent | the borrower | the borrower's request, and `span` on its own clock |
| lent, owner's side | nobody | the grant, and `span` and `drift` of it on the owner's clock |

The bound. A lease counts from the *request* by the borrower's clock, which comes before the grant, and from the grant
by the owner's, which waits longer by the clocks' greatest difference: so the borrower's end lies before the owner's,
and at no time do two spend one part. A grant that is lost is spent by nobody; one that comes twice is known by its
number; a borrower that restarts has forgotten what it borrowed; an owner that restarts has forgotten what it lent, so
it spends its floor alone until the longest lease it can have granted is over. Hence at any time the rates in use add
up to the budget at most. Each fills a bucket that holds `burst` seconds of its present rate; what no longer fits is
lost. The buckets' sum never passes the budget's rate times `burst`, so any window of W seconds sees at most rate x (W
+ burst) spent: a factor of 1.1 where W is ten bursts. Where a part is small, a bucket that cannot hold one unit would
never spend one: it holds `grain` at the least, and the bound grows by `grain` for each instance.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Terms:
    """One budget, the same at all instances; each may have another rate for a while, over a reload."""

    rate: float  # units a second, of the whole fleet
    instances: int  # that the settings number
    floor: float = 0.25  # of its own part, which an instance never lends
    burst_s: float = 0.1
    grain: float = 0.0  # units that a bucket holds at the least
    span: int = 2 * SECOND  # of a lease
    longest: int = 5 * SECOND  # no lease was ever longer: an owner's quarantine after its start
    drift: float = 0.01  # the most by which two clocks differ over a lease
    ask_every: int = SECOND // 4
    ask_of: int = 3  # others at once
    keep: float = 0.5  # of its spare rate an owner keeps so much for what may come

    def __post_init__(self) -> None:
        if self.rate <= 0 or self.instances < 1 or not 0 < self.floor <= 1 or not 0 <= self.keep <= 1:
            raise ValueError("a budget's rate, instances, floor or keep cannot be")
        if not 0 < self.span * (1 + self.drift) <= self.longest or self.burst_s <= 0 or self.drift < 0:
            raise ValueError("a lease with its drift must not last longer than the longest, nor a burst be 0")

    @property
    def part(self) -> float:
        """An instance's own part, in units a second."""
        return self.rate / self.instances


@dataclass(frozen=True, slots=True)
class Asked:
    """Another instance asks for so much rate; `number` is its own count of requests since its start."""

    who: str
    number: int
    rate: float


@dataclass(frozen=True, slots=True)
class Granted:
    """Another instance lends, in answer to our request of that number."""

    who: str
    number: int
    rate: float


@dataclass(frozen=True, slots=True)
class There:
    """Who else is there, as the membership says."""

    others: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Reloaded:
    """The budget is another one from here on."""

    terms: Terms


Event = Asked | Granted | There | Reloaded


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask this instance."""

    to: str
    number: int
    rate: float


@dataclass(frozen=True, slots=True)
class Grant:
    """Lend to this instance."""

    to: str
    number: int
    rate: float


Action = Ask | Grant


@dataclass(slots=True)
class Lease:
    """Rate that was borrowed or lent."""

    rate: float
    until: int


class Budget:
    """One instance's side of one budget."""

    def __init__(self, terms: Terms, seed: int, now: int) -> None:
        self.terms = terms
        self._rng = random.Random(seed)
        # Numbers that began anew at a restart would take an earlier process's grant for an answer.
        self._number = self._rng.getrandbits(62)
        self._others: tuple[str, ...] = ()
        self._began = now
        self._borrowed: list[Lease] = []
        self._lent: list[Lease] = []
        self._requests: dict[tuple[str, int], int] = {}  # that are out: when they were made
        self._tokens = 0.0
        self._filled = now
        self._wanted = 0.0  # units that were asked for lately, a second
        self._refused = 0.0
        self._next_ask = now
        self._now = now

    # --- spending ---------------------------------------------------------------------------------

    def take(self, now: int, units: float = 1.0) -> bool:
        """Whether so much may be spent now; it is spent then."""
        self._pass_time(now)
        self._wanted += units
        if self._tokens < units - 1e-9:
            self._refused += units
            return False
        self._tokens -= units
        return True

    def rate(self, now: int) -> float:
        """Return what this instance may spend a second, as it stands."""
        terms = self.terms
        floor = terms.floor * terms.part
        own = floor if now - self._began < terms.longest else terms.part - self._out(self._lent, now)
        return max(floor, own) + self._out(self._borrowed, now)

    @staticmethod
    def _out(leases: list[Lease], now: int) -> float:
        return sum(lease.rate for lease in leases if now < lease.until)

    def _room(self, now: int) -> float:
        """Return what the bucket holds at the most."""
        return max(self.rate(now) * self.terms.burst_s, self.terms.grain)

    def _pass_time(self, now: int) -> None:
        """Fill the bucket up to now, lease by lease, and let go of what has ended.

        A long step over the end of a lease must not fill the bucket by it beyond that end.
        """
        ends = {loan.until for loan in (*self._borrowed, *self._lent) if self._filled < loan.until < now}
        quarantine = self._began + self.terms.longest
        ends |= {quarantine} if self._filled < quarantine < now else set()
        for when in sorted({*ends, now}):
            rate = self.rate(self._filled)
            filled = self._tokens + rate * (when - self._filled) / SECOND
            self._filled = max(self._filled, when)
            self._tokens = min(filled, self._room(self._filled))
        self._borrowed = [loan for loan in self._borrowed if now < loan.until]
        self._lent = [loan for loan in self._lent if now < loan.until]
        self._now = max(self._now, now)

    # --- lending ----------------------------------------------------------------------------------

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Take what was said, and say what is to be asked or lent."""
        self._pass_time(now)
        actions: list[Action] = []
        for event in events:
            match event:
                case There(others):
                    self._others = others
                case Reloaded(terms):
                    self._reload(terms)
                case Asked(who, number, rate):
                    lent = self._lend(rate)
                    if lent > 0:
                        actions.append(Grant(who, number, lent))
                case Granted(who, number, rate):
                    self._borrow(who, number, rate)
        return actions + self._ask()

    def _reload(self, terms: Terms) -> None:
        """Take another budget: a smaller one holds at once for our own; what was lent before ends by itself."""
        self.terms = terms
        self._tokens = min(self._tokens, self._room(self._now))

    def _lend(self, asked: float) -> float:
        """How much rate is lent now; 0 in quarantine, and never of the floor."""
        terms = self.terms
        if self._now - self._began < terms.longest or asked <= 0:
            return 0.0
        free = terms.part * (1 - terms.floor) - self._out(self._lent, self._now)
        spare = min(free, terms.part - self._out(self._lent, self._now) - self._wanted)
        lent = min(asked, spare * (1 - terms.keep))
        if lent <= terms.part / 1000:
            return 0.0
        self._lent.append(Lease(lent, self._now + round(terms.span * (1 + terms.drift))))
        self._tokens = min(self._tokens, self._room(self._now))
        return lent

    def _borrow(self, who: str, number: int, rate: float) -> None:
        """Only an answer to a request of ours that is out, once, and from when it was asked for."""
        asked_at = self._requests.pop((who, number), None)
        if asked_at is not None and self._now < asked_at + self.terms.span and 0 < rate <= self.terms.rate:
            self._borrowed.append(Lease(rate, asked_at + self.terms.span))

    def _ask(self) -> list[Action]:
        """Now and then, where more was wanted than there was: some of the others, for a part each."""
        terms = self.terms
        if self._now < self._next_ask:
            return []
        self._next_ask = self._now + terms.ask_every
        fade = terms.ask_every / SECOND
        short, self._refused = self._refused / fade, 0.0
        self._wanted *= 1 - fade  # a mean over a second
        # What is borrowed ends soon: it is asked for anew before it does.
        ending = sum(loan.rate for loan in self._borrowed if loan.until - self._now < 2 * terms.ask_every)
        spare = self.rate(self._now) - self._wanted
        need = short + max(0.0, ending - max(0.0, spare))
        out = [key for key, when in self._requests.items() if self._now - when >= terms.span]
        for key in out:
            del self._requests[key]
        if need <= 0 or not self._others:
            return []
        asked: list[Action] = []
        for to in self._rng.sample(self._others, min(terms.ask_of, len(self._others))):
            self._number += 1
            self._requests[to, self._number] = self._now
            asked.append(Ask(to, self._number, need))
        return asked
