"""Everything of a run that is left to chance, drawn ahead from one seed.

It owns the streams of random numbers (one for each matter, so that a change of one moves no other) and what is
drawn from them: machines, arrivals, and the habits of each client. Both engines play the same draw. It must never
depend on anything but the scenario: not on time, on hash order or on the order of calls.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import numpy as np
import numpy.typing as npt

from canvasbeam.simulator.model import spec
from canvasbeam.simulator.model.machine import Machine
from canvasbeam.simulator.model.units import MS, SECOND

Floats = npt.NDArray[np.float64]
# How far a client's guess at the work lies off: the standard deviation of its logarithm.
HINT_NOISE = 0.3


class Stream(IntEnum):
    """The matters that have a stream of their own. New ones go to the end."""

    FLEET = 0
    ARRIVALS = 1
    JOBS = 2
    CLIENTS = 3
    FAULTS = 4
    WORKERS = 5
    NETWORK = 6
    DISCOVERY = 7
    FRONT = 8
    SCHEDULERS = 9
    HINTS = 10
    TAILS = 11


class Chance:
    """The streams of a run."""

    def __init__(self, seed: int) -> None:
        self._children = np.random.SeedSequence(seed).spawn(len(Stream))

    def numbers(self, stream: Stream) -> np.random.Generator:
        """Return a generator for arrays, begun anew at each call."""
        return np.random.Generator(np.random.PCG64(self._children[stream]))

    def single(self, stream: Stream, which: int = 0) -> random.Random:
        """Return a cheap generator of single numbers, for the `which`th member of a stream."""
        state = self._children[stream].generate_state(4, np.uint64).tolist()
        return random.Random(f"{state}/{which}")


def drawn(span: spec.Span, rng: np.random.Generator) -> float:
    """One figure from a range, or the figure itself."""
    return float(rng.uniform(*span)) if isinstance(span, tuple) else float(span)


def drawn_by(span: spec.Span, rng: random.Random) -> float:
    """Return the same from a generator of single numbers."""
    return rng.uniform(*span) if isinstance(span, tuple) else float(span)


def _shared_out(count: int, weights: tuple[float, ...]) -> list[int]:
    """Whole numbers that add up to `count`, by largest remainder."""
    total = sum(weights)
    exact = [count * weight / total for weight in weights]
    whole = [int(term) for term in exact]
    rest = sorted(range(len(weights)), key=lambda place: (whole[place] - exact[place], place))
    for place in rest[: count - sum(whole)]:
        whole[place] += 1
    return whole


def machines(scenario: spec.Scenario, chance: Chance) -> list[Machine]:
    """Return the fleet, with each machine's true figures."""
    fleet = scenario.fleet
    rng = chance.numbers(Stream.FLEET)
    weights = fleet.zone_weights or (1.0,) * len(scenario.zones)
    zones = [
        zone
        for zone, count in zip(scenario.zones, _shared_out(fleet.workers, weights), strict=True)
        for _ in range(count)
    ]
    counts = _shared_out(fleet.workers, tuple(model.share for model in fleet.models))
    models = [model for model, count in zip(fleet.models, counts, strict=True) for _ in range(count)]
    order = rng.permutation(len(models))
    return [_machine(fleet, models[int(order[place])], place, zone, rng) for place, zone in enumerate(zones)]


