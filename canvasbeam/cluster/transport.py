"""Messages between nodes: framed TCP, and small datagrams on the same port number.

`send` is best effort, in order on one connection, and never waits. A connection is opened at the first message and
carries messages both ways. What a cut link holds up is given up soon: whoever needs it delivered sends it again.

| state of a peer | from | to |
| --- | --- | --- |
| idle | the start; the connection was closed | connecting: a message to send; connected: it connected to us |
| connecting | | connected: the peer accepted; waiting: it did not in time |
| connected | | waiting: the connection failed |
| waiting | | connecting: the back-off is over; connected: it connected to us |
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from enum import IntEnum
from typing import cast

from google.protobuf.message import DecodeError

from canvasbeam.cluster import envelope_pb2
from canvasbeam.cluster.framing import FrameDecoder, FrameTooLarge, frame
from canvasbeam.runtime.settings import Address

MAGIC = 0x43425631
PROTOCOL_VERSION = 1
CONNECT_TIMEOUT = 0.5
USER_TIMEOUT_MS = 1_200
BACK_OFF_LEAST = 0.05
BACK_OFF_MOST = 0.4
QUEUE_BYTES = 4 << 20
DATAGRAM_BYTES = 1_200
LISTEN_BACKLOG = 512


class Channel(IntEnum):
    """Which part of the program a message is for. The numbers are those of the wire."""

    REPLICATION = 1
    DISTRIBUTION = 2
    MEMBERSHIP = 3
    REGISTRY = 4
    PLACEMENT = 5


class PeerState(IntEnum):
    """Whether messages can go to a peer now."""

    IDLE = 0
    CONNECTING = 1
    CONNECTED = 2
    WAITING = 3


@dataclass(frozen=True, slots=True)
class PeerInfo:
    """Who sent a message, and where that node listens."""

    name: str
    address: Address

    @property
    def ip(self) -> str:
        """The address of its machine."""
        return self.address.host


MessageCallback = Callable[[PeerInfo, bytes], None]
DatagramCallback = Callable[[Address, bytes], None]
DisconnectCallback = Callable[[Address], None]


@dataclass(slots=True)
class TransportCounters:
    """What was dropped, and why."""

    invalid: int = 0  # not understood, too large, or of another protocol
    overflowed: int = 0  # the queue to a peer was full
    lost: int = 0  # still unsent when the connection failed


class _Connection(asyncio.Protocol):
    """One TCP connection, opened by either side."""

    def __init__(self, owner: Transport, expected: Address | None) -> None:
        self.owner = owner
        self.expected = expected  # where we connected to; None where the other side did
        self.peer: PeerInfo | None = None
        self.transport: asyncio.Transport | None = None
        self._decoder = FrameDecoder()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Introduce ourselves."""
        self.transport = cast(asyncio.Transport, transport)
        set_socket_options(transport.get_extra_info("socket"))
        self.transport.write(self.owner.hello)
        self.owner.on_open(self)

    def data_received(self, data: bytes) -> None:
        """Take what came; a stream that is not understood is closed."""
        try:
            for message in self._decoder.feed(data):
                if not self._take(message):
                    self._reject()
                    return
        except (FrameTooLarge, DecodeError):
            self._reject()

    def connection_lost(self, exc: Exception | None) -> None:
        """The other side closed, or the network gave up."""
        self.owner.on_closed(self)

    def _take(self, message: bytes) -> bool:
        if self.peer is None:
            return self._take_hello(message)
        received = envelope_pb2.Frame.FromString(message)
        self.owner.on_frame(self.peer, received.channel, received.payload)
        return True

    def _take_hello(self, message: bytes) -> bool:
        hello = envelope_pb2.Hello.FromString(message)
        if hello.magic != MAGIC or hello.protocol_version != PROTOCOL_VERSION or not 0 < hello.listen_port < 65536:
            return False
        assert self.transport is not None
        peername = self.transport.get_extra_info("peername")
        if peername is None:
            return False
        self.peer = PeerInfo(hello.node, self.expected or Address(peername[0], hello.listen_port))
        self.owner.on_introduced(self)
        return True

    def _reject(self) -> None:
        self.owner.counters.invalid += 1
        if self.transport is not None:
            self.transport.abort()


