"""Real control processes that get SIGTERM, and that the operator takes out for good, on loopback."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from click.testing import CliRunner

from canvasbeam.cli.commands import cli
from tests.support.system_processes import CONTROL_PORT, CONTROLS, Node, System, host

GRACE = "grace_s = 5.0"
SPARE = Node("core-4", host(14), "z1", True)


class PatientSystem(System):
    """Its processes have some seconds before SIGKILL."""

    def _settings(self, node: Node, bootstrap: bool) -> str:
        return super()._settings(node, bootstrap).replace("grace_s = 2.0", GRACE)


def play(folder: Path, scene: Callable[[PatientSystem], Awaitable[None]]) -> None:
    async def run() -> None:
        system = PatientSystem(folder)
        try:
            await system.start(CONTROLS)
            assert (await system.order("POST", "/v1/evacuate/z3")).status == 200
            await scene(system)
        finally:
            await system.stop()

    asyncio.run(run())


async def until_resilience(system: System, copies: int, bearable_losses: int) -> Node:
    """Until the primary, which is returned, tells of so many copies in a settled view of three voters."""
    wanted = {"role": "primary", "copies": copies, "voters": 3, "membership_step_open": False}
    wanted["bearable_losses"] = bearable_losses
    found: list[Node] = []

    async def look() -> bool:
        for node in CONTROLS:
            status = await system.status(node)
            if status is not None and wanted.items() <= status.items():
                found.append(node)
        return bool(found)

    await system.until(look)
    return found[0]


def test_the_primary_ends_once_the_others_hold_everything(tmp_path: Path) -> None:
    async def scene(system: PatientSystem) -> None:
        first = await until_resilience(system, copies=3, bearable_losses=1)
        system.signal(first, signal.SIGTERM)
        assert await system.ended(first) == 0
        assert "departure granted" in system.log(first)
        assert "other_replicas=2\n" in system.log(first)
        second = await until_resilience(system, copies=2, bearable_losses=0)
        status = await system.status(second)
        assert status["evacuated_zones"] == ["z3"]
        assert first.ip not in {member.partition("/")[0] for member in status["replicas"]}
        await system.start([first], bootstrap=False)
        await until_resilience(system, copies=3, bearable_losses=1)

    play(tmp_path, scene)


def test_the_last_copy_but_one_waits_and_says_that_it_gave_up(tmp_path: Path) -> None:
    async def scene(system: PatientSystem) -> None:
        first = await until_resilience(system, copies=3, bearable_losses=1)
        down, leaving = (node for node in CONTROLS if node != first)
        await system.kill(down)
        await until_resilience(system, copies=2, bearable_losses=0)
        system.signal(leaving, signal.SIGTERM)
        assert await system.ended(leaving) == 0
        assert "departure not granted" in system.log(leaving)
        assert "too few other replicas are usable" in system.log(leaving)

    play(tmp_path, scene)


def test_all_that_get_sigterm_at_once_end_without_waiting_for_each_other(tmp_path: Path) -> None:
    async def scene(system: PatientSystem) -> None:
        await until_resilience(system, copies=3, bearable_losses=1)
        for node in CONTROLS:
            system.signal(node, signal.SIGTERM)
        for node in CONTROLS:
            assert await system.ended(node) == 0
        assert all("departure not granted" not in system.log(node) for node in CONTROLS)
        await system.start(CONTROLS, bootstrap=False)
        await system.primary()

    play(tmp_path, scene)


def test_the_operator_takes_the_primary_out_for_good(tmp_path: Path) -> None:
    """Refused while nobody could take its place; done once a fourth control process is there."""

    async def remove(name: str) -> tuple[int, str]:
        addresses = [word for node in CONTROLS for word in ("--control", node.address(CONTROL_PORT))]
        arguments = ["system", "control", "remove", name, *addresses, "--timeout", "15"]
        result = await asyncio.to_thread(CliRunner().invoke, cli, arguments)
        return result.exit_code, result.output

    async def scene(system: PatientSystem) -> None:
        first = await until_resilience(system, copies=3, bearable_losses=1)
        code, output = await remove(first.name)
        assert (code, "307 member_needed" in output) == (2, True)
        await system.start([SPARE], bootstrap=False)

        async def is_done() -> bool:
            code, output = await remove(first.name)
            return (code, output) == (0, f"{first.ip}: removed; its process may be stopped for good\n")

        await system.until(is_done)
        status = await system.status(await system.primary())
        members = {member.partition("/")[0] for member in (*status["replicas"], *status["witnesses"])}
        assert members == {node.ip for node in (*CONTROLS, SPARE) if node != first}
        assert status["bearable_losses"] == 1
        system.signal(first, signal.SIGTERM)
        assert await system.ended(first) == 0

    play(tmp_path, scene)
