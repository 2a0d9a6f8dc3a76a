"""Hold the actions that a dispatcher returns: what its caller is to do, in this order.

All are immutable. All times are whole nanoseconds on the clock of the events. The names that actions have on the
simulator's wire are translated in `canvasbeam/adapter.py` alone.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt. A request's attempts are numbered 0, 1, 2 in the order of their sends."""

    request_id: str
    worker: str
    timeout_ns: int = 0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: refused, and trying again is harmless."""

    request_id: str
    come_back_ns: int = 0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed, with no promise about the effect."""

    request_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` at or after a time."""

    token: str
    when_ns: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check on a worker."""

    worker: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to a worker."""

    worker: str


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a short message to one dispatcher, or to all where `peer` is -1."""

    peer: int
    content: bytes


@dataclass(frozen=True, slots=True)
class WriteLog:
    """A line for the people on call."""

    text: str


@dataclass(frozen=True, slots=True)
class WatchWorkers:
    """Ask discovery to send changes, or to stop."""

    enable: bool


@dataclass(frozen=True, slots=True)
class FetchWorkerList:
    """Ask discovery for the complete list, once."""


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
