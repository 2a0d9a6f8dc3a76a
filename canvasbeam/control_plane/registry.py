"""Receive the heartbeats of workers over HTTP at one control node, and publish changed workers to all nodes.

Every control node accepts heartbeats. A changed worker is published before its heartbeat is acknowledged, because the
acknowledgement of `draining` guarantees that requests to the worker cease: that acknowledgement waits until a majority
of the control nodes has the publication on disk (`durable_items.py`). A node without contact to a majority cannot
guarantee this: the node publishes to all reachable nodes, and answers 503, after which the worker turns to another
control node. The same holds for the heartbeat of a worker that warms up, to which few requests may be sent.
`canvasbeam.service_discovery.worker_registry` decides what is published.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from canvasbeam.cluster.worker_items import publication_of, worker_item
from canvasbeam.control_plane.heartbeat_exchange import RECENT_CONTACT_NS, ExchangeNode, HeartbeatExchange
from canvasbeam.control_plane.heartbeats import parse_heartbeat
from canvasbeam.control_plane.web import Answer, Request, failure_answer, json_answer, method_not_allowed, unavailable
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.failure_detection.rendezvous import weight
from canvasbeam.item_table.items import Item, ItemKind, ItemTable, Version
from canvasbeam.runtime.logs import get_logger
from canvasbeam.runtime.settings import Address, ProcessSettings
from canvasbeam.service_discovery.worker_registry import (
    Publication,
    ReceivedHeartbeat,
    Worker,
    WorkerRegistry,
    WorkerState,
)
from canvasbeam.units import MILLISECOND

INSTANCES_PREFIX = "/v1/instances/"
MAX_BODY_BYTES = 64 << 10
MAX_ID_CHARACTERS = 256
MISSED_HEARTBEATS = 3.5  # number of intervals without a heartbeat after which a worker is missing
TICK_S = 0.5
WRITE_TIMEOUT_S = 0.7  # seconds; less than the 1 s after which a worker without an answer tries another control node

log = get_logger(__name__)


class RegistryNode(ExchangeNode, Protocol):
    """The part of `ClusterNode` that the registry uses."""

    table: ItemTable

    def publish(self, items: Iterable[Item]) -> list[Item]:
        """Merge items into the table, and distribute the items to all nodes."""
        ...

    async def write(self, items: Iterable[Item], within_s: float) -> bool:
        """Have a majority of the control nodes store items; return False if the majority has not confirmed in time."""
        ...


class RegistryService:
    """Receives heartbeats, announces them to other control nodes, and as the registrar applies heartbeat timeouts.

    Owns the `WorkerRegistry` of this node.
    """

    def __init__(
        self, settings: ProcessSettings, node: RegistryNode, clock: Callable[[], int] = time.monotonic_ns
    ) -> None:
        self._settings = settings
        self._node = node
        self._clock = clock
        heartbeat_timeout_ns = round(settings.heartbeat_ms * MISSED_HEARTBEATS * MILLISECOND)
        self._registry = WorkerRegistry(heartbeat_timeout_ns, clock())
        self._exchange = HeartbeatExchange(settings.ip, node, clock, self._on_announced)
        self._is_stopping = False
        self._stored: dict[str, Version] = {}  # by worker id, the versions of warm-ups that a majority has on disk
        node.table.add_listener(self._on_items)

    def max_body_bytes(self) -> int:
        """Return the maximum size of the body of a heartbeat, in bytes."""
        return MAX_BODY_BYTES

    def stop(self) -> None:
        """Stop offering this node to workers as the destination of their heartbeats."""
        self._is_stopping = True

    async def run(self) -> None:
        """Call `tick` every `TICK_S` seconds until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Announce the heartbeats received by this node; as the registrar, also publish the missing workers."""
        now_ns = self._clock()
        self._registry.forget_left(now_ns)
        self._forget_replaced()
        self._exchange.announce(self._registry.pop_unannounced())
        if self._exchange.has_missed_heartbeats(now_ns):
            self._registry.restart_timeouts(now_ns)
        elif self._exchange.is_registrar():
            missing = self._registry.declare_missing(now_ns)
            for publication in missing:
                log.warning("worker missing id={}", publication.worker_id)
            self._publish(missing)

    async def instances(self, request: Request) -> Answer:
        """Serve `/v1/instances/ID`: PUT is a heartbeat of a worker, DELETE deregisters the worker."""
        worker_id = request.path.removeprefix(INSTANCES_PREFIX)
        if not worker_id or len(worker_id) > MAX_ID_CHARACTERS:
            return failure_answer(400, Failure(ResultCode.REGISTRATION_INVALID, "the id is empty or too long"))
        if request.method == "PUT":
            return await self._handle_heartbeat(worker_id, request.body)
        if request.method == "DELETE":
            self._publish(self._registry.deregister(worker_id, self._clock()))
            return await self._acknowledge_end(worker_id, {})
        return method_not_allowed("PUT", "DELETE")

    async def _handle_heartbeat(self, worker_id: str, body: bytes) -> Answer:
        heartbeat = parse_heartbeat(body)
        if isinstance(heartbeat, Failure):
            log.warning("heartbeat rejected worker={} failure={}", worker_id, heartbeat)
            return failure_answer(400, heartbeat)
        worker = heartbeat.worker
        self._publish(self._registry.heartbeat(worker_id, heartbeat.sequence, worker, self._clock()))
        address = self._nearest_control_address(worker_id, worker)
        document = {} if address is None else {"beat_url": f"http://{address}{INSTANCES_PREFIX}{worker_id}"}
        if worker.state is WorkerState.DRAINING:
            return await self._acknowledge_end(worker_id, document)
        if worker.warm_up_left_ms and not await self._is_stored(worker_id):
            return self._acknowledge(document, is_in_contact=False)
        return self._acknowledge(document, self._node.has_recent_contact(RECENT_CONTACT_NS))

    async def _acknowledge_end(self, worker_id: str, document: dict[str, str]) -> Answer:
        """Acknowledge that requests to a worker cease, after a majority of control nodes has stored the worker's item.

        An item that was published before is also written to a majority first, because the node that published the item
        may have reached no other node.
        """
        item = self._node.table.get(ItemKind.WORKER, worker_id)
        is_stored = await self._node.write([] if item is None else [item], WRITE_TIMEOUT_S)
        return self._acknowledge(document, is_stored)

    async def _is_stored(self, worker_id: str) -> bool:
        """Return True once a majority of control nodes has stored a worker's item, or False after the time limit."""
        item = self._node.table.get(ItemKind.WORKER, worker_id)
        if item is None or self._stored.get(worker_id) == item.version:
            return True
        is_stored = await self._node.write([item], WRITE_TIMEOUT_S)
        if is_stored:
            self._stored[worker_id] = item.version
        return is_stored

    def _forget_replaced(self) -> None:
        """Forget the stored versions that the table has replaced or forgotten."""
        for worker_id, version in tuple(self._stored.items()):
            item = self._node.table.get(ItemKind.WORKER, worker_id)
            if item is None or item.version != version:
                del self._stored[worker_id]

    def _acknowledge(self, document: dict[str, str], is_in_contact: bool) -> Answer:
        if not is_in_contact:
            reason = "this node has no contact with most of the control nodes"
            return unavailable(Failure(ResultCode.PEER_UNREACHABLE, reason))
        return json_answer(200, document)

    def _nearest_control_address(self, worker_id: str, worker: Worker) -> Address | None:
        """Return the address of a live control node in a worker's zone, or else in the region of the zone, or None."""
        nodes = [node for node in self._node.control_nodes() if not (self._is_stopping and self._exchange.is_own(node))]
        region = self._settings.zones.get(worker.zone)
        local = [node for node in nodes if node.zone == worker.zone]
        local = local or [node for node in nodes if node.region == region]
        if not local:
            return None
        chosen = max(local, key=lambda node: weight(worker_id, node.key))
        return Address(chosen.ip, self._settings.listen["control"].port)

    def _publish(self, publications: Sequence[Publication]) -> None:
        if publications:
            for publication in publications:
                _log_end(publication)
            self._node.publish([worker_item(publication) for publication in publications])

    def _on_items(self, items: Sequence[Item]) -> None:
        corrections: list[Publication] = []
        try:
            for item in items:
                publication = publication_of(item) if item.kind is ItemKind.WORKER else None
                if isinstance(publication, Publication):
                    corrections += self._registry.on_published(publication, self._clock())
        finally:
            self._publish(corrections)  # also after an exception: the registry does not return a correction twice

    def _on_announced(self, heartbeats: Iterable[ReceivedHeartbeat]) -> None:
        self._registry.record_remote_heartbeats(heartbeats, self._clock())


def _log_end(publication: Publication) -> None:
    """Log that this node publishes the end of a worker, with the version that any older statement gives way to."""
    worker, sequence = publication.worker, publication.version.sequence
    if worker is None:
        log.info("worker left id={}", publication.worker_id)
    elif worker.state is WorkerState.DRAINING:
        log.info("worker draining id={} sequence={}", publication.worker_id, sequence)
