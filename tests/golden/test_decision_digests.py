"""Digests of decisions for fixed seeds: the same must come out after every change that is to change no behaviour.

`decision-digests.json` holds them. A change that is to change decisions renews the file, and says why:

    .venv/bin/python -m tests.golden.test_decision_digests > tests/golden/decision-digests.json

The cases are fed through the entry points of the deciding parts, whose names stand in this file alone.
"""

from __future__ import annotations

import json
import os
import random
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import asdict, replace
from functools import partial
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
import pytest

from canvasbeam import Dispatcher
from canvasbeam.cluster.node_core import NodeCore
from canvasbeam.dispatch.settings import Weights
from canvasbeam.failure_detection.swim import Membership
from canvasbeam.replication.durability import Outbox
from canvasbeam.simulator import engine_sim, scenario
from canvasbeam.simulator import lending_budgets as budgets
from canvasbeam.units import SECOND
from tests.golden.decision_encoding import Digest, Recorder
from tests.golden.dispatcher_day import Day, draw_deployment
from tests.support import soft_state_walk, soft_state_world
from tests.support.lab import small
from tests.support.membership_simulation import (
    acknowledge,
    every_event,
    leave_for_good,
    lose_for_good,
    primary_of,
    started,
)
from tests.support.peering import run_history
from tests.support.replication_simulation import RandomWalk, ReplicationSimulation

ROOT = Path(__file__).resolve().parents[2]
EXPECTED = Path(__file__).with_name("decision-digests.json")
DAYS_IN_A_CASE = 4
STEPS_OF_A_DAY = 500
FAULTS: tuple[dict[str, Any], ...] = (
    {"kind": "crash", "at_s": 1.5, "for_s": 1.5, "part": 0.34},
    {"kind": "breaking", "at_s": 0.5, "for_s": 5, "part": 0.5, "size": 0.3},
    {"kind": "drain", "at_s": 1, "for_s": 4, "part": 0.3},
    {"kind": "fast_errors", "at_s": 3, "for_s": 1, "part": 0.5, "size": 0.4},
    {"kind": "burst", "at_s": 1, "for_s": 3, "size": 2.3},
    {"kind": "scheduler_restart", "at_s": 3, "for_s": 0.5, "targets": ["n1"]},
)
Case = Callable[[Recorder], None]


# --- what is recorded -------------------------------------------------------------------------------------------------


@contextmanager
def calls_recorded(owner: type, method: str, record: Callable[..., None]) -> Iterator[None]:
    """Hand each call's result and arguments to a function."""
    original = getattr(owner, method)

    def recorded(self: Any, *arguments: Any, **options: Any) -> Any:
        result = original(self, *arguments, **options)
        record(result, *arguments, **options)
        return result

    with mock.patch.object(owner, method, recorded):
        yield


def timed_actions(recorder: Recorder, actions: list[Any], now: int, _events: Any) -> None:
    """A line for each call that decided something."""
    if actions:
        recorder.add(now, actions)


def given_actions(recorder: Recorder, actions: list[Any]) -> None:
    """The same of what has no time with it."""
    if actions:
        recorder.add(actions)


def passed_actions(recorder: Recorder, let_go: Any, actions: list[Any]) -> None:
    """What a member returned, and what of that leaves before the next write."""
    if actions:
        recorder.add(actions, list(let_go))


