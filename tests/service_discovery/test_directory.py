"""Tests of the directory: the data-plane nodes that a client gets, and the answer if no node is ready."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace

import pytest

from canvasbeam.cluster.member import Member
from canvasbeam.control_plane.directory import Directory
from canvasbeam.control_plane.home_regions import HomeRegions, home_regions_by_host
from canvasbeam.control_plane.web import Answer, Request
from canvasbeam.item_table.items import Item, ItemKind, ItemTable, Version
from canvasbeam.runtime.settings import Bounds, ProcessSettings
from canvasbeam.service_discovery.directory import MAX_ADDRESSES, ClientLocation, DataPlaneNode, choose_addresses

NODES = [
    DataPlaneNode("10.1.0.1:80", "z1", "r1"), DataPlaneNode("10.1.0.2:80", "z1", "r1"),
    DataPlaneNode("10.1.0.3:80", "z2", "r1"), DataPlaneNode("10.2.0.1:80", "z3", "r2"),
]  # fmt: skip


def test_client_gets_only_its_zone_if_two_nodes_are_ready_there() -> None:
    assert choose_addresses(NODES, ClientLocation("z1", "r1")) == ["10.1.0.1:80", "10.1.0.2:80"]


def test_client_gets_its_region_if_its_zone_has_one_ready_node() -> None:
    assert choose_addresses(NODES, ClientLocation("z2", "r1")) == ["10.1.0.3:80", "10.1.0.1:80", "10.1.0.2:80"]


def test_client_gets_all_nodes_if_its_region_has_one_ready_node() -> None:
    assert choose_addresses(NODES, ClientLocation("z3", "r2")) == [
        "10.2.0.1:80",
        "10.1.0.1:80",
        "10.1.0.2:80",
        "10.1.0.3:80",
    ]


def test_client_without_a_location_gets_all_nodes() -> None:
    assert len(choose_addresses(NODES, ClientLocation("", ""))) == 4


REGIONAL_NODES = [
    DataPlaneNode("10.1.0.1:80", "z1", "r1"), DataPlaneNode("10.1.0.2:80", "z1", "r1"),
    DataPlaneNode("10.2.0.1:80", "z2", "r2"), DataPlaneNode("10.2.0.2:80", "z2", "r2"),
    DataPlaneNode("10.3.0.1:80", "z3", "r3"), DataPlaneNode("10.3.0.2:80", "z3", "r3"),
]  # fmt: skip


@pytest.mark.parametrize(
    ("ready_in_own_region", "home_regions", "regions"),
    [
        (2, {"r2"}, {"r1"}),  # two ready nodes in the client's region suffice
        (1, {"r1", "r2"}, {"r1", "r2"}),
        (1, {"r2", "r3"}, {"r1", "r2", "r3"}),  # the client's region is used even if it is not a home region
        (1, {"r1"}, {"r1"}),  # one ready node in a home region is preferred to nodes outside the home regions
        (1, set(), {"r1"}),  # the routes of the host have no home region in common
        (0, {"r1", "r2"}, {"r2"}),
        (0, {"r1"}, {"r2", "r3"}),  # no node remains in a home region
    ],
)
def test_client_gets_its_own_region_or_home_regions(
    ready_in_own_region: int, home_regions: set[str], regions: set[str]
) -> None:
    removed = {node.front for node in REGIONAL_NODES[ready_in_own_region:2]}
    nodes = [node for node in REGIONAL_NODES if node.front not in removed]
    addresses = choose_addresses(nodes, ClientLocation("z1", "r1"), frozenset(home_regions))
    assert {node.region for node in nodes if node.front in addresses} == regions
    assert addresses == sorted(addresses)  # in sorted order, the addresses of the client's own region come first


@pytest.mark.parametrize(
    ("draining_regions", "home_regions", "regions"),
    [
        # A rolling restart has reached all nodes of the home regions; draining nodes still accept connections.
        ("r1 r2", {"r1", "r2"}, {"r1", "r2"}),
        ("r2", {"r1", "r2"}, {"r2"}),
        ("r1", {"r2"}, {"r1"}),
        ("", {"r1", "r2"}, {"r3"}),
    ],
)
def test_draining_nodes_in_home_regions_are_preferred_to_ready_nodes_elsewhere(
    draining_regions: str, home_regions: set[str], regions: set[str]
) -> None:
    draining = [replace(node, is_ready=False) for node in REGIONAL_NODES[:4] if node.region in draining_regions.split()]
    nodes = [*draining, *REGIONAL_NODES[4:]]
    addresses = choose_addresses(nodes, ClientLocation("z1", "r1"), frozenset(home_regions))
    assert {node.region for node in nodes if node.front in addresses} == regions
    assert choose_addresses(nodes, ClientLocation("z1", "r1")) == [node.front for node in REGIONAL_NODES[4:]]


def test_draining_nodes_are_omitted_if_a_ready_node_exists() -> None:
    nodes = [
        REGIONAL_NODES[0],
        replace(REGIONAL_NODES[1], is_ready=False),
        replace(REGIONAL_NODES[2], is_ready=False),
        REGIONAL_NODES[3],
        REGIONAL_NODES[4],
    ]
    assert choose_addresses(nodes, ClientLocation("z1", "r1"), frozenset({"r1", "r2"})) == [
        REGIONAL_NODES[0].front,
        REGIONAL_NODES[3].front,
    ]


def test_number_of_addresses_is_limited() -> None:
    many = [DataPlaneNode(f"10.0.{n // 250}.{n % 250}:80", "z1", "r1") for n in range(300)]
    assert len(choose_addresses(many, ClientLocation("z1", "r1"))) == MAX_ADDRESSES


def settings(ttl_max_s: float = 5) -> ProcessSettings:
    return ProcessSettings(
        node="c1", role="core", node_class="core", serves=("control",), ip="10.1.0.38", zone="z1", region="r1",
        port_range=(7660, 7675), seeds=(), zones={"z1": "r1", "z2": "r1", "z3": "r2"},
        bounds=Bounds(ttl_max_s=ttl_max_s),
    )  # fmt: skip


def member(front: str, *, zone: str = "z1", region: str = "r1", ready: bool = True, is_control: bool = False) -> Member:
    return Member(f"n-{front}", "edge", "edge", "10.0.0.1", zone, region, front, ready, 1, is_control)


def table_with_routes(*routes: dict[str, object], version: int = 1) -> ItemTable:
    table = ItemTable()
    configure(table, *routes, version=version)
    return table


def configure(table: ItemTable, *routes: dict[str, object], version: int) -> None:
    payload = json.dumps({"generation": version, "routes": routes}).encode()
    table.merge([Item(ItemKind.CONFIGURATION, "current", Version(version), payload)])


def route(host: str, *home_regions: str) -> dict[str, object]:
    return {"name": f"route-{host}", "host": host, "prefix": "/a/", "home_regions": list(home_regions)}


def resolve(
    *members: Member,
    ttl_max_s: float = 5,
    method: str = "GET",
    path: str = "/v1/resolve",
    home_regions: HomeRegions | None = None,
) -> Answer:
    directory = Directory(settings(ttl_max_s), lambda: members, home_regions or HomeRegions(ItemTable()))
    request = Request(method, path, {"name": "a.example", "region": "r1", "zone": "z1"})
    return asyncio.run(directory.resolve(request))


def test_answer_contains_ready_nodes_and_a_short_ttl() -> None:
    answer = resolve(member("10.1.0.1:80"), member("10.1.0.2:80", ready=False), member("", is_control=True))
    assert answer.status == 200
    assert json.loads(answer.body) == {"addresses": ["10.1.0.1:80"], "ttl_s": 1.0}


def test_ttl_is_limited_by_the_settings() -> None:
    assert json.loads(resolve(member("10.1.0.1:80"), ttl_max_s=0.5).body)["ttl_s"] == 0.5


def test_no_ready_node_is_answered_503_without_addresses() -> None:
    answer = resolve(member("10.1.0.2:80", ready=False))
    assert answer.status == 503
    assert b"addresses" not in answer.body


def test_other_methods_and_paths_are_refused() -> None:
    assert resolve(member("10.1.0.1:80"), method="POST").status == 405
    assert resolve(member("10.1.0.1:80"), path="/v1/resolver").status == 404


MEMBERS = [
    member("10.1.0.1:80"),
    member("10.1.0.2:80", ready=False),  # a draining node
    member("10.2.0.1:80", zone="z2", region="r2"),
    member("10.3.0.1:80", zone="z3", region="r3"),
]


def addresses_with(home_regions: HomeRegions) -> list[str]:
    addresses: list[str] = json.loads(resolve(*MEMBERS, home_regions=home_regions).body)["addresses"]
    return addresses


def test_client_of_host_with_home_regions_gets_no_other_region_while_a_node_drains() -> None:
    assert addresses_with(HomeRegions(table_with_routes(route("A.example", "r1", "r2")))) == [
        "10.1.0.1:80",
        "10.2.0.1:80",
    ]
    assert addresses_with(HomeRegions(table_with_routes(route("b.example", "r1", "r2")))) == [
        "10.1.0.1:80", "10.2.0.1:80", "10.3.0.1:80",
    ]  # fmt: skip


def test_home_regions_follow_the_current_configuration() -> None:
    table = table_with_routes(route("a.example", "r1", "r2"))
    home_regions = HomeRegions(table)
    assert len(addresses_with(home_regions)) == 2
    configure(table, route("a.example", "r1"), version=2)
    assert addresses_with(home_regions) == ["10.1.0.1:80"]
    configure(table, route("a.example"), version=3)
    assert len(addresses_with(home_regions)) == 3


def test_home_regions_of_a_host_are_common_to_all_its_routes_with_home_regions() -> None:
    routes = [route("a", "r1", "r2"), route("a", "r2", "r3"), route("a"), route("b", "r1"), route("c")]
    assert home_regions_by_host(routes) == {"a": {"r2"}, "b": {"r1"}}


def test_unreachable_node_answers_503_without_addresses() -> None:
    """Guards against stale addresses from a node without contact to other nodes.

    The members known to such a node may be out of date, after a stall of its process or while it is isolated.
    """
    is_reachable = [False]
    directory = Directory(
        settings(), lambda: [member("10.1.0.1:80")], HomeRegions(ItemTable()), lambda: is_reachable[0]
    )
    request = Request("GET", "/v1/resolve", {"name": "a.example", "region": "r1", "zone": "z1"})
    answer = asyncio.run(directory.resolve(request))
    assert answer.status == 503
    assert b"addresses" not in answer.body
    is_reachable[0] = True
    assert asyncio.run(directory.resolve(request)).status == 200
