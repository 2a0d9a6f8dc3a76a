"""Encoding and decoding replication messages, and compressing large data."""

from __future__ import annotations

from dataclasses import replace

import pytest

from canvasbeam.cluster.compression import MIN_COMPRESSED_BYTES, pack, unpack
from canvasbeam.control_plane.control_state_record import decode_state, encode_state
from canvasbeam.control_plane.replication_codec import ReceivedMessage, ReplicationCodec
from canvasbeam.control_plane.state_codec import ControlStateCodec
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication import messages
from canvasbeam.replication.control_state import Change, ChangeKind, ControlState
from canvasbeam.replication.views import NO_EPOCH, Epoch, MemberId, Position, View

EPOCH = Epoch(7, MemberId("10.0.0.1/0"))
VIEW = View(
    EPOCH,
    MemberId("10.0.0.1/0"),
    (MemberId("10.0.0.1/0"), MemberId("10.0.0.2/x")),
    (MemberId("10.0.0.1/0"), MemberId("10.0.0.2/x"), MemberId("10.0.0.3/0")),
    (MemberId("10.0.0.1/0"),),
)
STATE = ControlState(index=3, generation=9, configuration={"generation": 9, "routes": ["r"] * MIN_COMPRESSED_BYTES})
CHANGE = Change(ChangeKind.PUT_CONFIGURATION, b'{"generation":' + b" " * MIN_COMPRESSED_BYTES + b"9}", 4, "")
EVACUATION = Change(ChangeKind.END_EVACUATION, zone="north")
POSITION = Position(EPOCH, 3)
SNAPSHOT = messages.SnapshotId(b"0123456789abcdef", 1 << 22)

MESSAGES: tuple[messages.Message, ...] = (
    messages.Hello(True),
    messages.ViewNotice(VIEW, True),
    messages.PreVoteRequest(4),
    messages.PreVote(4, True, False, NO_EPOCH, None, False),
    messages.PreVote(4, False, True, EPOCH, VIEW, True),
    messages.Prepare(EPOCH),
    messages.Promise(EPOCH, VIEW, True, POSITION, True),
    messages.Promise(EPOCH, None, False, Position(NO_EPOCH, 0), False),
    messages.Refused(EPOCH, replace(EPOCH, number=8)),
    messages.Fetch(EPOCH),
    messages.Fetched(EPOCH, POSITION, STATE),
    messages.Install(EPOCH, POSITION, None),
    messages.Install(EPOCH, POSITION, STATE),
    messages.Fetched(EPOCH, POSITION, SNAPSHOT),
    messages.Install(EPOCH, POSITION, SNAPSHOT),
    messages.Installed(EPOCH, False),
    messages.Installed(EPOCH, True, 3),
    messages.FetchChunk(SNAPSHOT, 2),
    messages.Chunk(SNAPSHOT, 2, b"abc", 891568578),
    messages.Accept(VIEW, True),
    messages.Accepted(EPOCH, True),
    messages.Heartbeat(EPOCH, 12, 3),
    messages.HeartbeatAck(EPOCH, 12, True, NO_EPOCH, False),
    messages.Append(EPOCH, 3, (CHANGE, EVACUATION), 2),
    messages.Appended(EPOCH, 5),
    messages.Resign(EPOCH),
    messages.Leave(standbys=(MemberId("10.0.0.4/a"), MemberId("10.0.0.5/b"))),
    messages.LeaveGranted(EPOCH, 3),
    messages.LeaveRequested(),
)


def state_codec() -> ControlStateCodec:
    return ControlStateCodec(encode_state, decode_state)


def codec() -> ReplicationCodec:
    return ReplicationCodec(state_codec())


@pytest.mark.parametrize("message", MESSAGES, ids=lambda value: type(value).__name__)
def test_encoded_message_decodes_unchanged(message: messages.Message) -> None:
    assert codec().decode(codec().encode(MemberId("10.0.0.1/0"), message)) == ReceivedMessage(
        MemberId("10.0.0.1/0"), message
    )


def test_messages_cover_every_message_type() -> None:
    assert {type(message) for message in MESSAGES} == set(messages.Message.__args__)


@pytest.mark.parametrize("data", [b"", b"\xff\xff", b"\x0a\x03abc", b"\x0a\x01a\x92\x01\x02\x08"])
def test_invalid_bytes_decode_to_failure(data: bytes) -> None:
    decoded = codec().decode(data)
    assert isinstance(decoded, Failure)
    assert decoded.code is ResultCode.MESSAGE_INVALID


def test_damaged_message_never_raises() -> None:
    for message in MESSAGES:
        whole = codec().encode(MemberId("10.0.0.1/0"), message)
        for position in range(0, len(whole), max(1, len(whole) // 60)):
            damaged = bytearray(whole)
            damaged[position] ^= 0x41
            assert isinstance(codec().decode(bytes(damaged)), ReceivedMessage | Failure)
            assert isinstance(codec().decode(whole[:position]), ReceivedMessage | Failure)


def test_large_data_is_compressed_and_damage_is_detected() -> None:
    data = b"abc" * MIN_COMPRESSED_BYTES
    assert len(pack(data)) < len(data) // 10
    assert unpack(pack(data)) == data
    for wrong in (pack(data)[:-3], b"\x02abc", b"\x01abc"):
        with pytest.raises(ValueError):  # noqa: PT011
            unpack(wrong)
