"""The HTTP answers that the programs make themselves: status line, headers in their order, and body.

What is no part of a golden file: the time of `Date`, and ports that the kernel chose.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from dataclasses import astuple, replace
from functools import partial
from http import HTTPStatus
from operator import attrgetter
from typing import Any

import pytest

from canvasbeam.cluster.member import Member, member_item
from canvasbeam.cluster.worker_items import worker_item
from canvasbeam.control_plane.directory import Directory
from canvasbeam.control_plane.heartbeats import Heartbeat, parse_heartbeat
from canvasbeam.control_plane.home_regions import HomeRegions
from canvasbeam.control_plane.program import ControlPlane
from canvasbeam.control_plane.web import Endpoint, WebApp
from canvasbeam.data_plane.readiness import ReadinessApp
from canvasbeam.dispatch.events import WorkerState as ListedState
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.item_table.items import Item, ItemTable
from canvasbeam.replication.removal import Removal
from canvasbeam.runtime import http_connection
from canvasbeam.runtime.http_server import App, HttpLimits, HttpServer, Receive, Scope, Send
from canvasbeam.runtime.settings import Address, Bounds, ProcessSettings
from canvasbeam.scheduler import http_responses
from canvasbeam.scheduler.limits import Limits
from canvasbeam.service_discovery.worker_registry import Publication, Worker, WorkerState, WorkerVersion
from tests.admin.test_server import BAD_REQUESTS as BAD_MANAGEMENT_CALLS
from tests.control_plane.test_operator_api import CONFIGURATION, Caller
from tests.control_plane.test_registry import make_network
from tests.golden.answer_files import as_text, assert_matches
from tests.golden.raw_http import answers_of, exchange, recorded, request
from tests.scheduler.test_net_listener import FIXED as FIXED_SCHEDULER_ANSWERS
from tests.support.data_plane_harness import HOST, DataPlaneUnderTest, Script, ScriptedWorker, WorkerTurn, make_settings
from tests.support.loopback import Peer, Server, World, done, job
from tests.support.managed_scheduler import ManagedScheduler

Answers = dict[str, Any]

# The keys of a heartbeat, and where the code keeps their values: a renaming in the code updates this.
HEARTBEAT_KEYS = {
    "seq": "sequence", "service": "worker.service", "address": "worker.address", "zone": "worker.zone",
    "generation": "worker.software_generation", "slots": "worker.slots", "cold_left_ms": "worker.warm_up_left_ms",
    "remaining_ms": "worker.remaining_ms", "stage": "worker.stage",
}  # fmt: skip

CONTROL_SETTINGS = ProcessSettings(
    node="core-1", role="control-plane", node_class="core", serves=("control", "directory"), ip="10.1.0.38",
    zone="z1", region="r1", port_range=(7660, 7675), seeds=(Address("10.2.0.30", 8146),),
    zones={"z1": "r1", "z2": "r1", "z3": "r2"},
    listen={"control": Address("10.1.0.38", 8146), "directory": Address("10.1.0.38", 8148)},
)  # fmt: skip


def no_body() -> int:
    """The longest body of calls that need none."""
    return 4096


def json_request(method: str, path: str, document: Any, *headers: str) -> bytes:
    """A request whose body is a JSON document."""
    return request(method, path, json.dumps(document), *headers)


# ---- the operator's API ----


async def operator_api() -> Answers:
    """Orders and reads at the primary, at another node, and without a primary."""
    told: Answers = {}

    async def ask(caller: Caller, calls: Mapping[str, bytes]) -> None:
        told.update(await answers_of(caller.app, calls))

    primary = Caller()
    larger = CONFIGURATION | {"generation": 8}
    await ask(primary, {
        "read without a configuration": request("GET", "/v1/config"),
        "put": json_request("PUT", "/v1/config", CONFIGURATION, "If-Match: 0"),
        "put again": json_request("PUT", "/v1/config", CONFIGURATION, "If-Match: 0"),
        "read": request("GET", "/v1/config"),
        "HEAD": request("HEAD", "/v1/config"),
        "put without If-Match": json_request("PUT", "/v1/config", larger),
        "put with a text as If-Match": json_request("PUT", "/v1/config", larger, "If-Match: seven"),
        "put with a stale If-Match": json_request("PUT", "/v1/config", larger, "If-Match: 5"),
        "put of an old generation": json_request("PUT", "/v1/config", CONFIGURATION | {"x": 1}, "If-Match: 7"),
        "put of no JSON": request("PUT", "/v1/config", "{", "If-Match: 7"),
        "put of another schema": json_request("PUT", "/v1/config", {"generation": 9}, "If-Match: 7"),
        "put of a route to nowhere": json_request("PUT", "/v1/config", larger | {"routes": [
            {"name": "a", "host": "h", "prefix": "/", "service": "none"}]}, "If-Match: 7"),
        "patch": json_request(
            "PATCH", "/v1/config", {"generation": 8, "upsert": {"services": [{"name": "api"}]}}, 'If-Match: W/"7"'),
        "read after the patch": request("GET", "/v1/config"),
        "delete of the configuration": request("DELETE", "/v1/config"),
        "post to the configuration": request("POST", "/v1/config", "{}"),
        "below the configuration": request("GET", "/v1/config/more"),
        "no path of the API": request("GET", "/v1/nothing"),
        "the root": request("GET", "/"),
        "evacuate": request("POST", "/v1/evacuate/z2"),
        "evacuate a second zone": request("POST", "/v1/evacuate/z1"),
        "take back": request("DELETE", "/v1/evacuate/z2"),
        "evacuate an unknown zone": request("POST", "/v1/evacuate/z9"),
        "evacuate no zone": request("POST", "/v1/evacuate/"),
        "get an evacuation": request("GET", "/v1/evacuate/z2"),
        "evacuate with a large body": request("POST", "/v1/evacuate/z2", "x" * 2000),
        "remove": request("POST", "/v1/control/remove/10.1.0.39"),
        "get a removal": request("GET", "/v1/control/remove/10.1.0.39"),
        "status": request("GET", "/v1/status"),
        "post to the status": request("POST", "/v1/status"),
    })  # fmt: skip
    primary.service.removal = Removal.DONE
    await ask(primary, {"removed": request("POST", "/v1/control/remove/10.1.0.39")})
    primary.service.removal = Failure(ResultCode.MEMBER_UNKNOWN, "no control process is known at 10.9.9.9")
    await ask(primary, {"remove an unknown process": request("POST", "/v1/control/remove/10.9.9.9")})
    primary.service.removal = Failure(ResultCode.MEMBER_NEEDED, "it is needed")
    await ask(primary, {"remove a needed process": request("POST", "/v1/control/remove/10.1.0.39")})
    primary.service.gate = asyncio.Event()
    await ask(primary, {
        "a put that takes too long": json_request("PUT", "/v1/config", larger | {"generation": 10}, "If-Match: 8"),
        "a read that takes too long": request("GET", "/v1/config"),
    })  # fmt: skip
    primary.service.gate.set()
    for name, primary_ip in (("at another node", "10.2.0.30"), ("without a reachable primary", "10.3.0.30"),
                             ("without a primary", None)):  # fmt: skip
        other = Caller()
        other.service.is_primary = False
        other.service.primary_ip = primary_ip
        await ask(other, {
            f"read {name}": request("GET", "/v1/config"),
            f"put {name}": json_request("PUT", "/v1/config", CONFIGURATION, "If-Match: 0"),
            f"evacuate {name}": request("POST", "/v1/evacuate/z2"),
            f"status {name}": request("GET", "/v1/status"),
        })  # fmt: skip
    return told


async def new_control_plane() -> Answers:
    """All paths of a control process that knows of nothing yet, at both of its addresses."""
    plane = ControlPlane(CONTROL_SETTINGS)
    heartbeat = {"service": "llm", "address": "10.1.0.7:80", "zone": "z1", "state": "ready", "seq": 1}
    control = WebApp(plane._control_endpoints())
    directory = WebApp(plane._directory_endpoints())
    control_calls = {
        "status": request("GET", "/v1/status"),
        "put": json_request("PUT", "/v1/config", CONFIGURATION, "If-Match: 0"),
        "read": request("GET", "/v1/config"),
        "evacuate": request("POST", "/v1/evacuate/z1"),
        "remove": request("POST", "/v1/control/remove/10.1.0.39"),
        "heartbeat": json_request("PUT", "/v1/instances/i-1", heartbeat),
        "heartbeat with a body that is too large": request("PUT", "/v1/instances/i-1", " " * 70_000),
        "evacuation with a body that is too large": request("POST", "/v1/evacuate/z1", " " * 5000),
        "a path of the directory": request("GET", "/v1/resolve?name=a.example"),
        "another path": request("GET", "/v1/other"),
    }
    directory_calls = {
        "resolve": request("GET", "/v1/resolve?name=a.example&zone=z1"),
        "a path of the control address": request("GET", "/v1/status"),
    }
    told = {
        "control": await answers_of(control, control_calls),
        "directory": await answers_of(directory, directory_calls),
    }
    plane._node.table.merge(_members_and_workers())
    known = {"status": control_calls["status"], "read": control_calls["read"]}
    return told | {"control, with members and workers": await answers_of(control, known)}


def _members_and_workers() -> list[Item]:
    """A control process, two data-plane processes, and workers of all states."""
    members = [
        Member("core-2", "core", "control-plane", "10.2.0.30", "z2", "r1", "", True, 1, True),
        Member("edge-1", "edge", "data-plane", "10.1.0.1", "z1", "r1", "10.1.0.1:8144", True, 1, False),
        Member("edge-2", "edge", "data-plane", "10.3.0.1", "z3", "r2", "10.3.0.1:8144", False, 1, False),
    ]
    items = [member_item(member) for member in members]
    states = (WorkerState.READY, WorkerState.READY, WorkerState.DRAINING, WorkerState.MISSING)
    for number, state in enumerate(states, 1):
        worker = Worker("llm", f"10.1.0.7:{number}", "z1", state=state)
        items.append(worker_item(Publication(f"i-{number}", WorkerVersion(1), worker)))
    return items


# ---- workers and clients at the control plane ----


def registry() -> Answers:
    """Heartbeats and their refusals, at a node with and without contact."""
    network = make_network("z1", "z2", "z3")
    node = network.nodes[0]
    told: Answers = {}

    def app() -> WebApp:
        too_large = ResultCode.REGISTRATION_TOO_LARGE
        return WebApp(
            [Endpoint("/v1/instances/", node.service.instances, node.service.max_body_bytes, too_large=too_large)]
        )

    def beat(worker: str, sequence: Any, **fields: Any) -> bytes:
        document = {"service": "llm", "address": "10.1.0.7:80", "zone": "z1", "state": "ready", "seq": sequence}
        return json_request("PUT", f"/v1/instances/{worker}", document | fields)

    calls = {
        "heartbeat": beat("i-1", 1),
        "heartbeat with all fields": beat("i-1", 2, generation="g7", slots=4, cold_left_ms=1.5, remaining_ms=9,
            stage="warm", models=[{"name": "m", "generation": 3, "adapters": ["a", {"name": "b"}]}]),
        "heartbeat of another zone": beat("i-2", 1, zone="z3"),
        "heartbeat of an unknown zone": beat("i-3", 1, zone="z9"),
        "an older heartbeat": beat("i-1", 1),
        "draining": beat("i-1", 3, state="draining"),
        "goodbye": request("DELETE", "/v1/instances/i-1"),
        "goodbye of an unknown worker": request("DELETE", "/v1/instances/i-9"),
        "no JSON": request("PUT", "/v1/instances/i-1", "{"),
        "no object": request("PUT", "/v1/instances/i-1", "[]"),
        "no service": beat("i-1", 4, service=""),
        "no address": beat("i-1", 4, address="10.1.0.7"),
        "no zone": beat("i-1", 4, zone=None),
        "no state": beat("i-1", 4, state="asleep"),
        "a negative sequence": beat("i-1", -1),
        "a sequence that is a text": beat("i-1", "1"),
        "slots that are none": beat("i-1", 4, slots=1.5),
        "milliseconds that are none": beat("i-1", 4, remaining_ms="soon"),
        "models that are no list": beat("i-1", 4, models={}),
        "adapters that are no list": beat("i-1", 4, models=[{"name": "m", "adapters": "a"}]),
        "no id": beat("", 4),
        "an id that is too long": beat("i" * 300, 4),
        "get": request("GET", "/v1/instances/i-1"),
    }  # fmt: skip
    told.update(asyncio.run(answers_of(app(), calls)))
    network.cut_off.add("10.1.0.1")
    cut_off = {"heartbeat at a node that is cut off": beat("i-4", 1),
               "goodbye at a node that is cut off": request("DELETE", "/v1/instances/i-4")}  # fmt: skip
    told.update(asyncio.run(answers_of(app(), cut_off)))
    return told


async def directory() -> Answers:
    """Where clients are sent, and what they are answered when nobody is known."""

    def member(front: str, zone: str, region: str, ready: bool = True) -> Member:
        return Member(f"n-{front}", "edge", "edge", "10.0.0.1", zone, region, front, ready, 1, False)

    members = [member("10.1.0.1:80", "z1", "r1"), member("10.1.0.2:80", "z1", "r1", ready=False),
               member("10.1.0.3:80", "z2", "r1"), member("10.2.0.1:80", "z3", "r2")]  # fmt: skip

    def app(known: list[Member], is_heard: bool = True, settings: ProcessSettings = CONTROL_SETTINGS) -> WebApp:
        resolver = Directory(settings, lambda: known, HomeRegions(ItemTable()), lambda: is_heard)
        return WebApp([Endpoint("/v1/resolve", resolver.resolve, no_body)])

    near = {"near": request("GET", "/v1/resolve?name=a.example&zone=z1&region=r1")}
    told = await answers_of(app(members), near | {
        "by its zone alone": request("GET", "/v1/resolve?name=a.example&zone=z3"),
        "from elsewhere": request("GET", "/v1/resolve?name=a.example"),
        "without a query": request("GET", "/v1/resolve"),
        "POST": request("POST", "/v1/resolve"),
        "HEAD": request("HEAD", "/v1/resolve"),
        "a longer path": request("GET", "/v1/resolver"),
        "another path": request("GET", "/v1/status"),
    })  # fmt: skip
    short = replace(CONTROL_SETTINGS, bounds=Bounds(ttl_max_s=0.5))
    return told | {
        "no node": (await answers_of(app([]), near))["near"],
        "not heard": (await answers_of(app(members, is_heard=False), near))["near"],
        "a short time": (await answers_of(app(members, settings=short), near))["near"],
    }


# ---- the HTTP server below all of these ----


async def http_server() -> Answers:
    """What the server answers by itself: to malformed requests, large heads, and for an app that fails."""

    async def answer_ok(scope: Scope, receive: Receive, send: Send) -> None:
        while (await receive()).get("more_body"):
            pass
        await send({"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"2")]})
        await send({"type": "http.response.body", "body": b"ok"})

    async def fail(scope: Scope, receive: Receive, send: Send) -> None:
        raise RuntimeError("a fault of the app")

    calls = {
        "plain": request("GET", "/"),
        "HTTP/1.0": b"GET / HTTP/1.0\r\nHost: a\r\n\r\n",
        "close asked for": request("GET", "/", "", "Connection: close"),
        "upgrade asked for": request("GET", "/", "", "Connection: Upgrade", "Upgrade: h2c", "HTTP2-Settings: AAMA"),
        "no HTTP": b"\x00\x01\r\n\r\n",
        "no target": b"GET\r\n\r\n",
        "no host": b"GET / HTTP/1.1\r\n\r\n",
        "two hosts": b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "a large head": b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 400,
    }
    told = await answers_of(answer_ok, calls, HttpLimits(max_header_bytes=200))
    told["an app that fails"] = (await answers_of(fail, {"plain": calls["plain"]}))["plain"]
    server = HttpServer(answer_ok, Address("127.0.0.1", 0))
    assert await server.start() is None
    server.announce_close()
    told["a server that ends"] = await exchange(server.port, calls["plain"])
    await server.close()
    return told


# ---- the data plane ----


def client_request(path: str, *headers: str, method: str = "POST", body: str = "") -> bytes:
    """A client's request with what each must have, unless the header is given."""
    names = {header.partition(":")[0].lower() for header in headers}
    lines = [f"{method} {path} HTTP/1.1", *headers]
    for line in (f"Host: {HOST}", "X-Request-Id: r1", f"Content-Length: {len(body)}", "X-Deadline: 4000"):
        if line.partition(":")[0].lower() not in names:
            lines.append(line)
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


