"""Hold the events that a dispatcher takes, and the types that they carry.

All are immutable. All times are whole nanoseconds on one clock that only moves forward; its origin means nothing. A
worker, request, key, zone, kind, class or tenant is named by an opaque string. The names that events have on the
simulator's wire are translated in `canvasbeam/adapter.py` alone.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from canvasbeam.dispatch.settings import RequestClass


class Outcome(Enum):
    """How an attempt, or a probe, ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    UNSENT = "broke unsent"  # an open connection broke before the request was sent in full
    BROKEN = "broken"  # a connection broke after that, where this is told from a request that was killed
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the request did not run."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.UNSENT, Outcome.MOOT)


class WorkerState(Enum):
    """What discovery says of a worker."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a worker list holds."""

    CHANGES = "changes"
    COMPLETE = "complete"
    WARM_COPY = "warm copy"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """One worker as discovery lists it. `started_ns` is 0 for a start in the distant past.

    `slots` is how many requests it runs at once, or 0 where that is not told; `cold_until_ns` is when it has warmed up.
    `models` are the language models it holds, or none where that is not told.
    Where the workers' rules are told by a configuration, `kind` is the service and `zone` the region.
    """

    worker: str
    zone: str
    kind: str = ""
    cell: int = 0
    state: WorkerState = WorkerState.LIVE
    weight: float = 1.0
    started_ns: int = 0
    slots: int = 0
    cold_until_ns: int = 0
    models: tuple[str, ...] = ()

    def may_run(self, request_class: RequestClass, request: RequestArrived) -> bool:
        """Whether it is of the class's kind, stands in one of its homes, and holds the request's model."""
        if request_class.kind is not None and request_class.kind != self.kind:
            return False
        if request_class.homes and self.zone not in request_class.homes:
            return False
        model = request.prompt.model if request.prompt is not None else ""
        return not model or not self.models or model in self.models


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """What discovery tells of the workers."""

    list_kind: ListKind
    entries: tuple[WorkerEntry, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class ClassesChanged:
    """From here on these are the classes and kinds. Requests that were taken keep the class they came with."""

    classes: tuple[RequestClass, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, which workers keep once read: it is known by its name and what stands before it."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PromptEstimate:
    """What a request for a language model asks of a worker."""

    tokens_in: int
    most_tokens_out: int
    parts: tuple[PromptPart, ...] = ()
    model: str = ""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request was taken; it is owed exactly one final answer by `deadline_ns`."""

    request_id: str
    request_class: str
    deadline_ns: int
    tenant: str | None = None
    key: str | None = None
    service_hint_ns: int = 0
    slots: float = 1.0
    memory: float = 0.0
    repeat: bool = False
    write: bool = False
    is_returning: bool = False
    prompt: PromptEstimate | None = None


@dataclass(frozen=True, slots=True)
class StreamOpened:
    """A streamed answer has begun; its attempt belongs to the client from here on."""

    request_id: str
    attempt: int
    worker: str
    elapsed_ns: int = 0


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """A worker began to run an attempt."""

    request_id: str
    attempt: int
    worker: str


@dataclass(frozen=True, slots=True)
class AttemptProgressed:
    """A worker is still at an attempt and has done this share of it."""

    request_id: str
    attempt: int
    worker: str
    done: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended. `final` says that the request has its final answer."""

    request_id: str
    attempt: int
    worker: str
    outcome: Outcome
    elapsed_ns: int = 0
    final: bool = False
    remark: int = 0
    report: Mapping[str, float] | None = None


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client left; nothing is owed any more."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set earlier is due."""

    token: str


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A probe ended."""

    worker: str
    outcome: Outcome
    elapsed_ns: int = 0
    report: Mapping[str, float] | None = None


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Another dispatcher sent a message."""

    sender: int
    content: bytes


Event = (
    WorkersListed
    | ClassesChanged
    | RequestArrived
    | StreamOpened
    | AttemptStarted
    | AttemptProgressed
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | PeerMessageReceived
)
