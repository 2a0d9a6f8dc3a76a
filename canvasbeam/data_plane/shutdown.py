"""The graceful shutdown of a data-plane process: what is still taken, by when it is answered, when the process exits.

The phases are those of `canvasbeam/runtime/planned_shutdown.py`, which owns them. New connections are accepted until
the last call, since clients keep addresses for a while; the process exits earlier once clients have moved and no
request is open. What a rejected client is answered is decided by `Ingress`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from canvasbeam.data_plane.prompt_headers import read_prompt
from canvasbeam.data_plane.requests import ClientRequest
from canvasbeam.data_plane.router import RequestRouter
from canvasbeam.data_plane.routes import RouteKind
from canvasbeam.dispatch.service_times import ServiceTimes
from canvasbeam.runtime.http_server import HttpServer
from canvasbeam.runtime.planned_shutdown import Phase, PlannedShutdown, ShutdownTimes
from canvasbeam.runtime.settings import ProcessSettings
from canvasbeam.units import MILLISECOND, SECOND

LAST_ANSWER_MARGIN_S = 0.5  # before the platform kills the process everything has its answer
LEAVE_MARGIN_S = 0.25
ASSUMED_TOKEN_NS = 30 * MILLISECOND  # assumed for a token of an answer before one was seen
ASSUMED_SERVICE_TIME_S = 0.5  # assumed for a request before one of its kind was served
# A request is taken only while so many of the recent ones of its kind would still have been answered: one that is cut
# at the end is lost, where one that is rejected is answered at another node.
SERVICE_TIME_QUANTILE = 0.98
MAX_WINDOW_SHARE = 0.6  # of the grace time, at most, for clients to move away
QUIET_PERIOD_S = 1.0  # without a new request clients are taken to have moved
CHECK_INTERVAL_S = 0.1
# The client of a stream that comes this long after the signal knew of no other node: it must not be cut.
LATE_STREAM_NS = 3 * SECOND
LATE_STREAM_MARGIN = 1.5  # what must be left for it, in times that most streams of its length need


def shutdown_times(settings: ProcessSettings) -> ShutdownTimes:
    """Return the times of the end, from the deployment's bounds."""
    grace_s = settings.bounds.grace_s
    last_answer = max(0.2 * grace_s, grace_s - LAST_ANSWER_MARGIN_S)
    window = min(settings.bounds.ttl_max_s + 0.5, MAX_WINDOW_SHARE * grace_s, 0.9 * last_answer)
    leave = max(last_answer * 1.01, grace_s - LEAVE_MARGIN_S)
    return ShutdownTimes(
        window=round(window * SECOND),
        last_answer=round(last_answer * SECOND),
        leave=round(leave * SECOND),
        assumed_service_time=round(ASSUMED_SERVICE_TIME_S * SECOND),
        quantile=SERVICE_TIME_QUANTILE,
    )


class GracefulShutdown:
    """Decides which requests may still be taken, and ends the process in order. Times come from `now_ns`."""

    def __init__(self, settings: ProcessSettings, now_ns: Callable[[], int]) -> None:
        self._phases = PlannedShutdown(shutdown_times(settings), [kind.value for kind in RouteKind])
        self._stream_times = ServiceTimes(ASSUMED_TOKEN_NS)
        self._now_ns = now_ns
        self._last_request_ns = 0

    @property
    def has_begun(self) -> bool:
        """Whether the process ends."""
        return self._phases.phase(self._now_ns()) is not Phase.SERVING

    def deadline_ns(self, request: ClientRequest) -> int | None:
        """Return by when a request that came now must be answered, or None where that could not be before the end."""
        now = self._now_ns()
        deadline_ns = self._phases.deadline(now, request.route.kind.value, request.deadline_ns)
        if deadline_ns is None or not self.has_begun:
            return deadline_ns
        if request.route.streams and now + self._stream_ns(request, now) > deadline_ns:
            return None  # it would be cut; its client finds another node at once
        self._last_request_ns = now
        return deadline_ns

    def _stream_ns(self, request: ClientRequest, now: int) -> float:
        margin = LATE_STREAM_MARGIN if self._phases.elapsed(now) >= LATE_STREAM_NS else 1.0
        return margin * self._stream_times.expected_ns(request.route.name, _tokens_out(request))

    def record_served(self, request: ClientRequest) -> None:
        """Learn the service time of a request that has its answer from a worker."""
        span_ns = self._now_ns() - request.arrived_ns
        self._phases.record_service_time(request.route.kind.value, span_ns)
        if request.route.streams:
            self._stream_times.learn(request.route.name, span_ns, _tokens_out(request))

    async def run(self, server: HttpServer, router: RequestRouter) -> None:
        """End in order; return when the process may exit."""
        self._phases.begin(self._now_ns())
        server.announce_close()
        window, last_call, last_answer, _ = self._phases.phase_times()
        while not self._may_exit(window, router) and self._now_ns() < last_call:  # noqa: ASYNC110 - the clock decides too
            await asyncio.sleep(CHECK_INTERVAL_S)
        server.stop_accepting()
        while router.open_requests and self._now_ns() < last_answer:  # noqa: ASYNC110 - the clock decides too
            await asyncio.sleep(CHECK_INTERVAL_S)
        router.end_all()
        remaining_s = (self._phases.phase_times()[-1] - self._now_ns()) / SECOND
        await server.drain(max(0.0, remaining_s))

    def _may_exit(self, window: int, router: RequestRouter) -> bool:
        now = self._now_ns()
        is_quiet = now - self._last_request_ns >= QUIET_PERIOD_S * SECOND
        return now >= window and is_quiet and not router.open_requests


def _tokens_out(request: ClientRequest) -> int:
    """Return the most tokens that a request may be answered with; 1 where it does not say."""
    prompt = read_prompt(request)
    return prompt.max_tokens_out if prompt is not None else 1
