"""Tests of the service times expected for each unit of work."""

from __future__ import annotations

from canvasbeam.dispatch.service_times import ServiceTimes


def test_usual_time_is_expected_for_each_unit_before_the_first_answer() -> None:
    times = ServiceTimes(usual_ns=10)
    assert times.expected_ns("a", 5) == 50
    assert times.expected_ns("a", 0) == 10


def test_expected_time_is_a_high_quantile_of_recent_service_times() -> None:
    times = ServiceTimes(usual_ns=10)
    for span in range(1, 101):
        times.learn("a", span * 20, work=2)
    assert times.expected_ns("a") == (36 + 64 * 0.9 // 1 + 1) * 10
    assert times.expected_ns("a", 3) == times.expected_ns("a") * 3
    assert times.expected_ns("b") == 10


def test_old_service_times_are_forgotten() -> None:
    times = ServiceTimes(usual_ns=10, samples=4)
    for span in (1000, 1000, 1000, 1000, 5, 5, 5, 5):
        times.learn("a", span)
    assert times.expected_ns("a") == 5
