"""Eject workers that fail, and return them by a health check or a trial request.

An ejected worker gets no requests for a while, which doubles with each ejection until it has done work again. Where
health checks are permitted, one must succeed at the end of that time; then the worker is on trial: one request at a
time until a sign of work.

Owns each worker's `ejections`, `ejected_until`, `errors`, `broken_connections`, `on_trial`, `is_checking_health`,
`last_seen` and `last_served`, and until when an error counts as recent.
"""

from __future__ import annotations

from canvasbeam.dispatch.actions import CheckHealth, WriteLog
from canvasbeam.dispatch.events import HealthCheckEnded, Outcome, WorkerState
from canvasbeam.dispatch.part_context import PartContext
from canvasbeam.dispatch.placement_cache import PlacementCache
from canvasbeam.dispatch.records import TrackedRequest, TrackedWorker
from canvasbeam.dispatch.settings import Effect
from canvasbeam.units import SECOND

# Each error shows a live process, but no work done.
CONSECUTIVE_ERRORS_BEFORE_EJECTION = 3
# Errors remembered of a worker of a large fleet; each success there takes one off.
MAX_REMEMBERED_ERRORS = 4
# How long an error counts as a sign that workers may be failing.
RECENT_ERROR_WINDOW_NS = 10 * SECOND
# In a large fleet, how long a success lets a worker have requests that must not be repeated.
TRUST_AFTER_SUCCESS_NS = 3 * SECOND // 2
# In a row, without a sign of work between them.
BROKEN_CONNECTIONS_BEFORE_EJECTION = 2
# An ejection doubles up to this many connect time-outs.
MAX_EJECTION_CONNECT_TIMEOUTS = 4
# In a large fleet it doubles up to half as many connect time-outs as there are dispatchers: forty that each check every
# removed worker once a second make thousands of health checks.
DISPATCHERS_PER_EJECTION_TIMEOUT = 2


class OutlierEjection:
    """The evidence against workers, their ejections and their return."""

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
        """Note that a worker has done work: it is healthy, and its ejection ends."""
        worker.last_seen = self._current.now
        worker.ejections = worker.broken_connections = 0
        worker.on_trial = False
        if worker.ejected_until:
            self.restore(worker)

    def record_success(self, worker: TrackedWorker) -> None:
        """Take a good answer of a worker."""
        worker.errors = max(0, worker.errors - 1) if self._fleet.is_large else 0
        worker.last_served = self._current.now
        self.record_activity(worker)

    def record_error(self, worker: TrackedWorker, effect: Effect) -> None:
        """Count an error of a request with this effect; enough of them eject the worker.

        A worker that fails fast is always available, and so would draw all requests. In a large fleet it looks the
        emptiest of all, and each dispatcher meets it too rarely to wait for more errors. Each error of an unsafe
        request loses that request; a rare error costs the worker a short ejection.
        """
        self._recent_errors_until = self._current.now + RECENT_ERROR_WINDOW_NS
        worker.errors = min(worker.errors + 1, MAX_REMEMBERED_ERRORS)
        is_unsafe = effect is Effect.UNSAFE
        if self._fleet.is_large or is_unsafe or worker.errors >= CONSECUTIVE_ERRORS_BEFORE_EJECTION:
            if self._fleet.is_large:
                worker.ejections = max(worker.ejections, worker.errors)
            self.eject(worker, "errors")

    def record_broken_connection(self, worker: TrackedWorker) -> None:
        """Count a broken connection; enough of them eject the worker.

        Connections break one at a time on healthy workers; an ejection for each would shut those out. Of a dead worker
        all break at once, and the next one is refused.
        """
        worker.broken_connections += 1
        if worker.on_trial or worker.broken_connections >= BROKEN_CONNECTIONS_BEFORE_EJECTION:
            self.eject(worker, "connections lost")

    def is_trusted_with_unsafe(self, worker: TrackedWorker, request: TrackedRequest) -> bool:
        """Return whether a worker of a large fleet may be given a request that must not be repeated.

        In a large fleet each dispatcher learns of a failing worker by a request of its own. While errors are recent,
        idempotent requests go first; one that is not goes where one succeeded lately, for half of the time it can wait.
        """
        now = self._current.now
        if worker.errors or now >= self._recent_errors_until:
            return not worker.errors
        arrived = request.first_arrived_at
        waits = now < arrived + (self._estimates.in_time_until(request) - arrived) // 2
        return not waits or worker.last_served >= now - TRUST_AFTER_SUCCESS_NS

    # --- ejection and return

    def eject(self, worker: TrackedWorker, reason: str) -> None:
        """Eject a worker: it gets nothing for a while, longer each time."""
        if worker.ejected_until == 0:
            self._current.actions.append(WriteLog(f"worker ejected id={worker.name} reason={reason}"))
        timeouts = min(self._max_ejection_timeouts(), 2**worker.ejections)
        worker.ejections = min(worker.ejections + 1, MAX_EJECTION_CONNECT_TIMEOUTS)
        worker.ejected_until = self._current.now + timeouts * self._settings.limits.connect_timeout_ns
        self._timers.schedule(worker, worker.ejected_until)
        for attempt in worker.attempts:
            self._timers.schedule(attempt.request, self._current.now)

    def _max_ejection_timeouts(self) -> int:
        """Return how many connect time-outs an ejection lasts at the most."""
        if not self._fleet.is_large:
            return MAX_EJECTION_CONNECT_TIMEOUTS
        return max(MAX_EJECTION_CONNECT_TIMEOUTS, self._settings.dispatchers // DISPATCHERS_PER_EJECTION_TIMEOUT)

    def end_if_due(self, worker: TrackedWorker) -> None:
        """End an ejection that is over by a health check where permitted, and else by a trial request."""
        if self._current.now < worker.ejected_until or worker.is_checking_health:
            return
        if self._settings.limits.probes and worker.state is WorkerState.LIVE:
            worker.is_checking_health = True
            self._current.actions.append(CheckHealth(worker.name))
        else:
            self._begin_trial(worker)

    def on_health_check_ended(self, worker: TrackedWorker, event: HealthCheckEnded) -> None:
        """Take the result of a health check of an ejected worker."""
        if not worker.is_checking_health:
            return
        worker.is_checking_health = False
        if worker.ejected_until and event.outcome is Outcome.OK:
            self._begin_trial(worker)
        elif worker.ejected_until:
            self.eject(worker, "health check failed")

    def _begin_trial(self, worker: TrackedWorker) -> None:
        """Return a worker that gets one request at a time until a sign of work."""
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
