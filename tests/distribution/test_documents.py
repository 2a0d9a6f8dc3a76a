"""Documents: digests, deltas, and transfer over a network that loses, duplicates and reorders messages."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from unittest import mock

import pytest

from canvasbeam.cluster import codec
from canvasbeam.distribution import document_sender
from canvasbeam.distribution.document_exchange import DocumentExchange
from canvasbeam.distribution.document_history import MAX_CHANGES, DocumentHistory
from canvasbeam.distribution.document_messages import (
    Announce,
    DocumentChunk,
    DocumentMessage,
    DocumentRequest,
    TransferId,
)
from canvasbeam.distribution.document_receiver import CHUNK_TIMEOUT_NS, DocumentReceiver, VersionedDocument, _Collected
from canvasbeam.distribution.document_sender import DocumentSender
from canvasbeam.item_table.configuration_document import document_of, keys_of, route_key
from canvasbeam.item_table.document import Document, DocumentDelta
from canvasbeam.item_table.items import Item, ItemKind, Version
from canvasbeam.runtime.settings import Address

PARENT = Address("10.0.0.1", 7660)
OTHER = Address("10.0.0.2", 7660)


def document(**entries: str) -> Document:
    return Document.of({key: value.encode() for key, value in entries.items()})


def random_edit(rng: random.Random, before: Document) -> Document:
    """Return a copy of the document with one to four random entries changed, added or removed."""
    entries = dict(before.entries)
    for _ in range(rng.randrange(1, 5)):
        key = f"key-{rng.randrange(20)}"
        if rng.random() < 0.3:
            entries.pop(key, None)
        else:
            entries[key] = bytes([rng.randrange(4)])
    return Document.of(entries)


# --- documents ------------------------------------------------------------------------------------------------------


def test_applied_delta_yields_same_document() -> None:
    rng = random.Random(1)
    held = Document()
    for _ in range(300):
        wanted = random_edit(rng, held)
        keys = wanted.changed_keys(held)
        assert keys == {
            key for key in held.entries.keys() | wanted.entries.keys()
            if held.entries.get(key) != wanted.entries.get(key)
        }  # fmt: skip
        held = held.apply(wanted.delta_of(keys))
        assert held == wanted


def test_digest_distinguishes_keys_from_values() -> None:
    assert document(ab="c").digest != document(a="bc").digest
    assert document(a="x", b="y").digest != document(a="y", b="x").digest


def test_configuration_document_has_one_entry_per_named_item() -> None:
    route = {"name": "r", "host": "A.example", "prefix": "/a/", "service": "s"}
    configuration = {"generation": 3, "routes": [route], "services": [{"name": "s"}], "limits": {"max_body_bytes": 9}}
    made = document_of(configuration)
    assert list(keys_of(made, "routes")) == [route_key("a.example", "/a/")]
    assert len(made.entries) == 3
    changed = document_of({**configuration, "generation": 4, "routes": []}, made)
    assert changed.changed_keys(made) == {"", route_key("a.example", "/a/")}
    assert next(iter(keys_of(changed, "services"))) in changed.entries


# --- history --------------------------------------------------------------------------------------------------------


def test_history_merges_changes_since_base() -> None:
    history = DocumentHistory()
    steps = [document(a="1"), document(a="1", b="1"), document(a="2", b="1"), document(b="1")]
    for number, (old, new) in enumerate(itertools.pairwise(steps)):
        history.record_change(Version(number), old, new)
    assert history.keys_since(Version(2)) == frozenset({"a"})
    assert history.keys_since(Version(0)) == frozenset({"a", "b"})
    assert history.keys_since(Version(7)) is None


def test_history_is_bounded() -> None:
    history = DocumentHistory()
    for number in range(2 * MAX_CHANGES):
        history.record_change(Version(number), document(a=str(number)), document(a=str(number + 1)))
    assert history.keys_since(Version(MAX_CHANGES - 1)) is None
    assert history.keys_since(Version(MAX_CHANGES)) == frozenset({"a"})


# --- sender and receiver --------------------------------------------------------------------------------------------


def sender_with(*documents: Document) -> DocumentSender:
    sender = DocumentSender()
    for number, each in enumerate(documents, 1):
        sender.set_stored(Version(number), each)
    return sender


def test_known_base_is_answered_with_delta() -> None:
    sender = sender_with(document(a="1", b="1"), document(a="1", b="2"), document(b="2"))
    chunk = sender.answer(DocumentRequest(Version(1)))
    assert chunk is not None
    assert chunk.transfer == TransferId(Version(3), Version(1))
    assert chunk.delta == DocumentDelta({"b": b"2"}, ("a",))
    assert sender.answer(DocumentRequest(Version(3))) is None


def test_unknown_or_missing_base_is_answered_with_full_copy() -> None:
    sender = sender_with(document(a="1"), document(a="2"))
    for held in (None, Version(0, 5)):
        chunk = sender.answer(DocumentRequest(held))
        assert chunk is not None
        assert chunk.transfer == TransferId(Version(2))
        assert chunk.delta == DocumentDelta({"a": b"2"})


def test_large_document_is_sent_in_chunks_of_bounded_size() -> None:
    large = Document.of({f"key-{number}": bytes(20_000) for number in range(20)})
    sender, receiver = sender_with(large), DocumentReceiver()
    request = receiver.on_offer(0, PARENT, Version(1))
    chunks, received_document = 0, None
    while request is not None:
        chunk = sender.answer(request)
        assert chunk is not None
        assert sum(map(len, chunk.delta.changed.values())) <= document_sender.MAX_CHUNK_BYTES
        received = receiver.on_chunk(chunks, PARENT, chunk)
        request, received_document = received.request, received.document
        chunks += 1
    assert chunks == 5
    assert received_document == VersionedDocument(Version(1), large)


def test_started_transfer_finishes_after_document_changed() -> None:
    """Guards against a transfer that mixes chunks of two versions when the document changes meanwhile."""
    large = Document.of({f"key-{number}": bytes(50_000) for number in range(4)})
    sender, receiver = sender_with(large), DocumentReceiver()
    request = receiver.on_offer(0, PARENT, Version(1))
    assert request is not None
    first = sender.answer(request)
    assert first is not None
    sender.set_stored(Version(2), document(a="1"))
    assert receiver.on_offer(0, PARENT, Version(2)) is None
    following = receiver.on_chunk(0, PARENT, first).request
    assert following is not None
    last = sender.answer(following)
    while last is not None and last.chunk + 1 < last.chunk_count:
        following = receiver.on_chunk(0, PARENT, last).request
        assert following is not None
        last = sender.answer(following)
    assert last is not None
    received = receiver.on_chunk(0, PARENT, last)
    assert received.document == VersionedDocument(Version(1), large)
    assert received.request == DocumentRequest(Version(1))


def test_digest_mismatch_is_followed_by_request_for_full_copy() -> None:
    sender, receiver = sender_with(document(a="1"), document(a="2")), DocumentReceiver()
    receiver.set_stored(Version(1), document(a="1"))
    request = receiver.on_offer(0, PARENT, Version(2))
    assert request == DocumentRequest(Version(1))
    chunk = sender.answer(request)
    assert chunk is not None
    received = receiver.on_chunk(0, PARENT, replace(chunk, digest=chunk.digest + 1))
    assert received.document is None
    assert received.request == DocumentRequest(None)
    assert receiver.mismatches == 1
    whole = sender.answer(received.request)
    assert whole is not None
    assert receiver.on_chunk(0, PARENT, whole).document == VersionedDocument(Version(2), document(a="2"))


def test_lost_chunk_is_requested_again_after_timeout() -> None:
    receiver = DocumentReceiver()
    assert receiver.on_offer(0, PARENT, Version(1)) is not None
    assert receiver.on_offer(CHUNK_TIMEOUT_NS - 1, OTHER, Version(1)) is None
    assert receiver.on_offer(CHUNK_TIMEOUT_NS, OTHER, Version(1)) is not None


def test_transfer_restarts_from_other_sender_after_disconnect() -> None:
    receiver = DocumentReceiver()
    receiver.on_offer(0, PARENT, Version(1))
    receiver.on_disconnected(PARENT)
    assert receiver.on_offer(1, OTHER, Version(1)) is not None


def test_newest_version_number_is_announced_before_document_arrives() -> None:
    exchange = DocumentExchange()
    assert exchange.record_newest(4) == Announce(0, 4)
    assert exchange.record_newest(4) is None
    assert exchange.is_behind
    exchange.on_items([Item(ItemKind.CONFIGURATION, "current", Version(4), document=document(a="1"))])
    assert not exchange.is_behind


def test_older_announcement_is_answered_once_with_newer_version() -> None:
    """Guards against two nodes that answer each other's announcements endlessly."""
    exchange = DocumentExchange()
    exchange.on_items([Item(ItemKind.CONFIGURATION, "current", Version(4), document=document(a="1"))])
    assert exchange.on_offer(0, PARENT, Announce(3, 3)) == (Announce(4, 4),)
    assert exchange.on_offer(0, PARENT, Announce(3, 4)) == ()
    assert exchange.on_offer(0, PARENT, Announce(4, 4)) == ()


