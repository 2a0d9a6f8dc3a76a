"""A planned end: its phases, which requests are still taken in each, and by when each is answered.

Pure: events and the time in whole nanoseconds in, answers out; no I/O, no clock, nothing of sockets. It must never
take a request whose answer it does not promise before the platform kills the process, and never go back a phase.

| phase | from | new connections | kept connections | a new request |
| --- | --- | --- | --- | --- |
| serving | the start | taken | kept | taken, due when its client says |
| announced | the signal | taken, for what still comes | kept | taken where it can be answered, due by the last answer |
| handing over | `window` later | refused by the kernel | kept | the same |
| closing | the last call | | closed with their answers, the idle at once | refused at once |
| ended | the last answer | | | all that is open is answered; whoever has not gone by `leave` is left |

The last call is the moment from which no class could be answered by the last answer any more, going by how long most
of its late answers took here; it is never before the window's end.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum


class Phase(IntEnum):
    """How far a planned end is; they only ever follow one another."""

    SERVING = 0
    ANNOUNCED = 1
    HANDING_OVER = 2
    CLOSING = 3
    ENDED = 4


@dataclass(frozen=True, slots=True)
class Terms:
    """Spans in nanoseconds, from the signal; `usual` is what a class is taken to need before it was ever served."""

    window: int  # clients still come, since the front learns late
    last_answer: int  # everything has its answer by then
    leave: int  # the process has ended by then, before the platform kills it
    usual: int
    part: float = 0.75  # of a class's spans within which a request taken now must fit
    kept: int = 64  # spans remembered for each class

    def __post_init__(self) -> None:
        if not 0 <= self.window < self.last_answer < self.leave:
            raise ValueError("an end's window, last answer and leave must follow one another")
        if not 0 < self.part <= 1 or self.kept < 1 or self.usual < 0:
            raise ValueError("an end's part, kept or usual cannot be")


class Ending:
    """One process's planned end, and what it has learned for it while serving."""

    def __init__(self, terms: Terms, classes: Iterable[str]) -> None:
        self.terms = terms
        self._spans: dict[str, deque[int]] = {name: deque(maxlen=terms.kept) for name in classes}
        self._begun: int | None = None
        self._usual: dict[str, int] = {}  # as learned when the end began
        self._last_call = terms.window

    def served(self, job_class: str, span: int) -> None:
        """A request of this class was served, so long after it had come."""
        self._spans[job_class].append(span)

    def begin(self, now: int) -> bool:
        """The signal has come; False where it had come before, which changes nothing."""
        if self._begun is not None:
            return False
        self._begun = now
        self._usual = {name: self._usual_span(spans) for name, spans in self._spans.items()}
        least = min(self._usual.values(), default=self.terms.usual)
        self._last_call = max(self.terms.window, self.terms.last_answer - least)
        return True

    def _usual_span(self, spans: deque[int]) -> int:
        if not spans:
            return self.terms.usual
        return sorted(spans)[min(int(len(spans) * self.terms.part), len(spans) - 1)]

    def phase(self, now: int) -> Phase:
        """Where the end is."""
        if self._begun is None:
            return Phase.SERVING
        gone = now - self._begun
        if gone >= self.terms.last_answer:
            return Phase.ENDED
        if gone >= self._last_call:
            return Phase.CLOSING
        return Phase.HANDING_OVER if gone >= self.terms.window else Phase.ANNOUNCED

    def due(self, now: int, job_class: str, due: int) -> int | None:
        """By when a request that came now is answered; None where it is refused at once."""
        if self._begun is None:
            return due
        last = self._begun + self.terms.last_answer
        if self.phase(now) >= Phase.CLOSING or now + self._usual[job_class] > last:
            return None
        return min(due, last)

    def changes(self) -> tuple[int, ...]:
        """When the phases after the announcement begin, and when the process leaves; empty before the signal."""
        if self._begun is None:
            return ()
        spans = (self.terms.window, self._last_call, self.terms.last_answer, self.terms.leave)
        return tuple(self._begun + each for each in spans)
