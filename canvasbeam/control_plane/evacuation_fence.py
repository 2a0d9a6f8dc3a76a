"""Reject delayed copies of evacuation requests, which would undo newer requests.

Evacuation requests have no sequence number: a delayed copy of a POST that arrives after a DELETE was acknowledged looks
like a new request. The connection bounds the age of a request, because a caller sends a request only after opening the
connection and after reading the answer to the previous request. A request was therefore sent after its connection last
became idle, by this node's clock.

Suppose a request is acknowledged, and the opposite request for the same zone is sent afterwards. Every copy of the
first request was sent before this primary received the opposite request, and the connection of the copy became idle
even earlier. A request may therefore be a delayed copy if its connection became idle before this node received the
opposite request, or before this node became the primary. Such a request has no effect, and a caller that is still
connected is asked to retry on a new connection.
"""

from __future__ import annotations

import math

from canvasbeam.replication.control_state import Change, ChangeKind

OPPOSITE_KIND = {
    ChangeKind.START_EVACUATION: ChangeKind.END_EVACUATION,
    ChangeKind.END_EVACUATION: ChangeKind.START_EVACUATION,
}


class EvacuationFence:
    """Owns the times, in seconds, at which this node received evacuation requests while it was the primary."""

    def __init__(self) -> None:
        self._primary_since_s = -math.inf
        self._seen_at_s: dict[tuple[ChangeKind, str], float] = {}

    def become_primary(self, now: float) -> None:
        """Record when this node became the primary; requests received by earlier primaries are unknown to this node."""
        self._primary_since_s = now

    def record(self, change: Change, now: float) -> None:
        """Record the receipt of an evacuation request, before the request is applied."""
        self._seen_at_s[change.kind, change.zone] = now

    def may_be_stale(self, change: Change, idle_since_s: float) -> bool:
        """Return True if a request may predate a received opposite request, or the time when this node became primary.

        `idle_since_s` is the time at which the connection of the request last became idle, in seconds.
        """
        opposite_seen_at_s = self._seen_at_s.get((OPPOSITE_KIND[change.kind], change.zone), -math.inf)
        return idle_since_s < max(self._primary_since_s, opposite_seen_at_s)
