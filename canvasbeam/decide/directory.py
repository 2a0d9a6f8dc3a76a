"""Which data-plane nodes a client is sent to."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

MOST_ADDRESSES = 64
ENOUGH_ADDRESSES = 2


@dataclass(frozen=True, slots=True)
class DataPlaneNode:
    """A data-plane node that takes clients."""

    front: str
    zone: str
    region: str


def choose_addresses(nodes: Iterable[DataPlaneNode], zone: str, region: str) -> list[str]:
    """The nodes of the client's zone; with too few of those, also of its region; with too few still, all."""
    ordered = sorted(nodes, key=lambda node: (_distance(node, zone, region), node.front))
    distances = [_distance(node, zone, region) for node in ordered]
    for distance in (0, 1):
        count = sum(each <= distance for each in distances)
        if count >= ENOUGH_ADDRESSES:
            return [node.front for node in ordered[:count]][:MOST_ADDRESSES]
    return [node.front for node in ordered][:MOST_ADDRESSES]


def _distance(node: DataPlaneNode, zone: str, region: str) -> int:
    if node.zone == zone:
        return 0
    return 1 if node.region == region else 2
