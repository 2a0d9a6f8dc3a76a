"""Update limits, estimates and ejections of workers from the starts and outcomes of attempts.

The module keeps no state: it passes each start and outcome to the parts that own the affected state.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from canvasbeam.dispatch.concurrency_limits import ConcurrencyLimits
from canvasbeam.dispatch.events import Outcome
from canvasbeam.dispatch.late_starts import LateStarts
from canvasbeam.dispatch.outlier_ejection import OutlierEjection
from canvasbeam.dispatch.part_context import PartContext
from canvasbeam.dispatch.queue_estimates import QueueEstimates
from canvasbeam.dispatch.records import TrackedAttempt, TrackedRequest, TrackedWorker
from canvasbeam.dispatch.settings import RequestClass

# Load-report field with the number of additional requests that the worker could run.
FREE_SLOTS = "free_slots"


class AttemptOutcomes:
    """Updates worker state from the starts and outcomes of attempts."""

    def __init__(
        self,
        context: PartContext,
        *,
        queues: QueueEstimates,
        limits: ConcurrencyLimits,
        late_starts: LateStarts,
        ejection: OutlierEjection,
    ) -> None:
        self._current = context.current
        self._fleet = context.fleet
        self._estimates = context.estimates
        self._queues = queues
        self._limits = limits
        self._late_starts = late_starts
        self._ejection = ejection
        self._runs_batches = context.settings.batches
        self._highest_priority = 0
        self.change_classes(context.settings.classes)

    def change_classes(self, classes: Sequence[RequestClass]) -> None:
        """Replace the classes of requests."""
        self._highest_priority = max((request_class.priority for request_class in classes), default=0)

    def learn_start(self, attempt: TrackedAttempt) -> None:
        """Update worker state when an attempt starts.

        A start in time shows that the worker has capacity; a late start has already lowered the worker's limit.
        """
        now = self._current.now
        if attempt.is_late:
            self._late_starts.learn_late_start(attempt, now)
        else:
            self._limits.grow_in_flight_limit()
            self._late_starts.learn_start_in_time(attempt, now)
            self._limits.raise_to(attempt)

    def learn_end(self, attempt: TrackedAttempt, outcome: Outcome, report: Mapping[str, float] | None) -> None:
        """Update worker state from the outcome of an attempt, and from the load report that came with the outcome."""
        worker, request = attempt.worker, attempt.request
        if report and self._fleet.has_live_weights:
            self._queues.learn_free_slots(worker.kind, report.get(FREE_SLOTS, 0.0))
        match outcome:
            case Outcome.OK:
                self._learn_success(attempt)
            case Outcome.FULL:
                self._learn_full(worker)
            case Outcome.ERROR:
                self._ejection.record_error(worker, request.request_class.effect)
            case Outcome.CONNECT_FAILED:
                self._ejection.eject(worker, "no connection")
            case Outcome.RESET if self._may_be_preempted(request):
                self._queues.learn_preemption(worker, self._current.now)
            case Outcome.RESET:
                # A worker that kills its own requests has no capacity for more requests.
                self._ejection.eject(worker, "request lost")
            case Outcome.BROKEN | Outcome.UNSENT:
                self._ejection.record_broken_connection(worker)
            case Outcome.TIMED_OUT if worker.last_seen < attempt.sent_at:
                self._ejection.eject(worker, "no answer")

    def _learn_success(self, attempt: TrackedAttempt) -> None:
        """Record a success: the worker is healthy, and the service time updates the estimates."""
        self._ejection.record_success(attempt.worker)
        if self._runs_batches:
            self._limits.raise_to(attempt)
        service_ns = float(max(1, self._current.now - (attempt.started_at or attempt.sent_at)))
        self._estimates.learn(attempt.request.request_class.name, attempt.worker.kind, service_ns)

    def _learn_full(self, worker: TrackedWorker) -> None:
        """Lower the limit of a worker that answered that it is full, and send the worker nothing for a while.

        Without the pause, a worker that is full with requests of other dispatchers would get the next attempt at once,
        in an endless loop.
        """
        now = self._current.now
        self._limits.cut_to(worker, worker.load, now)
        self._late_starts.learn_full_queue()
        worker.saturated_until = now + round(worker.regrow_wait * self._estimates.mean_at_ns(worker))
        if self._fleet.is_large and not worker.attempts:
            # The worker is draining or full with requests of other dispatchers; a health check tells which.
            self._ejection.eject(worker, "full")

    def _may_be_preempted(self, request: TrackedRequest) -> bool:
        """Return True if a request of higher priority may have preempted a lost request.

        In a large fleet healthy workers preempt requests all the time, so ejecting and checking each of these workers
        would cost capacity.
        """
        return self._fleet.has_live_weights and request.request_class.priority < self._highest_priority
