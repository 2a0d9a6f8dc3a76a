"""The soft state under an explorer: random walks with every kind of trouble, and planted faults that it must find.

`EXPLORER_WALKS` sets the number of walks; what is run here by default takes seconds. A walk is drawn from its seed alone:
`EXPLORER_SEED=7` tells that one again.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterable, Sequence
from contextlib import AbstractContextManager
from unittest import mock

import pytest

from canvasbeam.cluster.items import Item, ItemTable
from canvasbeam.cluster.member_list import MemberList
from canvasbeam.decide import distribution, reconcile
from canvasbeam.decide.control_contact import ControlContact
from canvasbeam.units import SECOND

from .soft_state_invariants import (
    AdoptionWentBack,
    EndedNodeNamed,
    OldConfiguration,
    Violation,
    VouchedWithoutContact,
)
from .soft_state_walk import Walk

WALKS = int(os.environ.get("EXPLORER_WALKS", "24"))
FIRST = int(os.environ.get("EXPLORER_SEED", "0"))
SPAN = 20 * SECOND
BATCH = 8


def tell(seed: int) -> Walk:
    """Run one walk; what is violated names the seed and what came before."""
    walk = Walk(seed)
    try:
        walk.run(SPAN)
    except Violation as violation:
        story = "\n".join(walk.story)
        raise type(violation)(f"EXPLORER_SEED={seed}: {violation}\n{story}") from violation
    return walk
