"""Render the counters of a data-plane process as text at each request for metrics.

The format is Prometheus's text exposition format, version 0.0.4. Metric names, labels and label values must not change,
because monitoring systems and `canvasbeam system explain` read these texts. This module counts nothing itself.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping

from canvasbeam.data_plane.outcomes import OutcomeCounters, OutcomeLabels, OutcomeTotals
from canvasbeam.data_plane.requests import Answer, send_answer
from canvasbeam.runtime.http_server import Receive, Scope, Send
from canvasbeam.units import SECOND

PREFIX = "canvasbeam_request_"
CONTENT_TYPE = b"text/plain; version=0.0.4"
_FAMILIES: tuple[tuple[str, str, Callable[[OutcomeTotals], float]], ...] = (
    ("total", "Requests that ended.", lambda totals: totals.requests),
    ("attempts_total", "Sends to workers.", lambda totals: totals.attempts),
    ("wait_seconds_total", "Seconds from the arrival to the first send.", lambda totals: totals.wait_ns / SECOND),
    ("first_answer_seconds_total", "Seconds to the first answer.", lambda totals: totals.first_answer_ns / SECOND),
    ("expected_seconds_total", "Expected seconds from send to answer.", lambda totals: totals.expected_ns / SECOND),
    ("unexpected_seconds_total", "Seconds beyond what was expected.", lambda totals: totals.unexpected_ns / SECOND),
)


def outcome_lines(counters: OutcomeCounters) -> Iterator[str]:
    """Yield the lines of all outcome counters."""
    for name, meaning, value in _FAMILIES:
        yield f"# HELP {PREFIX}{name} {meaning}"
        yield f"# TYPE {PREFIX}{name} counter"
        for labels, totals in counters:
            yield f"{PREFIX}{name}{{{_label_text(labels)}}} {value(totals):g}"


def gauge_lines(gauges: Mapping[str, float]) -> Iterator[str]:
    """Yield the lines of gauges; `gauges` is keyed by metric name without the prefix `canvasbeam_`."""
    for name, value in gauges.items():
        yield f"# TYPE canvasbeam_{name} gauge"
        yield f"canvasbeam_{name} {value:g}"


def _label_text(labels: OutcomeLabels) -> str:
    request_class, ring, cause, code = labels
    texts = {"class": request_class, "ring": ring.value, "cause": cause.value, "code": code.name.lower()}
    return ",".join(f'{name}="{_escaped(text)}"' for name, text in texts.items())


def _escaped(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


class MetricsApp:
    """ASGI application that answers every HTTP request with the metrics."""

    def __init__(self, lines: Callable[[], Iterable[str]]) -> None:
        self._lines = lines

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request; ignore other scopes."""
        if scope["type"] != "http":
            return
        body = "".join(f"{line}\n" for line in self._lines()).encode()
        headers = [(b"content-type", CONTENT_TYPE), (b"content-length", str(len(body)).encode())]
        await send_answer(send, Answer(200, headers, body))
