"""The checksummed frames of which slots and log consist, and the encoding of the named values inside them.

A frame is a fixed header, a digest over header and body, and the body. A frame either decodes whole or not at all.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

FORMAT_VERSION = 1
SLOT_MAGIC = b"CBSL"
LOG_MAGIC = b"CBLG"
_HEADER = struct.Struct(">4sB3xQQQ")  # magic, format version, generation, sequence, length of the body
_DIGEST_SIZE = 16
_OVERHEAD = _HEADER.size + _DIGEST_SIZE
_ENTRY = struct.Struct(">Iq")  # length of the name, length of the value or _REMOVED
_REMOVED = -1

Updates = Mapping[str, bytes | None]


@dataclass(frozen=True, slots=True)
class Frame:
    """One decoded frame. `generation` counts slots; `sequence` counts the log's records since that slot."""

    generation: int
    sequence: int
    body: bytes

    @property
    def size(self) -> int:
        """The bytes that the frame takes in its file."""
        return _OVERHEAD + len(self.body)


def frame_size(body_size: int) -> int:
    """The bytes that a frame with such a body takes."""
    return _OVERHEAD + body_size


def encode_frame(magic: bytes, frame: Frame) -> bytes:
    """The bytes of a frame."""
    header = _HEADER.pack(magic, FORMAT_VERSION, frame.generation, frame.sequence, len(frame.body))
    return header + _digest(header, frame.body) + frame.body


def decode_frame(magic: bytes, data: bytes, offset: int = 0) -> Frame | None:
    """The frame that begins at an offset, or None where there is no whole and intact one."""
    if len(data) < offset + _OVERHEAD:
        return None
    header = data[offset : offset + _HEADER.size]
    found_magic, version, generation, sequence, length = _HEADER.unpack(header)
    body_start = offset + _OVERHEAD
    if found_magic != magic or version != FORMAT_VERSION or body_start + length > len(data):
        return None
    body = data[body_start : body_start + length]
    if data[offset + _HEADER.size : body_start] != _digest(header, body):
        return None
    return Frame(generation, sequence, body)


def _digest(header: bytes, body: bytes) -> bytes:
    digest = blake2b(header, digest_size=_DIGEST_SIZE)
    digest.update(body)
    return digest.digest()


def encode_updates(updates: Updates) -> bytes:
    """Named values, each given or removed."""
    parts = []
    for name, value in updates.items():
        encoded_name = name.encode()
        parts.append(_ENTRY.pack(len(encoded_name), _REMOVED if value is None else len(value)))
        parts.append(encoded_name)
        parts.append(value or b"")
    return b"".join(parts)


def decode_updates(data: bytes) -> dict[str, bytes | None]:
    """The inverse of `encode_updates`, for bytes whose digest was right."""
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
