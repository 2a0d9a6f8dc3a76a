"""Encoding of the checksummed frames in the slot files and the log, and of the named values in the frames.

A frame consists of a fixed-size header, a digest of header and body (BLAKE2b, RFC 7693), and the body. A frame decodes
completely or not at all. The format must not change, because existing files on disk use it.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

FORMAT_VERSION = 1
SLOT_MAGIC = b"CBSL"
LOG_MAGIC = b"CBLG"
_HEADER = struct.Struct(">4sB3xQQQ")  # magic, format version, generation, sequence, body length in bytes
_DIGEST_BYTES = 16
_OVERHEAD_BYTES = _HEADER.size + _DIGEST_BYTES
_ENTRY = struct.Struct(">Iq")  # length of the name, length of the value (bytes) or _REMOVED
_REMOVED = -1

Updates = Mapping[str, bytes | None]


@dataclass(frozen=True, slots=True)
class Frame:
    """One decoded frame. `generation` counts slots written; `sequence` counts log records since the newest slot."""

    generation: int
    sequence: int
    body: bytes

    @property
    def size(self) -> int:
        """Return the size in bytes of the encoded frame."""
        return _OVERHEAD_BYTES + len(self.body)


def frame_size(body_size: int) -> int:
    """Return the size in bytes of an encoded frame with a body of `body_size` bytes."""
    return _OVERHEAD_BYTES + body_size


def encode_frame(magic: bytes, frame: Frame) -> bytes:
    """Return the encoded frame."""
    header = _HEADER.pack(magic, FORMAT_VERSION, frame.generation, frame.sequence, len(frame.body))
    return header + _digest(header, frame.body) + frame.body


def decode_frame(magic: bytes, data: bytes, offset: int = 0) -> Frame | None:
    """Return the frame that begins at `offset`, or None if the frame there is incomplete or damaged."""
    if len(data) < offset + _OVERHEAD_BYTES:
        return None
    header = data[offset : offset + _HEADER.size]
    found_magic, version, generation, sequence, length = _HEADER.unpack(header)
    body_start = offset + _OVERHEAD_BYTES
    if found_magic != magic or version != FORMAT_VERSION or body_start + length > len(data):
        return None
    body = data[body_start : body_start + length]
    if data[offset + _HEADER.size : body_start] != _digest(header, body):
        return None
    return Frame(generation, sequence, body)


def _digest(header: bytes, body: bytes) -> bytes:
    digest = blake2b(header, digest_size=_DIGEST_BYTES)
    digest.update(body)
    return digest.digest()


def encode_updates(updates: Updates) -> bytes:
    """Return the encoding of an update, which maps each name to its new value, or to None to remove the name."""
    parts = []
    for name, value in updates.items():
        encoded_name = name.encode()
        parts.append(_ENTRY.pack(len(encoded_name), _REMOVED if value is None else len(value)))
        parts.append(encoded_name)
        parts.append(value or b"")
    return b"".join(parts)


def decode_updates(data: bytes) -> dict[str, bytes | None]:
    """Decode an update; `data` must be a frame body whose digest was verified."""
    updates: dict[str, bytes | None] = {}
    offset = 0
    while offset < len(data):
        name_length, value_length = _ENTRY.unpack_from(data, offset)
        offset += _ENTRY.size
        name = data[offset : offset + name_length].decode()
        offset += name_length
        if value_length == _REMOVED:
            updates[name] = None
            continue
        updates[name] = data[offset : offset + value_length]
        offset += value_length
    return updates
