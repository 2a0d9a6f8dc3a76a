"""Test whether a worker accepts a request now.

Keeps no state. A worker accepts a request if the worker is live, healthy, below its concurrency limit and not saturated
by other dispatchers' requests, and if slow start, the limits over all dispatchers and, for language-model workers, the
expected time to first token permit the request.
"""

from __future__ import annotations

from canvasbeam.dispatch.collaborators import EngineModel
from canvasbeam.dispatch.concurrency_limits import ConcurrencyLimits
from canvasbeam.dispatch.events import WorkerState
from canvasbeam.dispatch.outlier_ejection import OutlierEjection
from canvasbeam.dispatch.part_context import PartContext
from canvasbeam.dispatch.queue_estimates import QueueEstimates
from canvasbeam.dispatch.records import TrackedRequest, TrackedWorker
from canvasbeam.dispatch.settings import Effect
from canvasbeam.dispatch.slow_start import SlowStart


class WorkerAcceptance:
    """Tests whether a worker can receive a request."""

    def __init__(
        self,
        context: PartContext,
        *,
        queues: QueueEstimates,
        slow_start: SlowStart,
        limits: ConcurrencyLimits,
        ejection: OutlierEjection,
    ) -> None:
        self._fleet = context.fleet
        self._estimates = context.estimates
        self._queues = queues
        self._slow_start = slow_start
        self._limits = limits
        self._ejection = ejection
        self._fleet_limits = context.fleet_limits
        self._engines = context.engines
        # A worker that runs requests one after the other has no capacity until its last request is reported as started.
        self._waits_for_starts = context.settings.tells_start and not context.settings.batches

    def can_receive(self, worker: TrackedWorker, request: TrackedRequest, now: int) -> bool:
        """Return True if a worker is available, in a large fleet not saturated by others, and accepts the request."""
        return (
            self.is_available(worker, now)
            and not (self._fleet.has_live_weights and self._queues.is_saturated(worker, request, now))
            and self.accepts(worker, request, now)
        )

    def is_available(self, worker: TrackedWorker, now: int) -> bool:
        """Return True if a worker is live and neither saturated, ejected nor busy with a trial, for any request."""
        if worker.unstarted and self._waits_for_starts:
            return False
        if now < worker.saturated_until or 0 < worker.entry.slots <= worker.load:
            return False
        if worker.state is not WorkerState.LIVE or worker.ejected_until or (worker.on_trial and worker.attempts):
            return False
        return self._limits.has_capacity(worker, now)

    def accepts(self, worker: TrackedWorker, request: TrackedRequest, now: int) -> bool:
        """Return True if an available worker may receive this request."""
        if not worker.entry.may_run(request.request_class, request.event):
            return False
        if self._fleet_limits is not None and not self._fleet_limits.may_send_while_warming_up(now, worker.name):
            return False
        if self._engines is not None and not self._is_prompt_accepted(self._engines, worker, request, now):
            return False
        is_unsafe = request.request_class.effect is Effect.UNSAFE
        if is_unsafe and self._fleet.is_large and not self._ejection.is_trusted_with_unsafe(worker, request):
            return False
        if worker.attempts and worker.load + request.slots > max(worker.concurrency_limit, worker.load + 1):
            return False
        return worker.started_at <= 0 or self._slow_start.allows(worker, request, now)

    def _is_prompt_accepted(
        self, engines: EngineModel, worker: TrackedWorker, request: TrackedRequest, now: int
    ) -> bool:
        """Return True if a language-model worker is expected to start this request within its latency target."""
        return engines.has_capacity(
            now, worker.entry, request.event, self._estimates.latest_send_within_target(request) - now
        )
