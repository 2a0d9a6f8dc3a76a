"""Batches of changed items as a data-plane node receives them, and the state that its readers make of them.

`BatchSource` draws batches: workers that change and end, evacuations, configurations that add and remove services and
routes, and members that join and leave. `reader_state` gives what the readers of one data plane hold, so that a node
that has received every batch can be compared with a fresh node that receives the resulting items at once.
"""

from __future__ import annotations

import json
import random
import time
from dataclasses import dataclass, field
from typing import Any

from canvasbeam.cluster.member import Member, member_item
from canvasbeam.cluster.worker_items import worker_item
from canvasbeam.data_plane.program import DataPlane
from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.item_table.configuration_document import document_of
from canvasbeam.item_table.items import CURRENT, Item, ItemKind, ItemTable, Version
from canvasbeam.runtime.settings import Address, ProcessSettings
from canvasbeam.service_discovery.worker_registry import LEFT_SEQUENCE, Publication, Worker, WorkerState, WorkerVersion
from canvasbeam.units import SECOND

ZONES = {"z1": "r1", "z2": "r2", "z3": "r3"}
SERVICES = ("chat", "lookup", "review")
WORKERS = tuple(f"i-{number}" for number in range(6))
MEMBERS = tuple(f"edge-{number}" for number in range(2, 9))
REQUEST_CLASSES = 4  # the routes of a configuration, of which a batch draws some


def make_settings() -> ProcessSettings:
    return ProcessSettings(
        node="edge-1", role="data", node_class="edge", serves=("edge",), ip="127.0.0.1", zone="z1", region="r1",
        port_range=(7000, 7010), seeds=(), zones=ZONES,
        listen={"front": Address("127.0.0.1", 0), "ready": Address("127.0.0.1", 0)},
    )  # fmt: skip


@dataclass
class BatchSource:
    """Draws the batches of one history; versions only grow, as those of publications do."""

    rng: random.Random
    sequence: int = 0
    ended: set[str] = field(default_factory=set)
    started: int = 0

    def batch(self) -> list[Item]:
        """One to six changes in any order, as one push or several that were merged bring them."""
        makers = [self._worker, self._worker, self._end, self._evacuations, self._configuration, self._member]
        return [item for _ in range(self.rng.randint(1, 6)) for item in self.rng.choice(makers)()]

    def _next(self) -> int:
        self.sequence += 1
        return self.sequence

    def _living_worker(self) -> str:
        """The id of a worker that has not ended; an id is never used again."""
        names = [f"{name}.{self.started}" for name in WORKERS]
        living = [name for name in names if name not in self.ended]
        if not living:
            self.started += 1
            return self._living_worker()
        return self.rng.choice(living)

    def _worker(self) -> list[Item]:
        rng = self.rng
        worker = Worker(
            service=rng.choice(SERVICES),
            address=f"127.0.0.1:{rng.randint(8000, 8002)}",
            zone=rng.choice(tuple(ZONES)),
            slots=rng.randint(1, 4),
            state=rng.choice((WorkerState.READY, WorkerState.READY, WorkerState.DRAINING, WorkerState.MISSING)),
            warm_up_left_ms=rng.choice((0, 0, 3000)),
        )
        return [worker_item(Publication(self._living_worker(), WorkerVersion(self._next()), worker))]

    def _end(self) -> list[Item]:
        worker_id = self._living_worker()
        self.ended.add(worker_id)
        return [worker_item(Publication(worker_id, WorkerVersion(LEFT_SEQUENCE), None))]

    def _evacuations(self) -> list[Item]:
        zones = [zone for zone in ZONES if self.rng.random() < 0.4]
        return [Item(ItemKind.EVACUATIONS, CURRENT, Version(self._next()), json.dumps(zones).encode())]

    def _configuration(self) -> list[Item]:
        generation = self._next()
        document = document_of(self._document(generation))
        return [Item(ItemKind.CONFIGURATION, CURRENT, Version(generation), document=document)]

    def _document(self, generation: int) -> dict[str, Any]:
        rng = self.rng
        services = [name for name in SERVICES if rng.random() < 0.6]
        routes = [
            {
                "name": f"route-{number}", "host": "a.example", "prefix": f"/{number}/", "kind": "safe",
                "timeout_ms": 3000, "target_ms": 300, "priority": 0, "service": rng.choice(services), "retries": 2,
                "home_regions": rng.choice(([], ["r1"], ["r2", "r3"])),
            }
            for number in range(REQUEST_CLASSES) if services and rng.random() < 0.6
        ]  # fmt: skip
        entries = [
            {
                "name": name, "health_check": rng.choice(("/healthz", "/ready")), "max_conns": rng.choice((16, 40)),
                "warmup_per_s": rng.choice((0.0, 9.9)), "engine": {"kv_capacity": 1000} if name == "chat" else {},
            }
            for name in services
        ]  # fmt: skip
        limits = {"max_body_bytes": rng.choice((1000, 2000)), "idle_timeout_ms": rng.choice((5000, 15000))}
        return {"generation": generation, "routes": routes, "services": entries, "limits": limits}

    def _member(self) -> list[Item]:
        name = self.rng.choice(MEMBERS)
        member = Member(
            name, "edge", "data", f"127.0.0.{name[-1]}", "z2", "r2", f"127.0.0.{name[-1]}:8144", True, self._next()
        )
        statuses = (MemberStatus.ALIVE, MemberStatus.ALIVE, MemberStatus.SUSPECT, MemberStatus.DEAD, MemberStatus.LEFT)
        return [member_item(member, self.rng.choice(statuses))]


