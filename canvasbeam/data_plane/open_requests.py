"""The state of each request that has no complete answer yet: its dispatches and their attempts.

    OpenRequest     the state of one open request; owned by `RequestTable`
    Dispatch        one submission of a request to the dispatcher; owned by `DispatchTable`
    Attempt         one attempt to send a dispatch to a worker; changed by `AttemptRunner` alone

A request has one dispatch, and one more for each time that its stream is resumed at another worker.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from canvasbeam.data_plane.exchange import Exchange
from canvasbeam.data_plane.requests import ClientRequest
from canvasbeam.data_plane.worker_connections import WorkerConnection


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a request on one worker."""

    dispatch: Dispatch
    number: int
    worker: str
    began_ns: int
    task: asyncio.Task[None] | None = None
    connection: WorkerConnection | None = None
    exchange: Exchange | None = None
    ended: bool = False

    @property
    def written(self) -> bool:
        """True if any byte of the request was passed to the kernel for this attempt."""
        return self.exchange is not None and self.exchange.written


@dataclass(slots=True, eq=False)
class Dispatch:
    """One submission of a request to the dispatcher, identified by a name that is never reused."""

    name: str
    request: ClientRequest
    attempts: list[Attempt] = field(default_factory=list)
    closed: bool = False  # True once the dispatcher has ended the dispatch or been notified of its end
    awaits_worker: bool = False  # True if the dispatcher ended the dispatch near the deadline with an attempt in flight


@dataclass(slots=True, eq=False)
class OpenRequest:
    """The deadline timer and the dispatches of a request that has no complete answer yet."""

    timer: asyncio.TimerHandle
    dispatches: list[Dispatch] = field(default_factory=list)

    def attempts_in_flight(self) -> list[Attempt]:
        """Return the attempts that have no outcome yet."""
        return [attempt for dispatch in self.dispatches for attempt in dispatch.attempts if not attempt.ended]


class DispatchTable:
    """The dispatches that an action of the dispatcher may still refer to, or that have an attempt in flight."""

    def __init__(self) -> None:
        self._by_name: dict[str, Dispatch] = {}
        self._last_number = 0

    def add(self, request: ClientRequest) -> Dispatch:
        """Create and store a dispatch for a request, under a new name."""
        self._last_number += 1
        dispatch = Dispatch(str(self._last_number), request)
        self._by_name[dispatch.name] = dispatch
        return dispatch

    def get(self, name: str) -> Dispatch | None:
        """Return the dispatch of this name, or None if the dispatch is over."""
        return self._by_name.get(name)

    def all(self) -> tuple[Dispatch, ...]:
        """Return all stored dispatches."""
        return tuple(self._by_name.values())

    def remove_if_finished(self, dispatch: Dispatch) -> None:
        """Remove a dispatch if it is closed and has no attempt in flight."""
        if dispatch.closed and all(attempt.ended for attempt in dispatch.attempts):
            self._by_name.pop(dispatch.name, None)
