"""Limit what is sent to workers that warm up: slow start.

Owns each worker's `recent`, `no_room_for` and `room_at`. All dispatchers together may push over a worker that has just
started; each keeps to its part of what the worker can do within any window, counted in work. It must never read a
clock; all times are nanoseconds on the clock of the events.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import ceil, log2

from canvasbeam.dispatch.queue_estimates import QueueEstimates
from canvasbeam.dispatch.records import FleetTraits, TrackedRequest, TrackedWorker
from canvasbeam.dispatch.service_estimates import ServiceEstimates
from canvasbeam.dispatch.settings import Settings

# The part of its share of a cold worker's budget that a dispatcher uses: sizes are only estimates.
COLD_CAUTION = 0.7
# Of it the dispatchers of its own zone share so much, where they are a crowd.
COLD_OWN = 0.75
# Where a dispatcher's part of a cold worker's budget is less than one job, they take turns: in each of so
# many parts of the window only some may send it one. A window then overlaps one part too many at the most.
COLD_PARTS = 8


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
        """Forget what was reckoned for the pass before."""
        self._slots_of_kind.clear()

    def share(self, worker: TrackedWorker, now: int) -> float:
        """Return the share of its capacity that a worker has at the least, growing evenly to its warm time."""
        rules = self._settings.rules
        if worker.started_at <= 0 or rules.warm_within_ns <= 0:
            return 1.0
        age = (now - worker.started_at) / rules.warm_within_ns
        return min(1.0, rules.cold_from + (1 - rules.cold_from) * max(0.0, age))

    def count_work(self, worker: TrackedWorker, request: TrackedRequest, now: int) -> None:
        """Count a request that is sent to a worker that warms up."""
        if self.share(worker, now) < 1:
            worker.recent.append((now, self._estimates.of_request_ns(request, worker) * request.slots))

    def allows(self, worker: TrackedWorker, request: TrackedRequest, now: int) -> bool:
        """Whether our part of a cold worker's budget has room for this job.

        All dispatchers together may push over a worker that has just started; each keeps to an
        equal part of what it can do within any window, counted in work. What the worker refuses counts too.
        """
        share = self.share(worker, now)
        if share >= 1:
            worker.recent.clear()
            return True
        rules = self._settings.rules
        work = self._estimates.of_request_ns(request, worker) * request.slots
        if now < worker.capacity_at and work >= worker.rejected_work:
            return False
        while worker.recent and worker.recent[0][0] <= now - rules.overload_for_ns:
            worker.recent.popleft()
        complete = rules.tip_multiple * self._comparable_slots(worker, now) * rules.overload_for_ns
        parts = self._parts_of(worker)
        part = COLD_CAUTION * complete / parts
        if share * part < work <= share * part * parts:
            return self._has_turn(worker, work, share * part, now)
        wanted = sum(each for _, each in worker.recent) + work
        if wanted > share * part:
            worker.rejected_work, worker.capacity_at = work, self._room_at(worker, wanted / part, now)
        return wanted <= share * part

    def _parts_of(self, worker: TrackedWorker) -> float:
        """Into how many parts like ours a cold worker's budget is cut.

        Among a crowd equal parts leave three in four unused, those of other zones' dispatchers, and
        a zone that returns whole sends its jobs away for as long as it is cold.
        """
        everybody, zones = self._settings.dispatchers, len(self._settings.zones)
        if not self._fleet.is_large or zones < 2:
            return everybody
        if worker.zone == self._settings.own_zone:
            return everybody / zones / COLD_OWN
        return (everybody - everybody / zones) / (1 - COLD_OWN)

    def _has_turn(self, worker: TrackedWorker, work: float, part: float, now: int) -> bool:
        """Whether it is our turn to send a cold worker one job, where an equal part is less than a job.

        Among hundreds of dispatchers no part ever holds a job, and a site that lost a zone stays on
        the few workers left until the others are warm. They count off by number, worker and time.
        """
        span = max(1, self._settings.rules.overload_for_ns // COLD_PARTS)
        groups = 1 << max(0, ceil(log2(COLD_PARTS * work / part)))
        span_number = (now - worker.started_at) // span
        wait = (self._settings.own_number + worker.slow_start_offset - span_number) % groups
        begun = worker.started_at + span_number * span
        if wait == 0 and not (worker.recent and worker.recent[-1][0] >= begun):
            return True
        worker.rejected_work, worker.capacity_at = work, begun + (wait or groups) * span
        return False

    def _room_at(self, worker: TrackedWorker, share: float, now: int) -> int:
        """When a cold worker may have room: grown to this share, or its oldest job out of the window.

        Among many cold workers, asking each again at every sweep takes more time than there is.
        """
        rules = self._settings.rules
        grown = (share - rules.cold_from) / (1 - rules.cold_from) if share < 1 else 1.0
        oldest = worker.recent[0][0] if worker.recent else now
        return min(worker.started_at + round(rules.warm_within_ns * grown), oldest + rules.overload_for_ns)

    def _comparable_slots(self, worker: TrackedWorker, now: int) -> float:
        """Return what the middle one of the warm workers of its kind was seen to carry at once, or reported free."""
        known = self._slots_of_kind.get(worker.kind)
        if known is None:
            seen = [
                each.max_started_load
                for each in self._workers.values()
                if each.kind == worker.kind and each.max_started_load and self.share(each, now) >= 1
            ]
            least = self._queues.slots_reported(worker.kind, 1.0) if self._fleet.is_large else 1.0
            known = max(least, sorted(seen)[len(seen) // 2] if seen else 1.0)
            self._slots_of_kind[worker.kind] = known
        return known