class _Datagrams(asyncio.DatagramProtocol):
    """The UDP socket."""

    def __init__(self, owner: Transport) -> None:
        self.owner = owner

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        """Hand a datagram on."""
        self.owner.on_datagram(Address(str(addr[0]), int(addr[1])), data)


class _Peer:
    """The way to one address: its connection, and what waits for one."""

    def __init__(self, address: Address, owner: Transport) -> None:
        self.address = address
        self.state = PeerState.IDLE
        self._owner = owner
        self._connection: _Connection | None = None
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._failures = 0
        self._task: asyncio.Task[None] | None = None

    def send(self, data: bytes) -> None:
        """Write to the connection, or queue until there is one."""
        if self.state is PeerState.CONNECTED:
            self._write(data)
            return
        if self._queued_bytes + len(data) > QUEUE_BYTES:
            self._owner.counters.overflowed += 1
            return
        self._queue.append(data)
        self._queued_bytes += len(data)
        if self.state is PeerState.IDLE:
            self._enter(PeerState.CONNECTING)

    def adopt(self, connection: _Connection) -> None:
        """Use this connection, the newest, from now on: an older one may lead to a process that is gone."""
        self._connection = connection
        self._enter(PeerState.CONNECTED)

    def closed(self, connection: _Connection) -> None:
        """A connection ended; an older one than ours is of no interest."""
        if connection is self._connection:
            self._connection = None
            self._enter(PeerState.WAITING)
            self._owner.on_disconnected(self.address)

    def retry_now(self) -> None:
        """The peer was heard: end a back-off that dates from before."""
        if self.state is PeerState.WAITING:
            self._failures = 0
            self._enter(PeerState.CONNECTING if self._queue else PeerState.IDLE)

    def close(self) -> None:
        """Stop trying."""
        self._cancel()

    def _enter(self, state: PeerState) -> None:
        """Every change of state goes through here."""
        self._cancel()
        self.state = state
        if state is PeerState.CONNECTING:
            self._task = self._owner.spawn(self._connect())
        elif state is PeerState.CONNECTED:
            self._failures = 0
            self._flush()
        elif state is PeerState.WAITING:
            self._failures += 1
            self._drop_queue()
            self._task = self._owner.spawn(self._back_off())

    def _cancel(self) -> None:
        task, self._task = self._task, None
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    async def _connect(self) -> None:
        connection = await self._owner.connect(self.address)
        self._task = None
        if connection is None:
            self._enter(PeerState.WAITING)
            self._owner.on_disconnected(self.address)
        else:
            self.adopt(connection)

    async def _back_off(self) -> None:
        most = min(BACK_OFF_MOST, BACK_OFF_LEAST * 2 ** min(self._failures - 1, 8))
        await asyncio.sleep(most * (0.5 + random.random() / 2))
        self._task = None
        self._enter(PeerState.CONNECTING if self._queue else PeerState.IDLE)

    def _drop_queue(self) -> None:
        """What could not be sent is old by the time that the peer is back."""
        self._owner.counters.lost += len(self._queue)
        self._queue.clear()
        self._queued_bytes = 0

    def _flush(self) -> None:
        while self._queue:
            self._write(self._queue.popleft())
        self._queued_bytes = 0

    def _write(self, data: bytes) -> None:
        transport = self._connection.transport if self._connection else None
        if transport is None or transport.is_closing():
            self._owner.counters.lost += 1
        elif transport.get_write_buffer_size() + len(data) > QUEUE_BYTES:
            self._owner.counters.overflowed += 1
        else:
            transport.write(data)


