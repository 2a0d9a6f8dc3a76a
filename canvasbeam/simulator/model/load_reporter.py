"""The load report of an emulated worker: made now and then, published late, and a little noisy."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from canvasbeam.simulator.model.machine import Machine
from canvasbeam.simulator.model.units import SECOND


@dataclass(frozen=True, slots=True)
class Figures:
    """What a worker has counted, and the slots that it has free."""

    served: int
    failed: int
    busy_ns: float
    free_slots: int


class LoadReporter:
    """Turns a worker's figures into the report that schedulers see."""

    def __init__(self, machine: Machine, rng: random.Random) -> None:
        self._machine = machine
        self._rng = rng
        self._published: dict[str, float] = {}
        self._next: dict[str, float] = {}  # made, and not yet published
        self._make_at = 0
        self._publish_at = 0
        self._counted_at = 0
        self._counted = Figures(0, 0, 0.0, 0)

    def restart(self, now: int) -> None:
        """Note that a new process has reported nothing."""
        self._published, self._next = {}, {}
        self._make_at = now

    def report(self, now: int, figures: Callable[[], Figures]) -> dict[str, float]:
        """Return the report as it stands; empty where there is none."""
        machine = self._machine
        if not machine.report_period_ns:
            return {}
        if self._next and now >= self._publish_at:
            self._published, self._next = self._next, {}
        if now >= self._make_at and not self._next:
            self._next = self._measure(now, figures())
            self._make_at = now + machine.report_period_ns
            self._publish_at = now + machine.report_delay_ns
        return self._published

    def _measure(self, now: int, figures: Figures) -> dict[str, float]:
        span_ns = max(1, now - self._counted_at)
        before, self._counted = self._counted, figures
        self._counted_at = now
        done = figures.served + figures.failed
        done_since = done - before.served - before.failed
        return {
            "qps": self._noisy(done_since / (span_ns / SECOND)),
            "util": self._noisy(min(1.0, (figures.busy_ns - before.busy_ns) / span_ns)),
            "eps": self._noisy(figures.failed / max(1, done) if done else 0.0),
            "x0": self._noisy(max(0, figures.free_slots)),
        }

    def _noisy(self, value: float) -> float:
        return round(max(0.0, value * (1 + self._rng.gauss(0, self._machine.report_noise))), 4)
