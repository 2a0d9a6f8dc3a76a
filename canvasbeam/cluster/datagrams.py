"""Datagrams between nodes: the UDP socket, and the tag byte that contains the channel of a datagram.

Membership datagrams have no tag byte, because their format is older than the other channels. This module does not parse
the payload of a datagram.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from canvasbeam.cluster.channels import Channel
from canvasbeam.runtime.settings import Address

MAX_DATAGRAM_BYTES = 1_200
TAG_MARKER_BITS = 5  # number of low bits of the tag byte that hold `TAG_MARKER`; the higher bits hold the channel
# Low bits of a tag byte. No protobuf message begins with these bits (wire type 7 is invalid), so a tagged datagram is
# never mistaken for a membership datagram, which is an untagged protobuf message.
TAG_MARKER = 0b00111

ReceivedDatagram = Callable[[Address, bytes], None]


class DatagramSocket(asyncio.DatagramProtocol):
    """The UDP socket of a node; passes received datagrams to a callback."""

    def __init__(self, on_datagram: ReceivedDatagram) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        """Pass a received datagram and its sender's address to the callback."""
        self._on_datagram(Address(str(addr[0]), int(addr[1])), data)


def add_channel(payload: bytes, channel: Channel) -> bytes:
    """Return the bytes of a datagram: the payload, after a tag byte unless the channel is `MEMBERSHIP`."""
    if channel is Channel.MEMBERSHIP:
        return payload
    return bytes(((int(channel) << TAG_MARKER_BITS | TAG_MARKER) & 0xFF,)) + payload


def split_channel(data: bytes) -> tuple[int, bytes]:
    """Return the channel number and the payload of a received datagram."""
    if data and data[0] & (1 << TAG_MARKER_BITS) - 1 == TAG_MARKER:
        return data[0] >> TAG_MARKER_BITS, data[1:]
    return int(Channel.MEMBERSHIP), data
