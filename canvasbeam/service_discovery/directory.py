"""Choose, by pure functions, the data-plane nodes to which a client connects.

| ready nodes near the client | addresses for a host without home regions | addresses for a host with home regions |
| --- | --- | --- |
| two or more in the client's zone | ready nodes of the zone | ready nodes of the zone |
| two or more in the client's region | ready nodes of the region | ready nodes of the region |
| one in the client's region | all ready nodes | that node, and the ready nodes of the home regions |
| none in the client's region | all ready nodes | ready nodes of the home regions |
| none in these regions | all ready nodes | draining and starting nodes of these regions, or else all ready nodes |

A draining node still accepts connections for a while, and a starting node will accept connections soon.

The home regions of a host are the regions common to all its routes with home regions, because a client resolves a host
and may then call any of its routes. Clients choose among the addresses at random, so the list must not contain an
address that a client must not choose.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

MAX_ADDRESSES = 64
MIN_LOCAL_ADDRESSES = 2  # a single address would be a single point of failure
IN_ZONE, IN_REGION, ELSEWHERE = range(3)  # distances of a node from the client


@dataclass(frozen=True, slots=True)
class DataPlaneNode:
    """A live data-plane node; a node that is not ready is either draining or starting."""

    front: str  # address for requests of clients, as "host:port"
    zone: str
    region: str
    is_ready: bool = True


@dataclass(frozen=True, slots=True)
class ClientLocation:
    """The zone and region of a client; empty if the client does not name them."""

    zone: str
    region: str


class _LocatedNode(NamedTuple):
    """A node with its distance from the client."""

    distance: int
    node: DataPlaneNode


def choose_addresses(
    nodes: Iterable[DataPlaneNode], client: ClientLocation, home_regions: frozenset[str] | None = None
) -> list[str]:
    """Return at most `MAX_ADDRESSES` addresses for a client that resolves a host, the nearest nodes first.

    `home_regions` are the home regions of the host; None if no route of the host has home regions.
    """
    located = (_LocatedNode(_distance(node, client), node) for node in nodes)
    alive = sorted(located, key=lambda entry: (entry.distance, entry.node.front))
    ready = [entry for entry in alive if entry.node.is_ready]
    chosen = _local_nodes(ready)
    if chosen is None and home_regions is not None:
        chosen = _in_home_regions(ready, home_regions) or _in_home_regions(alive, home_regions)
    return [entry.node.front for entry in chosen or ready][:MAX_ADDRESSES]


def _local_nodes(ordered: list[_LocatedNode]) -> list[_LocatedNode] | None:
    """Return the nodes in the client's zone, or in its region if the zone has too few, or None if both have too few."""
    for distance in (IN_ZONE, IN_REGION):
        local = [entry for entry in ordered if entry.distance <= distance]
        if len(local) >= MIN_LOCAL_ADDRESSES:
            return local
    return None


def _in_home_regions(ordered: list[_LocatedNode], home_regions: frozenset[str]) -> list[_LocatedNode]:
    """Return the nodes in the client's region or in a home region."""
    return [entry for entry in ordered if entry.distance < ELSEWHERE or entry.node.region in home_regions]


def _distance(node: DataPlaneNode, client: ClientLocation) -> int:
    if node.zone == client.zone:
        return IN_ZONE
    return IN_REGION if node.region == client.region else ELSEWHERE