async def reject(turn: WorkerTurn) -> None:
    """The worker has no room."""
    await turn.reject()


async def break_off(turn: WorkerTurn) -> None:
    """The worker fails with the request in hand."""
    turn.reset()


async def never_answer(turn: WorkerTurn) -> None:
    """The worker is at work until its caller gives up."""
    await turn.until_closed()


async def data_plane() -> Answers:
    """The answers that no worker made, and one that a worker made."""
    worker = ScriptedWorker("w1")
    told = {
        "rejected by the worker": await _with_a_worker(reject, client_request("/unsafe/a")),
        "broken off by the worker": await _with_a_worker(break_off, client_request("/unsafe/a")),
        "no answer in time": await _with_a_worker(never_answer, client_request("/unsafe/a", "X-Deadline: 1500")),
    }
    async with DataPlaneUnderTest([worker]) as plane:

        async def ask(name: str, data: bytes) -> None:
            told[name] = await exchange(plane.server.port, data)

        await ask("served by a worker", client_request("/safe/a"))
        await ask("no route by its path", client_request("/nowhere/a"))
        await ask("no route by its host", client_request("/safe/a", "Host: b.example"))
        await ask("a large body by its length", client_request("/safe/a", "Content-Length: 1001"))
        await ask("a large body in chunks", client_request(
            "/safe/a", "Transfer-Encoding: chunked", "Content-Length: 0").replace(b"Content-Length: 0\r\n", b"")
            + b"400\r\n" + b"x" * 1024 + b"\r\n0\r\n\r\n")  # fmt: skip
        await ask("a body that does not come", client_request("/safe/a", "Content-Length: 5", "X-Deadline: 60"))
        await ask("no id", client_request("/safe/a").replace(b"X-Request-Id: r1\r\n", b""))
        await ask("two ids", client_request("/safe/a", "X-Request-Id: r1", "X-Request-Id: r2"))
        await ask("an empty id", client_request("/safe/a", "X-Request-Id:"))
        await ask("a long id", client_request("/safe/a", "X-Request-Id: " + "r" * 257))
        await ask("a deadline that is none", client_request("/safe/a", "X-Deadline: soon"))
        await ask("a target that is no path", client_request("*", method="OPTIONS"))
        plane.is_behind = True
        await ask("no route at a node that may be behind", client_request("/nowhere/a"))
        await ask("a large body at a node that may be behind", client_request("/safe/a", "Content-Length: 1001"))
        plane.is_behind = False
        plane.configure(max_header_bytes=200)
        await ask("a large head", client_request("/safe/a", "X-Long: " + "x" * 300))
        plane.configure()
        allowed = plane.budget._memory_bytes
        plane.budget._memory_bytes = http_connection.CONNECTION_BYTES + http_connection.REQUEST_BYTES
        await ask("no memory", client_request("/safe/a", body="hello"))
        plane.budget._memory_bytes = allowed
        plane.shutdown.deadline_ns = lambda request: None  # type: ignore[method-assign]
        await ask("a node that ends", client_request("/safe/a"))
        plane.view.current = None
        plane.view._adopted.clear()
        await ask("no configuration", client_request("/safe/a"))
    async with DataPlaneUnderTest([], settings=make_settings()) as empty:
        told["no worker"] = await exchange(empty.server.port, client_request("/safe/a", "X-Deadline: 100"))
    return told


