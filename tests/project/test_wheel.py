"""The installed program: every package is in it, and it starts from an empty directory, with a management address."""

from __future__ import annotations

import json
import os
import shutil
import socket
import subprocess
import sys
from pathlib import Path

from canvasbeam.version import VERSION
from tests.scheduler.test_upgrade import Fleet, healthy
from tests.support.free_ports import free_port

ROOT = Path(__file__).parents[2]


def test_the_installed_program_starts_from_an_empty_directory_with_its_second_address(tmp_path: Path) -> None:
    source, site, empty = tmp_path / "source", tmp_path / "site", tmp_path / "empty"
    shutil.copytree(ROOT / "canvasbeam", source / "canvasbeam", ignore=shutil.ignore_patterns("__pycache__"))
    for name in ("pyproject.toml", "README.md"):
        shutil.copy(ROOT / name, source / name)
    empty.mkdir()
    command = [sys.executable, "-m", "pip", "-q", "install", "--no-deps", "--target", str(site), str(source)]
    subprocess.run(command, check=True, capture_output=True)
    here = {path.parent.relative_to(ROOT) for path in (ROOT / "canvasbeam").rglob("*.py")}
    there = {path.parent.relative_to(site) for path in (site / "canvasbeam").rglob("*.py")}
    assert there == here
    assert [path.name for path in site.glob("canvasbeam-*.dist-info")] == [f"canvasbeam-{VERSION}.dist-info"]
    fleet = Fleet(tmp_path)
    fields = json.loads(fleet.config.read_text())
    mgmt = ("127.0.0.1", free_port())
    fleet.config.write_text(json.dumps({**fields, "mgmt": "{}:{}".format(*mgmt)}))
    kept = {name: value for name, value in os.environ.items() if name in ("PATH", "HOME")}
    environment = {**kept, "PYTHONPATH": str(site), "LB_CONFIG": str(fleet.config), "TMPDIR": str(empty)}
    with subprocess.Popen([sys.executable, "-m", "canvasbeam"], env=environment, cwd=empty) as process:
        try:
            fleet.until(lambda: process.poll() is not None or healthy(fleet, mgmt))
            assert process.poll() is None
            with socket.create_connection(fleet.listen):
                pass
        finally:
            process.terminate()
        assert process.wait(timeout=60) == 0
