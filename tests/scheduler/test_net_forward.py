"""Stories of forwards: what targets do on their sockets, and what the client is then told."""

from __future__ import annotations

import fcntl
import socket
import termios
from datetime import timedelta

import pytest

from canvasbeam.dispatch.events import WorkerState
from canvasbeam.scheduler.limits import Limits
from canvasbeam.scheduler.load_report import read_report
from canvasbeam.scheduler.loop import QUICKACK
from canvasbeam.scheduler.worker_connection import AttemptConnection
from tests.support.loopback import END, HEAD, Server, World, chunk, done, job, line


def test_a_job_passes_unchanged_and_its_result_comes_back_verbatim() -> None:
    world = World(Server())
    client = world.client(job("book", extra="Idempotency-Key: i9\r\nX-Call-Info: slots=2\r\n"))
    target = world.asked()
    head, _, body = target.got.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /api?sid=k1&x=%20y HTTP/1.1"
    assert {b"X-Call-Id: c1", b"Idempotency-Key: i9", b"Content-Length: 4"} <= set(lines)
    budgets = [float(line.split(b": ")[1]) for line in lines if line.lower().startswith(b"x-budget")]
    assert len(budgets) == 1
    assert 0 < budgets[0] <= 4.0
    assert body == b"BODY"
    target.say(done("ré\u00e9sult \u2713"))
    answer = world.answer(client)
    assert answer.startswith("HTTP/1.1 200 ")
    assert answer.endswith("ré\u00e9sult \u2713")


def test_an_answer_split_at_every_byte_is_read_the_same() -> None:
    """Guards the line buffer: a JSON line may be split across chunks and reads."""
    world = World(Server())
    client = world.client(job())
    target = world.asked()
    said = line("started") + line("running", share=0.4) + line("done", result="ok")
    for place in range(0, len(said), 7):
        for byte in (HEAD if place == 0 else b"") + chunk(said[place : place + 7]):
            target.say(bytes([byte]))
            world.loop.one_pass()
    assert world.answer(client).endswith("ok")


def test_the_connection_is_reused() -> None:
    """Guards keep-alive: asked after its callback, the parser denied it and every job opened a connection."""
    world = World(Server())
    client = world.client(job())
    world.asked().say(done("one"))
    world.answer(client)
    client.say(job(call_id="c2"))
    world.asked(times=2).say(done("two", "c2"))
    assert world.answer(client, times=2).endswith("two")
    assert len(world.servers[0].look()) == 1


def test_an_idle_connection_the_target_closed_is_not_written_to() -> None:
    """Guards against a request that ends as a reset on a connection known to be closed."""
    world = World(Server())
    client = world.client(job("pay"))
    first = world.asked()
    first.say(done("one"))
    world.answer(client)
    first.close()
    world.servers[0].peers.clear()
    client.say(job("pay", call_id="c2"))
    world.asked().say(done("two", "c2"))
    assert world.answer(client, times=2).endswith("two")


def test_a_refused_connection_never_ran_so_even_an_unsafe_job_goes_elsewhere() -> None:
    gone, well = Server(), Server()
    world = World(gone, well)
    gone.sock.close()
    for number in range(2):  # even turns: one of the two meets the closed port
        client = world.client(job("pay", call_id=f"c{number}"))
        world.until(lambda count=number + 1: well.requests() >= count)  # type: ignore[misc]
        well.peers[-1].say(done("ok", f"c{number}"))
        assert world.answer(client).endswith("ok")


BROKEN = {
    "reset after the request": b"",
    "ended before the last line": HEAD + chunk(line("started")) + END,
    "garbled line": HEAD + chunk(b'{"id":"c1","state":\n'),
    "another request's line": HEAD + chunk(line("done", "c9", result="not yours")),
    "garbled head": b"HTTP/9 what\r\n\r\n",
    "killed": HEAD + chunk(line("lost")) + END,
    "failed": HEAD + chunk(line("failed")) + END,
    "error": b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
    "503 that does not say it was rejected": b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
}


