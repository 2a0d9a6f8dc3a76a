"""One TCP connection between two nodes: the handshake, frames in both directions, and closing.

In the handshake each side sends a `Hello` message with its incarnation (`runtime/process_incarnation.py`) and with the
incarnation that it expects of the other side. The receiver drops frames addressed to an earlier incarnation of its
process. If the peer's `Hello` contains an unexpected incarnation, the connecting side sends a frame that corrects the
addressed incarnation. The wire format calls an incarnation `life`; this module and `transport.py` translate the name.
"""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress
from dataclasses import dataclass
from typing import Protocol, cast

from google.protobuf.message import DecodeError

from canvasbeam.cluster import envelope_pb2
from canvasbeam.cluster.framing import MAX_FRAME_BYTES, FrameDecoder, FrameTooLargeError, frame
from canvasbeam.runtime.process_budget import KIBIBYTE, ConnectionSlot, ProcessBudget, Stage
from canvasbeam.runtime.process_incarnation import UNKNOWN_INCARNATION, IncarnationCheck
from canvasbeam.runtime.settings import Address

MAGIC = 0x43425631
PROTOCOL_VERSION = 1
USER_TIMEOUT_MS = 1_200
MAX_QUEUE_BYTES = 4 << 20
READ_BYTES = 32 * KIBIBYTE  # limit on the bytes of one read from the kernel
# What an accepted connection may hold: the kernel's receive buffer as it is before this process has read, a read part
# with the message in it, and the Python objects.
CONNECTION_BYTES = 64 * KIBIBYTE + 2 * READ_BYTES + 8 * KIBIBYTE
QUEUE_ALLOWANCE_BYTES = READ_BYTES  # of unsent messages; what is beyond is reserved
FRAME_COPIES = 2  # of a message: in the decoder, and as the message that is handled


@dataclass(frozen=True, slots=True)
class PeerInfo:
    """The name, listen address and incarnation of the node at the other end of a connection."""

    name: str
    address: Address
    incarnation: int = UNKNOWN_INCARNATION

    @property
    def ip(self) -> str:
        """The IP address of the peer's machine."""
        return self.address.host


class ConnectionOwner(Protocol):
    """The part of the transport that a connection uses."""

    incarnation_check: IncarnationCheck
    budget: ProcessBudget

    def hello(self, expected_incarnation: int) -> bytes:
        """Return the framed `Hello` message for a peer that is expected to have this incarnation."""

    def time(self) -> float:
        """Return the event loop's time, in seconds."""

    def on_open(self, connection: Connection) -> None:
        """Register a connection that was established."""

    def on_hello(self, connection: Connection) -> None:
        """Handle the arrival of the peer's `Hello` message on this connection."""

    def on_closed(self, connection: Connection) -> None:
        """Unregister a connection that was closed."""

    def on_rejected(self) -> None:
        """Count invalid input from a peer."""

    def on_frame(self, sender: PeerInfo, channel: int, payload: bytes) -> None:
        """Deliver a received message to the subsystem of its channel."""


