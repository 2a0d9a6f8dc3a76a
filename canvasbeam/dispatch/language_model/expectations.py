"""Expect when language-model workers answer, for one scheduler: its dispatcher's `EngineModel`.

A worker prefills prompts one after the other, so the time to first token is the prefill of all prompts before it and
its own; cached prefixes need no prefill. A worker has room for a request while the first token is expected within the
request's latency target and the KV cache can hold it.

| what | how it is known |
| --- | --- |
| own prompts in the prefill queue | counted from the send until the first token |
| other schedulers' prompts there | by their notices, until their prefill should be over or a later one's was |
| all else before a prompt | the last first token's delay beyond what was expected; decays |
| prefill time of a token | a prior, corrected by first tokens of long prompts before which nothing waited |
| round trip | likewise, by the first tokens of each worker, less the prefill |
| inter-token latency | the gaps between events, observed here or reported by others; decay |
| a worker or zone is unresponsive | a first token is overdue, and none came since from there |
| the same, from others | they report overdue first tokens; valid for a moment, unless there was output lately |
| prefix cache | the parts of all known attempts, the least recently used evicted first |
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from canvasbeam.dispatch.events import PromptEstimate, RequestArrived, WorkerEntry, WorkerState
from canvasbeam.dispatch.language_model.learned_latencies import (
    MAX_LEARNING_WAIT_NS,
    OTHER_REGION_ROUND_TRIP_NS,
    OWN_REGION_ROUND_TRIP_NS,
    PrefillSpeeds,
    learn_first_token,
)
from canvasbeam.dispatch.language_model.prefill_queue import OTHER_SCHEDULER
from canvasbeam.dispatch.language_model.worker_model import ModelAttempt, WorkerModel
from canvasbeam.dispatch.language_model.zone_liveness import ZoneLiveness
from canvasbeam.units import MILLISECOND

# The fraction of the time left to a latency target that may be expected to pass: expectations are rough.
TARGET_FRACTION = 0.85
# A request past its target goes where the backlog is at most this, so that it makes no other late.
MAX_LATE_BACKLOG_NS = 60 * MILLISECOND
# A first token comes later by so many event gaps: its event holds several tokens, and prefill waits between steps.
EVENT_GAPS_BEFORE_FIRST_TOKEN = 1.0
# An unresponsive worker is reported this often, and taken for unresponsive this long after a report.
TIMEOUT_REPORT_INTERVAL_NS = 200 * MILLISECOND
TIMEOUT_VALID_NS = 500 * MILLISECOND
# A report is not believed of a worker from which output came within this time.
RECENT_OUTPUT_NS = 150 * MILLISECOND
# Of a worker's KV cache, what own running requests may use, and what cached prefixes are taken to use.
RUNNING_KV_FRACTION = 0.9
PREFIX_CACHE_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class EngineCapacity:
    """The KV cache of each worker of a service, in tokens; `kv_capacity` in the service's settings."""

    kv_cache_tokens: int


AttemptListener = Callable[[WorkerEntry, PromptEstimate], None]
TimeoutListener = Callable[[WorkerEntry], None]


