"""Slots, deadlines, discovery, and the whole program as it is started and ended."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from canvasbeam.dispatch.events import WorkerState
from canvasbeam.dispatch.settings import Discovery, DispatchLimits, Rules
from canvasbeam.scheduler.limits import Limits, nanoseconds, span_of
from canvasbeam.scheduler.loop import Loop, SlotTable
from canvasbeam.scheduler.worker_discovery import WorkerDiscovery
from tests.scheduler.test_adapter import OPTIONS
from tests.support.helpers import settings
from tests.support.loopback import Peer, Server, World, done, job

MS = timedelta(milliseconds=1)


def test_a_stale_handle_never_finds_a_reused_slot() -> None:
    table: SlotTable[str] = SlotTable()
    old = table.add("old")
    table.remove(old)
    new = table.add("new")
    assert (table.get(old), table.get(new), table.count) == (None, "new", 1)
    table.remove(old)
    assert table.get(new) == "new"


def test_deadlines_come_in_order_never_early_and_not_once_cancelled() -> None:
    loop = Loop(Limits().slow_pass)
    came: list[tuple[int, bool]] = []
    start = loop.read_clock()
    for place in (3, 1, 2):
        when = start + place * MS
        loop.at(when, lambda place=place, when=when: came.append((place, loop.now >= when)))  # type: ignore[misc]
    for _ in range(200):
        loop.cancel(loop.at(start + 2 * MS, lambda: came.append((0, False))))
    while len(came) < 3:
        loop.one_pass()
    assert came == [(1, True), (2, True), (3, True)]
    loop.close()


def test_spans_are_never_rounded_to_an_earlier_time() -> None:
    assert nanoseconds(span_of(1)) == 1000
    assert nanoseconds(span_of(5000)) == 5000


def listing(seq: int, whole: bool, *hosts: dict[str, Any]) -> bytes:
    body = json.dumps({"seq": seq, "whole": whole, "hosts": hosts}).encode()
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def host(name: str, health: str = "Ready", dial: str = "127.0.0.1:9", born: int = 0) -> dict[str, Any]:
    return {
        "host": name, "dial": dial, "site": "here", "class": "k", "block": 0, "health": health, "share": 1.0,
        "born_ms": born,
    }  # fmt: skip


def test_the_watch_goes_on_and_what_a_whole_list_leaves_out_is_gone() -> None:
    discovery = Server()
    world = World()
    group = WorkerDiscovery(world.loop, world.coordinator, world.limits, discovery.address, timedelta(0))
    group.start({"seq": 1, "whole": True, "hosts": [host("s-0"), host("s-1")]})
    assert set(world.coordinator.workers) == {"s-0", "s-1"}  # the warm copy
    # Only what changed since it: whole lists for all that start together are more than discovery can send.
    world.until(lambda: any(b"GET /registry/instances?from=1&" in received.got for received in discovery.look()))
    peer = discovery.peers[0]
    peer.say(listing(4, True, host("s-1"), host("s-2", born=1_700_000_000_000)))
    world.until(lambda: b"from=4&hold_ms=" in peer.look())
    assert set(world.coordinator.workers) == {"s-1", "s-2"}
    started = world.coordinator.workers["s-2"].started
    peer.say(listing(5, False, host("s-1", "Terminating", "127.0.0.1:10"), host("s-9", "Gone")))
    world.until(lambda: b"from=5&hold_ms=" in peer.look())
    assert world.coordinator.workers["s-1"].state is WorkerState.DRAINING
    assert world.coordinator.workers["s-1"].address == ("127.0.0.1", 10)
    # The same start maps to the same time in every list, or a target would seem to start anew.
    peer.say(listing(6, False, host("s-2", born=1_700_000_000_000)))
    world.until(lambda: b"from=6&hold_ms=" in peer.look())
    assert world.coordinator.workers["s-2"].started == started
    assert len(discovery.look()) == 1


def test_a_watch_that_outlives_its_server_ends_and_the_next_one_is_asked_for_the_whole_list() -> None:
    """The old process of discovery is gone without a word, and a new one on its address counts anew."""
    old = Server()
    world = World()
    group = WorkerDiscovery(world.loop, world.coordinator, world.limits, old.address, timedelta(0))
    group.start({"seq": 7, "whole": True, "hosts": [host("s-0"), host("s-1")]})
    world.until(lambda: any(b"from=7&" in received.got for received in old.look()))
    old.sock.close()  # the watch's connection stands, and nobody is behind it
    new = Server(old.address)
    world.skip((world.limits.watch_hold + world.limits.watch_slack).total_seconds() + 0.1)
    world.skip(1)  # the pause after a failed call
    world.until(lambda: any(b"from=7&" in received.got for received in new.look()))
    assert set(world.coordinator.workers) == {"s-0", "s-1"}
    new.peers[0].say(listing(2, False))
    world.until(lambda: new.peers[0].look().count(b"GET ") == 2)
    assert new.peers[0].got.endswith(b"\r\n\r\n")
    assert new.peers[0].got.count(b"from=") == 1
    new.peers[0].say(listing(2, True, host("s-1")))
    world.until(lambda: set(world.coordinator.workers) == {"s-1"})


def test_a_stuck_or_broken_watch_is_asked_again_and_the_list_stays() -> None:
    discovery = Server()
    limits = Limits(list_wait=5 * MS, watch_hold=5 * MS, watch_slack=5 * MS, watch_retry=MS)
    world = World(limits=limits)
    group = WorkerDiscovery(world.loop, world.coordinator, limits, discovery.address, timedelta(0))
    group.start({"seq": 1, "whole": True, "hosts": [host("s-0")]})
    world.until(lambda: len(discovery.look()) >= 2)  # silent: asked again on a new connection
    discovery.peers[-1].say(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]}")
    before = len(discovery.peers)
    world.until(lambda: len(discovery.look()) > before)
    assert set(world.coordinator.workers) == {"s-0"}


def test_many_schedulers_leave_a_failing_discovery_time_and_do_not_ask_together() -> None:
    """Guards discovery: forty that asked ten times a second each kept all their calls failing."""
    discovery, world = Server(), World()
    allowed, asked = DispatchLimits(), Discovery.ASKED
    few, many = (
        Limits.of(settings(limits=allowed, dispatchers=count, discovery=asked), 1024, 192) for count in (1, 40)
    )
    pauses: list[list[float]] = []
    for limits, whose in ((many, "1 n0"), (many, "1 n1"), (few, "1 n0")):
        group = WorkerDiscovery(world.loop, world.coordinator, limits, discovery.address, timedelta(0), whose=whose)
        group.start({})
        pauses.append([])
        for _ in range(12):
            connection = group._connection
            assert connection is not None
            group.answered(connection, 503, b"", True)
            wait = group._wait
            assert wait is not None
            pauses[-1].append((wait.when - world.loop.now).total_seconds())
            world.loop.cancel(wait)
            group._ask()
        group.answered(group._connection, 200, b'{"seq":3,"whole":false,"hosts":[]}', True)  # type: ignore[arg-type]
        group.failed(group._connection, "")  # type: ignore[arg-type]
        assert group._wait is not None
        assert group._wait.when - world.loop.now <= limits.watch_retry  # it had recovered
        group.move(discovery.address)
        world.loop.cancel(group._wait)
    assert all(0.05 <= pause[0] <= 0.1 for pause in pauses)
    assert all(2 <= pause <= 4 for pause in pauses[0][-4:] + pauses[1][-4:])
    assert all(pause <= 0.5 for pause in pauses[2])
    assert pauses[0] != pauses[1]


def test_where_lists_are_asked_for_first_calls_are_spread_and_failed_ones_come_much_later() -> None:
    """Guards discovery and each call to it: of forty that started together sixteen ever got a list."""
    discovery, asked = Server(), Discovery.ASKED
    limits = Limits.of(settings(limits=DispatchLimits(), dispatchers=40), 1024, 192)
    rules = Rules(list_interval_ns=5_000_000_000)
    firsts = []
    for number in range(40):
        world = World(limits=limits, discovery=asked, dispatchers=40, rules=rules)
        group = WorkerDiscovery(
            world.loop, world.coordinator, limits, discovery.address, timedelta(0), whose=f"1 n{number}"
        )
        group.start({"seq": 0, "whole": True, "hosts": [host(f"s-{number}") for number in range(20)]})
        assert group._connection is None
        assert group._wait is not None
        firsts.append((group._wait.when - world.loop.now).total_seconds())
        group._ask()
        group.answered(group._connection, 503, b"", True)  # type: ignore[arg-type]
        assert group._wait is not None
        # As long after it as still tells a change in time: the operators' letter goes before the older sparing.
        assert limits.list_gap / 2 - 10 * MS <= group._wait.when - world.loop.now <= limits.list_gap
        world.loop.close()
    # Over 8 s, but sooner than the rules' time, after which a scheduler counts as told.
    assert max(firsts) <= 4.5
    assert all(any(begin <= first < begin + 1.5 for first in firsts) for begin in (0, 1.5, 3))
    few = World(limits=limits, discovery=asked, dispatchers=4, rules=rules)
    group = WorkerDiscovery(few.loop, few.coordinator, limits, discovery.address, timedelta(0))
    group.start({"seq": 0, "whole": True, "hosts": [host("s-0")]})
    assert group._connection is not None


def test_a_discovery_that_counts_anew_is_asked_for_the_whole_list() -> None:
    """Guards the list: changes of another count would be applied to a list that they do not belong to."""
    discovery, world = Server(), World()
    group = WorkerDiscovery(world.loop, world.coordinator, world.limits, discovery.address, timedelta(0))
    group.start({"seq": 41, "whole": True, "hosts": [host("s-0")]})
    world.until(lambda: discovery.look() and b"from=41&" in discovery.peers[0].got)
    discovery.peers[0].say(listing(2, False, host("s-0", "Gone")))
    world.until(lambda: b"GET /registry/instances HTTP" in discovery.peers[0].look())
    assert set(world.coordinator.workers) == {"s-0"}
    discovery.peers[0].say(listing(2, True, host("s-1")))
    world.until(lambda: b"from=2&" in discovery.peers[0].look())
    assert set(world.coordinator.workers) == {"s-1"}


def test_discovery_that_moves_is_asked_for_the_whole_list_and_the_old_one_disturbs_no_more() -> None:
    """Guards the new watch: the old connection failed late and its failure was taken for the new one's."""
    old, new = Server(), Server()
    world = World()
    group = WorkerDiscovery(world.loop, world.coordinator, world.limits, old.address, timedelta(0))
    group.start({})
    world.until(lambda: old.look() and b"instances HTTP" in old.peers[0].got)
    old.peers[0].say(listing(7, True, host("s-0")))
    world.until(lambda: b"from=7&" in old.peers[0].look())
    left = group._connection
    assert left is not None
    group.move(new.address)
    assert set(world.coordinator.workers) == {"s-0"}
    world.until(lambda: new.look() and b"instances HTTP" in new.peers[0].got)  # whole, not from 7
    left.on_eof()
    group.answered(left, 200, b'{"seq":8,"whole":true,"hosts":[]}', True)
    world.until(lambda: old.peers[0].look() and old.peers[0].ended)
    new.peers[0].say(listing(2, True, host("s-1")))
    world.until(lambda: b"from=2&" in new.peers[0].look())
    assert set(world.coordinator.workers) == {"s-1"}
    assert (len(old.look()), len(new.look())) == (1, 1)


