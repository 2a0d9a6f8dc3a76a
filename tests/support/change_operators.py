"""Operators over the simulated control nodes: they order, read, race, send again, and give up, as the pages allow."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Coroutine
from typing import Any

from canvasbeam.replication.control_state import Change, ChangeKind
from tests.support.change_history import REFUSALS, Call
from tests.support.change_simulation import IPS, ChangeSimulation, Faults, Node
from tests.support.virtual_time import run_in_virtual_time

EVACUATION_TRIED_FOR_S = 5.0
CONFIGURATION_TRIED_FOR_S = 20.0
FINAL_TRIED_FOR_S = 8.0
QUIET_S = 6.0
CONFIGURATION_TOOLS = 2  # of an operator, at once


def document(generation: int, mark: str = "", service: str = "llm") -> dict[str, Any]:
    """A small configuration; `mark` makes it differ, and an unknown service makes it invalid."""
    route = {"name": "r1", "host": "a.example", "prefix": "/", "service": service, "timeout_ms": 1000, "mark": mark}
    return {"generation": generation, "routes": [route], "services": [{"name": "llm"}], "limits": {}}


def put(generation: int, if_match: int, mark: str = "", service: str = "llm") -> Change:
    body = json.dumps(document(generation, mark, service)).encode()
    return Change(ChangeKind.PUT_CONFIGURATION, body, if_match)


def patch(generation: int, if_match: int, mark: str = "", service: str = "llm") -> Change:
    routes = document(generation, mark, service)["routes"]
    body = json.dumps({"generation": generation, "upsert": {"routes": routes}}).encode()
    return Change(ChangeKind.PATCH_CONFIGURATION, body, if_match)


def evacuate(zone: str) -> Change:
    return Change(ChangeKind.START_EVACUATION, zone=zone)


def end_evacuation(zone: str) -> Change:
    return Change(ChangeKind.END_EVACUATION, zone=zone)


class Operator:
    """One operator, or one of its tools, with an evacuation zone of its own."""

    def __init__(self, simulation: ChangeSimulation, name: str, zone: str) -> None:
        self.name = name
        self.version = 0  # the newest that this operator knows
        self._simulation = simulation
        self._zone = zone
        self._chance = random.Random(simulation.chance.random())
        self._background: set[asyncio.Task[Call]] = set()

    async def order(self, change: Change, tried_for_s: float) -> Call | None:
        """Send an order until it gets a clear answer; None where that took too long."""
        simulation, chance = self._simulation, self._chance
        give_up_at = simulation.now() + tried_for_s
        pause = 0.03
        while simulation.now() < give_up_at:
            call = await self._try(change)
            if call.status == 200 or call.status in REFUSALS:
                return call
            await asyncio.sleep(pause * chance.uniform(0.5, 1.5))
            pause = min(2 * pause, 1.0)
        return None

    async def _try(self, change: Change) -> Call:
        """One copy, or two at once at different nodes; some are held up on the way, some answers are lost."""
        first, second = self._chance.sample(IPS, 2)
        if change.zone or self._chance.random() < 0.7:
            return await self._send(change, first)
        background = asyncio.create_task(self._send(change, second))
        self._background.add(background)
        return await self._send(change, first)

    async def _send(self, change: Change, ip: str) -> Call:
        held_s = self._chance.uniform(0.3, 4.0) if self._chance.random() < 0.1 else 0.0
        is_lost = self._chance.random() < 0.1
        closes = self._chance.random() < 0.7
        return await self._simulation.call(self.name, ip, change, held_s=held_s, closes=closes, is_answer_lost=is_lost)

    async def read(self, tried_for_s: float = FINAL_TRIED_FOR_S) -> Call | None:
        """Read until the configuration comes."""
        give_up_at = self._simulation.now() + tried_for_s
        while self._simulation.now() < give_up_at:
            call = await self._simulation.call(self.name, self._chance.choice(IPS))
            if call.status == 200 and call.document is not None:
                self.version = max(self.version, call.document["generation"])
                return call
            await asyncio.sleep(self._chance.uniform(0.02, 0.3))
        return None

    # --- the day ----------------------------------------------------------------------------------------------

    async def change_configurations(self, until: float) -> None:
        """Change after change, each on the newest known version."""
        while self._simulation.now() < until:
            if self._chance.random() < 0.4:
                await self.read(tried_for_s=2.0)
            change = self._next_change()
            call = await self.order(change, CONFIGURATION_TRIED_FOR_S)
            if call is not None and call.status == 200:
                self.version = max(self.version, json.loads(change.body)["generation"])
                if self._chance.random() < 0.3:
                    self._send_again_later(change)
            elif call is not None and call.status == 412:
                await self.read(tried_for_s=2.0)
            await asyncio.sleep(self._chance.uniform(0.0, 0.3))

    def _next_change(self) -> Change:
        """On the newest known version, with a number and a mark that another operator is likely to choose too."""
        chance = self._chance
        make = chance.choice((put, patch)) if self.version else put
        generation = self.version + chance.choice((1, 1, 2, 5))
        mark = chance.choice(("", "a", "a", self.name))
        service = "nobody" if chance.random() < 0.1 else "llm"
        if chance.random() < 0.05:
            generation = self.version
        early = chance.choice((1, 2)) if chance.random() < 0.05 else 0  # on a version that is still to come
        return make(generation + early, self.version + early, mark, service)

    def _send_again_later(self, change: Change) -> None:
        async def work() -> Call:
            await asyncio.sleep(self._chance.uniform(0.0, 5.0))
            return await self._send(change, self._chance.choice(IPS))

        self._background.add(asyncio.create_task(work()))

    async def evacuate_in_turns(self, until: float) -> None:
        """Empty the zone and take it back, each order until it is acknowledged or too late."""
        while self._simulation.now() < until:
            for change in (evacuate(self._zone), end_evacuation(self._zone)):
                await self.order(change, EVACUATION_TRIED_FOR_S)
                await asyncio.sleep(self._chance.uniform(0.0, 0.6))


class Day:
    """Operators, troubles, a quiet end, and the check of the whole history."""

    def __init__(self, simulation: ChangeSimulation, operators: int = 3) -> None:
        self.simulation = simulation
        self._chance = random.Random(simulation.chance.random())
        self._operators = [Operator(simulation, f"o{number}", f"z{number}") for number in range(1, operators + 1)]

    async def run(self, seconds: float) -> None:
        simulation = self.simulation
        until = simulation.now() + seconds
        work: list[Coroutine[Any, Any, None]] = [self._inject_fault(until)]
        for operator in self._operators:
            work += [operator.change_configurations(until) for _ in range(CONFIGURATION_TOOLS)]
            work.append(operator.evacuate_in_turns(until))
        await asyncio.gather(*work)
        self._end_trouble()
        await asyncio.sleep(QUIET_S)
        await self._read_back()
        simulation.check()

    async def _read_back(self) -> None:
        for operator in self._operators:
            call = await operator.read()
            assert call is not None or not self._is_configured(), "the configuration did not come"

    def _is_configured(self) -> bool:
        return any(state.state.configuration is not None for state in self.simulation.history.states.values())

    async def _inject_fault(self, until: float) -> None:
        await asyncio.sleep(self._chance.uniform(0.0, 2.0))
        while self.simulation.now() < until:
            await self._chance.choice(self._troubles())()
            self._end_trouble()
            await asyncio.sleep(self._chance.uniform(0.0, 2.5))

    def _troubles(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        return [
            self._kill,
            self._kill_all,
            self._wipe,
            self._freeze,
            self._freeze,
            self._cut,
            self._cut_one_way,
            self._lose,
        ]

    def _target(self) -> Node:
        """The primary, most of the time."""
        primary = self.simulation.primary()
        if primary is not None and self._chance.random() < 0.75:
            return primary
        return self._chance.choice(list(self.simulation.nodes.values()))

    async def _last(self, shortest: float = 0.05, longest: float = 3.0) -> None:
        await asyncio.sleep(self._chance.uniform(shortest, longest))

    async def _kill(self) -> None:
        self._target().kill(keep_unsynced=self._chance.random() < 0.5)
        await self._last()

    async def _kill_all(self) -> None:
        for node in self.simulation.nodes.values():
            node.kill(keep_unsynced=self._chance.random() < 0.5)
        await self._last(longest=0.5)

    async def _wipe(self) -> None:
        """Bearable: one machine, after the others have caught up."""
        await asyncio.sleep(4.0)
        self._target().wipe()
        await self._last(0.5)
        self._end_trouble()
        await asyncio.sleep(4.0)

    async def _freeze(self) -> None:
        self._target().freeze()
        await self._last()

    async def _cut(self) -> None:
        self.simulation.cut_off(self._target().ip)
        await self._last()

    async def _cut_one_way(self) -> None:
        ip = self._target().ip
        heard = self._chance.random() < 0.5
        self.simulation.partitions |= {(ip, other) if heard else (other, ip) for other in IPS if other != ip}
        await self._last()

    async def _lose(self) -> None:
        self.simulation.loss = 0.3
        await self._last()

    def _end_trouble(self) -> None:
        self.simulation.partitions.clear()
        self.simulation.loss = 0.0
        for node in self.simulation.nodes.values():
            node.thaw(messages_after_s=self._chance.choice((0.0, self._chance.uniform(0.0, 0.1))))
            node.start()


def run_operators(
    seed: int, seconds: float = 8.0, faults: Faults | None = None, operators: int = 3
) -> ChangeSimulation:
    """One random day; raises where its history cannot be explained."""

    async def body() -> ChangeSimulation:
        simulation = ChangeSimulation(seed, faults)
        await Day(simulation, operators).run(seconds)
        return simulation

    return run_in_virtual_time(body())
