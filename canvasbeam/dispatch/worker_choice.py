"""Choose the worker for a request: the next in round-robin order, from the best priority ring, that accepts it.

For language-model requests, the worker with the soonest expected first token may go before its position in that order.

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

# A rejected request prefers workers that were active within the last this many mean service times.
RECENTLY_SEEN_SERVICE_TIMES = 4
# The soonest expected first token is chosen among this many workers of a ring, in round-robin order.
FIRST_TOKEN_CANDIDATES = 16
# Minimum advantage in the expected time to first token for which a request departs from the round-robin order.
FIRST_TOKEN_ADVANTAGE_NS = 5_000_000


class WorkerChoice:
    """Chooses the worker for a request."""

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
        """Return the worker to send the request to now, or None if the request must stay pending."""
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
        """Return True if a worker that accepts a request may receive a retry of that request."""
        return self._retries.may_send_to(worker, request) and self._is_recently_seen(worker, request, now)

    def _is_recently_seen(self, worker: TrackedWorker, request: TrackedRequest, now: int) -> bool:
        """Return True if a worker was active recently, or the request need not wait for a recently active worker.

        Only a rejected request in a large fleet waits: with an outdated endpoint list, the request would use up its
        attempts on removed workers.
        """
        if not self._fleet.is_large or not any(attempt.not_executed for attempt in request.attempts):
            return True
        since = now - RECENTLY_SEEN_SERVICE_TIMES * self._estimates.mean_ns()
        return worker.last_seen >= since or now >= self._estimates.latest_send_within_target(request)

    def _choose_soonest_first_token(
        self, engines: EngineModel, workers: list[TrackedWorker], request: TrackedRequest, now: int
    ) -> TrackedWorker:
        """Return the worker with the soonest first token among those not too far ahead in round-robin order.

        Without the limit on the lead, all dispatchers would send requests that share a prefix to the same worker,
        whose prefix cache has that prefix.
        """
        latencies_ns = [engines.first_token_ns(now, worker.entry, request.event) for worker in workers]
        next_in_order = min(range(len(workers)), key=lambda index: workers[index].round_robin_lead)
        min_lead = workers[next_in_order].round_robin_lead
        allowed = [
            index for index, worker in enumerate(workers) if worker.round_robin_lead + 1 - min_lead <= self._max_lead
        ]
        soonest = min(allowed, key=lambda index: (latencies_ns[index], index), default=next_in_order)
        is_sooner = latencies_ns[soonest] + FIRST_TOKEN_ADVANTAGE_NS <= latencies_ns[next_in_order]
        chosen = workers[soonest if is_sooner else next_in_order]
        self._advance_order(workers, chosen)
        return chosen

    def _advance_order(self, workers: list[TrackedWorker], chosen: TrackedWorker) -> None:
        """Move the chosen worker ahead by one turn, and all candidates back by an equal part of that turn."""
        for worker in workers:
            lead = worker.round_robin_lead - 1 / len(workers) + (worker is chosen)
            worker.round_robin_lead = max(-self._max_lead, min(self._max_lead, lead))
