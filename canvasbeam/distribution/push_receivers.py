"""The receivers of pushes: the neighbours in the relay tree and, on a control node, the other control nodes."""

from __future__ import annotations

from collections.abc import Iterable

from canvasbeam.distribution.control_peers import ControlPeers
from canvasbeam.distribution.parent_link import ParentLink
from canvasbeam.distribution.relay_children import RelayChildren
from canvasbeam.runtime.settings import Address


class PushReceivers:
    """The nodes to which one node pushes changes."""

    def __init__(
        self, link: ParentLink, children: RelayChildren, control_peers: ControlPeers, *, is_control: bool
    ) -> None:
        self._link = link
        self._children = children
        self._control_peers = control_peers
        self._is_control = is_control

    def tree_neighbours(self) -> list[Address]:
        """Return the addresses of the children and of the parent, if there is one."""
        parent = self._link.parent
        return [*self._children.children, *([parent.address] if parent else [])]

    def responsive_mesh(self, now: int) -> tuple[Address, ...]:
        """Return the responsive other control nodes; empty on a data-plane node."""
        return self._control_peers.mesh.responsive(now) if self._is_control else ()

    def mesh_addresses(self) -> Iterable[Address]:
        """Return all other control nodes; empty on a data-plane node."""
        return self._control_peers.mesh.addresses()
