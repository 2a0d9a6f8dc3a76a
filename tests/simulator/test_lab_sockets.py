"""The sockets engine, the load tool, experiments, reports and the command line, as a person would use them."""

from __future__ import annotations

import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from canvasbeam.cli.commands import LAZY, cli
from canvasbeam.cli.exit_codes import ExitCode
from canvasbeam.scheduler.loop import Loop
from canvasbeam.simulator import engine_sim, engine_sockets, experiments, report, scheduler_processes
from canvasbeam.simulator import result as results
from canvasbeam.simulator.load import Load
from canvasbeam.simulator.load_plan import Plan
from canvasbeam.simulator.wire import Asked, ServerConnection, ServerSocket, answer
from tests.support.lab import RunsTwice, small

ROOT = Path(__file__).parents[2]
CRASH = {"kind": "crash", "at_s": 1, "for_s": 1, "part": 0.34}
KILL = {"kind": "scheduler_kill", "at_s": 1.5, "for_s": 0.3, "targets": ["n0"]}
BREAKING = {"kind": "breaking", "at_s": 0.2, "for_s": 4, "part": 1, "size": 0.5}


# --- the sockets engine ---------------------------------------------------------------------------


def test_real_schedulers_keep_the_rules_among_dying_and_silent_workers(tmp_path: Path) -> None:
    silent = {"kind": "silent", "at_s": 1, "for_s": 1, "targets": ["s-0000"]}
    drain = {"kind": "drain", "at_s": 1, "for_s": 2, "targets": ["s-0005"]}
    restart = {"kind": "scheduler_restart", "at_s": 2, "for_s": 0.3, "targets": ["n1"]}
    played = small(CRASH, KILL, silent, drain, restart, length_s=4)
    result = engine_sockets.play(played, tmp_path)
    assert result.broken == []
    assert result.jobs == len(engine_sim.SimulatedWorld(played).jobs)  # both engines play the same draw
    assert result.ends["served"] > 0.7 * result.jobs
    assert sum(stream.offered for stream in result.traffic) >= result.ends["served"]
    assert (tmp_path / "n0.log").read_text().count("listens on") == 2  # it was started again


def test_a_broken_scheduler_process_is_caught(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "tests.support.broken_scheduler"]
    result = engine_sockets.play(small(BREAKING, length_s=4), tmp_path, command)
    assert [rule for rule in result.broken if rule.rule == "twice" and "contract-file ran" in rule.text]


def test_a_scheduler_that_dies_at_its_start_ends_the_run_with_its_words(tmp_path: Path) -> None:
    command = [sys.executable, "-c", "raise SystemExit('no licence')"]
    with pytest.raises(engine_sockets.UnplayableError, match=r"ended at its start:\n  no licence"):
        engine_sockets.play(small(), tmp_path, command)


