"""The graceful shutdown of a data-plane process: which requests are accepted, their deadlines, and the time of exit.

`canvasbeam/runtime/planned_shutdown.py` defines and owns the phases. New connections are accepted until the last call,
because clients cache addresses for a while. The process exits earlier once clients use other nodes and no request is
open. `Ingress` answers the requests that are rejected.
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

LAST_ANSWER_MARGIN_S = 0.5  # every request is answered this long before the platform kills the process
LEAVE_MARGIN_S = 0.25  # the process exits this long before the platform kills it
ASSUMED_TOKEN_NS = 30 * MILLISECOND  # assumed time per token of an answer until a stream was measured
ASSUMED_SERVICE_TIME_S = 0.5  # assumed service time of a route kind until one of its requests was served
# During shutdown a request is accepted only if the time left is at least this quantile of the recent service times of
# its route kind, because a request that is cut off at the end is lost, while another node answers a rejected request.
SERVICE_TIME_QUANTILE = 0.98
MAX_WINDOW_SHARE = 0.6  # maximum share of the grace period during which clients move to other nodes
QUIET_PERIOD_S = 1.0  # after this time without a new request, clients are assumed to use other nodes
CHECK_INTERVAL_S = 0.1
# A client that opens a stream this long after the shutdown signal knew of no other node, so its stream must not be cut.
LATE_STREAM_NS = 3 * SECOND
LATE_STREAM_MARGIN = 1.5  # a late stream is accepted only if this multiple of its expected duration is left


def shutdown_times(settings: ProcessSettings) -> ShutdownTimes:
    """Return the times of the shutdown phases, computed from the time bounds of the deployment."""
    grace_s = settings.bounds.grace_s
    last_answer_s = max(0.2 * grace_s, grace_s - LAST_ANSWER_MARGIN_S)
    window_s = min(settings.bounds.ttl_max_s + 0.5, MAX_WINDOW_SHARE * grace_s, 0.9 * last_answer_s)
    leave_s = max(last_answer_s * 1.01, grace_s - LEAVE_MARGIN_S)
    return ShutdownTimes(
        window=round(window_s * SECOND),
        last_answer=round(last_answer_s * SECOND),
        leave=round(leave_s * SECOND),
        assumed_service_time=round(ASSUMED_SERVICE_TIME_S * SECOND),
        quantile=SERVICE_TIME_QUANTILE,
    )


class GracefulShutdown:
    """Decides which requests are accepted during shutdown, and runs the shutdown. Times come from `now_ns`."""

    def __init__(self, settings: ProcessSettings, now_ns: Callable[[], int]) -> None:
        self._phases = PlannedShutdown(shutdown_times(settings), [kind.value for kind in RouteKind])
        self._stream_times = ServiceTimes(ASSUMED_TOKEN_NS)
        self._now_ns = now_ns
        self._last_request_ns = 0

    @property
    def has_begun(self) -> bool:
        """True once the shutdown has begun."""
        return self._phases.phase(self._now_ns()) is not Phase.SERVING

    def deadline_ns(self, request: ClientRequest) -> int | None:
        """Return the deadline of a request that arrives now, or None if it cannot be answered before the exit."""
        now = self._now_ns()
        deadline_ns = self._phases.deadline(now, request.route.kind.value, request.deadline_ns)
        if deadline_ns is None or not self.has_begun:
            return deadline_ns
        if request.route.streams and now + self._stream_ns(request, now) > deadline_ns:
            return None  # the stream would be cut; after a rejection its client uses another node at once
        self._last_request_ns = now
        return deadline_ns

    def _stream_ns(self, request: ClientRequest, now: int) -> float:
        margin = LATE_STREAM_MARGIN if self._phases.elapsed(now) >= LATE_STREAM_NS else 1.0
        return margin * self._stream_times.expected_ns(request.route.name, _tokens_out(request))

    def record_served(self, request: ClientRequest) -> None:
        """Record the service time of a request that a worker has answered."""
        service_time_ns = self._now_ns() - request.arrived_ns
        self._phases.record_service_time(request.route.kind.value, service_time_ns)
        if request.route.streams:
            self._stream_times.learn(request.route.name, service_time_ns, _tokens_out(request))

    async def run(self, server: HttpServer, router: RequestRouter) -> None:
        """Run the shutdown; return when the process may exit."""
        self._phases.begin(self._now_ns())
        server.announce_close()
        window_end_ns, last_call_ns, last_answer_ns, _ = self._phases.phase_times()
        while not self._may_exit(window_end_ns, router) and self._now_ns() < last_call_ns:  # noqa: ASYNC110 - has a deadline
            await asyncio.sleep(CHECK_INTERVAL_S)
        server.stop_accepting()
        while router.open_requests and self._now_ns() < last_answer_ns:  # noqa: ASYNC110 - has a deadline
            await asyncio.sleep(CHECK_INTERVAL_S)
        router.fail_all()
        remaining_s = (self._phases.phase_times()[-1] - self._now_ns()) / SECOND
        await server.drain(max(0.0, remaining_s))

    def _may_exit(self, window_end_ns: int, router: RequestRouter) -> bool:
        now = self._now_ns()
        is_quiet = now - self._last_request_ns >= QUIET_PERIOD_S * SECOND
        return now >= window_end_ns and is_quiet and not router.open_requests


def _tokens_out(request: ClientRequest) -> int:
    """Return the maximum number of tokens in the answer to a request; 1 if its headers give no maximum."""
    prompt = read_prompt(request)
    return prompt.max_tokens_out if prompt is not None else 1
