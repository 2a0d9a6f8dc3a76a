"""Restore the workers of a control node when it starts, and keep them on its disk afterwards.

Puts two parts in order. What restricts the requests to workers and was acknowledged (`durable_items`) comes first, then
the workers of the last snapshot (`worker_snapshot`), which may be older:

| kept item | at the start |
| --- | --- |
| end of a worker | published before the snapshot, which cannot replace it |
| warm-up of a worker | published in place of an older item of the snapshot; alone it does not make a worker known |

A worker that no node knows gets no requests, so damage to the kept items also rules out the snapshot.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from pathlib import Path
from typing import Protocol

from canvasbeam.cluster.node import ItemStore
from canvasbeam.cluster.worker_items import count_by_state, is_end_of_worker, restricts_requests
from canvasbeam.control_plane.durable_items import DurableItems
from canvasbeam.control_plane.worker_snapshot import WorkerSnapshot
from canvasbeam.errors import Failure
from canvasbeam.item_table.items import Item, ItemTable
from canvasbeam.runtime.logs import get_logger
from canvasbeam.storage.disk import FolderDisk

log = get_logger(__name__)


class StorageNode(Protocol):
    """The part of `ClusterNode` that the storage uses."""

    table: ItemTable

    def publish(self, items: Iterable[Item]) -> list[Item]:
        """Merge items into the table, and distribute the items to all nodes."""
        ...

    def set_item_store(self, item_store: ItemStore) -> None:
        """Store the items of writes before this node confirms them."""
        ...


class WorkerStorage:
    """The workers on the disk of one control node, in the folder `data_dir`."""

    def __init__(self, node: StorageNode, data_dir: Path) -> None:
        disk = FolderDisk(data_dir)
        self._node = node
        self._restrictions = DurableItems(disk, node.table, restricts_requests)
        self._snapshot = WorkerSnapshot(node, disk)
        node.set_item_store(self._restrictions)

    async def run(self) -> None:
        """Restore the workers, then keep them on disk until cancelled."""
        if not await self.restore():
            return
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._restrictions.run())
            tasks.create_task(self._restrictions.run_drops())
            tasks.create_task(self._snapshot.run())

    async def restore(self) -> bool:
        """Publish the workers that the disk holds; return False if the kept items are damaged."""
        items = await self._restrictions.load()
        if isinstance(items, Failure):
            log.error("ends of workers unreadable action=no worker restored, no end acknowledged failure={}", items)
            return False
        ends = tuple(item for item in items if is_end_of_worker(item))
        if ends:
            accepted = self._node.publish(ends)
            log.info("ends of workers restored {} accepted={}", count_by_state(ends), len(accepted))
        await self._snapshot.restore(items)
        return True

    def close(self) -> None:
        """Stop the threads that access the disk."""
        self._restrictions.close()
        self._snapshot.close()
