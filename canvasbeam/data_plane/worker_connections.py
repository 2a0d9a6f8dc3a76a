"""Pool the connections to workers: one request at a time per connection; the latest idle connection is reused first.

`WorkerConnections` owns a `WorkerPool` for each worker in the endpoint list, and each pool owns its connections. A
connection is opened only if no idle connection may be reused, and never above this node's share of the connections that
the worker accepts. This module neither chooses workers nor writes requests.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import httpcore

from canvasbeam.data_plane.network_stream import WorkerStream, connect
from canvasbeam.runtime.settings import Address

CONNECT_TIMEOUT_S = 0.5
# Maximum idle time of a reused connection whose worker announced no keep-alive timeout, because the worker may close an
# idle connection at any time; the second limit is for requests that must not be repeated.
DEFAULT_IDLE_LIMIT_S = 15.0
DEFAULT_IDLE_LIMIT_UNSAFE_S = 4.0
# Safety margin that is subtracted from an announced keep-alive timeout, because the worker's idle time starts earlier
# than this node's; the second margin is for requests that must not be repeated.
IDLE_MARGIN_S = 0.3
IDLE_MARGIN_UNSAFE_S = 1.0
MIN_CONNECTIONS = 3
# Recent request ids kept per connection, because a surplus answer to one of these requests may still arrive.
MAX_RECENT_REQUEST_IDS = 16


class WorkerConnectError(Exception):
    """No connection to the worker is available, and no byte was sent."""


@dataclass(slots=True, eq=False)
class WorkerConnection:
    """A connection to a worker, with its recent requests and the keep-alive headers of the worker's answers."""

    stream: WorkerStream
    http: httpcore.AsyncHTTP11Connection
    origin: httpcore.Origin
    announced_idle_limit_s: float | None = None
    idle_since_s: float = 0.0
    completed_requests: int = 0
    closing: bool = False  # True if the worker announced the close of the connection, or this node is closing it
    recent_request_ids: deque[bytes] = field(default_factory=lambda: deque(maxlen=MAX_RECENT_REQUEST_IDS))

    @property
    def is_first_use(self) -> bool:
        """True if no request was completed on the connection, so an answer can only be for the current request."""
        return self.completed_requests == 0

    @property
    def is_clean(self) -> bool:
        """True if the last request was sent completely and no bytes follow its answer."""
        unread, _ = self.http._h11_state.trailing_data  # noqa: SLF001 - httpcore has no public name for it
        return not unread and not self.stream.has_unsent and not self.stream.is_readable()

    def may_be_reused(self, now: float, unsafe: bool) -> bool:
        """Return True if an idle connection is expected to be still open when a request arrives at the worker.

        `now` is in seconds of the event loop's clock. `unsafe` is True for a request that must not be repeated.
        """
        if unsafe:
            limit, margin = DEFAULT_IDLE_LIMIT_UNSAFE_S, IDLE_MARGIN_UNSAFE_S
        else:
            limit, margin = DEFAULT_IDLE_LIMIT_S, IDLE_MARGIN_S
        if self.announced_idle_limit_s is not None:
            limit = self.announced_idle_limit_s - margin
        return now - self.idle_since_s < limit and not self.stream.is_readable()


