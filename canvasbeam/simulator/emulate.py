"""Workers and discovery that stay up, for trying a scheduler by hand.

It owns what a request is that no plan knows: a job of the class that it names, with work drawn as the scenario says.
It must never refuse what a real worker would take, and never listen beyond loopback.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from pathlib import Path

import numpy as np

from canvasbeam.simulator.engine_sockets import SocketWorld
from canvasbeam.simulator.model import draw, faults, spec
from canvasbeam.simulator.model.units import SECOND
from canvasbeam.simulator.socket_simulation import JobOrder
from canvasbeam.simulator.wire import Asked

DRAWN = 1024


class Emulation(SocketWorld):
    """The emulated world without clients and schedulers of its own."""

    def __init__(self, scenario: spec.Scenario, discovery: tuple[str, int], folder: Path) -> None:
        super().__init__(scenario, folder, discovery=discovery)
        rng = np.random.Generator(np.random.PCG64(scenario.seed))
        self._works = [draw.works(request_class, DRAWN, rng) for request_class in scenario.classes]
        self._classes = {request_class.name: place for place, request_class in enumerate(scenario.classes)}
        self._asked = 0

    def order_of(self, asked: Asked) -> JobOrder | None:
        """Any request with an id is a job; one of an unknown class is of the first."""
        call_id = asked.headers.get("x-call-id")
        if not call_id:
            return None
        cls = self._classes.get(asked.headers.get("x-call-class", ""), 0)
        self._asked += 1
        now = self.now()
        try:
            budget = round(float(asked.headers.get("x-budget", "60")) * SECOND)
        except ValueError:
            budget = 60 * SECOND
        request = self.ledger.opened(self._asked, cls, now, now + budget, "by hand")
        work = round(float(self._works[cls][self._asked % DRAWN]) * SECOND)
        sid = asked.path.partition("sid=")[2].partition("&")[0]
        return JobOrder(request, call_id, cls, max(1, work), 1, sid, now + budget)

    @property
    def discovery(self) -> list[tuple[str, int]]:
        """Where discovery's agents listen, one for each scheduler."""
        return [agent.server.address for agent in self.agents]

    def serve(self, until: Callable[[], bool], with_faults: bool = False) -> None:
        """Stay up until told otherwise; the scenario's faults are played where wanted."""
        self.begun = self.recorder.begun = self.now()
        self.registry.begin()
        if with_faults:
            for step in faults.timetable(self.scenario, self.machines, self.chance):
                if step.what not in ("kill", "term", "start"):
                    self.after(step.at_ns, partial(self.carry_out, step))
        self._tick_on()
        try:
            while not until():
                self.loop.one_pass()
        finally:
            self.stop()
