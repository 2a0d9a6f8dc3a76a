"""The emulated clients and the load balancer before the schedulers: who asks when, and what clients do with an answer.

It owns a job's tries, waits, retries and hang-ups, written once for both engines, and the load balancer's view of
which schedulers are up. It must never see a scheduler's inside, retry what may not run twice after a failure, or read
a clock: the engine hands it the time and carries out what it asks for.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from canvasbeam.scheduler.requests import Answer
from canvasbeam.simulator.model import spec
from canvasbeam.simulator.model.draw import Chance, Jobs, Stream, drawn_by
from canvasbeam.simulator.model.request_log import End, Ledger
from canvasbeam.simulator.model.units import MS, SECOND

# At a planned restart new connections still come for so long.
STILL_COMES = 300 * MS
# A client that gets no answer waits this much past its budget before it calls the request unanswered.
PATIENCE = 200 * MS
ENDS = {
    Answer.SERVED: End.SERVED,
    Answer.REFUSED: End.REFUSED,
    Answer.FAILED: End.FAILED,
    Answer.OVERDUE: End.FAILED,
    Answer.UNUSABLE: End.FAILED,
}


@dataclass(slots=True, eq=False)
class Try:
    """One request of a job."""

    job: int
    number: int  # 0 for the first
    cls: int
    department: int
    zone: int
    work_ns: int
    slots: int
    sid: int
    hint_ns: int = 0
    due_ns: int = 0
    request: int = -1
    scheduler: int = -1
    marked: bool = False
    over: bool = False
    core_request: object = None  # whatever the engine keeps with it


class Notes(Protocol):
    """What is told of jobs, for the figures."""

    def asked(self, job: int, cls: int, department: int, at: int) -> None:
        """Note that a job's first try was sent."""

    def settled(self, job: int, at: int, end: End) -> None:
        """Note that a job's last try ended."""


