"""The planned end, crossed at each instant: whatever was taken has its whole answer, what was not is never sent on."""

from __future__ import annotations

import contextlib
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from canvasbeam.dispatch.events import ListKind, WorkerState
from canvasbeam.scheduler.client_connection import ClientConnection
from canvasbeam.scheduler.loop import Stream
from tests.scheduler.test_net_loop import environment, read_all
from tests.scheduler.test_planned_shutdown import draining_world, served
from tests.scheduler.test_upgrade import Fleet, call, healthy
from tests.scheduler.test_upgrade import job as fleet_job
from tests.support.loopback import HEAD, Peer, Server, World, chunk, done, job, line


def raw(client: Peer) -> bytes:
    """All that a client can still read; a reset raises."""
    client.sock.setblocking(True)
    got = b""
    while data := client.sock.recv(65536):
        got += data
    return got


@pytest.mark.parametrize("instant", ["before the shutdown", "after it"])
def test_a_request_that_crosses_the_end_of_its_idle_connection_is_never_sent_on(
    instant: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards the answer before it, which a close over unread bytes would reset away from its client."""
    world = draining_world(Server(), look=1, book=1, pay=1)
    client = world.client(job(call_id="c1"))
    world.asked().say(done("r-c1", "c1"))
    world.until(
        lambda: world.coordinator.answers and not world.coordinator.pending and world.coordinator.open_requests == 0
    )
    crossing, was = [job(call_id="c2")], Stream.discard

    def discard(self: Stream, size: int) -> None:
        if isinstance(self, ClientConnection) and crossing and instant == "before the shutdown":
            client.sock.sendall(crossing.pop())  # between the last look and the end
        was(self, size)

    monkeypatch.setattr(Stream, "discard", discard)
    world.listener.drain()
    world.skip(0.7)
    world.skip(1.8)  # past the last call
    if crossing:
        client.sock.sendall(crossing.pop())
    for _ in range(20):
        world.loop.one_pass()
    assert not crossing
    got = raw(client)
    assert got.startswith(b"HTTP/1.1 200 ")
    assert got.endswith(b"r-c1")
    client.close()
    world.until(lambda: world.listener.is_drained)
    assert world.servers[0].requests() == 1


def test_an_idle_client_that_is_timed_out_sees_an_end_and_no_reset(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World(Server())
    client = world.client(job(call_id="c1"))
    world.asked().say(done("r-c1", "c1"))
    world.until(lambda: world.coordinator.open_requests == 0 and not world.coordinator.pending)
    quiet = Stream.is_quiet

    def is_quiet(self: Stream) -> bool:
        seen = quiet(self)
        if isinstance(self, ClientConnection):
            client.sock.sendall(job(call_id="c2"))  # just after the look
        return seen

    monkeypatch.setattr(Stream, "is_quiet", is_quiet)
    world.skip(world.limits.client_idle.total_seconds() + 1)
    monkeypatch.undo()
    for _ in range(20):
        world.loop.one_pass()
    assert raw(client).endswith(b"r-c1")
    assert world.servers[0].requests() == 1


def test_a_crowd_that_connects_during_the_end_is_answered_though_the_table_is_full() -> None:
    """Guards whoever waits for room as the window ends: the listening socket closed, and reset them all."""
    world = draining_world(Server(), look=1, book=1, pay=1)
    most = world.limits.client_connections
    busy = [world.client(job(call_id=f"b{number}")) for number in range(most)]
    world.until(lambda: world.coordinator.pending == most)
    world.listener.drain()
    crowd = [world.client(job(call_id=f"c{number}")) for number in range(5)]
    world.skip(0.7)
    for _ in range(20):
        world.loop.one_pass()
    assert not world.listener.closed
    answered: set[bytes] = set()

    def serve() -> bool:
        for peer in world.servers[0].look():
            for part in peer.look().split(b"X-Call-Id: ")[1:]:
                name = part.split(b"\r\n")[0]
                if name not in answered:
                    answered.add(name)
                    peer.say(done("r", name.decode()))
        for client in busy:
            if client.look() and not client.ended:
                client.close()
        return all(b"HTTP/1.1" in dispatcher.look() for dispatcher in crowd)

    world.until(serve)
    assert all(dispatcher.got.startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 ")) for dispatcher in crowd)
    world.until(lambda: world.listener.closed)


def test_a_client_accepted_before_the_signal_and_read_after_it_is_served() -> None:
    world = draining_world(Server(), look=1, book=1, pay=1)
    client = world.client()
    world.until(lambda: len(world.listener.connections) == 1)
    world.listener.drain()
    served(world, client, "c1")


def test_half_a_line_from_a_target_at_the_last_answer_leaves_the_client_a_whole_one() -> None:
    world = draining_world(Server(), look=1, book=1, pay=1)
    client = world.client(job("pay", call_id="c1", budget="60"))
    target = world.asked()
    target.say(HEAD + chunk(line("started", "c1")) + b"40\r\n" + line("done", "c1", result="r")[:20])
    world.listener.drain()
    world.skip(3.45)
    answer = world.answer(client)
    assert answer.split()[1] == "504"
    assert "Connection: close" in answer
    with contextlib.suppress(OSError):  # its connection is closed by now
        target.say(line("done", "c1", result="r")[20:] + b"\r\n0\r\n\r\n")
    for _ in range(20):
        world.loop.one_pass()
    assert client.look().count(b"HTTP/1.1") == 1


def test_small_writes_are_never_held_by_the_system() -> None:
    world = World(Server())
    client = world.client(job())
    world.asked()
    streams = [endpoint for endpoint in world.loop.endpoints.items() if isinstance(endpoint, Stream)]
    assert len(streams) == 2  # a client's and a target's
    assert all(stream.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) for stream in streams)
    client.close()


# --- the program ----------------------------------------------------------------------------------


@pytest.mark.parametrize("signals", [(signal.SIGTERM, signal.SIGTERM), (signal.SIGHUP, signal.SIGTERM)])
def test_signals_that_come_together_lose_nothing(signals: Any, tmp_path: Path) -> None:
    """A request is out, another connection is accepted and not yet read, and both signals come in one pass."""
    fleet = Fleet(tmp_path)
    try:
        process, mgmt = fleet.start(1)
        fleet.until(lambda: healthy(fleet, mgmt))
        clients = [Peer(socket.create_connection(fleet.listen)) for _ in range(3)]
        clients[0].say(fleet_job(1))
        for number in signals:
            process.send_signal(number)
        clients[1].say(fleet_job(2))
        fleet.until(lambda: call(fleet, mgmt, "GET /healthcheck HTTP/1.1\r\n\r\n")[0] == 503)
        clients[2].say(fleet_job(3))
        for number, client in enumerate(clients, start=1):
            end = f"r-j{number}".encode()
            fleet.until(lambda client=client, end=end: client.look().endswith(end))  # type: ignore[misc]
            client.close()
        assert process.wait(timeout=60) == 0
    finally:
        fleet.stop()


def test_a_signal_before_ready_ends_the_program_well(tmp_path: Path) -> None:
    """Discovery is silent and the list unknown: nothing is ready, a job is held, and it has its answer."""
    discovery = Server()
    env = environment(tmp_path, discovery)
    address, port = env["LISTEN"].split(":")
    with subprocess.Popen([sys.executable, "-m", "canvasbeam"], env=env, stderr=subprocess.PIPE, text=True) as process:
        try:
            assert process.stderr is not None
            while "listens on" not in process.stderr.readline():
                assert process.poll() is None
            health = socket.create_connection((address, int(port)))
            health.sendall(b"GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
            assert read_all(health).startswith(b"HTTP/1.1 503 ")
            client = socket.create_connection((address, int(port)))
            client.sendall(job(budget="60"))
            process.send_signal(signal.SIGTERM)
            assert read_all(client).startswith(b"HTTP/1.1 503 ")
            assert process.wait(timeout=60) == 0
        finally:
            process.kill()


def test_a_target_listed_as_draining_after_the_signal_gets_nothing_new() -> None:
    world = draining_world(Server(), look=1, book=1, pay=1)
    world.listener.drain()
    world.coordinator.listed(ListKind.CHANGES, [world.target(0, WorkerState.DRAINING)], 2)
    client = world.client(job(call_id="c1"))
    assert world.answer(client).split()[1] == "503"
    assert world.servers[0].requests() == 0
