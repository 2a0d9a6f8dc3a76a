"""Tests the rate limits for datagrams, in total and per source."""

from __future__ import annotations

from canvasbeam.gossip.rate_limits import SourceRateLimits, TokenBucket

SECOND = 1_000_000_000


def test_rates_are_limited_in_total_and_per_source() -> None:
    bucket = TokenBucket(100, 0)
    assert sum(bucket.admit(SECOND) for _ in range(1000)) == 25
    assert sum(bucket.admit(SECOND + place * SECOND // 1000) for place in range(1000)) in range(95, 106)
    sources = SourceRateLimits(100, 3)
    assert sum(sources.admit("a", SECOND) for _ in range(1000)) == 25
    assert sources.admit("b", SECOND)
    assert [sources.admit(sender, SECOND) for sender in ("c", "d", "e")] == [True] * 3
    assert len(sources._buckets) == 3
