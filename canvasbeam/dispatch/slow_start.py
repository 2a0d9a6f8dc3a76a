"""Limit the work that is sent to workers that are warming up (slow start).

All dispatchers together could overload a worker that has just started. Each dispatcher therefore sends at most its part
of the work that the worker can do in any time window; work is expected service time times slots.

Owns each worker's `warm_up_sends`, `rejected_work` and `capacity_at`. It must never read a clock; all times are
nanoseconds on the clock of the events.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import ceil, log2

from canvasbeam.dispatch.queue_estimates import QueueEstimates
from canvasbeam.dispatch.records import FleetTraits, TrackedRequest, TrackedWorker
from canvasbeam.dispatch.service_estimates import ServiceEstimates
from canvasbeam.dispatch.settings import Settings

# The fraction of its part of a worker's budget that a dispatcher uses, because service times are only estimates.
SAFETY_FACTOR = 0.7
# In a large fleet the dispatchers of a worker's own zone share this fraction of the worker's budget.
OWN_ZONE_FRACTION = 0.75
# If a dispatcher's part of a budget is less than one request, the dispatchers take turns: the window is divided into
# this many spans, in each of which only some may send a request. A window then overlaps at most one span too many.
SPANS_PER_WINDOW = 8


class SlowStart:
    """The budget of work for each worker that is warming up."""

    def __init__(
        self,
        settings: Settings,
        estimates: ServiceEstimates,
        queues: QueueEstimates,
        workers: Mapping[str, TrackedWorker],
        fleet: FleetTraits,
    ) -> None:
        """Use these settings; `workers` are all known workers, to which the endpoint set adds new ones."""
        self._settings = settings
        self._estimates = estimates
        self._queues = queues
        self._workers = workers
        self._fleet = fleet
        self._slots_of_kind: dict[str, float] = {}  # estimated slots by kind of worker, cleared at each pass

    def begin_pass(self) -> None:
        """Discard the values computed in the previous pass."""
        self._slots_of_kind.clear()

    def capacity_fraction(self, worker: TrackedWorker, now: int) -> float:
        """Return the minimum fraction (0 to 1) of its capacity that a worker has, growing linearly during warm-up."""
        rules = self._settings.rules
        if worker.started_at <= 0 or rules.warm_up_ns <= 0:
            return 1.0
        age = (now - worker.started_at) / rules.warm_up_ns
        return min(1.0, rules.initial_share + (1 - rules.initial_share) * max(0.0, age))

    def count_work(self, worker: TrackedWorker, request: TrackedRequest, now: int) -> None:
        """Count the work of a request that is sent to a worker, if the worker is warming up."""
        if self.capacity_fraction(worker, now) < 1:
            worker.warm_up_sends.append((now, self._work(worker, request)))

    def allows(self, worker: TrackedWorker, request: TrackedRequest, now: int) -> bool:
        """Return True if this dispatcher's part of a worker's budget has capacity for this request.

        Work that was sent and that the worker rejected is counted too.
        """
        capacity_fraction = self.capacity_fraction(worker, now)
        if capacity_fraction >= 1:
            worker.warm_up_sends.clear()
            return True
        work = self._work(worker, request)
        if now < worker.capacity_at and work >= worker.rejected_work:
            return False
        self._forget_before_window(worker, now)
        parts = self._parts_of(worker)
        part = SAFETY_FACTOR * self._complete_budget(worker, now) / parts
        if capacity_fraction * part < work <= capacity_fraction * part * parts:
            return self._has_turn(worker, work, capacity_fraction * part, now)
        total_work = sum(sent_work for _, sent_work in worker.warm_up_sends) + work
        if total_work > capacity_fraction * part:
            worker.rejected_work = work
            worker.capacity_at = self._capacity_at(worker, total_work / part, now)
        return total_work <= capacity_fraction * part

    def _work(self, worker: TrackedWorker, request: TrackedRequest) -> float:
        """Return the work of a request at a worker, in nanoseconds times slots."""
        return self._estimates.of_request_ns(request, worker) * request.slots

    def _forget_before_window(self, worker: TrackedWorker, now: int) -> None:
        """Discard the work that was sent before the window that ends now."""
        begin = now - self._settings.rules.overload_window_ns
        while worker.warm_up_sends and worker.warm_up_sends[0][0] <= begin:
            worker.warm_up_sends.popleft()

    def _complete_budget(self, worker: TrackedWorker, now: int) -> float:
        """Return the work that all dispatchers together may send to a warm worker within a window."""
        rules = self._settings.rules
        return rules.overload_multiple * self._comparable_slots(worker, now) * rules.overload_window_ns

    def _parts_of(self, worker: TrackedWorker) -> float:
        """Return the number of parts, of the size of this dispatcher's part, in a worker's budget.

        In a large fleet equal parts would leave three of four parts unused, those of other zones' dispatchers, and a
        zone that returns after an outage would send its requests to other zones until its workers have warmed up.
        """
        all_dispatchers, zones = self._settings.dispatchers, len(self._settings.zones)
        if not self._fleet.is_large or zones < 2:
            return all_dispatchers
        if worker.zone == self._settings.own_zone:
            return all_dispatchers / zones / OWN_ZONE_FRACTION
        return (all_dispatchers - all_dispatchers / zones) / (1 - OWN_ZONE_FRACTION)

    def _has_turn(self, worker: TrackedWorker, work: float, part: float, now: int) -> bool:
        """Return True if it is this dispatcher's turn to send a worker one request that exceeds a dispatcher's part.

        With hundreds of dispatchers no part is large enough for a request, and a site that lost a zone would use only
        the few remaining workers until the others have warmed up. Turns follow dispatcher number, worker and time.
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

    def _capacity_at(self, worker: TrackedWorker, capacity_fraction: float, now: int) -> int:
        """Return when a worker may have capacity: at `capacity_fraction`, or once its oldest work is out of the window.

        With many workers warming up, testing each worker again at every sweep would cost too much CPU time.
        """
        rules = self._settings.rules
        age = (capacity_fraction - rules.initial_share) / (1 - rules.initial_share) if capacity_fraction < 1 else 1.0
        oldest = worker.warm_up_sends[0][0] if worker.warm_up_sends else now
        return min(worker.started_at + round(rules.warm_up_ns * age), oldest + rules.overload_window_ns)

    def _comparable_slots(self, worker: TrackedWorker, now: int) -> float:
        """Return a worker's slots: the median of the highest loads of warm workers of its kind, or reported slots."""
        known = self._slots_of_kind.get(worker.kind)
        if known is not None:
            return known
        started_loads = sorted(
            other.max_started_load
            for other in self._workers.values()
            if other.kind == worker.kind and other.max_started_load and self.capacity_fraction(other, now) >= 1
        )
        min_slots = self._queues.slots_reported(worker.kind, 1.0) if self._fleet.is_large else 1.0
        slots = max(min_slots, started_loads[len(started_loads) // 2] if started_loads else 1.0)
        self._slots_of_kind[worker.kind] = slots
        return slots
