"""Open requests, and the one final answer to each.

The table owns every request from the moment it is taken until nothing of it is left, its due time, and the planned
shutdown, which bounds that time. It must never answer a request twice or not at all, and never refuse one that may have
run where a repeat could do harm.
"""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod
from datetime import timedelta

from canvasbeam.dispatch.events import ClientDisconnected, Event, RequestArrived
from canvasbeam.dispatch.settings import Settings
from canvasbeam.runtime.planned_shutdown import Phase, PlannedShutdown, ShutdownTimes
from canvasbeam.scheduler.dispatcher_driver import DispatcherDriver
from canvasbeam.scheduler.limits import ZERO, Limits, nanoseconds, span_of
from canvasbeam.scheduler.loop import Loop, SlotTable
from canvasbeam.scheduler.requests import (
    Answer,
    Attempt,
    DuplicateRequestError,
    FinalAnswer,
    Request,
    ShuttingDownError,
    TooManyRequestsError,
)
from canvasbeam.scheduler.retry_rules import is_rejection_harmless

log = logging.getLogger(__name__)

COUNTERS = ("completed", "rejected", "failed")
# The counter of a class that a final answer adds to.
COUNTED = {
    Answer.SERVED: "completed",
    Answer.REFUSED: "rejected",
    Answer.FAILED: "failed",
    Answer.OVERDUE: "failed",
    Answer.UNUSABLE: "failed",
}


def shutdown_times(limits: Limits) -> ShutdownTimes:
    """Return the limits' times of a planned shutdown."""
    return ShutdownTimes(
        window=nanoseconds(limits.drain_window),
        last_answer=nanoseconds(limits.last_answer),
        leave=nanoseconds(limits.leave),
        assumed_service_time=nanoseconds(limits.usual_service_time),
    )


