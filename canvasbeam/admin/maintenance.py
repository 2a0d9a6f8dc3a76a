"""State machine of maintenance mode: the workers in it, and the answer and actions for each operator's request.

Pure: its inputs are events and the time in whole nanoseconds, its outputs are actions; it does no I/O and reads no
clock. It owns the set of workers in maintenance mode and the time at which each worker entered. It must never decide
which worker gets a client's request.

Each worker has two states, with these transitions:

    state           event                               next state      actions
    in service      EnterRequestedEvent, known          in maintenance  Drain, Persist, Answer(accepted)
    in service      EnterRequestedEvent, unknown        in service      Answer(rejected)
    in service      LeaveRequestedEvent                 in service      Answer(accepted where the worker is known)
    in maintenance  EnterRequestedEvent                 in maintenance  Answer(accepted)
    in maintenance  LeaveRequestedEvent                 in service      Reinstate, Persist, Answer(accepted)
    in service      SetReplacedEvent with the worker    in maintenance  Drain
    in maintenance  SetReplacedEvent without it         in service      Reinstate

Maintenance mode is a set, not a count, so two requests to enter it need one request to leave it. A worker that is
neither in the endpoint list nor in maintenance mode is unknown. Operators restart workers during maintenance, so a
worker that leaves maintenance mode is treated as restarted, with cold caches: its start time is the one in the endpoint
list unless that is before its entry, and otherwise the current time, because discovery may not have reported the
restart yet.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class WorkersListedEvent:
    """The current endpoint list: the workers' names, and their last start times in nanoseconds where known."""

    workers: frozenset[str]
    starts_ns: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EnterRequestedEvent:
    """An operator's request to put a worker into maintenance mode; the answer repeats `request_id`."""

    worker: str
    request_id: int = 0


@dataclass(frozen=True, slots=True)
class LeaveRequestedEvent:
    """An operator's request to take a worker out of maintenance mode; the answer repeats `request_id`."""

    worker: str
    request_id: int = 0


@dataclass(frozen=True, slots=True)
class SetReplacedEvent:
    """The complete set of workers in maintenance mode, as stored by another process of this scheduler."""

    workers: frozenset[str]


Event = WorkersListedEvent | EnterRequestedEvent | LeaveRequestedEvent | SetReplacedEvent


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to an operator's request; a request about an unknown worker is rejected."""

    request_id: int
    is_accepted: bool


@dataclass(frozen=True, slots=True)
class Drain:
    """Action: treat the worker as draining from now on, whatever state discovery reports."""

    worker: str


@dataclass(frozen=True, slots=True)
class Reinstate:
    """Action: send requests to the worker again, and treat it as a process started at `started_ns`."""

    worker: str
    started_ns: int


@dataclass(frozen=True, slots=True)
class Persist:
    """Action: store the set of workers in maintenance mode for the other processes of this scheduler."""

    workers: frozenset[str]


Action = Answer | Drain | Reinstate | Persist


class MaintenanceRegister:
    """The set of workers in maintenance mode, for one scheduler.

    The register owns the time at which each worker entered, and the endpoint list of the last WorkersListedEvent.
    """

    def __init__(self) -> None:
        self._entered_ns: dict[str, int] = {}
        self._listed: frozenset[str] = frozenset()
        self._starts_ns: Mapping[str, int] = {}

    @property
    def workers(self) -> frozenset[str]:
        """The workers currently in maintenance mode."""
        return frozenset(self._entered_ns)

    def handle(self, now_ns: int, events: list[Event]) -> list[Action]:
        """Apply the events in order; return the actions in the order in which the caller must execute them."""
        actions: list[Action] = []
        for event in events:
            match event:
                case WorkersListedEvent(workers, starts_ns):
                    self._listed, self._starts_ns = workers, starts_ns
                case EnterRequestedEvent(worker, request_id):
                    actions += self._enter(now_ns, worker, request_id)
                case LeaveRequestedEvent(worker, request_id):
                    actions += self._leave(now_ns, worker, request_id)
                case SetReplacedEvent(workers):
                    actions += self._replace(now_ns, workers)
        return actions

    def _is_known(self, worker: str) -> bool:
        """Return True if the worker is in the endpoint list or in maintenance mode."""
        return worker in self._listed or worker in self._entered_ns

    def _enter(self, now_ns: int, worker: str, request_id: int) -> list[Action]:
        """Put a worker into maintenance mode and return the resulting actions."""
        if not self._is_known(worker):
            return [Answer(request_id, False)]
        if worker in self._entered_ns:
            return [Answer(request_id, True)]
        self._entered_ns[worker] = now_ns
        return [Drain(worker), Persist(self.workers), Answer(request_id, True)]

    def _leave(self, now_ns: int, worker: str, request_id: int) -> list[Action]:
        """Take a worker out of maintenance mode and return the resulting actions."""
        if worker not in self._entered_ns:
            return [Answer(request_id, self._is_known(worker))]
        return [self._reinstate(now_ns, worker), Persist(self.workers), Answer(request_id, True)]

    def _replace(self, now_ns: int, workers: frozenset[str]) -> list[Action]:
        """Replace the set, and return no Persist action, because the new set was read from the stored file."""
        entering = sorted(workers - self.workers)
        returning = sorted(self.workers - workers)
        actions: list[Action] = [Drain(worker) for worker in entering]
        actions += [self._reinstate(now_ns, worker) for worker in returning]
        self._entered_ns |= dict.fromkeys(entering, now_ns)
        return actions

    def _reinstate(self, now_ns: int, worker: str) -> Reinstate:
        """Remove a worker from the set; its start time is the reported one, or `now_ns` if that is before its entry."""
        entered_ns = self._entered_ns.pop(worker)
        started_ns = self._starts_ns.get(worker, 0)
        return Reinstate(worker, started_ns if started_ns >= entered_ns else now_ns)
