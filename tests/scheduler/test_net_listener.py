"""Stories of clients: what they send, and that each gets one answer; and of the module failing."""

from __future__ import annotations

import errno
import socket
from collections.abc import Sequence
from dataclasses import replace
from datetime import timedelta
from typing import Any

import pytest

from canvasbeam.dispatch.actions import Action
from canvasbeam.dispatch.dispatcher import Dispatcher
from canvasbeam.dispatch.events import Event, RequestArrived
from canvasbeam.scheduler.limits import Limits, span_of
from tests.support.loopback import Server, World, done, job

FIXED = {
    "413 by its length": (b"POST /api HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", "413"),
    "413 by its chunks": (
        b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11000\r\n" + b"x" * 0x11000, "413",
    ),
    "431": (b"POST /api HTTP/1.1\r\nX-Long: " + b"x" * 20_000, "431"),
    "400 no HTTP": (b"what is this\r\n\r\n", "400"),
    "400 unknown class": (job("no such"), "400"),
    "400 no budget": (job(budget="soon"), "400"),
    "400 endless budget": (job(budget="inf"), "400"),
    "400 id twice": (job(extra="X-Call-Id: c2\r\n"), "400"),
    "400 slots": (job(extra="X-Call-Info: slots=many\r\n"), "400"),
    "400 two lengths": (job(extra="Transfer-Encoding: chunked\r\n"), "400"),
    "400 length twice": (job(extra="Content-Length: 4\r\n"), "400"),
    "400 negative length": (b"POST /api HTTP/1.1\r\nContent-Length: -4\r\n\r\n", "400"),
    "400 folded": (job(extra="X-Long: a\r\n b\r\n"), "400"),
    "400 folded after nothing": (job(extra="X-Long:\r\n b\r\n"), "400"),
    "400 control byte": (job(extra="X-Bad: a\x00b\r\n"), "400"),
    "400 id in a trailer": (
        b"POST /api HTTP/1.1\r\nX-Call-Class: look\r\nX-Budget: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\nX-Call-Id: c1\r\n\r\n", "400",
    ),
    "400 id no word": (job(call_id="c1 c2"), "400"),
    "400 budget with an underscore": (job(budget="1_0"), "400"),
    "400 budget of years": (job(budget="99999999"), "400"),
    "400 slots of a whole country": (job(extra="X-Call-Info: slots=1000000\r\n"), "400"),
    "505": (b"POST /api HTTP/2.0\r\n\r\n", "505"),
    "413 by its framing": (
        b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + b"x" * 600_000, "413",
    ),
    "404": (b"GET /elsewhere HTTP/1.1\r\n\r\n", "404"),
    "405": (b"GET /api HTTP/1.1\r\n\r\n", "405"),
    "200 ready": (b"GET /health/ready HTTP/1.1\r\n\r\n", "200"),
}  # fmt: skip


@pytest.mark.parametrize("name", FIXED)
def test_fixed_responses(name: str) -> None:
    world = World(Server())
    data, status = FIXED[name]
    assert world.answer(world.client(data)).split()[1] == status
    assert world.servers[0].requests() == 0


def test_an_id_already_open_is_refused_and_the_open_request_goes_on() -> None:
    """Guards the first request: its target would take the second for a copy, and answer neither."""
    world = World(Server())
    first = world.client(job())
    target = world.asked()
    assert world.answer(world.client(job())).split()[1] == "409"
    target.say(done("ok"))
    assert world.answer(first).endswith("ok")
    assert world.servers[0].requests() == 1
    world.settle()
    again = world.client(job())  # no longer open
    world.asked(times=2).say(done("two"))
    assert world.answer(again).endswith("two")


def test_a_request_that_a_target_cannot_use_is_no_fault_of_the_target() -> None:
    """Guards a healthy target: three such requests rested it, and each was tried at three targets."""
    world = World(Server())
    for number in range(1, 5):
        client = world.client(job(call_id=f"c{number}"))
        world.asked(times=number).say(b"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n")
        assert world.answer(client).split()[1] == "400"
    world.settle()
    assert world.servers[0].requests() == 4


