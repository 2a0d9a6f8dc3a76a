"""Workers out by hand: which are out, whether a call is yes or no, and what follows from it.

Pure: events and the time in whole nanoseconds in, actions out; no I/O, no clock. Out is a set, not a count, so two
calls out need one call back. An id that is neither in the list as last told nor out by hand is owed a no. A worker put
back returns as started when the list says it last started, where that was after it was taken out; else at that
moment: the operators restart it meanwhile, so it is cold, and a start that discovery has not told is still taken for
one.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Listed:
    """The workers in the list as last told, by name, and when each last started where the list says so."""

    workers: frozenset[str]
    starts: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TakeOut:
    """A call to take a worker out; `call` names it in the answer."""

    worker: str
    call: int = 0


@dataclass(frozen=True, slots=True)
class PutBack:
    """A call to put a worker back."""

    worker: str
    call: int = 0


@dataclass(frozen=True, slots=True)
class Handed:
    """What another process of this scheduler has left: the workers out by hand there."""

    out: frozenset[str]


Event = Listed | TakeOut | PutBack | Handed


@dataclass(frozen=True, slots=True)
class Answered:
    """The answer to a call: yes or no."""

    call: int
    yes: bool


@dataclass(frozen=True, slots=True)
class Drain:
    """From now on the worker counts as draining, whatever discovery says."""

    worker: str


@dataclass(frozen=True, slots=True)
class Return:
    """The worker is back, as a process that started at `started_ns`."""

    worker: str
    started_ns: int


@dataclass(frozen=True, slots=True)
class Keep:
    """Hand the set on, for a process that comes after this one."""

    out: frozenset[str]


Action = Answered | Drain | Return | Keep


class Hands:
    """The set of workers out by hand, for one scheduler."""

    def __init__(self) -> None:
        self._out: dict[str, int] = {}  # when each was taken out
        self._listed: frozenset[str] = frozenset()
        self._starts: Mapping[str, int] = {}

    @property
    def out(self) -> frozenset[str]:
        """The workers out by hand now."""
        return frozenset(self._out)

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take the events in order; the actions in the order in which they are to be carried out."""
        actions: list[Action] = []
        for event in events:
            match event:
                case Listed(workers, starts):
                    self._listed, self._starts = workers, starts
                case TakeOut(worker, call):
                    known = worker in self._listed or worker in self._out
                    if known and worker not in self._out:
                        self._out[worker] = now
                        actions += [Drain(worker), Keep(self.out)]
                    actions.append(Answered(call, known))
                case PutBack(worker, call):
                    known = worker in self._listed or worker in self._out
                    if worker in self._out:
                        actions += [self._back(worker, now), Keep(self.out)]
                    actions.append(Answered(call, known))
                case Handed(out):
                    actions += [Drain(each) for each in sorted(out - self.out)]
                    actions += [self._back(each, now) for each in sorted(self.out - out)]
                    for each in out - self.out:
                        self._out[each] = now
        return actions

    def _back(self, worker: str, now: int) -> Return:
        """A start told after the worker went out is its restart; where none was told, the restart is now."""
        out_at = self._out.pop(worker)
        started = self._starts.get(worker, 0)
        return Return(worker, started if started >= out_at else now)
