"""Update this node's quota share of the fleet-wide limits when the members or the services change.

The dispatcher's `FleetLimits` owns the limits and counts requests against the limits; this module only forwards members
and services.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from canvasbeam.cluster.member import Member
from canvasbeam.data_plane.routes import Configuration
from canvasbeam.dispatch.fleet_limits import FleetLimits, RetryLimit, WarmUpLimit, WarmUpRate
from canvasbeam.runtime.settings import Bounds, ProcessSettings
from canvasbeam.units import SECOND


def make_limits(settings: ProcessSettings, now_ns: int) -> FleetLimits:
    """Return the limits of the deployment before any other node is known; `now_ns` is the monotonic time."""
    bounds: Bounds = settings.bounds
    retry = RetryLimit(bounds.retry_ratio, bounds.retry_slack, round(bounds.retry_window_s * SECOND))
    return FleetLimits(settings.node, retry, WarmUpLimit(bounds.cold_over, bounds.cold_slack), clock_start=now_ns)


class SharedLimits:
    """Forwards each change of the members and of the configuration to `FleetLimits`."""

    def __init__(self, limits: FleetLimits, now_ns: Callable[[], int]) -> None:
        self._limits = limits
        self._now_ns = now_ns
        self._notified_regions: dict[str, str] = {}

    def change_members(self, members: Iterable[Member]) -> None:
        """Apply the live members; those that are control processes send no requests and have no share."""
        regions = {member.name: member.region for member in members if not member.is_control}
        if regions != self._notified_regions:
            self._limits.members(self._now_ns(), regions)
            self._notified_regions = regions  # after the call, so that a retry after an exception repeats it

    def change_configuration(self, configuration: Configuration) -> None:
        """Apply the services' warm-up rates of the new active configuration."""
        rates = {name: WarmUpRate(service.warmup_per_s) for name, service in configuration.services.items()}
        self._limits.services(self._now_ns(), rates)