@dataclass
class Ticks:
    """Ticks of one data plane on a clock that runs ahead of the real one."""

    data_plane: DataPlane
    ahead_ns: int = 0

    def pass_second(self) -> None:
        """Let a second pass: grace periods end, and listeners that are behind are called again."""
        for _ in range(4):
            self.ahead_ns += SECOND // 4
            self.data_plane._cluster._core.tick(time.monotonic_ns() + self.ahead_ns)


def current_items(table: ItemTable) -> list[Item]:
    """What a node sends to a node that has no items."""
    return [item for kind in ItemKind for item in table.of_kind(kind)]


def reader_state(data_plane: DataPlane) -> dict[str, Any]:
    """What each reader of the item table holds, without times."""
    view, router, placement = data_plane._view, data_plane._router, data_plane._placement
    configuration = view.current
    limits = placement._limits
    return {
        "generation": configuration.generation if configuration is not None else None,
        "routes": {route.name: route for route in configuration.routes} if configuration is not None else {},
        "services": configuration.services if configuration is not None else {},
        "evacuated zones": view.evacuated_zones,
        "client limits": data_plane._servers.front.limits,
        "endpoints": {
            name: (
                endpoint.entry.zone, endpoint.entry.kind, endpoint.entry.state, endpoint.entry.slots,
                endpoint.entry.cold_until_ns > 0, endpoint.health_check,
            )
            for name, endpoint in router._endpoints._by_worker.items()
        },
        "pools": {
            name: (pool.address, pool.max_connections) for name, pool in data_plane._connections._pools.items()
        },
        "dispatcher's workers": {
            name: (worker.state, worker.zone, worker.kind)
            for name, worker in router._driver._dispatcher._parts.endpoints.workers.items()
            if worker.state.name != "GONE"
        },
        "dispatcher's kinds": router._driver._dispatcher._settings.kinds,
        "limits' workers": {
            name: (worker.region, worker.kind, worker.usable, limits._fleet_limit_per_s(worker))
            for name, worker in limits._workers.items()
        },
        "limits' schedulers": limits._live_names,
        "engines": placement.expectations._capacities,
        "engines' workers": {
            name: (model.zone, model.kind) for name, model in placement.expectations._workers.items()
        },
        "members": {member.name: member.incarnation for member in data_plane._cluster.members()},
    }  # fmt: skip
