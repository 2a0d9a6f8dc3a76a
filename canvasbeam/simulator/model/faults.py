"""The timetable of a run's faults: which member is hit, when, how hard, and when it is over.

It owns the choice of who is hit, the steps of a ramp, and how faults that overlap on one member add up (slowdowns
multiply, shares that fail combine, a machine is back once the last fault that holds it down is over). It must never
carry a fault out: the engines do that.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Literal

from canvasbeam.simulator.model import spec
from canvasbeam.simulator.model.draw import Chance, Stream, drawn_by, envelope
from canvasbeam.simulator.model.machine import Machine
from canvasbeam.simulator.model.units import SECOND

RAMP_STEPS = 10

WorkerChange = Literal["die", "return", "slow", "errors", "breaks", "silent", "heard", "drain", "undrain", "pause"]
OtherChange = Literal["kill", "term", "start", "stop", "go_on", "stale", "fresh", "cut", "joined"]


@dataclass(frozen=True, slots=True)
class Step:
    """One change of the timetable. `member` names a worker, a scheduler or a zone; `value` is its new figure."""

    at_ns: int
    fault: int
    what: WorkerChange | OtherChange
    member: str
    value: float = 0.0


def hit(fault: spec.FaultSpec, members: list[tuple[str, str]], rng: random.Random) -> list[str]:
    """Who is hit, from (name, zone) of all: those named, or a part of those in the zone."""
    if fault.targets:
        known = {name for name, _ in members}
        return [name for name in fault.targets if name in known]
    inside = [name for name, zone in members if not fault.zone or zone == fault.zone]
    if not fault.part:
        return inside
    count = min(len(inside), max(1, round(fault.part * len(inside))))
    return sorted(rng.sample(inside, count))


# What becomes of a scheduler at a fault's begin, and at its end.
_SCHEDULERS: dict[str, tuple[OtherChange, OtherChange]] = {
    "scheduler_kill": ("kill", "start"),
    "scheduler_restart": ("term", "start"),
    "scheduler_stop": ("stop", "go_on"),
}


def scheduler_name(place: int) -> str:
    """Return the name of a scheduler."""
    return f"n{place}"


def timetable(scenario: spec.Scenario, fleet: Iterable[Machine], chance: Chance) -> list[Step]:
    """All changes of a run, in the order of time; at one time in the order of the scenario's faults."""
    workers = [(worker.name, worker.zone) for worker in fleet]
    zones = scenario.zones
    schedulers = [(scheduler_name(place), zones[place % len(zones)]) for place in range(scenario.schedulers.count)]
    steps: list[Step] = []
    for number, fault in enumerate(scenario.faults):
        rng = chance.single(Stream.FAULTS, number)
        if fault.kind in _SCHEDULERS:
            what, then = _SCHEDULERS[fault.kind]
            for place, name in enumerate(hit(fault, schedulers, rng)):
                at = fault.at_s + place * fault.every_s
                steps.append(Step(_ns(at), number, what, name))
                # A planned restart starts the new process once the old one has ended; see the engines.
                back = at + fault.for_s + drawn_by(fault.spread_s, rng)
                steps.append(Step(_ns(back), number, then, name))
        elif fault.kind == "stale_discovery":
            steps.append(Step(_ns(fault.at_s), number, "stale", ""))
            steps.append(Step(_ns(fault.end_s), number, "fresh", ""))
        elif fault.kind == "cut":
            for zone in [fault.zone] if fault.zone else zones[: max(1, round(fault.part * len(zones)))]:
                steps.append(Step(_ns(fault.at_s), number, "cut", zone))
                steps.append(Step(_ns(fault.end_s), number, "joined", zone))
        elif fault.kind not in ("burst", "heavy_tail"):  # those are drawn with the jobs
            chosen = [name for name, _ in workers] if fault.kind == "shared_slow" else hit(fault, workers, rng)
            for place, name in enumerate(chosen):
                begin = fault.at_s + place * fault.every_s
                end = begin + fault.for_s + drawn_by(fault.spread_s, rng)
                steps += _of_worker(fault, number, name, begin, end)
    return sorted(steps, key=lambda each: (each.at_ns, each.fault, each.member))


