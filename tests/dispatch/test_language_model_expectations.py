"""Tests of the latencies and cache contents that one scheduler expects of language-model workers."""

from __future__ import annotations

import random

import pytest

from canvasbeam.dispatch.events import PromptEstimate, PromptPart, RequestArrived, WorkerEntry, WorkerState
from canvasbeam.dispatch.language_model.expectations import (
    EVENT_GAPS_BEFORE_FIRST_TOKEN,
    PREFIX_CACHE_FRACTION,
    RECENT_OUTPUT_NS,
    TARGET_FRACTION,
    TIMEOUT_REPORT_INTERVAL_NS,
    TIMEOUT_VALID_NS,
    EngineCapacity,
    EngineExpectations,
)
from canvasbeam.dispatch.language_model.learned_latencies import (
    EVENT_GAP_DECAY_NS,
    EVENT_GAP_REPORT_NS,
    OTHER_REGION_ROUND_TRIP_NS,
    OWN_REGION_ROUND_TRIP_NS,
    PREFILL_NS_PER_TOKEN,
)
from tests.support.prefix_caches import cached_tokens

MS = 1_000_000
SECOND = 1_000 * MS
NOW = 100 * SECOND
LATENCY_TARGET_NS = 500 * MS
NEAR = WorkerEntry("near", "here", "llm")
AWAY = WorkerEntry("away", "there", "llm")
CAPACITY = 100_000


def make_expectations() -> EngineExpectations:
    expectations = EngineExpectations("here")
    expectations.set_engines({"llm": EngineCapacity(CAPACITY)})
    return expectations


def job(name: str, tokens: int, *parts: tuple[str, int], max_tokens_out: int = 0) -> RequestArrived:
    prompt = PromptEstimate(tokens, max_tokens_out, tuple(PromptPart(part, size) for part, size in parts))
    return RequestArrived(name, "chat", NOW + 5 * SECOND, prompt=prompt)


def tokens_prefilled_in(span: float) -> int:
    return round(span / PREFILL_NS_PER_TOKEN)


