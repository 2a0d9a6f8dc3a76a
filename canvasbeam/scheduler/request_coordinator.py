"""Attempts and decisions: what is done for the requests in the table.

The coordinator owns the worker table and the attempts, gives the dispatcher its events once a pass, and carries out its
actions. It speaks no protocol: a listener submits requests and is handed answers, a transport makes attempts and
reports how they ended. It must never touch a socket, and never choose a worker.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from datetime import timedelta

from canvasbeam.dispatch.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    FetchWorkerList,
    RejectRequest,
    SendToPeer,
    SetTimer,
    StartAttempt,
    WatchWorkers,
    WriteLog,
)
from canvasbeam.dispatch.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    HealthCheckEnded,
    ListKind,
    Outcome,
    TimerFired,
    WorkerEntry,
    WorkersListed,
)
from canvasbeam.dispatch.settings import Settings
from canvasbeam.scheduler.dispatcher_driver import DispatcherDriver
from canvasbeam.scheduler.limits import ZERO, Limits, nanoseconds, span_of
from canvasbeam.scheduler.loop import Loop
from canvasbeam.scheduler.request_table import RequestTable
from canvasbeam.scheduler.requests import Answer, Attempt, AttemptTransport, FinalAnswer, Request
from canvasbeam.scheduler.retry_rules import may_retry
from canvasbeam.scheduler.worker_table import ListedWorker, WorkerTable

log = logging.getLogger(__name__)


class RequestCoordinator(RequestTable):
    """Requests in, answers out; in between the dispatcher decides."""

    def __init__(self, loop: Loop, settings: Settings, limits: Limits, seed: int, born: timedelta) -> None:
        """`born` is the Unix time at which the loop's clock stood at zero."""
        super().__init__(loop, settings, limits, DispatcherDriver(settings, seed, born))
        self.worker_table = WorkerTable()
        self.workers = self.worker_table.workers
        self.transport: AttemptTransport | None = None
        self.listed_at = ZERO  # when discovery last told anything
        self.lists_lost = 0
        self._is_told = False  # by discovery; before that the list is what the previous process held
        # Counted where each thing happens, from the start of the process.
        self.ended = dict.fromkeys(Outcome, 0)  # attempts by outcome
        self.health_checks_ended = dict.fromkeys(Outcome, 0)  # health checks by outcome
        self.forwarded = 0  # attempts written whole

    # --- the endpoint list ------------------------------------------------------------------

    def listed(self, kind: ListKind, workers: Iterable[ListedWorker], version: int) -> None:
        """Take what discovery tells; a worker missing from a whole list is gone."""
        self.listed_at = self.loop.now
        self._is_told |= kind is not ListKind.WARM_COPY
        listed = {worker.name: worker for worker in workers}
        for name in self.worker_table.update(listed, is_complete=kind is not ListKind.CHANGES):
            if self.transport is not None:
                self.transport.close_idle(name)
        self.decisions.add_list(WorkersListed(kind, tuple(map(self._entry, listed.values())), version))
        self._stop_unsent()

    def _stop_unsent(self) -> None:
        """Stop attempts at workers that began to drain while the connection was coming up."""
        for request in self.requests():
            for attempt in request.open_attempts():
                if attempt.written is None and not self._is_live(attempt.worker):
                    self._cancel_unexecuted(attempt)
        self.loop.again()

    def enter_maintenance(self, name: str) -> None:
        """Count the worker as draining from this pass on, whatever discovery lists."""
        self.worker_table.enter_maintenance(name)
        self._tell_again(name)

    def leave_maintenance(self, name: str, started: timedelta) -> None:
        """Let the worker have requests again, as a process that started then: it warms up."""
        self.worker_table.leave_maintenance(name, started)
        self._tell_again(name)

    def _tell_again(self, name: str) -> None:
        worker = self.workers.get(name)
        if worker is not None:
            self.decisions.add_list(WorkersListed(ListKind.CHANGES, (self._entry(worker),)))
        self._stop_unsent()

    def on_list_lost(self) -> None:
        """Take the failure of a call to discovery; the list stays."""
        self.lists_lost += 1
        self.decisions.add_list(WorkersListed(ListKind.LOST))
        self.loop.again()

    def _is_live(self, name: str) -> bool:
        return self.worker_table.is_live(name)

    def can_serve(self) -> bool:
        """Return whether there is a worker to send to.

        Guards a restart on a `known` list that is out of date: until discovery has told its own, a worker counts
        only while it was not found dead.
        """
        dead = () if self._is_told else self.decisions.ejected_workers()
        return any(self._is_live(name) and name not in dead for name in self.workers)

    def unavailable_workers(self) -> int:
        """Count the workers in the list that get nothing new now: draining, in maintenance, or ejected."""
        resting = set(self.decisions.ejected_workers())
        return sum(not self._is_live(name) or name in resting for name in self.workers)

    def _entry(self, worker: ListedWorker) -> WorkerEntry:
        """Return the worker as the dispatcher is told of it."""
        state = self.worker_table.effective_state(worker)
        start = self.worker_table.effective_start(worker)
        started = 0 if start is None else self.decisions.to_dispatcher_time(start)
        return WorkerEntry(worker.name, worker.zone, worker.kind, worker.cell, state, worker.weight, started)

    # --- reports of the transport -----------------------------------------------------------------------

    def may_send(self, attempt: Attempt) -> bool:
        """Return whether the rules still allow this attempt, at the moment of its first byte.

        Guards against what changed between the dispatcher's decision and the connection that was waited for.
        """
        return self._is_live(attempt.worker) and self.may_finish(attempt)

    def may_finish(self, attempt: Attempt) -> bool:
        """Return whether an attempt may still be written to its last byte, from which on it may run.

        For drains a send counts from its first byte, so the worker's state is not asked again.
        """
        request = attempt.request
        if request.answered or attempt.outcome is not None or self.loop.now >= request.due:
            return False
        second_copies = self.settings.limits.second_copies
        return may_retry(attempt, self._classes[request.request_class], self.loop.now, self.worker_table, second_copies)

    def attempt_written(self, attempt: Attempt) -> None:
        """Note that the transport begins to write the attempt."""
        attempt.written = self.loop.now

    def attempt_sent_whole(self, attempt: Attempt) -> None:
        """Note that the kernel took the attempt's last byte."""
        if not attempt.whole:
            attempt.whole = True
            self.forwarded += 1

    def attempt_started(self, attempt: Attempt) -> None:
        """Take the worker's note that the request runs."""
        if attempt.outcome is None:
            self._outcome(AttemptStarted(attempt.request.dispatch_id, attempt.number, attempt.worker))

    def attempt_progressed(self, attempt: Attempt, done: float) -> None:
        """Take the worker's note of how far the request is."""
        if attempt.outcome is None:
            self._outcome(AttemptProgressed(attempt.request.dispatch_id, attempt.number, attempt.worker, done))

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        report: Mapping[str, float] | None = None,
        result: bytes = b"",
    ) -> None:
        """Take the outcome of an attempt; the first that was served is the request's answer."""
        if attempt.outcome is not None:
            return
        request = attempt.request
        attempt.outcome = outcome
        self.ended[outcome] += 1
        self.loop.cancel(attempt.deadline)
        if outcome is Outcome.OK:
            self._answer(request, FinalAnswer(Answer.SERVED, result))
        elapsed = nanoseconds(self.loop.now - attempt.begun_at)
        self._outcome(
            AttemptEnded(
                request.dispatch_id, attempt.number, attempt.worker, outcome, elapsed, request.answered, report=report
            )
        )
        self._forget(request)

    def attempt_rejected(self, attempt: Attempt, report: Mapping[str, float] | None = None) -> None:
        """Fail a request that a worker found fault with: no other would take it, and the worker is healthy.

        Guards against bad clients: told as errors, three such requests ejected a healthy worker.
        """
        if attempt.outcome is None:
            self._answer(attempt.request, FinalAnswer(Answer.UNUSABLE))
            self.attempt_ended(attempt, Outcome.CANCELLED, report)

    def health_check_ended(
        self, worker: str, outcome: Outcome, elapsed: timedelta, report: Mapping[str, float] | None = None
    ) -> None:
        """Take the result of a health check."""
        self.health_checks_ended[outcome] += 1
        self._outcome(HealthCheckEnded(worker, outcome, nanoseconds(elapsed), report))

    # --- actions of the dispatcher ---------------------------------------------------------------------

    def end_of_pass(self) -> None:
        """Let the dispatcher decide on what has come in, then drop the requests that are done with."""
        done, self._done = self._done, []
        if self.decisions.has_events:
            self._decide()
        if done:
            self._remove_done(done)

    def _decide(self) -> None:
        try:
            actions = self.decisions.decide(self.loop.now)
        except Exception:
            log.exception("the decisions failed; they begin anew")
            self._restart()
            return
        for action in actions:
            try:
                self._act(action)
            except Exception:
                log.exception("could not carry out %r", action)

    def _restart(self) -> None:
        """Answer what is open and go on with a new module that knows the list.

        Guards against a module whose state an exception left half changed: it would lose requests.
        """
        self.decisions.restart()
        for request in self.requests():
            self._end_by_itself(request, Answer.FAILED)
            for attempt in request.open_attempts():
                self._cancel_unexecuted(attempt)
        entries = tuple(map(self._entry, self.workers.values()))
        self.decisions.begin_with(WorkersListed(ListKind.WARM_COPY, entries))
        self.loop.again()

    def _act(self, action: Action) -> None:
        match action:
            case StartAttempt() | RejectRequest() | FailRequest() | CancelAttempt():
                self._act_on_request(action, self._find(action.request_id))
            case SetTimer(token, when):
                self.loop.at(self.decisions.from_dispatcher_time(when), lambda: self._outcome(TimerFired(token)))
            case CheckHealth(worker):
                self._check_health(worker)
            case CloseIdleConnections(worker):
                if self.transport is not None:
                    self.transport.close_idle(worker)
            case WriteLog(text):
                log.info("%s", text)
            case SendToPeer() | WatchWorkers() | FetchWorkerList():
                pass  # there are no peers, and discovery is always watched

    def _act_on_request(
        self, action: StartAttempt | RejectRequest | FailRequest | CancelAttempt, request: Request | None
    ) -> None:
        match action:
            case StartAttempt(_, worker, timeout_ns):
                self._send(request, worker, timeout_ns)
            case RejectRequest(_, retry_after_ns):
                self._reject(request, span_of(retry_after_ns))
            case FailRequest():
                self._fail(request)
            case CancelAttempt(_, number):
                self._cancel(request, number)

    def _find(self, dispatch_id: str) -> Request | None:
        return self._requests.get(int(dispatch_id))

    def _send(self, request: Request | None, worker_name: str, timeout_ns: int) -> None:
        if request is None:
            log.error("the decisions sent a request that is no more")
            return
        effect = self._classes[request.request_class].effect
        attempt = Attempt(request, len(request.attempts), worker_name, self.loop.now, effect)
        # What was not sent in full never came to a worker, and is no attempt to it.
        tries = sum(attempt.outcome is not Outcome.UNSENT for attempt in request.attempts)
        out_of_tries = tries >= self.settings.limits.max_attempts
        request.attempts.append(attempt)
        worker = self.workers.get(worker_name)
        if worker is None or self.transport is None or out_of_tries or not self.may_send(attempt):
            self.attempt_ended(attempt, Outcome.MOOT)
            return
        until = min(request.due, self.loop.now + span_of(timeout_ns)) if timeout_ns > 0 else request.due
        attempt.deadline = self.loop.at(until, lambda: self._time_out(attempt))
        self.transport.send(attempt, worker)

    def _reject(self, request: Request | None, retry_after: timedelta) -> None:
        if request is not None:
            self._end(request, Answer.REFUSED, min(retry_after, self.limits.retry_after))

    def _fail(self, request: Request | None) -> None:
        if request is not None:
            waited = any(attempt.outcome in (None, Outcome.TIMED_OUT) for attempt in request.attempts)
            self._end(request, Answer.OVERDUE if waited else Answer.FAILED)

    def _cancel(self, request: Request | None, number: int) -> None:
        if request is not None and number < len(request.attempts):
            attempt = request.attempts[number]
            if attempt.outcome is None:
                self._cancel_unexecuted(attempt)

    def _check_health(self, worker_name: str) -> None:
        worker = self.workers.get(worker_name)
        if worker is None or self.transport is None:
            self.health_check_ended(worker_name, Outcome.CONNECT_FAILED, ZERO)
        else:
            self.transport.check_health(worker)

    def _cancel_unexecuted(self, attempt: Attempt) -> None:
        """End an attempt that was not sent, or whose last byte was not: it never ran."""
        written = self.transport is not None and self.transport.cancel_attempt(attempt)
        self.attempt_ended(attempt, Outcome.CANCELLED if written else Outcome.MOOT)

    def _time_out(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt. One that was not written in full never ran."""
        if attempt.outcome is None:
            written = self.transport is not None and self.transport.cancel_attempt(attempt)
            self.attempt_ended(attempt, Outcome.TIMED_OUT if written else Outcome.MOOT)
