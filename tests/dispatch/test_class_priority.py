"""Tests that under overload a class of higher priority is not served less often than one of lower priority."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, replace

import pytest

from canvasbeam.data_plane.dispatcher_settings import EARLY_REJECTION_SHARE
from canvasbeam.dispatch.actions import Action, StartAttempt
from canvasbeam.dispatch.settings import Effect, RequestClass
from tests.dispatch.test_system_placement import CHAT, SystemDriver, prompt, worker
from tests.support.helpers import MS, SECOND

RUN_NS = 30 * SECOND
TOLERATED_DEFICIT = 0.05  # most by which a class's served share may lie below that of a class of lower priority
SLOTS = 4
SERVICE_MS = 300
CAPACITY_PER_S = 2 * SLOTS * 1000 / SERVICE_MS


@dataclass(frozen=True)
class RequestKind:
    """A kind of request: its class, its relative frequency, and the size of its prompts in tokens."""

    job_class: RequestClass
    share: float
    tokens: int = 100


def make_class(name: str, urgency_rank: int, target_ms: int, deadline_ms: int, **changes: object) -> RequestClass:
    return replace(
        CHAT, name=name, priority=9 - urgency_rank, latency_target_ns=target_ms * MS,
        deadline_ns=deadline_ms * MS, late_value=0.3,
        **changes,  # type: ignore[arg-type]
    )  # fmt: skip


BRIEF = make_class("brief", 0, 800, 4000, effect=Effect.SAFE, max_attempts=2)
REVIEW = make_class("review", 1, 800, 5000)
CHATTING = make_class("chatting", 2, 600, 15_000)


def served_shares(kinds: list[RequestKind], load: float, seed: int, priority_first: bool = True) -> dict[str, float]:
    """Return the served share of each class's requests, with `load` as a multiple of the workers' capacity."""
    system = SystemDriver(
        worker("a", slots=SLOTS), worker("b", slots=SLOTS), classes=tuple(kind.job_class for kind in kinds),
        early_rejection_share=EARLY_REJECTION_SHARE, priority_first=priority_first,
    )  # fmt: skip
    rng = random.Random(seed)
    arrived: Counter[str] = Counter()
    served: Counter[str] = Counter()
    classes: dict[str, str] = {}
    ends: list[tuple[int, str, str]] = []
    end = system.now + RUN_NS

    def apply(actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, StartAttempt):
                heapq.heappush(ends, (system.now + round(rng.uniform(0.5, 1.5) * SERVICE_MS * MS), action.request_id,
                                      action.worker))  # fmt: skip
                apply(system.opened(action.request_id, action.worker))

    def serve_until(when: int) -> None:
        while ends and ends[0][0] <= when:
            ended_at, job, name = heapq.heappop(ends)
            apply(system.pass_time(max(0, ended_at - system.now)))
            served[classes[job]] += 1
            apply(system.ended(job, name))
        apply(system.pass_time(max(0, when - system.now)))

    while system.now < end:
        serve_until(system.now + round(rng.expovariate(load * CAPACITY_PER_S) * SECOND))
        kind = rng.choices(kinds, [kind.share for kind in kinds])[0]
        name = kind.job_class.name
        arrived[name] += 1
        classes[f"j{system.made}"] = name
        apply(system.job(name, kind.job_class.deadline_ns, prompt=prompt(kind.tokens)))
    serve_until(end + 20 * SECOND)
    return {name: served[name] / arrived[name] for name in arrived}


MIXES = {
    "even": [RequestKind(BRIEF, 1), RequestKind(REVIEW, 1), RequestKind(CHATTING, 1)],
    "few urgent": [RequestKind(BRIEF, 1), RequestKind(CHATTING, 8)],
    "mostly urgent": [RequestKind(BRIEF, 8), RequestKind(CHATTING, 1)],
    "long urgent prompts": [RequestKind(REVIEW, 1, tokens=6000), RequestKind(CHATTING, 3, tokens=100)],
}


@pytest.mark.parametrize("load", [0.8, 1.5, 3.0])
@pytest.mark.parametrize("mix", list(MIXES))
def test_class_of_higher_priority_is_not_served_less_often(mix: str, load: float) -> None:
    kinds = MIXES[mix]
    shares = served_shares(kinds, load, seed=1)
    in_order = [shares[kind.job_class.name] for kind in kinds]
    for urgent, other in itertools.pairwise(in_order):
        assert urgent >= other - TOLERATED_DEFICIT, shares


def test_class_with_a_shorter_target_is_served_more_often_if_priorities_are_ignored() -> None:
    """Shows that the priority test can fail: a dispatcher that ignores priorities serves the urgent class less."""
    kinds = [RequestKind(make_class("urgent", 0, 4000, 5000), 1), RequestKind(make_class("other", 2, 400, 5000), 1)]
    shares = served_shares(kinds, 3.0, seed=1, priority_first=False)
    assert shares["urgent"] < shares["other"] - TOLERATED_DEFICIT
    shares = served_shares(kinds, 3.0, seed=1)
    assert shares["urgent"] >= shares["other"] - TOLERATED_DEFICIT
