"""The replicated control state and the pure function that applies an operator's change to it.

The state is the operator's configuration and the zones that are evacuated. Every replica applies the same changes in
the same order, so this module must be deterministic: no clock, no chance, no iteration over sets.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, Protocol

from canvasbeam.errors import Failure


class ChangeKind(IntEnum):
    """The orders of the operator that change the control state. The numbers are those of the wire and the disk."""

    PUT_CONFIGURATION = 1
    PATCH_CONFIGURATION = 2
    START_EVACUATION = 3
    END_EVACUATION = 4


@dataclass(frozen=True, slots=True)
class Change:
    """One order as it was received: enough to validate and apply it again on any replica."""

    kind: ChangeKind
    body: bytes = b""  # of a configuration or a patch
    if_match: int = 0
    zone: str = ""  # of an evacuation


@dataclass(frozen=True, slots=True)
class ControlState:
    """What the replicas agree on. `index` counts the changes applied since the first start of the system."""

    index: int = 0
    generation: int = 0
    configuration: Mapping[str, Any] | None = None
    configuration_index: int = 0  # the index of the change that last altered the configuration
    evacuated_zones: tuple[str, ...] = ()  # sorted
    evacuation_index: int = 0
    taken_orders: tuple[bytes, ...] = field(default=())  # digests of configuration orders, oldest first


@dataclass(frozen=True, slots=True)
class Committed:
    """A change is on the disks of every replica of the view, or was so before."""

    state: ControlState


class ControlStateService(Protocol):
    """The replicated control state as the rest of a control process uses it.

    `submit` returns `Committed` only when the change is durable on every replica of the current view; a `Failure` of
    code `CONFIG_*` or `ZONE_UNKNOWN` means that the change was not and will not be applied; `NOT_PRIMARY` and
    `NO_PRIMARY` mean the same; `PRIMARY_LOST` and `REPLICATION_TIMEOUT` leave the outcome open.
    """

    async def start(self) -> None:
        """Open the storage and begin to take part."""
        ...

    async def stop(self) -> None:
        """Resign where this node is the primary, and stop."""
        ...

    async def submit(self, change: Change) -> Committed | Failure:
        """Apply a change on every replica of the view."""
        ...

    async def read(self) -> ControlState | Failure:
        """The newest state, confirmed with a majority of the witnesses after the call began."""
        ...

    @property
    def state(self) -> ControlState:
        """The newest state that this node knows to be committed; it may be old."""
        ...

    @property
    def primary_ip(self) -> str | None:
        """The IP address of the primary, where one is known."""
        ...

    @property
    def is_primary(self) -> bool:
        """Whether this node is the primary, as far as it knows."""
        ...
