"""Run one small system of real processes on loopback addresses, under load, for the commands beside this module.

Three control processes, two data-plane processes and two emulated workers, each of the release that the caller names.
Only processes that were started here are signalled, each by its id. Nothing of a checkout is imported: all calls are
plain HTTP, as an operator's and a client's are.
"""

from __future__ import annotations

import http.client
import itertools
import json
import os
import signal
import subprocess
import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from types import TracebackType
from typing import Any
from urllib.parse import urlsplit

CONTROL_PORT, DIRECTORY_PORT, FRONT_PORT, READY_PORT, WORKER_PORT = 8146, 8143, 8144, 8140, 8080
ZONES = {"z1": "r1", "z2": "r1", "z3": "r2"}
EVACUATED_ZONE = "z3"
STREAM_EVENTS = 10
EVENT_PAUSE_S = 0.02
GRACE_S = 5.0
DEADLINE_S = 30.0  # for whatever is waited for
CALL_TIMEOUT_S = 2.0  # of one call of the operator at one address
REQUEST_TIMEOUT_S = 15.0  # of one request at one address
POLL_S = 0.05
CLIENTS = 6
CLIENT_PAUSE_S = 0.05

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
"""


class StoryError(Exception):
    """A story did not hold."""


def expect(condition: bool, what: str) -> None:
    """Raise `StoryError` where a condition does not hold."""
    if not condition:
        raise StoryError(what)


def wait_until(condition: Callable[[], bool], what: str) -> float:
    """Poll a condition until it holds and return after how many seconds it did; raise `StoryError` at the deadline."""
    begin = time.monotonic()
    while not condition():
        expect(time.monotonic() - begin < DEADLINE_S, f"not within {DEADLINE_S:.0f} s: {what}")
        time.sleep(POLL_S)
    return time.monotonic() - begin


# --- calls --------------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Why there is no complete answer: `refused`, `closed before an answer` or `broken off`."""

    reason: str


