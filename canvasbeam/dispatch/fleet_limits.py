"""Limit the sum over all schedulers of retries to a service, and of requests to a worker that is warming up.

Pure: takes events and the time in whole nanoseconds, returns decisions; no I/O, no clock. `FleetLimits` is the
`FleetLimiter` of one scheduler. Each scheduler computes its quota share of a limit without exchanging messages, so that
no message loss, network partition or delay can make the sum exceed the limit.

| limit, over all schedulers | the quota share of one scheduler |
| --- | --- |
| retries in a window: `ratio` x requests + `slack` | `ratio` x own requests + `slack` / schedulers, less a margin |
| requests per second to a worker that is warming up: `rate` x `over` + `slack` | a token bucket; the sum fits |

A scheduler is counted for a while after it was last seen alive, because a partitioned scheduler may still be sending. A
scheduler that has just started, or that is missing from its own list of live schedulers, has no share of the slack and
sends nothing to workers that are warming up.

Each token bucket for a worker that is warming up contains at most one request, so the number of buckets (`holders`)
plus the refill rate that they share must fit in the limit. If there are more schedulers than holders, rendezvous
hashing of scheduler and worker (Thaler, Ravishankar, 1998) selects the schedulers that get a bucket. Most of these are
in the worker's own region, because requests of that region go to the worker first.

| state of a worker | the state ends |
| --- | --- |
| warm | when discovery reports the worker as warming up, or the worker is usable again after it was not |
| warming up | at `warming_until` |
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

from canvasbeam.dispatch.events import WorkerEntry, WorkerState
from canvasbeam.units import SECOND

# The fraction of a limit that is used, because requests in flight may arrive closer together than they were sent.
SAFETY_FACTOR = 0.85
# A scheduler is counted for this long after it was last seen alive.
SCHEDULER_RETENTION_NS = 15 * SECOND
# A worker that is usable again is assumed to be warming up for this long, because it may have restarted since the last
# update from discovery.
RETURN_WARM_UP_NS = 2 * SECOND + SECOND // 2
# The fraction of a warming-up worker's token buckets and refill rate that schedulers of the worker's own region get.
OWN_REGION_FRACTION = 0.75
# The number of slices in which a sliding window is counted.
WINDOW_SLICES = 50


@dataclass(frozen=True, slots=True)
class RetryLimit:
    """Limit on retries to a service in any window: `ratio` (0 to 1) times its requests, plus `slack` retries."""

    ratio: float
    slack: float
    window_ns: int = 10 * SECOND


@dataclass(frozen=True, slots=True)
class WarmUpLimit:
    """Limit on requests to a worker in any second of its warm-up: `over` times its rate, plus `slack` requests."""

    over: float
    slack: float


@dataclass(frozen=True, slots=True)
class WarmUpRate:
    """The rate, in requests per second, that a service's worker can serve while warming up; 0 = no limit."""

    per_s: float


