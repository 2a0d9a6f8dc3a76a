"""A world in real time, as far as its parts on sockets know it.

It owns what they may ask of each other, so that none of them knows the engine that puts them together.
"""

from __future__ import annotations

from abc import abstractmethod
from dataclasses import dataclass
from typing import Any

from canvasbeam.scheduler.loop import Loop
from canvasbeam.simulator.model.machine import Machine
from canvasbeam.simulator.model.registry import Listed
from canvasbeam.simulator.simulation import World
from canvasbeam.simulator.wire import Asked


@dataclass(frozen=True, slots=True)
class JobOrder:
    """What a worker is to do for a request."""

    request: int
    call_id: str
    cls: int
    work_ns: int
    slots: int
    sid: str
    due_ns: int


class LoopWorld(World):
    """A world whose time is that of an event loop over real sockets."""

    loop: Loop
    playing: bool = False  # once all schedulers are ready

    @abstractmethod
    def next_number(self) -> int:
        """Return a number for an attempt at a worker."""

    @abstractmethod
    def way(self, scheduler: int, to: Machine) -> int:
        """One way between a scheduler and a worker, beyond loopback's own."""

    @abstractmethod
    def delay(self, ms: float) -> int:
        """Return a latency of so many milliseconds, with jitter, in nanoseconds."""

    @abstractmethod
    def order_of(self, asked: Asked) -> JobOrder | None:
        """Return what a request that came to a worker is about; None where no client sent it."""

    @abstractmethod
    def host(self, each: Listed, place: int) -> dict[str, Any]:
        """Return an entry as discovery words it for one scheduler."""