def call(
    address: str, method: str, path: str, headers: Mapping[str, str], body: bytes, *, timeout_s: float = CALL_TIMEOUT_S
) -> Answer | NoAnswer:
    """Make one call on a connection of its own."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    reason = "closed before an answer"
    try:
        connection.request(method, path, body, dict(headers))
        response = connection.getresponse()
        reason = "broken off"
        names = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, names, response.read())
    except ConnectionRefusedError:
        return NoAnswer("refused")
    except (OSError, http.client.HTTPException) as error:
        return NoAnswer(f"{reason} ({type(error).__name__})")
    finally:
        connection.close()


def get_json(address: str, path: str) -> Any:
    """Return the document at a path, None where nobody answers with one."""
    answer = call(address, "GET", path, {}, b"")
    return json.loads(answer.body) if isinstance(answer, Answer) and answer.status == 200 else None


# --- the system ---------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Release:
    """One of the two checkouts, and the Python that runs it."""

    name: str
    checkout: Path
    python: str


@dataclass(frozen=True, slots=True)
class Node:
    """One control or data-plane process: what its settings say."""

    name: str
    ip: str
    zone: str
    is_control: bool

    def address(self, port: int) -> str:
        """Where it listens."""
        return f"{self.ip}:{port}"


def host(number: int) -> str:
    """Return a loopback address that belongs to this process alone."""
    process = os.getpid()
    return f"127.{10 + process // 250 % 200}.{process % 250}.{number}"


CONTROLS = tuple(Node(f"core-{n}", host(10 + n), f"z{n}", True) for n in (1, 2, 3))
DATA_PLANES = tuple(Node(f"edge-{n}", host(20 + n), f"z{n}", False) for n in (1, 2))
NODES = (*CONTROLS, *DATA_PLANES)
CONTROL_ADDRESSES = tuple(node.address(CONTROL_PORT) for node in CONTROLS)


def settings_text(node: Node, folder: Path, is_first_start: bool) -> str:
    """Return the settings file of a process."""
    listen = {"front": FRONT_PORT, "ready": READY_PORT}
    if node.is_control:
        listen = {"control": CONTROL_PORT, "directory": DIRECTORY_PORT}
    return SETTINGS.format(
        name=node.name, ip=node.ip, zone=node.zone, region=ZONES[node.zone], grace_s=GRACE_S,
        role="control-plane" if node.is_control else "data-plane", node_class="core" if node.is_control else "edge",
        serves=json.dumps(["control", "directory"] if node.is_control else ["edge"]),
        seeds=json.dumps(CONTROL_ADDRESSES), bootstrap=json.dumps(is_first_start),
        disk=f'counts_for_quorum = true\ndata_dir = "{folder / node.name}"' if node.is_control else "",
        zones="\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items()),
        listen="\n".join(f'{name} = "{node.address(port)}"' for name, port in listen.items()),
    )  # fmt: skip


class System:
    """The processes of both releases, and what the operator was acknowledged so far."""

    def __init__(self, folder: Path, configuration: dict[str, Any]) -> None:
        self.configuration = configuration  # of generation 0 until it is put
        self.evacuated_zones: list[str] = []
        self.releases: dict[str, Release] = {}
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    # --- processes

    def start(self, node: Node, release: Release, *, is_first_start: bool = False) -> None:
        """Start a process of a release on the node's data folder."""
        settings = self._folder / f"{node.name}.toml"
        settings.write_text(settings_text(node, self._folder, is_first_start))
        program = "canvasbeam.control_plane" if node.is_control else "canvasbeam.data_plane"
        self._run(node.name, release, [program], {"CANVASBEAM_SETTINGS": str(settings)})

    def start_worker(self, number: int, zone: str, release: Release) -> None:
        """Start an emulated worker."""
        options = ["--zone", zone, "--events", str(STREAM_EVENTS), "--pause", str(EVENT_PAUSE_S)]
        control = {"CANVASBEAM_CONTROL": " ".join(CONTROL_ADDRESSES)}
        address = f"{host(30 + number)}:{WORKER_PORT}"
        self._run(f"worker-{number}", release, ["canvasbeam", "emulate-worker", address, *options], control)

    def _run(self, name: str, release: Release, module: Sequence[str], environment: Mapping[str, str]) -> None:
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [release.python, "-m", *module], cwd=release.checkout, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "PYTHONPATH": str(release.checkout), **environment},
            )  # fmt: skip
        self.releases[name] = release

    def kill(self, node: Node) -> None:
        """End a process as a crash does."""
        self._processes[node.name].kill()
        self._processes[node.name].wait()

    def end(self, node: Node) -> float:
        """End a process as planned and return how many seconds it took."""
        begin = time.monotonic()
        self._processes[node.name].send_signal(signal.SIGTERM)
        code = self._processes[node.name].wait(GRACE_S + DEADLINE_S)
        expect(code == 0, f"{node.name} ended with {code}")
        return time.monotonic() - begin

    def stop(self) -> None:
        """Kill whatever of this system still runs."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    def is_running(self, node: Node) -> bool:
        """Whether the node's process runs."""
        return self._processes[node.name].poll() is None

    def mixture(self) -> str:
        """How many control processes are of which release."""
        count = Counter(self.releases[node.name].name for node in CONTROLS)
        return f"{count['old']} old + {count['new']} new control processes"

    # --- what control processes tell

    def status(self, node: Node) -> Any:
        """Return what a control process tells of itself, None where it does not answer."""
        return get_json(node.address(CONTROL_PORT), "/v1/status") if self.is_running(node) else None

    def primary(self) -> Node:
        """Return the control process that is primary."""
        found: list[Node] = []

        def look() -> bool:
            found[:] = [node for node in CONTROLS if (self.status(node) or {}).get("role") == "primary"]
            return len(found) == 1

        wait_until(look, "one control process is primary")
        return found[0]

    def await_complete(self) -> float:
        """Wait until all control processes are replicas, both data planes ready, both workers known to all."""

        def look() -> bool:
            statuses = [self.status(node) for node in CONTROLS]
            return all(
                status
                and len(status["replicas"]) == len(CONTROLS)
                and sum(status["workers"].get("model", {}).values()) == 2
                for status in statuses
            ) and all(get_readiness(node) for node in DATA_PLANES)

        return wait_until(look, "all control processes are replicas, both data planes ready, both workers known")

    # --- the operator

    def order(self, method: str, path: str, body: bytes = b"", if_match: int | None = None) -> float:
        """Send an order to one control process after the other until it is acknowledged; return after how long."""
        headers = {} if if_match is None else {"If-Match": str(if_match), "Content-Type": "application/json"}
        begin = time.monotonic()
        for address in itertools.cycle(CONTROL_ADDRESSES):
            answer = follow(address, method, path, headers, body)
            if isinstance(answer, Answer) and answer.status == 200:
                return time.monotonic() - begin
            is_final = isinstance(answer, Answer) and 400 <= answer.status < 500 and answer.status not in (408, 429)
            expect(not is_final, f"{method} {path}: {answer}")
            expect(time.monotonic() - begin < DEADLINE_S, f"{method} {path} is not acknowledged: {answer}")
            time.sleep(POLL_S)
        raise AssertionError

    def put(self) -> float:
        """Put the first configuration."""
        return self.order("PUT", "/v1/config", json.dumps(self.configuration).encode(), if_match=0)

    def patch(self) -> float:
        """Change one route of the configuration."""
        base = self.configuration["generation"]
        kept, changed = self.configuration["routes"]
        changed = {**changed, "timeout_ms": 3000 + base}
        document = {"generation": base + 1, "upsert": {"routes": [changed]}}
        taken_s = self.order("PATCH", "/v1/config", json.dumps(document).encode(), if_match=base)
        self.configuration = {**self.configuration, "generation": base + 1, "routes": [kept, changed]}
        return taken_s

    def toggle_evacuation(self) -> float:
        """Evacuate a zone, or take that back."""
        is_evacuated = bool(self.evacuated_zones)
        taken_s = self.order("DELETE" if is_evacuated else "POST", f"/v1/evacuate/{EVACUATED_ZONE}")
        self.evacuated_zones = [] if is_evacuated else [EVACUATED_ZONE]
        return taken_s

    def read_back(self) -> None:
        """Check that every running control process has, and sends a reader to, just what was acknowledged."""
        for node in filter(self.is_running, CONTROLS):
            wait_until(partial(self._agrees, node), f"{node.name} tells what was acknowledged")

    def _agrees(self, node: Node) -> bool:
        answer = follow(node.address(CONTROL_PORT), "GET", "/v1/config", {}, b"")
        if not isinstance(answer, Answer) or answer.status != 200:
            return False
        read = json.loads(answer.body)
        expect(read == self.configuration, f"read at {node.name}: {read}, acknowledged: {self.configuration}")
        told = self.status(node) or {}
        wanted = (self.configuration["generation"], self.evacuated_zones)
        return (told.get("generation"), told.get("evacuated_zones")) == wanted


