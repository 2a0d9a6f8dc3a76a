"""Framing of the byte stream between two nodes: each `envelope.proto` message follows its length in four bytes."""

from __future__ import annotations

from collections.abc import Iterator

MAX_FRAME_BYTES = 8 << 20
LENGTH_BYTES = 4
MAX_FIRST_FRAME_BYTES = 4096  # of the `Hello` message, before which the sender is unknown


class FrameTooLargeError(Exception):
    """A frame length exceeds `max_frame_bytes`: the sender is not a node of this system, or the stream is corrupt."""


def frame(message: bytes) -> bytes:
    """Return the message with its length prefix."""
    return len(message).to_bytes(LENGTH_BYTES, "big") + message


class FrameDecoder:
    """Splits a byte stream into messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.max_frame_bytes = MAX_FIRST_FRAME_BYTES

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes received of an incomplete message."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add received bytes and yield complete messages; raise `FrameTooLargeError` if a length is over the limit."""
        buffer = self._buffer
        buffer += data
        start = 0
        while len(buffer) - start >= LENGTH_BYTES:
            length = int.from_bytes(buffer[start : start + LENGTH_BYTES], "big")
            if length > self.max_frame_bytes:
                raise FrameTooLargeError
            end = start + LENGTH_BYTES + length
            if len(buffer) < end:
                break
            yield bytes(buffer[start + LENGTH_BYTES : end])
            start = end
        del buffer[:start]
