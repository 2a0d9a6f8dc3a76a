"""What targets do at the wrong instant: the outcome, whether it may have run, whether it is repeated, and where."""

from __future__ import annotations

import json
import socket
from dataclasses import replace
from datetime import timedelta

import pytest

from canvasbeam.dispatch.events import ListKind, Outcome
from canvasbeam.dispatch.settings import ReportHow, Scope, Weights
from canvasbeam.scheduler.limits import Limits, seconds
from canvasbeam.scheduler.load_report import read_report
from tests.support.helpers import KEYED, LIMITS, MS, SAFE, UNSAFE
from tests.support.loopback import END, HEAD, Peer, Server, World, chunk, done, job, line

REJECTED = b"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"


def both_asked(world: World, times: int) -> int:
    """Until the targets together got so many whole requests; how many each has."""
    world.until(lambda: sum(server.requests() for server in world.servers) >= times)
    return sum(server.requests() for server in world.servers)


def first_of(world: World) -> Server:
    both_asked(world, 1)
    return next(server for server in world.servers if server.peers)


def served_once(world: World, number: int, job_class: str = "look") -> Peer:
    """A job served on the one target; its connection there is kept."""
    client = world.client(job(job_class, call_id=f"a{number}"))
    peer = world.asked(times=number)
    peer.say(done("ok", f"a{number}"))
    world.answer(client)
    return client


# --- a second answer ------------------------------------------------------------------------------


@pytest.mark.parametrize("name", ["pay", "book"])
@pytest.mark.parametrize("late", [REJECTED, ERROR, done("not yours", "a1"), b"HTTP/1.1 4"])
def test_a_second_answer_some_milliseconds_late_is_not_read_as_the_next_jobs(name: str, late: bytes) -> None:
    """Guards jobs that must not run twice: a late rejection names no job, and was taken for the next one's.

    The next job was written on that connection; it was "never run", and went to another target as well.
    """
    world = World(Server(), Server(), classes=(SAFE, replace(KEYED, scope=Scope.CELL), UNSAFE))
    client = world.client(job(call_id="a1"))
    first = first_of(world)
    first.peers[0].say(done("ok", "a1"))
    world.answer(client)
    world.coordinator.listed(ListKind.COMPLETE, [world.target(world.servers.index(first))], 2)  # it alone is there
    client = world.client(job(name, call_id="b1"))
    both_asked(world, 2)
    world.coordinator.listed(ListKind.COMPLETE, [world.target(0), world.target(1)], 3)
    peer = next(received for received in first.look() if b"b1" in received.got)
    first.peers[0].say(late)  # on the connection of its own request, whoever has that now
    peer.say(HEAD + chunk(line("started", "b1")))
    other = next(server for server in world.servers if server is not first)
    for _ in range(100):
        world.loop.one_pass()
    peer.say(chunk(line("done", "b1", result="mine")) + END)
    assert world.answer(client).endswith("mine")
    assert first.requests() == 2
    assert other.requests() == 0


def test_a_second_answer_right_behind_the_first_does_not_take_its_place() -> None:
    world = World(Server(), Server())
    client = world.client(job("pay"))
    first = first_of(world)
    first.peers[0].say(done("ok") + REJECTED)
    assert world.answer(client).endswith("ok")
    world.settle()
    assert both_asked(world, 1) == 1
    world.until(lambda: first.peers[0].look() and first.peers[0].ended)  # a connection that speaks unasked


