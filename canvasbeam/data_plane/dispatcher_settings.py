"""The decision module's settings for a data-plane node."""

from __future__ import annotations

from canvasbeam import interface as ci
from canvasbeam.runtime.settings import MILLISECOND, SECOND, ProcessSettings

QUANTUM_NS = 5 * MILLISECOND
CONNECT_TIMEOUT_NS = SECOND
RETRY_ADVICE_NS = SECOND // 2


def dispatcher_settings(settings: ProcessSettings, dispatchers: int) -> ci.Settings:
    """Rings are regions here: the own one first, then all others."""
    regions = tuple(sorted({settings.region, *settings.zones.values()}))
    limits = ci.Limits(
        cancel=True,
        probes=False,
        retry_advice=True,
        max_retry_advice_ns=RETRY_ADVICE_NS,
        connect_timeout_ns=CONNECT_TIMEOUT_NS,
    )
    return ci.Settings(
        classes=(),
        classes_later=True,
        zones=regions,
        own_zone=settings.region,
        dispatchers=max(1, dispatchers),
        quantum_ns=QUANTUM_NS,
        urgent_first=True,
        limits=limits,
    )
