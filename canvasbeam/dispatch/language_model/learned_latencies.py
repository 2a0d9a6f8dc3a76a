"""Learn the latencies of workers: prefill time per token, round trip, and the gaps between events of their streams.

Prefill time and round trip track a quantile of the observations, with one constant relative step up or down for each
observation: a stochastic approximation (Robbins, Monro, 1951). Event gaps track an exponentially weighted mean.
"""

from __future__ import annotations

from math import exp

from canvasbeam.units import MILLISECOND

# The initial prefill time per token, and the bounds of the learned value.
PREFILL_NS_PER_TOKEN = 23_500.0
MIN_PREFILL_NS_PER_TOKEN, MAX_PREFILL_NS_PER_TOKEN = PREFILL_NS_PER_TOKEN / 4, PREFILL_NS_PER_TOKEN * 4
# Prompts with fewer tokens to prefill are not used to learn the prefill time per token, of which they reveal little.
MIN_LEARNING_TOKENS = 4000
# A first token is used to learn prefill time and round trip only if the expected wait before prefill was at most this.
MAX_LEARNING_WAIT_NS = 20 * MILLISECOND
# Each observation moves a learned latency by a relative step towards this quantile of the observations. A quantile is
# used because cached prefixes make some first tokens too early, and attempts without a notice make others too late.
LEARN_STEP = 0.12
LEARN_QUANTILE = 0.4
# The initial round trip to a worker, including its first decode step, and the lower bound of the learned value.
OWN_REGION_ROUND_TRIP_NS = 15 * MILLISECOND
OTHER_REGION_ROUND_TRIP_NS = 120 * MILLISECOND
MIN_ROUND_TRIP_NS = 2.0 * MILLISECOND
# The event gap of a worker moves by this fraction towards each gap that is observed or reported, and decays with this
# time constant without observations and reports.
EVENT_GAP_STEP = 0.3
EVENT_GAP_DECAY_NS = 1000 * MILLISECOND
# This scheduler's own observation of an event gap is reported to other schedulers for this long.
EVENT_GAP_REPORT_NS = 500 * MILLISECOND


class PrefillSpeeds:
    """The prefill time per token, for each kind of worker."""

    __slots__ = ("_ns_per_token",)

    def __init__(self) -> None:
        self._ns_per_token: dict[str, float] = {}

    def ns_per_token(self, kind: str) -> float:
        """Return the prefill time per token, in nanoseconds."""
        return self._ns_per_token.get(kind, PREFILL_NS_PER_TOKEN)

    def learn(self, kind: str, observed_ns_per_token: float) -> None:
        """Move the prefill time per token one step towards an observation, within its bounds."""
        learned = _toward_quantile(self.ns_per_token(kind), observed_ns_per_token)
        self._ns_per_token[kind] = min(MAX_PREFILL_NS_PER_TOKEN, max(MIN_PREFILL_NS_PER_TOKEN, learned))


def learn_first_token(
    speeds: PrefillSpeeds, kind: str, round_trip_ns: float, prefill_tokens: int, latency_ns: int
) -> float:
    """Learn from a first token that had no prompt before it; return the worker's new round trip in nanoseconds."""
    if prefill_tokens >= MIN_LEARNING_TOKENS:
        speeds.learn(kind, (latency_ns - round_trip_ns) / prefill_tokens)
    observed_ns = latency_ns - prefill_tokens * speeds.ns_per_token(kind)
    return max(MIN_ROUND_TRIP_NS, _toward_quantile(round_trip_ns, observed_ns))


class EventGaps:
    """The time between events of one worker's streams, as observed by all schedulers and by this scheduler alone."""

    __slots__ = ("_gap_at", "_gap_ns", "_own_gap_at", "_own_gap_ns")

    def __init__(self) -> None:
        self._gap_ns = 0.0  # event gap in nanoseconds at the time `_gap_at`
        self._gap_at = 0
        self._own_gap_ns = 0.0  # event gap in nanoseconds, from this scheduler's observations only
        self._own_gap_at = 0

    def gap_ns(self, now: int) -> float:
        """Return the event gap in nanoseconds, which decays to 0 without observations."""
        return self._gap_ns * exp((self._gap_at - now) / EVENT_GAP_DECAY_NS) if self._gap_ns else 0.0

    def reported_ns(self, now: int) -> float:
        """Return this scheduler's recently observed event gap in nanoseconds, to report to others; 0 = none."""
        return 0.0 if now - self._own_gap_at >= EVENT_GAP_REPORT_NS else self._own_gap_ns

    def learn(self, now: int, gap_ns: float) -> None:
        """Move the event gap towards a gap that was observed or that another scheduler reported."""
        learned_ns = self.gap_ns(now)
        self._gap_ns = learned_ns + EVENT_GAP_STEP * (gap_ns - learned_ns) if learned_ns else gap_ns
        self._gap_at = now

    def learn_own(self, now: int, gap_ns: float) -> None:
        """Move the event gap towards a gap observed in a stream to one of this scheduler's clients."""
        is_recent = now - self._own_gap_at < EVENT_GAP_REPORT_NS
        self._own_gap_ns += (EVENT_GAP_STEP if is_recent else 1.0) * (gap_ns - self._own_gap_ns)
        self._own_gap_at = now
        self.learn(now, gap_ns)


def _toward_quantile(value: float, observed: float) -> float:
    """Return the value after one step towards a quantile of the observations."""
    return value * (1 + LEARN_STEP * (LEARN_QUANTILE if observed > value else LEARN_QUANTILE - 1))
