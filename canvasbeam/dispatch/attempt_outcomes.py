"""Learn from starts and outcomes of attempts how workers do.

Keeps no state: it tells each part what a start or an outcome means for it.
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

# The value of a load report that says how many requests more the worker could run.
FREE_SLOTS = "free_slots"


class AttemptOutcomes:
    """What starts and outcomes of attempts mean for the workers."""

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
        """Take new classes of requests."""
        self._highest_priority = max((known.priority for known in classes), default=0)

    def learn_start(self, attempt: TrackedAttempt) -> None:
        """Learn from a start in time that the worker has capacity; a late one has already lowered its limit."""
        now = self._current.now
        if attempt.is_late:
            self._late_starts.learn_late_start(attempt, now)
        else:
            self._limits.grow_in_flight_limit()
            self._late_starts.learn_prompt_start(attempt, now)
            self._limits.raise_to(attempt)

    def learn_end(self, attempt: TrackedAttempt, outcome: Outcome, report: Mapping[str, float] | None) -> None:
        """Learn from the outcome of an attempt, and the load report that came with it."""
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
                self._queues.preempted(worker, self._current.now)
            case Outcome.RESET:
                self._ejection.eject(
                    worker, "request lost"
                )  # a worker that kills its requests has no capacity for more
            case Outcome.BROKEN | Outcome.UNSENT:
                self._ejection.record_broken_connection(worker)
            case Outcome.TIMED_OUT if worker.last_seen < attempt.sent_at:
                self._ejection.eject(worker, "no answer")

    def _learn_success(self, attempt: TrackedAttempt) -> None:
        """Take a good answer: the worker is healthy, and its service time is learned."""
        self._ejection.record_success(attempt.worker)
        if self._runs_batches:
            self._limits.raise_to(attempt)
        took = float(max(1, self._current.now - (attempt.started_at or attempt.sent_at)))
        self._estimates.learn(attempt.request.request_class.name, attempt.worker.kind, took)

    def _learn_full(self, worker: TrackedWorker) -> None:
        """Take an answer that the worker is full, and send nothing there for a while.

        Without that wait a worker that is full without a request of ours would be asked again at once, for ever.
        """
        now = self._current.now
        self._limits.cut_to(worker, worker.load, now)
        self._late_starts.learn_full_queue()
        worker.saturated_until = now + round(worker.regrow_wait * self._estimates.mean_at_ns(worker))
        if self._fleet.is_large and not worker.attempts:
            # It drains, or others fill it: a health check tells which.
            self._ejection.eject(worker, "full")

    def _may_be_preempted(self, request: TrackedRequest) -> bool:
        """Return whether a lost request may have been preempted by one of higher priority.

        In a large fleet that happens at healthy workers all the time; ejecting and checking each would cost capacity.
        """
        return self._fleet.has_live_weights and request.request_class.priority < self._highest_priority
