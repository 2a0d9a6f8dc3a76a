"""The ingress: invalid requests reach no worker, valid ones reach a worker complete and are answered in order."""

from __future__ import annotations

import asyncio

import pytest

from canvasbeam.data_plane.ingress import REQUEST_BYTES
from canvasbeam.runtime import http_connection
from tests.data_plane.test_data_plane_requests import run
from tests.support.data_plane_harness import HOST, DataPlaneUnderTest, ScriptedWorker, WorkerTurn, request_bytes

HEAD = f"POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r1\r\nX-Deadline: 4000\r\n"
SMUGGLED = f"POST /unsafe/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: smuggled\r\nContent-Length: 0\r\n\r\n"

INVALID_REQUESTS = {
    "two lengths": HEAD + f"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{SMUGGLED}",
    "two lengths, the other order": HEAD
    + f"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n{SMUGGLED}",
    "two different lengths": HEAD + f"Content-Length: 0\r\nContent-Length: 5\r\n\r\n{SMUGGLED}",
    "a list of lengths": HEAD + f"Content-Length: 0, 5\r\n\r\n{SMUGGLED}",
    "an encoding in disguise": HEAD + f"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n{SMUGGLED}",
    "two encodings": HEAD + f"Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n{SMUGGLED}",
    "a space before the colon": HEAD + f"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n{SMUGGLED}",
    "a signed length": HEAD + "Content-Length: +5\r\n\r\nhello",
    "a folded header": HEAD + "X-A: 1\r\n Transfer-Encoding: chunked\r\nContent-Length: 0, 1\r\n\r\n",
    "a bad chunk": HEAD + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
    "no id": f"POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n\r\n",
    "two ids": HEAD + "X-Request-Id: r2\r\nContent-Length: 0\r\n\r\n",
    "no host": "POST /safe/x HTTP/1.1\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n",
    "two hosts": HEAD + "Host: b.example\r\nContent-Length: 0\r\n\r\n",
    "a whole address": f"POST http://{HOST}/safe/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r1\r\n\r\n",
    "a bad deadline": HEAD.replace("4000", "soon") + "Content-Length: 0\r\n\r\n",
    "a negative deadline": HEAD.replace("4000", "-1") + "Content-Length: 0\r\n\r\n",
    "not HTTP": "\x16\x03\x01 hello\r\n\r\n",
    "a head that is too large": HEAD + f"X-Large: {'a' * 20000}\r\nContent-Length: 0\r\n\r\n",
    "a body that is too large": HEAD + f"Content-Length: 1001\r\n\r\n{'a' * 1001}",
    "a chunked body that is too large": HEAD + f"Transfer-Encoding: chunked\r\n\r\n3e9\r\n{'a' * 1001}\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("case", INVALID_REQUESTS)
def test_invalid_request_is_rejected_and_its_connection_closed(case: str) -> None:
    """Guard against request smuggling: a body whose end is ambiguous may contain the bytes of a second request."""
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        await client.send(INVALID_REQUESTS[case])
        answer = await client.response()
        assert 400 <= answer.status < 500 or answer.status == 501
        assert await client.closed()
        assert not worker.received

    run(body, worker)


def test_chunked_body_reaches_the_worker_complete() -> None:
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        await client.send(HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")
        assert (await client.response()).status == 200
        received = worker.received[0]
        assert received.body == b"hello world"
        assert "transfer-encoding" not in received.headers

    run(body, worker)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def echo(turn: WorkerTurn) -> None:
        await turn.answer("200 OK", turn.request.identity)

    worker = ScriptedWorker("w1", default=echo)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        await client.send("".join(request_bytes("/unsafe/x", f"id-{number}") for number in range(3)))
        for number in range(3):
            answer = await client.response()
            assert (answer.status, answer.body) == (200, f"id-{number}".encode())

    run(body, worker)


def test_request_with_incomplete_body_is_not_sent_to_a_worker() -> None:
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        await client.send(HEAD + "Content-Length: 10\r\n\r\nhalf")
        client.writer.write_eof()
        assert (await client.response()).status == 400
        assert await client.closed()
        assert not worker.received
        assert data_plane.router.open_requests == 0

    run(body, worker)


def test_request_without_configuration_gets_503_with_retry_after() -> None:
    async def body(data_plane: DataPlaneUnderTest) -> None:
        data_plane.view.current = None
        data_plane.view._adopted.clear()
        answer = await (await data_plane.client()).request("/safe/x")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0

    run(body, ScriptedWorker("w1"))


def test_request_just_before_the_first_configuration_is_served() -> None:
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        data_plane.view.current = None
        data_plane.view._adopted.clear()
        client = await data_plane.client()
        await client.send(request_bytes("/safe/x"))
        while not data_plane.server.busy_count:
            await asyncio.sleep(0)
        data_plane.configure()
        assert (await client.response()).status == 200

    run(body, worker)


def test_route_change_applies_to_the_next_request() -> None:
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        all_routes = data_plane.routes
        data_plane.routes = [route for route in all_routes if route["name"] != "safe"]
        data_plane.configure()
        assert (await client.request("/safe/x", "id-1")).status == 404
        data_plane.routes = all_routes
        data_plane.configure()
        assert (await client.request("/safe/x", "id-2")).status == 200

    run(body, worker)


@pytest.mark.parametrize(
    ("rejected_request", "status"),
    [
        (request_bytes("/nowhere/x"), 404),
        (request_bytes("/safe/x", body="x" * 2000), 413),
        (request_bytes("/safe/x", "r1", "", f"X-Long: {'x' * 20_000}"), 431),
    ],
)
def test_node_with_outdated_configuration_answers_503_instead_of_4xx(rejected_request: bytes, status: int) -> None:
    """Guard against a 404, 413 or 431 by an outdated configuration, where a newer one may accept the request."""

    async def body(data_plane: DataPlaneUnderTest) -> None:
        for data_plane.is_behind, expected in ((False, status), (True, 503)):
            client = await data_plane.client()
            await client.send(rejected_request)
            response = await client.response()
            assert response.status == expected
            assert ("retry-after" in response.headers) == (expected == 503)
        client = await data_plane.client()
        assert (await client.request("/safe/x", "id-2")).status == 200

    run(body, ScriptedWorker("w1"))


def test_request_in_flight_keeps_its_removed_route() -> None:
    began, proceed = asyncio.Event(), asyncio.Event()

    async def work(turn: WorkerTurn) -> None:
        began.set()
        await proceed.wait()
        await turn.answer()

    worker = ScriptedWorker("w1", default=work)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        await client.send(request_bytes("/unsafe/x"))
        await began.wait()
        data_plane.routes = []
        data_plane.configure()
        proceed.set()
        assert (await client.response()).status == 200

    run(body, worker)


def test_request_above_the_memory_budget_gets_503_and_reserves_nothing() -> None:
    began, proceed = asyncio.Event(), asyncio.Event()

    async def work(turn: WorkerTurn) -> None:
        began.set()
        await proceed.wait()
        await turn.answer()

    worker = ScriptedWorker("w1", default=work)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        first = await data_plane.client()
        await first.send(request_bytes("/unsafe/x", "id-1", "hello"))
        await began.wait()
        connection_bytes = http_connection.CONNECTION_BYTES + http_connection.REQUEST_BYTES
        held = data_plane.budget.reserved_bytes
        data_plane.budget._memory_bytes = held + connection_bytes + REQUEST_BYTES - 1
        for chunked in (False, True):
            second = await data_plane.client()
            if chunked:
                await second.send(HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
            else:
                await second.send(request_bytes("/unsafe/x", "id-2", "hello"))
            answer = await second.response()
            assert answer.status == 503
            assert await second.closed()
        proceed.set()
        assert (await first.response()).status == 200
        client = await data_plane.client()
        assert (await client.request("/unsafe/x", "id-3")).status == 200
        assert len(worker.received) == 2
        client.close()
        first.close()
        while data_plane.server.connection_count:
            await asyncio.sleep(0)
        assert data_plane.budget.reserved_bytes == 0

    run(body, worker)


def test_fractional_deadline_is_accepted() -> None:
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        assert (await client.request("/safe/x", "id-1", "", "X-Deadline: 3999.5")).status == 200
        assert 0 < int(worker.received[0].headers["x-deadline"]) < 4000

    run(body, worker)
