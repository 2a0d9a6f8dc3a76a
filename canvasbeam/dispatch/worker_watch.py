"""Watch discovery for changes of the endpoint list, if discovery does not push endpoint lists.

Owns whether the watch was started and its number of failures in a row. It must never read an endpoint list.
"""

from __future__ import annotations

from canvasbeam.dispatch.actions import SetTimer, WatchWorkers
from canvasbeam.dispatch.current_pass import CurrentPass
from canvasbeam.dispatch.events import ListKind
from canvasbeam.dispatch.settings import Discovery, Settings

# The token of the timer that restarts a failed watch.
WATCH_TIMER = "watch"
# Maximum number of doublings of the backoff before a failed watch is restarted.
MAX_BACKOFF_DOUBLINGS = 5


class WorkerWatch:
    """The watch for changes of the endpoint list, with exponential backoff after failures."""

    def __init__(self, settings: Settings, current: CurrentPass) -> None:
        self._is_needed = settings.discovery is Discovery.ASKED
        self._backoff_ns = settings.limits.connect_timeout_ns
        self._current = current
        self._failures = 0
        self._has_begun = False

    def on_lost(self) -> None:
        """Restart the lost watch after a backoff, as an immediate restart would add load to a failing discovery."""
        self._failures += 1
        if self._is_needed:
            wait = self._backoff_ns * 2 ** min(self._failures, MAX_BACKOFF_DOUBLINGS)
            self._current.actions.append(SetTimer(WATCH_TIMER, self._current.now + wait))

    def on_listed(self, list_kind: ListKind) -> None:
        """Reset the backoff unless the list is a warm copy, and start the watch after the first list."""
        if list_kind is not ListKind.WARM_COPY:
            self._failures = 0
        if self._is_needed and not self._has_begun:
            self._has_begun = True
            self._current.actions.append(WatchWorkers(True))

    def on_timer(self) -> None:
        """Restart the watch after a failure."""
        self._current.actions.append(WatchWorkers(True))
