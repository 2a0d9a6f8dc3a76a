"""Conversion between workers and items of the item table."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from google.protobuf.message import DecodeError

from canvasbeam.cluster.workers_pb2 import WorkerModel, WorkerRecord
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.item_table.items import Item, ItemKind, Version
from canvasbeam.service_discovery.worker_registry import Model, Publication, Worker, WorkerState, WorkerVersion


def worker_item(publication: Publication) -> Item:
    """Return the item that describes a worker, or a tombstone if the worker has left."""
    version = Version(publication.version.sequence, publication.version.revision)
    worker = publication.worker
    if worker is None:
        return Item(ItemKind.WORKER, publication.worker_id, version, deleted=True)
    return Item(ItemKind.WORKER, publication.worker_id, version, encode_worker(worker))


def publication_of(item: Item) -> Publication | Failure:
    """Return the publication in a worker item, or a `Failure` if the item's payload is invalid."""
    version = WorkerVersion(item.version.major, item.version.minor)
    if item.deleted:
        return Publication(item.key, version, None)
    worker = worker_of(item)
    return worker if isinstance(worker, Failure) else Publication(item.key, version, worker)


def encode_worker(worker: Worker) -> bytes:
    """Return the payload of a worker item."""
    record = WorkerRecord(
        service=worker.service,
        address=worker.address,
        zone=worker.zone,
        software_generation=worker.software_generation,
        slots=worker.slots,
        state=int(worker.state),  # type: ignore[arg-type]
        cold_left_ms=worker.warm_up_left_ms,
        remaining_ms=worker.remaining_ms,
        stage=worker.stage,
        models=[
            WorkerModel(name=model.name, generation=model.generation, adapters=model.adapters)
            for model in worker.models
        ],
    )
    return record.SerializeToString(deterministic=True)


def worker_of(item: Item) -> Worker | Failure:
    """Return the worker in an item that is not deleted, or a `Failure`; its times count from the item's publication."""
    try:
        record = WorkerRecord.FromString(item.payload)
        state = WorkerState(record.state)
    except (DecodeError, ValueError) as error:
        return Failure(ResultCode.MESSAGE_INVALID, f"worker {item.key}: {error}")
    return Worker(
        service=record.service,
        address=record.address,
        zone=record.zone,
        software_generation=record.software_generation,
        slots=record.slots,
        state=state,
        warm_up_left_ms=record.cold_left_ms,
        remaining_ms=record.remaining_ms if record.HasField("remaining_ms") else None,
        stage=record.stage,
        models=tuple(Model(model.name, model.generation, tuple(model.adapters)) for model in record.models),
    )


def is_end_of_worker(item: Item) -> bool:
    """Return True if an item says that a worker gets no more requests because it is draining or has left."""
    publication = publication_of(item) if item.kind is ItemKind.WORKER else None
    return isinstance(publication, Publication) and _is_end(publication)


def restricts_requests(item: Item) -> bool:
    """Return True if an item says that a worker gets no more requests, or fewer while it warms up."""
    publication = publication_of(item) if item.kind is ItemKind.WORKER else None
    if not isinstance(publication, Publication):
        return False
    worker = publication.worker
    return _is_end(publication) or (worker is not None and worker.warm_up_left_ms > 0)


def _is_end(publication: Publication) -> bool:
    return publication.worker is None or publication.worker.state is WorkerState.DRAINING


def count_by_state(items: Iterable[Item]) -> str:
    """Return the number of worker items in each state that occurs, as `state=count` pairs for a log line."""
    counts = Counter(_state_of(item) for item in items)
    return " ".join(f"{state}={counts[state]}" for state in sorted(counts))


def _state_of(item: Item) -> str:
    publication = publication_of(item)
    if isinstance(publication, Failure):
        return "invalid"
    state = WorkerState.LEFT if publication.worker is None else publication.worker.state
    return state.name.lower()
