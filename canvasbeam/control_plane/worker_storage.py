"""Restore the workers of a control node when it starts, and keep them on its disk afterwards.

Puts two parts in order: the ends of workers that were acknowledged (`durable_items`) are published first, and only then
the workers of the last snapshot (`worker_snapshot`), which may be older. A worker that this node does not know gets no
requests, so a damaged store of ends also rules out the snapshot.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from pathlib import Path
from typing import Protocol

from canvasbeam.cluster.node import ItemStore
from canvasbeam.cluster.worker_items import count_by_state, is_end_of_worker
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
        self._ends = DurableItems(disk, node.table, is_end_of_worker)
        self._snapshot = WorkerSnapshot(node, disk)
        node.set_item_store(self._ends)

    async def run(self) -> None:
        """Restore the workers, then keep them on disk until cancelled."""
        items = await self._ends.load()
        if isinstance(items, Failure):
            log.error("ends of workers unreadable action=no worker restored, no end acknowledged failure={}", items)
            return
        self._restore(items)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._ends.run())
            tasks.create_task(self._ends.run_drops())
            tasks.create_task(self._snapshot.run())

    def close(self) -> None:
        """Stop the threads that access the disk."""
        self._ends.close()
        self._snapshot.close()

    def _restore(self, items: tuple[Item, ...]) -> None:
        if items:
            accepted = self._node.publish(items)
            log.info("ends of workers restored {} accepted={}", count_by_state(items), len(accepted))
