"""Track the unused quota of each tenant in a token bucket.

Owns the buckets. Each dispatcher has an equal part of a tenant's quota, because it receives a part of the tenant's
requests. The module must never reject a request: a request beyond the quota only ranks behind the others.
"""

from __future__ import annotations

from collections.abc import Sequence

from canvasbeam.dispatch.settings import Tenant
from canvasbeam.units import SECOND

# Capacity of a tenant's token bucket, in seconds of the tenant's quota; a request is beyond the quota if the bucket is
# empty.
QUOTA_BURST_S = 2.0


class TenantQuotas:
    """Token buckets with the unused quota of each tenant."""

    def __init__(self, tenants: Sequence[Tenant], dispatchers: int) -> None:
        self._tenants = tenants
        self._dispatchers = dispatchers
        # By tenant: the requests in the bucket, and the time of the last refill in nanoseconds.
        self._buckets = {tenant.name: [QUOTA_BURST_S * tenant.quota_per_s, 0.0] for tenant in tenants}

    def exceeds_quota(self, tenant: str | None, now: int) -> bool:
        """Take one request from a tenant's bucket; return True if the request is beyond the tenant's quota."""
        for candidate in self._tenants:
            if candidate.name == tenant and candidate.quota_per_s > 0:
                rate = candidate.quota_per_s / self._dispatchers
                tokens, refilled_at = self._buckets[candidate.name]
                tokens = min(rate * QUOTA_BURST_S, tokens + rate * (now - refilled_at) / SECOND)
                is_beyond = tokens < 1
                self._buckets[candidate.name] = [tokens if is_beyond else tokens - 1, float(now)]
                return is_beyond
        return False
