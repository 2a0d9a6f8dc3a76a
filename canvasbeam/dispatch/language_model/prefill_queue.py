"""Model the prefill queue of one worker, which processes prompts one after the other, in the order of their attempts.

Own prompts count until their first token. Prompts of other schedulers count until their prefill should be over, or that
of a later prompt is. What else delayed the last first token counts too, and decays.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import exp

from canvasbeam.units import MILLISECOND

# A delay that was not expected decays with this time constant.
DELAY_DECAY_NS = 300 * MILLISECOND
OTHER_SCHEDULER = ""  # in place of the name of a request


@dataclass(slots=True)
class PendingPrefill:
    """A prompt in prefill or before it; `request_id` is `OTHER_SCHEDULER` for one of another scheduler."""

    request_id: str
    remaining_ns: float


class PrefillQueue:
    """The prompts that one worker has yet to process, as far as one scheduler knows."""

    __slots__ = ("_delay_at", "_drained_at", "_pending", "_unexpected_delay_ns")

    def __init__(self) -> None:
        self._pending: deque[PendingPrefill] = deque()  # in the order of their attempts
        self._drained_at = 0
        self._unexpected_delay_ns = 0.0  # as of `_delay_at`
        self._delay_at = 0

    def add(self, request_id: str, prefill_ns: float) -> None:
        """Append a prompt whose prefill takes this time."""
        self._pending.append(PendingPrefill(request_id, prefill_ns))

    def drain(self, now: int) -> None:
        """Take off the prefill that should be done by now; own prompts stay, with 0 ns, until their first token."""
        elapsed_ns = float(now - self._drained_at)
        self._drained_at = now
        for prefill in self._pending:
            done_ns = min(elapsed_ns, prefill.remaining_ns)
            prefill.remaining_ns -= done_ns
            elapsed_ns -= done_ns
            if elapsed_ns <= 0:
                break
        while self._pending and not self._pending[0].request_id and self._pending[0].remaining_ns <= 0:
            self._pending.popleft()

    def backlog_ns(self, now: int) -> float:
        """Return the expected wait, in nanoseconds, of a prompt that is sent now."""
        self.drain(now)
        waiting_ns = sum([prefill.remaining_ns for prefill in self._pending])
        return waiting_ns + self._unexpected_delay_ns * exp((self._delay_at - now) / DELAY_DECAY_NS)

    def finish(self, now: int, request_id: str, unexpected_delay_ns: float) -> None:
        """Take off a prompt whose first token came, and those of other schedulers that were sent before it.

        The first token came later than expected by `unexpected_delay_ns`, which is at least 0.
        """
        self._unexpected_delay_ns, self._delay_at = unexpected_delay_ns, now
        self.drain(now)
        if not any(prefill.request_id == request_id for prefill in self._pending):
            return
        is_before = True
        remaining: deque[PendingPrefill] = deque()
        for prefill in self._pending:
            if prefill.request_id == request_id:
                is_before = False
            elif prefill.request_id or not is_before:
                remaining.append(prefill)
        self._pending = remaining

    def cancel(self, now: int, request_id: str) -> None:
        """Take off a prompt that ended before its first token."""
        self.drain(now)
        self._pending = deque(prefill for prefill in self._pending if prefill.request_id != request_id)