def _machine(fleet: spec.Fleet, model: spec.MachineModel, place: int, zone: str, rng: np.random.Generator) -> Machine:
    """One worker; its figures are drawn in the order in which they stand here."""
    return Machine(
        name=f"s-{place:04d}",
        zone=zone,
        model=model.name,
        cell=place // 6,
        cores=model.cores,
        slots=max(1, round(model.cores * model.slots_per_core)),
        speed=drawn(model.speed, rng),
        queue=round(model.queue_per_core * model.cores),
        order=fleet.order,
        preempt=fleet.preempt,
        cold_from=model.cold_from,
        cold_ns=round(model.cold_s * SECOND),
        warm_by=model.warm_by,
        pause_every_ns=round(drawn(model.pause_every_s, rng) * SECOND),
        pause_ns=round(drawn(model.pause_ms, rng) * MS),
        error_rate=model.error_rate,
        thrash=model.thrash,
        thrash_at=model.thrash_at,
        cancel_stops_work=fleet.cancel_stops_work,
        drops_expired=fleet.drops_expired,
        drain_returns=fleet.drain_returns,
        tells_start=fleet.tells_start,
        progress_ns=round(fleet.progress_s * SECOND),
        report_period_ns=round(drawn(fleet.report_period_s, rng) * SECOND) if fleet.report else 0,
        report_delay_ns=round(drawn(fleet.report_delay_s, rng) * SECOND),
        report_noise=fleet.report_noise,
        probe_work_ns=round(fleet.probe_work_ms * MS),
        probes_per_s=fleet.probes_per_core * model.cores if fleet.probes else 0.0,
        keys_kept=fleet.keys_kept,
        fetch_ns=round(fleet.fetch_s * SECOND),
        connections=fleet.connections_per_core * model.cores,
        handshake_work_ns=round(fleet.handshake_work_ms * MS),
        tip_multiple=fleet.tip_multiple,
        tip_window_ns=round(fleet.tip_window_s * SECOND),
    )


def mean_work(scenario: spec.Scenario) -> float:
    """Core seconds at speed 1 that a job takes on average."""
    shares = sum(request_class.share for request_class in scenario.classes)
    return (
        sum(
            request_class.share * request_class.work_s * (1 + request_class.two_slots)
            for request_class in scenario.classes
        )
        / shares
    )


def capacity(fleet: list[Machine]) -> float:
    """Core seconds at speed 1 that a warm fleet does in a second."""
    return sum(worker.capacity for worker in fleet)


def rate_of(scenario: spec.Scenario, fleet: list[Machine]) -> float:
    """Jobs a second, before any burst."""
    return scenario.traffic.rate or scenario.traffic.load * capacity(fleet) / mean_work(scenario)


@dataclass(frozen=True, slots=True)
class Jobs:
    """The first tries of a run, as columns: one entry for each job, in the order of arrival."""

    at_ns: list[int]
    cls: list[int]
    department: list[int]
    zone: list[int]
    work_ns: list[int]
    slots: list[int]
    sid: list[int]
    honours: list[bool]
    leaves_ns: list[int]  # an impatient client hangs up after so long; 0: it does not
    hint_ns: list[int]  # what the client says of the work; 0: nothing

    def __len__(self) -> int:
        return len(self.at_ns)


def envelope(fault: spec.FaultSpec, at_s: Any) -> Any:
    """How far a fault is on, 0 to 1, with its ramps inside its length. Takes a number or an array."""
    inside = (at_s >= fault.at_s) & (at_s < fault.end_s)
    if fault.ramp_s <= 0:
        return np.where(inside, 1.0, 0.0)
    ramp = min(fault.ramp_s, fault.for_s / 2)
    level = np.minimum((at_s - fault.at_s) / ramp, (fault.end_s - at_s) / ramp)
    return np.where(inside, np.clip(level, 0.0, 1.0), 0.0)


def _arrivals(scenario: spec.Scenario, rate: float, rng: np.random.Generator) -> Floats:
    """Return a Poisson process whose rate follows the bursts, by thinning (Lewis and Shedler, 1979)."""
    bursts = [fault for fault in scenario.faults if fault.kind == "burst"]
    most = rate * float(np.prod([max(1.0, burst.size) for burst in bursts])) if bursts else rate
    expected = most * scenario.length_s
    gaps = rng.exponential(1 / most, size=int(expected + 8 * expected**0.5 + 64))
    times = np.cumsum(gaps)
    times = times[times < scenario.length_s]
    chance = rng.uniform(size=times.size)
    factor = np.ones_like(times)
    for burst in bursts:
        factor = factor * (1 + (burst.size - 1) * envelope(burst, times))
    kept: Floats = times[chance < factor * rate / most]
    return kept[: scenario.most_jobs]


