"""Outcome records of requests, their counters, the metrics text, and the table that `system explain` prints."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from click.testing import CliRunner

from canvasbeam.cli.exit_codes import ExitCode
from canvasbeam.cli.system import system
from canvasbeam.data_plane.__main__ import metrics_port
from canvasbeam.data_plane.metrics import MetricsApp, gauge_lines, outcome_lines
from canvasbeam.data_plane.outcomes import (
    MAX_LABEL_SETS,
    Cause,
    LatencyTargets,
    OutcomeCounters,
    RequestEnd,
    RequestOutcome,
    RequestTimes,
    Ring,
    outcome_of,
)
from canvasbeam.errors import ResultCode
from canvasbeam.units import MILLISECOND
from tests.data_plane.test_data_plane_requests import run
from tests.support.data_plane_harness import DataPlaneUnderTest, ScriptedWorker

TARGETS = LatencyTargets(1000 * MILLISECOND, 400 * MILLISECOND)
COMPLETE = RequestEnd(ResultCode.OK, is_complete=True)


def times(*, sent: int = 1, written: int = 2, first: int = 100, expected: int = 90, gap: int = 0) -> RequestTimes:
    """Return the times of a request that arrived at 0; all arguments are in milliseconds."""
    return RequestTimes(
        0,
        first_sent_ns=sent * MILLISECOND,
        last_sent_ns=sent * MILLISECOND,
        written_ns=written * MILLISECOND,
        first_answer_ns=first * MILLISECOND,
        longest_gap_ns=gap * MILLISECOND,
        expected_ns=expected * MILLISECOND,
    )


def cause_of(request_times: RequestTimes, end: RequestEnd = COMPLETE, attempts: int = 1) -> Cause:
    return outcome_of(
        request_times, TARGETS, end, 5000 * MILLISECOND, request_class="c", ring=Ring.OWN_REGION, attempts=attempts
    ).cause


@pytest.mark.parametrize(
    ("request_times", "expected_cause"),
    [
        (times(), Cause.WITHIN_TARGET),
        (times(gap=401), Cause.LONG_GAP),
        (times(first=1001, gap=500, expected=900), Cause.NO_WORKER_IN_TIME),
        (times(sent=300, written=301, first=1200), Cause.QUEUED),
        (times(written=300, first=1200), Cause.SLOW_CONNECTION),
        (times(first=1200, expected=300), Cause.SLOWER_THAN_EXPECTED),
        (times(first=1200, expected=0), Cause.SLOWER_THAN_EXPECTED),
        (times(first=1200, expected=1100), Cause.NO_WORKER_IN_TIME),
    ],
)
def test_cause_is_the_first_step_that_took_too_long(request_times: RequestTimes, expected_cause: Cause) -> None:
    assert cause_of(request_times) is expected_cause


def test_late_second_attempt_has_cause_retried() -> None:
    request_times = times(first=1300)
    request_times.last_sent_ns = 400 * MILLISECOND
    assert cause_of(request_times, attempts=2) is Cause.RETRIED


@pytest.mark.parametrize(
    ("end", "expected_cause"),
    [
        (RequestEnd(ResultCode.REQUEST_REFUSED, is_complete=False), Cause.REJECTED),
        (RequestEnd(ResultCode.REQUEST_TIMED_OUT, is_complete=False), Cause.DEADLINE_PASSED),
        (RequestEnd(ResultCode.REQUEST_FAILED, is_complete=False), Cause.INCOMPLETE),
        (RequestEnd(ResultCode.OK, is_complete=False), Cause.INCOMPLETE),
        (RequestEnd(ResultCode.OK, is_complete=False, has_client_disconnected=True), Cause.CLIENT_DISCONNECTED),
    ],
)
def test_request_without_complete_answer_has_the_matching_cause(end: RequestEnd, expected_cause: Cause) -> None:
    assert cause_of(times(), end) is expected_cause


def test_longest_gap_is_measured_between_events_to_the_client() -> None:
    request_times = RequestTimes(0)
    for now in (5, 7, 20, 21):
        request_times.record_event(now)
    assert (request_times.first_answer_ns, request_times.longest_gap_ns) == (5, 13)


def test_number_of_label_sets_is_bounded() -> None:
    counters = OutcomeCounters()
    for number in range(MAX_LABEL_SETS + 50):
        counters.count(RequestOutcome(f"class-{number}", Ring.NONE, Cause.REJECTED, ResultCode.OK, 0, 0, 0, 0, 0))
    labels = dict(counters)
    assert len(labels) == MAX_LABEL_SETS + 1
    assert labels["other", Ring.NONE, Cause.REJECTED, ResultCode.OK].requests == 50


def sample_text() -> str:
    counters = OutcomeCounters()
    served = outcome_of(times(), TARGETS, COMPLETE, 0, request_class='a"b', ring=Ring.OWN_REGION, attempts=1)
    late = outcome_of(
        times(first=1200, expected=300), TARGETS, COMPLETE, 0, request_class="c", ring=Ring.OTHER_REGION, attempts=1
    )
    for each in (served, served, late):
        counters.count(each)
    return "\n".join([*outcome_lines(counters), *gauge_lines({"open_requests": 3})]) + "\n"


def test_metrics_are_in_prometheus_format() -> None:
    lines = sample_text().splitlines()
    assert "# TYPE canvasbeam_request_total counter" in lines
    assert 'canvasbeam_request_total{class="a\\"b",ring="own_region",cause="in_time",code="ok"} 2' in lines
    assert "canvasbeam_open_requests 3" in lines


def test_explain_table_sums_over_sources_and_names_the_causes(tmp_path: Path) -> None:
    for name in ("one", "two"):
        (tmp_path / name).write_text(sample_text())
    sources = [str(tmp_path / "one"), str(tmp_path / "two")]
    result = CliRunner().invoke(system, ["explain", *sources])
    assert result.exit_code == ExitCode.OK, result.output
    rows = [line.split() for line in result.output.splitlines()]
    assert rows[1][:5] == ["all", "own_region", "in_time", "4", "66.7%"]
    assert rows[2][:5] == ["all", "other_region", "worker_slower", "2", "33.3%"]
    assert rows[2][-1] == "899"
    by_class = CliRunner().invoke(system, ["explain", "--by-class", *sources])
    assert 'a\\"b' in by_class.output


def test_explain_names_an_unreachable_process() -> None:
    result = CliRunner().invoke(system, ["explain", "127.0.0.1:1"])
    assert result.exit_code == ExitCode.FAILED
    assert "127.0.0.1:1" in result.output


def test_metrics_app_answers_with_the_metric_lines() -> None:
    sent: list[dict[str, object]] = []

    async def send(message: dict[str, object]) -> None:
        sent.append(message)

    async def receive() -> dict[str, object]:
        raise AssertionError

    app = MetricsApp(lambda: ["one 1", "two 2"])
    asyncio.run(app({"type": "http", "path": "/metrics"}, receive, send))  # type: ignore[arg-type]
    assert sent[0]["status"] == 200
    assert sent[1]["body"] == b"one 1\ntwo 2\n"


@pytest.mark.parametrize(("arguments", "port"), [([], None), (["--metrics", "9464/metrics"], 9464)])
def test_metrics_port_is_read_from_the_arguments(arguments: list[str], port: int | None) -> None:
    assert metrics_port(arguments) == port


def test_each_request_is_counted_once() -> None:
    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        for number in range(3):
            answer = await client.request("/safe/a", f"id-{number}")
            assert answer.status == 200
        totals = {labels[:3]: counter.requests for labels, counter in data_plane.router._outcomes.counters}
        assert totals == {("safe/svc", Ring.OTHER_REGION, Cause.WITHIN_TARGET): 3}

    run(body, ScriptedWorker("w1"))
