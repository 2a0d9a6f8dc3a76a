"""Read the settings of a dispatcher, and the names of load-report fields, from JSON.

The simulator's adapter and the scheduler program receive the same JSON object; only this module translates its names.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TypeVar, cast

from canvasbeam.dispatch.json_fields import Fields, choice, number, required, section, text, whole_number
from canvasbeam.dispatch.settings import (
    Discovery,
    DispatchLimits,
    Effect,
    Goal,
    QueueOrder,
    ReportHow,
    RequestClass,
    Rules,
    Scope,
    Settings,
    Tenant,
    Weights,
)

_Number = TypeVar("_Number", int, float)

EFFECTS = {"free": Effect.SAFE, "guarded": Effect.KEYED, "single_shot": Effect.UNSAFE}
SCOPES = {scope.value: scope for scope in Scope}
REPORT_FIELDS = {
    "rif": "in_flight",
    "q": "queued",
    "busy": "busy_share",
    "lat_ms": "latency_ms",
    "rate": "served_per_s",
    "fail_rate": "errors_per_s",
}
# Load-report fields by the names that workers use in HTTP responses.
PLAIN_REPORT_FIELDS = {
    "inflight": "in_flight",
    "queue": "queued",
    "util": "busy_share",
    "latency_ms": "latency_ms",
    "qps": "served_per_s",
    "eps": "errors_per_s",
}
REPORT_EXTRAS = {"free slots": "free_slots", "free memory": "free_memory"}
DISCOVERY = {"pushed": Discovery.PUSHED, "on_request": Discovery.ASKED}
REPORT_HOW = {"answers": ReportHow.ANSWERS, "probe": ReportHow.PROBES, "none": ReportHow.NONE}
QUEUE_ORDERS = {order.value: order for order in QueueOrder}
WEIGHTS = {weights.value: weights for weights in Weights}


def read_class(fields: Fields, index: int, specifics: Fields, kinds: tuple[str, ...]) -> RequestClass:
    """Return one request class; some of its properties are in separate lists, at the index of the class."""
    kind = _class_property(specifics, "classKind", index, -1)
    return RequestClass(
        name=text(fields, "name"),
        latency_target_ns=whole_number(fields, "aimNs"),
        deadline_ns=whole_number(fields, "deadlineNs"),
        value=number(fields, "worth", 1.0),
        late_value=number(fields, "lateShare", 0.0),
        effect=choice(fields, "idempotency", EFFECTS),
        scope=choice(fields, "keyScope", SCOPES, Scope.ALL),
        window_ns=whole_number(fields, "windowNs", 0),
        streams=bool(fields.get("streaming")),
        kind=kinds[kind] if 0 <= kind < len(kinds) else None,
        priority=_class_property(specifics, "classPriority", index, 0),
        stretch=number(fields, "aimStretch", float(_class_property(specifics, "classStretch", index, 0.0))),
    )


def _class_property(specifics: Fields, name: str, index: int, default: _Number) -> _Number:
    """Return the property of a class from the list under `name`, or the default where the list is shorter."""
    values: list[_Number] = specifics.get(name) or []
    return values[index] if index < len(values) else default


def read_limits(fields: Fields) -> DispatchLimits:
    """Return the limits of the deployment."""
    return DispatchLimits(
        cancel=bool(fields.get("cancel")),
        probes=bool(fields.get("probes")),
        peers=bool(fields.get("peers")),
        second_copies=bool(fields.get("secondCopies")),
        retry_advice=bool(fields.get("retryAfter")),
        max_attempts=whole_number(fields, "mostTries", 1),
        max_open=whole_number(fields, "maxOpen", 10_000),
        max_retry_advice_ns=whole_number(fields, "maxRetryAfterNs", 0),
        connect_timeout_ns=whole_number(fields, "connectTimeoutNs", 250_000_000),
        idle_connection_ns=whole_number(fields, "connIdleNs", 0),
        attempts_per_connection=whole_number(fields, "streamsPerConn", 1),
        cpu_us_per_s=number(fields, "cpuUsPerS", 0.0),
        cpu_us_per_request=number(fields, "cpuUsPerRequest", 0.0),
    )


def read_rules(fields: Fields) -> Rules:
    """Return the parameters of the rules."""
    return Rules(
        answer_slack_ns=whole_number(fields, "answerSlackNs", 0),
        drain_grace_ns=whole_number(fields, "stopSendingWithinNs", 0),
        initial_share=number(fields, "coldFrom", 1.0),
        warm_up_ns=whole_number(fields, "warmWithinNs", 0),
        overload_multiple=number(fields, "tipMultiple", 1.0),
        overload_window_ns=whole_number(fields, "overloadForNs", 0),
        list_interval_ns=whole_number(fields, "askEveryNs", 0),
    )


def read_goal(fields: Fields) -> Goal:
    """Return the weights in the score of a run."""
    return Goal(
        number(fields, "whole", 0.0),
        number(fields, "worstWindow", 0.0),
        number(fields, "worstClass", 0.0),
        number(fields, "worstTenant", 0.0),
    )


def read_tenants(entries: Iterable[Fields]) -> tuple[Tenant, ...]:
    """Return the tenants with their shares and quotas."""
    return tuple(
        Tenant(text(entry, "name"), number(entry, "share", 0.0), number(entry, "quotaPerS", 0.0)) for entry in entries
    )


def report_names(columns: Iterable[str], specifics: Fields) -> dict[str, str]:
    """Return the internal name of each load-report column."""
    names: dict[str, str] = dict(REPORT_FIELDS)
    for column in ("x0", "x1"):
        meaning = specifics.get("report" + column.upper())
        names[column] = REPORT_EXTRAS.get(str(meaning), column)
    return {column: names.get(column, column) for column in columns}


def plain_report_names(names: Mapping[str, str]) -> dict[str, str]:
    """Return the internal names of load-report fields in HTTP responses: default names, and names in the settings."""
    return {**PLAIN_REPORT_FIELDS, **names}


def read_settings(options: Fields) -> tuple[Settings, dict[str, str]]:
    """Return the settings of a dispatcher, and the internal names of its load-report fields.

    Raises `WireError` where a field is missing or of the wrong type, and `ValueError` where a value is out of range.
    """
    specifics, report = section(options, "specifics"), section(options, "report")
    kinds = tuple(options.get("skus") or ())
    names = report_names(report.get("columns") or (), specifics)
    classes = cast("list[Fields]", required(options, "services"))
    settings = Settings(
        classes=tuple(read_class(fields, index, specifics, kinds) for index, fields in enumerate(classes)),
        zones=tuple(cast("list[str]", required(options, "localities"))),
        own_zone=text(options, "myZone"),
        tenants=read_tenants(options.get("realms") or ()),
        kinds=kinds,
        own_number=whole_number(options, "me", 0),
        dispatchers=whole_number(options, "replicasOfMe", 1),
        quantum_ns=whole_number(options, "quantumNs", 1_000_000),
        discovery=choice(options, "discovery", DISCOVERY, Discovery.PUSHED),
        weights=choice(options, "weights", WEIGHTS, Weights.NONE),
        report_how=choice(report, "how", REPORT_HOW, ReportHow.NONE),
        report_fields=tuple(names.values()),
        tells_start=bool(specifics.get("tellsStart")),
        progress_ns=whole_number(specifics, "progressNs", 0),
        queue_order=choice(specifics, "queueOrder", QUEUE_ORDERS, QueueOrder.FIFO),
        value_by_work=options.get("worthBy") == "work",
        over_quota_value=number(options, "overShareWorth", 1.0),
        marks_repeats=bool(section(options, "clientHabits").get("marksRetry")),
        limits=read_limits(section(options, "policyLimits")),
        rules=read_rules(section(options, "rules")),
        goal=read_goal(section(options, "goal")),
        prices={name: number(section(options, "prices"), name, 0.0) for name in section(options, "prices")},
    )
    return settings, names
