"""Run attempts: an attempt is one exchange of a request with one worker, from its start to its outcome.

Only `AttemptRunner` writes requests to workers and changes attempts. `AttemptRunner` checks the rules for an attempt
(the table in docs/design/hardening/calls.md) immediately before the first byte is written, even if the dispatcher
requested the attempt. `AttemptRunner` never chooses a worker, and sends a client only answers that a worker gave.
"""

from __future__ import annotations

from collections.abc import Callable

from canvasbeam.data_plane.background_tasks import BackgroundTasks
from canvasbeam.data_plane.exchange import Exchange, ExchangeResult
from canvasbeam.data_plane.open_requests import Attempt, Dispatch, DispatchTable
from canvasbeam.data_plane.outcome_recorder import OutcomeRecorder
from canvasbeam.data_plane.request_table import RequestTable
from canvasbeam.data_plane.requests import AnswerState, ClientRequest
from canvasbeam.data_plane.streams import StreamForwarder, can_resume
from canvasbeam.data_plane.worker_connections import WorkerConnectError, WorkerConnections
from canvasbeam.data_plane.worker_endpoints import WorkerEndpoints
from canvasbeam.data_plane.worker_request import worker_request
from canvasbeam.dispatch.events import AttemptEnded, Event, Outcome, StreamOpened
from canvasbeam.runtime.logs import get_logger
from canvasbeam.units import MILLISECOND

log = get_logger(__name__)

# Minimum time until the deadline of a request for the request to be written to a worker.
MIN_REMAINING_NS = 5 * MILLISECOND