class WorkerPool:
    """The connections to one worker."""

    def __init__(
        self, worker: str, address: Address, max_connections: int, on_opened: Callable[[], None] | None = None
    ) -> None:
        self.worker = worker
        self.address = address
        self.max_connections = max_connections
        self._loop = asyncio.get_running_loop()
        self._idle: deque[WorkerConnection] = deque()
        self._open = 0
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._retired = False
        self._on_opened = on_opened

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return self._open

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    async def acquire(self, unsafe: bool, identity: bytes | None = None) -> WorkerConnection:
        """Return a connection for one request; raise `WorkerConnectError` if no connection can be opened.

        Waits while the pool is at its maximum. A retry never reuses a connection that carried an earlier attempt of the
        request, because on that connection a surplus answer to the earlier attempt would be taken for the answer to the
        retry.
        """
        while True:
            connection = self._take_idle(unsafe, identity)
            if connection is not None:
                return connection
            if self._retired:
                raise WorkerConnectError("the worker was removed, or its address was changed")
            if self._open < self.max_connections:
                return await self._connect()
            await self._wait_for_capacity()

    def _take_idle(self, unsafe: bool, identity: bytes | None) -> WorkerConnection | None:
        now = self._loop.time()
        usable: list[WorkerConnection] = []
        found = None
        while self._idle and found is None:
            connection = self._idle.pop()
            is_usable = connection.may_be_reused(now, unsafe)
            if is_usable and identity not in connection.recent_request_ids:
                found = connection
            elif is_usable or (unsafe and connection.may_be_reused(now, unsafe=False)):
                usable.append(connection)
            else:
                self.discard(connection)
        self._idle.extend(reversed(usable))
        if found is None and usable and self._open >= self.max_connections:
            self.discard(self._idle.popleft())  # frees a slot for a connection that this request may use
        return found

    async def _connect(self) -> WorkerConnection:
        self._open += 1
        try:
            stream = await connect(self.address, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            self._release_slot()
            self.close_idle()  # if no connection can be opened, the idle connections may be broken too
            raise WorkerConnectError(str(error) or type(error).__name__) from error
        except BaseException:
            self._release_slot()
            raise
        if self._on_opened is not None:
            self._on_opened()
        origin = httpcore.Origin(b"http", self.address.host.encode(), self.address.port)
        connection = WorkerConnection(stream, httpcore.AsyncHTTP11Connection(origin, stream), origin)
        stream.on_closed = lambda: self._on_closed(connection)
        return connection

    async def _wait_for_capacity(self) -> None:
        waiter: asyncio.Future[None] = self._loop.create_future()
        self._waiting.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._wake_one()
            raise
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)

    def _wake_one(self) -> None:
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def release(self, connection: WorkerConnection) -> None:
        """Return a connection to the pool, or discard it if the worker closes it or bytes follow its last answer."""
        if self._retired or connection.closing or not connection.http.is_idle() or not connection.is_clean:
            self.discard(connection)
            return
        connection.idle_since_s = self._loop.time()
        connection.completed_requests += 1
        self._idle.append(connection)
        self._wake_one()

    def discard(self, connection: WorkerConnection) -> None:
        """Close a connection by a TCP reset."""
        connection.closing = True
        connection.stream.abort()

    def _on_closed(self, connection: WorkerConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)
        self._release_slot()

    def _release_slot(self) -> None:
        self._open -= 1
        self._wake_one()

    def close_idle(self) -> None:
        """Close all idle connections without a reset."""
        while self._idle:
            connection = self._idle.pop()
            connection.closing = True
            connection.stream.close_gracefully()

    def set_max_connections(self, max_connections: int) -> None:
        """Replace the maximum; requests that wait for a connection use a raised maximum at once."""
        added, self.max_connections = max_connections - self.max_connections, max_connections
        for _ in range(min(added, len(self._waiting))):
            self._wake_one()

    def retire(self) -> None:
        """Close all idle connections, and each other connection after its request in flight has ended."""
        self._retired = True
        self.close_idle()
        while self._waiting:
            self._wake_one()


class WorkerConnections:
    """Connection pools of all workers in the endpoint list, by worker."""

    def __init__(self) -> None:
        self._pools: dict[str, WorkerPool] = {}
        self.opened = 0

    def pool(self, worker: str) -> WorkerPool | None:
        """Return the pool of a worker, or None if the worker is not in the endpoint list."""
        return self._pools.get(worker)

    def set_worker(self, worker: str, address: Address, max_connections: int) -> None:
        """Add or update a worker; `max_connections` is the maximum number of connections from this node."""
        pool = self._pools.get(worker)
        if pool is not None and pool.address != address:
            pool.retire()
            pool = None
        if pool is None:
            self._pools[worker] = WorkerPool(worker, address, max_connections, self._count_opened)
        else:
            pool.set_max_connections(max_connections)

    def set_max_connections(self, worker: str, max_connections: int) -> None:
        """Replace the maximum number of connections from this node to a worker; ignore a worker without a pool."""
        pool = self._pools.get(worker)
        if pool is not None:
            pool.set_max_connections(max_connections)

    def remove_worker(self, worker: str) -> None:
        """Remove a worker; requests in flight at the worker continue."""
        pool = self._pools.pop(worker, None)
        if pool is not None:
            pool.retire()

    def close_idle(self, worker: str) -> None:
        """Close a worker's idle connections without a reset."""
        pool = self._pools.get(worker)
        if pool is not None:
            pool.close_idle()

    def _count_opened(self) -> None:
        self.opened += 1

    def close(self) -> None:
        """Remove all workers and close all idle connections when the process ends."""
        for worker in tuple(self._pools):
            self.remove_worker(worker)


def connections_per_node(max_connections: int, live_nodes: int) -> int:
    """Return the maximum number of connections to one worker for each of the live nodes."""
    return max(min(MIN_CONNECTIONS, max_connections), max_connections // max(1, live_nodes))
