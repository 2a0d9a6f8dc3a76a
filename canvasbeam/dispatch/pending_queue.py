"""Hold the requests that no worker has accepted yet, in the order in which they are offered to workers.

Requests that lost their value stand behind those that have not, requests beyond their tenant's quota behind the others,
those of high priority first where the settings say so, and then those whose class can wait least.

Owns the queue, the count of arrivals, and the longest time that requests of each class came with.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Sequence

from canvasbeam.dispatch.records import QueueRank, TrackedRequest
from canvasbeam.dispatch.service_estimates import ServiceEstimates
from canvasbeam.dispatch.settings import RequestClass, Settings
from canvasbeam.dispatch.sweep_timers import SweepTimers
from canvasbeam.units import SECOND

# Longer than the wait of any request, for classes whose answers have no value.
NO_VALUE_WAIT_NS = 3600 * SECOND


def _rank(request: TrackedRequest) -> QueueRank:
    return request.rank


class PendingQueue:
    """The pending requests, best rank first."""

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
        """Take new classes; requests that were ranked keep their ranks."""
        self._classes = tuple(classes)
        self._longest_time_left_ns.clear()

    def first_arrived_at(self, request_class: RequestClass, deadline: int, now: int) -> int:
        """Return when the client asked first.

        A client's retry has less time left than a first request: its latency target runs already.
        """
        time_left = deadline - now
        longest = max(time_left, self._longest_time_left_ns.get(request_class.name, 0))
        self._longest_time_left_ns[request_class.name] = longest
        return min(now, deadline - longest)

    def rank_arrival(self, request: TrackedRequest) -> None:
        """Rank a request that has just arrived."""
        self._arrivals += 1
        request_class = request.request_class
        is_late = request.event.repeat and not request_class.late_value
        priority = -request_class.priority if self._priority_first else 0
        request.rank = QueueRank(is_late, request.is_over_quota, priority, self._starts_by(request), self._arrivals)

    def rank_last(self, request: TrackedRequest) -> None:
        """Put a pending request that has lost its value behind those that have not, the latest arrival first."""
        self.remove(request)
        rank = request.rank
        request.rank = rank._replace(is_late=True, starts_by=-request.first_arrived_at)
        self.add(request)

    def add(self, request: TrackedRequest) -> None:
        """Put a request into the queue, by its rank, unless it is there."""
        if not request.is_pending:
            request.is_pending = True
            request.pending_since = self._timers.now
            insort(self._requests, request, key=_rank)
            self._timers.schedule(request, min(self._timers.next_pending_sweep(), request.answer_by))

    def remove(self, request: TrackedRequest) -> None:
        """Take a request out of the queue, where it is there."""
        if request.is_pending:
            request.is_pending = False
            self._requests.remove(request)

    def _starts_by(self, request: TrackedRequest) -> int:
        """Return arrival plus the wait that the class can bear, longer for classes of less value for each second.

        Not by the request's own service time: by that, large requests would all wait behind later small ones.
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
        """Return the value of a second of a class's work."""
        if self._value_by_work:
            return request_class.value
        return request_class.value / self._estimates.of_class_ns(request_class)
