"""Choose a worker for each request: `Dispatcher` passes events to its parts and returns the resulting actions.

Workers are grouped into priority rings by zone, the dispatcher's own zone first. Requests are spread round-robin over
the best ring with an available worker, and overflow to the next ring only while every worker of the better ring is
saturated or down. A request without an available worker stays pending in the dispatcher, where every worker can still
be chosen, and not in the queue of one worker.

The dispatcher owns no state except its parts; the package docstring lists the events, the parts and the owners of
state. The module is pure: it must never read a clock or use an unseeded random source.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from canvasbeam.dispatch.actions import Action, SetTimer
from canvasbeam.dispatch.collaborators import EngineModel, FleetLimiter
from canvasbeam.dispatch.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClassesChanged,
    ClientDisconnected,
    Event,
    HealthCheckEnded,
    ListKind,
    Outcome,
    RequestArrived,
    StreamOpened,
    TimerFired,
    WorkersListed,
)
from canvasbeam.dispatch.parts import DispatcherParts
from canvasbeam.dispatch.records import EquivalenceKey, TrackedRequest
from canvasbeam.dispatch.round_robin import RoundRobinPass
from canvasbeam.dispatch.settings import Settings
from canvasbeam.dispatch.sweep_timers import SWEEP_TIMER
from canvasbeam.dispatch.worker_watch import WATCH_TIMER

# A request whose time to its deadline is shorter than the longest seen in its class by more than this margin is
# a client's retry.
RETRY_MARGIN_NS = 10_000_000


class Dispatcher:
    """Placement decisions of one process: maps events and the current time to actions."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        fleet_limits: FleetLimiter | None = None,
        engines: EngineModel | None = None,
    ) -> None:
        """Create a dispatcher; `seed` determines the order of workers that are listed together for the first time.

        `fleet_limits` enforces limits over all dispatchers; `engines` models the workers that run language models.
        """
        self._settings = settings
        self._fleet_limits = fleet_limits
        self._engines = engines
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        self._parts = DispatcherParts(settings, seed, fleet_limits, engines)

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Process the events that arrived at time `now` and return actions; a request without an action is pending."""
        parts = self._parts
        parts.current.begin(now)
        parts.slow_start.begin_pass()
        for event in events:
            self._handle_event(event)
        self._dispatch_pending()
        self._arm_sweep()
        return parts.current.actions

    def ejected_workers(self) -> list[str]:
        """Return the names of the currently ejected workers."""
        return [worker.name for worker in self._parts.endpoints.workers.values() if worker.ejected_until]

    def _handle_event(self, event: Event) -> None:
        """Route an event to its handler."""
        match event:
            case RequestArrived():
                self._on_request_arrived(event)
            case AttemptStarted() | AttemptProgressed():
                self._on_attempt_progress(event)
            case AttemptEnded():
                self._on_attempt_ended(event)
            case TimerFired():
                self._on_timer(event.token)
            case WorkersListed():
                self._on_workers_listed(event)
            case HealthCheckEnded():
                self._on_health_check_ended(event)
            case ClientDisconnected():
                self._on_client_disconnected(event)
            case StreamOpened():
                self._on_stream_opened(event)
            case ClassesChanged():
                self._on_classes_changed(event)

    # --- settings and endpoint lists

    def _on_classes_changed(self, event: ClassesChanged) -> None:
        """Replace the request classes; requests that arrived earlier keep their class."""
        self._settings = replace(self._settings, classes=event.classes, kinds=event.kinds)
        self._classes = {request_class.name: request_class for request_class in event.classes}
        self._parts.change_classes(event.classes)

    def _on_workers_listed(self, event: WorkersListed) -> None:
        """Apply an endpoint list, or handle the loss of the watch on discovery."""
        parts, now = self._parts, self._parts.current.now
        if event.list_kind is ListKind.LOST:
            parts.watch.on_lost()
            return
        self._notify_listed(event, now)
        changes = parts.endpoints.apply(event)
        for worker in changes.restarted:
            parts.limits.reset(worker)
            if worker.ejected_until:
                parts.ejection.restore(worker)
        workers = parts.endpoints.workers
        for entry in event.entries:
            parts.queues.learn_weight(workers[entry.worker], entry.weight, now)
        if changes.are_rings_rebuilt:
            parts.cache.forget_unplaceable()
        parts.watch.on_listed(event.list_kind)

    def _notify_listed(self, event: WorkersListed, now: int) -> None:
        """Report the listed workers, and the end of all others, to the fleet-wide limits and to the engine model.

        Both may have outlived an earlier dispatcher that failed at the end of a worker.
        """
        for collaborator in (self._fleet_limits, self._engines):
            if collaborator is None:
                continue
            if event.list_kind is not ListKind.CHANGES:
                collaborator.retain({entry.worker for entry in event.entries})
            for entry in event.entries:
                collaborator.listed(now, entry)

    # --- arrival and departure of requests

    def _on_request_arrived(self, event: RequestArrived) -> None:
        """Enqueue a request that has arrived, or answer at once where its deadline is too close."""
        parts, now = self._parts, self._parts.current.now
        request = self._track(event, now)
        if self._fleet_limits is not None:
            self._fleet_limits.arrived(now, request.request_class.kind or "")
        if self._settings.early_rejection_share and request.first_arrived_at < now - RETRY_MARGIN_NS:
            request.was_rejected_before = True
            request.first_arrived_at = now
        parts.requests.add(request)
        parts.queue.rank_arrival(request)
        if now < request.answer_by:
            parts.queue.add(request)
        else:
            parts.requests.reject_or_fail(request)  # the deadline of a retry may be before the next sweep

    def _track(self, event: RequestArrived, now: int) -> TrackedRequest:
        """Create the record of a request that has just arrived."""
        request_class = self._classes[event.request_class]
        depends_on_prompt = self._engines is not None and event.prompt is not None
        return TrackedRequest(
            id=event.request_id,
            request_class=request_class,
            first_arrived_at=self._parts.queue.first_arrived_at(request_class, event.deadline_ns, now),
            answer_by=event.deadline_ns - self._parts.answer_margin_ns,
            slots=event.slots,
            service_hint_ns=event.service_hint_ns,
            is_over_quota=self._parts.quotas.exceeds_quota(event.tenant, now),
            event=event,
            equivalence_key=(
                request_class.name,
                event.slots,
                event.service_hint_ns,
                event.request_id if depends_on_prompt else "",
            ),
        )

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        """End the request of a client that has disconnected."""
        request = self._parts.requests.find(event.request_id)
        if request is not None and not request.is_done:
            self._parts.requests.close(request)

    # --- progress and outcomes of attempts

    def _on_attempt_progress(self, event: AttemptStarted | AttemptProgressed) -> None:
        """Record that an attempt has started or has made progress."""
        parts = self._parts
        attempt = parts.requests.find_open_attempt(event.request_id, event.attempt)
        if attempt is None:
            return
        parts.ejection.record_activity(attempt.worker)
        attempt.last_seen = parts.current.now
        if parts.attempts.mark_started(attempt):
            parts.outcomes.learn_start(attempt)

    def _on_stream_opened(self, event: StreamOpened) -> None:
        """Bind a request to the attempt that streams its answer to the client, and cancel the other attempts."""
        parts = self._parts
        attempt = parts.requests.find_open_attempt(event.request_id, event.attempt)
        if attempt is None:
            return
        attempt.request.is_streaming = True
        parts.attempts.mark_started(attempt)
        if self._settings.batches:
            parts.ejection.record_activity(attempt.worker)
            parts.limits.raise_to(attempt)
        parts.queue.remove(attempt.request)
        parts.attempts.cancel_all(attempt.request, keep=attempt)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        """Handle the outcome of an attempt: answer, retry, or wait for the attempts that are still in flight."""
        parts = self._parts
        attempt = parts.requests.find_open_attempt(event.request_id, event.attempt)
        if attempt is None:
            return
        attempt.has_ended = True
        attempt.not_executed = event.outcome.never_ran
        attempt.was_unsent = event.outcome is Outcome.UNSENT or (
            event.outcome is Outcome.CONNECT_FAILED and self._settings.batches
        )
        parts.attempts.remove_load(attempt)
        parts.outcomes.learn_end(attempt, event.outcome, event.report)
        request = attempt.request
        if event.final and not request.is_done:
            parts.requests.close(request)
        elif not request.is_done and not request.open_attempts():
            self._retry_or_finish(request)
        else:
            parts.timers.schedule(request, parts.current.now)  # another attempt in flight may be stuck
        parts.requests.forget_if_done(request)

    def _retry_or_finish(self, request: TrackedRequest) -> None:
        """Enqueue a request without open attempts for a retry, or end the request if a retry is not permitted."""
        parts, now = self._parts, self._parts.current.now
        if now < request.answer_by and parts.retries.may_send(request, now):
            parts.queue.add(request)
        else:
            parts.requests.reject_or_fail(request)

    def _on_health_check_ended(self, event: HealthCheckEnded) -> None:
        """Handle the result of a health check of an ejected worker."""
        worker = self._parts.endpoints.workers.get(event.worker)
        if worker is not None:
            self._parts.ejection.on_health_check_ended(worker, event)

    # --- timers and pending requests

    def _on_timer(self, token: str) -> None:
        """Handle a timer: renew the watch on discovery, or sweep the workers and requests that are due."""
        parts = self._parts
        if token == WATCH_TIMER:
            parts.watch.on_timer()
        elif token == SWEEP_TIMER and parts.timers.begin_sweep():
            parts.cache.forget_unplaceable()
            for worker in parts.timers.due_workers():
                parts.worker_sweep.sweep(worker)
            for request in parts.timers.due_requests():
                parts.request_sweep.sweep(request)
            parts.timers.end_sweep()

    def _dispatch_pending(self) -> None:
        """Start an attempt of each pending request that an available worker accepts, best rank first."""
        parts, now = self._parts, self._parts.current.now
        current_pass = RoundRobinPass()
        refused_keys: set[EquivalenceKey] = set()  # equivalence keys of requests that no worker accepts in this pass
        for request in parts.queue.in_order():
            if request.equivalence_key in refused_keys and not request.attempts:
                continue
            worker = parts.choice.choose(request, current_pass, now)
            if worker is not None:
                parts.queue.remove(request)
                parts.attempts.start(request, worker)
                parts.round_robin.rotate(worker, current_pass, now)
            elif not request.attempts:
                refused_keys.add(request.equivalence_key)
                parts.cache.add_unplaceable(request.equivalence_key)
        parts.cache.end_pass(is_queue_empty=not parts.queue)

    def _arm_sweep(self) -> None:
        """Set the sweep timer where a sweep is due earlier than the timer that is already set."""
        timers = self._parts.timers
        if self._parts.queue:
            timers.schedule_sweep_by(timers.next_pending_sweep())
        when = timers.rearm()
        if when is not None:
            self._parts.current.actions.append(SetTimer(SWEEP_TIMER, when))
