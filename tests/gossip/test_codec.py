"""Tests encoding and decoding of gossip datagrams, and the counts of dropped datagrams."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim import Datagram, DatagramKind, MemberUpdate, Sender
from canvasbeam.gossip.codec import MAX_DATAGRAM_BYTES, Codec, DropReason

SENDER = Sender("n0", 5, 0, "127.0.0.1:7000")
UPDATE = MemberUpdate("n1", "127.0.0.1:7001", MemberStatus.SUSPECT, 7, 3, "n2")
DATAGRAM = Datagram(DatagramKind.PING_REQUEST, 9, "n1", "127.0.0.1:7001", (UPDATE,))


def test_decoding_an_encoded_datagram_returns_the_same_datagram() -> None:
    data = Codec("f", 10).encode(SENDER, DATAGRAM)
    assert data is not None
    event = Codec("f", 10).decode(data, "127.0.0.1:7000")
    assert event is not None
    assert (event.sender, event.datagram) == (SENDER, DATAGRAM)


def test_invalid_datagrams_are_dropped_and_counted_by_reason() -> None:
    codec = Codec("f", 10)
    good = Codec("f", 10).encode(SENDER, DATAGRAM)
    other = Codec("g", 10).encode(SENDER, DATAGRAM)
    assert good is not None
    assert other is not None
    for data in (b"", b"cbp", b"GET / HTTP/1.1\r\n\r\n", good[:-1], good + b"\x00", good[:4] + b"\xc1" * 50):
        assert codec.decode(data, "127.0.0.1:7000") is None
    assert codec.dropped[DropReason.MALFORMED] == 6
    assert codec.decode(good[:3] + b"\x09" + good[4:], "127.0.0.1:7000") is None
    assert codec.decode(other, "127.0.0.1:7000") is None
    assert codec.decode(good + b"x" * MAX_DATAGRAM_BYTES, "127.0.0.1:7000") is None
    assert codec.decode(good, "127.0.0.1:7000") is not None
    assert codec.decode(good, "127.0.0.1:7000") is None
    counts = {name.value: count for name, count in codec.dropped.items()}
    assert counts == {"garbled": 6, "version": 1, "fleet": 1, "large": 1, "replayed": 1}


def test_reordered_sequence_numbers_are_accepted_once_and_those_below_the_window_dropped() -> None:
    """Fails if the replay window drops reordered datagrams, or accepts a datagram twice or from below the window."""
    codec, sender_codec = Codec("f", 10), Codec("f", 10)
    sent = [sender_codec.encode(SENDER, DATAGRAM) or b"" for _ in range(200)]
    order = list(range(100, 140))
    random.Random(4).shuffle(order)
    assert all(codec.decode(sent[index], "127.0.0.1:7000") for index in order)
    assert not any(codec.decode(sent[index], "127.0.0.1:7000") for index in order)
    assert codec.decode(sent[199], "127.0.0.1:7000") is not None
    assert codec.decode(sent[60], "127.0.0.1:7000") is None


def test_a_flood_of_sender_names_keeps_no_more_replay_windows_than_allowed() -> None:
    """Fails if datagrams with forged sender names can use unbounded memory."""
    codec, sender_codec = Codec("f", 10), Codec("f", 10)
    for number in range(100):
        data = sender_codec.encode(Sender(f"x{number}", 1, 0, ""), Datagram(DatagramKind.PING))
        assert data is not None
        codec.decode(data, "127.0.0.1:7000")
    assert len(codec._windows) == 10


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200), st.integers(0, 120), st.binary(min_size=1, max_size=4))
def test_arbitrary_bytes_never_raise(noise: bytes, index: int, patch: bytes) -> None:
    """Fails if corrupt or hostile bytes raise an exception in the decoder."""
    codec = Codec("f", 10)
    good = Codec("f", 10).encode(SENDER, DATAGRAM)
    assert good is not None
    for data in (noise, good[:4] + noise, good[:index] + patch + good[index + len(patch) :]):
        event = codec.decode(data, "127.0.0.1:7000")
        assert event is None or len(event.datagram.updates) <= 1


def test_a_datagram_over_the_size_limit_is_not_encoded() -> None:
    codec = Codec("f" * 64, 10)
    updates = tuple(
        MemberUpdate("n" * 64, "1" * 64, MemberStatus.SUSPECT, 1 << 52, (1 << 32) - 1, "b" * 64) for _ in range(40)
    )
    assert (
        codec.encode(Sender("n" * 64, 1 << 52, (1 << 32) - 1, ""), Datagram(DatagramKind.UPDATES, updates=updates))
        is None
    )
    assert codec.dropped[DropReason.TOO_LARGE] == 1
    fitting_updates = updates[: 1_000 // updates[0].size]
    data = codec.encode(
        Sender("n" * 64, 1 << 52, 0, ""), Datagram(DatagramKind.UPDATES, 1, "a" * 64, "2" * 21, fitting_updates)
    )
    assert data is not None
    assert len(data) <= MAX_DATAGRAM_BYTES
