"""Hold the requests that no worker has accepted yet, in the order in which the requests are offered to workers.

Requests that have lost their value rank last, and requests beyond their tenant's quota rank behind requests within the
quota. After that, requests of high priority rank first where the settings say so, and then requests of the classes that
tolerate the shortest wait.

Owns the queue, the count of arrivals, and the longest time between arrival and deadline seen in each class.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Sequence

from canvasbeam.dispatch.records import QueueRank, TrackedRequest
from canvasbeam.dispatch.service_estimates import ServiceEstimates
from canvasbeam.dispatch.settings import RequestClass, Settings
from canvasbeam.dispatch.sweep_timers import SweepTimers
from canvasbeam.units import SECOND

# Wait assumed for classes whose answers have no value, in nanoseconds; longer than the wait of any request.
NO_VALUE_WAIT_NS = 3600 * SECOND


def _rank(request: TrackedRequest) -> QueueRank:
    return request.rank


class PendingQueue:
    """Pending requests, best rank first."""

    def __init__(self, settings: Settings, timers: SweepTimers, estimates: ServiceEstimates) -> None:
        self._timers = timers
        self._estimates = estimates
        self._classes = settings.classes
        self._priority_first = settings.priority_first
        self._value_by_work = settings.value_by_work
        self._requests: list[TrackedRequest] = []
        self._arrivals = 0
        self._longest_time_left_ns: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def in_order(self) -> tuple[TrackedRequest, ...]:
        """Return the pending requests, best rank first."""
        return tuple(self._requests)

    def change_classes(self, classes: Sequence[RequestClass]) -> None:
        """Replace the request classes; requests in the queue keep their ranks."""
        self._classes = tuple(classes)
        self._longest_time_left_ns.clear()

    def first_arrived_at(self, request_class: RequestClass, deadline: int, now: int) -> int:
        """Return the time of the client's first attempt, estimated from the time left to the deadline.

        A client's retry has less time left than a first attempt, as the latency target runs from the first attempt.
        """
        time_left = deadline - now
        longest = max(time_left, self._longest_time_left_ns.get(request_class.name, 0))
        self._longest_time_left_ns[request_class.name] = longest
        return min(now, deadline - longest)

    def rank_arrival(self, request: TrackedRequest) -> None:
        """Assign the rank of a request that has just arrived."""
        self._arrivals += 1
        request_class = request.request_class
        is_late = request.event.repeat and not request_class.late_value
        priority = -request_class.priority if self._priority_first else 0
        request.rank = QueueRank(is_late, request.is_over_quota, priority, self._starts_by(request), self._arrivals)

    def rank_last(self, request: TrackedRequest) -> None:
        """Rank a request that has lost its value behind all requests that still have value, latest arrival first."""
        self.remove(request)
        rank = request.rank
        request.rank = rank._replace(is_late=True, starts_by=-request.first_arrived_at)
        self.add(request)

    def add(self, request: TrackedRequest) -> None:
        """Insert a request by its rank; do nothing if the request is pending already."""
        if not request.is_pending:
            request.is_pending = True
            request.pending_since = self._timers.now
            insort(self._requests, request, key=_rank)
            self._timers.schedule(request, min(self._timers.next_pending_sweep(), request.answer_by))

    def remove(self, request: TrackedRequest) -> None:
        """Remove a request from the queue; do nothing if the request is not pending."""
        if request.is_pending:
            request.is_pending = False
            self._requests.remove(request)

    def _starts_by(self, request: TrackedRequest) -> int:
        """Return arrival plus the wait that the class tolerates, longer for classes of less value per unit of work.

        The request's own service time is not used, because large requests would then all wait behind later small ones.
        """
        request_class = request.request_class
        value = self._value_rate(request_class)
        if not value:
            return request.first_arrived_at + NO_VALUE_WAIT_NS
        service_ns = self._estimates.of_class_ns(request_class)
        wait = request_class.latency_target_ns + max(0.0, request_class.stretch - 1) * service_ns
        wait *= max(map(self._value_rate, self._classes))
        return request.first_arrived_at + round(min(wait / value, NO_VALUE_WAIT_NS))

    def _value_rate(self, request_class: RequestClass) -> float:
        """Return the value of a class per unit of work."""
        if self._value_by_work:
            return request_class.value
        return request_class.value / self._estimates.of_class_ns(request_class)
