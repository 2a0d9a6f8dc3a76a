"""The settings and scenarios that are shipped, as the code reads them, by the names that the files use."""

from __future__ import annotations

import ast
import json
import tomllib
from collections.abc import Iterator, Mapping
from datetime import timedelta
from enum import Enum
from operator import attrgetter
from pathlib import Path
from typing import Any

import msgspec
import pytest

from canvasbeam.control_plane.changes import apply
from canvasbeam.control_plane.configuration_schema import CONFIGURATION_SCHEMA, PATCH_SCHEMA
from canvasbeam.dispatch.settings import Discovery, Effect, QueueOrder, ReportHow, Scope, Weights
from canvasbeam.dispatch.settings_json import plain_report_names, read_settings
from canvasbeam.errors import Failure
from canvasbeam.gossip.settings import PeerSettings
from canvasbeam.gossip.settings import check as check_peers
from canvasbeam.replication.control_state import Change, ChangeKind, ControlState
from canvasbeam.runtime.settings import Address, ProcessSettings, load_settings, settings_path
from canvasbeam.scheduler.configuration import read_configuration
from canvasbeam.simulator import scenario
from canvasbeam.simulator.model import spec
from tests.golden.answer_files import FOLDER, REPOSITORY, as_text, assert_matches

PROCESS_FILE = "process-settings.json"
SCHEDULER_FILE = "scheduler-settings.json"
SCENARIO_FILE = "scenarios.json"
CONFIGURATION_FILE = "operator-configuration.json"
NAMES_FILE = "setting-names.json"
# Inputs, with a value of its own for each key; not written by make_answers.py.
EVERY_KEY = FOLDER / "every-process-setting.toml"
EVERY_SCHEDULER_KEY = FOLDER / "every-scheduler-setting.json"
EVERY_PEERS_KEY = FOLDER / "every-peers-setting.toml"

# ---- the tables that a renaming in the code updates: a key of a file, and where the code keeps its value ----

PROCESS_KEYS = {
    "node": "node", "role": "role", "class": "node_class", "serves": "serves", "ip": "ip", "zone": "zone",
    "region": "region", "port_range": "port_range", "seeds": "seeds", "bootstrap": "bootstrap",
    "counts_for_quorum": "counts_for_quorum", "data_dir": "data_dir", "heartbeat_ms": "heartbeat_ms",
    "contracts": "contracts", "log_level": "log_level", "zones": "zones", "listen": "listen",
    "limits.cpu_share": "limits.cpu_share", "limits.cpus": "limits.cpus", "limits.memory_mb": "limits.memory_mb",
    "limits.max_fds": "limits.max_fds", "limits.link_mbps": "limits.link_mbps", "limits.disk_mb": "limits.disk_mb",
    "tolerate.machines": "tolerate.machines", "tolerate.zones": "tolerate.zones",
    "tolerate.regions": "tolerate.regions", "bounds.seed_lag_s": "bounds.seed_lag_s",
    "bounds.reuse_s": "bounds.reuse_s", "bounds.contact_ms": "bounds.contact_ms", "bounds.ack_ms": "bounds.ack_ms",
    "bounds.catchup_s": "bounds.catchup_s", "bounds.drain_ms": "bounds.drain_ms", "bounds.grace_s": "bounds.grace_s",
    "bounds.loss_slack_ms": "bounds.loss_slack_ms", "bounds.config_ms": "bounds.config_ms",
    "bounds.downgrade_ms": "bounds.downgrade_ms", "bounds.stretch_ms": "bounds.stretch_ms",
    "bounds.retry_ratio": "bounds.retry_ratio", "bounds.retry_window_s": "bounds.retry_window_s",
    "bounds.retry_slack": "bounds.retry_slack", "bounds.cold_over": "bounds.cold_over",
    "bounds.cold_slack": "bounds.cold_slack", "bounds.evacuate_ms": "bounds.evacuate_ms",
    "bounds.recovery_s": "bounds.recovery_s", "bounds.pass_ms": "bounds.pass_ms", "bounds.again_s": "bounds.again_s",
    "bounds.ttl_max_s": "bounds.ttl_max_s",
}  # fmt: skip

SCHEDULER_FILE_KEYS = {
    "name": "name", "listen": "listen", "discovery": "discovery", "mgmt": "mgmt", "peers": "peers", "seed": "seed",
    "limits.sockets": "sockets", "limits.memory_mb": "memory_mb", "known": "known", "settings": "options",
}  # fmt: skip

