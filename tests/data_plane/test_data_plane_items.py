"""The data plane's view of the item table: configurations, routes, evacuated zones, workers and prompt headers."""

from __future__ import annotations

import asyncio
import json
import random

import pytest

from canvasbeam.cluster import workers_pb2
from canvasbeam.data_plane.configuration_view import ConfigurationView
from canvasbeam.data_plane.prompt_headers import read_prompt, worker_priority
from canvasbeam.data_plane.requests import ClientAnswer, ClientRequest
from canvasbeam.data_plane.routes import RouteKind, SplitSequence
from canvasbeam.dispatch.actions import Action
from canvasbeam.dispatch.settings import Effect
from canvasbeam.item_table.items import Item, ItemKind, ItemTable, Version
from tests.data_plane.test_data_plane_requests import run
from tests.support.data_plane_harness import (
    HOST,
    ROUTES,
    DataPlaneUnderTest,
    ScriptedWorker,
    all_classes,
    make_route,
    parse_configuration,
)


def configuration_item(index: int, **changes: object) -> Item:
    document = {"generation": index, "routes": ROUTES, "services": [{"name": "svc"}], "limits": {}} | changes
    return Item(ItemKind.CONFIGURATION, "current", Version(index), json.dumps(document).encode())


def test_older_configuration_that_arrives_late_is_ignored() -> None:
    table = ItemTable()
    view = ConfigurationView(table)
    generations: list[int] = []
    view.add_listener(lambda configuration: generations.append(configuration.generation))
    for index in (3, 1, 5, 4, 5):
        table.merge([configuration_item(index)])
    assert generations == [3, 5]


def test_unreadable_configuration_keeps_the_previous_one_in_force() -> None:
    table = ItemTable()
    view = ConfigurationView(table)
    table.merge([configuration_item(1)])
    table.merge([Item(ItemKind.CONFIGURATION, "current", Version(2), b"{")])
    assert view.current is not None
    assert view.current.generation == 1


def test_view_adopts_items_merged_before_its_creation() -> None:
    table = ItemTable()
    table.merge([configuration_item(1), Item(ItemKind.EVACUATIONS, "current", Version(1), b'["z1"]')])
    view = ConfigurationView(table)
    assert view.current is not None
    assert view.evacuated_zones == {"z1"}


def test_requests_are_split_by_weight() -> None:
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}, {"service": "c", "weight": 0}]
    route = make_route("r", "safe", split=split)
    del route["service"]
    configuration = parse_configuration({"generation": 1, "routes": [route], "services": []})
    generator = random.Random(1)
    chosen = [configuration.routes[0].service_at(generator.random()) for _ in range(1000)]
    assert 860 < chosen.count("a") < 940
    assert chosen.count("c") == 0


def test_split_keeps_its_weights_over_few_requests_and_over_many_processes() -> None:
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    route = parse_configuration(
        {"generation": 1, "routes": [make_route("r", "safe", split=split)], "services": []}
    ).routes[0]
    each_process = [[SplitSequence(random.Random(seed)).next_service(route)] for seed in range(2000)]
    assert 0.08 < sum(chosen == ["b"] for chosen in each_process) / 2000 < 0.12
    for seed in range(50):
        sequence = SplitSequence(random.Random(seed))
        chosen = [sequence.next_service(route) for _ in range(60)]
        assert 5 <= chosen.count("b") <= 7


def test_routes_are_looked_up_by_host_and_longest_prefix() -> None:
    routes = [
        make_route("root", "safe", prefix="/"),
        make_route("a", "safe", prefix="/a/"),
        make_route("ab", "safe", prefix="/a/b/"),
        make_route("other", "safe", host="b.example", prefix="/a/"),
    ]
    configuration = parse_configuration({"generation": 1, "routes": routes, "services": []})
    for path, name in (("/a/b/c", "ab"), ("/a/b", "a"), ("/a/", "a"), ("/a", "root"), ("/", "root")):
        found = configuration.find_route(HOST, path)
        assert found is not None
        assert found.name == name
    assert configuration.find_route("c.example", "/a/") is None
    assert configuration.find_route("b.example", "/x/") is None


def test_unknown_route_kind_is_treated_as_unsafe() -> None:
    configuration = parse_configuration({"generation": 1, "routes": [make_route("r", "new")], "services": []})
    assert configuration.routes[0].kind is RouteKind.UNSAFE
    assert not configuration.routes[0].idempotent


def test_request_classes_carry_effect_home_regions_and_priority_of_routes() -> None:
    routes = [*ROUTES, make_route("home", "safe", home_regions=["r2"], priority=0)]
    configuration = parse_configuration({"generation": 1, "routes": routes, "services": [{"name": "svc"}]})
    event = all_classes(configuration)
    classes, kinds = event.classes, event.kinds
    effects = {request_class.name: request_class.effect for request_class in classes}
    assert effects == {
        "safe/svc": Effect.SAFE,
        "unsafe/svc": Effect.UNSAFE,
        "once/svc": Effect.SAFE,
        "stream/svc": Effect.UNSAFE,
        "resume/svc": Effect.SAFE,
        "home/svc": Effect.SAFE,
    }
    assert kinds == ("svc",)
    assert classes[-1].homes == ("r2",)
    assert classes[-1].priority > classes[0].priority


