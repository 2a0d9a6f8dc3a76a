"""A change of the list counts as told 6 s after discovery had it and could be reached, whatever failed before."""

from __future__ import annotations

import errno
import json
import socket
from datetime import timedelta
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from canvasbeam.dispatch.events import WorkerState
from canvasbeam.dispatch.settings import Discovery, DispatchLimits, Rules
from canvasbeam.scheduler import worker_discovery
from canvasbeam.scheduler.limits import ZERO, Limits, seconds
from canvasbeam.scheduler.loop import Loop
from canvasbeam.scheduler.request_coordinator import RequestCoordinator
from canvasbeam.scheduler.worker_discovery import WorkerDiscovery
from tests.scheduler.test_net_loop import host, listing
from tests.support.helpers import SECOND, settings
from tests.support.loopback import Server, World


class Virtual(Loop):
    """A loop whose clock stands still but for the jumps to the next deadline."""

    def read_clock(self) -> timedelta:
        return self.now

    def jump(self) -> None:
        """To the next deadline, and have it done."""
        self._select_timeout_s()  # drops what was cancelled
        self.now = max(self.now, self._heap[0].when)
        self._run_due()


WAYS = st.sampled_from(["refused", "out of descriptors", "hangs", "503", "garbled", "closed", "cut"])
SAYS_NOTHING = b'{"seq":3,"whole":false,"hosts":[]}'


@profile(max_examples=200, deadline=None, derandomize=True, database=None)
@given(
    st.sampled_from(Discovery), st.integers(1, 1000), st.integers(0, 60), st.integers(0, 30),
    st.lists(st.tuples(WAYS, st.floats(0, 10)), min_size=1, max_size=12), st.integers(0, 12),
)  # fmt: skip
def test_no_call_comes_later_than_a_change_may_wait(  # noqa: PLR0917 - a drawn deployment has so many sides
    discovery: Discovery, dispatchers: int, ask_every: int, lines: int, ways: list[tuple[str, float]], works_at: int
) -> None:
    """From the start of one call to the start of the next; whatever came after the first is told by the next."""
    drawn = settings(
        dispatchers=dispatchers, discovery=discovery, limits=DispatchLimits(),
        rules=Rules(list_interval_ns=ask_every * SECOND),
    )  # fmt: skip
    limits = Limits.of(drawn, 1024, 192)
    loop, server = Virtual(limits.slow_pass), Server()
    coordinator = RequestCoordinator(loop, drawn, limits, 1, timedelta(days=20_000))
    known = {"seq": 1, "whole": True, "hosts": [host(f"s-{number}") for number in range(lines)]}
    way, real = "", worker_discovery.connect

    def connect(address: tuple[str, int]) -> socket.socket:
        if way == "refused":
            raise OSError(errno.ECONNREFUSED, "refused")
        if way == "out of descriptors":
            raise OSError(errno.EMFILE, "no descriptor")
        return real(address)

    starts: list[timedelta] = []
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(worker_discovery, "connect", connect)
        group = WorkerDiscovery(loop, coordinator, limits, server.address, ZERO, whose=f"{lines} n{dispatchers}")
        ask = group._ask

        def noted() -> None:
            starts.append(loop.now)
            ask()

        patch.setattr(group, "_ask", noted)
        way = ways[0][0]
        group.start(known)
        while not starts:
            loop.jump()
        for number, (fails, took) in enumerate(ways):
            fail(group, loop, fails, took, limits)
            way = ways[number + 1][0] if number + 1 < len(ways) else ""
            made = len(starts)
            while len(starts) == made:
                loop.jump()
            if number == works_at and group._connection is not None:
                group.answered(group._connection, 200, SAYS_NOTHING, True)  # a watch follows, and fails in its turn
                while len(starts) == made + 1:
                    loop.jump()
    loop.close()
    server.sock.close()
    gaps = [later - sooner for sooner, later in zip([ZERO, *starts], starts, strict=False)]
    assert max(gaps) + limits.list_answer <= seconds(6)


