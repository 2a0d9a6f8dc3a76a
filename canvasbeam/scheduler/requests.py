"""A request of a client, the attempts made for it, and its one final answer.

These are the types that the core shares with listeners, which submit requests and write answers, and with carriers,
which make forwards to targets. They hold no protocol and no decision.
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
from canvasbeam.scheduler.target_table import Target


class Answer(Enum):
    """The kinds of final answer."""

    SERVED = "served"
    REFUSED = "refused"  # a repeat is harmless
    FAILED = "failed"
    OVERDUE = "overdue"  # failed for want of time
    UNUSABLE = "unusable"  # a target found fault with the request itself


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """The one final answer to a request."""

    kind: Answer
    result: bytes = b""
    retry_after: timedelta = ZERO


@dataclass(slots=True, eq=False)
class Attempt:
    """One forward of a request to a target, from the decision to send it to its outcome."""

    request: Request
    number: int
    target: str
    begun: timedelta
    # The less a job may be repeated, the more the carrier does to prove that a broken forward never ran.
    effect: Effect = Effect.SAFE
    written: timedelta | None = None  # when its bytes were first given to the connection
    outcome: Outcome | None = None
    deadline: Deadline | None = None
    carrier: object = None  # whatever the carrier keeps with it
    whole: bool = False  # its last byte was taken by the kernel


@dataclass(slots=True, eq=False)
class Request:
    """One request: what the decision module is told of it, and what only its listener and carrier read."""

    identity: str  # as the client names it, unlike any other that is open
    job_class: str
    due: timedelta
    payload: object
    answer: Callable[[FinalAnswer], None]
    tenant: str | None = None
    key: str | None = None
    slots: float = 1.0
    memory: float = 0.0
    repeat: bool = False
    work_hint: timedelta = ZERO  # the client's estimate of the work; zero for none
    handle: int = 0
    answered: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    deadline: Deadline | None = None
    arrived: timedelta = ZERO

    @property
    def dispatch_id(self) -> str:
        """Return the name under which the dispatcher knows it."""
        return str(self.handle)

    def unfinished(self) -> list[Attempt]:
        """Attempts without an outcome."""
        return [each for each in self.attempts if each.outcome is None]

    def possibly_run(self) -> list[Attempt]:
        """Attempts that may have run, or may yet."""
        return [each for each in self.attempts if each.outcome is None or not each.outcome.never_ran]


class Carrier(Protocol):
    """What makes forwards and probes. It reports to the core, also during these calls."""

    def send(self, attempt: Attempt, target: Target) -> None:
        """Start a forward."""

    def withdraw(self, attempt: Attempt) -> bool:
        """Stop a forward without a report; whether its last byte had been written."""

    def probe(self, target: Target) -> None:
        """Check on a target, and report the result once."""

    def close_idle(self, target: str) -> None:
        """Close the idle connections to a target."""


class TooManyRequests(Exception):
    """No more requests are taken."""


class ShuttingDown(Exception):
    """The process ends, and the request could not be answered before it does; it was not taken."""


class DuplicateRequest(Exception):
    """Another request with this identity has no answer yet, or is still out at a target."""
