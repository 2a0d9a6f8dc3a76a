"""Full tables and restarts: who finds a descriptor, who is ready when, and what a hand-over survives."""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from canvasbeam.dispatch.settings import Discovery, DispatchLimits
from canvasbeam.scheduler.limits import ZERO, Limits, seconds
from canvasbeam.scheduler.worker_discovery import WorkerDiscovery
from tests.scheduler.test_net_loop import host, listing
from tests.scheduler.test_upgrade import Fleet, call, healthy
from tests.scheduler.test_upgrade import job as fleet_job
from tests.support.helpers import settings
from tests.support.loopback import Peer, Server, World, done, job

READY = b"GET /health/ready HTTP/1.1\r\n\r\n"
SOCKETS = 96


def ready(world: World) -> bool:
    return world.answer(world.client(READY)).split()[1] == "200"


# --- descriptors ----------------------------------------------------------------------------------


def small_fleet(tmp_path: Path) -> Fleet:
    fleet = Fleet(tmp_path)
    fields = json.loads(fleet.config.read_text())
    fields["limits"] = {"cores": 1.0, "memory_mb": 88, "sockets": SOCKETS}
    fleet.config.write_text(json.dumps(fields))
    return fleet


@pytest.mark.parametrize("crowd", ["silent", "asked once", "half a request"])
def test_idle_clients_that_fill_the_descriptors_keep_nobody_from_one(crowd: str, tmp_path: Path) -> None:
    """Discovery is down and a crowd fills the table; then it is back: its list, a job, a call by the staff."""
    fleet = small_fleet(tmp_path)
    address = fleet.discovery.address
    fleet.discovery.sock.close()  # it is down from the start
    fleet.discovery = Server()
    say = {"silent": b"", "asked once": b"GET /health/live HTTP/1.1\r\n\r\n", "half a request": b"POST /api HT"}[crowd]
    idle = []
    try:
        process, mgmt = fleet.start(1)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))  # the platform's limit, which binds
        fleet.until(lambda: call(fleet, mgmt, "GET /healthcheck HTTP/1.1\r\n\r\n")[0] == 503)
        for _ in range(2 * SOCKETS):
            idle.append(Peer(socket.create_connection(fleet.listen)))
            idle[-1].say(say)
        fleet.discovery.sock.close()
        fleet.discovery = Server(address)
        fleet.until(lambda: healthy(fleet, mgmt))
        client = Peer(socket.create_connection(fleet.listen))
        client.say(fleet_job(1))
        fleet.until(lambda: client.look().endswith(b"r-j1"))
        assert process.poll() is None
        assert len(list(Path(f"/proc/{process.pid}/fd").iterdir())) < SOCKETS
    finally:
        fleet.stop()


def test_the_limits_leave_descriptors_for_all_that_is_no_client_and_no_forward() -> None:
    """Discovery's connection and its successor, both listening sockets, the staff's calls, the selector and so on."""
    for sockets in (64, 96, 512, 1024, 4096):
        limits = Limits.of(settings(), sockets, 192)
        taken = limits.client_connections + limits.worker_connections + limits.mgmt_connections
        assert sockets - taken >= 20


# --- readiness ------------------------------------------------------------------------------------


def test_never_ready_while_a_list_of_before_names_only_the_dead() -> None:
    """Guards a restart on an old list: all it named had gone, and the front sent clients."""
    dead = Server()
    dead.sock.close()
    world = World(dead)
    world.coordinator.workers.clear()
    group = WorkerDiscovery(world.loop, world.coordinator, world.limits, Server().address, ZERO)
    world.coordinator._is_told = False
    group.start({"seq": 1, "whole": True, "hosts": [host("s-0", dial="{}:{}".format(*dead.address))]})
    assert ready(world)  # nothing is known against it
    client = world.client(job(budget="60"))
    world.until(lambda: world.coordinator.unavailable_workers() == 1)
    assert not ready(world)
    client.close()


