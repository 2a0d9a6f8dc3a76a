"""The receiver of document transfers: one transfer at a time, in chunks, from a node that offers a newer version.

The module does no I/O: events and the time are its input, messages are its output. Received chunks become a document
only after the last chunk, and only if the digest matches the sender's: no document ever mixes two versions.

| state | from | to |
| --- | --- | --- |
| idle | process start | waiting: a node offers a version newer than the stored one |
| waiting | | waiting: a chunk arrived, more are missing; idle: last chunk arrived, sender disconnected or timed out |

After a delta with a wrong base or a digest mismatch, the complete document is requested. While a transfer is running, a
newer offer only replaces the recorded offer: versions between the two are skipped.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from canvasbeam.distribution.document_messages import DocumentChunk, DocumentRequest, TransferId
from canvasbeam.item_table.document import Document, DocumentDelta
from canvasbeam.item_table.items import Version
from canvasbeam.runtime.settings import Address
from canvasbeam.units import MILLISECOND

CHUNK_TIMEOUT_NS = 700 * MILLISECOND  # timeout for the answer to one chunk request


@dataclass(frozen=True, slots=True)
class VersionedDocument:
    """A document and its version."""

    version: Version
    document: Document


@dataclass(slots=True)
class _Collected:
    """The changes in all received chunks of a transfer."""

    transfer: TransferId
    chunk_count: int
    changed: dict[str, bytes] = field(default_factory=dict)
    removed: list[str] = field(default_factory=list)


@dataclass(slots=True)
class _PendingRequest:
    """The pending request for a chunk."""

    sender: Address
    requested_at: int
    collected: _Collected | None = None
    next_chunk: int = 0  # number of the requested chunk


@dataclass(frozen=True, slots=True)
class _Offer:
    sender: Address
    version: Version


@dataclass(frozen=True, slots=True)
class Received:
    """The result of handling a chunk: the next request to its sender, a completed document, both, or neither."""

    request: DocumentRequest | None = None
    document: VersionedDocument | None = None


class DocumentReceiver:
    """The state of one node's incoming transfer, and the stored document."""

    def __init__(self) -> None:
        self.mismatches = 0  # transfers with a digest mismatch, since process start
        self._version: Version | None = None
        self._stored: VersionedDocument | None = None
        self._waiting: _PendingRequest | None = None
        self._offer: _Offer | None = None
        self._needs_full_transfer = False

    def set_stored(self, version: Version, document: Document | None) -> None:
        """Set the stored version, however received; `document` is None if the version cannot be the base of a delta."""
        self._version = version
        self._stored = VersionedDocument(version, document) if document is not None else None

    def on_offer(self, now: int, sender: Address, version: Version) -> DocumentRequest | None:
        """Record that `sender` stores `version`; return a request to the sender, or None if no transfer is to start."""
        if not self._lacks(version):
            return None
        if self._offer is None or self._offer.sender == sender or self._offer.version < version:
            self._offer = _Offer(sender, version)
        if self._waiting is not None and now - self._waiting.requested_at < CHUNK_TIMEOUT_NS:
            return None
        return self._request_from(now, sender)

    def on_chunk(self, now: int, sender: Address, chunk: DocumentChunk) -> Received:
        """Handle a chunk; ignore a chunk other than the requested one."""
        waiting = self._waiting
        if waiting is None or waiting.sender != sender:
            return Received()
        collected = self._collect(waiting, chunk)
        if collected is None:
            return Received()
        waiting.requested_at = now
        if waiting.next_chunk < collected.chunk_count:
            return Received(DocumentRequest(self._base(), collected.transfer, waiting.next_chunk))
        return self._complete(now, waiting, collected, chunk.digest)

    def on_disconnected(self, address: Address) -> None:
        """Abort the transfer from `address` and drop the offer of that node, because its connection failed."""
        if self._waiting is not None and self._waiting.sender == address:
            self._waiting = None
        if self._offer is not None and self._offer.sender == address:
            self._offer = None

    # --- helpers ----------------------------------------------------------------------------------

    def _lacks(self, version: Version) -> bool:
        return self._version is None or self._version < version

    def _base(self) -> Version | None:
        return None if self._stored is None or self._needs_full_transfer else self._stored.version

    def _request_from(self, now: int, sender: Address) -> DocumentRequest:
        """Enter state `waiting` for a new transfer; no other method enters this state."""
        self._waiting = _PendingRequest(sender, now)
        return DocumentRequest(self._base())

    def _collect(self, waiting: _PendingRequest, chunk: DocumentChunk) -> _Collected | None:
        """Add a chunk to its transfer; a first chunk starts the transfer. Return None for an unexpected chunk."""
        if chunk.chunk == 0 and waiting.next_chunk == 0:
            waiting.collected = _Collected(chunk.transfer, chunk.chunk_count)
        elif chunk.chunk == 0 and waiting.collected is not None and chunk.transfer != waiting.collected.transfer:
            waiting.collected, waiting.next_chunk = _Collected(chunk.transfer, chunk.chunk_count), 0
        collected = waiting.collected
        if collected is None or chunk.transfer != collected.transfer or chunk.chunk != waiting.next_chunk:
            return None
        collected.changed.update(chunk.delta.changed)
        collected.removed.extend(chunk.delta.removed)
        waiting.next_chunk += 1
        return collected

    def _complete(self, now: int, waiting: _PendingRequest, collected: _Collected, digest: int) -> Received:
        self._waiting = None
        complete = self._assemble(collected, digest)
        if complete is None:
            self._needs_full_transfer = collected.transfer.base is not None
            # Request the complete document at once; if a complete transfer failed, wait for the next offer.
            return Received(self._request_from(now, waiting.sender) if self._needs_full_transfer else None)
        self._needs_full_transfer = False
        if not self._lacks(complete.version):
            return Received()
        self.set_stored(complete.version, complete.document)
        return Received(self._request_offer(now, waiting.sender), complete)

    def _assemble(self, collected: _Collected, digest: int) -> VersionedDocument | None:
        """Return the document assembled from the chunks, or None after a wrong base or a digest mismatch."""
        base = collected.transfer.base
        document = Document()
        if base is not None:
            if self._stored is None or self._stored.version != base:
                return None
            document = self._stored.document
        document = document.apply(DocumentDelta(collected.changed, tuple(collected.removed)))
        if document.digest != digest:
            self.mismatches += 1
            return None
        return VersionedDocument(collected.transfer.version, document)

    def _request_offer(self, now: int, sender: Address) -> DocumentRequest | None:
        """Return a request for a newer version that `sender` offered during the transfer, or None."""
        offer, self._offer = self._offer, None
        if offer is None or offer.sender != sender or not self._lacks(offer.version):
            return None
        return self._request_from(now, sender)