def has_capacity_behind(
    expectations: EngineExpectations, entry: WorkerEntry, now: int, tokens: int, target_ns: int
) -> bool:
    """Return True if the worker has capacity for half of the tokens after a queued prompt with the other half."""
    expectations.sent(now, entry, job("before", tokens // 2))
    return expectations.has_capacity(now, entry, job("j", tokens - tokens // 2), target_ns)


def test_worker_has_capacity_for_prompts_prefilled_within_the_latency_target() -> None:
    max_tokens = tokens_prefilled_in(TARGET_FRACTION * LATENCY_TARGET_NS - OWN_REGION_ROUND_TRIP_NS)
    assert has_capacity_behind(make_expectations(), NEAR, NOW, max_tokens - 10, LATENCY_TARGET_NS)
    assert not has_capacity_behind(make_expectations(), NEAR, NOW, max_tokens + 10, LATENCY_TARGET_NS)


def test_round_trip_to_another_region_counts() -> None:
    max_tokens = tokens_prefilled_in(TARGET_FRACTION * LATENCY_TARGET_NS - OWN_REGION_ROUND_TRIP_NS)
    assert not has_capacity_behind(make_expectations(), AWAY, NOW, max_tokens - 10, LATENCY_TARGET_NS)
    assert has_capacity_behind(
        make_expectations(), AWAY, NOW, max_tokens - tokens_prefilled_in(OTHER_REGION_ROUND_TRIP_NS), LATENCY_TARGET_NS
    )


def test_prompt_too_large_for_its_target_needs_a_short_prefill_queue() -> None:
    expectations = make_expectations()
    large = job("large", tokens_prefilled_in(2 * LATENCY_TARGET_NS))
    assert expectations.has_capacity(NOW, NEAR, large, LATENCY_TARGET_NS)
    expectations.sent(NOW, NEAR, job("first", 9000))
    assert not expectations.has_capacity(NOW, NEAR, large, LATENCY_TARGET_NS)


def test_prompts_reported_by_others_count_until_a_later_first_token() -> None:
    expectations = make_expectations()
    expectations.listed(NOW, NEAR)
    half = tokens_prefilled_in(LATENCY_TARGET_NS / 2)
    prompt = job("other", half, ("a", half)).prompt
    assert prompt is not None
    expectations.note_remote_attempt(NOW, "near", prompt)
    assert not expectations.has_capacity(NOW, NEAR, job("j", half, ("b", half)), LATENCY_TARGET_NS)
    assert cached_tokens(expectations, NEAR, job("j", half, ("a", half))) == half
    expectations.sent(NOW, NEAR, job("own", 10))
    expectations.started(NOW + 10 * MS, "near", "own")
    assert expectations.has_capacity(NOW + 10 * MS, NEAR, job("j", half, ("b", half)), LATENCY_TARGET_NS)


def test_reports_about_unknown_workers_are_ignored() -> None:
    expectations = make_expectations()
    expectations.note_remote_attempt(NOW, "unknown", PromptEstimate(1000, 0))
    assert cached_tokens(expectations, WorkerEntry("unknown", "here", "llm"), job("j", 1000)) == 0


def test_each_send_calls_the_attempt_listener() -> None:
    expectations, sends = make_expectations(), []
    expectations.on_attempt = lambda entry, prompt: sends.append((entry.worker, prompt.tokens_in))
    expectations.sent(NOW, NEAR, job("j", 1000))
    assert sends == [("near", 1000)]


def test_queued_prompts_count_until_their_prefill_should_be_over() -> None:
    expectations = make_expectations()
    half = tokens_prefilled_in(LATENCY_TARGET_NS / 2)
    expectations.sent(NOW, NEAR, job("first", half))
    assert not expectations.has_capacity(NOW, NEAR, job("j", half), LATENCY_TARGET_NS)
    assert expectations.has_capacity(NOW + LATENCY_TARGET_NS // 2, NEAR, job("j", half), LATENCY_TARGET_NS)


def test_first_token_shows_that_the_prefill_is_over() -> None:
    expectations = make_expectations()
    half = tokens_prefilled_in(LATENCY_TARGET_NS / 2)
    expectations.sent(NOW, NEAR, job("first", half))
    expectations.started(NOW + 20 * MS, "near", "first")
    assert expectations.has_capacity(NOW + 20 * MS, NEAR, job("j", half), LATENCY_TARGET_NS)


def test_request_that_ended_before_its_prefill_no_longer_counts() -> None:
    expectations = make_expectations()
    half = tokens_prefilled_in(LATENCY_TARGET_NS / 2)
    expectations.sent(NOW, NEAR, job("first", half))
    expectations.ended(NOW, "near", "first")
    assert expectations.has_capacity(NOW, NEAR, job("j", half), LATENCY_TARGET_NS)


def test_late_first_token_reveals_other_schedulers_prompts_and_decays() -> None:
    expectations = make_expectations()
    expectations.sent(NOW, NEAR, job("first", 100))
    expectations.started(NOW + 600 * MS, "near", "first")
    assert not expectations.has_capacity(NOW + 600 * MS, NEAR, job("j", 100), LATENCY_TARGET_NS)
    assert expectations.has_capacity(NOW + 1200 * MS, NEAR, job("j", 100), LATENCY_TARGET_NS)


def test_request_past_its_target_needs_a_short_prefill_queue() -> None:
    expectations = make_expectations()
    assert expectations.has_capacity(NOW, NEAR, job("late", 9000), -1)
    expectations.sent(NOW, NEAR, job("first", 9000))
    assert not expectations.has_capacity(NOW, NEAR, job("late", 100), -1)


def test_cached_prefixes_are_not_prefilled_again() -> None:
    expectations = make_expectations()
    shared = job("first", 10_000, ("a", 5000), ("b", 4900), ("own", 100))
    expectations.sent(NOW, NEAR, shared)
    assert cached_tokens(expectations, NEAR, job("j", 10_000, ("a", 5000), ("b", 4900), ("other", 100))) == 9900
    assert cached_tokens(expectations, NEAR, job("j", 10_000, ("a", 5000), ("c", 4900))) == 5000
    assert cached_tokens(expectations, NEAR, job("j", 10_000, ("b", 4900))) == 0
    assert cached_tokens(expectations, AWAY, shared) == 0


def test_least_recently_used_prefixes_are_evicted() -> None:
    expectations = make_expectations()
    max_tokens = round(PREFIX_CACHE_FRACTION * CAPACITY)
    first, second = job("1", max_tokens // 2, ("a", max_tokens // 2)), job("2", max_tokens // 2, ("b", max_tokens // 2))
    for request in (first, second, first, job("3", max_tokens // 2, ("c", max_tokens // 2))):
        expectations.sent(NOW, NEAR, request)
    assert cached_tokens(expectations, NEAR, first)
    assert not cached_tokens(expectations, NEAR, second)


def test_worker_with_a_full_kv_cache_has_no_capacity_unless_idle() -> None:
    expectations = make_expectations()
    large = job("large", 100, max_tokens_out=CAPACITY)
    assert expectations.has_capacity(NOW, NEAR, large, LATENCY_TARGET_NS)
    expectations.sent(NOW, NEAR, large)
    expectations.started(NOW, "near", "large")
    assert not expectations.has_capacity(NOW, NEAR, job("j", 100), LATENCY_TARGET_NS)
    expectations.ended(NOW, "near", "large")
    assert expectations.has_capacity(NOW, NEAR, job("j", 100), LATENCY_TARGET_NS)


def test_gone_worker_is_forgotten() -> None:
    expectations = make_expectations()
    shared = job("1", 1000, ("a", 1000))
    expectations.sent(NOW, NEAR, shared)
    expectations.listed(NOW, WorkerEntry("near", "here", "llm", state=WorkerState.GONE))
    assert cached_tokens(expectations, NEAR, shared) == 0


def test_worker_that_changes_its_service_is_modelled_as_one_of_the_new_service() -> None:
    """Guards against an exception in the dispatcher at a send, and against a zone that is judged by a former worker."""
    expectations = make_expectations()
    expectations.listed(NOW, WorkerEntry("w", "there", "lookup"))
    expectations.listed(NOW, WorkerEntry("w", "here", "llm"))
    expectations.sent(NOW, WorkerEntry("w", "here", "llm"), job("a", 1000))
    assert expectations.expected_ns("w", "a") > 0
    later = NOW + 10 * SECOND
    assert not expectations.has_capacity(later, WorkerEntry("w", "here", "llm"), job("b", 1000), SECOND)
    assert expectations.has_capacity(later, AWAY, job("b", 1000), SECOND)


def test_workers_without_engines_always_have_capacity() -> None:
    expectations = make_expectations()
    plain = WorkerEntry("plain", "here", "lookup")
    for number in range(100):
        assert expectations.has_capacity(NOW, plain, job("j", 10_000), LATENCY_TARGET_NS)
        expectations.sent(NOW, plain, job(f"j{number}", 10_000))


@pytest.mark.parametrize("ns_per_token", [PREFILL_NS_PER_TOKEN / 2, PREFILL_NS_PER_TOKEN * 3])
def test_prefill_time_per_token_is_learned(ns_per_token: float) -> None:
    """Guards the learned prefill time: after 40 prompts the expected TTFT is 0.8 to 1.25 times the true one."""
    expectations, now, rng = make_expectations(), NOW, random.Random(1)
    for number in range(40):
        tokens = rng.randrange(4000, 9000)
        expectations.sent(now, NEAR, job(str(number), tokens))
        now += round(5 * MS + tokens * ns_per_token)
        expectations.started(now, "near", str(number))
        expectations.ended(now, "near", str(number))
        now += 5 * SECOND
    true_first_token_ns = 5 * MS + 6000 * ns_per_token
    assert has_capacity_behind(expectations, NEAR, now, 6000, round(true_first_token_ns * 1.25 / TARGET_FRACTION))
    expectations.ended(now, "near", "before")
    assert not has_capacity_behind(expectations, NEAR, now, 6000, round(true_first_token_ns * 0.8 / TARGET_FRACTION))


def test_worker_with_an_overdue_first_token_has_no_capacity_until_a_first_token() -> None:
    expectations = make_expectations()
    expectations.sent(NOW, NEAR, job("dark", 100))
    later = NOW + SECOND
    assert expectations.has_capacity(NOW + 100 * MS, NEAR, job("j", 100), LATENCY_TARGET_NS)
    assert not expectations.has_capacity(later, NEAR, job("j", 100), LATENCY_TARGET_NS)
    expectations.started(later, "near", "dark")
    assert expectations.has_capacity(later + SECOND, NEAR, job("j", 100), LATENCY_TARGET_NS)


def test_worker_that_began_a_later_request_is_not_unresponsive() -> None:
    expectations = make_expectations()
    expectations.sent(NOW, NEAR, job("first", 100))
    expectations.sent(NOW + MS, NEAR, job("second", 100))
    expectations.started(NOW + 30 * MS, "near", "second")
    assert expectations.has_capacity(NOW + SECOND, NEAR, job("j", 100), LATENCY_TARGET_NS)


def test_unresponsive_worker_marks_its_zone_unresponsive_except_the_own_zone() -> None:
    expectations = make_expectations()
    other_away, other_near = WorkerEntry("away-2", "there", "llm"), WorkerEntry("near-2", "here", "llm")
    expectations.sent(NOW, AWAY, job("cut", 100))
    expectations.sent(NOW, NEAR, job("dark", 100))
    later = NOW + SECOND
    assert not expectations.has_capacity(later, other_away, job("j", 100), LATENCY_TARGET_NS)
    assert expectations.has_capacity(later, other_near, job("j", 100), LATENCY_TARGET_NS)
    expectations.ended(later, "away", "cut")
    assert expectations.has_capacity(later + 1, other_away, job("j", 100), LATENCY_TARGET_NS)


def test_zone_with_a_later_first_token_is_not_unresponsive() -> None:
    expectations = make_expectations()
    other = WorkerEntry("away-2", "there", "llm")
    expectations.sent(NOW, AWAY, job("slow", 100))
    expectations.sent(NOW + MS, other, job("quick", 100))
    expectations.started(NOW + 130 * MS, "away-2", "quick")
    assert expectations.has_capacity(NOW + SECOND, other, job("j", 100), LATENCY_TARGET_NS)
    assert not expectations.has_capacity(NOW + SECOND, AWAY, job("j", 100), LATENCY_TARGET_NS)


# --- event gaps and unresponsive workers, observed here and reported by other schedulers -------------------------


def test_event_gap_delays_the_expected_first_token_and_decays() -> None:
    expectations = make_expectations()
    expectations.listed(NOW, NEAR)
    without_gaps = expectations.first_token_ns(NOW, NEAR, job("j", 1000))
    expectations.note_event_gap(NOW, "near", 300.0 * MS)
    assert expectations.first_token_ns(NOW, NEAR, job("j", 1000)) == pytest.approx(
        without_gaps + EVENT_GAPS_BEFORE_FIRST_TOKEN * 300 * MS
    )
    later = NOW + 10 * EVENT_GAP_DECAY_NS
    assert expectations.first_token_ns(later, NEAR, job("j", 1000)) == pytest.approx(without_gaps, abs=MS)


def test_event_gap_reported_by_another_scheduler_counts_and_is_not_reported_on() -> None:
    expectations = make_expectations()
    expectations.listed(NOW, NEAR)
    without_gaps = expectations.first_token_ns(NOW, NEAR, job("j", 1000))
    expectations.note_remote_attempt(NOW, "near", PromptEstimate(1, 0), 300.0 * MS)
    assert expectations.first_token_ns(NOW, NEAR, job("j", 1000)) > without_gaps + 299 * MS
    assert expectations.event_gap_to_report_ns(NOW, "near") == 0.0


def test_only_recently_observed_event_gaps_are_reported() -> None:
    expectations = make_expectations()
    expectations.listed(NOW, NEAR)
    expectations.note_event_gap(NOW, "near", 300.0 * MS)
    assert expectations.event_gap_to_report_ns(NOW, "near") == 300.0 * MS
    assert expectations.event_gap_to_report_ns(NOW + EVENT_GAP_REPORT_NS, "near") == 0.0
    assert expectations.event_gap_to_report_ns(NOW, "unknown") == 0.0


def make_worker_unresponsive(expectations: EngineExpectations) -> tuple[int, list[str]]:
    """Make a first token of "near" long overdue; return the present time and the workers reported unresponsive."""
    reported: list[str] = []
    expectations.on_timeout = lambda entry: reported.append(entry.worker)
    expectations.sent(NOW, NEAR, job("lost", 1000))
    return NOW + 2 * SECOND, reported


def test_unresponsive_worker_is_reported_at_intervals() -> None:
    expectations = make_expectations()
    now, reported = make_worker_unresponsive(expectations)
    for passed in (0, TIMEOUT_REPORT_INTERVAL_NS // 2, TIMEOUT_REPORT_INTERVAL_NS):
        assert not expectations.has_capacity(now + passed, NEAR, job("j", 100), LATENCY_TARGET_NS)
    assert reported == ["near", "near"]


def test_worker_with_recent_output_is_not_reported_unresponsive() -> None:
    expectations = make_expectations()
    now, reported = make_worker_unresponsive(expectations)
    expectations.note_event_gap(now - MS, "near", 50.0 * MS)
    assert not expectations.has_capacity(now, NEAR, job("j", 100), LATENCY_TARGET_NS)
    assert reported == []


def test_worker_reported_unresponsive_has_no_capacity_until_output_or_expiry() -> None:
    expectations = make_expectations()
    expectations.listed(NOW, NEAR)
    expectations.note_remote_timeout(NOW, "near")
    assert not expectations.has_capacity(NOW, NEAR, job("j", 100), LATENCY_TARGET_NS)
    assert expectations.has_capacity(NOW + TIMEOUT_VALID_NS, NEAR, job("j", 100), LATENCY_TARGET_NS)
    expectations.sent(NOW, NEAR, job("mine", 100))
    expectations.note_remote_timeout(NOW, "near")
    expectations.started(NOW + MS, "near", "mine")
    assert expectations.has_capacity(NOW + MS, NEAR, job("j", 100), LATENCY_TARGET_NS)


def test_report_of_an_unresponsive_worker_is_ignored_after_recent_output() -> None:
    expectations = make_expectations()
    expectations.listed(NOW, NEAR)
    expectations.note_event_gap(NOW, "near", 50.0 * MS)
    expectations.note_remote_timeout(NOW + RECENT_OUTPUT_NS, "near")
    assert expectations.has_capacity(NOW + RECENT_OUTPUT_NS, NEAR, job("j", 100), LATENCY_TARGET_NS)
