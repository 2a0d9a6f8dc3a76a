"""Maintain the endpoint list: notify the router and the connection pools of the workers in the item table.

`EndpointList` owns the last endpoint of each worker that the router was notified of. A worker receives new requests
while the worker reports itself ready, the worker's item is not deleted, and the worker's zone is not evacuated.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

from canvasbeam.data_plane.configuration_view import ConfigurationView
from canvasbeam.data_plane.router import RequestRouter
from canvasbeam.data_plane.routes import Configuration, Service
from canvasbeam.data_plane.worker_connections import WorkerConnections, connections_per_node
from canvasbeam.data_plane.worker_endpoints import WorkerEndpoint
from canvasbeam.data_plane.worker_records import WorkerRecord, decode_worker
from canvasbeam.dispatch.events import WorkerEntry, WorkerState
from canvasbeam.errors import Failure
from canvasbeam.item_table.items import Item, ItemKind, ItemTable, Version
from canvasbeam.runtime.logs import get_logger
from canvasbeam.units import MILLISECOND

log = get_logger(__name__)


class EndpointList:
    """Watches the item table and notifies the router of each change.

    `regions` is the region of each zone. `live_nodes` returns the number of nodes that share a worker's connections.
    """

    def __init__(
        self,
        table: ItemTable,
        view: ConfigurationView,
        router: RequestRouter,
        connections: WorkerConnections,
        *,
        regions: Mapping[str, str],
        live_nodes: Callable[[], int],
    ) -> None:
        self._table = table
        self._view = view
        self._router = router
        self._connections = connections
        self._regions = regions
        self._live_nodes = live_nodes
        self._notified: dict[str, WorkerEndpoint] = {}
        self._warm_until: dict[str, tuple[Version, int]] = {}
        table.add_listener(self._on_items)
        view.add_listener(self._on_configuration)

    def _on_items(self, items: Sequence[Item]) -> None:
        if any(item.kind is ItemKind.EVACUATIONS for item in items):
            self.refresh()
            return
        self._notify([item for item in items if item.kind is ItemKind.WORKER])

    def _on_configuration(self, configuration: Configuration) -> None:
        self.refresh()

    def refresh(self) -> None:
        """Recompute the endpoints of all workers, for example after a change of the configuration."""
        self._notify(self._table.of_kind(ItemKind.WORKER))

    def _notify(self, items: Iterable[Item]) -> None:
        changed = []
        for item in items:
            endpoint = self._remove(item) if item.deleted else self._update(item)
            if endpoint is not None:
                changed.append(endpoint)
        if changed:
            self._router.change_endpoints(changed)

    def _remove(self, item: Item) -> WorkerEndpoint | None:
        known = self._notified.pop(item.key, None)
        self._warm_until.pop(item.key, None)
        self._connections.remove_worker(item.key)
        if known is None:
            return None
        entry = WorkerEntry(item.key, known.entry.zone, known.entry.kind, state=WorkerState.GONE)
        return WorkerEndpoint(entry, known.health_check)

    def _update(self, item: Item) -> WorkerEndpoint | None:
        record = decode_worker(item)
        if isinstance(record, Failure):
            log.warning("worker item dropped id={} failure={}", item.key, record)
            return None
        configuration = self._view.current
        service = configuration.services.get(record.service) if configuration is not None else None
        service = service or Service(record.service)
        max_connections = connections_per_node(service.max_connections, self._live_nodes())
        self._connections.set_worker(item.key, record.address, max_connections)
        endpoint = WorkerEndpoint(self._entry(item, record), service.health_check)
        if self._notified.get(item.key) == endpoint:
            return None
        self._notified[item.key] = endpoint
        return endpoint

    def _entry(self, item: Item, record: WorkerRecord) -> WorkerEntry:
        accepts_requests = record.ready and record.zone not in self._view.evacuated_zones
        return WorkerEntry(
            worker=item.key,
            zone=self._regions.get(record.zone, record.zone),
            kind=record.service,
            state=WorkerState.LIVE if accepts_requests else WorkerState.DRAINING,
            slots=record.slots,
            cold_until_ns=self._warm_up_end_ns(item, record),
            models=record.models,
        )

    def _warm_up_end_ns(self, item: Item, record: WorkerRecord) -> int:
        """Return the end of a worker's warm-up in nanoseconds, computed once per item version; 0 = warmed up."""
        version, until_ns = self._warm_until.get(item.key, (None, 0))
        if version != item.version:
            warm_up_ns = record.warm_up_remaining_ms * MILLISECOND
            until_ns = self._router.now_ns() + warm_up_ns if warm_up_ns > 0 else 0
            self._warm_until[item.key] = (item.version, until_ns)
        return until_ns