def test_a_target_that_cannot_be_read_hides_no_other() -> None:
    """Guards the list: one entry without a usable address had the whole of it thrown away, for ever."""
    discovery = Server()
    world = World()
    WorkerDiscovery(world.loop, world.coordinator, world.limits, discovery.address, timedelta(0)).start({})
    world.until(lambda: discovery.look() and b"instances HTTP" in discovery.peers[0].got)
    bad = [host("s-1", dial="no.name:9"), host("s-2", dial="127.0.0.1:x"), {**host("s-3"), "born_ms": "?"}]
    discovery.peers[0].say(listing(2, True, *bad, host("s-0")))
    world.until(lambda: b"from=2&" in discovery.peers[0].look())
    assert set(world.coordinator.workers) == {"s-0"}


def environment(tmp_path: Path, discovery: Server, **changes: Any) -> dict[str, str]:
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
    fields = {
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": "{}:{}".format(*discovery.address),
        "seed": "8c1f", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": OPTIONS,
        **changes,
    }  # fmt: skip
    path = tmp_path / "config.json"
    path.write_text(json.dumps(fields))
    kept = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    return {**kept, "LB_CONFIG": str(path), "LISTEN": fields["listen"]}


def test_the_program_serves_and_after_sigterm_answers_what_it_took(tmp_path: Path) -> None:
    discovery, target = Server(), Server()
    known = {"seq": 1, "whole": True, "hosts": [host("s-0", dial="{}:{}".format(*target.address))]}
    env = environment(tmp_path, discovery, known=known)
    address, port = env["LISTEN"].split(":")
    command = [sys.executable, "-m", "canvasbeam"]
    for server in (discovery, target):
        server.sock.setblocking(True)
    with subprocess.Popen(command, env=env, stderr=subprocess.PIPE, text=True) as process:
        try:
            assert process.stderr is not None
            while "listens on" not in process.stderr.readline():
                assert process.poll() is None
            client = socket.create_connection((address, int(port)))
            client.sendall(job())
            forward, _ = target.sock.accept()
            got = b""
            while not got.endswith(b"BODY"):
                got += forward.recv(65536)
            process.send_signal(signal.SIGTERM)
            while "draining" not in process.stderr.readline():
                assert process.poll() is None
            # New connections still come in this window.
            late = socket.create_connection((address, int(port)))
            late.sendall(b"GET /health/ready HTTP/1.1\r\n\r\n")
            assert read_all(late).startswith(b"HTTP/1.1 503 ")
            forward.sendall(done("kept"))
            answer = b""
            while not answer.endswith(b"kept"):
                answer += client.recv(65536)
            client.close()  # it could have stayed until the last call
            assert b"Connection: close" not in answer
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert process.wait(timeout=60) == 0
        finally:
            process.kill()


