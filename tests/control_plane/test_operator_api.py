"""The operator's HTTP API over ASGI, with a fake of the replicated control state."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import pytest

from canvasbeam.control_plane import operator_api, web
from canvasbeam.control_plane.changes import apply
from canvasbeam.control_plane.operator_api import (
    CONFIGURATION_PATH,
    EVACUATION_PREFIX,
    REMOVAL_PREFIX,
    STATUS_PATH,
    OperatorApi,
)
from canvasbeam.control_plane.web import Endpoint, WebApp
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.control_state import Change, Committed, ControlState
from canvasbeam.replication.removal import Removal
from canvasbeam.runtime.http_server import CONNECTION_MEMORY, Message
from canvasbeam.runtime.process_budget import MemoryReservation, ProcessBudget
from canvasbeam.runtime.settings import Address, ProcessSettings

SETTINGS = ProcessSettings(
    node="c1", role="core", node_class="core", serves=("control",), ip="10.1.0.38", zone="z1", region="r1",
    port_range=(7660, 7675), seeds=(), zones={"z1": "r1", "z2": "r1"}, listen={"control": Address("10.1.0.38", 8146)},
)  # fmt: skip
CONFIGURATION = {"generation": 7, "routes": [], "services": [{"name": "llm"}], "limits": {}}


class FakeService:
    """Fake of the replicated control state.

    A change or read waits for `gate` if set, and then returns `failure` if set; otherwise a change is applied at once.
    """

    def __init__(self) -> None:
        self.state = ControlState()
        self.is_primary = True
        self.primary_ip: str | None = SETTINGS.ip
        self.failure: Failure | None = None
        self.gate: asyncio.Event | None = None
        self.submitted: list[Change] = []
        self.removal: Removal | Failure = Removal.IN_PROGRESS
        self.removed: list[str] = []

    async def start(self) -> None:
        pass

    async def leave(self, within_s: float) -> None:
        pass

    def remove(self, ip: str) -> Removal | Failure:
        self.removed.append(ip)
        return self.removal

    async def stop(self) -> None:
        pass

    async def submit(self, change: Change) -> Committed | Failure:
        self.submitted.append(change)
        if self.gate is not None:
            await self.gate.wait()
        if self.failure is not None:
            return self.failure
        result = apply(self.state, change)
        if isinstance(result, Failure):
            return result
        self.state = result
        return Committed(result)

    async def read(self) -> ControlState | Failure:
        if self.gate is not None:
            await self.gate.wait()
        return self.failure or self.state


class Response:
    """The HTTP response that the ASGI app sent."""

    def __init__(self, messages: list[Message]) -> None:
        start = messages[0]
        self.status: int = start["status"]
        self.headers = {name.decode(): value.decode() for name, value in start["headers"]}
        self.body: bytes = b"".join(message.get("body", b"") for message in messages[1:])

    @property
    def json(self) -> Any:
        return json.loads(self.body)


class Caller:
    """Client that calls the API with the ASGI events that hypercorn would send."""

    def __init__(self) -> None:
        self.service = FakeService()
        self.budget = ProcessBudget.unlimited()
        self.reachable: set[str] = {"10.2.0.30"}
        self.api = OperatorApi(SETTINGS, self.service, self.reachable.__contains__, lambda: {"node": "c1"})
        small = lambda: 1000  # noqa: E731
        self.app = WebApp(
            [
                Endpoint(
                    CONFIGURATION_PATH,
                    self.api.configuration,
                    self.api.max_body_bytes,
                    document_bytes=web.json_bytes,
                ),
                Endpoint(EVACUATION_PREFIX, self.api.evacuation, small),
                Endpoint(REMOVAL_PREFIX, self.api.removal, small),
                Endpoint(STATUS_PATH, self.api.status, small),
            ]
        )

    async def call(
        self, method: str, path: str, body: bytes = b"", headers: Mapping[str, str] | None = None
    ) -> Response:
        messages: list[Message] = []
        chunks = [body[start : start + 65536] for start in range(0, len(body), 65536)] or [b""]
        events: list[Message] = [{"type": "http.request", "body": chunk, "more_body": True} for chunk in chunks]
        events.append({"type": "http.request", "body": b"", "more_body": False})

        async def receive() -> Message:
            return events.pop(0)

        async def send(message: Message) -> None:
            messages.append(message)

        scope = {
            "type": "http", "method": method, "path": path, "query_string": b"",
            "state": {CONNECTION_MEMORY: MemoryReservation(self.budget)},
            "headers": [(name.encode(), value.encode()) for name, value in (headers or {}).items()],
        }  # fmt: skip
        await self.app(scope, receive, send)
        return Response(messages)

    async def put(self, document: Any, if_match: int = 0) -> Response:
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        return await self.call("PUT", CONFIGURATION_PATH, body, {"if-match": str(if_match)})


def run(test: Callable[[Caller], Awaitable[None]]) -> None:
    async def body() -> None:
        await test(Caller())

    asyncio.run(body())


def test_configuration_is_read_back_as_put() -> None:
    async def body(caller: Caller) -> None:
        assert (await caller.put(CONFIGURATION)).status == 200
        answer = await caller.call("GET", CONFIGURATION_PATH)
        assert answer.status == 200
        assert answer.json == CONFIGURATION
        assert answer.headers["content-type"] == "application/json"
        assert int(answer.headers["content-length"]) == len(answer.body)

    run(body)


def test_repeated_change_is_acknowledged_again() -> None:
    async def body(caller: Caller) -> None:
        for _ in range(2):
            assert (await caller.put(CONFIGURATION)).status == 200
        assert caller.service.state.index == 1

    run(body)


def test_rejection_contains_result_code() -> None:
    async def body(caller: Caller) -> None:
        await caller.put(CONFIGURATION)
        stale = await caller.put(CONFIGURATION | {"generation": 9}, if_match=5)
        assert stale.status == 412
        assert stale.json["error"]["code"] == int(ResultCode.CONFIG_STALE_MATCH)
        assert stale.json["error"]["name"] == "CONFIG_STALE_MATCH"
        assert (await caller.put(b"{", if_match=7)).status == 400
        assert (await caller.put(CONFIGURATION | {"generation": 7, "limits": {"x": 1}}, if_match=7)).status == 400

    run(body)


def test_patch_changes_named_items() -> None:
    async def body(caller: Caller) -> None:
        await caller.put(CONFIGURATION)
        patch = json.dumps({"generation": 8, "upsert": {"services": [{"name": "api"}]}}).encode()
        assert (await caller.call("PATCH", CONFIGURATION_PATH, patch, {"if-match": '"7"'})).status == 200
        assert [service["name"] for service in (await caller.call("GET", CONFIGURATION_PATH)).json["services"]] == [
            "llm",
            "api",
        ]

    run(body)


@pytest.mark.parametrize("if_match", [None, "", "x", "-1", "1.5", "9" * 30, "²"])
def test_change_without_valid_if_match_is_rejected(if_match: str | None) -> None:
    async def body(caller: Caller) -> None:
        headers = {} if if_match is None else {"if-match": if_match.encode().decode("latin-1")}
        answer = await caller.call("PUT", CONFIGURATION_PATH, json.dumps(CONFIGURATION).encode(), headers)
        assert answer.status == 400
        assert caller.service.submitted == []

    run(body)


def test_change_on_largest_generation_is_accepted() -> None:
    async def body(caller: Caller) -> None:
        largest = 2**63 - 2
        assert (await caller.put(CONFIGURATION | {"generation": largest})).status == 200
        assert (await caller.put(CONFIGURATION | {"generation": largest + 1}, largest)).status == 200

    run(body)


def test_body_over_the_limit_is_rejected() -> None:
    async def body(caller: Caller) -> None:
        assert (await caller.put(b" " * (caller.api.max_body_bytes() + 1))).status == 413
        assert caller.service.submitted == []

    run(body)


def test_total_size_of_bodies_in_memory_is_bounded() -> None:
    async def body(caller: Caller) -> None:
        caller.budget = ProcessBudget(web.REQUEST_BYTES + web.BODY_COPIES * 15_000, 10)
        assert (await caller.put(b" " * 15_001)).status == 503
        assert (await caller.put(CONFIGURATION)).status == 200
        caller.service.gate = asyncio.Event()
        waiting = [
            asyncio.create_task(caller.put(CONFIGURATION | {"x": "y" * 600, "generation": 9 + n}, 7)) for n in range(2)
        ]
        await asyncio.sleep(0)
        caller.service.gate.set()
        assert sorted([(await task).status for task in waiting]) == [200, 503]
        caller.service.gate = None
        assert (await caller.put(CONFIGURATION | {"x": "z" * 600, "generation": 20}, 9)).status == 200

    run(body)


def test_document_of_many_small_values_needs_memory_for_each() -> None:
    """Guards against a document that is small as text and many times as large once it is parsed."""

    async def body(caller: Caller) -> None:
        caller.budget = ProcessBudget(web.REQUEST_BYTES + 100_000, 10)
        assert (await caller.put(CONFIGURATION | {"x": "y" * 20_000})).status == 200
        assert (await caller.put(b"[" + b"[]," * 5_000 + b"[]]")).status == 503
        assert caller.budget.reserved_bytes == 0

    run(body)


def test_change_larger_than_client_body_limit_is_accepted() -> None:
    async def body(caller: Caller) -> None:
        await caller.put(CONFIGURATION | {"limits": {"max_body_bytes": 8 << 20}})
        assert caller.api.max_body_bytes() > 8 << 20
        assert (await caller.put(CONFIGURATION | {"generation": 8, "x": "y" * (8 << 20)}, 7)).status == 200

    run(body)


def test_accepted_change_is_acknowledged_again_after_limits_are_lowered() -> None:
    """Guards against answering 413 to the retry of an accepted change whose body exceeds the lowered limit."""

    async def body(caller: Caller) -> None:
        await caller.put(CONFIGURATION | {"limits": {"max_body_bytes": 8 << 20}})
        large = CONFIGURATION | {"generation": 8, "x": "y" * (5 << 20), "limits": {"max_body_bytes": 8 << 20}}
        assert (await caller.put(large, 7)).status == 200
        assert (await caller.put(CONFIGURATION | {"generation": 9}, 8)).status == 200
        assert (await caller.put(large, 7)).status == 200
        assert caller.service.state.generation == 9

    run(body)


OPEN_OUTCOMES = [
    ResultCode.NO_PRIMARY, ResultCode.PRIMARY_LOST, ResultCode.REPLICATION_TIMEOUT, ResultCode.OVERLOADED,
    ResultCode.DISK_FULL, ResultCode.DISK_FAILED, ResultCode.DISK_SLOW, ResultCode.CONFIG_UNKNOWN_MATCH,
    ResultCode.CONFIG_FORGOTTEN,
]  # fmt: skip


@pytest.mark.parametrize("code", OPEN_OUTCOMES)
def test_open_outcome_is_answered_with_503(code: ResultCode) -> None:
    async def body(caller: Caller) -> None:
        caller.service.failure = Failure(code, "open")
        for answer in (
            await caller.put(CONFIGURATION),
            await caller.call("GET", CONFIGURATION_PATH),
            await caller.call("POST", "/v1/evacuate/z1"),
        ):
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0

    run(body)


def test_other_nodes_redirect_the_caller_to_the_primary() -> None:
    async def body(caller: Caller) -> None:
        caller.service.is_primary = False
        caller.service.primary_ip = "10.2.0.30"
        for answer, path in (
            (await caller.put(CONFIGURATION), "/v1/config"),
            (await caller.call("GET", CONFIGURATION_PATH), "/v1/config"),
            (await caller.call("DELETE", "/v1/evacuate/z1"), "/v1/evacuate/z1"),
        ):
            assert answer.status == 307
            assert answer.headers["location"] == f"http://10.2.0.30:8146{path}"
        assert caller.service.submitted == []

    run(body)


def test_former_primary_redirects_the_caller() -> None:
    async def body(caller: Caller) -> None:
        caller.service.failure = Failure(ResultCode.NOT_PRIMARY, "another took over")
        caller.service.primary_ip = "10.2.0.30"
        assert (await caller.put(CONFIGURATION)).status == 307
        caller.service.primary_ip = SETTINGS.ip
        assert (await caller.put(CONFIGURATION)).status == 503

    run(body)


@pytest.mark.parametrize("primary_ip", [None, SETTINGS.ip, "10.3.0.24"])
def test_caller_is_not_redirected_to_unknown_or_unreachable_primary(primary_ip: str | None) -> None:
    async def body(caller: Caller) -> None:
        caller.service.is_primary = False
        caller.service.primary_ip = primary_ip
        assert (await caller.put(CONFIGURATION)).status == 503

    run(body)


def test_slow_change_gets_503_and_its_retry_joins_the_pending_change(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operator_api, "ANSWER_TIMEOUT_S", 0.0)

    async def body(caller: Caller) -> None:
        caller.service.gate = asyncio.Event()
        assert (await caller.put(CONFIGURATION)).status == 503
        assert (await caller.put(CONFIGURATION)).status == 503
        assert len(caller.service.submitted) == 1
        monkeypatch.setattr(operator_api, "ANSWER_TIMEOUT_S", 5.0)
        joined = asyncio.create_task(caller.put(CONFIGURATION))
        await asyncio.sleep(0)
        caller.service.gate.set()
        assert (await joined).status == 200
        assert len(caller.service.submitted) == 1
        assert caller.service.state.generation == 7

    run(body)


def test_evacuation_does_not_join_pending_evacuation(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against answering an evacuation request with the outcome of an earlier, still pending request.

    Another primary may have reverted the earlier evacuation after its replication, so each evacuation request needs a
    confirmation of its own.
    """
    monkeypatch.setattr(operator_api, "ANSWER_TIMEOUT_S", 0.0)

    async def body(caller: Caller) -> None:
        caller.service.gate = asyncio.Event()
        for _ in range(2):
            assert (await caller.call("POST", "/v1/evacuate/z1")).status == 503
        assert len(caller.service.submitted) == 2
        caller.service.gate.set()

    run(body)


