"""Define the settings of a dispatcher: request classes, tenants, deployment limits, and parameters of its rules.

All settings are immutable and validated on construction; a value out of range raises `ValueError`. All times are whole
nanoseconds. Zones, kinds of worker, classes and tenants are identified by opaque strings. Only `settings_json.py`
translates settings from the names of the simulator's JSON.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """Consequence of running a request of a class twice: none, deduplicated by key, or a repeated effect."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Group of workers that deduplicate retries of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Discovery(Enum):
    """Delivery of endpoint lists: pushed by discovery, or sent at a dispatcher's request."""

    PUSHED = "pushed"
    ASKED = "asked"


class ReportHow(Enum):
    """Transport of a worker's load reports to a dispatcher: in answers, in health checks, or none."""

    ANSWERS = "answers"
    PROBES = "probes"
    NONE = "none"


class QueueOrder(Enum):
    """Order in which a worker serves its queue."""

    FIFO = "fifo"
    BACKFILL = "backfill"
    PRIORITY = "priority"


class Weights(Enum):
    """Meaning of a worker's weight in an endpoint list."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


def _require(condition: bool, name: str, rule: str) -> None:
    """Raise a `ValueError` that names the field and the violated rule if the condition is false."""
    if not condition:
        raise ValueError(f"{name} {rule}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests; raises `ValueError` where a field is out of range.

    An answer within `latency_target_ns` plus `stretch` times the request's own work is in time and has the `value`; a
    later answer has `late_value` (0 to 1) of the value. A keyed request may be sent again within `window_ns` of its
    first attempt. `max_attempts` is the number of workers that a request may be sent to; 0 = the limit of the
    deployment. `homes` are the zones in which the class may run; empty = all zones.
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
        _require(0 <= self.late_value <= 1, "late_value", "must be between 0 and 1")
        _require(self.window_ns >= 0, "window_ns", "must not be negative")
        _require(self.stretch >= 0, "stretch", "must not be negative")
        _require(self.max_attempts >= 0, "max_attempts", "must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and its share of the service; `quota_per_s` is in requests per second, 0 = no quota."""

    name: str
    share: float = 0.0
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _require(bool(self.name), "name", "must not be empty")
        _require(self.share >= 0, "share", "must not be negative")
        _require(self.quota_per_s >= 0, "quota_per_s", "must not be negative")


@dataclass(frozen=True, slots=True)
class DispatchLimits:
    """Limits of a deployment, and the mechanisms that it permits; raises `ValueError` where a field is out of range."""

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
    """Capacity of workers, and tolerances of the deployment; raises `ValueError` where a field is out of range.

    A worker that starts has `initial_share` (above 0, up to 1) of its capacity, which grows linearly over `warm_up_ns`.
    Work of `overload_multiple` times its capacity within `overload_window_ns` overloads a worker. A draining worker may
    be sent requests for `drain_grace_ns`; an answer may be `answer_slack_ns` late; a complete endpoint list may be
    requested once per `list_interval_ns`.
    """

    answer_slack_ns: int = 0
    drain_grace_ns: int = 0
    initial_share: float = 1.0
    warm_up_ns: int = 0
    overload_multiple: float = 1.0
    overload_window_ns: int = 0
    list_interval_ns: int = 0

    def __post_init__(self) -> None:
        _require(self.answer_slack_ns >= 0, "answer_slack_ns", "must not be negative")
        _require(self.drain_grace_ns >= 0, "drain_grace_ns", "must not be negative")
        _require(0 < self.initial_share <= 1, "initial_share", "must be above 0 and at most 1")
        _require(self.warm_up_ns >= 0, "warm_up_ns", "must not be negative")
        _require(self.overload_multiple > 0, "overload_multiple", "must be positive")
        _require(self.overload_window_ns >= 0, "overload_window_ns", "must not be negative")
        _require(self.list_interval_ns >= 0, "list_interval_ns", "must not be negative")


@dataclass(frozen=True, slots=True)
class Goal:
    """Weights in the score of a run: of the whole run, and of the worst time window, class and tenant."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a dispatcher at its start; raises `ValueError` where a field is out of range.

    With `classes_later` a dispatcher may start without classes, and `ClassesChanged` supplies the classes later. With
    `priority_first` pending requests of a higher priority rank before requests of a lower priority. With `batches`
    workers run many requests at once, so a request that has not started does not show that its worker is full, and a
    worker without any sign of activity is ejected. A request that finds no worker for
    `early_rejection_share` of its latency target is rejected; 0 = disabled. A worker with an earlier expected first
    token may be `max_round_robin_lead` turns ahead of the other workers; 0 = disabled. The sweep runs every few
    `quantum_ns`.
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
    priority_first: bool = False
    batches: bool = False
    early_rejection_share: float = 0.0
    max_round_robin_lead: float = 0.0

    def __post_init__(self) -> None:
        _require(bool(self.classes) or self.classes_later, "classes", "must name at least one class")
        check_classes(self.classes, self.kinds)
        _require(self.own_zone in self.zones, "own_zone", "must be one of zones")
        _require(self.dispatchers >= 1, "dispatchers", "must be at least 1")
        _require(self.own_number >= 0, "own_number", "must not be negative")
        _require(self.quantum_ns > 0, "quantum_ns", "must be positive")
        _require(self.progress_ns >= 0, "progress_ns", "must not be negative")
        _require(self.early_rejection_share >= 0, "early_rejection_share", "must not be negative")
        _require(self.max_round_robin_lead >= 0, "max_round_robin_lead", "must not be negative")


def check_classes(classes: Sequence[RequestClass], kinds: Sequence[str]) -> None:
    """Raise `ValueError` if two classes have the same name, or if a class requires an unknown kind of worker."""
    names = [request_class.name for request_class in classes]
    _require(len(set(names)) == len(names), "classes", "must not name a class twice")
    for request_class in classes:
        is_known = request_class.kind is None or request_class.kind in kinds
        _require(is_known, "classes.kind", "must be one of kinds")
