"""Hold what a dispatcher tracks: requests without a final answer, their attempts, the workers, and traits of the fleet.

The records decide nothing and call nothing. Each field is changed by the part of the package that owns the matter, and
may be read by all; all times are nanoseconds on the clock of the events.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from canvasbeam.dispatch.events import RequestArrived, WorkerEntry, WorkerState
from canvasbeam.dispatch.settings import RequestClass

# What makes requests alike for a worker: class, slots, expected service time, and the id where the prompt tells a
# request from others.
EquivalenceKey = tuple[str, float, int, str]


class QueueRank(NamedTuple):
    """The order of pending requests, lowest first."""

    is_late: bool  # it has lost its value
    is_over_quota: bool
    priority: int  # the lower, the more urgent
    starts_by: int
    arrival: int  # the number of its arrival


UNRANKED = QueueRank(is_late=False, is_over_quota=False, priority=0, starts_by=0, arrival=0)


@dataclass(slots=True)
class FleetTraits:
    """What the endpoint list and the settings say of the fleet of workers and of the dispatchers that share it."""

    is_large: bool = False  # many dispatchers share few workers: each meets a worker too rarely to learn its limits
    has_live_weights: bool = False  # it is large, and the endpoint list carries the load of workers
    lacks_queue_signal: bool = False  # it is large, and late starts are the only sign of a queue


@dataclass(slots=True, eq=False)
class TrackedAttempt:
    """One sending of a request to a worker."""

    number: int
    request: TrackedRequest
    worker: TrackedWorker
    sent_at: int
    late_at: int  # from when on it is late without a start
    load: float  # own slots in use at the worker with this one
    on_new_connection: bool  # it may have to wait for a handshake
    started_at: int = 0
    last_seen: int = 0  # when the last note of it came
    is_late: bool = False
    counts_as_load: bool = True
    has_ended: bool = False
    not_executed: bool = False
    was_unsent: bool = False
    is_cancelled: bool = False

    def is_queued_late(self) -> bool:
        """Return whether it waits in its worker's queue for longer than others did."""
        return self.is_late and not self.started_at


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """A request without a final answer, and the attempts made for it."""

    id: str
    request_class: RequestClass
    first_arrived_at: int
    answer_by: int  # early enough before its deadline that the answer cannot cross the time-out
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
    check_at: float = inf  # when the sweep looks at it next
    attempts: list[TrackedAttempt] = field(default_factory=list)

    def open_attempts(self) -> list[TrackedAttempt]:
        """Return the attempts with no outcome yet."""
        return [attempt for attempt in self.attempts if not attempt.has_ended]

    def counted_attempts(self) -> int:
        """Count the attempts against the limit, without those whose connection broke before they were sent."""
        return sum(not attempt.was_unsent for attempt in self.attempts)

    def possibly_executed(self) -> list[TrackedAttempt]:
        """Return the attempts that may have run, or may yet."""
        return [attempt for attempt in self.attempts if not attempt.not_executed]


@dataclass(slots=True, eq=False)
class TrackedWorker:
    """What this dispatcher knows of a worker, all of it from its own endpoint list and its own requests."""

    name: str
    zone: str
    kind: str
    cell: int
    state: WorkerState
    started_at: int
    entry: WorkerEntry
    listed_as: int = 0  # its number in the order in which workers were first listed
    check_at: float = inf  # when the sweep looks at it next
    # Its load and concurrency limit.
    attempts: list[TrackedAttempt] = field(default_factory=list)
    load: float = 0.0  # own slots in use
    unstarted: int = 0  # own attempts there whose start was not told
    concurrency_limit: float = inf
    limit_changed_at: int = 0
    regrow_wait: float = 1.0
    saturated_until: int = 0
    max_started_load: float = 0.0  # most own slots seen to start at once
    # Its starts.
    quickest_start_ns: float = inf
    late_starts: int = 0  # in a row
    skipped_turns: int = 0
    connections: int = 0  # own connections that are established, judged by the most own attempts at once
    connected_at: int = 0
    round_robin_lead: float = 0.0  # turns that it is ahead of the others
    # Its health.
    last_seen: int = 0
    last_served: int = 0
    errors: int = 0
    broken_connections: int = 0
    ejections: int = 0
    ejected_until: int = 0
    on_trial: bool = False
    is_checking_health: bool = False
    # Slow start.
    recent: deque[tuple[int, float]] = field(default_factory=deque)
    slow_start_offset: int = 0  # the same at every dispatcher: where its count of slow-start turns begins
    rejected_work: float = inf  # while warming up it has no capacity for this much work before `capacity_at`
    capacity_at: int = 0
    # The estimate of what all dispatchers have there.
    fleet_load: float = 0.0  # requests for each of its slots, as of `fleet_load_at`
    fleet_load_at: int = 0
