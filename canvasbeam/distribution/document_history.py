"""A bounded history of the keys that changed between successive versions of a document.

The module does no I/O. The history covers the versions that this process has stored: a delta cannot start from
a version that the process skipped.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from canvasbeam.item_table.document import Document
from canvasbeam.item_table.items import Version

MAX_CHANGES = 64
MAX_KEYS = 8192  # sum of the number of keys in all kept changes


@dataclass(frozen=True, slots=True)
class DocumentChange:
    """The keys that changed from version `before` to the next version that this process stored."""

    before: Version
    keys: frozenset[str]


class DocumentHistory:
    """The changes that led to the stored document, oldest first."""

    def __init__(self) -> None:
        self._changes: deque[DocumentChange] = deque()
        self._key_count = 0

    def record_change(self, before: Version, old: Document, new: Document) -> None:
        """Record that document `old`, of version `before`, was replaced by `new`."""
        change = DocumentChange(before, new.changed_keys(old))
        self._changes.append(change)
        self._key_count += len(change.keys)
        while len(self._changes) > MAX_CHANGES or self._key_count > MAX_KEYS:
            self._key_count -= len(self._changes.popleft().keys)

    def keys_since(self, base: Version) -> frozenset[str] | None:
        """Return the keys that changed since version `base`, or None if the history does not contain `base`."""
        keys: set[str] = set()
        for change in reversed(self._changes):
            keys |= change.keys
            if change.before == base:
                return frozenset(keys)
        return None
