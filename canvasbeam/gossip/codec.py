"""Encoding, decoding and validation of gossip datagrams.

The module owns the envelope (version, fleet, sender, start of the sender's process, incarnation, sequence number),
encoded as MessagePack by msgspec, the replay windows, and the counts of dropped datagrams by reason. It must never
raise an exception on received bytes, never spend more time on an invalid datagram than on a valid one, and never decide
the status of a member.

The envelope and its update rows are arrays on the wire, so peers depend on the order of fields and on the numeric
values; field names are local to this module.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

import msgspec

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim import Datagram, DatagramKind, DatagramReceived, MemberUpdate, Sender

VERSION = 1
MAGIC = b"cbp"
PREFIX = MAGIC + bytes([VERSION])
MAX_DATAGRAM_BYTES = 1_200
REPLAY_WINDOW = 64  # sequence numbers: the highest received of a process, and the 63 below it
# Start time of a process in milliseconds; a clock would exceed the limit only if wrong by a hundred thousand years.
Start = Annotated[int, msgspec.Meta(ge=0, le=1 << 52)]
Uint32 = Annotated[int, msgspec.Meta(ge=0, le=(1 << 32) - 1)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
ShortText = Annotated[str, msgspec.Meta(max_length=64)]


class DropReason(Enum):
    """Reason why a datagram was dropped; the values must not change, because they are keys in the JSON report."""

    MALFORMED = "garbled"
    OTHER_VERSION = "version"
    OTHER_FLEET = "fleet"
    REPLAYED = "replayed"
    TOO_LARGE = "large"
    RATE_LIMITED = "fast"
    ADDRESS_NOT_ALLOWED = "address"
    NOT_SENT = "unsent"


class UpdateRow(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Wire format of a `MemberUpdate`."""

    name: Name
    address: ShortText
    status: Annotated[int, msgspec.Meta(ge=0, le=3)]
    start: Start
    incarnation: Uint32
    suspected_by: ShortText = ""


class Envelope(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Wire format of a datagram after PREFIX."""

    fleet: Name
    sender: Name
    start: Start
    incarnation: Uint32
    sequence: Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]  # incremented for each datagram that the process sends
    kind: Annotated[int, msgspec.Meta(ge=0, le=4)]
    number: Uint32  # ping number: of this ping, of the acknowledged ping, or of the ping request
    target: ShortText
    address: ShortText
    updates: tuple[UpdateRow, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


@dataclass(slots=True)
class ReplayWindow:
    """Sliding window over the sequence numbers received from one process, as in IPsec (RFC 4303, section 3.4.3)."""

    highest: int
    bits: int = 1  # bitmap of received numbers: bit 0 is `highest`, bit n is `highest` - n

    def accept(self, sequence: int) -> bool:
        """Return True and record the sequence number if it is new; False for a duplicate or one below the window."""
        ahead = sequence - self.highest
        if ahead > 0:
            self.bits = (self.bits << min(ahead, REPLAY_WINDOW) | 1) & (1 << REPLAY_WINDOW) - 1
            self.highest = sequence
            return True
        bit = 1 << -ahead
        if -ahead >= REPLAY_WINDOW or self.bits & bit:
            return False
        self.bits |= bit
        return True


class Codec:
    """Encodes and decodes the datagrams of one instance, and counts dropped datagrams by reason."""

    def __init__(self, fleet: str, max_senders: int) -> None:
        self.fleet = fleet
        self.dropped: Counter[DropReason] = Counter()
        self._sequence = 0
        self._max_senders = max_senders
        self._windows: dict[tuple[str, int], ReplayWindow] = {}

    def encode(self, sender: Sender, datagram: Datagram) -> bytes | None:
        """Return the encoded datagram; count the datagram and return None if over MAX_DATAGRAM_BYTES."""
        self._sequence += 1
        data = PREFIX + _encoder.encode(
            (
                self.fleet,
                sender.name,
                sender.start,
                sender.incarnation,
                self._sequence,
                int(datagram.kind),
                datagram.number,
                datagram.target,
                datagram.address,
                [
                    (
                        update.name,
                        update.address,
                        int(update.status),
                        update.start,
                        update.incarnation,
                        update.suspected_by,
                    )
                    for update in datagram.updates
                ],
            )
        )
        if len(data) > MAX_DATAGRAM_BYTES:
            self.dropped[DropReason.TOO_LARGE] += 1
            return None
        return data

    def decode(self, data: bytes, address: str) -> DatagramReceived | None:
        """Return the event for a datagram received from `address`; count the drop and return None if invalid."""
        envelope = self._unpack(data)
        if isinstance(envelope, DropReason):
            self.dropped[envelope] += 1
            return None
        updates = tuple(
            MemberUpdate(row.name, row.address, MemberStatus(row.status), row.start, row.incarnation, row.suspected_by)
            for row in envelope.updates
        )
        kind = DatagramKind(envelope.kind)
        datagram = Datagram(kind, envelope.number, envelope.target, envelope.address, updates)
        sender = Sender(envelope.sender, envelope.start, envelope.incarnation, address)
        return DatagramReceived(sender, datagram)

    def _unpack(self, data: bytes) -> Envelope | DropReason:
        if len(data) > MAX_DATAGRAM_BYTES:
            return DropReason.TOO_LARGE
        if len(data) <= len(PREFIX) or not data.startswith(MAGIC):
            return DropReason.MALFORMED
        if data[len(MAGIC)] != VERSION:
            return DropReason.OTHER_VERSION
        try:
            envelope = _decoder.decode(memoryview(data)[len(PREFIX) :])
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return DropReason.MALFORMED
        if envelope.fleet != self.fleet:
            return DropReason.OTHER_FLEET
        is_new = self._accept((envelope.sender, envelope.start), envelope.sequence)
        return envelope if is_new else DropReason.REPLAYED

    def _accept(self, process: tuple[str, int], sequence: int) -> bool:
        """Return True if the sequence number is new for this process, and record the number.

        Drops the window of the least recently received process beyond `max_senders`, because forged sender names could
        otherwise use unbounded memory.
        """
        window = self._windows.pop(process, None)
        is_new = window is None or window.accept(sequence)
        self._windows[process] = window or ReplayWindow(sequence)
        if len(self._windows) > self._max_senders:
            del self._windows[next(iter(self._windows))]
        return is_new
