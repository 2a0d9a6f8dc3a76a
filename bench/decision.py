"""What one decision costs as the list of targets grows, for one scheduler with a steady number of jobs out.

    .venv/bin/python bench/decision.py

Jobs arrive, start and end one by one, each in a call of its own, on a clock that advances 0.5 ms a call; sweeps run
when they are due. Live weights of the whole list are renewed twice a second and timed apart.
"""

from __future__ import annotations

import random
import sys
import time
from pathlib import Path

import click

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from canvasbeam import Dispatcher
from canvasbeam.dispatch.actions import SetTimer, StartAttempt
from canvasbeam.dispatch.events import (
    AttemptEnded,
    AttemptStarted,
    Event,
    ListKind,
    Outcome,
    RequestArrived,
    TimerFired,
    WorkerEntry,
    WorkersListed,
)
from canvasbeam.dispatch.settings import DispatchLimits, RequestClass, Settings

MS = 1_000_000
STEP = MS // 2


class Drive:
    """One dispatcher, and what a scheduler would tell it."""

    def __init__(self, workers: int, seed: int) -> None:
        classes = (RequestClass("read", 150 * MS, 5_000 * MS, late_value=0.3, stretch=2.5),)
        limits = DispatchLimits(max_attempts=3, second_copies=True, connect_timeout_ns=200 * MS)
        zones = ("a", "b", "c", "d")
        settings = Settings(
            classes,
            zones,
            "a",
            tells_start=True,
            progress_ns=2_000 * MS,
            limits=limits,
            quantum_ns=2 * MS,
            dispatchers=4,
        )
        self.entries = tuple(WorkerEntry(f"w{place:05}", zones[place % 4]) for place in range(workers))
        self.dispatcher = Dispatcher(settings, seed)
        self.rng = random.Random(seed)
        self.now = 10**12
        self.out: list[tuple[str, int, str]] = []
        self.sweeps: list[int] = []
        self.made = 0
        self.spent = self.calls = self.list_spent = self.lists = 0
        self.call(WorkersListed(ListKind.COMPLETE, self.entries))

    def call(self, event: Event) -> None:
        """Hand over one event and time it."""
        begun = time.perf_counter_ns()
        actions = self.dispatcher.handle(self.now, (event,))
        took = time.perf_counter_ns() - begun
        if isinstance(event, WorkersListed):
            self.list_spent, self.lists = self.list_spent + took, self.lists + 1
        else:
            self.spent, self.calls = self.spent + took, self.calls + 1
        for action in actions:
            if isinstance(action, StartAttempt):
                self.out.append((action.request_id, 0, action.worker))
            elif isinstance(action, SetTimer):
                self.sweeps.append(action.when_ns)

    def step(self, jobs: int) -> None:
        """Half a millisecond: what is due, and a job that arrives, starts or ends."""
        self.now += STEP
        while self.sweeps and min(self.sweeps) <= self.now:
            self.sweeps.remove(min(self.sweeps))
            self.call(TimerFired("sweep"))
        if len(self.out) < jobs:
            self.made += 1
            name = f"j{self.made}"
            before = len(self.out)
            self.call(RequestArrived(name, "read", self.now + 5_000 * MS))
            if len(self.out) > before:
                job, number, worker = self.out[-1]
                self.call(AttemptStarted(job, number, worker))
        else:
            job, number, worker = self.out.pop(self.rng.randrange(len(self.out)))
            self.call(AttemptEnded(job, number, worker, Outcome.OK, final=True))
        if self.now // (500 * MS) != (self.now - STEP) // (500 * MS):
            self.call(WorkersListed(ListKind.CHANGES, self.entries))


@click.command()
@click.option("--calls", default=20_000, show_default=True, help="Steps for each size.")
@click.option("--jobs", default=0, help="Jobs out at once; 0: one for each two targets, at most 400.")
@click.option("--seed", default=1, show_default=True)
def main(calls: int, jobs: int, seed: int) -> None:
    """Print one line for each size."""
    for workers in (12, 100, 1_000, 10_000):
        drive = Drive(workers, seed)
        drive.spent = drive.calls = drive.list_spent = drive.lists = 0
        out = jobs or min(400, max(4, workers // 2))
        for _ in range(calls):
            drive.step(out)
        print(
            f"{workers:6} targets  {out:4} jobs out  {drive.spent / drive.calls / 1000:7.1f} us a decision  "
            f"{drive.list_spent / max(1, drive.lists) / 1000:9.0f} us a list"
        )


if __name__ == "__main__":
    main()
