"""Encode and decode the messages that transfer documents.

A received message may have arbitrary wrong content, so its cost is bounded: a chunk unpacks to at most
`compression.MAX_UNPACKED_BYTES` bytes. This module translates the names on the wire: `piece` is a chunk; `held` is the
version that a node stores (in an announcement) or the base version (in a request).
"""

from __future__ import annotations

from canvasbeam.cluster import distribution_pb2 as wire
from canvasbeam.cluster.compression import pack, unpack
from canvasbeam.distribution.document_messages import (
    Announce,
    DocumentChunk,
    DocumentMessage,
    DocumentRequest,
    TransferId,
)
from canvasbeam.item_table.document import DIGEST_BYTES, DocumentDelta
from canvasbeam.item_table.items import Version


def write(body: wire.DistributionMessage, message: DocumentMessage) -> None:
    """Write a document message into the body of a `DistributionMessage`."""
    match message:
        case Announce():
            body.announce.CopyFrom(wire.Announce(held=message.stored, newest=message.newest))
        case DocumentRequest():
            body.document_request.CopyFrom(_request(message))
        case DocumentChunk():
            body.document_piece.CopyFrom(_chunk(message))


def read_announce(record: wire.Announce) -> Announce:
    """Return the announcement in a wire record."""
    return Announce(record.held, record.newest)


def _request(message: DocumentRequest) -> wire.DocumentRequest:
    record = wire.DocumentRequest(piece=message.chunk)
    if message.base is not None:
        record.held.CopyFrom(_version_record(message.base))
    if message.transfer is not None:
        record.transfer.CopyFrom(_transfer_record(message.transfer))
    return record


def read_request(record: wire.DocumentRequest) -> DocumentRequest:
    """Return the document request in a wire record."""
    base = _version(record.held) if record.HasField("held") else None
    transfer = _transfer(record.transfer) if record.HasField("transfer") else None
    return DocumentRequest(base, transfer, record.piece)


def _chunk(message: DocumentChunk) -> wire.DocumentPiece:
    return wire.DocumentPiece(
        transfer=_transfer_record(message.transfer),
        piece=message.chunk,
        pieces=message.chunk_count,
        digest=message.digest.to_bytes(DIGEST_BYTES, "big"),
        delta=pack(_delta_record(message.delta).SerializeToString()),
    )


def read_chunk(record: wire.DocumentPiece) -> DocumentChunk:
    """Return the chunk in a wire record; raise `ValueError` or `DecodeError` if the record is invalid."""
    delta = wire.DocumentDelta.FromString(unpack(record.delta))
    return DocumentChunk(
        _transfer(record.transfer),
        record.piece,
        record.pieces,
        int.from_bytes(record.digest, "big"),
        DocumentDelta({entry.key: entry.value for entry in delta.changed}, tuple(delta.removed)),
    )


def _delta_record(delta: DocumentDelta) -> wire.DocumentDelta:
    changed = [wire.DocumentEntry(key=key, value=value) for key, value in delta.changed.items()]
    return wire.DocumentDelta(changed=changed, removed=delta.removed)


def _transfer_record(transfer: TransferId) -> wire.TransferId:
    record = wire.TransferId(version=_version_record(transfer.version))
    if transfer.base is not None:
        record.base.CopyFrom(_version_record(transfer.base))
    return record


def _transfer(record: wire.TransferId) -> TransferId:
    return TransferId(_version(record.version), _version(record.base) if record.HasField("base") else None)


def _version_record(version: Version) -> wire.VersionNumber:
    return wire.VersionNumber(major=version.major, minor=version.minor)


def _version(record: wire.VersionNumber) -> Version:
    return Version(record.major, record.minor)
