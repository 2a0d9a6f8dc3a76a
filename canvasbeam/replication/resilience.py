"""The number of further member losses that a view tolerates: figures for operators, unused by the protocol."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from canvasbeam.replication.view_rules import min_replicas
from canvasbeam.replication.views import MemberId, View


@dataclass(frozen=True, slots=True)
class Resilience:
    """The fault tolerance of a view, for an operator who wants to stop a further machine."""

    copies: int = 0  # number of replicas with every acknowledged change on disk
    voters: int = 0  # number of witnesses
    has_open_reconfiguration: bool = False  # an electorate change is not complete
    tolerable_losses: int = 0  # number of members that may fail at the same time without an outage


def resilience_of(view: View, is_reconfiguration_complete: bool, tolerated_machines: int) -> Resilience:
    """Return the resilience of a view; the view alone determines the result: every usable witness is a replica."""
    margins = [len(view.replicas) - min_replicas(len(view.witnesses), tolerated_machines)]
    margins.append(_majority_margin(view.replicas, view.witnesses))
    if not is_reconfiguration_complete:
        margins.append(_majority_margin(view.replicas, view.previous_witnesses))
    return Resilience(len(view.replicas), len(view.witnesses), not is_reconfiguration_complete, max(0, min(margins)))


def _majority_margin(present: Collection[MemberId], electorate: Collection[MemberId]) -> int:
    """Return the number of present voters beyond a majority of the electorate; negative without a majority."""
    voters = sum(1 for member in electorate if member in present)
    return voters - (len(electorate) // 2 + 1)