SCHEDULER_KEYS = {
    "me": "own_number", "replicasOfMe": "dispatchers", "localities": "zones", "myZone": "own_zone", "skus": "kinds",
    "quantumNs": "quantum_ns", "discovery": "discovery", "weights": "weights", "report.how": "report_how",
    "report.columns": "report_fields", "specifics.tellsStart": "tells_start", "specifics.progressNs": "progress_ns",
    "specifics.queueOrder": "queue_order", "worthBy": "value_by_work", "overShareWorth": "over_quota_value",
    "clientHabits.marksRetry": "marks_repeats", "goal.whole": "goal.whole", "goal.worstWindow": "goal.worst_window",
    "goal.worstClass": "goal.worst_class", "goal.worstTenant": "goal.worst_tenant", "prices": "prices",
    "policyLimits.cancel": "limits.cancel", "policyLimits.probes": "limits.probes",
    "policyLimits.peers": "limits.peers", "policyLimits.secondCopies": "limits.second_copies",
    "policyLimits.retryAfter": "limits.retry_advice", "policyLimits.mostTries": "limits.max_attempts",
    "policyLimits.maxOpen": "limits.max_open", "policyLimits.maxRetryAfterNs": "limits.max_retry_advice_ns",
    "policyLimits.connectTimeoutNs": "limits.connect_timeout_ns",
    "policyLimits.connIdleNs": "limits.idle_connection_ns",
    "policyLimits.streamsPerConn": "limits.attempts_per_connection", "policyLimits.cpuUsPerS": "limits.cpu_us_per_s",
    "policyLimits.cpuUsPerRequest": "limits.cpu_us_per_request", "rules.answerSlackNs": "rules.answer_slack_ns",
    "rules.stopSendingWithinNs": "rules.drain_grace_ns", "rules.coldFrom": "rules.initial_share",
    "rules.warmWithinNs": "rules.warm_up_ns", "rules.tipMultiple": "rules.overload_multiple",
    "rules.overloadForNs": "rules.overload_window_ns", "rules.askEveryNs": "rules.list_interval_ns",
}  # fmt: skip

CLASS_KEYS = {
    "name": "name", "aimNs": "latency_target_ns", "deadlineNs": "deadline_ns",
    "worth": "value", "lateShare": "late_value",
    "idempotency": "effect", "keyScope": "scope", "windowNs": "window_ns", "streaming": "streams",
    "classKind": "kind", "classPriority": "priority", "aimStretch or classStretch": "stretch",
}  # fmt: skip

TENANT_KEYS = {"name": "name", "share": "share", "quotaPerS": "quota_per_s"}

WORDS = {
    Effect.SAFE: "free", Effect.KEYED: "guarded", Effect.UNSAFE: "single_shot",
    Scope.ALL: "all", Scope.ZONE: "zone", Scope.CELL: "cell",
    Discovery.PUSHED: "pushed", Discovery.ASKED: "on_request",
    ReportHow.ANSWERS: "answers", ReportHow.PROBES: "probe", ReportHow.NONE: "none",
    QueueOrder.FIFO: "fifo", QueueOrder.BACKFILL: "backfill", QueueOrder.PRIORITY: "priority",
    Weights.NONE: "none", Weights.NOMINAL: "nominal", Weights.ROUGH: "rough", Weights.LIVE: "live",
}  # fmt: skip

# Load-report values by the names that the code has for them.
REPORT_VALUES = {
    "in_flight": "jobs in flight", "queued": "jobs queued", "busy_share": "share busy", "latency_ms": "latency in ms",
    "served_per_s": "served a second", "errors_per_s": "errors a second", "free_slots": "free slots",
    "free_memory": "free memory",
}  # fmt: skip

# All environment variables that are the programs' own. The second is that of the command line's `--control`.
VARIABLES = (
    "CANVASBEAM_SETTINGS", "CANVASBEAM_CONTROL",
    "LB_CONFIG", "LB_DISCOVERY", "LB_LISTEN", "LB_MGMT", "LB_NAME", "LB_PEERS",
)  # fmt: skip

# ---- how parsed values are told ----


