"""The ASGI app for clients: it reads a request completely, finds its route, and submits the request to the router.

`Ingress` answers the requests that it rejects; after `RequestRouter.submit` the router is responsible for the answer.
A rejection that depends on the configuration is never sent while a newer configuration may be in force.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from canvasbeam.data_plane.body_reader import OVERLOADED, BodyReader, ClientDisconnectedError
from canvasbeam.data_plane.configuration_view import ConfigurationView
from canvasbeam.data_plane.exchange import EXCHANGE_BYTES
from canvasbeam.data_plane.headers import REQUEST_ID, Headers, end_to_end, find_header
from canvasbeam.data_plane.request_head import client_wait_ns, head_bytes, host_name, validate_head
from canvasbeam.data_plane.requests import ClientAnswer, ClientRequest, local_answer
from canvasbeam.data_plane.router import RequestRouter
from canvasbeam.data_plane.routes import Route, SplitSequence
from canvasbeam.data_plane.shutdown import GracefulShutdown
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.runtime.http_server import Receive, Scope, Send, connection_memory
from canvasbeam.runtime.process_budget import KIBIBYTE, MemoryReservation
from canvasbeam.units import MILLISECOND, SECOND

# Failures after which `Ingress` closes the connection, because part of the request may still be unread.
CLOSING_CODES = frozenset(
    (
        ResultCode.REQUEST_INVALID,
        ResultCode.REQUEST_TOO_LARGE,
        ResultCode.REQUEST_HEAD_TOO_LARGE,
        ResultCode.REQUEST_INCOMPLETE,
        ResultCode.OVERLOADED,
    )
)
# Failures that depend on the configuration, so an outdated configuration may cause them wrongly.
CODES_FROM_CONFIGURATION = frozenset(
    (ResultCode.REQUEST_NO_ROUTE, ResultCode.REQUEST_TOO_LARGE, ResultCode.REQUEST_HEAD_TOO_LARGE)
)
# A request that arrives before the first configuration waits this long for that configuration, because other nodes
# send the configuration to a starting node in less time.
FIRST_CONFIGURATION_WAIT_S = 1.5
SHUTDOWN_RETRY_AFTER_NS = 50 * MILLISECOND
MAX_BODY_WAIT_NS = 10 * SECOND
OBJECTS_BYTES = 16 * KIBIBYTE  # of a request: its head, its tasks and its table entries
# What a request may hold in addition to its connection, its body and its answer.
REQUEST_BYTES = OBJECTS_BYTES + EXCHANGE_BYTES


class Ingress:
    """The ASGI app that serves clients.

    `is_configuration_current` returns True if this node knows of no configuration newer than its own; `on_rejected` is
    called with the result code of each rejection by `Ingress`.
    """

    def __init__(
        self,
        view: ConfigurationView,
        router: RequestRouter,
        shutdown: GracefulShutdown,
        generator: random.Random,
        *,
        is_configuration_current: Callable[[], bool] = lambda: True,
        on_rejected: Callable[[ResultCode], None] = lambda code: None,
    ) -> None:
        self._view = view
        self._router = router
        self._shutdown = shutdown
        self._split_sequence = SplitSequence(generator)
        self._is_configuration_current = is_configuration_current
        self._on_rejected = on_rejected

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request; ignore other ASGI scopes."""
        if scope["type"] != "http":
            return
        reservation = connection_memory(scope).part()
        try:
            await self._serve(scope, receive, send, reservation)
        except ClientDisconnectedError:
            return
        finally:
            reservation.close()

    async def _serve(self, scope: Scope, receive: Receive, send: Send, reservation: MemoryReservation) -> None:
        arrived_ns = self._router.now_ns()
        task = asyncio.current_task()
        assert task is not None
        answer = ClientAnswer(send, lambda: _cancel(task))
        if reservation.grow(REQUEST_BYTES):
            request = await self._read_request(scope, receive, reservation, answer, arrived_ns)
        else:
            request = OVERLOADED
        if isinstance(request, Failure):
            failure = self._unless_outdated(request)
            self._on_rejected(failure.code)
            await answer.send_complete(local_answer(failure, close=failure.code in CLOSING_CODES))
            return
        deadline_ns = self._shutdown.deadline_ns(request)
        if deadline_ns is None:
            failure = Failure(ResultCode.REQUEST_REFUSED, "this node ends before it could answer")
            self._on_rejected(failure.code)
            await answer.send_complete(local_answer(failure, SHUTDOWN_RETRY_AFTER_NS, close=True))
            return
        request.deadline_ns = deadline_ns
        self._router.submit(request)
        try:
            await self._wait_for_end(request, receive)
        finally:
            request.forget_bodies()

    def _unless_outdated(self, failure: Failure) -> Failure:
        """Return the failure, or `REQUEST_NOT_READY` if it depends on a configuration that may be outdated."""
        if failure.code not in CODES_FROM_CONFIGURATION or self._is_configuration_current():
            return failure
        return Failure(
            ResultCode.REQUEST_NOT_READY, f"a newer configuration may be in force; by this one {failure.reason}"
        )

    async def _wait_for_end(self, request: ClientRequest, receive: Receive) -> None:
        """Wait until the client disconnects or its answer is complete; report an early disconnect to the router."""
        try:
            while (await receive())["type"] != "http.disconnect":
                pass
        finally:
            if request.answer.open:
                self._router.client_disconnected(request)

    async def _read_request(
        self, scope: Scope, receive: Receive, memory: MemoryReservation, answer: ClientAnswer, arrived_ns: int
    ) -> ClientRequest | Failure:
        headers: Headers = list(scope["headers"])
        await self._view.wait_for_first(FIRST_CONFIGURATION_WAIT_S)
        configuration = self._view.current
        invalid = validate_head(scope, headers)
        if invalid is not None:
            return invalid
        if configuration is None:
            return Failure(ResultCode.REQUEST_NOT_READY, "no configuration is known yet")
        limits = configuration.limits
        if head_bytes(scope, headers) > limits.max_header_bytes:
            return Failure(
                ResultCode.REQUEST_HEAD_TOO_LARGE, f"the head is larger than {limits.max_header_bytes} bytes"
            )
        reader = BodyReader(receive, memory)
        body = await reader.read(headers, limits.max_body_bytes, self._body_wait_ns(scope, headers))
        if isinstance(body, Failure):
            return body
        route = self._find_route(scope, headers)
        if route is None:
            return Failure(ResultCode.REQUEST_NO_ROUTE, "no route fits the host and path")
        request = self._make_request(scope, body, route, answer, arrived_ns)
        request.memory = memory
        return request

    def _body_wait_ns(self, scope: Scope, headers: Headers) -> int:
        """Return how long to wait for the body, in nanoseconds: an answer after the route's timeout is of no use."""
        route = self._find_route(scope, headers)
        max_wait_ns = MAX_BODY_WAIT_NS if route is None else min(MAX_BODY_WAIT_NS, route.timeout_ns)
        return min(max_wait_ns, client_wait_ns(headers))

    def _find_route(self, scope: Scope, headers: Headers) -> Route | None:
        """Return the route of a request in the current configuration, or None if no route matches."""
        configuration = self._view.current
        if configuration is None:
            return None
        return configuration.find_route(host_name(headers), scope["raw_path"].decode("latin-1"))

    def _make_request(
        self, scope: Scope, body: bytes | bytearray, route: Route, answer: ClientAnswer, arrived_ns: int
    ) -> ClientRequest:
        headers: Headers = list(scope["headers"])
        identity = find_header(headers, REQUEST_ID)
        assert identity is not None
        query = scope["query_string"]
        client_deadline_ns = arrived_ns + client_wait_ns(headers)
        return ClientRequest(
            identity=identity,
            method=scope["method"].encode(),
            target=scope["raw_path"] + (b"?" + query if query else b""),
            headers=end_to_end(headers),
            body=body,
            route=route,
            service=self._split_sequence.next_service(route),
            arrived_ns=arrived_ns,
            deadline_ns=min(arrived_ns + route.timeout_ns, client_deadline_ns),
            client_deadline_ns=client_deadline_ns,
            answer=answer,
        )


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
