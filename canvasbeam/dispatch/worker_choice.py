"""Choose the worker for a request: the next in round-robin order of the best ring that has one that accepts it.

Where first tokens are expected, the soonest of several workers may go before its position in that order.

Owns each worker's `round_robin_lead`. It must never start an attempt.
"""

from __future__ import annotations

from itertools import islice

from canvasbeam.dispatch.collaborators import EngineModel
from canvasbeam.dispatch.concurrency_limits import ConcurrencyLimits
from canvasbeam.dispatch.endpoint_set import RINGS
from canvasbeam.dispatch.part_context import PartContext
from canvasbeam.dispatch.records import TrackedRequest, TrackedWorker
from canvasbeam.dispatch.retry_policy import RetryPolicy
from canvasbeam.dispatch.round_robin import RoundRobin, RoundRobinPass

# A rejected request goes only to workers seen within so many mean service times, while there is one.
RECENTLY_SEEN_SERVICE_TIMES = 4
# The soonest first token is looked for among so many workers of a ring, in round-robin order.
FIRST_TOKEN_CANDIDATES = 16
# A first token that is expected sooner by less than this does not change the round-robin order.
FIRST_TOKEN_ADVANTAGE_NS = 5_000_000


class WorkerChoice:
    """The choice of a worker for a request."""

    def __init__(
        self, context: PartContext, *, retries: RetryPolicy, limits: ConcurrencyLimits, round_robin: RoundRobin
    ) -> None:
        self._max_lead = context.settings.max_round_robin_lead
        self._fleet = context.fleet
        self._estimates = context.estimates
        self._retries = retries
        self._limits = limits
        self._round_robin = round_robin
        self._engines = context.engines if context.settings.max_round_robin_lead > 0 else None

    def choose(self, request: TrackedRequest, current_pass: RoundRobinPass, now: int) -> TrackedWorker | None:
        """Return the worker that the request is to be sent to now; none where it must stay pending."""
        if self._limits.is_in_flight_limit_reached() and not request.open_attempts():
            return None
        is_retry = request.attempts or request.event.repeat
        if is_retry and not self._retries.may_send(request, now):
            return None
        for ring in RINGS:
            candidates = self._round_robin.candidates(ring, request, current_pass, now)
            if request.attempts:
                candidates = (worker for worker in candidates if self._may_retry_at(worker, request, now))
            worker = next(candidates, None)
            if worker is None:
                continue
            if self._engines is None or request.event.prompt is None:
                return worker
            others = islice(candidates, FIRST_TOKEN_CANDIDATES - 1)
            return self._choose_soonest_first_token(self._engines, [worker, *others], request, now)
        return None

    def _may_retry_at(self, worker: TrackedWorker, request: TrackedRequest, now: int) -> bool:
        """Return whether a request that was sent before may go to a worker that accepts it."""
        return self._retries.may_send_to(worker, request) and self._is_recently_seen(worker, request, now)

    def _is_recently_seen(self, worker: TrackedWorker, request: TrackedRequest, now: int) -> bool:
        """Return whether a worker was seen lately, for which a rejected request waits in a large fleet.

        On an outdated list a request would try one removed worker after the other until its attempts are used up.
        """
        if not self._fleet.is_large or not any(attempt.not_executed for attempt in request.attempts):
            return True
        since = now - RECENTLY_SEEN_SERVICE_TIMES * self._estimates.mean_ns()
        return worker.last_seen >= since or now >= self._estimates.in_time_until(request)

    def _choose_soonest_first_token(
        self, engines: EngineModel, workers: list[TrackedWorker], request: TrackedRequest, now: int
    ) -> TrackedWorker:
        """Return the worker with the soonest first token among those not too far ahead in round-robin order.

        By the prefix cache alone all dispatchers would send requests that share a prefix to one worker.
        """
        waits = [engines.first_token_ns(now, worker.entry, request.event) for worker in workers]
        next_in_order = min(range(len(workers)), key=lambda place: workers[place].round_robin_lead)
        least_lead = workers[next_in_order].round_robin_lead
        allowed = [
            place for place, worker in enumerate(workers) if worker.round_robin_lead + 1 - least_lead <= self._max_lead
        ]
        soonest = min(allowed, key=lambda place: (waits[place], place), default=next_in_order)
        is_sooner = waits[soonest] + FIRST_TOKEN_ADVANTAGE_NS <= waits[next_in_order]
        chosen = workers[soonest if is_sooner else next_in_order]
        self._advance_order(workers, chosen)
        return chosen

    def _advance_order(self, workers: list[TrackedWorker], chosen: TrackedWorker) -> None:
        """Put the chosen worker ahead of the others by one turn, which is divided among all."""
        for worker in workers:
            lead = worker.round_robin_lead - 1 / len(workers) + (worker is chosen)
            worker.round_robin_lead = max(-self._max_lead, min(self._max_lead, lead))
