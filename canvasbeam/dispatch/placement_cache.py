"""Remember which requests no worker accepted, and which workers have changed since.

Testing every worker again for every event takes more time than there is in a large fleet. What no worker accepted is
offered only to workers at which something started or ended since, until the next sweep forgets all of it.

Owns both tables. It must never test a worker.
"""

from __future__ import annotations

from collections.abc import Iterable

from canvasbeam.dispatch.records import EquivalenceKey, TrackedWorker


class PlacementCache:
    """The kinds of requests that no worker accepted, and the workers that may accept them by now."""

    def __init__(self) -> None:
        self._unplaceable: dict[EquivalenceKey, None] = {}
        self._changed_workers: dict[str, TrackedWorker] = {}

    def add_unplaceable(self, key: EquivalenceKey) -> None:
        """Note that no worker accepts requests of this kind."""
        self._unplaceable[key] = None

    def is_unplaceable(self, key: EquivalenceKey) -> bool:
        """Return whether no worker accepted requests of this kind when all were tested last."""
        return key in self._unplaceable

    def forget_unplaceable(self) -> None:
        """Have every worker tested again for every kind of request."""
        self._unplaceable.clear()

    def mark_changed(self, worker: TrackedWorker) -> None:
        """Note that something started or ended at a worker."""
        self._changed_workers[worker.name] = worker

    def changed_workers(self) -> Iterable[TrackedWorker]:
        """Return the workers that have changed since the last pass over pending requests."""
        return self._changed_workers.values()

    def end_pass(self, *, is_queue_empty: bool) -> None:
        """End a pass over pending requests, which has tested the workers that had changed."""
        self._changed_workers.clear()
        if is_queue_empty:
            self._unplaceable.clear()
