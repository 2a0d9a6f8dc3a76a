"""Planted faults: parts of a dispatcher that decide wrongly, for the tests that must notice them."""

from __future__ import annotations

from typing import Any

from canvasbeam import Dispatcher
from canvasbeam.dispatch.actions import FailRequest
from canvasbeam.dispatch.endpoint_set import EndpointSet
from canvasbeam.dispatch.events import WorkerEntry, WorkerState
from canvasbeam.dispatch.open_requests import OpenRequests
from canvasbeam.dispatch.outlier_ejection import OutlierEjection
from canvasbeam.dispatch.parts import DispatcherParts
from canvasbeam.dispatch.records import TrackedRequest, TrackedWorker
from canvasbeam.dispatch.retry_policy import RetryPolicy
from canvasbeam.dispatch.slow_start import SlowStart
from canvasbeam.dispatch.worker_acceptance import WorkerAcceptance


def parts_of(dispatcher: Dispatcher) -> DispatcherParts:
    """Return the parts of a dispatcher, to look at their state or to plant a fault there."""
    return dispatcher._parts


def tracked_request(dispatcher: Dispatcher, request_id: str) -> TrackedRequest:
    """Return what a dispatcher tracks of a request that it knows."""
    request = dispatcher._parts.requests.find(request_id)
    assert request is not None
    return request


def plant(part: object, faulty: type) -> None:
    """Make a part of a dispatcher decide as this faulty kind of it does."""
    assert issubclass(faulty, type(part))
    part.__class__ = faulty


class AnswersTwicePart(OpenRequests):
    """Fails each request once more when it is closed."""

    def close(self, request: TrackedRequest) -> None:
        super().close(request)
        self._current.actions.append(FailRequest(request.id))


class NeverGivesUpPart(OpenRequests):
    """Gives requests that are out of time no answer."""

    def reject_or_fail(self, request: TrackedRequest) -> None:
        self._queue.remove(request)


class RetriesAllPolicy(RetryPolicy):
    """Retries whatever has failed while attempts are left."""

    def may_send(self, request: TrackedRequest, now: int) -> bool:
        return not request.is_done and len(request.attempts) < self._limits.max_attempts


class RetriesAnywherePolicy(RetryPolicy):
    """Retries whatever has failed, three times, at any worker."""

    def may_send(self, request: TrackedRequest, now: int) -> bool:
        return not request.is_done and len(request.attempts) < 3

    def is_same_group(self, request: TrackedRequest, one: TrackedWorker, other: TrackedWorker) -> bool:
        return True


class ForgetsGroupsPolicy(RetryPolicy):
    """Takes all workers to drop each other's retries."""

    def is_same_group(self, request: TrackedRequest, one: TrackedWorker, other: TrackedWorker) -> bool:
        return True


class ForgetsWindowsPolicy(RetryPolicy):
    """Takes every retry to come at the time of the arrival."""

    def may_send(self, request: TrackedRequest, now: int) -> bool:
        return super().may_send(request, min(now, request.first_arrived_at))


class IgnoresDrainsPart(EndpointSet):
    """Takes all listed workers to be live."""

    def _update_worker(self, entry: WorkerEntry, restarted: list[TrackedWorker]) -> bool:
        has_changed = super()._update_worker(entry, restarted)
        self.workers[entry.worker].state = WorkerState.LIVE
        return has_changed


class NoSlowStart(SlowStart):
    """Lets workers that warm up have any request."""

    def allows(self, worker: Any, request: Any, now: int) -> bool:
        return True


class AcceptsWhileLive(WorkerAcceptance):
    """Takes every live worker to be available."""

    def is_available(self, worker: TrackedWorker, now: int) -> bool:
        return worker.state is WorkerState.LIVE


class NeverEjects(OutlierEjection):
    """Ejects nobody."""

    def eject(self, worker: TrackedWorker, reason: str) -> None:
        pass


class AnswersTwice(Dispatcher):
    """Gives two final answers to each request."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        plant(self._parts.requests, AnswersTwicePart)


class NeverGivesUp(Dispatcher):
    """Lets requests pass their deadlines without an answer."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        plant(self._parts.requests, NeverGivesUpPart)


class RetriesBy(Dispatcher):
    """A dispatcher with a faulty policy on retries."""

    policy: type[RetryPolicy] = RetryPolicy

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        plant(self._parts.retries, self.policy)


class RetriesAll(RetriesBy):
    """Retries whatever has failed."""

    policy = RetriesAllPolicy


class RetriesAnywhere(RetriesBy):
    """Retries whatever has failed, anywhere."""

    policy = RetriesAnywherePolicy


class ForgetsGroups(RetriesBy):
    """Retries at workers that do not drop each other's retries."""

    policy = ForgetsGroupsPolicy


class ForgetsWindows(RetriesBy):
    """Retries after the window in which workers drop retries."""

    policy = ForgetsWindowsPolicy


class IgnoresDrains(Dispatcher):
    """Sends to workers that drain or are gone."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        plant(self._parts.endpoints, IgnoresDrainsPart)


class IgnoresSlowStart(Dispatcher):
    """Sends all it likes to workers that warm up."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        plant(self._parts.slow_start, NoSlowStart)


class Floods(IgnoresSlowStart):
    """Sends all it likes to every live worker."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        plant(self._parts.acceptance, AcceptsWhileLive)
        plant(self._parts.ejection, NeverEjects)
