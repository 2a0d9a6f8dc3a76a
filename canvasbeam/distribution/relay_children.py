"""The children of this node in the relay tree, and the keepalives sent to children.

The module does no I/O: events and the time are its input, messages in the outbox are its output. It owns the children
and the schedule of keepalives. `NodeStatus` provides the contact and depth in a keepalive; `pushes.py` sends changed
items.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasbeam.distribution import reconciliation
from canvasbeam.distribution.messages import (
    NO_CONTACT,
    Keepalive,
    Message,
    Refuse,
    Renew,
    Subscribe,
    Unsubscribe,
)
from canvasbeam.distribution.node_status import NodeStatus
from canvasbeam.distribution.outbox import Outbox
from canvasbeam.distribution.parameters import DistributionParameters
from canvasbeam.item_table.items import ItemTable
from canvasbeam.leases.contact import ControlVersions
from canvasbeam.leases.peer_clock import SendTime
from canvasbeam.runtime.settings import Address


@dataclass(slots=True)
class Child:
    """A node to which every change is sent."""

    last_seen_at: int  # arrival time of the child's newest message, in nanoseconds


class RelayChildren:
    """The children of one node, and the schedule of keepalives to children."""

    def __init__(
        self,
        table: ItemTable,
        parameters: DistributionParameters,
        outbox: Outbox,
        node_status: NodeStatus,
        *,
        incarnation: int,
        now: int,
    ) -> None:
        self.children: dict[Address, Child] = {}
        self._table = table
        self._parameters = parameters
        self._outbox = outbox
        self._node_status = node_status
        self._incarnation = incarnation  # identifies the clock of the send times in keepalives
        self._next_keepalive_at = now
        self._keepalive_sent_at = now - parameters.keepalive_interval_ns
        self._next_compare_at = now + parameters.compare_interval_ns

    def __len__(self) -> int:
        return len(self.children)

    # --- events -----------------------------------------------------------------------------------

    def on_subscribe(self, now: int, sender: Address, message: Subscribe) -> None:
        """Add a child; refuse a subscriber that would cause a cycle, exceed `max_depth` or exceed `max_children`."""
        is_too_deep = self._node_status.depth >= self._parameters.max_depth
        if self._node_status.is_parent(sender) or is_too_deep or self._is_full(sender):
            self._outbox.send((sender,), Refuse())
            return
        if not self.children:
            self._next_keepalive_at = min(self._next_keepalive_at, now + self._parameters.keepalive_interval_ns)
        self.children[sender] = Child(now)
        self._outbox.send((sender,), self._keepalive(now, requested_at=message.requested_at))
        answers = reconciliation.answer_digests(self._table, message.digests, self._parameters.max_update_bytes)
        self._outbox.reply(sender, answers)

    def on_renew(self, now: int, sender: Address, message: Renew) -> None:
        """Handle a `Renew`: answer with a keepalive if requested; refuse a sender that is not a child."""
        if sender not in self.children:
            self._outbox.send((sender,), Refuse())
            return
        received = message.received
        if received is not None and received.incarnation == self._incarnation:
            self._node_status.note_exchange(min(received.sent_at, now))
        if message.requested_at is not None:
            self._outbox.send((sender,), self._keepalive(now, requested_at=message.requested_at))

    def on_unsubscribe(self, now: int, sender: Address, message: Unsubscribe) -> None:
        """Remove a child that unsubscribes."""
        self.remove(sender)

    def record_message(self, now: int, sender: Address) -> None:
        """Record a message from `sender`, if it is a child."""
        if sender in self.children:
            self.children[sender].last_seen_at = now

    def remove(self, address: Address) -> None:
        """Remove `address` from the children, if present."""
        self.children.pop(address, None)

    def send(self, message: Message) -> None:
        """Send a message to all children, if there are any."""
        if self.children:
            self._outbox.send(self.children, message)

    # --- keepalives -------------------------------------------------------------------------------

    def wake(self) -> int:
        """Return the time at which the next keepalive is due."""
        return self._next_keepalive_at

    def expedite_keepalive(self, now: int) -> None:
        """Bring the next keepalive forward, because the contact instant advanced.

        At least 3/5 of the usual interval passes between two keepalives, so that they are sent little more often.
        """
        earliest = self._keepalive_sent_at + self._parameters.keepalive_interval_ns * 3 // 5
        self._next_keepalive_at = min(self._next_keepalive_at, max(now, earliest))

    def begin_keepalives(self, now: int) -> bool:
        """Schedule the next keepalives and remove unresponsive children; return True if any children remain."""
        self._next_keepalive_at = now + self._parameters.idle_keepalive_interval_ns
        self._keepalive_sent_at = now
        for address, child in tuple(self.children.items()):
            if now - child.last_seen_at > self._parameters.child_timeout_ns:
                del self.children[address]
        return bool(self.children)

    def send_keepalives(self, now: int) -> None:
        """Send a keepalive to all children, once per `compare_interval_ns` with the digests of the table."""
        is_comparing = now >= self._next_compare_at
        if is_comparing:
            self._next_compare_at = now + self._parameters.compare_interval_ns
        self._outbox.send(self.children, self._keepalive(now, with_digests=is_comparing))

    def _keepalive(self, now: int, *, with_digests: bool = False, requested_at: int | None = None) -> Keepalive:
        age = self._node_status.contact_age(now)
        return Keepalive(
            NO_CONTACT if age is None else min(age, NO_CONTACT),
            self._node_status.depth,
            reconciliation.digests(self._table) if with_digests else {},
            ControlVersions.of(self._table),
            SendTime(self._incarnation, now, requested_at),
            self._node_status.newest_configuration,
        )

    def _is_full(self, sender: Address) -> bool:
        return len(self.children) >= self._parameters.max_children and sender not in self.children
