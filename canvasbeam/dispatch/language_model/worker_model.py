"""Store one scheduler's state of one language-model worker: attempts, prefill queue, prefix cache and last output.

`EngineExpectations` owns and changes this state; the module makes no decisions about requests.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from canvasbeam.dispatch.language_model.learned_latencies import EventGaps
from canvasbeam.dispatch.language_model.prefill_queue import PrefillQueue
from canvasbeam.dispatch.language_model.prefix_cache import PrefixCache
from canvasbeam.units import MILLISECOND

# A first token is overdue after this multiple of its expected latency plus this margin.
OVERDUE_TIMES = 1.5
OVERDUE_MARGIN_NS = 200 * MILLISECOND


@dataclass(slots=True)
class ModelAttempt:
    """An attempt of this scheduler at a worker; `sent_at` in nanoseconds."""

    sent_at: int
    prefill_tokens: int  # prompt tokens that need prefill, without cached prefixes
    kv_cache_tokens: int  # KV cache tokens for the prompt and the complete answer
    wait_ns: float  # expected wait before the prefill of this prompt
    first_token_ns: float  # expected time from the send to the first token
    has_first_token: bool = False


@dataclass(slots=True)
class WorkerModel:
    """The state of one worker. Times are nanoseconds of one monotonic clock; 0 = never."""

    kind: str
    zone: str
    round_trip_ns: float
    first_token_at: int = 0  # time of the last first token
    output_at: int = 0  # time of the last first token or stream event
    timeout_reported_at: int = 0  # time of this scheduler's last report that the worker is unresponsive
    unresponsive_until: int = 0  # time until which other schedulers' timeout reports are valid
    attempts: dict[str, ModelAttempt] = field(default_factory=dict)
    prefill_queue: PrefillQueue = field(default_factory=PrefillQueue)
    prefix_cache: PrefixCache = field(default_factory=PrefixCache)
    event_gaps: EventGaps = field(default_factory=EventGaps)

    def is_overdue(self, now: int, last_output_at: int) -> bool:
        """Return True if the first token of an attempt sent at or after `last_output_at` is overdue."""
        return any(
            not attempt.has_first_token
            and attempt.sent_at >= last_output_at
            and now - attempt.sent_at > OVERDUE_TIMES * attempt.first_token_ns + OVERDUE_MARGIN_NS
            for attempt in self.attempts.values()
        )