async def _with_a_worker(script: Script, data: bytes) -> Answers:
    """The answer of a data plane whose only worker follows the script; no earlier request tells of that worker."""
    async with DataPlaneUnderTest([ScriptedWorker("w1", default=script)]) as plane:
        return await exchange(plane.server.port, data)


async def readiness() -> Answers:
    """The address at which the platform asks whether the process is ready."""
    calls = {
        "ready": request("GET", "/v1/readyz"),
        "HEAD": request("HEAD", "/v1/readyz"),
        "POST": request("POST", "/v1/readyz"),
        "another path": request("GET", "/"),
    }
    apps: dict[str, App] = {"ready": ReadinessApp(lambda: True), "not ready": ReadinessApp(lambda: False)}
    return {name: await answers_of(app, calls) for name, app in apps.items()}


# ---- the scheduler in service and its management address ----


def scheduler() -> Answers:
    """The scheduler's fixed answers at the clients' address."""
    told: Answers = {}
    for name, (data, _) in FIXED_SCHEDULER_ANSWERS.items():
        world = World(Server())
        told[name] = recorded(world.answer(world.client(data)).encode("latin-1"))
    calls = {
        "live": b"GET /health/live HTTP/1.1\r\n\r\n",
        "live by HEAD": b"HEAD /health/live HTTP/1.1\r\n\r\n",
        "live by POST": b"POST /health/live HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        "ready and then close": b"GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n",
        "ready by HTTP/1.0": b"GET /health/ready HTTP/1.0\r\n\r\n",
        "no id": b"POST /api HTTP/1.1\r\nX-Call-Class: look\r\nX-Budget: 4\r\nContent-Length: 0\r\n\r\n",
        "an upgrade": b"GET /health/live HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
    }
    for name, data in calls.items():
        world = World(Server())
        answer = world.client(data)
        world.until(partial(_has_heads, answer, 2 if name == "an upgrade" else 1))
        told[name] = recorded(answer.got)
    return told | _scheduler_at_work()


