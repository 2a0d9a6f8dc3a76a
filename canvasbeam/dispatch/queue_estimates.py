"""Estimate what workers hold of all dispatchers' requests, where many dispatchers share them.

Owns what endpoint lists and load reports said of capacities and slots, and each worker's `fleet_load` and
`fleet_load_at`. It must never read a clock; all times are nanoseconds on the clock of the events. A dispatcher of a
small fleet knows a worker by its own requests there, and uses nothing of this.
"""

from __future__ import annotations

from math import exp, inf

from canvasbeam.dispatch.records import TrackedRequest, TrackedWorker
from canvasbeam.dispatch.service_estimates import ServiceEstimates
from canvasbeam.dispatch.settings import Settings, Weights

# In a large fleet a worker has capacity while it holds fewer requests than so many for each slot; fewer in other zones,
# whose own dispatchers need it.
SATURATION_LOAD = 0.8
OTHER_ZONES_SATURATION_LOAD = 0.6
# It has capacity for a request that waited with so many more for each slot, once that can wait no longer.
LOAD_ADDED_BY_WAIT = 1.0
# It has capacity for a request of high priority with so many less: that would preempt what runs and waste its work.
HIGH_PRIORITY_LOAD = 0.5
# What workers of other zones hold is taken to end at this rate: their own dispatchers, whom we do not count, go on
# sending there.
OTHER_ZONES_SERVICE_RATE = 0.25
# Slots of a worker of whose kind no report was seen.
DEFAULT_SLOTS = 4.0
# What a list says that a worker holds for each slot is cut at this: beyond it only the wait differs.
MAX_LISTED_LOAD = 20.0


class QueueEstimates:
    """How many requests each worker holds for each of its slots, by lists, reports and own attempts."""

    def __init__(self, settings: Settings, estimates: ServiceEstimates) -> None:
        self._estimates = estimates
        self._own_zone = settings.own_zone
        self._weights_are_live = settings.weights is Weights.LIVE
        # Where we send a request, the others of a zone, who know the same, are taken to send one each.
        self._dispatchers_alike = max(1.0, settings.dispatchers / len(settings.zones))
        self._highest_weights: dict[str, float] = {}  # by kind: that of an idle worker
        self._most_free_slots: dict[str, float] = {}  # by kind

    def learn_weight(self, worker: TrackedWorker, weight: float, now: int) -> None:
        """Take a live weight: that of an idle worker divided by 1 + the requests that it holds for each slot."""
        if self._weights_are_live and 0 < weight < inf:
            highest = max(weight, self._highest_weights.get(worker.kind, 0.0))
            self._highest_weights[worker.kind] = highest
            worker.fleet_load = min(highest / weight - 1, MAX_LISTED_LOAD)
            worker.fleet_load_at = now

    def learn_free_slots(self, kind: str, reported: float) -> None:
        """Take the free slots of a worker's load report."""
        self._most_free_slots[kind] = max(1.0, float(round(reported)), self._most_free_slots.get(kind, 0.0))

    def slots_reported(self, kind: str, default: float) -> float:
        """Return the most slots that a worker of a kind reported free."""
        return self._most_free_slots.get(kind, default)

    def count_sent(self, worker: TrackedWorker, slots: float, now: int) -> None:
        """Count an own attempt, and those of the dispatchers that know the same."""
        added = self._dispatchers_alike * slots / self._most_free_slots.get(worker.kind, DEFAULT_SLOTS)
        worker.fleet_load = self.held_for_each_slot(worker, now) + added
        worker.fleet_load_at = now

    def preempted(self, worker: TrackedWorker, now: int) -> None:
        """Take it that a request of ours was preempted: the worker is full."""
        worker.fleet_load = max(1.0, self.held_for_each_slot(worker, now))
        worker.fleet_load_at = now

    def held_for_each_slot(self, worker: TrackedWorker, now: int) -> float:
        """Return how many requests a worker holds for each slot by now if nobody sent more.

        Queues end evenly, the last requests more and more slowly.
        """
        rate = 1.0 if worker.zone == self._own_zone else OTHER_ZONES_SERVICE_RATE
        ended = rate * (now - worker.fleet_load_at) / self._estimates.mean_of_kind_ns(worker.kind)
        ended_in_queue = min(ended, max(0.0, worker.fleet_load - 1))
        return (worker.fleet_load - ended_in_queue) * exp(ended_in_queue - ended)

    def is_saturated(self, worker: TrackedWorker, request: TrackedRequest, now: int) -> bool:
        """Return whether others' requests keep a worker busy, for a request that waited as long as this one.

        Dispatchers that each meet a worker now and then see nothing of the others' requests there. Even turns
        fill slow ones beyond what they can do, and requests of high priority preempt what runs there, over and over.
        """
        is_in_own_zone = worker.zone == self._own_zone
        if request.open_attempts():  # it moves, and not to other zones for the little that it may gain
            return not is_in_own_zone or self.held_for_each_slot(worker, now) >= SATURATION_LOAD
        bearable = SATURATION_LOAD if is_in_own_zone else OTHER_ZONES_SATURATION_LOAD
        if request.request_class.priority > 0:
            bearable -= HIGH_PRIORITY_LOAD
        can_wait = self._estimates.in_time_until(request) - request.first_arrived_at
        waited_fraction = (now - request.first_arrived_at) / max(1, can_wait)
        return self.held_for_each_slot(worker, now) >= bearable + LOAD_ADDED_BY_WAIT * waited_fraction
