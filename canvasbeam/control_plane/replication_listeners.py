"""Notify other parts of the control process of committed states, views and the primary.

Owns the listeners, and the value that each kind of listener received last: listeners are called only when the value
changes. The same comparison triggers the log lines on new views and on changes of the leadership.

A listener that raises stops neither the other listeners nor the caller, which drives the replication. `retry` calls the
listener with the newest value.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from canvasbeam.control_plane.view_log import ViewLog
from canvasbeam.replication.control_state import ControlState
from canvasbeam.replication.views import MemberId, View, member_ip
from canvasbeam.runtime.change_listeners import ChangeListeners, latest
from canvasbeam.runtime.logs import get_logger, log_exceptions

log = get_logger(__name__)

CommitListener = Callable[[ControlState], None]
PrimaryListener = Callable[[str | None], None]
Electorates = Sequence[Sequence[str]]
ElectorateListener = Callable[[Electorates], None]


class ReplicationListeners:
    """The listeners of one member, and the newest committed state of which the listeners were notified."""

    def __init__(self) -> None:
        self._commit_listeners: ChangeListeners[ControlState] = ChangeListeners(latest)
        self._primary_listeners: ChangeListeners[str | None] = ChangeListeners(latest)
        self._electorate_listeners: ChangeListeners[Electorates] = ChangeListeners(latest)
        self._state = ControlState()
        self._view_log = ViewLog()
        self._notified_electorate: tuple[View | None, bool] = (None, False)
        self._notified_leadership: tuple[bool, MemberId] | None = None

    def add_commit_listener(self, listener: CommitListener) -> None:
        """Call `listener` with every newer committed state."""
        self._commit_listeners.add(listener)

    def add_primary_listener(self, listener: PrimaryListener) -> None:
        """Call `listener` with the IP address of each new primary, or with None when no primary is known any more."""
        self._primary_listeners.add(listener)

    def add_electorate_listener(self, listener: ElectorateListener) -> None:
        """Call `listener` with the IP addresses of the electorates of each new view."""
        self._electorate_listeners.add(listener)

    @property
    def state(self) -> ControlState:
        """The newest state that is known to be committed."""
        return self._state

    def on_committed(self, state: ControlState) -> None:
        """Notify the commit listeners of a newer committed state."""
        self._state = state
        _log_failures(self._commit_listeners.notify(state))

    def on_view(self, view: View | None, is_in_force: bool) -> None:
        """Notify the electorate listeners of a new view, or of a view that has come into force.

        An electorate is a set of nodes, a majority of which must grant a contact lease. A view in force has one
        electorate, its witnesses. A view not yet in force has two electorates: its own witnesses and the witnesses of
        the previous view.
        """
        self._view_log.note(view)
        if view is None or (view, is_in_force) == self._notified_electorate:
            return
        self._notified_electorate = (view, is_in_force)
        electorates = [view.witnesses] if is_in_force else [view.witnesses, view.previous_witnesses]
        ips = [[member_ip(member) for member in electorate] for electorate in electorates]
        _log_failures(self._electorate_listeners.notify(ips))

    def on_leadership(self, is_primary: bool, primary_id: MemberId) -> None:
        """Notify the primary listeners of a changed primary; log a change of the primary or of this member's role."""
        previous, self._notified_leadership = self._notified_leadership, (is_primary, primary_id)
        if previous is None or previous == self._notified_leadership:
            return
        role = "primary" if is_primary else "follower"
        log.info("leadership changed role={} primary={}", role, primary_id or "unknown")
        if previous[1] != primary_id:
            _log_failures(self._primary_listeners.notify(member_ip(primary_id) if primary_id else None))

    def retry(self) -> None:
        """Call each listener that raised with the newest value of its kind."""
        _log_failures(self._electorate_listeners.retry())
        _log_failures(self._primary_listeners.retry())
        _log_failures(self._commit_listeners.retry())


def _log_failures(failures: Sequence[Exception]) -> None:
    log_exceptions(log, "state not processed by a listener action=retried", failures)