def _told(value: Any) -> Any:
    """A parsed value by what files hold: words, numbers, lists and tables."""
    if isinstance(value, Enum):
        return WORDS[value]
    if isinstance(value, Address | Path):
        return str(value)
    if isinstance(value, timedelta):
        return value.total_seconds()
    if isinstance(value, Mapping):
        return {key: _told(element) for key, element in value.items()}
    if isinstance(value, tuple | list):
        return [_told(element) for element in value]
    assert value is None or isinstance(value, bool | int | float | str), value
    return value


def _by_keys(parsed: Any, keys: Mapping[str, str]) -> dict[str, Any]:
    return {key: _told(attrgetter(place)(parsed)) for key, place in keys.items()}


def _process(path: Path) -> dict[str, Any]:
    settings = load_settings(path)
    assert isinstance(settings, ProcessSettings), settings
    return _by_keys(settings, PROCESS_KEYS)


def process_settings() -> dict[str, Any]:
    """Each settings file that is shipped, and the one with every key."""
    files = sorted((REPOSITORY / "example/system").glob("*.toml"))
    told = {file.name: _process(file) for file in files}
    return told | {EVERY_KEY.name: _process(EVERY_KEY)}


def scheduler_settings() -> dict[str, Any]:
    """The scheduler's example file and the one with every key, with and without variables of the environment."""
    variables = {
        "LB_NAME": "n7", "LB_LISTEN": "127.0.0.9:5009", "LB_DISCOVERY": "127.0.0.9:8509",
        "LB_MGMT": "127.0.0.9:5019", "LB_PEERS": "/etc/peers.toml",
    }  # fmt: skip
    told = {}
    for path in (REPOSITORY / "example/config.json", EVERY_SCHEDULER_KEY):
        told[path.name] = _scheduler({"LB_CONFIG": str(path)})
        told[f"{path.name} below the environment"] = _scheduler({"LB_CONFIG": str(path)} | variables)
    return told


def _scheduler(environment: Mapping[str, str]) -> dict[str, Any]:
    configuration = read_configuration(environment)
    settings, names = read_settings(configuration.options)
    values = plain_report_names(names)
    told = {key: value for key, value in _by_keys(configuration, SCHEDULER_FILE_KEYS).items() if key != "settings"}
    inner = _by_keys(settings, SCHEDULER_KEYS) | {
        "report.columns": [REPORT_VALUES.get(report_field, report_field) for report_field in settings.report_fields],
        "services": [_by_keys(request_class, CLASS_KEYS) for request_class in settings.classes],
        "realms": [_by_keys(tenant, TENANT_KEYS) for tenant in settings.tenants],
    }
    return told | {
        "settings": inner,
        "load report": {key: REPORT_VALUES.get(name, name) for key, name in values.items()},
    }


def scenarios() -> dict[str, Any]:
    """Each scenario of the laboratory that is shipped, whole, with its defaults."""
    files = sorted((REPOSITORY / "scenarios").glob("*.toml"))
    return {file.name: msgspec.to_builtins(scenario.load(str(file))) for file in files}


def operator_configuration() -> dict[str, Any]:
    """The example configuration and patch, as the control plane takes them."""
    folder = REPOSITORY / "example/system"
    put = apply(ControlState(), Change(ChangeKind.PUT_CONFIGURATION, (folder / "configuration.json").read_bytes(), 0))
    assert not isinstance(put, Failure), put
    patch = (folder / "patch.json").read_bytes()
    patched = apply(put, Change(ChangeKind.PATCH_CONFIGURATION, patch, put.generation))
    assert not isinstance(patched, Failure), patched
    return {
        "configuration": put.configuration,
        "patched": patched.configuration,
        "schema of a configuration": CONFIGURATION_SCHEMA,
        "schema of a patch": PATCH_SCHEMA,
    }


def setting_names() -> dict[str, Any]:
    """The names of all keys and environment variables that the programs accept."""
    return {
        "process settings": sorted(PROCESS_KEYS),
        "scenario": sorted(_structure_keys(spec.Scenario, "")),
        "peers": sorted(_structure_keys(PeerSettings, "")),
        "peers with every key": msgspec.to_builtins(check_peers(_table(EVERY_PEERS_KEY), "file")),
        "environment of the scheduler": sorted(_variables_of_the_scheduler()),
    }


def _table(path: Path) -> dict[str, Any]:
    return tomllib.loads(path.read_text(encoding="utf-8"))


def _structure_keys(kind: Any, prefix: str) -> Iterator[str]:
    """The dotted keys of a structure, by the names that its files use."""
    for field in msgspec.structs.fields(kind):
        yield f"{prefix}{field.encode_name}"
        for inner in _structures_in(field.type):
            yield from _structure_keys(inner, f"{prefix}{field.encode_name}.")


