"""Readiness of this node: the HTTP check for the platform, and the task that publishes readiness in the cluster.

`ReadinessPublisher` owns the readiness that was published last. `DataPlane.is_ready` alone decides whether a node is
ready.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from canvasbeam.data_plane.requests import Answer, send_answer
from canvasbeam.runtime.http_server import Receive, Scope, Send

READY_PATH = "/v1/readyz"
# A change of readiness is published after at most this interval; `check_soon` publishes at once that the node became
# ready through a change of the item table.
READINESS_CHECK_INTERVAL_S = 0.2
# The interval until the node is ready for the first time. It is shorter, because a starting node waits for its contact
# lease, which changes without a change of the item table.
STARTUP_CHECK_INTERVAL_S = 0.05


class ReadinessApp:
    """Answers 200 at `/v1/readyz` while the node is ready, else 503; 404 at any other path."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one readiness check."""
        if scope["type"] == "http":
            await send_answer(send, Answer(self._status(scope["path"]), [(b"content-length", b"0")]))

    def _status(self, path: str) -> int:
        if path != READY_PATH:
            return 404
        return 200 if self._is_ready() else 503


class ReadinessPublisher:
    """Publishes the readiness of this node in the cluster, from `start` until `stop`."""

    def __init__(self, is_ready: Callable[[], bool], publish: Callable[[bool], None]) -> None:
        self._is_ready = is_ready
        self._publish = publish
        self._is_published_ready = False
        self._has_been_ready = False
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start publishing; the cluster treats the node as not ready until `publish` is first called."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop publishing changes of readiness."""
        if self._task is not None:
            self._task.cancel()

    def check_soon(self) -> None:
        """Publish without delay if the node has become ready since the last publication."""
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
