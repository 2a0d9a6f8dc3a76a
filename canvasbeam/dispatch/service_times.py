"""Learn the service time of each class per unit of work, from completed requests.

Pure: takes durations and returns estimates, both in nanoseconds.
"""

from __future__ import annotations

from collections import deque

# Number of recent service times stored per class.
SAMPLES = 64
# The quantile of the stored service times that is used as the estimate.
QUANTILE = 0.9


class ServiceTimes:
    """The recent service times of each class, per unit of work."""

    def __init__(self, usual_ns: float, quantile: float = QUANTILE, samples: int = SAMPLES) -> None:
        """Estimate `usual_ns` nanoseconds per unit of work for a class without completed requests."""
        self._usual_ns = usual_ns
        self._quantile = quantile
        self._samples = samples
        self._spans: dict[str, deque[float]] = {}

    def learn(self, request_class: str, span_ns: int, work: float = 1.0) -> None:
        """Record that a request of `work` units was served in `span_ns` nanoseconds."""
        spans = self._spans.get(request_class)
        if spans is None:
            spans = self._spans[request_class] = deque(maxlen=self._samples)
        spans.append(span_ns / max(1.0, work))

    def expected_ns(self, request_class: str, work: float = 1.0) -> float:
        """Return the time, in nanoseconds, within which most requests of `work` units of this class are served."""
        spans = self._spans.get(request_class)
        if not spans:
            return self._usual_ns * max(1.0, work)
        index = min(int(len(spans) * self._quantile), len(spans) - 1)
        return sorted(spans)[index] * max(1.0, work)
