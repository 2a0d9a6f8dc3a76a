"""Predict the time to first token at language-model workers, for one scheduler: its dispatcher's `EngineModel`.

A worker prefills prompts one after the other, so a request's time to first token is the prefill time of its own prompt
and of all prompts before it; cached prefixes need no prefill. A worker has capacity for a request while the first token
is expected within the request's latency target and the KV cache has space for the request.

| quantity | source |
| --- | --- |
| own prompts in the prefill queue | counted from the send until the first token |
| other schedulers' prompts in the queue | their notices, until the prefill of that or a later prompt should be done |
| any other work before a prompt | the delay of the last first token beyond its expected time; decays |
| prefill time per token | a prior, corrected by first tokens of long prompts that had no prompt before them |
| round trip | a prior, corrected by the first tokens of each worker, less the prefill time |
| inter-token latency | the gaps between stream events, observed by this or reported by other schedulers; decays |
| unresponsive worker or zone | a first token is overdue, and the worker or zone sent no other one in the meantime |
| unresponsive worker, by other schedulers | their reports; valid briefly, ignored after recent output |
| prefix cache | the prompt parts of all known attempts, the least recently used evicted first |
"""

from __future__ import annotations

from collections.abc import Callable, Container, Mapping
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

# The fraction of the time left until the latency target that the expected time to first token may use, because the
# expectation is imprecise.
TARGET_FRACTION = 0.85
# A request that even an idle worker would answer late goes only to a worker with at most this backlog, so that the
# request does not make others late.
MAX_LATE_BACKLOG_NS = 60 * MILLISECOND
# A first token is expected later by this many event gaps, because its event contains several tokens and prefill waits
# between steps of the engine.
EVENT_GAPS_BEFORE_FIRST_TOKEN = 1.0
# Interval between reports of an unresponsive worker, and how long the receiver of a report treats that worker as
# unresponsive.
TIMEOUT_REPORT_INTERVAL_NS = 200 * MILLISECOND
TIMEOUT_VALID_NS = 500 * MILLISECOND
# Another scheduler's report of an unresponsive worker is ignored if the worker produced output within this time.
RECENT_OUTPUT_NS = 150 * MILLISECOND
# The fraction of a worker's KV cache that this scheduler's running requests may use, and the fraction that cached
# prefixes are assumed to use.
RUNNING_KV_FRACTION = 0.9
PREFIX_CACHE_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class EngineCapacity:
    """The size of the KV cache of each worker of a service, in tokens; `kv_capacity` in the service's settings."""

    kv_cache_tokens: int


AttemptListener = Callable[[WorkerEntry, PromptEstimate], None]
TimeoutListener = Callable[[WorkerEntry], None]


