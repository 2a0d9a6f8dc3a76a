"""The transfer of the configuration to and from one node, if the configuration is a document.

The module does no I/O. It combines the receiver and the sender of documents, and keeps the index of the newest known
configuration. The index is announced ahead of the configuration, so that an outdated node can report its state.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from canvasbeam.distribution.document_messages import Announce, DocumentChunk, DocumentRequest
from canvasbeam.distribution.document_receiver import DocumentReceiver, Received
from canvasbeam.distribution.document_sender import DocumentSender
from canvasbeam.item_table.items import CURRENT, Item, ItemKind, Version
from canvasbeam.runtime.settings import Address


class DocumentExchange:
    """The receiver and the sender of the configuration on one node."""

    def __init__(self) -> None:
        self.stored = 0  # index of the stored configuration
        self.newest = 0  # index of the newest known configuration
        self._receiver = DocumentReceiver()
        self._sender = DocumentSender()

    @property
    def is_behind(self) -> bool:
        """True if a newer configuration than the stored one is known."""
        return self.newest > self.stored

    def on_items(self, items: Iterable[Item]) -> None:
        """Record a new configuration among items that were merged into the table."""
        for item in items:
            if item.kind is ItemKind.CONFIGURATION and item.key == CURRENT and not item.deleted:
                self.stored = item.version.major
                self.newest = max(self.newest, self.stored)
                self._receiver.set_stored(item.version, item.document)
                if item.document is not None:
                    self._sender.set_stored(item.version, item.document)

    def record_newest(self, index: int) -> Announce | None:
        """Record the index of a known configuration; return an announcement if it is the newest known so far."""
        if index <= self.newest:
            return None
        self.newest = index
        return Announce(self.stored, index)

    def on_offer(self, now: int, sender: Address, message: Announce) -> Sequence[DocumentRequest | Announce]:
        """Return a request if the sender stores a newer configuration; announce a stored one unknown to the sender."""
        if message.stored < self.stored:
            return (Announce(self.stored, self.newest),) if message.newest < self.stored else ()
        request = self._receiver.on_offer(now, sender, Version(message.stored))
        return (request,) if request is not None else ()

    def on_request(self, request: DocumentRequest) -> DocumentChunk | None:
        """Return the requested chunk, or None if this node has no newer document than the requester."""
        return self._sender.answer(request)

    def on_chunk(self, now: int, sender: Address, chunk: DocumentChunk) -> Received:
        """Handle a chunk; return the next request and the completed document, if any."""
        return self._receiver.on_chunk(now, sender, chunk)

    def on_disconnected(self, address: Address) -> None:
        """Handle the failure of the connection to `address`."""
        self._receiver.on_disconnected(address)
