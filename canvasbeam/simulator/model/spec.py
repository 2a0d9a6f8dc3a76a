"""What a scenario says: the types of the scenario file, and the rules that its values must keep.

It owns the names, units and defaults of a scenario; spans are in seconds (`_s`) or milliseconds (`_ms`) as
their names say, shares lie between 0 and 1. The defaults are the operators' figures of `rennes-records`. It must
never read a file, draw a number or know an engine.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from canvasbeam.simulator.model import links

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]
# A figure, or a range from which each worker or day draws its own.
Span = float | tuple[float, float]


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A part of a scenario: keys are checked, and nothing changes once it is read."""


class MachineModel(Part, frozen=True):
    """One model of worker machines."""

    name: str
    share: Share = 1.0
    cores: Count = 4
    slots_per_core: Positive = 1.0
    speed: Span = 1.0
    queue_per_core: NotNegative = 10.0
    cold_from: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.4
    cold_s: NotNegative = 6.0
    warm_by: Literal["time", "work"] = "work"
    pause_every_s: Span = 0.0  # 0: it never pauses
    pause_ms: Span = 0.0
    error_rate: Share = 0.0
    thrash: NotNegative = 0.0  # what each held job beyond `thrash_at` for each core takes of the speed
    thrash_at: Positive = 10.0


class Fleet(Part, frozen=True):
    """The workers, how they serve, and what they tell."""

    workers: Count = 12
    models: tuple[MachineModel, ...] = (MachineModel(name="gen-a"),)
    zone_weights: tuple[NotNegative, ...] = ()  # capacity by zone; empty: alike
    order: Literal["fifo", "backfill", "priority"] = "priority"
    preempt: Literal["none", "suspend", "kill"] = "kill"
    cancel_stops_work: bool = True
    drops_expired: bool = True
    drain_returns: bool = True
    tells_start: bool = True
    progress_s: NotNegative = 2.0  # 0: it is not told
    report: bool = True
    report_period_s: Span = (0.5, 1.4)
    report_delay_s: Span = (0.14, 0.49)
    report_noise: Share = 0.03
    probes: bool = True
    probe_work_ms: NotNegative = 3.5
    probes_per_core: Positive = 3.0  # a second; more are turned away
    keys_kept: int = 0  # 0: jobs need no data set
    fetch_s: NotNegative = 0.2  # what a data set that is not at hand adds to a job
    connections_per_core: Count = 700
    handshake_rtts: Annotated[int, msgspec.Meta(ge=0)] = 1
    handshake_work_ms: NotNegative = 2.4
    idle_s: Positive = 30.0
    connect_timeout_ms: Positive = 200.0
    tip_multiple: Positive = 3.0
    tip_window_s: Positive = 3.0


class JobClassSpec(Part, frozen=True):
    """One class of jobs. In time is within `aim_s` plus `stretch` times the job's own running time."""

    name: str
    share: NotNegative = 1.0
    work_s: Positive = 0.2
    cv: NotNegative = 0.5
    dist: Literal["fixed", "exp", "lognormal", "pareto"] = "lognormal"
    two_slots: Share = 0.0  # the part of the jobs that takes two slots
    aim_s: Positive = 0.15
    stretch: NotNegative = 2.5
    deadline_s: Positive = 5.0
    worth: NotNegative = 1.0
    late_worth: Share = 0.3
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    scope: Literal["all", "zone", "cell"] = "zone"
    window_s: NotNegative = 7.5
    priority: int = 0


class Department(Part, frozen=True):
    """One tenant: its share of the fleet, and the share of the traffic that it sends."""

    name: str
    share: Share = 1.0
    traffic: NotNegative = 1.0


class Traffic(Part, frozen=True):
    """Open arrivals. `rate` is in jobs a second; without it `load` is the part of the fleet's capacity."""

    rate: NotNegative = 0.0
    load: NotNegative = 0.6
    zone_weights: tuple[NotNegative, ...] = ()
    quota_of_capacity: Positive = 0.85
    over_share_worth: Share = 0.05
    worth_by: Literal["job", "work"] = "job"  # by work: a job's worth is that of its class times its core seconds
    hints: Literal["none", "rough"] = "none"  # whether a request says what it may cost
    keys: int = 0  # how many data sets (sid) there are; 0: every job is about another thing


