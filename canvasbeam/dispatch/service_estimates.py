"""Estimate how long requests run, from those that this dispatcher saw served.

Owns the running means of service times by class, by kind of worker, and of both. It must never read a clock: spans in
nanoseconds go in, estimates in nanoseconds come out. Unlike `service_times.py`, which keeps recent spans for a
quantile, it keeps weighted means, which placement orders and limits are reckoned with.
"""

from __future__ import annotations

from collections.abc import Sequence

from canvasbeam.dispatch.records import TrackedRequest, TrackedWorker
from canvasbeam.dispatch.settings import RequestClass, Settings
from canvasbeam.units import SECOND

# Service times are averaged over about this many jobs: slow enough for heavy tails.
AVERAGE_OVER = 50


class ServiceEstimates:
    """The mean service times seen so far. Before any was seen, a class's objective stands in."""

    def __init__(self, settings: Settings) -> None:
        # By (), (class,), ("", kind of worker) and (class, kind of worker).
        self._means: dict[tuple[str, ...], tuple[float, float]] = {}
        self._kinds_differ = settings.batches
        self._unknown_ns = _shortest_latency_target_ns(settings.classes)

    def change_classes(self, classes: Sequence[RequestClass]) -> None:
        """Take new classes; what was learned of the old ones stays."""
        self._unknown_ns = _shortest_latency_target_ns(classes)

    def learn(self, class_name: str, kind: str, took_ns: float) -> None:
        """Take the service time of a request, from its start on the worker to its end."""
        for name in ((), (class_name,), ("", kind), (class_name, kind)):
            self._means[name] = _running_mean(self._means.get(name), took_ns)

    def mean_ns(self) -> float:
        """Return the mean over all requests."""
        known = self._means.get(())
        return known[0] if known else self._unknown_ns

    def mean_of_kind_ns(self, kind: str) -> float:
        """Return the mean on this kind of worker, or that of all before one was seen there."""
        known = self._means.get(("", kind))
        return known[0] if known else self.mean_ns()

    def mean_at_ns(self, worker: TrackedWorker) -> float:
        """Return the mean of the worker's kind where kinds of workers do different things, else that of all."""
        known = self._means.get(("", worker.kind)) if self._kinds_differ else None
        return known[0] if known else self.mean_ns()

    def of_request_ns(self, request: TrackedRequest, worker: TrackedWorker | None = None) -> float:
        """Return how long a request runs, on this kind of worker where its class was seen there."""
        if request.service_hint_ns > 0:
            return float(request.service_hint_ns)
        known = self._means.get((request.request_class.name, worker.kind)) if worker else None
        return known[0] if known else self.of_class_ns(request.request_class)

    def of_class_ns(self, request_class: RequestClass) -> float:
        """Return how long requests of a class run; taken to be its objective until one was seen."""
        known = self._means.get((request_class.name,))
        return known[0] if known else float(request_class.latency_target_ns)

    def in_time_until(self, request: TrackedRequest) -> int:
        """Return the latest time of a send with which a request of average work still meets its objective."""
        request_class = request.request_class
        stretch = max(0.0, request_class.stretch - 1)
        return request.first_arrived_at + round(request_class.latency_target_ns + stretch * self.of_request_ns(request))


def _shortest_latency_target_ns(classes: Sequence[RequestClass]) -> float:
    return float(min((known.latency_target_ns for known in classes), default=SECOND))


def _running_mean(known: tuple[float, float] | None, value: float) -> tuple[float, float]:
    """Return a running mean and its weight, which stops growing so that the mean follows changes."""
    mean, count = known or (0.0, 0.0)
    count = min(count + 1, AVERAGE_OVER)
    return mean + (value - mean) / count, count
