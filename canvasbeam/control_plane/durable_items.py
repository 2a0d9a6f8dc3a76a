"""Keep items durable on the disk of a control node, so that what a majority has confirmed survives a restart of all.

The item table is in memory. The acknowledgement of a worker's end (`registry.py`) guarantees that no request follows,
and that of a warm-up that few follow, also after all control nodes have restarted at once. Each control node therefore
confirms a write only after the items of the write are on its disk; since a majority confirms, a node that still has its
disk publishes the items again.

An item reaches the disk as part of a write (`store`), or because `is_kept` selects it among the changed items of the
table (`on_items`), whichever node published it: so a node that missed the write stores the item too.

| state of an item | entered by | next states |
| --- | --- | --- |
| queued | a version that is newer than the kept one | durable |
| durable | the sync of the batch that contains the item | queued, by a newer version; dropped |
| dropped | `KEEP_NS` after it was queued, if the table has forgotten or replaced it | queued, by a newer version |

`worker_snapshot.py` restores workers too, but only as a hint of whom to use. A snapshot may be older than an item kept
here, therefore the items here must be in the table first.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from canvasbeam.cluster import codec
from canvasbeam.control_plane.disk_worker import DiskWorker
from canvasbeam.distribution.messages import Update
from canvasbeam.errors import Failure
from canvasbeam.item_table.items import Item, ItemName, ItemTable, Version
from canvasbeam.runtime.logs import get_logger
from canvasbeam.storage.disk import Disk
from canvasbeam.storage.store import Store, StoreFiles
from canvasbeam.units import SECOND

FILES = StoreFiles.with_prefix("items-")
# Longer than the age at which a worker snapshot is still used, so that no snapshot outlives what contradicts it.
KEEP_NS = 60 * SECOND
DROP_INTERVAL_S = 3.0

log = get_logger(__name__)

OnDurable = Callable[[], None]
KeptItems = Callable[[Item], bool]


@dataclass(slots=True)
class _Entry:
    """The newest version of an item that is queued or durable."""

    version: Version
    batch: int  # number of the batch that contains this version
    queued_at_ns: int


@dataclass(frozen=True, slots=True)
class _Waiter:
    """A call of `store` that waits until a batch is durable."""

    batch: int
    on_durable: OnDurable


class DurableItems:
    """The items that one control node keeps on disk. Call `load` once, then let `run` and `run_drops` run."""

    def __init__(
        self, disk: Disk, table: ItemTable, is_kept: KeptItems, clock: Callable[[], int] = time.monotonic_ns
    ) -> None:
        self._disk = disk
        self._table = table
        self._is_kept = is_kept
        self._clock = clock
        self._worker = DiskWorker(_log_health)
        self._store: Store | None = None
        self._is_damaged = False  # True if the stored items are unreadable, so that nothing can become durable
        self._entries: dict[ItemName, _Entry] = {}
        self._queued: dict[str, bytes | None] = {}  # the next batch: encoded items by name, None to remove
        self._next_batch = 1
        self._durable_batch = 0  # all batches up to this number are durable
        self._waiters: list[_Waiter] = []
        self._has_queued = asyncio.Event()
        table.add_listener(self.on_items)

    # --- start --------------------------------------------------------------------------------------

    async def load(self) -> tuple[Item, ...] | Failure:
        """Return the kept items, retrying after disk errors without a time limit; a damaged store is a `Failure`.

        After a failure nothing becomes durable, so that this node confirms no write with items.
        """
        store = await self._worker.open(self._disk, FILES, _log_open_failure)
        if isinstance(store, Failure):
            self._is_damaged = True
            return store
        items = tuple(item for value in store.values.values() for item in _decode(value))
        for item in items:
            self._add_loaded(item)
        self._store = store
        return items

    def _add_loaded(self, item: Item) -> None:
        """Record an item that is durable already, unless a newer version was queued while the store was opened."""
        entry = self._entries.get(item.name)
        if entry is not None and entry.version > item.version:
            return
        self._queued.pop(_name(item), None)
        self._entries[item.name] = _Entry(item.version, 0, self._clock())

    # --- items --------------------------------------------------------------------------------------

    def store(self, items: Iterable[Item], on_durable: OnDurable) -> None:
        """Call `on_durable` once these items, or newer versions of them, are durable; at once if they are already.

        `on_durable` is never called if the stored items are damaged.
        """
        if self._is_damaged:
            return
        batch = max((self._queue(item) for item in items), default=0)
        if batch <= self._durable_batch:
            on_durable()
        else:
            self._waiters.append(_Waiter(batch, on_durable))

    def on_items(self, items: Sequence[Item]) -> None:
        """Queue the changed items of the table that are to be kept."""
        if self._is_damaged:
            return
        for item in items:
            if self._is_kept(item):
                self._queue(item)

    def _queue(self, item: Item) -> int:
        """Queue an item that is newer than the kept version; return the number of the batch to wait for."""
        entry = self._entries.get(item.name)
        if entry is not None and entry.version >= item.version:
            return entry.batch
        encoded = codec.encode(Update((item,)))  # first, so that an item counts as queued only if it is
        self._entries[item.name] = _Entry(item.version, self._next_batch, self._clock())
        self._queued[_name(item)] = encoded
        self._has_queued.set()
        return self._next_batch

    def drop_replaced(self) -> None:
        """Queue the removal of items kept for `KEEP_NS` that the table has forgotten or replaced by a newer version."""
        kept_since_ns = self._clock() - KEEP_NS
        for name, entry in tuple(self._entries.items()):
            if entry.queued_at_ns <= kept_since_ns and self._is_replaced(name, entry):
                del self._entries[name]
                self._queued[_name_of(name)] = None
                self._has_queued.set()

    def _is_replaced(self, name: ItemName, entry: _Entry) -> bool:
        current = self._table.get(*name)
        return current is None or current.version > entry.version

    # --- tasks --------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Write what is queued, a batch at a time, until cancelled; a batch is retried until it is durable."""
        if self._store is None:
            raise RuntimeError("DurableItems.run was called before DurableItems.load")
        while True:
            await self._has_queued.wait()
            self._has_queued.clear()
            await self._write_batch(self._store)

    async def run_drops(self) -> None:
        """Call `drop_replaced` every `DROP_INTERVAL_S` seconds until cancelled."""
        while True:
            await asyncio.sleep(DROP_INTERVAL_S)
            self.drop_replaced()

    def close(self) -> None:
        """Stop the thread that accesses the disk, without waiting for a running write."""
        self._worker.close()

    async def _write_batch(self, store: Store) -> None:
        updates, self._queued = self._queued, {}
        batch = self._next_batch
        self._next_batch += 1
        await self._worker.write(store, updates)
        self._durable_batch = batch
        finished = [waiter for waiter in self._waiters if waiter.batch <= batch]
        self._waiters = [waiter for waiter in self._waiters if waiter.batch > batch]
        loop = asyncio.get_running_loop()
        for waiter in finished:
            loop.call_soon(waiter.on_durable)  # a fault in one call must not end the writing of batches


def _name(item: Item) -> str:
    return _name_of(item.name)


def _name_of(name: ItemName) -> str:
    """Return the name of an item in the store."""
    kind, key = name
    return f"{int(kind)}/{key}"


def _decode(value: bytes) -> tuple[Item, ...]:
    """Return the items in a stored value; none if a later release wrote a kind that this release does not know."""
    message = codec.decode(value)
    return message.items if isinstance(message, Update) else ()


def _log_open_failure(failure: Failure | None) -> None:
    if failure is not None:
        log.warning("items not loaded action=retried failure={}", failure)


def _log_health(fault: Failure | None) -> None:
    if fault is None:
        log.info("items durable again")
    else:
        log.warning("items not durable action=retried failure={}", fault)
