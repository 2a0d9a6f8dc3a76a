"""What became of each request of a client: one record at its end, counted by class, ring and cause.

The records are not kept: each is added to the counters of its labels, of which there is a bounded number. Times are
whole nanoseconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from canvasbeam.errors import ResultCode

MOST_LABELS = 256
OTHER_CLASS = "other"  # the class of what comes after that many
# A part of the aim; what takes more of it is the cause of a late answer.
TELLING_SHARE = 0.25


class Cause(Enum):
    """Why a request ended as it did: the first of these that holds."""

    IN_TIME = "in_time"
    CLIENT_LEFT = "client_left"
    REFUSED = "refused"  # no worker took it; it has not run
    BROKEN_OFF = "broken_off"  # a worker's answer ended early or never came
    NO_ANSWER = "no_answer"  # the time was over with a worker at work
    LONG_PAUSE = "long_pause"  # in a stream that began in time
    WAITED_HERE = "waited_here"  # held until a worker had room
    TRIED_AGAIN = "tried_again"  # an earlier attempt did not run
    SLOW_CONNECTION = "slow_connection"
    WORKER_SLOWER = "worker_slower"  # the first answer came later than was expected at the send
    EXPECTED_LATE = "expected_late"  # it came as expected, but no worker was expected to give it in time


class Ring(Enum):
    """Where the last worker stood."""

    NONE = "none"
    OWN_REGION = "own_region"
    OTHER_REGION = "other_region"


@dataclass(slots=True)
class RequestTimes:
    """The moments of a request, as they pass; 0 where one did not come."""

    arrived_ns: int
    first_sent_ns: int = 0
    last_sent_ns: int = 0
    written_ns: int = 0
    first_answer_ns: int = 0
    last_event_ns: int = 0
    longest_pause_ns: int = 0
    expected_ns: int = 0  # from the last send to the first answer, as expected at the send

    def note_event(self, now_ns: int) -> None:
        """Bytes of the answer went to the client."""
        if not self.first_answer_ns:
            self.first_answer_ns = now_ns
        else:
            self.longest_pause_ns = max(self.longest_pause_ns, now_ns - self.last_event_ns)
        self.last_event_ns = now_ns


@dataclass(frozen=True, slots=True)
class Outcome:
    """The record of one request."""

    job_class: str
    ring: Ring
    cause: Cause
    code: ResultCode  # of this node's own answer; OK where a worker answered
    attempts: int
    wait_ns: int  # from the arrival to the first send, or to the end
    first_answer_ns: int  # from the arrival; 0 without an answer
    expected_ns: int  # from the last send; 0 where nothing was expected
    unexpected_ns: int  # from the last send, beyond that


@dataclass(frozen=True, slots=True)
class Aims:
    """What makes an answer one in time."""

    first_answer_ns: int
    pause_ns: int = 0  # 0 where pauses do not count


@dataclass(frozen=True, slots=True)
class Ending:
    """How a request ended."""

    code: ResultCode
    is_complete: bool
    has_client_left: bool = False


def outcome_of(
    times: RequestTimes, aims: Aims, ending: Ending, now_ns: int, *, job_class: str, ring: Ring, attempts: int
) -> Outcome:
    """The record of a request that ends now."""
    took_ns = times.first_answer_ns - times.last_sent_ns if times.first_answer_ns and times.last_sent_ns else 0
    return Outcome(
        job_class,
        ring,
        _cause(attempts, times, aims, ending),
        ending.code,
        attempts,
        (times.first_sent_ns or now_ns) - times.arrived_ns,
        times.first_answer_ns - times.arrived_ns if times.first_answer_ns else 0,
        times.expected_ns,
        max(0, took_ns - times.expected_ns) if times.expected_ns else 0,
    )


def _cause(attempts: int, times: RequestTimes, aims: Aims, ending: Ending) -> Cause:
    if ending.has_client_left:
        return Cause.CLIENT_LEFT
    if not ending.is_complete:
        return _cause_of_failure(ending.code)
    if times.first_answer_ns - times.arrived_ns > aims.first_answer_ns:
        return _cause_of_delay(attempts, times, aims)
    if aims.pause_ns and times.longest_pause_ns > aims.pause_ns:
        return Cause.LONG_PAUSE
    return Cause.IN_TIME


def _cause_of_failure(code: ResultCode) -> Cause:
    if code in (ResultCode.REQUEST_REFUSED, ResultCode.REQUEST_NOT_READY, ResultCode.OVERLOADED):
        return Cause.REFUSED
    return Cause.NO_ANSWER if code is ResultCode.REQUEST_TIMED_OUT else Cause.BROKEN_OFF


def _cause_of_delay(attempts: int, times: RequestTimes, aims: Aims) -> Cause:
    """The first step that took a telling part of the aim."""
    telling_ns = TELLING_SHARE * aims.first_answer_ns
    if times.first_sent_ns - times.arrived_ns > telling_ns:
        return Cause.WAITED_HERE
    if attempts > 1 and times.last_sent_ns - times.first_sent_ns > telling_ns:
        return Cause.TRIED_AGAIN
    if times.written_ns - times.last_sent_ns > telling_ns:
        return Cause.SLOW_CONNECTION
    took_ns = times.first_answer_ns - times.last_sent_ns
    if not times.expected_ns or took_ns - times.expected_ns > telling_ns:
        return Cause.WORKER_SLOWER
    return Cause.EXPECTED_LATE


Labels = tuple[str, Ring, Cause, ResultCode]


@dataclass(slots=True)
class Totals:
    """The sums of all records with the same labels."""

    requests: int = 0
    attempts: int = 0
    wait_ns: int = 0
    first_answer_ns: int = 0
    expected_ns: int = 0
    unexpected_ns: int = 0

    def add(self, outcome: Outcome) -> None:
        """Count one record."""
        self.requests += 1
        self.attempts += outcome.attempts
        self.wait_ns += outcome.wait_ns
        self.first_answer_ns += outcome.first_answer_ns
        self.expected_ns += outcome.expected_ns
        self.unexpected_ns += outcome.unexpected_ns


@dataclass(slots=True)
class OutcomeCounters:
    """The counters of one process."""

    _totals: dict[Labels, Totals] = field(default_factory=dict)

    def count(self, outcome: Outcome) -> None:
        """Add a record to the counters of its labels."""
        labels = (outcome.job_class, outcome.ring, outcome.cause, outcome.code)
        if labels not in self._totals and len(self._totals) >= MOST_LABELS:
            labels = (OTHER_CLASS, *labels[1:])
        self._totals.setdefault(labels, Totals()).add(outcome)

    def __iter__(self) -> Iterator[tuple[Labels, Totals]]:
        return iter(self._totals.items())
