"""Documents: large values of the item table that are stored, compared and sent entry by entry, such as configurations.

A document is immutable. Its digest is the sum of the digests of its entries, so the digest of a changed document is
computed from the changed entries alone. Two documents with the same digest contain the same entries.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

DIGEST_BYTES = 16
_DIGEST_RANGE = 1 << (8 * DIGEST_BYTES)


@dataclass(frozen=True, slots=True)
class DocumentDelta:
    """The difference between two documents: the entries to add or replace, and the keys to remove."""

    changed: Mapping[str, bytes]
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Document:
    """Entries by key, and the digest of all entries. Create documents only by `of` and `apply`."""

    entries: Mapping[str, bytes] = field(default_factory=dict)
    digest: int = 0

    @classmethod
    def of(cls, entries: Mapping[str, bytes]) -> Document:
        """Return a document with `entries`; compute its digest."""
        return cls(entries, sum_of_digests(entries.items()))

    def apply(self, delta: DocumentDelta) -> Document:
        """Return the document that results from a delta; unchanged entries are shared with this document."""
        entries = dict(self.entries)
        old_entries = [(key, entries.pop(key)) for key in (*delta.removed, *delta.changed) if key in entries]
        entries.update(delta.changed)
        digest = self.digest - sum_of_digests(old_entries) + sum_of_digests(delta.changed.items())
        return Document(entries, digest % _DIGEST_RANGE)

    def changed_keys(self, before: Document) -> frozenset[str]:
        """Return the keys whose entries differ from those of the document `before`, or exist in only one of the two."""
        old, new = before.entries, self.entries
        changed = {key for key, value in new.items() if old.get(key) != value}
        if len(old) + len(changed) != len(new):
            changed |= old.keys() - new.keys()
        return frozenset(changed)

    def delta_of(self, keys: Iterable[str]) -> DocumentDelta:
        """Return the delta to this document from a document that differs from it at most in `keys`."""
        wanted = tuple(keys)
        changed = {key: self.entries[key] for key in wanted if key in self.entries}
        return DocumentDelta(changed, tuple(key for key in wanted if key not in changed))


def sum_of_digests(entries: Iterable[tuple[str, bytes]]) -> int:
    """Return the contribution of `entries` to the digest of a document, modulo the digest range."""
    total = 0
    for key, value in entries:
        name = key.encode()
        hashed = blake2b(name, digest_size=DIGEST_BYTES, salt=len(name).to_bytes(4, "big"))
        hashed.update(value)
        total += int.from_bytes(hashed.digest(), "big")
    return total % _DIGEST_RANGE