def test_pending_evacuations_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operator_api, "ANSWER_TIMEOUT_S", 0.0)
    monkeypatch.setattr(operator_api, "MAX_CHANGES_IN_PROGRESS", 8)

    async def body(caller: Caller) -> None:
        caller.service.gate = asyncio.Event()
        for _ in range(10):
            await caller.call("POST", "/v1/evacuate/z1")
        assert len(caller.service.submitted) == 8
        caller.service.gate.set()

    run(body)


def test_slow_read_is_answered_with_503(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operator_api, "ANSWER_TIMEOUT_S", 0.0)

    async def body(caller: Caller) -> None:
        caller.service.gate = asyncio.Event()
        assert (await caller.call("GET", CONFIGURATION_PATH)).status == 503

    run(body)


def test_pending_changes_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operator_api, "ANSWER_TIMEOUT_S", 0.0)
    monkeypatch.setattr(operator_api, "MAX_CHANGES_IN_PROGRESS", 8)

    async def body(caller: Caller) -> None:
        caller.service.gate = asyncio.Event()
        for generation in range(1, 10):
            await caller.put(CONFIGURATION | {"generation": generation})
        assert len(caller.service.submitted) == 8
        caller.service.gate.set()

    run(body)


def test_only_one_of_concurrent_changes_on_one_generation_wins() -> None:
    async def body(caller: Caller) -> None:
        await caller.put(CONFIGURATION)
        answers = await asyncio.gather(
            *(caller.put(CONFIGURATION | {"generation": 9, "limits": {"x": x}}, if_match=7) for x in range(4))
        )
        assert sorted(answer.status for answer in answers) == [200, 412, 412, 412]

    run(body)