class EngineExpectations:
    """One scheduler's expectations of all language-model workers; an `EngineModel`.

    `now` is in nanoseconds of one monotonic clock and never goes back. `on_attempt` is called after each own attempt
    and `on_timeout` for an unresponsive worker; both tell other schedulers and must not call back into this object's
    methods that change it.
    """

    def __init__(self, own_zone: str) -> None:
        self._own_zone = own_zone
        self._capacities: dict[str, EngineCapacity] = {}
        self._workers: dict[str, WorkerModel] = {}
        self._zones = ZoneLiveness(own_zone, self._workers)
        self._prefill_speeds = PrefillSpeeds()
        self.on_attempt: AttemptListener | None = None
        self.on_timeout: TimeoutListener | None = None

    def set_engines(self, capacities: Mapping[str, EngineCapacity]) -> None:
        """Take the services of the configuration in force that run language models."""
        self._capacities = dict(capacities)

    # --- decisions --------------------------------------------------------------------------------

    def has_capacity(self, now: int, entry: WorkerEntry, request: RequestArrived, time_left_ns: int) -> bool:
        """Return whether the worker can start the request within its latency target, or else without harm to others.

        `time_left_ns` is the time left until the target, negative after it.
        """
        prompt = request.prompt
        capacity = self._capacities.get(entry.kind)
        if prompt is None or capacity is None:
            return True
        worker = self._worker(entry)
        if worker.is_overdue(now, worker.first_token_at):
            self._report_timeout(now, entry, worker)
            return False
        if now < worker.unresponsive_until or self._zones.is_unresponsive(now, worker.zone):
            return False
        in_use = sum(attempt.kv_cache_tokens for attempt in worker.attempts.values())
        if in_use and in_use + _kv_cache_tokens(prompt) > RUNNING_KV_FRACTION * capacity.kv_cache_tokens:
            return False
        backlog_ns = worker.prefill_queue.backlog_ns(now)
        idle_worker_ns = worker.round_trip_ns + self._prefill_ns(entry, worker, prompt)
        if idle_worker_ns > time_left_ns:
            return backlog_ns <= MAX_LATE_BACKLOG_NS  # it is late even at an idle worker
        return backlog_ns + idle_worker_ns <= max(TARGET_FRACTION * time_left_ns, idle_worker_ns)

    def first_token_ns(self, now: int, entry: WorkerEntry, request: RequestArrived) -> float:
        """Return the expected time to first token in nanoseconds; 0 where nothing is known."""
        worker = self._workers.get(entry.worker)
        if worker is None or request.prompt is None or entry.kind not in self._capacities:
            return 0.0
        prefill_ns = self._prefill_ns(entry, worker, request.prompt)
        event_gap_ns = worker.event_gaps.gap_ns(now)
        backlog_ns = worker.prefill_queue.backlog_ns(now)
        return worker.round_trip_ns + backlog_ns + prefill_ns + EVENT_GAPS_BEFORE_FIRST_TOKEN * event_gap_ns

    def expected_ns(self, worker: str, request_id: str) -> int:
        """Return the time to first token that was expected when a request was sent, in nanoseconds, or 0."""
        _, attempt = self._attempt(worker, request_id)
        return round(attempt.first_token_ns) if attempt is not None else 0

    def event_gap_to_report_ns(self, now: int, worker: str) -> float:
        """Return the event gap to report to other schedulers: what was observed here lately; 0 where nothing was."""
        model = self._workers.get(worker)
        return model.event_gaps.reported_ns(now) if model is not None else 0.0

    # --- own attempts -----------------------------------------------------------------------------

    def sent(self, now: int, entry: WorkerEntry, request: RequestArrived) -> None:
        """Take a request that was sent to the worker."""
        prompt = request.prompt
        if prompt is None or entry.kind not in self._capacities:
            return
        worker = self._worker(entry)
        prefill_tokens = _prefill_tokens(worker, prompt)
        wait_ns = worker.prefill_queue.backlog_ns(now)
        expected_ns = worker.round_trip_ns + wait_ns + prefill_tokens * self._prefill_speeds.ns_per_token(worker.kind)
        kv_cache_tokens = _kv_cache_tokens(prompt)
        worker.attempts[request.request_id] = ModelAttempt(now, prefill_tokens, kv_cache_tokens, wait_ns, expected_ns)
        self._enqueue(worker, request.request_id, prompt, prefill_tokens)
        if self.on_attempt is not None:
            self.on_attempt(entry, prompt)

    def started(self, now: int, worker: str, request_id: str) -> None:
        """Take a request's first token: the prefill of its prompt, and of all prompts before it, is over."""
        model, attempt = self._attempt(worker, request_id)
        if model is None or attempt is None or attempt.has_first_token:
            return
        attempt.has_first_token = True
        model.first_token_at = model.output_at = now
        model.unresponsive_until = 0
        self._zones.note_first_token(now, model.zone)
        latency_ns = now - attempt.sent_at
        if attempt.wait_ns <= MAX_LEARNING_WAIT_NS:
            model.round_trip_ns = learn_first_token(
                self._prefill_speeds, model.kind, model.round_trip_ns, attempt.prefill_tokens, latency_ns
            )
        model.prefill_queue.finish(now, request_id, max(0.0, latency_ns - attempt.first_token_ns))

    def note_event_gap(self, now: int, worker: str, event_gap_ns: float) -> None:
        """Take an event of an own stream from the worker, which came this long after the one before it."""
        model = self._workers.get(worker)
        if model is not None:
            model.output_at = now
            model.event_gaps.learn_own(now, event_gap_ns)

    def ended(self, now: int, worker: str, request_id: str) -> None:
        """Take the end of an attempt: the request no longer occupies the worker."""
        model, attempt = self._attempt(worker, request_id)
        if model is not None and attempt is not None:
            del model.attempts[request_id]
            if not attempt.has_first_token:
                model.prefill_queue.cancel(now, request_id)

    # --- discovery and other schedulers -----------------------------------------------------------

    def listed(self, now: int, entry: WorkerEntry) -> None:
        """Take a worker from discovery, or forget one that is gone."""
        if entry.state is WorkerState.GONE:
            self._workers.pop(entry.worker, None)
        else:
            self._worker(entry)

    def note_remote_attempt(self, now: int, worker: str, prompt: PromptEstimate, event_gap_ns: float = 0.0) -> None:
        """Take an attempt of another scheduler, and the event gap that it observed lately, 0 for none."""
        model = self._workers.get(worker)
        if model is not None and model.kind in self._capacities:
            model.prefill_queue.drain(now)
            self._enqueue(model, OTHER_SCHEDULER, prompt, _prefill_tokens(model, prompt))
            if event_gap_ns:
                model.event_gaps.learn(now, event_gap_ns)

    def note_remote_timeout(self, now: int, worker: str) -> None:
        """Take another scheduler's report that the worker is unresponsive."""
        model = self._workers.get(worker)
        if model is not None and now - model.output_at > RECENT_OUTPUT_NS:
            model.unresponsive_until = now + TIMEOUT_VALID_NS

    # --- workers ----------------------------------------------------------------------------------

    def _worker(self, entry: WorkerEntry) -> WorkerModel:
        worker = self._workers.get(entry.worker)
        if worker is None:
            is_own_zone = entry.zone == self._own_zone
            round_trip_ns = OWN_REGION_ROUND_TRIP_NS if is_own_zone else OTHER_REGION_ROUND_TRIP_NS
            worker = WorkerModel(entry.kind, entry.zone, float(round_trip_ns))
            self._workers[entry.worker] = worker
        return worker

    def _attempt(self, worker: str, request_id: str) -> tuple[WorkerModel | None, ModelAttempt | None]:
        model = self._workers.get(worker)
        return model, model.attempts.get(request_id) if model is not None else None

    def _report_timeout(self, now: int, entry: WorkerEntry, worker: WorkerModel) -> None:
        """Report a worker without any output, so that other schedulers need not lose a request each to it."""
        is_reported = now - worker.timeout_reported_at < TIMEOUT_REPORT_INTERVAL_NS
        if is_reported or not worker.is_overdue(now, worker.output_at):
            return
        worker.timeout_reported_at = now
        if self.on_timeout is not None:
            self.on_timeout(entry)

    def _prefill_ns(self, entry: WorkerEntry, worker: WorkerModel, prompt: PromptEstimate) -> float:
        prefill_tokens = prompt.tokens_in - worker.prefix_cache.cached_tokens(prompt)
        return prefill_tokens * self._prefill_speeds.ns_per_token(entry.kind)

    def _enqueue(self, worker: WorkerModel, request_id: str, prompt: PromptEstimate, prefill_tokens: int) -> None:
        """Add a prompt to the worker's prefill queue, and its parts to the prefix cache."""
        worker.prefill_queue.add(request_id, prefill_tokens * self._prefill_speeds.ns_per_token(worker.kind))
        max_cached_tokens = PREFIX_CACHE_FRACTION * self._capacities[worker.kind].kv_cache_tokens
        worker.prefix_cache.insert(prompt, max_cached_tokens)


def _prefill_tokens(worker: WorkerModel, prompt: PromptEstimate) -> int:
    """Return the tokens of a prompt that need prefill at a worker, at least 1."""
    return max(1, prompt.tokens_in - worker.prefix_cache.cached_tokens(prompt))


def _kv_cache_tokens(prompt: PromptEstimate) -> int:
    """Return the tokens that a request may occupy of the KV cache, with its complete answer."""
    return prompt.tokens_in + prompt.max_tokens_out
