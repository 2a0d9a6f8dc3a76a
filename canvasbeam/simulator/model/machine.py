"""What an emulated worker is: fixed for a run, with its true figures drawn."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import Literal

from canvasbeam.simulator.model.units import SECOND


@dataclass(frozen=True, slots=True)
class Machine:
    """What a worker is: fixed for a run, with its true figures drawn."""

    name: str
    zone: str
    model: str = ""
    cell: int = 0
    cores: int = 4
    slots: int = 4
    speed: float = 1.0
    queue: int = 40
    order: Literal["fifo", "backfill", "priority"] = "priority"
    preempt: Literal["none", "suspend", "kill"] = "none"
    cold_from: float = 0.4
    cold_ns: int = 6 * SECOND
    warm_by: Literal["time", "work"] = "time"
    pause_every_ns: int = 0
    pause_ns: int = 0
    error_rate: float = 0.0
    thrash: float = 0.0
    thrash_at: float = 10.0
    cancel_stops_work: bool = True
    drops_expired: bool = True
    drain_returns: bool = True
    tells_start: bool = True
    progress_ns: int = 0
    report_period_ns: int = 0  # 0: no reports
    report_delay_ns: int = 0
    report_noise: float = 0.0
    probe_work_ns: int = 0
    probes_per_s: float = inf
    keys_kept: int = 0
    fetch_ns: int = 0
    connections: int = 4096
    handshake_work_ns: int = 0
    tip_multiple: float = inf
    tip_window_ns: int = 3 * SECOND

    @property
    def capacity(self) -> float:
        """Work at speed 1 that it does in a unit of time, when warm."""
        return self.cores * self.speed
