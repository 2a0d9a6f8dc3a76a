"""Eject failing workers, and restore them after a health check or with a trial request.

An ejected worker receives no requests for a time that doubles with each ejection, until the worker has done work again.
If health checks are permitted, one must succeed at the end of that time; then the worker is on trial: it receives one
request at a time until a request there starts, progresses or succeeds.

Owns each worker's `ejections`, `ejected_until`, `errors`, `broken_connections`, `on_trial`, `is_checking_health`,
`last_seen` and `last_served`, and the time until which the last error counts as recent.
"""

from __future__ import annotations

from canvasbeam.dispatch.actions import CheckHealth, WriteLog
from canvasbeam.dispatch.events import HealthCheckEnded, Outcome, WorkerState
from canvasbeam.dispatch.part_context import PartContext
from canvasbeam.dispatch.placement_cache import PlacementCache
from canvasbeam.dispatch.records import TrackedRequest, TrackedWorker
from canvasbeam.dispatch.settings import Effect
from canvasbeam.units import SECOND

# Number of errors in a row after which a worker is ejected: an error shows that the process is alive but does no work.
CONSECUTIVE_ERRORS_BEFORE_EJECTION = 3
# Maximum number of errors remembered per worker; in a large fleet each success removes one.
MAX_REMEMBERED_ERRORS = 4
# An error counts as evidence that workers may be failing for this long.
RECENT_ERROR_WINDOW_NS = 10 * SECOND
# In a large fleet with recent errors, a worker may receive requests that must not be repeated for this long after a
# success.
TRUST_AFTER_SUCCESS_NS = 3 * SECOND // 2
# Number of broken connections after which a worker is ejected, if no request there starts, progresses or succeeds in
# between.
BROKEN_CONNECTIONS_BEFORE_EJECTION = 2
# Maximum duration of an ejection, in connect timeouts, up to which the duration doubles.
MAX_EJECTION_CONNECT_TIMEOUTS = 4
# In a large fleet an ejection lasts up to the number of dispatchers divided by this, in connect timeouts, because 40
# dispatchers that each check every removed worker once a second would cause thousands of health checks.
DISPATCHERS_PER_EJECTION_TIMEOUT = 2


