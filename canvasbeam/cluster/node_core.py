"""The decisions of one node about items and members: distribution, monitoring and the node's own member item.

The module does no I/O: callers pass in events and the time in integer nanoseconds, and execute the returned actions.
`node.py` connects the node core to sockets and the clock, the tests connect it to a simulated network.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from canvasbeam.cluster.member import Member
from canvasbeam.cluster.member_list import MemberList
from canvasbeam.cluster.member_listeners import MemberListeners
from canvasbeam.cluster.own_member import OwnMember
from canvasbeam.distribution.distribution import Distribution, ProcessStart
from canvasbeam.distribution.messages import Message, Send
from canvasbeam.distribution.parameters import DistributionParameters
from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.monitoring import (
    KnownMember,
    Monitoring,
    MonitoringParameters,
    PublishStatus,
    SendPing,
)
from canvasbeam.failure_detection.node_location import NodeLocation
from canvasbeam.item_table.items import FailureHandler, Item, ItemKind, ItemTable, Version
from canvasbeam.leases.contact import ContactState, contact_state
from canvasbeam.runtime.change_listeners import raise_failures
from canvasbeam.runtime.process_incarnation import UNKNOWN_INCARNATION
from canvasbeam.runtime.settings import Address
from canvasbeam.units import MILLISECOND

MEMBERS_DELAY_NS = 30 * MILLISECOND  # delay from a member change to its use by distribution and monitoring
LISTENER_RETRY_NS = 500 * MILLISECOND  # interval between calls of a listener of the item table that keeps raising


@dataclass(frozen=True, slots=True)
class Ports:
    """The ports on which control and data-plane processes receive messages from nodes, the same on all machines."""

    control: int
    data: int

    def address_of(self, member: Member) -> Address:
        """Return the address at which a member receives messages from other nodes."""
        return Address(member.ip, self.control if member.is_control else self.data)


@dataclass(frozen=True, slots=True)
class PingAnswer:
    """The action of answering a ping; `pinger_incarnation` is the incarnation of the process that sent the ping."""

    address: Address
    number: int
    pinger_incarnation: int = UNKNOWN_INCARNATION


Action = Send | SendPing | PingAnswer


class NodeCore:
    """The state and decisions of one node, without sockets or a clock."""

    def __init__(
        self,
        member: Member,
        ports: Ports,
        seeds: Iterable[Address],
        start: ProcessStart,
        on_listener_failures: FailureHandler = raise_failures,
    ) -> None:
        self.table = ItemTable(on_listener_failures)
        self.own_member = OwnMember(member, random.Random(start.seed))
        self.parameters = DistributionParameters()
        self._ports = ports
        own_location = self._location(member)
        self.distribution = Distribution(own_location, seeds, self.table, self.parameters, start)
        self.monitoring = Monitoring(own_location, MonitoringParameters(), start.now)
        self._members = MemberList()
        self._members_changed_at: int | None = None
        self.member_listeners = MemberListeners(start.now, on_listener_failures)
        self._listener_retry_at: int | None = None
        self._now = start.now
        self._actions: list[Action] = []
        self.table.add_listener(self._on_items)

    # --- events -----------------------------------------------------------------------------------

    def begin(self, now: int) -> None:
        """Publish the member item of this node and run the first tick."""
        self.publish(now, [self.own_member.item()])
        self.tick(now)

    def publish(self, now: int, items: Iterable[Item]) -> list[Item]:
        """Merge the items and distribute them to all nodes; return the items that were new."""
        self._now = now
        return self.distribution.publish(now, items)

    def set_electorates(self, now: int, electorates: Iterable[Iterable[str]]) -> None:
        """Set the sets of IP addresses of control nodes; a contact lease needs grants from a majority of each set."""
        addresses = [[Address(ip, self._ports.control) for ip in electorate] for electorate in electorates]
        self.distribution.set_electorates(now, addresses)

    def begin_write(self, now: int, items: Iterable[Item]) -> int:
        """Send items to the control nodes; return the write number for `is_written` and `end_write`."""
        self._now = now
        return self.distribution.begin_write(now, items)

    def is_written(self, number: int) -> bool:
        """Return True if a majority of the control nodes store the items of this write."""
        return self.distribution.lease.is_written(number)

    def end_write(self, number: int) -> None:
        """Drop the state of a write whose result is no longer needed."""
        self.distribution.lease.end_write(number)

    def set_ready(self, now: int, ready: bool) -> None:
        """Publish whether this process accepts client requests."""
        item = self.own_member.set_ready(ready)
        if item is not None:
            self.publish(now, [item])

    def leave(self, now: int) -> None:
        """Publish that this process is leaving the cluster, without waiting for the next push."""
        self.publish(now, [self.own_member.leave()])
        self.distribution.flush(now)

    def receive(self, now: int, sender: Address, message: Message) -> None:
        """Handle a message from another node."""
        self._now = now
        self.monitoring.on_message(now, sender)
        self.distribution.receive(now, sender, message)

    def on_disconnected(self, now: int, address: Address) -> None:
        """Handle the failure of the connection to a node."""
        self.distribution.on_disconnected(now, address)

    def on_ping(
        self, now: int, sender: Address, number: int, claim: Version, pinger_incarnation: int = UNKNOWN_INCARNATION
    ) -> None:
        """Answer a ping and refute a wrong status of this node.

        `claim` is the sender's version of this node's member item. Its status is `ALIVE` unless the sender stores
        another status of this node.
        """
        self._now = now
        self.monitoring.on_received(now)
        if self.own_member.has_left:
            return
        self._actions.append(PingAnswer(sender, number, pinger_incarnation))
        if claim.minor:
            self._refute(claim)

    def on_answer(self, now: int, sender: Address, number: int) -> None:
        """Handle a ping answer from a monitored member."""
        self.monitoring.on_answer(now, sender, number)

    def tick(self, now: int) -> None:
        """Run all timed work that is due at `now`."""
        self._now = now
        self._retry_listeners(now)
        if self._members.expire(now) or self._is_members_update_due(now):
            self._update_members(now)
        if self.member_listeners.is_due(now):
            self.member_listeners.update(now, self.members(now))
        self.distribution.tick(now)
        for action in self.monitoring.tick(now, self.has_majority(now)):
            if isinstance(action, PublishStatus):
                self._publish_status(now, action)
            else:
                self._actions.append(action)

    def take_actions(self) -> list[Action]:
        """Return the pending actions and clear them."""
        actions, self._actions = [*self.distribution.take_actions(), *self._actions], []
        return actions

    def wake(self) -> int:
        """Return the latest time for the next call of `tick`, in nanoseconds."""
        times = [self.distribution.wake(), self.monitoring.wake()]
        if self._members_changed_at is not None:
            times.append(self._members_changed_at + MEMBERS_DELAY_NS)
        if self._listener_retry_at is not None:
            times.append(self._listener_retry_at)
        return min(times)

    def _retry_listeners(self, now: int) -> None:
        """Call the listeners of the item table that raised again, `LISTENER_RETRY_NS` after the first tick since."""
        if not self.table.listeners_behind:
            self._listener_retry_at = None
        elif self._listener_retry_at is None:
            self._listener_retry_at = now + LISTENER_RETRY_NS
        elif now >= self._listener_retry_at:
            self._listener_retry_at = now + LISTENER_RETRY_NS
            self.table.retry_listeners()

    # --- state ------------------------------------------------------------------------------------

    def members(self, now: int) -> tuple[Member, ...]:
        """Return the members that are alive and not suspected, including this node."""
        return self._members.alive(now, self.monitoring.is_unresponsive)

    @property
    def listeners_behind(self) -> int:
        """Number of listeners to items and members that raised and have not processed all changes since."""
        return self.table.listeners_behind + self.member_listeners.behind_count

    def contact_age(self, now: int) -> int | None:
        """Return the age of the contact instant (own or relayed lease) in nanoseconds, or None before the first."""
        return self.distribution.node_status.contact_age(now)

    def has_majority(self, now: int) -> bool:
        """Return True if the contact lease of this node is in force."""
        instant = self.distribution.node_status.contact_instant
        return contact_state(instant, now, self.parameters.contact_timeout_ns) is ContactState.CONFIRMED

    @property
    def is_behind(self) -> bool:
        """True if a newer configuration than the one stored on this node is known to exist."""
        return self.distribution.documents.is_behind

    def has_recent_exchange(self, now: int) -> bool:
        """Return True if any other node has answered a recent message of this control node.

        Return False if this node is partitioned in either direction, and right after its process stalled.
        """
        age = self.distribution.lease.exchange_age(now)
        return age is not None and age <= self.parameters.exchange_timeout_ns

    # --- members ----------------------------------------------------------------------------------

    def _on_items(self, items: Sequence[Item]) -> None:
        """Update the member list from changed member items, and refute a wrong status of this node."""
        changed = [item for item in items if item.kind is ItemKind.MEMBER]
        if not changed:
            return
        for item in changed:
            self._members.apply(self._now, item)
        if self._members_changed_at is None:
            self._members_changed_at = self._now
        self.member_listeners.update(self._now, self.members(self._now))
        for item in changed:
            if self.own_member.is_own(item):
                self._refute(item.version)

    def _refute(self, claim: Version) -> None:
        refutation = self.own_member.refute(claim)
        if refutation is not None:
            self.publish(self._now, [refutation])

    def _is_members_update_due(self, now: int) -> bool:
        return self._members_changed_at is not None and now >= self._members_changed_at + MEMBERS_DELAY_NS

    def _update_members(self, now: int) -> None:
        """Pass the members to distribution and monitoring, once for many changes: a fleet start causes many at once."""
        self._members_changed_at = None
        known = [
            KnownMember(self._location(listed.member), listed.member.incarnation, listed.status)
            for listed in self._members.known()
        ]
        self.distribution.set_locations(now, [known_member.location for known_member in known])
        self.monitoring.set_members(now, [listed for listed in known if listed.status <= MemberStatus.SUSPECT])

    def _publish_status(self, now: int, published: PublishStatus) -> None:
        item = self.table.get(ItemKind.MEMBER, published.key)
        if item is None:
            return
        version = Version(published.incarnation, int(published.status))
        is_dead = published.status > MemberStatus.SUSPECT
        payload = b"" if is_dead else item.payload
        self.publish(now, [Item(ItemKind.MEMBER, published.key, version, payload, deleted=is_dead)])

    def _location(self, member: Member) -> NodeLocation:
        return NodeLocation(member.key, self._ports.address_of(member), member.zone, member.region, member.is_control)
