"""Tests of how long directories list a stopped machine: real failure detection and distribution, simulated time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

import pytest

from canvasbeam.control_plane.directory import Directory
from canvasbeam.control_plane.home_regions import HomeRegions
from canvasbeam.control_plane.web import Request
from canvasbeam.item_table.items import ItemTable
from canvasbeam.runtime.settings import Bounds, ProcessSettings
from tests.support.cluster_network import MS, SECOND, Host, Network

BOUNDS = Bounds()
MAX_LISTED_NS = round(BOUNDS.contact_ms * MS) + 3 * SECOND
SETTINGS = ProcessSettings(
    node="core", role="core", node_class="core", serves=("control", "directory"), ip="10.0.0.2", zone="region-0",
    region="region-0", port_range=(7660, 7675), seeds=(), bounds=BOUNDS,
)  # fmt: skip


class Fleet:
    """A simulated fleet of three or more control nodes with directories, and of ready data-plane nodes."""

    def __init__(self, controls: int, edges: int, seed: int, datagram_loss: float = 0.0) -> None:
        self.network = Network(seed, datagram_loss)
        self.controls, self.edges = self.network.fleet(controls, edges)
        self.network.run_until(lambda: self.network.all_know(self.network.running()), 5 * SECOND)
        for edge in self.edges:
            self.network.set_ready(edge, True)
        self.network.run_until(
            lambda: all(self.listed_at(control) == self.addresses() for control in self.controls), SECOND
        )

    def addresses(self) -> set[str]:
        return {edge.member.front for edge in self.edges}

    def listed_at(self, control: Host) -> set[str]:
        """Return the addresses that a control node gives to at least one client."""
        members = control.core.members(self.network.now)
        directory = Directory(SETTINGS, lambda: members, HomeRegions(ItemTable()))
        listed: set[str] = set()
        for region in {edge.member.region for edge in self.edges}:
            request = Request("GET", "/v1/resolve", {"name": "a.example", "region": region, "zone": region})
            answer = asyncio.run(directory.resolve(request))
            if answer.status == 200:
                listed |= set(json.loads(answer.body)["addresses"])
        return listed

    def is_listed(self, *stopped: Host) -> bool:
        addresses = {host.member.front for host in stopped}
        return any(self.listed_at(control) & addresses for control in self.controls if control.is_running)


def lose_power(fleet: Fleet, host: Host) -> None:
    fleet.network.lose_power(host)


def kill(fleet: Fleet, host: Host) -> None:
    fleet.network.kill(host)


def stop_gracefully(fleet: Fleet, host: Host) -> None:
    fleet.network.set_ready(host, False)
    fleet.network.leave(host)
    fleet.network.kill(host)


WAYS_TO_STOP = [lose_power, kill, stop_gracefully]


@pytest.mark.parametrize("datagram_loss", [0.0, 0.05])
@pytest.mark.parametrize("stop", WAYS_TO_STOP)
def test_stopped_machine_is_not_listed_after_the_maximum_time(
    stop: Callable[[Fleet, Host], None], datagram_loss: float
) -> None:
    for seed in range(1, 4):
        fleet = Fleet(3, 6, seed, datagram_loss)
        stop(fleet, fleet.edges[0])
        fleet.network.run_until(lambda: not fleet.is_listed(fleet.edges[0]), MAX_LISTED_NS)  # noqa: B023
        fleet.network.run(3 * SECOND)
        assert not fleet.is_listed(fleet.edges[0])


@pytest.mark.parametrize("stop", WAYS_TO_STOP)
def test_machine_stopped_together_with_its_monitors_is_not_listed_after_the_maximum_time(
    stop: Callable[[Fleet, Host], None],
) -> None:
    fleet = Fleet(3, 9, 1)
    lost = [edge for edge in fleet.edges if edge.member.region == "region-0"]
    lose_power(fleet, fleet.controls[0])
    for item in lost:
        stop(fleet, item)
    fleet.network.run_until(lambda: not fleet.is_listed(*lost), MAX_LISTED_NS)


def test_gracefully_stopping_machine_is_removed_immediately() -> None:
    fleet = Fleet(3, 6, 1)
    fleet.network.set_ready(fleet.edges[0], False)
    fleet.network.run_until(lambda: not fleet.is_listed(fleet.edges[0]), 200 * MS)
    assert fleet.listed_at(fleet.controls[0]) == fleet.addresses() - {fleet.edges[0].member.front}


def test_restarted_machine_is_listed_again() -> None:
    fleet = Fleet(3, 6, 1)
    kill(fleet, fleet.edges[0])
    fleet.network.run(500 * MS)
    restarted = fleet.network.restart(fleet.edges[0])
    fleet.network.run(SECOND)
    fleet.network.set_ready(restarted, True)
    fleet.network.run_until(
        lambda: all(fleet.listed_at(control) == fleet.addresses() for control in fleet.controls), SECOND
    )
