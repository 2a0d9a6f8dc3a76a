"""Rendezvous hashing (highest random weight): all nodes draw the same choice from the same names."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b


@lru_cache(maxsize=8192)
def score(chooser: str, candidate: str) -> int:
    """The weight of a candidate for a chooser; the highest wins."""
    text = f"{chooser}\0{candidate}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")
