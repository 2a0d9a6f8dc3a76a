"""Drive the dispatcher: collect events, and give the router the dispatcher's actions in the returned order.

`DispatcherDriver` is the only caller of `Dispatcher.handle`, at most once per iteration of the event loop, and owns the
dispatcher, the dispatcher's timers and the pending events. A dispatcher that raises an exception is replaced by a new
dispatcher. `DispatcherDriver` does not interpret actions other than timers.
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

    `carry_out` is called with each action. After the dispatcher raises an exception, `on_failure` is called, and
    `initial_events` returns the first events for the new dispatcher.
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
        """Queue an event for the dispatcher, which handles queued events in the next iteration of the event loop."""
        self._events.append(event)
        if not self._is_pass_scheduled:
            self._is_pass_scheduled = True
            self._loop.call_soon(self._run_pass)

    def set_timer(self, action: SetTimer) -> None:
        """Queue a `TimerFired` event for the dispatcher at or after the time of the action."""
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
        self._events = []  # pending events concern requests that the new dispatcher does not have
        for event in self._initial_events():
            self.add_event(event)
