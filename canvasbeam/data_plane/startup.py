"""Decide when a node that has just started holds a configuration that is new enough to serve by.

A control node that is itself behind may answer first, with an older configuration. A node in contact holds whatever a
majority of the control nodes held when it was asked (`canvasbeam.leases.contact`), so a node waits for its first
contact. Where there is none to be had, as in a region that is cut off, it serves after a while by what it holds, unless
it knows of something newer.

| state | from | to |
| --- | --- | --- |
| waiting | the start | done: in contact, or without it for `MAX_CONTACT_WAIT_NS`, and nothing newer known |
| done | | none: what is lost or changes later does not make a node that serves unready |
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from canvasbeam.units import SECOND

# From its first configuration on, a node waits for its first contact no longer than this.
MAX_CONTACT_WAIT_NS = 2 * SECOND


class StartupState(Enum):
    """Whether the node may still hold a configuration older than one that it should have been told of."""

    WAITING = "waiting"
    DONE = "done"


class StartupCheck:
    """The wait of one node for a configuration that is new enough."""

    def __init__(
        self,
        clock: Callable[[], int],
        *,
        has_configuration: Callable[[], bool],
        has_contact: Callable[[], bool],
        is_behind: Callable[[], bool],
    ) -> None:
        """Judge by these questions; `clock` tells nanoseconds of a monotonic clock."""
        self._clock = clock
        self._has_configuration = has_configuration
        self._has_contact = has_contact
        self._is_behind = is_behind
        self._configured_at: int | None = None
        self._state = StartupState.WAITING

    def is_done(self) -> bool:
        """Return whether the node may serve by the configuration that it holds."""
        if self._state is StartupState.WAITING and self._may_end():
            self._state = StartupState.DONE
        return self._state is StartupState.DONE

    def _may_end(self) -> bool:
        """Return whether the wait is over."""
        if not self._has_configuration():
            return False
        now = self._clock()
        if self._configured_at is None:
            self._configured_at = now
        has_waited_long = now - self._configured_at >= MAX_CONTACT_WAIT_NS
        return (self._has_contact() or has_waited_long) and not self._is_behind()