def request(*headers: tuple[bytes, bytes], priority: int = 1) -> ClientRequest:
    async def send(message: object) -> None:
        pass

    routes = [make_route("r", "safe", priority=priority)]
    route = parse_configuration({"generation": 1, "routes": routes, "services": []}).routes[0]
    answer = ClientAnswer(send, lambda: None)
    return ClientRequest(b"r1", b"POST", b"/", list(headers), b"", route, "svc", 0, 1, 1, answer)


def test_worker_priority_header_follows_the_route_priority() -> None:
    assert worker_priority(request(priority=0)) == b"0"
    assert worker_priority(request(priority=3)) == b"3"
    assert worker_priority(request(priority=100)) == b"9"


def test_longer_prompts_have_lower_worker_priority() -> None:
    tokens = (100, 2000, 5000, 20_000)
    priorities = [int(worker_priority(request((b"x-tokens", b"%d,50" % token)))) for token in tokens]
    assert priorities == sorted(set(priorities))
    assert priorities[0] == 1


def test_prompt_estimate_is_read_from_the_headers() -> None:
    parts = (b"x-prefix-hash", b"5c:800, 91:410,e4:250")
    prompt = read_prompt(request((b"x-tokens", b"1460,80"), parts))
    assert prompt is not None
    assert (prompt.tokens_in, prompt.max_tokens_out) == (1460, 80)
    assert [(part.name, part.tokens) for part in prompt.parts] == [("5c", 800), ("91", 410), ("e4", 250)]
    assert prompt.model == ""
    named = read_prompt(request((b"x-tokens", b"1460,80"), (b"x-model", b"m")))
    assert named is not None
    assert named.model == "m"
    assert read_prompt(request()) is None
    assert read_prompt(request((b"x-tokens", b"many"))) is None


def test_cold_until_time_of_a_worker_does_not_move_on_refresh() -> None:
    """Guard against a cold period that never ends: each refresh would count the reported remaining time anew."""
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        record = workers_pb2.WorkerRecord(
            service="svc",
            address=f"127.0.0.1:{worker.port}",
            zone="z1",
            slots=4,
            state=workers_pb2.WORKER_STATE_READY,
            cold_left_ms=3000,
        )
        data_plane.table.merge([Item(ItemKind.WORKER, "w1", Version(100), record.SerializeToString())])
        first = data_plane.endpoint_list._notified["w1"].entry
        now = data_plane.router.now_ns()
        assert now + 2_000_000_000 < first.cold_until_ns <= now + 3_000_000_000
        await asyncio.sleep(0.002)
        data_plane.endpoint_list.refresh()
        assert data_plane.endpoint_list._notified["w1"].entry == first
        assert (first.kind, first.zone, first.slots) == ("svc", "r1", 4)

    run(body, worker)


def test_deleted_worker_is_removed_with_its_connection_pool() -> None:
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        assert (await client.request("/safe/x", "id-1")).status == 200
        data_plane.table.merge([Item(ItemKind.WORKER, "w1", Version(100), deleted=True)])
        assert data_plane.connections.pool("w1") is None
        assert data_plane.router.live_workers == 0
        assert (await client.request("/safe/x", "id-2", "", "X-Deadline: 60")).status == 503

    run(body, worker)


def test_dispatcher_exception_gets_503_and_the_next_request_is_served() -> None:
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        def fail(now: int, events: object) -> list[Action]:
            raise RuntimeError("planted fault in the dispatcher")

        client = await data_plane.client()
        data_plane.router._driver._dispatcher.handle = fail  # type: ignore[method-assign]
        assert (await client.request("/unsafe/x", "id-1")).status == 503
        assert not worker.received
        assert (await client.request("/unsafe/x", "id-2")).status == 200

    run(body, worker)


@pytest.mark.parametrize("zones", [["z2"], []])
def test_worker_that_ends_beside_a_change_of_the_evacuations_is_removed(zones: list[str]) -> None:
    """Guards against requests to an ended worker: of a push with its tombstone and evacuations only these were read."""
    workers = [ScriptedWorker("w1"), ScriptedWorker("w2")]

    async def body(data_plane: DataPlaneUnderTest) -> None:
        end = Item(ItemKind.WORKER, "w1", Version(100), deleted=True)
        evacuations = Item(ItemKind.EVACUATIONS, "current", Version(100), json.dumps(zones).encode())
        data_plane.table.merge([end, evacuations])
        assert data_plane.connections.pool("w1") is None
        assert data_plane.router.live_workers == 1
        client = await data_plane.client()
        for number in range(6):
            assert (await client.request("/safe/x", f"id-{number}")).status == 200
        assert workers[0].received == []

    run(body, *workers)


def test_worker_whose_newest_item_is_unreadable_gets_no_requests() -> None:
    """Guards against requests to a worker that may have ended: its last readable item may be much older."""
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        data_plane.table.merge([Item(ItemKind.WORKER, "w1", Version(100), b"\xff")])
        assert data_plane.connections.pool("w1") is None
        assert data_plane.router.live_workers == 0

    run(body, worker)


def test_refresh_removes_a_worker_whose_tombstone_was_forgotten() -> None:
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        data_plane.table.forget(ItemKind.WORKER, "w1")
        data_plane.endpoint_list.refresh()
        assert data_plane.connections.pool("w1") is None
        assert data_plane.router.live_workers == 0

    run(body, worker)