class Clients(Part, frozen=True):
    """What clients do with an answer, and without one."""

    retries: Annotated[int, msgspec.Meta(ge=0)] = 1
    backoff_ms: Span = (13.0, 100.0)
    honour: Share = 0.4  # the part that waits as long as Retry-After says
    most_wait_s: NotNegative = 2.0
    impatient: Share = 0.02  # the part that hangs up before its time
    marks_repeats: bool = False


class Schedulers(Part, frozen=True):
    """The schedulers, their limits, and how fast one starts."""

    count: Count = 4
    memory_mb: Count = 192
    sockets: Count = 1024
    start_s: NotNegative = 0.4
    max_attempts: Count = 3
    second_copies: bool = True
    retry_after: bool = True
    peers: bool = False  # they know each other; their datagrams pass the scenario's links
    clock_s: tuple[float, ...] = ()  # how far off the wall clock of the first, the second and so on is
    pass_ms: NotNegative = 0.2  # simulated: what comes in so soon after another goes into one pass


class DiscoverySpec(Part, frozen=True):
    """How late the register is, and what it says."""

    add_s: Span = (0.24, 2.4)
    notice_s: Span = (2.5, 4.8)
    silent_notice_s: Span = (5.8, 13.0)
    spread_ms: Span = (24.0, 120.0)
    period_s: Positive = 0.5
    weights: Literal["live", "nominal", "none"] = "live"
    asked: bool = False  # lists come only to those that ask; the schedulers are told so


class Network(Part, frozen=True):
    """Latency one way, and the front that spreads clients."""

    same_ms: NotNegative = 0.25
    cross_ms: NotNegative = 1.3
    client_ms: NotNegative = 0.5
    jitter: Share = 0.2
    front_notice_s: Span = (1.5, 3.4)


FaultKind = Literal[
    "crash",
    "slow",
    "fast_errors",
    "burst",
    "shared_slow",
    "silent",
    "breaking",
    "drain",
    "stale_discovery",
    "pause",
    "scheduler_kill",
    "scheduler_restart",
    "scheduler_stop",
    "cut",
    "heavy_tail",
]


class FaultSpec(Part, frozen=True):
    """One fault: what, when, how long, on which part, how large, and how fast it comes and goes.

    `size` is the factor of a slowdown, of the traffic or of the work, or the share that fails or breaks. `part` is
    the share of the workers (of the schedulers, for theirs; of the jobs, for heavy tails), `zone` keeps it to one
    zone, `targets` names them.
    """

    kind: FaultKind
    at_s: NotNegative
    for_s: NotNegative = 10.0
    part: Share = 0.0
    size: NotNegative = 0.0
    zone: str = ""
    targets: tuple[str, ...] = ()
    ramp_s: NotNegative = 0.0
    every_s: NotNegative = 0.0  # rolling: one target after another, so far apart
    spread_s: Span = 0.0  # returns differ by a draw from this

    @property
    def end_s(self) -> float:
        """When it is over."""
        return self.at_s + self.for_s


class Scenario(Part, frozen=True):
    """A whole scenario."""

    name: str
    about: str = ""
    seed: Annotated[int, msgspec.Meta(ge=0)] = 1
    length_s: Positive = 30.0
    warm_up_s: NotNegative = 0.0  # left out of the figures
    zones: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)] = (
        "rennes-nord",
        "rennes-sud",
        "cesson",
        "bruz",
    )
    most_jobs: Count = 1_000_000
    fleet: Fleet = Fleet()
    classes: Annotated[tuple[JobClassSpec, ...], msgspec.Meta(min_length=1)] = (JobClassSpec(name="file-read"),)
    departments: tuple[Department, ...] = ()
    traffic: Traffic = Traffic()
    clients: Clients = Clients()
    schedulers: Schedulers = Schedulers()
    discovery: DiscoverySpec = DiscoverySpec()
    network: Network = Network()
    faults: tuple[FaultSpec, ...] = ()
    links: tuple[links.LinkFault, ...] = ()  # faults between schedulers that know each other


