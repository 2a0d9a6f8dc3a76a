"""Detect zones that may be partitioned from this scheduler, as all workers of a zone share the network links to it.

The scheduler's own zone is never treated as partitioned.
"""

from __future__ import annotations

from collections.abc import Mapping

from canvasbeam.dispatch.language_model.worker_model import WorkerModel


class ZoneLiveness:
    """Detects unresponsive zones by the first tokens from all their workers, whose state is only read."""

    def __init__(self, own_zone: str, workers: Mapping[str, WorkerModel]) -> None:
        self._own_zone = own_zone
        self._workers = workers
        self._first_token_at: dict[str, int] = {}  # time of the last first token, by zone
        self._unresponsive: dict[str, bool] = {}  # by zone; True = unresponsive at the time `_computed_at`
        self._computed_at = 0

    def note_first_token(self, now: int, zone: str) -> None:
        """Record a first token from a worker of a zone."""
        self._first_token_at[zone] = now

    def is_unresponsive(self, now: int, zone: str) -> bool:
        """Return True if a first token from another zone is overdue and the zone sent none since; cached per `now`."""
        if zone == self._own_zone:
            return False
        if now != self._computed_at:
            self._computed_at = now
            self._unresponsive.clear()
        if zone not in self._unresponsive:
            first_token_at = self._first_token_at.get(zone, 0)
            in_zone = (worker for worker in self._workers.values() if worker.zone == zone)
            self._unresponsive[zone] = any(worker.is_overdue(now, first_token_at) for worker in in_zone)
        return self._unresponsive[zone]
