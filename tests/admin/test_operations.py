"""Tests maintenance mode and the `/stats` counters through the management address of a running scheduler."""

from __future__ import annotations

import json
import re
from dataclasses import replace
from pathlib import Path
from typing import Any

from canvasbeam.admin.handover import Handover, handover_path
from canvasbeam.dispatch.events import ListKind, Outcome, WorkerState
from canvasbeam.scheduler.limits import Limits
from tests.support.loopback import Server, done, job
from tests.support.managed_scheduler import ManagedScheduler, request_maintenance, status


def serve_all(world: ManagedScheduler, count: int, first: int = 0) -> list[int]:
    """Send `count` concurrent requests, answer each at once, and return the number of requests per worker."""
    clients = [world.client(job(call_id=f"c{number}")) for number in range(first, first + count)]
    got: list[set[str]] = [set() for _ in world.servers]

    def answered() -> bool:
        for place, server in enumerate(world.servers):
            for peer in server.look():
                for call_id in re.findall(r"X-Call-Id: (c[0-9]+)", peer.got.decode()):
                    if int(call_id[1:]) >= first and call_id not in got[place]:
                        got[place].add(call_id)
                        peer.say(done("r", call_id))
        return all(b"HTTP/1.1 200" in client.look() for client in clients)

    world.until(answered)
    return [len(answer) for answer in got]


def test_a_worker_in_maintenance_mode_gets_no_new_request_whatever_discovery_says() -> None:
    world = ManagedScheduler(Server(), Server())
    assert request_maintenance(world, "s-0") == 200
    world.list_targets()  # discovery still reports the worker as live
    assert serve_all(world, 6) == [0, 6]
    assert world.coordinator.ended[Outcome.MOOT] == 0  # the dispatcher was notified, and never chose s-0
    assert world.call(b"GET /healthcheck HTTP/1.1\r\n\r\n").split()[1] == "200"


def test_entering_twice_needs_leaving_once_and_the_worker_returns_as_just_started() -> None:
    world = ManagedScheduler(Server(), Server())
    assert request_maintenance(world, "s-0") == 200
    assert request_maintenance(world, "s-0") == 200
    world.until(lambda: True)
    back_at = world.loop.now
    assert request_maintenance(world, "s-0", "ready") == 200
    assert world.coordinator.worker_table.in_maintenance == set()
    entry = world.coordinator._entry(world.coordinator.workers["s-0"])
    assert entry.state is WorkerState.LIVE
    assert entry.started_ns >= world.coordinator.decisions.to_dispatcher_time(back_at)
    assert serve_all(world, 8)[0] > 0  # the worker gets requests again


def test_a_request_about_an_unknown_worker_is_rejected() -> None:
    world = ManagedScheduler(Server())
    assert request_maintenance(world, "nobody") == 404
    assert request_maintenance(world, "nobody", "ready") == 404
    assert request_maintenance(world, "s-0", "stop") == 404
    assert status(world.call(b"GET /workers/s-0/maint HTTP/1.1\r\n\r\n")) == 405
    assert world.coordinator.worker_table.in_maintenance == set()


def test_health_is_not_ok_with_the_only_worker_in_maintenance_mode() -> None:
    world = ManagedScheduler(Server())
    assert request_maintenance(world, "s-0") == 200
    assert status(world.call(b"GET /healthcheck HTTP/1.1\r\n\r\n")) == 503


def test_the_workers_in_maintenance_mode_are_handed_to_the_next_process(tmp_path: Path) -> None:
    servers = (Server(), Server())
    old = ManagedScheduler(*servers, handover=Handover(handover_path(tmp_path, ("127.0.0.1", 5000))))
    assert request_maintenance(old, "s-1") == 200
    new = ManagedScheduler(*servers, handover=Handover(handover_path(tmp_path, ("127.0.0.1", 5000))))
    assert new.coordinator.worker_table.in_maintenance == {"s-1"}  # read when the new process starts
    assert request_maintenance(new, "s-0") == 200
    old.until(lambda: old.coordinator.worker_table.in_maintenance == {"s-0", "s-1"})  # the old process polls
    assert request_maintenance(new, "s-1", "ready") == 200
    old.until(lambda: old.coordinator.worker_table.in_maintenance == {"s-0"})
    assert serve_all(new, 3) == [0, 3]
    elsewhere = ManagedScheduler(*servers, handover=Handover(handover_path(tmp_path, ("127.0.0.1", 5001))))
    assert elsewhere.coordinator.worker_table.in_maintenance == set()  # other addresses have their own set


