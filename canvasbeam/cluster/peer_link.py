"""The link to one other node: its connection, the queue of unsent messages, and the backoff between attempts.

| state | from | to |
| --- | --- | --- |
| idle | creation; idle timeout | connecting: a message is sent; connected: the peer opened a connection |
| connecting | | connected: this node or the peer opened a connection; waiting: the attempt failed or timed out |
| connected | | waiting: the connection failed; idle: it was closed after the idle timeout |
| waiting | | connecting or idle: the backoff is over, or a datagram arrived; connected: the peer opened a connection |

Messages are queued only until a connection attempt ends, and a failed attempt drops the queue: delivery is best effort,
and a sender that needs delivery must retry.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Coroutine
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

from canvasbeam.cluster.connection import MAX_QUEUE_BYTES, Connection
from canvasbeam.runtime.process_incarnation import UNKNOWN_INCARNATION
from canvasbeam.runtime.settings import Address

MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4


class PeerState(IntEnum):
    """The state of the link to a peer; the module docstring has the transitions."""

    IDLE = 0
    CONNECTING = 1
    CONNECTED = 2
    WAITING = 3


@dataclass(slots=True)
class TransportCounters:
    """Numbers of dropped messages, by cause."""

    invalid: int = 0  # received input that was malformed, too large, or of another protocol or an unknown channel
    overflowed: int = 0  # not sent: the queue to the peer was full, or its connection was closing
    lost: int = 0  # still queued when the connection or the connection attempt failed
    other_incarnation: int = 0  # still queued when the peer was found to have another incarnation


class PeerOwner(Protocol):
    """The part of the transport that a peer link uses."""

    counters: TransportCounters

    async def connect(self, address: Address) -> Connection | None:
        """Open a connection; return None if the attempt fails or times out."""

    def spawn(self, work: Coroutine[object, object, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task, which is cancelled when the transport stops."""

    def on_disconnected(self, address: Address) -> None:
        """Report that a connection to `address` failed or could not be opened."""


class PeerLink:
    """The link to one address: its connection, the queue of unsent messages, and the backoff between attempts."""

    def __init__(self, address: Address, owner: PeerOwner) -> None:
        self.address = address
        self.state = PeerState.IDLE
        self.incarnation = UNKNOWN_INCARNATION  # incarnation of the last process that was seen at the address
        self._owner = owner
        self._connection: Connection | None = None
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._failures = 0
        self._task: asyncio.Task[None] | None = None

    def send(self, data: bytes) -> None:
        """Write to the connection, or queue the message until a connection is established."""
        if self.state is PeerState.CONNECTED:
            self._write(data)
            return
        if self._queued_bytes + len(data) > MAX_QUEUE_BYTES:
            self._owner.counters.overflowed += 1
            return
        self._queue.append(data)
        self._queued_bytes += len(data)
        if self.state is PeerState.IDLE:
            self._enter(PeerState.CONNECTING)

    def use_connection(self, connection: Connection) -> None:
        """Replace the connection by this newer one, because the process behind an older connection may be gone."""
        self._connection = connection
        if connection.peer is not None:
            self.set_incarnation(connection.peer.incarnation)
        self._enter(PeerState.CONNECTED)

    def set_incarnation(self, incarnation: int) -> None:
        """Set the incarnation of the process at this address, and drop messages queued for another incarnation."""
        if self.incarnation not in (UNKNOWN_INCARNATION, incarnation):
            self._owner.counters.other_incarnation += len(self._queue)
            self._clear_queue()
        self.incarnation = incarnation

    def on_closed(self, connection: Connection) -> None:
        """Handle the end of a connection; ignore a connection that was replaced."""
        if connection is self._connection:
            self._connection = None
            if connection.is_idle_closed:
                self._enter(PeerState.IDLE)
                return
            self._enter(PeerState.WAITING)
            self._owner.on_disconnected(self.address)

    def retry_now(self) -> None:
        """End the backoff, because a datagram from the peer was received."""
        if self.state is PeerState.WAITING:
            self._failures = 0
            self._enter(PeerState.CONNECTING if self._queue else PeerState.IDLE)

    def close(self) -> None:
        """Cancel the connection attempt or the backoff."""
        self._cancel()

    def _enter(self, state: PeerState) -> None:
        """Change the state and start its task; only this method changes the state."""
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
            self.use_connection(connection)

    async def _back_off(self) -> None:
        max_wait_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(self._failures - 1, 8))
        await asyncio.sleep(max_wait_s * (0.5 + random.random() / 2))
        self._task = None
        self._enter(PeerState.CONNECTING if self._queue else PeerState.IDLE)

    def _drop_queue(self) -> None:
        """Drop the queued messages, because they would be outdated when the peer is reachable again."""
        self._owner.counters.lost += len(self._queue)
        self._clear_queue()

    def _clear_queue(self) -> None:
        self._queue.clear()
        self._queued_bytes = 0

    def _flush(self) -> None:
        while self._queue:
            self._write(self._queue.popleft())
        self._queued_bytes = 0

    def _write(self, data: bytes) -> None:
        if self._connection is None or not self._connection.write(data):
            self._owner.counters.overflowed += 1
