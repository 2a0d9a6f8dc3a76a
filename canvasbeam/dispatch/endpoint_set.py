"""Keep the workers that discovery listed, in priority rings by zone.

Workers stand in two rings, those of the own zone before all others. The order within a ring is the round-robin order:
workers that stay keep their positions, and new ones are appended in an order drawn from the dispatcher's seed.

Owns the table of workers, the rings, and `FleetTraits`. It must never decide which worker a request goes to.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

from canvasbeam.dispatch.events import ListKind, WorkerEntry, WorkersListed, WorkerState
from canvasbeam.dispatch.records import FleetTraits, TrackedWorker
from canvasbeam.dispatch.settings import Settings, Weights

# From this many dispatchers of a zone for each worker there, each meets a worker too rarely to learn its limits.
LARGE_FLEET_DISPATCHERS_PER_WORKER = 0.5
# Fewer dispatchers in a zone learn the limits of its workers, however few these are.
LARGE_FLEET_MIN_DISPATCHERS = 5

OWN_ZONE_RING = 0
OTHER_ZONES_RING = 1
# Best ring first.
RINGS = (OWN_ZONE_RING, OTHER_ZONES_RING)


@dataclass(slots=True)
class EndpointChanges:
    """What an endpoint list changed."""

    are_rings_rebuilt: bool = False
    restarted: list[TrackedWorker] = field(default_factory=list)


class EndpointSet:
    """The workers known from endpoint lists, and their priority rings."""

    def __init__(self, settings: Settings, seed: int, fleet: FleetTraits) -> None:
        self._settings = settings
        self._fleet = fleet
        self._random = random.Random(seed)
        self._rings: tuple[list[TrackedWorker], ...] = ([], [])
        self._workers: dict[str, TrackedWorker] = {}

    @property
    def workers(self) -> Mapping[str, TrackedWorker]:
        """All workers that were ever listed, by name."""
        return self._workers

    def ring(self, number: int) -> list[TrackedWorker]:
        """Return the live workers of a ring in round-robin order."""
        return self._rings[number]

    def ring_of(self, worker: TrackedWorker) -> int:
        """Return the number of a worker's ring."""
        return OWN_ZONE_RING if worker.zone == self._settings.own_zone else OTHER_ZONES_RING

    def move_to_end(self, worker: TrackedWorker) -> None:
        """Put a worker last in the round-robin order of its ring, where it is live."""
        ring = self._rings[self.ring_of(worker)]
        if worker in ring:
            ring.remove(worker)
            ring.append(worker)

    def apply(self, event: WorkersListed) -> EndpointChanges:
        """Apply an endpoint list; a worker that is absent from a complete list is gone."""
        changes = EndpointChanges()
        is_complete = event.list_kind is not ListKind.CHANGES
        if is_complete:
            self._mark_unlisted_as_gone(event.entries)
        must_rebuild = is_complete
        for entry in event.entries:
            must_rebuild |= self._update_worker(entry, changes.restarted)
        if must_rebuild:  # most lists only renew weights
            self._rebuild_rings()
            changes.are_rings_rebuilt = True
        return changes

    def _mark_unlisted_as_gone(self, entries: Iterable[WorkerEntry]) -> None:
        """Mark the workers that a complete list does not name as gone."""
        named = {entry.worker for entry in entries}
        for worker in self._workers.values():
            if worker.name not in named:
                worker.state = WorkerState.GONE

    def _update_worker(self, entry: WorkerEntry, restarted: list[TrackedWorker]) -> bool:
        """Take the entry of a worker; return whether its position in the rings may have changed."""
        worker = self._workers.get(entry.worker)
        if worker is None:
            self._add_worker(entry)
            return True
        worker.entry = entry
        if entry.started_ns > worker.started_at:
            # A process that was replaced by one of the same name.
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
        """Track a worker that was not listed before."""
        worker = TrackedWorker(entry.worker, entry.zone, entry.kind, entry.cell, entry.state, entry.started_ns, entry)
        digest = blake2b(f" {worker.name}".encode(), digest_size=8).digest()
        worker.slow_start_offset = int.from_bytes(digest, "big")
        worker.listed_as = len(self._workers)
        self._workers[entry.worker] = worker

    def _rebuild_rings(self) -> None:
        """Rebuild the rings, and judge anew how many dispatchers share the own zone's workers.

        New workers are shuffled: otherwise all dispatchers would begin with the same one.
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
        """Judge by the size of the own zone's ring whether the fleet is a large one."""
        settings, fleet = self._settings, self._fleet
        dispatchers_in_zone = settings.dispatchers / len(settings.zones)
        workers_in_zone = len(self._rings[OWN_ZONE_RING])
        fleet.is_large = dispatchers_in_zone >= max(
            LARGE_FLEET_MIN_DISPATCHERS, LARGE_FLEET_DISPATCHERS_PER_WORKER * workers_in_zone
        )
        fleet.has_live_weights = fleet.is_large and settings.weights is Weights.LIVE
        fleet.lacks_queue_signal = fleet.is_large and not fleet.has_live_weights and settings.tells_start
