"""The planned shutdown: its phases under every order of events, and stories of clients, targets and signals in it."""

from __future__ import annotations

import signal
import socket
from dataclasses import replace
from datetime import timedelta
from pathlib import Path

import pytest
from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from canvasbeam.dispatch.events import WorkerState
from canvasbeam.dispatch.settings import DispatchLimits
from canvasbeam.runtime import planned_shutdown as shutdown
from canvasbeam.runtime.planned_shutdown import Phase, PlannedShutdown, ShutdownTimes
from canvasbeam.scheduler.limits import Limits
from canvasbeam.scheduler.worker_discovery import WorkerDiscovery
from tests.scheduler.test_net_loop import host, listing
from tests.scheduler.test_upgrade import Fleet, healthy
from tests.scheduler.test_upgrade import job as fleet_job
from tests.support.helpers import SAFE, SECOND, settings
from tests.support.loopback import Peer, Server, World, done, job
from tests.support.machines import assert_caught

CLASSES = ("short", "long", "new")
TERMS = ShutdownTimes(window=60, last_answer=340, leave=360, assumed_service_time=100)


class Machine(RuleBasedStateMachine):
    """Spans, signals, requests and time in any order."""

    kind: type[PlannedShutdown] = PlannedShutdown

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.signal: int | None = None
        self.was = Phase.SERVING
        self.spans: dict[str, list[int]] = {name: [] for name in CLASSES}

    @initialize(before=st.integers(0, 50))
    def start(self, before: int) -> None:
        self.shutdown = self.kind(TERMS, CLASSES)
        self.now = before

    @rule(span=st.integers(0, 120))
    def time_passes(self, span: int) -> None:
        self.now += span

    @rule(name=st.sampled_from(CLASSES[:2]), span=st.integers(0, 300))
    def served(self, name: str, span: int) -> None:
        self.shutdown.record_service_time(name, span)
        if self.signal is None:
            self.spans[name].append(span)

    @rule()
    def signalled(self) -> None:
        assert self.shutdown.begin(self.now) == (self.signal is None)
        if self.signal is None:
            self.signal = self.now
            self.told = self.shutdown.phase_times()

    @rule(name=st.sampled_from(CLASSES), budget=st.integers(1, 1000))
    def request(self, name: str, budget: int) -> None:
        due = self.shutdown.deadline(self.now, name, self.now + budget)
        if self.signal is None:
            assert due == self.now + budget
            return
        last = self.signal + TERMS.last_answer
        seen = sorted(self.spans[name][-TERMS.max_samples :])
        most = seen[min(int(len(seen) * TERMS.quantile), len(seen) - 1)] if seen else TERMS.assumed_service_time
        if self.now >= last or self.now + most > last or self.shutdown.phase(self.now) >= Phase.CLOSING:
            assert due is None
        else:
            assert due == min(self.now + budget, last)

    @invariant()
    def phases_follow_one_another(self) -> None:
        if not hasattr(self, "shutdown"):
            return
        phase = self.shutdown.phase(self.now)
        assert phase >= self.was
        self.was = phase
        if self.signal is None:
            assert phase is Phase.SERVING
            assert self.shutdown.phase_times() == ()
            return
        gone = self.now - self.signal
        assert (phase is Phase.ENDED) == (gone >= TERMS.last_answer)
        assert (phase is Phase.ANNOUNCED) == (gone < TERMS.window)
        assert self.shutdown.phase_times() == self.told  # what was told the loop stays so
        window_ends, last_call, last_answer, leave = self.told
        assert window_ends <= last_call <= last_answer < leave == self.signal + TERMS.leave
        assert (phase >= Phase.CLOSING) == (self.now >= last_call)


class Begins(PlannedShutdown):
    """Broken: a second signal begins the end anew."""

    def begin(self, now: int) -> bool:
        self._began_at = None
        return super().begin(now)


