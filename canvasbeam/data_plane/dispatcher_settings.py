"""The dispatcher's settings for a data-plane node, and the expectations that it is given.

The figures here were chosen by trials (docs/design/placement.md). Nothing here keeps state.
"""

from __future__ import annotations

from collections.abc import Mapping

from canvasbeam.data_plane.routes import Service
from canvasbeam.dispatch.language_model.expectations import EngineCapacity, EngineExpectations
from canvasbeam.dispatch.settings import DispatchLimits, Settings
from canvasbeam.runtime.settings import ProcessSettings
from canvasbeam.units import MILLISECOND

QUANTUM_NS = 2 * MILLISECOND
# A worker that refused a connection is ejected for this long at first.
CONNECT_TIMEOUT_NS = 300 * MILLISECOND
RETRY_ADVICE_NS = 300 * MILLISECOND
# A request that finds no worker is rejected before a quarter of its latency target is over: its retry is worth more.
HOLD_SHARE = 0.18
# How many round-robin turns a worker whose first token is expected sooner may be ahead of the others.
MAX_FIRST_TOKEN_LEAD_TURNS = 4.0


def dispatcher_settings(settings: ProcessSettings) -> Settings:
    """Return the settings, in which priority rings are regions: the own one first, then all others.

    `dispatchers` stays 1: what binds all schedulers together is the share of `FleetLimits`.
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
        early_rejection_share=HOLD_SHARE,
        max_round_robin_lead=MAX_FIRST_TOKEN_LEAD_TURNS,
        limits=limits,
    )


def engine_expectations(settings: ProcessSettings) -> EngineExpectations:
    """Return what this node expects of model workers, with nothing learned yet."""
    return EngineExpectations(settings.region)


def engines(services: Mapping[str, Service]) -> dict[str, EngineCapacity]:
    """Return the engines of those services that run language models."""
    return {
        name: EngineCapacity(kv_cache_tokens=int(service.engine["kv_capacity"]))
        for name, service in services.items()
        if service.engine and service.engine.get("kv_capacity")
    }