def test_a_port_taken_meanwhile_is_left_for_another(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    honest, taken = scheduler_processes.free_loopback_address, socket.create_server(("127.78.0.1", 0))
    found = [taken.getsockname()]

    def taken_first(place: int) -> tuple[str, int]:
        return found.pop() if found else honest(place)

    monkeypatch.setattr(scheduler_processes, "free_loopback_address", taken_first)
    result = engine_sockets.play(small(length_s=1), tmp_path)
    taken.close()
    assert result.holds
    assert not found


# --- the load tool --------------------------------------------------------------------------------


class Stub:
    """A scheduler on the load's own loop that answers as it is told to."""

    def __init__(self, plan: dict[str, Any], status: str = "200 OK", stall: float = 0.0, mute: bool = False) -> None:
        self.seen: list[str] = []
        self._status, self._stall, self._mute = status, stall, mute
        self._sock = socket.create_server(("127.79.0.1", 0))
        address = self._sock.getsockname()
        self._sock.close()
        self.load = Load(Plan(addresses=(address,), **plan))
        self.server = ServerSocket(self.load.loop, address, self._asked, lambda _: None, lambda _: None, lambda: 1)

    def _asked(self, connection: ServerConnection, asked: Asked) -> None:
        self.seen.append(asked.headers["x-call-id"])
        if self._stall and len(self.seen) == 1:
            # Stalls the whole loop: what the tool meant to send meanwhile leaves late.
            begun = time.monotonic()
            while time.monotonic() - begun < self._stall:
                pass
        if not self._mute:
            connection.write(answer(self._status, b"x"))


def test_open_load_sends_what_it_planned_and_counts_by_class_and_department() -> None:
    classes, departments = (("file-read", 3.0), ("hours-entry", 1.0)), (("a", 1.0), ("b", 1.0))
    stub = Stub({"rate": 400.0, "seconds": 0.5, "classes": classes, "departments": departments})
    summary = stub.load.run()
    assert summary.served == summary.sent == summary.planned == len(set(stub.seen)) > 100
    assert sum(request_class.served for request_class in summary.classes) == summary.served
    assert sum(department.sent for department in summary.departments) == summary.sent
    assert summary.classes[0].sent > summary.classes[1].sent


def test_latency_counts_from_the_time_a_request_was_meant_to_be_sent() -> None:
    stub = Stub({"rate": 400.0, "seconds": 0.5, "evenly": True}, stall=0.3)
    summary = stub.load.run()
    # 120 requests were due during the stall; a tool that waits to send would have seen one slow answer.
    assert summary.latency_ms["p50"] > 20
    assert summary.fell_behind
    assert "fell behind its plan" in summary.marks[0]


def test_a_saturated_tool_and_an_unanswering_scheduler_are_told() -> None:
    stub = Stub({"rate": 100.0, "seconds": 0.2, "budget_s": 0.2, "connections": 2}, mute=True)
    summary = stub.load.run()
    assert summary.unanswered == summary.sent
    assert any("all 2 connections" in mark for mark in summary.marks)


@pytest.mark.parametrize(("status", "field"), [("503 Service Unavailable", "refused"), ("500 Error", "failed")])
def test_closed_loops_ask_one_at_a_time_and_count_refusals(status: str, field: str) -> None:
    stub = Stub({"clients": 4, "seconds": 0.2}, status=status)
    summary = stub.load.run()
    assert getattr(summary, field) == summary.sent == len(stub.seen) > 4
    assert summary.connections <= 4


@pytest.mark.parametrize(
    ("plan", "text"),
    [
        ({"addresses": (("10.0.0.1", 80),), "rate": 1.0}, "not a loopback address"),
        ({"addresses": (("127.0.0.1", 80),)}, "either a rate or a number of clients"),
        ({"addresses": (("127.0.0.1", 80),), "rate": 1.0, "seconds": 1e9}, "the time must lie"),
        ({"addresses": (("127.0.0.1", 80),), "rate": 1e7, "seconds": 3000.0}, "requests may be planned"),
    ],
)
def test_a_plan_without_bounds_or_off_loopback_is_refused(plan: dict[str, Any], text: str) -> None:
    with pytest.raises(ValueError, match=text):
        Load(Plan(**plan))


def test_a_server_socket_beyond_loopback_is_refused() -> None:
    loop = Loop(timedelta(seconds=1))
    with pytest.raises(ValueError, match="not a loopback address"):
        ServerSocket(loop, ("0.0.0.0", 0), lambda *_: None, lambda _: None, lambda _: None, lambda: 1)


# --- experiments and reports ----------------------------------------------------------------------


def write_result(folder: Path, seed: int, g: float, **fields: Any) -> None:
    folder.mkdir(exist_ok=True)
    made = results.Result(
        scenario="x", engine="sim", seed=seed, length_s=1, workers=1, schedulers=1, g=g, service=0.9, **fields
    )
    results.write(made, folder / f"base-seed{seed}.json")


def verdicts(a: Path, b: Path) -> dict[str, str]:
    return {row.metric: row.verdict for row in experiments.compare(a, b)}


def test_a_comparison_calls_a_difference_only_what_chance_would_not_make(tmp_path: Path) -> None:
    a, b, c, few = (tmp_path / name for name in ("a", "b", "c", "few"))
    for seed in range(12):
        base = 0.8 + 0.01 * (seed % 5)
        write_result(a, seed, base)
        write_result(b, seed, base + 0.02 + 0.001 * (seed % 3))
        write_result(c, seed, base + (0.02 if seed % 2 else -0.02))
    write_result(few, 0, 0.9)
    assert verdicts(a, b)["g"] == "B is higher"
    assert verdicts(b, a)["g"] == "B is lower"
    assert verdicts(a, c)["g"] == "no difference seen"
    assert verdicts(a, b)["service"] == "the same"
    assert "too few pairs" in verdicts(a, few)["g"]
    assert experiments.compare(a, b)[0].pairs == 12


def test_a_sweep_plays_only_what_is_missing_and_keeps_scenarios_apart(tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    path.write_text(f'extends = "{ROOT}/scenarios/rennes.toml"\nname = "s"\nlength_s = 1\n')
    seen: list[tuple[int, int]] = []

    def sweep() -> list[Path]:
        seen.clear()
        grid = {"traffic.load": [0.2, 0.3]}
        return experiments.sweep(str(path), grid, [1, 2], tmp_path / "out", 2, lambda done, of: seen.append((done, of)))

    made = sweep()
    assert [item.name for item in made] == [
        f"traffic.load={load}-seed{seed}.json" for load in (0.2, 0.3) for seed in (1, 2)
    ]
    assert seen[0] == (0, 4)
    before = made[1].read_bytes()
    made[0].write_bytes(before[: len(before) // 2])  # as an interrupted write would leave it, were it not renamed
    made[2].unlink()
    again = sweep()
    assert seen[0] == (2, 4)
    assert seen[-1] == (4, 4)
    assert again[1].read_bytes() == before
    path.write_text(f'extends = "{ROOT}/scenarios/rennes.toml"\nname = "s"\nlength_s = 2\n')
    with pytest.raises(ValueError, match="another version"):
        sweep()


def test_an_interrupted_sweep_ends_with_130_keeps_what_is_done_and_goes_on(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "canvasbeam", "lab", "sweep", "calm", "--seeds", "1-6", "--jobs", "1", "--out"]
    environment = {**os.environ, "CI": "1"}
    running = subprocess.Popen([*command, str(tmp_path)], env=environment, cwd=ROOT, stderr=subprocess.PIPE, text=True)
    while not list(tmp_path.glob("base-seed*.json")) and running.poll() is None:
        os.sched_yield()
    running.send_signal(signal.SIGINT)
    _, told = running.communicate()
    assert running.returncode == ExitCode.INTERRUPTED
    count = re.search(r"(\d) of 6 runs are in", told)
    assert count is not None
    done = sorted(tmp_path.glob("base-seed*.json"))
    assert 1 <= len(done) == int(count[1]) < 6
    assert not list(tmp_path.glob("*.part"))
    for each in done:
        assert results.read(each).holds


def test_an_interrupt_that_a_callback_would_swallow_ends_the_sweep_all_the_same(tmp_path: Path) -> None:
    """As an exception it may come anywhere: in a callback of the interpreter's own it is printed and forgotten."""

    def swallow(done: int, _count: int) -> None:
        with contextlib.suppress(BaseException):
            if done == 1:
                signal.raise_signal(signal.SIGINT)

    before = signal.getsignal(signal.SIGINT)
    with pytest.raises(experiments.SweepInterruptedError, match=r"[1-5] of 6 runs are in"):
        experiments.sweep("calm", {}, range(1, 7), tmp_path, workers=1, progress=swallow)
    assert signal.getsignal(signal.SIGINT) is before


def test_a_report_needs_nothing_beside_it_and_hides_no_broken_rule(tmp_path: Path) -> None:
    good, cost = engine_sim.play(small(CRASH, {"kind": "burst", "at_s": 2, "for_s": 2, "size": 1.5}))
    bad, _ = engine_sim.play(small(BREAKING), RunsTwice)
    page = report.page([good], cost)
    # Namespaces are names; nothing may be fetched: no script, style sheet, picture or link from elsewhere.
    assert not re.search(r"<script|<link|<img|src=|@import|url\((?!#)|href=\"(?!#)", page)
    assert page.count("<svg") == 6
    assert "crash" in page
    assert f"{good.service:.3f}" in page
    assert "Broken rules" not in page
    both = report.page([good, bad])
    assert "Broken rules" in both
    assert "contract-file ran" in both


# --- the command line -----------------------------------------------------------------------------


def invoke(*arguments: str) -> tuple[int, str]:
    made = CliRunner().invoke(cli, list(arguments), env={"CI": "1"})
    return made.exit_code, made.output


def test_every_command_has_help_with_an_example() -> None:
    code, text = invoke("--help")
    assert code == ExitCode.OK
    assert "Exit codes" in text
    for name in LAZY:
        assert name in text
        code, told = invoke(name, "--help")
        assert code == ExitCode.OK
        assert "xample" in told or name == "lab"
    for name in ("run", "sweep", "compare", "report"):
        assert "Example" in invoke("lab", name, "--help")[1]


def test_check_tells_good_from_bad_and_ends_with_2(tmp_path: Path) -> None:
    assert invoke("check", "calm", str(ROOT / "example" / "config.json"))[0] == ExitCode.OK
    bad = tmp_path / "bad.json"
    bad.write_text('{"listen": "nowhere"}')
    code, text = invoke("check", "calm", str(bad), "--json")
    assert code == ExitCode.USAGE
    told = json.loads(text)
    assert told[0]["problem"] is None
    assert "numeric address" in told[1]["problem"]
    assert invoke("check", "nothing-of-the-kind")[0] == ExitCode.USAGE


def test_lab_run_writes_result_cost_and_report(tmp_path: Path) -> None:
    code, text = invoke("lab", "run", "smoke", "--set", "length_s=3", "--set", "faults=[]", "--out", str(tmp_path))
    assert code == ExitCode.OK, text
    assert sorted(path.suffix for path in tmp_path.iterdir()) == [".cost", ".html", ".json"]
    code, text = invoke("lab", "run", "smoke", "--set", "traffic.laod=1", "--out", str(tmp_path))
    assert code == ExitCode.USAGE
    assert "did you mean load?" in text
    made = str(tmp_path / "smoke-sim-seed1.json")
    code, text = invoke("lab", "compare", made, made)
    assert code == ExitCode.OK
    assert "the same" in text


def test_a_broken_rule_ends_a_run_with_3_and_prints_the_life(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    honest = engine_sim.play
    monkeypatch.setattr(engine_sim, "play", lambda played: honest(played, RunsTwice))
    faults = 'faults=[{kind="breaking", at_s=0.2, for_s=3, part=1, size=0.5}]'
    changes = ("--set", "length_s=4", "--set", faults, "--no-report", "--out", str(tmp_path))
    code, text = invoke("lab", "run", "smoke", *changes)
    assert code == ExitCode.BROKEN
    assert "broken rule [twice]" in text
    assert "began at s-" in text


def test_a_bare_scheduler_imports_nothing_of_the_laboratory() -> None:
    said = subprocess.run(
        [sys.executable, "-c", "import canvasbeam.__main__, sys; print(*sorted(sys.modules))"],
        cwd=ROOT, capture_output=True, text=True, check=True,
    ).stdout.split()  # fmt: skip
    heavy = {"click", "msgspec", "numpy", "hdrh", "matplotlib", "rich", "canvasbeam.simulator", "canvasbeam.cli"}
    assert not heavy & set(said)


def test_emulated_workers_answer_a_job_by_hand(tmp_path: Path) -> None:
    with socket.create_server(("127.79.0.2", 0)) as sock:
        port = sock.getsockname()[1]
    command = [sys.executable, "-m", "canvasbeam", "emulate", "--discovery", f"127.79.0.2:{port}", "--workers", "2"]
    running = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
    assert running.stdout is not None
    try:
        assert f"discovery on 127.79.0.2:{port}; 2 workers" in running.stdout.readline()
        with socket.create_connection(("127.79.0.2", port)) as sock:
            sock.sendall(b"GET /registry/instances HTTP/1.1\r\nHost: x\r\n\r\n")
            hosts = json.loads(sock.recv(65536).partition(b"\r\n\r\n")[2])["hosts"]
        host, _, dial = hosts[0]["dial"].partition(":")
        with socket.create_connection((host, int(dial))) as sock, sock.makefile("rb") as lines:
            sock.sendall(
                b"POST /api?sid=1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: c1\r\nX-Call-Class: hours-entry\r\n"
                b"X-Budget: 9\r\nContent-Length: 2\r\n\r\nhi"
            )
            said = [json.loads(line) for line in lines_of(lines)]
        assert [name["state"] for name in said] == ["started", "done"]
        assert said[1]["id"] == "c1"
        assert "x0" in said[1].get("load", {"x0": 0})
    finally:
        running.send_signal(signal.SIGINT)
    assert running.communicate()[0].strip() == "ended"
    assert running.returncode == ExitCode.OK


def lines_of(file: Any) -> list[bytes]:
    """The JSON lines of one chunked answer."""
    while file.readline().strip():
        pass
    found = []
    while size := int(file.readline(), 16):
        found.append(file.read(size + 2))
    file.readline()
    return found
