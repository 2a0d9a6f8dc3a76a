"""Answers that a worker or this node sends before it has read the complete body of a request."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from canvasbeam.data_plane import ingress
from canvasbeam.runtime import http_connection
from tests.data_plane.test_data_plane_requests import run
from tests.support.data_plane_harness import DataPlaneUnderTest, ScriptedWorker, WorkerTurn, event, request_bytes

LONG_BODY = 24 << 20
SHORT_BODY = 60_000
SMALL_BUFFER = 4096
# Limit in seconds for an early answer; below the timeout that closes a connection whose peer does not read.
ANSWER_LIMIT_S = 2.0


class EarlyWorker(ScriptedWorker):
    """A worker that answers a request after reading its head, and reads its body only once `may_read_body` is set."""

    def __init__(self, name: str, answer: Callable[[str], str]) -> None:
        super().__init__(name)
        self.answer = answer
        self.may_read_body = asyncio.Event()
        self.received_bytes: list[bytearray] = []  # bytes received on each connection

    async def start(self) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        listener.bind(("127.0.0.1", 0))
        self.port = listener.getsockname()[1]
        self._server = await asyncio.start_server(self._serve, sock=listener, limit=SMALL_BUFFER)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        stream = bytearray()
        self.received_bytes.append(stream)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                stream += head
                writer.write(self.answer(_header(head, "x-request-id")).encode())
                await self.may_read_body.wait()
                await _read(reader, int(_header(head, "content-length")), stream)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # the data plane closed the connection
        finally:
            writer.close()


async def _read(reader: asyncio.StreamReader, size: int, stream: bytearray) -> None:
    while size:
        chunk = await reader.read(size)
        if not chunk:
            raise ConnectionResetError
        stream += chunk
        size -= len(chunk)


def _header(head: bytes, name: str) -> str:
    for line in head.decode().split("\r\n"):
        key, _, value = line.partition(":")
        if key.lower() == name:
            return value.strip()
    return "0"


def complete_answer(identity: str) -> str:
    return f"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Request-Id: {identity}\r\nX-Response-Seal: a\r\n\r\ndone"


def rejection(identity: str) -> str:
    status = "HTTP/1.1 503 Service Unavailable"
    return f"{status}\r\nContent-Length: 0\r\nX-Request-Id: {identity}\r\nX-Not-Executed: 1\r\n\r\n"


def stream(identity: str) -> str:
    head = f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {identity}\r\nX-Response-Seal: a\r\n"
    body = event(1)
    return f"{head}Content-Length: {len(body)}\r\n\r\n{body}"


def run_early(body: Callable[[DataPlaneUnderTest], Awaitable[None]], worker: ScriptedWorker) -> None:
    async def main(data_plane: DataPlaneUnderTest) -> None:
        data_plane.budget._memory_bytes = 128 << 20
        data_plane.configure(max_body_bytes=32 << 20)
        await body(data_plane)

    run(main, worker)


@pytest.mark.parametrize(
    ("kind", "answer", "status"),
    [
        ("unsafe", complete_answer, 200),
        ("safe", complete_answer, 200),
        ("unsafe", rejection, 503),
        ("stream", stream, 200),
    ],
)
def test_early_answer_reaches_the_client_and_its_connection_is_not_reused(
    kind: str, answer: Callable[[str], str], status: int
) -> None:
    """Guard against reuse of a connection amid a body: the worker would read the next request as part of the body."""
    worker = EarlyWorker("w1", answer)
    long_body = "x" * LONG_BODY

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        async with asyncio.timeout(ANSWER_LIMIT_S):
            first = await client.request(f"/{kind}/x", "r1", long_body)
        assert first.status == status
        await client.request(f"/{kind}/x", "r2", "y" * 10)
        worker.may_read_body.set()
        await data_plane.server.close()
        data_plane.connections.close()
        while any(not task.done() for task in tuple(worker._tasks)):
            await asyncio.sleep(0.01)
        connection_bytes = bytes(worker.received_bytes[0])
        head, _, rest = connection_bytes.partition(b"\r\n\r\n")
        assert b"r1" in head
        assert 0 < len(rest) < LONG_BODY, "the body must be longer than the socket buffers"
        assert rest == long_body.encode()[: len(rest)], "the worker received bytes that are not the rest of the body"

    run_early(body, worker)


def test_early_answer_to_a_fully_sent_body_keeps_the_connection_usable() -> None:
    worker = EarlyWorker("w1", complete_answer)
    worker.may_read_body.set()

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        for number in range(3):
            answer = await client.request("/unsafe/x", f"r{number}", "x" * SHORT_BODY)
            assert (answer.status, answer.body) == (200, b"done")
        for connection_bytes in worker.received_bytes:
            rest = bytes(connection_bytes)
            while rest:
                head, _, rest = rest.partition(b"\r\n\r\n")
                assert head.startswith(b"POST /unsafe/x HTTP/1.1")
                body_bytes = rest[:SHORT_BODY]
                assert body_bytes == b"x" * len(body_bytes)
                rest = rest[SHORT_BODY:]

    run_early(body, worker)


SMUGGLED = request_bytes("/unsafe/smuggled", "smuggled")


@pytest.mark.parametrize("case", ["no configuration", "too large", "no id", "two lengths", "memory"])
def test_unread_body_of_a_rejected_request_is_not_parsed_as_a_request(
    case: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against request smuggling: after a rejection the unread body may contain the bytes of another request."""
    monkeypatch.setattr(ingress, "FIRST_CONFIGURATION_WAIT_S", 0.0)
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        length = len(SMUGGLED) + 500
        head = ["POST /unsafe/x HTTP/1.1", "Host: a.example", f"Content-Length: {length}"]
        if case != "no id":
            head.append("X-Request-Id: r1")
        if case == "no configuration":
            data_plane.view.current = None
        if case == "too large":
            data_plane.configure(max_body_bytes=100)
        if case == "two lengths":
            head.append("Transfer-Encoding: chunked")
        if case == "memory":
            data_plane.budget._memory_bytes = http_connection.CONNECTION_BYTES + http_connection.REQUEST_BYTES
        client = await data_plane.client()
        await client.send("\r\n".join(head) + "\r\n\r\n")
        status, headers = await client.head()
        assert 400 <= status <= 503
        await client.reader.readexactly(int(headers.get("content-length", 0)))
        await client.send(SMUGGLED)
        assert await client.closed()
        assert worker.received == []

    run(body, worker)


@pytest.mark.parametrize("is_complete", [False, True])
def test_broken_stream_does_not_look_complete_to_an_http_1_0_client(is_complete: bool) -> None:
    """An HTTP/1.0 answer ends with its connection, so a broken stream must end by a reset and not by a plain close."""

    async def stream_one_event(turn: WorkerTurn) -> None:
        await turn.begin_stream()
        await turn.event(1)
        if is_complete:
            await turn.end_stream()
        turn.writer.close()

    worker = ScriptedWorker("w1", default=stream_one_event)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        await client.send(request_bytes("/stream/x").replace("HTTP/1.1", "HTTP/1.0"))
        if is_complete:
            status, headers = await client.head()
            assert status == 200
            assert "content-length" not in headers
            assert await client.reader.read() == event(1).encode()
        else:
            with pytest.raises(ConnectionError):
                await client.reader.read()

    run(body, worker)