@pytest.mark.parametrize("name", BROKEN)
def test_what_may_have_run_is_not_sent_again_and_not_called_harmless(name: str) -> None:
    world = World(Server(), Server())
    client = world.client(job("pay"))
    world.until(lambda: sum(server.requests() for server in world.servers) == 1)
    target = next(server.peers[0] for server in world.servers if server.peers)
    target.say(BROKEN[name])
    if not BROKEN[name]:
        target.close()
    assert world.answer(client).split()[1] in ("500", "504")
    world.settle()
    assert sum(server.requests() for server in world.servers) <= 1


@pytest.mark.parametrize(
    "said",
    [
        b"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 504 Late\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
        HEAD + chunk(line("started")) + chunk(line("returned", load={"util": 0.5})) + END,
    ],
)
def test_a_job_handed_back_unstarted_goes_to_the_other_target(said: bytes) -> None:
    world = World(Server(), Server())
    client = world.client(job("pay"))
    world.until(lambda: sum(server.requests() for server in world.servers) == 1)
    first = next(server for server in world.servers if server.peers)
    other = next(server for server in world.servers if server is not first)
    first.peers[0].say(said)
    world.until(lambda: other.requests() == 1)
    other.peers[0].say(done("ok"))
    assert world.answer(client).endswith("ok")


@pytest.mark.parametrize("event", ["drain", "hangup"])
def test_a_forward_still_waiting_for_its_connection_is_stopped(event: str) -> None:
    """Guards the moment of the send: the target drains or the client leaves before the connection is up."""
    world = World(Server())
    client = world.client(job("pay"))
    world.until(lambda: world.coordinator.open_requests == 1)
    assert world.forwarder.connections == 1
    assert world.servers[0].requests() == 0
    if event == "drain":
        world.list_targets(WorkerState.DRAINING)
    else:
        client.close()
        world.until(lambda: not world.listener.connections)
    world.until(lambda: world.forwarder.connections == 0)
    if event == "drain":  # it never ran: once the target is well again, the job may go there
        world.list_targets()
        world.asked().say(done("ok"))
        assert world.answer(client).endswith("ok")
    world.settle()
    assert world.servers[0].requests() == (event == "drain")


def test_a_client_that_leaves_ends_its_forward() -> None:
    world = World(Server())
    client = world.client(job())
    target = world.asked()
    client.close()
    world.until(lambda: target.look() and target.ended)
    world.settle()


def test_a_target_that_says_nothing_is_given_up_in_time_and_once() -> None:
    world = World(Server())
    client = world.client(job("pay", budget="0.2"))
    target = world.asked()
    assert world.answer(client).split()[1] == "504"
    world.until(lambda: target.look() and target.ended)
    world.settle()
    assert client.look().count(b"HTTP/1.1") == 1


def test_idle_connections_close_and_none_is_opened_past_the_limit() -> None:
    limits = Limits(client_connections=8, worker_connections=1, worker_idle=timedelta(milliseconds=20))
    world = World(Server(), Server(), limits=limits)
    for number in range(2):
        client = world.client(job(call_id=f"c{number}"))
        world.until(lambda n=number: sum(s.requests() for s in world.servers) > n)  # type: ignore[misc]
        name = f"c{number}"
        peer = next(p for s in world.servers for p in s.peers if name.encode() in p.got)
        peer.say(done("ok", name))
        world.answer(client)
        assert world.forwarder.connections <= 1
    world.until(lambda: world.forwarder.connections == 0)


def test_load_reports_are_read_in_both_forms_and_bad_figures_skipped() -> None:
    names = {"util": "busy_share"}
    assert read_report("util=0.61, x0=2,q=", names) == {"busy_share": 0.61, "x0": 2.0}
    assert read_report({"util": 0.5, "bad": None}, names) == {"busy_share": 0.5}
    assert read_report(None, names) is read_report("", names) is None


