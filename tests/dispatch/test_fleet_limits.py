"""Tests that all schedulers together keep the limits on retries and on cold workers, however each uses its share."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from canvasbeam.dispatch import fleet_limits
from canvasbeam.dispatch.events import WorkerEntry, WorkerState
from canvasbeam.dispatch.fleet_limits import FleetLimits, RetryLimit, WarmUpLimit, WarmUpRate, WindowCount

SECOND = 1_000_000_000
MILLISECOND = 1_000_000
START = 100 * SECOND
RETRY = RetryLimit(ratio=0.2, slack=54, window_ns=10 * SECOND)
COLD = WarmUpLimit(over=1.5, slack=5)
RATE = 9.9
BOUND = RATE * COLD.over + COLD.slack
KIND = "llm"
REGIONS = ("north", "south", "west")
Make = Callable[[str], FleetLimits]


def entry(name: str = "w", cold_until: int = 0, state: WorkerState = WorkerState.LIVE) -> WorkerEntry:
    return WorkerEntry(name, REGIONS[0], KIND, state=state, cold_until_ns=cold_until)


def members(count: int) -> dict[str, str]:
    return {f"edge-{number}": REGIONS[number % len(REGIONS)] for number in range(count)}


def fleet(count: int) -> list[FleetLimits]:
    """Return schedulers that have passed the settling time and know all members of the fleet."""
    schedulers = [FleetLimits(name, RETRY, COLD) for name in members(count)]
    for scheduler in schedulers:
        scheduler.services(START, {KIND: WarmUpRate(RATE)})
        scheduler.members(START, members(count))
        scheduler.listed(START, entry())
    return schedulers


def is_warming_up(scheduler: FleetLimits, now: int) -> bool:
    """Return True if the scheduler takes worker "w" to be warming up."""
    state = scheduler._workers.get("w")
    return state is not None and now < state.warming_until


def most_in_window(times: Iterable[int], window_ns: int) -> int:
    """Return the largest number of events in any window of this length."""
    ordered = sorted(times)
    most = first = 0
    for last, time in enumerate(ordered):
        while ordered[first] <= time - window_ns:
            first += 1
        most = max(most, last - first + 1)
    return most


def flood_cold_worker(schedulers: list[FleetLimits], seed: int, cold_at: int, changes: int = 0) -> list[int]:
    """Let all schedulers send whenever they may; return the times of sends to the cold worker, in nanoseconds."""
    rng = random.Random(seed)
    until = cold_at + 4 * SECOND
    attempts = sorted(
        (START + SECOND + rng.randrange(6 * SECOND), number) for number in range(len(schedulers)) for _ in range(200)
    )
    change_times = sorted(START + rng.randrange(6 * SECOND) for _ in range(changes))
    sent = []
    is_listed = False
    for now, number in attempts:
        if now >= cold_at and not is_listed:
            is_listed = True
            for scheduler in schedulers:
                scheduler.listed(cold_at, entry(cold_until=until))
        while change_times and change_times[0] <= now:
            change_times.pop()
            rng.choice(schedulers).members(now, members(len(schedulers)))
        if now >= cold_at and schedulers[number].may_send_while_warming_up(now, "w"):
            schedulers[number].sent(now, KIND, "w", is_retry=False)
            sent.append(now)
    return [sent_at for sent_at in sent if sent_at < until]


@settings(max_examples=30, deadline=None)
@given(st.integers(1, 40), st.integers(0, 2**32), st.integers(0, 3))
def test_all_schedulers_together_keep_the_limit_of_a_cold_worker(count: int, seed: int, changes: int) -> None:
    sent = flood_cold_worker(fleet(count), seed, START + 2 * SECOND, changes)
    assert most_in_window(sent, SECOND) <= BOUND


def test_hundreds_of_schedulers_keep_the_limit_of_a_cold_worker_and_use_most_of_its_rate() -> None:
    sent = flood_cold_worker(fleet(350), 1, START + 2 * SECOND)
    assert most_in_window(sent, SECOND) <= BOUND
    assert len(sent) >= 4 * RATE * 0.6


def test_seven_schedulers_use_most_of_the_rate_of_a_cold_worker() -> None:
    sent = flood_cold_worker(fleet(7), 1, START + 2 * SECOND)
    assert len(sent) >= 4 * RATE * 0.7


def test_schedulers_of_the_workers_region_get_most_of_its_rate() -> None:
    schedulers = fleet(7)
    shares = [scheduler._own_rate_per_s(scheduler._workers["w"], START + 10 * SECOND) for scheduler in schedulers]
    own = sum(share for share, region in zip(shares, members(7).values(), strict=True) if region == REGIONS[0])
    assert own == pytest.approx(fleet_limits.OWN_REGION_FRACTION * sum(shares))


def test_dead_scheduler_is_counted_while_it_may_still_be_sending() -> None:
    """Guards against a network partition in which each side divides the whole limit among its own schedulers."""
    left, right = fleet(6), fleet(6)
    sides = [left[number] if number % 2 else right[number] for number in range(6)]
    for number, side in enumerate(sides):
        others = {name: region for name, region in members(6).items() if int(name[-1]) % 2 == number % 2}
        side.members(START + SECOND, others)
    sent = flood_cold_worker(sides, 3, START + 2 * SECOND)
    assert most_in_window(sent, SECOND) <= BOUND


def test_scheduler_that_knows_no_members_sends_nothing_to_a_cold_worker() -> None:
    alone = FleetLimits("edge-0", RETRY, COLD)
    alone.services(START, {KIND: WarmUpRate(RATE)})
    alone.listed(START, entry(cold_until=START + SECOND))
    assert not alone.may_send_while_warming_up(START, "w")
    assert alone.may_send_while_warming_up(START + 3 * SECOND, "w")


def test_scheduler_sends_nothing_to_a_cold_worker_until_it_has_settled() -> None:
    fresh = FleetLimits("edge-0", RETRY, COLD, clock_start=START)
    fresh.services(START, {KIND: WarmUpRate(RATE)})
    fresh.members(START, members(1))
    fresh.listed(START, entry(cold_until=START + 60 * SECOND))
    assert not fresh.may_send_while_warming_up(START + SECOND, "w")
    assert fresh.may_send_while_warming_up(START + 8 * SECOND, "w")


def test_worker_that_becomes_usable_again_counts_as_cold() -> None:
    only = fleet(1)[0]
    later = START + 10 * SECOND
    only.listed(later, entry(state=WorkerState.DRAINING))
    assert not is_warming_up(only, later)
    only.listed(later + SECOND, entry())
    assert is_warming_up(only, later + SECOND)
    assert not is_warming_up(only, later + 4 * SECOND)


def test_requests_sent_before_a_worker_turned_cold_count() -> None:
    only = fleet(1)[0]
    for number in range(4):
        only.sent(START + SECOND + number, KIND, "w", is_retry=False)
    only.listed(START + SECOND + 10, entry(cold_until=START + 4 * SECOND))
    assert not only.may_send_while_warming_up(START + SECOND + 20, "w")


def test_service_without_a_rate_has_no_cold_workers() -> None:
    only = fleet(1)[0]
    only.services(START, {KIND: WarmUpRate(0.0)})
    only.listed(START, entry(cold_until=START + SECOND))
    assert only.may_send_while_warming_up(START, "w")


OTHER_KIND = "lookup"
CHANGES: dict[str, Callable[[FleetLimits, int], None]] = {
    "services": lambda limits, now: limits.services(now, {OTHER_KIND: WarmUpRate(RATE)}),
    "members": lambda limits, now: limits.members(now, members(2)),
    "send": lambda limits, now: limits.sent(now, KIND, "w", is_retry=False),
}


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("is_removed", [True, False])
def test_worker_that_warms_up_for_a_service_out_of_the_configuration_does_not_hinder_changes(
    change: str, is_removed: bool
) -> None:
    """Guards against a configuration or member list adopted in part, since one worker has an unknown service."""
    limits = FleetLimits("edge-0", RETRY, COLD)
    services = {OTHER_KIND: WarmUpRate(RATE)}
    limits.services(START, services | {KIND: WarmUpRate(RATE)} if is_removed else services)
    limits.members(START, members(1))
    limits.listed(START, entry(cold_until=START + 9 * SECOND))
    limits.listed(START, replace(entry("other", cold_until=START + 9 * SECOND), kind=OTHER_KIND))
    if is_removed:
        limits.services(START, services)
    CHANGES[change](limits, START + SECOND)
    assert limits.may_send_while_warming_up(START + SECOND, "w")
    limits.members(START + 2 * SECOND, members(40))
    assert limits._own_rate_per_s(limits._workers["other"], START + 2 * SECOND) < RATE
    assert limits._workers["other"].own_rate_per_s is None


def test_limit_of_a_cold_worker_holds_again_once_its_service_is_back_in_the_configuration() -> None:
    schedulers = fleet(7)
    for scheduler in schedulers:
        scheduler.listed(START + SECOND, entry(cold_until=START + 8 * SECOND))
        scheduler.services(START + SECOND, {})
        scheduler.services(START + 2 * SECOND, {KIND: WarmUpRate(RATE)})
    sent = flood_cold_worker(schedulers, 1, START + 2 * SECOND)
    assert 0 < most_in_window(sent, SECOND) <= BOUND


def test_worker_that_changes_its_service_or_region_gets_the_limit_of_the_new_one() -> None:
    """Guards against the limit of a worker's former service, which may have none, and of its former region."""
    limits = FleetLimits("edge-0", RETRY, COLD)
    limits.services(START, {KIND: WarmUpRate(RATE)})
    limits.members(START, members(3))
    cold = entry(cold_until=START + 9 * SECOND)
    limits.listed(START, replace(cold, kind=OTHER_KIND, zone=REGIONS[1]))
    assert all(limits.may_send_while_warming_up(START, "w") for _ in range(9))
    for other in (False, True, False):
        limits.listed(START, replace(cold, zone=REGIONS[1]) if other else cold)
        for _ in range(3):
            limits.sent(START, KIND, "w", is_retry=False)
        assert not limits.may_send_while_warming_up(START, "w")
        fresh = FleetLimits("edge-0", RETRY, COLD)
        fresh.services(START, {KIND: WarmUpRate(RATE)})
        fresh.members(START, members(3))
        fresh.listed(START, replace(cold, zone=REGIONS[1]) if other else cold)
        rates = [each._own_rate_per_s(each._workers["w"], START + 9 * SECOND) for each in (limits, fresh)]
        assert rates[0] == rates[1]


