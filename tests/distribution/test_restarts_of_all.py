"""Restarts of all processes, on simulated machines: no acknowledged end of a worker is forgotten.

`RESTART_FIRST` and `RESTART_WALKS` set the first seed and the number of walks; a longer run is started by hand.
"""

from __future__ import annotations

import os

import pytest

from canvasbeam.units import SECOND
from tests.support.restart_walk import RestartWalk
from tests.support.soft_state_invariants import DrainedWorkerInUseError, ViolationError

FIRST_SEED = int(os.environ.get("RESTART_FIRST", "0"))
WALKS = int(os.environ.get("RESTART_WALKS", "6"))
SPAN = 25 * SECOND
SEEDS_OF_FAULT = range(6)


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + WALKS))
def test_no_acknowledged_end_is_forgotten_when_all_processes_restart(seed: int) -> None:
    """Guards against requests to a worker whose end only the memory of the control processes knew."""
    walk = RestartWalk(seed)
    try:
        walk.run(SPAN)
    except ViolationError as violation:
        raise type(violation)(f"RESTART_FIRST={seed} RESTART_WALKS=1: {violation}") from violation
    assert walk.ended
    assert walk.restarts


def forgets_an_end(seed: int) -> bool:
    try:
        RestartWalk(seed, keeps_writes=False).run(SPAN)
    except DrainedWorkerInUseError:
        return True
    return False


def test_walks_detect_ends_that_are_kept_in_memory_alone() -> None:
    assert any(forgets_an_end(seed) for seed in SEEDS_OF_FAULT)
