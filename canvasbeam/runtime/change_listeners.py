"""Deliver changes to listeners, so that a listener that raises neither hides a change from the others nor misses it.

Pure: no I/O, no clock. `ChangeListeners` owns the changes that each listener has still to process. The owner of a
`ChangeListeners` reports the returned exceptions, and decides when to call `retry`.

| state of a listener | entered by | next states |
| --- | --- | --- |
| up to date | `add`; the listener returned | behind |
| behind | the listener raised | up to date, by the next change or by `retry` |

A listener that is behind is called with its missed changes and the new change combined. A listener must therefore
accept a change that it has processed in part, and must not rely on being called once for each change. If a change
consists of parts and the listener raises, it is called with each part alone, and is behind only by the parts at which
it raises again: one part that always raises does not keep all later ones from the listener.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from functools import reduce
from typing import Generic, TypeVar

Change = TypeVar("Change")
Combine = Callable[[Change, Change], Change]
Split = Callable[[Change], Sequence[Change]]


class _Delivery(Generic[Change]):
    """One listener, and the change that it has still to process, if any."""

    def __init__(self, listener: Callable[[Change], object], combine: Combine[Change], split: Split[Change]) -> None:
        self._listener = listener
        self._combine = combine
        self._split = split
        self._missed: list[Change] = []  # at most one change; a list, because a change may be any value

    @property
    def is_behind(self) -> bool:
        """True if the listener has not processed all changes."""
        return bool(self._missed)

    def deliver(self, change: Change) -> Exception | None:
        """Call the listener with its missed changes and `change`; return the exception that the listener raised."""
        combined = reduce(self._combine, [*self._missed, change])
        self._missed = []  # the listener may cause another change, which is delivered during this call
        error = self._call(combined)
        if error is not None:
            self._keep(self._failing_parts(combined))
        return error

    def retry(self) -> Exception | None:
        """Call the listener with its missed changes, if any; return the exception that the listener raised."""
        if not self._missed:
            return None
        return self.deliver(self._missed.pop())

    def _call(self, change: Change) -> Exception | None:
        try:
            self._listener(change)
        except Exception as error:
            return error
        return None

    def _failing_parts(self, change: Change) -> Sequence[Change]:
        """Call the listener with each part of a change at which it raised; return the parts that fail again."""
        parts = self._split(change)
        if len(parts) <= 1:
            return parts
        return [part for part in parts if self._call(part) is not None]

    def _keep(self, parts: Sequence[Change]) -> None:
        """Add parts to the missed changes, as older than those that were missed during the call."""
        if parts:
            self._missed = [reduce(self._combine, [*parts, *self._missed])]


class ChangeListeners(Generic[Change]):
    """The listeners of one kind of change, called in the order in which they were added.

    `combine` returns the change that has the effect of an earlier and a later change; `split` returns the parts of a
    change that a listener can process each for itself.
    """

    def __init__(self, combine: Combine[Change], split: Split[Change] | None = None) -> None:
        self._combine = combine
        self._split = split or _unsplit
        self._deliveries: list[_Delivery[Change]] = []

    def __len__(self) -> int:
        return len(self._deliveries)

    def add(self, listener: Callable[[Change], object]) -> None:
        """Call `listener` with every later change."""
        self._deliveries.append(_Delivery(listener, self._combine, self._split))

    def notify(self, change: Change) -> list[Exception]:
        """Call every listener with a change; return the exceptions that they raised."""
        return _raised(delivery.deliver(change) for delivery in self._deliveries)

    def retry(self) -> list[Exception]:
        """Call the listeners that are behind with the changes they missed; return the exceptions that they raised."""
        return _raised(delivery.retry() for delivery in self._deliveries)

    @property
    def behind_count(self) -> int:
        """Number of listeners that have not processed all changes."""
        return sum(delivery.is_behind for delivery in self._deliveries)


def _unsplit(change: Change) -> Sequence[Change]:
    return (change,)


def latest(earlier: Change, later: Change) -> Change:
    """Combine changes each of which replaces the complete earlier value."""
    return later


def raise_failures(failures: Sequence[Exception]) -> None:
    """Raise the only exception, or all exceptions as a group; return if there are none."""
    if len(failures) == 1:
        raise failures[0]
    if failures:
        raise ExceptionGroup(f"{len(failures)} listeners failed", failures)


def _raised(results: Iterable[Exception | None]) -> list[Exception]:
    return [error for error in results if error is not None]
