"""Compression of large, repetitive data such as configurations, for links between regions and for the disk.

The first byte of packed data indicates whether the other bytes are compressed. Empty data is packed as empty data.
"""

from __future__ import annotations

import zlib

MIN_COMPRESSED_BYTES = 2048
MAX_UNPACKED_BYTES = 64 << 20
_LEVEL = 1
_PLAIN = b"\x00"
_COMPRESSED = b"\x01"


def pack(data: bytes) -> bytes:
    """Return `data` in packed form, compressed if it has at least `MIN_COMPRESSED_BYTES` bytes."""
    if not data:
        return b""
    if len(data) < MIN_COMPRESSED_BYTES:
        return _PLAIN + data
    return _COMPRESSED + zlib.compress(data, _LEVEL)


def unpack(data: bytes) -> bytes:
    """Return the data that was packed.

    Raise `ValueError` if `data` is not valid output of `pack`, or unpacks to more than `MAX_UNPACKED_BYTES` bytes.
    """
    if not data:
        return b""
    if data[:1] == _PLAIN:
        return data[1:]
    if data[:1] != _COMPRESSED:
        raise ValueError(f"unknown compression format byte {data[0]:#04x}")
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data[1:], MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from None
    if not inflater.eof:
        raise ValueError(f"compressed data is truncated or unpacks to more than {MAX_UNPACKED_BYTES} bytes")
    return plain
