"""The metrics' text with fixed outcomes, as a monitoring system reads it."""

from __future__ import annotations

import asyncio
from typing import Any

from canvasbeam.data_plane.metrics import MetricsApp, gauge_lines, outcome_lines
from canvasbeam.data_plane.outcomes import MAX_LABEL_SETS, Cause, OutcomeCounters, RequestOutcome, Ring
from canvasbeam.data_plane.program import DataPlane
from canvasbeam.errors import ResultCode
from canvasbeam.runtime.settings import Address, ProcessSettings
from tests.golden.answer_files import as_text, assert_matches, assert_same_text
from tests.golden.raw_http import answers_of, request

TEXT_FILE = "metrics.txt"
ANSWER_FILE = "metrics-answers.json"

# The words of the labels, with what the code calls them.
CAUSES = {
    "in_time": Cause.WITHIN_TARGET, "client_left": Cause.CLIENT_DISCONNECTED, "refused": Cause.REJECTED,
    "broken_off": Cause.INCOMPLETE, "no_answer": Cause.DEADLINE_PASSED, "long_pause": Cause.LONG_GAP,
    "waited_here": Cause.QUEUED, "tried_again": Cause.RETRIED, "slow_connection": Cause.SLOW_CONNECTION,
    "worker_slower": Cause.SLOWER_THAN_EXPECTED, "expected_late": Cause.NO_WORKER_IN_TIME,
}  # fmt: skip
RINGS = {"none": Ring.NONE, "own_region": Ring.OWN_REGION, "other_region": Ring.OTHER_REGION}
CODES = (ResultCode.OK, ResultCode.REQUEST_REFUSED, ResultCode.REQUEST_TIMED_OUT)
CLASSES = ("safe/llm", 'a "quoted" name', "back\\slash", "two\nlines")


def fixed_counters() -> OutcomeCounters:
    """Outcomes of all causes and rings, with figures small and large."""
    counters = OutcomeCounters()
    for number, cause in enumerate(CAUSES.values()):
        for place, ring in enumerate(RINGS.values()):
            name, code = CLASSES[(number + place) % len(CLASSES)], CODES[number % len(CODES)]
            # In order: class, ring, cause, code, attempts, wait, first answer, expected, unexpected.
            outcome = RequestOutcome(
                name, ring, cause, code, number, 1_500_000 * number, 10**place * 123_456_789, 10**9, 7
            )
            for _ in range(place + 1):
                counters.count(outcome)
    return counters


def metrics_text() -> str:
    """All families of counters, and gauges of several sizes."""
    gauges = {"open_requests": 3, "live_workers": 0, "configuration_generation": 1234567, "configuration_is_behind": 1}
    return "".join(f"{line}\n" for line in (*outcome_lines(fixed_counters()), *gauge_lines(gauges)))


def crowded_lines() -> list[str]:
    """The counters of more classes than are kept apart: the last is the one of all others."""
    counters = OutcomeCounters()
    for number in range(MAX_LABEL_SETS + 5):
        counters.count(RequestOutcome(f"c{number}", Ring.NONE, Cause.REJECTED, ResultCode.OVERLOADED, 0, 0, 0, 0, 0))
    return [line for line in outcome_lines(counters) if line.startswith("canvasbeam_request_total")][-2:]


def answers() -> dict[str, Any]:
    """The metrics' address of a data plane that has just been made, whole; and the app with fixed lines."""
    return asyncio.run(_answers())


async def _answers() -> dict[str, Any]:
    settings = ProcessSettings(
        node="edge-1", role="data", node_class="edge", serves=("edge",), ip="127.0.0.1", zone="z1", region="r1",
        port_range=(7000, 7010), seeds=(), zones={"z1": "r1"},
        listen={"front": Address("127.0.0.1", 8144), "ready": Address("127.0.0.1", 8140)},
    )  # fmt: skip
    lines = DataPlane(settings)._metric_lines
    calls = {
        "metrics": request("GET", "/metrics"),
        "any other path": request("GET", "/"),
        "HEAD": request("HEAD", "/metrics"),
        "POST": request("POST", "/metrics", "x"),
    }
    return {
        "fixed lines": await answers_of(MetricsApp(lambda: ["one 1", "two 2"]), calls),
        "new data plane": await answers_of(MetricsApp(lines), {"metrics": calls["metrics"]}),
        "more classes than are kept apart": crowded_lines(),
    }


TEXTS = {TEXT_FILE: metrics_text, ANSWER_FILE: lambda: as_text(answers())}


def test_the_text_of_fixed_outcomes_is_as_before() -> None:
    assert_same_text(TEXT_FILE, metrics_text())


def test_the_answers_of_the_metrics_address_are_as_before() -> None:
    assert_matches(ANSWER_FILE, answers())


def test_the_words_of_the_labels_are_as_before() -> None:
    assert {cause.value for cause in Cause} == set(CAUSES)
    assert {ring.value for ring in Ring} == set(RINGS)
    assert all(cause.value == word for word, cause in (CAUSES | RINGS).items())
