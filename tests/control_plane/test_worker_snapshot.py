"""The worker snapshot on a control node's disk: which workers a restart restores, and which snapshots it ignores."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import logbook
import pytest

from canvasbeam.cluster.worker_items import worker_item
from canvasbeam.control_plane.worker_snapshot import (
    FILE_NAME,
    MAX_AGE_NS,
    WorkerSnapshot,
    decode_snapshot,
    encode_snapshot,
)
from canvasbeam.item_table.items import Item, ItemKind, ItemTable
from canvasbeam.service_discovery.worker_registry import Publication, Worker, WorkerRegistry, WorkerState, WorkerVersion
from tests.support.model_disk import ModelDisk

NOW = 1_000 * 10**9


class FakeNode:
    """Fake of a cluster node: an item table that is connected to no other node."""

    def __init__(self) -> None:
        self.table = ItemTable()

    def publish(self, items: Iterable[Item]) -> list[Item]:
        return self.table.merge(items)


def item(name: str, sequence: int, state: WorkerState = WorkerState.READY) -> Item:
    worker = Worker(service="svc", address=f"{name}:1", zone="z1", slots=4, state=state)
    return worker_item(Publication(name, WorkerVersion(sequence), worker))


def left_item(name: str) -> Item:
    publications = WorkerRegistry(1, 0).deregister(name, 0)
    return worker_item(publications[0])


def save(disk: ModelDisk, items: Iterable[Item], at: int = NOW) -> None:
    async def body() -> None:
        node = FakeNode()
        node.publish(items)
        snapshot = WorkerSnapshot(node, disk, lambda: at)
        await snapshot.save()
        snapshot.close()

    asyncio.run(body())


def restore(disk: ModelDisk, known: Iterable[Item] = (), at: int = NOW) -> dict[str, Item]:
    async def body() -> dict[str, Item]:
        node = FakeNode()
        node.publish(known)
        snapshot = WorkerSnapshot(node, disk, lambda: at)
        await snapshot.restore()
        snapshot.close()
        return {item.key: item for item in node.table.all_of_kind(ItemKind.WORKER)}

    return asyncio.run(body())


def test_restart_restores_workers_except_those_that_left() -> None:
    disk = ModelDisk()
    save(disk, [item("a", 3), item("b", 5, WorkerState.DRAINING), left_item("c")])
    assert restore(disk) == {"a": item("a", 3), "b": item("b", 5, WorkerState.DRAINING)}


def test_shorter_later_save_replaces_earlier_save() -> None:
    disk = ModelDisk()
    save(disk, [item("a", 3), item("b", 5)])
    save(disk, [item("a", 4)])
    assert restore(disk) == {"a": item("a", 4)}


def test_newer_worker_updates_override_snapshot_before_and_after_restore() -> None:
    disk = ModelDisk()
    save(disk, [item("a", 3), item("b", 3), item("c", 3)])
    draining_a, left_b = item("a", 4, WorkerState.DRAINING), left_item("b")
    restored = restore(disk, [draining_a, left_b])
    assert restored == {"a": draining_a, "b": left_b, "c": item("c", 3)}
    table = ItemTable()
    table.merge(restored.values())
    assert table.merge([left_item("c")])
    assert not table.merge([item("c", 3)])


@pytest.mark.parametrize("age", [MAX_AGE_NS + 1, -1])
def test_old_or_future_snapshot_is_ignored(age: int) -> None:
    disk = ModelDisk()
    save(disk, [item("a", 3)])
    assert restore(disk, at=NOW + age) == {}
    assert restore(disk, at=NOW + MAX_AGE_NS) == {"a": item("a", 3)}


def test_damaged_snapshot_is_ignored() -> None:
    data = encode_snapshot([item("a", 3)], NOW)
    for cut in range(len(data)):
        assert decode_snapshot(data[:cut], NOW) == ()
        assert decode_snapshot(data[:cut] + bytes([data[cut] ^ 1]) + data[cut + 1 :], NOW) == ()
    assert decode_snapshot(None, NOW) == ()
    assert decode_snapshot(data, NOW) == (item("a", 3),)


def test_full_disk_does_not_prevent_later_saves() -> None:
    disk = ModelDisk()
    disk.is_full = True
    save(disk, [item("a", 3)])
    disk.is_full = False
    save(disk, [item("a", 4)])
    assert restore(disk) == {"a": item("a", 4)}
    assert disk.read(FILE_NAME)


def test_restore_logs_states_and_how_many_items_were_newer_than_known_ones() -> None:
    """Guards against a log that can't tell a worker restored from the snapshot from one published by another node."""
    disk = ModelDisk()
    save(disk, [item("a", 3), item("b", 3), item("c", 5, WorkerState.DRAINING)])
    with logbook.TestHandler() as handler:
        restore(disk, [left_item("a")])
    assert [record.message for record in handler.records] == ["workers restored draining=1 ready=2 accepted=2"]
