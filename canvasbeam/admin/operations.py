"""Executes operators' requests on the running scheduler.

The module supplies the data that the management address returns, read from the counters of the components concerned,
and executes the actions of `canvasbeam/admin/maintenance.py`. It must never use a socket, never decide which worker
gets a client's request, and never report an estimate in place of a counted figure.
"""

from __future__ import annotations

from collections.abc import Callable

from canvasbeam.admin.handover import Handover
from canvasbeam.admin.maintenance import (
    Action,
    Answer,
    Drain,
    EnterRequestedEvent,
    Event,
    LeaveRequestedEvent,
    MaintenanceRegister,
    Persist,
    Reinstate,
    SetReplacedEvent,
    WorkersListedEvent,
)
from canvasbeam.admin.routes import JsonObject
from canvasbeam.scheduler.limits import nanoseconds, seconds, span_of
from canvasbeam.scheduler.listener import Listener
from canvasbeam.scheduler.request_coordinator import RequestCoordinator

HANDOVER_POLL_INTERVAL = seconds(0.1)  # maximum delay until a request made to another process applies in this one


class SchedulerOperations:
    """Implements the operations of the management address for one scheduler.

    The object owns the register of workers in maintenance mode, and polls the file shared with other processes.
    """

    def __init__(
        self,
        coordinator: RequestCoordinator,
        listener: Listener,
        handover: Handover | None = None,
        peers: Callable[[], JsonObject] | None = None,
    ) -> None:
        self._coordinator = coordinator
        self._listener = listener
        self._handover = handover
        self._peers = peers
        self._register = MaintenanceRegister()
        if handover is not None:
            self._poll_handover(handover)

    def can_serve(self) -> bool:
        """Return True if at least one live worker can get requests and no planned shutdown has begun."""
        return self._listener.is_ready

    def stats(self) -> JsonObject:
        """Return the counters and gauges of this pass of the event loop, under the keys of `/stats`."""
        coordinator = self._coordinator
        return {
            "downstream_requests": {name: dict(counts) for name, counts in coordinator.by_class.items()},
            "upstream_requests": coordinator.forwarded,
            "pending": coordinator.pending,
            "members": len(coordinator.workers),
            "members_unavailable": coordinator.unavailable_workers(),
        }

    def peers(self) -> JsonObject | None:
        """Return the membership of the fleet, or None if this scheduler has no peers."""
        return None if self._peers is None else self._peers()

    def enter_maintenance(self, worker: str) -> bool:
        """Put a worker into maintenance mode from this pass of the loop on; return False if the worker is unknown."""
        return self._request(EnterRequestedEvent(worker))

    def leave_maintenance(self, worker: str) -> bool:
        """Take a worker out of maintenance mode, with cold caches; return False if the worker is unknown."""
        return self._request(LeaveRequestedEvent(worker))

    def _request(self, request: EnterRequestedEvent | LeaveRequestedEvent) -> bool:
        """Execute an operator's request; return True if the request was accepted."""
        actions = self._execute([self._workers_listed(), request])
        answers = [action for action in actions if isinstance(action, Answer)]
        return answers[-1].is_accepted

    def _poll_handover(self, handover: Handover) -> None:
        """Apply a changed set from the shared file, written by another process, and schedule the next poll."""
        workers = handover.read_if_changed()
        if workers is not None:
            self._execute([self._workers_listed(), SetReplacedEvent(workers)])
        self._coordinator.loop.after(HANDOVER_POLL_INTERVAL, lambda: self._poll_handover(handover))

    def _workers_listed(self) -> WorkersListedEvent:
        """Return the current endpoint list as an event, with the known start times on the loop's clock."""
        workers = self._coordinator.workers.values()
        starts_ns = {worker.name: nanoseconds(worker.started) for worker in workers if worker.started is not None}
        return WorkersListedEvent(frozenset(self._coordinator.workers), starts_ns)

    def _execute(self, events: list[Event]) -> list[Action]:
        """Pass the events to the register, execute the resulting actions and return them."""
        loop = self._coordinator.loop
        actions = self._register.handle(nanoseconds(loop.now), events)
        for action in actions:
            match action:
                case Drain(worker):
                    self._coordinator.enter_maintenance(worker)
                case Reinstate(worker, started_ns):
                    self._coordinator.leave_maintenance(worker, span_of(started_ns))
                case Persist(workers) if self._handover is not None:
                    self._handover.write(workers)
        return actions
