"""Several real processes on loopback: first start, requests, kills, restarts, failover and planned ends."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from tests.support.system_processes import (
    CONFIGURATION,
    CONTROLS,
    EDGES,
    READY_PORT,
    ROOT,
    System,
    ask,
    open_stream,
    play,
    send,
)

EVENTS = 10
REQUESTS = 10  # to each edge
LATEST_SAVE_S = 1.5  # half of the interval between two worker snapshots


async def start_configured(system: System) -> None:
    """The whole system with its first configuration and workers of both services, ready for clients."""
    await system.start((*CONTROLS, *EDGES))
    answer = await system.order("PUT", "/v1/config", CONFIGURATION, if_match=0)
    assert answer.status == 200, answer
    await system.add_worker(1)
    await system.add_worker(2)
    await system.add_worker(3, service="register", zone="z3")
    await system.until_ready(*EDGES)


def next_configuration(generation: int) -> dict[str, object]:
    routes = [{**route, "timeout_ms": 1000 + generation} for route in CONFIGURATION["routes"]]
    return {**CONFIGURATION, "generation": generation, "routes": routes}


async def kill_one_primary_after_the_other(system: System) -> dict[str, object]:
    """Returns the last configuration that was acknowledged."""
    first = await system.primary()
    await system.kill(first)
    order = next_configuration(2)
    assert (await system.order("PUT", "/v1/config", order, if_match=1)).status == 200
    assert await system.configuration() == order
    assert (await system.order("POST", "/v1/evacuate/z2")).status == 200

    await system.start([first], bootstrap=False)
    await system.until_replicas(3)
    await system.kill(await system.primary())
    assert await system.configuration() == order
    # An order that was taken is acknowledged again, also by another primary; another one on its base is not.
    assert (await system.order("PUT", "/v1/config", order, if_match=1)).status == 200
    assert (await system.order("PUT", "/v1/config", next_configuration(3), if_match=1)).status == 412
    return order


def test_nothing_acknowledged_is_lost_when_processes_are_killed(tmp_path: Path) -> None:
    async def scene(system: System) -> None:
        await start_configured(system)
        served = await send(EDGES[1], "r1")
        assert served is not None
        assert (served.status, served.content) == (200, b"hello")

        order = await kill_one_primary_after_the_other(system)
        await system.kill(*CONTROLS, *EDGES)
        await system.start((*CONTROLS, *EDGES), bootstrap=False)
        assert await system.configuration() == order
        status = await system.status(await system.primary())
        assert status["evacuated_zones"] == ["z2"]
        await system.until_ready(*EDGES)
        served = await send(EDGES[0], "r2")
        assert served is not None
        assert served.status == 200

    play(tmp_path, scene)


async def until_workers_are_saved(system: System) -> None:
    """Wait until every control process has just written its worker snapshot, so that the next one is seconds away."""
    files = [system.folder / node.name / "workers" for node in CONTROLS]

    async def all_are_new() -> bool:
        return all(file.exists() and time.time() - file.stat().st_mtime < LATEST_SAVE_S for file in files)

    await system.until(all_are_new)


@pytest.mark.parametrize("end", ["DELETE", "draining"])
def test_acknowledged_end_of_worker_outlives_kill_of_all_processes(tmp_path: Path, end: str) -> None:
    """Guards against requests to a worker whose end was acknowledged before all processes were killed at once."""

    async def scene(system: System) -> None:
        await start_configured(system)
        staying = await system.add_worker(4, service="register", zone="z3")
        ended = system.workers[2]
        await until_workers_are_saved(system)
        assert await (ended.sign_off() if end == "DELETE" else ended.drain())
        await system.kill(*CONTROLS, *EDGES)
        await system.start((*CONTROLS, *EDGES), bootstrap=False)
        await system.until_ready(*EDGES)
        answers = [await send(edge, f"{edge.name}-{number}") for number in range(REQUESTS) for edge in EDGES]
        assert all(answer is not None and answer.status == 200 for answer in answers)
        assert len(staying.counts.ran) == len(answers)
        assert ended.counts.ran == []

    play(tmp_path, scene)


async def crash_the_worker_of_a_stream(system: System) -> None:
    """The stream goes on at the other worker, under the head of its first one."""
    workers = system.workers[:2]
    for worker in workers:
        worker.gate.close()
        worker.gate.allow(1)
    async with open_stream(EDGES[0], "r3") as answer:
        begun = [asyncio.create_task(worker.began.wait()) for worker in workers]
        await asyncio.wait(begun, return_when=asyncio.FIRST_COMPLETED)
        first, other = workers if begun[0].done() else reversed(workers)
        received = b""
        pieces = answer.aiter_stream()
        while b"\n\n" not in received:
            received += await anext(pieces)
        await first.crash()
        other.gate.open()
        async for piece in pieces:
            received += piece
    assert received.count(b"\n\n") == EVENTS
    assert dict(answer.headers)[b"x-response-seal"].startswith(first.instance.encode())
    assert [(run.request_id, run.after_event) for run in other.counts.ran] == [("r3", 1)]


async def end_a_process_under_a_stream(system: System) -> None:
    """A process that is told to end becomes unready, finishes what it has, and exits with 0."""
    edge = EDGES[0]
    await system.add_worker(4)
    for worker in system.workers:
        worker.began.clear()
        worker.gate.close()
    stream = asyncio.create_task(send(edge, "r4", streaming=True))
    begun = [asyncio.create_task(worker.began.wait()) for worker in system.workers]
    await asyncio.wait(begun, return_when=asyncio.FIRST_COMPLETED)
    system.signal(edge, signal.SIGTERM)

    async def is_unready() -> bool:
        answer = await ask(edge.address(READY_PORT), "GET", "/v1/readyz")
        return answer is None or answer.status != 200

    await system.until(is_unready)
    for worker in system.workers:
        worker.gate.open()
    answer = await stream
    assert answer is not None
    assert answer.content.count(b"\n\n") == EVENTS
    assert await system.ended(edge) == 0


def test_streams_survive_a_crash_of_their_worker_and_the_planned_end_of_their_process(tmp_path: Path) -> None:
    async def scene(system: System) -> None:
        await start_configured(system)
        await crash_the_worker_of_a_stream(system)
        await end_a_process_under_a_stream(system)
        for node in (EDGES[1], *CONTROLS):
            system.signal(node, signal.SIGTERM)
        assert [await system.ended(node) for node in (EDGES[1], *CONTROLS)] == [0, 0, 0, 0]

    play(tmp_path, scene)


@pytest.mark.parametrize("program", ["control_plane", "data_plane"])
def test_bad_settings_end_a_program_with_file_key_and_rule(tmp_path: Path, program: str) -> None:
    path = tmp_path / "local.toml"
    path.write_text("node = 5\n")
    outcome = subprocess.run(
        [sys.executable, "-m", f"canvasbeam.{program}"], cwd=ROOT, env={"CANVASBEAM_SETTINGS": str(path)},
        capture_output=True, text=True, timeout=30, check=False,
    )  # fmt: skip
    assert outcome.returncode == 2
    assert outcome.stderr == f"102 settings_invalid: {path}: node: must be a text that is not empty\n"
