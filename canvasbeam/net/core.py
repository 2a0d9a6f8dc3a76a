"""The request table, and the only caller of the decision module.

It owns every request from the moment it is taken to its one final answer, the attempts made for it, the
list of targets as last told, and the seam to the module: events in, actions out, once a pass. It speaks no
protocol: a listener submits requests and is handed answers, a carrier makes forwards and reports how they
ended. It must never touch a socket, never choose a target, and never answer a request twice or not at all.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Protocol

from canvasbeam import interface as ci
from canvasbeam.choice import Dispatcher
from canvasbeam.decide.shutdown import Phase, PlannedShutdown, ShutdownTimes
from canvasbeam.interface import Effect, Outcome, WorkerState
from canvasbeam.net.limits import ZERO, Limits, nanoseconds, span_of
from canvasbeam.net.loop import Deadline, Loop, SlotTable

log = logging.getLogger(__name__)


class Answer(Enum):
    """The kinds of final answer."""

    SERVED = "served"
    REFUSED = "refused"  # a repeat is harmless
    FAILED = "failed"
    OVERDUE = "overdue"  # failed for want of time
    UNUSABLE = "unusable"  # a target found fault with the request itself


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """The one final answer to a request."""

    kind: Answer
    result: bytes = b""
    come_back: timedelta = ZERO


@dataclass(frozen=True, slots=True)
class Target:
    """One member of the target group. The name is its identity; the address may change."""

    name: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    state: WorkerState
    weight: float
    started: timedelta | None


@dataclass(slots=True, eq=False)
class Attempt:
    """One forward of a request to a target, from the module's Send to its outcome."""

    request: Request
    number: int
    target: str
    begun: timedelta
    # The less a job may be repeated, the more the carrier does to prove that a broken forward never ran.
    effect: Effect = Effect.SAFE
    written: timedelta | None = None  # when its bytes were first given to the connection
    outcome: Outcome | None = None
    deadline: Deadline | None = None
    carrier: object = None  # whatever the carrier keeps with it
    whole: bool = False  # its last byte was taken by the kernel


@dataclass(slots=True, eq=False)
class Request:
    """One request: what the module is told of it, and what only its listener and carrier read."""

    identity: str  # as the client names it, unlike any other that is open
    job_class: str
    due: timedelta
    payload: object
    answer: Callable[[FinalAnswer], None]
    tenant: str | None = None
    key: str | None = None
    slots: float = 1.0
    memory: float = 0.0
    repeat: bool = False
    work_hint: timedelta = ZERO  # the client's guess at the work; zero for none
    handle: int = 0
    answered: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    deadline: Deadline | None = None
    came: timedelta = ZERO

    @property
    def job(self) -> str:
        """The name under which the module knows it."""
        return str(self.handle)

    def out(self) -> list[Attempt]:
        """Attempts without an outcome."""
        return [each for each in self.attempts if each.outcome is None]

    def risky(self) -> list[Attempt]:
        """Attempts that may have run, or may yet."""
        return [each for each in self.attempts if each.outcome is None or not each.outcome.never_ran]


class Carrier(Protocol):
    """What makes forwards and probes. It reports to the core, also during these calls."""

    def send(self, attempt: Attempt, target: Target) -> None:
        """Start a forward."""

    def withdraw(self, attempt: Attempt) -> bool:
        """Stop a forward without a report; whether its last byte had been written."""

    def probe(self, target: Target) -> None:
        """Check on a target, and report the result once."""

    def close_idle(self, target: str) -> None:
        """Close the idle connections to a target."""


class TooManyRequests(Exception):
    """No more requests are taken."""


class ShuttingDown(Exception):
    """The process ends, and the request could not be answered before it does; it was not taken."""


class DuplicateRequest(Exception):
    """Another request with this identity has no answer yet, or is still out at a target."""


# How a final answer is counted in the figures, by class.
COUNTED = {
    Answer.SERVED: "completed", Answer.REFUSED: "rejected", Answer.FAILED: "failed", Answer.OVERDUE: "failed",
    Answer.UNUSABLE: "failed",
}  # fmt: skip