class AttemptRunner:
    """Starts, stops and ends attempts.

    `add_event` is called with each event for the dispatcher, `resume` with each request whose interrupted stream is to
    be resumed at another worker, and `on_served` with each request that a worker has answered.
    """

    def __init__(
        self,
        *,
        connections: WorkerConnections,
        endpoints: WorkerEndpoints,
        requests: RequestTable,
        dispatches: DispatchTable,
        outcomes: OutcomeRecorder,
        tasks: BackgroundTasks,
        now_ns: Callable[[], int],
        add_event: Callable[[Event], None],
        resume: Callable[[ClientRequest], None],
        on_served: Callable[[ClientRequest], None] | None,
    ) -> None:
        self._connections = connections
        self._endpoints = endpoints
        self._requests = requests
        self._dispatches = dispatches
        self._outcomes = outcomes
        self._tasks = tasks
        self._now_ns = now_ns
        self._add_event = add_event
        self._resume = resume
        self._on_served = on_served

    def start(self, dispatch: Dispatch, worker: str) -> None:
        """Start an attempt; an attempt that the rules forbid ends at once with the outcome `MOOT`."""
        attempt = Attempt(dispatch, len(dispatch.attempts), worker, self._now_ns())
        dispatch.attempts.append(attempt)
        self._outcomes.record_attempt(attempt, self._endpoints.get(worker))
        if not self._may_write(attempt):
            self._end(attempt, Outcome.MOOT)
            return
        attempt.task = self._tasks.start(self._run(attempt))

    def stop(self, attempt: Attempt) -> None:
        """Cancel an attempt; the reset of the attempt's connection stops the worker's work on the request."""
        if attempt.ended:
            return
        written = attempt.written
        if attempt.exchange is not None and not written:
            attempt.dispatch.request.attempts_written -= 1
        if attempt.connection is not None:
            attempt.connection.stream.abort()
        if attempt.task is not None:
            attempt.task.cancel()
        self._end(attempt, Outcome.CANCELLED if written else Outcome.MOOT)

    def stop_unwritten(self) -> None:
        """Stop the attempts of which no byte is written yet and whose worker is no longer live."""
        for dispatch in self._dispatches.all():
            for attempt in dispatch.attempts:
                if not attempt.ended and not attempt.written and not self._endpoints.is_live(attempt.worker):
                    self.stop(attempt)

    def _may_write(self, attempt: Attempt) -> bool:
        """Return True if the rules permit writing the first byte of this attempt now."""
        request = attempt.dispatch.request
        route = request.route
        if attempt.ended or not request.answer.open or not self._endpoints.is_live(attempt.worker):
            return False
        if request.deadline_ns - self._now_ns() < MIN_REMAINING_NS or request.attempts_written >= route.max_attempts:
            return False
        must_run_alone = route.streams or not route.idempotent
        if must_run_alone and self._has_connected_attempt(request):
            return False
        return route.idempotent or not request.may_have_run

    def _has_connected_attempt(self, request: ClientRequest) -> bool:
        """Return True if an attempt of the request has a connection and no outcome yet."""
        entry = self._requests.entry(request)
        return entry is not None and any(attempt.exchange is not None for attempt in entry.attempts_in_flight())

    async def _run(self, attempt: Attempt) -> None:
        request = attempt.dispatch.request
        pool = self._connections.pool(attempt.worker)
        if pool is None:
            self._end(attempt, Outcome.MOOT)
            return
        try:
            connection = await pool.acquire(not request.route.idempotent, request.identity)
        except WorkerConnectError:
            self._end(attempt, Outcome.CONNECT_FAILED)
            return
        if not self._may_write(attempt):
            pool.release(connection)
            self._end(attempt, Outcome.MOOT)
            return
        self._outcomes.record_connection(request)
        forwarder = StreamForwarder(request, lambda: self._on_stream_opened(attempt), self._outcomes.record_answer)
        exchange = Exchange(
            connection, worker_request(request, attempt.worker, self._now_ns()), forwarder, request.memory
        )
        attempt.connection, attempt.exchange = connection, exchange
        request.attempts_written += 1
        try:
            result = await exchange.run()
        except BaseException:
            pool.discard(connection)
            raise
        if exchange.reusable:
            pool.release(connection)
        else:
            pool.discard(connection)
        if not result.written:
            request.attempts_written -= 1
        await self._handle_result(attempt, result)

    async def _handle_result(self, attempt: Attempt, result: ExchangeResult) -> None:
        """Send the worker's answer to the client, or report the failed attempt to the dispatcher for a retry."""
        request = attempt.dispatch.request
        if attempt.ended:
            return
        if result.stream_began:
            await self._handle_stream_result(attempt, result)
        elif result.answer is not None and result.outcome in (Outcome.OK, Outcome.MOOT):
            self._end(attempt, result.outcome, final=True)
            if request.answer.state is AnswerState.WAITING:
                self._outcomes.record_answer(request)
                await request.answer.send_complete(result.answer)
                self._notify_served(request)
            else:
                request.answer.abort()
            self._requests.close(request)
        else:
            request.worker_failure = result.answer or request.worker_failure
            self._end(attempt, result.outcome)
            if attempt.dispatch.awaits_worker:
                self._requests.fail(request)

    async def _handle_stream_result(self, attempt: Attempt, result: ExchangeResult) -> None:
        request = attempt.dispatch.request
        self._end(attempt, result.outcome, final=True)
        if result.outcome is Outcome.OK:
            await request.answer.finish()
            self._notify_served(request)
            self._requests.close(request)
        elif can_resume(request):
            log.info("stream resumed at=another worker", extra={"request_id": request.identity.decode()})
            self._resume(request)
        else:
            request.answer.abort()
            self._requests.close(request)

    def _notify_served(self, request: ClientRequest) -> None:
        if self._on_served is not None:
            self._on_served(request)

    def _on_stream_opened(self, attempt: Attempt) -> None:
        elapsed_ns = self._now_ns() - attempt.began_ns
        self._add_event(StreamOpened(attempt.dispatch.name, attempt.number, attempt.worker, elapsed_ns))

    def _end(self, attempt: Attempt, outcome: Outcome, final: bool = False) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        dispatch = attempt.dispatch
        if not outcome.never_ran:
            dispatch.request.may_have_run = True
        elapsed_ns = self._now_ns() - attempt.began_ns
        dispatch.closed |= final
        self._add_event(AttemptEnded(dispatch.name, attempt.number, attempt.worker, outcome, elapsed_ns, final))
        self._dispatches.remove_if_finished(dispatch)
