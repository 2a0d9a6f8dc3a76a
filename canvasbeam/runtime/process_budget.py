"""The memory and the descriptors that a process gives to its peers and callers, over all addresses on which it listens.

`ProcessBudget` owns the totals, `MemoryReservation` the share of one holder, such as a connection or a request. Both
only count, and allocate no memory. If a total is exhausted, the connections whose peer has been silent the longest are
closed (`Stage` has the order), and what still does not fit is refused. docs/CAPACITY.md gives the sums.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from enum import IntEnum
from typing import Protocol

from canvasbeam.runtime.settings import MachineLimits

KIBIBYTE = 1 << 10
MEBIBYTE = 1 << 20
MIN_MEMORY_BYTES = 8 * MEBIBYTE
SHARE_OF_MEMORY = 0.75  # share of the remaining memory; the rest is for fragments of the heap
RESERVED_DESCRIPTORS = 200  # of `max_fds`, reserved by the platform for files outside the disk folder
SHARE_OF_DESCRIPTORS = 0.65  # share of the remaining descriptors for accepted connections
UNLIMITED = 1 << 62
GRACE_S = 1.0  # a connection whose peer was active less than this ago is not closed for another one
MIN_SCAN_INTERVAL_S = 0.05  # between two searches for connections to close


class Stage(IntEnum):
    """What a connection waits for; the lowest are the first to be closed for another connection."""

    SILENT = 0  # the peer has sent no request yet
    IDLE = 1  # between requests
    READING = 2  # in the middle of a request
    WRITING = 3  # the peer has not taken what was sent
    BUSY = 4  # the process works on a complete request; such a connection is never closed


class BudgetedConnection(Protocol):
    """An accepted connection, as `ProcessBudget` uses it."""

    @property
    def stage(self) -> Stage:
        """What the connection waits for."""

    @property
    def active_at_s(self) -> float:
        """When the peer last sent or took a byte, in seconds of the monotonic clock."""

    def evict(self) -> None:
        """Close the connection at once and release its memory."""


class ProcessBudget:
    """Counts the reserved bytes and the accepted connections of a process, and refuses what exceeds its limits."""

    def __init__(self, memory_bytes: int, max_connections: int, now_s: Callable[[], float] = time.monotonic) -> None:
        self._memory_bytes = memory_bytes
        self._max_connections = max_connections
        self._now_s = now_s
        self._connections: set[BudgetedConnection] = set()
        self._candidates: list[BudgetedConnection] = []  # connections that may be closed, the next one last
        self._scanned_at_s = -MIN_SCAN_INTERVAL_S
        self._peak_bytes = 0  # most reserved bytes since `on_much_released` was last called
        self.on_much_released: Callable[[], None] = lambda: None
        self.reserved_bytes = 0
        self.evictions = 0
        self.refusals = 0

    @classmethod
    def of(cls, limits: MachineLimits, own_memory_mb: int) -> ProcessBudget:
        """Return the budget of a process with these limits, which itself needs `own_memory_mb`."""
        memory_bytes = round((limits.memory_mb - own_memory_mb) * SHARE_OF_MEMORY * MEBIBYTE)
        descriptors = max(limits.max_fds - RESERVED_DESCRIPTORS, 0)
        return cls(max(memory_bytes, MIN_MEMORY_BYTES), round(descriptors * SHARE_OF_DESCRIPTORS))

    @classmethod
    def unlimited(cls) -> ProcessBudget:
        """Return a budget that refuses nothing, for servers outside the system's processes."""
        return cls(UNLIMITED, UNLIMITED)

    @property
    def memory_bytes(self) -> int:
        """The limit on the reserved bytes."""
        return self._memory_bytes

    @property
    def connection_count(self) -> int:
        """Number of accepted connections."""
        return len(self._connections)

    def admit(self, connection: BudgetedConnection) -> bool:
        """Count an accepted connection; return False if it must be closed, because no other one may be closed."""
        if len(self._connections) >= self._max_connections and not self._evict_one(connection):
            self.refusals += 1
            return False
        self._connections.add(connection)
        return True

    def remove(self, connection: BudgetedConnection) -> None:
        """Stop counting a connection that was closed."""
        self._connections.discard(connection)

    def reserve(self, count: int, connection: BudgetedConnection | None = None) -> bool:
        """Reserve `count` bytes, for a connection if one is given; return False, and reserve nothing, if refused."""
        while self.reserved_bytes + count > self._memory_bytes:
            if count > self._memory_bytes or not self._evict_one(connection):
                self.refusals += 1
                return False
        self.reserved_bytes += count
        self._peak_bytes = max(self._peak_bytes, self.reserved_bytes)
        return True

    def release(self, count: int) -> None:
        """Release `count` reserved bytes; call `on_much_released` if half of the budget has become free."""
        self.reserved_bytes -= count
        if self._peak_bytes - self.reserved_bytes > self._memory_bytes // 2:
            self._peak_bytes = self.reserved_bytes
            self.on_much_released()

    def _evict_one(self, newcomer: BudgetedConnection | None) -> bool:
        """Close one connection other than `newcomer`; return False if none may be closed now."""
        self._scan()
        while self._candidates:
            connection = self._candidates.pop()
            if connection is not newcomer and connection in self._connections and self._is_evictable(connection):
                self._connections.discard(connection)
                self.evictions += 1
                connection.evict()
                return True
        return False

    def _scan(self) -> None:
        """Refill the list of candidates if it is empty, at most once in `MIN_SCAN_INTERVAL_S`."""
        now_s = self._now_s()
        if self._candidates or now_s - self._scanned_at_s < MIN_SCAN_INTERVAL_S:
            return
        self._scanned_at_s = now_s
        candidates = filter(self._is_evictable, self._connections)
        self._candidates = sorted(candidates, key=lambda each: (each.stage, each.active_at_s), reverse=True)

    def _is_evictable(self, connection: BudgetedConnection) -> bool:
        return connection.stage is not Stage.BUSY and connection.active_at_s <= self._now_s() - GRACE_S


