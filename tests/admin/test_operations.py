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


def serve_all(scheduler: ManagedScheduler, count: int, first: int = 0) -> list[int]:
    """Send `count` concurrent requests, answer each at once, and return the number of requests per worker."""
    clients = [scheduler.client(job(call_id=f"c{number}")) for number in range(first, first + count)]
    got: list[set[str]] = [set() for _ in scheduler.servers]

    def answered() -> bool:
        for place, server in enumerate(scheduler.servers):
            for peer in server.look():
                for call_id in re.findall(r"X-Call-Id: (c[0-9]+)", peer.got.decode()):
                    if int(call_id[1:]) >= first and call_id not in got[place]:
                        got[place].add(call_id)
                        peer.say(done("r", call_id))
        return all(b"HTTP/1.1 200" in client.look() for client in clients)

    scheduler.until(answered)
    return [len(answer) for answer in got]


def test_a_worker_in_maintenance_mode_gets_no_new_request_whatever_discovery_says() -> None:
    """Fails if an endpoint list that reports the worker as live ends its maintenance mode."""
    scheduler = ManagedScheduler(Server(), Server())
    assert request_maintenance(scheduler, "s-0") == 200
    scheduler.list_targets()  # discovery still reports the worker as live
    assert serve_all(scheduler, 6) == [0, 6]
    assert scheduler.coordinator.ended[Outcome.MOOT] == 0  # the dispatcher was notified, and never chose s-0
    assert scheduler.call(b"GET /healthcheck HTTP/1.1\r\n\r\n").split()[1] == "200"


def test_entering_twice_needs_leaving_once_and_the_worker_returns_as_just_started() -> None:
    scheduler = ManagedScheduler(Server(), Server())
    assert request_maintenance(scheduler, "s-0") == 200
    assert request_maintenance(scheduler, "s-0") == 200
    scheduler.until(lambda: True)
    returned_at = scheduler.loop.now
    assert request_maintenance(scheduler, "s-0", "ready") == 200
    assert scheduler.coordinator.worker_table.in_maintenance == set()
    entry = scheduler.coordinator._entry(scheduler.coordinator.workers["s-0"])
    assert entry.state is WorkerState.LIVE
    assert entry.started_ns >= scheduler.coordinator.decisions.to_dispatcher_time(returned_at)
    assert serve_all(scheduler, 8)[0] > 0  # the worker gets requests again


def test_a_request_about_an_unknown_worker_is_rejected() -> None:
    scheduler = ManagedScheduler(Server())
    assert request_maintenance(scheduler, "nobody") == 404
    assert request_maintenance(scheduler, "nobody", "ready") == 404
    assert request_maintenance(scheduler, "s-0", "stop") == 404
    assert status(scheduler.call(b"GET /workers/s-0/maint HTTP/1.1\r\n\r\n")) == 405
    assert scheduler.coordinator.worker_table.in_maintenance == set()


def test_health_is_not_ok_with_the_only_worker_in_maintenance_mode() -> None:
    scheduler = ManagedScheduler(Server())
    assert request_maintenance(scheduler, "s-0") == 200
    assert status(scheduler.call(b"GET /healthcheck HTTP/1.1\r\n\r\n")) == 503


def test_the_workers_in_maintenance_mode_are_shared_with_the_next_process(tmp_path: Path) -> None:
    """Fails if one process of an upgrade misses a change that an operator made through the other process."""
    servers = (Server(), Server())
    old = ManagedScheduler(*servers, handover=Handover(handover_path(tmp_path, ("127.0.0.1", 5000))))
    assert request_maintenance(old, "s-1") == 200
    new = ManagedScheduler(*servers, handover=Handover(handover_path(tmp_path, ("127.0.0.1", 5000))))
    # The new process reads the shared file when it starts.
    assert new.coordinator.worker_table.in_maintenance == {"s-1"}
    assert request_maintenance(new, "s-0") == 200
    # The old process is still running and applies the change that it reads from the shared file.
    old.until(lambda: old.coordinator.worker_table.in_maintenance == {"s-0", "s-1"})
    assert request_maintenance(new, "s-1", "ready") == 200
    old.until(lambda: old.coordinator.worker_table.in_maintenance == {"s-0"})
    assert serve_all(new, 3) == [0, 3]
    other_address = ManagedScheduler(*servers, handover=Handover(handover_path(tmp_path, ("127.0.0.1", 5001))))
    # A scheduler on another clients' address has its own set of workers in maintenance mode.
    assert other_address.coordinator.worker_table.in_maintenance == set()


