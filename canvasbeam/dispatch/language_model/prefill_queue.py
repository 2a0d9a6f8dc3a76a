"""Model the prefill queue of one worker, which processes prompts one after the other, in the order of their attempts.

An own prompt is counted until its first token. A prompt of another scheduler is counted until its prefill should be
complete, or a later prompt's prefill is known to be complete. Any other delay of the last first token is added to the
backlog and decays.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import exp

from canvasbeam.units import MILLISECOND

# The unexpected part of the last first token's delay decays with this time constant.
DELAY_DECAY_NS = 300 * MILLISECOND
OTHER_SCHEDULER = ""  # the `request_id` of any prompt of another scheduler


@dataclass(slots=True)
class PendingPrefill:
    """A prompt that is waiting for prefill or in prefill; `request_id` may be `OTHER_SCHEDULER`."""

    request_id: str
    remaining_ns: float


class PrefillQueue:
    """The prompts known to one scheduler whose prefill one worker has not completed."""

    __slots__ = ("_delay_at", "_drained_at", "_pending", "_unexpected_delay_ns")

    def __init__(self) -> None:
        self._pending: deque[PendingPrefill] = deque()  # prompts in the order of their attempts
        self._drained_at = 0
        self._unexpected_delay_ns = 0.0  # backlog from unexpected delay at the time `_delay_at`; decays
        self._delay_at = 0

    def add(self, request_id: str, prefill_ns: float) -> None:
        """Append a prompt whose prefill is expected to take `prefill_ns` nanoseconds."""
        self._pending.append(PendingPrefill(request_id, prefill_ns))

    def drain(self, now: int) -> None:
        """Subtract the prefill expected to be done by now; own prompts stay, with 0 ns, until their first token."""
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
        """Return the expected wait, in nanoseconds, before the prefill of a prompt that is sent now."""
        self.drain(now)
        waiting_ns = sum([prefill.remaining_ns for prefill in self._pending])
        return waiting_ns + self._unexpected_delay_ns * exp((self._delay_at - now) / DELAY_DECAY_NS)

    def finish(self, now: int, request_id: str, unexpected_delay_ns: float) -> None:
        """Remove a prompt that got its first token, and the prompts that other schedulers sent before that prompt.

        The first token came `unexpected_delay_ns` (at least 0) later than expected.
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
        """Remove a prompt whose request ended before its first token."""
        self.drain(now)
        self._pending = deque(prefill for prefill in self._pending if prefill.request_id != request_id)