_ON_OFF: dict[str, tuple[WorkerChange, WorkerChange]] = {
    "crash": ("die", "return"),
    "silent": ("silent", "heard"),
    "drain": ("drain", "undrain"),
}
_GRADED: dict[str, tuple[WorkerChange, float]] = {
    "slow": ("slow", 1.0),
    "shared_slow": ("slow", 1.0),
    "fast_errors": ("errors", 0.0),
    "breaking": ("breaks", 0.0),
}


def _of_worker(fault: spec.FaultSpec, number: int, name: str, begin: float, end: float) -> list[Step]:
    if fault.kind in _ON_OFF:
        first, last = _ON_OFF[fault.kind]
        return [Step(_ns(begin), number, first, name), Step(_ns(end), number, last, name)]
    if fault.kind == "pause":
        return [Step(_ns(begin), number, "pause", name, end - begin)]
    what, calm = _GRADED[fault.kind]
    if fault.ramp_s <= 0:
        return [Step(_ns(begin), number, what, name, fault.size), Step(_ns(end), number, what, name, calm)]
    shift = begin - fault.at_s
    ramp = min(fault.ramp_s, fault.for_s / 2)
    times = [begin + ramp * step / RAMP_STEPS for step in range(RAMP_STEPS)]
    times += [end - ramp * step / RAMP_STEPS for step in range(RAMP_STEPS, 0, -1)]
    steps = []
    for at in times:
        # Half a step on, so that no step of the way up repeats the calm before it.
        level = float(envelope(fault, at - shift + ramp / RAMP_STEPS / 2))
        steps.append(Step(_ns(at), number, what, name, calm + (fault.size - calm) * level))
    return [*steps, Step(_ns(end), number, what, name, calm)]


def _ns(seconds: float) -> int:
    return round(seconds * 1_000_000) * (SECOND // 1_000_000)


@dataclass(slots=True)
class Condition:
    """How one worker stands under all faults that are on it now."""

    _down: set[int] = field(default_factory=set)
    _silent: set[int] = field(default_factory=set)
    _draining: set[int] = field(default_factory=set)
    _slow: dict[int, float] = field(default_factory=dict)
    _errors: dict[int, float] = field(default_factory=dict)
    _breaks: dict[int, float] = field(default_factory=dict)

    def take(self, step: Step) -> None:
        """One change of the timetable."""
        match step.what:
            case "die":
                self._down.add(step.fault)
            case "return":
                self._down.discard(step.fault)
            case "silent":
                self._silent.add(step.fault)
            case "heard":
                self._silent.discard(step.fault)
            case "drain":
                self._draining.add(step.fault)
            case "undrain":
                self._draining.discard(step.fault)
            case "slow":
                self._slow[step.fault] = step.value
            case "errors":
                self._errors[step.fault] = step.value
            case "breaks":
                self._breaks[step.fault] = step.value
            case _:
                pass

    @property
    def down(self) -> bool:
        """Whether its process is gone."""
        return bool(self._down)

    @property
    def silent(self) -> bool:
        """Whether its machine says nothing."""
        return bool(self._silent)

    @property
    def draining(self) -> bool:
        """Whether it drains."""
        return bool(self._draining)

    @property
    def slow(self) -> float:
        """How many times slower it runs."""
        product = 1.0
        for fault in sorted(self._slow):
            product *= self._slow[fault]
        return product

    @property
    def errors(self) -> float:
        """The share of its jobs that fails."""
        return _together(self._errors)

    @property
    def breaks(self) -> float:
        """The share of its streams that breaks."""
        return _together(self._breaks)


def _together(shares: dict[int, float]) -> float:
    """Independent chances combined."""
    well = 1.0
    for fault in sorted(shares):
        well *= 1 - shares[fault]
    return 1 - well
