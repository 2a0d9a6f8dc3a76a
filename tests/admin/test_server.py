"""Tests the HTTP server of the management address: health check, invalid requests, idle clients and floods."""

from __future__ import annotations

import socket
from dataclasses import replace

import pytest

from canvasbeam.dispatch.events import WorkerState
from canvasbeam.scheduler.limits import Limits
from canvasbeam.scheduler.listener import Listener
from tests.support.loopback import Server, done, job
from tests.support.managed_scheduler import ManagedScheduler, status


def test_health_is_ok_only_once_a_worker_is_live() -> None:
    world = ManagedScheduler(Server())
    world.list_targets(WorkerState.DRAINING)
    assert status(world.call(b"GET /healthcheck HTTP/1.1\r\n\r\n")) == 503
    world.list_targets()
    answer = world.call(b"GET /healthcheck HTTP/1.1\r\n\r\n")
    assert status(answer) == 200
    assert "Connection: close" in answer


def test_health_is_not_ok_once_the_planned_shutdown_has_begun() -> None:
    world = ManagedScheduler(Server())
    world.listener.drain()
    assert status(world.call(b"GET /healthcheck HTTP/1.1\r\n\r\n")) == 503


BAD_REQUESTS = {
    "unknown path": (b"GET /elsewhere HTTP/1.1\r\n\r\n", 404),
    "wrong method": (b"DELETE /healthcheck HTTP/1.1\r\n\r\n", 405),
    "a body": (b"GET /healthcheck HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", 400),
    "a chunked body": (b"GET /healthcheck HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 400),
    "no HTTP": (b"what is this\r\n\r\n", 400),
    "overlong request line": (b"GET /" + b"x" * 10_000 + b" HTTP/1.1\r\n\r\n", 431),
    "overlong head": (b"GET /healthcheck HTTP/1.1\r\nX-Long: " + b"x" * 10_000 + b"\r\n\r\n", 431),
    "another version": (b"GET /healthcheck HTTP/2.0\r\n\r\n", 505),
}


@pytest.mark.parametrize("name", BAD_REQUESTS)
def test_a_bad_request_gets_its_status(name: str) -> None:
    world = ManagedScheduler(Server())
    data, expected = BAD_REQUESTS[name]
    assert status(world.call(data)) == expected


def test_an_incomplete_request_is_answered_and_closed_within_its_time() -> None:
    limits = replace(Limits(client_connections=8, worker_connections=8), mgmt_call=Limits().mgmt_call / 100)
    world = ManagedScheduler(Server(), limits=limits)
    for cut in range(1, len(b"GET /healthcheck HTTP/1.1\r\n\r\n")):
        answer = world.call(b"GET /healthcheck HTTP/1.1\r\n\r\n"[:cut])
        assert status(answer) == 408, cut
    peer = world.caller()
    world.until(lambda: peer.look() == b"" and peer.ended)  # a connection without any data is closed with no response


def test_callers_that_hold_their_connection_keep_nobody_out() -> None:
    world = ManagedScheduler(Server())
    holders = [world.caller(b"GET /health") for _ in range(3 * world.limits.mgmt_connections)]
    answer = world.call(b"GET /healthcheck HTTP/1.1\r\n\r\n")
    assert status(answer) == 200
    assert len(world.mgmt.connections) <= world.limits.mgmt_connections
    assert any(holder.look() == b"" and holder.ended for holder in holders)  # closed to make room


def test_a_flood_of_clients_does_not_delay_the_management_address() -> None:
    world = ManagedScheduler(Server())
    clients = [world.client(b"POST /api HTTP/1.1\r\n") for _ in range(2 * world.limits.client_connections)]
    assert status(world.call(b"GET /healthcheck HTTP/1.1\r\n\r\n")) == 200
    assert len(clients) > world.limits.client_connections


def test_the_clients_address_is_shared_with_a_second_process() -> None:
    world = ManagedScheduler(Server())
    beside = Listener.bind(world.loop, world.coordinator, world.limits, world.address)
    assert beside.sock.getsockname() == world.address
    beside.close()


def test_a_flood_on_the_management_address_does_not_delay_the_clients() -> None:
    world = ManagedScheduler(Server())
    callers = []
    for _ in range(8 * world.limits.mgmt_connections):  # exceeds the backlog, so the connects must not block
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(world.mgmt_address)
        callers.append(sock)
    client = world.client(job(call_id="c1"))
    world.asked(0).say(done("r1", "c1"))
    assert world.answer(client).endswith("r1")
    assert len(world.mgmt.connections) <= world.limits.mgmt_connections
    assert len(callers) > world.limits.mgmt_connections
    for sock in callers:
        sock.close()
