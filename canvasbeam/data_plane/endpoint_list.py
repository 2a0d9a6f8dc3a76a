"""Maintain the endpoint list: notify the router and the connection pools of the workers in the item table.

`EndpointList` owns the last endpoint of each worker that the router was notified of. A worker receives new requests
while the worker reports itself ready, the worker's item is not deleted, and the worker's zone is not evacuated.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from canvasbeam.data_plane.configuration_view import ConfigurationView
from canvasbeam.data_plane.router import RequestRouter
from canvasbeam.data_plane.routes import Configuration, Service
from canvasbeam.data_plane.worker_connections import WorkerConnections, connections_per_node
from canvasbeam.data_plane.worker_endpoints import WorkerEndpoint
from canvasbeam.data_plane.worker_records import WorkerRecord, decode_worker
from canvasbeam.dispatch.events import WorkerEntry, WorkerState
from canvasbeam.errors import Failure
from canvasbeam.item_table.items import Item, ItemKind, ItemTable, Version
from canvasbeam.runtime.change_listeners import raise_failures
from canvasbeam.runtime.logs import get_logger
from canvasbeam.units import MILLISECOND

log = get_logger(__name__)


class EndpointList:
    """Watches the item table and notifies the router of each change.

    `regions` is the region of each zone, `live_nodes` the number of nodes that share the connections of each worker.
    """

    def __init__(
        self,
        table: ItemTable,
        view: ConfigurationView,
        router: RequestRouter,
        connections: WorkerConnections,
        *,
        regions: Mapping[str, str],
        live_nodes: int,
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
        view.add_evacuation_listener(self._on_evacuations)

    def _on_items(self, items: Sequence[Item]) -> None:
        self._apply(item for item in items if item.kind is ItemKind.WORKER)

    def _on_configuration(self, configuration: Configuration) -> None:
        self.refresh()

    def _on_evacuations(self, zones: frozenset[str]) -> None:
        self.refresh()

    def refresh(self) -> None:
        """Recompute all endpoints, for example after a change of the configuration; remove those without a worker."""
        items = self._table.of_kind(ItemKind.WORKER)
        current = {item.key for item in items}
        self._apply(items, removed=[worker for worker in self._notified if worker not in current])

    def set_live_nodes(self, live_nodes: int) -> None:
        """Divide the connections of each worker among another number of nodes."""
        self._live_nodes = live_nodes
        for worker, endpoint in self._notified.items():
            self._connections.set_max_connections(worker, self._connection_share(endpoint.entry.kind))

    def _apply(self, items: Iterable[Item], removed: Iterable[str] = ()) -> None:
        """Apply changed worker items, tombstones included, and the removal of further workers.

        `_notified` changes only after the router has been notified, so that a retry after an exception is complete. An
        item that raises keeps no other item from the router.
        """
        endpoints: dict[str, WorkerEndpoint | None] = dict.fromkeys(removed)
        failures: list[Exception] = []
        for item in items:
            try:
                endpoints[item.key] = None if item.deleted else self._endpoint(item)
            except Exception as error:
                failures.append(error)
        changed = {worker: endpoint for worker, endpoint in endpoints.items() if endpoint != self._notified.get(worker)}
        if changed:
            self._router.change_endpoints([endpoint or self._end_of(worker) for worker, endpoint in changed.items()])
        for worker, endpoint in endpoints.items():
            if endpoint is not None:
                self._notified[worker] = endpoint
            else:
                self._forget(worker)
        raise_failures(failures)

    def _end_of(self, worker: str) -> WorkerEndpoint:
        """Return the endpoint that notifies the router of the end of a worker."""
        known = self._notified[worker]
        entry = WorkerEntry(worker, known.entry.zone, known.entry.kind, state=WorkerState.GONE)
        return WorkerEndpoint(entry, known.health_check)

    def _forget(self, worker: str) -> None:
        self._notified.pop(worker, None)
        self._warm_until.pop(worker, None)
        self._connections.remove_worker(worker)

    def _endpoint(self, item: Item) -> WorkerEndpoint | None:
        """Return the endpoint of a worker, and update its connection pool; None if the item cannot be decoded."""
        record = decode_worker(item)
        if isinstance(record, Failure):
            log.warning("worker item dropped id={} failure={}", item.key, record)
            return None
        self._connections.set_worker(item.key, record.address, self._connection_share(record.service))
        return WorkerEndpoint(self._entry(item, record), self._service(record.service).health_check)

    def _service(self, name: str) -> Service:
        """Return the settings of a service; the defaults if the configuration does not contain the service."""
        configuration = self._view.current
        service = configuration.services.get(name) if configuration is not None else None
        return service or Service(name)

    def _connection_share(self, service: str) -> int:
        """Return the maximum number of connections from this node to one worker of a service."""
        return connections_per_node(self._service(service).max_connections, self._live_nodes)

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
