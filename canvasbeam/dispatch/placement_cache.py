"""Cache the kinds of requests that no worker accepted, and the workers that have changed since.

Testing every worker again for every event would cost too much CPU time in a large fleet. Requests of a kind that no
worker accepted are tested only against workers where an attempt has started or ended since. The next sweep clears the
cached kinds.

Owns both tables. It must never test a worker.
"""

from __future__ import annotations

from collections.abc import Iterable

from canvasbeam.dispatch.records import EquivalenceKey, TrackedWorker


class PlacementCache:
    """The kinds of requests that no worker accepted, and the changed workers that may accept these kinds now."""

    def __init__(self) -> None:
        self._unplaceable: dict[EquivalenceKey, None] = {}
        self._changed_workers: dict[str, TrackedWorker] = {}

    def add_unplaceable(self, key: EquivalenceKey) -> None:
        """Record that no worker accepts requests of this kind."""
        self._unplaceable[key] = None

    def is_unplaceable(self, key: EquivalenceKey) -> bool:
        """Return True if no worker accepted requests of this kind when all workers were last tested."""
        return key in self._unplaceable

    def forget_unplaceable(self) -> None:
        """Clear the cached kinds, so that every worker is tested again for every kind of request."""
        self._unplaceable.clear()

    def mark_changed(self, worker: TrackedWorker) -> None:
        """Record that an attempt started or ended at a worker, or that the worker was restored."""
        self._changed_workers[worker.name] = worker

    def changed_workers(self) -> Iterable[TrackedWorker]:
        """Return the workers marked as changed since the last pass over pending requests."""
        return self._changed_workers.values()

    def end_pass(self, *, is_queue_empty: bool) -> None:
        """End a pass over pending requests, in which all changed workers were tested."""
        self._changed_workers.clear()
        if is_queue_empty:
            self._unplaceable.clear()
