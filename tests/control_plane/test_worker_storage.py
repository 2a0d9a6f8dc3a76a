"""Which workers a control node restores from its disk: acknowledged ends and warm-ups against an older snapshot."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

from canvasbeam.cluster.node import ItemStore
from canvasbeam.cluster.worker_items import worker_item
from canvasbeam.control_plane.durable_items import FILES
from canvasbeam.control_plane.worker_snapshot import FILE_NAME, MAX_AGE_NS, encode_snapshot
from canvasbeam.control_plane.worker_storage import WorkerStorage
from canvasbeam.item_table.items import Item, ItemTable
from canvasbeam.service_discovery.worker_registry import (
    DECLARED_MISSING,
    LEFT_SEQUENCE,
    Publication,
    Worker,
    WorkerState,
    WorkerVersion,
)

READY = Worker(service="svc", address="10.0.0.1:80", zone="z1", slots=4)


class FakeNode:
    """Fake of a cluster node without other nodes."""

    def __init__(self) -> None:
        self.table = ItemTable()
        self.item_store: ItemStore | None = None

    def publish(self, items: Iterable[Item]) -> list[Item]:
        return self.table.merge(items)

    def set_item_store(self, item_store: ItemStore) -> None:
        self.item_store = item_store


def item(name: str, sequence: int, worker: Worker | None = READY, revision: int = 0) -> Item:
    return worker_item(Publication(name, WorkerVersion(sequence, revision), worker))


WARMING_UP = replace(READY, warm_up_left_ms=8000)
DRAINING = replace(READY, state=WorkerState.DRAINING)
MISSING = replace(READY, state=WorkerState.MISSING)


def store(folder: Path, items: Iterable[Item]) -> None:
    """Run a node that publishes these items, until they are durable."""

    async def body() -> None:
        node = FakeNode()
        storage = WorkerStorage(node, folder)
        running = asyncio.create_task(storage.run())
        node.publish(items)
        assert node.item_store is not None
        stored = asyncio.Event()
        node.item_store.store(items, stored.set)
        await stored.wait()
        running.cancel()
        storage.close()

    asyncio.run(body())


def save_snapshot(folder: Path, items: Iterable[Item], age_ns: int = 0) -> None:
    (folder / FILE_NAME).write_bytes(encode_snapshot(items, time.time_ns() - age_ns))


def restored(folder: Path) -> set[Item]:
    """Return the items that a node publishes when it starts with this folder."""

    async def body() -> set[Item]:
        node = FakeNode()
        storage = WorkerStorage(node, folder)
        await storage.restore()
        storage.close()
        return set(node.table)

    return asyncio.run(body())


def test_acknowledged_ends_and_warm_ups_replace_older_items_of_the_snapshot(tmp_path: Path) -> None:
    """Guards against a restart that forgets what was acknowledged after the last snapshot."""
    left, draining, warming_up = item("a", LEFT_SEQUENCE, None), item("b", 9, DRAINING), item("c", 9, WARMING_UP)
    store(tmp_path, [left, draining, warming_up])
    save_snapshot(tmp_path, [item(name, 8) for name in "abcd"])
    assert restored(tmp_path) == {left, draining, warming_up, item("d", 8)}


def test_newer_items_of_the_snapshot_replace_warm_ups(tmp_path: Path) -> None:
    store(tmp_path, [item("a", 9, WARMING_UP), item("b", 9, WARMING_UP)])
    newer = {item("a", 15), item("b", 9, MISSING, DECLARED_MISSING)}
    save_snapshot(tmp_path, newer)
    assert restored(tmp_path) == newer


def test_ends_are_restored_without_a_usable_snapshot_and_warm_ups_are_not(tmp_path: Path) -> None:
    """Guards against requests to a worker of long ago, of which only a warm-up is known."""
    ends = {item("a", LEFT_SEQUENCE, None), item("b", 9, DRAINING)}
    store(tmp_path, [*ends, item("c", 9, WARMING_UP)])
    assert restored(tmp_path) == ends
    save_snapshot(tmp_path, [item(name, 8) for name in "abc"], age_ns=2 * MAX_AGE_NS)
    assert restored(tmp_path) == ends


def test_nothing_is_restored_if_the_kept_items_are_damaged(tmp_path: Path) -> None:
    for sequence in (7, 8, 9):
        store(tmp_path, [item("a", sequence, DRAINING)])
    save_snapshot(tmp_path, [item("a", 6)])
    data = bytearray((tmp_path / FILES.log).read_bytes())
    data[60] ^= 1
    (tmp_path / FILES.log).write_bytes(data)
    assert restored(tmp_path) == set()
