"""The primary's in-memory log of changes that a replica may still need.

The disk stores the resulting states instead of the changes. The primary decides when to trim the log.
"""

from __future__ import annotations

from collections import deque
from itertools import islice

from canvasbeam.replication.control_state import Change

MAX_APPEND_BYTES = 1 << 20  # limit for the changes in one message; a single larger change is still sent


def change_size(change: Change) -> int:
    """Return the approximate size of a change in bytes, in memory and in a message, without its fixed-size fields."""
    return len(change.body) + len(change.zone)


class ChangeLog:
    """A sequence of consecutive changes; the first change leads from index `start` to `start + 1`."""

    def __init__(self, start: int) -> None:
        self.start = start
        self.size = 0
        self._changes: deque[Change] = deque()
        self._added_at: deque[int] = deque()

    def __len__(self) -> int:
        return len(self._changes)

    @property
    def end(self) -> int:
        """Return the index to which the last change led."""
        return self.start + len(self._changes)

    def append(self, change: Change, now: int) -> None:
        """Append the next change with the time `now`, in nanoseconds."""
        self._changes.append(change)
        self._added_at.append(now)
        self.size += change_size(change)

    def reaches_back_to(self, index: int) -> bool:
        """Return True if the log still contains every change after `index`."""
        return index >= self.start

    def after(self, index: int, max_bytes: int = MAX_APPEND_BYTES) -> tuple[Change, ...]:
        """Return the changes after `index`: the first, of any size, and more up to `max_bytes` in total."""
        taken: list[Change] = []
        size = 0
        for change in islice(self._changes, index - self.start, None):
            if taken and size + change_size(change) > max_bytes:
                break
            taken.append(change)
            size += change_size(change)
        return tuple(taken)

    def lag_of(self, index: int, now: int) -> int:
        """Return the age in nanoseconds of the oldest change after `index`; 0 if there is no such change."""
        position = index - self.start
        return now - self._added_at[position] if 0 <= position < len(self._added_at) else 0

    def size_after(self, index: int) -> int:
        """Return the total size in bytes of the changes after `index`."""
        return sum(change_size(change) for change in islice(self._changes, max(0, index - self.start), None))

    def trim(self, index: int) -> None:
        """Remove the changes up to `index`."""
        while self.start < index and self._changes:
            self._drop_first()

    def trim_to(self, max_bytes: int, committed: int) -> None:
        """Remove the oldest committed changes until the committed ones take at most `max_bytes`."""
        excess = self.size - self.size_after(committed) - max_bytes
        while excess > 0 and self.start < committed:
            excess -= self._drop_first()

    def _drop_first(self) -> int:
        size = change_size(self._changes.popleft())
        self._added_at.popleft()
        self.size -= size
        self.start += 1
        return size
