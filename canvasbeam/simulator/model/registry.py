"""The emulated discovery: what it knows of each worker, how late it learns it, and whom it tells when.

It owns the list as discovery holds it and every delay on its way to a scheduler, written once for both engines. It
must never look into a worker but by what the engine hands it, and never tell a scheduler anything of one change
before what came first.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from canvasbeam.dispatch.events import WorkerState
from canvasbeam.simulator.model import spec
from canvasbeam.simulator.model.draw import Chance, Stream, drawn_by
from canvasbeam.simulator.model.machine import Machine
from canvasbeam.simulator.model.units import MS, SECOND


@dataclass(frozen=True, slots=True)
class Listed:
    """One worker as discovery lists it. `born_ns` is 0 for long ago."""

    machine: Machine
    state: WorkerState
    born_ns: int
    weight: float


class Seen(Protocol):
    """What discovery can find out about a worker."""

    def state_of(self, name: str) -> tuple[WorkerState, bool, int, float]:
        """Its state, whether its machine is silent, its birth and its weight now."""


Tell = Callable[[int, bool, Sequence[Listed]], None]  # scheduler's place, whether whole, entries


class Registry:
    """The list, and its changes on their way."""

    def __init__(
        self,
        scenario: spec.Scenario,
        fleet: Sequence[Machine],
        chance: Chance,
        seen: Seen,
        tell: Tell,
        after: Callable[[int, Callable[[], None]], None],
    ) -> None:
        self._scenario = scenario
        self._rng = chance.single(Stream.DISCOVERY)
        self._seen = seen
        self._tell = tell
        self._after = after
        self._machines = {worker.name: worker for worker in fleet}
        self._late: list[tuple[Listed, ...]] = []
        self._sent: dict[int, deque[Sequence[Listed]]] = {}  # on its way to each scheduler, the oldest first
        self.is_stale = False
        self.list = {worker.name: self._entry(worker.name, WorkerState.LIVE) for worker in fleet}

    def _entry(self, name: str, state: WorkerState) -> Listed:
        _, _, born, weight = self._seen.state_of(name)
        return Listed(self._machines[name], state, born, weight if self._scenario.discovery.weights == "live" else 1.0)

    def whole(self) -> list[Listed]:
        """Return the list as it stands."""
        return list(self.list.values())

    def begin(self) -> None:
        """Renew live weights from here on."""
        if self._scenario.discovery.weights == "live":
            self._after(round(self._scenario.discovery.period_s * SECOND), self._renew)

    def notice(self, name: str, state: WorkerState, span: spec.Span) -> None:
        """Something has become of a worker; discovery learns of it in its time."""
        self._after(round(drawn_by(span, self._rng) * SECOND), partial(self._noticed, name, state))

    def _noticed(self, name: str, state: WorkerState) -> None:
        actual, silent, _, _ = self._seen.state_of(name)
        if actual is not state and not (silent and state is WorkerState.GONE):
            return  # it has changed again since
        entry = self._entry(name, state)
        if state is WorkerState.GONE:
            self.list.pop(name, None)
        else:
            self.list[name] = entry
        self._push((entry,))

    def _push(self, entries: tuple[Listed, ...]) -> None:
        """Tell every scheduler, a little apart; a discovery that is silent tells later."""
        if self.is_stale:
            self._late.append(entries)
            return
        for place in range(self._scenario.schedulers.count):
            apart = round(drawn_by(self._scenario.discovery.spread_ms, self._rng) * MS)
            self._sent.setdefault(place, deque()).append(entries)
            self._after(apart, partial(self._arrives, place))

    def _arrives(self, place: int) -> None:
        # The oldest on its way first, whichever delay was the shorter.
        entries = self._sent[place].popleft()
        self._tell(place, False, entries)

    def stale(self, on: bool) -> None:
        """Discovery goes silent, or speaks again."""
        self.is_stale = on
        if not on:
            late, self._late = self._late, []
            for entries in late:
                self._push(entries)

    def _renew(self) -> None:
        if not self.is_stale:
            for name, entry in self.list.items():
                self.list[name] = self._entry(name, entry.state)
            self._push(tuple(self.list.values()))
        self._after(round(self._scenario.discovery.period_s * SECOND), self._renew)
