"""Offer the workers of a priority ring to pending requests in round-robin order.

Within a pass over pending requests each worker of a ring is tested once for all requests that are alike. A worker that
accepts stays a candidate until it is given a request; then it stands last, or is dropped where it is saturated by that.

A `RoundRobinPass` owns the candidates of one pass; the order of the rings is kept by `EndpointSet`.
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
    """A ring's workers for requests that are alike: those that accept them, and those not tested yet."""

    accepting: list[TrackedWorker]
    untested: Iterator[TrackedWorker]


class RoundRobinPass:
    """The candidates for the requests of one pass, by ring and kind of request."""

    __slots__ = ("by_ring_and_kind",)

    def __init__(self) -> None:
        self.by_ring_and_kind: dict[tuple[int, EquivalenceKey], RingCandidates] = {}


class RoundRobin:
    """Candidates in round-robin order."""

    def __init__(self, endpoints: EndpointSet, cache: PlacementCache, acceptance: WorkerAcceptance) -> None:
        self._endpoints = endpoints
        self._cache = cache
        self._acceptance = acceptance

    def candidates(
        self, ring: int, request: TrackedRequest, current_pass: RoundRobinPass, now: int
    ) -> Iterator[TrackedWorker]:
        """Yield a ring's workers that accept requests like this one, in round-robin order, tested once in a pass."""
        key = (ring, request.equivalence_key)
        found = current_pass.by_ring_and_kind.get(key)
        if found is None:
            found = RingCandidates([], iter(self._workers_to_test(ring, request.equivalence_key)))
            current_pass.by_ring_and_kind[key] = found
        yield from found.accepting
        for worker in found.untested:
            if not self._skips_turn(worker) and self._acceptance.can_receive(worker, request, now):
                found.accepting.append(worker)
                yield worker

    def rotate(self, worker: TrackedWorker, current_pass: RoundRobinPass, now: int) -> None:
        """Put a worker that was given a request last among the candidates, or drop it where it is saturated."""
        is_available = self._acceptance.is_available(worker, now)
        for candidates in current_pass.by_ring_and_kind.values():
            if worker in candidates.accepting:
                candidates.accepting.remove(worker)
                if is_available:
                    candidates.untested = chain(candidates.untested, (worker,))

    def _workers_to_test(self, ring: int, kind: EquivalenceKey) -> tuple[TrackedWorker, ...]:
        """Return the workers of a ring that may accept requests of this kind, in round-robin order.

        Testing a ring of a thousand workers at each start would cost more time than there is.
        """
        if not self._cache.is_unplaceable(kind):
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
        """Return whether a worker that started our last requests late is skipped, and put it last.

        Where a dispatcher meets each worker rarely, slow workers would get as many requests as quick ones.
        """
        if not worker.skipped_turns:
            return False
        worker.skipped_turns -= 1
        self._endpoints.move_to_end(worker)
        return True
