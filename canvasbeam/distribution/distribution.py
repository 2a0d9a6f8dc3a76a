"""Replication of one node's item table: routes the node's events to the modules that handle each event.

The module does no I/O: events and the time in integer nanoseconds are its input, messages are its output; the item
table is the only state shared with other packages. A change is pushed at once to all neighbours except its sender.
Changes that a push misses are found by the comparison of digests, at the start of a link and every few seconds on it.

| event | handled by |
| --- | --- |
| `Subscribe`, `Unsubscribe`, `Renew` of a child | `relay_children.py` |
| `Keepalive`, `Refuse` of a parent or a candidate | `parent_link.py`, then `RelayedLease` and `scrub.py` |
| `LeaseRequest`, `LeaseGrant` of a control node | `control_peers.py` |
| `Update` | `pushes.py` |
| `Versions`, `Request`, `Compare` | `scrub.py` |
| `Announce`, `DocumentRequest`, `DocumentChunk` | `document_relay.py` |
| connection failure | `relay_children.py`, `document_exchange.py`, `parent_link.py` |
| tick on a control node | `control_peers.py`, then `relay_children.py`, `pushes.py` |
| tick on a data-plane node | `parent_link.py`, `scrub.py`, then `relay_children.py`, `pushes.py` |

`Distribution` has no state of its own except the relayed lease. All modules append messages to one outbox in the order
in which events are routed; that order is part of the behaviour.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from canvasbeam.distribution.control_peers import ControlPeers
from canvasbeam.distribution.document_exchange import DocumentExchange
from canvasbeam.distribution.document_messages import Announce, DocumentChunk, DocumentRequest
from canvasbeam.distribution.document_relay import DocumentRelay
from canvasbeam.distribution.messages import (
    NO_CONTACT,
    Compare,
    Keepalive,
    Message,
    Refuse,
    Renew,
    Request,
    Send,
    Subscribe,
    Unsubscribe,
    Update,
    Versions,
)
from canvasbeam.distribution.node_status import NodeStatus
from canvasbeam.distribution.outbox import Outbox
from canvasbeam.distribution.parameters import DistributionParameters
from canvasbeam.distribution.parent_link import Parent, ParentLink
from canvasbeam.distribution.push_receivers import PushReceivers
from canvasbeam.distribution.pushes import Pushes
from canvasbeam.distribution.reconciliation import digests
from canvasbeam.distribution.relay_children import Child, RelayChildren
from canvasbeam.distribution.scrub import Scrub
from canvasbeam.distribution.topology import Topology
from canvasbeam.failure_detection.node_location import NodeLocation
from canvasbeam.item_table.items import CURRENT, Item, ItemKind, ItemTable
from canvasbeam.leases.contact import ContactLease, ControlVersions, RelayedGrant, RelayedLease
from canvasbeam.leases.messages import LeaseGrant, LeaseRequest
from canvasbeam.runtime.settings import Address

# A handler is called only with the message type of its key; a mapping type cannot express this, hence `Any`.
Handler = Callable[[int, Address, Any], None]


@dataclass(frozen=True, slots=True)
class ProcessStart:
    """The values that differ between two starts of a process."""

    seed: int  # seed of all random choices; also the process incarnation in keepalives
    now: int  # start time, nanoseconds of the monotonic clock


class Distribution:
    """The replication of items on one node."""

    def __init__(
        self,
        me: NodeLocation,
        seeds: Iterable[Address],
        table: ItemTable,
        parameters: DistributionParameters,
        start: ProcessStart,
    ) -> None:
        seed, now = start.seed, start.now
        generator = random.Random(seed)
        self.me = me
        self.table = table
        self.parameters = parameters
        self.control_peers = ControlPeers(me.address, table, parameters, seed, now)
        self.relayed_lease = RelayedLease()
        self.documents = DocumentExchange()
        self._outbox = Outbox()
        self._topology = Topology(me, seeds, generator)
        self.link = ParentLink(parameters, self._topology.parent_order, self._subscription, seed=seed, now=now)
        self.node_status = NodeStatus(
            parameters,
            self.link,
            self.control_peers,
            self.relayed_lease,
            self.documents,
            is_control=me.is_control,
        )
        self._children = RelayChildren(table, parameters, self._outbox, self.node_status, incarnation=seed, now=now)
        receivers = PushReceivers(self.link, self._children, self.control_peers, is_control=me.is_control)
        self._pushes = Pushes(table, parameters, self._outbox, receivers, now)
        self._scrub = Scrub(
            table, parameters, self._outbox, topology=self._topology, link=self.link, generator=generator, now=now
        )
        self._document_relay = DocumentRelay(self.documents, self._pushes, self._children, self._outbox)
        self._handlers = self._message_handlers()
        if me.is_control:
            self._update_control_peers(now)
        table.add_listener(self._on_items)

    def _message_handlers(self) -> Mapping[type[Message], Handler]:
        """Return the handler of each message type."""
        return {
            Subscribe: self._children.on_subscribe,
            Unsubscribe: self._children.on_unsubscribe,
            Renew: self._children.on_renew,
            Keepalive: self._on_keepalive,
            Refuse: self._on_refuse,
            LeaseRequest: self._on_lease_request,
            LeaseGrant: self._on_lease_grant,
            Update: self._on_update,
            Versions: self._scrub.on_versions,
            Request: self._scrub.on_request,
            Compare: self._scrub.on_compare,
            Announce: self._document_relay.on_announce,
            DocumentRequest: self._document_relay.on_request,
            DocumentChunk: self._document_relay.on_chunk,
        }

    # --- events -----------------------------------------------------------------------------------

    def receive(self, now: int, sender: Address, message: Message) -> None:
        """Handle a message from another node; ignore a message from this node."""
        if sender == self.me.address:
            return
        self._record_message(now, sender)
        self._handlers[type(message)](now, sender, message)

    def on_disconnected(self, now: int, address: Address) -> None:
        """Handle the failure of the connection to `address`."""
        self._children.remove(address)
        self.documents.on_disconnected(address)
        self.link.on_disconnected(now, address)

    def tick(self, now: int) -> None:
        """Run all timers that are due."""
        if self.me.is_control:
            self._outbox.extend(self.control_peers.tick(now))
        else:
            self._outbox.extend(self.link.tick(now))
            self._scrub.compare_with_control_node(now)
        if now >= self._children.wake():
            self._send_keepalives(now)
        self._pushes.flush_due(now)
        self._pushes.forget_tombstones(now)

    def set_locations(self, now: int, locations: Sequence[NodeLocation]) -> None:
        """Set the locations of the current members."""
        self._topology.set_locations(locations)
        if self.me.is_control:
            self._update_control_peers(now)

    def set_seeds(self, now: int, seeds: Iterable[Address]) -> None:
        """Set the seed addresses after a change of the settings."""
        self._topology.set_seeds(seeds)
        if self.me.is_control:
            self._update_control_peers(now)

    def set_electorates(self, now: int, electorates: Iterable[Iterable[Address]]) -> None:
        """Require a majority of each electorate for a lease; without effect on a data-plane node.

        The electorates are the witnesses of the newest known view and, until that view is in force, the witnesses of
        the previous view.
        """
        if self.me.is_control:
            self.control_peers.set_electorates(now, electorates)

    # --- operations of this node ------------------------------------------------------------------

    def publish(self, now: int, items: Iterable[Item]) -> list[Item]:
        """Merge items created by this node and push the new ones; return the items that were new."""
        return self._pushes.merge(now, items, None)

    def refresh(self, kind: ItemKind, key: str) -> None:
        """Request a version of an item that is newer than the stored version (read repair)."""
        self._scrub.refresh(kind, key)

    def begin_write(self, now: int, items: Iterable[Item]) -> int:
        """Start a write of items to a majority of the control nodes; return the number of the write.

        `lease.is_written(number)` is True once a majority stores the items.
        """
        number = self.control_peers.begin_write(now, items)
        self._outbox.extend(self.control_peers.send_write(now, number))
        return number

    def flush(self, now: int) -> None:
        """Push all pending changes now."""
        self._pushes.flush(now)

    def take_actions(self) -> list[Send]:
        """Return the messages to send, and remove them from the outbox."""
        return self._outbox.take()

    def wake(self) -> int:
        """Return the time by which `tick` must be called next."""
        times = [self.control_peers.wake() if self.me.is_control else self.link.wake()]
        if self.me.is_control or self._children:
            times.append(self._children.wake())
        push_at = self._pushes.wake()
        if push_at is not None:
            times.append(push_at)
        return min(times)

    # --- state ------------------------------------------------------------------------------------

    @property
    def lease(self) -> ContactLease:
        """The contact lease of a control node; on a data-plane node, a lease that is never granted."""
        return self.node_status.lease

    @property
    def children(self) -> Mapping[Address, Child]:
        """The children of this node in the relay tree, by address."""
        return self._children.children

    # --- messages ---------------------------------------------------------------------------------

    def _record_message(self, now: int, sender: Address) -> None:
        self.link.on_message(now, sender)
        self._children.record_message(now, sender)
        if self.me.is_control:
            self._outbox.extend(self.control_peers.on_message(now, sender))

    def _on_keepalive(self, now: int, sender: Address, message: Keepalive) -> None:
        if self.me.is_control:
            return
        self._document_relay.record_newest(max(message.newest, message.versions.configuration))
        self._outbox.extend(self.link.on_keepalive(now, sender, message))
        parent = self.link.parent
        if parent is not None and parent.address == sender:
            self._on_parent_keepalive(now, parent, message)
        if message.digests:
            self._scrub.answer_digests(sender, message.digests)

    def _on_parent_keepalive(self, now: int, parent: Parent, message: Keepalive) -> None:
        has_contact = message.contact_age < NO_CONTACT
        grant = RelayedGrant(parent.contact_at, message.versions)
        if has_contact and self.relayed_lease.on_grant(grant, ControlVersions.of(self.table)):
            self._children.expedite_keepalive(now)
        if message.time.requested_at is None:
            # A parent pushes a version before it sends a keepalive with that version: a version still missing was lost.
            self._scrub.request_newer(parent.address, message.versions)

    def _on_refuse(self, now: int, sender: Address, message: Refuse) -> None:
        self.link.on_refuse(now, sender)

    def _on_update(self, now: int, sender: Address, message: Update) -> None:
        self._pushes.merge(now, message.items, sender)

    def _on_lease_request(self, now: int, sender: Address, message: LeaseRequest) -> None:
        """Merge the items before granting the request: a grant states that this node stores the items."""
        if self.me.is_control:
            self._pushes.merge(now, message.items, sender)
            self._outbox.extend(self.control_peers.on_lease_request(now, sender, message))

    def _on_lease_grant(self, now: int, sender: Address, message: LeaseGrant) -> None:
        self._document_relay.record_newest(message.versions.configuration)
        if self.control_peers.on_lease_grant(sender, message):
            self._children.expedite_keepalive(now)

    # --- helpers ----------------------------------------------------------------------------------

    def _on_items(self, items: Sequence[Item]) -> None:
        """Handle changes of the table; advance the leases, because grants can wait for the versions now stored."""
        self.documents.on_items(items)
        if any(item.key == CURRENT for item in items):
            own_versions = ControlVersions.of(self.table)
            self.lease.advance(own_versions)
            self.relayed_lease.advance(own_versions)

    def _send_keepalives(self, now: int) -> None:
        if self._children.begin_keepalives(now):
            self._pushes.flush_pending(now)  # a keepalive must follow the push of every version that it reports
            self._children.send_keepalives(now)

    def _update_control_peers(self, now: int) -> None:
        self.control_peers.update_peers(now, self._topology.control_addresses(), self._topology.seeds)

    def _subscription(self) -> Subscribe:
        return Subscribe(digests(self.table))
