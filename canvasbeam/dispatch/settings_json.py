"""The settings of a scheduler read from JSON, and the names of load-report values.

Shared by the simulator's adapter and the real scheduler, which are told the same object. It decides nothing.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

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

Fields = dict[str, Any]


class WireError(Exception):
    """The peer broke the wire; the message names what was wrong."""


EFFECTS = {"free": Effect.SAFE, "guarded": Effect.KEYED, "single_shot": Effect.UNSAFE}
SCOPES = {each.value: each for each in Scope}
REPORT_FIELDS = {
    "rif": "in_flight",
    "q": "queued",
    "busy": "busy_share",
    "lat_ms": "latency_ms",
    "rate": "served_per_s",
    "fail_rate": "errors_per_s",
}
# The same values as the workers call them on sockets.
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
QUEUE_ORDERS = {each.value: each for each in QueueOrder}
WEIGHTS = {each.value: each for each in Weights}


# --- reading fields ---------------------------------------------------------------------------


def need(fields: Fields, name: str) -> Any:
    """A field that must be there."""
    value = fields.get(name)
    if value is None:
        raise WireError(f"{fields.get('t', 'settings')}: field {name} is missing")
    return value


def whole(fields: Fields, name: str, default: int | None = None) -> int:
    """A whole number; required where no default is given."""
    value = need(fields, name) if default is None else fields.get(name)
    if value is None:
        return int(default or 0)
    if isinstance(value, bool) or not isinstance(value, int):
        raise WireError(f"{fields.get('t', 'settings')}: field {name} is not a whole number")
    return value


def number(fields: Fields, name: str, default: float) -> float:
    """A number with a default."""
    value = fields.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise WireError(f"{fields.get('t', 'settings')}: field {name} is not a number")
    return float(value)


def word(fields: Fields, name: str) -> str:
    """A required text."""
    value = need(fields, name)
    if not isinstance(value, str):
        raise WireError(f"{fields.get('t', 'settings')}: field {name} is not a text")
    return value


def one_of(fields: Fields, name: str, words: dict[Any, Any], default: Any = None) -> Any:
    """A field that takes one of a few words or codes."""
    value = fields.get(name) if default is not None else need(fields, name)
    if value is None:
        return default
    if isinstance(value, list | dict) or value not in words:
        raise WireError(f"{fields.get('t', 'settings')}: field {name} has the unknown value {value!r}")
    return words[value]


def section(fields: Fields, name: str) -> Fields:
    """A nested object; empty where it is absent."""
    value = fields.get(name)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise WireError(f"settings: {name} is not an object")
    return value


# --- settings ---------------------------------------------------------------------------------


def read_class(fields: Fields, place: int, family: Fields, kinds: tuple[str, ...]) -> RequestClass:
    """One entry of the settings' classes; some of its properties stand in lists by class."""

    def listed(name: str, default: Any) -> Any:
        values = family.get(name) or []
        return values[place] if place < len(values) else default

    kind = listed("classKind", -1)
    return RequestClass(
        name=word(fields, "name"),
        latency_target_ns=whole(fields, "aimNs"),
        deadline_ns=whole(fields, "deadlineNs"),
        value=number(fields, "worth", 1.0),
        late_value=number(fields, "lateShare", 0.0),
        effect=one_of(fields, "idempotency", EFFECTS),
        scope=one_of(fields, "keyScope", SCOPES, Scope.ALL),
        window_ns=whole(fields, "windowNs", 0),
        streams=bool(fields.get("streaming")),
        kind=kinds[kind] if 0 <= kind < len(kinds) else None,
        priority=listed("classPriority", 0),
        stretch=number(fields, "aimStretch", float(listed("classStretch", 0.0))),
    )


