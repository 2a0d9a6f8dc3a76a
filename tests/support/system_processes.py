"""A small system of real processes on loopback addresses that belong to this test process alone."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import httpcore

from canvasbeam.cli.control_client import ControlAnswer, ControlClient, ControlRequest
from canvasbeam.runtime.settings import Address
from canvasbeam.simulator.model_worker import EmulatedWorker, WorkerSpec

ROOT = Path(__file__).parents[2]
CONFIGURATION = json.loads((ROOT / "example" / "system" / "configuration.json").read_text())
CONTROL_PORT, DIRECTORY_PORT, FRONT_PORT, READY_PORT, WORKER_PORT = 8146, 8143, 8144, 8140, 8080
METRICS_PORT = 9464
ZONES = {"z1": "r1", "z2": "r1", "z3": "r2"}
DEADLINE_S = 20.0
LOOK_EVERY_S = 0.02
GRACE_S = 2.0

SETTINGS = """
node = "{name}"
role = "{role}"
class = "{node_class}"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port_range = [7660, 7675]
seeds = {seeds}
bootstrap = {bootstrap}
{disk}
[zones]
{zones}
[listen]
{listen}
[bounds]
grace_s = {grace_s}
retry_slack = 50
{limits}
"""


def host(number: int) -> str:
    """A loopback address that no other test process uses."""
    process = os.getpid()
    return f"127.{10 + process // 250 % 200}.{process % 250}.{number}"


@dataclass(frozen=True)
class Node:
    """One process of the system: what its settings say."""

    name: str
    ip: str
    zone: str
    is_control: bool

    def address(self, port: int) -> str:
        return f"{self.ip}:{port}"


CONTROLS = tuple(Node(f"core-{n}", host(10 + n), f"z{n}", True) for n in (1, 2, 3))
EDGES = tuple(Node(f"edge-{n}", host(20 + n), f"z{n}", False) for n in (1, 2))


class System:
    """The processes, the workers in this process, and calls as operator and as client."""

    def __init__(self, folder: Path, limits: str = "") -> None:
        self.folder = folder
        self._limits = limits  # the `[limits]` table of the settings of every process
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.workers: list[EmulatedWorker] = []

    # --- processes ------------------------------------------------------------------------------------

    async def start(self, nodes: Iterable[Node], bootstrap: bool = True) -> None:
        """Start processes; they need not be up when this returns."""
        for node in nodes:
            path = self.folder / f"{node.name}.toml"
            path.write_text(self._settings(node, bootstrap))
            program = "canvasbeam.control_plane" if node.is_control else "canvasbeam.data_plane"
            with (self.folder / f"{node.name}.log").open("ab") as log:
                self.processes[node.name] = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", program, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
                    env={"PATH": os.environ["PATH"], "PYTHONPATH": str(ROOT), "CANVASBEAM_SETTINGS": str(path)},
                )  # fmt: skip

    def _settings(self, node: Node, bootstrap: bool) -> str:
        listen = {"front": FRONT_PORT, "ready": READY_PORT, "metrics": METRICS_PORT}
        if node.is_control:
            listen = {"control": CONTROL_PORT, "directory": DIRECTORY_PORT}
        disk = f'counts_for_quorum = true\ndata_dir = "{self.folder / node.name}"' if node.is_control else ""
        return SETTINGS.format(
            name=node.name, role="control-plane" if node.is_control else "data-plane",
            node_class="core" if node.is_control else "edge", ip=node.ip, zone=node.zone, region=ZONES[node.zone],
            serves=json.dumps(["control", "directory"] if node.is_control else ["edge"]), disk=disk,
            seeds=json.dumps([control.address(CONTROL_PORT) for control in CONTROLS]), bootstrap=json.dumps(bootstrap),
            zones="\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items()),
            grace_s=GRACE_S, limits=self._limits,
            listen="\n".join(f'{name} = "{node.address(port)}"' for name, port in listen.items()),
        )  # fmt: skip

    def signal(self, node: Node, number: signal.Signals) -> None:
        self.processes[node.name].send_signal(number)

    async def ended(self, node: Node) -> int:
        """The exit code of a process that was told to end."""
        return await self.processes[node.name].wait()

    async def kill(self, *nodes: Node) -> None:
        """As a crash, all at once, of those of these processes that are up."""
        for node in nodes:
            if self.processes[node.name].returncode is None:
                self.signal(node, signal.SIGKILL)
        for node in nodes:
            await self.ended(node)

    def log(self, node: Node) -> str:
        return (self.folder / f"{node.name}.log").read_text()

    async def stop(self) -> None:
        """Kill what is left."""
        for worker in self.workers:
            await worker.crash()
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()

    # --- workers --------------------------------------------------------------------------------------

    async def add_worker(self, number: int, service: str = "model", zone: str = "z1") -> EmulatedWorker:
        """A worker that has registered."""
        address = Address(host(30 + number), WORKER_PORT)
        spec = WorkerSpec(f"i-{number}", service, address, zone, pause_s=0.0, heartbeat_s=0.3)
        worker = EmulatedWorker(spec, [Address(control.ip, CONTROL_PORT) for control in CONTROLS])
        assert await worker.start() is None
        self.workers.append(worker)
        await worker.registered.wait()
        return worker

    # --- the operator ---------------------------------------------------------------------------------

    async def order(self, method: str, path: str, body: Any = None, if_match: int | None = None) -> ControlAnswer:
        """A call of the operator, sent again until somebody answers it."""
        client = ControlClient([Address(control.ip, CONTROL_PORT) for control in CONTROLS], DEADLINE_S)
        headers = {} if if_match is None else {"If-Match": str(if_match)}
        content = b"" if body is None else json.dumps(body).encode()
        answer = await asyncio.to_thread(client.send, ControlRequest(method, path, content, headers))
        assert isinstance(answer, ControlAnswer), answer
        return answer

    async def configuration(self) -> Any:
        answer = await self.order("GET", "/v1/config")
        assert answer.status == 200, answer
        return json.loads(answer.body)

    async def status(self, node: Node) -> Any:
        """What a control process tells of itself; nothing where it does not answer."""
        response = await ask(node.address(CONTROL_PORT), "GET", "/v1/status")
        return None if response is None else json.loads(response.content)

    async def primary(self) -> Node:
        """The control process that is the primary of a view in force."""
        found: list[Node] = []

        async def look() -> bool:
            for node in CONTROLS:
                if self.processes[node.name].returncode is None:
                    status = await self.status(node)
                    if status is not None and status["role"] == "primary":
                        found.append(node)
            return bool(found)

        await self.until(look)
        return found[0]

    # --- waiting --------------------------------------------------------------------------------------

    async def until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        """Look again whenever a process ends or a moment is over, until the condition holds."""
        async with asyncio.timeout(DEADLINE_S):
            while not await condition():
                running = [process for process in self.processes.values() if process.returncode is None]
                exits = [asyncio.ensure_future(host.wait()) for host in running]
                await asyncio.wait(exits, timeout=LOOK_EVERY_S, return_when=asyncio.FIRST_COMPLETED)
                for exit in exits:
                    exit.cancel()

    async def until_ready(self, *edges: Node) -> None:
        """Until each of these data-plane processes takes clients."""

        async def look() -> bool:
            answers = [await ask(edge.address(READY_PORT), "GET", "/v1/readyz") for edge in edges]
            return all(answer is not None and answer.status == 200 for answer in answers)

        await self.until(look)

    async def until_replicas(self, count: int) -> None:
        """Until the view has so many replicas."""

        async def look() -> bool:
            statuses = [await self.status(node) for node in CONTROLS]
            return any(status is not None and len(status["replicas"]) == count for status in statuses)

        await self.until(look)


async def ask(
    address: str, method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b""
) -> httpcore.Response | None:
    """One call; nothing where the other side is not there."""
    sent = {"Host": address, **(headers or {})}
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), DEADLINE_S)
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                method, f"http://{address}{path}", headers=list(sent.items()), content=body,
                extensions={"timeout": timeout},
            )  # fmt: skip
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return None


def request_headers(request_id: str, *, streaming: bool) -> dict[str, str]:
    """The headers of a client's request on one of the example's routes."""
    headers = {"X-Request-Id": request_id, "X-Deadline": "10000"}
    if streaming:
        return {**headers, "Host": "chat.example", "X-Model": "m", "X-Tokens": "100,40", "X-Prefix-Hash": "1f:100"}
    return {**headers, "Host": "lookup.example"}


async def send(edge: Node, request_id: str, *, streaming: bool = False) -> httpcore.Response | None:
    """A client's request at a data-plane process."""
    headers = request_headers(request_id, streaming=streaming)
    return await ask(edge.address(FRONT_PORT), "POST", "/v1/question", headers, b"hello")


@asynccontextmanager
async def open_stream(edge: Node, request_id: str) -> AsyncIterator[httpcore.Response]:
    """A client's request on a streaming route, whose answer is read as it comes."""
    headers = list(request_headers(request_id, streaming=True).items())
    url = f"http://{edge.address(FRONT_PORT)}/v1/question"
    async with (
        httpcore.AsyncConnectionPool() as pool,
        pool.stream("POST", url, headers=headers, content=b"x") as found,
    ):
        yield found


def play(folder: Path, scene: Callable[[System], Awaitable[None]], limits: str = "") -> None:
    """Run a scene with a system, which is ended however the scene ends."""

    async def run() -> None:
        system = System(folder, limits)
        try:
            async with asyncio.timeout(3 * DEADLINE_S):
                await scene(system)
        except BaseException:
            for node in (*CONTROLS, *EDGES):
                if node.name in system.processes:
                    print(f"--- {node.name}\n{system.log(node)}")
            raise
        finally:
            await system.stop()

    asyncio.run(run())
