"""Small scenarios and broken schedulers for the laboratory's own tests."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from canvasbeam.scheduler.request_coordinator import RequestCoordinator
from canvasbeam.scheduler.requests import Answer, FinalAnswer, Request
from canvasbeam.simulator import scenario as scenarios
from canvasbeam.simulator.model import spec
from tests.support import planted_faults
from tests.support.planted_faults import Floods, RetriesAnywhere


def small(*faults: dict[str, Any], **changes: Any) -> spec.Scenario:
    """Six workers, two schedulers, a few seconds."""
    keys: dict[str, Any] = {
        "name": "small", "length_s": 6, "fleet.workers": 6, "schedulers.count": 2, "traffic.load": 0.5,
        "zones": ["north", "south"], "faults": list(faults), **changes,
    }  # fmt: skip
    return scenarios.load("rennes", keys)


class AnswersTwice(RequestCoordinator):
    """Gives each answer twice."""

    def _answer(self, request: Request, answer: FinalAnswer) -> None:
        super()._answer(request, answer)
        request.answer(answer)


class SwallowsAnswers(RequestCoordinator):
    """Forgets every tenth request it fails or serves."""

    def _answer(self, request: Request, answer: FinalAnswer) -> None:
        if request.handle % 10 == 0:
            request.answer = lambda _: None
        super()._answer(request, answer)


class AnswersLate(RequestCoordinator):
    """Keeps some answers back until their time is over."""

    def _answer(self, request: Request, answer: FinalAnswer) -> None:
        if request.handle % 10 == 0 and not request.answered:
            give, when = request.answer, request.due + timedelta(milliseconds=100)

            def later(kept: FinalAnswer) -> None:
                self.loop.at(when, lambda: give(kept))

            request.answer = later
        super()._answer(request, answer)


class MakesUpResults(RequestCoordinator):
    """Serves what no worker made."""

    def _answer(self, request: Request, answer: FinalAnswer) -> None:
        made_up = answer.kind is Answer.SERVED and request.handle % 10 == 0
        super()._answer(request, FinalAnswer(Answer.SERVED, b"made up") if made_up else answer)


class RunsTwice(RequestCoordinator):
    """Sends again whatever has failed, and checks nothing."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.decisions.dispatcher = RetriesAnywhere(self.settings, 1)

    def may_send(self, attempt: Any) -> bool:
        return self.may_finish(attempt)

    def may_finish(self, attempt: Any) -> bool:
        return not attempt.request.answered and attempt.outcome is None


class IgnoresDrains(RequestCoordinator):
    """Goes on sending to workers that drain."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.decisions.dispatcher = planted_faults.IgnoresDrains(self.settings, 1)

    def _is_live(self, name: str) -> bool:
        return name in self.workers


class RefusesAnything(RequestCoordinator):
    """Says that a repeat is harmless where it is not."""

    def _end(self, request: Request, kind: Answer, *args: Any, **kwargs: Any) -> None:
        super()._end(request, Answer.REFUSED, *args, **kwargs)

    def _harmless(self, request: Request) -> bool:
        return True


class FloodsColdWorkers(RequestCoordinator):
    """Knows no busy worker and no cold one."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.decisions.dispatcher = Floods(self.settings, 1)