class Transport:
    """All connections of one node."""

    def __init__(self, node: str, listen: Address) -> None:
        self.listen = listen
        self.counters = TransportCounters()
        hello = envelope_pb2.Hello(magic=MAGIC, protocol_version=PROTOCOL_VERSION, node=node, listen_port=listen.port)
        self.hello = frame(hello.SerializeToString())
        self._callbacks: dict[int, MessageCallback] = {}
        self._datagram_callback: DatagramCallback | None = None
        self._disconnect_callback: DisconnectCallback | None = None
        self._peers: dict[Address, _Peer] = {}
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._datagrams: asyncio.DatagramTransport | None = None

    # --- what the rest of the program uses --------------------------------------------------------

    async def start(self) -> None:
        """Listen for TCP and UDP; raises `OSError` where the port is taken."""
        loop = asyncio.get_running_loop()
        host, port = self.listen.host, self.listen.port
        self._server = await loop.create_server(lambda: _Connection(self, None), host, port, backlog=LISTEN_BACKLOG)
        self._datagrams, _ = await loop.create_datagram_endpoint(lambda: _Datagrams(self), (host, port))

    async def stop(self) -> None:
        """Close everything at once."""
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
        """Give the messages of a channel to this function."""
        self._callbacks[int(channel)] = callback

    def register_datagrams(self, callback: DatagramCallback) -> None:
        """Give the datagrams to this function."""
        self._datagram_callback = callback

    def register_disconnects(self, callback: DisconnectCallback) -> None:
        """Tell this function of each address whose connection failed or could not be opened."""
        self._disconnect_callback = callback

    def send(self, address: Address, channel: Channel, payload: bytes) -> None:
        """Send one message, if that can be done."""
        self.send_to_many((address,), channel, payload)

    def send_to_many(self, addresses: Iterable[Address], channel: Channel, payload: bytes) -> None:
        """Send the same message to several peers; it is encoded once."""
        data = frame(envelope_pb2.Frame(channel=int(channel), payload=payload).SerializeToString())  # type: ignore[arg-type]
        for address in addresses:
            self._peer(address).send(data)

    def send_datagram(self, address: Address, payload: bytes) -> None:
        """Send one datagram, which may be lost."""
        if self._datagrams is not None and not self._datagrams.is_closing():
            self._datagrams.sendto(payload, (address.host, address.port))

    def is_connected(self, address: Address) -> bool:
        """Whether there is a connection to this address now."""
        peer = self._peers.get(address)
        return peer is not None and peer.state is PeerState.CONNECTED

    # --- what the connections use -----------------------------------------------------------------

    def on_open(self, connection: _Connection) -> None:
        """A connection came up."""
        self._connections.add(connection)

    def on_introduced(self, connection: _Connection) -> None:
        """The other side said who it is; what we send it may go back this way."""
        if connection.expected is None and connection.peer is not None:
            self._peer(connection.peer.address).adopt(connection)

    def on_closed(self, connection: _Connection) -> None:
        """A connection ended."""
        self._connections.discard(connection)
        address = connection.expected or (connection.peer.address if connection.peer else None)
        peer = self._peers.get(address) if address else None
        if peer is not None:
            peer.closed(connection)

    def on_disconnected(self, address: Address) -> None:
        """A connection failed, or could not be opened."""
        if self._disconnect_callback is not None:
            self._disconnect_callback(address)

    def on_frame(self, sender: PeerInfo, channel: int, payload: bytes) -> None:
        """A message came."""
        callback = self._callbacks.get(channel)
        if callback is None:
            self.counters.invalid += 1
        else:
            callback(sender, payload)

    def on_datagram(self, sender: Address, payload: bytes) -> None:
        """A datagram came."""
        peer = self._peers.get(sender)
        if peer is not None:
            peer.retry_now()
        if len(payload) > DATAGRAM_BYTES:
            self.counters.invalid += 1
        elif self._datagram_callback is not None:
            self._datagram_callback(sender, payload)

    async def connect(self, address: Address) -> _Connection | None:
        """Open a connection from our own address; none where that does not come up in time."""
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            set_socket_options(sock)
            sock.bind((self.listen.host, 0))
            await asyncio.wait_for(loop.sock_connect(sock, (address.host, address.port)), CONNECT_TIMEOUT)
            _, connection = await loop.create_connection(lambda: _Connection(self, address), sock=sock)
        except (OSError, TimeoutError):
            sock.close()
            return None
        except asyncio.CancelledError:
            sock.close()
            raise
        return connection

    def spawn(self, work: object) -> asyncio.Task[None]:
        """Run a coroutine until it ends or the transport stops."""
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _peer(self, address: Address) -> _Peer:
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = _Peer(address, self)
        return peer


def set_socket_options(sock: socket.socket | None) -> None:
    """Notice a link that is cut: it says nothing, and the kernel's defaults wait for minutes."""
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
