"""Run the app for the requests of one connection, with a bounded queue of the messages that the app has not received.

Hypercorn's own queue also bounds the message of a disconnect. An app that answers without reading the whole body then
leaves the connection waiting for room in that queue, which never comes: neither the end of the response nor the end of
the connection is handled any more.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from hypercorn.asyncio.task_group import TaskGroup
from hypercorn.config import Config
from hypercorn.typing import AppWrapper, ASGIReceiveEvent, ASGISendEvent, Scope

MAX_QUEUED_MESSAGES = 1  # parts of a body that wait for the app


class AppMessages:
    """The messages for one run of an app: bounded up to the disconnect, after which no message is added."""

    def __init__(self) -> None:
        self._messages: deque[ASGIReceiveEvent] = deque()
        self._is_disconnected = False
        self._changed = asyncio.Event()

    async def put(self, message: ASGIReceiveEvent) -> None:
        """Add a message; wait while too many are queued, unless the message is a disconnect."""
        is_disconnect = message["type"] == "http.disconnect"
        while not is_disconnect and not self._is_disconnected and len(self._messages) >= MAX_QUEUED_MESSAGES:
            await self._wait()
        if not self._is_disconnected:
            self._is_disconnected = is_disconnect
            self._messages.append(message)
            self._notify()

    async def get(self) -> ASGIReceiveEvent:
        """Return the next message; wait for one if none is queued."""
        while not self._messages:
            await self._wait()
        message = self._messages.popleft()
        self._notify()
        return message

    async def _wait(self) -> None:
        await self._changed.wait()

    def _notify(self) -> None:
        """Wake all that wait; each checks its condition again."""
        self._changed.set()
        self._changed = asyncio.Event()


class AppTaskGroup(TaskGroup):
    """A task group of hypercorn that gives each run of an app an `AppMessages` queue."""

    async def spawn_app(
        self,
        app: AppWrapper,
        config: Config,
        scope: Scope,
        send: Callable[[ASGISendEvent | None], Awaitable[None]],
    ) -> Callable[[ASGIReceiveEvent], Awaitable[None]]:
        """Start the app for one request; return the function that passes messages to the app."""
        messages = AppMessages()
        self.spawn(_run_app, app, config, scope, messages, send)
        return messages.put


async def _run_app(
    app: AppWrapper,
    config: Config,
    scope: Scope,
    messages: AppMessages,
    send: Callable[[ASGISendEvent | None], Awaitable[None]],
) -> None:
    try:
        await app(scope, messages.get, send, _no_thread, _no_thread)
    except Exception:
        await config.log.exception("Error in ASGI Framework")
    finally:
        await send(None)


def _no_thread(*_: object) -> None:
    """Stand for the functions that only apps in threads use."""
    raise NotImplementedError
