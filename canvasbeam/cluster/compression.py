"""Compresses what is large and repetitive, such as configurations, for the links between regions and for the disk.

The first byte tells whether the rest is compressed. Nothing stays nothing.
"""

from __future__ import annotations

import zlib

LEAST_BYTES = 2048
MOST_BYTES = 64 << 20
_LEVEL = 1
_PLAIN = b"\x00"
_COMPRESSED = b"\x01"


def pack(data: bytes) -> bytes:
    """The bytes, compressed where that is worth while."""
    if not data:
        return b""
    if len(data) < LEAST_BYTES:
        return _PLAIN + data
    return _COMPRESSED + zlib.compress(data, _LEVEL)


def unpack(data: bytes) -> bytes:
    """The inverse of `pack`; raises `ValueError` for anything that `pack` did not make."""
    if not data:
        return b""
    if data[:1] == _PLAIN:
        return data[1:]
    if data[:1] != _COMPRESSED:
        raise ValueError("unknown compression")
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data[1:], MOST_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from None
    if not inflater.eof:
        raise ValueError("the compressed data is cut short or too large")
    return plain