def _has_heads(client: Peer, count: int) -> bool:
    return client.look().count(b"\r\n\r\n") >= count


def _scheduler_at_work() -> Answers:
    """Answers that depend on targets, on other requests, and on a planned end."""
    told: Answers = {}
    world = World(Server())
    client = world.client(job())
    world.asked().say(done("result"))
    told["served"] = recorded(world.answer(client).encode())
    unusable = world.client(job(call_id="c2"))
    world.asked(0, 2).say(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
    told["unusable by the target"] = recorded(world.answer(unusable).encode())
    held = world.client(job(call_id="c3"))
    world.asked(0, 3)
    told["an id that is open"] = recorded(world.answer(world.client(job(call_id="c3"))).encode())
    held.close()
    world = World(Server())
    failed = world.client(job("pay"))
    world.asked().close()
    told["failed at the target"] = recorded(world.answer(failed).encode())
    world = World(Server())
    late = world.client(job("pay", budget="0.3"))
    world.asked()
    told["out of time"] = recorded(world.answer(late).encode())
    limits = Limits(client_connections=8, worker_connections=8, open_requests=1)
    world = World(Server(), limits=limits)
    first = world.client(job(call_id="c1"))
    world.asked()
    told["too many requests"] = recorded(world.answer(world.client(job(call_id="c2"))).encode())
    first.close()
    world = World(Server())
    world.list_targets(ListedState.DRAINING)
    told["not ready"] = recorded(world.answer(world.client(b"GET /health/ready HTTP/1.1\r\n\r\n")).encode())
    world = World(Server())
    unfinished = world.client(job()[:-2])
    world.until(lambda: world.listener.connections)
    world.skip(60)
    told["a request that is not whole in time"] = recorded(world.answer(unfinished).encode())
    return told


def management() -> Answers:
    """The calls of the management address."""
    told: Answers = {}
    for name, (data, _) in BAD_MANAGEMENT_CALLS.items():
        told[name] = recorded(ManagedScheduler(Server()).call(data).encode())
    world = ManagedScheduler(Server(), Server())
    calls = (
        "GET /healthcheck", "HEAD /healthcheck", "POST /healthcheck", "GET /stats", "DELETE /stats", "GET /peers",
        "POST /workers/s-0/maint", "POST /workers/s-0/maint", "GET /stats", "POST /workers/s-1/maint",
        "GET /healthcheck", "POST /workers/s-0/ready", "GET /healthcheck", "GET /workers/s-0/maint",
        "POST /workers/nobody/maint", "POST /workers/nobody/ready", "POST /workers/s-0/stop", "POST /workers//maint",
        "POST /workers/a%20b/maint", "GET /healthcheck?x=1",
    )  # fmt: skip
    for number, call in enumerate(calls, 1):
        told[f"{number}. {call}"] = recorded(world.call(f"{call} HTTP/1.1\r\n\r\n".encode()).encode())
    late = replace(Limits(client_connections=8, worker_connections=8), mgmt_call=Limits().mgmt_call / 100)
    told["a call that is not whole in time"] = recorded(
        ManagedScheduler(Server(), limits=late).call(b"GET /heal").encode()
    )
    return told


FILES: Mapping[str, Callable[[], Answers]] = {
    "http-operator-api.json": lambda: asyncio.run(operator_api()),
    "http-new-control-plane.json": lambda: asyncio.run(new_control_plane()),
    "http-registry.json": registry,
    "http-directory.json": lambda: asyncio.run(directory()),
    "http-server.json": lambda: asyncio.run(http_server()),
    "http-data-plane.json": lambda: asyncio.run(data_plane()),
    "http-readiness.json": lambda: asyncio.run(readiness()),
    "http-scheduler.json": scheduler,
    "http-management.json": management,
}


def _text_of(file: str) -> str:
    return as_text(FILES[file]())


TEXTS: Mapping[str, Callable[[], str]] = {file: partial(_text_of, file) for file in FILES}


def test_each_key_of_a_heartbeat_is_read() -> None:
    document = {
        "seq": 5, "service": "llm", "address": "10.1.0.7:80", "zone": "z1", "generation": "g7", "slots": 4,
        "cold_left_ms": 2, "remaining_ms": 9, "stage": "warm",
    }  # fmt: skip
    models = [{"name": "m", "generation": 3, "adapters": ["a", {"name": "b"}]}]
    for word, state in (("ready", WorkerState.READY), ("draining", WorkerState.DRAINING)):
        heartbeat = parse_heartbeat(json.dumps(document | {"state": word, "models": models}).encode())
        assert isinstance(heartbeat, Heartbeat)
        assert {key: attrgetter(place)(heartbeat) for key, place in HEARTBEAT_KEYS.items()} == document
        assert heartbeat.worker.state is state
        assert [astuple(model) for model in heartbeat.worker.models] == [("m", 3, ("a", "b"))]


@pytest.mark.parametrize("file", FILES)
def test_the_answers_are_as_before(file: str) -> None:
    assert_matches(file, FILES[file]())


def test_no_answer_of_the_scheduler_carries_more_than_it_says() -> None:
    whole = http_responses.text_response(HTTPStatus.OK, "ok", True, "X-More: 1\r\n")
    assert whole == (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-More: 1\r\n"
        b"Content-Length: 3\r\nConnection: close\r\n\r\nok\n"
    )
    assert http_responses.head_only(whole) + b"ok\n" == whole