def stats(scheduler: ManagedScheduler) -> dict[str, Any]:
    answer = scheduler.call(b"GET /stats HTTP/1.1\r\n\r\n")
    assert status(answer) == 200
    assert "Content-Type: application/json" in answer
    document: dict[str, Any] = json.loads(answer.partition("\r\n\r\n")[2])
    return document


def test_stats_count_a_known_sequence_of_requests() -> None:
    limits = Limits(client_connections=8, worker_connections=8, open_requests=1)
    scheduler = ManagedScheduler(Server(), limits=limits)
    first = stats(scheduler)
    assert first["downstream_requests"]["look"] == {"completed": 0, "rejected": 0, "failed": 0}
    counts = (first["upstream_requests"], first["pending"], first["members"], first["members_unavailable"])
    assert counts == (0, 0, 1, 0)
    served = scheduler.client(job(call_id="c1"))
    scheduler.asked(0).say(done("r1", "c1"))
    assert scheduler.answer(served).startswith("HTTP/1.1 200")
    unusable = scheduler.client(job(call_id="c2"))
    scheduler.asked(0, 2).say(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
    assert scheduler.answer(unusable).startswith("HTTP/1.1 400")
    pending_client = scheduler.client(job(call_id="c3"))
    worker = scheduler.asked(0, 3)
    duplicate = scheduler.client(job(call_id="c3"))
    assert scheduler.answer(duplicate).split()[1] == "503"  # rejected: over the limit `open_requests`
    middle = stats(scheduler)
    assert middle["pending"] == 1
    assert middle["upstream_requests"] == 3
    assert request_maintenance(scheduler, "s-0") == 200
    worker.say(done("r3", "c3"))
    assert scheduler.answer(pending_client).startswith("HTTP/1.1 200")
    scheduler.settle()
    last = stats(scheduler)
    assert last["downstream_requests"]["look"] == {"completed": 2, "rejected": 1, "failed": 1}
    assert last["downstream_requests"]["pay"] == {"completed": 0, "rejected": 0, "failed": 0}
    assert (last["upstream_requests"], last["pending"], last["members"], last["members_unavailable"]) == (3, 0, 1, 1)


def test_a_disconnected_client_is_no_longer_pending_and_a_conflict_is_a_rejection() -> None:
    scheduler = ManagedScheduler(Server())
    disconnecting = scheduler.client(job(call_id="c1"))
    scheduler.asked(0)
    duplicate = scheduler.client(job(call_id="c1"))
    assert scheduler.answer(duplicate).split()[1] == "409"
    assert stats(scheduler)["pending"] == 1
    disconnecting.close()
    scheduler.until(lambda: scheduler.coordinator.pending == 0)
    assert stats(scheduler)["downstream_requests"]["look"]["rejected"] == 1


def test_an_ejected_worker_counts_as_unavailable() -> None:
    scheduler = ManagedScheduler(Server(), Server())
    scheduler.servers[1].sock.close()  # refuses connections, so the first refusal ejects the worker
    scheduler.coordinator.listed(ListKind.COMPLETE, [scheduler.target(0), scheduler.target(1)], 2)
    clients = [scheduler.client(job(call_id=f"c{number}")) for number in range(4)]
    scheduler.until(lambda: scheduler.coordinator.unavailable_workers() == 1)
    assert stats(scheduler)["members_unavailable"] == 1
    for client in clients:
        client.close()


def test_a_restart_reported_during_maintenance_is_the_start_of_the_returning_worker() -> None:
    """Fails if the returning worker counts as started now although discovery has reported its restart."""
    scheduler = ManagedScheduler(Server(), Server())
    assert request_maintenance(scheduler, "s-0") == 200
    scheduler.until(lambda: True)
    restarted = scheduler.loop.now
    reported = replace(scheduler.target(0), started=restarted)
    scheduler.coordinator.listed(ListKind.COMPLETE, [reported, scheduler.target(1)], 2)
    listed_at = scheduler.loop.now
    scheduler.until(lambda: scheduler.loop.now > listed_at)
    assert request_maintenance(scheduler, "s-0", "ready") == 200
    entry = scheduler.coordinator._entry(scheduler.coordinator.workers["s-0"])
    assert entry.started_ns == scheduler.coordinator.decisions.to_dispatcher_time(restarted)
