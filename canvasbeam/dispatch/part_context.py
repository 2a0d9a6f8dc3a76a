"""Hold what every part of a dispatcher may ask, so that a part is made with this and the parts that it depends on."""

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
    """What the parts of one dispatcher have in common."""

    settings: Settings  # as at the start; later classes are told by `change_classes`
    current: CurrentPass
    timers: SweepTimers
    fleet: FleetTraits
    estimates: ServiceEstimates
    fleet_limits: FleetLimiter | None = None  # limits over all dispatchers
    engines: EngineModel | None = None  # expectations of language models' workers