def test_ready_from_the_first_moment_on_a_list_of_before_though_discovery_is_silent() -> None:
    """Guards against nothing served because discovery is late."""
    target, silent = Server(), Server()
    world = World()
    group = WorkerDiscovery(world.loop, world.coordinator, world.limits, silent.address, ZERO)
    world.coordinator._is_told = False
    group.start({"seq": 1, "whole": True, "hosts": [host("s-0", dial="{}:{}".format(*target.address))]})
    assert ready(world)
    client = world.client(job())
    world.until(lambda: target.requests() == 1)
    target.peers[0].say(done("ok"))
    assert world.answer(client).endswith("ok")


@pytest.mark.parametrize("discovery", Discovery)
@pytest.mark.parametrize("count", [4, 40, 200])
def test_a_fleet_restarted_together_without_a_list_asks_at_once_and_again_in_time(
    discovery: Discovery, count: int
) -> None:
    """Ready within 10 s: a call that an overbooked discovery turns away is made again 5 s after it, at the latest."""
    drawn = settings(dispatchers=count, discovery=discovery, limits=DispatchLimits())
    limits = Limits.of(drawn, 1024, 192)
    server = Server()
    for number in range(min(count, 40)):
        world = World(limits=limits, dispatchers=count, discovery=discovery)
        group = WorkerDiscovery(
            world.loop, world.coordinator, limits, server.address, ZERO, whose=f"{number:x} n{number}"
        )
        group.start({})
        assert group._connection is not None  # at once
        group.answered(group._connection, 503, b"", True)
        assert group._wait is not None
        assert group._wait.when - world.loop.now <= limits.list_gap
        group._ask()
        assert group._connection is not None
        world.until(lambda: any(b"instances HTTP" in received.got for received in server.look()))
        body = listing(3, True, host("s-0")).partition(b"\r\n\r\n")[2]
        group.answered(group._connection, 200, body, True)
        assert world.coordinator.can_serve()
        world.loop.close()
    assert 2 * limits.list_gap <= seconds(10)


# --- a second process on the address --------------------------------------------------------------


@pytest.mark.parametrize("dies", ["the old one, in its end", "the new one, at its start"])
def test_either_process_may_die_within_a_hand_over(dies: str, tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)
    try:
        old, mgmt = fleet.start(1)
        fleet.until(lambda: healthy(fleet, mgmt))
        new, other = fleet.start(2)
        fleet.until(lambda: healthy(fleet, other))
        if dies.startswith("the old"):
            old.send_signal(signal.SIGTERM)
            fleet.until(lambda: call(fleet, mgmt, "GET /healthcheck HTTP/1.1\r\n\r\n")[0] == 503)
            old.kill()
            old.wait()
        else:
            new.kill()
            new.wait()
        for number in range(1, 9):
            client = Peer(socket.create_connection(fleet.listen))
            client.say(fleet_job(number))
            end = f"r-j{number}".encode()
            fleet.until(lambda client=client, end=end: client.look().endswith(end))  # type: ignore[misc]
            client.close()
        left = new if dies.startswith("the old") else old
        assert left.poll() is None
    finally:
        fleet.stop()


def test_a_signal_for_the_new_process_before_the_old_one_ends_leaves_the_old_serving(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)
    try:
        old, mgmt = fleet.start(1)
        fleet.until(lambda: healthy(fleet, mgmt))
        new, other = fleet.start(2)
        fleet.until(lambda: healthy(fleet, other))
        new.send_signal(signal.SIGTERM)
        fleet.until(lambda: new.poll() is not None)
        assert new.returncode == 0
        assert old.poll() is None
        client = Peer(socket.create_connection(fleet.listen))
        client.say(fleet_job(1))
        fleet.until(lambda: client.look().endswith(b"r-j1"))
    finally:
        fleet.stop()


def test_a_bad_configuration_ends_the_program_before_it_listens(tmp_path: Path) -> None:
    """One line that names the field, and the address still free."""
    fleet = Fleet(tmp_path)
    fields = json.loads(fleet.config.read_text())
    fields["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": "many"}
    fleet.config.write_text(json.dumps(fields))
    kept = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    ended = subprocess.run(
        [sys.executable, "-m", "canvasbeam"], env={**kept, "LB_CONFIG": str(fleet.config)}, check=False,
        capture_output=True, text=True, timeout=60,
    )  # fmt: skip
    assert ended.returncode == 1
    assert len(ended.stderr.splitlines()) == 1
    assert "sockets" in ended.stderr
    socket.create_server(fleet.listen).close()