class Clients:
    """All clients of a run."""

    def __init__(
        self,
        scenario: spec.Scenario,
        jobs: Jobs,
        ledger: Ledger,
        notes: Notes,
        chance: Chance,
        submit: Callable[[Try], str | None],
        leave: Callable[[Try], None],
        after: Callable[[int, Callable[[], None]], None],
        now: Callable[[], int],
    ) -> None:
        self._scenario = scenario
        self._jobs = jobs
        self._ledger = ledger
        self._notes = notes
        self._rng = chance.single(Stream.CLIENTS)
        self._submit, self._leave, self._after, self._now = submit, leave, after, now
        self._begun = 0
        self._next = 0
        self._open = 0

    def begin(self, at: int) -> None:
        """Note that the run begins at this time; arrivals are drawn from there."""
        self._begun = at
        self._arm()

    @property
    def is_done(self) -> bool:
        """Whether every job has come and has ended."""
        return self._next >= len(self._jobs) and not self._open

    def _arm(self) -> None:
        # One event ahead, not one for each job: 300,000 at once would only make the queue deep.
        if self._next < len(self._jobs):
            when = self._begun + self._jobs.at_ns[self._next]
            self._after(max(0, when - self._now()), self._arrive)

    def _arrive(self) -> None:
        jobs, job = self._jobs, self._next
        self._next += 1
        self._open += 1
        first = Try(
            job,
            0,
            jobs.cls[job],
            jobs.department[job],
            jobs.zone[job],
            jobs.work_ns[job],
            jobs.slots[job],
            jobs.sid[job],
            jobs.hint_ns[job],
        )
        # In the real engine an arrival may be handled late; the job still counts from when it was meant to come.
        self._notes.asked(job, first.cls, first.department, self._begun + jobs.at_ns[job])
        self._send(first)
        self._arm()

    def _send(self, attempt: Try) -> None:
        now = self._now()
        budget = round(self._scenario.classes[attempt.cls].deadline_s * SECOND)
        attempt.due_ns = now + budget
        attempt.request = self._ledger.opened(attempt.job, attempt.cls, now, attempt.due_ns, "")
        name = self._submit(attempt)
        self._ledger.scheduler[attempt.request] = name or "nobody"
        if name is None:
            self._after(0, partial(self.lost, attempt))
            return
        leaves = self._jobs.leaves_ns[attempt.job]
        if leaves and attempt.number == 0:
            self._after(leaves, partial(self._hang_up, attempt))
        self._after(budget + PATIENCE, partial(self._unanswered, attempt))

    def _hang_up(self, attempt: Try) -> None:
        if not attempt.over:
            self._leave(attempt)
            self._end(attempt, End.LEFT)

    def _unanswered(self, attempt: Try) -> None:
        if not attempt.over:
            self._leave(attempt)
            self._end(attempt, End.SILENT)

    def lost(self, attempt: Try) -> None:
        """Note that the connection ended without an answer, or never came up."""
        if not attempt.over:
            self._end(attempt, End.LOST)
            self._maybe_again(attempt, End.LOST, 0)

    def answered(self, attempt: Try, answer: Answer, retry_after: int, own: bool = True) -> None:
        """Note that a final answer came; `own` says whether a worker made what it holds."""
        end = ENDS[answer]
        if attempt.over:
            # Counted all the same: a second answer breaks a rule, one to a client that left is no matter.
            if self._ledger.end[attempt.request] not in (End.LEFT, End.LOST):
                self._ledger.ended(attempt.request, self._now(), end, own)
            return
        self._ledger.ended(attempt.request, self._now(), end, own)
        self._end(attempt, end)
        if end is not End.SERVED:
            self._maybe_again(attempt, end, retry_after)

    def _end(self, attempt: Try, end: End) -> None:
        attempt.over = True
        if end in (End.LEFT, End.LOST, End.SILENT):
            self._ledger.ended(attempt.request, self._now(), end)
        if end not in (End.REFUSED, End.FAILED, End.LOST) or not self._may_again(attempt, end):
            self._open -= 1
            self._notes.settled(attempt.job, self._now(), end)

    def _may_again(self, attempt: Try, end: End) -> bool:
        if attempt.number >= self._scenario.clients.retries:
            return False
        return end is End.REFUSED or self._scenario.classes[attempt.cls].effect != "unsafe"

    def _maybe_again(self, attempt: Try, end: End, retry_after: int) -> None:
        if not self._may_again(attempt, end):
            return
        clients = self._scenario.clients
        wait = round(drawn_by(clients.backoff_ms, self._rng) * MS)
        if retry_after and self._jobs.honours[attempt.job]:
            wait = min(retry_after, round(clients.most_wait_s * SECOND))
        again = Try(
            attempt.job,
            attempt.number + 1,
            attempt.cls,
            attempt.department,
            attempt.zone,
            attempt.work_ns,
            attempt.slots,
            attempt.sid,
            attempt.hint_ns,
            marked=clients.marks_repeats,
        )
        self._after(wait, partial(self._send, again))


@dataclass(slots=True)
class LoadBalancer:
    """Spreads clients over the schedulers of their zone, and learns late which have died."""

    scenario: spec.Scenario
    chance: Chance
    _turns: dict[int, int] = field(default_factory=dict)
    _out_from: dict[int, int] = field(default_factory=dict)  # a scheduler is left out from then on

    def pick(self, zone: int, now: int) -> int:
        """Return the scheduler for the next request of a zone."""
        count, zones = self.scenario.schedulers.count, len(self.scenario.zones)
        own = [place for place in range(count) if place % zones == zone] or list(range(count))
        up = [place for place in own if self._is_in(place, now)]
        up = up or [place for place in range(count) if self._is_in(place, now)] or own
        turn = self._turns.get(zone, 0)
        self._turns[zone] = turn + 1
        return up[turn % len(up)]

    def _is_in(self, place: int, now: int) -> bool:
        return now < self._out_from.get(place, now + 1)

    def died(self, place: int, now: int) -> None:
        """Note that a scheduler was killed: that is noticed some seconds later."""
        rng = self.chance.single(Stream.FRONT, 1 + place + now % 1_000_003)
        notice = drawn_by(self.scenario.network.front_notice_s, rng)
        self._out_from[place] = now + round(notice * SECOND)

    def leaves(self, place: int, now: int) -> None:
        """Take a planned shutdown: nothing new comes after a moment."""
        self._out_from[place] = now + STILL_COMES

    def back(self, place: int, now: int) -> None:
        """Note that it is ready again."""
        self._out_from.pop(place, None)
