"""What a scheduler is told at its start: LB_CONFIG's file, with the variables of the environment before it.

At a start the environment goes before the file; on SIGHUP the file's discovery goes first, since only the file can have
changed.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING, Any

from canvasbeam.dispatch.json_fields import WireError, required, section, whole_number
from canvasbeam.dispatch.settings import Settings
from canvasbeam.dispatch.settings_json import read_settings
from canvasbeam.scheduler.limits import Limits
from canvasbeam.scheduler.worker_discovery import read_address, read_list

if TYPE_CHECKING:
    from canvasbeam.gossip.settings import PeerSettings

# All but the first two come of a value of another type or size than the settings' page gives.
CONFIGURATION_ERRORS = (
    ValueError,
    WireError,
    TypeError,
    AttributeError,
    LookupError,
    ArithmeticError,
    RecursionError,
)


@dataclass(frozen=True, slots=True)
class Configuration:
    """What this scheduler was told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    mgmt: tuple[str, int] | None  # the management address, for operators and their tools
    peers: str  # the operator's own file on peers; empty for none
    seed: int
    sockets: int
    memory_mb: int
    known: dict[str, Any]
    options: dict[str, Any]


def read_configuration(environment: Mapping[str, str]) -> Configuration:
    """Return LB_CONFIG's file, with the environment's variables before it; raise `ValueError` if it is wrong."""
    path = environment.get("LB_CONFIG")
    if not path:
        raise ValueError("LB_CONFIG is not set")
    try:
        fields = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ValueError(f"LB_CONFIG cannot be read: {error}") from error
    if not isinstance(fields, dict):
        raise ValueError("LB_CONFIG holds no object")  # noqa: TRY004  # a start fails by one type of error
    known = section(fields, "known")
    if known:
        read_list(known, timedelta(0))
    mgmt = environment.get("LB_MGMT") or str(fields.get("mgmt") or "")
    return Configuration(
        name=environment.get("LB_NAME") or str(fields.get("name") or "scheduler"),
        listen=read_address(environment.get("LB_LISTEN") or str(required(fields, "listen"))),
        discovery=read_address(environment.get("LB_DISCOVERY") or str(required(fields, "discovery"))),
        mgmt=read_address(mgmt) if mgmt else None,
        peers=environment.get("LB_PEERS") or str(fields.get("peers") or ""),
        seed=int(str(fields.get("seed") or "0"), 16),
        sockets=whole_number(section(fields, "limits"), "sockets", 1024),
        memory_mb=whole_number(section(fields, "limits"), "memory_mb", 192),
        known=known,
        options=section(fields, "settings"),
    )


def read_peers(configuration: Configuration, settings: Settings) -> PeerSettings | None:
    """Return the operator's file on peers, or None: without one, or where the settings forbid them.

    Raises `ValueError`, which says what is wrong. Imported only here: a scheduler without peers pays nothing for it.
    """
    if not configuration.peers or not settings.limits.peers:
        return None
    try:
        from canvasbeam.gossip.settings import load_peer_settings  # noqa: PLC0415
    except ImportError as error:
        raise ValueError(f"peers need a library that is not installed: {error.name}") from error
    return load_peer_settings(configuration.peers)


def read_new_discovery(environment: Mapping[str, str]) -> tuple[str, int]:
    """Return where the file now says that discovery is; the whole file must be as good as at a start.

    LB_DISCOVERY is as old as the process: it must not hide the file's new address.
    """
    kept = {name: value for name, value in environment.items() if name != "LB_DISCOVERY"}
    configuration = read_configuration(kept)
    settings, _ = read_settings(configuration.options)
    Limits.of(settings, configuration.sockets, configuration.memory_mb)
    return configuration.discovery