def test_gone_worker_is_forgotten() -> None:
    only = fleet(1)[0]
    only.listed(START, entry(cold_until=START + SECOND))
    only.listed(START, entry(state=WorkerState.GONE))
    assert only.may_send_while_warming_up(START, "w")


# --- retries ----------------------------------------------------------------------------------


def flood_retries(schedulers: list[FleetLimits], seed: int) -> tuple[list[int], list[int]]:
    """Send requests at changing rates, with every scheduler retrying whenever it may.

    Return the times of the requests and of the retries, in nanoseconds.
    """
    rng = random.Random(seed)
    requests: list[int] = []
    retries: list[int] = []
    now = START
    while now < START + 40 * SECOND:
        burst = rng.randrange(1, 4)
        now += rng.randrange(1, 200 * MILLISECOND)
        for _ in range(burst):
            scheduler = rng.choice(schedulers)
            scheduler.arrived(now, KIND)
            requests.append(now)
        for scheduler in schedulers:
            while scheduler.may_retry(now, KIND):
                scheduler.sent(now, KIND, "w", is_retry=True)
                retries.append(now)
    return requests, retries


def permitted_retries(requests: list[int], end: int) -> float:
    """Return the number of retries that the limit permits in the window that ends at `end`."""
    window = RETRY.window_ns
    counts = [
        sum(end - window - shift < request <= end - shift for request in requests) for shift in (0, window // 2, window)
    ]
    return RETRY.ratio * max(counts) + RETRY.slack


def worst_excess(requests: list[int], retries: list[int]) -> float:
    """Return the largest excess of a window's retries over the permitted number, negative if there is none."""
    return max(
        (
            sum(end - RETRY.window_ns < retry <= end for retry in retries) - permitted_retries(requests, end)
            for end in retries
        ),
        default=-1.0,
    )


@settings(max_examples=10, deadline=None)
@given(st.integers(1, 12), st.integers(0, 2**32))
def test_retries_of_all_schedulers_stay_within_the_limit(count: int, seed: int) -> None:
    assert worst_excess(*flood_retries(fleet(count), seed)) <= 0


def test_scheduler_that_knows_no_members_retries_only_by_its_own_requests() -> None:
    alone = FleetLimits("edge-0", RETRY, COLD)
    assert not alone.may_retry(START, KIND)
    for _ in range(10):
        alone.arrived(START, KIND)
    assert alone.may_retry(START + SECOND, KIND)
    alone.sent(START + SECOND, KIND, "w", is_retry=True)
    assert not alone.may_retry(START + SECOND, KIND)


def test_first_attempt_does_not_count_as_retry() -> None:
    only = fleet(1)[0]
    before = only.may_retry(START, KIND)
    for _ in range(500):
        only.sent(START, KIND, "w", is_retry=False)
    assert only.may_retry(START, KIND) is before is True


def test_window_count_drops_events_before_the_window() -> None:
    count = WindowCount(10 * SECOND)
    for second in range(20):
        count.add(second * SECOND)
    assert count.total(19 * SECOND) in (10, 11)
    assert count.total(60 * SECOND) == 0


# --- planted faults: each must break a bound --------------------------------------------------


def test_planted_fault_of_larger_token_buckets_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def fill(self: FleetLimits, worker: fleet_limits.WarmingWorker, now: int) -> None:
        worker.own_rate_per_s = self._own_rate_per_s(worker, now)
        worker.tokens = min(5.0, worker.tokens + 5 * worker.own_rate_per_s * max(0, now - worker.filled_at) / SECOND)
        worker.filled_at = now

    monkeypatch.setattr(FleetLimits, "_refill", fill)
    assert most_in_window(flood_cold_worker(fleet(7), 1, START + 2 * SECOND), SECOND) > BOUND


def test_planted_fault_of_an_undivided_rate_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(FleetLimits, "_own_rate_per_s", lambda self, worker, now: RATE)
    assert most_in_window(flood_cold_worker(fleet(7), 1, START + 2 * SECOND), SECOND) > BOUND


def test_planted_fault_of_hashes_that_differ_between_schedulers_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    shares = iter(range(10**9))
    monkeypatch.setattr(fleet_limits, "_pair_hash", lambda scheduler, worker: next(shares).to_bytes(8, "big"))

    def by_region(self: FleetLimits, worker: fleet_limits.WarmingWorker, now: int) -> tuple[list[str], list[str]]:
        others = [region for region in self._regions if region != self._own_name]
        return [self._own_name, *others], []

    monkeypatch.setattr(FleetLimits, "_schedulers_by_region", by_region)
    assert most_in_window(flood_cold_worker(fleet(60), 1, START + 2 * SECOND), SECOND) > BOUND


def test_planted_fault_of_forgetting_partitioned_schedulers_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet_limits, "SCHEDULER_RETENTION_NS", -1)
    sides = fleet(8)
    for number, side in enumerate(sides):
        side.members(START + SECOND, {f"edge-{number}": REGIONS[0]})
    assert most_in_window(flood_cold_worker(sides, 3, START + 2 * SECOND), SECOND) > BOUND


def test_planted_fault_of_undivided_slack_is_detected() -> None:
    schedulers = fleet(6)
    for scheduler in schedulers:
        scheduler._retry = replace(RETRY, slack=RETRY.slack * 6)
    assert worst_excess(*flood_retries(schedulers, 1)) > 0
