"""One connection to a worker: connecting, carrying one attempt or health check, reading its last bytes, or idle.

It owns the connection, its one time-out, and the reading of a worker's answer into one outcome. It must never send a
request a second time, and never report an attempt as not executed unless its last byte was provably not written.

A `Worker` is a worker as discovery lists it (`target_table`).
"""

from __future__ import annotations

import json
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from typing import Protocol

from canvasbeam.dispatch.events import Outcome
from canvasbeam.dispatch.settings import Effect
from canvasbeam.scheduler.forwarded_request import ForwardedRequest
from canvasbeam.scheduler.limits import ZERO, Limits
from canvasbeam.scheduler.load_report import read_health_check_report, read_report
from canvasbeam.scheduler.loop import Deadline, Loop, Stream
from canvasbeam.scheduler.request_coordinator import RequestCoordinator
from canvasbeam.scheduler.requests import Attempt
from canvasbeam.scheduler.worker_response import WorkerResponseReader
from canvasbeam.scheduler.worker_table import ListedWorker

# Statuses with which a worker says that the request is invalid, not that the worker failed.
INVALID_REQUEST_STATUSES = {400, 404, 405, 411, 413, 414, 415, 417, 422, 431}
# Statuses that may say, with `X-Rejected: 1`, that the worker is saturated.
SATURATED_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)
# The last states of a request that was not done, as a worker's last line has them.
OUTCOMES_BY_LAST_STATE = {"failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}
LINE_ERRORS = (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError)


@dataclass(slots=True, eq=False)
class HealthCheck:
    """One health check in flight, of the worker of this name."""

    worker: str
    begun_at: timedelta


class ConnectionPool(Protocol):
    """What owns the connections to workers."""

    loop: Loop
    coordinator: RequestCoordinator
    limits: Limits
    report_names: Mapping[str, str]
    connections: int  # open now
    opened: int  # since the start

    def keep(self, connection: AttemptConnection) -> None:
        """Keep an idle connection for reuse."""

    def forget(self, connection: AttemptConnection) -> None:
        """Forget a closed connection."""

    def on_kept_connection_broken(self) -> None:
        """Note that a kept connection broke under a request, before a byte of its answer."""


class AttemptConnection(Stream):
    """One connection to a worker, for one attempt or health check after another.

    It owns the response that is read, and the last byte of a request that must not run twice until it may be written.
    """

    rank = 1

    def __init__(self, owner: ConnectionPool, target: ListedWorker, sock: socket.socket) -> None:
        super().__init__(owner.loop, sock, owner.limits.read, connected=False)
        owner.connections += 1
        owner.opened += 1
        self.owner = owner
        self.worker = target.name
        self.address = target.address
        self.attempt: Attempt | None = None
        self.health_check: HealthCheck | None = None
        self.idle_since = ZERO
        self._busy = False
        self._is_kept = False
        self._withheld = b""  # the last byte of a request that is not idempotent
        self._opened_at = self.loop.now
        self._connect_time = ZERO
        self._response = self._new_response()
        self._timeout: Deadline | None = self.loop.after(owner.limits.connect, self._not_connected, self)

    def _new_response(self) -> WorkerResponseReader:
        """Return the reader of the next response."""
        return WorkerResponseReader(self.owner.limits, self.owner.report_names)

    # --- connecting -------------------------------------------------------------------------------

    def on_connected(self) -> None:
        """Begin to write, at the end of this pass."""
        self.loop.cancel(self._timeout)
        self._connect_time = self.loop.now - self._opened_at
        # Written once every socket of this pass has been read: a client that disconnected in the same
        # pass, or a draining reported in it, must still stop the attempt.
        self.loop.at(self.loop.now, self._begin, self)

    def _not_connected(self) -> None:
        """Give up at the time-out of the connect."""
        self._finish(Outcome.CONNECT_FAILED)
        self.close()

    # --- writing ----------------------------------------------------------------------------------

    def carry(self, assignment: Attempt | HealthCheck) -> None:
        """Take an attempt or a health check; it is written once the connection is up."""
        if isinstance(assignment, Attempt):
            self.attempt = assignment
        else:
            self.health_check = assignment
            self._response.is_health_check = True
        self._busy = True
        if self.connected:
            self.loop.cancel(self._timeout)
            self._begin()

    def _begin(self) -> None:
        """Write what the connection carries, unless the attempt is no longer wanted."""
        host = f"{self.address[0]}:{self.address[1]}"
        if self.health_check is not None:
            left = self.health_check.begun_at + self.owner.limits.check_health - self.loop.now
            self._timeout = self.loop.after(left, self._on_health_check_deadline, self)
            self.write(f"GET /stats HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            return
        attempt = self.attempt
        # Guards against a worker that drains, or a client that disconnects, while the connection comes up.
        if attempt is None or not self.owner.coordinator.may_send(attempt):
            self.attempt = None
            self._be_idle()
            if attempt is not None:
                self.owner.coordinator.attempt_ended(attempt, Outcome.MOOT)
            return
        self._write_request(attempt, host)

    def _write_request(self, attempt: Attempt, host: str) -> None:
        """Write an attempt; of a request that is not idempotent all but the last byte, which follows later."""
        forwarded = attempt.request.payload
        assert isinstance(forwarded, ForwardedRequest)
        self.owner.coordinator.attempt_written(attempt)
        message = forwarded.head(host, attempt.request.due - self.loop.now) + forwarded.body
        if attempt.effect is Effect.SAFE:
            self.write(message)
            return
        # Guards requests that must not run twice: a kept connection that the worker has closed, or a new one that
        # it drops, breaks at the first bytes. While the last byte is still here, it provably did not execute.
        self._withheld = message[-1:]
        self.write(message[:-1])
        self._write_last_later()

    @property
    def unwritten(self) -> int:
        """Bytes that the kernel has not yet taken, the withheld one included."""
        return super().unwritten + len(self._withheld)

    def _write_last_later(self) -> None:
        """Have the last byte written once a broken connection would have shown."""
        limits = self.owner.limits
        span = min(max(limits.proof, 2 * self._connect_time), limits.longest_proof)
        self.loop.after(span, self._write_last, self)

    def _write_last(self) -> None:
        """Write the withheld byte where the connection still stands and the request is still wanted."""
        if not self._withheld or self.attempt is None:
            return
        if not self.owner.coordinator.may_finish(self.attempt):
            # Guards the time for retries and the client's time, which go on while the last byte is withheld.
            self._finish(Outcome.MOOT)
            self.close()
        elif self.is_quiet():
            last, self._withheld = self._withheld, b""
            self.write(last)
        else:  # what has come is read in this pass, and may be the connection's end
            self._write_last_later()

    def on_written(self) -> None:
        """Report that the attempt was written completely."""
        if self.attempt is not None and not self._withheld and self.attempt.written is not None:
            self.owner.coordinator.attempt_sent_whole(self.attempt)

    def _on_health_check_deadline(self) -> None:
        """End a health check that has no answer in time."""
        self._finish(Outcome.TIMED_OUT)
        self.close()

    def _be_idle(self) -> None:
        """Wait for the next attempt, well within the time that the worker allows."""
        self._busy = False
        self._is_kept = True
        self.idle_since = self.loop.now
        self._response = self._new_response()
        self.loop.cancel(self._timeout)
        self._timeout = self.loop.after(self.owner.limits.worker_idle, self.close, self)
        self.owner.keep(self)

    # --- the answer -------------------------------------------------------------------------------

    def on_data(self, data: bytes) -> None:
        """Read the answer."""
        if not self._busy:
            self.close()  # nothing was asked
            return
        response = self._response
        response.feed(data)
        if response.is_stream:
            self._read_lines()
        response.check_size()
        if response.is_malformed:
            # The request may have run: a malformed answer counts as a connection that broke.
            self._break()
        elif response.is_complete:
            self._end_message()
        else:
            # A start that is reported 40 ms late keeps the worker closed to the next request for as long: with
            # requests of 0.1 s on three such workers, 48 a second were served instead of 627.
            self.acknowledge()

    def _read_lines(self) -> None:
        """Read the lines that are complete."""
        while (line := self._response.next_line()) is not None:
            self._read_line(line)

    def _read_line(self, line: bytes) -> None:
        """Apply one JSON object of a worker's answer. After the last one only the framing's end is to come."""
        attempt = self.attempt
        if attempt is None:
            return
        forwarded = attempt.request.payload
        try:
            document = json.loads(line)
            state = document["state"]
            if (
                isinstance(forwarded, ForwardedRequest)
                and document.get("id", forwarded.request_id) != forwarded.request_id
            ):
                raise ValueError("another request's answer")
            if "load" in document:
                self._response.report = read_report(document["load"], self.owner.report_names)
            if state == "started":
                self.owner.coordinator.attempt_started(attempt)
            elif state == "running":
                self.owner.coordinator.attempt_progressed(attempt, float(document.get("share", 0.0)))
            elif state == "done":
                self._finish(Outcome.OK, document["result"].encode())
            elif state in OUTCOMES_BY_LAST_STATE:
                self._finish(OUTCOMES_BY_LAST_STATE[state])
            else:
                raise ValueError("unknown state")
        except LINE_ERRORS:
            self._response.is_malformed = True

    def _end_message(self) -> None:
        """End what the connection carries with its response; keep the connection where it may be used again."""
        response = self._response
        if self.health_check is not None:
            self._end_health_check(response)
        elif self.attempt is not None:
            self._end_attempt(self.attempt, response)
        if self.unwritten or not response.keep_alive or response.has_second:
            self.close()
        else:
            self._be_idle()

    def _end_health_check(self, response: WorkerResponseReader) -> None:
        """Report a health check by its response."""
        is_healthy = response.status == HTTPStatus.OK
        if is_healthy and response.body:
            response.report = read_health_check_report(response.body, self.owner.report_names) or response.report
        self._finish(Outcome.OK if is_healthy else Outcome.ERROR)

    def _end_attempt(self, attempt: Attempt, response: WorkerResponseReader) -> None:
        """Report an attempt by a response without a last line."""
        if response.status == HTTPStatus.OK:
            self._finish(Outcome.BROKEN)  # it ended before the last line
        elif response.status in SATURATED_STATUSES and response.is_rejection:
            self._finish(Outcome.FULL)
        elif response.status in INVALID_REQUEST_STATUSES:
            self.attempt = None
            self.owner.coordinator.attempt_rejected(attempt, response.report)
            self._finish(Outcome.CANCELLED)
        else:
            self._finish(Outcome.ERROR)

    def _finish(self, outcome: Outcome, result: bytes = b"") -> None:
        """Report how the attempt or health check ended, once."""
        attempt, self.attempt = self.attempt, None
        health_check, self.health_check = self.health_check, None
        self.loop.cancel(self._timeout)
        coordinator, report = self.owner.coordinator, self._response.report
        if attempt is not None:
            # Guards against a connection that never ends its framing after the last line.
            self._timeout = self.loop.after(self.owner.limits.worker_tail, self.close, self)
            coordinator.attempt_ended(attempt, outcome, report, result)
        if health_check is not None:
            coordinator.health_check_ended(health_check.worker, outcome, self.loop.now - health_check.begun_at, report)

    # --- the end ----------------------------------------------------------------------------------

    def _break(self) -> None:
        """End on a broken connection. Only what was not written to the last byte is proved not to have executed."""
        unwritten = self.attempt is not None and (self.attempt.written is None or self.unwritten > 0)
        if self._is_kept and self.attempt is not None and not self._response.head_size:
            self.owner.on_kept_connection_broken()
        if not self.connected:
            self._finish(Outcome.CONNECT_FAILED)
        else:
            self._finish(Outcome.UNSENT if unwritten else Outcome.BROKEN)
        self.close()

    def on_eof(self) -> None:
        """Read what the end completes; any other end is a broken connection."""
        if self._response.is_stream and not self._response.is_complete:
            self._response.end()
            self._read_lines()
        self._break()

    def on_broken(self, error: OSError) -> None:
        """End on a broken connection."""
        self._break()

    def on_failure(self) -> None:
        """End as on a broken connection, after handling an event raised."""
        self._break()

    def close(self) -> None:
        """Close the connection, and have its owner forget it."""
        if not self.closed:
            super().close()
            self.loop.cancel(self._timeout)
            self.owner.forget(self)
