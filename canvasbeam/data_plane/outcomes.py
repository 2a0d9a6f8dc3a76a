"""Classify the outcome of each client request, and count the outcomes by class, ring, cause and result code.

`OutcomeCounters` owns the totals. Each outcome is added to the totals of its labels and then dropped; requests beyond
`MAX_LABEL_SETS` label sets are counted in the class `other`. Times are whole nanoseconds of the monotonic clock. No
function of this module reads a clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from canvasbeam.errors import ResultCode

MAX_LABEL_SETS = 256
OTHER_CLASS = "other"  # label `class` of new label sets above `MAX_LABEL_SETS`
# Share of the latency target; the first step of a late request that takes longer is the cause of the delay.
DECISIVE_SHARE = 0.25


class Cause(Enum):
    """Cause of a request's outcome: the first applicable cause.

    The values are the values of the metric label `cause` and must not change.
    """

    WITHIN_TARGET = "in_time"
    CLIENT_DISCONNECTED = "client_left"
    REJECTED = "refused"  # no worker accepted the request; the request did not run
    INCOMPLETE = "broken_off"  # the worker's answer was incomplete or missing
    DEADLINE_PASSED = "no_answer"  # the deadline passed while a worker may have been running the request
    LONG_GAP = "long_pause"  # the stream began in time, but a gap between two events was too long
    QUEUED = "waited_here"  # the request waited at this node until a worker had capacity
    RETRIED = "tried_again"  # an earlier attempt did not run, and the retry started late
    SLOW_CONNECTION = "slow_connection"  # the attempt waited too long for a connection to the worker
    SLOWER_THAN_EXPECTED = "worker_slower"  # the first answer came later than expected when the request was sent
    NO_WORKER_IN_TIME = "expected_late"  # the first answer came as expected; no worker was expected to answer in time


class Ring(Enum):
    """Priority ring of a request's last worker. The values are those of the metric label `ring`; must not change."""

    NONE = "none"
    OWN_REGION = "own_region"
    OTHER_REGION = "other_region"


@dataclass(slots=True)
class RequestTimes:
    """Timestamps and durations of a request in nanoseconds; 0 = not reached."""

    arrived_ns: int
    first_sent_ns: int = 0
    last_sent_ns: int = 0
    written_ns: int = 0
    first_answer_ns: int = 0
    last_event_ns: int = 0
    longest_gap_ns: int = 0
    expected_ns: int = 0  # from the last attempt to the first answer, as expected at the start of the attempt

    def record_event(self, now_ns: int) -> None:
        """Record that the complete answer, or events of the answer, are sent to the client."""
        if not self.first_answer_ns:
            self.first_answer_ns = now_ns
        else:
            self.longest_gap_ns = max(self.longest_gap_ns, now_ns - self.last_event_ns)
        self.last_event_ns = now_ns


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """Labels and measurements of one ended request."""

    request_class: str
    ring: Ring
    cause: Cause
    code: ResultCode  # code of this node's own answer; OK if a worker answered
    attempts: int
    wait_ns: int  # from the arrival to the first attempt; to the end of the request without an attempt
    first_answer_ns: int  # from the arrival to the first answer; 0 without an answer
    expected_ns: int  # expected time from the last attempt to the first answer; 0 = no expectation
    unexpected_ns: int  # time from the last attempt to the first answer above `expected_ns`


@dataclass(frozen=True, slots=True)
class LatencyTargets:
    """Longest times, in nanoseconds, within which an answer counts as in time."""

    first_answer_ns: int
    event_gap_ns: int = 0  # 0 = no limit on the gap between two events


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """State of a request at its end: result code, and whether the answer was completed or the client left."""

    code: ResultCode
    is_complete: bool
    has_client_disconnected: bool = False


