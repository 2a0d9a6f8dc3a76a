"""The replicated item table that every node stores: one value per key, and the highest version wins.

Any node may forward an item, and items may arrive in any order and any number of times: merging is commutative and
idempotent. During one incarnation of a process the version of an item never decreases.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import IntEnum
from hashlib import blake2b

from canvasbeam.item_table.document import Document
from canvasbeam.runtime.change_listeners import ChangeListeners, raise_failures

CURRENT = "current"  # the key of the configuration and of the evacuations


class ItemKind(IntEnum):
    """The kind of object that an item describes. The values are sent on the wire."""

    CONFIGURATION = 1  # key "current"; the major version is the index of the control state
    EVACUATIONS = 2  # key "current"; the major version is the index of the control state
    WORKER = 3  # key: worker id; the major version is the sequence number of the worker's heartbeat
    MEMBER = 4  # key: node name; the major version is the incarnation of the node
    BUDGET = 5  # key: name of a shared budget


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """The version of an item: `major` is compared first, then `minor`."""

    major: int
    minor: int = 0


ItemName = tuple[ItemKind, str]  # kind and key; a plain tuple hashes fast, and each change hashes several


@dataclass(frozen=True, slots=True)
class Item:
    """One versioned value: a payload or, if the value is large and changes in parts, a document.

    `deleted` marks a tombstone, whose payload is empty.
    """

    kind: ItemKind
    key: str
    version: Version
    payload: bytes = b""
    deleted: bool = False
    document: Document | None = None

    @property
    def name(self) -> ItemName:
        """The identity of the item, which is the same in all its versions."""
        return self.kind, self.key


ChangeListener = Callable[[Sequence[Item]], None]  # called with the changed items of one batch
FailureHandler = Callable[[Sequence[Exception]], None]


class ItemTable:
    """The items of one node. Listeners are called once for each batch that changed the table.

    A listener that raises is called with each item alone, and again with the items at which it raises, at the next
    change or by `retry_listeners`; the other listeners and the table are not affected. `on_listener_failures` is called
    after all listeners, with the exceptions.
    """

    def __init__(self, on_listener_failures: FailureHandler = raise_failures) -> None:
        self._items: dict[ItemName, Item] = {}
        self._digests = dict.fromkeys(ItemKind, 0)
        self._listeners: ChangeListeners[tuple[Item, ...]] = ChangeListeners(_combine_batches, _split_batch)
        self._on_listener_failures = on_listener_failures

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[Item]:
        return iter(tuple(self._items.values()))

    def get(self, kind: ItemKind, key: str) -> Item | None:
        """Return the stored item, which may be a tombstone, or None if the key is absent."""
        return self._items.get((kind, key))

    def of_kind(self, kind: ItemKind) -> list[Item]:
        """Return all items of a kind that are not deleted."""
        return [item for item in self._items.values() if item.kind is kind and not item.deleted]

    def add_listener(self, listener: ChangeListener) -> None:
        """Register a listener, called with the items of each later batch that were new or had a higher version.

        The listener is not called with a version that the table has replaced in the meantime.
        """
        self._listeners.add(lambda items: self._deliver(listener, items))

    def retry_listeners(self) -> None:
        """Call each listener that raised with the items that it has not processed."""
        self._report(self._listeners.retry())

    @property
    def listeners_behind(self) -> int:
        """Number of listeners that raised and have not processed all changes since."""
        return self._listeners.behind_count

    def merge(self, items: Iterable[Item]) -> list[Item]:
        """Store each item that is new or has a higher version than the stored item; return the stored items."""
        changed = [item for item in items if self._store(item)]
        if changed:
            self._report(self._listeners.notify(tuple(changed)))
        return changed

    def _deliver(self, listener: ChangeListener, items: Sequence[Item]) -> None:
        current = [item for item in items if not self._is_replaced(item)]
        if current:
            listener(current)

    def _is_replaced(self, item: Item) -> bool:
        stored = self._items.get(item.name)
        return stored is not None and stored.version > item.version

    def _report(self, failures: Sequence[Exception]) -> None:
        if failures:
            self._on_listener_failures(failures)

    def _store(self, item: Item) -> bool:
        stored = self._items.get(item.name)
        if stored is not None and stored.version >= item.version:
            return False
        self._items[item.name] = item
        self._digests[item.kind] ^= _fingerprint(item) ^ (_fingerprint(stored) if stored else 0)
        return True

    def forget(self, kind: ItemKind, key: str) -> None:
        """Remove an item without leaving a tombstone; meant for tombstones whose item can no longer return."""
        stored = self._items.pop((kind, key), None)
        if stored is not None:
            self._digests[kind] ^= _fingerprint(stored)

    def all_of_kind(self, kind: ItemKind) -> list[Item]:
        """Return all items of a kind, tombstones included."""
        return [item for item in self._items.values() if item.kind is kind]

    def digest(self, kind: ItemKind) -> int:
        """Return the digest of a kind, equal on two nodes that store the same versions of all items not deleted.

        Tombstones are excluded, because each node removes tombstones at a different time.
        """
        return self._digests[kind]


def _combine_batches(earlier: Sequence[Item], later: Sequence[Item]) -> tuple[Item, ...]:
    """Return the items of two batches, of each item the version in the later batch."""
    newest = {item.name: item for item in (*earlier, *later)}
    return tuple(newest.values())


def _split_batch(items: Sequence[Item]) -> Sequence[tuple[Item, ...]]:
    return [(item,) for item in items]


def _fingerprint(item: Item) -> int:
    if item.deleted:
        return 0
    text = f"{item.key}\0{item.version.major}\0{item.version.minor}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")