class Promises(PlannedShutdown):
    """Broken: a request may be due after the last answer."""

    def deadline(self, now: int, job_class: str, requested: int) -> int | None:
        return requested if super().deadline(now, job_class, requested) is not None else None


class Hopes(PlannedShutdown):
    """Broken: every request is taken until the last call, however long its class takes."""

    def deadline(self, now: int, job_class: str, requested: int) -> int | None:
        if self._began_at is None or self.phase(now) >= Phase.CLOSING:
            return super().deadline(now, job_class, requested)
        return min(requested, self._began_at + self.times.last_answer)


class Stays(PlannedShutdown):
    """Broken: the last call is when the last answer is."""

    def begin(self, now: int) -> bool:
        began = super().begin(now)
        self._closing_delay = self.times.last_answer + 1
        return began


class Learns(PlannedShutdown):
    """Broken: what is served during the end moves its phases."""

    def phase(self, now: int) -> Phase:
        if self._began_at is not None:
            least = min(self._service_time(sample) for sample in self._samples.values())
            self._closing_delay = max(self.times.window, self.times.last_answer - least)
        return super().phase(now)


TestPlannedShutdown = Machine.TestCase
TestPlannedShutdown.settings = profile(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True, database=None
)


@pytest.mark.parametrize("broken", [Begins, Promises, Hopes, Stays, Learns])
def test_each_property_catches_a_broken_module(broken: type[PlannedShutdown]) -> None:
    class Broken(Machine):
        kind = broken

    assert_caught(Broken, max_examples=300, steps=40)


@pytest.mark.parametrize("terms", [(60, 60, 360, 100), (60, 340, 340, 100), (-1, 340, 360, 100), (60, 340, 360, -1)])
def test_terms_that_cannot_be_are_refused(terms: tuple[int, int, int, int]) -> None:
    with pytest.raises(ValueError, match="a shutdown's"):
        shutdown.ShutdownTimes(*terms)


@pytest.mark.parametrize(("longest", "last"), [(0.5, 0.9), (3, 3.4), (6, 3.4), (20, 3.4)])
def test_the_last_answer_comes_before_the_platform_kills(longest: float, last: float) -> None:
    only = replace(SAFE, deadline_ns=round(longest * SECOND))
    limits = Limits.of(settings(classes=(only,), limits=DispatchLimits()), 1024, 192)
    kill = timedelta(seconds=min(longest, 3) + 0.7)
    assert limits.drain_window < limits.last_answer == timedelta(seconds=last)
    assert limits.last_answer < limits.leave < kill


# --- on sockets; the clock jumps in place of waits ----------------------------------------------------


def draining_world(*servers: Server, **learned: float) -> World:
    """A world in which these classes have always taken so many seconds."""
    world = World(*servers)
    for name, span in learned.items():
        for _ in range(64):
            world.coordinator._shutdown.record_service_time(name, int(span * 1e9))
    return world


def served(world: World, client: Peer, call_id: str, times: int = 1) -> str:
    """Have the newest request served; the answer to it, which is the client's so many-th."""
    before = sum(server.requests() for server in world.servers)
    client.say(job(call_id=call_id))
    world.until(lambda: sum(server.requests() for server in world.servers) > before)
    for server in world.servers:
        for peer in server.peers:
            if call_id.encode() in peer.look():
                peer.say(done(f"r-{call_id}", call_id))
    answer = world.answer(client, times)
    assert answer.endswith(f"r-{call_id}")
    return answer


def test_kept_connections_are_served_until_the_last_call_and_new_ones_while_clients_still_come() -> None:
    world = draining_world(Server(), look=1, book=1, pay=1)
    kept = world.client()
    served(world, kept, "c1")
    assert world.listener.drain()
    assert not world.listener.is_ready
    late = world.client()  # a connection that still comes
    assert "Connection: close" not in served(world, late, "c2")
    world.skip(0.7)
    world.until(lambda: world.listener.closed)
    assert "Connection: close" not in served(world, kept, "c3", 2)
    world.skip(1.8)  # past the last call, at 2.4 s
    world.until(lambda: (kept.look(), late.look(), kept.ended and late.ended)[2])
    world.until(lambda: world.listener.is_drained)
    assert not world.listener.must_leave


