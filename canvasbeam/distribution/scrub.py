"""Comparisons of this node's item table with the tables of other nodes, and the answers to comparisons of other nodes.

The module does no I/O: messages and the time are its input, messages in the outbox are its output. `reconciliation.py`
computes the answers. This module owns the schedule by which a data-plane node compares its table with a control node
that is not its parent, so that an error of all its parents lasts only seconds (anti-entropy: Demers et al., "Epidemic
algorithms for replicated database maintenance", 1987).
"""

from __future__ import annotations

import random

from canvasbeam.distribution import reconciliation
from canvasbeam.distribution.messages import (
    Compare,
    Digests,
    Request,
    VersionRecord,
    Versions,
)
from canvasbeam.distribution.outbox import Outbox
from canvasbeam.distribution.parameters import DistributionParameters
from canvasbeam.distribution.parent_link import ParentLink
from canvasbeam.distribution.topology import Topology
from canvasbeam.item_table.items import ItemKind, ItemTable, Version
from canvasbeam.leases.contact import ControlVersions
from canvasbeam.runtime.settings import Address


class Scrub:
    """The anti-entropy of one node's item table."""

    def __init__(
        self,
        table: ItemTable,
        parameters: DistributionParameters,
        outbox: Outbox,
        *,
        topology: Topology,
        link: ParentLink,
        generator: random.Random,
        now: int,
    ) -> None:
        self._table = table
        self._control_compare_interval_ns = parameters.control_compare_interval_ns
        self._max_update_bytes = parameters.max_update_bytes
        self._outbox = outbox
        self._topology = topology
        self._link = link
        self._random = generator
        self._next_control_compare_at = now + parameters.control_compare_interval_ns

    # --- answers ----------------------------------------------------------------------------------

    def on_versions(self, now: int, sender: Address, message: Versions) -> None:
        """Send the items that are newer in the local table, and request the items that are newer at the sender."""
        self._outbox.reply(sender, reconciliation.answer_versions(self._table, message, self._max_update_bytes))

    def on_request(self, now: int, sender: Address, message: Request) -> None:
        """Send the requested items whose local version is at least the requested version."""
        self._outbox.reply(sender, reconciliation.answer_request(self._table, message, self._max_update_bytes))

    def on_compare(self, now: int, sender: Address, message: Compare) -> None:
        """Answer a `Compare` message, which contains the digests of the sender's table."""
        self.answer_digests(sender, message.digests)

    def answer_digests(self, sender: Address, digests: Digests) -> None:
        """Compare the digests of the sender's table with the local table, and send the answer."""
        self._outbox.reply(sender, reconciliation.answer_digests(self._table, digests, self._max_update_bytes))

    # --- requests ---------------------------------------------------------------------------------

    def request_newer(self, address: Address, versions: ControlVersions) -> None:
        """Request each of configuration and evacuations whose index in `versions` exceeds the stored index."""
        self._outbox.reply(address, reconciliation.request_newer(self._table, versions))

    def refresh(self, kind: ItemKind, key: str) -> None:
        """Request a version newer than the stored one from the parent and from a control node (read repair)."""
        stored = self._table.get(kind, key)
        version = Version(stored.version.major, stored.version.minor + 1) if stored else Version(0)
        receivers = [self._link.parent.address] if self._link.parent else []
        control = self._topology.random_control_node()
        if control is not None and control not in receivers:
            receivers.append(control)
        if receivers:
            self._outbox.send(receivers, Request(kind, (VersionRecord(key, version),)))

    def compare_with_control_node(self, now: int) -> None:
        """Send the table's digests to a random control node that is not the parent, if the comparison is due."""
        if now < self._next_control_compare_at:
            return
        self._next_control_compare_at = now + round(
            self._control_compare_interval_ns * (0.75 + 0.5 * self._random.random())
        )
        control = self._topology.random_control_node()
        if control is not None and not self._link.is_parent(control):
            self._outbox.send((control,), reconciliation.compare(self._table))
