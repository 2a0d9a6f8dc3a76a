"""Attempts and decisions: what is done for the requests in the table.

The core owns the target table and the attempts, gives the decision module its events once a pass, and carries out its
actions. It speaks no protocol: a listener submits requests and is handed answers, a carrier makes forwards and reports
how they ended. It must never touch a socket, and never choose a target.
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
from canvasbeam.scheduler.decisions import Decisions
from canvasbeam.scheduler.limits import ZERO, Limits, nanoseconds, span_of
from canvasbeam.scheduler.loop import Loop
from canvasbeam.scheduler.repeat_rules import may_repeat
from canvasbeam.scheduler.request_table import RequestTable
from canvasbeam.scheduler.requests import Answer, Attempt, Carrier, FinalAnswer, Request
from canvasbeam.scheduler.target_table import Target, TargetTable

log = logging.getLogger(__name__)


class Core(RequestTable):
    """Requests in, answers out; in between the module decides."""

    def __init__(self, loop: Loop, settings: Settings, limits: Limits, seed: int, born: timedelta) -> None:
        """`born` is the Unix time at which the loop's clock stood at zero."""
        super().__init__(loop, settings, limits, Decisions(settings, seed, born))
        self.table = TargetTable()
        self.targets = self.table.targets
        self.carrier: Carrier | None = None
        self.listed_at = ZERO  # when discovery last told anything
        self.lists_lost = 0
        self._told = False  # by discovery; before that the list is what the previous process held
        # Counted where each thing happens, from the start of the process.
        self.ended = dict.fromkeys(Outcome, 0)  # forwards by outcome
        self.probed = dict.fromkeys(Outcome, 0)  # probes by outcome
        self.forwarded = 0  # forwards written whole

    # --- the target group's side ------------------------------------------------------------------

    def listed(self, kind: ListKind, targets: Iterable[Target], version: int) -> None:
        """Take what discovery tells; a target missing from a whole list is gone."""
        self.listed_at = self.loop.now
        self._told |= kind is not ListKind.WARM_COPY
        told = {each.name: each for each in targets}
        for name in self.table.update(told, is_complete=kind is not ListKind.CHANGES):
            if self.carrier is not None:
                self.carrier.close_idle(name)
        self.decisions.add_list(WorkersListed(kind, tuple(map(self._entry, told.values())), version))
        self._stop_unsent()

    def _stop_unsent(self) -> None:
        """Guards against sending to a target that began to drain while the connection was coming up."""
        for request in self.requests():
            for attempt in request.unfinished():
                if attempt.written is None and not self._is_live(attempt.target):
                    self._moot(attempt)
        self.loop.again()

    def enter_maintenance(self, name: str) -> None:
        """From this pass on the target counts as draining, whatever discovery lists."""
        self.table.enter_maintenance(name)
        self._tell_again(name)

    def leave_maintenance(self, name: str, started: timedelta) -> None:
        """The target gets requests again, as a process that started then: it is eased in as a cold one."""
        self.table.leave_maintenance(name, started)
        self._tell_again(name)

    def _tell_again(self, name: str) -> None:
        target = self.targets.get(name)
        if target is not None:
            self.decisions.add_list(WorkersListed(ListKind.CHANGES, (self._entry(target),)))
        self._stop_unsent()

    def list_lost(self) -> None:
        """A call to discovery failed; the list stays."""
        self.lists_lost += 1
        self.decisions.add_list(WorkersListed(ListKind.LOST))
        self.loop.again()

    def _is_live(self, name: str) -> bool:
        return self.table.is_live(name)

    def can_serve(self) -> bool:
        """Whether there is a target to send to.

        Guards a restart on a `known` list that is out of date: until discovery has told its own, a target counts
        only while it was not found dead.
        """
        dead = () if self._told else self.decisions.ejected_workers()
        return any(self._is_live(name) and name not in dead for name in self.targets)

    def avoided(self) -> int:
        """Targets in the list that get nothing new now: draining, in maintenance, or rested by the decisions."""
        resting = set(self.decisions.ejected_workers())
        return sum(not self._is_live(name) or name in resting for name in self.targets)

    def _entry(self, target: Target) -> WorkerEntry:
        """The target as the decision module is told of it."""
        state = self.table.effective_state(target)
        start = self.table.effective_start(target)
        started = 0 if start is None else self.decisions.to_module(start)
        return WorkerEntry(target.name, target.zone, target.kind, target.cell, state, target.weight, started)

    # --- the carrier's side -----------------------------------------------------------------------

    def may_send(self, attempt: Attempt) -> bool:
        """Whether the rules still allow this forward, asked at the moment of its first byte.

        Guards against what changed between the module's decision and the connection that was waited for.
        """
        return self._is_live(attempt.target) and self.may_finish(attempt)

    def may_finish(self, attempt: Attempt) -> bool:
        """Whether a forward may still be written to its last byte, which makes it an attempt.

        For drains a send counts from its first byte, so the target's state is not asked again.
        """
        request = attempt.request
        if request.answered or attempt.outcome is not None or self.loop.now >= request.due:
            return False
        second_copies = self.settings.limits.second_copies
        return may_repeat(attempt, self._classes[request.job_class], self.loop.now, self.table, second_copies)

    def attempt_written(self, attempt: Attempt) -> None:
        """The carrier begins to write the forward."""
        attempt.written = self.loop.now

    def attempt_sent_whole(self, attempt: Attempt) -> None:
        """The kernel took the forward's last byte."""
        if not attempt.whole:
            attempt.whole = True
            self.forwarded += 1

    def attempt_started(self, attempt: Attempt) -> None:
        """The target says that the job runs."""
        if attempt.outcome is None:
            self._outcome(AttemptStarted(attempt.request.dispatch_id, attempt.number, attempt.target))

    def attempt_progressed(self, attempt: Attempt, done: float) -> None:
        """The target says how far the job is."""
        if attempt.outcome is None:
            self._outcome(AttemptProgressed(attempt.request.dispatch_id, attempt.number, attempt.target, done))

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        report: Mapping[str, float] | None = None,
        result: bytes = b"",
    ) -> None:
        """A forward ended; the first that was served is the request's answer."""
        if attempt.outcome is not None:
            return
        request = attempt.request
        attempt.outcome = outcome
        self.ended[outcome] += 1
        self.loop.cancel(attempt.deadline)
        if outcome is Outcome.OK:
            self._answer(request, FinalAnswer(Answer.SERVED, result))
        elapsed = nanoseconds(self.loop.now - attempt.begun)
        self._outcome(
            AttemptEnded(
                request.dispatch_id, attempt.number, attempt.target, outcome, elapsed, request.answered, report=report
            )
        )
        self._forget(request)

    def attempt_unusable(self, attempt: Attempt, report: Mapping[str, float] | None = None) -> None:
        """A target found fault with the request itself: no other would take it, and the target is well.

        Guards against bad clients: told as errors, three such requests rested a healthy target.
        """
        if attempt.outcome is None:
            self._answer(attempt.request, FinalAnswer(Answer.UNUSABLE))
            self.attempt_ended(attempt, Outcome.CANCELLED, report)

    def probe_ended(
        self, target: str, outcome: Outcome, elapsed: timedelta, report: Mapping[str, float] | None = None
    ) -> None:
        """A probe ended."""
        self.probed[outcome] += 1
        self._outcome(HealthCheckEnded(target, outcome, nanoseconds(elapsed), report))

    # --- the module's actions ---------------------------------------------------------------------

    def end_of_pass(self) -> None:
        """Let the module decide on what has come in, then drop the requests that are done with."""
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
            for attempt in request.unfinished():
                self._moot(attempt)
        entries = tuple(map(self._entry, self.targets.values()))
        self.decisions.begin_with(WorkersListed(ListKind.WARM_COPY, entries))
        self.loop.again()

    def _act(self, action: Action) -> None:
        match action:
            case StartAttempt(request_id, worker, timeout):
                self._send(self._find(request_id), worker, timeout)
            case RejectRequest(request_id, retry_after):
                self._refuse(self._find(request_id), span_of(retry_after))
            case FailRequest(request_id):
                self._fail(self._find(request_id))
            case CancelAttempt(request_id, number):
                self._cancel(self._find(request_id), number)
            case SetTimer(token, when):
                self.loop.at(self.decisions.from_module(when), lambda: self._outcome(TimerFired(token)))
            case CheckHealth(worker):
                self._probe(worker)
            case CloseIdleConnections(worker):
                if self.carrier is not None:
                    self.carrier.close_idle(worker)
            case WriteLog(text):
                log.info("%s", text)
            case SendToPeer() | WatchWorkers() | FetchWorkerList():
                pass  # there are no peers, and the target group always watches

    def _find(self, dispatch_id: str) -> Request | None:
        return self._requests.get(int(dispatch_id))

    def _send(self, request: Request | None, worker: str, timeout: int) -> None:
        if request is None:
            log.error("the decisions sent a request that is no more")
            return
        effect = self._classes[request.job_class].effect
        attempt = Attempt(request, len(request.attempts), worker, self.loop.now, effect)
        # What was not sent in full never came to a target, and is no attempt to it.
        tries = sum(each.outcome is not Outcome.UNSENT for each in request.attempts)
        out_of_tries = tries >= self.settings.limits.max_attempts
        request.attempts.append(attempt)
        target = self.targets.get(worker)
        if target is None or self.carrier is None or out_of_tries or not self.may_send(attempt):
            self.attempt_ended(attempt, Outcome.MOOT)
            return
        until = min(request.due, self.loop.now + span_of(timeout)) if timeout > 0 else request.due
        attempt.deadline = self.loop.at(until, lambda: self._time_out(attempt))
        self.carrier.send(attempt, target)

    def _refuse(self, request: Request | None, retry_after: timedelta) -> None:
        if request is not None:
            self._end(request, Answer.REFUSED, min(retry_after, self.limits.retry_after))

    def _fail(self, request: Request | None) -> None:
        if request is not None:
            waited = any(each.outcome in (None, Outcome.TIMED_OUT) for each in request.attempts)
            self._end(request, Answer.OVERDUE if waited else Answer.FAILED)

    def _cancel(self, request: Request | None, number: int) -> None:
        if request is not None and number < len(request.attempts):
            attempt = request.attempts[number]
            if attempt.outcome is None:
                self._moot(attempt)

    def _probe(self, worker: str) -> None:
        target = self.targets.get(worker)
        if target is None or self.carrier is None:
            self.probe_ended(worker, Outcome.CONNECT_FAILED, ZERO)
        else:
            self.carrier.probe(target)

    def _moot(self, attempt: Attempt) -> None:
        """End a forward that was not sent, or whose last byte was not: it never ran."""
        written = self.carrier is not None and self.carrier.withdraw(attempt)
        self.attempt_ended(attempt, Outcome.CANCELLED if written else Outcome.MOOT)

    def _time_out(self, attempt: Attempt) -> None:
        """Stop waiting for a forward. One that was not written in full never ran."""
        if attempt.outcome is None:
            written = self.carrier is not None and self.carrier.withdraw(attempt)
            self.attempt_ended(attempt, Outcome.TIMED_OUT if written else Outcome.MOOT)
