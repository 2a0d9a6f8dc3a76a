"""Rate-limited logging of member status changes, so that many changes at once cannot flood the log."""

from __future__ import annotations

import logging

from canvasbeam.failure_detection.swim import ReportChange
from canvasbeam.gossip.rate_limits import TokenBucket

MAX_LINES_PER_S = 4

log = logging.getLogger(__name__)


class ChangeLog:
    """Logs member changes at up to MAX_LINES_PER_S; the count of suppressed changes precedes the next logged one."""

    def __init__(self, now: int) -> None:
        self._rate_limit = TokenBucket(MAX_LINES_PER_S, now)
        self._suppressed = 0

    def report(self, change: ReportChange, now: int) -> None:
        """Log a member change, or count it as suppressed if over the rate limit; `now` is in nanoseconds."""
        if not self._rate_limit.admit(now):
            self._suppressed += 1
            return
        if self._suppressed:
            log.info("%d more changes of members were not logged", self._suppressed)
            self._suppressed = 0
        log.info("member %s: %s, before %s: %s", change.name, change.after, change.before, change.why)
