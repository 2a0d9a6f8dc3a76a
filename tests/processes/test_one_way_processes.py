"""A control process that loses one direction of its links to the other control processes, with the real programs.

All messages between the processes pass the proxies of `one_way_links.py`, which hold one direction for a while. The
calls of operators and workers don't: both sides of a cut can be asked all the time. Each test makes four cuts in one
life of the system: of what a process sends or gets, where what was held is delivered at the end, or lost with its
connections. `CANVASBEAM_CUT_S` sets how long a cut lasts.
"""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections.abc import Callable, Iterable
from itertools import product
from pathlib import Path
from typing import Any

from canvasbeam.cli.control_client import ControlAnswer, ControlClient, ControlRequest
from canvasbeam.runtime.settings import Address
from tests.support.one_way_links import OneWayLinks
from tests.support.system_processes import (
    CONFIGURATION,
    CONTROL_PORT,
    CONTROLS,
    DEADLINE_S,
    EDGES,
    FRONT_PORT,
    Node,
    System,
    ask,
    host,
)

CUT_S = float(os.environ.get("CANVASBEAM_CUT_S", "2.5"))
NODES = (*CONTROLS, *EDGES, Node("edge-3", host(23), "z3", False))
BESIDE = NODES[len(CONTROLS) :]  # one in each zone: one of them is beside the node that is cut
ADOPTED_WITHIN_S = 3.0
AGREED_WITHIN_S = 5.0
PROBE_EVERY_S = 0.25
LEAST_PROBES = 2
CUTS = tuple(product((True, False), (True, False)))  # whether a node is mute or deaf, and what was held is delivered
NOT_DECIDED = (307, 503)  # the caller is sent elsewhere, now or by its own choice


class LinkedSystem(System):
    """Its processes reach each other through proxies alone."""

    def __init__(self, folder: Path, links: OneWayLinks) -> None:
        super().__init__(folder)
        self.links = links
        self.generation = 0
        self.orders: dict[int, dict[str, Any]] = {}  # the configurations that were acknowledged

    def _settings(self, node: Node, bootstrap: bool) -> str:
        text = super()._settings(node, bootstrap)
        return text.replace("port_range = [7660, 7675]", f"port_range = {list(self.links.port_range(node))}")

    async def order_at(
        self, nodes: Iterable[Node], method: str, body: Any = None, if_match: int | None = None
    ) -> ControlAnswer:
        """A call on the configuration by an operator who knows these nodes, and follows a hand-over from there."""
        client = ControlClient([Address(node.ip, CONTROL_PORT) for node in nodes], DEADLINE_S)
        headers = {} if if_match is None else {"If-Match": str(if_match)}
        content = b"" if body is None else json.dumps(body).encode()
        answer = await asyncio.to_thread(client.send, ControlRequest(method, "/v1/config", content, headers))
        assert isinstance(answer, ControlAnswer), answer
        return answer

    async def take_order(self, nodes: Iterable[Node]) -> None:
        """The next configuration is acknowledged by one of these nodes."""
        order = configuration(self.generation + 1)
        answer = await self.order_at(nodes, "PUT", order, self.generation)
        assert answer.status == 200, answer
        self.generation += 1
        self.orders[self.generation] = order

    async def until_adopted(self, edges: Iterable[Node], within_s: float) -> float:
        """The seconds until each of these serves by the newest configuration that was acknowledged."""
        began = time.monotonic()
        for edge in edges:
            while not await serves(edge, self.generation):
                took = time.monotonic() - began
                assert took < within_s, f"{edge.name} has no generation {self.generation} after {took:.2f} s"
                await asyncio.sleep(0.02)
        return time.monotonic() - began


def configuration(generation: int) -> dict[str, Any]:
    """One whose lookups are for a host that no other generation knows."""
    routes = [
        {**route, "host": host_of(generation)} if route["name"] == "lookup" else route
        for route in CONFIGURATION["routes"]
    ]
    return {**CONFIGURATION, "generation": generation, "routes": routes}


def host_of(generation: int) -> str:
    return f"g{generation}.example"


async def serves(edge: Node, generation: int) -> bool:
    """Whether an edge has a route of this generation, and a worker for it."""
    headers = {"X-Request-Id": f"{edge.name}-{generation}-{time.monotonic_ns()}", "X-Deadline": "10000"}
    headers["Host"] = host_of(generation)
    answer = await ask(edge.address(FRONT_PORT), "POST", "/v1/question", headers, b"hello")
    return answer is not None and answer.status == 200


async def send_draining(node: Node, instance: str) -> int | None:
    """The status of the answer to the heartbeat of a worker that begins to drain."""
    record = {
        "service": "register", "address": f"{host(40)}:8080", "zone": node.zone, "generation": "v1", "slots": 1,
        "state": "draining", "cold_left_ms": 0, "stage": "hybrid", "models": [], "seq": time.monotonic_ns() // 1000000,
    }  # fmt: skip
    return await call(node, "PUT", f"/v1/instances/{instance}", record)


async def call(node: Node, method: str, path: str, body: Any = None, if_match: int | None = None) -> int | None:
    """The status that this very node answers; a hand-over isn't followed."""
    headers = {"Content-Type": "application/json"}
    if if_match is not None:
        headers["If-Match"] = str(if_match)
    content = b"" if body is None else json.dumps(body).encode()
    answer = await ask(node.address(CONTROL_PORT), method, path, headers, content)
    return None if answer is None else answer.status