def test_evacuation_starts_and_ends() -> None:
    async def body(caller: Caller) -> None:
        for _ in range(2):
            assert (await caller.call("POST", "/v1/evacuate/z2")).status == 200
        assert list(caller.service.state.evacuated_zones) == ["z2"]
        assert (await caller.call("DELETE", "/v1/evacuate/z2")).status == 200
        assert not caller.service.state.evacuated_zones

    run(body)


@pytest.mark.parametrize("zone", ["", "z9", "z1/", "../config"])
def test_unknown_zone_is_rejected(zone: str) -> None:
    async def body(caller: Caller) -> None:
        assert (await caller.call("POST", f"/v1/evacuate/{zone}")).status == 404
        assert caller.service.submitted == []

    run(body)


def test_read_before_first_configuration_is_answered_with_404() -> None:
    async def body(caller: Caller) -> None:
        assert (await caller.call("GET", CONFIGURATION_PATH)).status == 404

    run(body)


def test_other_methods_and_paths_are_refused() -> None:
    async def body(caller: Caller) -> None:
        assert (await caller.call("POST", CONFIGURATION_PATH)).status == 405
        assert (await caller.call("GET", "/v1/evacuate/z1")).status == 405
        assert (await caller.call("PUT", STATUS_PATH)).status == 405
        assert (await caller.call("GET", "/v1/configuration")).status == 404
        assert (await caller.call("GET", "/other")).status == 404
        assert (await caller.call("GET", STATUS_PATH)).json == {"node": "c1"}

    run(body)