def get_readiness(node: Node) -> bool:
    """Whether a data-plane process takes requests."""
    answer = call(node.address(READY_PORT), "GET", "/v1/readyz", {}, b"")
    return isinstance(answer, Answer) and answer.status == 200


def follow(address: str, method: str, path: str, headers: Mapping[str, str], body: bytes) -> Answer | NoAnswer:
    """Call a control process, and the one that it names as the primary."""
    answer = call(address, method, path, headers, body)
    if isinstance(answer, Answer) and answer.status == 307:
        return call(urlsplit(answer.headers["location"]).netloc, method, path, headers, body)
    return answer


# --- clients ------------------------------------------------------------------------------------------------------


def send_request(
    front: str, request_id: str, *, streaming: bool, other_host: str = "lookup.example"
) -> Answer | NoAnswer:
    """Send a client's request to a data-plane process: a stream, or one to the other host."""
    headers = {"X-Request-Id": request_id, "X-Deadline": "10000", "Host": other_host}
    if streaming:
        headers |= {"Host": "chat.example", "X-Model": "m", "X-Tokens": "100,40", "X-Prefix-Hash": "1f:100"}
    return call(front, "POST", "/v1/question", headers, b"hello", timeout_s=REQUEST_TIMEOUT_S)


def is_complete(answer: Answer, *, streaming: bool) -> bool:
    """Whether a 200 has all that the worker sent."""
    return answer.body.count(b"\n\n") == STREAM_EVENTS if streaming else answer.body == b"hello"


