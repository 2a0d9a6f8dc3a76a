"""Token buckets that limit datagrams per second, in total and per source.

Pure: callers pass the time in whole nanoseconds. The number of sources kept must never exceed the configured maximum.
"""

from __future__ import annotations

from canvasbeam.units import SECOND

MIN_BURST = 10.0  # datagrams; lower bound of a bucket's burst size
BURST_S = 0.25  # seconds; the burst size is the rate times BURST_S, and at least MIN_BURST


class TokenBucket:
    """Token bucket with a rate in datagrams per second and a limited burst; initially full."""

    __slots__ = ("_burst", "_filled_at", "_rate", "_tokens")

    def __init__(self, rate_per_s: int, now: int) -> None:
        self._rate = rate_per_s
        self._burst = max(MIN_BURST, rate_per_s * BURST_S)
        self._tokens = self._burst
        self._filled_at = now

    def admit(self, now: int) -> bool:
        """Return True and consume a token if a datagram may pass at time `now` (nanoseconds)."""
        self._tokens = min(self._burst, self._tokens + (now - self._filled_at) * self._rate / SECOND)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class SourceRateLimits:
    """One token bucket per source; a new source beyond the maximum evicts the least recently used one."""

    def __init__(self, rate_per_s: int, max_sources: int) -> None:
        self._rate_per_s = rate_per_s
        self._max_sources = max_sources
        self._buckets: dict[str, TokenBucket] = {}

    def admit(self, source: str, now: int) -> bool:
        """Return True and consume a token of the source if its datagram may pass at time `now` (nanoseconds)."""
        bucket = self._buckets.pop(source, None) or TokenBucket(self._rate_per_s, now)
        self._buckets[source] = bucket
        if len(self._buckets) > self._max_sources:
            del self._buckets[next(iter(self._buckets))]
        return bucket.admit(now)
