"""Estimate what workers hold of all dispatchers' requests, where many dispatchers share them.

Owns what lists and reports said of sizes and slots, and each worker's `held` and `held_at`. It must never read a clock;
all times are nanoseconds on the clock of the events. A dispatcher of a small fleet knows a worker by its own requests
there, and uses nothing of this.
"""

from __future__ import annotations

from math import exp, inf

from canvasbeam.dispatch.records import TrackedRequest, TrackedWorker
from canvasbeam.dispatch.service_estimates import ServiceEstimates
from canvasbeam.dispatch.settings import Settings, Weights

# Among a crowd a worker has room while it holds fewer jobs than so many for each slot; fewer in other zones,
# whose own dispatchers need it; more for a job that waited, by so much once it can wait no longer.
ROOM, ROOM_AWAY, ROOM_GROWS = 0.8, 0.6, 1.0
# Less also for a job that goes before others in a queue: it would push out what runs and waste its work.
ROOM_URGENT = 0.5
# What is held in other zones is reckoned to end at this pace: their own dispatchers, whom we do not count, go
# on sending there.
AWAY_PACE = 0.25
# Slots of a worker of whose model no report was seen.
SLOTS_UNSEEN = 4.0
# What a list says that a worker holds for each slot is cut at this: beyond it only the wait differs.
MOST_HELD = 20.0


class QueueEstimates:
    """How many requests each worker holds for each of its slots, as reckoned from lists, reports and own sends."""

    def __init__(self, settings: Settings, estimates: ServiceEstimates) -> None:
        self._estimates = estimates
        self._own_zone = settings.own_zone
        self._weights_are_live = settings.weights is Weights.LIVE
        # Where we send a request, the others of a zone, who know the same, are taken to send one each.
        self._equivalence_key = max(1.0, settings.dispatchers / len(settings.zones))
        self._sizes: dict[str, float] = {}  # by kind, the highest weight listed: that of an empty worker
        self._slots_seen: dict[str, float] = {}  # by kind, the most slots reported free

    def learn_weight(self, worker: TrackedWorker, weight: float, now: int) -> None:
        """Take a live weight: a worker's size divided by 1 + the requests that it holds for each slot."""
        if self._weights_are_live and 0 < weight < inf:
            size = self._sizes[worker.kind] = max(weight, self._sizes.get(worker.kind, 0.0))
            worker.fleet_load, worker.fleet_load_at = min(size / weight - 1, MOST_HELD), now

    def learn_free_slots(self, kind: str, reported: float) -> None:
        """Take the free slots of a worker's load report."""
        self._slots_seen[kind] = max(1.0, float(round(reported)), self._slots_seen.get(kind, 0.0))

    def slots_reported(self, kind: str, otherwise: float) -> float:
        """Return the most slots that a worker of a kind reported free."""
        return self._slots_seen.get(kind, otherwise)

    def count_sent(self, worker: TrackedWorker, slots: float, now: int) -> None:
        """Count an own send, and those of the dispatchers that know the same."""
        worker.fleet_load = self.held_for_each_slot(worker, now) + self._equivalence_key * slots / self._slots_seen.get(
            worker.kind, SLOTS_UNSEEN
        )
        worker.fleet_load_at = now

    def preempted(self, worker: TrackedWorker, now: int) -> None:
        """Take it that a request of ours was pushed out: the worker is full."""
        worker.fleet_load, worker.fleet_load_at = max(1.0, self.held_for_each_slot(worker, now)), now

    def held_for_each_slot(self, worker: TrackedWorker, now: int) -> float:
        """Return what a worker holds by now if nobody sent more.

        Queues end evenly, the last requests more and more slowly.
        """
        pace = AWAY_PACE if worker.zone != self._own_zone else 1.0
        ended = pace * (now - worker.fleet_load_at) / self._estimates.mean_of_kind_ns(worker.kind)
        queued = min(ended, max(0.0, worker.fleet_load - 1))
        return (worker.fleet_load - queued) * exp(queued - ended)

    def is_saturated(self, worker: TrackedWorker, request: TrackedRequest, now: int) -> bool:
        """Whether others' requests keep a worker busy, for a request that waited as long as this one.

        Dispatchers that each meet a worker now and then see nothing of the others' requests there. Even turns
        fill slow ones beyond what they can do, and urgent requests kill what runs there, over and over.
        """
        away = worker.zone != self._own_zone
        if request.open_attempts():  # it moves, and not to other zones for the little that it may gain
            return away or self.held_for_each_slot(worker, now) >= ROOM
        room = (ROOM_AWAY if away else ROOM) - (ROOM_URGENT if request.request_class.priority > 0 else 0)
        can_wait = self._estimates.in_time_until(request) - request.first_arrived_at
        return self.held_for_each_slot(worker, now) >= room + ROOM_GROWS * (now - request.first_arrived_at) / max(
            1, can_wait
        )
