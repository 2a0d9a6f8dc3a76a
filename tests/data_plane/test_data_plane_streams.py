"""Event streams: unbuffered forwarding, the visible end of a broken stream, and resumption at another worker."""

from __future__ import annotations

import asyncio

import pytest

from canvasbeam.data_plane.event_stream import EventSplitter, is_after
from tests.data_plane.test_data_plane_requests import run
from tests.support.data_plane_harness import (
    DataPlaneUnderTest,
    Script,
    ScriptedWorker,
    WorkerTurn,
    event,
    make_route,
    request_bytes,
)


def test_events_are_forwarded_before_the_stream_ends() -> None:
    proceed = asyncio.Event()

    async def script(turn: WorkerTurn) -> None:
        await turn.begin_stream()
        await turn.event(1)
        await proceed.wait()
        await turn.chunk("id: 2\nda")
        await turn.chunk("ta: token 2\n\nid: 3\ndata: token 3\n\n")
        await turn.end_stream()

    worker = ScriptedWorker("w1", default=script)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        await client.send(request_bytes("/stream/x"))
        status, headers = await client.head()
        assert (status, headers["x-response-seal"]) == (200, "3e1b.07")
        assert await client.chunk() == event(1).encode()
        proceed.set()
        assert await client.chunk() == (event(2) + event(3)).encode()
        assert await client.chunk() == b""
        assert (await client.request("/stream/x", "id-2")).complete
        assert worker.connections == 1

    run(body, worker)


def _break_after(*numbers: int, partial: str = "") -> object:
    async def script(turn: WorkerTurn) -> None:
        await turn.begin_stream()
        for number in numbers:
            await turn.event(number)
        if partial:
            await turn.chunk(partial)
        turn.writer.close()  # close before the final chunk, which would end the body

    return script


def _complete_stream(first: int, last: int) -> object:
    async def script(turn: WorkerTurn) -> None:
        await turn.begin_stream()
        for number in range(first, last + 1):
            await turn.event(number)
        await turn.end_stream()

    return script


def test_broken_stream_without_resume_ends_incomplete() -> None:
    first, second = (ScriptedWorker(name, default=_break_after(1, 2)) for name in ("w1", "w2"))  # type: ignore[arg-type]

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        answer = await client.request("/stream/x")
        assert not answer.complete
        assert answer.body == (event(1) + event(2)).encode()
        assert len(first.received) + len(second.received) == 1

    run(body, first, second)


def test_broken_stream_is_resumed_without_missing_or_duplicate_events() -> None:
    turns: list[WorkerTurn] = []

    async def script(turn: WorkerTurn) -> None:
        turns.append(turn)
        if len(turns) == 1:
            await _break_after(1, 2, partial="id: 3\ndata: tok")(turn)  # type: ignore[operator]
        else:
            await _complete_stream(2, 4)(turn)  # type: ignore[operator]

    first, second = (ScriptedWorker(name, default=script) for name in ("w1", "w2"))

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        answer = await client.request("/resume/x")
        assert answer.complete
        assert answer.body == "".join(map(event, range(1, 5))).encode()
        assert turns[1].request.headers["last-event-id"] == "2"
        assert turns[1].request.identity == turns[0].request.identity
        assert len(first.received) == len(second.received) == 1

    run(body, first, second)


def test_stream_is_resumed_on_a_bounded_number_of_workers() -> None:
    first, second = (ScriptedWorker(name, default=_break_after(1, 2)) for name in ("w1", "w2"))  # type: ignore[arg-type]

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        answer = await client.request("/resume/x")
        assert not answer.complete
        assert answer.body == (event(1) + event(2)).encode()
        assert len(first.received) + len(second.received) == 2

    run(body, first, second)


