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
AIM = 500 * MS
NEAR = WorkerEntry("near", "here", "llm")
AWAY = WorkerEntry("away", "there", "llm")
CAPACITY = 100_000


def model() -> EngineExpectations:
    expectations = EngineExpectations("here")
    expectations.set_engines({"llm": EngineCapacity(CAPACITY)})
    return expectations


def job(name: str, tokens: int, *parts: tuple[str, int], out: int = 0) -> RequestArrived:
    prompt = PromptEstimate(tokens, out, tuple(PromptPart(part, size) for part, size in parts))
    return RequestArrived(name, "chat", NOW + 5 * SECOND, prompt=prompt)


def tokens_read_in(span: float) -> int:
    return round(span / PREFILL_NS_PER_TOKEN)


def room_behind(expectations: EngineExpectations, entry: WorkerEntry, now: int, tokens: int, aim: int) -> bool:
    """Return True if the worker has capacity for half of the tokens after a queued prompt with the other half."""
    expectations.sent(now, entry, job("before", tokens // 2))
    return expectations.has_capacity(now, entry, job("j", tokens - tokens // 2), aim)


def test_a_worker_has_room_for_what_it_reads_within_the_aim() -> None:
    most = tokens_read_in(TARGET_FRACTION * AIM - OWN_REGION_ROUND_TRIP_NS)
    assert room_behind(model(), NEAR, NOW, most - 10, AIM)
    assert not room_behind(model(), NEAR, NOW, most + 10, AIM)


def test_the_way_to_another_region_counts() -> None:
    most = tokens_read_in(TARGET_FRACTION * AIM - OWN_REGION_ROUND_TRIP_NS)
    assert not room_behind(model(), AWAY, NOW, most - 10, AIM)
    assert room_behind(model(), AWAY, NOW, most - tokens_read_in(OTHER_REGION_ROUND_TRIP_NS), AIM)


def test_a_prompt_too_large_for_its_aim_goes_only_where_little_waits() -> None:
    expectations = model()
    large = job("large", tokens_read_in(2 * AIM))
    assert expectations.has_capacity(NOW, NEAR, large, AIM)
    expectations.sent(NOW, NEAR, job("first", 9000))
    assert not expectations.has_capacity(NOW, NEAR, large, AIM)


def test_prompts_that_others_tell_of_count_until_a_later_one_is_read() -> None:
    expectations = model()
    expectations.listed(NOW, NEAR)
    half = tokens_read_in(AIM / 2)
    prompt = job("other", half, ("a", half)).prompt
    assert prompt is not None
    expectations.note_remote_attempt(NOW, "near", prompt)
    assert not expectations.has_capacity(NOW, NEAR, job("j", half, ("b", half)), AIM)
    assert cached_tokens(expectations, NEAR, job("j", half, ("a", half))) == half
    expectations.sent(NOW, NEAR, job("own", 10))
    expectations.started(NOW + 10 * MS, "near", "own")
    assert expectations.has_capacity(NOW + 10 * MS, NEAR, job("j", half, ("b", half)), AIM)


def test_what_others_tell_of_unknown_workers_is_passed_over() -> None:
    expectations = model()
    expectations.note_remote_attempt(NOW, "unknown", PromptEstimate(1000, 0))
    assert cached_tokens(expectations, WorkerEntry("unknown", "here", "llm"), job("j", 1000)) == 0


def test_each_send_is_told_to_who_listens() -> None:
    expectations, told = model(), []
    expectations.on_attempt = lambda entry, prompt: told.append((entry.worker, prompt.tokens_in))
    expectations.sent(NOW, NEAR, job("j", 1000))
    assert told == [("near", 1000)]


def test_prompts_before_it_count_until_they_are_read() -> None:
    expectations = model()
    half = tokens_read_in(AIM / 2)
    expectations.sent(NOW, NEAR, job("first", half))
    assert not expectations.has_capacity(NOW, NEAR, job("j", half), AIM)
    assert expectations.has_capacity(NOW + AIM // 2, NEAR, job("j", half), AIM)


def test_a_first_token_shows_that_the_prompt_is_read() -> None:
    expectations = model()
    half = tokens_read_in(AIM / 2)
    expectations.sent(NOW, NEAR, job("first", half))
    expectations.started(NOW + 20 * MS, "near", "first")
    assert expectations.has_capacity(NOW + 20 * MS, NEAR, job("j", half), AIM)


def test_a_job_that_ended_unread_no_longer_counts() -> None:
    expectations = model()
    half = tokens_read_in(AIM / 2)
    expectations.sent(NOW, NEAR, job("first", half))
    expectations.ended(NOW, "near", "first")
    assert expectations.has_capacity(NOW, NEAR, job("j", half), AIM)


def test_a_late_first_token_tells_of_other_schedulers_prompts_and_fades() -> None:
    expectations = model()
    expectations.sent(NOW, NEAR, job("first", 100))
    expectations.started(NOW + 600 * MS, "near", "first")
    assert not expectations.has_capacity(NOW + 600 * MS, NEAR, job("j", 100), AIM)
    assert expectations.has_capacity(NOW + 1200 * MS, NEAR, job("j", 100), AIM)


def test_a_job_past_its_aim_goes_only_where_little_waits() -> None:
    expectations = model()
    assert expectations.has_capacity(NOW, NEAR, job("late", 9000), -1)
    expectations.sent(NOW, NEAR, job("first", 9000))
    assert not expectations.has_capacity(NOW, NEAR, job("late", 100), -1)


def test_kept_parts_are_not_read_again() -> None:
    expectations = model()
    shared = job("first", 10_000, ("a", 5000), ("b", 4900), ("own", 100))
    expectations.sent(NOW, NEAR, shared)
    assert cached_tokens(expectations, NEAR, job("j", 10_000, ("a", 5000), ("b", 4900), ("other", 100))) == 9900
    assert cached_tokens(expectations, NEAR, job("j", 10_000, ("a", 5000), ("c", 4900))) == 5000
    assert cached_tokens(expectations, NEAR, job("j", 10_000, ("b", 4900))) == 0
    assert cached_tokens(expectations, AWAY, shared) == 0


def test_the_least_recently_used_parts_give_way() -> None:
    expectations = model()
    most = round(PREFIX_CACHE_FRACTION * CAPACITY)
    first, second = job("1", most // 2, ("a", most // 2)), job("2", most // 2, ("b", most // 2))
    for each in (first, second, first, job("3", most // 2, ("c", most // 2))):
        expectations.sent(NOW, NEAR, each)
    assert cached_tokens(expectations, NEAR, first)
    assert not cached_tokens(expectations, NEAR, second)


def test_a_worker_without_memory_has_no_room_unless_nothing_runs_there() -> None:
    expectations = model()
    large = job("large", 100, out=CAPACITY)
    assert expectations.has_capacity(NOW, NEAR, large, AIM)
    expectations.sent(NOW, NEAR, large)
    expectations.started(NOW, "near", "large")
    assert not expectations.has_capacity(NOW, NEAR, job("j", 100), AIM)
    expectations.ended(NOW, "near", "large")
    assert expectations.has_capacity(NOW, NEAR, job("j", 100), AIM)


def test_a_worker_that_is_gone_is_forgotten() -> None:
    expectations = model()
    shared = job("1", 1000, ("a", 1000))
    expectations.sent(NOW, NEAR, shared)
    expectations.listed(NOW, WorkerEntry("near", "here", "llm", state=WorkerState.GONE))
    assert cached_tokens(expectations, NEAR, shared) == 0


def test_workers_without_engines_always_have_room() -> None:
    expectations = model()
    plain = WorkerEntry("plain", "here", "lookup")
    for number in range(100):
        assert expectations.has_capacity(NOW, plain, job("j", 10_000), AIM)
        expectations.sent(NOW, plain, job(f"j{number}", 10_000))


@pytest.mark.parametrize("pace", [PREFILL_NS_PER_TOKEN / 2, PREFILL_NS_PER_TOKEN * 3])
def test_the_time_to_read_a_token_is_learned(pace: float) -> None:
    """Guards the learned prefill time: after 40 prompts the expected TTFT is 0.8 to 1.25 times the true one."""
    expectations, now, chance = model(), NOW, random.Random(1)
    for number in range(40):
        tokens = chance.randrange(4000, 9000)
        expectations.sent(now, NEAR, job(str(number), tokens))
        now += round(5 * MS + tokens * pace)
        expectations.started(now, "near", str(number))
        expectations.ended(now, "near", str(number))
        now += 5 * SECOND
    true = 5 * MS + 6000 * pace
    assert room_behind(expectations, NEAR, now, 6000, round(true * 1.25 / TARGET_FRACTION))
    expectations.ended(now, "near", "before")
    assert not room_behind(expectations, NEAR, now, 6000, round(true * 0.8 / TARGET_FRACTION))


def test_a_worker_whose_first_token_is_overdue_has_no_room_until_one_comes() -> None:
    expectations = model()
    expectations.sent(NOW, NEAR, job("dark", 100))
    later = NOW + SECOND
    assert expectations.has_capacity(NOW + 100 * MS, NEAR, job("j", 100), AIM)
    assert not expectations.has_capacity(later, NEAR, job("j", 100), AIM)
    expectations.started(later, "near", "dark")
    assert expectations.has_capacity(later + SECOND, NEAR, job("j", 100), AIM)


def test_a_worker_that_began_a_later_job_is_not_dark() -> None:
    expectations = model()
    expectations.sent(NOW, NEAR, job("first", 100))
    expectations.sent(NOW + MS, NEAR, job("second", 100))
    expectations.started(NOW + 30 * MS, "near", "second")
    assert expectations.has_capacity(NOW + SECOND, NEAR, job("j", 100), AIM)


def test_a_silent_worker_shows_its_zone_cut_off_but_not_the_own_one() -> None:
    expectations = model()
    other_away, other_near = WorkerEntry("away-2", "there", "llm"), WorkerEntry("near-2", "here", "llm")
    expectations.sent(NOW, AWAY, job("cut", 100))
    expectations.sent(NOW, NEAR, job("dark", 100))
    later = NOW + SECOND
    assert not expectations.has_capacity(later, other_away, job("j", 100), AIM)
    assert expectations.has_capacity(later, other_near, job("j", 100), AIM)
    expectations.ended(later, "away", "cut")
    assert expectations.has_capacity(later + 1, other_away, job("j", 100), AIM)


def test_a_zone_that_is_heard_of_is_not_cut_off() -> None:
    expectations = model()
    other = WorkerEntry("away-2", "there", "llm")
    expectations.sent(NOW, AWAY, job("slow", 100))
    expectations.sent(NOW + MS, other, job("quick", 100))
    expectations.started(NOW + 130 * MS, "away-2", "quick")
    assert expectations.has_capacity(NOW + SECOND, other, job("j", 100), AIM)
    assert not expectations.has_capacity(NOW + SECOND, AWAY, job("j", 100), AIM)


# --- event gaps and unresponsive workers, observed here and reported by other schedulers -------------------------


def test_a_worker_whose_streams_pause_is_expected_to_begin_later_for_a_while() -> None:
    expectations = model()
    expectations.listed(NOW, NEAR)
    alone = expectations.first_token_ns(NOW, NEAR, job("j", 1000))
    expectations.note_event_gap(NOW, "near", 300.0 * MS)
    assert expectations.first_token_ns(NOW, NEAR, job("j", 1000)) == pytest.approx(
        alone + EVENT_GAPS_BEFORE_FIRST_TOKEN * 300 * MS
    )
    later = NOW + 10 * EVENT_GAP_DECAY_NS
    assert expectations.first_token_ns(later, NEAR, job("j", 1000)) == pytest.approx(alone, abs=MS)


def test_a_pause_that_another_tells_of_counts_and_is_not_told_on() -> None:
    expectations = model()
    expectations.listed(NOW, NEAR)
    alone = expectations.first_token_ns(NOW, NEAR, job("j", 1000))
    expectations.note_remote_attempt(NOW, "near", PromptEstimate(1, 0), 300.0 * MS)
    assert expectations.first_token_ns(NOW, NEAR, job("j", 1000)) > alone + 299 * MS
    assert expectations.event_gap_to_report_ns(NOW, "near") == 0.0


def test_only_what_was_seen_lately_is_told() -> None:
    expectations = model()
    expectations.listed(NOW, NEAR)
    expectations.note_event_gap(NOW, "near", 300.0 * MS)
    assert expectations.event_gap_to_report_ns(NOW, "near") == 300.0 * MS
    assert expectations.event_gap_to_report_ns(NOW + EVENT_GAP_REPORT_NS, "near") == 0.0
    assert expectations.event_gap_to_report_ns(NOW, "unknown") == 0.0


def silent_worker(expectations: EngineExpectations) -> tuple[int, list[str]]:
    """Make a first token of "near" long overdue; return the present time and the workers reported unresponsive."""
    told: list[str] = []
    expectations.on_timeout = lambda entry: told.append(entry.worker)
    expectations.sent(NOW, NEAR, job("lost", 1000))
    return NOW + 2 * SECOND, told


def test_the_silence_of_a_worker_is_told_now_and_then() -> None:
    expectations = model()
    now, told = silent_worker(expectations)
    for passed in (0, TIMEOUT_REPORT_INTERVAL_NS // 2, TIMEOUT_REPORT_INTERVAL_NS):
        assert not expectations.has_capacity(now + passed, NEAR, job("j", 100), AIM)
    assert told == ["near", "near"]


def test_a_worker_whose_streams_go_on_is_not_told_of_as_silent() -> None:
    expectations = model()
    now, told = silent_worker(expectations)
    expectations.note_event_gap(now - MS, "near", 50.0 * MS)
    assert not expectations.has_capacity(now, NEAR, job("j", 100), AIM)
    assert told == []


def test_a_worker_told_of_as_silent_has_no_room_until_it_is_heard_or_a_moment_has_passed() -> None:
    expectations = model()
    expectations.listed(NOW, NEAR)
    expectations.note_remote_timeout(NOW, "near")
    assert not expectations.has_capacity(NOW, NEAR, job("j", 100), AIM)
    assert expectations.has_capacity(NOW + TIMEOUT_VALID_NS, NEAR, job("j", 100), AIM)
    expectations.sent(NOW, NEAR, job("mine", 100))
    expectations.note_remote_timeout(NOW, "near")
    expectations.started(NOW + MS, "near", "mine")
    assert expectations.has_capacity(NOW + MS, NEAR, job("j", 100), AIM)


def test_who_has_just_heard_of_a_worker_does_not_believe_that_it_is_silent() -> None:
    expectations = model()
    expectations.listed(NOW, NEAR)
    expectations.note_event_gap(NOW, "near", 50.0 * MS)
    expectations.note_remote_timeout(NOW + RECENT_OUTPUT_NS, "near")
    assert expectations.has_capacity(NOW + RECENT_OUTPUT_NS, NEAR, job("j", 100), AIM)