@pytest.mark.parametrize(
    "message",
    [
        Announce(3, 5),
        DocumentRequest(None),
        DocumentRequest(Version(3, 1), TransferId(Version(4), Version(3, 1)), 2),
        DocumentChunk(TransferId(Version(4)), 0, 3, 12345, DocumentDelta({"a\0b": b"1" * 5000}, ("c",))),
        DocumentChunk(TransferId(Version(4), Version(2)), 2, 3, 1 << 127, DocumentDelta({})),
    ],
)
def test_messages_round_trip_through_codec(message: DocumentMessage) -> None:
    assert codec.decode(codec.encode(message)) == message


# --- model: a chain of nodes whose links lose, duplicate and reorder messages ----------------------------------------


@dataclass
class Node:
    """A node of the chain: its document exchange, its current document and the versions that it adopted."""

    exchange: DocumentExchange = field(default_factory=DocumentExchange)
    held: VersionedDocument | None = None
    adopted: list[Version] = field(default_factory=list)

    def hold(self, held: VersionedDocument) -> None:
        self.held = held
        self.adopted.append(held.version)
        self.exchange.on_items([Item(ItemKind.CONFIGURATION, "current", held.version, document=held.document)])


class ModelViolationError(AssertionError):
    """A node adopted a document that was never published or is not newer, or missed the newest document."""