def test_after_the_last_call_a_request_is_refused_at_once_and_never_sent_on() -> None:
    world = draining_world(Server(), Server(), look=1, book=1, pay=1)
    idle = world.client()
    served(world, idle, "c1")
    busy = world.client(job("pay", call_id="c2"))
    world.until(lambda: sum(server.requests() for server in world.servers) == 2)
    assert world.listener.drain()
    assert not world.listener.drain()  # a second signal neither begins the end anew nor hurries it
    world.skip(0.7)
    world.until(lambda: world.listener.closed)
    idle.say(job(call_id="c3"))  # it has come, and nobody has read it: closing as idle now would lose it
    world.skip(1.8)
    answer = world.answer(idle, 2).partition("r-c1")[2]
    assert answer.startswith("HTTP/1.1 503 ")
    assert "Retry-After: 0.050" in answer
    assert "Connection: close" in answer
    # The one that is out goes on, and its connection closes with its answer.
    for server in world.servers:
        for peer in server.peers:
            if b"c2" in peer.look():
                peer.say(done("kept", "c2"))
    assert "Connection: close" in world.answer(busy)
    assert sum(server.requests() for server in world.servers) == 2


def test_a_class_that_takes_longer_is_refused_while_a_shorter_one_is_still_taken() -> None:
    world = draining_world(Server(), look=0.3, book=0.3, pay=2.5)
    client = world.client()
    served(world, client, "c1")
    world.listener.drain()
    world.skip(1.5)
    assert "Connection: close" not in served(world, client, "c2", 2)
    client.say(job("pay", call_id="c3"))
    refusal = world.answer(client, 3).partition("r-c2")[2]
    assert refusal.startswith("HTTP/1.1 503 ")
    assert world.servers[0].requests() == 2


@pytest.mark.parametrize("early", [0.0, 0.01, 2.0], ids=["at SIGTERM", "10 ms before the last call", "long before"])
def test_a_job_that_must_not_run_twice_and_is_out_at_the_last_answer_fails_once(early: float) -> None:
    world = draining_world(Server(), Server(), look=1, book=1, pay=1)
    client = world.client()
    served(world, client, "c1")
    world.step_clock(timedelta(microseconds=50))
    world.listener.drain()
    if early:
        last_call = world.coordinator._shutdown.phase_times()[1] / 1e9
        world.skip(last_call - early - world.loop.now.total_seconds())
    client.say(job("pay", call_id="c2", budget="6"))
    world.until(lambda: sum(server.requests() for server in world.servers) == 2)
    world.skip(3.5)
    answer = world.answer(client, 2).partition("r-c1")[2]
    assert answer.split()[1] == "504"
    assert "Connection: close" in answer
    world.settle()
    assert sum(server.requests() for server in world.servers) == 2


def test_a_job_that_never_ran_is_refused_at_the_last_answer() -> None:
    world = draining_world()  # no target at all: it is held
    client = world.client(job("pay", call_id="c1", budget="6"))
    world.until(lambda: world.coordinator.open_requests == 1)
    world.listener.drain()
    world.skip(3.5)
    assert world.answer(client).split()[1] == "503"


def test_a_client_that_does_not_go_does_not_hold_the_end_up() -> None:
    world = draining_world(Server())
    client = world.client(job(call_id="c1"))
    world.asked()
    world.listener.drain()
    world.skip(3.5)
    assert "504" in world.answer(client)
    world.skip(0.2)
    world.until(lambda: world.listener.must_leave)