class MemoryReservation:
    """The bytes of a `ProcessBudget` that one holder has reserved; the reservations of its parts end with it."""

    __slots__ = ("_budget", "_connection", "_parts", "is_closed", "reserved_bytes")

    def __init__(self, budget: ProcessBudget, connection: BudgetedConnection | None = None) -> None:
        self._budget = budget
        self._connection = connection
        self._parts: list[MemoryReservation] = []
        self.is_closed = False
        self.reserved_bytes = 0

    def part(self) -> MemoryReservation:
        """Return a new reservation that is closed together with this one."""
        part = MemoryReservation(self._budget, self._connection)
        if self.is_closed:
            part.close()
        self._parts = [each for each in self._parts if not each.is_closed]
        self._parts.append(part)
        return part

    def grow(self, count: int) -> bool:
        """Reserve `count` more bytes; return False, and reserve nothing, if refused or closed."""
        if self.is_closed or not self._budget.reserve(count, self._connection):
            return False
        if self.is_closed:  # closed meanwhile, to make room
            self._budget.release(count)
            return False
        self.reserved_bytes += count
        return True

    def shrink(self, count: int) -> None:
        """Release up to `count` of the reserved bytes."""
        released = min(count, self.reserved_bytes)
        self._budget.release(released)
        self.reserved_bytes -= released

    def release(self) -> None:
        """Release all bytes of this reservation; it may grow again."""
        self.shrink(self.reserved_bytes)

    def close(self) -> None:
        """Release all bytes of this reservation and of its parts; none of them grows again."""
        self.release()
        self.is_closed = True
        for part in self._parts:
            part.close()
        self._parts.clear()


class ConnectionSlot:
    """The place of one accepted connection in the budget: its descriptor and its memory."""

    __slots__ = ("_budget", "_connection", "memory")

    def __init__(self, budget: ProcessBudget, connection: BudgetedConnection) -> None:
        self._budget = budget
        self._connection = connection
        self.memory = MemoryReservation(budget, connection)

    def take(self, memory_bytes: int) -> bool:
        """Count the connection with this much memory; return False if it must be closed."""
        if not self._budget.admit(self._connection):
            return False
        if not self.memory.grow(memory_bytes):
            self.give_back()
            return False
        return True

    def give_back(self) -> None:
        """Release the memory and the place of the connection; may be called again."""
        self.memory.close()
        self._budget.remove(self._connection)