def test_what_an_interim_answer_says_is_not_said_of_the_final_one() -> None:
    world = World(Server(), Server())
    client = world.client(job("pay"))
    interim = b"HTTP/1.1 102 Processing\r\nX-Rejected: 1\r\n\r\n"
    first_of(world).peers[0].say(interim + b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
    assert world.answer(client).split()[1] == "500"
    world.settle()
    assert both_asked(world, 1) == 1


# --- spoilt answers -------------------------------------------------------------------------------

SPOILT = {
    "deep nesting": b"[" * 100_000,
    "deep objects": b'{"id":"c1","state":"running","share":' + b'{"a":' * 50_000 + b"1" + b"}" * 50_001,
    "an absurd share": b'{"id":"c1","state":"running","share":1' + b"0" * 400 + b"}",
    "a number beyond reading": b'{"id":"c1","state":"running","share":1' + b"0" * 5000 + b"}",
    "a state that is a list": b'{"id":"c1","state":["done"]}',
    "no object": b"17",
    "a result that is no text": b'{"id":"c1","state":"done","result":17}',
    "half a character": b'{"id":"c1","state":"done","result":"\\ud800"}',
    "no UTF-8": b'{"id":"c1","state":"done","result":"\xff"}',
    "another request's": line("done", "c9", result="not yours").strip(),
    "a state nobody knows": line("paused").strip(),
    "nothing after done's key": b'{"id":"c1","state":"done"}',
}


@pytest.mark.parametrize("name", SPOILT)
@pytest.mark.parametrize("job_class", ["look", "pay"])
def test_a_spoilt_line_may_have_run_and_is_repeated_only_where_that_is_permitted(
    name: str, job_class: str, caplog: pytest.LogCaptureFixture
) -> None:
    world = World(Server(), Server())
    client = world.client(job(job_class))
    first = first_of(world)
    first.peers[0].say(HEAD + chunk(line("started")) + chunk(SPOILT[name] + b"\n"))
    if job_class == "look":
        both_asked(world, 2)
        peers = [peer for server in world.servers for peer in server.peers if b"BODY" in peer.got]
        peers.remove(first.peers[0])
        peers[0].say(done("ok"))
        assert world.answer(client).endswith("ok")
    else:
        assert world.answer(client).split()[1] in ("500", "504")
        world.settle()
        assert both_asked(world, 1) == 1
    world.until(lambda: first.peers[0].look() and first.peers[0].ended)
    assert "Traceback" not in caplog.text


@pytest.mark.parametrize("load", ['{"x0":1e999}', '{"x0":NaN}', '{"x0":1' + "0" * 400 + "}", '{"x0":[1]}', '"x0=inf"'])
def test_an_absurd_report_spoils_neither_the_answer_nor_the_decisions(load: str) -> None:
    """Guards the module: an infinite figure raised in it, and everything open was answered as failed."""
    world = World(
        Server(), report_how=ReportHow.ANSWERS, report_fields=("free_slots",), dispatchers=40,
        weights=Weights.LIVE,
    )  # fmt: skip
    world.forwarder.report_names = {"x0": "free_slots"}
    dispatcher = world.coordinator.decisions.dispatcher
    client = world.client(job())
    said = '{"id":"c1","state":"done","result":"ok","load":' + load + "}\n"
    world.asked().say(HEAD + chunk(said.encode()) + END)
    assert world.answer(client).endswith("ok")
    world.settle()
    world.loop.one_pass()
    assert world.coordinator.decisions.dispatcher is dispatcher  # an exception would have had it made anew
    assert read_report(json.loads(load), {}) is None


ENDLESS = {
    "a line": HEAD + b"100000\r\n" + b"x" * 0x100000,
    "lines": HEAD + chunk(line("started")) * 3,
    "a head": b"HTTP/1.1 200 OK\r\n" + b"X-More: and more\r\n" * 4000,
}


@pytest.mark.parametrize("name", ENDLESS)
def test_an_answer_that_never_ends_is_cut_and_the_client_told(name: str) -> None:
    world = World(Server())
    client = world.client(job("pay", budget="0.5"))
    target = world.asked()
    target.sock.setblocking(False)
    rest = memoryview(ENDLESS[name])

    def speaks_on() -> bool:
        nonlocal rest
        try:
            rest = rest[target.sock.send(rest) :] if rest else memoryview(b"")
        except BlockingIOError:
            pass
        except OSError:
            rest = memoryview(b"")
        return complete_and_ended(client)

    world.until(speaks_on)
    assert client.got.split()[1] in (b"500", b"504")
    world.until(lambda: world.forwarder.connections == 0)


def complete_and_ended(client: Peer) -> bool:
    return b"\r\n\r\n" in client.look()


def test_an_upgrade_that_nobody_asked_for_is_a_broken_answer(caplog: pytest.LogCaptureFixture) -> None:
    world = World(Server())
    client = world.client(job("pay"))
    world.asked().say(b"HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nrubbish")
    assert world.answer(client).split()[1] in ("500", "504")
    assert "Traceback" not in caplog.text


# --- connections ----------------------------------------------------------------------------------


@pytest.mark.parametrize("name", ["look", "book", "pay"])
def test_a_connection_that_comes_up_late_never_ran_and_the_job_goes_elsewhere(name: str) -> None:
    """The first target's queue of connections is full, so that ours does not come up within the settings' time."""
    full = socket.socket()
    full.bind(("127.0.0.1", 0))
    full.listen(0)
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(full.getsockname())
    well = Server()
    limits = Limits(connect=timedelta(milliseconds=100))
    world = World(well, limits=limits)
    late = replace(world.target(0), name="s-late", address=full.getsockname())
    world.coordinator.listed(ListKind.COMPLETE, [late], 2)
    client = world.client(job(name))
    world.until(lambda: world.forwarder.opened == 1)
    world.coordinator.listed(ListKind.COMPLETE, [late, world.target(0)], 3)
    world.until(lambda: well.requests() == 1)
    well.peers[0].say(done("ok"))
    assert world.answer(client).endswith("ok")
    assert world.coordinator.ended[Outcome.CONNECT_FAILED] >= 1
    for filler in (*fillers, full):
        filler.close()


@pytest.mark.parametrize("name", ["book", "pay"])
def test_a_kept_connection_that_its_target_closes_in_the_instant_of_use_proves_that_nothing_ran(name: str) -> None:
    world = World(Server(), Server())
    world.step_clock(timedelta(microseconds=10))  # however long this process is held up
    for number in (1, 2):  # a kept connection to each
        client = world.client(job(call_id=f"a{number}"))
        both_asked(world, number)
        for server in world.servers:
            for peer in server.look():
                if f"a{number}".encode() in peer.got:
                    peer.say(done("ok", f"a{number}"))
        world.answer(client)
    world.skip(world.limits.settle.total_seconds())
    client = world.client(job(name, call_id="b"))
    world.until(lambda: any(b"X-Call-Id: b" in p.got for s in world.servers for p in s.look()))
    first = next(s for s in world.servers if any(b"X-Call-Id: b" in p.got for p in s.peers))
    assert first.requests() == 1  # its last byte is still here
    next(p for p in first.peers if b"X-Call-Id: b" in p.got).close()
    other = next(server for server in world.servers if server is not first)
    world.until(lambda: other.requests() == 2 or first.requests() == 2)
    for server in world.servers:
        for peer in server.look():
            if b"X-Call-Id: b" in peer.got and not peer.ended:
                peer.say(done("mine", "b"))
    assert world.answer(client).endswith("mine")


@pytest.mark.parametrize("may_copy", [True, False])
def test_never_two_copies_where_the_settings_forbid_them(may_copy: bool) -> None:
    """A target hangs in mid-answer: where copies are forbidden its attempt is ended before another begins."""
    world = World(Server(), Server(), allowed=replace(LIMITS, second_copies=may_copy), progress_ns=50 * MS)
    client = world.client(job())
    first = first_of(world)
    first.peers[0].say(HEAD + chunk(line("started")))
    both_asked(world, 2)
    if not may_copy:
        assert len(world.coordinator.requests()[0].open_attempts()) == 1
        assert first.peers[0].look()
        assert first.peers[0].ended
    for server in world.servers:
        for peer in server.look():
            if peer is not first.peers[0]:
                peer.say(done("ok"))
    assert world.answer(client).endswith("ok")


@pytest.mark.parametrize("window", [0.2, 5.0])
def test_the_repeat_window_runs_from_the_first_send(window: float) -> None:
    """The first attempt breaks half a second after it was sent: within a long window it is repeated, else not."""
    keyed = replace(KEYED, window_ns=round(window * 1e9), scope=Scope.ZONE)
    world = World(Server(), Server(), classes=(SAFE, keyed, UNSAFE))
    client = world.client(job("book"))
    first = first_of(world)
    world.skip(0.5)
    first.peers[0].close()
    if window > 0.5:
        both_asked(world, 2)
        peer = next(p for s in world.servers for p in s.look() if p is not first.peers[0] and b"BODY" in p.got)
        peer.say(done("ok"))
        assert world.answer(client).endswith("ok")
    else:
        assert world.answer(client).split()[1] in ("500", "504")
        world.settle()
        assert both_asked(world, 1) == 1


def test_a_jobs_connection_is_settled_before_it_takes_what_must_not_run_twice() -> None:
    world = World(Server())
    served_once(world, 1)
    connection = next(iter(world.forwarder._idle.values()))[0]
    assert world.loop.now - connection.idle_since < world.limits.settle
    served_once(world, 2, "pay")
    assert world.forwarder.opened == 2  # not on the one that had its answer just now
    world.skip(seconds(0.1).total_seconds())
    served_once(world, 3, "pay")
    assert world.forwarder.opened == 2
