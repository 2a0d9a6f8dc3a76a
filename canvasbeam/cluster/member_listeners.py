"""Notify other parts of a node of changes of the live members.

An item reports most changes. The end of a grace period and the node's own monitoring change the live members without an
item, so `NodeCore` also calls `update` at an interval. The module does no I/O; times are nanoseconds.
"""

from __future__ import annotations

from collections.abc import Callable

from canvasbeam.cluster.member import Member
from canvasbeam.item_table.items import FailureHandler
from canvasbeam.runtime.change_listeners import ChangeListeners, latest
from canvasbeam.units import MILLISECOND

CHECK_INTERVAL_NS = 250 * MILLISECOND

Members = tuple[Member, ...]
MembersListener = Callable[[Members], None]


class MemberListeners:
    """The listeners, and the members that they were notified of last.

    A listener that raises is called again by the next `update`; `on_failures` is called with the exceptions.
    """

    def __init__(self, now: int, on_failures: FailureHandler) -> None:
        self._listeners: ChangeListeners[Members] = ChangeListeners(latest)
        self._on_failures = on_failures
        self._notified: Members = ()
        self._checked_at = now

    def add(self, listener: MembersListener) -> None:
        """Call `listener` with all live members after each change."""
        self._listeners.add(listener)

    @property
    def behind_count(self) -> int:
        """Number of listeners that raised and have not processed all changes since."""
        return self._listeners.behind_count

    def is_due(self, now: int) -> bool:
        """Return True if `update` must be called although no item has reported a change."""
        return now >= self._checked_at + CHECK_INTERVAL_NS and bool(self._listeners)

    def update(self, now: int, members: Members) -> None:
        """Call all listeners if the members have changed; otherwise only those that raised before."""
        self._checked_at = now
        if members == self._notified:
            failures = self._listeners.retry()
        else:
            self._notified = members
            failures = self._listeners.notify(members)
        if failures:
            self._on_failures(failures)