class Core:
    """Requests in, answers out; in between the module decides."""

    def __init__(self, loop: Loop, settings: ci.Settings, limits: Limits, seed: int, born: timedelta) -> None:
        """`born` is the Unix time at which the loop's clock stood at zero.

        The module's clock is Unix time as it was then plus what the monotonic clock has counted since, so a
        target's start maps to the same number in every list and is never taken for a new one.
        """
        self.loop = loop
        self.limits = limits
        self.settings = settings
        self.targets: dict[str, Target] = {}
        self.carrier: Carrier | None = None
        self.answers = dict.fromkeys(Answer, 0)
        self.ended = dict.fromkeys(Outcome, 0)  # forwards by outcome
        self.probed = dict.fromkeys(Outcome, 0)  # probes by outcome
        self.listed_at = ZERO  # when discovery last told anything
        self.in_maintenance: set[str] = set()  # draining for the module, whatever discovery says
        self._returned: dict[str, timedelta] = {}  # left maintenance: a new start, so cold
        self.lists_lost = 0
        self._told = False  # by discovery; before that the list is what the process before held
        self._born = born
        self._seed = seed
        self._classes = {each.name: each for each in settings.classes}
        # Counted where each thing happens, from the start of the process: final answers by class, forwards
        # written whole, and requests taken that are owed their answer.
        self.by_class = {name: dict.fromkeys(("completed", "rejected", "failed"), 0) for name in self._classes}
        self.forwarded = 0
        self.pending = 0
        times = ShutdownTimes(
            window=nanoseconds(limits.drain_window),
            last_answer=nanoseconds(limits.last_answer),
            leave=nanoseconds(limits.leave),
            usual=nanoseconds(limits.usual_service_time),
        )
        self._shutdown = PlannedShutdown(times, self._classes)
        self._requests: SlotTable[Request] = SlotTable()
        self._identities: set[str] = set()
        self._lists: list[ci.Event] = []
        self._outcomes: list[ci.Event] = []
        self._arrivals: list[ci.Event] = []
        self._done: list[Request] = []
        self._dispatcher = Dispatcher(settings, seed)

    # --- the listener's side ----------------------------------------------------------------------

    @property
    def open_requests(self) -> int:
        """Requests that are in the table: unanswered ones, and those with a forward still out."""
        return self._requests.count

    def requests(self) -> list[Request]:
        """The requests in the table."""
        return self._requests.items()

    def can_serve(self) -> bool:
        """Whether there is a target to send to.

        Guards a restart on a `known` list that is out of date: until discovery has told its own, a target counts
        only while it was not found dead.
        """
        dead = () if self._told else self._dispatcher.resting()
        return any(self._is_live(name) and name not in dead for name in self.targets)

    def knows_class(self, name: str) -> bool:
        """Whether the settings name this class."""
        return name in self._classes

    def submit(self, request: Request) -> None:
        """Take a request: from here on it is owed one answer by its due time."""
        if self._requests.count >= self.limits.open_requests:
            self.by_class[request.job_class]["rejected"] += 1
            raise TooManyRequests
        # Guards the open request: targets would take the second for a copy of the first.
        if request.identity in self._identities:
            self.by_class[request.job_class]["rejected"] += 1
            raise DuplicateRequest
        request.came = self.loop.now
        due_ns = self._shutdown.due(nanoseconds(self.loop.now), request.job_class, nanoseconds(request.due))
        if due_ns is None:
            self.by_class[request.job_class]["rejected"] += 1
            raise ShuttingDown
        request.due = span_of(due_ns)
        self._identities.add(request.identity)
        self.pending += 1
        request.handle = self._requests.add(request)
        request.deadline = self.loop.at(request.due - self.limits.answer_guard, lambda: self._overdue(request))
        # Guards against crossing the module: it may use all its time but a quantum, and answers then.
        due = self._to_module(request.due - self.limits.answer_margin)
        self._arrivals.append(
            ci.JobArrived(
                request.job, request.job_class, due, request.tenant, request.key,
                work_hint_ns=nanoseconds(request.work_hint), slots=request.slots,
                memory=request.memory, repeat=request.repeat,
            )
        )  # fmt: skip
        self.loop.again()

    # --- the planned end --------------------------------------------------------------------------

    @property
    def phase(self) -> Phase:
        """How far the planned end is."""
        return self._shutdown.phase(nanoseconds(self.loop.now))

    def begin_shutdown(self) -> tuple[timedelta, ...]:
        """SIGTERM: when each phase after the announcement begins, and when the process leaves; empty the second time.

        Guards every request taken: whatever is open at the last answer is answered then.
        """
        if not self._shutdown.begin(nanoseconds(self.loop.now)):
            return ()
        changes = tuple(map(span_of, self._shutdown.changes()))
        self.loop.at(changes[2], self._answer_all)
        return changes

    def _answer_all(self) -> None:
        """The platform's kill is near: what never ran is refused, the rest fails."""
        for request in self.requests():
            if not request.answered:
                self._out_of_time(request)

    def hang_up(self, request: Request) -> None:
        """The client left: nothing is owed any more, and what waits for a connection is not sent."""
        if request.answered:
            return
        self._settle(request)
        self._outcome(ci.ClientGone(request.job))

    # --- the target group's side ------------------------------------------------------------------

    def listed(self, kind: ci.ListKind, targets: Iterable[Target], version: int) -> None:
        """Take what discovery tells; a target missing from a whole list is gone."""
        self.listed_at = self.loop.now
        self._told |= kind is not ci.ListKind.WARM_COPY
        told = {each.name: each for each in targets}
        if kind is not ci.ListKind.CHANGES:
            for name in [name for name in self.targets if name not in told]:
                self._drop(name)
        for name, target in told.items():
            if target.state is WorkerState.GONE:
                self._drop(name)
            else:
                self.targets[name] = target
        self._lists.append(ci.WorkersListed(kind, tuple(map(self._entry, told.values())), version))
        self._stop_unsent()

    def _stop_unsent(self) -> None:
        """Guards against sending to a target that began to drain while the connection was coming up."""
        for request in self.requests():
            for attempt in request.out():
                if attempt.written is None and not self._is_live(attempt.target):
                    self._moot(attempt)
        self.loop.again()

    def enter_maintenance(self, name: str) -> None:
        """From this pass on the target counts as draining, whatever discovery lists."""
        self.in_maintenance.add(name)
        self._tell_again(name)

    def leave_maintenance(self, name: str, started: timedelta) -> None:
        """The target gets requests again, as a process that started then: it is eased in as a cold one."""
        self.in_maintenance.discard(name)
        self._returned[name] = started
        self._tell_again(name)

    def _tell_again(self, name: str) -> None:
        target = self.targets.get(name)
        if target is not None:
            self._lists.append(ci.WorkersListed(ci.ListKind.CHANGES, (self._entry(target),)))
        self._stop_unsent()

    def list_lost(self) -> None:
        """A call to discovery failed; the list stays."""
        self.lists_lost += 1
        self._lists.append(ci.WorkersListed(ci.ListKind.LOST))
        self.loop.again()

    def _drop(self, name: str) -> None:
        self._returned.pop(name, None)
        if self.targets.pop(name, None) is not None and self.carrier is not None:
            self.carrier.close_idle(name)

    def _is_live(self, name: str) -> bool:
        target = self.targets.get(name)
        return target is not None and target.state is WorkerState.LIVE and name not in self.in_maintenance

    def _entry(self, target: Target) -> ci.WorkerEntry:
        state = target.state
        if state is WorkerState.LIVE and target.name in self.in_maintenance:
            state = WorkerState.DRAINING
        starts = [each for each in (target.started, self._returned.get(target.name)) if each is not None]
        started = self._to_module(max(starts)) if starts else 0
        return ci.WorkerEntry(target.name, target.zone, target.kind, target.cell, state, target.weight, started)

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
        cls = self._classes[request.job_class]
        if request.answered or attempt.outcome is not None or self.loop.now >= request.due:
            return False
        others = [each for each in request.risky() if each is not attempt and each.written is not None]
        if any(each.outcome is None for each in others) and not self.settings.limits.second_copies:
            return False
        if not others or cls.effect is Effect.SAFE:
            return True
        if cls.effect is Effect.UNSAFE:
            return False
        first = min(each.written for each in others if each.written is not None)
        in_window = self.loop.now < first + span_of(cls.window_ns)
        return in_window and all(self._same_group(cls.scope, each.target, attempt.target) for each in others)

    def _same_group(self, scope: ci.Scope, one: str, other: str) -> bool:
        if scope is ci.Scope.ALL or one == other:
            return True
        first, second = self.targets.get(one), self.targets.get(other)
        if first is None or second is None:
            return False
        return first.zone == second.zone if scope is ci.Scope.ZONE else first.cell == second.cell

    def attempt_written(self, attempt: Attempt) -> None:
        """The carrier begins to write the forward."""
        attempt.written = self.loop.now

    def attempt_sent_whole(self, attempt: Attempt) -> None:
        """The kernel took the forward's last byte."""
        if not attempt.whole:
            attempt.whole = True
            self.forwarded += 1

    def avoided(self) -> int:
        """Targets in the list that get nothing new now: draining, in maintenance, or rested by the decisions."""
        resting = set(self._dispatcher.resting())
        return sum(not self._is_live(name) or name in resting for name in self.targets)

    def attempt_started(self, attempt: Attempt) -> None:
        """The target says that the job runs."""
        if attempt.outcome is None:
            self._outcome(ci.JobStarted(attempt.request.job, attempt.number, attempt.target))

    def attempt_progressed(self, attempt: Attempt, done: float) -> None:
        """The target says how far the job is."""
        if attempt.outcome is None:
            self._outcome(ci.JobProgressed(attempt.request.job, attempt.number, attempt.target, done))

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
        self._outcome(
            ci.AttemptEnded(
                request.job, attempt.number, attempt.target, outcome,
                nanoseconds(self.loop.now - attempt.begun), request.answered, report=report,
            )
        )  # fmt: skip
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
        self._outcome(ci.ProbeEnded(target, outcome, nanoseconds(elapsed), report))

    def _outcome(self, event: ci.Event) -> None:
        self._outcomes.append(event)
        self.loop.again()

    def _moot(self, attempt: Attempt) -> None:
        """End a forward that was not sent, or whose last byte was not: it never ran."""
        written = self.carrier is not None and self.carrier.withdraw(attempt)
        self.attempt_ended(attempt, Outcome.CANCELLED if written else Outcome.MOOT)

    # --- the module -------------------------------------------------------------------------------

    def end_of_pass(self) -> None:
        """Give the module what has come in: discovery, then outcomes, then new requests."""
        done, self._done = self._done, []
        if self._lists or self._outcomes or self._arrivals:
            self._decide()
        # Guards the module's count of attempts: a request that ended in this very pass may still be sent by
        # the module, which must then hear how that attempt ended. It leaves once the module knows.
        for request in done:
            if not request.out() and self._requests.get(request.handle) is request:
                self._requests.remove(request.handle)
                self._identities.discard(request.identity)

    def _decide(self) -> None:
        events = self._lists + self._outcomes + self._arrivals
        self._lists, self._outcomes, self._arrivals = [], [], []
        try:
            actions = self._dispatcher.handle(self._to_module(self.loop.now), events)
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
        self._dispatcher = Dispatcher(self.settings, self._seed)
        self._lists, self._outcomes, self._arrivals = [], [], []
        for request in self.requests():
            self._end_by_itself(request, Answer.FAILED)
            for attempt in request.out():
                self._moot(attempt)
        entries = tuple(map(self._entry, self.targets.values()))
        self._outcomes = []
        self._lists = [ci.WorkersListed(ci.ListKind.WARM_COPY, entries)]
        self.loop.again()

    def _act(self, action: ci.Action) -> None:  # noqa: PLR0912 - one case for each action
        match action:
            case ci.Send(job, worker, timeout):
                self._send(self._find(job), worker, timeout)
            case ci.Refuse(job, come_back):
                request = self._find(job)
                if request is not None:
                    self._end(request, Answer.REFUSED, min(span_of(come_back), self.limits.come_back))
            case ci.Fail(job):
                request = self._find(job)
                if request is not None:
                    waited = any(each.outcome in (None, Outcome.TIMED_OUT) for each in request.attempts)
                    self._end(request, Answer.OVERDUE if waited else Answer.FAILED)
            case ci.Cancel(job, number):
                request = self._find(job)
                if request is not None and number < len(request.attempts):
                    attempt = request.attempts[number]
                    if attempt.outcome is None:
                        self._moot(attempt)
            case ci.SetTimer(token, when):
                self.loop.at(self.from_module(when), lambda: self._outcome(ci.TimerFired(token)))
            case ci.Probe(worker):
                target = self.targets.get(worker)
                if target is None or self.carrier is None:
                    self.probe_ended(worker, Outcome.CONNECT_FAILED, ZERO)
                else:
                    self.carrier.probe(target)
            case ci.CloseIdle(worker):
                if self.carrier is not None:
                    self.carrier.close_idle(worker)
            case ci.Log(text):
                log.info("%s", text)
            case ci.TellPeer() | ci.Watch() | ci.FetchList():
                pass  # there are no peers, and the target group always watches

    def _find(self, job: str) -> Request | None:
        return self._requests.get(int(job))

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

    def _time_out(self, attempt: Attempt) -> None:
        """Stop waiting for a forward. One that was not written in full never ran."""
        if attempt.outcome is None:
            written = self.carrier is not None and self.carrier.withdraw(attempt)
            self.attempt_ended(attempt, Outcome.TIMED_OUT if written else Outcome.MOOT)

    # --- the final answer -------------------------------------------------------------------------

    def _overdue(self, request: Request) -> None:
        """Guards against a request that the module has not answered in time: late is the same as lost."""
        if not request.answered:
            log.warning("request %s was not answered by the decisions in time", request.job)
            self._out_of_time(request)

    def _out_of_time(self, request: Request) -> None:
        """Answer in the decisions' stead, and have them stop what is out for it."""
        self._end_by_itself(request, Answer.OVERDUE)
        self._outcome(ci.ClientGone(request.job))

    def _end(self, request: Request, kind: Answer, come_back: timedelta = ZERO) -> None:
        """Give a fixed response: a refusal only where a repeat is harmless."""
        if kind is Answer.REFUSED and not self._harmless(request):
            log.error("the decisions refused request %s, which may have run", request.job)
            kind = Answer.FAILED
        self._answer(request, FinalAnswer(kind, come_back=come_back))

    def _end_by_itself(self, request: Request, kind: Answer) -> None:
        """End a request that the module did not: refused where it never ran, else as given."""
        if request.risky():
            self._end(request, kind)
        else:
            self._end(request, Answer.REFUSED, self.limits.come_back)

    def _harmless(self, request: Request) -> bool:
        cls = self._classes[request.job_class]
        keyed = cls.effect is Effect.KEYED and cls.scope is ci.Scope.ALL
        return not request.risky() or cls.effect is Effect.SAFE or keyed

    def _answer(self, request: Request, answer: FinalAnswer) -> None:
        if not request.answered:
            self.answers[answer.kind] += 1
            self.by_class[request.job_class][COUNTED[answer.kind]] += 1
            if answer.kind is Answer.SERVED:
                self._shutdown.served(request.job_class, nanoseconds(self.loop.now - request.came))
            else:
                self._log_fixed(request, answer)
            self._settle(request)
            request.answer(answer)

    def _log_fixed(self, request: Request, answer: FinalAnswer) -> None:
        tried = ", ".join(f"{each.target} {each.outcome.value if each.outcome else 'out'}" for each in request.attempts)
        left = (request.due - self.loop.now).total_seconds()
        log.info("%s %s, %.3f s left, tried: %s", request.job_class, answer.kind.value, left, tried or "none")

    def _settle(self, request: Request) -> None:
        """Nothing is owed from here on; a forward that was not written whole is stopped.

        Guards against an attempt for a client that has left: it begins with its last byte, which may still wait
        here for its connection, as proof that it never ran, or for room in the kernel.
        """
        self.pending -= not request.answered
        request.answered = True
        self.loop.cancel(request.deadline)
        for attempt in request.out():
            if not attempt.whole:
                self._moot(attempt)
        self._forget(request)

    def _forget(self, request: Request) -> None:
        if request.answered and not request.out():
            self._done.append(request)
            self.loop.again()

    # --- the module's clock -----------------------------------------------------------------------

    def _to_module(self, instant: timedelta) -> int:
        return nanoseconds(self._born + instant)

    def from_module(self, when: int) -> timedelta:
        """The loop's time for a time of the module."""
        return span_of(when) - self._born
