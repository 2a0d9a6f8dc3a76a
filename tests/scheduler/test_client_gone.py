"""A client that has closed, or reset, has gone: no attempt begins for it, whatever stood between them then."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

import pytest

from canvasbeam.dispatch.events import WorkerState
from canvasbeam.dispatch.settings import Scope
from canvasbeam.scheduler.limits import Limits
from tests.support.helpers import KEYED, LIMITS, MS, SAFE, UNSAFE
from tests.support.loopback import HEAD, Peer, Server, World, chunk, done, line
from tests.support.loopback import job as any_job

# A late answer earns something, so a job is held for as long as its client waits.
PATIENT = tuple(replace(request_class, late_value=0.5) for request_class in (SAFE, KEYED, UNSAFE))
LONG_PROOF = timedelta(milliseconds=50)


def job(job_class: str = "look", call_id: str = "c1", budget: str = "600") -> bytes:
    """One that waits for longer than any story: its end must not come of its time."""
    return any_job(job_class, call_id, budget)


def closed(client: Peer) -> None:
    client.close()


def reset(client: Peer) -> None:
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def half_closed(client: Peer) -> None:
    client.sock.shutdown(socket.SHUT_WR)


WAYS = pytest.mark.parametrize("leaves", [closed, reset, half_closed])
Leaves = Callable[[Peer], None]


def gone(world: World) -> None:
    """Until the scheduler has seen that nobody is there."""
    world.until(lambda: not world.listener.connections)
    assert world.coordinator.pending == 0


def another_is_served_alone(world: World) -> None:
    """Now that there is somebody to send to, the next client's job goes there, and nothing before it did."""
    world.list_targets()
    usual = world.client(job(call_id="u1"))
    world.until(lambda: any(b"X-Call-Id: u1" in received.got for received in world.servers[0].look()))
    next(peer for peer in world.servers[0].peers if b"X-Call-Id: u1" in peer.got).say(done("mine", "u1"))
    assert world.answer(usual).endswith("mine")
    assert world.servers[0].requests() == 1


@WAYS
@pytest.mark.parametrize("behind", ["", "another job", "rubbish", "a flood"])
def test_one_whose_request_is_held_is_not_sent_on(leaves: Leaves, behind: str) -> None:
    """Guards the end that stands behind bytes nobody read: they waited for the answer, and the end with them."""
    more = {
        "": b"", "another job": job(call_id="c2") * 2, "rubbish": b"\0\1\2 rubbish\r\n" * 30,
        "a flood": job(call_id="c3") * 400,
    }[behind]  # fmt: skip
    world = World(Server(), classes=PATIENT)
    world.list_targets(WorkerState.DRAINING)
    client = world.client(job() + more)
    world.until(lambda: world.coordinator.pending == 1)
    leaves(client)
    gone(world)
    another_is_served_alone(world)


@WAYS
def test_one_that_left_before_its_request_was_read_is_not_sent_on(leaves: Leaves) -> None:
    """Guards against a send in the pass in which a request is read: its client's end stood right behind it."""
    world = World(Server())
    idle = world.client(job(call_id="u1"))  # a connection to the target stands, and takes the next job at once
    world.asked().say(done("one", "u1"))
    world.answer(idle)
    leaves(world.client(job()))  # before it was accepted
    gone_by = world.loop.passes + 50
    world.until(lambda: world.loop.passes > gone_by)
    world.settle()
    assert world.servers[0].requests() == 1


@WAYS
def test_one_that_leaves_in_the_pass_in_which_a_target_becomes_free(leaves: Leaves) -> None:
    world = World(Server(), classes=PATIENT)
    first = world.client(job(call_id="c1"))
    target = world.asked()  # its start is not told: nothing more is sent there
    client = world.client(job(call_id="c2"))
    world.until(lambda: world.coordinator.pending == 2)
    target.say(done("one", "c1"))
    leaves(client)  # both are seen in the next pass
    assert world.answer(first).endswith("one")
    gone_by = world.loop.passes + 50
    world.until(lambda: world.loop.passes > gone_by and world.coordinator.pending == 0)
    assert world.servers[0].requests() == 1


