"""Define the actions that a dispatcher returns; the caller executes the actions in the order of the returned list.

All actions are immutable. All times are whole nanoseconds on the clock of the events. Only `canvasbeam/adapter.py`
translates actions to the names of the simulator's wire protocol.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt. The attempts of a request are numbered 0, 1, 2 in the order in which they are sent."""

    request_id: str
    worker: str
    timeout_ns: int = 0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for the outcome of one attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Reject a request: the final answer, after which a retry by the client is harmless.

    `retry_after_ns` is the advised delay before the retry; 0 = no advice.
    """

    request_id: str
    retry_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Fail a request: the final answer, which leaves open whether the request was executed."""

    request_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer that delivers a `TimerFired` event at or after `when_ns`."""

    token: str
    when_ns: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Send a health check to a worker."""

    worker: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to a worker."""

    worker: str


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a short message to one dispatcher, or to all dispatchers if `peer` is -1."""

    peer: int
    content: bytes


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a line to the log for operators."""

    text: str


@dataclass(frozen=True, slots=True)
class WatchWorkers:
    """Start or stop the watch on discovery for changes of the endpoint list."""

    enable: bool


@dataclass(frozen=True, slots=True)
class FetchWorkerList:
    """Request the complete endpoint list from discovery once."""


Action = (
    StartAttempt
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | SetTimer
    | CheckHealth
    | CloseIdleConnections
    | SendToPeer
    | WriteLog
    | WatchWorkers
    | FetchWorkerList
)
