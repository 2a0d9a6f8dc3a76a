"""Define the events that a dispatcher handles, and the types that the events contain.

All events are immutable. All times are whole nanoseconds on one monotonic clock with an arbitrary origin. Workers,
requests, keys, zones, kinds of worker, classes and tenants are identified by opaque strings. Only
`canvasbeam/adapter.py` translates events from the names of the simulator's wire protocol.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from canvasbeam.dispatch.settings import RequestClass


class Outcome(Enum):
    """Outcome of an attempt or of a health check."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    UNSENT = "broke unsent"  # an established connection broke before the request was sent in full
    # An established connection broke after the request was sent; `RESET` where the sender of the event cannot tell a
    # broken connection from a request that the worker killed.
    BROKEN = "broken"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """True if this outcome proves that the request did not run."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.UNSENT, Outcome.MOOT)


class WorkerState(Enum):
    """State of a worker according to discovery."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """Kind of an endpoint list: changes, all workers, or a cached copy; `LOST` reports that the watch ended."""

    CHANGES = "changes"
    COMPLETE = "complete"
    WARM_COPY = "warm copy"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """One worker as listed by discovery; `started_ns` is 0 for a start in the distant past.

    `slots` is the number of requests that the worker runs at once, 0 = unknown; `cold_until_ns` is the end of warm-up.
    `models` are the language models that the worker serves, empty = unknown.
    Where a configuration defines the rules of the workers, `kind` is the service and `zone` the region.
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
        """Return True if the worker's kind, zone and models permit a request of this class."""
        if request_class.kind is not None and request_class.kind != self.kind:
            return False
        if request_class.homes and self.zone not in request_class.homes:
            return False
        model = request.prompt.model if request.prompt is not None else ""
        return not model or not self.models or model in self.models


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """An endpoint list arrived from discovery, or the watch on discovery ended."""

    list_kind: ListKind
    entries: tuple[WorkerEntry, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class ClassesChanged:
    """The request classes and kinds of worker were replaced; requests that arrived earlier keep their class."""

    classes: tuple[RequestClass, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Part of a prompt that workers keep in the prefix cache, identified by its name and all preceding parts."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PromptEstimate:
    """Work of a request for a language model: prompt tokens, and the upper bound of generated tokens."""

    tokens_in: int
    max_tokens_out: int
    parts: tuple[PromptPart, ...] = ()
    model: str = ""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request arrived, which must get exactly one final answer by `deadline_ns`."""

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
    """The streamed answer of an attempt has begun, which binds the client to this attempt."""

    request_id: str
    attempt: int
    worker: str
    elapsed_ns: int = 0


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """A worker started to run an attempt."""

    request_id: str
    attempt: int
    worker: str


@dataclass(frozen=True, slots=True)
class AttemptProgressed:
    """A worker reported progress on an attempt; `done` is the completed fraction."""

    request_id: str
    attempt: int
    worker: str
    done: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended; `final` is True if the request has its final answer."""

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
    """The client of a request disconnected, so the request needs no answer."""

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the dispatcher set by `SetTimer` is due."""

    token: str


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check of a worker ended."""

    worker: str
    outcome: Outcome
    elapsed_ns: int = 0
    report: Mapping[str, float] | None = None


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message arrived from another dispatcher."""

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
