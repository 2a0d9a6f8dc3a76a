"""Reconciliation of two item tables: compare digests, then versions of the kinds that differ, then send newer items.

The module does no I/O and has no state: each function returns the messages that answer one message.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from canvasbeam.distribution.document_messages import Announce
from canvasbeam.distribution.messages import (
    Compare,
    Digests,
    Message,
    Request,
    Update,
    VersionRecord,
    Versions,
)
from canvasbeam.item_table.items import CURRENT, Item, ItemKind, ItemTable, Version
from canvasbeam.leases.contact import ControlVersions


def digests(table: ItemTable) -> Digests:
    """Return the digests of all kinds of items in the table; kinds with digest 0 are left out."""
    found = {kind: table.digest(kind) for kind in ItemKind}
    return {kind: digest for kind, digest in found.items() if digest}


def answer_digests(table: ItemTable, theirs: Digests, update_bytes: int) -> Iterator[Message]:
    """Yield, for each kind whose digest differs from `theirs`, all items if the other node has none, else the versions.

    A document is announced in both cases; the receiver then requests the parts that it lacks.
    """
    for kind in ItemKind:
        local_digest, remote_digest = table.digest(kind), theirs.get(kind, 0)
        if local_digest == remote_digest:
            continue
        items = table.of_kind(kind)
        if remote_digest == 0 or any(item.document is not None for item in items):
            yield from updates(items, update_bytes)
        else:
            yield Versions(kind, tuple(map(_record, table.all_of_kind(kind))))


def answer_versions(table: ItemTable, message: Versions, update_bytes: int) -> Iterator[Message]:
    """Yield the items that are newer in the local table, and a request for the items that are newer at the sender.

    A tombstone is neither sent to a node that lacks the item nor requested by such a node: nodes forget tombstones at
    different times, so they would pass the tombstone round for ever.
    """
    theirs = {record.key: record for record in message.records}
    newer = []
    for item in table.all_of_kind(message.kind):
        record = theirs.get(item.key)
        if (record is None and not item.deleted) or (record is not None and record.version < item.version):
            newer.append(item)
    yield from updates(newer, update_bytes)
    wanted = tuple(record for record in message.records if _is_wanted(table, message.kind, record))
    if wanted:
        yield Request(message.kind, wanted)


def answer_request(table: ItemTable, message: Request, update_bytes: int) -> Iterator[Message]:
    """Yield the requested items whose local version is at least the requested version."""
    found = (table.get(message.kind, record.key) for record in message.records)
    pairs = zip(message.records, found, strict=True)
    items = [item for record, item in pairs if item is not None and item.version >= record.version]
    yield from updates(items, update_bytes)


def request_newer(table: ItemTable, versions: ControlVersions) -> Iterator[Request]:
    """Yield a request for each of configuration and evacuations whose index in `versions` exceeds the stored index."""
    own_versions = ControlVersions.of(table)
    if versions.configuration > own_versions.configuration:
        yield _request_current(ItemKind.CONFIGURATION, versions.configuration)
    if versions.evacuations > own_versions.evacuations:
        yield _request_current(ItemKind.EVACUATIONS, versions.evacuations)


def compare(table: ItemTable) -> Compare:
    """Return a `Compare` message with the digests of `table`."""
    return Compare(digests(table))


def updates(items: Iterable[Item], update_bytes: int) -> Iterator[Update | Announce]:
    """Yield items in messages of about `update_bytes` at most, and an announcement for each document."""
    batch: list[Item] = []
    size = 0
    for item in items:
        if item.document is not None:
            yield Announce(item.version.major, item.version.major)
            continue
        length = len(item.payload) + len(item.key) + 16
        if batch and size + length > update_bytes:
            yield Update(tuple(batch))
            batch, size = [], 0
        batch.append(item)
        size += length
    if batch:
        yield Update(tuple(batch))


def _request_current(kind: ItemKind, index: int) -> Request:
    return Request(kind, (VersionRecord(CURRENT, Version(index)),))


def _record(item: Item) -> VersionRecord:
    return VersionRecord(item.key, item.version, item.deleted)


def _is_wanted(table: ItemTable, kind: ItemKind, record: VersionRecord) -> bool:
    stored = table.get(kind, record.key)
    if stored is None:
        return not record.deleted
    return stored.version < record.version
