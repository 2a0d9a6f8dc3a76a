"""Progress of one replica of a primary's view: confirmed changes, and how long a confirmation is outstanding."""

from __future__ import annotations

from canvasbeam.replication.change_flow import ChangeFlow
from canvasbeam.replication.timing import ReplicationTiming
from canvasbeam.units import SECOND

SLOW_LINK_BYTES_PER_S = 256 << 10  # slowest link for which the resend and stuck-replica timeouts allow


class ReplicaProgress:
    """Owns the flow of changes to one replica, and the time since which a change is unconfirmed."""

    def __init__(self, flow: ChangeFlow, timing: ReplicationTiming) -> None:
        self.flow = flow
        self._timing = timing
        self._unconfirmed_since: int | None = None

    def expect_confirmation(self, now: int) -> None:
        """Record that a change awaits the replica's confirmation."""
        if self._unconfirmed_since is None:
            self._unconfirmed_since = now

    def confirm(self, index: int, newest: int, now: int) -> bool:
        """Record that the replica has all changes up to an index; return False if the index was confirmed before."""
        if not self.flow.confirm(index, now):
            return False
        self._unconfirmed_since = now if index < newest else None
        return True

    def is_resend_due(self, now: int) -> bool:
        """Return True if the changes in flight were probably lost."""
        resend_delay = self._timing.resend_interval_ns + self._transfer_time_ns()
        return self._unconfirmed_since is not None and now - self.flow.last_sent >= resend_delay

    def is_stuck(self, now: int) -> bool:
        """Return True if a confirmation is overdue for so long that the view should exclude the replica."""
        if self._unconfirmed_since is None:
            return False
        return now - self._unconfirmed_since > self._timing.unresponsive_after_ns + self._transfer_time_ns()

    def discount_stall(self, stall: int) -> None:
        """Exclude a stall of this process, in nanoseconds, from the wait for a confirmation."""
        if self._unconfirmed_since is not None:
            self._unconfirmed_since += stall

    def _transfer_time_ns(self) -> int:
        """Return the transfer time of all unconfirmed changes on a slow link, in nanoseconds."""
        return self.flow.unconfirmed_bytes * SECOND // SLOW_LINK_BYTES_PER_S
