"""The router: requests in, answers out; in between the dispatcher places them.

`RequestRouter` connects the parts, each of which owns its state:

    request_table.py      the open requests, their deadlines and this node's own answers
    open_requests.py      the dispatches: what the dispatcher knows a request as
    attempt_runner.py     the attempts at workers
    dispatcher_driver.py  the dispatcher, its events and timers
    worker_endpoints.py   the workers
    request_classes.py    the classes that the dispatcher knows

A request has exactly one answer: from a worker, or this node's own. A 503 is only given where no worker ran the request
or may yet run it.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from canvasbeam.data_plane.attempt_runner import AttemptRunner
from canvasbeam.data_plane.background_tasks import BackgroundTasks
from canvasbeam.data_plane.dispatcher_driver import DispatcherDriver, DispatcherFactory
from canvasbeam.data_plane.health_check import check_health
from canvasbeam.data_plane.open_requests import DispatchTable, OpenRequest
from canvasbeam.data_plane.outcome_recorder import OutcomeRecorder
from canvasbeam.data_plane.prompt_headers import read_prompt
from canvasbeam.data_plane.request_classes import RequestClasses
from canvasbeam.data_plane.request_table import RequestTable
from canvasbeam.data_plane.requests import DEFAULT_RETRY_AFTER_NS, AnswerState, ClientRequest
from canvasbeam.data_plane.routes import Configuration
from canvasbeam.data_plane.worker_connections import WorkerConnections
from canvasbeam.data_plane.worker_endpoints import WorkerEndpoint, WorkerEndpoints
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
from canvasbeam.dispatch.events import ClientDisconnected, Event, HealthCheckEnded, Outcome, RequestArrived
from canvasbeam.errors import ResultCode
from canvasbeam.runtime.logs import get_logger
from canvasbeam.units import MILLISECOND, SECOND

log = get_logger(__name__)

# The dispatcher gives up so long before the deadline at the most.
NEAR_DEADLINE_NS = 60 * MILLISECOND
MAX_RETRY_AFTER_NS = SECOND


def monotonic_ns() -> int:
    """Return the time of the dispatcher's clock."""
    return time.monotonic_ns()


