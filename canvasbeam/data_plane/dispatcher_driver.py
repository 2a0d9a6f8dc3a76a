"""The driver of the dispatcher: it gathers events, and hands the actions of each pass to the router in their order.

`DispatcherDriver` is the only caller of `Dispatcher.handle`, once a pass of the event loop, and owns the events that
wait for it, the dispatcher and its timers. A dispatcher that raises is replaced by a new one. What an action means for
a request is not known here.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from canvasbeam.dispatch.actions import Action, SetTimer
from canvasbeam.dispatch.dispatcher import Dispatcher
from canvasbeam.dispatch.events import Event, TimerFired
from canvasbeam.runtime.logs import get_logger
from canvasbeam.units import SECOND

log = get_logger(__name__)

DispatcherFactory = Callable[[], Dispatcher]


class DispatcherDriver:
    """Runs the dispatcher on the event loop.

    `carry_out` takes each action. After a failure `on_failure` is called, and then `initial_events` are what the new
    dispatcher is told first.
    """

    def __init__(
        self,
        make_dispatcher: DispatcherFactory,
        now_ns: Callable[[], int],
        *,
        carry_out: Callable[[Action], None],
        on_failure: Callable[[], None],
        initial_events: Callable[[], tuple[Event, ...]],
    ) -> None:
        self._make_dispatcher = make_dispatcher
        self._dispatcher = make_dispatcher()
        self._now_ns = now_ns
        self._carry_out = carry_out
        self._on_failure = on_failure
        self._initial_events = initial_events
        self._loop = asyncio.get_running_loop()
        self._events: list[Event] = []
        self._is_pass_scheduled = False

    def add_event(self, event: Event) -> None:
        """Give an event to the dispatcher, in the next pass of the event loop."""
        self._events.append(event)
        if not self._is_pass_scheduled:
            self._is_pass_scheduled = True
            self._loop.call_soon(self._run_pass)

    def set_timer(self, action: SetTimer) -> None:
        """Give the dispatcher a `TimerFired` at or after the time of the action."""
        delay_s = max(0, action.when_ns - self._now_ns()) / SECOND
        self._loop.call_later(delay_s, self.add_event, TimerFired(action.token))

    def _run_pass(self) -> None:
        self._is_pass_scheduled = False
        events, self._events = self._events, []
        try:
            actions = self._dispatcher.handle(self._now_ns(), events)
        except Exception:
            log.exception("dispatcher failed action=started anew")
            self._restart()
            return
        for action in actions:
            self._carry_out(action)

    def _restart(self) -> None:
        self._on_failure()
        self._dispatcher = self._make_dispatcher()
        self._events = []  # of requests that the new dispatcher does not know
        for event in self._initial_events():
            self.add_event(event)
