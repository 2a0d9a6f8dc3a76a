"""One node of the cluster: its item table, its connections to other nodes, and its membership."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from google.protobuf.message import DecodeError

from canvasbeam.cluster import codec, membership_pb2
from canvasbeam.cluster.member import Member
from canvasbeam.cluster.member_listeners import MembersListener
from canvasbeam.cluster.node_core import NodeCore, PingAnswer, Ports
from canvasbeam.cluster.transport import Channel, PeerInfo, Transport
from canvasbeam.distribution.distribution import ProcessStart
from canvasbeam.distribution.messages import Message, Send
from canvasbeam.errors import Failure
from canvasbeam.failure_detection.monitoring import SendPing
from canvasbeam.item_table.items import Item, ItemKind, ItemTable, Version
from canvasbeam.leases.contact import ControlVersions
from canvasbeam.leases.messages import LeaseRequest
from canvasbeam.runtime.logs import get_logger, log_exceptions
from canvasbeam.runtime.process_budget import ProcessBudget
from canvasbeam.runtime.settings import Address, ProcessSettings

SECONDS_PER_NANOSECOND = 1e-9
MIN_WAIT_S = 0.005
IDLE_CHECK_NS = 5_000_000_000

log = get_logger(__name__)


class ItemStore(Protocol):
    """Keeps items on the disk of this node; `canvasbeam.control_plane.durable_items` implements it."""

    def store(self, items: Iterable[Item], on_durable: Callable[[], None]) -> None:
        """Call `on_durable` once these items, or newer versions of them, are durable; possibly before returning."""
        ...


class ClusterNode:
    """The cluster interface of a process: members, item distribution and transport, with sockets and a clock."""

    def __init__(self, settings: ProcessSettings, is_control: bool, budget: ProcessBudget | None = None) -> None:
        self.is_control = is_control
        self._ports = Ports(settings.control_peer_port, settings.data_peer_port)
        member = _own_member(settings, is_control)
        self.address = self._ports.address_of(member)
        self.transport = Transport(settings.node, self.address, budget)
        start = ProcessStart(random.randrange(1 << 32), time.monotonic_ns())
        self._core = NodeCore(member, self._ports, settings.seed_peers, start, _log_listener_failures)
        self.table: ItemTable = self._core.table
        self._item_store: ItemStore | None = None
        self._writes: dict[int, asyncio.Future[None]] = {}
        self._logged_contact: bool | None = None  # contact state logged last; None before the first contact
        self._timer: asyncio.TimerHandle | None = None
        self._next_idle_check = start.now + IDLE_CHECK_NS
        self._is_running = False
        self.transport.register(Channel.DISTRIBUTION, self._on_message)
        self.transport.register_datagrams(self._on_datagram)
        self.transport.register_disconnects(self._on_disconnected)

    # --- start and stop ---------------------------------------------------------------------------

    async def start(self) -> None:
        """Listen and contact the seed nodes; raise `OSError` if the port is in use."""
        await self.transport.start()
        self._is_running = True
        self._core.begin(time.monotonic_ns())
        self._perform()

    async def stop(self) -> None:
        """Close all connections immediately; for a planned shutdown, call `leave` first."""
        self._is_running = False
        if self._timer is not None:
            self._timer.cancel()
        await self.transport.stop()

    def leave(self) -> None:
        """Publish that this process is leaving the cluster."""
        self._core.leave(time.monotonic_ns())
        self._perform()

    def set_ready(self, ready: bool) -> None:
        """Publish whether this process accepts client requests."""
        self._core.set_ready(time.monotonic_ns(), ready)
        self._perform()

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the addresses of the seed nodes after a change of the settings."""
        self._core.distribution.set_seeds(time.monotonic_ns(), seeds)

    def set_electorates(self, electorates: Iterable[Iterable[str]]) -> None:
        """Set the sets of IP addresses of control nodes; a contact lease needs grants from a majority of each set."""
        self._core.set_electorates(time.monotonic_ns(), electorates)

    # --- items ------------------------------------------------------------------------------------

    def publish(self, items: Iterable[Item]) -> list[Item]:
        """Merge the items and distribute them to all nodes; return the items that were new."""
        new_items = self._core.publish(time.monotonic_ns(), items)
        self._perform()
        return new_items

    def set_item_store(self, item_store: ItemStore) -> None:
        """Store the items of writes, own and others', before this node confirms them; needed on every control node."""
        self._item_store = item_store

    async def write(self, items: Iterable[Item], within_s: float) -> bool:
        """Return True once a majority of the control nodes store the items, or False after `within_s` seconds.

        With an item store on each control node, "store" means on disk; this node is always part of the majority.
        Without items, True means that a majority of the control nodes answered a request sent after the call.
        """
        written_items = tuple(items)
        number = self._core.begin_write(time.monotonic_ns(), written_items)
        self._writes[number] = written = asyncio.get_running_loop().create_future()
        try:
            self._perform()
            async with asyncio.timeout(within_s):
                await _store(self._item_store, written_items)
                await written
        except TimeoutError:
            return False
        else:
            return True
        finally:
            del self._writes[number]
            self._core.end_write(number)

    def refresh(self, kind: ItemKind, key: str) -> None:
        """Request a newer version of an item from other nodes, without waiting for the result."""
        self._core.distribution.refresh(kind, key)
        self._perform()

    # --- members ----------------------------------------------------------------------------------

    def members(self) -> tuple[Member, ...]:
        """Return the members that are alive and not suspected, including this process."""
        return self._core.members(time.monotonic_ns())

    def add_members_listener(self, listener: MembersListener) -> None:
        """Call `listener` with the members after each change, at most 250 ms late if no item reports the change."""
        self._core.member_listeners.add(listener)

    @property
    def listeners_behind(self) -> int:
        """Number of listeners to items and members that raised and have not processed all changes since."""
        return self._core.listeners_behind

    def control_nodes(self) -> tuple[Member, ...]:
        """Return the control processes among the members."""
        return tuple(member for member in self.members() if member.is_control)

    def peer_address(self, member: Member) -> Address:
        """Return the address at which a member receives messages from other nodes."""
        return self._ports.address_of(member)

    def contact_age(self) -> int | None:
        """Return the age of the contact instant (own or relayed lease) in nanoseconds, or None before the first."""
        return self._core.contact_age(time.monotonic_ns())

    def has_recent_contact(self, within_ns: int) -> bool:
        """Return True if the contact instant is at most `within_ns` nanoseconds ago."""
        age = self.contact_age()
        return age is not None and age <= within_ns

    def has_majority(self) -> bool:
        """Return True if this node's contact lease is in force."""
        return self._core.has_majority(time.monotonic_ns())

    @property
    def is_behind(self) -> bool:
        """True if a newer configuration than the one stored on this node is known to exist."""
        return self._core.is_behind

    def has_recent_exchange(self) -> bool:
        """Return True if any other node has answered a recent message of this control node."""
        return self._core.has_recent_exchange(time.monotonic_ns())

    @property
    def stale_answers(self) -> int:
        """Number of probe answers that were ignored because they arrived too late."""
        return self._core.monitoring.stale_answers

    @property
    def parent(self) -> Address | None:
        """The address of the parent in the relay tree; None without a parent."""
        parent = self._core.distribution.link.parent
        return parent.address if parent else None

    # --- events -----------------------------------------------------------------------------------

    def _on_message(self, sender: PeerInfo, payload: bytes) -> None:
        message = codec.decode(payload)
        if isinstance(message, Failure):
            self.transport.counters.invalid += 1
            return
        if isinstance(message, LeaseRequest) and message.items and self._item_store is not None:
            # The node core grants a request on receipt, and the grant states that this node stores the items.
            self._item_store.store(message.items, lambda: self._receive(sender.address, message))
        else:
            self._receive(sender.address, message)

    def _receive(self, sender: Address, message: Message) -> None:
        self._core.receive(time.monotonic_ns(), sender, message)
        self._perform()

    def _on_disconnected(self, address: Address) -> None:
        self._core.on_disconnected(time.monotonic_ns(), address)
        self._perform()

    def _on_datagram(self, sender: Address, payload: bytes) -> None:
        try:
            probe = membership_pb2.Probe.FromString(payload)
        except DecodeError:
            self.transport.counters.invalid += 1
            return
        now = time.monotonic_ns()
        if probe.is_answer:
            if self.transport.incarnation_check.accepts(probe.life):
                self._core.on_answer(now, sender, probe.number)
        else:
            claim = Version(probe.incarnation, probe.status)
            self._core.on_ping(now, sender, probe.number, claim, probe.life)
            self._perform()

    # --- timer and actions ------------------------------------------------------------------------

    def _tick(self) -> None:
        self._timer = None
        now = time.monotonic_ns()
        self._core.tick(now)
        self._log_contact(now)
        if now >= self._next_idle_check:
            self._next_idle_check = now + IDLE_CHECK_NS
            self.transport.close_idle()
        self._perform()

    def _perform(self) -> None:
        """Execute the pending actions of the node core, complete finished writes, and schedule the next tick."""
        if not self._is_running:
            return
        for action in self._core.take_actions():
            match action:
                case Send(addresses, message):
                    self.transport.send_to_many(addresses, Channel.DISTRIBUTION, codec.encode(message))
                case SendPing():
                    self._send_ping(action)
                case PingAnswer(address, number, pinger_incarnation):
                    answer = membership_pb2.Probe(is_answer=True, number=number, life=pinger_incarnation)
                    self.transport.send_datagram(address, answer.SerializeToString())
        for number, written in self._writes.items():
            if not written.done() and self._core.is_written(number):
                written.set_result(None)
        self._schedule()

    def _log_contact(self, now: int) -> None:
        """Log one line when contact with the control nodes is lost, and one line when contact is regained."""
        has_contact = self._core.has_majority(now)
        if has_contact == self._logged_contact or (self._logged_contact is None and not has_contact):
            return
        if self._logged_contact is not None:
            versions = ControlVersions.of(self.table)
            versions_text = f"configuration={versions.configuration} evacuations={versions.evacuations}"
            if has_contact:
                log.info("contact regained {}", versions_text)
            else:
                log.warning("contact lost {}", versions_text)
        self._logged_contact = has_contact

    def _send_ping(self, ping: SendPing) -> None:
        message = membership_pb2.Probe(number=ping.number, life=self.transport.incarnation_check.incarnation)
        if ping.status:
            message.incarnation, message.status = ping.incarnation, int(ping.status)
        self.transport.send_datagram(ping.address, message.SerializeToString())

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        wait = (self._core.wake() - time.monotonic_ns()) * SECONDS_PER_NANOSECOND
        wake_at = loop.time() + max(wait, MIN_WAIT_S)
        if self._timer is not None:
            if self._timer.when() <= wake_at:
                return
            self._timer.cancel()
        self._timer = loop.call_at(wake_at, self._tick)


async def _store(item_store: ItemStore | None, items: tuple[Item, ...]) -> None:
    """Return once an item store has stored the items; at once without items, or without an item store."""
    if not items or item_store is None:
        return
    stored = asyncio.Event()
    item_store.store(items, stored.set)
    await stored.wait()


def _log_listener_failures(failures: Sequence[Exception]) -> None:
    log_exceptions(log, "items not processed by a listener action=retried", failures)


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
