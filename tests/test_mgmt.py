"""Stories of the second address: health, bad calls, and callers that hold a connection beside one that asks."""

from __future__ import annotations

import socket
from dataclasses import replace

import pytest

from canvasbeam import interface as ci
from canvasbeam.mgmt.desk import OperatorDesk
from canvasbeam.mgmt.server import ManagementListener
from canvasbeam.net.limits import Limits
from canvasbeam.net.listener import Listener
from tests.loopback import Peer, Server, World


class Desk(World):
    """A world with a second address."""

    def __init__(self, *servers: Server, limits: Limits | None = None) -> None:
        super().__init__(*servers, limits=limits)
        self.desk = OperatorDesk(self.core, self.listener)
        self.mgmt = ManagementListener.bind(self.loop, self.limits, self.desk, ("127.0.0.1", 0))
        self.mgmt_address: tuple[str, int] = self.mgmt.sock.getsockname()

    def caller(self, data: bytes = b"") -> Peer:
        """A caller on the second address that has written this."""
        peer = Peer(socket.create_connection(self.mgmt_address))
        if data:
            peer.say(data)
        return peer

    def call(self, data: bytes) -> str:
        """The whole answer to one call, once the connection has ended."""
        peer = self.caller(data)
        self.until(lambda: peer.look() and peer.ended)
        return peer.got.decode()


def status(answer: str) -> int:
    return int(answer.split()[1])


def test_health_says_yes_only_once_a_target_is_live() -> None:
    world = Desk(Server())
    world.list_targets(ci.WorkerState.DRAINING)
    assert status(world.call(b"GET /healthcheck HTTP/1.1\r\n\r\n")) == 503
    world.list_targets()
    answer = world.call(b"GET /healthcheck HTTP/1.1\r\n\r\n")
    assert status(answer) == 200
    assert "Connection: close" in answer


def test_health_says_no_once_the_planned_end_has_begun() -> None:
    world = Desk(Server())
    world.listener.drain()
    assert status(world.call(b"GET /healthcheck HTTP/1.1\r\n\r\n")) == 503


BAD = {
    "unknown path": (b"GET /elsewhere HTTP/1.1\r\n\r\n", 404),
    "wrong method": (b"DELETE /healthcheck HTTP/1.1\r\n\r\n", 405),
    "a body": (b"GET /healthcheck HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", 400),
    "a chunked body": (b"GET /healthcheck HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 400),
    "no HTTP": (b"what is this\r\n\r\n", 400),
    "overlong request line": (b"GET /" + b"x" * 10_000 + b" HTTP/1.1\r\n\r\n", 431),
    "overlong head": (b"GET /healthcheck HTTP/1.1\r\nX-Long: " + b"x" * 10_000 + b"\r\n\r\n", 431),
    "another version": (b"GET /healthcheck HTTP/2.0\r\n\r\n", 505),
}


@pytest.mark.parametrize("name", BAD)
def test_bad_calls_get_a_clear_no(name: str) -> None:
    world = Desk(Server())
    data, expected = BAD[name]
    assert status(world.call(data)) == expected


def test_a_cut_call_is_told_so_and_closed_within_its_time() -> None:
    limits = replace(Limits(client_connections=8, target_connections=8), mgmt_call=Limits().mgmt_call / 100)
    world = Desk(Server(), limits=limits)
    for cut in range(1, len(b"GET /healthcheck HTTP/1.1\r\n\r\n")):
        answer = world.call(b"GET /healthcheck HTTP/1.1\r\n\r\n"[:cut])
        assert status(answer) == 408, cut
    peer = world.caller()
    world.until(lambda: peer.look() == b"" and peer.ended)  # one that says nothing is closed


def test_callers_that_hold_their_connection_keep_nobody_out() -> None:
    world = Desk(Server())
    holders = [world.caller(b"GET /health") for _ in range(3 * world.limits.mgmt_connections)]
    answer = world.call(b"GET /healthcheck HTTP/1.1\r\n\r\n")
    assert status(answer) == 200
    assert len(world.mgmt.connections) <= world.limits.mgmt_connections
    assert any(each.look() == b"" and each.ended for each in holders)  # the oldest made room


def test_a_flood_of_clients_does_not_put_the_second_address_behind() -> None:
    world = Desk(Server())
    clients = [world.client(b"POST /api HTTP/1.1\r\n") for _ in range(2 * world.limits.client_connections)]
    assert status(world.call(b"GET /healthcheck HTTP/1.1\r\n\r\n")) == 200
    assert len(clients) > world.limits.client_connections


def test_the_clients_address_is_shared_with_a_second_process() -> None:
    world = Desk(Server())
    beside = Listener.bind(world.loop, world.core, world.limits, world.address)
    assert beside.sock.getsockname() == world.address
    beside.close()
