"""Offer the workers of a priority ring to pending requests in round-robin order.

Within a pass over the pending requests, each worker of a ring is tested once for all equivalent requests. A worker that
accepts the requests stays a candidate until the worker gets a request; the worker then moves to the end of the
candidates, or is dropped if the request saturates the worker.

A `RoundRobinPass` owns the candidates of one pass; `EndpointSet` owns the order of the rings.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain

from canvasbeam.dispatch.endpoint_set import EndpointSet
from canvasbeam.dispatch.events import WorkerState
from canvasbeam.dispatch.placement_cache import PlacementCache
from canvasbeam.dispatch.records import EquivalenceKey, TrackedRequest, TrackedWorker
from canvasbeam.dispatch.worker_acceptance import WorkerAcceptance


@dataclass(slots=True)
class RingCandidates:
    """Workers of a ring for equivalent requests: the workers that accept the requests, and the untested workers."""

    accepting: list[TrackedWorker]
    untested: Iterator[TrackedWorker]


class RoundRobinPass:
    """Candidates of one pass over the pending requests, by ring and equivalence key."""

    __slots__ = ("by_ring_and_kind",)

    def __init__(self) -> None:
        self.by_ring_and_kind: dict[tuple[int, EquivalenceKey], RingCandidates] = {}


class RoundRobin:
    """Candidate workers in round-robin order."""

    def __init__(self, endpoints: EndpointSet, cache: PlacementCache, acceptance: WorkerAcceptance) -> None:
        self._endpoints = endpoints
        self._cache = cache
        self._acceptance = acceptance

    def candidates(
        self, ring: int, request: TrackedRequest, current_pass: RoundRobinPass, now: int
    ) -> Iterator[TrackedWorker]:
        """Yield a ring's workers that accept this request, in round-robin order; test each worker once per pass."""
        key = (ring, request.equivalence_key)
        ring_candidates = current_pass.by_ring_and_kind.get(key)
        if ring_candidates is None:
            ring_candidates = RingCandidates([], iter(self._workers_to_test(ring, request.equivalence_key)))
            current_pass.by_ring_and_kind[key] = ring_candidates
        yield from ring_candidates.accepting
        for worker in ring_candidates.untested:
            if not self._skips_turn(worker) and self._acceptance.can_receive(worker, request, now):
                ring_candidates.accepting.append(worker)
                yield worker

    def rotate(self, worker: TrackedWorker, current_pass: RoundRobinPass, now: int) -> None:
        """Move a worker that got a request to the end of the candidates, or drop the worker if it is saturated."""
        is_available = self._acceptance.is_available(worker, now)
        for candidates in current_pass.by_ring_and_kind.values():
            if worker in candidates.accepting:
                candidates.accepting.remove(worker)
                if is_available:
                    candidates.untested = chain(candidates.untested, (worker,))

    def _workers_to_test(self, ring: int, key: EquivalenceKey) -> tuple[TrackedWorker, ...]:
        """Return the workers of a ring that may accept requests with this equivalence key, in round-robin order.

        For requests that no worker accepted, only the workers changed since then are returned: testing a ring of
        a thousand workers at each start of an attempt would take more CPU time than available.
        """
        if not self._cache.is_unplaceable(key):
            return tuple(self._endpoints.ring(ring))
        changed = [
            worker
            for worker in self._cache.changed_workers()
            if worker.state is WorkerState.LIVE and self._endpoints.ring_of(worker) == ring
        ]
        if len(changed) > 1:
            changed.sort(key=self._endpoints.ring(ring).index)
        return tuple(changed)

    def _skips_turn(self, worker: TrackedWorker) -> bool:
        """Return True if a worker skips this turn because of late starts, and move the worker to the end of its ring.

        Without skipped turns, slow workers would get as many requests as fast workers where a dispatcher sends to each
        worker rarely.
        """
        if not worker.skipped_turns:
            return False
        worker.skipped_turns -= 1
        self._endpoints.move_to_end(worker)
        return True
