"""A request of a client, the attempts made for it, and its one final answer.

These are the types that the coordinator shares with listeners, which submit requests and write answers, and with
transports, which send attempts to workers. They hold no protocol and no decision.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Protocol

from canvasbeam.dispatch.events import Outcome
from canvasbeam.dispatch.settings import Effect
from canvasbeam.scheduler.limits import ZERO
from canvasbeam.scheduler.loop import Deadline
from canvasbeam.scheduler.worker_table import ListedWorker


class Answer(Enum):
    """The kinds of final answer."""

    SERVED = "served"
    REFUSED = "refused"  # a repeat is harmless
    FAILED = "failed"
    OVERDUE = "overdue"  # failed for want of time
    UNUSABLE = "unusable"  # a worker found fault with the request itself


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """The one final answer to a request."""

    kind: Answer
    result: bytes = b""
    retry_after: timedelta = ZERO


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request to a worker, from the decision to send it to its outcome."""

    request: Request
    number: int
    worker: str
    begun_at: timedelta
    # The less a request may be repeated, the more the transport does to prove that a broken attempt never ran.
    effect: Effect = Effect.SAFE
    written: timedelta | None = None  # when its bytes were first given to the connection
    outcome: Outcome | None = None
    deadline: Deadline | None = None
    transport: object = None  # whatever the transport keeps with it
    whole: bool = False  # its last byte was taken by the kernel


@dataclass(slots=True, eq=False)
class Request:
    """One request: what the dispatcher is told of it, and what only its listener and transport read."""

    identity: str  # as the client names it, unlike any other that is open
    request_class: str
    due: timedelta
    payload: object
    answer: Callable[[FinalAnswer], None]
    tenant: str | None = None
    key: str | None = None
    slots: float = 1.0
    memory: float = 0.0
    repeat: bool = False
    service_hint: timedelta = ZERO  # the client's estimate of the work; zero for none
    handle: int = 0
    answered: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    deadline: Deadline | None = None
    arrived: timedelta = ZERO

    @property
    def dispatch_id(self) -> str:
        """Return the name under which the dispatcher knows it."""
        return str(self.handle)

    def open_attempts(self) -> list[Attempt]:
        """Return the attempts without an outcome."""
        return [attempt for attempt in self.attempts if attempt.outcome is None]

    def possibly_executed(self) -> list[Attempt]:
        """Return the attempts that may have run, or may yet."""
        return [attempt for attempt in self.attempts if attempt.outcome is None or not attempt.outcome.never_ran]


class AttemptTransport(Protocol):
    """What sends attempts and health checks. It reports to the coordinator, also during these calls."""

    def send(self, attempt: Attempt, worker: ListedWorker) -> None:
        """Start an attempt."""

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Stop an attempt without a report; return whether its last byte had been written."""

    def check_health(self, worker: ListedWorker) -> None:
        """Check on a worker, and report the result once."""

    def close_idle(self, worker: str) -> None:
        """Close the idle connections to a worker."""


class TooManyRequestsError(Exception):
    """No more requests are taken."""


class ShuttingDownError(Exception):
    """The process ends, and the request could not be answered before it does; it was not taken."""


class DuplicateRequestError(Exception):
    """Another request with this identity has no answer yet, or is still out at a worker."""
