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
    scheduler = ManagedScheduler(Server())
    scheduler.list_targets(WorkerState.DRAINING)
    assert status(scheduler.call(b"GET /healthcheck HTTP/1.1\r\n\r\n")) == 503
    scheduler.list_targets()
    answer = scheduler.call(b"GET /healthcheck HTTP/1.1\r\n\r\n")
    assert status(answer) == 200
    assert "Connection: close" in answer


def test_health_is_not_ok_once_the_planned_shutdown_has_begun() -> None:
    scheduler = ManagedScheduler(Server())
    scheduler.listener.drain()
    assert status(scheduler.call(b"GET /healthcheck HTTP/1.1\r\n\r\n")) == 503


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
    scheduler = ManagedScheduler(Server())
    data, expected = BAD_REQUESTS[name]
    assert status(scheduler.call(data)) == expected


def test_an_incomplete_request_is_answered_and_closed_within_its_time() -> None:
    limits = replace(Limits(client_connections=8, worker_connections=8), mgmt_call=Limits().mgmt_call / 100)
    scheduler = ManagedScheduler(Server(), limits=limits)
    for cut in range(1, len(b"GET /healthcheck HTTP/1.1\r\n\r\n")):
        answer = scheduler.call(b"GET /healthcheck HTTP/1.1\r\n\r\n"[:cut])
        assert status(answer) == 408, cut
    peer = scheduler.caller()
    # A connection that sends no data is closed without a response.
    scheduler.until(lambda: peer.look() == b"" and peer.ended)


def test_idle_connections_do_not_block_new_clients() -> None:
    """Fails if clients that hold incomplete requests can fill the connection table of the management address."""
    scheduler = ManagedScheduler(Server())
    idle_clients = [scheduler.caller(b"GET /health") for _ in range(3 * scheduler.limits.mgmt_connections)]
    answer = scheduler.call(b"GET /healthcheck HTTP/1.1\r\n\r\n")
    assert status(answer) == 200
    assert len(scheduler.mgmt.connections) <= scheduler.limits.mgmt_connections
    # The server closes the oldest idle connections to make room for new ones.
    assert any(idle_client.look() == b"" and idle_client.ended for idle_client in idle_clients)


def test_a_flood_of_clients_does_not_delay_the_management_address() -> None:
    scheduler = ManagedScheduler(Server())
    clients = [scheduler.client(b"POST /api HTTP/1.1\r\n") for _ in range(2 * scheduler.limits.client_connections)]
    assert status(scheduler.call(b"GET /healthcheck HTTP/1.1\r\n\r\n")) == 200
    assert len(clients) > scheduler.limits.client_connections


def test_the_clients_address_is_shared_with_a_second_process() -> None:
    scheduler = ManagedScheduler(Server())
    second_listener = Listener.bind(scheduler.loop, scheduler.coordinator, scheduler.limits, scheduler.address)
    assert second_listener.sock.getsockname() == scheduler.address
    second_listener.close()


def test_a_flood_on_the_management_address_does_not_delay_the_clients() -> None:
    scheduler = ManagedScheduler(Server())
    callers = []
    # There are more connections than the backlog holds, so the connects must not block.
    for _ in range(8 * scheduler.limits.mgmt_connections):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(scheduler.mgmt_address)
        callers.append(sock)
    client = scheduler.client(job(call_id="c1"))
    scheduler.asked(0).say(done("r1", "c1"))
    assert scheduler.answer(client).endswith("r1")
    assert len(scheduler.mgmt.connections) <= scheduler.limits.mgmt_connections
    assert len(callers) > scheduler.limits.mgmt_connections
    for sock in callers:
        sock.close()
