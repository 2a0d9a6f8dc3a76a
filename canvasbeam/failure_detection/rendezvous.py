"""Rendezvous hashing (highest random weight): all nodes compute the same choice from the same names.

Thaler, Ravishankar, "Using name-based mappings to increase hit rates", 1998.

Two other modules use rendezvous hashes with different values. These values decide which node serves which other node,
so they must not change. `dispatch/fleet_limits.py` hashes the names of a scheduler and a worker as one string and
prefers the lowest hash. `data_plane/placement_notices.py` hashes two names in sorted order, so that both nodes get the
same hash and notify each other; the weight in this module differs if chooser and candidate are swapped.
"""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

WEIGHT_MASK = (1 << 64) - 1
MAX_NAMES_CACHED = 4096


def weight(chooser: str, candidate: str) -> int:
    """Return the weight of a candidate for a chooser, from 0 to 2**64 - 1; the highest wins.

    Each name is hashed only once, and each pair is mixed by the cheap finalizer of SplitMix64 (Steele, Lea, Flood,
    2014), because a fleet has many pairs.
    """
    mixed = (_hash(chooser) + 0x9E3779B97F4A7C15 * _hash(candidate)) & WEIGHT_MASK
    mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & WEIGHT_MASK
    mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & WEIGHT_MASK
    return mixed ^ mixed >> 31


@lru_cache(maxsize=MAX_NAMES_CACHED)
def _hash(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")
