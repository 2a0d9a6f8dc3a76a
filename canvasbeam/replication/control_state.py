"""The types of the replicated control state: the state, and the operator's changes to the state.

The state consists of the operator's configuration and the evacuated zones. Every replica applies the same changes in
the same order and must reach the same state, so this module must be deterministic: no clock, no randomness, no
iteration over sets.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any


class ChangeKind(IntEnum):
    """The kinds of change that an operator can request. The numbers are part of the wire and the storage format."""

    PUT_CONFIGURATION = 1
    PATCH_CONFIGURATION = 2
    START_EVACUATION = 3
    END_EVACUATION = 4


@dataclass(frozen=True, slots=True)
class Change:
    """One change as received from the operator: enough to validate and apply the change on any replica."""

    kind: ChangeKind
    body: bytes = b""  # the encoded configuration or patch; empty for an evacuation
    if_match: int = 0
    zone: str = ""  # the zone of an evacuation; empty for a configuration


@dataclass(frozen=True, slots=True)
class ControlState:
    """The replicated state. `index` counts the changes applied since the first start of the system."""

    index: int = 0
    generation: int = 0
    configuration: Mapping[str, Any] | None = None
    configuration_index: int = 0  # the index of the change that last altered the configuration
    evacuated_zones: tuple[str, ...] = ()  # zone names, sorted
    evacuation_index: int = 0
    applied_change_keys: tuple[bytes, ...] = field(default=())  # keys of applied configuration changes, oldest first


@dataclass(frozen=True, slots=True)
class Committed:
    """The result of a change that is committed: stored on the disks of every replica of the view, now or earlier."""

    state: ControlState
