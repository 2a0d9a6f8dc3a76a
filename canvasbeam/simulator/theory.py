"""The model against queueing theory: closed forms, and the emulated worker driven alone to be held against them.

It owns the formulas and a bare driver of one worker. It must never touch a scheduler: what is checked here is that the
model of a worker queues and serves as it should.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from math import factorial

import numpy as np

from canvasbeam.simulator.model.draw import Floats
from canvasbeam.simulator.model.machine import Machine
from canvasbeam.simulator.model.units import SECOND
from canvasbeam.simulator.model.worker import Worker
from canvasbeam.simulator.model.worker_messages import Offered, Said, Say, Task, Woken
from canvasbeam.simulator.simulated_time import EventQueue


@dataclass(frozen=True, slots=True)
class Stream:
    """One class of arrivals: jobs a second, mean service in seconds, its distribution, and its priority."""

    rate: float
    service: float
    dist: str = "exp"  # exp, fixed, or hyper (two exponentials, squared variation 4)
    priority: int = 0

    @property
    def second_moment(self) -> float:
        """Of the service time, in square seconds."""
        return self.service**2 * {"exp": 2.0, "fixed": 1.0, "hyper": 5.0}[self.dist]


def mm1(rate: float, service: float) -> float:
    """Mean time in an M/M/1 queue (Kleinrock, Queueing Systems I, 3.2)."""
    return service / (1 - rate * service)


def mmc(rate: float, service: float, servers: int) -> float:
    """Mean time in an M/M/c queue, by Erlang's C formula."""
    load = rate * service
    busy = load / servers
    last = load**servers / (factorial(servers) * (1 - busy))
    waits = last / (sum(load**number / factorial(number) for number in range(servers)) + last)
    return service + waits * service / (servers - load)


def mg1_priority(streams: Sequence[Stream]) -> list[float]:
    """Mean time of each stream in an M/G/1 queue with priorities and no preemption (Cobham, 1954)."""
    residual = sum(stream.rate * stream.second_moment for stream in streams) / 2
    found = []
    for stream in streams:
        above = sum(other.rate * other.service for other in streams if other.priority > stream.priority)
        upto = sum(other.rate * other.service for other in streams if other.priority >= stream.priority)
        found.append(stream.service + residual / ((1 - above) * (1 - upto)))
    return found


def _services(stream: Stream, count: int, rng: np.random.Generator) -> Floats:
    if stream.dist == "fixed":
        return np.full(count, stream.service)
    drawn: Floats = rng.exponential(stream.service, count)
    if stream.dist == "exp":
        return drawn
    # Balanced means: squared coefficient of variation 4.
    often = (1 + (3 / 5) ** 0.5) / 2
    which = rng.uniform(size=count) < often
    factors: Floats = np.where(which, 1 / (2 * often), 1 / (2 * (1 - often)))
    return drawn * factors


def measured(streams: Sequence[Stream], servers: int, jobs: int, seed: int) -> list[float]:
    """Mean time of each stream at one emulated worker with so many cores, over so many jobs."""
    rng = np.random.Generator(np.random.PCG64(seed))
    total = sum(stream.rate for stream in streams)
    at = np.cumsum(rng.exponential(1 / total, jobs))
    which = rng.choice(len(streams), size=jobs, p=[stream.rate / total for stream in streams])
    services = np.stack([_services(stream, jobs, rng) for stream in streams])[which, np.arange(jobs)]
    machine = Machine(
        name="w", zone="z", cores=servers, slots=servers, queue=10**9, order="priority", cold_ns=0, tells_start=False
    )
    model = Worker(machine, random.Random(seed))
    queue = EventQueue()
    begun = queue.now
    came: dict[object, int] = {}
    spent = [0.0] * len(streams)
    counts = [0] * len(streams)
    armed = 0

    def give(*events: object) -> None:
        nonlocal armed
        for action in model.handle(queue.now, events):  # type: ignore[arg-type]
            if isinstance(action, Say) and action.said is Said.DONE:
                place = int(which[action.ref])  # type: ignore[call-overload]
                spent[place] += (queue.now - came.pop(action.ref)) / SECOND
                counts[place] += 1
        if model.next_at < float("inf") and (not armed or model.next_at < armed or armed <= queue.now):
            armed = round(model.next_at)
            queue.at(armed, lambda: give(Woken()))

    def arrive(job: int) -> None:
        came[job] = queue.now
        stream = streams[int(which[job])]
        give(Offered(Task(job, float(services[job] * SECOND), 1, stream.priority)))
        if job + 1 < jobs:
            queue.at(begun + round(float(at[job + 1]) * SECOND), lambda: arrive(job + 1))

    queue.at(begun + round(float(at[0]) * SECOND), lambda: arrive(0))
    queue.run(lambda: False, 2**62)
    return [total / max(1, count) for total, count in zip(spent, counts, strict=True)]


CASES: dict[str, tuple[tuple[Stream, ...], int]] = {
    "M/M/1, half busy": ((Stream(0.5, 1.0),), 1),
    "M/M/1, 0.7 busy": ((Stream(0.7, 1.0),), 1),
    "M/M/4, 0.8 busy": ((Stream(3.2, 1.0),), 4),
    "M/M/12, 0.85 busy": ((Stream(10.2, 1.0),), 12),
    "M/G/1, two priorities": ((Stream(0.3, 1.0, "hyper", 0), Stream(0.3, 1.0, "exp", 1)), 1),
    "M/G/1, three priorities": (
        (Stream(0.2, 1.0, "fixed", 0), Stream(0.2, 1.0, "exp", 1), Stream(0.4, 0.5, "exp", 2)),
        1,
    ),
}


def expected(streams: Sequence[Stream], servers: int) -> list[float]:
    """Return the closed form of a case."""
    if servers > 1:
        return [mmc(streams[0].rate, streams[0].service, servers)]
    if len(streams) == 1:
        return [mm1(streams[0].rate, streams[0].service)]
    return mg1_priority(streams)