class Chain:
    """A source that edits its document, and a chain of nodes that each fetch the document from the node before."""

    def __init__(self, seed: int, length: int = 3) -> None:
        self.rng = random.Random(seed)
        self.now = 0
        self.nodes = [Node() for _ in range(length)]
        self.published: dict[Version, Document] = {}
        self.in_flight: list[tuple[int, int, DocumentMessage]] = []

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.step(with_faults=True)
        for _ in range(400):
            self.step(with_faults=False)
        newest = max(self.published)
        if any(node.held is None or node.held.version != newest for node in self.nodes):
            raise ModelViolationError("not every node adopted the newest document after the faults ended")

    def step(self, with_faults: bool) -> None:
        self.now += CHUNK_TIMEOUT_NS // 20
        rng = self.rng
        if (with_faults and rng.random() < 0.15) or not self.published:
            self.publish()
        if with_faults and rng.random() < 0.02:
            self.nodes[rng.randrange(1, len(self.nodes))] = Node()  # the process restarts without a document
        for number, node in enumerate(self.nodes[:-1]):
            if node.held is not None and rng.random() < 0.3:
                self.send(number, number + 1, Announce(node.held.version.major, node.exchange.newest), with_faults)
        for _ in range(rng.randrange(6) if with_faults else len(self.in_flight)):
            if self.in_flight:
                self.deliver(self.in_flight.pop(rng.randrange(len(self.in_flight)) if with_faults else 0), with_faults)

    def publish(self) -> None:
        source = self.nodes[0]
        before = source.held.document if source.held is not None else Document()
        version = Version(len(self.published) + 1)
        self.published[version] = random_edit(self.rng, before)
        source.hold(VersionedDocument(version, self.published[version]))

    def send(self, source: int, target: int, message: DocumentMessage, with_faults: bool) -> None:
        copies = self.rng.choice((0, 1, 1, 1, 2)) if with_faults else 1
        self.in_flight += [(source, target, message)] * copies

    def deliver(self, transmission: tuple[int, int, DocumentMessage], with_faults: bool) -> None:
        source, target, message = transmission
        node, sender = self.nodes[target], Address(f"10.0.0.{source}", 1)
        match message:
            case Announce():
                for answer in node.exchange.on_offer(self.now, sender, message):
                    self.send(target, source, answer, with_faults)
            case DocumentRequest():
                chunk = node.exchange.on_request(message)
                if chunk is not None:
                    self.send(target, source, chunk, with_faults)
            case DocumentChunk():
                received = node.exchange.on_chunk(self.now, sender, message)
                if received.document is not None:
                    self.adopt(node, received.document)
                if received.request is not None:
                    self.send(target, source, received.request, with_faults)

    def adopt(self, node: Node, held: VersionedDocument) -> None:
        if node.adopted and held.version <= node.adopted[-1]:
            raise ModelViolationError(f"adopted version {held.version} after version {node.adopted[-1]}")
        if self.published.get(held.version) != held.document:
            raise ModelViolationError(f"the document adopted as version {held.version} differs from the published one")
        node.hold(held)


