"""The ledger: what became of every request, and the rules that no run may break.

It owns the life of each request as the emulated clients and workers saw it, and the five invariants: one final
answer and none late; nothing run twice that must not be; keyed repeats only inside group and window; a refusal
only of what never ran; nothing to a worker after the grace of its drain; no cold worker tipped. It must never
believe a scheduler's own word, and never keep what a run of 300,000 jobs could not hold.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

from canvasbeam.simulator.model import spec
from canvasbeam.simulator.model.units import MS, SECOND

# What an answer may take past the budget: the protocol's slack, for clocks and the way to the client.
LATE_BY = 50 * MS
# A send that left in time may arrive so much later.
ON_ITS_WAY = 50 * MS
MOST_TOLD = 20  # broken rules that are written out; the others are counted


class End(IntEnum):
    """How a request ended for its client."""

    OPEN = 0
    SERVED = 1
    REFUSED = 2
    FAILED = 3
    LEFT = 4  # the client hung up
    LOST = 5  # its scheduler died, or was never reached
    SILENT = 6  # taken, and no answer came


class What(IntEnum):
    """A moment of a request's life at a worker."""

    SENT = 0  # its first byte came there
    OFFERED = 1  # its last byte did
    BEGAN = 2
    DONE = 3
    FAILED = 4
    OTHER = 5


@dataclass(frozen=True, slots=True)
class Moment:
    """One entry of a request's life."""

    at_ns: int
    request: int
    what: What
    worker: str
    scheduler: str


NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class Broken:
    """A broken rule, with the request's whole life where it is about one."""

    rule: str
    text: str


