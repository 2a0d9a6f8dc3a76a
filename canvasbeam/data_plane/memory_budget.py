"""A limit on the memory of all requests together, so that no number of clients can exhaust the process's memory.

`MemoryBudget` owns the total; `MemoryReservation` owns the share of one request. Both only count bytes and allocate no
memory.
"""

from __future__ import annotations

MEBIBYTE = 1 << 20
# Memory that a request needs in addition to its body: its head, its tasks and its table entries.
REQUEST_OVERHEAD_BYTES = 16 * 1024


class MemoryBudget:
    """Counts reserved bytes, and rejects a reservation that would exceed the limit."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def reserve(self, count: int) -> bool:
        """Reserve `count` bytes; return False, and reserve nothing, if the limit would be exceeded."""
        if self.reserved_bytes + count > self._limit_bytes:
            return False
        self.reserved_bytes += count
        return True

    def release(self, count: int) -> None:
        """Release `count` reserved bytes."""
        self.reserved_bytes -= count


class MemoryReservation:
    """The bytes of a `MemoryBudget` that one request has reserved."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._reserved_bytes = 0

    def grow(self, count: int) -> bool:
        """Reserve `count` more bytes; return False, and reserve nothing, if the budget would be exceeded."""
        if not self._budget.reserve(count):
            return False
        self._reserved_bytes += count
        return True

    def release(self) -> None:
        """Release all bytes of this reservation."""
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0