def test_resumable_stream_that_breaks_before_its_first_event_is_retried() -> None:
    async def script(turn: WorkerTurn) -> None:
        if len(first.received) + len(second.received) == 1:
            await turn.begin_stream()
            turn.reset()
        else:
            await _complete_stream(1, 2)(turn)  # type: ignore[operator]

    first, second = (ScriptedWorker(name, default=script) for name in ("w1", "w2"))

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        assert (await client.request("/resume/x")).complete

    run(body, first, second)


async def _without_seal(turn: WorkerTurn) -> None:
    await turn.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
    await turn.write(f"X-Request-Id: {turn.request.identity}\r\n\r\n")
    await turn.event(1)
    await turn.end_stream()


async def _without_length_or_event(turn: WorkerTurn) -> None:
    await turn.write(_unframed_head(turn))
    turn.writer.close()


async def _without_length_or_complete_event(turn: WorkerTurn) -> None:
    await turn.write(_unframed_head(turn) + event(1)[:-1])
    turn.writer.close()


@pytest.mark.parametrize("script", [_without_seal, _without_length_or_event, _without_length_or_complete_event])
def test_stream_without_seal_or_complete_event_gets_502(script: Script) -> None:
    worker = ScriptedWorker("w1", default=script)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        assert (await client.request("/stream/x")).status == 502

    run(body, worker)


def _unframed_head(turn: WorkerTurn) -> str:
    head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Response-Seal: a\r\n"
    return f"{head}X-Request-Id: {turn.request.identity}\r\n\r\n"


@pytest.mark.parametrize(
    ("tail", "is_reset", "complete"), [("", False, True), ("id: 2", False, False), ("", True, False)]
)
def test_stream_without_length_is_complete_only_if_it_closes_after_an_event(
    tail: str, is_reset: bool, complete: bool
) -> None:
    sent = asyncio.Event()

    async def without_length(turn: WorkerTurn) -> None:
        await turn.write(_unframed_head(turn) + event(1) + tail)
        if is_reset:
            await sent.wait()
            turn.reset()
        turn.writer.close()

    worker = ScriptedWorker("w1", default=without_length)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        await client.send(request_bytes("/stream/x"))
        status, headers = await client.head()
        assert (status, headers["transfer-encoding"]) == (200, "chunked")
        assert await client.chunk() == event(1).encode()
        sent.set()
        assert await client.chunk() == (b"" if complete else None)
        assert len(worker.received) == 1

    run(body, worker)


def test_client_disconnect_stops_a_stream() -> None:
    stopped = asyncio.Event()

    async def script(turn: WorkerTurn) -> None:
        await turn.begin_stream()
        await turn.event(1)
        await turn.until_closed()
        stopped.set()

    worker = ScriptedWorker("w1", default=script)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        await client.send(request_bytes("/resume/x"))
        await client.head()
        client.close()
        await stopped.wait()
        assert data_plane.router.open_requests == 0

    run(body, worker)


def test_stream_at_its_timeout_is_cut_and_not_resumed() -> None:
    async def script(turn: WorkerTurn) -> None:
        await turn.begin_stream()
        await turn.event(1)
        await turn.until_closed()

    worker = ScriptedWorker("w1", default=script)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        answer = await client.request("/short/x")
        assert (answer.body, answer.complete) == (event(1).encode(), False)
        assert len(worker.received) == 1

    run(body, worker, routes=[make_route("short", "streaming", resume=True, timeout_ms=1000)])


def test_event_splitter_splits_at_blank_lines_for_any_chunk_size() -> None:
    text = b"id: 1\r\ndata: a\r\n\r\ndata: b\n\nid:3\ndata: c\r\rdata: d"
    for size in range(1, len(text)):
        splitter = EventSplitter()
        events = [event for at in range(0, len(text), size) for event in splitter.feed(text[at : at + size])]
        assert b"".join(event.data for event in events) + splitter.partial == text
        assert [event.event_id for event in events] == [b"1", None, b"3"]


def test_event_ids_are_compared_as_numbers_or_text() -> None:
    assert is_after(b"10", b"9")
    assert not is_after(b"9", b"9")
    assert is_after(b"b", b"a")