class EngineExpectations:
    """One scheduler's latency predictions for all language-model workers; an `EngineModel`.

    `now` is in nanoseconds of one monotonic clock. `on_attempt` is called after each own attempt and `on_timeout` for
    an unresponsive worker; both notify other schedulers and must not call methods of this object that change its state.
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
        """Replace the language-model services, keyed by service, with those of the active configuration."""
        self._capacities = dict(capacities)

    # --- decisions --------------------------------------------------------------------------------

    def has_capacity(self, now: int, entry: WorkerEntry, request: RequestArrived, time_left_ns: int) -> bool:
        """Return True if the worker can start the request within its latency target, or late without delaying others.

        `time_left_ns` is the time left until the target, negative after the target.
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
            return backlog_ns <= MAX_LATE_BACKLOG_NS  # even an idle worker would miss the latency target
        return backlog_ns + idle_worker_ns <= max(TARGET_FRACTION * time_left_ns, idle_worker_ns)

    def first_token_ns(self, now: int, entry: WorkerEntry, request: RequestArrived) -> float:
        """Return the expected time to first token in nanoseconds; 0 if the worker, service or prompt is unknown."""
        worker = self._workers.get(entry.worker)
        if worker is None or request.prompt is None or entry.kind not in self._capacities:
            return 0.0
        prefill_ns = self._prefill_ns(entry, worker, request.prompt)
        event_gap_ns = worker.event_gaps.gap_ns(now)
        backlog_ns = worker.prefill_queue.backlog_ns(now)
        return worker.round_trip_ns + backlog_ns + prefill_ns + EVENT_GAPS_BEFORE_FIRST_TOKEN * event_gap_ns

    def expected_ns(self, worker: str, request_id: str) -> int:
        """Return the time to first token expected when a request was sent, in nanoseconds; 0 if no attempt is known."""
        _, attempt = self._attempt(worker, request_id)
        return round(attempt.first_token_ns) if attempt is not None else 0

    def event_gap_to_report_ns(self, now: int, worker: str) -> float:
        """Return this scheduler's recently observed event gap in nanoseconds, for other schedulers; 0 = none."""
        model = self._workers.get(worker)
        return model.event_gaps.reported_ns(now) if model is not None else 0.0

    # --- own attempts -----------------------------------------------------------------------------

    def sent(self, now: int, entry: WorkerEntry, request: RequestArrived) -> None:
        """Record that a request was sent to the worker, and notify `on_attempt`."""
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
        """Record a request's first token: the prefill of its prompt, and of all prompts before it, is complete."""
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
        """Record the gap in nanoseconds between an event of an own stream from the worker and the event before."""
        model = self._workers.get(worker)
        if model is not None:
            model.output_at = now
            model.event_gaps.learn_own(now, event_gap_ns)

    def ended(self, now: int, worker: str, request_id: str) -> None:
        """Record the end of an attempt: the request no longer occupies the worker."""
        model, attempt = self._attempt(worker, request_id)
        if model is not None and attempt is not None:
            del model.attempts[request_id]
            if not attempt.has_first_token:
                model.prefill_queue.cancel(now, request_id)

    def forget_attempts(self, now: int) -> None:
        """Forget all own attempts, whose ends a new dispatcher does not report."""
        for worker, model in self._workers.items():
            for request_id in tuple(model.attempts):
                self.ended(now, worker, request_id)

    # --- discovery and other schedulers -----------------------------------------------------------

    def listed(self, now: int, entry: WorkerEntry) -> None:
        """Add a worker from its discovery entry, or remove a worker that discovery reports as gone."""
        if entry.state is WorkerState.GONE:
            self._workers.pop(entry.worker, None)
        else:
            worker = self._worker(entry)
            worker.kind, worker.zone = entry.kind, entry.zone

    def retain(self, workers: Container[str]) -> None:
        """Forget all workers but these, which a complete endpoint list contains."""
        for worker in [worker for worker in self._workers if worker not in workers]:
            del self._workers[worker]

    def note_remote_attempt(self, now: int, worker: str, prompt: PromptEstimate, event_gap_ns: float = 0.0) -> None:
        """Record another scheduler's attempt and that scheduler's recent event gap in nanoseconds (0 = none)."""
        model = self._workers.get(worker)
        if model is not None and model.kind in self._capacities:
            model.prefill_queue.drain(now)
            self._enqueue(model, OTHER_SCHEDULER, prompt, _prefill_tokens(model, prompt))
            if event_gap_ns:
                model.event_gaps.learn(now, event_gap_ns)

    def note_remote_timeout(self, now: int, worker: str) -> None:
        """Record another scheduler's report that the worker is unresponsive, unless it produced output recently."""
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
        """Report a worker without any output, so that other schedulers need not each lose a request at that worker."""
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
    """Return the number of tokens of a prompt that need prefill at a worker, at least 1."""
    return max(1, prompt.tokens_in - worker.prefix_cache.cached_tokens(prompt))


def _kv_cache_tokens(prompt: PromptEstimate) -> int:
    """Return the number of KV cache tokens that a request may occupy, including its complete answer."""
    return prompt.tokens_in + prompt.max_tokens_out
