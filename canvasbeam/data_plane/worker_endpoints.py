"""Store the endpoints of the workers to which the router may send requests.

`WorkerEndpoints` owns the router's table of endpoints; `endpoint_list.py` creates the endpoints from the item table.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from canvasbeam.dispatch.events import ListKind, WorkerEntry, WorkersListed, WorkerState


@dataclass(frozen=True, slots=True)
class WorkerEndpoint:
    """A worker's discovery entry for the dispatcher, and the HTTP path of the worker's health check."""

    entry: WorkerEntry
    health_check: str

    @property
    def is_live(self) -> bool:
        """True if new requests may be sent to the worker."""
        return self.entry.state is WorkerState.LIVE


class WorkerEndpoints:
    """Table of endpoints, by worker."""

    def __init__(self) -> None:
        self._by_worker: dict[str, WorkerEndpoint] = {}

    def __len__(self) -> int:
        return len(self._by_worker)

    def apply(self, endpoints: Iterable[WorkerEndpoint]) -> WorkersListed:
        """Apply changed endpoints, and return the event that notifies the dispatcher of the changes."""
        entries = []
        for endpoint in endpoints:
            entry = endpoint.entry
            entries.append(entry)
            if entry.state is WorkerState.GONE:
                self._by_worker.pop(entry.worker, None)
            else:
                self._by_worker[entry.worker] = endpoint
        return WorkersListed(ListKind.CHANGES, tuple(entries))

    def as_event(self) -> WorkersListed:
        """Return the event that gives a new dispatcher the complete list of workers."""
        return WorkersListed(ListKind.COMPLETE, tuple(endpoint.entry for endpoint in self._by_worker.values()))

    def get(self, worker: str) -> WorkerEndpoint | None:
        """Return the endpoint of a worker, or None if the worker is not in the table."""
        return self._by_worker.get(worker)

    def is_live(self, worker: str) -> bool:
        """Return True if new requests may be sent to a worker."""
        endpoint = self._by_worker.get(worker)
        return endpoint is not None and endpoint.is_live

    @property
    def live_count(self) -> int:
        """Number of workers to which new requests may be sent."""
        return sum(endpoint.is_live for endpoint in self._by_worker.values())