# Faults that need a size, and what it must be.
_SIZES = {
    "slow": ("at least 1: how many times slower", 1.0, None),
    "shared_slow": ("at least 1: how many times slower", 1.0, None),
    "burst": ("above 0: the traffic's factor", 1e-9, None),
    "heavy_tail": ("at least 1: how many times more work", 1.0, None),
    "fast_errors": ("above 0 and at most 1: the share that fails", 1e-9, 1.0),
    "breaking": ("above 0 and at most 1: the share that breaks", 1e-9, 1.0),
}
_ON_ALL = {"burst", "shared_slow", "stale_discovery"}


def problems(scenario: Scenario) -> list[tuple[str, str]]:
    """Return what types cannot say: (key, rule) for each rule broken."""
    found: list[tuple[str, str]] = []

    def rule(holds: bool, key: str, text: str) -> None:
        if not holds:
            found.append((key, text))

    zones = scenario.zones
    for key, names in (
        ("zones", zones),
        ("classes.name", tuple(request_class.name for request_class in scenario.classes)),
        ("departments.name", tuple(department.name for department in scenario.departments)),
        ("fleet.models.name", tuple(model.name for model in scenario.fleet.models)),
    ):
        rule(len(set(names)) == len(names), key, "must not name one twice")
    rule(bool(scenario.fleet.models), "fleet.models", "must name at least one")
    rule(sum(request_class.share for request_class in scenario.classes) > 0, "classes.share", "must not all be 0")
    rule(sum(model.share for model in scenario.fleet.models) > 0, "fleet.models.share", "must not all be 0")
    for key, weights in (
        ("fleet.zone_weights", scenario.fleet.zone_weights),
        ("traffic.zone_weights", scenario.traffic.zone_weights),
    ):
        rule(not weights or len(weights) == len(zones), key, f"must have one figure for each of {len(zones)} zones")
        rule(not weights or sum(weights) > 0, key, "must not all be 0")
    rule(scenario.warm_up_s < scenario.length_s, "warm_up_s", "must be less than length_s")
    rule(scenario.schedulers.memory_mb >= 24, "schedulers.memory_mb", "must be at least 24")
    rule(scenario.schedulers.sockets >= 64, "schedulers.sockets", "must be at least 64")
    for place, fault in enumerate(scenario.faults):
        key = f"faults[{place}]"
        size = _SIZES.get(fault.kind)
        if size is not None:
            text, least, most = size
            rule(fault.size >= least and (most is None or fault.size <= most), f"{key}.size", f"must be {text}")
        if fault.kind not in _ON_ALL:
            rule(bool(fault.part or fault.targets or fault.zone), key, "must say part, zone or targets")
        rule(not fault.zone or fault.zone in zones, f"{key}.zone", "must be one of zones")
        rule(fault.at_s < scenario.length_s, f"{key}.at_s", "must lie before length_s")
    rule(scenario.schedulers.peers or not scenario.links, "links", "must have schedulers.peers = true")
    found += links.problems(scenario.links, zones)
    for key, span in _spans(scenario):
        rule(not isinstance(span, tuple) or span[0] <= span[1], key, "must go from the smaller to the larger")
        rule((span[0] if isinstance(span, tuple) else span) >= 0, key, "must not be negative")
    return found


def _spans(scenario: Scenario) -> list[tuple[str, Span]]:
    """Every range of a scenario, with its key."""
    spans: list[tuple[str, Span]] = []
    for name in ("report_period_s", "report_delay_s"):
        spans.append((f"fleet.{name}", getattr(scenario.fleet, name)))
    for place, model in enumerate(scenario.fleet.models):
        spans += [
            (f"fleet.models[{place}].{name}", getattr(model, name)) for name in ("speed", "pause_every_s", "pause_ms")
        ]
    spans += [
        (f"discovery.{name}", getattr(scenario.discovery, name))
        for name in ("add_s", "notice_s", "silent_notice_s", "spread_ms")
    ]
    spans.append(("clients.backoff_ms", scenario.clients.backoff_ms))
    spans.append(("network.front_notice_s", scenario.network.front_notice_s))
    return spans
