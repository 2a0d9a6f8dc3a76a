"""Send and receive the messages of one replication member over the transport between nodes.

Owns the incarnation of this process: every message carries the incarnation, and an answer to an earlier incarnation is
dropped and counted. A message that cannot be decoded, or whose sender is not a member at the peer's IP address, is
dropped and logged. Sending is best effort, because the member repeats messages that need an answer.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from canvasbeam.cluster.transport import Channel, PeerInfo
from canvasbeam.control_plane.replication_codec import ReceivedMessage, ReplicationCodec
from canvasbeam.errors import Failure
from canvasbeam.replication.messages import ANSWERS, Message
from canvasbeam.replication.views import MemberId, member_ip
from canvasbeam.runtime.logs import get_logger
from canvasbeam.runtime.process_incarnation import UNKNOWN_INCARNATION, IncarnationCheck, draw_incarnation
from canvasbeam.runtime.settings import Address

log = get_logger(__name__)

Receiver = Callable[[ReceivedMessage], None]


class ReplicationTransport(Protocol):
    """The methods used of `canvasbeam.cluster.transport.Transport`: best-effort messages between addresses."""

    def send(self, address: Address, channel: Channel, payload: bytes) -> None:
        """Send one message; the message may be lost."""
        ...

    def register(self, channel: Channel, callback: Callable[[PeerInfo, bytes], None]) -> None:
        """Call `callback` with each message received on a channel, and its sender."""
        ...


class ReplicationLink:
    """Encodes and sends the messages of a member; decodes and checks the messages of the other members."""

    def __init__(self, transport: ReplicationTransport, codec: ReplicationCodec, peer_port: int) -> None:
        self._transport = transport
        self._codec = codec
        self._peer_port = peer_port  # port for messages of peers, the same at all control processes
        self._incarnation = IncarnationCheck(draw_incarnation(random.SystemRandom()))
        self._receiver: Receiver | None = None

    @property
    def stale_answers(self) -> int:
        """The number of dropped answers to earlier incarnations of this process."""
        return self._incarnation.dropped

    def register(self) -> None:
        """Subscribe to the replication channel; messages are dropped until `set_receiver` sets a receiver."""
        self._transport.register(Channel.REPLICATION, self._on_message)

    def set_receiver(self, receiver: Receiver) -> None:
        """Call `receiver` with every message that passes the checks."""
        self._receiver = receiver

    def send(
        self, sender: MemberId, ip: str, message: Message, answered_incarnation: int = UNKNOWN_INCARNATION
    ) -> None:
        """Send a message of this node's member to the control process at an IP address."""
        payload = self._codec.encode(sender, message, self._incarnation.incarnation, answered_incarnation)
        self._transport.send(Address(ip, self._peer_port), Channel.REPLICATION, payload)

    def _on_message(self, peer: PeerInfo, payload: bytes) -> None:
        if self._receiver is None:
            return
        received = self._codec.decode(payload)
        if isinstance(received, Failure):
            log.warning("replication message dropped peer_ip={} failure={}", peer.ip, received)
            return
        if member_ip(received.sender) != peer.ip:
            log.warning("replication message dropped peer_ip={} claimed_sender={}", peer.ip, received.sender)
            return
        if isinstance(received.message, ANSWERS) and not self._incarnation.accepts(received.answered_incarnation):
            return
        self._receiver(received)