def test_request_cut_off_by_disconnect_is_not_answered() -> None:
    async def body(caller: Caller) -> None:
        sent: list[Message] = []
        events: list[Message] = [
            {"type": "http.request", "body": b"{", "more_body": True},
            {"type": "http.disconnect"},
        ]

        async def receive() -> Message:
            return events.pop(0)

        async def send(message: Message) -> None:
            sent.append(message)

        scope = {"type": "http", "method": "PUT", "path": CONFIGURATION_PATH, "query_string": b"", "headers": []}
        await caller.app(scope, receive, send)
        assert sent == []
        assert caller.service.submitted == []

    run(body)


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        (Removal.IN_PROGRESS, 202),
        (Removal.DONE, 200),
        (Failure(ResultCode.MEMBER_UNKNOWN, "nobody there"), 404),
        (Failure(ResultCode.MEMBER_NEEDED, "nobody takes over"), 409),
        (Failure(ResultCode.NO_PRIMARY, "none"), 503),
    ],
)
def test_removal_outcome_determines_http_status(outcome: Removal | Failure, status: int) -> None:
    caller = Caller()
    caller.service.removal = outcome
    response = asyncio.run(caller.call("POST", REMOVAL_PREFIX + "10.2.0.30"))
    assert response.status == status
    assert caller.service.removed == ["10.2.0.30"]


def test_removal_at_non_primary_is_redirected_to_primary() -> None:
    caller = Caller()
    caller.service.primary_ip = "10.2.0.30"
    caller.service.removal = Failure(ResultCode.NOT_PRIMARY, "the primary is 10.2.0.30")
    response = asyncio.run(caller.call("POST", REMOVAL_PREFIX + "10.1.0.38"))
    assert response.status == 307
    assert response.headers["location"] == "http://10.2.0.30:8146/v1/control/remove/10.1.0.38"
    assert asyncio.run(caller.call("GET", REMOVAL_PREFIX + "10.1.0.38")).status == 405
