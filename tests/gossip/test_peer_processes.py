"""Tests membership among real scheduler processes, with link faults injected between them by the simulator's links.

No test depends on timing: each waits until all instances report the expected membership, and then checks the reports
and logs up to that point. `bench/peers.py` measures the durations.
"""

from __future__ import annotations

import json
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from canvasbeam.cli.commands import cli
from canvasbeam.simulator.links import PeerFleet
from tests.support.peering import ManualLinks

NAMES = ("n0", "n1", "n2", "n3", "n4")


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[PeerFleet]:
    new_fleet = PeerFleet(len(NAMES) + 1, tmp_path)  # the last address stays unused
    controlled_links = ManualLinks(new_fleet.relay.links.zones)
    controlled_links.cuts = set()
    new_fleet.relay.links = controlled_links
    try:
        for name in NAMES:
            new_fleet.start(name)
        new_fleet.until(new_fleet.agree)
        yield new_fleet
    finally:
        new_fleet.close()


def manual_links(fleet: PeerFleet) -> ManualLinks:
    assert isinstance(fleet.relay.links, ManualLinks)
    return fleet.relay.links


def member_row(fleet: PeerFleet, observer: str, name: str) -> dict[str, object]:
    found = [item for item in fleet.members[observer].told["members"] if item["name"] == name]
    return dict(found[0])


def is_unanswered(told: dict[str, Any]) -> bool:
    """Return True if an instance reports that it receives datagrams but that its pings remain unanswered."""
    return told["unanswered_s"] is not None and told["silent_s"] is None


def test_all_members_learn_of_a_kill_a_restart_and_a_planned_shutdown(fleet: PeerFleet) -> None:
    """Fails if a killed, restarted or stopped process is reported wrongly, also after a restart with a slow clock."""
    fleet.signal("n1", signal.SIGKILL)
    fleet.until(lambda: fleet.all_know_gone("n1"))
    assert {member_row(fleet, name, "n1")["state"] for name in NAMES if name != "n1"} == {"dead"}
    fleet.start("n1", clock_s=-3600)  # restarted without state, with its clock one hour behind
    fleet.until(fleet.agree)
    # The slow clock gives n1 a lower start time than its earlier process had, so n1 announces a higher start time.
    assert fleet.counted("an earlier process of this name started later by its clock") == 1
    fleet.signal("n0", signal.SIGTERM)  # n0 is a seed
    fleet.until(lambda: fleet.all_know_gone("n0"))
    assert {member_row(fleet, name, "n0")["state"] for name in NAMES if name != "n0"} == {"left"}
    result = CliRunner().invoke(cli, ["peers", "{}:{}".format(*fleet.members["n2"].mgmt), "--json"])
    assert json.loads(result.output)["gone"] == ["n0"]


def test_both_sides_of_a_partition_keep_running_and_merge_afterwards(fleet: PeerFleet) -> None:
    """Fails if a partition makes a side declare its own members dead, or if the sides do not merge after it heals."""
    minority, majority = ("n0", "n1"), ("n2", "n3", "n4")
    manual_links(fleet).cuts = {pair for one in minority for other in majority for pair in ((one, other), (other, one))}
    fleet.until(lambda: all(fleet.view(item) == list(minority) for item in minority))
    fleet.until(lambda: all(fleet.view(item) == list(majority) for item in majority))
    manual_links(fleet).cuts.clear()
    fleet.until(fleet.agree)
    # No instance may declare a member of its own part of the partition dead.
    for name in NAMES:
        part = minority if name in minority else majority
        log = (fleet.folder / f"{name}.log").read_text()
        assert not [element for element in part if f"member {element}: dead" in log], log


def test_a_member_that_receives_nothing_reports_it_and_is_declared_gone(fleet: PeerFleet) -> None:
    """Fails if a member whose incoming datagrams are all lost blames the other members instead of its own links."""
    manual_links(fleet).cuts = {(name, "n3") for name in NAMES if name != "n3"}
    fleet.until(lambda: fleet.members["n3"].told["silent_s"] is not None)
    assert fleet.members["n3"].told["sure"] == 0
    assert len(fleet.view("n3")) == len(NAMES)  # n3 considers itself cut off before it declares others dead
    fleet.until(lambda: fleet.all_know_gone("n3"))  # n3 answers no ping
    manual_links(fleet).cuts.clear()
    fleet.until(fleet.agree)
    assert not fleet.counted("nothing heard at all")


def test_a_member_whose_datagrams_are_lost_reports_it_and_declares_nobody_dead(fleet: PeerFleet) -> None:
    """Fails if a member whose outgoing datagrams are all lost takes the missing answers for deaths of the others."""
    manual_links(fleet).cuts = {("n3", name) for name in NAMES if name != "n3"}
    fleet.until(lambda: fleet.all_know_gone("n3"))
    # n3 still receives the pings of the others.
    fleet.until(lambda: is_unanswered(fleet.members["n3"].told))
    assert fleet.members["n3"].told["sure"] == 0
    assert fleet.members["n0"].told["unanswered_s"] is None
    result = CliRunner().invoke(cli, ["peers", "{}:{}".format(*fleet.members["n3"].mgmt)])
    assert "hears others, and has been answered by nobody for" in result.output
    manual_links(fleet).cuts.clear()
    fleet.until(fleet.agree)
    assert ": dead, before" not in (fleet.folder / "n3.log").read_text()


def test_a_paused_process_resumes_and_declares_nobody_dead(fleet: PeerFleet) -> None:
    """Fails if a process stopped by SIGSTOP declares others dead after SIGCONT, or does not refute its own death."""
    fleet.signal("n2", signal.SIGSTOP)
    fleet.until(lambda: fleet.all_know_gone("n2"))
    before = (fleet.folder / "n2.log").read_text()
    fleet.signal("n2", signal.SIGCONT)
    fleet.until(fleet.agree)
    new_lines = (fleet.folder / "n2.log").read_text()[len(before) :]
    assert "incarnation" in new_lines  # n2 received the report of its death and refuted it
    assert ": dead, before" not in new_lines


def test_loss_duplication_and_delay_cause_no_false_death(fleet: PeerFleet) -> None:
    """Fails if lost, duplicated or delayed datagrams lead to a false death, or if duplicates are not dropped."""
    controlled_links = manual_links(fleet)
    controlled_links.loss, controlled_links.doubled, controlled_links.late_ms = 0.2, 0.3, 20.0
    fleet.until(lambda: min(fleet.members[name].told["taken"]["datagrams"] for name in NAMES) > 150)
    dropped = [fleet.members[name].told["dropped"] for name in NAMES]
    assert all(drop["replayed"] > 0 for drop in dropped)
    controlled_links.loss = controlled_links.doubled = controlled_links.late_ms = 0.0
    fleet.until(fleet.agree)
    assert not fleet.counted(": dead, before")


def test_the_newer_of_two_processes_with_one_name_is_the_member(fleet: PeerFleet) -> None:
    """Fails if two processes with one name both stay members, or if the older of the two keeps the name."""
    fleet.start("n5", called="n1")
    fleet.until(lambda: fleet.members["n1"].told["me"]["state"] == "displaced")
    address = fleet.relay.known("n5")
    fleet.until(lambda: all(member_row(fleet, name, "n1")["address"] == address for name in ("n0", "n2", "n3", "n4")))
    assert fleet.members["n5"].told["me"]["state"] == "member"
    assert "a newer process of this name answers" in (fleet.folder / "n1.log").read_text()