class RequestTable(ABC):
    """The requests in hand: taken from listeners, answered once."""

    def __init__(self, loop: Loop, settings: Settings, limits: Limits, decisions: DispatcherDriver) -> None:
        self.loop = loop
        self.limits = limits
        self.settings = settings
        self.decisions = decisions
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        self._shutdown = PlannedShutdown(shutdown_times(limits), self._classes)
        self._requests: SlotTable[Request] = SlotTable()
        self._identities: set[str] = set()
        self._done: list[Request] = []
        # Counted where each thing happens, from the start of the process.
        self.answers = dict.fromkeys(Answer, 0)
        self.by_class = {name: dict.fromkeys(COUNTERS, 0) for name in self._classes}  # final answers
        self.pending = 0  # requests taken that are owed their answer

    @abstractmethod
    def _cancel_unexecuted(self, attempt: Attempt) -> None:
        """End an attempt that was not sent, or whose last byte was not: it never ran."""

    def _outcome(self, event: Event) -> None:
        self.decisions.add_outcome(event)
        self.loop.again()

    # --- the listener's side ----------------------------------------------------------------------

    @property
    def open_requests(self) -> int:
        """Requests that are in the table: unanswered ones, and those with an attempt still out."""
        return self._requests.count

    def requests(self) -> list[Request]:
        """Return the requests in the table."""
        return self._requests.items()

    def knows_class(self, name: str) -> bool:
        """Return whether the settings name this class."""
        return name in self._classes

    def submit(self, request: Request) -> None:
        """Take a request: from here on it is owed one answer by its due time."""
        request.due = self._admit(request)
        request.arrived = self.loop.now
        self._identities.add(request.identity)
        self.pending += 1
        request.handle = self._requests.add(request)
        request.deadline = self.loop.at(request.due - self.limits.answer_guard, lambda: self._overdue(request))
        # Guards against crossing the dispatcher: it may use all its time but a quantum, and answers then.
        due = self.decisions.to_dispatcher_time(request.due - self.limits.answer_margin)
        self.decisions.add_arrival(
            RequestArrived(
                request.dispatch_id,
                request.request_class,
                due,
                request.tenant,
                request.key,
                service_hint_ns=nanoseconds(request.service_hint),
                slots=request.slots,
                memory=request.memory,
                repeat=request.repeat,
            )
        )
        self.loop.again()

    def _admit(self, request: Request) -> timedelta:
        """Return when the request is due; raise where it is not taken."""
        if self._requests.count >= self.limits.open_requests:
            self.by_class[request.request_class]["rejected"] += 1
            raise TooManyRequestsError
        # Guards the open request: workers would take the second for a copy of the first.
        if request.identity in self._identities:
            self.by_class[request.request_class]["rejected"] += 1
            raise DuplicateRequestError
        due = self._shutdown.deadline(nanoseconds(self.loop.now), request.request_class, nanoseconds(request.due))
        if due is None:
            self.by_class[request.request_class]["rejected"] += 1
            raise ShuttingDownError
        return span_of(due)

    def client_disconnected(self, request: Request) -> None:
        """End a request whose client left: nothing is owed any more, and what waits for a connection is not sent."""
        if request.answered:
            return
        self._settle(request)
        self._outcome(ClientDisconnected(request.dispatch_id))

    # --- planned shutdown -------------------------------------------------------------------------

    @property
    def phase(self) -> Phase:
        """How far the planned shutdown is."""
        return self._shutdown.phase(nanoseconds(self.loop.now))

    def begin_shutdown(self) -> tuple[timedelta, ...]:
        """Begin at SIGTERM; return when each later phase begins and the process exits; empty the second time.

        Guards every request taken: whatever is open at the last answer is answered then.
        """
        if not self._shutdown.begin(nanoseconds(self.loop.now)):
            return ()
        changes = tuple(map(span_of, self._shutdown.phase_times()))
        self.loop.at(changes[2], self._answer_all)
        return changes

    def _answer_all(self) -> None:
        """Answer all that is open, as the platform's kill is near: what never ran is rejected, the rest fails."""
        for request in self.requests():
            if not request.answered:
                self._out_of_time(request)

    # --- the final answer -------------------------------------------------------------------------

    def _overdue(self, request: Request) -> None:
        """Answer a request that the dispatcher has not answered in time: late is the same as lost."""
        if not request.answered:
            log.warning("request %s was not answered by the decisions in time", request.dispatch_id)
            self._out_of_time(request)

    def _out_of_time(self, request: Request) -> None:
        """Answer in the decisions' stead, and have them stop what is out for it."""
        self._end_by_itself(request, Answer.OVERDUE)
        self._outcome(ClientDisconnected(request.dispatch_id))

    def _end(self, request: Request, kind: Answer, retry_after: timedelta = ZERO) -> None:
        """Give a fixed response: a rejection only where a repeat is harmless."""
        if kind is Answer.REFUSED and not self._harmless(request):
            log.error("the decisions refused request %s, which may have run", request.dispatch_id)
            kind = Answer.FAILED
        self._answer(request, FinalAnswer(kind, retry_after=retry_after))

    def _end_by_itself(self, request: Request, kind: Answer) -> None:
        """End a request that the dispatcher did not: refused where it never ran, else as given."""
        if request.possibly_executed():
            self._end(request, kind)
        else:
            self._end(request, Answer.REFUSED, self.limits.retry_after)

    def _harmless(self, request: Request) -> bool:
        return is_rejection_harmless(request, self._classes[request.request_class])

    def _answer(self, request: Request, answer: FinalAnswer) -> None:
        if request.answered:
            return
        self.answers[answer.kind] += 1
        self.by_class[request.request_class][COUNTED[answer.kind]] += 1
        if answer.kind is Answer.SERVED:
            self._shutdown.record_service_time(request.request_class, nanoseconds(self.loop.now - request.arrived))
        else:
            self._log_fixed(request, answer)
        self._settle(request)
        request.answer(answer)

    def _log_fixed(self, request: Request, answer: FinalAnswer) -> None:
        tried = ", ".join(
            f"{attempt.worker} {attempt.outcome.value if attempt.outcome else 'out'}" for attempt in request.attempts
        )
        left = (request.due - self.loop.now).total_seconds()
        log.info("%s %s, %.3f s left, tried: %s", request.request_class, answer.kind.value, left, tried or "none")

    def _settle(self, request: Request) -> None:
        """Owe nothing from here on, and stop attempts that were not written completely.

        Guards against an attempt for a client that has left: it begins with its last byte, which may still wait
        here for its connection, as proof that it never ran, or for room in the kernel.
        """
        self.pending -= not request.answered
        request.answered = True
        self.loop.cancel(request.deadline)
        for attempt in request.open_attempts():
            if not attempt.whole:
                self._cancel_unexecuted(attempt)
        self._forget(request)

    def _forget(self, request: Request) -> None:
        if request.answered and not request.open_attempts():
            self._done.append(request)
            self.loop.again()

    def _remove_done(self, done: list[Request]) -> None:
        """Free the slots of requests that are answered and have no attempt out.

        Guards the dispatcher's count of attempts: a request that ended in this very pass may still be sent by the
        dispatcher, which must then hear how that attempt ended. It leaves once the dispatcher knows.
        """
        for request in done:
            if not request.open_attempts() and self._requests.get(request.handle) is request:
                self._requests.remove(request.handle)
                self._identities.discard(request.identity)
