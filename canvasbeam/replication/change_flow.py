"""Flow control of the changes sent to one member: confirmed changes, changes in flight, and the window size.

The window grows while batches are confirmed quickly, and shrinks when batches queue on a slow link: heartbeats use the
same connection, and a member whose heartbeats are late counts as lost. The window doubles and halves within fixed
limits.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from canvasbeam.replication.change_log import ChangeLog, change_size
from canvasbeam.replication.control_state import Change
from canvasbeam.replication.snapshots import QUICK_ANSWER_NS, SLOW_ANSWER_NS

MIN_WINDOW_BYTES = 128 << 10  # bytes of changes in flight to one member
MAX_WINDOW_BYTES = 2 << 20


@dataclass(frozen=True, slots=True)
class Batch:
    """Consecutive changes to send in one message; the first change leads from index `previous` to `previous + 1`."""

    previous: int
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class _BatchInFlight:
    """An unconfirmed batch: the index after its last change, and its send time in nanoseconds."""

    index: int
    sent_at: int
    is_large: bool  # at least half of the window was in flight, including this batch


class ChangeFlow:
    """Sends the log to one member: changes up to `index` are confirmed, later changes up to `sent` are in flight."""

    def __init__(self, log: ChangeLog, index: int) -> None:
        self._log = log
        self.index = index
        self.sent = index
        self.last_sent = 0
        self._window = MIN_WINDOW_BYTES
        self._in_flight: deque[_BatchInFlight] = deque()

    @property
    def is_covered_by_log(self) -> bool:
        """Return True if the log still contains every change that the member lacks."""
        return self._log.reaches_back_to(self.index)

    @property
    def unconfirmed_bytes(self) -> int:
        """Return the size in bytes of all changes that the member has not confirmed, sent or unsent."""
        return self._log.size_after(self.index)

    def next_batch(self, now: int) -> Batch | None:
        """Return the next changes to send and count them as sent; None if the window is full or no change is left."""
        if self.sent >= self._log.end or not self._log.reaches_back_to(self.sent):
            return None
        in_flight_bytes = self._log.size_after(self.index) - self._log.size_after(self.sent)
        changes = self._log.after(self.sent, self._window - in_flight_bytes)
        if in_flight_bytes and in_flight_bytes + change_size(changes[0]) > self._window:
            return None
        batch = Batch(self.sent, changes)
        self.sent += len(batch.changes)
        self.last_sent = now
        is_large = 2 * (self._log.size_after(self.index) - self._log.size_after(self.sent)) >= self._window
        self._in_flight.append(_BatchInFlight(self.sent, now, is_large))
        return batch

    def confirm(self, index: int, now: int) -> bool:
        """Record that the member has stored all changes up to `index`; return False if this was already confirmed."""
        if index <= self.index:
            return False
        self.index = index
        self.sent = max(self.sent, index)
        self._adapt_window(now)
        return True

    def restart(self) -> None:
        """Treat all changes in flight as lost, so that `next_batch` returns them again."""
        self.sent = self.index
        self._window = MIN_WINDOW_BYTES
        self._in_flight.clear()

    def _adapt_window(self, now: int) -> None:
        """Adapt the window to the delay of the last confirmed batch; a quick small batch proves no spare capacity."""
        confirmed: _BatchInFlight | None = None
        while self._in_flight and self._in_flight[0].index <= self.index:
            confirmed = self._in_flight.popleft()
        if confirmed is None:
            return
        delay = now - confirmed.sent_at
        if delay <= QUICK_ANSWER_NS and confirmed.is_large:
            self._window = min(2 * self._window, MAX_WINDOW_BYTES)
        elif delay > SLOW_ANSWER_NS:
            self._window = max(self._window // 2, MIN_WINDOW_BYTES)