def figures(world: ManagedScheduler) -> dict[str, Any]:
    answer = world.call(b"GET /stats HTTP/1.1\r\n\r\n")
    assert status(answer) == 200
    assert "Content-Type: application/json" in answer
    document: dict[str, Any] = json.loads(answer.partition("\r\n\r\n")[2])
    return document


def test_the_figures_count_a_known_sequence_of_requests() -> None:
    limits = Limits(client_connections=8, worker_connections=8, open_requests=1)
    world = ManagedScheduler(Server(), limits=limits)
    first = figures(world)
    assert first["downstream_requests"]["look"] == {"completed": 0, "rejected": 0, "failed": 0}
    counts = (first["upstream_requests"], first["pending"], first["members"], first["members_unavailable"])
    assert counts == (0, 0, 1, 0)
    served = world.client(job(call_id="c1"))
    world.asked(0).say(done("r1", "c1"))
    assert world.answer(served).startswith("HTTP/1.1 200")
    unusable = world.client(job(call_id="c2"))
    world.asked(0, 2).say(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
    assert world.answer(unusable).startswith("HTTP/1.1 400")
    held = world.client(job(call_id="c3"))
    worker = world.asked(0, 3)
    twice = world.client(job(call_id="c3"))
    assert world.answer(twice).split()[1] == "503"  # rejected: over the limit `open_requests`
    middle = figures(world)
    assert middle["pending"] == 1
    assert middle["upstream_requests"] == 3
    assert request_maintenance(world, "s-0") == 200
    worker.say(done("r3", "c3"))
    assert world.answer(held).startswith("HTTP/1.1 200")
    world.settle()
    last = figures(world)
    assert last["downstream_requests"]["look"] == {"completed": 2, "rejected": 1, "failed": 1}
    assert last["downstream_requests"]["pay"] == {"completed": 0, "rejected": 0, "failed": 0}
    assert (last["upstream_requests"], last["pending"], last["members"], last["members_unavailable"]) == (3, 0, 1, 1)


def test_a_disconnected_client_is_no_longer_pending_and_a_conflict_is_a_rejection() -> None:
    world = ManagedScheduler(Server())
    disconnecting = world.client(job(call_id="c1"))
    world.asked(0)
    twice = world.client(job(call_id="c1"))
    assert world.answer(twice).split()[1] == "409"
    assert figures(world)["pending"] == 1
    disconnecting.close()
    world.until(lambda: world.coordinator.pending == 0)
    assert figures(world)["downstream_requests"]["look"]["rejected"] == 1


def test_an_ejected_worker_counts_as_unavailable() -> None:
    world = ManagedScheduler(Server(), Server())
    world.servers[1].sock.close()  # refuses connections, so the first refusal ejects the worker
    world.coordinator.listed(ListKind.COMPLETE, [world.target(0), world.target(1)], 2)
    clients = [world.client(job(call_id=f"c{number}")) for number in range(4)]
    world.until(lambda: world.coordinator.unavailable_workers() == 1)
    assert figures(world)["members_unavailable"] == 1
    for client in clients:
        client.close()


def test_a_restart_reported_during_maintenance_is_the_start_of_the_returning_worker() -> None:
    world = ManagedScheduler(Server(), Server())
    assert request_maintenance(world, "s-0") == 200
    world.until(lambda: True)
    restarted = world.loop.now
    reported = replace(world.target(0), started=restarted)
    world.coordinator.listed(ListKind.COMPLETE, [reported, world.target(1)], 2)
    begun = world.loop.now
    world.until(lambda: world.loop.now > begun)
    assert request_maintenance(world, "s-0", "ready") == 200
    entry = world.coordinator._entry(world.coordinator.workers["s-0"])
    assert entry.started_ns == world.coordinator.decisions.to_dispatcher_time(restarted)
