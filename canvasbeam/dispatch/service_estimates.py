"""Estimate service times from the requests whose completion this dispatcher observed.

Owns the running means of service times by class, by kind of worker, and by both. It must never read a clock: it takes
durations in nanoseconds and returns estimates in nanoseconds. Unlike `service_times.py`, which stores recent durations
for a quantile, it stores weighted means, from which placement orders and limits are computed.
"""

from __future__ import annotations

from collections.abc import Sequence

from canvasbeam.dispatch.records import TrackedRequest, TrackedWorker
from canvasbeam.dispatch.settings import RequestClass, Settings
from canvasbeam.units import SECOND

# Service times are averaged over about this many requests: slow enough for heavy-tailed distributions.
AVERAGE_OVER = 50


class ServiceEstimates:
    """Mean service times in nanoseconds; without observations, the latency target of a class is used."""

    def __init__(self, settings: Settings) -> None:
        # (mean, weight), keyed by (), (class,), ("", kind of worker) and (class, kind of worker).
        self._means: dict[tuple[str, ...], tuple[float, float]] = {}
        self._kinds_differ = settings.batches
        self._default_ns = _shortest_latency_target_ns(settings.classes)

    def change_classes(self, classes: Sequence[RequestClass]) -> None:
        """Replace the classes; learned means of the old classes are kept."""
        self._default_ns = _shortest_latency_target_ns(classes)

    def learn(self, class_name: str, kind: str, service_time_ns: float) -> None:
        """Learn the service time of a request: nanoseconds from its start on the worker to its end."""
        for name in ((), (class_name,), ("", kind), (class_name, kind)):
            self._means[name] = _running_mean(self._means.get(name), service_time_ns)

    def mean_ns(self) -> float:
        """Return the mean service time over all requests."""
        known = self._means.get(())
        return known[0] if known else self._default_ns

    def mean_of_kind_ns(self, kind: str) -> float:
        """Return the mean service time on this kind of worker; without observations there, the mean of all."""
        known = self._means.get(("", kind))
        return known[0] if known else self.mean_ns()

    def mean_at_ns(self, worker: TrackedWorker) -> float:
        """Return the mean service time at workers of this kind if workers run batches, else of all requests."""
        known = self._means.get(("", worker.kind)) if self._kinds_differ else None
        return known[0] if known else self.mean_ns()

    def of_request_ns(self, request: TrackedRequest, worker: TrackedWorker | None = None) -> float:
        """Return a request's expected service time, on this kind of worker if its class was observed there."""
        if request.service_hint_ns > 0:
            return float(request.service_hint_ns)
        known = self._means.get((request.request_class.name, worker.kind)) if worker else None
        return known[0] if known else self.of_class_ns(request.request_class)

    def of_class_ns(self, request_class: RequestClass) -> float:
        """Return the mean service time of a class; without observations, its latency target."""
        known = self._means.get((request_class.name,))
        return known[0] if known else float(request_class.latency_target_ns)

    def latest_send_within_target(self, request: TrackedRequest) -> int:
        """Return the latest send time at which a request with an average service time meets its latency target."""
        request_class = request.request_class
        stretch = max(0.0, request_class.stretch - 1)
        return request.first_arrived_at + round(request_class.latency_target_ns + stretch * self.of_request_ns(request))


def _shortest_latency_target_ns(classes: Sequence[RequestClass]) -> float:
    return float(min((known.latency_target_ns for known in classes), default=SECOND))


def _running_mean(known: tuple[float, float] | None, value: float) -> tuple[float, float]:
    """Return a running mean and its weight, which is capped so that the mean follows changes."""
    mean, count = known or (0.0, 0.0)
    count = min(count + 1, AVERAGE_OVER)
    return mean + (value - mean) / count, count