class RequestRouter:
    """Takes requests and changes of workers and routes, and carries out the dispatcher's actions."""

    def __init__(
        self,
        make_dispatcher: DispatcherFactory,
        connections: WorkerConnections,
        now_ns: Callable[[], int] = monotonic_ns,
        outcomes: OutcomeRecorder | None = None,
        on_served: Callable[[ClientRequest], None] | None = None,
    ) -> None:
        self.now_ns = now_ns
        self._connections = connections
        self._outcomes = outcomes or OutcomeRecorder("", now_ns)
        self._tasks = BackgroundTasks()
        self._classes = RequestClasses()
        self._endpoints = WorkerEndpoints()
        self._dispatches = DispatchTable()
        self._requests = RequestTable(now_ns, self._stop_dispatches, self._tasks.start, self._outcomes.record_end)
        self._driver = DispatcherDriver(
            make_dispatcher,
            now_ns,
            carry_out=self._carry_out,
            on_failure=self._fail_waiting,
            initial_events=self._initial_events,
        )
        self._attempts = AttemptRunner(
            connections=connections,
            endpoints=self._endpoints,
            requests=self._requests,
            dispatches=self._dispatches,
            outcomes=self._outcomes,
            tasks=self._tasks,
            now_ns=now_ns,
            add_event=self._driver.add_event,
            resume=self._dispatch,
            on_served=on_served,
        )

    # --- the clients' side ------------------------------------------------------------------------

    @property
    def open_requests(self) -> int:
        """Requests without their complete answer."""
        return len(self._requests)

    def submit(self, request: ClientRequest) -> None:
        """Take a request: from here on it is owed one answer."""
        self._requests.open(request)
        self._dispatch(request)

    def end_all(self) -> None:
        """End everything that is open, at the end of the process."""
        for request in self._requests.requests():
            self._requests.fail(request)

    def client_disconnected(self, request: ClientRequest) -> None:
        """Stop the work for a client that closed its connection."""
        request.answer.client_disconnected()
        self._requests.close(request)

    def _dispatch(self, request: ClientRequest) -> None:
        """Give a request to the dispatcher, as a new one or to resume its stream."""
        entry = self._requests.entry(request)
        if entry is None:
            return
        known_classes = len(self._classes)
        if not self._classes.admit(request.route, request.service):
            self._requests.answer_locally(request, ResultCode.REQUEST_REFUSED, "the route was removed")
            return
        if len(self._classes) > known_classes:
            self._driver.add_event(self._classes.as_event())
        dispatch = self._dispatches.add(request)
        entry.dispatches.append(dispatch)
        self._driver.add_event(
            RequestArrived(
                dispatch.name,
                request.request_class,
                request.deadline_ns,
                prompt=read_prompt(request),
                repeat=request.attempts_written > 0,
            )
        )

    def _stop_dispatches(self, entry: OpenRequest) -> None:
        """Send nothing more for a request, and stop what is in flight, before its own answer leaves."""
        for dispatch in entry.dispatches:
            if not dispatch.closed:
                dispatch.closed = True
                self._driver.add_event(ClientDisconnected(dispatch.name))
            for attempt in dispatch.attempts:
                self._attempts.stop(attempt)
            self._dispatches.forget_if_over(dispatch)

    # --- the item table's side --------------------------------------------------------------------

    @property
    def live_workers(self) -> int:
        """Workers that may be sent requests."""
        return self._endpoints.live_count

    def change_endpoints(self, endpoints: list[WorkerEndpoint]) -> None:
        """Take changed endpoints; what waits for a connection to a worker that drains is not sent."""
        self._driver.add_event(self._endpoints.apply(endpoints))
        self._attempts.stop_unwritten()

    def change_configuration(self, configuration: Configuration) -> None:
        """Put another configuration in force for requests that come from now on."""
        self._driver.add_event(self._classes.change_configuration(configuration))

    # --- the dispatcher's actions -----------------------------------------------------------------

    def _carry_out(self, action: Action) -> None:
        match action:
            case StartAttempt(name, worker):
                self._start_attempt(name, worker)
            case CancelAttempt(name, number):
                self._cancel_attempt(name, number)
            case RejectRequest(name, retry_after_ns):
                self._give_up(name, min(retry_after_ns, MAX_RETRY_AFTER_NS) or DEFAULT_RETRY_AFTER_NS)
            case FailRequest(name):
                self._give_up(name, DEFAULT_RETRY_AFTER_NS)
            case SetTimer():
                self._driver.set_timer(action)
            case CheckHealth(worker):
                self._tasks.start(self._check_health(worker))
            case CloseIdleConnections(worker):
                self._connections.close_idle(worker)
            case WriteLog(text):
                log.info("{}", text)
            case SendToPeer() | WatchWorkers() | FetchWorkerList():
                pass  # the item table takes the place of these

    def _start_attempt(self, name: str, worker: str) -> None:
        dispatch = self._dispatches.get(name)
        if dispatch is None:
            log.error("attempt dropped worker={} reason=its request is over", worker)
            return
        self._attempts.start(dispatch, worker)

    def _cancel_attempt(self, name: str, number: int) -> None:
        dispatch = self._dispatches.get(name)
        if dispatch is not None and number < len(dispatch.attempts) and not dispatch.awaits_worker:
            self._attempts.stop(dispatch.attempts[number])

    def _give_up(self, name: str, retry_after_ns: int) -> None:
        """End a request for which the dispatcher does nothing more; near the deadline a worker may still answer."""
        dispatch = self._dispatches.get(name)
        if dispatch is None:
            return
        dispatch.closed = True
        request = dispatch.request
        entry = self._requests.entry(request)
        is_written = entry is not None and any(attempt.written for attempt in entry.attempts_in_flight())
        if is_written and self.now_ns() >= request.deadline_ns - NEAR_DEADLINE_NS:
            dispatch.awaits_worker = True
        else:
            self._requests.fail(request, retry_after_ns)

    async def _check_health(self, worker: str) -> None:
        began_ns = self.now_ns()
        endpoint, pool = self._endpoints.get(worker), self._connections.pool(worker)
        outcome = Outcome.CONNECT_FAILED
        if endpoint is not None and pool is not None:
            outcome = await check_health(pool, worker, endpoint.health_check)
        self._driver.add_event(HealthCheckEnded(worker, outcome, self.now_ns() - began_ns))

    # --- a dispatcher that failed -----------------------------------------------------------------

    def _fail_waiting(self) -> None:
        """Answer the requests of which no answer has begun: the next dispatcher does not know them."""
        for request in self._requests.requests():
            if request.answer.state is AnswerState.WAITING:
                self._requests.fail(request)

    def _initial_events(self) -> tuple[Event, ...]:
        return (self._classes.as_event(), self._endpoints.as_event())