class Connection(asyncio.Protocol):
    """One TCP connection, opened by either side."""

    def __init__(
        self, owner: ConnectionOwner, dialed_address: Address | None, expected_incarnation: int = UNKNOWN_INCARNATION
    ) -> None:
        self.owner = owner
        self.dialed_address = dialed_address  # address to which this node connected; None for an accepted connection
        self.expected_incarnation = expected_incarnation
        # Incarnation of this process to which the peer addresses its frames.
        self._addressed_incarnation = UNKNOWN_INCARNATION
        self.peer: PeerInfo | None = None
        self.transport: asyncio.Transport | None = None
        self.used_at = 0.0
        self.is_idle_closed = False
        self._decoder = FrameDecoder()
        self._slot = ConnectionSlot(owner.budget, self)
        self._frame_memory = self._slot.memory.part()
        self._queue_memory = self._slot.memory.part()
        self.active_at_s = time.monotonic()

    @property
    def stage(self) -> Stage:
        """What the connection waits for, for the budget of the process."""
        if self.peer is None:
            return Stage.SILENT
        return Stage.READING if self._decoder.buffered_bytes else Stage.IDLE

    def evict(self) -> None:
        """Close the connection at once to make room for another one."""
        self._slot.memory.close()
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the `Hello` message on a new connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.used_at = self.owner.time()
        if self.dialed_address is None and not self._slot.take(CONNECTION_BYTES):
            self.transport.abort()
            return
        self.transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        set_socket_options(transport.get_extra_info("socket"))
        self.transport.write(self.owner.hello(self.expected_incarnation))
        self.owner.on_open(self)

    def data_received(self, data: bytes) -> None:
        """Decode and handle received frames; abort the connection if they are invalid."""
        self.used_at = self.owner.time()
        self.active_at_s = time.monotonic()
        try:
            for message in self._decoder.feed(data):
                if not self._handle_message(message):
                    self._reject()
                    return
        except (FrameTooLargeError, DecodeError):
            self._reject()
            return
        if not self._reserve_frame():
            self._reject()

    def _reserve_frame(self) -> bool:
        """Reserve memory for the incomplete message; return False if there is none."""
        missing = FRAME_COPIES * self._decoder.buffered_bytes - READ_BYTES - self._frame_memory.reserved_bytes
        if missing > 0:
            return self._frame_memory.grow(missing)
        if not self._decoder.buffered_bytes:
            self._frame_memory.release()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Report to the transport that the peer closed the connection or that the connection failed."""
        self._slot.give_back()
        self.owner.on_closed(self)

    def write(self, data: bytes) -> bool:
        """Send `data` and return True; return False if the connection is closing or its write buffer would overflow.

        The write buffer holds at most `MAX_QUEUE_BYTES` bytes and fills up when the peer does not read.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        queued_bytes = transport.get_write_buffer_size() + len(data)
        if queued_bytes > MAX_QUEUE_BYTES or not self._reserve_queue(queued_bytes):
            return False
        self.used_at = self.owner.time()
        transport.write(data)
        return True

    def _reserve_queue(self, queued_bytes: int) -> bool:
        """Reserve memory for so many unsent bytes; return False if there is none."""
        missing = queued_bytes - QUEUE_ALLOWANCE_BYTES - self._queue_memory.reserved_bytes
        if missing > 0:
            return self._queue_memory.grow(missing)
        self._queue_memory.shrink(-missing)
        return True

    def close_if_idle(self, since: float) -> None:
        """Close the connection if it was last used before `since`, because its TCP keepalive probes cost bytes."""
        if self.used_at < since and self.transport is not None:
            self.is_idle_closed = True
            self.transport.close()

    def _handle_message(self, message: bytes) -> bool:
        if self.peer is None:
            return self._handle_hello(message)
        received = envelope_pb2.Frame.FromString(message)
        if received.addressed_life:
            self._addressed_incarnation = received.addressed_life
        elif self.owner.incarnation_check.accepts(self._addressed_incarnation):
            self.owner.on_frame(self.peer, received.channel, received.payload)
        return True

    def _handle_hello(self, message: bytes) -> bool:
        hello = envelope_pb2.Hello.FromString(message)
        if hello.magic != MAGIC or hello.protocol_version != PROTOCOL_VERSION or not 0 < hello.listen_port < 65536:
            return False
        assert self.transport is not None
        peername = self.transport.get_extra_info("peername")
        if peername is None:
            return False
        self.peer = PeerInfo(hello.node, self.dialed_address or Address(peername[0], hello.listen_port), hello.life)
        self._addressed_incarnation = hello.expected_life
        if self.expected_incarnation not in (UNKNOWN_INCARNATION, hello.life):
            correction = envelope_pb2.Frame(addressed_life=hello.life)
            self.transport.write(frame(correction.SerializeToString()))
        self._decoder.max_frame_bytes = MAX_FRAME_BYTES
        self.owner.on_hello(self)
        return True

    def _reject(self) -> None:
        self.owner.on_rejected()
        if self.transport is not None:
            self.transport.abort()


def set_socket_options(sock: socket.socket | None) -> None:
    """Set short TCP timeouts, so that a connection over a broken link fails within seconds.

    A broken link sends no FIN or RST, and with the kernel's default timeouts a connection stays open for minutes.
    """
    if sock is None:
        return
    options = (
        (socket.IPPROTO_TCP, "TCP_NODELAY", 1),
        (socket.IPPROTO_TCP, "TCP_USER_TIMEOUT", USER_TIMEOUT_MS),
        (socket.SOL_SOCKET, "SO_KEEPALIVE", 1),
        (socket.IPPROTO_TCP, "TCP_KEEPIDLE", 1),
        (socket.IPPROTO_TCP, "TCP_KEEPINTVL", 1),
        (socket.IPPROTO_TCP, "TCP_KEEPCNT", 2),
    )
    for level, name, value in options:
        with suppress(OSError):
            sock.setsockopt(level, getattr(socket, name), value)
