"""Hold the settings of a dispatcher: classes of requests, tenants, limits, and the figures behind its rules.

All are immutable and checked at their making; a value out of range raises `ValueError`. All times are whole
nanoseconds. A zone, kind of worker, class or tenant is named by an opaque string. The names that settings have in the
simulator's JSON are translated in `settings_json.py` alone.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What running a job of a class twice would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """The group of workers that drops a keyed job's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Discovery(Enum):
    """Whether lists come by themselves or must be asked for."""

    PUSHED = "pushed"
    ASKED = "asked"


class ReportHow(Enum):
    """How a worker's load reports reach a dispatcher."""

    ANSWERS = "answers"
    PROBES = "probes"
    NONE = "none"


class QueueOrder(Enum):
    """How a worker serves its queue."""

    FIFO = "fifo"
    BACKFILL = "backfill"
    PRIORITY = "priority"


class Weights(Enum):
    """What a worker's weight in the list means."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


def _require(condition: bool, name: str, rule: str) -> None:
    if not condition:
        raise ValueError(f"{name} {rule}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of jobs. An answer in time is one within `latency_target_ns` plus `stretch` times the job's own work.

    `max_attempts` is the number of workers that one job may be sent to, or 0 for that of the limits. `homes` are the
    zones in which the class may run, or none where it may run in all.
    """

    name: str
    latency_target_ns: int
    deadline_ns: int
    value: float = 1.0
    late_value: float = 0.0
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    window_ns: int = 0
    streams: bool = False
    kind: str | None = None
    priority: int = 0
    stretch: float = 0.0
    max_attempts: int = 0
    homes: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        _require(bool(self.name), "name", "must not be empty")
        _require(self.latency_target_ns > 0, "latency_target_ns", "must be positive")
        _require(self.deadline_ns > 0, "deadline_ns", "must be positive")
        _require(self.value >= 0, "value", "must not be negative")
        _require(0 <= self.late_value <= 1, "late_value", "must lie between 0 and 1")
        _require(self.window_ns >= 0, "window_ns", "must not be negative")
        _require(self.stretch >= 0, "stretch", "must not be negative")
        _require(self.max_attempts >= 0, "max_attempts", "must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and its share of the service."""

    name: str
    share: float = 0.0
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _require(bool(self.name), "name", "must not be empty")
        _require(self.share >= 0, "share", "must not be negative")
        _require(self.quota_per_s >= 0, "quota_per_s", "must not be negative")


@dataclass(frozen=True, slots=True)
class DispatchLimits:
    """What a deployment permits."""

    cancel: bool = True
    probes: bool = True
    peers: bool = False
    second_copies: bool = False
    retry_advice: bool = False
    max_attempts: int = 1
    max_open: int = 10_000
    max_retry_advice_ns: int = 0
    connect_timeout_ns: int = 250_000_000
    idle_connection_ns: int = 0
    attempts_per_connection: int = 1
    cpu_us_per_s: float = 0.0
    cpu_us_per_request: float = 0.0

    def __post_init__(self) -> None:
        _require(self.max_attempts >= 1, "max_attempts", "must be at least 1")
        _require(self.max_open >= 1, "max_open", "must be at least 1")
        _require(self.max_retry_advice_ns >= 0, "max_retry_advice_ns", "must not be negative")
        _require(self.connect_timeout_ns > 0, "connect_timeout_ns", "must be positive")


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures behind the four rules."""

    answer_slack_ns: int = 0
    drain_grace_ns: int = 0
    cold_from: float = 1.0
    warm_within_ns: int = 0
    tip_multiple: float = 1.0
    overload_for_ns: int = 0
    ask_every_ns: int = 0

    def __post_init__(self) -> None:
        _require(self.answer_slack_ns >= 0, "answer_slack_ns", "must not be negative")
        _require(self.drain_grace_ns >= 0, "drain_grace_ns", "must not be negative")
        _require(0 < self.cold_from <= 1, "cold_from", "must lie above 0 and not above 1")
        _require(self.warm_within_ns >= 0, "warm_within_ns", "must not be negative")
        _require(self.tip_multiple > 0, "tip_multiple", "must be positive")
        _require(self.overload_for_ns >= 0, "overload_for_ns", "must not be negative")
        _require(self.ask_every_ns >= 0, "ask_every_ns", "must not be negative")


@dataclass(frozen=True, slots=True)
class Goal:
    """How much each part of the result weighs."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a dispatcher is told at its start.

    With `classes_later` it may start without classes: `ClassesChanged` brings them. With `urgent_first` held jobs of a
    higher priority go before all others. With `batches` workers run many jobs at once, so one that has not begun does
    not show its worker full; who is heard of no more is rested. A job that finds no worker for `hold_share` of its aim
    is refused, where that is not 0. A worker with a sooner first token may be `affinity_turns` ahead of the others.
    """

    classes: tuple[RequestClass, ...]
    zones: tuple[str, ...]
    own_zone: str
    tenants: tuple[Tenant, ...] = ()
    kinds: tuple[str, ...] = ()
    own_number: int = 0
    dispatchers: int = 1
    quantum_ns: int = 1_000_000
    discovery: Discovery = Discovery.PUSHED
    weights: Weights = Weights.NONE
    report_how: ReportHow = ReportHow.NONE
    report_fields: tuple[str, ...] = ()
    tells_start: bool = False
    progress_ns: int = 0
    queue_order: QueueOrder = QueueOrder.FIFO
    value_by_work: bool = False
    over_quota_value: float = 1.0
    marks_repeats: bool = False
    limits: DispatchLimits = DispatchLimits()
    rules: Rules = Rules()
    goal: Goal = Goal()
    prices: Mapping[str, float] = field(default_factory=dict)
    classes_later: bool = False
    urgent_first: bool = False
    batches: bool = False
    hold_share: float = 0.0
    affinity_turns: float = 0.0

    def __post_init__(self) -> None:
        _require(bool(self.classes) or self.classes_later, "classes", "must name at least one class")
        check_classes(self.classes, self.kinds)
        _require(self.own_zone in self.zones, "own_zone", "must be one of zones")
        _require(self.dispatchers >= 1, "dispatchers", "must be at least 1")
        _require(self.own_number >= 0, "own_number", "must not be negative")
        _require(self.quantum_ns > 0, "quantum_ns", "must be positive")
        _require(self.progress_ns >= 0, "progress_ns", "must not be negative")
        _require(self.hold_share >= 0, "hold_share", "must not be negative")
        _require(self.affinity_turns >= 0, "affinity_turns", "must not be negative")


def check_classes(classes: Sequence[RequestClass], kinds: Sequence[str]) -> None:
    """Classes are named once, and each asks for a known kind of worker."""
    names = [each.name for each in classes]
    _require(len(set(names)) == len(names), "classes", "must not name a class twice")
    for each in classes:
        _require(each.kind is None or each.kind in kinds, "classes.kind", "must be one of kinds")
