"""Exchange the numbers of received heartbeats between control nodes, and find out who is the registrar.

Owns when each other control node was last received, and so which of them are in contact. The registrar is the first
control node, by its key, of those in contact with this one, itself among them: it alone applies the time-outs of
workers. It must not do so while numbers may have been missed (`has_missed_heartbeats`): heartbeats are announced to the
registrar alone, so a control node that becomes the registrar, for whatever reason, knows nothing of those before.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from google.protobuf.message import DecodeError

from canvasbeam.cluster.member import Member
from canvasbeam.cluster.transport import Channel, PeerInfo, Transport
from canvasbeam.cluster.workers_pb2 import HeardHeartbeat as WireHeartbeat
from canvasbeam.cluster.workers_pb2 import HeardHeartbeats as WireHeartbeats
from canvasbeam.runtime.logs import get_logger
from canvasbeam.runtime.settings import Address
from canvasbeam.service_discovery.worker_registry import ReceivedHeartbeat
from canvasbeam.units import MILLISECOND, SECOND

MAX_TICK_NS = 2 * SECOND  # more time between two ticks is a stall of this process
CONTACT_TIMEOUT_NS = 3 * SECOND // 2  # a control node that announces nothing for this long is out of contact
RECENT_CONTACT_NS = 600 * MILLISECOND

log = get_logger(__name__)

Receiver = Callable[[Iterable[ReceivedHeartbeat]], None]


class ExchangeNode(Protocol):
    """What the exchange needs of `ClusterNode`."""

    transport: Transport

    def control_nodes(self) -> Sequence[Member]:
        """Return the control nodes that are alive and not suspected."""
        ...

    def peer_address(self, member: Member) -> Address:
        """Return where a member takes messages."""
        ...

    def has_recent_contact(self, within_ns: int) -> bool:
        """Return whether the contact instant is within the last so many nanoseconds."""
        ...


class HeartbeatExchange:
    """The control nodes that announce heartbeats to each other, as one of them, at `own_ip`, sees it."""

    def __init__(self, own_ip: str, node: ExchangeNode, clock: Callable[[], int], receiver: Receiver) -> None:
        self._own_ip = own_ip
        self._node = node
        self._clock = clock
        self._receiver = receiver
        self._ticked_at_ns = clock()
        self._last_received_at_ns: dict[str, int] = {}  # by the IP address of the other control node
        self._in_contact: frozenset[str] = frozenset()
        self._was_registrar = False  # at the last tick
        node.transport.register(Channel.REGISTRY, self._on_message)

    def is_own(self, member: Member) -> bool:
        """Return whether a member is this node."""
        return member.ip == self._own_ip

    def announce(self, heartbeats: Iterable[ReceivedHeartbeat]) -> None:
        """Send the heartbeats received here to the registrar, and to the other control nodes that this one takes part.

        `HeardHeartbeats` and `HeardHeartbeat` are the wire's names.
        """
        message = WireHeartbeats(
            heartbeats=[WireHeartbeat(id=heartbeat.worker_id, sequence=heartbeat.sequence) for heartbeat in heartbeats]
        )
        registrar = self._registrar()
        others = [node for node in self._node.control_nodes() if not self.is_own(node)]
        self._send([node for node in others if node == registrar], message)
        self._send([node for node in others if node != registrar], WireHeartbeats())

    def has_missed_heartbeats(self, now_ns: int) -> bool:
        """Return whether the numbers of heartbeats that others received may be unknown here; for each tick once."""
        elapsed_ns, self._ticked_at_ns = now_ns - self._ticked_at_ns, now_ns
        has_stalled = elapsed_ns > MAX_TICK_NS
        has_contact_changed = self._update_contact(now_ns)
        was_registrar, self._was_registrar = self._was_registrar, self.is_registrar()
        has_become_registrar = self._was_registrar and not was_registrar
        if has_stalled or has_contact_changed or has_become_registrar:
            return True
        return not self._node.has_recent_contact(RECENT_CONTACT_NS)

    def _update_contact(self, now_ns: int) -> bool:
        """Find out which control nodes are in contact; return whether they are others than at the last tick."""
        former = self._in_contact
        self._in_contact = frozenset(
            ip
            for ip, received_at_ns in self._last_received_at_ns.items()
            if now_ns - received_at_ns <= CONTACT_TIMEOUT_NS
        )
        return former != self._in_contact

    def is_registrar(self) -> bool:
        """Return whether this node is the registrar, as far as it knows."""
        registrar = self._registrar()
        return registrar is not None and self.is_own(registrar)

    def _registrar(self) -> Member | None:
        nodes = [node for node in self._node.control_nodes() if self.is_own(node) or node.ip in self._in_contact]
        return min(nodes, key=lambda node: node.key, default=None)

    def _send(self, nodes: Sequence[Member], message: WireHeartbeats) -> None:
        addresses = [self._node.peer_address(node) for node in nodes]
        if addresses:
            self._node.transport.send_to_many(addresses, Channel.REGISTRY, message.SerializeToString())

    def _on_message(self, sender: PeerInfo, payload: bytes) -> None:
        try:
            message = WireHeartbeats.FromString(payload)
        except DecodeError:
            log.warning("registry message dropped peer={} reason=undecodable", sender.name)
            return
        self._last_received_at_ns[sender.ip] = self._clock()
        self._receiver(ReceivedHeartbeat(record.id, record.sequence) for record in message.heartbeats)
