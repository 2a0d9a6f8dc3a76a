"""Forwards and health checks: which connection to a worker carries each.

It owns the connections to workers and those kept idle for reuse. It must never send a request a second time, and never
choose or judge a worker.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping

from canvasbeam.dispatch.events import Outcome
from canvasbeam.dispatch.settings import Effect
from canvasbeam.scheduler.limits import ZERO, Limits
from canvasbeam.scheduler.loop import Loop
from canvasbeam.scheduler.request_coordinator import RequestCoordinator
from canvasbeam.scheduler.requests import Attempt
from canvasbeam.scheduler.worker_connection import AttemptConnection, HealthCheck
from canvasbeam.scheduler.worker_discovery import SCARCE, connect
from canvasbeam.scheduler.worker_table import ListedWorker

log = logging.getLogger(__name__)


class AttemptSender:
    """Carries the coordinator's attempts and health checks to workers."""

    def __init__(
        self, loop: Loop, coordinator: RequestCoordinator, limits: Limits, report_names: Mapping[str, str]
    ) -> None:
        self.loop = loop
        self.coordinator = coordinator
        self.limits = limits
        self.report_names = report_names
        self.connections = 0
        self.opened = 0
        self._distrust_until = ZERO
        self._idle: dict[str, list[AttemptConnection]] = {}  # the newest last

    # --- what the coordinator asks for -------------------------------------------------------------------

    def send(self, attempt: Attempt, worker: ListedWorker) -> None:
        """Start an attempt on the newest idle connection, or on a new one."""
        # Guards requests that must not run twice: a kept connection may break at a request's very last byte,
        # when nothing is proved any more. New ones were not seen to.
        is_new = attempt.effect is Effect.UNSAFE and self.loop.now < self._distrust_until
        connection = self._connection_to(worker, is_new, attempt.effect is not Effect.SAFE)
        if connection is None:
            self.coordinator.attempt_ended(attempt, Outcome.MOOT)
        elif isinstance(connection, OSError):
            self.coordinator.attempt_ended(attempt, Outcome.CONNECT_FAILED)
        else:
            attempt.transport = connection
            connection.carry(attempt)

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Stop an attempt by closing its connection; whether its last byte had been written."""
        connection = attempt.transport
        if not isinstance(connection, AttemptConnection) or connection.attempt is not attempt:
            return attempt.written is not None
        written = attempt.written is not None and not connection.unwritten
        connection.attempt = None
        connection.close()
        return written

    def check_health(self, worker: ListedWorker) -> None:
        """Ask a worker for its load report."""
        connection = self._connection_to(worker)
        if isinstance(connection, AttemptConnection):
            connection.carry(HealthCheck(worker.name, self.loop.now))
        else:
            self.coordinator.health_check_ended(worker.name, Outcome.CONNECT_FAILED, ZERO)

    def close_idle(self, worker: str) -> None:
        """Close the idle connections to a worker."""
        for connection in tuple(self._idle.get(worker, ())):
            connection.close()

    # --- connections ------------------------------------------------------------------------------

    @property
    def idle(self) -> int:
        """How many connections stand idle."""
        return sum(map(len, self._idle.values()))

    def on_kept_connection_broken(self) -> None:
        """Distrust kept connections for a while: one broke under a request, before a byte of its answer."""
        self._distrust_until = self.loop.now + self.limits.distrust

    def _connection_to(
        self, worker: ListedWorker, is_new: bool = False, settled: bool = False
    ) -> AttemptConnection | OSError | None:
        """Return an idle connection or a new one; an error where that failed at once, None where none is left.

        A settled one has been quiet for long enough that nothing more of its last answer is to come.
        """
        kept = [] if is_new else self._idle.get(worker.name, [])
        since = self.loop.now - (self.limits.settle if settled else ZERO)
        for connection in reversed(tuple(kept)):  # the newest first
            if connection.idle_since > since:
                continue
            if connection.address == worker.address and connection.is_quiet():
                kept.remove(connection)
                return connection
            connection.close()
        if self.connections >= self.limits.worker_connections and not self._close_oldest_idle():
            log.warning("no connection left for worker %s", worker.name)
            return None
        try:
            sock = connect(worker.address)
        except OSError as error:
            # What is lacking here is no fault of the worker's: it must not be ejected for it.
            return None if error.errno in SCARCE else error
        return AttemptConnection(self, worker, sock)

    def _close_oldest_idle(self) -> bool:
        idle = [kept[0] for kept in self._idle.values() if kept]
        if idle:
            min(idle, key=lambda each: each.idle_since).close()
        return bool(idle)

    def keep(self, connection: AttemptConnection) -> None:
        """Keep an idle connection for reuse while its worker is in the list under that address."""
        worker = self.coordinator.workers.get(connection.worker)
        if worker is None or worker.address != connection.address:
            connection.close()
        else:
            kept = self._idle.setdefault(connection.worker, [])
            kept.append(connection)
            # Guards a worker's table of connections, and ours, against all that were opened for one request each.
            if len(kept) > self.limits.kept_idle:
                kept[0].close()

    def forget(self, connection: AttemptConnection) -> None:
        """Drop a connection that was closed."""
        self.connections -= 1
        kept = self._idle.get(connection.worker)
        if kept is not None and connection in kept:
            kept.remove(connection)
            if not kept:
                del self._idle[connection.worker]
