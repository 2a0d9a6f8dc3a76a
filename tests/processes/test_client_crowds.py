"""Crowds of clients that do not behave: the process lives, within its limits, and ordinary callers are served.

Each test starts the system with a small `memory_mb` and `max_fds`. The memory counts with the kernel's buffers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.support.client_crowd import (
    EDGE,
    LIMITS,
    MEBIBYTE,
    Crowd,
    SizedWorker,
    UsageWatch,
    check_is_served,
    chunked,
    configuration_put,
    request_head,
    send_whole,
    start_system,
)
from tests.support.system_processes import (
    CONTROL_PORT,
    CONTROLS,
    DIRECTORY_PORT,
    FRONT_PORT,
    METRICS_PORT,
    READY_PORT,
    Node,
    System,
    ask,
    play,
    request_headers,
)

CONTROL_CLUSTER_PORT, EDGE_CLUSTER_PORT = 7660, 7661
MAX_BODY_BYTES = 4194304  # of the configuration
MAX_FRAME_BYTES = 8 << 20  # of a message between nodes
CONTROL = CONTROLS[0]
UNREAD_CONNECTIONS, UNREAD_REQUESTS, UNREAD_BYTES = 60, 64, 131072
STREAMS, EVENT_BYTES = 60, 524288
LARGE_ANSWERS, LARGE_ANSWER_BYTES = 48, 8 * MEBIBYTE
WHOLE_BODIES, ROUNDS = 80, 2
UNFINISHED_BODIES = 80
PIECE_BYTES = 1024
IDLE_CONNECTIONS = 1500
HEADS, HEAD_BYTES = 400, 60000
AHEAD, AHEAD_BYTES = 200, MEBIBYTE
ORDERS, ORDER_BYTES = 40, 16 * MEBIBYTE
FRAMES = 40
MIXED = 40


def play_crowd(folder: Path, node: Node, act: Callable[[SizedWorker], Awaitable[Crowd]]) -> None:
    """Let a crowd come and go, and check the process before, during and after it."""

    async def scene(system: System) -> None:
        worker = await start_system(system)
        await check_is_served(node, "before")
        watch = UsageWatch(system, node)
        crowd = await act(worker)
        await crowd.wait()
        await check_is_served(node, "during")
        await crowd.leave()
        worker.held.open()
        await check_is_served(node, "after")
        watch.stop()
        watch.check()
        await watch.check_recovery()

    play(folder, scene, LIMITS)


def test_answers_of_requests_sent_ahead_are_not_read(tmp_path: Path) -> None:
    async def act(worker: SizedWorker) -> Crowd:
        extra = f"X-Answer-Bytes: {UNREAD_BYTES}\r\n"
        body = b"x" * UNREAD_BYTES
        requests = [request_head(n, UNREAD_BYTES, extra=extra) + body for n in range(UNREAD_REQUESTS)]
        crowd = Crowd(EDGE, FRONT_PORT)
        await crowd.open(UNREAD_CONNECTIONS, requests)
        return crowd

    play_crowd(tmp_path, EDGE, act)


def test_large_answers_are_not_read(tmp_path: Path) -> None:
    async def act(worker: SizedWorker) -> Crowd:
        crowd = Crowd(EDGE, FRONT_PORT)
        await crowd.open(LARGE_ANSWERS, [request_head(0, 0, extra=f"X-Answer-Bytes: {LARGE_ANSWER_BYTES}\r\n")])
        return crowd

    play_crowd(tmp_path, EDGE, act)


def test_streams_are_not_read(tmp_path: Path) -> None:
    async def act(worker: SizedWorker) -> Crowd:
        extra = f"X-Answer-Bytes: {EVENT_BYTES}\r\nX-Tokens: 100,40\r\nX-Model: m\r\nX-Prefix-Hash: 1f:100\r\n"
        head = request_head(0, 0, extra=extra).replace(b"lookup.example", b"chat.example")
        crowd = Crowd(EDGE, FRONT_PORT)
        await crowd.open(STREAMS, [head])
        return crowd

    play_crowd(tmp_path, EDGE, act)


def test_many_large_bodies_at_once(tmp_path: Path) -> None:
    async def act(worker: SizedWorker) -> Crowd:
        message = request_head(0, MAX_BODY_BYTES) + b"x" * MAX_BODY_BYTES
        for _ in range(ROUNDS):
            await asyncio.gather(*(send_whole(EDGE, FRONT_PORT, message) for _ in range(WHOLE_BODIES)))
        crowd = Crowd(EDGE, FRONT_PORT)
        await crowd.open(1)
        return crowd

    play_crowd(tmp_path, EDGE, act)


def test_many_large_bodies_that_are_held_at_a_worker(tmp_path: Path) -> None:
    async def act(worker: SizedWorker) -> Crowd:
        worker.held.close()
        message = request_head(0, MAX_BODY_BYTES, path="/v1/question/held") + b"x" * MAX_BODY_BYTES
        crowd = Crowd(EDGE, FRONT_PORT)
        await crowd.open(WHOLE_BODIES, [message])
        return crowd

    play_crowd(tmp_path, EDGE, act)


def test_many_large_bodies_stop_before_their_end(tmp_path: Path) -> None:
    async def act(worker: SizedWorker) -> Crowd:
        crowd = Crowd(EDGE, FRONT_PORT)
        body = b"x" * (MAX_BODY_BYTES - 1)
        await crowd.open(UNFINISHED_BODIES, [request_head(0, MAX_BODY_BYTES), body])
        return crowd

    play_crowd(tmp_path, EDGE, act)


def test_many_large_bodies_in_pieces_stop_before_their_end(tmp_path: Path) -> None:
    async def act(worker: SizedWorker) -> Crowd:
        crowd = Crowd(EDGE, FRONT_PORT)
        await crowd.open(UNFINISHED_BODIES, [request_head(0, None), *chunked(MAX_BODY_BYTES, PIECE_BYTES)])
        return crowd

    play_crowd(tmp_path, EDGE, act)


@pytest.mark.parametrize(
    ("node", "port"),
    [
        (EDGE, FRONT_PORT),
        (EDGE, READY_PORT),
        (EDGE, METRICS_PORT),
        (EDGE, EDGE_CLUSTER_PORT),
        (CONTROL, CONTROL_PORT),
        (CONTROL, DIRECTORY_PORT),
        (CONTROL, CONTROL_CLUSTER_PORT),
    ],
)
def test_many_idle_connections(tmp_path: Path, node: Node, port: int) -> None:
    async def act(worker: SizedWorker) -> Crowd:
        crowd = Crowd(node, port)
        await crowd.open(IDLE_CONNECTIONS)
        return crowd

    play_crowd(tmp_path, node, act)


@pytest.mark.parametrize(
    ("node", "port"),
    [
        (EDGE, FRONT_PORT),
        (EDGE, READY_PORT),
        (EDGE, METRICS_PORT),
        (CONTROL, CONTROL_PORT),
        (CONTROL, DIRECTORY_PORT),
    ],
)
def test_many_heads_without_an_end(tmp_path: Path, node: Node, port: int) -> None:
    async def act(worker: SizedWorker) -> Crowd:
        crowd = Crowd(node, port)
        head = b"GET /v1/x HTTP/1.1\r\nHost: lookup.example\r\nX-Long: "
        await crowd.open(HEADS, [head, b"x" * HEAD_BYTES])
        return crowd

    play_crowd(tmp_path, node, act)


def test_requests_sent_ahead_wait_behind_one_that_is_held(tmp_path: Path) -> None:
    async def act(worker: SizedWorker) -> Crowd:
        worker.held.close()
        first = request_head(0, 0, path="/v1/question/held")
        second = request_head(1, 0, extra="X-Long: " + "x" * 4000 + "\r\n")
        crowd = Crowd(EDGE, FRONT_PORT)
        await crowd.open(AHEAD, [first, second * (AHEAD_BYTES // len(second))])
        return crowd

    play_crowd(tmp_path, EDGE, act)


def test_many_orders_stop_before_their_end(tmp_path: Path) -> None:
    async def act(worker: SizedWorker) -> Crowd:
        crowd = Crowd(CONTROL, CONTROL_PORT)
        await crowd.open(ORDERS, [configuration_put(ORDER_BYTES), b" " * (ORDER_BYTES - 1)])
        return crowd

    play_crowd(tmp_path, CONTROL, act)


@pytest.mark.parametrize(("node", "port"), [(EDGE, EDGE_CLUSTER_PORT), (CONTROL, CONTROL_CLUSTER_PORT)])
def test_many_messages_between_nodes_stop_before_their_end(tmp_path: Path, node: Node, port: int) -> None:
    async def act(worker: SizedWorker) -> Crowd:
        crowd = Crowd(node, port)
        await crowd.open(FRAMES, [MAX_FRAME_BYTES.to_bytes(4, "big"), b"x" * (MAX_FRAME_BYTES - 1)])
        return crowd

    play_crowd(tmp_path, node, act)


def test_many_kinds_at_once_in_a_data_plane_process(tmp_path: Path) -> None:
    """Every address and every kind of content at the same time: the limits hold for the sum."""

    async def act(worker: SizedWorker) -> Crowd:
        worker.held.close()
        long_head = [b"GET /v1/x HTTP/1.1\r\nHost: lookup.example\r\nX-Long: ", b"x" * HEAD_BYTES]
        body = b"x" * (MAX_BODY_BYTES - 1)
        crowd = Crowd(EDGE, FRONT_PORT)
        for port in (FRONT_PORT, READY_PORT, METRICS_PORT):
            await crowd.open(MIXED, long_head, port=port)
        await crowd.open(
            MIXED, [MAX_FRAME_BYTES.to_bytes(4, "big"), b"x" * (MAX_FRAME_BYTES - 1)], port=EDGE_CLUSTER_PORT
        )
        await crowd.open(MIXED, [request_head(0, 0, extra=f"X-Answer-Bytes: {LARGE_ANSWER_BYTES}\r\n")])
        await crowd.open(MIXED, [request_head(0, MAX_BODY_BYTES), body])
        await crowd.open(MIXED, [request_head(0, MAX_BODY_BYTES, path="/v1/question/held"), body, b"x", *long_head])
        return crowd

    play_crowd(tmp_path, EDGE, act)


def test_many_kinds_at_once_in_a_control_process(tmp_path: Path) -> None:
    """Every address and every kind of content at the same time: the limits hold for the sum."""

    async def act(worker: SizedWorker) -> Crowd:
        long_head = [b"GET /v1/x HTTP/1.1\r\nHost: lookup.example\r\nX-Long: ", b"x" * HEAD_BYTES]
        crowd = Crowd(CONTROL, CONTROL_PORT)
        for port in (CONTROL_PORT, DIRECTORY_PORT):
            await crowd.open(MIXED, long_head, port=port)
        frame = [MAX_FRAME_BYTES.to_bytes(4, "big"), b"x" * (MAX_FRAME_BYTES - 1)]
        await crowd.open(MIXED, frame, port=CONTROL_CLUSTER_PORT)
        await crowd.open(MIXED, [configuration_put(ORDER_BYTES), b" " * (ORDER_BYTES - 1)])
        return crowd

    play_crowd(tmp_path, CONTROL, act)


def test_a_single_request_and_answer_of_the_largest_size_pass(tmp_path: Path) -> None:
    """Guards ordinary callers against limits that are meant for crowds."""

    async def scene(system: System) -> None:
        await start_system(system)
        headers = {**request_headers("large", streaming=False), "X-Answer-Bytes": str(MAX_BODY_BYTES)}
        body = b"x" * MAX_BODY_BYTES
        answer = await ask(EDGE.address(FRONT_PORT), "POST", "/v1/question", headers, body)
        assert answer is not None
        assert (answer.status, answer.content) == (200, body)

    play(tmp_path, scene, LIMITS)


def test_numbers_in_headers_do_not_disturb_other_requests(tmp_path: Path) -> None:
    """The one check without a crowd: a request that is being run is answered although another one has odd numbers."""

    async def scene(system: System) -> None:
        worker = await start_system(system)
        worker.held.close()
        waiting = asyncio.create_task(
            send_whole(EDGE, FRONT_PORT, request_head(1, 5, path="/v1/question/held") + b"hello")
        )
        others = []
        for number, tokens in enumerate((2**32, 2**63, 10**400, -1), start=2):
            extra = f"X-Tokens: {tokens},{tokens}\r\nX-Model: m\r\nX-Prefix-Hash: 1f:{tokens}\r\n"
            for name in (b"lookup.example", b"chat.example"):
                head = request_head(number, 5, extra=extra, deadline_ms=1000).replace(b"lookup.example", name)
                others.append(send_whole(EDGE, FRONT_PORT, head + b"hello"))
        assert all(await asyncio.gather(*others))
        worker.held.open()
        answer = await waiting
        assert answer.startswith(b"HTTP/1.1 200 "), answer
        assert "dispatcher" not in system.log(EDGE), system.log(EDGE)

    play(tmp_path, scene, LIMITS)
