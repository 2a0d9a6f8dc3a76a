"""Learn how long requests of a class take for each unit of their work, from those that were served.

Pure: spans in nanoseconds in, estimates out.
"""

from __future__ import annotations

from collections import deque

# Service times remembered of each class.
SAMPLES = 64
# The fraction of them within which a request is expected to be served.
QUANTILE = 0.9


class ServiceTimes:
    """The recent service times of each class, for one unit of work."""

    def __init__(self, usual_ns: float, quantile: float = QUANTILE, samples: int = SAMPLES) -> None:
        """Expect `usual_ns` for a unit of work until one was served."""
        self._usual_ns = usual_ns
        self._quantile = quantile
        self._samples = samples
        self._spans: dict[str, deque[float]] = {}

    def learn(self, request_class: str, span_ns: int, work: float = 1.0) -> None:
        """Take a request of so much work that was served in this time."""
        spans = self._spans.get(request_class)
        if spans is None:
            spans = self._spans[request_class] = deque(maxlen=self._samples)
        spans.append(span_ns / max(1.0, work))

    def expected_ns(self, request_class: str, work: float = 1.0) -> float:
        """Return the time within which most requests of so much work are served; at first, the usual time of a unit."""
        spans = self._spans.get(request_class)
        if not spans:
            return self._usual_ns * max(1.0, work)
        index = min(int(len(spans) * self._quantile), len(spans) - 1)
        return sorted(spans)[index] * max(1.0, work)
