"""The disk of a control process: one thread that writes, and the judgement of how it fares.

The event loop never waits for the disk. A batch that is refused is tried again until the disk takes it; meanwhile the
disk counts as unhealthy, as it does while a batch takes too long.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.storage.frames import Updates
from canvasbeam.storage.store import Store

SLOW_SECONDS = 0.6
SLOW_BYTES_PER_SECOND = 4_000_000
RETRY_SECONDS = 0.25

Result = TypeVar("Result")
HealthListener = Callable[[Failure | None], None]


class DiskWorker:
    """Runs the blocking calls of a store in order, in a thread of its own."""

    def __init__(self, on_health: HealthListener) -> None:
        self._on_health = on_health
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="disk")
        self._trouble: Failure | None = None

    @property
    def trouble(self) -> Failure | None:
        """Why the disk is not healthy at present."""
        return self._trouble

    async def run(self, call: Callable[[], Result]) -> Result:
        """Run a call in the disk's thread."""
        return await asyncio.get_running_loop().run_in_executor(self._executor, call)

    async def write(self, store: Store, updates: Updates) -> None:
        """Return when the updates are durable, however long that takes."""
        while True:
            failure = await self._timed(store, updates)
            self._judge(failure)
            if failure is None:
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def _timed(self, store: Store, updates: Updates) -> Failure | None:
        size = sum(len(value) for value in updates.values() if value is not None)
        allowed = SLOW_SECONDS + size / SLOW_BYTES_PER_SECOND
        slow = Failure(ResultCode.DISK_SLOW, f"a write of {size} bytes takes longer than {allowed:.1f} s")
        alarm = asyncio.get_running_loop().call_later(allowed, self._judge, slow)
        try:
            return await self.run(lambda: store.update(updates))
        finally:
            alarm.cancel()

    def _judge(self, trouble: Failure | None) -> None:
        if (trouble is None) != (self._trouble is None):
            self._trouble = trouble
            self._on_health(trouble)

    def close(self) -> None:
        """Take no more calls; one that is running is not waited for."""
        self._executor.shutdown(wait=False, cancel_futures=True)