def _structures_in(kind: Any) -> Iterator[Any]:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        yield kind
    for each in getattr(kind, "__args__", ()):
        yield from _structures_in(each)


class _RecordingEnvironment(dict[str, str]):
    """An environment that notes which variables are asked for."""

    def __init__(self, variables: Mapping[str, str]) -> None:
        super().__init__(variables)
        self.asked: set[str] = set()

    def get(self, name: str, default: Any = None) -> Any:
        self.asked.add(name)
        return super().get(name, default)


def _variables_of_the_scheduler() -> set[str]:
    environment = _RecordingEnvironment({"LB_CONFIG": str(REPOSITORY / "example/config.json")})
    read_configuration(environment)
    return environment.asked


TEXTS = {
    PROCESS_FILE: lambda: as_text(process_settings()),
    SCHEDULER_FILE: lambda: as_text(scheduler_settings()),
    SCENARIO_FILE: lambda: as_text(scenarios()),
    CONFIGURATION_FILE: lambda: as_text(operator_configuration()),
    NAMES_FILE: lambda: as_text(setting_names()),
}

# ---- tests ----


def test_the_settings_of_processes_are_read_as_before() -> None:
    assert_matches(PROCESS_FILE, process_settings())


def test_the_settings_of_schedulers_are_read_as_before() -> None:
    assert_matches(SCHEDULER_FILE, scheduler_settings())


def test_the_scenarios_are_read_as_before() -> None:
    assert_matches(SCENARIO_FILE, scenarios())


def test_the_operator_s_configuration_and_its_schemas_are_as_before() -> None:
    assert_matches(CONFIGURATION_FILE, operator_configuration())


def test_the_names_of_settings_and_variables_are_as_before() -> None:
    assert_matches(NAMES_FILE, setting_names())


def test_each_key_of_the_process_settings_has_a_value_of_its_own_in_the_file_with_every_key(tmp_path: Path) -> None:
    """So that a key which is no longer read shows: each value is none of the defaults."""
    least = 'node="n"\nrole="r"\nclass="c"\nserves=[]\nip="i"\nzone="z"\nregion="g"\nport_range=[1,2]\nseeds=[]\n'
    (tmp_path / "least.toml").write_text(least, encoding="utf-8")
    default, given = _process(tmp_path / "least.toml"), _process(EVERY_KEY)
    assert [key for key in PROCESS_KEYS if default[key] == given[key]] == []


def test_each_key_of_the_scheduler_s_settings_has_a_value_of_its_own_in_the_file_with_every_key(
    tmp_path: Path,
) -> None:
    fields = {"listen": "127.0.0.8:1", "discovery": "127.0.0.8:2"}
    options = {"services": [{"name": "s", "aimNs": 1, "deadlineNs": 1, "idempotency": "free"}],
               "localities": ["z"], "myZone": "z", "realms": [{"name": "r"}]}  # fmt: skip
    (tmp_path / "least.json").write_text(json.dumps(fields | {"settings": options}), encoding="utf-8")
    default = _scheduler({"LB_CONFIG": str(tmp_path / "least.json")})
    given = _scheduler({"LB_CONFIG": str(EVERY_SCHEDULER_KEY)})
    for place in ((), ("settings",), ("settings", "services", 0), ("settings", "realms", 0)):
        before, now = default, given
        for step in place:
            before, now = before[step], now[step]  # type: ignore[index]
        assert [key for key in now if key != "load report" and before[key] == now[key]] == [], place


def test_the_settings_file_is_found_by_its_variable_or_at_its_place(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("CANVASBEAM_SETTINGS", "/elsewhere/local.toml")
    assert settings_path() == Path("/elsewhere/local.toml")
    monkeypatch.delenv("CANVASBEAM_SETTINGS")
    assert settings_path() == Path("/etc/canvasbeam/local.toml")


def test_no_program_names_another_variable_of_its_own() -> None:
    """Texts of the code that look like a variable of these programs are those of the list."""
    found: set[str] = set()
    for path in (REPOSITORY / "canvasbeam").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Constant) and isinstance(node.value, str) and node.value.isidentifier():
                found.update({node.value} if node.value.startswith(("LB_", "CANVASBEAM_")) else ())
    assert found - {"LB_"} == set(VARIABLES)
