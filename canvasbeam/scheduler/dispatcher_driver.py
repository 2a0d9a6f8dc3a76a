"""Drive the dispatcher: events are gathered during a pass and given to it once, in a fixed order.

It owns the dispatcher's instance and the conversion between the loop's clock and the dispatcher's. The dispatcher's
clock is Unix time as it was at the loop's start plus what the monotonic clock has counted since, so a worker's start
maps to the same number in every list and is never taken for a new one.
"""

from __future__ import annotations

from datetime import timedelta

from canvasbeam.dispatch.actions import Action
from canvasbeam.dispatch.dispatcher import Dispatcher
from canvasbeam.dispatch.events import Event
from canvasbeam.dispatch.settings import Settings
from canvasbeam.scheduler.limits import nanoseconds, span_of


class DispatcherDriver:
    """The dispatcher and the events it has not been given yet."""

    def __init__(self, settings: Settings, seed: int, born: timedelta) -> None:
        """`born` is the Unix time at which the loop's clock stood at zero."""
        self.dispatcher = Dispatcher(settings, seed)
        self._settings = settings
        self._seed = seed
        self._born = born
        self._lists: list[Event] = []
        self._outcomes: list[Event] = []
        self._arrivals: list[Event] = []

    @property
    def has_events(self) -> bool:
        """Whether there is anything to decide about."""
        return bool(self._lists or self._outcomes or self._arrivals)

    def add_list(self, event: Event) -> None:
        """Gather what discovery told, or that it could not be reached."""
        self._lists.append(event)

    def add_outcome(self, event: Event) -> None:
        """Gather what became of an attempt or a health check, that a client left, or that a timer is due."""
        self._outcomes.append(event)

    def add_arrival(self, event: Event) -> None:
        """Gather a request that has arrived."""
        self._arrivals.append(event)

    def decide(self, now: timedelta) -> list[Action]:
        """Give the dispatcher what was gathered, lists first, then outcomes, then arrivals; return its actions."""
        events = self._lists + self._outcomes + self._arrivals
        self._clear()
        return self.dispatcher.handle(self.to_dispatcher_time(now), events)

    def _clear(self) -> None:
        self._lists, self._outcomes, self._arrivals = [], [], []

    def restart(self) -> None:
        """Go on with a new module that knows nothing."""
        self.dispatcher = Dispatcher(self._settings, self._seed)
        self._clear()

    def begin_with(self, event: Event) -> None:
        """Give a new module this list first; outcomes of requests that it never knew are dropped."""
        self._lists = [event]
        self._outcomes = []

    def ejected_workers(self) -> list[str]:
        """Return the workers that the dispatcher has ejected."""
        return self.dispatcher.ejected_workers()

    def to_dispatcher_time(self, instant: timedelta) -> int:
        """Return the dispatcher's time for a time of the loop."""
        return nanoseconds(self._born + instant)

    def from_dispatcher_time(self, when: int) -> timedelta:
        """Return the loop's time for a time of the dispatcher."""
        return span_of(when) - self._born
