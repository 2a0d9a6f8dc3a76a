"""How long a suspicion lasts before the member is taken for dead."""

from __future__ import annotations

from math import log

from canvasbeam.decide.membership.terms import Terms

MUCH_NEWS = 60  # facts that are still told on: with so many, suspicions take twice as long


def patience(health: int) -> float:
    """How many times as long an instance waits for others when it is slow itself (Lifeguard's local health)."""
    return 1 + health / 4


def suspicion_span(terms: Terms, witnesses: int, others: int, health: int, news: int) -> float:
    """The more witnesses among so many others, the shorter.

    Danger: when half of a fleet comes back there is more news than fits, and refutations come late.
    """
    wanted = min(terms.confirmers, max(1, others))
    share = log(min(max(1, witnesses), wanted + 1)) / log(wanted + 1)
    span = terms.most_suspicion - share * (terms.most_suspicion - terms.least_suspicion)
    return span * (patience(health) * (1 + news / MUCH_NEWS))
