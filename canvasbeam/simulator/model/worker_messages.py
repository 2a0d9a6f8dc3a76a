"""What an emulated worker is told and what it says: jobs, events and actions."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from math import inf


class Said(Enum):
    """What a worker says of a job; the values are the protocol's states."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"
    LOST = "lost"
    REJECTED = "rejected"  # turned away before the answer's head
    BROKE = "broke"  # the stream breaks

    @property
    def is_last(self) -> bool:
        """Whether nothing follows."""
        return self not in (Said.STARTED, Said.RUNNING)


@dataclass(slots=True, eq=False)
class Task:
    """One job as it stands at a worker. `ref` is the driver's name for the attempt."""

    ref: Hashable
    work_ns: float
    slots: int = 1
    priority: int = 0
    may_be_killed: bool = True
    key: str | None = None
    due_ns: float = inf
    order: int = 0
    ends_at: float = 0.0  # on the virtual clock
    run_from: float = 0.0
    work_left: float = 0.0
    running: bool = False
    over: bool = False
    told: bool = False

    def __lt__(self, other: Task) -> bool:
        return (-self.priority, self.order) < (-other.priority, other.order)


# --- events ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Offered:
    """A job's last byte has come."""

    task: Task


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The scheduler closed the connection of an attempt."""

    ref: Hashable


@dataclass(frozen=True, slots=True)
class Woken:
    """The time that `next_at` asked for has come."""


@dataclass(frozen=True, slots=True)
class Probed:
    """A probe came; whether it is answered is read from `probe_answer`."""


@dataclass(frozen=True, slots=True)
class Connected:
    """A new connection costs work."""


@dataclass(frozen=True, slots=True)
class Died:
    """The process ends, and with it all that it holds."""


@dataclass(frozen=True, slots=True)
class Born:
    """A process starts, cold."""


@dataclass(frozen=True, slots=True)
class Drains:
    """The worker takes nothing new from here on, or again."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class Slowed:
    """It runs this many times slower from here on."""

    times: float


@dataclass(frozen=True, slots=True)
class Errs:
    """This share of the jobs fails fast from here on."""

    share: float


@dataclass(frozen=True, slots=True)
class Breaks:
    """This share of the streams breaks from here on."""

    share: float


@dataclass(frozen=True, slots=True)
class Paused:
    """It stands still until then."""

    until_ns: int


Event = Offered | Withdrawn | Woken | Probed | Connected | Died | Born | Drains | Slowed | Errs | Breaks | Paused


# --- actions --------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Say:
    """Tell the scheduler something of an attempt."""

    ref: Hashable
    said: Said
    share: float = 0.0


@dataclass(frozen=True, slots=True)
class Began:
    """A job's effect may be there from here on: for the ledger alone, no scheduler hears it."""

    ref: Hashable


@dataclass(frozen=True, slots=True)
class FellOver:
    """More was sent to it while it was cold than it could bear: it is down for good."""


Action = Say | Began | FellOver
