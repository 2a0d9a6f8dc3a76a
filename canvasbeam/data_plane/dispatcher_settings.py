"""Define the dispatcher's settings for a data-plane node, and the initial expectations of model workers.

The constants were chosen by trials (docs/design/placement.md). This module keeps no state.
"""

from __future__ import annotations

from collections.abc import Mapping

from canvasbeam.data_plane.routes import Service
from canvasbeam.dispatch.language_model.expectations import EngineCapacity, EngineExpectations
from canvasbeam.dispatch.settings import DispatchLimits, Settings
from canvasbeam.runtime.settings import ProcessSettings
from canvasbeam.units import MILLISECOND

QUANTUM_NS = 2 * MILLISECOND
# The connect timeout is also the duration of a worker's first ejection, for example after a refused connection.
CONNECT_TIMEOUT_NS = 300 * MILLISECOND
RETRY_ADVICE_NS = 300 * MILLISECOND
# Share of the latency target after which a request that finds no worker is rejected. The share is below a quarter,
# because the retry of an early rejected request is worth more than a later answer.
EARLY_REJECTION_SHARE = 0.18
# Round-robin turns that a worker with an earlier expected first token may be ahead of the other workers.
MAX_FIRST_TOKEN_LEAD_TURNS = 4.0


def dispatcher_settings(settings: ProcessSettings) -> Settings:
    """Return the dispatcher's settings, with regions as priority rings: the own region first, then all others.

    `dispatchers` stays 1, because the quota shares of `FleetLimits` enforce the limits over all schedulers.
    """
    regions = tuple(sorted({settings.region, *settings.zones.values()}))
    limits = DispatchLimits(
        cancel=True,
        probes=True,
        retry_advice=True,
        max_retry_advice_ns=RETRY_ADVICE_NS,
        connect_timeout_ns=CONNECT_TIMEOUT_NS,
    )
    return Settings(
        classes=(),
        classes_later=True,
        zones=regions,
        own_zone=settings.region,
        quantum_ns=QUANTUM_NS,
        priority_first=True,
        batches=True,
        early_rejection_share=EARLY_REJECTION_SHARE,
        max_round_robin_lead=MAX_FIRST_TOKEN_LEAD_TURNS,
        limits=limits,
    )


def engine_expectations(settings: ProcessSettings) -> EngineExpectations:
    """Return this node's initial expectations of model workers, before any observation."""
    return EngineExpectations(settings.region)


def engines(services: Mapping[str, Service]) -> dict[str, EngineCapacity]:
    """Return the engine capacity of each service that runs a language model, keyed by service."""
    return {
        name: EngineCapacity(kv_cache_tokens=service.kv_cache_tokens)
        for name, service in services.items()
        if service.kv_cache_tokens
    }
