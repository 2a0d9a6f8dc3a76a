"""One node of the system: its item table, its links to other nodes, and its place among the members."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Iterable, Sequence

from google.protobuf.message import DecodeError

from canvasbeam.cluster import codec, membership_pb2
from canvasbeam.cluster.items import Item, ItemKind, ItemTable, Version
from canvasbeam.cluster.member import Member
from canvasbeam.cluster.member_list import MemberList
from canvasbeam.cluster.own_member import OwnMember
from canvasbeam.cluster.transport import Channel, PeerInfo, Transport
from canvasbeam.decide.distribution import Distribution, Start
from canvasbeam.decide.distribution_messages import DistributionTerms
from canvasbeam.decide.member_status import Status
from canvasbeam.decide.monitoring import Judge, Known, Monitoring, MonitoringTerms, Probe
from canvasbeam.decide.relay_tree import Place
from canvasbeam.errors import Failure
from canvasbeam.runtime.settings import Address, ProcessSettings

NANOSECOND = 1e-9
LEAST_WAIT_S = 0.005
MEMBERS_WAIT_S = 0.03  # within which the decisions are told of changed members


class ClusterNode:
    """The part of a process that knows the other nodes and keeps the item table."""

    def __init__(self, settings: ProcessSettings, is_control: bool) -> None:
        port = settings.control_peer_port if is_control else settings.data_peer_port
        self._settings = settings
        self.is_control = is_control
        self.address = Address(settings.ip, port)
        self.table = ItemTable()
        self.transport = Transport(settings.node, self.address)
        self._own = OwnMember(_own_member(settings, is_control))
        now = time.monotonic_ns()
        me = Place(self._own.member.key, self.address, settings.zone, settings.region, is_control)
        start = Start(random.randrange(1 << 32), now)
        self._terms = DistributionTerms()
        self._distribution = Distribution(me, settings.seed_peers, self.table, self._terms, start)
        self._monitoring = Monitoring(me, MonitoringTerms(), now)
        self._members = MemberList()
        self._timer: asyncio.TimerHandle | None = None
        self._is_running = False
        self._have_members_changed = False
        self.table.add_listener(self._on_items)
        self.transport.register(Channel.DISTRIBUTION, self._on_message)
        self.transport.register_datagrams(self._on_datagram)
        self.transport.register_disconnects(self._on_disconnected)

    # --- life -------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Listen, and look for the other nodes; raises `OSError` where the port is taken."""
        await self.transport.start()
        self._is_running = True
        self.publish([self._own.item()])
        self._tick()

    async def stop(self) -> None:
        """Close all connections at once. `leave` comes before, at a planned end."""
        self._is_running = False
        if self._timer is not None:
            self._timer.cancel()
        await self.transport.stop()

    def leave(self) -> None:
        """Tell the others that this process ends."""
        self.publish([self._own.leave()])
        self._distribution.flush(time.monotonic_ns())
        self._perform()

    def set_ready(self, ready: bool) -> None:
        """Tell the others whether this process takes clients."""
        item = self._own.set_ready(ready)
        if item is not None:
            self.publish([item])

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Take the peer addresses of other seeds, from changed settings."""
        self._distribution.set_seeds(time.monotonic_ns(), seeds)

    # --- items ------------------------------------------------------------------------------------

    def publish(self, items: Iterable[Item]) -> list[Item]:
        """Merge these items and bring them to all nodes; those that were new are returned."""
        taken = self._distribution.publish(time.monotonic_ns(), items)
        self._perform()
        return taken

    def refresh(self, kind: ItemKind, key: str) -> None:
        """Ask other nodes for a newer version of an item, without waiting for it."""
        self._distribution.refresh(kind, key)
        self._perform()

    # --- members ----------------------------------------------------------------------------------

    def members(self) -> tuple[Member, ...]:
        """The members that are alive and not suspected, this process among them."""
        return self._members.alive(time.monotonic_ns(), self._monitoring.is_silent)

    def control_nodes(self) -> tuple[Member, ...]:
        """The control processes among the members."""
        return tuple(each for each in self.members() if each.is_control)

    def peer_address(self, member: Member) -> Address:
        """Where a member takes messages of other nodes."""
        settings = self._settings
        return Address(member.ip, settings.control_peer_port if member.is_control else settings.data_peer_port)

    def control_age(self) -> int | None:
        """Nanoseconds since this node was in contact with most control nodes, directly or through others."""
        return self._distribution.control_age(time.monotonic_ns())

    def in_touch(self, within: int) -> bool:
        """Whether most control nodes were in contact within the last so many nanoseconds."""
        age = self.control_age()
        return age is not None and age <= within

    @property
    def parent(self) -> Address | None:
        """The parent in the relay tree, where there is one."""
        parent = self._distribution.link.parent
        return parent.address if parent else None

    # --- events -----------------------------------------------------------------------------------

    def _on_message(self, sender: PeerInfo, payload: bytes) -> None:
        message = codec.decode(payload)
        if isinstance(message, Failure):
            self.transport.counters.invalid += 1
            return
        now = time.monotonic_ns()
        self._monitoring.on_heard(now)
        self._distribution.receive(now, sender.address, message)
        self._perform()

    def _on_disconnected(self, address: Address) -> None:
        if self._is_running:
            now = time.monotonic_ns()
            self._distribution.on_disconnected(now, address)
            self._schedule()

    def _on_datagram(self, sender: Address, payload: bytes) -> None:
        try:
            probe = membership_pb2.Probe.FromString(payload)
        except DecodeError:
            self.transport.counters.invalid += 1
            return
        now = time.monotonic_ns()
        self._monitoring.on_heard(now)
        if probe.is_answer:
            self._monitoring.on_answer(now, sender)
        elif not self._own.has_left:
            answer = membership_pb2.Probe(is_answer=True, number=probe.number)
            self.transport.send_datagram(sender, answer.SerializeToString())
            if probe.status:
                self._refute(Version(probe.incarnation, probe.status))

    def _on_items(self, items: Sequence[Item]) -> None:
        """Members among changed items: keep the list, and refute what is said wrongly of us."""
        changed = [item for item in items if item.kind is ItemKind.MEMBER]
        if not changed:
            return
        now = time.monotonic_ns()
        for item in changed:
            self._members.note(now, item)
        self._have_members_changed = True
        for item in changed:
            if self._own.is_own(item):
                self._refute(item.version)

    def _refute(self, version: Version) -> None:
        refutation = self._own.refute(version)
        if refutation is not None:
            self.publish([refutation])

    def _tell_members(self, now: int) -> None:
        """Give the members to the decisions. Not at each change: when a fleet starts there are many."""
        self._have_members_changed = False
        known = [Known(self._place(member), member.incarnation, status) for member, status in self._members.known()]
        self._distribution.set_places(now, [each.place for each in known])
        self._monitoring.set_members(now, [each for each in known if each.status <= Status.SUSPECT])

    def _place(self, member: Member) -> Place:
        return Place(member.key, self.peer_address(member), member.zone, member.region, member.is_control)

    # --- time and actions -------------------------------------------------------------------------

    def _tick(self) -> None:
        self._timer = None
        now = time.monotonic_ns()
        if self._members.expire(now) or self._have_members_changed:
            self._tell_members(now)
        self._distribution.tick(now)
        for action in self._monitoring.tick(now, self.in_touch(self._terms.stale)):
            if isinstance(action, Probe):
                self._send_probe(action)
            else:
                self._publish_judgement(action)
        self._perform()

    def _send_probe(self, probe: Probe) -> None:
        message = membership_pb2.Probe(number=probe.number)
        if probe.status is not Status.ALIVE:
            message.incarnation, message.status = probe.incarnation, int(probe.status)
        self.transport.send_datagram(probe.address, message.SerializeToString())

    def _publish_judgement(self, judged: Judge) -> None:
        item = self.table.get(ItemKind.MEMBER, judged.key)
        if item is None:
            return
        version = Version(judged.incarnation, int(judged.status))
        is_dead = judged.status > Status.SUSPECT
        payload = b"" if is_dead else item.payload
        self.publish([Item(ItemKind.MEMBER, judged.key, version, payload, deleted=is_dead)])

    def _perform(self) -> None:
        """Send what the decisions ask for, and wake when they ask for it."""
        if not self._is_running:
            return
        for action in self._distribution.take_actions():
            self.transport.send_to_many(action.addresses, Channel.DISTRIBUTION, codec.encode(action.message))
        self._schedule()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        wake = min(self._distribution.wake(), self._monitoring.wake())
        wait = max((wake - time.monotonic_ns()) * NANOSECOND, LEAST_WAIT_S)
        when = loop.time() + (min(wait, MEMBERS_WAIT_S) if self._have_members_changed else wait)
        if self._timer is not None:
            if self._timer.when() <= when:
                return
            self._timer.cancel()
        self._timer = loop.call_at(when, self._tick)


def _own_member(settings: ProcessSettings, is_control: bool) -> Member:
    front = settings.listen.get("front")
    return Member(
        name=settings.node,
        node_class=settings.node_class,
        role=settings.role,
        ip=settings.ip,
        zone=settings.zone,
        region=settings.region,
        front=str(front) if front else "",
        ready=False,
        incarnation=0,
        is_control=is_control,
    )
