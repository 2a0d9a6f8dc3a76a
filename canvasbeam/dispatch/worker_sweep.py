"""Check workers that are due: detect late starts, stalled attempts and unresponsive workers, and end ejections.

Keeps no state.
"""

from __future__ import annotations

from canvasbeam.dispatch.attempts import Attempts
from canvasbeam.dispatch.concurrency_limits import ConcurrencyLimits
from canvasbeam.dispatch.late_starts import LateStarts
from canvasbeam.dispatch.outlier_ejection import OutlierEjection
from canvasbeam.dispatch.part_context import PartContext
from canvasbeam.dispatch.records import TrackedAttempt, TrackedWorker
from canvasbeam.dispatch.unresponsive import ResponseTimeouts


class WorkerSweep:
    """Checks a worker at its scheduled time."""

    def __init__(
        self,
        context: PartContext,
        *,
        attempts: Attempts,
        limits: ConcurrencyLimits,
        late_starts: LateStarts,
        timeouts: ResponseTimeouts,
        ejection: OutlierEjection,
    ) -> None:
        self._current = context.current
        self._timers = context.timers
        self._fleet = context.fleet
        self._attempts = attempts
        self._limits = limits
        self._late_starts = late_starts
        self._timeouts = timeouts
        self._ejection = ejection
        self._runs_batches = context.settings.batches

    def sweep(self, worker: TrackedWorker) -> None:
        """Check a worker's attempts, eject the worker if unresponsive, and end an ejection whose time has passed."""
        now = self._current.now
        for attempt in tuple(worker.attempts):
            self._sweep_attempt(attempt, now)
        if worker.ejected_until:
            self._ejection.end_ejection_if_due(worker)
        elif now >= self._timeouts.unresponsive_at(worker):
            self._eject_unresponsive(worker)
        if not worker.ejected_until:
            self._timers.schedule(worker, self._timeouts.unresponsive_at(worker))
        elif not worker.is_checking_health:
            self._timers.schedule(worker, worker.ejected_until)

    def _eject_unresponsive(self, worker: TrackedWorker) -> None:
        """Eject a worker whose start and progress notifications have stopped, and stop counting its attempts as load.

        Responses that a partition lost never arrive, so their attempts would keep the worker saturated afterwards.
        """
        self._ejection.eject(worker, "unresponsive")
        for attempt in tuple(worker.attempts):
            self._attempts.remove_load(attempt)

    def _sweep_attempt(self, attempt: TrackedAttempt, now: int) -> None:
        """Stop counting a stalled attempt at an active worker as load, and lower limits if the attempt starts late."""
        worker = attempt.worker
        if not self._timeouts.has_stalled(attempt, now):
            self._timers.schedule(worker, self._timeouts.next_stall_check(attempt, now))
        elif worker.last_seen > max(attempt.sent_at, attempt.last_seen):
            self._attempts.remove_load(attempt)
        else:
            self._timers.schedule(worker, self._timers.next_pending_sweep())
        if attempt.started_at or attempt.is_late:
            return
        if now >= attempt.late_at:
            self._on_late_start(attempt, now)
        else:
            self._timers.schedule(worker, attempt.late_at)

    def _on_late_start(self, attempt: TrackedAttempt, now: int) -> None:
        """Lower the limits of a worker with a late start, and schedule a check of the request."""
        worker = attempt.worker
        attempt.is_late = True
        self._timers.schedule(attempt.request, now)
        if self._fleet.lacks_queue_signal and attempt.number > 1:
            self._limits.decrease_in_flight_limit()
        if self._fleet.is_large:
            self._late_starts.skip_turns(worker)
        if not self._runs_batches:
            self._limits.cut_to(worker, attempt.load - attempt.request.slots, now)
