"""Hold the dependencies that all parts of a dispatcher share.

The constructor of a part takes a `PartContext` and the parts that it depends on.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasbeam.dispatch.collaborators import EngineModel, FleetLimiter
from canvasbeam.dispatch.current_pass import CurrentPass
from canvasbeam.dispatch.records import FleetTraits
from canvasbeam.dispatch.service_estimates import ServiceEstimates
from canvasbeam.dispatch.settings import Settings
from canvasbeam.dispatch.sweep_timers import SweepTimers


@dataclass(frozen=True, slots=True)
class PartContext:
    """Dependencies that the parts of one dispatcher share."""

    settings: Settings  # initial settings; `change_classes` passes later request classes to the parts
    current: CurrentPass
    timers: SweepTimers
    fleet: FleetTraits
    estimates: ServiceEstimates
    fleet_limits: FleetLimiter | None = None  # limits on the sum over all dispatchers
    engines: EngineModel | None = None  # model of the workers that run language models