def test_an_unrepeatable_job_that_breaks_before_its_last_byte_goes_elsewhere() -> None:
    """Guards the proof: a kept connection the target has left breaks at the first bytes, before the last."""
    limits = Limits(proof=timedelta(seconds=1), longest_proof=timedelta(milliseconds=50))
    world = World(Server(), Server(), limits=limits)
    client = world.client(job("pay"))
    world.until(lambda: any(b"BOD" in received.got for s in world.servers for received in s.look()))
    first = next(server for server in world.servers if server.peers)
    assert first.requests() == 0  # its last byte waits
    other = next(server for server in world.servers if server is not first)
    first.peers[0].close()
    world.until(lambda: other.requests() == 1)
    other.peers[0].say(done("ok"))
    assert world.answer(client).endswith("ok")
    assert first.requests() == 0


def test_once_a_kept_connection_broke_an_unrepeatable_job_gets_a_new_one() -> None:
    """Guards jobs that must not run twice: the break came with their last byte, and proved nothing."""
    world = World(Server())
    server = world.servers[0]
    for number, name in enumerate(("look", "pay"), start=1):
        client = world.client(job(name, call_id=f"a{number}"))
        world.asked(times=number).say(done("ok", f"a{number}"))
        world.answer(client)
        world.skip(world.limits.settle.total_seconds())  # nothing more of its answer is to come
    assert len(server.look()) == 1  # until one breaks, kept connections serve every job
    client = world.client(job(call_id="b"))
    world.asked(times=3).close()  # under a request, on a kept connection
    server.peers.clear()
    world.until(lambda: server.requests() == 1)  # this one may be repeated
    server.peers[0].say(done("ok", "b"))
    world.answer(client)
    client = world.client(job("pay", call_id="c"))
    world.until(lambda: server.requests() == 2)
    assert [peer.got.count(b"BODY") for peer in server.peers] == [1, 1]
    server.peers[1].say(done("ok", "c"))
    assert world.answer(client).endswith("ok")


def test_idle_connections_to_one_target_are_few() -> None:
    world = World(Server(), limits=Limits(kept_idle=1))
    first = world.client(job())
    one = world.asked()
    one.say(HEAD + chunk(line("started")))  # it has room for another
    second = world.client(job(call_id="c2"))
    two = world.asked(times=2)
    assert one is not two
    one.say(chunk(line("done", result="one")) + END)
    two.say(done("two", "c2"))
    assert world.answer(first).endswith("one")
    assert world.answer(second).endswith("two")
    world.until(lambda: world.forwarder.connections <= 1)


@pytest.mark.skipif(QUICKACK is None, reason="this system cannot be asked to acknowledge at once")
def test_an_answer_that_comes_in_small_pieces_is_acknowledged_at_once() -> None:
    """Guards starts told by a target with Nagle's algorithm on: each piece waits for the last one's acknowledgement.

    With 0.1 s jobs on three such targets, 48 jobs a second were served, and 627 once that wait was gone.
    """
    world = World(Server())
    client = world.client(job())
    target = world.asked()
    [connection] = [endpoint for endpoint in world.loop.endpoints.items() if isinstance(endpoint, AttemptConnection)]
    assert QUICKACK is not None
    # As the kernel leaves a connection that has asked and is answered: acknowledgements wait for data to go with.
    connection.sock.setsockopt(socket.IPPROTO_TCP, QUICKACK, 0)
    target.say(HEAD + chunk(line("started")))
    world.until(lambda: connection._response.is_head_complete)
    unacknowledged = fcntl.ioctl(target.sock, termios.TIOCOUTQ, b"\0" * 4)
    assert int.from_bytes(unacknowledged, "little") == 0
    target.say(chunk(line("done", result="ok")) + END)
    assert world.answer(client).endswith("ok")


def test_a_rested_target_is_told_in_the_log(caplog: pytest.LogCaptureFixture) -> None:
    """Guards operators against a target that gets nothing while the log says nothing of it."""
    server = Server()
    world = World(server)
    server.sock.close()
    with caplog.at_level("INFO"):
        client = world.client(job(budget="0.3"))
        world.answer(client)
    assert "worker ejected id=s-0 reason=no connection" in caplog.text
