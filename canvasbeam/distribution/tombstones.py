"""The expiry of tombstones of deleted items: late enough that no node can restore the item.

The module does no I/O. It owns only the expiry times; the tombstones are in the item table.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasbeam.item_table.items import Item, ItemName, ItemTable, Version

MAX_EXAMINED_PER_CALL = 64  # tombstones examined per call, to bound the duration of a call


@dataclass(frozen=True, slots=True)
class _Tombstone:
    version: Version
    expires_at: int  # expiry time, nanoseconds


class Tombstones:
    """The expiry times of the tombstones that this node has merged, in order of expiry."""

    def __init__(self, table: ItemTable, keep_ns: int) -> None:
        self._table = table
        self._keep_ns = keep_ns
        self._tombstones: dict[ItemName, _Tombstone] = {}

    def record(self, now: int, item: Item) -> None:
        """Record a tombstone that was merged into the table."""
        self._tombstones[item.name] = _Tombstone(item.version, now + self._keep_ns)

    def forget_due(self, now: int) -> None:
        """Remove expired tombstones from the table, except those that another version has replaced."""
        for name, tombstone in tuple(self._tombstones.items())[:MAX_EXAMINED_PER_CALL]:
            if tombstone.expires_at > now:
                return
            del self._tombstones[name]
            stored = self._table.get(*name)
            if stored is not None and stored.deleted and stored.version == tombstone.version:
                self._table.forget(*name)
