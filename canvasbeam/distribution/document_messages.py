"""The messages that transfer a document from a node that stores it to a node that lacks it."""

from __future__ import annotations

from dataclasses import dataclass

from canvasbeam.item_table.document import DocumentDelta
from canvasbeam.item_table.items import Version


@dataclass(frozen=True, slots=True)
class Announce:
    """The indexes of the sender's stored and newest known configuration; sent as soon as either changes."""

    stored: int  # index of the stored configuration
    newest: int  # index of the newest known configuration


@dataclass(frozen=True, slots=True)
class TransferId:
    """The identity of a transfer: a version of the document, as a delta from `base`, or complete if `base` is None."""

    version: Version
    base: Version | None = None


@dataclass(frozen=True, slots=True)
class DocumentRequest:
    """A request for the newest document, or for the next chunk of a transfer."""

    base: Version | None  # the version stored by the requester; None to request the complete document
    transfer: TransferId | None = None
    chunk: int = 0  # number of the requested chunk, from 0


@dataclass(frozen=True, slots=True)
class DocumentChunk:
    """One chunk of a transfer; all chunks of a transfer together form the delta from the base."""

    transfer: TransferId
    chunk: int
    chunk_count: int
    digest: int  # digest of the complete resulting document
    delta: DocumentDelta


DocumentMessage = Announce | DocumentRequest | DocumentChunk
