"""Operator calls that wait for a reply, at the primary or while the primary changes its view.

The limits apply to one member; a call beyond the limits fails at once.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.change_log import change_size
from canvasbeam.replication.control_state import Change
from canvasbeam.replication.messages import Reply

MAX_PENDING_CALLS = 64
MAX_BYTES_IN_FLIGHT = 8 << 20  # total size of uncommitted changes


@dataclass(slots=True)
class PendingCall:
    """A call that waits until `index` is committed and, if `sequence` > 0, heartbeat round `sequence` is confirmed."""

    call: int
    began_at: int  # nanoseconds
    index: int = 0
    sequence: int = 0
    failure: Failure | None = None
    change: Change | None = None  # change of a deferred call that no primary has processed yet


class DeferredCalls:
    """Calls deferred while a primary changes its view: its pending calls, and new calls within the limits."""

    def __init__(self, pending: Sequence[PendingCall]) -> None:
        self.pending = list(pending)

    def defer(self, call: PendingCall) -> bool:
        """Add a call; return False if the call would exceed the limits."""
        if not self._has_capacity_for(call):
            return False
        self.pending.append(call)
        return True

    def _has_capacity_for(self, call: PendingCall) -> bool:
        """Return True if the limits allow the call; a single change may have any size."""
        sizes = [change_size(deferred.change) for deferred in (*self.pending, call) if deferred.change is not None]
        return len(self.pending) < MAX_PENDING_CALLS and (len(sizes) <= 1 or sum(sizes) <= MAX_BYTES_IN_FLIGHT)


def primary_lost_replies(pending: Sequence[PendingCall]) -> list[Reply]:
    """Return failures for the calls of a member that stops leading; NO_PRIMARY marks calls that are safe to retry."""
    primary_lost = Failure(ResultCode.PRIMARY_LOST, "the primary stopped leading before the call was answered")
    not_processed = Failure(ResultCode.NO_PRIMARY, "the primary stopped leading before it looked at the call")
    return [Reply(call.call, primary_lost if call.change is None else not_processed) for call in pending]
