"""The possible parents of this node and the known control nodes, derived from the members and the seeds.

The module does no I/O. It owns the list of members, the seeds, and the resulting preference order of parents. It must
never decide whether a node is alive: the caller provides the current members.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from canvasbeam.distribution.relay_tree import parent_order, sort_by_shared_prefix
from canvasbeam.failure_detection.node_location import NodeLocation
from canvasbeam.runtime.settings import Address


class Topology:
    """The members and the seeds known to one node."""

    def __init__(self, me: NodeLocation, seeds: Iterable[Address], generator: random.Random) -> None:
        self.seeds: tuple[Address, ...] = ()
        self._me = me
        self._random = generator
        self._locations: tuple[NodeLocation, ...] = ()
        self._parent_order: tuple[Address, ...] | None = None  # cached; None after a change of members or seeds
        self.set_seeds(seeds)

    def set_locations(self, locations: Sequence[NodeLocation]) -> None:
        """Set the locations of the current members."""
        self._locations = tuple(locations)
        self._parent_order = None

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Set the seed addresses from the settings, without the address of this node."""
        self.seeds = tuple(seed for seed in seeds if seed != self._me.address)
        self._parent_order = None

    def parent_order(self) -> tuple[Address, ...]:
        """Return the addresses of possible parents, best first; seeds of equal preference are in random order."""
        if self._parent_order is None:
            shuffled = sorted(self.seeds, key=lambda seed: self._random.random())
            self._parent_order = parent_order(
                self._me, self._locations, sort_by_shared_prefix(self._me.address, shuffled)
            )
        return self._parent_order

    def control_addresses(self) -> list[Address]:
        """Return the addresses of all other control nodes among the members."""
        return [node.address for node in self._locations if node.is_control and node.address != self._me.address]

    def random_control_node(self) -> Address | None:
        """Return the address of a random other control node, or None if no other is known."""
        addresses = self.control_addresses()
        return self._random.choice(addresses) if addresses else None