@WAYS
def test_one_that_leaves_between_two_attempts(leaves: Leaves) -> None:
    world = World(Server(), Server())
    client = world.client(job())
    world.until(lambda: sum(server.requests() for server in world.servers) == 1)
    asked = next(server for server in world.servers if server.requests())
    asked.peers[-1].say(HEAD + chunk(line("returned")))
    leaves(client)
    gone(world)
    assert sum(server.requests() for server in world.servers) == 1


@WAYS
@pytest.mark.parametrize("name", ["pay", "book"])
@pytest.mark.parametrize("may_cancel", [True, False])
def test_one_that_leaves_while_the_last_byte_is_held_back_as_proof(leaves: Leaves, name: str, may_cancel: bool) -> None:
    """Guards against an attempt that begins with its last byte, which was written whoever had left meanwhile."""
    limits = Limits(proof=LONG_PROOF, longest_proof=LONG_PROOF)
    world = World(Server(), limits=limits, allowed=replace(LIMITS, cancel=may_cancel))
    client = world.client(job(name))
    target = world.servers[0]
    world.until(lambda: any(b"BOD" in received.got for received in target.look()))
    leaves(client)
    gone(world)
    world.until(lambda: target.look() and target.peers[0].ended)
    assert target.requests() == 0


@WAYS
def test_one_that_leaves_while_the_kernel_has_room_for_part_of_its_request(
    leaves: Leaves, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the rest of a large body, written to a target that reads again after the client has gone."""

    def narrow(address: tuple[str, int]) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        sock.setblocking(False)
        sock.connect_ex(address)
        return sock

    server = Server()
    server.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    monkeypatch.setattr("canvasbeam.scheduler.attempt_sender.connect", narrow)
    world = World(server, allowed=replace(LIMITS, cancel=False))
    client = world.client(job().replace(b"Length: 4", b"Length: 60004").replace(b"BODY", b"x" * 60_000 + b"BODY"))
    world.until(lambda: world.coordinator.pending == 1)
    written = world.loop.passes + 50
    world.until(lambda: world.loop.passes > written)
    leaves(client)
    gone(world)
    world.until(lambda: server.look() and server.peers[0].ended)
    assert server.requests() == 0
    assert len(server.peers[0].got) < 60_000


@WAYS
def test_one_that_leaves_before_a_repeat(leaves: Leaves) -> None:
    """A job waits for a second target after its first broke; nobody else is there yet."""
    world = World(Server(), classes=PATIENT)
    client = world.client(job())
    target = world.asked()
    world.list_targets(WorkerState.DRAINING)
    target.close()
    world.servers[0].peers.clear()
    world.until(lambda: not world.coordinator.requests()[0].open_attempts())
    leaves(client)
    gone(world)
    another_is_served_alone(world)


@WAYS
def test_one_that_leaves_after_the_planned_end_began(leaves: Leaves) -> None:
    world = World(Server(), classes=PATIENT)
    world.list_targets(WorkerState.DRAINING)
    client = world.client(job())
    world.until(lambda: world.coordinator.pending == 1)
    world.listener.drain()
    leaves(client)
    gone(world)
    another_is_served_alone(world)


def test_the_repeat_window_is_asked_again_before_the_last_byte() -> None:
    """Guards a keyed class with a short window: it ran out while the last byte was held back as proof."""
    proof = timedelta(seconds=2)
    classes = (SAFE, replace(KEYED, scope=Scope.ZONE, window_ns=3000 * MS), UNSAFE)
    world = World(Server(), Server(), limits=Limits(proof=proof, longest_proof=proof), classes=classes)
    client = world.client(job("book", budget="9"))
    world.until(lambda: any(b"BOD" in received.got for server in world.servers for received in server.look()))
    first = next(server for server in world.servers if server.peers)
    other = next(server for server in world.servers if server is not first)
    world.skip(2.0)
    world.until(lambda: first.requests() == 1)
    first.peers[0].close()  # it may have run, two seconds after its first byte was sent
    world.until(lambda: any(b"BOD" in received.got for received in other.look()))
    world.skip(2.0)
    assert world.answer(client).split()[1] == "500"
    world.until(lambda: other.look() and other.peers[0].ended)
    assert other.requests() == 0