def works(cls: spec.JobClassSpec, count: int, rng: np.random.Generator) -> Floats:
    """Return the work of so many jobs of a class, in core seconds at speed 1."""
    if cls.dist == "fixed" or cls.cv == 0:
        return np.full(count, cls.work_s)
    if cls.dist == "exp":
        return rng.exponential(cls.work_s, count)
    if cls.dist == "pareto":  # of the first kind, by its mean and its coefficient of variation
        alpha = 1 + float(np.sqrt(1 + cls.cv**-2))
        return cls.work_s * (alpha - 1) / alpha * (1 + rng.pareto(alpha, count))
    sigma = float(np.sqrt(np.log1p(cls.cv**2)))
    return rng.lognormal(np.log(cls.work_s) - sigma**2 / 2, sigma, count)


def _tails(scenario: spec.Scenario, times: Floats, rng: np.random.Generator) -> Floats:
    """How many times more work each job is while heavy tails are on."""
    factor = np.ones_like(times)
    for fault in scenario.faults:
        if fault.kind == "heavy_tail":
            struck = rng.uniform(size=times.size) < fault.part * envelope(fault, times)
            factor = np.where(struck, factor * fault.size, factor)
    return factor


def _picked(weights: tuple[float, ...], count: int, rng: np.random.Generator) -> npt.NDArray[np.int64]:
    share = np.asarray(weights, dtype=float)
    return rng.choice(len(weights), size=count, p=share / share.sum())


def jobs(scenario: spec.Scenario, fleet: list[Machine], chance: Chance) -> Jobs:
    """All first tries of a run."""
    times = _arrivals(scenario, rate_of(scenario, fleet), chance.numbers(Stream.ARRIVALS))
    rng = chance.numbers(Stream.JOBS)
    count = times.size
    cls = _picked(tuple(request_class.share for request_class in scenario.classes), count, rng)
    departments = tuple(department.traffic for department in scenario.departments) or (1.0,)
    department = _picked(departments, count, rng)
    zone = _picked(scenario.traffic.zone_weights or (1.0,) * len(scenario.zones), count, rng)
    # Each class draws for every job, so that the share of one class moves no other's work.
    table = np.stack([works(request_class, count, rng) for request_class in scenario.classes])
    two = np.stack([rng.uniform(size=count) < request_class.two_slots for request_class in scenario.classes])
    rows = np.arange(count)
    work = table[cls, rows] * _tails(scenario, times, chance.numbers(Stream.TAILS))
    noise = chance.numbers(Stream.HINTS).lognormal(0.0, HINT_NOISE, count)
    hints = work * noise if scenario.traffic.hints == "rough" else np.zeros(count)
    sid = rng.integers(0, scenario.traffic.keys or 2**62, size=count)
    habits = chance.numbers(Stream.CLIENTS)
    honours = habits.uniform(size=count) < scenario.clients.honour
    impatient = habits.uniform(size=count) < scenario.clients.impatient
    deadlines = (
        np.array([request_class.deadline_s for request_class in scenario.classes])[cls] if count else np.zeros(0)
    )
    leaves = np.where(impatient, habits.uniform(0.02, 0.9, size=count) * deadlines, 0.0)

    def whole(values: Any, unit: int) -> list[int]:
        made: list[int] = np.rint(values * unit).astype(np.int64).tolist()
        return made

    return Jobs(
        at_ns=[part * 1000 for part in whole(times, 1_000_000)],
        cls=cls.tolist(),
        department=department.tolist(),
        zone=zone.tolist(),
        work_ns=np.maximum(1, np.rint(work * SECOND)).astype(np.int64).tolist(),
        slots=(1 + two[cls, rows].astype(np.int64)).tolist(),
        sid=sid.tolist(),
        honours=honours.tolist(),
        leaves_ns=whole(leaves, SECOND),
        hint_ns=whole(hints, SECOND),
    )
