"""Own the background tasks of one part of the control process: keep a reference to each task, and log each failure."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from canvasbeam.runtime.logs import get_logger

log = get_logger(__name__)


class OwnedTasks:
    """Tasks that run until their owner cancels them. The exception of a failed task is logged; other tasks continue."""

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, coroutine: Coroutine[None, None, None], name: str) -> None:
        """Start a coroutine as a task; the log names the task by `name` if the task fails."""
        task = asyncio.create_task(coroutine, name=name)
        task.add_done_callback(_log_exception)
        self._tasks.append(task)

    def cancel(self) -> None:
        """Cancel all tasks, without waiting for their end."""
        for task in self._tasks:
            task.cancel()

    async def wait(self, within_s: float) -> None:
        """Wait until all tasks have ended, or at most `within_s` seconds."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=within_s)


def _log_exception(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("background task failed task={} exception={!r}", task.get_name(), task.exception())
