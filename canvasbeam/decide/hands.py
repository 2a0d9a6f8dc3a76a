"""Workers out by hand: which are out, whether a call is yes or no, and what follows from it.

Pure: events and the time in whole nanoseconds in, actions out; no I/O, no clock. Out is a set, not a count, so two
calls out need one call back. An id that is neither in the list as last told nor out by hand is owed a no. A worker put
back returns as started at that moment: the operators restart it meanwhile, so it is cold.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Listed:
    """The workers in the list as last told, by name."""

    workers: frozenset[str]


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
        self._out: set[str] = set()
        self._listed: frozenset[str] = frozenset()

    @property
    def out(self) -> frozenset[str]:
        """The workers out by hand now."""
        return frozenset(self._out)

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take the events in order; the actions in the order in which they are to be carried out."""
        actions: list[Action] = []
        for event in events:
            match event:
                case Listed(workers):
                    self._listed = workers
                case TakeOut(worker, call):
                    known = worker in self._listed or worker in self._out
                    if known and worker not in self._out:
                        self._out.add(worker)
                        actions += [Drain(worker), Keep(self.out)]
                    actions.append(Answered(call, known))
                case PutBack(worker, call):
                    known = worker in self._listed or worker in self._out
                    if worker in self._out:
                        self._out.discard(worker)
                        actions += [Return(worker, now), Keep(self.out)]
                    actions.append(Answered(call, known))
                case Handed(out):
                    actions += [Drain(each) for each in sorted(out - self._out)]
                    actions += [Return(each, now) for each in sorted(self._out - out)]
                    self._out = set(out)
        return actions
