"""Create the parts of a dispatcher, each with the parts that it depends on.

The parts are created in the order of their dependencies: a part uses only parts that were created earlier.
"""

from __future__ import annotations

from collections.abc import Sequence

from canvasbeam.dispatch.attempt_outcomes import AttemptOutcomes
from canvasbeam.dispatch.attempts import Attempts
from canvasbeam.dispatch.collaborators import EngineModel, FleetLimiter
from canvasbeam.dispatch.concurrency_limits import ConcurrencyLimits
from canvasbeam.dispatch.current_pass import CurrentPass
from canvasbeam.dispatch.endpoint_set import EndpointSet
from canvasbeam.dispatch.late_starts import LateStarts
from canvasbeam.dispatch.open_requests import OpenRequests
from canvasbeam.dispatch.outlier_ejection import OutlierEjection
from canvasbeam.dispatch.part_context import PartContext
from canvasbeam.dispatch.pending_queue import PendingQueue
from canvasbeam.dispatch.placement_cache import PlacementCache
from canvasbeam.dispatch.queue_estimates import QueueEstimates
from canvasbeam.dispatch.records import FleetTraits
from canvasbeam.dispatch.request_sweep import RequestSweep
from canvasbeam.dispatch.retry_policy import RetryPolicy
from canvasbeam.dispatch.round_robin import RoundRobin
from canvasbeam.dispatch.service_estimates import ServiceEstimates
from canvasbeam.dispatch.settings import RequestClass, Settings
from canvasbeam.dispatch.slow_start import SlowStart
from canvasbeam.dispatch.sweep_timers import SweepTimers
from canvasbeam.dispatch.tenant_quotas import TenantQuotas
from canvasbeam.dispatch.unresponsive import ResponseTimeouts
from canvasbeam.dispatch.worker_acceptance import WorkerAcceptance
from canvasbeam.dispatch.worker_choice import WorkerChoice
from canvasbeam.dispatch.worker_sweep import WorkerSweep
from canvasbeam.dispatch.worker_watch import WorkerWatch


class DispatcherParts:
    """Parts of one dispatcher; the package docstring lists the state that each part owns."""

    def __init__(
        self, settings: Settings, seed: int, fleet_limits: FleetLimiter | None, engines: EngineModel | None
    ) -> None:
        self.current = CurrentPass()
        self.timers = SweepTimers(settings, self.current)
        self.fleet = FleetTraits()
        self.estimates = ServiceEstimates(settings)
        self._context = PartContext(
            settings, self.current, self.timers, self.fleet, self.estimates, fleet_limits, engines
        )
        # Time from the answer to a request to its deadline, in nanoseconds: an answer closer to the deadline could race
        # with the timeout.
        self.answer_margin_ns = self.timers.min_interval_ns + settings.quantum_ns
        self.endpoints = EndpointSet(settings, seed, self.fleet)
        self._make_estimates(settings)
        self._make_limits(settings, fleet_limits)
        self._make_choice()
        self._make_request_flow(settings)
        self._make_sweeps()

    def _make_estimates(self, settings: Settings) -> None:
        """Create the placement cache, and the parts that estimate queues, start latency and response timeouts."""
        self.cache = PlacementCache()
        self.queues = QueueEstimates(settings, self.estimates)
        self.late_starts = LateStarts(settings, self.estimates, self.fleet, self.timers.min_interval_ns)
        self.timeouts = ResponseTimeouts(settings, self.estimates, self.fleet)

    def _make_limits(self, settings: Settings, fleet_limits: FleetLimiter | None) -> None:
        """Create the parts that limit attempts: retries, quotas, concurrency, slow start, ejection."""
        self.retries = RetryPolicy(settings.limits, self.timers.min_interval_ns, fleet_limits)
        self.quotas = TenantQuotas(settings.tenants, settings.dispatchers)
        self.limits = ConcurrencyLimits(self.estimates)
        self.slow_start = SlowStart(settings, self.estimates, self.queues, self.endpoints.workers, self.fleet)
        self.ejection = OutlierEjection(self._context, self.cache)

    def _make_choice(self) -> None:
        """Create the parts that choose the worker for a request."""
        self.acceptance = WorkerAcceptance(
            self._context,
            queues=self.queues,
            slow_start=self.slow_start,
            limits=self.limits,
            ejection=self.ejection,
        )
        self.round_robin = RoundRobin(self.endpoints, self.cache, self.acceptance)
        self.choice = WorkerChoice(
            self._context, retries=self.retries, limits=self.limits, round_robin=self.round_robin
        )

    def _make_request_flow(self, settings: Settings) -> None:
        """Create the watch on discovery and the parts that process requests and attempts."""
        self.watch = WorkerWatch(settings, self.current)
        self.queue = PendingQueue(settings, self.timers, self.estimates)
        self.attempts = Attempts(
            self._context,
            endpoints=self.endpoints,
            cache=self.cache,
            queues=self.queues,
            slow_start=self.slow_start,
            limits=self.limits,
            late_starts=self.late_starts,
            timeouts=self.timeouts,
        )
        self.requests = OpenRequests(settings.limits, self.current, self.queue, self.attempts)
        self.outcomes = AttemptOutcomes(
            self._context,
            queues=self.queues,
            limits=self.limits,
            late_starts=self.late_starts,
            ejection=self.ejection,
        )

    def _make_sweeps(self) -> None:
        """Create the parts that check the workers and requests that are due in a sweep."""
        self.worker_sweep = WorkerSweep(
            self._context,
            attempts=self.attempts,
            limits=self.limits,
            late_starts=self.late_starts,
            timeouts=self.timeouts,
            ejection=self.ejection,
        )
        self.request_sweep = RequestSweep(
            self._context,
            retries=self.retries,
            choice=self.choice,
            queue=self.queue,
            attempts=self.attempts,
            requests=self.requests,
            late_starts=self.late_starts,
            timeouts=self.timeouts,
        )

    def change_classes(self, classes: Sequence[RequestClass]) -> None:
        """Pass new request classes to the parts that depend on the classes."""
        self.timers.change_classes(classes)
        self.estimates.change_classes(classes)
        self.queue.change_classes(classes)
        self.outcomes.change_classes(classes)
        self.cache.forget_unplaceable()
