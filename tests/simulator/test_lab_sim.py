"""The simulated engine: the same anywhere, and no broken scheduler passes."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest

from canvasbeam.scheduler.request_coordinator import RequestCoordinator
from canvasbeam.scheduler.requests import Request
from canvasbeam.simulator import engine_sim, scenario
from canvasbeam.simulator.model.request_log import End, Ledger, What
from canvasbeam.simulator.model.units import MS, SECOND
from tests.support import lab
from tests.support.lab import small

CRASH = {"kind": "crash", "at_s": 1.5, "for_s": 1.5, "part": 0.34}
BREAKING = {"kind": "breaking", "at_s": 0.5, "for_s": 5, "part": 1, "size": 0.3}
DRAIN = {"kind": "drain", "at_s": 1, "for_s": 4, "part": 0.5}
ERRORS = {"kind": "fast_errors", "at_s": 0.5, "for_s": 5, "part": 1, "size": 0.4}


@pytest.mark.parametrize(
    "faults",
    [
        [], [CRASH], [BREAKING, DRAIN], [ERRORS, CRASH], [{"kind": "silent", "at_s": 1, "for_s": 2, "part": 0.3}],
        [{"kind": "scheduler_kill", "at_s": 1, "for_s": 1, "targets": ["n0"]},
         {"kind": "scheduler_restart", "at_s": 3, "for_s": 0.5, "targets": ["n1"]}],
        [{"kind": "cut", "at_s": 1, "for_s": 2, "zone": "south"}, {"kind": "stale_discovery", "at_s": 1, "for_s": 3}],
        [{"kind": "burst", "at_s": 1, "for_s": 3, "size": 2.3},
         {"kind": "shared_slow", "at_s": 2, "for_s": 3, "size": 2.7},
         {"kind": "slow", "at_s": 1, "for_s": 4, "part": 0.3, "size": 9}, CRASH],
    ],
)  # fmt: skip
def test_the_program_keeps_the_rules_under_every_fault(faults: list[dict[str, Any]]) -> None:
    result, _ = engine_sim.play(small(*faults))
    assert result.broken == []
    assert result.jobs > 100
    assert sum(result.ends.values()) == result.jobs
    assert "open" not in result.ends
    assert "silent" not in result.ends


@pytest.mark.parametrize(
    ("kind", "faults", "rule", "text"),
    [
        (lab.AnswersTwice, [], "answer", "2 answers"),
        (lab.SwallowsAnswers, [], "answer", "never answered"),
        (lab.AnswersLate, [], "answer", "ms too late"),
        (lab.MakesUpResults, [], "answer", "no worker made"),
        (lab.RunsTwice, [BREAKING], "twice", "contract-file ran"),
        (lab.RunsTwice, [BREAKING], "twice", "hours-entry ran in 2 groups"),
        (lab.RunsTwice, [BREAKING], "twice", "hours-entry ran again after its window"),
        (lab.IgnoresDrains, [DRAIN], "drain", "after it was told"),
        (lab.RefusesAnything, [ERRORS], "refusal", "refused after it had run"),
        (lab.FloodsColdWorkers, [{**CRASH, "for_s": 1, "part": 0.5}], "cold", "tipped over"),
    ],
)
def test_a_broken_scheduler_is_caught(
    kind: type[RequestCoordinator], faults: list[dict[str, Any]], rule: str, text: str
) -> None:
    # Long enough that each breaks its rule many times over, not once by luck.
    changes: dict[str, Any] = {"length_s": 12, "traffic.load": 1.4 if rule == "cold" else 0.9, "classes.2.share": 0.6}
    if "window" in text:
        changes |= {"classes.2.scope": "all", "classes.2.window_s": 0.05}
    result, _ = engine_sim.play(small(*faults, **changes), kind)
    assert [each for each in result.broken if each.rule == rule and text in each.text], result.broken[:3]
    assert not result.holds


def test_a_keyed_repeat_past_its_window_is_seen_in_the_ledger() -> None:
    ledger = Ledger(small(), {"w": "north"})
    request = ledger.opened(0, 2, 0, 5 * SECOND, "n0")
    ledger.worked(request, MS, What.BEGAN, "w")
    ledger.worked(request, 7400 * MS, What.BEGAN, "w")
    ledger.ended(request, SECOND, End.SERVED)
    assert ledger.broken() == []
    ledger.worked(request, 7600 * MS, What.BEGAN, "w")
    assert "after its window" in ledger.broken()[0].text
    assert "began at w" in ledger.broken()[0].text  # the request's whole life stands below


def test_a_late_answer_is_seen_in_the_ledger() -> None:
    ledger = Ledger(small(), {"w": "north"})
    first, second = (ledger.opened(job, 0, 0, SECOND, "n0") for job in (0, 1))
    ledger.ended(first, SECOND + 49 * MS, End.SERVED)
    ledger.ended(second, SECOND + 51 * MS, End.SERVED)
    assert [rule.text.splitlines()[0] for rule in ledger.broken()] == ["an answer came 51 ms too late"]


PLAY = """
import sys, msgspec
from canvasbeam.simulator import engine_sim
from canvasbeam.simulator import scenario
result, _ = engine_sim.play(scenario.load("smoke", {"seed": 5}))
sys.stdout.buffer.write(msgspec.json.encode(result))
"""


def test_one_seed_gives_the_same_bytes_in_any_process() -> None:
    root = Path(__file__).parents[2]
    made = []
    for hashes in ("0", "77"):
        environment = {**os.environ, "PYTHONHASHSEED": hashes, "PYTHONPATH": str(root)}
        command = [sys.executable, "-c", PLAY]
        made.append(subprocess.run(command, env=environment, capture_output=True, check=True).stdout)
    here, _ = engine_sim.play(scenario.load("smoke", {"seed": 5}))
    assert made[0] == made[1] == msgspec.json.encode(here)
    other, _ = engine_sim.play(scenario.load("smoke", {"seed": 6}))
    assert msgspec.json.encode(other) != made[0]


@pytest.mark.parametrize(
    "name",
    [
        "calm",
        "tuesday",
        "cold-return-under-surge",
        "rolling-restarts",
        "site-overload",
        "broken-streams",
        "demo",
        "vast-herd",
        "vast-zone",
        "one-class",
        "three-zones",
    ],
)
def test_the_scenarios_that_ship_keep_the_rules(name: str) -> None:
    length = min(30.0, scenario.load(name).length_s)
    faults = [msgspec.to_builtins(fault) for fault in scenario.load(name).faults if fault.at_s < length]
    result, _ = engine_sim.play(scenario.load(name, {"length_s": length, "faults": faults}))
    assert result.broken == []
    assert result.service > 0.7


def test_worth_goes_by_work_where_the_scenario_says_so() -> None:
    """A large job that failed weighs as much as the work that it asked for."""
    by_job, _ = engine_sim.play(small(length_s=3))
    by_work, _ = engine_sim.play(small(**{"length_s": 3, "traffic.worth_by": "work"}))
    assert by_job.ends == by_work.ends
    asked = [sum(window.asked for window in result.windows) for result in (by_job, by_work)]
    assert asked[0] == pytest.approx(round(asked[0] * 20) / 20)  # whole worths, and twentieths beyond the shares
    assert asked[1] != pytest.approx(round(asked[1] * 20) / 20, abs=1e-5)


def test_a_simulated_scheduler_goes_through_its_planned_end_and_answers_all_before_the_kill() -> None:
    told: list[str] = []

    class Watched(RequestCoordinator):
        def submit(self, request: Request) -> None:
            told.append(self.phase.name)
            super().submit(request)

    restart = {"kind": "scheduler_restart", "at_s": 2, "for_s": 4, "part": 1}
    result, _ = engine_sim.play(small(restart, **{"length_s": 4, "traffic.load": 1.2}), Watched)
    assert result.broken == []
    assert {"SERVING", "ANNOUNCED"} <= set(told)
    assert "open" not in result.ends
    assert "silent" not in result.ends


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"traffic.laod": 1}, "traffic.laod is no known key; did you mean load?"),
        ({"traffic.load": "much"}, "traffic.load: expected `float`, got `str`"),
        ({"fleet.order": "lifo"}, "fleet.order: invalid enum value 'lifo'"),
        ({"fleet.workers": 0}, "fleet.workers: expected `int` >= 1"),
        ({"traffic.zone_weights": [1, 2]}, "traffic.zone_weights must have one figure for each of 4 zones"),
        ({"faults": [{"kind": "slow", "at_s": 1, "part": 0.1}]}, "faults[0].size must be at least 1"),
        ({"faults": [{"kind": "crash", "at_s": 1}]}, "faults[0] must say part, zone or targets"),
        ({"faults": [{"kind": "crash", "at_s": 99, "part": 0.1}]}, "faults[0].at_s must lie before length_s"),
        ({"discovery.add_s": [2, 1]}, "discovery.add_s must go from the smaller to the larger"),
        ({"fleet.models.9.speed": 1}, "fleet.models.9.speed leads nowhere"),
    ],
)
def test_a_bad_scenario_is_told_by_file_key_and_rule(changes: dict[str, Any], message: str) -> None:
    with pytest.raises(scenario.ScenarioError) as caught:
        scenario.load("calm", changes)
    assert message in str(caught.value)
    assert "calm.toml" in str(caught.value)


def test_scenario_files_are_laid_over_each_other(tmp_path: Path) -> None:
    (tmp_path / "base.toml").write_text('name = "base"\nzones = ["a", "b"]\n[fleet]\nworkers = 7\norder = "fifo"\n')
    (tmp_path / "over.toml").write_text('extends = "base.toml"\nname = "over"\n[fleet]\nworkers = 9\n')
    read = scenario.load(str(tmp_path / "over.toml"))
    assert (read.name, read.zones, read.fleet.workers, read.fleet.order) == ("over", ("a", "b"), 9, "fifo")
    (tmp_path / "loop.toml").write_text('extends = "loop.toml"\n')
    with pytest.raises(scenario.ScenarioError, match="must not go deeper"):
        scenario.load(str(tmp_path / "loop.toml"))
    (tmp_path / "torn.toml").write_text("[fleet\nworkers = 9")
    with pytest.raises(scenario.ScenarioError, match="is not TOML"):
        scenario.load(str(tmp_path / "torn.toml"))
    with pytest.raises(scenario.ScenarioError, match="did you mean tuesday"):
        scenario.load("tusday")
