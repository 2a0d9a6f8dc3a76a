"""What a scheduler of a scenario is told: the configuration of LB_CONFIG, the same in both engines.

It owns the mapping from a scenario to the platform's names and units. It must never tell a scheduler what the
emulated world keeps to itself: true speeds, queues, faults to come.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from canvasbeam.dispatch.settings import Settings
from canvasbeam.dispatch.settings_json import read_settings
from canvasbeam.scheduler.limits import Limits
from canvasbeam.simulator.model import spec
from canvasbeam.simulator.model.draw import Chance, Stream, capacity, mean_work
from canvasbeam.simulator.model.faults import scheduler_name
from canvasbeam.simulator.model.machine import Machine
from canvasbeam.simulator.model.units import MS, SECOND

EFFECTS = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
QUANTUM = 2 * MS
DRAIN_GRACE = 500 * MS


def seed_of(chance: Chance, place: int, start: int) -> int:
    """Return the seed a scheduler is given at its nth start."""
    return chance.single(Stream.SCHEDULERS, place * 1000 + start).getrandbits(63)


def zone_of(scenario: spec.Scenario, place: int) -> str:
    """Return the zone of a scheduler."""
    return scenario.zones[place % len(scenario.zones)]


def options(scenario: spec.Scenario, fleet: Sequence[Machine], place: int) -> dict[str, Any]:
    """Return the settings' object for one scheduler."""
    workers = scenario.fleet
    classes = scenario.classes
    quota = capacity(list(fleet)) / mean_work(scenario) * scenario.traffic.quota_of_capacity
    coldest = min((model.cold_from for model in workers.models), default=1.0)
    warm = max((model.cold_s for model in workers.models), default=0.0)
    return {
        "me": place,
        "replicasOfMe": scenario.schedulers.count,
        "localities": list(scenario.zones),
        "myZone": zone_of(scenario, place),
        "skus": [model.name for model in workers.models],
        "realms": [
            {"name": department.name, "share": department.share, "quotaPerS": round(quota * department.share, 3)}
            for department in scenario.departments
        ],
        "quantumNs": QUANTUM,
        "discovery": "on_request" if scenario.discovery.asked else "pushed",
        "weights": scenario.discovery.weights,
        "report": {"how": "answers", "columns": ["rate", "busy", "fail_rate", "x0"]}
        if workers.report
        else {"how": "none", "columns": []},
        "worthBy": "work" if scenario.traffic.worth_by == "work" else "request",
        "overShareWorth": scenario.traffic.over_share_worth,
        "clientHabits": {"marksRetry": scenario.clients.marks_repeats},
        "services": [
            {
                "name": request_class.name,
                "aimNs": round(request_class.aim_s * SECOND),
                "deadlineNs": round(request_class.deadline_s * SECOND),
                "idempotency": EFFECTS[request_class.effect],
                "keyScope": request_class.scope,
                "worth": request_class.worth,
                "lateShare": request_class.late_worth,
                "windowNs": round(request_class.window_s * SECOND),
            }
            for request_class in classes
        ],
        "specifics": {
            "classKind": [-1] * len(classes),
            "classPriority": [request_class.priority for request_class in classes],
            "classStretch": [request_class.stretch for request_class in classes],
            "tellsStart": workers.tells_start,
            "progressNs": round(workers.progress_s * SECOND),
            "queueOrder": workers.order,
            "reportX0": "free slots",
        },
        "policyLimits": {
            "cancel": True,
            "probes": workers.probes,
            "peers": scenario.schedulers.peers,
            "secondCopies": scenario.schedulers.second_copies,
            "retryAfter": scenario.schedulers.retry_after,
            "mostTries": scenario.schedulers.max_attempts,
            "maxOpen": 20_000,
            "maxRetryAfterNs": round(scenario.clients.most_wait_s * SECOND),
            "connectTimeoutNs": round(workers.connect_timeout_ms * MS),
            "connIdleNs": round(workers.idle_s * SECOND),
            "streamsPerConn": 1,
        },
        "rules": {
            "answerSlackNs": 8 * MS,
            "stopSendingWithinNs": DRAIN_GRACE,
            "coldFrom": coldest,
            "warmWithinNs": round(warm * SECOND),
            "tipMultiple": workers.tip_multiple,
            "overloadForNs": round(workers.tip_window_s * SECOND),
        },
        "goal": {"whole": 0.45, "worstWindow": 0.05, "worstClass": 0.4, "worstTenant": 0.1},
    }


def settings(scenario: spec.Scenario, fleet: Sequence[Machine], place: int) -> Settings:
    """Return the same as the program reads it."""
    return read_settings(options(scenario, fleet, place))[0]


def limits(scenario: spec.Scenario, told: Settings) -> Limits:
    """Return the program's limits under a scenario's."""
    return Limits.of(told, scenario.schedulers.sockets, scenario.schedulers.memory_mb)


def configuration(
    scenario: spec.Scenario,
    fleet: Sequence[Machine],
    place: int,
    seed: int,
    listen: str,
    discovery: str,
    known: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """LB_CONFIG's object for one scheduler process."""
    return {
        "name": scheduler_name(place),
        "listen": listen,
        "discovery": discovery,
        "seed": f"{seed:x}",
        "limits": {
            "cores": 1.0,
            "memory_mb": scenario.schedulers.memory_mb,
            "sockets": scenario.schedulers.sockets,
        },
        "known": known or {},
        "settings": options(scenario, fleet, place),
    }
