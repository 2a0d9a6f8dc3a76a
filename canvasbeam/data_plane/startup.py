"""Decide when a node that has just started has a configuration that is recent enough to serve clients.

The first control node that answers may be behind and send an old configuration. A node with a contact lease has at
least the versions that a majority of the control nodes stored at the time of the request (`canvasbeam.leases.contact`),
so a starting node waits for its first contact lease. A node in a partitioned region cannot get a lease. Such a node
serves after `MAX_CONTACT_WAIT_NS` with the configuration that it has, unless it knows of a newer configuration.

| state | from | to |
| --- | --- | --- |
| waiting | process start | done: lease in force or `MAX_CONTACT_WAIT_NS` over, and no newer configuration known |
| done | | none: a lease lost later or a newer configuration does not make a serving node unready |
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from canvasbeam.units import SECOND

# Maximum time that a starting node waits for its first contact lease, counted from its first configuration.
MAX_CONTACT_WAIT_NS = 2 * SECOND


class StartupState(Enum):
    """WAITING while the node may still have an outdated configuration; DONE afterwards."""

    WAITING = "waiting"
    DONE = "done"


class StartupCheck:
    """Tracks whether a starting node has a configuration that is recent enough to serve clients."""

    def __init__(
        self,
        clock: Callable[[], int],
        *,
        has_configuration: Callable[[], bool],
        has_contact: Callable[[], bool],
        is_behind: Callable[[], bool],
    ) -> None:
        """Store the callbacks that report the state of the node; `clock` returns monotonic nanoseconds."""
        self._clock = clock
        self._has_configuration = has_configuration
        self._has_contact = has_contact
        self._is_behind = is_behind
        self._configured_at_ns: int | None = None
        self._state = StartupState.WAITING

    def is_done(self) -> bool:
        """Return True if the node may serve clients with its current configuration."""
        if self._state is StartupState.WAITING and self._is_wait_over():
            self._state = StartupState.DONE
        return self._state is StartupState.DONE

    def _is_wait_over(self) -> bool:
        """Return True if the conditions for the end of the wait are met."""
        if not self._has_configuration():
            return False
        now = self._clock()
        if self._configured_at_ns is None:
            self._configured_at_ns = now
        has_waited_long = now - self._configured_at_ns >= MAX_CONTACT_WAIT_NS
        return (self._has_contact() or has_waited_long) and not self._is_behind()
