"""Messages between nodes: framed TCP, and small UDP datagrams on the same port number.

`send` never blocks. Delivery is best effort, in order on one connection. The first message to a peer opens a
connection, which carries messages in both directions. Messages delayed by a broken link are soon dropped, so a sender
that needs delivery must retry.

The state of the link to each peer is in `peer_link.py`, one connection in `connection.py`, the UDP socket in
`datagrams.py`. The transport owns all links, connections and sockets. It must never parse the payload of a message.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable, Coroutine, Iterable

from canvasbeam.cluster import envelope_pb2
from canvasbeam.cluster.channels import Channel
from canvasbeam.cluster.connection import (
    MAGIC,
    PROTOCOL_VERSION,
    Connection,
    PeerInfo,
    set_socket_options,
)
from canvasbeam.cluster.datagrams import MAX_DATAGRAM_BYTES, DatagramSocket, add_channel, split_channel
from canvasbeam.cluster.framing import frame
from canvasbeam.cluster.peer_link import PeerLink, PeerState, TransportCounters
from canvasbeam.runtime.process_budget import ProcessBudget
from canvasbeam.runtime.process_incarnation import IncarnationCheck, draw_incarnation
from canvasbeam.runtime.settings import Address

__all__ = ["Channel", "PeerInfo", "PeerState", "Transport", "TransportCounters"]

CONNECT_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 10.0
ACCEPT_BATCH = 32  # connections that are accepted before the event loop handles others
LISTEN_BACKLOG = 128


MessageCallback = Callable[[PeerInfo, bytes], None]
DatagramCallback = Callable[[Address, bytes], None]
DisconnectCallback = Callable[[Address], None]


class Transport:
    """All connections and the UDP socket of one node."""

    def __init__(self, node: str, listen: Address, budget: ProcessBudget | None = None) -> None:
        self.budget = budget or ProcessBudget.unlimited()
        self.listen = listen
        self.counters = TransportCounters()
        self.incarnation_check = IncarnationCheck(draw_incarnation(random.SystemRandom()))
        self._node = node
        self._callbacks: dict[int, MessageCallback] = {}
        self._datagram_callbacks: dict[int, DatagramCallback] = {}
        self._disconnect_callback: DisconnectCallback | None = None
        self._peers: dict[Address, PeerLink] = {}
        self._connections: set[Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._datagrams: asyncio.DatagramTransport | None = None

    # --- public interface -------------------------------------------------------------------------

    async def start(self) -> None:
        """Listen for TCP and UDP; raise `OSError` if the port is in use."""
        loop = asyncio.get_running_loop()
        host, port = self.listen.host, self.listen.port
        listener = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        # asyncio accepts as many connections at once as it is given as the backlog, so the backlog is set again.
        self._server = await loop.create_server(lambda: Connection(self, None), sock=listener, backlog=ACCEPT_BATCH)
        listener.listen(LISTEN_BACKLOG)
        self._datagrams, _ = await loop.create_datagram_endpoint(lambda: DatagramSocket(self.on_datagram), (host, port))

    async def stop(self) -> None:
        """Close all sockets immediately and cancel all tasks."""
        if self._server is not None:
            self._server.close()
        if self._datagrams is not None:
            self._datagrams.close()
        for peer in self._peers.values():
            peer.close()
        self._peers.clear()
        for connection in tuple(self._connections):
            if connection.transport is not None:
                connection.transport.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def register(self, channel: Channel, callback: MessageCallback) -> None:
        """Set the callback for the messages of a channel."""
        self._callbacks[int(channel)] = callback

    def register_datagrams(self, callback: DatagramCallback, channel: Channel = Channel.MEMBERSHIP) -> None:
        """Set the callback for the datagrams of a channel."""
        self._datagram_callbacks[int(channel)] = callback

    def register_disconnects(self, callback: DisconnectCallback) -> None:
        """Set the callback for each address to which a connection failed or could not be opened."""
        self._disconnect_callback = callback

    def send(self, address: Address, channel: Channel, payload: bytes) -> None:
        """Send one message, best effort."""
        self.send_to_many((address,), channel, payload)

    def send_to_many(self, addresses: Iterable[Address], channel: Channel, payload: bytes) -> None:
        """Send the same message, encoded once, to several peers."""
        data = frame(envelope_pb2.Frame(channel=int(channel), payload=payload).SerializeToString())  # type: ignore[arg-type]
        for address in addresses:
            self._peer(address).send(data)

    def send_datagram(self, address: Address, payload: bytes, channel: Channel = Channel.MEMBERSHIP) -> None:
        """Send one datagram, best effort."""
        if self._datagrams is not None and not self._datagrams.is_closing():
            self._datagrams.sendto(add_channel(payload, channel), (address.host, address.port))

    def close_idle(self) -> None:
        """Close connections unused for `IDLE_TIMEOUT_S` seconds and remove idle peers; called periodically."""
        since = self.time() - IDLE_TIMEOUT_S
        for connection in tuple(self._connections):
            connection.close_if_idle(since)
        for address in [address for address, peer in self._peers.items() if peer.state is PeerState.IDLE]:
            del self._peers[address]

    # --- callbacks for connections and peer links -------------------------------------------------

    def hello(self, expected_incarnation: int) -> bytes:
        """Return the framed `Hello` message for a peer that is expected to have this incarnation."""
        hello = envelope_pb2.Hello(
            magic=MAGIC,
            protocol_version=PROTOCOL_VERSION,
            node=self._node,
            listen_port=self.listen.port,
            life=self.incarnation_check.incarnation,
            expected_life=expected_incarnation,
        )
        return frame(hello.SerializeToString())

    def on_open(self, connection: Connection) -> None:
        """Register a connection that was established."""
        self._connections.add(connection)

    def on_hello(self, connection: Connection) -> None:
        """Update the peer's link after its `Hello` message; the link uses a connection that the peer opened."""
        if connection.peer is None:
            return
        peer = self._peer(connection.peer.address)
        if connection.dialed_address is None:
            peer.use_connection(connection)
        else:
            peer.set_incarnation(connection.peer.incarnation)

    def on_closed(self, connection: Connection) -> None:
        """Unregister a connection that was closed, and update its peer link."""
        self._connections.discard(connection)
        address = connection.dialed_address or (connection.peer.address if connection.peer else None)
        peer = self._peers.get(address) if address else None
        if peer is not None:
            peer.on_closed(connection)

    def on_disconnected(self, address: Address) -> None:
        """Report that a connection to `address` failed or could not be opened."""
        if self._disconnect_callback is not None:
            self._disconnect_callback(address)

    def on_rejected(self) -> None:
        """Count invalid input from a peer."""
        self.counters.invalid += 1

    def time(self) -> float:
        """Return the event loop's time, in seconds."""
        return asyncio.get_running_loop().time()

    def on_frame(self, sender: PeerInfo, channel: int, payload: bytes) -> None:
        """Pass a message to the callback of its channel; count a message of an unknown channel."""
        callback = self._callbacks.get(channel)
        if callback is None:
            self.counters.invalid += 1
        else:
            callback(sender, payload)

    def on_datagram(self, sender: Address, payload: bytes) -> None:
        """Pass a datagram to the callback of its channel, and end the backoff of its sender's link."""
        peer = self._peers.get(sender)
        if peer is not None:
            peer.retry_now()
        channel, content = split_channel(payload)
        callback = self._datagram_callbacks.get(channel)
        if len(payload) > MAX_DATAGRAM_BYTES or callback is None:
            self.counters.invalid += 1
        else:
            callback(sender, content)

    async def connect(self, address: Address) -> Connection | None:
        """Open a connection from this node's own address; return None if the attempt fails or times out."""
        loop = asyncio.get_running_loop()
        incarnation = self._peer(address).incarnation
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            set_socket_options(sock)
            sock.bind((self.listen.host, 0))
            await asyncio.wait_for(loop.sock_connect(sock, (address.host, address.port)), CONNECT_TIMEOUT_S)
            _, connection = await loop.create_connection(lambda: Connection(self, address, incarnation), sock=sock)
        except (OSError, TimeoutError):
            sock.close()
            return None
        except asyncio.CancelledError:
            sock.close()
            raise
        return connection

    def spawn(self, work: Coroutine[object, object, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task, which is cancelled when the transport stops."""
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _peer(self, address: Address) -> PeerLink:
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = PeerLink(address, self)
        return peer