def test_a_job_that_a_client_sends_again_after_its_refusal_is_not_taken_by_the_same_process() -> None:
    world = draining_world(Server(), look=1, book=1, pay=1)
    client = world.client()
    served(world, client, "c1")
    world.listener.drain()
    world.skip(0.7)
    world.until(lambda: world.listener.closed)
    client.say(job(call_id="c2") + job(call_id="c3"))
    world.skip(1.8)
    world.until(lambda: (client.look(), client.ended)[1])
    assert client.got.count(b"HTTP/1.1 503") == 2
    assert world.servers[0].requests() == 1


@pytest.mark.parametrize("answers", [False, True], ids=["stale", "asked"])
def test_at_a_signal_while_discovery_is_stale_or_asked_jobs_go_on_and_its_news_still_count(answers: bool) -> None:
    """Guards drains, which bind a process that ends as well; and a silent discovery holds no end up."""
    world, discovery = draining_world(Server(), Server(), look=1, book=1, pay=1), Server()
    names = [f"s-{place}" for place in range(2)]
    dials = [f"127.0.0.1:{server.address[1]}" for server in world.servers]
    hosts = [host(name, dial=dial) for name, dial in zip(names, dials, strict=True)]
    group = WorkerDiscovery(world.loop, world.coordinator, world.limits, discovery.address, timedelta(0))
    group.start({"seq": 1, "whole": True, "hosts": hosts})
    world.until(lambda: any(b"from=1&" in received.got for received in discovery.look()))  # the call is open
    client = world.client()
    served(world, client, "c1")
    world.listener.drain()
    if answers:
        discovery.peers[0].say(listing(2, False, host(names[0], "Terminating", dials[0])))
        world.until(lambda: world.coordinator.workers["s-0"].state is WorkerState.DRAINING)
    before = world.servers[0].requests()
    for number in range(2, 6):
        served(world, client, f"c{number}", number)
    assert (world.servers[0].requests() == before) is answers
    world.skip(3.8)
    world.until(lambda: world.listener.must_leave)


@pytest.mark.parametrize("when", ["before the end", "at the last call"])
def test_a_request_that_comes_as_its_connection_closes_for_idleness_is_answered(when: str) -> None:
    world = draining_world(Server(), look=1, book=1, pay=1)
    client = world.client()
    served(world, client, "c1")
    if when == "before the end":
        client.say(job(call_id="c2"))
        world.skip(world.limits.client_idle.total_seconds() + 1)  # in one pass: it is over, and the job has come
        world.asked(times=2).say(done("r-c2", "c2"))
        assert world.answer(client, 2).endswith("r-c2")
    else:
        world.listener.drain()
        world.skip(0.7)
        client.say(job(call_id="c2"))
        world.skip(1.9)
        assert world.answer(client, 2).partition("r-c1")[2].startswith("HTTP/1.1 503 ")


def test_two_processes_end_together_and_each_serves_its_kept_connections_meanwhile(tmp_path: Path) -> None:
    """Both are inside their ends at once; a second SIGTERM changes nothing; every job has one answer."""
    fleets, running, kept = [], [], []
    try:
        for name in ("a", "b"):
            (tmp_path / name).mkdir()
            fleets.append(fleet := Fleet(tmp_path / name))
            process, mgmt = fleet.start(1)
            running.append(process)
            fleet.until(lambda fleet=fleet, mgmt=mgmt: healthy(fleet, mgmt))  # type: ignore[misc]
            kept.append(Peer(socket.create_connection(fleet.listen)))
        number = 0
        for process in running:
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGTERM)
            for fleet, client in zip(fleets, kept, strict=True):
                number += 1
                client.say(fleet_job(number))
                end = f"r-j{number}".encode()
                fleet.until(lambda client=client, end=end: client.look().endswith(end))  # type: ignore[misc]
        for fleet, client, process in zip(fleets, kept, running, strict=True):
            assert client.got.count(b"HTTP/1.1 200") == 2
            assert not client.ended
            client.close()
            assert process.wait(timeout=60) == 0
            assert len(fleet.served) == 2
    finally:
        for fleet in fleets:
            fleet.stop()
