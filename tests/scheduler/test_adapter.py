"""The adapter over real pipes: frames, isolation, bad input, the same actions whatever the hash seed."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import Any

import pytest

OPTIONS: dict[str, Any] = {
    "services": [
        {"name": "look", "aimNs": 200_000_000, "deadlineNs": 5_000_000_000, "idempotency": "free", "new": 1}
    ],
    "localities": ["here", "there"], "myZone": "here", "quantumNs": 2_000_000, "replicasOfMe": 2,
    "policyLimits": {"mostTries": 3, "cancel": True, "probes": True, "connectTimeoutNs": 100_000_000},
    "specifics": {"tellsStart": True, "progressNs": 1_000_000_000, "classKind": [-1], "classStretch": [2.0]},
    "report": {"columns": ["rate", "x0"], "how": "answers"}, "not known yet": {"a": 1},
}  # fmt: skip
WORKERS = [
    {"runner": f"10.0.0.{number}:80", "locality": "here", "sku": "k", "group": 0, "stageState": "live"}
    for number in range(3)
]


def launch(number: int, seed: int = 7) -> list[dict[str, Any]]:
    return [
        {"t": "Launch", "i": number, "randomSeed": seed, "options": OPTIONS},
        {"t": "Ledger", "buffer": 3, "elements": WORKERS},
        {"t": "BackendsChanged", "i": number, "scope": "warm_copy", "buffer": 3, "rev": 1},
    ]


def item(number: int, name: str) -> dict[str, Any]:
    return {"t": "WorkItem", "i": number, "requestId": name, "grade": "look", "dueNs": 6_000_000_000}


def batch(turn: int, *events: dict[str, Any]) -> str:
    opening = {"t": "BeginBatch", "clockNs": 1_000_000_000 + turn * 2_000_000, "turn": turn}
    return "".join(json.dumps(message) + "\n" for message in (opening, *events, {"t": "Commit"}))


def host(text: str, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "canvasbeam.adapter"],
        input=text, capture_output=True, text=True, timeout=60, check=False,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    )  # fmt: skip


def replies(text: str) -> list[dict[str, Any]]:
    done = host(text)
    assert (done.returncode, done.stderr) == (0, "")
    return [json.loads(line) for line in done.stdout.splitlines()]


def test_each_reply_is_flushed_and_echoes_its_turn() -> None:
    command = [sys.executable, "-m", "canvasbeam.adapter"]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdin is not None
        assert process.stdout is not None
        for turn in (1, 2):
            process.stdin.write(batch(turn))
            process.stdin.flush()
            assert json.loads(process.stdout.readline()) == {"t": "Eor", "turn": turn}
        process.stdin.close()
        assert process.wait(timeout=30) == 0


def test_a_job_is_issued_for_its_instance_alone() -> None:
    got = replies(batch(1, *launch(4), *launch(5)) + batch(2, item(4, "c:1")))
    issued = [answer for answer in got if answer["t"] == "Issue"]
    assert [(action["i"], action["requestId"]) for action in issued] == [(4, "c:1")]
    assert issued[0]["runner"] in [worker["runner"] for worker in WORKERS]


def test_instances_act_alike_together_and_apart_and_under_any_hash_seed() -> None:
    def run(numbers: tuple[int, ...], hash_seed: str) -> list[str]:
        text = batch(1, *(event for number in numbers for event in launch(number)))
        for turn in range(2, 40):
            text += batch(turn, *(item(number, f"c:{number}-{turn}") for number in numbers))
        return [line for line in host(text, hash_seed).stdout.splitlines() if '"i":1,' in line]

    together = run((0, 1, 2), "1")
    assert together
    assert together == run((1,), "2") == run((0, 1, 2), "99")


def test_a_list_number_is_taken_over_within_one_batch() -> None:
    other = {"t": "Ledger", "buffer": 3, "elements": [{**WORKERS[0], "runner": "10.9.9.9:1"}]}
    told = {"t": "BackendsChanged", "i": 2, "scope": "total", "buffer": 3, "rev": 2}
    got = replies(batch(1, *launch(1), *launch(2), other, told) + batch(2, item(1, "a"), item(2, "b")))
    sent = {answer["i"]: answer["runner"] for answer in got if answer["t"] == "Issue"}
    assert sent[2] == "10.9.9.9:1" != sent[1]


def test_kill_and_relaunch_in_one_batch_leaves_nothing_behind() -> None:
    ended = {"t": "Answer", "i": 1, "requestId": "a", "hop": 0, "runner": WORKERS[0]["runner"], "code": 5}
    got = replies(
        batch(1, *launch(1)) + batch(2, item(1, "a"))
        + batch(3, item(1, "b"), {"t": "Detach", "i": 1}, *launch(1)) + batch(4, ended)
    )  # fmt: skip
    turns = [index for index, answer in enumerate(got) if answer["t"] == "Eor"]
    after = got[turns[1] + 1 :]
    assert [action["t"] for action in after] == ["Eor", "Eor"]


def test_an_unknown_event_is_skipped_with_one_line() -> None:
    done = host(batch(1, *launch(1), {"t": "Comet", "i": 1}, item(1, "a")))
    assert done.returncode == 0
    assert done.stderr.splitlines() == ["skipped an unknown event 'Comet'"]
    assert '"Issue"' in done.stdout


BAD = {
    "malformed line": ('{"t":"BeginBatch"', "JSON"),
    "not an object": ("[1]\n", "object"),
    "no opening": ('{"t":"Commit"}\n', "BeginBatch"),
    "missing clock": ('{"t":"BeginBatch","turn":1}\n', "clockNs"),
    "cut short": ('{"t":"BeginBatch","turn":1,"clockNs":5}\n', "input ended"),
    "unknown instance": (batch(1, item(9, "a")), "instance 9"),
    "missing field": (batch(1, *launch(1), {"t": "Hangup", "i": 1}), "requestId"),
    "unknown outcome": (
        batch(1, *launch(1), {"t": "Answer", "i": 1, "requestId": "a", "runner": "x", "code": 12}), "code",
    ),
    "list never given": (
        batch(1, *launch(1), {"t": "BackendsChanged", "i": 1, "scope": "total", "buffer": 9}), "list 9",
    ),
    "impossible settings": (
        batch(1, {"t": "Launch", "i": 1, "options": {**OPTIONS, "myZone": "nowhere"}}), "own_zone",
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", BAD)
def test_bad_input_ends_with_one_plain_message(name: str) -> None:
    text, said = BAD[name]
    done = host(text)
    assert done.returncode != 0
    assert len(done.stderr.splitlines()) == 1
    assert said in done.stderr
    assert "Traceback" not in done.stderr
    assert done.stdout == ""


def test_an_exception_in_the_decisions_becomes_broken() -> None:
    got = replies(batch(1, *launch(1)) + batch(2, {**item(1, "a"), "grade": "no such class"}))
    assert [answer["t"] for answer in got] == ["Eor", "Broken", "Eor"]
    assert "no such class" in got[1]["text"]
