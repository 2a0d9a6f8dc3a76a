"""Exchange the sequence numbers of received heartbeats between control nodes, and determine the registrar.

Owns the time of the last message from each other control node, which determines the control nodes in contact with this
one. The registrar is the node with the lowest key among this node and the control nodes in contact with it; only the
registrar applies the heartbeat timeouts of workers. The registrar must not apply timeouts while it may have missed
sequence numbers (`has_missed_heartbeats`): heartbeats are announced only to the registrar, so a control node that
becomes the registrar, for whatever reason, does not know the heartbeats announced before.
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

MAX_TICK_NS = 2 * SECOND  # a longer interval between two ticks means that this process was stalled
CONTACT_TIMEOUT_NS = 3 * SECOND // 2  # a control node without an announcement for this long is out of contact
RECENT_CONTACT_NS = 600 * MILLISECOND

log = get_logger(__name__)

Receiver = Callable[[Iterable[ReceivedHeartbeat]], None]


class ExchangeNode(Protocol):
    """The part of `ClusterNode` that the heartbeat exchange uses."""

    transport: Transport

    def control_nodes(self) -> Sequence[Member]:
        """Return the control nodes that are alive and not suspected."""
        ...

    def peer_address(self, member: Member) -> Address:
        """Return the address at which a member receives messages from other nodes."""
        ...

    def has_recent_contact(self, within_ns: int) -> bool:
        """Return True if a majority has granted a contact lease requested in the last `within_ns` nanoseconds."""
        ...


class HeartbeatExchange:
    """Exchanges heartbeat announcements between this control node, at `own_ip`, and the other control nodes."""

    def __init__(self, own_ip: str, node: ExchangeNode, clock: Callable[[], int], receiver: Receiver) -> None:
        self._own_ip = own_ip
        self._node = node
        self._clock = clock
        self._receiver = receiver
        self._ticked_at_ns = clock()
        self._last_received_at_ns: dict[str, int] = {}  # last announcement by IP address of the sending control node
        self._in_contact: frozenset[str] = frozenset()
        self._was_registrar = False  # whether this node was the registrar at the last tick
        node.transport.register(Channel.REGISTRY, self._on_message)

    def is_own(self, member: Member) -> bool:
        """Return True if a member is this node."""
        return member.ip == self._own_ip

    def announce(self, heartbeats: Iterable[ReceivedHeartbeat]) -> None:
        """Send the heartbeats received by this node to the registrar, and an empty announcement to other control nodes.

        The empty announcement keeps this node in contact. `HeardHeartbeats` and `HeardHeartbeat` are names on the wire.
        """
        message = WireHeartbeats(
            heartbeats=[WireHeartbeat(id=heartbeat.worker_id, sequence=heartbeat.sequence) for heartbeat in heartbeats]
        )
        registrar = self._registrar()
        others = [node for node in self._node.control_nodes() if not self.is_own(node)]
        self._send([node for node in others if node == registrar], message)
        self._send([node for node in others if node != registrar], WireHeartbeats())

    def has_missed_heartbeats(self, now_ns: int) -> bool:
        """Return True if heartbeats received by other nodes may be unknown to this node; call exactly once per tick."""
        elapsed_ns, self._ticked_at_ns = now_ns - self._ticked_at_ns, now_ns
        has_stalled = elapsed_ns > MAX_TICK_NS
        has_contact_changed = self._update_contact(now_ns)
        was_registrar, self._was_registrar = self._was_registrar, self.is_registrar()
        has_become_registrar = self._was_registrar and not was_registrar
        if has_stalled or has_contact_changed or has_become_registrar:
            return True
        return not self._node.has_recent_contact(RECENT_CONTACT_NS)

    def _update_contact(self, now_ns: int) -> bool:
        """Update the set of control nodes in contact with this node; return True if the set has changed."""
        former = self._in_contact
        self._in_contact = frozenset(
            ip
            for ip, received_at_ns in self._last_received_at_ns.items()
            if now_ns - received_at_ns <= CONTACT_TIMEOUT_NS
        )
        return former != self._in_contact

    def is_registrar(self) -> bool:
        """Return True if this node is the registrar according to its own view of the control nodes in contact."""
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
