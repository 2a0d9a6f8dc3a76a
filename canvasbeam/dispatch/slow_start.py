"""Limit what is sent to workers that warm up: slow start.

All dispatchers together may overload a worker that has just started. Each keeps to its part of what the worker can do
within any window, counted in work: expected service time times slots.

Owns each worker's `recent`, `rejected_work` and `capacity_at`. It must never read a clock; all times are nanoseconds on
the clock of the events.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import ceil, log2

from canvasbeam.dispatch.queue_estimates import QueueEstimates
from canvasbeam.dispatch.records import FleetTraits, TrackedRequest, TrackedWorker
from canvasbeam.dispatch.service_estimates import ServiceEstimates
from canvasbeam.dispatch.settings import Settings

# The fraction of its part of a worker's budget that a dispatcher uses: service times are only estimates.
SAFETY_FACTOR = 0.7
# In a large fleet the dispatchers of a worker's own zone share this fraction of its budget.
OWN_ZONE_FRACTION = 0.75
# Where a dispatcher's part of a budget is less than one request, they take turns: in each of so many spans of the
# window only some may send one. A window then overlaps one span too many at the most.
SPANS_PER_WINDOW = 8


class SlowStart:
    """The budget of work for each worker that warms up."""

    def __init__(
        self,
        settings: Settings,
        estimates: ServiceEstimates,
        queues: QueueEstimates,
        workers: Mapping[str, TrackedWorker],
        fleet: FleetTraits,
    ) -> None:
        """Keep to these settings; `workers` are all that are known, which the endpoint set adds to."""
        self._settings = settings
        self._estimates = estimates
        self._queues = queues
        self._workers = workers
        self._fleet = fleet
        self._slots_of_kind: dict[str, float] = {}  # within a pass

    def begin_pass(self) -> None:
        """Forget what was computed for the pass before."""
        self._slots_of_kind.clear()

    def share(self, worker: TrackedWorker, now: int) -> float:
        """Return the fraction of its capacity that a worker has at least, growing evenly until it has warmed up."""
        rules = self._settings.rules
        if worker.started_at <= 0 or rules.warm_up_ns <= 0:
            return 1.0
        age = (now - worker.started_at) / rules.warm_up_ns
        return min(1.0, rules.initial_share + (1 - rules.initial_share) * max(0.0, age))

    def count_work(self, worker: TrackedWorker, request: TrackedRequest, now: int) -> None:
        """Count the work of a request that is sent to a worker, where that warms up."""
        if self.share(worker, now) < 1:
            worker.warm_up_sends.append((now, self._work(worker, request)))

    def allows(self, worker: TrackedWorker, request: TrackedRequest, now: int) -> bool:
        """Return whether our part of a worker's budget has capacity for this request.

        What the worker rejects counts too.
        """
        share = self.share(worker, now)
        if share >= 1:
            worker.warm_up_sends.clear()
            return True
        work = self._work(worker, request)
        if now < worker.capacity_at and work >= worker.rejected_work:
            return False
        self._forget_before_window(worker, now)
        parts = self._parts_of(worker)
        part = SAFETY_FACTOR * self._complete_budget(worker, now) / parts
        if share * part < work <= share * part * parts:
            return self._has_turn(worker, work, share * part, now)
        wanted = sum(sent_work for _, sent_work in worker.warm_up_sends) + work
        if wanted > share * part:
            worker.rejected_work = work
            worker.capacity_at = self._capacity_at(worker, wanted / part, now)
        return wanted <= share * part

    def _work(self, worker: TrackedWorker, request: TrackedRequest) -> float:
        """Return the work of a request, in nanoseconds times slots."""
        return self._estimates.of_request_ns(request, worker) * request.slots

    def _forget_before_window(self, worker: TrackedWorker, now: int) -> None:
        """Forget the work that was sent before the window that ends now."""
        begin = now - self._settings.rules.overload_window_ns
        while worker.warm_up_sends and worker.warm_up_sends[0][0] <= begin:
            worker.warm_up_sends.popleft()

    def _complete_budget(self, worker: TrackedWorker, now: int) -> float:
        """Return the work that all dispatchers may send to a worker within a window once it has warmed up."""
        rules = self._settings.rules
        return rules.overload_multiple * self._comparable_slots(worker, now) * rules.overload_window_ns

    def _parts_of(self, worker: TrackedWorker) -> float:
        """Return into how many parts like ours a worker's budget is divided.

        In a large fleet equal parts leave three in four unused, those of other zones' dispatchers, and
        a zone that returns whole would send its requests away for as long as it warms up.
        """
        everybody, zones = self._settings.dispatchers, len(self._settings.zones)
        if not self._fleet.is_large or zones < 2:
            return everybody
        if worker.zone == self._settings.own_zone:
            return everybody / zones / OWN_ZONE_FRACTION
        return (everybody - everybody / zones) / (1 - OWN_ZONE_FRACTION)

    def _has_turn(self, worker: TrackedWorker, work: float, part: float, now: int) -> bool:
        """Return whether it is our turn to send a worker one request, where an equal part is less than a request.

        Among hundreds of dispatchers no part ever holds a request, and a site that lost a zone would stay on
        the few workers left until the others have warmed up. They count off by number, worker and time.
        """
        span_ns = max(1, self._settings.rules.overload_window_ns // SPANS_PER_WINDOW)
        groups = 1 << max(0, ceil(log2(SPANS_PER_WINDOW * work / part)))
        span_number = (now - worker.started_at) // span_ns
        spans_until_turn = (self._settings.own_number + worker.slow_start_offset - span_number) % groups
        span_begin = worker.started_at + span_number * span_ns
        has_sent_in_span = bool(worker.warm_up_sends) and worker.warm_up_sends[-1][0] >= span_begin
        if spans_until_turn == 0 and not has_sent_in_span:
            return True
        worker.rejected_work = work
        worker.capacity_at = span_begin + (spans_until_turn or groups) * span_ns
        return False

    def _capacity_at(self, worker: TrackedWorker, share: float, now: int) -> int:
        """Return when a worker may have capacity: grown to this share, or its oldest request out of the window.

        Among many workers that warm up, testing each again at every sweep takes more time than there is.
        """
        rules = self._settings.rules
        age = (share - rules.initial_share) / (1 - rules.initial_share) if share < 1 else 1.0
        oldest = worker.warm_up_sends[0][0] if worker.warm_up_sends else now
        return min(worker.started_at + round(rules.warm_up_ns * age), oldest + rules.overload_window_ns)

    def _comparable_slots(self, worker: TrackedWorker, now: int) -> float:
        """Return what the median of the warm workers of its kind was seen to bear at once, or reported free."""
        known = self._slots_of_kind.get(worker.kind)
        if known is not None:
            return known
        seen = sorted(
            other.max_started_load
            for other in self._workers.values()
            if other.kind == worker.kind and other.max_started_load and self.share(other, now) >= 1
        )
        least = self._queues.slots_reported(worker.kind, 1.0) if self._fleet.is_large else 1.0
        slots = max(least, seen[len(seen) // 2] if seen else 1.0)
        self._slots_of_kind[worker.kind] = slots
        return slots
