"""Items that a control node keeps on disk: what a restart or power loss restores, and when a write is confirmed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress

import pytest

from canvasbeam.cluster import codec
from canvasbeam.cluster.worker_items import is_end_of_worker, worker_item
from canvasbeam.control_plane.durable_items import FILES, KEEP_NS, DurableItems
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.item_table.items import Item, ItemTable
from canvasbeam.service_discovery.worker_registry import (
    LEFT_SEQUENCE,
    Publication,
    Worker,
    WorkerState,
    WorkerVersion,
)
from canvasbeam.storage.store import open_store
from tests.support.model_disk import ModelDisk, PowerLostError

Step = Callable[[DurableItems, ItemTable], None]


def worker(name: str, sequence: int, state: WorkerState = WorkerState.READY) -> Item:
    published = Worker(service="svc", address=f"{name}:1", zone="z1", slots=4, state=state)
    return worker_item(Publication(name, WorkerVersion(sequence), published))


def draining(name: str, sequence: int) -> Item:
    return worker(name, sequence, WorkerState.DRAINING)


def left(name: str) -> Item:
    return worker_item(Publication(name, WorkerVersion(LEFT_SEQUENCE), None))


async def settle(durable: DurableItems) -> None:
    """Return once the disk thread has finished all calls queued so far, and their results are handled."""
    for _ in range(2):
        for _ in range(3):
            await asyncio.sleep(0)
        await durable._worker.run(lambda: None)


def play(disk: ModelDisk, steps: Sequence[Step] = (), clock: Callable[[], int] = lambda: 0) -> set[Item]:
    """Start a node on a disk, run the steps, each until all is durable; return the items that the start restored."""

    async def body() -> set[Item]:
        table = ItemTable()
        durable = DurableItems(disk, table, is_end_of_worker, clock)
        loaded = await durable.load()
        assert not isinstance(loaded, Failure), loaded
        table.merge(loaded)
        writing = asyncio.create_task(durable.run())
        for step in steps:
            step(durable, table)
            await settle(durable)
        writing.cancel()
        durable.close()
        return set(loaded)

    return asyncio.run(body())


def write(items: Iterable[Item], confirmed: list[Item] | None = None) -> Step:
    written = tuple(items)
    found = [] if confirmed is None else confirmed
    return lambda durable, _: durable.store(written, lambda: found.extend(written))


def publish(*items: Item) -> Step:
    def merge(_: DurableItems, table: ItemTable) -> None:
        table.merge(items)

    return merge


def test_written_items_and_published_ends_are_restored_after_a_kill() -> None:
    disk = ModelDisk()
    play(disk, [write([left("a"), draining("b", 4)]), publish(left("c"), worker("d", 1)), write([worker("e", 2)])])
    assert play(disk.after_kill()) == {left("a"), draining("b", 4), left("c"), worker("e", 2)}


def test_only_the_newest_version_is_kept() -> None:
    disk = ModelDisk()
    confirmed: list[Item] = []
    play(disk, [write([draining("a", 4)]), write([left("a")]), write([draining("a", 4), draining("b", 2)], confirmed)])
    assert confirmed == [draining("a", 4), draining("b", 2)]
    assert play(disk) == {left("a"), draining("b", 2)}


def test_item_that_could_not_be_encoded_is_not_confirmed_as_durable(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the acknowledgement of an end that no disk has: the failed try left the item marked as queued."""
    disk = ModelDisk()
    confirmed: list[Item] = []
    encode = codec.encode

    def fail_once(durable: DurableItems, table: ItemTable) -> None:
        monkeypatch.setattr(codec, "encode", lambda message: 1 // 0)
        with pytest.raises(ZeroDivisionError):
            table.merge([left("a")])
        monkeypatch.setattr(codec, "encode", encode)

    play(disk, [fail_once, write([left("b")]), write([left("a")], confirmed)])
    assert confirmed == [left("a")]
    assert play(disk.after_kill()) == {left("a"), left("b")}


@pytest.mark.parametrize("seed", range(10))
def test_confirmed_items_survive_a_loss_of_power_at_every_operation(seed: int) -> None:
    """Guards against a confirmation before the sync: a restart of all then forgets an acknowledged end."""
    writes = [[left("a")], [draining("b", 3)], [left("b"), left("c")], [draining("d", 1)]]
    for at in range(1, 40):
        disk = ModelDisk()
        disk.lose_power_at = at
        confirmed: list[Item] = []
        with suppress(PowerLostError):
            play(disk, [write(items, confirmed) for items in writes])
        restored = {item.key: item.version for item in play(disk.after_power_loss(random.Random(seed)))}
        assert all(restored[item.key] >= item.version for item in confirmed), (at, confirmed, restored)


def test_nothing_is_confirmed_while_the_disk_refuses_writes() -> None:
    disk = ModelDisk()
    confirmed: list[Item] = []

    def fill(*_: object) -> None:
        disk.is_full = True

    play(disk, [fill, write([left("a")], confirmed)])
    assert confirmed == []


def test_items_queued_before_the_load_are_written_unless_the_disk_has_newer_ones() -> None:
    disk = ModelDisk()
    play(disk, [write([left("a"), draining("b", 2)])])

    async def body() -> list[str]:
        confirmed: list[str] = []
        durable = DurableItems(disk, ItemTable(), is_end_of_worker)
        durable.store([draining("a", 7)], lambda: confirmed.append("a"))
        durable.store([draining("b", 5)], lambda: confirmed.append("b"))
        assert confirmed == []
        await durable.load()
        writing = asyncio.create_task(durable.run())
        await settle(durable)
        writing.cancel()
        durable.close()
        return sorted(confirmed)

    assert asyncio.run(body()) == ["a", "b"]
    assert play(disk) == {left("a"), draining("b", 5)}


def test_items_are_dropped_once_the_table_has_replaced_them_for_long() -> None:
    """Guards against a store that grows with every worker that ever left."""
    disk = ModelDisk()
    now_ns = 0

    def wait(*_: object) -> None:
        nonlocal now_ns
        now_ns += KEEP_NS

    def forget(_: DurableItems, table: ItemTable) -> None:
        table.forget(left("a").kind, "a")

    def drop(durable: DurableItems, _: ItemTable) -> None:
        durable.drop_replaced()

    ends = publish(left("a"), draining("b", 2), draining("c", 2))
    play(disk, [ends, forget, publish(worker("b", 3)), drop], lambda: now_ns)
    assert play(disk) == {left("a"), draining("b", 2), draining("c", 2)}
    play(disk, [forget, publish(worker("b", 3)), wait, drop], lambda: now_ns)
    assert play(disk) == {draining("c", 2)}


def test_damaged_items_are_reported_and_nothing_is_confirmed() -> None:
    disk = ModelDisk()
    play(disk, [write([left("a")]), write([left("b")]), write([left("c")])])

    async def body() -> None:
        durable = DurableItems(disk.flip(FILES.log, 60), ItemTable(), is_end_of_worker)
        outcome = await durable.load()
        assert isinstance(outcome, Failure)
        assert outcome.code is ResultCode.DISK_CORRUPT
        durable.store([left("d")], lambda: pytest.fail("confirmed"))
        await settle(durable)
        durable.close()

    asyncio.run(body())


def test_the_store_of_the_replication_member_in_the_same_folder_is_not_touched() -> None:
    disk = ModelDisk()
    member = open_store(disk)
    assert not isinstance(member, Failure)
    assert member.update({"name": b"value"}) is None
    play(disk, [write([left("a")])])
    reopened = open_store(disk)
    assert not isinstance(reopened, Failure)
    assert dict(reopened.values) == {"name": b"value"}
