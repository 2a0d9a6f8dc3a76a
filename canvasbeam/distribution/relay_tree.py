"""The relay tree: the possible parents of a node, in order of preference.

Control nodes are the roots. In a region with more than `FANOUT` data-plane nodes, some nodes of each zone are relays,
selected by rendezvous hashing (Thaler, Ravishankar, "Using name-based mappings to increase hit rates", 1998). Relays
attach to control nodes, and the other data-plane nodes attach to relays of their region. In a smaller region all
data-plane nodes attach to control nodes. Every node computes the order locally from the members it knows; outdated
knowledge only makes the path to a control node longer.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import takewhile

from canvasbeam.failure_detection.node_location import NodeLocation
from canvasbeam.failure_detection.rendezvous import weight
from canvasbeam.runtime.settings import Address

FANOUT = 8  # data-plane nodes per relay


def relays_of(region: str, locations: Iterable[NodeLocation]) -> list[NodeLocation]:
    """Return the relays of a region: one per `FANOUT` nodes of a zone; none for a region of at most `FANOUT` nodes."""
    zones: dict[str, list[NodeLocation]] = {}
    for location in locations:
        if location.region == region and not location.is_control:
            zones.setdefault(location.zone, []).append(location)
    if sum(map(len, zones.values())) <= FANOUT:
        return []
    relays: list[NodeLocation] = []
    for zone, members in zones.items():
        count = -(-len(members) // FANOUT)
        relays += _highest_weighted(zone, members, count)
    return relays


def parent_order(me: NodeLocation, locations: Sequence[NodeLocation], seeds: Sequence[Address]) -> tuple[Address, ...]:
    """Return the addresses of possible parents, best first; seeds that are not addresses of known members come last."""
    controls = _sorted_by_distance(me, (location for location in locations if location.is_control))
    relays = relays_of(me.region, locations)
    others = _sorted_by_distance(me, (relay for relay in relays if relay.key != me.key))
    is_leaf = bool(relays) and all(relay.key != me.key for relay in relays)
    ordered = others + controls if is_leaf else controls + others
    addresses = [location.address for location in ordered] + list(seeds)
    return tuple(address for address in dict.fromkeys(addresses) if address != me.address)


def sort_by_shared_prefix(me: Address, seeds: Iterable[Address]) -> list[Address]:
    """Return the seeds, longest common address prefix with `me` first, for use while no node locations are known."""
    return sorted(seeds, key=lambda seed: -_common_prefix_length(me.host, seed.host))


def _highest_weighted(zone: str, locations: Iterable[NodeLocation], count: int) -> list[NodeLocation]:
    """Return the `count` nodes of a zone with the highest weights by rendezvous hashing."""
    return sorted(locations, key=lambda location: weight(zone, location.key), reverse=True)[:count]


def _common_prefix_length(first: str, second: str) -> int:
    """Return the number of leading dot-separated parts that two IP addresses have in common."""
    pairs = zip(first.split("."), second.split("."), strict=False)
    return len(list(takewhile(lambda pair: pair[0] == pair[1], pairs)))


def _sorted_by_distance(me: NodeLocation, locations: Iterable[NodeLocation]) -> list[NodeLocation]:
    """Return nodes of the same zone first, then of the same region; order equals by rendezvous hashing."""

    def distance(location: NodeLocation) -> tuple[bool, bool, int]:
        return location.zone != me.zone, location.region != me.region, -weight(me.key, location.key)

    return sorted(locations, key=distance)