def test_sighup_follows_the_file_keeps_what_is_open_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    """Guards the whole of it in the program: LB_DISCOVERY hid the file, and SIGHUP ended the process."""
    old, new, target = Server(), Server(), Server()
    known = {"seq": 1, "whole": True, "hosts": [host("s-0", dial="{}:{}".format(*target.address))]}
    env = environment(tmp_path, old, known=known)
    env["LB_DISCOVERY"] = "{}:{}".format(*old.address)
    path = tmp_path / "config.json"
    fields = json.loads(path.read_text())
    for server in (old, new, target):
        server.sock.setblocking(True)
    command = [sys.executable, "-m", "canvasbeam"]
    with subprocess.Popen(command, env=env, stderr=subprocess.PIPE, text=True) as process:

        def told(text: str) -> None:
            assert process.stderr is not None
            while text not in (line := process.stderr.readline()):
                assert line, "the program ended"

        def asked(server: Server) -> bytes:
            sock, _ = server.sock.accept()
            server.peers.append(Peer(sock))  # kept open: silence is no failure
            sock.setblocking(True)
            return sock.recv(65536)

        try:
            told("listens on")
            asked(old)
            address, port = env["LISTEN"].split(":")
            client = socket.create_connection((address, int(port)))
            client.sendall(job())
            forward, _ = target.sock.accept()
            for bad in ({"discovery": "nowhere"}, {"seed": "no hex"}, {"settings": 3}):
                path.write_text(json.dumps({**fields, **bad}))
                process.send_signal(signal.SIGHUP)
                told("not taken up")
            path.write_text(json.dumps({**fields, "discovery": "{}:{}".format(*new.address)}))
            process.send_signal(signal.SIGHUP)
            told("discovery moves")
            assert asked(new).startswith(b"GET /registry/instances HTTP")
            process.send_signal(signal.SIGTERM)
            told("draining")
            path.write_text(json.dumps(fields))
            process.send_signal(signal.SIGHUP)
            told("discovery moves")  # also during the drain, and back to where it was
            assert asked(old).startswith(b"GET /registry/instances HTTP")
            forward.sendall(done("kept"))
            assert read_all(client).endswith(b"kept")
            assert process.wait(timeout=60) == 0
        finally:
            process.kill()


def read_all(sock: socket.socket) -> bytes:
    got = b""
    while data := sock.recv(65536):
        got += data
    sock.close()
    return got


@pytest.mark.parametrize(
    "changes",
    [
        {"listen": "nowhere"}, {"listen": "no.name:1"}, {"settings": {}}, {"seed": "not hex"},
        {"limits": {"sockets": 3}}, {"known": {"hosts": 1}}, {"settings": {**OPTIONS, "myZone": "nowhere"}},
        {"settings": {**OPTIONS, "services": 3}},
    ],
)  # fmt: skip
def test_a_bad_configuration_is_one_line_and_no_start(tmp_path: Path, changes: dict[str, Any]) -> None:
    env = environment(tmp_path, Server(), **{"listen": "127.0.0.1:1", **changes})
    command = [sys.executable, "-m", "canvasbeam"]
    done_ = subprocess.run(command, env=env, capture_output=True, text=True, timeout=60, check=False)
    assert done_.returncode != 0
    assert len(done_.stderr.splitlines()) == 1, done_.stderr
    assert done_.stderr.startswith("canvasbeam: ")
