"""Define the interface of the replicated control state for the other parts of a control process."""

from __future__ import annotations

from typing import Protocol

from canvasbeam.errors import Failure
from canvasbeam.replication.control_state import Change, Committed, ControlState
from canvasbeam.replication.removal import Removal


class ControlStateService(Protocol):
    """The replicated control state, as the other parts of a control process use the state.

    `submit` returns `Committed` only when the change is durable on every replica of the current view. A `Failure` of
    code `CONFIG_*` or `ZONE_UNKNOWN` means that neither the change nor any copy of the change was or will be applied;
    the codes in `changes.OPEN_FAILURES` are exceptions. `NOT_PRIMARY` and `NO_PRIMARY` mean that this call has no
    effect. After `PRIMARY_LOST` and `REPLICATION_TIMEOUT` the outcome is unknown.
    """

    async def start(self) -> None:
        """Open the storage and begin to take part in replication."""
        ...

    async def leave(self, within_s: float) -> None:
        """Leave the view; return once this member may end, or after `within_s` seconds."""
        ...

    def remove(self, ip: str) -> Removal | Failure:
        """Remove the control process at an IP address permanently; return the progress, also when called again."""
        ...

    async def stop(self) -> None:
        """Resign if this node is the primary, and stop."""
        ...

    async def submit(self, change: Change) -> Committed | Failure:
        """Apply a change on every replica of the view."""
        ...

    async def read(self) -> ControlState | Failure:
        """Return the newest state, confirmed by a majority of the witnesses after the call began."""
        ...

    @property
    def state(self) -> ControlState:
        """The newest state that this node knows to be committed; newer states may be committed elsewhere."""
        ...

    @property
    def primary_ip(self) -> str | None:
        """The IP address of the primary; None if no primary is known."""
        ...

    @property
    def is_primary(self) -> bool:
        """True if this node is the primary, as far as the node knows."""
        ...
