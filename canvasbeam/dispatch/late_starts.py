"""Detect attempts that are late to start, and estimate how long requests wait in workers' queues.

A start is late compared with the quickest start seen, so that a queue is detected before its requests miss their
latency targets. In a large fleet, starts on new connections are compared only with each other, because the delay of a
connection handshake says nothing about the worker's queue.

Owns the quickest starts of zones and workers, the moving average of the wait in queues, and each worker's
`connections`, `connected_at`, `late_starts` and `skipped_turns`.
"""

from __future__ import annotations

from math import inf

from canvasbeam.dispatch.records import FleetTraits, TrackedAttempt, TrackedRequest, TrackedWorker
from canvasbeam.dispatch.service_estimates import ServiceEstimates
from canvasbeam.dispatch.settings import Settings

# A start is late after this multiple of the quickest start seen at the worker or in its zone.
LATE_START_FACTOR = 4
# In a large fleet whose workers do not report starts, an attempt is late if it has not ended after this many expected
# service times.
LATE_END_SERVICE_TIMES = 3
# At a worker that runs batches, a start is late after this many latency targets of the request.
LATE_START_LATENCY_TARGETS = 1.5
# A worker that starts a request late is skipped once in the round-robin order, and twice as often after each further
# late start, up to this many times.
MAX_SKIPPED_TURNS = 4
# The moving average of the wait in queues covers about this many late starts.
QUEUE_WAIT_SAMPLES = 10
# A full queue is recorded as a wait of this many mean service times, and longer waits are capped at this.
FULL_QUEUE_SERVICE_TIMES = 2.0
# Requests in queues are moved to other workers only while the mean wait is below this many mean service times. Longer
# queues contain attempts that cancellation did not stop, and moved requests would lengthen those queues further.
SHORT_QUEUE_SERVICE_TIMES = 0.7


class LateStarts:
    """Evidence about workers' queues from the times at which attempts start."""

    def __init__(self, settings: Settings, estimates: ServiceEstimates, fleet: FleetTraits, sweep_ns: int) -> None:
        """Start without observations; a late start is detected up to `sweep_ns` nanoseconds after it is late."""
        self._settings = settings
        self._estimates = estimates
        self._fleet = fleet
        self._sweep_ns = sweep_ns
        # The quickest start seen, by zone and whether the connection was new.
        self._quickest_in_zone_ns: dict[tuple[str, bool], float] = {}
        self._mean_queue_wait = 0.0  # mean wait, in mean service times, of requests that stay in queues

    # --- expectations

    def needs_new_connection(self, worker: TrackedWorker, now: int) -> bool:
        """Count the connections needed for one more attempt; return True if that attempt may wait for a handshake.

        Always False outside a large fleet: a dispatcher that sends to a worker often soon has enough connections.
        """
        idle = self._settings.limits.idle_connection_ns // 2
        connections = worker.connections if not idle or now - worker.connected_at < idle else 0
        worker.connections = max(connections, len(worker.attempts) + 1)
        worker.connected_at = now
        return self._fleet.is_large and len(worker.attempts) >= connections

    def late_at(self, request: TrackedRequest, worker: TrackedWorker, now: int, *, on_new_connection: bool) -> int:
        """Return the time from which an attempt sent now is late to start."""
        return now + max(round(self._late_after_ns(request, worker, on_new_connection)), self._sweep_ns)

    def _late_after_ns(self, request: TrackedRequest, worker: TrackedWorker, on_new_connection: bool) -> float:
        """Return how many nanoseconds an attempt of a request may take to start at a worker."""
        if self._settings.batches:
            return LATE_START_LATENCY_TARGETS * request.request_class.latency_target_ns
        if self._fleet.is_large and not self._settings.tells_start:
            # Without reported starts, the end of an attempt is the first evidence that the attempt had started.
            return LATE_END_SERVICE_TIMES * self._estimates.of_request_ns(request)
        at_worker = inf if on_new_connection else worker.quickest_start_ns
        quickest = min(at_worker, self._quickest_in_zone_ns.get((worker.zone, on_new_connection), inf))
        return LATE_START_FACTOR * quickest if quickest < inf else self._settings.limits.connect_timeout_ns

    # --- starts

    def learn_start_in_time(self, attempt: TrackedAttempt, now: int) -> None:
        """Record a start in time: it ends a row of late starts and may be the quickest start seen."""
        worker = attempt.worker
        worker.late_starts = 0
        elapsed_ns = now - attempt.sent_at
        worker.quickest_start_ns = min(worker.quickest_start_ns, inf if attempt.on_new_connection else elapsed_ns)
        group = (worker.zone, attempt.on_new_connection)
        self._quickest_in_zone_ns[group] = min(self._quickest_in_zone_ns.get(group, inf), elapsed_ns)
        worker.max_started_load = max(worker.max_started_load, attempt.load)

    def learn_late_start(self, attempt: TrackedAttempt, now: int) -> None:
        """Record how long an attempt with a late start waited in the worker's queue, unless it was cancelled."""
        if not attempt.is_cancelled:
            self._learn_queue_wait((now - attempt.sent_at) / self._estimates.mean_ns())

    def learn_full_queue(self) -> None:
        """Record that a worker's queue was full."""
        self._learn_queue_wait(FULL_QUEUE_SERVICE_TIMES)

    def skip_turns(self, worker: TrackedWorker) -> None:
        """Make the round-robin order skip a worker after a late start, twice as often as after the previous one."""
        worker.skipped_turns = min(MAX_SKIPPED_TURNS, 2**worker.late_starts)
        worker.late_starts += 1

    # --- queues

    def are_queues_short(self) -> bool:
        """Return True if the mean wait of late requests in workers' queues is short."""
        return self._mean_queue_wait < SHORT_QUEUE_SERVICE_TIMES

    def _learn_queue_wait(self, service_times: float) -> None:
        """Add a sample, in mean service times, to the moving average of the wait in workers' queues."""
        sample = min(service_times, FULL_QUEUE_SERVICE_TIMES)
        self._mean_queue_wait += (sample - self._mean_queue_wait) / QUEUE_WAIT_SAMPLES