def read_limits(fields: Fields) -> DispatchLimits:
    """What the site permits."""
    return DispatchLimits(
        cancel=bool(fields.get("cancel")),
        probes=bool(fields.get("probes")),
        peers=bool(fields.get("peers")),
        second_copies=bool(fields.get("secondCopies")),
        retry_advice=bool(fields.get("retryAfter")),
        max_attempts=whole(fields, "mostTries", 1),
        max_open=whole(fields, "maxOpen", 10_000),
        max_retry_advice_ns=whole(fields, "maxRetryAfterNs", 0),
        connect_timeout_ns=whole(fields, "connectTimeoutNs", 250_000_000),
        idle_connection_ns=whole(fields, "connIdleNs", 0),
        attempts_per_connection=whole(fields, "streamsPerConn", 1),
        cpu_us_per_s=number(fields, "cpuUsPerS", 0.0),
        cpu_us_per_request=number(fields, "cpuUsPerRequest", 0.0),
    )


def read_rules(fields: Fields) -> Rules:
    """The figures behind the rules."""
    return Rules(
        answer_slack_ns=whole(fields, "answerSlackNs", 0),
        drain_grace_ns=whole(fields, "stopSendingWithinNs", 0),
        cold_from=number(fields, "coldFrom", 1.0),
        warm_within_ns=whole(fields, "warmWithinNs", 0),
        tip_multiple=number(fields, "tipMultiple", 1.0),
        overload_for_ns=whole(fields, "overloadForNs", 0),
        ask_every_ns=whole(fields, "askEveryNs", 0),
    )


def report_names(columns: Iterable[str], family: Fields) -> dict[str, str]:
    """What each value of a load report is called here."""
    names: dict[str, str] = dict(REPORT_FIELDS)
    for column in ("x0", "x1"):
        meaning = family.get("report" + column.upper())
        names[column] = REPORT_EXTRAS.get(str(meaning), column)
    return {column: names.get(column, column) for column in columns}


def plain_report_names(names: Mapping[str, str]) -> dict[str, str]:
    """The names of report values on sockets: the plain ones, and those that the settings name."""
    return {**PLAIN_REPORT_FIELDS, **names}


def read_settings(options: Fields) -> tuple[Settings, dict[str, str]]:
    """The settings of an instance, and the names of its report values."""
    family, report = section(options, "specifics"), section(options, "report")
    kinds = tuple(options.get("skus") or ())
    goal = section(options, "goal")
    names = report_names(report.get("columns") or (), family)
    settings = Settings(
        classes=tuple(
            read_class(fields, place, family, kinds) for place, fields in enumerate(need(options, "services"))
        ),
        zones=tuple(need(options, "localities")),
        own_zone=word(options, "myZone"),
        tenants=tuple(
            Tenant(word(each, "name"), number(each, "share", 0.0), number(each, "quotaPerS", 0.0))
            for each in options.get("realms") or ()
        ),
        kinds=kinds,
        own_number=whole(options, "me", 0),
        dispatchers=whole(options, "replicasOfMe", 1),
        quantum_ns=whole(options, "quantumNs", 1_000_000),
        discovery=one_of(options, "discovery", DISCOVERY, Discovery.PUSHED),
        weights=one_of(options, "weights", WEIGHTS, Weights.NONE),
        report_how=one_of(report, "how", REPORT_HOW, ReportHow.NONE),
        report_fields=tuple(names.values()),
        tells_start=bool(family.get("tellsStart")),
        progress_ns=whole(family, "progressNs", 0),
        queue_order=one_of(family, "queueOrder", QUEUE_ORDERS, QueueOrder.FIFO),
        value_by_work=options.get("worthBy") == "work",
        over_quota_value=number(options, "overShareWorth", 1.0),
        marks_repeats=bool(section(options, "clientHabits").get("marksRetry")),
        limits=read_limits(section(options, "policyLimits")),
        rules=read_rules(section(options, "rules")),
        goal=Goal(
            number(goal, "whole", 0.0),
            number(goal, "worstWindow", 0.0),
            number(goal, "worstClass", 0.0),
            number(goal, "worstTenant", 0.0),
        ),
        prices={name: number(section(options, "prices"), name, 0.0) for name in section(options, "prices")},
    )
    return settings, names
