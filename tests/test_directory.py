"""The directory: which data-plane nodes a client is sent to, and what it is answered when none is known."""

from __future__ import annotations

import asyncio
import json

from canvasbeam.cluster.member import Member
from canvasbeam.control_plane.directory import Directory
from canvasbeam.control_plane.web import Answer, Request
from canvasbeam.decide.directory import MOST_ADDRESSES, DataPlaneNode, choose_addresses
from canvasbeam.runtime.settings import Bounds, ProcessSettings

NODES = [
    DataPlaneNode("10.1.0.1:80", "z1", "r1"), DataPlaneNode("10.1.0.2:80", "z1", "r1"),
    DataPlaneNode("10.1.0.3:80", "z2", "r1"), DataPlaneNode("10.2.0.1:80", "z3", "r2"),
]  # fmt: skip


def test_two_nodes_of_the_own_zone_are_enough() -> None:
    assert choose_addresses(NODES, "z1", "r1") == ["10.1.0.1:80", "10.1.0.2:80"]


def test_one_node_of_the_own_zone_is_helped_by_its_region() -> None:
    assert choose_addresses(NODES, "z2", "r1") == ["10.1.0.3:80", "10.1.0.1:80", "10.1.0.2:80"]


def test_one_node_of_the_own_region_is_helped_by_all() -> None:
    assert choose_addresses(NODES, "z3", "r2") == ["10.2.0.1:80", "10.1.0.1:80", "10.1.0.2:80", "10.1.0.3:80"]


def test_client_from_elsewhere_gets_all() -> None:
    assert len(choose_addresses(NODES, "", "")) == 4


def test_addresses_are_bounded() -> None:
    many = [DataPlaneNode(f"10.0.{n // 250}.{n % 250}:80", "z1", "r1") for n in range(300)]
    assert len(choose_addresses(many, "z1", "r1")) == MOST_ADDRESSES


def settings(ttl_max_s: float = 5) -> ProcessSettings:
    return ProcessSettings(
        node="c1", role="core", node_class="core", serves=("control",), ip="10.1.0.38", zone="z1", region="r1",
        port_range=(7660, 7675), seeds=(), zones={"z1": "r1", "z2": "r1", "z3": "r2"},
        bounds=Bounds(ttl_max_s=ttl_max_s),
    )  # fmt: skip


def member(front: str, *, zone: str = "z1", ready: bool = True, is_control: bool = False) -> Member:
    return Member(f"n-{front}", "edge", "edge", "10.0.0.1", zone, "r1", front, ready, 1, is_control)


def resolve(*members: Member, ttl_max_s: float = 5, method: str = "GET", path: str = "/v1/resolve") -> Answer:
    directory = Directory(settings(ttl_max_s), lambda: members)
    request = Request(method, path, {"name": "a.example", "region": "r1", "zone": "z1"})
    return asyncio.run(directory.resolve(request))


def test_answer_names_ready_nodes_and_a_short_time() -> None:
    answer = resolve(member("10.1.0.1:80"), member("10.1.0.2:80", ready=False), member("", is_control=True))
    assert answer.status == 200
    assert json.loads(answer.body) == {"addresses": ["10.1.0.1:80"], "ttl_s": 1.0}


def test_time_is_within_the_deployment_s_bound() -> None:
    assert json.loads(resolve(member("10.1.0.1:80"), ttl_max_s=0.5).body)["ttl_s"] == 0.5


def test_no_node_is_a_failure_and_not_an_empty_list() -> None:
    answer = resolve(member("10.1.0.2:80", ready=False))
    assert answer.status == 503
    assert b"addresses" not in answer.body


def test_other_methods_and_paths_are_refused() -> None:
    assert resolve(member("10.1.0.1:80"), method="POST").status == 405
    assert resolve(member("10.1.0.1:80"), path="/v1/resolver").status == 404


def test_a_node_that_nobody_is_known_to_hear_directs_nobody() -> None:
    """Right after its process stood still, or while it is alone: what it holds of the others may be old."""
    heard = [False]
    directory = Directory(settings(), lambda: [member("10.1.0.1:80")], lambda: heard[0])
    request = Request("GET", "/v1/resolve", {"name": "a.example", "region": "r1", "zone": "z1"})
    answer = asyncio.run(directory.resolve(request))
    assert answer.status == 503
    assert b"addresses" not in answer.body
    heard[0] = True
    assert asyncio.run(directory.resolve(request)).status == 200