@pytest.fixture
def small_chunks() -> object:
    with mock.patch.object(document_sender, "MAX_CHUNK_BYTES", 16) as patched:
        yield patched


@pytest.mark.usefixtures("small_chunks")
@pytest.mark.parametrize("seed", range(60))
def test_nodes_adopt_only_published_documents_and_reach_newest(seed: int) -> None:
    Chain(seed).run(300)


def assemble_unchecked(self: DocumentReceiver, collected: _Collected, digest: int) -> VersionedDocument:
    """Planted fault: applies a delta to the stored document, without a check of its base version and digest."""
    base = self._stored.document if self._stored is not None and collected.transfer.base is not None else Document()
    delta = DocumentDelta(collected.changed, tuple(collected.removed))
    return VersionedDocument(collected.transfer.version, base.apply(delta))


REAL_COLLECT = DocumentReceiver._collect


def collect_in_any_order(self: DocumentReceiver, waiting: object, chunk: DocumentChunk) -> object:
    """Planted fault: accepts each chunk as the next expected chunk, whatever its number."""
    number = getattr(waiting, "number", 0)
    return REAL_COLLECT(self, waiting, replace(chunk, chunk=number))  # type: ignore[arg-type]


REAL_ANSWER = DocumentSender.answer


def delta_from_any_base(self: DocumentSender, request: DocumentRequest) -> DocumentChunk | None:
    """Planted fault: answers a request from any base version with the delta of the last change alone."""
    chunk = REAL_ANSWER(self, request)
    if chunk is None or request.base is None or not self._history._changes:
        return chunk
    delta = self._document.delta_of(sorted(self._history._changes[-1].keys))
    return DocumentChunk(TransferId(chunk.transfer.version, request.base), 0, 1, chunk.digest, delta)


def always_request_delta(self: DocumentReceiver) -> Version | None:
    """Planted fault: requests a delta again after a digest mismatch, where a full copy is needed."""
    return None if self._stored is None else self._stored.version


def accept_any_version(self: DocumentReceiver, version: Version) -> bool:
    """Planted fault: treats every offered version as newer than the stored one."""
    return True


PLANTED_FAULTS: dict[str, list[tuple[object, str, Callable[..., object]]]] = {
    "digest unchecked and deltas from a wrong base": [
        (DocumentReceiver, "_assemble", assemble_unchecked),
        (DocumentSender, "answer", delta_from_any_base),
    ],
    "chunks accepted in any order and digest unchecked": [
        (DocumentReceiver, "_collect", collect_in_any_order),
        (DocumentReceiver, "_assemble", assemble_unchecked),
    ],
    "full copy never requested": [
        (DocumentReceiver, "_base", always_request_delta),
        (DocumentSender, "answer", delta_from_any_base),
    ],
    "older version accepted": [(DocumentReceiver, "_lacks", accept_any_version)],
}


@pytest.mark.usefixtures("small_chunks")
@pytest.mark.parametrize("name", PLANTED_FAULTS)
def test_model_reveals_planted_fault(name: str) -> None:
    with ExitStack() as stack:
        for owner, attribute, broken in PLANTED_FAULTS[name]:
            stack.enter_context(mock.patch.object(owner, attribute, broken))
        assert any(reveals_fault(seed) for seed in range(60))


def reveals_fault(seed: int) -> bool:
    try:
        Chain(seed).run(300)
    except ModelViolationError:
        return True
    return False
