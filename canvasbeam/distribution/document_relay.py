"""The relaying of the configuration through this node, if the configuration is a document.

The module does no I/O: document messages are its input, chunks and announcements are its output. It connects the
transfer of documents (`document_exchange.py`) with the item table and with the children. Children are notified of a
newer configuration at once, long before this node stores that configuration.
"""

from __future__ import annotations

from canvasbeam.distribution.document_exchange import DocumentExchange
from canvasbeam.distribution.document_messages import Announce, DocumentChunk, DocumentRequest
from canvasbeam.distribution.outbox import Outbox
from canvasbeam.distribution.pushes import Pushes
from canvasbeam.distribution.relay_children import RelayChildren
from canvasbeam.item_table.items import CURRENT, Item, ItemKind
from canvasbeam.runtime.settings import Address


class DocumentRelay:
    """Relays the configuration document through one node, to its children in the relay tree."""

    def __init__(self, documents: DocumentExchange, pushes: Pushes, children: RelayChildren, outbox: Outbox) -> None:
        self._documents = documents
        self._pushes = pushes
        self._children = children
        self._outbox = outbox

    def record_newest(self, index: int) -> None:
        """Record the index of a known configuration; announce an index higher than all before to the children."""
        announcement = self._documents.record_newest(index)
        if announcement is not None:
            self._children.send(announcement)

    def on_announce(self, now: int, sender: Address, message: Announce) -> None:
        """Request a configuration that is newer than the stored one; announce a stored one unknown to the sender."""
        self.record_newest(message.newest)
        self._outbox.reply(sender, self._documents.on_offer(now, sender, message))

    def on_request(self, now: int, sender: Address, message: DocumentRequest) -> None:
        """Send the requested chunk, if this node has a newer document than the requester."""
        chunk = self._documents.on_request(message)
        if chunk is not None:
            self._outbox.send((sender,), chunk)

    def on_chunk(self, now: int, sender: Address, message: DocumentChunk) -> None:
        """Handle a chunk; merge a completed document into the table and announce it to the neighbours."""
        received = self._documents.on_chunk(now, sender, message)
        if received.document is not None:
            version, document = received.document.version, received.document.document
            item = Item(ItemKind.CONFIGURATION, CURRENT, version, document=document)
            self._pushes.merge(now, [item], sender)
        if received.request is not None:
            self._outbox.send((sender,), received.request)
