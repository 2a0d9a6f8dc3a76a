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


def relays_of(region: str, places: Iterable[NodeLocation]) -> list[NodeLocation]:
    """Return the relays of a region: one per `FANOUT` nodes of a zone; none for a region of at most `FANOUT` nodes."""
    zones: dict[str, list[NodeLocation]] = {}
    for place in places:
        if place.region == region and not place.is_control:
            zones.setdefault(place.zone, []).append(place)
    if sum(map(len, zones.values())) <= FANOUT:
        return []
    relays: list[NodeLocation] = []
    for zone, members in zones.items():
        count = -(-len(members) // FANOUT)
        relays += _heaviest(zone, members, count)
    return relays


def parent_order(me: NodeLocation, places: Sequence[NodeLocation], seeds: Sequence[Address]) -> tuple[Address, ...]:
    """Return the addresses of possible parents, best first; seeds that are not addresses of known members come last."""
    controls = _nearest(me, (place for place in places if place.is_control))
    relays = relays_of(me.region, places)
    others = _nearest(me, (relay for relay in relays if relay.key != me.key))
    is_leaf = bool(relays) and all(relay.key != me.key for relay in relays)
    ordered = others + controls if is_leaf else controls + others
    addresses = [place.address for place in ordered] + list(seeds)
    return tuple(address for address in dict.fromkeys(addresses) if address != me.address)


def likely_nearest(me: Address, seeds: Iterable[Address]) -> list[Address]:
    """Return the seeds, longest common address prefix with `me` first, for use while no node locations are known."""
    return sorted(seeds, key=lambda seed: -_shared_parts(me.host, seed.host))


def _heaviest(zone: str, places: Iterable[NodeLocation], count: int) -> list[NodeLocation]:
    """Return the `count` nodes of a zone with the highest weights by rendezvous hashing."""
    return sorted(places, key=lambda place: weight(zone, place.key), reverse=True)[:count]


def _shared_parts(first: str, second: str) -> int:
    """Return the number of leading dot-separated parts that two IP addresses have in common."""
    pairs = zip(first.split("."), second.split("."), strict=False)
    return len(list(takewhile(lambda pair: pair[0] == pair[1], pairs)))


def _nearest(me: NodeLocation, places: Iterable[NodeLocation]) -> list[NodeLocation]:
    """Return nodes of the same zone first, then of the same region; order equals by rendezvous hashing."""

    def distance(place: NodeLocation) -> tuple[bool, bool, int]:
        return place.zone != me.zone, place.region != me.region, -weight(me.key, place.key)

    return sorted(places, key=distance)
