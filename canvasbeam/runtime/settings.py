"""Settings file of a process: reads the file with `tomllib`, validates the file and returns typed values.

Fields and sections have the names of the keys in the file, so these names must not change. Unknown keys are ignored, as
the deployment documentation requires. A missing or invalid key results in a `Failure` that names the file, the key and
the violated rule.
"""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any, TypeVar

from canvasbeam.errors import Failure, ResultCode

SETTINGS_VARIABLE = "CANVASBEAM_SETTINGS"
DEFAULT_PATH = "/etc/canvasbeam/local.toml"
DEFAULT_HEARTBEAT_MS = 1000.0
LOG_LEVELS = ("debug", "info", "warning", "error")
DEFAULT_LOG_LEVEL = "info"


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse `host:port` with a port from 1 to 65535; raise `ValueError` for any other text."""
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise ValueError(f"{text!r} is not an address of the form host:port")
        return cls(host, int(port))


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """Resources of the machine that are available to this process."""

    cpu_share: float = 1.0
    cpus: int = 1
    memory_mb: int = 256
    max_fds: int = 1024
    link_mbps: float = 1000.0
    disk_mb: int = 0


@dataclass(frozen=True, slots=True)
class ToleratedLosses:
    """Numbers of machines, zones and regions that may fail at once without breaking a rule of the deployment."""

    machines: int = 1
    zones: int = 1
    regions: int = 1


@dataclass(frozen=True, slots=True)
class Bounds:
    """Numeric limits of the deployment's rules; a suffix `_ms` or `_s` of a field names its unit."""

    seed_lag_s: float = 3
    reuse_s: float = 2
    contact_ms: float = 4000
    ack_ms: float = 5000
    catchup_s: float = 4
    drain_ms: float = 3000
    grace_s: float = 8
    loss_slack_ms: float = 200
    config_ms: float = 3000
    downgrade_ms: float = 250
    stretch_ms: float = 6000
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 0
    cold_over: float = 1.5
    cold_slack: float = 5
    evacuate_ms: float = 5000
    recovery_s: float = 12
    pass_ms: float = 400
    again_s: float = 10
    ttl_max_s: float = 5


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Settings of a process, as read from the settings file."""

    node: str
    role: str
    node_class: str
    serves: tuple[str, ...]
    ip: str
    zone: str
    region: str
    port_range: tuple[int, int]
    seeds: tuple[Address, ...]
    bootstrap: bool = False
    counts_for_quorum: bool = False
    data_dir: Path | None = None
    heartbeat_ms: float = DEFAULT_HEARTBEAT_MS
    contracts: tuple[str, ...] = ()
    log_level: str = DEFAULT_LOG_LEVEL
    zones: Mapping[str, str] = field(default_factory=dict)
    listen: Mapping[str, Address] = field(default_factory=dict)
    limits: MachineLimits = MachineLimits()
    tolerate: ToleratedLosses = ToleratedLosses()
    bounds: Bounds = Bounds()

    @property
    def control_peer_port(self) -> int:
        """TCP and UDP port on which every control-plane process receives messages from other nodes."""
        return self.port_range[0]

    @property
    def data_peer_port(self) -> int:
        """TCP and UDP port on which every data-plane process receives messages from other nodes."""
        return self.port_range[0] + 1

    @property
    def seed_peers(self) -> tuple[Address, ...]:
        """Addresses of the seeds for messages between nodes; `seeds` itself contains the control addresses."""
        return tuple(Address(seed.host, self.control_peer_port) for seed in self.seeds)


_Section = TypeVar("_Section", MachineLimits, ToleratedLosses, Bounds)


class InvalidKeyError(Exception):
    """A key of the settings is missing or invalid; the message names the key and the violated rule."""


def settings_path() -> Path:
    """Return the path of the settings file: the value of `SETTINGS_VARIABLE`, or `DEFAULT_PATH`."""
    return Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))


def load_settings(path: Path) -> ProcessSettings | Failure:
    """Read and validate a settings file; return a `Failure` with the file, the key and the rule on error."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Failure(ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}")
    try:
        return parse_settings(document)
    except InvalidKeyError as error:
        return Failure(ResultCode.SETTINGS_INVALID, f"{path}: {error}")


