"""The election timeout of a member: the time without a message from a primary, plus a delay by the member's rank.

The delays by rank prevent candidates from splitting the votes, as the random timeouts of Raft do (Ongaro, Ousterhout,
"In Search of an Understandable Consensus Algorithm", 2014, section 5.2); a small random part separates equal ranks.
"""

from __future__ import annotations

import random

from canvasbeam.replication.timing import ReplicationTiming
from canvasbeam.replication.views import MemberId, View
from canvasbeam.units import MILLISECOND

ELECTION_JITTER_NS = 60 * MILLISECOND


class ElectionTimer:
    """The election timeout of one member, in nanoseconds of a monotonic clock; the seed determines the jitter."""

    def __init__(self, me: MemberId, timing: ReplicationTiming, seed: int, view: View | None, now: int) -> None:
        self._me = me
        self._timing = timing
        self._random = random.Random(f"{me}/{seed}")
        self._last_primary_activity = now  # last message from a primary or from a member about to become primary
        self._expires_at = now + timing.first_election_timeout_ns + self._rank_delay(view)

    def record_primary_activity(self, view: View | None, now: int) -> None:
        """Record a message from a primary or from a member about to become primary, and restart the timeout."""
        self._last_primary_activity = now
        self.restart(view, now)

    def record_resignation(self, view: View | None, now: int) -> None:
        """Record that the primary has resigned, so that only the delay by rank is left before an election."""
        self._last_primary_activity = now - self._timing.election_timeout_ns
        self.expire_after_rank_delay(view, now)

    def restart(self, view: View | None, now: int) -> None:
        """Restart the full election timeout, including the delay by rank, at `now`."""
        self._expires_at = now + self._timing.election_timeout_ns + self._rank_delay(view)

    def expire_after_rank_delay(self, view: View | None, now: int) -> None:
        """Let the election timeout expire after only the delay by rank."""
        self._expires_at = now + self._rank_delay(view)

    def discount_stall(self, stall: int) -> None:
        """Exclude a stall of this process, in nanoseconds, from all timeouts."""
        self._last_primary_activity += stall
        self._expires_at += stall

    def has_expired(self, now: int) -> bool:
        """Return True if this member should become a candidate now."""
        return now >= self._expires_at

    def is_primary_unresponsive(self, now: int) -> bool:
        """Return True if the last message of a primary is older than `unresponsive_after_ns`."""
        return now - self._last_primary_activity > self._timing.unresponsive_after_ns

    def is_primary_expired(self, now: int) -> bool:
        """Return True if the primary was silent for more than twice `unresponsive_after_ns`, so it is forgotten."""
        return now - self._last_primary_activity > 2 * self._timing.unresponsive_after_ns

    def _rank_delay(self, view: View | None) -> int:
        """Return the delay by rank, in nanoseconds; the last primary has the longest, because it has just failed."""
        if view is None:
            return 0
        order = [member for member in view.members if member != view.primary]
        rank = order.index(self._me) if self._me in order else len(order)
        return rank * self._timing.election_rank_step_ns + self._random.randrange(ELECTION_JITTER_NS)