SHORT = {name: timedelta(milliseconds=30) for name in ("client_silent", "client_request", "linger")}


@pytest.mark.parametrize(
    ("said", "status"),
    [(b"", ""), (job()[:30], "408"), (job()[:-2], "408"), (b"\r\n\r\n", ""), (b"no class\r\n\r\n", "400"),
     (b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nBO", "408")],
)  # fmt: skip
def test_silent_and_unfinished_clients_are_told_and_closed_long_before_the_idle(said: bytes, status: str) -> None:
    # Who has begun is judged by the request's time alone, who has not by the silence.
    other = {("client_silent" if status == "408" else "client_request"): timedelta(seconds=60)}
    world = World(Server(), limits=Limits(**{**SHORT, **other}))  # type: ignore[arg-type]
    kept = world.client(job())
    world.asked().say(done("ok"))
    assert world.answer(kept).endswith("ok")
    client = world.client(said)
    world.until(lambda: client.look() is not None and client.ended)
    assert client.got[9:12].decode() == status
    world.until(lambda: len(world.listener.connections) == 1)  # the lingering close ends too
    assert kept.look()
    assert not kept.ended


def test_a_huge_body_is_neither_stored_nor_reset_before_its_error_is_read() -> None:
    world = World(Server())
    client = world.client(b"POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")
    left, block = 60_000_000, b"x" * 1_000_000
    while left:  # all of it is sent before anything is read
        try:
            left -= client.sock.send(block[:left])
        except BlockingIOError:
            world.loop.one_pass()
    assert world.answer(client).split()[1] == "413"
    world.until(lambda: client.look() and client.ended)
    assert world.listener.bodies == 0


def test_requests_by_the_thousand_on_one_connection_leave_room_for_others() -> None:
    """Guards a pass and memory: all were parsed and answered at once."""
    world = World(Server())
    flood = world.client(job(call_id="c0") + b"GET /x HTTP/1.1\r\n\r\n" * 2000)
    target = world.asked()
    connection = next(iter(world.listener.connections.values()))
    assert len(connection._reader.complete_requests) <= world.limits.piece // 19 + 1
    assert len(connection._reader.unparsed) <= world.limits.client_read
    target.say(done("ok", "c0"))
    world.until(lambda: b"404" in flood.look())
    seen = flood.got.count(b" 404 ")
    world.loop.one_pass()
    assert flood.look().count(b" 404 ") - seen <= 2 * world.limits.requests_per_pass
    usual = world.client(job(call_id="c9"))
    world.asked(times=2).say(done("mine", "c9"))
    assert world.answer(usual).endswith("mine")
    assert flood.look().count(b" 404 ") < 2000


def test_bodies_of_all_clients_together_are_bounded() -> None:
    world = World(Server(), limits=Limits(bodies=10))
    clients = [world.client(job(call_id=f"c{number}")) for number in range(3)]
    world.until(lambda: any(b" 503 " in client.look() for client in clients))
    assert sum(bool(client.look()) for client in clients) == 1
    for client in clients:
        client.close()
    world.settle()
    assert world.listener.bodies == 0


def test_silent_clients_leave_first_and_one_whose_request_has_come_stays() -> None:
    """Guards usual clients: a kept connection went before hundreds that had never spoken."""
    base = Limits(client_connections=3, client_grace=timedelta(milliseconds=20))
    world = World(Server(), limits=base)
    kept = world.client(job())
    world.asked().say(done("one"))
    world.answer(kept)
    silent, late = world.client(), world.client()
    world.until(lambda: len(world.listener.connections) == 3)
    newcomer = world.client(job(call_id="c2"))
    world.asked(times=2).say(done("two", "c2"))
    assert world.answer(newcomer).endswith("two")
    world.until(lambda: not silent.look() and silent.ended)
    assert not late.look()
    assert not late.ended
    assert kept.look()
    assert not kept.ended


def test_ready_only_when_it_can_serve() -> None:
    world = World()
    assert world.answer(world.client(b"GET /health/ready HTTP/1.1\r\n\r\n")).split()[1] == "503"


def test_a_request_given_up_is_answered_at_once_with_advice_within_the_settings() -> None:
    world = World()
    client = world.client(job(budget="0.001"))
    answer = world.answer(client)
    assert answer.split()[1] == "503"
    advice = float(answer.partition("Retry-After: ")[2].split()[0])
    assert 0 < advice <= world.limits.retry_after.total_seconds()


def test_over_the_limit_of_open_requests_a_request_is_refused() -> None:
    world = World(Server(), limits=Limits(open_requests=1, retry_after=timedelta(seconds=1)))
    first = world.client(job())
    target = world.asked()
    answer = world.answer(world.client(job(call_id="c2")))
    assert answer.split()[1] == "503"
    assert "Retry-After: 1.000" in answer
    target.say(done("ok"))
    assert world.answer(first).endswith("ok")


def test_pipelined_requests_are_answered_in_order() -> None:
    world = World(Server())
    client = world.client(job() + job(call_id="c2"))
    target = world.asked()
    target.say(done("one"))
    world.asked(times=2).say(done("two", "c2"))
    answer = world.answer(client, times=2)
    assert answer.index("one") < answer.index("two")


def test_no_descriptor_left_is_no_spin_and_the_listener_recovers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a loop that runs hot: the listening socket stays readable while accept fails."""
    world = World(Server())
    calls = []

    def accept(_: Any) -> Any:
        calls.append(1)
        raise OSError(errno.EMFILE, "too many open files")

    with monkeypatch.context() as patch:
        patch.setattr(socket.socket, "accept", accept)
        client = world.client(job())
        world.until(lambda: calls)
        for _ in range(5):
            world.loop.one_pass()
        assert len(calls) == 1
    world.asked().say(done("ok"))
    assert world.answer(client).endswith("ok")


def test_idle_clients_make_room_for_new_ones() -> None:
    world = World(Server(), limits=Limits(client_connections=2))
    idle = [world.client() for _ in range(2)]
    world.until(lambda: len(world.listener.connections) == 2)
    client = world.client(job())
    world.asked().say(done("ok"))
    assert world.answer(client).endswith("ok")
    world.until(lambda: [connection.look() for connection in idle] and any(connection.ended for connection in idle))


def test_with_every_connection_busy_newcomers_wait_and_are_served() -> None:
    world = World(Server(), limits=Limits(client_connections=1))
    first, second = world.client(job()), world.client(job(call_id="c2"))
    target = world.asked()
    for _ in range(5):
        world.loop.one_pass()
    assert len(world.listener.connections) == 1
    assert world.servers[0].requests() == 1
    target.say(done("one"))
    assert world.answer(first).endswith("one")
    world.asked(times=2).say(done("two", "c2"))
    assert world.answer(second).endswith("two")


def test_a_module_that_raises_loses_no_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards the one answer: what was open is answered, and the next request is served."""
    world = World(Server())
    out = world.client(job("pay"))
    world.asked()

    def raises(_: Any, now: int, events: Sequence[Event]) -> list[Action]:
        raise RuntimeError("scripted")

    with monkeypatch.context() as patch:
        patch.setattr("canvasbeam.dispatch.dispatcher.Dispatcher.handle", raises)
        held = world.client(job(call_id="c2"))
        assert world.answer(held).split()[1] == "503"  # it never ran
        assert world.answer(out).split()[1] == "500"  # it may have
    world.settle()
    client = world.client(job(call_id="c3"))
    world.until(lambda: world.servers[0].requests() == 2)
    world.servers[0].peers[-1].say(done("ok", "c3"))
    assert world.answer(client).endswith("ok")
    assert [client.look().count(b"HTTP/1.1") for client in (out, held)] == [1, 1]


def test_an_exception_on_one_connection_ends_that_connection_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World(Server())
    well = world.client(job())
    target = world.asked()
    with monkeypatch.context() as patch:
        patch.setattr("canvasbeam.scheduler.client_connection.ClientConnection.on_data", lambda *_: 1 / 0)
        ill = world.client(job(call_id="c2"))
        world.until(lambda: not ill.look() and ill.ended)
    target.say(done("ok"))
    assert world.answer(well).endswith("ok")


def test_the_module_has_its_last_word_before_the_core_speaks_in_its_stead(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the module's own answers: under overload the core's guard came a moment before them."""
    world = World(Server())
    seen: list[Event] = []
    handle = Dispatcher.handle

    def watched(self: Dispatcher, now: int, events: Sequence[Event]) -> list[Action]:
        seen.extend(events)
        return handle(self, now, events)

    monkeypatch.setattr(Dispatcher, "handle", watched)
    client = world.client(job())
    target = world.asked()
    arrived = next(event for event in seen if isinstance(event, RequestArrived))
    request = next(iter(world.coordinator.requests()))
    assert request.deadline is not None
    assert request.deadline.when < request.due
    # The module answers a quantum before the time it was told at the latest; one more for the loop.
    latest = world.coordinator.decisions.from_dispatcher_time(arrived.deadline_ns) - span_of(
        world.coordinator.settings.quantum_ns
    )
    assert latest + timedelta(milliseconds=1) < request.deadline.when
    target.say(done("ok"))
    world.answer(client)


def test_a_client_that_reads_slowly_gets_its_long_answer_whole() -> None:
    """Guards partial writes, and that reading goes on after them."""
    world = World(Server())
    client = world.client(job() + job(call_id="c2"))
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    target = world.asked()
    target.say(done("x" * 60_000))
    world.asked(times=2).say(done("two", "c2"))
    answer = world.answer(client, times=2)
    assert answer.count("x") >= 60_000
    assert answer.endswith("two")


def test_a_request_cut_at_any_byte_is_served_once_and_one_left_cut_is_told() -> None:
    data = job(call_id="c0")
    world = World(Server(), limits=replace(Limits(client_connections=8, worker_connections=8),
                                           client_request=Limits().client_request / 50))  # fmt: skip
    for cut in range(1, len(data)):
        call_id = f"c{cut}"
        whole = job(call_id=call_id)
        client = world.client(whole[:cut])
        world.loop.one_pass()
        client.say(whole[cut:])
        world.asked(0, cut).say(done("r", call_id))
        assert world.answer(client).startswith("HTTP/1.1 200"), cut
        left = world.client(whole[:cut])
        world.until(lambda: left.look() and left.ended)  # noqa: B023
        assert left.got == b"" or left.got.split()[1] == b"408", cut
    assert world.servers[0].requests() == len(data) - 1


def test_a_slow_writer_stays_and_an_idle_one_of_the_crowd_leaves_for_a_newcomer() -> None:
    """Guards true jobs that take seconds to write among a crowd that asked once and stayed."""
    grace = timedelta(milliseconds=20)
    world = World(Server(), limits=Limits(client_connections=2, client_grace=grace))
    idle = world.client(job())
    world.asked().say(done("one"))
    world.answer(idle)
    whole = job(call_id="c2")
    writer = world.client(whole[:40])
    world.until(lambda: len(world.listener.connections) == 2)
    begun = world.loop.now
    world.until(lambda: world.loop.now > begun + grace)
    newcomer = world.client(job(call_id="c3"))
    world.until(lambda: idle.look() is not None and idle.ended)
    writer.say(whole[40:])
    for call_id in ("c2", "c3"):
        world.until(lambda: call_id.encode() in b"".join(received.got for received in world.servers[0].look()))  # noqa: B023
        peer = next(peer for peer in world.servers[0].peers if f"X-Call-Id: {call_id}".encode() in peer.got)
        peer.say(done(f"r-{call_id}", call_id))
    assert world.answer(writer).endswith("r-c2")
    assert world.answer(newcomer).endswith("r-c3")
