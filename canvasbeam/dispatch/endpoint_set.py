"""Track the workers that discovery lists, in priority rings by zone.

There are two rings: the workers of the dispatcher's own zone, then the workers of all other zones. The order within a
ring is the round-robin order: workers that remain listed keep their positions, and new workers are appended in an order
drawn from the dispatcher's seed.

Owns the table of workers, the rings, and `FleetTraits`. The module must never choose the worker for a request
(`worker_choice` does).
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

from canvasbeam.dispatch.events import ListKind, WorkerEntry, WorkersListed, WorkerState
from canvasbeam.dispatch.records import FleetTraits, TrackedWorker
from canvasbeam.dispatch.settings import Settings, Weights

# A fleet is large from this ratio of dispatchers to workers in a zone: each dispatcher then sends to a worker too
# rarely to learn the worker's limits.
LARGE_FLEET_DISPATCHERS_PER_WORKER = 0.5
# A large fleet has at least this many dispatchers in a zone: fewer dispatchers learn the limits of the zone's workers,
# however few workers the zone has.
LARGE_FLEET_MIN_DISPATCHERS = 5

OWN_ZONE_RING = 0
OTHER_ZONES_RING = 1
# All priority rings, most preferred first.
RINGS = (OWN_ZONE_RING, OTHER_ZONES_RING)


@dataclass(slots=True)
class EndpointChanges:
    """Changes caused by an endpoint list."""

    are_rings_rebuilt: bool = False
    restarted: list[TrackedWorker] = field(default_factory=list)


class EndpointSet:
    """Workers known from endpoint lists, and their priority rings."""

    def __init__(self, settings: Settings, seed: int, fleet: FleetTraits) -> None:
        self._settings = settings
        self._fleet = fleet
        self._random = random.Random(seed)
        self._rings: tuple[list[TrackedWorker], ...] = ([], [])
        self._workers: dict[str, TrackedWorker] = {}

    @property
    def workers(self) -> Mapping[str, TrackedWorker]:
        """All workers that were ever listed, by worker name."""
        return self._workers

    def ring(self, number: int) -> list[TrackedWorker]:
        """Return the live workers of a ring in round-robin order."""
        return self._rings[number]

    def ring_of(self, worker: TrackedWorker) -> int:
        """Return the number of a worker's ring."""
        return OWN_ZONE_RING if worker.zone == self._settings.own_zone else OTHER_ZONES_RING

    def move_to_end(self, worker: TrackedWorker) -> None:
        """Move a live worker to the end of the round-robin order of its ring; ignore a worker that is not live."""
        ring = self._rings[self.ring_of(worker)]
        if worker in ring:
            ring.remove(worker)
            ring.append(worker)

    def apply(self, event: WorkersListed) -> EndpointChanges:
        """Apply an endpoint list and return the changes; a worker absent from a complete list becomes `GONE`."""
        changes = EndpointChanges()
        is_complete = event.list_kind is not ListKind.CHANGES
        if is_complete:
            self._mark_unlisted_as_gone(event.entries)
        must_rebuild = is_complete
        for entry in event.entries:
            must_rebuild |= self._update_worker(entry, changes.restarted)
        if must_rebuild:  # most lists only update weights, which leave the rings unchanged
            self._rebuild_rings()
            changes.are_rings_rebuilt = True
        return changes

    def _mark_unlisted_as_gone(self, entries: Iterable[WorkerEntry]) -> None:
        """Mark the workers that are absent from a complete list as gone."""
        listed_names = {entry.worker for entry in entries}
        for worker in self._workers.values():
            if worker.name not in listed_names:
                worker.state = WorkerState.GONE

    def _update_worker(self, entry: WorkerEntry, restarted: list[TrackedWorker]) -> bool:
        """Update a worker from its list entry; return True if the worker's position in the rings may have changed."""
        worker = self._workers.get(entry.worker)
        if worker is None:
            self._add_worker(entry)
            return True
        worker.entry = entry
        if entry.started_ns > worker.started_at:
            # A later start time means that a new process with the same worker name replaced the previous process.
            worker.started_at = entry.started_ns
            restarted.append(worker)
        elif (
            entry.state is worker.state
            and entry.zone == worker.zone
            and entry.kind == worker.kind
            and entry.cell == worker.cell
        ):
            return False
        worker.state = entry.state
        worker.zone = entry.zone
        worker.kind = entry.kind
        worker.cell = entry.cell
        return True

    def _add_worker(self, entry: WorkerEntry) -> None:
        """Add a worker that was not listed before."""
        worker = TrackedWorker(entry.worker, entry.zone, entry.kind, entry.cell, entry.state, entry.started_ns, entry)
        digest = blake2b(f" {worker.name}".encode(), digest_size=8).digest()
        worker.slow_start_offset = int.from_bytes(digest, "big")
        worker.listing_order = len(self._workers)
        self._workers[entry.worker] = worker

    def _rebuild_rings(self) -> None:
        """Rebuild the rings, and update the fleet traits.

        New workers are shuffled, because all dispatchers would otherwise begin with the same worker.
        """
        for number, ring in enumerate(self._rings):
            live = {
                worker.name: worker
                for worker in self._workers.values()
                if worker.state is WorkerState.LIVE and self.ring_of(worker) == number
            }
            staying = [worker for worker in ring if live.pop(worker.name, None)]
            joining = list(live.values())
            self._random.shuffle(joining)
            ring[:] = staying + joining
        self._update_fleet_traits()

    def _update_fleet_traits(self) -> None:
        """Update the fleet traits from the number of workers in the own-zone ring."""
        settings, fleet = self._settings, self._fleet
        dispatchers_in_zone = settings.dispatchers / len(settings.zones)
        workers_in_zone = len(self._rings[OWN_ZONE_RING])
        fleet.is_large = dispatchers_in_zone >= max(
            LARGE_FLEET_MIN_DISPATCHERS, LARGE_FLEET_DISPATCHERS_PER_WORKER * workers_in_zone
        )
        fleet.has_live_weights = fleet.is_large and settings.weights is Weights.LIVE
        fleet.lacks_queue_signal = fleet.is_large and not fleet.has_live_weights and settings.tells_start