def fail(group: WorkerDiscovery, loop: Virtual, way: str, took: float, limits: Limits) -> None:
    """Have the call that is out fail in this way, after so many seconds where it can."""
    connection = group._connection
    if connection is None:
        return  # it failed at once
    if way == "hangs":
        while group._connection is connection:
            loop.jump()
        return
    patience = group._wait.when - loop.now if group._wait is not None else ZERO
    loop.now += min(seconds(took), patience)
    if way == "503":
        group.answered(connection, 503, b"", True)
    elif way == "garbled":
        group.answered(connection, 200, b"{]", True)
    elif way == "cut":
        connection.on_data(b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{")
        connection.on_eof()
    else:
        connection.on_broken(OSError(errno.ECONNRESET, "reset"))


def test_limits_that_would_tell_a_change_too_late_are_refused() -> None:
    with pytest.raises(ValueError, match="untold"):
        Limits(watch_hold=seconds(4.5))
    with pytest.raises(ValueError, match="untold"):
        Limits(list_wait=seconds(5))


def silent(peer: Any) -> None:
    pass


def mid_answer(peer: Any) -> None:
    peer.say(b'HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{"seq":2,')


def endless(peer: Any) -> None:
    peer.say(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\n \r\n" * 100)


def endless_head(peer: Any) -> None:
    peer.say(b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 100)


@pytest.mark.parametrize("falls", [silent, mid_answer, endless, endless_head])
@pytest.mark.parametrize("after", ["first use", "a rest"])
def test_a_watch_that_falls_silent_is_opened_anew_in_time(falls: Any, after: str) -> None:
    """Guards a drain told to nobody: the watch stood, and its connection had fallen silent."""
    discovery = Server()
    world = World()
    group = WorkerDiscovery(world.loop, world.coordinator, world.limits, discovery.address, ZERO)
    group.start({"seq": 1, "whole": True, "hosts": [host("s-0")]})
    world.until(lambda: any(b"from=1&" in received.got for received in discovery.look()))
    if after == "a rest":
        for seq in range(2, 6):
            world.skip(2.5)
            discovery.peers[0].say(listing(seq, False))
            world.until(lambda seq=seq: f"from={seq}&".encode() in discovery.peers[0].look())  # type: ignore[misc]
    began = world.loop.now
    falls(discovery.peers[0])  # from here on a change is missed
    calls = len(discovery.look())
    while len(discovery.look()) == calls:
        world.skip(0.05)
    world.until(lambda: b"from=" in discovery.peers[-1].look())
    discovery.peers[-1].say(listing(9, False, host("s-0", "Terminating")))
    world.until(lambda: world.coordinator.workers["s-0"].state is WorkerState.DRAINING)
    assert world.loop.now - began <= seconds(6)


def test_a_reset_just_before_a_drain_is_told_by_the_next_watch() -> None:
    discovery = Server()
    world = World()
    group = WorkerDiscovery(world.loop, world.coordinator, world.limits, discovery.address, ZERO)
    group.start({"seq": 1, "whole": True, "hosts": [host("s-0")]})
    world.until(lambda: any(b"from=1&" in received.got for received in discovery.look()))
    discovery.peers[0].close()
    world.until(lambda: len(discovery.look()) == 2 and b"from=1&" in discovery.peers[1].got)
    discovery.peers[1].say(listing(2, False, host("s-0", "Terminating")))
    world.until(lambda: world.coordinator.workers["s-0"].state is WorkerState.DRAINING)


def test_an_indented_list_is_read_and_answers_that_come_at_once_are_no_spin() -> None:
    discovery = Server()
    world = World()
    group = WorkerDiscovery(world.loop, world.coordinator, world.limits, discovery.address, ZERO)
    group.start({})
    world.until(lambda: discovery.look() and b"instances HTTP" in discovery.peers[0].got)
    body = b'{\n  "seq": 2,\n  "whole": true,\n  "hosts": [\n    {\n      "host": "s-7", "dial": "127.0.0.1:9",\n'
    body += b'      "site": "here", "class": "k", "block": 0, "health": "Ready", "share": 1.0, "born_ms": 0\n'
    body += b"    }\n  ]\n}\n"
    discovery.peers[0].say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    world.until(lambda: set(world.coordinator.workers) == {"s-7"})
    world.until(lambda: b"from=2&" in discovery.peers[0].look())
    began, seen = world.loop.now, 2
    while world.loop.now - began < seconds(0.2):  # each watch is answered at once, with the same entry
        if discovery.peers[0].look().count(b"GET ") == seen:
            discovery.peers[0].say(listing(seen + 1, False, host("s-7")))
            seen += 1
        world.loop.one_pass()
    assert seen - 2 <= seconds(0.2) / world.limits.watch_gap + 1


@pytest.mark.parametrize("moment", ["stands", "fails", "answers"])
def test_discovery_moves_while_a_watch(moment: str) -> None:
    """Guards SIGHUP against each state of the call that is out: the new discovery is asked at once, for all."""
    old, new = Server(), Server()
    world = World()
    group = WorkerDiscovery(world.loop, world.coordinator, world.limits, old.address, ZERO)
    group.start({"seq": 1, "whole": True, "hosts": [host("s-0")]})
    world.until(lambda: any(b"from=1&" in received.got for received in old.look()))
    if moment == "fails":
        old.sock.close()
        old.peers[0].close()
        world.until(lambda: group._connection is None)
    elif moment == "answers":
        old.peers[0].say(listing(2, False, host("s-0", "Gone")))  # in the kernel as the signal is handled
    group.move(new.address)
    world.until(lambda: new.look() and b"instances HTTP" in new.peers[0].got)
    assert set(world.coordinator.workers) == {"s-0"}
    new.peers[0].say(listing(1, True, host("s-0", "Terminating"), host("s-5")))
    world.until(lambda: b"from=1&" in new.peers[0].look())
    assert world.coordinator.workers["s-0"].state is WorkerState.DRAINING
    assert "s-5" in world.coordinator.workers


def test_changes_whose_processing_raised_are_asked_for_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against requests to a gone worker: an exception lost the change, and its version counted as known."""
    drawn = settings(limits=DispatchLimits())
    limits = Limits.of(drawn, 1024, 192)
    loop, server = Virtual(limits.slow_pass), Server()
    coordinator = RequestCoordinator(loop, drawn, limits, 1, timedelta(days=20_000))
    group = WorkerDiscovery(loop, coordinator, limits, server.address, ZERO)
    group.start({"seq": 1, "whole": True, "hosts": [host("s-1"), host("s-2")]})
    connection = group._connection
    assert connection is not None
    gone = json.dumps({"seq": 2, "whole": False, "hosts": [host("s-1", health="Gone")]}).encode()

    def fail_to_update(told: object, is_complete: bool) -> list[str]:
        raise RuntimeError("planted fault")

    with monkeypatch.context() as patch:
        patch.setattr(coordinator.worker_table, "update", fail_to_update)
        loop._guarded(lambda: group.answered(connection, 200, gone, True), connection)
    assert group._version == 1
    while group._connection is None:
        loop.jump()
    group.answered(group._connection, 200, gone, True)
    assert group._version == 2
    assert set(coordinator.workers) == {"s-2"}
    loop.close()
    server.sock.close()
