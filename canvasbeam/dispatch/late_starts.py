"""Judge when an attempt that has not started is late, and how long requests wait in workers' queues.

A start is late by the quickest one seen, so that a queue shows before its requests miss their latency targets. In a
large fleet, starts on new connections are compared with each other: one that waited for a handshake says nothing of the
worker's queue.

Owns the quickest starts of zones and workers, the moving average of the wait in queues, and each worker's
`connections`, `connected_at`, `late_starts` and `skipped_turns`.
"""

from __future__ import annotations

from math import inf

from canvasbeam.dispatch.records import FleetTraits, TrackedAttempt, TrackedRequest, TrackedWorker
from canvasbeam.dispatch.service_estimates import ServiceEstimates
from canvasbeam.dispatch.settings import Settings

# A start is late when it takes this many times the quickest one seen at that worker.
LATE_START_FACTOR = 4
# Where starts are not told, an attempt is late without an end for this many mean service times.
LATE_END_SERVICE_TIMES = 3
# A worker that runs batches is late with a request that has not begun for so many latency targets.
LATE_START_LATENCY_TARGETS = 1.5
# A worker that starts requests late skips its next turn, and twice as many each time again, up to so many.
MAX_SKIPPED_TURNS = 4
# The moving average of the wait in queues is over about this many late starts.
QUEUE_WAIT_SAMPLES = 10
# The wait that a full queue counts as, in mean service times.
FULL_QUEUE_SERVICE_TIMES = 2.0
# Requests in queues are moved while the mean wait there is shorter than this. Longer queues hold work that cancels did
# not stop, and moving would fill them further.
SHORT_QUEUE_SERVICE_TIMES = 0.7


class LateStarts:
    """What starts tell of the queues of workers."""

    def __init__(self, settings: Settings, estimates: ServiceEstimates, fleet: FleetTraits, sweep_ns: int) -> None:
        """Keep to these settings; a late start is seen up to `sweep_ns` after it is late."""
        self._settings = settings
        self._estimates = estimates
        self._fleet = fleet
        self._sweep_ns = sweep_ns
        # The quickest start seen in each zone, on established and on new connections.
        self._quickest_in_zone_ns: dict[tuple[str, bool], float] = {}
        self._mean_queue_wait = 0.0  # of requests that stay in queues, in mean service times

    # --- expectations

    def needs_new_connection(self, worker: TrackedWorker, now: int) -> bool:
        """Count the connections that one more attempt needs; return whether it may wait for a new one.

        A dispatcher that meets a worker often soon has the connections that it needs.
        """
        idle = self._settings.limits.idle_connection_ns // 2
        connections = worker.connections if not idle or now - worker.connected_at < idle else 0
        worker.connections = max(connections, len(worker.attempts) + 1)
        worker.connected_at = now
        return self._fleet.is_large and len(worker.attempts) >= connections

    def late_at(self, request: TrackedRequest, worker: TrackedWorker, now: int, *, on_new_connection: bool) -> int:
        """Return from when on the start of an attempt that begins now is late."""
        return now + max(round(self._late_after_ns(request, worker, on_new_connection)), self._sweep_ns)

    def _late_after_ns(self, request: TrackedRequest, worker: TrackedWorker, on_new_connection: bool) -> float:
        """Return how long an attempt of a request may take to start at a worker."""
        if self._settings.batches:
            return LATE_START_LATENCY_TARGETS * request.request_class.latency_target_ns
        if self._fleet.is_large and not self._settings.tells_start:
            # Its end is the first sign of it.
            return LATE_END_SERVICE_TIMES * self._estimates.of_request_ns(request)
        at_worker = inf if on_new_connection else worker.quickest_start_ns
        quickest = min(at_worker, self._quickest_in_zone_ns.get((worker.zone, on_new_connection), inf))
        return LATE_START_FACTOR * quickest if quickest < inf else self._settings.limits.connect_timeout_ns

    # --- starts

    def learn_prompt_start(self, attempt: TrackedAttempt, now: int) -> None:
        """Take a start that was not late."""
        worker = attempt.worker
        worker.late_starts = 0
        took = now - attempt.sent_at
        worker.quickest_start_ns = min(worker.quickest_start_ns, inf if attempt.on_new_connection else took)
        group = (worker.zone, attempt.on_new_connection)
        self._quickest_in_zone_ns[group] = min(self._quickest_in_zone_ns.get(group, inf), took)
        worker.max_started_load = max(worker.max_started_load, attempt.load)

    def learn_late_start(self, attempt: TrackedAttempt, now: int) -> None:
        """Take a late start, which tells how long the request waited in the worker's queue."""
        if not attempt.is_cancelled:
            self._learn_queue_wait((now - attempt.sent_at) / self._estimates.mean_ns())

    def learn_full_queue(self) -> None:
        """Take it that a worker's queue was full."""
        self._learn_queue_wait(FULL_QUEUE_SERVICE_TIMES)

    def skip_turns(self, worker: TrackedWorker) -> None:
        """Have a worker that is late with a start skip turns, twice as many as the last time."""
        worker.skipped_turns = min(MAX_SKIPPED_TURNS, 2**worker.late_starts)
        worker.late_starts += 1

    # --- queues

    def are_queues_short(self) -> bool:
        """Return whether requests that start late wait a short time in workers' queues."""
        return self._mean_queue_wait < SHORT_QUEUE_SERVICE_TIMES

    def _learn_queue_wait(self, service_times: float) -> None:
        """Add a sample, in mean service times, to the moving average of the wait in workers' queues."""
        sample = min(service_times, FULL_QUEUE_SERVICE_TIMES)
        self._mean_queue_wait += (sample - self._mean_queue_wait) / QUEUE_WAIT_SAMPLES
