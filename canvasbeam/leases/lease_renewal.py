"""The renewal of a control node's contact lease: requests to the other control nodes, and grants of their requests.

The module does no I/O: events and the time in integer nanoseconds of a monotonic clock are its input, messages are its
output. `contact.py` evaluates the grants. The owner of the links to the other control nodes (`LeasePeers`) provides
their addresses and the subset that is responsive.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from canvasbeam.item_table.items import Item, ItemTable
from canvasbeam.leases.contact import ContactLease, ControlVersions
from canvasbeam.leases.messages import LeaseGrant, LeaseRequest, SendLeaseMessage
from canvasbeam.runtime.settings import Address


class LeasePeers(Protocol):
    """The interface to the links to the other control nodes."""

    def addresses(self) -> Iterable[Address]:
        """Return the addresses of all known control nodes except this one."""

    def responsive(self, now: int) -> tuple[Address, ...]:
        """Return the peers from which a message was received within the timeout."""

    def take_due_retries(self, now: int) -> tuple[Address, ...]:
        """Return the unresponsive peers whose retry interval has elapsed, and restart the interval for each of them."""


class LeaseRenewal:
    """Sends the lease requests of one control node, and grants the requests of other control nodes."""

    def __init__(
        self, me: Address, table: ItemTable, peers: LeasePeers, *, interval_ns: int, seed: int, now: int
    ) -> None:
        self.lease = ContactLease(me, seed)
        self._me = me
        self._table = table
        self._peers = peers
        self._interval_ns = interval_ns
        self._electorates: tuple[frozenset[Address], ...] = ()  # empty while no view of the control state is known
        self._next_request_at = now

    # --- electorates ------------------------------------------------------------------------------

    def set_electorates(self, electorates: Iterable[Iterable[Address]]) -> None:
        """Require a majority of each set of witnesses; there are two sets while a view change is not in force."""
        self._electorates = tuple(frozenset(electorate) for electorate in electorates)

    def voters(self) -> frozenset[Address]:
        """Return the members of all electorates except this node; empty while no view is known."""
        return frozenset().union(*self._electorates) - {self._me}

    def update_electorates(self) -> None:
        """Pass the electorates to the lease; while no view is known, all known control nodes are the electorate."""
        self.lease.set_electorates(self._electorates or [{self._me, *self._peers.addresses()}])

    # --- events -----------------------------------------------------------------------------------

    def on_request(self, sender: Address, message: LeaseRequest) -> SendLeaseMessage:
        """Return the grant of a request; the caller must have stored the items of the request in the table before."""
        return SendLeaseMessage((sender,), LeaseGrant(message.number, ControlVersions.of(self._table)))

    def on_grant(self, sender: Address, message: LeaseGrant, own_versions: ControlVersions) -> bool:
        """Record a grant; return True if the contact instant advanced. `own_versions` are the versions in the table."""
        return self.lease.on_grant(sender, message.number, message.versions, own_versions)

    # --- writes -----------------------------------------------------------------------------------

    def begin_write(self, now: int, items: Iterable[Item]) -> int:
        """Begin a write of items to a majority; `lease.is_written` is True once a majority stores the items."""
        return self.lease.begin_write(now, items)

    def send_write(self, now: int, number: int) -> list[SendLeaseMessage]:
        """Return the request of a write to the responsive peers; other peers receive the write with the next probe."""
        peers = self._peers.responsive(now)
        return [SendLeaseMessage(peers, self._write_request(number))] if peers else []

    # --- time -------------------------------------------------------------------------------------

    def wake(self) -> int:
        """Return the time at which the next request is due."""
        return self._next_request_at

    def is_due(self, now: int) -> bool:
        """Return True if a request is due."""
        return now >= self._next_request_at

    def make_due(self, now: int) -> None:
        """Make the next request due at `now`, because a peer has become responsive again."""
        self._next_request_at = now

    def schedule_next(self, now: int) -> None:
        """Set the time of the next request to one interval after `now`."""
        self._next_request_at = now + self._interval_ns

    def request(self, now: int) -> list[SendLeaseMessage]:
        """Return a new request to responsive peers and due retries, and the writes that each peer has not granted."""
        number = self.lease.begin_request(now, ControlVersions.of(self._table))
        receivers = (*self._peers.responsive(now), *self._peers.take_due_retries(now))
        sends = [SendLeaseMessage(receivers, LeaseRequest(number))] if receivers else []
        for receiver in receivers:
            for write in self.lease.missing_writes(receiver):
                sends.append(SendLeaseMessage((receiver,), self._write_request(write)))
        return sends

    def _write_request(self, number: int) -> LeaseRequest:
        return LeaseRequest(number, self.lease.items_of_write(number))
