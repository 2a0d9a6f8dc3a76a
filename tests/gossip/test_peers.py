"""Tests that gossip is off by default, how operators enable it, and the commands that read its state."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from canvasbeam.cli.commands import cli
from canvasbeam.cli.peers import membership_text
from canvasbeam.gossip.datagram_node import GossipNode
from tests.support.free_ports import free_port
from tests.support.gossip_nodes import GOOD, new_loop, settings_on, write_file

ROOT = Path(__file__).parents[2]


def run_scheduler(folder: Path, allowed: bool, text: str | None) -> subprocess.CompletedProcess[str]:
    """Run the scheduler with a settings file for peers; an unusable clients' address makes the process exit."""
    fields = json.loads((ROOT / "example" / "config.json").read_text())
    fields["settings"]["policyLimits"]["peers"] = allowed
    config = folder / "config.json"
    environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
    environment |= {"LB_CONFIG": str(config), "PYTHONPATH": str(ROOT)}
    if text is not None:
        environment["LB_PEERS"] = write_file(folder, text)
    fields["listen"] = "203.0.113.1:5"  # unavailable address (TEST-NET-3): the scheduler logs the error and exits
    config.write_text(json.dumps(fields))
    return subprocess.run(
        [sys.executable, "-X", "importtime", "-m", "canvasbeam"], env=environment, cwd=ROOT, capture_output=True,
        text=True, check=False,
    )  # fmt: skip


@pytest.mark.parametrize(("allowed", "text"), [(False, GOOD), (False, "rubbish"), (True, None)])
def test_disabled_gossip_is_not_imported(tmp_path: Path, allowed: bool, text: str | None) -> None:
    """Fails if a scheduler without peers imports the gossip package or its dependencies."""
    result = run_scheduler(tmp_path, allowed, text)
    assert "cannot listen or serve" in result.stderr
    assert "canvasbeam.gossip" not in result.stderr
    assert "msgspec" not in result.stderr
    assert "membership" not in result.stderr


def test_an_invalid_settings_file_stops_startup_with_one_line(tmp_path: Path) -> None:
    result = run_scheduler(tmp_path, True, 'fleet = "f"\naddress = "x"')
    assert result.returncode == 1
    lines = [line for line in result.stderr.splitlines() if not line.startswith("import time")]
    assert len(lines) == 1
    assert "peers.toml: address: must be an IPv4 address" in lines[0]


def test_the_check_command_validates_the_settings_file_for_peers(tmp_path: Path) -> None:
    fields = json.loads((ROOT / "example" / "config.json").read_text())
    fields["settings"]["policyLimits"]["peers"] = True
    fields["peers"] = write_file(tmp_path, GOOD + "x = 1")
    config = tmp_path / "config.json"
    config.write_text(json.dumps(fields))
    result = CliRunner().invoke(cli, ["check", str(config)])
    assert (result.exit_code, "x: unknown key" in result.output) == (2, True)


def test_the_peers_command_without_a_server_fails_with_one_line() -> None:
    result = CliRunner().invoke(cli, ["peers", f"127.0.0.1:{free_port()}"])
    assert (result.exit_code, result.output.count("\n")) == (1, 1)
    assert CliRunner().invoke(cli, ["peers", "nowhere"]).exit_code == 2


def test_the_membership_report_as_text() -> None:
    loop = new_loop()
    node = GossipNode.bind(loop, settings_on(free_port()), "a", 1)
    lines = membership_text(json.loads(json.dumps(node.report()))).splitlines()
    assert lines[0].startswith("a at 127.0.0.1")
    assert lines[1] == "1 there, 0 gone"
    assert lines[-1] == "dropped: nothing"
    loop.close()