async def probe_cut_node(system: LinkedSystem, node: Node, until: float) -> int:
    """The cut node decides nothing, however it is asked. Returns how often it was asked."""
    probes = 0
    while time.monotonic() < until or probes < LEAST_PROBES:
        base = system.generation
        beside = {**configuration(base + 1), "limits": {**CONFIGURATION["limits"], "max_header_bytes": 8192}}
        late = {**configuration(base), "limits": {**CONFIGURATION["limits"], "max_header_bytes": 8192}}
        statuses = await asyncio.gather(
            call(node, "GET", "/v1/config"),
            call(node, "PUT", "/v1/config", beside, base),
            call(node, "PUT", "/v1/config", late, base - 1),
            send_draining(node, f"i-cut-{probes}"),
        )
        assert all(status in NOT_DECIDED for status in statuses), statuses
        assert statuses[-1] == 503
        probes += 1
        await asyncio.sleep(PROBE_EVERY_S)
    return probes


async def until_agreed(system: LinkedSystem) -> float:
    """The seconds until all control processes tell of the same view, and have all that was acknowledged."""
    began = time.monotonic()

    async def agree() -> bool:
        statuses = [await system.status(node) for node in CONTROLS]
        if None in statuses:
            return False  # one has not begun to listen yet
        roles = [status["role"] for status in statuses]
        views = {(status["epoch"], status["primary"], *status["replicas"]) for status in statuses}
        newest = all(status["generation"] == system.generation for status in statuses)
        return newest and len(views) == 1 and roles.count("primary") == 1 and len(statuses[0]["replicas"]) == 3

    await system.until(agree)
    return time.monotonic() - began


async def until_draining_is_acknowledged(node: Node, instance: str) -> float:
    began = time.monotonic()
    while await send_draining(node, instance) != 200:
        took = time.monotonic() - began
        assert took < AGREED_WITHIN_S, f"no acknowledgement of {instance} after {took:.2f} s"
        await asyncio.sleep(0.05)
    return time.monotonic() - began


async def live_through_cut(system: LinkedSystem, node: Node, *, is_mute: bool, is_delivered: bool) -> None:
    """Cut one direction between a control process and the others, look at both sides, mend it, and look again."""
    others = [control for control in CONTROLS if control != node]
    began = time.monotonic()
    if is_mute:
        system.links.cut([node], others)
    else:
        system.links.cut(others, [node])
    # A worker that drains from the first moment on is not acknowledged, and an order is taken by the other side.
    draining = asyncio.create_task(send_draining(node, "i-first"))
    await system.take_order(others)
    order_s = time.monotonic() - began
    adopted_s = [await system.until_adopted(BESIDE, ADOPTED_WITHIN_S)]
    assert await draining == 503
    probes = asyncio.create_task(probe_cut_node(system, node, began + CUT_S))
    while not probes.done():
        newest = (await system.order_at(others, "GET")).body
        assert json.loads(newest) == system.orders[system.generation]
        await system.until_adopted(BESIDE, ADOPTED_WITHIN_S)
        await asyncio.sleep(PROBE_EVERY_S)
    asked = await probes
    await system.take_order(others)
    adopted_s.append(await system.until_adopted(BESIDE, ADOPTED_WITHIN_S))

    system.links.mend(is_delivered=is_delivered)
    agreed_s, drained_s = await asyncio.gather(until_agreed(system), until_draining_is_acknowledged(node, "i-first"))
    print(
        f"{node.name} {'mute' if is_mute else 'deaf'}, {'delivered' if is_delivered else 'lost'}:"
        f" order after {order_s:.2f} s, adopted after {', '.join(f'{adopted_:.2f}' for adopted_ in adopted_s)} s,"
        f" asked {asked} times; after the end agreed {agreed_s:.2f} s, draining acknowledged {drained_s:.2f} s"
    )
    assert agreed_s < AGREED_WITHIN_S
    for generation in (system.generation - 1, system.generation):
        again = await system.order_at([node, *others], "PUT", system.orders[generation], generation - 1)
        assert again.status == 200, again
    await system.until_adopted(BESIDE, ADOPTED_WITHIN_S)


async def start(system: LinkedSystem) -> None:
    """All processes, two workers, and the first configuration at all edges."""
    await system.links.start()
    await system.start(NODES)
    await system.take_order(CONTROLS)
    await system.add_worker(1, service="register")
    await system.add_worker(2, service="register", zone="z3")
    await system.until_adopted(BESIDE, DEADLINE_S)
    await until_agreed(system)


def play(folder: Path, choose: Callable[[Node], Node]) -> None:
    """Cut the process that is chosen by who is the primary, again and again."""

    async def run() -> None:
        system = LinkedSystem(folder, OneWayLinks(NODES))
        try:
            async with asyncio.timeout((1 + len(CUTS)) * (DEADLINE_S + CUT_S)):
                await start(system)
                for is_mute, is_delivered in CUTS:
                    node = choose(await system.primary())
                    await live_through_cut(system, node, is_mute=is_mute, is_delivered=is_delivered)
        except BaseException:
            for each in NODES:
                if each.name in system.processes:
                    print(f"--- {each.name}\n{system.log(each)}")
            raise
        finally:
            await system.stop()
            await system.links.stop()

    asyncio.run(run())


def test_a_primary_cut_in_one_direction_decides_nothing_and_the_others_go_on(tmp_path: Path) -> None:
    play(tmp_path, lambda primary: primary)


def test_another_replica_cut_in_one_direction_decides_nothing_and_the_others_go_on(tmp_path: Path) -> None:
    def another(primary: Node) -> Node:
        return CONTROLS[(CONTROLS.index(primary) + 1) % len(CONTROLS)]

    play(tmp_path, another)
