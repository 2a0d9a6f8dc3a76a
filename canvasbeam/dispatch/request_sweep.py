"""Check requests that are due: end those past their deadline, and move those that are stuck at a worker.

A request at a partitioned worker, or at a worker that accepts but never starts the request, would otherwise be stuck
until its deadline. In a large fleet, requests in workers' queues move to workers with capacity.

Keeps no state.
"""

from __future__ import annotations

from math import inf

from canvasbeam.dispatch.attempts import Attempts
from canvasbeam.dispatch.late_starts import LateStarts
from canvasbeam.dispatch.open_requests import OpenRequests
from canvasbeam.dispatch.part_context import PartContext
from canvasbeam.dispatch.pending_queue import PendingQueue
from canvasbeam.dispatch.records import TrackedAttempt, TrackedRequest
from canvasbeam.dispatch.retry_policy import RetryPolicy
from canvasbeam.dispatch.round_robin import RoundRobinPass
from canvasbeam.dispatch.settings import Effect
from canvasbeam.dispatch.unresponsive import ResponseTimeouts
from canvasbeam.dispatch.worker_choice import WorkerChoice

# A request that has waited in a worker's queue for this many mean service times may move to a worker with capacity.
QUEUE_MOVE_SERVICE_TIMES = 0.1


class RequestSweep:
    """Checks a request at its scheduled time."""

    def __init__(
        self,
        context: PartContext,
        *,
        retries: RetryPolicy,
        choice: WorkerChoice,
        queue: PendingQueue,
        attempts: Attempts,
        requests: OpenRequests,
        late_starts: LateStarts,
        timeouts: ResponseTimeouts,
    ) -> None:
        self._settings = context.settings
        self._current = context.current
        self._timers = context.timers
        self._fleet = context.fleet
        self._estimates = context.estimates
        self._retries = retries
        self._choice = choice
        self._queue = queue
        self._attempts = attempts
        self._requests = requests
        self._late_starts = late_starts
        self._timeouts = timeouts

    def sweep(self, request: TrackedRequest) -> None:
        """End a request past its deadline, check a pending request, or move a request that is stuck at a worker."""
        if request.is_done or request.is_streaming:
            return
        now = self._current.now
        self._timers.schedule(request, request.answer_by)
        is_out_of_attempts = request.is_pending and request.attempts and not self._retries.may_send(request, now)
        if now >= request.answer_by or is_out_of_attempts:
            self._requests.reject_or_fail(request)
        elif request.is_pending:
            self._sweep_pending(request, now)
        else:
            self._sweep_sent(request, now)

    # --- pending requests

    def _sweep_pending(self, request: TrackedRequest, now: int) -> None:
        """Reject a pending request that has lost its value, or rank a request past its latency target last."""
        early_rejection_at = self._early_rejection_at(request)
        if now >= early_rejection_at:
            # The client may retry the rejected request while the answer still has value.
            self._requests.reject_or_fail(request)
            return
        self._timers.schedule(request, early_rejection_at)
        request_class = request.request_class
        if request_class.late_value > 0:
            if not request.rank.is_late and now >= request.first_arrived_at + request_class.latency_target_ns:
                self._queue.rank_last(request)
            if request.attempts or not request.rank.is_late:
                self._timers.schedule(request, self._timers.next_pending_sweep())
        elif not request.possibly_executed() and now >= self._estimates.latest_send_within_target(request):
            self._requests.reject_or_fail(request)
        else:
            self._timers.schedule(request, self._timers.next_pending_sweep())

    def _early_rejection_at(self, request: TrackedRequest) -> float:
        """Return when a request will have been pending for `early_rejection_share` of its latency target."""
        share = self._settings.early_rejection_share
        if not share or request.was_rejected_before:
            return inf
        return request.pending_since + round(share * request.request_class.latency_target_ns)

    # --- requests with an attempt in flight

    def _sweep_sent(self, request: TrackedRequest, now: int) -> None:
        """Move a request that is stuck in a worker's queue or at an unresponsive worker to another worker."""
        open_attempts = request.open_attempts()
        if len(open_attempts) != 1 or not self._settings.limits.cancel:
            return
        attempt = open_attempts[0]
        if attempt.is_cancelled or (self._settings.batches and attempt.counts_as_load):
            return
        if self._is_worthless_in_queue(attempt, now):
            self._requests.reject_or_fail(request)
            return
        if self._should_stay(attempt, now):
            self._timers.schedule(request, self._next_check(attempt, now))
            return
        self._timers.schedule(request, self._timers.next_pending_sweep())
        self._move(attempt, now)

    def _is_worthless_in_queue(self, attempt: TrackedAttempt, now: int) -> bool:
        """Return True if a queued request is too late to have value and only delays other requests in the queue."""
        request = attempt.request
        return (
            self._fleet.lacks_queue_signal
            and attempt.is_queued_late()
            and not request.request_class.late_value
            and now >= self._estimates.latest_send_within_target(request)
        )

    def _should_stay(self, attempt: TrackedAttempt, now: int) -> bool:
        """Return True if an attempt should stay at its worker."""
        return (
            attempt.counts_as_load
            and not attempt.worker.ejected_until
            and not self._timeouts.has_stalled(attempt, now)
            and not self._should_leave_queue(attempt, now)
        )

    def _next_check(self, attempt: TrackedAttempt, now: int) -> float:
        """Return the time of the next check of an attempt that stays at its worker."""
        if self._fleet.is_large and attempt.is_queued_late():
            return self._timers.next_pending_sweep()  # the request may be moved once queues are short again
        return self._timeouts.next_stall_check(attempt, now)

    def _should_leave_queue(self, attempt: TrackedAttempt, now: int) -> bool:
        """Return True if a request that is late in a worker's queue may be moved to the next worker."""
        if not attempt.is_queued_late():
            return False
        effect = attempt.request.request_class.effect
        if self._fleet.has_live_weights:
            wait = QUEUE_MOVE_SERVICE_TIMES * self._estimates.mean_ns()
            return effect is not Effect.UNSAFE and now >= attempt.sent_at + wait
        return effect is Effect.KEYED and self._fleet.is_large and self._late_starts.are_queues_short()

    def _move(self, attempt: TrackedAttempt, now: int) -> None:
        """Hedge a stuck request at another worker if permitted, or cancel its attempt so that a retry can follow."""
        request = attempt.request
        if self._settings.limits.second_copies:
            worker = self._choice.choose(request, RoundRobinPass(), now)
            if worker is not None:
                self._attempts.start(request, worker)
                if not attempt.started_at:
                    self._attempts.cancel(attempt)
        elif request.request_class.effect is not Effect.UNSAFE and self._retries.may_resend_after(attempt, now):
            self._attempts.cancel(attempt)
