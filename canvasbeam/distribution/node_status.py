"""The state that one node reports to its children: depth in the relay tree, contact instant, newest configuration.

Keepalives carry this state, and the depth decides whether the node may have children. The module owns no state: every
value is read from the module that owns it.
"""

from __future__ import annotations

from canvasbeam.distribution.control_peers import ControlPeers
from canvasbeam.distribution.document_exchange import DocumentExchange
from canvasbeam.distribution.parameters import DistributionParameters
from canvasbeam.distribution.parent_link import ParentLink
from canvasbeam.leases.contact import ContactLease, RelayedLease
from canvasbeam.runtime.settings import Address


class NodeStatus:
    """The depth and contact of one node. Instants and ages are nanoseconds of the local monotonic clock."""

    def __init__(
        self,
        parameters: DistributionParameters,
        link: ParentLink,
        control_peers: ControlPeers,
        relayed_lease: RelayedLease,
        documents: DocumentExchange,
        *,
        is_control: bool,
    ) -> None:
        self._parameters = parameters
        self._link = link
        self._control_peers = control_peers
        self._relayed_lease = relayed_lease
        self._documents = documents
        self._is_control = is_control

    @property
    def lease(self) -> ContactLease:
        """The contact lease of a control node; on a data-plane node, a lease that is never granted."""
        return self._control_peers.renewal.lease

    @property
    def contact_instant(self) -> int | None:
        """The contact instant, from the own lease on a control node, else relayed by parents; None before the first."""
        return self.lease.instant if self._is_control else self._relayed_lease.instant

    @property
    def depth(self) -> int:
        """Hops to a control node; `max_depth + 1` while detached."""
        if self._is_control:
            return 0
        parent = self._link.parent
        return parent.depth + 1 if parent else self._parameters.max_depth + 1

    @property
    def newest_configuration(self) -> int:
        """The index of the newest known configuration, stored or not."""
        return self._documents.newest

    def contact_age(self, now: int) -> int | None:
        """Return the nanoseconds since the contact instant, or None before the first contact."""
        instant = self.contact_instant
        return None if instant is None else now - instant

    def is_parent(self, address: Address) -> bool:
        """Return True if `address` is the address of the parent."""
        return self._link.is_parent(address)

    def note_exchange(self, sent_at: int) -> None:
        """Record that another node acknowledged a message sent at `sent_at`."""
        self.lease.note_exchange(sent_at)
