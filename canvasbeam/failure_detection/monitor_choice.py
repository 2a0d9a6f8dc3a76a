"""Assign monitors to each member by rendezvous hashing, so that all nodes compute the same assignment.

A data-plane node has two monitors in its own region, which are near and cheap to reach, and one control node as third
monitor, in another region where possible, so that a partition between regions is detected from outside the node's
region. A control node is monitored by other control nodes. The module is pure and stateless.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from heapq import nsmallest

from canvasbeam.failure_detection.node_location import NodeLocation
from canvasbeam.failure_detection.rendezvous import weight

MONITORS_IN_REGION = 2
MONITORS_OF_MEMBER = 3


@dataclass(frozen=True, slots=True)
class MonitorCandidates:
    """The nodes that may act as monitors, by class and region."""

    controls: tuple[NodeLocation, ...]
    regions: Mapping[str, Sequence[NodeLocation]]  # region name -> data-plane nodes of that region

    @classmethod
    def of(cls, locations: Iterable[NodeLocation]) -> MonitorCandidates:
        """Return the candidates among these nodes, grouped by class and region."""
        controls: list[NodeLocation] = []
        regions: dict[str, list[NodeLocation]] = {}
        for location in locations:
            (controls if location.is_control else regions.setdefault(location.region, [])).append(location)
        return cls(tuple(controls), regions)


def control_monitors(target: NodeLocation, candidates: MonitorCandidates) -> list[NodeLocation]:
    """Return the control nodes that monitor a member: enough to reach three monitors with those in its region."""
    wanted = MONITORS_OF_MEMBER
    if not target.is_control:
        wanted -= min(MONITORS_IN_REGION, _count_others(target, candidates.regions.get(target.region, ())))
    others = [node for node in candidates.controls if node.key != target.key]
    return nsmallest(wanted, others, key=lambda node: (node.region == target.region, -weight(target.key, node.key)))


def region_monitors(target: NodeLocation, candidates: MonitorCandidates) -> list[NodeLocation]:
    """Return the data-plane nodes that monitor a member; a control node has some only if control nodes are too few."""
    wanted = MONITORS_IN_REGION
    if target.is_control:
        wanted = max(0, MONITORS_OF_MEMBER - _count_others(target, candidates.controls))
    others = [node for node in candidates.regions.get(target.region, ()) if node.key != target.key]
    return nsmallest(wanted, others, key=lambda node: -weight(target.key, node.key))


def _count_others(target: NodeLocation, locations: Sequence[NodeLocation]) -> int:
    return sum(node.key != target.key for node in locations)
