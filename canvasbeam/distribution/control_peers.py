"""The messages between one control node and all other control nodes: lease requests, grants, and table comparisons.

The module does no I/O: events and the time are its input, messages are its output. It combines the mesh of control
nodes (`control_mesh.py`) with the renewal of the contact lease (`leases/lease_renewal.py`). It owns the newer versions
that grants reported, and the schedule of table comparisons. A data-plane node has a `ControlPeers` with an empty mesh.
"""

from __future__ import annotations

from collections.abc import Iterable

from canvasbeam.distribution import reconciliation
from canvasbeam.distribution.control_mesh import ControlMesh
from canvasbeam.distribution.messages import Send
from canvasbeam.distribution.parameters import DistributionParameters
from canvasbeam.item_table.items import Item, ItemTable
from canvasbeam.leases.contact import ControlVersions
from canvasbeam.leases.lease_renewal import LeaseRenewal
from canvasbeam.leases.messages import LeaseGrant, LeaseRequest, SendLeaseMessage
from canvasbeam.runtime.settings import Address


class ControlPeers:
    """The links of one control node to the other control nodes."""

    def __init__(self, me: Address, table: ItemTable, parameters: DistributionParameters, seed: int, now: int) -> None:
        self.mesh = ControlMesh(parameters)
        self.renewal = LeaseRenewal(
            me, table, self.mesh, interval_ns=parameters.lease_renewal_interval_ns, seed=seed, now=now
        )
        self._table = table
        self._parameters = parameters
        self._newer_versions: dict[Address, ControlVersions] = {}  # versions in grants that this node lacks, by granter
        self._next_compare_at = now + parameters.mesh_compare_interval_ns

    # --- peers and electorates --------------------------------------------------------------------

    def set_electorates(self, now: int, electorates: Iterable[Iterable[Address]]) -> None:
        """Require a majority of each electorate for the lease.

        The electorates are the witnesses of the newest known view and, until that view is in force, the witnesses of
        the previous view.
        """
        self.renewal.set_electorates(electorates)
        self.update_peers(now, self.mesh.member_addresses(), ())

    def update_peers(self, now: int, members: Iterable[Address], seeds: Iterable[Address]) -> None:
        """Set the current control nodes `members`; also add the seeds and the voters of the lease as peers."""
        self.mesh.update_peers(now, tuple(members), (*seeds, *self.renewal.voters()))
        self.renewal.update_electorates()

    # --- events -----------------------------------------------------------------------------------

    def on_message(self, now: int, sender: Address) -> list[Send]:
        """Record a message; if the sender was unresponsive, compare tables and make the next lease request due now."""
        if sender not in self.mesh.peers or not self.mesh.on_message(now, sender):
            return []
        self.renewal.make_due(now)
        return [Send((sender,), reconciliation.compare(self._table))]

    def on_lease_request(self, now: int, sender: Address, message: LeaseRequest) -> list[Send]:
        """Return the grant of a request; the caller must have merged the items of the request into the table before."""
        if sender not in self.mesh.peers:
            self.mesh.on_message(now, sender)
            self.renewal.update_electorates()
        return _to_sends([self.renewal.on_request(sender, message)])

    def on_lease_grant(self, sender: Address, message: LeaseGrant) -> bool:
        """Record a grant of a lease request; return True if the contact instant advanced."""
        own_versions = ControlVersions.of(self._table)
        if not own_versions.covers(message.versions):
            self._newer_versions[sender] = message.versions
        return self.renewal.on_grant(sender, message, own_versions)

    def begin_write(self, now: int, items: Iterable[Item]) -> int:
        """Begin a write of items to a majority of the control nodes; return the number of the write."""
        return self.renewal.begin_write(now, items)

    def send_write(self, now: int, number: int) -> list[Send]:
        """Return the messages that send a write to the responsive peers."""
        return _to_sends(self.renewal.send_write(now, number))

    # --- time -------------------------------------------------------------------------------------

    def wake(self) -> int:
        """Return the time by which `tick` must be called next."""
        return self.renewal.wake()

    def tick(self, now: int) -> list[Send]:
        """Remove lost peers; if a lease request is due, also request newer versions and compare tables."""
        if self.mesh.remove_lost_peers(now):
            self.renewal.update_electorates()
        if not self.renewal.is_due(now):
            return []
        self.renewal.schedule_next(now)
        return [*self._request_newer(), *_to_sends(self.renewal.request(now)), *self._compare(now)]

    def _request_newer(self) -> list[Send]:
        """Request the versions that grants reported in the last interval and that no push has delivered since."""
        newer_versions, self._newer_versions = self._newer_versions, {}
        return [
            Send((granter,), request)
            for granter, versions in newer_versions.items()
            for request in reconciliation.request_newer(self._table, versions)
        ]

    def _compare(self, now: int) -> list[Send]:
        peers = self.mesh.responsive(now)
        if not peers or now < self._next_compare_at:
            return []
        self._next_compare_at = now + self._parameters.mesh_compare_interval_ns
        return [Send(peers, reconciliation.compare(self._table))]


def _to_sends(leases: Iterable[SendLeaseMessage]) -> list[Send]:
    return [Send(send.addresses, send.message) for send in leases]
