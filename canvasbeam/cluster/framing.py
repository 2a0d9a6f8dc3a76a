"""Framing of the byte stream between two nodes: each `envelope.proto` message follows its length in four bytes."""

from __future__ import annotations

from collections.abc import Iterator

MAX_FRAME_BYTES = 8 << 20
LENGTH_BYTES = 4


class FrameTooLargeError(Exception):
    """A frame length exceeds `MAX_FRAME_BYTES`: the sender is not a node of this system, or the stream is corrupt."""


def frame(message: bytes) -> bytes:
    """Return the message with its length prefix."""
    return len(message).to_bytes(LENGTH_BYTES, "big") + message


class FrameDecoder:
    """Splits a byte stream into messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add received bytes and yield complete messages; raise `FrameTooLargeError` for a length over the limit."""
        buffer = self._buffer
        buffer += data
        start = 0
        while len(buffer) - start >= LENGTH_BYTES:
            length = int.from_bytes(buffer[start : start + LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                raise FrameTooLargeError
            end = start + LENGTH_BYTES + length
            if len(buffer) < end:
                break
            yield bytes(buffer[start + LENGTH_BYTES : end])
            start = end
        del buffer[:start]
