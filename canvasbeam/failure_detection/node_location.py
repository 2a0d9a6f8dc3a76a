"""The location of a cluster node: its failure domain and its address.

This module makes no decisions. The choice of monitors (`monitoring.py`) and the relay tree
(`distribution/relay_tree.py`) are computed from node locations.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasbeam.runtime.settings import Address


@dataclass(frozen=True, slots=True)
class NodeLocation:
    """The key, address, zone, region and class (control node or not) of a node."""

    key: str
    address: Address
    zone: str
    region: str
    is_control: bool
