"""Whether this node can serve clients: the app that tells the platform, and the task that tells the cluster.

`ReadinessPublisher` owns what was published last. Neither decides what makes a node ready; `DataPlane.is_ready` does.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from canvasbeam.data_plane.requests import Answer, send_answer
from canvasbeam.runtime.http_server import Receive, Scope, Send

READY_PATH = "/v1/readyz"
# At the latest after this time a change is published; items that make the node ready are looked at at once.
READINESS_CHECK_INTERVAL_S = 0.2
# The same until the node is ready for the first time: it waits for contact then, of which no item tells.
STARTUP_CHECK_INTERVAL_S = 0.05


class ReadinessApp:
    """Answers 200 at `/v1/readyz` while the node is ready, else 503; 404 at any other path."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one check."""
        if scope["type"] == "http":
            await send_answer(send, Answer(self._status(scope["path"]), [(b"content-length", b"0")]))

    def _status(self, path: str) -> int:
        if path != READY_PATH:
            return 404
        return 200 if self._is_ready() else 503


class ReadinessPublisher:
    """Publishes in the cluster whether this node is ready, from `start` until `stop`."""

    def __init__(self, is_ready: Callable[[], bool], publish: Callable[[bool], None]) -> None:
        self._is_ready = is_ready
        self._publish = publish
        self._is_published_ready = False
        self._has_been_ready = False
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to publish; the node counts as not ready until then."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Publish nothing more."""
        if self._task is not None:
            self._task.cancel()

    def check_soon(self) -> None:
        """Look at once whether the node has become ready, where it was not."""
        if not self._is_published_ready and self._is_ready():
            self._changed.set()

    async def _run(self) -> None:
        while True:
            self._changed.clear()
            is_ready = self._is_ready()
            if is_ready != self._is_published_ready:
                self._is_published_ready = is_ready
                self._has_been_ready = True
                self._publish(is_ready)
            interval_s = READINESS_CHECK_INTERVAL_S if self._has_been_ready else STARTUP_CHECK_INTERVAL_S
            with suppress(TimeoutError):
                async with asyncio.timeout(interval_s):
                    await self._changed.wait()
