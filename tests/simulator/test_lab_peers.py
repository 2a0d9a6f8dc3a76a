"""Schedulers that know each other in the laboratory's scenarios: one file, both engines, faults on links."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import pytest

from canvasbeam.simulator import engine_sim, engine_sockets, report
from canvasbeam.simulator import scenario as scenarios
from canvasbeam.simulator.model import spec
from canvasbeam.simulator.model.request_log import End
from canvasbeam.simulator.result import Result


def parted(**changes: Any) -> spec.Scenario:
    return scenarios.load("parted", changes)


def played(scenario: spec.Scenario) -> tuple[engine_sim.SimulatedWorld, Result]:
    world = engine_sim.SimulatedWorld(scenario)
    return world, world.play()


def test_a_run_with_cuts_a_stop_and_a_kill_keeps_the_rules_and_ends_in_agreement() -> None:
    world, result = played(parted())
    assert not result.broken, result.broken[0].text
    assert world.peers is not None
    assert world.peers.agree()
    assert result.service > 0.9
    # n0 and n4 are of the zone that is cut off; n5 was stopped, n2 killed.
    signs = {name: line.split()[-1] for line in result.strip for name in re.findall(r"n\d+", line)}
    assert signs["n0"] == signs["n4"] == "#" * 5 + "." * 8 + "#" * 27
    assert signs["n1"] == "#" * 5 + "+" * 8 + "#" * 27
    assert signs["n5"] == signs["n1"][:18] + "x" * 4 + signs["n1"][22:]
    assert signs["n2"] == signs["n1"][:26] + "x" * 4 + signs["n1"][30:]
    deaths = [seen for seen in world.peers.seen if seen.after == "dead"]
    assert {death.name for death in deaths if death.at_ns - world.begun > 14e9} <= {"n5", "n2"}
    assert "Who could hear whom" in report.page([result])


def test_the_same_seed_gives_the_same_run_with_peers_too() -> None:
    one, two = (played(parted(length_s=12, faults=[]))[1] for _ in range(2))
    assert one == two


def test_peers_change_nothing_of_what_is_served_while_nobody_uses_them() -> None:
    without = parted(**{"schedulers.peers": False, "links": [], "length_s": 12, "faults": []})
    with_them = parted(length_s=12, faults=[])
    assert played(without)[1].ends == played(with_them)[1].ends


def test_a_stopped_scheduler_answers_nothing_and_is_not_blamed_for_it() -> None:
    stop = {"kind": "scheduler_stop", "at_s": 3, "for_s": 12, "targets": ["n1"]}
    world, result = played(parted(faults=[stop], length_s=20, **{"schedulers.peers": False, "links": []}))
    assert not result.broken, result.broken[0].text
    begin, end = world.ledger.stops["n1"][0]
    ends = zip(world.ledger.scheduler, world.ledger.end_ns, world.ledger.end, strict=True)
    meanwhile = {End(how) for name, at, how in ends if name == "n1" and begin + 1e7 < at < end}
    assert meanwhile
    assert not meanwhile & {End.SERVED, End.REFUSED, End.FAILED}


def test_forty_schedulers_that_know_each_other_are_played_in_two_parts() -> None:
    changes = {
        "schedulers.count": 40, "fleet.workers": 20, "length_s": 6, "traffic.load": 0.2, "faults": [],
        "links": [{"kind": "cut", "at_s": 2, "for_s": 2, "parts": 2}],
    }  # fmt: skip
    world, result = played(parted(**changes))
    assert not result.broken
    assert world.peers is not None
    assert world.peers.agree()


@pytest.mark.parametrize(
    ("changes", "said"),
    [
        ({"schedulers.peers": False}, "links must have schedulers.peers = true"),
        ({"links": [{"kind": "lose", "at_s": 1}]}, "links[0].size must be above 0"),
        ({"links": [{"kind": "cut", "at_s": 1, "of_zone": "x"}]}, "links[0].of_zone must be one of zones"),
        ({"links": [{"kind": "cut", "at_s": 1, "sise": 1}]}, "links[0].sise is no known key; did you mean size?"),
    ],
)
def test_what_is_wrong_with_links_is_said_by_key(changes: dict[str, Any], said: str) -> None:
    with pytest.raises(scenarios.ScenarioError) as caught:
        parted(**changes)
    assert said in str(caught.value)


def test_the_same_file_is_played_with_real_processes(tmp_path: Path) -> None:
    faults = [
        {"kind": "scheduler_stop", "at_s": 4, "for_s": 3, "targets": ["n2"]},
        {"kind": "scheduler_kill", "at_s": 5, "for_s": 3, "targets": ["n1"]},
    ]
    scenario = parted(
        faults=faults, length_s=10, links=[{"kind": "lose", "at_s": 0, "for_s": 9, "size": 0.1}],
        **{"schedulers.count": 4, "fleet.workers": 8, "traffic.load": 0.3},
    )  # fmt: skip
    world = engine_sockets.SocketWorld(scenario, tmp_path)
    result = world.play()
    assert not [rule for rule in result.broken if rule.rule != "answer"], result.broken[0].text
    assert world.relay is not None
    assert world.relay.passed > 500
    assert world.links.lost > 30
    logs = {name: (tmp_path / f"{name}.log").read_text() for name in ("n0", "n1", "n2", "n3")}
    assert "member n1: dead" in logs["n0"]
    assert "member n2: dead" in logs["n3"]
    assert "member n1: alive, before dead" in logs["n0"]
    assert {line.split()[-1] for line in result.strip if line.startswith("n1")} == {"#####xxx##"}
