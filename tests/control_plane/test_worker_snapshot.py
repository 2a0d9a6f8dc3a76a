"""The worker snapshot on a control node's disk: which workers a restart restores, and which snapshots it ignores."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

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


class Node:
    """Fake of a cluster node: an item table that is connected to no other node."""

    def __init__(self) -> None:
        self.table = ItemTable()

    def publish(self, items: Iterable[Item]) -> list[Item]:
        return self.table.merge(items)


def item(name: str, sequence: int, state: WorkerState = WorkerState.READY) -> Item:
    worker = Worker(service="svc", address=f"{name}:1", zone="z1", slots=4, state=state)
    return worker_item(Publication(name, WorkerVersion(sequence), worker))


def left(name: str) -> Item:
    goodbye = WorkerRegistry(1, 0).deregister(name, 0)
    return worker_item(goodbye[0])


def save(disk: ModelDisk, items: Iterable[Item], at: int = NOW) -> None:
    async def body() -> None:
        node = Node()
        node.publish(items)
        snapshot = WorkerSnapshot(node, disk, lambda: at)
        await snapshot.save()
        snapshot.close()

    asyncio.run(body())


def restore(disk: ModelDisk, known: Iterable[Item] = (), at: int = NOW) -> dict[str, Item]:
    async def body() -> dict[str, Item]:
        node = Node()
        node.publish(known)
        snapshot = WorkerSnapshot(node, disk, lambda: at)
        await snapshot.restore()
        snapshot.close()
        return {item.key: item for item in node.table.all_of_kind(ItemKind.WORKER)}

    return asyncio.run(body())


def test_workers_are_known_again_after_a_restart_and_those_that_left_are_not() -> None:
    disk = ModelDisk()
    save(disk, [item("a", 3), item("b", 5, WorkerState.DRAINING), left("c")])
    assert restore(disk) == {"a": item("a", 3), "b": item("b", 5, WorkerState.DRAINING)}


def test_a_later_save_replaces_an_earlier_one_also_where_it_is_shorter() -> None:
    disk = ModelDisk()
    save(disk, [item("a", 3), item("b", 5)])
    save(disk, [item("a", 4)])
    assert restore(disk) == {"a": item("a", 4)}


def test_what_is_heard_of_a_worker_outweighs_the_snapshot_before_and_after_the_restore() -> None:
    disk = ModelDisk()
    save(disk, [item("a", 3), item("b", 3), item("c", 3)])
    drains, gone = item("a", 4, WorkerState.DRAINING), left("b")
    restored = restore(disk, [drains, gone])
    assert restored == {"a": drains, "b": gone, "c": item("c", 3)}
    table = ItemTable()
    table.merge(restored.values())
    assert table.merge([left("c")])
    assert not table.merge([item("c", 3)])


@pytest.mark.parametrize("age", [MAX_AGE_NS + 1, -1])
def test_a_snapshot_that_is_old_or_of_a_later_time_is_left_unused(age: int) -> None:
    disk = ModelDisk()
    save(disk, [item("a", 3)])
    assert restore(disk, at=NOW + age) == {}
    assert restore(disk, at=NOW + MAX_AGE_NS) == {"a": item("a", 3)}


def test_a_damaged_snapshot_is_left_unused() -> None:
    data = encode_snapshot([item("a", 3)], NOW)
    for cut in range(len(data)):
        assert decode_snapshot(data[:cut], NOW) == ()
        assert decode_snapshot(data[:cut] + bytes([data[cut] ^ 1]) + data[cut + 1 :], NOW) == ()
    assert decode_snapshot(None, NOW) == ()
    assert decode_snapshot(data, NOW) == (item("a", 3),)


def test_a_disk_that_refuses_ends_nothing() -> None:
    disk = ModelDisk()
    disk.is_full = True
    save(disk, [item("a", 3)])
    disk.is_full = False
    save(disk, [item("a", 4)])
    assert restore(disk) == {"a": item("a", 4)}
    assert disk.read(FILE_NAME)
