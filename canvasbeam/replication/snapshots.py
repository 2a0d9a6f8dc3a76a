"""Transfer of states that are too large for one message, in chunks requested by the receiver.

The sender replaces the state in a message by the snapshot id (digest and length of the encoded state). The receiver
requests a few chunks at a time, so that heartbeats can pass between the chunks on a slow link, and more at a time while
chunks arrive quickly; the receiver requests a missing or damaged chunk again. The id depends on the content only:
received chunks are kept when another member offers the same snapshot, and dropped when the state has changed.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from typing import Protocol

from canvasbeam.errors import Failure
from canvasbeam.replication.control_state import ControlState
from canvasbeam.replication.messages import Chunk, FetchChunk, Fetched, Install, Send, SnapshotId
from canvasbeam.replication.views import MemberId
from canvasbeam.units import MILLISECOND, SECOND

CHUNK_BYTES = 32 << 10  # size of every chunk except the last
INITIAL_CHUNKS_IN_FLIGHT = 4
MIN_CHUNKS_IN_FLIGHT = 2
MAX_CHUNKS_IN_FLIGHT = 32
QUICK_ANSWER_NS = 200 * MILLISECOND  # an answer within this time shows that the link is not queueing yet
SLOW_ANSWER_NS = 300 * MILLISECOND  # an answer after a longer time shrinks the window
CHUNK_RETRY_NS = 600 * MILLISECOND
SNAPSHOT_IDLE_NS = 10 * SECOND  # time without progress or use after which a snapshot is dropped
MAX_CACHED_SNAPSHOTS = 2
MAX_SNAPSHOT_BYTES = 64 << 20
DIGEST_BYTES = 16

Offer = Install | Fetched  # messages that contain a state or the id of a snapshot


class StateCodec(Protocol):
    """Encodes control states as bytes, and decodes them."""

    def encode_state(self, state: ControlState) -> bytes:
        """Return the encoding of a state."""
        ...

    def decode_state(self, data: bytes) -> ControlState | Failure:
        """Return the decoded state, or a `Failure` if `data` is not a valid encoding."""
        ...


def snapshot_id(data: bytes) -> SnapshotId:
    """Return the id of an encoded state: BLAKE2b (RFC 7693) of 16 bytes, and the length."""
    return SnapshotId(blake2b(data, digest_size=DIGEST_BYTES).digest(), len(data))


class SnapshotSource:
    """Offers states to other members, and serves the chunks of large states.

    The newest snapshots stay cached until no offer or request has occurred for `SNAPSHOT_IDLE_NS`; a member that needs
    the chunks of another snapshot gets a new offer.
    """

    def __init__(self, codec: StateCodec | None, chunk_bytes: int = CHUNK_BYTES) -> None:
        self._codec = codec  # None: every state is sent in one message
        self._chunk_bytes = chunk_bytes
        self._last_offered: tuple[ControlState, ControlState | SnapshotId] | None = None
        self._cached: dict[SnapshotId, bytes] = {}
        self._is_used = False  # whether an offer or request has occurred since the last tick
        self._used_at = 0

    def offer(self, state: ControlState) -> ControlState | SnapshotId:
        """Return the state to put into a message, or the snapshot id if the state is too large for one message."""
        if self._codec is None:
            return state
        self._is_used = True
        if self._last_offered is None or self._last_offered[0] is not state:
            self._last_offered = (state, self._encode_offer(self._codec, state))
        return self._last_offered[1]

    def chunk(self, request: FetchChunk) -> Chunk | None:
        """Return the requested chunk, or None if the snapshot is not cached or the chunk number is invalid."""
        self._is_used = True
        data = self._cached.get(request.snapshot)
        begin = request.number * self._chunk_bytes
        if data is None or not 0 <= begin < len(data):
            return None
        part = data[begin : begin + self._chunk_bytes]
        return Chunk(request.snapshot, request.number, part, zlib.crc32(part))

    def tick(self, now: int) -> None:
        """Drop the cached snapshots if no offer or request has occurred for `SNAPSHOT_IDLE_NS`."""
        if self._is_used:
            self._is_used = False
            self._used_at = now
        elif now - self._used_at > SNAPSHOT_IDLE_NS:
            self._cached.clear()
            self._last_offered = None

    def _encode_offer(self, codec: StateCodec, state: ControlState) -> ControlState | SnapshotId:
        data = codec.encode_state(state)
        if len(data) <= self._chunk_bytes:
            return state
        snapshot = snapshot_id(data)
        self._cached.pop(snapshot, None)
        self._cached[snapshot] = data
        while len(self._cached) > MAX_CACHED_SNAPSHOTS:
            del self._cached[next(iter(self._cached))]
        return snapshot


@dataclass(slots=True)
class _IncomingSnapshot:
    """A partially received snapshot, and the message that waits for the complete state."""

    snapshot: SnapshotId
    source: MemberId
    offer: Offer
    progress_at: int
    chunks: dict[int, bytes] = field(default_factory=dict)
    requested_at: dict[int, int] = field(default_factory=dict)
    window: int = INITIAL_CHUNKS_IN_FLIGHT  # maximum number of requested chunks in flight


class SnapshotReceiver:
    """Receives one snapshot at a time: the last one offered in the newest epoch."""

    def __init__(self, codec: StateCodec | None, chunk_bytes: int = CHUNK_BYTES) -> None:
        self._codec = codec
        self._chunk_bytes = chunk_bytes
        self._incoming: _IncomingSnapshot | None = None

    @property
    def received_bytes(self) -> int:
        """Return the number of bytes received of the unfinished snapshot, 0 if there is none."""
        return 0 if self._incoming is None else sum(len(data) for data in self._incoming.chunks.values())

    def take_offer(self, source: MemberId, offer: Offer, now: int) -> list[Send]:
        """Start to fetch the snapshot named in an offer, or continue if some of its chunks were already received."""
        snapshot = offer.state
        if not isinstance(snapshot, SnapshotId) or self._is_outdated(offer):
            return []
        if not 0 < snapshot.size <= MAX_SNAPSHOT_BYTES:
            return []
        incoming = self._incoming
        if incoming is None or incoming.snapshot != snapshot:
            incoming = self._incoming = _IncomingSnapshot(snapshot, source, offer, now)
        elif incoming.source != source:
            incoming.requested_at.clear()
        incoming.source = source
        incoming.offer = offer
        return self._request(incoming, now)

    def take_chunk(self, chunk: Chunk, now: int) -> tuple[MemberId, Offer] | None:
        """Store an intact chunk; after the last chunk, return the source and the offer with the state filled in."""
        incoming = self._incoming
        if incoming is None or chunk.snapshot != incoming.snapshot or not self._is_intact(chunk):
            return None
        incoming.chunks[chunk.number] = chunk.data
        requested_at = incoming.requested_at.pop(chunk.number, None)
        incoming.progress_at = now
        if requested_at is not None:
            _adapt_window(incoming, now - requested_at)
        if len(incoming.chunks) < self._chunk_count(incoming.snapshot):
            return None
        self._incoming = None
        state = self._assemble_state(incoming)
        return None if state is None else (incoming.source, replace(incoming.offer, state=state))

    def tick(self, now: int) -> list[Send]:
        """Request missing and overdue chunks; drop the snapshot after `SNAPSHOT_IDLE_NS` without progress."""
        incoming = self._incoming
        if incoming is None:
            return []
        if now - incoming.progress_at > SNAPSHOT_IDLE_NS:
            self._incoming = None
            return []
        return self._request(incoming, now)

    def _is_outdated(self, offer: Offer) -> bool:
        if self._incoming is None:
            return False
        held = self._incoming.offer
        return (offer.epoch, offer.position.index) < (held.epoch, held.position.index)

    def _request(self, incoming: _IncomingSnapshot, now: int) -> list[Send]:
        overdue = [number for number, asked in incoming.requested_at.items() if now - asked >= CHUNK_RETRY_NS]
        for number in overdue:
            del incoming.requested_at[number]
            incoming.window = MIN_CHUNKS_IN_FLIGHT
        sends: list[Send] = []
        for number in range(self._chunk_count(incoming.snapshot)):
            if len(incoming.requested_at) >= incoming.window:
                break
            if number in incoming.chunks or number in incoming.requested_at:
                continue
            incoming.requested_at[number] = now
            sends.append(Send(incoming.source, FetchChunk(incoming.snapshot, number)))
        return sends

    def _chunk_count(self, snapshot: SnapshotId) -> int:
        return -(-snapshot.size // self._chunk_bytes)

    def _is_intact(self, chunk: Chunk) -> bool:
        begin = chunk.number * self._chunk_bytes
        expected = min(self._chunk_bytes, chunk.snapshot.size - begin)
        return chunk.number >= 0 and len(chunk.data) == expected > 0 and zlib.crc32(chunk.data) == chunk.checksum

    def _assemble_state(self, incoming: _IncomingSnapshot) -> ControlState | None:
        """Return the decoded state, or None if the chunks do not match the offered snapshot id."""
        data = b"".join(incoming.chunks[number] for number in range(self._chunk_count(incoming.snapshot)))
        if self._codec is None or snapshot_id(data) != incoming.snapshot:
            return None
        state = self._codec.decode_state(data)
        return None if isinstance(state, Failure) else state


def _adapt_window(incoming: _IncomingSnapshot, delay: int) -> None:
    """Grow the window by one for a quick chunk, which doubles it per round trip; shrink it by one for a slow chunk."""
    if delay <= QUICK_ANSWER_NS:
        incoming.window = min(incoming.window + 1, MAX_CHUNKS_IN_FLIGHT)
    elif delay > SLOW_ANSWER_NS:
        incoming.window = max(incoming.window - 1, MIN_CHUNKS_IN_FLIGHT)