def parse_settings(document: Mapping[str, Any]) -> ProcessSettings:
    """Validate a parsed settings document; raise `InvalidKeyError` if a key is missing or invalid."""
    return ProcessSettings(
        node=_text(document, "node"),
        role=_text(document, "role"),
        node_class=_text(document, "class"),
        serves=_texts(document, "serves"),
        ip=_text(document, "ip"),
        zone=_text(document, "zone"),
        region=_text(document, "region"),
        port_range=_port_range(document),
        seeds=_addresses(document, "seeds"),
        bootstrap=_flag(document, "bootstrap"),
        counts_for_quorum=_flag(document, "counts_for_quorum"),
        data_dir=_data_dir(document),
        heartbeat_ms=_number(document, "heartbeat_ms", DEFAULT_HEARTBEAT_MS),
        contracts=_texts(document, "contracts", ()),
        log_level=_log_level(document),
        zones=_zones(document),
        listen=_listen(document),
        limits=_section(document, "limits", MachineLimits()),
        tolerate=_section(document, "tolerate", ToleratedLosses()),
        bounds=_section(document, "bounds", Bounds()),
    )


def _text(document: Mapping[str, Any], key: str) -> str:
    value = document.get(key)
    if not isinstance(value, str) or not value:
        raise InvalidKeyError(f"{key}: must be a text that is not empty")
    return value


def _texts(document: Mapping[str, Any], key: str, default: tuple[str, ...] | None = None) -> tuple[str, ...]:
    value = document.get(key, default)
    if not isinstance(value, list | tuple) or not all(isinstance(text, str) for text in value):
        raise InvalidKeyError(f"{key}: must be a list of texts")
    return tuple(value)


def _flag(document: Mapping[str, Any], key: str) -> bool:
    value = document.get(key, False)
    if not isinstance(value, bool):
        raise InvalidKeyError(f"{key}: must be true or false")
    return value


def _number(document: Mapping[str, Any], key: str, default: float) -> float:
    value = document.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise InvalidKeyError(f"{key}: must be a number that is not negative")
    return value


def _log_level(document: Mapping[str, Any]) -> str:
    value = document.get("log_level", DEFAULT_LOG_LEVEL)
    if value not in LOG_LEVELS:
        raise InvalidKeyError(f"log_level: must be one of {', '.join(LOG_LEVELS)}")
    return str(value)


def _port_range(document: Mapping[str, Any]) -> tuple[int, int]:
    value = document.get("port_range")
    if not isinstance(value, list) or len(value) != 2 or not all(isinstance(port, int) for port in value):
        raise InvalidKeyError("port_range: must be two port numbers")
    first, last = value
    if not 0 < first < last < 65536:
        raise InvalidKeyError("port_range: must span at least two ports, the first below the last, from 1 to 65535")
    return first, last


def _addresses(document: Mapping[str, Any], key: str) -> tuple[Address, ...]:
    return tuple(_address(key, text) for text in _texts(document, key))


def _address(key: str, text: object) -> Address:
    try:
        return Address.parse(str(text))
    except ValueError as error:
        raise InvalidKeyError(f"{key}: {error}") from None


def _data_dir(document: Mapping[str, Any]) -> Path | None:
    value = document.get("data_dir")
    if value is None or value == "":
        return None
    if not isinstance(value, str):
        raise InvalidKeyError("data_dir: must be a path")
    return Path(value)


def _zones(document: Mapping[str, Any]) -> dict[str, str]:
    value = document.get("zones", {})
    if not isinstance(value, dict) or not all(isinstance(region, str) for region in value.values()):
        raise InvalidKeyError("zones: must be a table with the region of each zone")
    return dict(value)


def _listen(document: Mapping[str, Any]) -> dict[str, Address]:
    value = document.get("listen", {})
    if not isinstance(value, dict):
        raise InvalidKeyError("listen: must be a table of addresses of the form host:port")
    return {key: _address(f"listen.{key}", text) for key, text in value.items() if text}


def _section(document: Mapping[str, Any], key: str, default: _Section) -> _Section:
    """Read a table of numbers: unknown keys are ignored, and missing keys keep the values of `default`."""
    table = document.get(key, {})
    if not isinstance(table, dict):
        raise InvalidKeyError(f"{key}: must be a table")
    numbers: dict[str, Any] = {}  # values are int or float, depending on the field
    for field_ in fields(default):
        value = table.get(field_.name, getattr(default, field_.name))
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            raise InvalidKeyError(f"{key}.{field_.name}: must be a number that is not negative")
        numbers[field_.name] = value
    return type(default)(**numbers)
