"""Decode the fields of a worker item that the data plane needs for sending requests to the worker.

This module only decodes; `endpoint_list.py` decides whether a worker receives requests.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasbeam.cluster.worker_items import worker_of
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.item_table.items import Item
from canvasbeam.runtime.settings import Address
from canvasbeam.service_discovery.worker_registry import WorkerState


@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """State of a worker according to the worker's latest published heartbeat."""

    service: str
    address: Address
    zone: str
    slots: int
    ready: bool
    warm_up_remaining_ms: int = 0
    models: tuple[str, ...] = ()  # names of the loaded models and of the models' adapters


def decode_worker(item: Item) -> WorkerRecord | Failure:
    """Return the decoded worker item, or a `Failure` with the code `MESSAGE_INVALID` if the item is malformed."""
    worker = worker_of(item)
    if isinstance(worker, Failure):
        return worker
    try:
        address = Address.parse(worker.address)
    except ValueError as error:
        return Failure(ResultCode.MESSAGE_INVALID, f"worker {item.key}: {error}")
    return WorkerRecord(
        service=worker.service,
        address=address,
        zone=worker.zone,
        slots=worker.slots,
        ready=worker.state is WorkerState.READY,
        warm_up_remaining_ms=worker.warm_up_left_ms,
        models=tuple(name for model in worker.models for name in (model.name, *model.adapters)),
    )
