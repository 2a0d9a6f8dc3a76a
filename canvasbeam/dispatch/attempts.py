"""Start and cancel attempts, and count attempts as load of their workers.

Owns the attempts of each request and of each worker, and each worker's `load` and `unstarted`. The module must never
choose a worker (`worker_choice` does) or react to an outcome (`attempt_outcomes` and `dispatcher` do).
"""

from __future__ import annotations

from canvasbeam.dispatch.actions import CancelAttempt, StartAttempt
from canvasbeam.dispatch.concurrency_limits import ConcurrencyLimits
from canvasbeam.dispatch.endpoint_set import EndpointSet
from canvasbeam.dispatch.late_starts import LateStarts
from canvasbeam.dispatch.part_context import PartContext
from canvasbeam.dispatch.placement_cache import PlacementCache
from canvasbeam.dispatch.queue_estimates import QueueEstimates
from canvasbeam.dispatch.records import TrackedAttempt, TrackedRequest, TrackedWorker
from canvasbeam.dispatch.slow_start import SlowStart
from canvasbeam.dispatch.unresponsive import ResponseTimeouts


class Attempts:
    """Starts, cancels and counts attempts in flight."""

    def __init__(
        self,
        context: PartContext,
        *,
        endpoints: EndpointSet,
        cache: PlacementCache,
        queues: QueueEstimates,
        slow_start: SlowStart,
        limits: ConcurrencyLimits,
        late_starts: LateStarts,
        timeouts: ResponseTimeouts,
    ) -> None:
        self._current = context.current
        self._timers = context.timers
        self._fleet = context.fleet
        self._endpoints = endpoints
        self._cache = cache
        self._queues = queues
        self._slow_start = slow_start
        self._limits = limits
        self._late_starts = late_starts
        self._timeouts = timeouts
        self._fleet_limits = context.fleet_limits
        self._engines = context.engines
        self._may_cancel = context.settings.limits.cancel

    def start(self, request: TrackedRequest, worker: TrackedWorker) -> None:
        """Start an attempt of a request at a worker, and schedule checks of the request and of the worker."""
        now = self._current.now
        on_new_connection = self._late_starts.needs_new_connection(worker, now)
        attempt = TrackedAttempt(
            number=len(request.attempts),
            request=request,
            worker=worker,
            sent_at=now,
            late_at=self._late_starts.late_at(request, worker, now, on_new_connection=on_new_connection),
            load=worker.load + request.slots,
            on_new_connection=on_new_connection,
        )
        self._notify_sent(attempt, now)
        self._add_load(attempt, now)
        self._timers.schedule(worker, attempt.late_at)
        self._timers.schedule(request, min(self._timeouts.stall_time(attempt), request.answer_by))
        self._current.actions.append(StartAttempt(request.id, worker.name))

    def _notify_sent(self, attempt: TrackedAttempt, now: int) -> None:
        """Report an attempt to the fleet-wide limits and to the engine model."""
        request, worker = attempt.request, attempt.worker
        if self._fleet_limits is not None:
            is_retry = request.counted_attempts() > 0 or request.event.repeat
            self._fleet_limits.sent(now, worker.kind, worker.name, is_retry)
        if self._engines is not None:
            self._engines.sent(now, worker.entry, request.event)

    def _add_load(self, attempt: TrackedAttempt, now: int) -> None:
        """Count an attempt as load of its worker, and move the worker to the end of its ring."""
        request, worker = attempt.request, attempt.worker
        request.attempts.append(attempt)
        worker.attempts.append(attempt)
        worker.load = attempt.load
        worker.unstarted += 1
        self._limits.on_attempt_added()
        if self._fleet.has_live_weights:
            self._queues.count_sent(worker, request.slots, now)
        self._endpoints.move_to_end(worker)
        self._slow_start.count_work(worker, request, now)

    def mark_started(self, attempt: TrackedAttempt) -> bool:
        """Record the start of an attempt; return True if the start was not recorded before."""
        if attempt.started_at:
            return False
        now, worker, request = self._current.now, attempt.worker, attempt.request
        attempt.started_at = now
        if self._engines is not None:
            self._engines.started(now, worker.name, request.id)
        self._cache.mark_changed(worker)
        worker.unstarted -= attempt.counts_as_load
        self._timers.schedule(worker, self._timeouts.unresponsive_at(worker))
        self._timers.schedule(request, self._timeouts.stall_time(attempt))
        return True

    def remove_load(self, attempt: TrackedAttempt) -> None:
        """Stop counting an attempt as load of its worker."""
        if not attempt.counts_as_load:
            return
        now, worker, request = self._current.now, attempt.worker, attempt.request
        attempt.counts_as_load = False
        self._limits.on_attempt_removed()
        if self._engines is not None:
            self._engines.ended(now, worker.name, request.id)
        worker.attempts.remove(attempt)
        worker.load -= request.slots
        worker.unstarted -= not attempt.started_at
        self._cache.mark_changed(worker)
        if not attempt.has_ended:
            self._timers.schedule(request, now)

    def cancel(self, attempt: TrackedAttempt) -> None:
        """Cancel an attempt at most once, and only where the deployment permits cancellation."""
        if self._may_cancel and not attempt.is_cancelled:
            attempt.is_cancelled = True
            self._current.actions.append(CancelAttempt(attempt.request.id, attempt.number))

    def cancel_all(self, request: TrackedRequest, keep: TrackedAttempt | None = None) -> None:
        """Cancel all open attempts of a request except `keep`."""
        for attempt in request.open_attempts():
            if attempt is not keep:
                self.cancel(attempt)