@dataclass(slots=True)
class Ledger:
    """The requests of a run in columns, and what workers did for them. A request's number is its place."""

    scenario: spec.Scenario
    zone_of: dict[str, str]  # a worker's zone
    cell_of: dict[str, int] = field(default_factory=dict)
    job: array[int] = field(default_factory=lambda: array("q"))
    cls: array[int] = field(default_factory=lambda: array("b"))
    sent_ns: array[int] = field(default_factory=lambda: array("q"))
    due_ns: array[int] = field(default_factory=lambda: array("q"))
    end: array[int] = field(default_factory=lambda: array("b"))
    end_ns: array[int] = field(default_factory=lambda: array("q"))
    answers: array[int] = field(default_factory=lambda: array("b"))
    scheduler: list[str] = field(default_factory=list)
    result_of: dict[int, str] = field(default_factory=dict)  # what was served, where it was not a worker's own
    moments: list[Moment] = field(default_factory=list)
    tipped: list[tuple[int, str]] = field(default_factory=list)
    told_drain: dict[tuple[str, str], int] = field(default_factory=dict)  # (scheduler, worker): since
    stops: dict[str, list[tuple[int, int]]] = field(default_factory=dict)  # of schedulers by SIGSTOP: from, until
    _noted: list[Broken] = field(default_factory=list)
    grace_ns: int = 500 * MS

    # --- what happens -----------------------------------------------------------------------------

    def opened(self, job: int, cls: int, at: int, due: int, scheduler: str) -> int:
        """Return a client sent a request; its number."""
        self.job.append(job)
        self.cls.append(cls)
        self.sent_ns.append(at)
        self.due_ns.append(due)
        self.end.append(End.OPEN)
        self.end_ns.append(0)
        self.answers.append(0)
        self.scheduler.append(scheduler)
        return len(self.job) - 1

    def ended(self, request: int, at: int, end: End, made_by_worker: bool = True) -> None:
        """Note that a request ended for its client. Answers are counted even after it."""
        if end in (End.SERVED, End.REFUSED, End.FAILED):
            self.answers[request] += 1
            if end is End.SERVED and not made_by_worker:
                self.result_of[request] = "not a worker's own"
        if self.end[request] == End.OPEN:
            self.end[request] = end
            self.end_ns[request] = at

    def worked(self, request: int, at: int, what: What, worker: str, scheduler: str = "") -> None:
        """Something became of a request at a worker."""
        if what is What.SENT:
            since = self.told_drain.get((scheduler, worker))
            if since is not None and at > since + self.grace_ns + ON_ITS_WAY:
                late = (at - since) / MS
                text = f"{scheduler} sent to {worker} {late:.0f} ms after it was told of its drain\n"
                self._noted.append(Broken("drain", text + f"  request {request}"))
            return
        self.moments.append(Moment(at, request, what, worker, scheduler))

    def drains(self, scheduler: str, worker: str, at: int | None) -> None:
        """Note that a scheduler was told that a worker drains or is gone, or (None) that it is back."""
        if at is None:
            self.told_drain.pop((scheduler, worker), None)
        else:
            self.told_drain.setdefault((scheduler, worker), at)

    def stopped(self, scheduler: str, at: int) -> None:
        """Note that a scheduler's process was stopped: until it goes on it can answer nothing."""
        self.stops.setdefault(scheduler, []).append((at, NEVER))

    def goes_on(self, scheduler: str, at: int) -> None:
        """Note that it goes on."""
        if self.stops.get(scheduler):
            self.stops[scheduler][-1] = (self.stops[scheduler][-1][0], at)

    def _could_not(self, request: int) -> bool:
        """Whether the process that took a request stood still at some time before it was due."""
        stops = self.stops.get(self.scheduler[request], ())
        return any(begin <= self.due_ns[request] and self.sent_ns[request] <= end for begin, end in stops)

    def fell(self, worker: str, at: int) -> None:
        """Note that a cold worker was tipped over."""
        self.tipped.append((at, worker))

    def add(self, broken: Broken) -> None:
        """Note that a rule that an engine saw broken."""
        self._noted.append(broken)

    def close(self, at: int) -> None:
        """Note that the run is over: what is open now never got an answer."""
        for request, end in enumerate(self.end):
            if end == End.OPEN:
                self.end[request] = End.SILENT
                self.end_ns[request] = at

    # --- the rules --------------------------------------------------------------------------------

    def broken(self) -> list[Broken]:
        """Every broken rule."""
        found = list(self._one_answer())
        found += self._runs()
        found += self._noted
        for at, worker in self.tipped:
            found.append(Broken("cold", f"{worker} was tipped over while cold, at {at / SECOND:.3f} s"))
        return found

    def life(self, request: int) -> str:
        """Return a request's whole life, a line a moment."""
        cls = self.scenario.classes[self.cls[request]]
        sent = self.sent_ns[request]
        lines = [
            f"  request {request} (job {self.job[request]}, {cls.name}, {cls.effect}) by {self.scheduler[request]}: "
            f"sent {sent / SECOND:.4f} s, due {self.due_ns[request] / SECOND:.4f} s"
        ]
        for moment in sorted(
            (moment for moment in self.moments if moment.request == request), key=lambda moment: moment.at_ns
        ):
            lines.append(f"    {moment.at_ns / SECOND:.4f} s {moment.what.name.lower()} at {moment.worker}")
        end = End(self.end[request]).name.lower()
        lines.append(f"    {self.end_ns[request] / SECOND:.4f} s {end}, {self.answers[request]} answers")
        return "\n".join(lines)

    def _about(self, rule: str, text: str, request: int) -> Broken:
        return Broken(rule, f"{text}\n{self.life(request)}")

    def _one_answer(self) -> Iterator[Broken]:
        for request, end in enumerate(self.end):
            if end == End.SILENT and not self._could_not(request):
                yield self._about("answer", "a request was taken and never answered", request)
            elif end in (End.SERVED, End.REFUSED, End.FAILED):
                over = self.end_ns[request] - self.due_ns[request]
                if over > LATE_BY and not self._could_not(request):
                    yield self._about("answer", f"an answer came {over / MS:.0f} ms too late", request)
            if self.answers[request] > 1:
                yield self._about("answer", f"{self.answers[request]} answers to one request", request)
            if request in self.result_of:
                yield self._about("answer", "a request was served with what no worker made for it", request)

    def _runs(self) -> list[Broken]:
        """Return which requests ran where they must not have."""
        starts: dict[int, list[Moment]] = {}
        for moment in self.moments:
            if moment.what is What.BEGAN:
                starts.setdefault(moment.request, []).append(moment)
        found: list[Broken] = []
        for request, begun in starts.items():
            begun.sort(key=lambda moment: moment.at_ns)
            effect = self.scenario.classes[self.cls[request]].effect
            if effect == "unsafe":
                found += self._unsafe_runs(request, begun)
            elif effect == "keyed":
                found += self._keyed_runs(request, begun)
        return found

    def _unsafe_runs(self, request: int, begun: list[Moment]) -> Iterator[Broken]:
        """Yield what is wrong with the runs of a request that may run once only."""
        cls = self.scenario.classes[self.cls[request]]
        if len(begun) > 1:
            yield self._about("twice", f"a {cls.name} ran {len(begun)} times", request)
        if self.end[request] == End.REFUSED:
            yield self._about("refusal", f"a {cls.name} was refused after it had run", request)

    def _keyed_runs(self, request: int, begun: list[Moment]) -> Iterator[Broken]:
        """Yield what is wrong with the runs of a request of which a group of workers drops repeats, for a while."""
        cls = self.scenario.classes[self.cls[request]]
        groups = {self._group(cls, moment.worker) for moment in begun}
        if len(groups) > 1:
            yield self._about("twice", f"a {cls.name} ran in {len(groups)} groups", request)
        elif begun[-1].at_ns - begun[0].at_ns > cls.window_s * SECOND:
            yield self._about("twice", f"a {cls.name} ran again after its window", request)
        if self.end[request] == End.REFUSED and cls.scope != "all":
            yield self._about("refusal", f"a {cls.name} was refused after it had run", request)

    def _group(self, cls: spec.JobClassSpec, worker: str) -> str:
        if cls.scope == "all":
            return ""
        return self.zone_of[worker] if cls.scope == "zone" else str(self.cell_of.get(worker, 0))
