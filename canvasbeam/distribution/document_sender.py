"""The sender of document transfers: a delta if the history allows, else the complete document, in bounded chunks.

The module does no I/O. The receiver requests each chunk, so at most one chunk per receiver is in flight: a slow link
delays no more than one chunk. A receiver can finish a transfer after the document was replaced, because the sender
keeps the `MAX_TRANSFERS` transfers started last.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from canvasbeam.distribution.document_history import DocumentHistory
from canvasbeam.distribution.document_messages import DocumentChunk, DocumentRequest, TransferId
from canvasbeam.item_table.document import Document
from canvasbeam.item_table.items import Version

MAX_CHUNK_BYTES = 96 << 10  # keys and entries, uncompressed; compression reduces them to about a tenth
MAX_TRANSFERS = 4  # transfers kept, least recently started dropped first


@dataclass(frozen=True, slots=True)
class Transfer:
    """One transfer, shared by all receivers with the same base and version."""

    id: TransferId
    document: Document
    chunks: tuple[tuple[str, ...], ...]  # the keys of each chunk

    def chunk(self, number: int) -> DocumentChunk:
        """Return the chunk with this number, from 0."""
        delta = self.document.delta_of(self.chunks[number])
        return DocumentChunk(self.id, number, len(self.chunks), self.document.digest, delta)


class DocumentSender:
    """Answers the document requests of other nodes."""

    def __init__(self) -> None:
        self._history = DocumentHistory()
        self._version: Version | None = None
        self._document = Document()
        self._transfers: OrderedDict[TransferId, Transfer] = OrderedDict()

    def set_stored(self, version: Version, document: Document) -> None:
        """Set the stored document and its version; record the change in the history."""
        if self._version is not None:
            self._history.record_change(self._version, self._document, document)
        self._version, self._document = version, document

    def answer(self, request: DocumentRequest) -> DocumentChunk | None:
        """Return the requested chunk, or the first chunk of a new transfer; None if the requester is up to date."""
        if request.transfer is not None and request.chunk:
            transfer = self._transfers.get(request.transfer)
            if transfer is not None and request.chunk < len(transfer.chunks):
                return transfer.chunk(request.chunk)
        if self._version is None or (request.base is not None and request.base >= self._version):
            return None
        return self._begin_transfer(self._version, request.base).chunk(0)

    def _begin_transfer(self, version: Version, base: Version | None) -> Transfer:
        keys = self._history.keys_since(base) if base is not None else None
        transfer_id = TransferId(version, base if keys is not None else None)
        transfer = self._transfers.get(transfer_id)
        if transfer is None:
            chunks = _chunks(self._document, self._document.entries if keys is None else sorted(keys))
            transfer = self._transfers[transfer_id] = Transfer(transfer_id, self._document, chunks)
        self._transfers.move_to_end(transfer_id)
        if len(self._transfers) > MAX_TRANSFERS:
            self._transfers.popitem(last=False)
        return transfer


def _chunks(document: Document, keys: Iterable[str]) -> tuple[tuple[str, ...], ...]:
    """Return the keys in groups of at most `MAX_CHUNK_BYTES` (more for one large entry); always at least one group."""
    groups: list[tuple[str, ...]] = []
    group: list[str] = []
    size = 0
    for key in keys:
        length = len(key) + len(document.entries.get(key, b""))
        if group and size + length > MAX_CHUNK_BYTES:
            groups.append(tuple(group))
            group, size = [], 0
        group.append(key)
        size += length
    groups.append(tuple(group))
    return tuple(groups)
