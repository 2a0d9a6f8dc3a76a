"""Estimate how many requests of all dispatchers each worker has, in a fleet that many dispatchers share.

Owns the weights and free slots learned from endpoint lists and load reports, and each worker's `fleet_load` and
`fleet_load_at`. It must never read a clock; all times are nanoseconds on the clock of the events. In a small fleet the
estimates are not used, because a dispatcher's own requests show the state of each worker.
"""

from __future__ import annotations

from math import exp, inf

from canvasbeam.dispatch.records import TrackedRequest, TrackedWorker
from canvasbeam.dispatch.service_estimates import ServiceEstimates
from canvasbeam.dispatch.settings import Settings, Weights

# In a large fleet a worker is saturated at this many requests per slot; a worker of another zone at fewer, because that
# zone's own dispatchers need the capacity.
SATURATION_LOAD = 0.8
OTHER_ZONES_SATURATION_LOAD = 0.6
# The saturation load rises while a request waits, by this many requests per slot once the request can wait no longer.
LOAD_ADDED_BY_WAIT = 1.0
# The saturation load is this many requests per slot lower for a high-priority request, which would preempt running
# requests and waste the work done on them.
HIGH_PRIORITY_LOAD = 0.5
# The load of a worker in another zone is assumed to shrink at this fraction of the service rate, because that zone's
# dispatchers, whose requests are not counted, keep sending to the worker.
OTHER_ZONES_SERVICE_RATE = 0.25
# Assumed slots per worker of a kind without any load report.
DEFAULT_SLOTS = 4.0
# Maximum requests per slot derived from an endpoint list: higher loads differ only in the wait.
MAX_LISTED_LOAD = 20.0


class QueueEstimates:
    """Estimates of each worker's requests per slot, from endpoint lists, load reports and own attempts."""

    def __init__(self, settings: Settings, estimates: ServiceEstimates) -> None:
        self._estimates = estimates
        self._own_zone = settings.own_zone
        self._weights_are_live = settings.weights is Weights.LIVE
        # The other dispatchers of the zone have the same information, so each is assumed to send one request along with
        # each request of this dispatcher to the same worker.
        self._dispatchers_per_zone = max(1.0, settings.dispatchers / len(settings.zones))
        self._highest_weights: dict[str, float] = {}  # weight of an idle worker, by kind of worker
        self._most_free_slots: dict[str, float] = {}  # most free slots reported, by kind of worker

    def learn_weight(self, worker: TrackedWorker, weight: float, now: int) -> None:
        """Learn a worker's load from its live weight: an idle worker's weight divided by 1 + the requests per slot."""
        if self._weights_are_live and 0 < weight < inf:
            highest = max(weight, self._highest_weights.get(worker.kind, 0.0))
            self._highest_weights[worker.kind] = highest
            worker.fleet_load = min(highest / weight - 1, MAX_LISTED_LOAD)
            worker.fleet_load_at = now

    def learn_free_slots(self, kind: str, reported: float) -> None:
        """Learn the slots of a kind of worker from the free slots in a load report."""
        self._most_free_slots[kind] = max(1.0, float(round(reported)), self._most_free_slots.get(kind, 0.0))

    def slots_reported(self, kind: str, default: float) -> float:
        """Return the highest number of free slots that a worker of a kind reported; `default` if none did."""
        return self._most_free_slots.get(kind, default)

    def count_sent(self, worker: TrackedWorker, slots: float, now: int) -> None:
        """Add an own attempt to a worker's load, and one of each other dispatcher that has the same information."""
        added_load = self._dispatchers_per_zone * slots / self._most_free_slots.get(worker.kind, DEFAULT_SLOTS)
        worker.fleet_load = self.load_per_slot(worker, now) + added_load
        worker.fleet_load_at = now

    def learn_preemption(self, worker: TrackedWorker, now: int) -> None:
        """Record that a request of this dispatcher was preempted, which shows that the worker is full."""
        worker.fleet_load = max(1.0, self.load_per_slot(worker, now))
        worker.fleet_load_at = now

    def load_per_slot(self, worker: TrackedWorker, now: int) -> float:
        """Return a worker's estimated requests per slot, assuming that no dispatcher sent more since the last update.

        The load above one request per slot shrinks linearly, and the rest exponentially.
        """
        rate = 1.0 if worker.zone == self._own_zone else OTHER_ZONES_SERVICE_RATE
        completed = rate * (now - worker.fleet_load_at) / self._estimates.mean_of_kind_ns(worker.kind)
        completed_in_queue = min(completed, max(0.0, worker.fleet_load - 1))
        return (worker.fleet_load - completed_in_queue) * exp(completed_in_queue - completed)

    def is_saturated(self, worker: TrackedWorker, request: TrackedRequest, now: int) -> bool:
        """Return True if other dispatchers' requests saturate a worker, for a request that waited as long as this one.

        A dispatcher that sends to a worker only occasionally cannot see the other dispatchers' requests there. Without
        this test, round-robin overloads slow workers, and high-priority requests preempt running requests repeatedly.
        """
        is_in_own_zone = worker.zone == self._own_zone
        if request.open_attempts():  # moving a request to another zone would gain too little
            return not is_in_own_zone or self.load_per_slot(worker, now) >= SATURATION_LOAD
        max_load = SATURATION_LOAD if is_in_own_zone else OTHER_ZONES_SATURATION_LOAD
        if request.request_class.priority > 0:
            max_load -= HIGH_PRIORITY_LOAD
        max_wait = self._estimates.latest_send_within_target(request) - request.first_arrived_at
        waited_fraction = (now - request.first_arrived_at) / max(1, max_wait)
        return self.load_per_slot(worker, now) >= max_load + LOAD_ADDED_BY_WAIT * waited_fraction
