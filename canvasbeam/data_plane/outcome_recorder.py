"""Record the timestamps of each request in the router, and count the outcome when the request ends.

`OutcomeRecorder` is the only writer of a process's outcome counters, and changes only the fields `times`, `worker` and
`ring` of a request.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from canvasbeam.data_plane.open_requests import Attempt
from canvasbeam.data_plane.outcomes import (
    Cause,
    LatencyTargets,
    OutcomeCounters,
    RequestEnd,
    RequestOutcome,
    Ring,
    outcome_of,
)
from canvasbeam.data_plane.requests import AnswerState, ClientRequest
from canvasbeam.data_plane.worker_endpoints import WorkerEndpoint
from canvasbeam.errors import ResultCode

UNROUTED = "unrouted"  # label `class` of requests that ended before they were assigned to a request class


class Expectations(Protocol):
    """Latency expectations learned from workers' answers; implemented by the dispatcher's `EngineExpectations`."""

    def expected_ns(self, worker: str, job: str) -> int:
        """Return the time to first token expected when the attempt started, in nanoseconds; 0 = no expectation."""

    def note_event_gap(self, now: int, worker: str, event_gap_ns: float) -> None:
        """Record the gap in nanoseconds between an event of a worker's stream and the previous event."""


@dataclass(slots=True)
class OutcomeRecorder:
    """Records the timestamps and outcomes of the requests of one process; `now_ns` returns the current time."""

    own_region: str
    now_ns: Callable[[], int]
    expectations: Expectations | None = None
    counters: OutcomeCounters = field(default_factory=OutcomeCounters)

    def record_attempt(self, attempt: Attempt, worker: WorkerEndpoint | None) -> None:
        """Record the start of an attempt; `worker` is None if the worker was removed from the endpoint list."""
        request = attempt.dispatch.request
        times = request.times
        times.last_sent_ns = attempt.began_ns
        times.first_sent_ns = times.first_sent_ns or attempt.began_ns
        if self.expectations is not None:
            times.expected_ns = self.expectations.expected_ns(attempt.worker, attempt.dispatch.name)
        request.worker = attempt.worker
        if worker is not None:
            is_own = worker.entry.zone == self.own_region
            request.ring = Ring.OWN_REGION if is_own else Ring.OTHER_REGION

    def record_connection(self, request: ClientRequest) -> None:
        """Record that the request has a connection to the worker."""
        request.times.written_ns = self.now_ns()

    def record_answer(self, request: ClientRequest, events: int = 1) -> None:
        """Record that a worker's complete answer, or `events` events of a worker's stream, are sent to the client."""
        now, before = self.now_ns(), request.times.last_event_ns
        request.times.record_event(now)
        if before and self.expectations is not None:
            self.expectations.note_event_gap(now, request.worker, (now - before) / events)

    def record_end(self, request: ClientRequest) -> None:
        """Count the outcome of a request that has ended."""
        state = request.answer.state
        end = RequestEnd(
            request.local_code,
            is_complete=state is AnswerState.COMPLETE and request.local_code is ResultCode.OK,
            has_client_disconnected=state is AnswerState.CLIENT_DISCONNECTED,
        )
        targets = LatencyTargets(
            request.route.latency_target_ns, request.route.event_gap_target_ns if request.route.streams else 0
        )
        outcome = outcome_of(
            request.times,
            targets,
            end,
            self.now_ns(),
            request_class=request.request_class,
            ring=request.ring,
            attempts=request.attempts_written,
        )
        self.counters.count(outcome)

    def record_rejection(self, code: ResultCode) -> None:
        """Count a request without a route, or not accepted, that this node answered locally with `code`."""
        self.counters.count(RequestOutcome(UNROUTED, Ring.NONE, Cause.REJECTED, code, 0, 0, 0, 0, 0))
