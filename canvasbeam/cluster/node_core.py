"""What one node decides about items and members: distribution, monitoring and its own member item together.

Pure: events and the time in whole nanoseconds in, actions out. `node.py` joins it to sockets and the clock, the tests
to a simulated network.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from canvasbeam.cluster.member import Member
from canvasbeam.cluster.member_list import MemberList
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
from canvasbeam.item_table.items import Item, ItemKind, ItemTable, Version
from canvasbeam.leases.contact import ContactState, contact_state
from canvasbeam.runtime.process_incarnation import UNKNOWN_INCARNATION
from canvasbeam.runtime.settings import Address
from canvasbeam.units import MILLISECOND

MEMBERS_DELAY_NS = 30 * MILLISECOND  # after which changed members are given to the decisions


@dataclass(frozen=True, slots=True)
class Ports:
    """The ports on which nodes take messages, the same on all machines."""

    control: int
    data: int

    def address_of(self, member: Member) -> Address:
        """Return where a member takes messages of other nodes."""
        return Address(member.ip, self.control if member.is_control else self.data)


@dataclass(frozen=True, slots=True)
class PingAnswer:
    """Answer a ping of the process that is in this incarnation."""

    address: Address
    number: int
    pinger_incarnation: int = UNKNOWN_INCARNATION


Action = Send | SendPing | PingAnswer


class NodeCore:
    """The decisions of one node."""

    def __init__(self, member: Member, ports: Ports, seeds: Iterable[Address], start: ProcessStart) -> None:
        self.table = ItemTable()
        self.own = OwnMember(member, random.Random(start.seed))
        self.parameters = DistributionParameters()
        self._ports = ports
        me = self._location(member)
        self.distribution = Distribution(me, seeds, self.table, self.parameters, start)
        self.monitoring = Monitoring(me, MonitoringParameters(), start.now)
        self._members = MemberList()
        self._members_changed_at: int | None = None
        self._now = start.now
        self._actions: list[Action] = []
        self.table.add_listener(self._on_items)

    # --- events -----------------------------------------------------------------------------------

    def begin(self, now: int) -> None:
        """Publish our own member item."""
        self.publish(now, [self.own.item()])
        self.tick(now)

    def publish(self, now: int, items: Iterable[Item]) -> list[Item]:
        """Merge these items and bring them to all nodes; return those that were new."""
        self._now = now
        return self.distribution.publish(now, items)

    def set_electorates(self, now: int, electorates: Iterable[Iterable[str]]) -> None:
        """Take the sets of IP addresses of control nodes, a majority of each of which must grant a contact lease."""
        addresses = [[Address(ip, self._ports.control) for ip in electorate] for electorate in electorates]
        self.distribution.set_electorates(now, addresses)

    def begin_write(self, now: int, items: Iterable[Item]) -> int:
        """Have a majority of the control nodes hold items; return the number for `is_written` and `end_write`."""
        self._now = now
        return self.distribution.begin_write(now, items)

    def is_written(self, number: int) -> bool:
        """Return whether a majority of the control nodes hold the items of this write."""
        return self.distribution.lease.is_written(number)

    def end_write(self, number: int) -> None:
        """Forget a write that nobody waits for any more."""
        self.distribution.lease.end_write(number)

    def set_ready(self, now: int, ready: bool) -> None:
        """Publish whether this process takes clients."""
        item = self.own.set_ready(ready)
        if item is not None:
            self.publish(now, [item])

    def leave(self, now: int) -> None:
        """Publish that this process ends, without waiting for the next push."""
        self.publish(now, [self.own.leave()])
        self.distribution.flush(now)

    def receive(self, now: int, sender: Address, message: Message) -> None:
        """Take a message of another node."""
        self._now = now
        self.monitoring.on_message(now, sender)
        self.distribution.receive(now, sender, message)

    def on_disconnected(self, now: int, address: Address) -> None:
        """Take the failure of the connection to a node."""
        self.distribution.on_disconnected(now, address)

    def on_ping(
        self, now: int, sender: Address, number: int, claim: Version, pinger_incarnation: int = UNKNOWN_INCARNATION
    ) -> None:
        """Answer the ping of a monitor; its claim is the version of our item that it holds, where that is not alive."""
        self._now = now
        self.monitoring.on_received(now)
        if self.own.has_left:
            return
        self._actions.append(PingAnswer(sender, number, pinger_incarnation))
        if claim.minor:
            self._refute(claim)

    def on_answer(self, now: int, sender: Address, number: int) -> None:
        """Take the answer of a member that we monitor."""
        self.monitoring.on_answer(now, sender, number)

    def tick(self, now: int) -> None:
        """Do what is due."""
        self._now = now
        if self._members.expire(now) or self._is_members_update_due(now):
            self._update_members(now)
        self.distribution.tick(now)
        for action in self.monitoring.tick(now, self.has_majority(now)):
            if isinstance(action, PublishStatus):
                self._publish_status(now, action)
            else:
                self._actions.append(action)

    def take_actions(self) -> list[Action]:
        """Return what is to be sent, once."""
        actions, self._actions = [*self.distribution.take_actions(), *self._actions], []
        return actions

    def wake(self) -> int:
        """Return when `tick` has something to do at the latest."""
        wake = min(self.distribution.wake(), self.monitoring.wake())
        if self._members_changed_at is None:
            return wake
        return min(wake, self._members_changed_at + MEMBERS_DELAY_NS)

    # --- what is known ----------------------------------------------------------------------------

    def members(self, now: int) -> tuple[Member, ...]:
        """Return the members that are alive and not suspected, this one among them."""
        return self._members.alive(now, self.monitoring.is_unresponsive)

    def contact_age(self, now: int) -> int | None:
        """Return the nanoseconds since the contact instant, by its own lease or its parents'; none before the first."""
        return self.distribution.standing.contact_age(now)

    def has_majority(self, now: int) -> bool:
        """Return whether the contact lease of this node is in force."""
        instant = self.distribution.standing.contact_instant
        return contact_state(instant, now, self.parameters.contact_timeout_ns) is ContactState.CONFIRMED

    @property
    def is_behind(self) -> bool:
        """Whether a configuration is known of that is newer than the one held."""
        return self.distribution.documents.is_behind

    def has_recent_exchange(self, now: int) -> bool:
        """Return whether any other node has answered a recent message of this control node.

        Not so for one that is cut off in either direction, nor right after its process stalled.
        """
        age = self.distribution.lease.exchange_age(now)
        return age is not None and age <= self.parameters.exchange_timeout_ns

    # --- members ----------------------------------------------------------------------------------

    def _on_items(self, items: Sequence[Item]) -> None:
        """Take changed member items: keep the list, and refute a wrong status of our own."""
        changed = [item for item in items if item.kind is ItemKind.MEMBER]
        if not changed:
            return
        for item in changed:
            self._members.note(self._now, item)
        if self._members_changed_at is None:
            self._members_changed_at = self._now
        for item in changed:
            if self.own.is_own(item):
                self._refute(item.version)

    def _refute(self, claim: Version) -> None:
        refutation = self.own.refute(claim)
        if refutation is not None:
            self.publish(self._now, [refutation])

    def _is_members_update_due(self, now: int) -> bool:
        return self._members_changed_at is not None and now >= self._members_changed_at + MEMBERS_DELAY_NS

    def _update_members(self, now: int) -> None:
        """Give the members to distribution and monitoring. Not at each change: when a fleet starts there are many."""
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
