"""Store the workers known to a control node on its disk, and publish the stored workers at the next start.

Workers are not part of the replicated state, because their heartbeats report them again within one heartbeat interval.
After a restart of all machines, that interval would be a time without service; the snapshot bridges the interval. The
snapshot is only a hint: the item of a worker keeps its version, so that any newer item or heartbeat of the worker
replaces the item, and a worker without heartbeats times out as usual. A snapshot that is damaged, from the future, or
older than `MAX_AGE_NS` is not used.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Protocol

from canvasbeam.cluster import codec
from canvasbeam.cluster.worker_items import count_by_state
from canvasbeam.control_plane.disk_worker import DiskWorker
from canvasbeam.distribution.messages import Update
from canvasbeam.item_table.items import Item, ItemKind, ItemTable
from canvasbeam.runtime.logs import get_logger
from canvasbeam.storage.disk import Disk
from canvasbeam.storage.frames import Frame, decode_frame, encode_frame
from canvasbeam.units import SECOND

FILE_NAME = "workers"
MAGIC = b"CBWK"
SAVE_INTERVAL_S = 3.0
MAX_AGE_NS = 10 * SECOND

log = get_logger(__name__)


class SnapshotNode(Protocol):
    """The part of `ClusterNode` that the snapshot uses."""

    table: ItemTable

    def publish(self, items: Iterable[Item]) -> list[Item]:
        """Merge items into the table, and distribute the items to all nodes."""
        ...


def encode_snapshot(items: Iterable[Item], now_ns: int) -> bytes:
    """Return the content of the snapshot file; `now_ns` (system clock, ns) becomes the generation of its frame."""
    return encode_frame(MAGIC, Frame(now_ns, 0, codec.encode(Update(tuple(items)))))


def decode_snapshot(data: bytes | None, now_ns: int) -> tuple[Item, ...]:
    """Return the worker items of a snapshot file; empty if the file is absent, damaged, too old or from the future."""
    frame = decode_frame(MAGIC, data) if data else None
    if frame is None or not 0 <= now_ns - frame.generation <= MAX_AGE_NS:
        return ()
    message = codec.decode(frame.body)
    if not isinstance(message, Update):
        return ()
    return tuple(item for item in message.items if item.kind is ItemKind.WORKER and not item.deleted)


class WorkerSnapshot:
    """Restores workers when the control node starts, and afterwards saves its known workers every `SAVE_INTERVAL_S`."""

    def __init__(self, node: SnapshotNode, disk: Disk, clock: Callable[[], int] = time.time_ns) -> None:
        self._node = node
        self._disk = disk
        self._clock = clock
        self._worker = DiskWorker(lambda _: None)
        self._has_file = False

    async def run(self) -> None:
        """Save the workers periodically until cancelled; call `restore` before."""
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            await self.save()

    async def restore(self, kept: Iterable[Item] = ()) -> None:
        """Publish the workers of the last save, each in its kept version if that one is newer.

        Newer versions in the item table stay unchanged.
        """
        kept_items = {item.key: item for item in kept}
        with suppress(OSError):
            data = await self._worker.run(lambda: self._disk.read(FILE_NAME))
            now_ns = self._clock()
            items = [_newer(item, kept_items.get(item.key)) for item in decode_snapshot(data, now_ns)]
            if items:
                accepted = self._node.publish(items)
                log.info("workers restored {} accepted={}", count_by_state(items), len(accepted))

    async def save(self) -> None:
        """Write the currently known workers to disk. Errors of the disk are ignored, because the next save retries."""
        items = self._node.table.of_kind(ItemKind.WORKER)
        if not items:
            return
        data = encode_snapshot(items, self._clock())
        with suppress(OSError):
            await self._worker.run(lambda: self._write(data))

    def close(self) -> None:
        """Stop the thread that accesses the disk."""
        self._worker.close()

    def _write(self, data: bytes) -> None:
        """Overwrite the file in place, in the disk thread; the digest in the file reveals an incomplete write."""
        if not self._has_file:
            self._disk.create(FILE_NAME)
            self._disk.sync_folder()
            self._has_file = True
        self._disk.write(FILE_NAME, 0, data)
        self._disk.sync(FILE_NAME)


def _newer(item: Item, kept: Item | None) -> Item:
    return kept if kept is not None and kept.version > item.version else item
