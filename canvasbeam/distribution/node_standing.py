"""Say how one node stands towards the control nodes: depth in the relay tree, contact, the newest configuration.

Keepalives carry it, and it decides whether the node may have children. Owns nothing: it asks the parts that do.
"""

from __future__ import annotations

from canvasbeam.distribution.control_peers import ControlPeers
from canvasbeam.distribution.document_exchange import DocumentExchange
from canvasbeam.distribution.parameters import DistributionParameters
from canvasbeam.distribution.parent_link import ParentLink
from canvasbeam.leases.contact import ContactLease, RelayedLease
from canvasbeam.runtime.settings import Address


class NodeStanding:
    """One node towards the control nodes. Instants and ages are nanoseconds of its monotonic clock."""

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
        """The contact lease of a control node; on a data-plane node, one that nobody grants."""
        return self._control_peers.renewal.lease

    @property
    def contact_instant(self) -> int | None:
        """The contact instant of this node, by its own lease or through its parents; none before the first."""
        return self.lease.instant if self._is_control else self._relayed_lease.instant

    @property
    def depth(self) -> int:
        """Hops to a control node; beyond the deepest level while detached."""
        if self._is_control:
            return 0
        parent = self._link.parent
        return parent.depth + 1 if parent else self._parameters.max_depth + 1

    @property
    def newest_configuration(self) -> int:
        """The index of the newest configuration that is known of, held or not."""
        return self._documents.newest

    def contact_age(self, now: int) -> int | None:
        """Return how many nanoseconds ago the contact instant was; none before the first."""
        instant = self.contact_instant
        return None if instant is None else now - instant

    def is_parent(self, address: Address) -> bool:
        """Return whether this address is that of the parent."""
        return self._link.is_parent(address)

    def note_exchange(self, sent_at: int) -> None:
        """Note that another node has what was sent then."""
        self.lease.note_exchange(sent_at)
