"""Tests of `resilience_of`: how many more members a view can lose."""

from __future__ import annotations

import pytest

from canvasbeam.replication.resilience import Resilience, resilience_of
from canvasbeam.replication.views import Epoch, MemberId, View

A, B, C, D, E = (MemberId(f"10.0.0.{number}/0") for number in range(1, 6))


@pytest.mark.parametrize(
    ("view", "is_reconfiguration_complete", "tolerated", "tolerable"),
    [
        (View(Epoch(1, A), A, (A, B, C), (A, B, C), (A, B, C)), True, 1, 1),
        (View(Epoch(1, A), A, (A, B), (A, B, C), (A, B, C)), True, 1, 0),
        (View(Epoch(1, A), A, (A, B, C, D, E), (A, B, C, D, E), (A, B, C, D, E)), True, 2, 2),
        (View(Epoch(1, A), A, (A, B, C, D), (A, B, C, D, E), (A, B, C, D, E)), True, 2, 1),
        (View(Epoch(1, A), A, (A, D, C), (A, D, C), (A, B, C)), False, 1, 0),
        (View(Epoch(1, A), A, (A, D, C), (A, D, C), (A, B, C)), True, 1, 1),
        (View(Epoch(1, A), A, (A,), (A,), (A,)), True, 1, 0),
    ],
)
def test_tolerable_losses(view: View, is_reconfiguration_complete: bool, tolerated: int, tolerable: int) -> None:
    """Check the reported copies, voters and tolerable losses of views of different size and state."""
    found = resilience_of(view, is_reconfiguration_complete, tolerated)
    assert found == Resilience(len(view.replicas), len(view.witnesses), not is_reconfiguration_complete, tolerable)
