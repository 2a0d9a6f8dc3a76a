"""Define the records of a dispatcher: requests without a final answer, their attempts, workers, and fleet traits.

The records contain no decisions. Each field is written only by the part of the package that owns the field, and may be
read by all parts. All times are nanoseconds on the clock of the events.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from canvasbeam.dispatch.events import RequestArrived, WorkerEntry, WorkerState
from canvasbeam.dispatch.settings import RequestClass

# Requests with the same key are equivalent for placement: class, slots, expected service time in nanoseconds, and the
# request id where placement depends on the prompt, otherwise an empty string.
EquivalenceKey = tuple[str, float, int, str]


class QueueRank(NamedTuple):
    """Sort key of pending requests; the lowest key is the best rank."""

    is_late: bool  # the request has lost its value
    is_over_quota: bool
    priority: int  # lower numbers are more urgent
    starts_by: int  # arrival plus the wait that the class tolerates, nanoseconds
    arrival: int  # sequence number of the arrival


UNRANKED = QueueRank(is_late=False, is_over_quota=False, priority=0, starts_by=0, arrival=0)


@dataclass(slots=True)
class FleetTraits:
    """Traits of the worker fleet and of the dispatchers that share it, from the endpoint list and the settings."""

    # Many dispatchers share few workers, so that each dispatcher sends to a worker too rarely to learn its limits.
    is_large: bool = False
    has_live_weights: bool = False  # the fleet is large, and the endpoint list contains the current load of workers
    lacks_queue_signal: bool = False  # the fleet is large, and late starts are the only sign of a queue at a worker


@dataclass(slots=True, eq=False)
class TrackedAttempt:
    """One attempt to run a request at a worker."""

    number: int
    request: TrackedRequest
    worker: TrackedWorker
    sent_at: int
    late_at: int  # time from which an attempt that has not started is late
    load: float  # slots of this dispatcher's attempts in flight at the worker, including this attempt
    on_new_connection: bool  # the attempt may wait for a connection handshake
    started_at: int = 0
    last_seen: int = 0  # time of the last start or progress event of the attempt; 0 = none
    is_late: bool = False
    counts_as_load: bool = True
    has_ended: bool = False
    not_executed: bool = False
    was_unsent: bool = False
    is_cancelled: bool = False

    def is_queued_late(self) -> bool:
        """Return True if the attempt waits in its worker's queue for longer than earlier attempts did."""
        return self.is_late and not self.started_at


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """A request without a final answer, and its attempts."""

    id: str
    request_class: RequestClass
    first_arrived_at: int
    answer_by: int  # latest time of the answer, early enough not to race with the timeout at the deadline
    slots: float
    service_hint_ns: int
    is_over_quota: bool
    event: RequestArrived
    equivalence_key: EquivalenceKey
    rank: QueueRank = UNRANKED
    is_pending: bool = False
    pending_since: int = 0
    was_rejected_before: bool = False
    is_done: bool = False
    is_streaming: bool = False
    check_at: float = inf  # time when a sweep checks the request next; infinite = no check
    attempts: list[TrackedAttempt] = field(default_factory=list)

    def open_attempts(self) -> list[TrackedAttempt]:
        """Return the attempts without an outcome."""
        return [attempt for attempt in self.attempts if not attempt.has_ended]

    def counted_attempts(self) -> int:
        """Return the number of attempts that count against the limit; attempts known to be unsent do not count."""
        return sum(not attempt.was_unsent for attempt in self.attempts)

    def possibly_executed(self) -> list[TrackedAttempt]:
        """Return the attempts that may have run or may still run."""
        return [attempt for attempt in self.attempts if not attempt.not_executed]


@dataclass(slots=True, eq=False)
class TrackedWorker:
    """State of a worker as one dispatcher knows it from its own endpoint lists and its own requests."""

    name: str
    zone: str
    kind: str
    cell: int
    state: WorkerState
    started_at: int
    entry: WorkerEntry
    listing_order: int = 0  # position in the order in which workers were first listed
    check_at: float = inf  # time when a sweep checks the worker next; infinite = no check
    # Load and concurrency limit of the worker.
    attempts: list[TrackedAttempt] = field(default_factory=list)
    load: float = 0.0  # slots of this dispatcher's attempts in flight at the worker
    unstarted: int = 0  # this dispatcher's attempts at the worker without a start event
    concurrency_limit: float = inf
    limit_changed_at: int = 0
    regrow_wait: float = 1.0  # backoff before the limit is tried one higher, in mean service times
    saturated_until: int = 0
    max_started_load: float = 0.0  # highest `load` of an attempt that started in time, in slots
    # Start latency of attempts at the worker.
    quickest_start_ns: float = inf
    late_starts: int = 0  # consecutive late starts
    skipped_turns: int = 0
    connections: int = 0  # estimate of established connections: the most concurrent attempts of this dispatcher
    connected_at: int = 0
    round_robin_lead: float = 0.0  # round-robin turns ahead of the average worker
    # Health and ejection of the worker.
    last_seen: int = 0
    last_served: int = 0
    errors: int = 0
    broken_connections: int = 0
    ejections: int = 0
    ejected_until: int = 0
    on_trial: bool = False
    is_checking_health: bool = False
    # Slow start of the worker.
    warm_up_sends: deque[tuple[int, float]] = field(default_factory=deque)  # (send time, work) of requests in warm-up
    slow_start_offset: int = 0  # start of the cycle of slow-start turns, the same at every dispatcher
    rejected_work: float = inf  # least work that slow start rejects until `capacity_at`, nanoseconds times slots
    capacity_at: int = 0
    # Estimated load of the worker from all dispatchers.
    fleet_load: float = 0.0  # requests per slot at time `fleet_load_at`
    fleet_load_at: int = 0
