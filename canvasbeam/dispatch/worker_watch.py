"""Watch discovery for changes of the endpoint list, where lists must be asked for.

Owns whether the watch was begun and how often in a row it failed. It must never read a list.
"""

from __future__ import annotations

from canvasbeam.dispatch.actions import SetTimer, WatchWorkers
from canvasbeam.dispatch.current_pass import CurrentPass
from canvasbeam.dispatch.events import ListKind
from canvasbeam.dispatch.settings import Discovery, Settings

# The token of the timer after which a failed watch is begun again.
WATCH_TIMER = "watch"
# The backoff between failed watches doubles up to so many times.
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
        """Begin again after a backoff: at once would add to the load of a discovery that is already failing."""
        self._failures += 1
        if self._is_needed:
            wait = self._backoff_ns * 2 ** min(self._failures, MAX_BACKOFF_DOUBLINGS)
            self._current.actions.append(SetTimer(WATCH_TIMER, self._current.now + wait))

    def on_listed(self, list_kind: ListKind) -> None:
        """Take it that a list came, and begin to watch after the first one."""
        if list_kind is not ListKind.WARM_COPY:
            self._failures = 0
        if self._is_needed and not self._has_begun:
            self._has_begun = True
            self._current.actions.append(WatchWorkers(True))

    def on_timer(self) -> None:
        """Begin to watch again after a failure."""
        self._current.actions.append(WatchWorkers(True))