def outcome_of(
    times: RequestTimes,
    targets: LatencyTargets,
    end: RequestEnd,
    now_ns: int,
    *,
    request_class: str,
    ring: Ring,
    attempts: int,
) -> RequestOutcome:
    """Return the outcome of a request that ends at `now_ns`."""
    answer_time_ns = times.first_answer_ns - times.last_sent_ns if times.first_answer_ns and times.last_sent_ns else 0
    return RequestOutcome(
        request_class,
        ring,
        _cause(attempts, times, targets, end),
        end.code,
        attempts,
        (times.first_sent_ns or now_ns) - times.arrived_ns,
        times.first_answer_ns - times.arrived_ns if times.first_answer_ns else 0,
        times.expected_ns,
        max(0, answer_time_ns - times.expected_ns) if times.expected_ns else 0,
    )


def _cause(attempts: int, times: RequestTimes, targets: LatencyTargets, end: RequestEnd) -> Cause:
    if end.has_client_disconnected:
        return Cause.CLIENT_DISCONNECTED
    if not end.is_complete:
        return _cause_of_failure(end.code)
    if times.first_answer_ns - times.arrived_ns > targets.first_answer_ns:
        return _cause_of_delay(attempts, times, targets)
    if targets.event_gap_ns and times.longest_gap_ns > targets.event_gap_ns:
        return Cause.LONG_GAP
    return Cause.WITHIN_TARGET


def _cause_of_failure(code: ResultCode) -> Cause:
    if code in (ResultCode.REQUEST_REFUSED, ResultCode.REQUEST_NOT_READY, ResultCode.OVERLOADED):
        return Cause.REJECTED
    return Cause.DEADLINE_PASSED if code is ResultCode.REQUEST_TIMED_OUT else Cause.INCOMPLETE


def _cause_of_delay(attempts: int, times: RequestTimes, targets: LatencyTargets) -> Cause:
    """Return the cause for the first step that took more than `DECISIVE_SHARE` of the latency target."""
    decisive_ns = DECISIVE_SHARE * targets.first_answer_ns
    if times.first_sent_ns - times.arrived_ns > decisive_ns:
        return Cause.QUEUED
    if attempts > 1 and times.last_sent_ns - times.first_sent_ns > decisive_ns:
        return Cause.RETRIED
    if times.written_ns - times.last_sent_ns > decisive_ns:
        return Cause.SLOW_CONNECTION
    answer_time_ns = times.first_answer_ns - times.last_sent_ns
    if not times.expected_ns or answer_time_ns - times.expected_ns > decisive_ns:
        return Cause.SLOWER_THAN_EXPECTED
    return Cause.NO_WORKER_IN_TIME


OutcomeLabels = tuple[str, Ring, Cause, ResultCode]


@dataclass(slots=True)
class OutcomeTotals:
    """Totals over all outcomes with the same labels."""

    requests: int = 0
    attempts: int = 0
    wait_ns: int = 0
    first_answer_ns: int = 0
    expected_ns: int = 0
    unexpected_ns: int = 0

    def add(self, outcome: RequestOutcome) -> None:
        """Add one outcome to the totals."""
        self.requests += 1
        self.attempts += outcome.attempts
        self.wait_ns += outcome.wait_ns
        self.first_answer_ns += outcome.first_answer_ns
        self.expected_ns += outcome.expected_ns
        self.unexpected_ns += outcome.unexpected_ns


@dataclass(slots=True)
class OutcomeCounters:
    """Outcome counters of one process, by label set."""

    _totals: dict[OutcomeLabels, OutcomeTotals] = field(default_factory=dict)

    def count(self, outcome: RequestOutcome) -> None:
        """Add an outcome to the totals of its labels."""
        labels = (outcome.request_class, outcome.ring, outcome.cause, outcome.code)
        if labels not in self._totals and len(self._totals) >= MAX_LABEL_SETS:
            labels = (OTHER_CLASS, *labels[1:])
        self._totals.setdefault(labels, OutcomeTotals()).add(outcome)

    def __iter__(self) -> Iterator[tuple[OutcomeLabels, OutcomeTotals]]:
        return iter(self._totals.items())