class WindowCount:
    """Counts events in a sliding window, in slices; a slice is dropped once it lies completely before the window."""

    def __init__(self, window_ns: int) -> None:
        self._slice_ns = max(1, window_ns // WINDOW_SLICES)
        self._slices: deque[list[int]] = deque()
        self._window_ns = window_ns
        self._total = 0

    def add(self, now: int) -> None:
        """Count one event."""
        slice_number = now // self._slice_ns
        if self._slices and self._slices[-1][0] >= slice_number:
            self._slices[-1][1] += 1
        else:
            self._slices.append([slice_number, 1])
        self._total += 1

    def total(self, now: int, skipped_slices: int = 0) -> int:
        """Return the number of events in the window that ends now.

        The oldest `skipped_slices` slices, which may lie partly outside the window, are not counted.
        """
        oldest = (now - self._window_ns) // self._slice_ns
        while self._slices and self._slices[0][0] < oldest:
            self._total -= self._slices.popleft()[1]
        if not skipped_slices:
            return self._total
        return self._total - sum(count for number, count in self._slices if number < oldest + skipped_slices)


@dataclass(slots=True)
class WarmingWorker:
    """The token bucket for a worker that may be warming up; `tokens` are in requests, as of `filled_at`."""

    name: str
    region: str
    kind: str
    usable: bool
    warming_until: int = 0
    tokens: float = 0.0
    filled_at: int = 0
    recent_sends: deque[int] = field(default_factory=lambda: deque(maxlen=4))
    own_rate_per_s: float | None = None  # this scheduler's refill rate; None = must be recomputed
    own_rate_at: int = 0


class FleetLimits:
    """One scheduler's quota share of all limits; a `FleetLimiter`. Times are nanoseconds of one monotonic clock."""

    def __init__(
        self,
        own_name: str,
        retry: RetryLimit,
        warm_up: WarmUpLimit,
        clock_start: int = 0,
        settling_ns: int = 5 * SECOND,
    ) -> None:
        self._own_name = own_name
        self._retry = retry
        self._warm_up = warm_up
        self._shares_valid_at = clock_start + settling_ns
        self._rates: dict[str, WarmUpRate] = {}
        self._regions: dict[str, str] = {}  # region of each counted scheduler, by name
        self._live_names: frozenset[str] = frozenset()
        self._last_seen_at: dict[str, int] = {}  # time in nanoseconds, for each scheduler no longer alive
        self._requests: dict[str, WindowCount] = {}
        self._retries: dict[str, WindowCount] = {}
        self._workers: dict[str, WarmingWorker] = {}

    # --- updates ----------------------------------------------------------------------------------

    def members(self, now: int, regions: Mapping[str, str]) -> None:
        """Replace the schedulers that carry traffic and are alive; `regions` is keyed by scheduler name."""
        for gone in self._live_names - regions.keys():
            self._last_seen_at[gone] = now
        self._live_names = frozenset(regions)
        self._regions.update(regions)
        self._expire_schedulers(now)
        self._invalidate_rates(now)

    def services(self, now: int, rates: Mapping[str, WarmUpRate]) -> None:
        """Replace the warm-up rates, keyed by service, with those of the active configuration."""
        self._rates = dict(rates)
        self._invalidate_rates(now)

    def listed(self, now: int, entry: WorkerEntry) -> None:
        """Update a worker from its discovery entry, and start a warm-up if the entry calls for one."""
        if entry.state is WorkerState.GONE:
            self._workers.pop(entry.worker, None)
            return
        usable = entry.state is WorkerState.LIVE
        worker = self._workers.get(entry.worker)
        if worker is None:
            worker = WarmingWorker(entry.worker, entry.zone, entry.kind, usable)
            self._workers[entry.worker] = worker
            if now >= self._shares_valid_at:
                self._start_warm_up(worker, now, now + RETURN_WARM_UP_NS)
        elif usable and not worker.usable:
            self._start_warm_up(worker, now, now + RETURN_WARM_UP_NS)
        worker.usable = usable
        if (worker.region, worker.kind) != (entry.zone, entry.kind):
            worker.region, worker.kind = entry.zone, entry.kind
            worker.own_rate_per_s = None
        if entry.cold_until_ns > now:
            self._start_warm_up(worker, now, entry.cold_until_ns)

    def retain(self, workers: Container[str]) -> None:
        """Forget all workers but these, which a complete endpoint list contains."""
        self._workers = {name: worker for name, worker in self._workers.items() if name in workers}

    def arrived(self, now: int, kind: str) -> None:
        """Count a client request for a service."""
        self._requests.setdefault(kind, WindowCount(self._retry.window_ns)).add(now)

    def sent(self, now: int, kind: str, worker: str, is_retry: bool) -> None:
        """Count a request sent to a worker, and take its token if the worker is warming up."""
        if is_retry:
            self._retries.setdefault(kind, WindowCount(self._retry.window_ns)).add(now)
        state = self._workers.get(worker)
        if state is not None:
            state.recent_sends.append(now)
            if now < state.warming_until:
                self._refill(state, now)
                state.tokens -= 1

    # --- decisions --------------------------------------------------------------------------------

    def may_retry(self, now: int, kind: str) -> bool:
        """Return True if one more retry for a service fits in this scheduler's quota share."""
        requests = self._requests.get(kind)
        retries = self._retries.get(kind)
        # Slices that may lie partly outside the window are counted for retries but not for requests.
        earned = self._retry.ratio * (requests.total(now, skipped_slices=2) if requests else 0)
        spent = retries.total(now) if retries else 0
        schedulers = self._scheduler_count(now)
        slack = self._retry.slack / schedulers if schedulers else 0.0
        return spent + 1 <= SAFETY_FACTOR * (earned + slack)

    def may_send_while_warming_up(self, now: int, worker: str) -> bool:
        """Return True if a worker is warm, or this scheduler's token bucket for the worker contains a token."""
        state = self._workers.get(worker)
        if state is None or now >= state.warming_until or self._fleet_limit_per_s(state) <= 0:
            return True
        self._refill(state, now)
        return state.tokens >= 1

    # --- workers that are warming up --------------------------------------------------------------------

    def _start_warm_up(self, worker: WarmingWorker, now: int, until: int) -> None:
        """Start a worker's warm-up or extend the current one to `until`; no other method starts a warm-up."""
        if now < worker.warming_until:
            worker.warming_until = max(worker.warming_until, until)
            return
        worker.warming_until = until
        worker.own_rate_per_s = None
        worker.filled_at = now
        # Requests sent within the last second may still arrive together with the next request.
        recent_count = sum(sent > now - SECOND for sent in worker.recent_sends)
        worker.tokens = 1.0 - recent_count

    def _refill(self, worker: WarmingWorker, now: int) -> None:
        if worker.own_rate_per_s is None or worker.own_rate_at < self._shares_valid_at <= now:
            worker.own_rate_per_s, worker.own_rate_at = self._own_rate_per_s(worker, now), now
        elapsed_s = max(0, now - worker.filled_at) / SECOND
        worker.tokens = min(1.0, worker.tokens + worker.own_rate_per_s * elapsed_s)
        worker.filled_at = now
        if worker.own_rate_per_s <= 0:
            worker.tokens = min(0.0, worker.tokens)

    def _fleet_limit_per_s(self, worker: WarmingWorker) -> float:
        """Return how many requests per second all schedulers together may send to a worker; 0 = no limit."""
        rate = self._warm_up_rate_per_s(worker)
        return rate * self._warm_up.over + self._warm_up.slack if rate > 0 else 0.0

    def _warm_up_rate_per_s(self, worker: WarmingWorker) -> float:
        """Return the warm-up rate of a worker's service; 0 = no limit.

        The configuration may lack the service: a worker may register before its service is added, and remain after its
        service is removed.
        """
        rate = self._rates.get(worker.kind)
        return rate.per_s if rate is not None else 0.0

    def _own_rate_per_s(self, worker: WarmingWorker, now: int) -> float:
        """Return how many requests per second this scheduler may send to a worker that is warming up.

        In any second a bucket permits one request plus those that its refill rate adds, so `holders` + rate must fit in
        the bound. The rate is the worker's warm-up rate, but at most half of the bound, to leave the rest to holders.
        """
        bound = SAFETY_FACTOR * self._fleet_limit_per_s(worker)
        rate = min(self._warm_up_rate_per_s(worker), bound / 2)
        holders = int(bound - rate)
        own, others = self._schedulers_by_region(worker, now)
        if now < self._shares_valid_at:
            return 0.0
        if self._own_name not in own and self._own_name not in others:
            return 0.0
        if not own or not others:
            return self._rate_in_group(worker, own or others, holders, rate)
        own_holders = min(len(own), max(1, round(holders * OWN_REGION_FRACTION)))
        own_holders = max(own_holders, holders - len(others)) if len(own) + len(others) <= holders else own_holders
        if self._own_name in own:
            return self._rate_in_group(worker, own, min(own_holders, holders), rate * OWN_REGION_FRACTION)
        return self._rate_in_group(worker, others, holders - own_holders, rate * (1 - OWN_REGION_FRACTION))

    def _schedulers_by_region(self, worker: WarmingWorker, now: int) -> tuple[list[str], list[str]]:
        """Return the counted schedulers of the worker's region, and those of all other regions."""
        self._expire_schedulers(now)
        own = [scheduler for scheduler, region in self._regions.items() if region == worker.region]
        others = [scheduler for scheduler, region in self._regions.items() if region != worker.region]
        return own, others

    def _rate_in_group(self, worker: WarmingWorker, group: list[str], holders: int, rate: float) -> float:
        """Return this scheduler's part of `rate`, which the first `holders` of a group in hash order share evenly."""
        if holders <= 0 or self._own_name not in group:
            return 0.0
        order = sorted(group, key=lambda scheduler: _pair_hash(scheduler, worker.name))[:holders]
        return rate / len(order) if self._own_name in order else 0.0

    # --- schedulers -------------------------------------------------------------------------------

    def _scheduler_count(self, now: int) -> int:
        self._expire_schedulers(now)
        is_valid = now >= self._shares_valid_at and self._own_name in self._regions
        return len(self._regions) if is_valid else 0

    def _expire_schedulers(self, now: int) -> None:
        """Drop the schedulers that were last seen alive more than `SCHEDULER_RETENTION_NS` ago."""
        for name, seen in tuple(self._last_seen_at.items()):
            if name in self._live_names:
                del self._last_seen_at[name]
            elif now - seen > SCHEDULER_RETENTION_NS:
                del self._last_seen_at[name]
                self._regions.pop(name, None)

    def _invalidate_rates(self, now: int) -> None:
        """Refill the buckets at their current rates, then mark the rates for recomputation."""
        for worker in self._workers.values():
            if now < worker.warming_until:
                self._refill(worker, now)
            worker.own_rate_per_s = None


def _pair_hash(scheduler: str, worker: str) -> bytes:
    """Return the rendezvous-hashing weight of a scheduler for a worker; the scheduler with the lowest comes first.

    `failure_detection.rendezvous` cannot be used here, because it hashes other bytes and gives other values. All
    schedulers, including those of an earlier release during an upgrade, must compute the same weights, or their
    token buckets together would exceed the limit.
    """
    return blake2b(f"{scheduler}\0{worker}".encode(), digest_size=8).digest()