class OutlierEjection:
    """Error counts, ejections and restorations of workers."""

    def __init__(self, context: PartContext, cache: PlacementCache) -> None:
        self._settings = context.settings
        self._current = context.current
        self._timers = context.timers
        self._estimates = context.estimates
        self._cache = cache
        self._fleet = context.fleet
        self._recent_errors_until = 0

    # --- evidence

    def record_activity(self, worker: TrackedWorker) -> None:
        """Record that a worker has done work: it is healthy, and any ejection ends."""
        worker.last_seen = self._current.now
        worker.ejections = worker.broken_connections = 0
        worker.on_trial = False
        if worker.ejected_until:
            self.restore(worker)

    def record_success(self, worker: TrackedWorker) -> None:
        """Record a successful attempt at a worker."""
        worker.errors = max(0, worker.errors - 1) if self._fleet.is_large else 0
        worker.last_served = self._current.now
        self.record_activity(worker)

    def record_error(self, worker: TrackedWorker, effect: Effect) -> None:
        """Count an error of a request with this effect, and eject the worker after enough errors.

        A worker that fails fast is always available and would attract all requests. In a large fleet one error is
        enough: a failing worker seems the least loaded, and each dispatcher sends there too rarely to wait for more
        errors. One error of an unsafe request is enough, because each such error loses a request; a rare error costs
        the worker only a short ejection.
        """
        self._recent_errors_until = self._current.now + RECENT_ERROR_WINDOW_NS
        worker.errors = min(worker.errors + 1, MAX_REMEMBERED_ERRORS)
        is_unsafe = effect is Effect.UNSAFE
        if self._fleet.is_large or is_unsafe or worker.errors >= CONSECUTIVE_ERRORS_BEFORE_EJECTION:
            if self._fleet.is_large:
                worker.ejections = max(worker.ejections, worker.errors)
            self.eject(worker, "errors")

    def record_broken_connection(self, worker: TrackedWorker) -> None:
        """Count a broken connection, and eject the worker after enough broken connections.

        Connections to healthy workers break one at a time, and an ejection for each would exclude healthy workers. All
        connections to a dead worker break at once, and the next connection is refused.
        """
        worker.broken_connections += 1
        if worker.on_trial or worker.broken_connections >= BROKEN_CONNECTIONS_BEFORE_EJECTION:
            self.eject(worker, "connections lost")

    def is_trusted_with_unsafe(self, worker: TrackedWorker, request: TrackedRequest) -> bool:
        """Return True if a worker of a large fleet may receive a request that must not be repeated.

        In a large fleet each dispatcher detects a failing worker only by a request of its own. While errors are recent,
        idempotent requests go first; for half of the time that a non-idempotent request can wait, only a worker with a
        recent success may receive that request.
        """
        now = self._current.now
        if worker.errors or now >= self._recent_errors_until:
            return not worker.errors
        arrived = request.first_arrived_at
        must_wait = now < arrived + (self._estimates.latest_send_within_target(request) - arrived) // 2
        return not must_wait or worker.last_served >= now - TRUST_AFTER_SUCCESS_NS

    # --- ejection and return

    def eject(self, worker: TrackedWorker, reason: str) -> None:
        """Eject a worker, which then receives no requests for a time that doubles with each ejection."""
        if worker.ejected_until == 0:
            self._current.actions.append(WriteLog(f"worker ejected id={worker.name} reason={reason}"))
        timeouts = min(self._max_ejection_timeouts(), 2**worker.ejections)
        worker.ejections = min(worker.ejections + 1, MAX_EJECTION_CONNECT_TIMEOUTS)
        worker.ejected_until = self._current.now + timeouts * self._settings.limits.connect_timeout_ns
        self._timers.schedule(worker, worker.ejected_until)
        for attempt in worker.attempts:
            self._timers.schedule(attempt.request, self._current.now)

    def _max_ejection_timeouts(self) -> int:
        """Return the maximum duration of an ejection, in connect timeouts."""
        if not self._fleet.is_large:
            return MAX_EJECTION_CONNECT_TIMEOUTS
        return max(MAX_EJECTION_CONNECT_TIMEOUTS, self._settings.dispatchers // DISPATCHERS_PER_EJECTION_TIMEOUT)

    def end_ejection_if_due(self, worker: TrackedWorker) -> None:
        """Start a health check of a worker whose ejection time has passed, or a trial if checks are not permitted."""
        if self._current.now < worker.ejected_until or worker.is_checking_health:
            return
        if self._settings.limits.probes and worker.state is WorkerState.LIVE:
            worker.is_checking_health = True
            self._current.actions.append(CheckHealth(worker.name))
        else:
            self._begin_trial(worker)

    def on_health_check_ended(self, worker: TrackedWorker, event: HealthCheckEnded) -> None:
        """Put an ejected worker on trial after a successful health check, or eject the worker again."""
        if not worker.is_checking_health:
            return
        worker.is_checking_health = False
        if worker.ejected_until and event.outcome is Outcome.OK:
            self._begin_trial(worker)
        elif worker.ejected_until:
            self.eject(worker, "health check failed")

    def _begin_trial(self, worker: TrackedWorker) -> None:
        """Restore a worker on trial, which receives one request at a time until a request there starts or succeeds."""
        worker.on_trial = True
        self.restore(worker)

    def restore(self, worker: TrackedWorker) -> None:
        """End the ejection of a worker."""
        worker.ejected_until = 0
        worker.broken_connections = 0
        worker.last_seen = self._current.now
        self._cache.mark_changed(worker)
        self._timers.schedule(worker, self._current.now)
        self._current.actions.append(WriteLog(f"worker restored id={worker.name}"))