def figures(value: Any) -> Any:
    """A result without the names of its fields."""
    if isinstance(value, msgspec.Struct):
        return [figures(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, list | tuple):
        return [figures(element) for element in value]
    return value


# --- the cases --------------------------------------------------------------------------------------------------------


def dispatcher_days(first: int, recorder: Recorder) -> None:
    """Drawn deployments with drawn days."""
    with calls_recorded(Dispatcher, "handle", partial(timed_actions, recorder)):
        for seed in range(first, first + DAYS_IN_A_CASE):
            chance = random.Random(seed)
            day = Day(draw_deployment(chance), chance)
            day.run(STEPS_OF_A_DAY)
            recorder.add(day.events, day.jobs, day.dispatcher.ejected_workers())


def crowd_days(recorder: Recorder) -> None:
    """Days of one dispatcher of forty, which is told what workers hold."""
    with calls_recorded(Dispatcher, "handle", partial(timed_actions, recorder)):
        for seed in range(1_000, 1_002):
            chance = random.Random(seed)
            drawn = draw_deployment(chance)
            told = replace(drawn.settings, dispatchers=40, weights=Weights.LIVE, report_fields=("free_slots",))
            Day(replace(drawn, settings=told), chance).run(STEPS_OF_A_DAY)


def simulated_run(make: Callable[[], Any], recorder: Recorder) -> None:
    """A scenario in simulated time: all decisions of all schedulers, and the figures of the result."""
    with ExitStack() as stack:
        stack.enter_context(calls_recorded(Dispatcher, "handle", partial(timed_actions, recorder)))
        stack.enter_context(calls_recorded(Membership, "handle", partial(timed_actions, recorder)))
        result, _ = engine_sim.play(make())
    recorder.add(figures(msgspec.structs.replace(result, about="")))


def replication_walk(seeds: range, machines: int, tolerated: int, recorder: Recorder) -> None:
    """Random walks with every kind of trouble."""
    with calls_recorded(Outbox, "take", partial(passed_actions, recorder)):
        for seed in seeds:
            RandomWalk(seed, machines=machines, tolerated=tolerated).run(120)


def replication_members(recorder: Recorder) -> None:
    """Members that leave, are lost for good and are replaced, between regions."""
    with calls_recorded(Outbox, "take", partial(passed_actions, recorder)):
        for machines, tolerated in ((3, 1), (5, 2)):
            world = started(machines, tolerated)
            recorder.add(leave_for_good(world, primary_of(world)))
            recorder.add(acknowledge(world))
            new = world.add("10.0.9.1", tuple(world.machines))
            world.run_between_regions(6 * SECOND)
            acknowledge(world)
            lose_for_good(world, next(machine for machine in world.machines if machine not in (new, primary_of(world))))
            recorder.add(acknowledge(world))
            for _ in every_event(world, SECOND):
                pass
            world.run_between_regions(3 * SECOND)
            recorder.add(sorted(world.acknowledged))


def replication_pieces(recorder: Recorder) -> None:
    """Orderly progress with states that go in pieces, a lost disk and a primary that stands still."""
    with calls_recorded(Outbox, "take", partial(passed_actions, recorder)):
        world = ReplicationSimulation(3, 1, chunk_bytes=100, state_bytes=1_000)
        world.run(20)
        for _ in range(10):
            world.submit(primary_of(world))
            world.run(2)
        lost = next(machine for machine in world.machines if machine != primary_of(world))
        world.wipe(lost)
        world.start(lost)
        world.run(60)
        old = primary_of(world)
        world.frozen.add(old)
        world.run(60)
        world.frozen.clear()
        world.read(old)
        world.run(60)
        world.recover()


def soft_state(seed: int, recorder: Recorder) -> None:
    """A walk of a whole system: items, contact, monitoring, the registry, the directory and replication."""

    def send(_: None, addresses: Any, _channel: Any, payload: bytes) -> None:
        recorder.add("registry", list(addresses), payload)

    def resolve(answer: list[str], zone: str, host: str) -> None:
        recorder.add("directory", zone, host, answer)

    process = soft_state_world.ControlProcess
    begin_heartbeat = process.begin_heartbeat

    def heartbeat(self: Any, worker: str, sequence: int, state: str, on_answer: Callable[[bool], None]) -> None:
        def answered(is_acknowledged: bool) -> None:
            recorder.add("heartbeat", worker, sequence, is_acknowledged)
            on_answer(is_acknowledged)

        begin_heartbeat(self, worker, sequence, state, answered)

    with ExitStack() as stack:
        stack.enter_context(calls_recorded(NodeCore, "take_actions", partial(given_actions, recorder)))
        stack.enter_context(calls_recorded(Outbox, "take", partial(passed_actions, recorder)))
        stack.enter_context(calls_recorded(process, "send_to_many", send))
        stack.enter_context(calls_recorded(process, "resolve", resolve))
        stack.enter_context(mock.patch.object(process, "begin_heartbeat", heartbeat))
        walk = soft_state_walk.Walk(seed)
        walk.run(8 * SECOND)
        recorder.add(walk.events)


def instances(first: int, recorder: Recorder) -> None:
    """Instances that know each other, under drawn faults."""
    with calls_recorded(Membership, "handle", partial(timed_actions, recorder)):
        for seed in range(first, first + 3):
            run_history(seed)


def shared_budgets(recorder: Recorder) -> None:
    """Four instances that borrow from each other, some of whose messages are lost, and that are not always there."""
    for seed in range(3):
        chance = random.Random(seed)
        names = ("b0", "b1", "b2", "b3")
        terms = budgets.Terms(rate=200.0, instances=len(names), grain=chance.choice((0.0, 5.0)))
        now = 100 * SECOND
        there = {name: budgets.Budget(terms, seed, now) for name in names}
        waiting: dict[str, list[budgets.Event]] = {name: [] for name in names}
        for step in range(3_000):
            now += chance.randrange(1, SECOND // 100)
            name = chance.choice(names)
            budget = there[name]
            if step % 400 == 0:
                seen = tuple(name for name in names if chance.random() < 0.9)
                for each in names:
                    waiting[each].append(budgets.There(tuple(other for other in seen if other != each)))
            if step % 1_000 == 999:
                terms = budgets.Terms(rate=chance.choice((100.0, 200.0, 300.0)), instances=len(names))
                for each in names:
                    waiting[each].append(budgets.Reloaded(terms))
            events, waiting[name] = waiting[name], []
            actions = budget.handle(now, events)
            taken = sum(budget.take(now) for _ in range(chance.choice((0, 1, 4) if name > "b1" else (0, 0, 0, 1))))
            recorder.add(now, actions, taken, budget.rate(now))
            for action in actions:
                if chance.random() < 0.1:
                    continue
                kind = budgets.Asked if isinstance(action, budgets.Ask) else budgets.Granted
                waiting[action.to].append(kind(name, action.number, action.rate))


def cases() -> dict[str, Case]:
    """All cases by name; the first word of a name is its group."""
    found: dict[str, Case] = {}
    for first in range(0, 8 * DAYS_IN_A_CASE, DAYS_IN_A_CASE):
        found[f"dispatcher days {first} to {first + DAYS_IN_A_CASE - 1}"] = partial(dispatcher_days, first)
    found["dispatcher crowd"] = crowd_days
    found["lab smoke"] = partial(simulated_run, lambda: scenario.load("smoke", {"seed": 5}))
    found["lab faults"] = partial(simulated_run, lambda: small(*FAULTS, length_s=5))
    found["lab parted"] = partial(simulated_run, lambda: scenario.load("parted", {"length_s": 6, "faults": []}))
    for first in (0, 3, 6):
        found[f"replication three machines {first}"] = partial(replication_walk, range(first, first + 3), 3, 1)
    found["replication five machines"] = partial(replication_walk, range(2), 5, 2)
    found["replication members"] = replication_members
    found["replication pieces"] = replication_pieces
    for seed in range(3):
        found[f"system walk {seed}"] = partial(soft_state, seed)
    for first in (0, 3):
        found[f"instances torture {first}"] = partial(instances, first)
    found["budgets"] = shared_budgets
    return found


CASES = cases()


def digest_of(name: str) -> Digest:
    """Play a case."""
    recorder = Recorder()
    CASES[name](recorder)
    return recorder.digest()


# --- the tests --------------------------------------------------------------------------------------------------------


def expected() -> dict[str, dict[str, Any]]:
    read: dict[str, dict[str, Any]] = json.loads(EXPECTED.read_text(encoding="ascii"))
    return read


def test_the_file_names_each_case() -> None:
    assert list(expected()) == list(CASES)


@pytest.mark.parametrize("name", CASES)
def test_decisions_are_the_same(name: str) -> None:
    assert asdict(digest_of(name)) == expected()[name]


def test_decisions_do_not_depend_on_the_hashes_of_strings() -> None:
    """One case of each group, in a process with hashes of its own."""
    names = list({name.split()[0]: name for name in reversed(CASES)}.values())
    command = [sys.executable, "-m", __name__, *names]
    environment = {**os.environ, "PYTHONHASHSEED": "4711"}
    done = subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, text=True, check=True)
    assert json.loads(done.stdout) == {name: expected()[name] for name in names}


if __name__ == "__main__":
    asked = sys.argv[1:] or list(CASES)
    print(json.dumps({name: asdict(digest_of(name)) for name in asked}, indent=2))
