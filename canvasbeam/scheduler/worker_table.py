"""The endpoint list as discovery last told it, and the maintenance mode that operators lay over it.

It owns the workers by name and answers whether one may get requests. It must never judge a worker's health, and never
drop one that a partial list leaves out.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from canvasbeam.dispatch.events import WorkerState
from canvasbeam.dispatch.settings import Scope


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """One member of the endpoint list. The name is its identity; the address may change."""

    name: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    state: WorkerState
    weight: float
    started: timedelta | None


class WorkerTable:
    """The workers by name, and those in maintenance mode."""

    def __init__(self) -> None:
        self.workers: dict[str, ListedWorker] = {}
        self.in_maintenance: set[str] = set()  # draining for the decisions, whatever discovery says
        self._reinstated: dict[str, timedelta] = {}  # left maintenance then: counts as a new start

    def update(self, told: Mapping[str, ListedWorker], is_complete: bool) -> list[str]:
        """Take what discovery tells; return the workers that are gone. One missing from a complete list is gone."""
        gone = [name for name in self.workers if name not in told] if is_complete else []
        for name, target in told.items():
            if target.state is WorkerState.GONE:
                gone.append(name)
            else:
                self.workers[name] = target
        return [name for name in gone if self._drop(name)]

    def _drop(self, name: str) -> bool:
        self._reinstated.pop(name, None)
        return self.workers.pop(name, None) is not None

    def enter_maintenance(self, name: str) -> None:
        """Count the worker as draining from now on, whatever discovery lists."""
        self.in_maintenance.add(name)

    def leave_maintenance(self, name: str, started: timedelta) -> None:
        """Count the worker as listed again, as a process that started then."""
        self.in_maintenance.discard(name)
        self._reinstated[name] = started

    def is_live(self, name: str) -> bool:
        """Return whether the worker is in the list and may get new requests."""
        target = self.workers.get(name)
        return target is not None and target.state is WorkerState.LIVE and name not in self.in_maintenance

    def effective_state(self, target: ListedWorker) -> WorkerState:
        """Return the state from discovery, with maintenance mode laid over it."""
        if target.state is WorkerState.LIVE and target.name in self.in_maintenance:
            return WorkerState.DRAINING
        return target.state

    def effective_start(self, target: ListedWorker) -> timedelta | None:
        """Return the later of the start that discovery told and the end of maintenance; None where neither is known."""
        starts = [start for start in (target.started, self._reinstated.get(target.name)) if start is not None]
        return max(starts, default=None)

    def same_group(self, scope: Scope, one: str, other: str) -> bool:
        """Return whether two workers are of one group, within which a keyed request may be repeated."""
        if scope is Scope.ALL or one == other:
            return True
        first, second = self.workers.get(one), self.workers.get(other)
        if first is None or second is None:
            return False
        if scope is Scope.ZONE:
            return first.zone == second.zone
        return first.cell == second.cell