def worker_of(answer: Answer) -> str:
    """Return the worker that answered, by the seal of its answer."""
    return answer.headers.get("x-response-seal", "").partition(".")[0]


FRONTS = tuple(node.address(FRONT_PORT) for node in DATA_PLANES)


def directory_addresses(client: int) -> tuple[str, ...]:
    """Return the addresses that the directory names, and after them those that it leaves out at present."""
    for node in CONTROLS:
        query = f"name=chat.example&region=r1&zone=z{1 + client % 2}"
        found = get_json(node.address(DIRECTORY_PORT), f"/v1/resolve?{query}")
        if found:
            named = tuple(found["addresses"])
            return named + tuple(front for front in FRONTS if front not in named)
    return FRONTS


@dataclass(slots=True)
class Load:
    """Clients that send requests, every second one with events, each until it is answered or failed.

    The others go to one host after the other; what is not idempotent is sent again only where nothing ran.
    """

    other_hosts: Sequence[str] = ("lookup.example",)
    statuses: Counter[int] = field(default_factory=Counter)
    moved: Counter[str] = field(default_factory=Counter)  # to the other address, by cause
    failed: Counter[str] = field(default_factory=Counter)  # by second (UTC) and outcome
    streams: int = 0
    _ended: threading.Event = field(default_factory=threading.Event)
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _threads: list[threading.Thread] = field(default_factory=list)

    def __enter__(self) -> Load:
        """Start the clients."""
        self._threads = [threading.Thread(target=self._run, args=(client,)) for client in range(CLIENTS)]
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Let each client finish its request."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _run(self, client: int) -> None:
        for number in itertools.count():
            if self._ended.wait(CLIENT_PAUSE_S):
                return
            turn = (client + number) % 2
            fronts = directory_addresses(client) if client % 2 else (FRONTS[turn], FRONTS[1 - turn])
            other_host = self.other_hosts[number // 2 % len(self.other_hosts)]
            self._request(fronts, f"load-{client}-{number}", other_host, streaming=number % 2 == 0)

    def _request(self, fronts: Sequence[str], request_id: str, other_host: str, *, streaming: bool) -> None:
        """Ask one address after the other as long as nothing has run there."""
        answer: Answer | NoAnswer = NoAnswer("no address")
        for position, front in enumerate(fronts):
            answer = send_request(front, request_id, streaming=streaming, other_host=other_host)
            cause = move_cause(answer)
            if cause is None or position == len(fronts) - 1:
                break
            with self._lock:
                self.moved[cause] += 1
        with self._lock:
            self._count(answer, streaming=streaming)

    def _count(self, answer: Answer | NoAnswer, *, streaming: bool) -> None:
        self.streams += streaming
        if isinstance(answer, Answer):
            self.statuses[answer.status] += 1
        if not isinstance(answer, Answer) or answer.status != 200 or not is_complete(answer, streaming=streaming):
            told = f"{answer.status} {answer.body!r}" if isinstance(answer, Answer) else answer.reason
            at = time.strftime("%H:%M:%S", time.gmtime())
            self.failed[f"{at} {told}"] += 1

    def figures(self) -> str:
        """Return what became of the requests."""
        statuses = ", ".join(f"{status}: {count}" for status, count in sorted(self.statuses.items()))
        moved = ", ".join(f"{cause}: {count}" for cause, count in sorted(self.moved.items())) or "none"
        failed = "".join(f"; {count} at {outcome}" for outcome, count in self.failed.items())
        return (
            f"{sum(self.statuses.values())} requests answered ({self.streams} streams) by status {{{statuses}}}, "
            f"sent on to the other address {{{moved}}}, failed {self.failed.total()}{failed}"
        )


def move_cause(answer: Answer | NoAnswer) -> str | None:
    """Why a client asks another address; None where it keeps this answer, or an answer broke off that had begun."""
    if isinstance(answer, Answer):
        return "503" if answer.status == 503 else None
    return None if answer.reason.startswith("broken off") else answer.reason
