"""Which data-plane nodes a client is sent to.

| nodes near the client | a host without homes | a host whose routes have homes |
| --- | --- | --- |
| two or more in its zone | those | those |
| two or more in its region | those of the region | those of the region |
| one in its region | all | that one, and those of the home regions |
| none in its region | all | those of the home regions; without any, all |

The home regions of a host are those that all its routes with homes share: a client asks for a host, and may call any
route of it. Clients choose among the addresses by chance, so nothing that must not be chosen may be in the list.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

MOST_ADDRESSES = 64
ENOUGH_ADDRESSES = 2


@dataclass(frozen=True, slots=True)
class DataPlaneNode:
    """A data-plane node that takes clients."""

    front: str
    zone: str
    region: str


@dataclass(frozen=True, slots=True)
class ClientPlace:
    """Where a client is; empty where it does not say."""

    zone: str
    region: str


class _Near(NamedTuple):
    """A node with its distance: 0 in the client's zone, 1 in its region, 2 elsewhere."""

    distance: int
    node: DataPlaneNode


def choose_addresses(
    nodes: Iterable[DataPlaneNode], client: ClientPlace, home_regions: frozenset[str] | None = None
) -> list[str]:
    """The nodes for a client of a host with these home regions, the near ones first; None where none has homes."""
    ordered = sorted(
        (_Near(_distance(node, client), node) for node in nodes), key=lambda near: (near[0], near[1].front)
    )
    chosen = _near_enough(ordered)
    if chosen is None:
        chosen = ordered if home_regions is None else _allowed(ordered, client, home_regions)
    return [near.node.front for near in chosen][:MOST_ADDRESSES]


def _near_enough(ordered: list[_Near]) -> list[_Near] | None:
    """The nodes of the client's zone, or with too few of those of its region; None with too few of both."""
    for distance in (0, 1):
        near = [each for each in ordered if each.distance <= distance]
        if len(near) >= ENOUGH_ADDRESSES:
            return near
    return None


def _allowed(ordered: list[_Near], client: ClientPlace, home_regions: frozenset[str]) -> list[_Near]:
    """The nodes of the client's own region and of the home regions; with none there, all: some answer beats none."""
    regions = home_regions | {client.region}
    allowed = [each for each in ordered if each.distance < 2 or each.node.region in regions]
    return allowed or ordered


def _distance(node: DataPlaneNode, client: ClientPlace) -> int:
    if node.zone == client.zone:
        return 0
    return 1 if node.region == client.region else 2
