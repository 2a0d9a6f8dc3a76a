"""Strong references to tasks that no coroutine awaits, because the event loop keeps only weak references to tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Starts tasks, and holds a strong reference to each task until the task ends."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a coroutine as a task, and return the task."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
