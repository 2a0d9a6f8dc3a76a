"""The initial values of a member: its settings, and the state read from its disk. Data types only."""

from __future__ import annotations

from dataclasses import dataclass, field

from canvasbeam.replication.control_state import ControlState
from canvasbeam.replication.snapshots import CHUNK_BYTES
from canvasbeam.replication.timing import ReplicationTiming
from canvasbeam.replication.views import GENESIS_EPOCH, NO_EPOCH, Epoch, MemberId, View


@dataclass(frozen=True, slots=True)
class DurableState:
    """The state of a member as read from its disk at startup."""

    promised: Epoch = NO_EPOCH
    accepted: View | None = None
    in_force: bool = False
    installed: Epoch = NO_EPOCH
    state: ControlState = field(default_factory=ControlState)
    committed: int = 0

    @classmethod
    def genesis(cls, view: View) -> DurableState:
        """Return the initial state of a member of the genesis view."""
        return cls(GENESIS_EPOCH, view, True, GENESIS_EPOCH, ControlState())


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """The settings that the process passes to its member at startup."""

    me: MemberId
    seed_ips: tuple[str, ...]
    tolerated_machines: int = 1  # number of machines that may be lost at the same time
    timing: ReplicationTiming = field(default_factory=ReplicationTiming)
    seed: int = 0  # random seed of the jitter in election delays
    chunk_bytes: int = CHUNK_BYTES  # size of snapshot chunks; must be equal on all members
