"""Run the blocking calls of a disk in one thread, and monitor the disk's health.

The event loop never waits for the disk. A batch of updates is retried until the write succeeds. The disk counts as
unhealthy from a failed write, or from a write that exceeds its time limit, until the next write succeeds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from queue import SimpleQueue
from threading import Thread
from typing import Any, TypeVar

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.storage.disk import Disk
from canvasbeam.storage.frames import Updates
from canvasbeam.storage.store import Store, StoreFiles, open_store

SLOW_SECONDS = 0.6  # fixed part of the time limit of a write, after which the disk counts as unhealthy
SLOW_BYTES_PER_SECOND = 4_000_000  # the time limit also grows by the size of the write divided by this rate
RETRY_SECONDS = 0.25  # delay before a failed write, or a failed open of the store, is retried

Result = TypeVar("Result")
HealthListener = Callable[[Failure | None], None]


@dataclass(frozen=True, slots=True)
class _Call:
    """A blocking call, and the future of an event loop that gets the outcome of the call."""

    call: Callable[[], Any]  # `Any`: one queue carries calls of all result types; `DiskWorker.run` is generic
    loop: asyncio.AbstractEventLoop
    future: asyncio.Future[Any]

    def run(self) -> None:
        """Make the call in the disk thread, and pass the outcome to the event loop."""
        result, error = None, None
        try:
            result = self.call()
        except Exception as raised:  # the exception is raised again where the future is awaited
            error = raised
        with suppress(RuntimeError):  # raised if the event loop is closed already
            self.loop.call_soon_threadsafe(self._finish, result, error)

    def _finish(self, result: object, error: Exception | None) -> None:
        if self.future.done():
            return
        if error is None:
            self.future.set_result(result)
        else:
            self.future.set_exception(error)


class DiskWorker:
    """Runs blocking disk calls in order in a dedicated thread, which `close` ends."""

    def __init__(self, on_health: HealthListener) -> None:
        self._on_health = on_health
        self._calls: SimpleQueue[_Call | None] = SimpleQueue()
        # A daemon thread, because a stalled disk must not delay the exit of the process.
        Thread(target=self._run_calls, name="disk", daemon=True).start()
        self._fault: Failure | None = None

    @property
    def fault(self) -> Failure | None:
        """The failure that makes the disk unhealthy at present; None if the disk is healthy."""
        return self._fault

    async def run(self, call: Callable[[], Result]) -> Result:
        """Run a call in the disk thread; return the result of the call, or raise its exception."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Result] = loop.create_future()
        self._calls.put(_Call(call, loop, future))
        return await future

    def _run_calls(self) -> None:
        """Run the queued calls in order until `close`. The disk thread runs this method."""
        while (call := self._calls.get()) is not None:
            call.run()

    async def open(
        self, disk: Disk, files: StoreFiles, on_failure: Callable[[Failure | None], None]
    ) -> Store | Failure:
        """Open a store, retrying after disk errors without a time limit; a damaged store is a `Failure` at once.

        `on_failure` is called with each failure that is retried, and with None when the retry begins.
        """
        while True:
            store = await self.run(lambda: open_store(disk, files))
            if not isinstance(store, Failure) or store.code is ResultCode.DISK_CORRUPT:
                return store
            on_failure(store)
            await asyncio.sleep(RETRY_SECONDS)
            on_failure(None)

    async def write(self, store: Store, updates: Updates) -> None:
        """Write the updates, retrying until a write succeeds; return once the updates are durable."""
        while True:
            failure = await self._update_store(store, updates)
            self._set_health(failure)
            if failure is None:
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def _update_store(self, store: Store, updates: Updates) -> Failure | None:
        size = sum(len(value) for value in updates.values() if value is not None)
        limit_s = SLOW_SECONDS + size / SLOW_BYTES_PER_SECOND
        slow_failure = Failure(ResultCode.DISK_SLOW, f"a write of {size} bytes takes longer than {limit_s:.1f} s")
        slow_timer = asyncio.get_running_loop().call_later(limit_s, self._set_health, slow_failure)
        try:
            return await self.run(lambda: store.update(updates))
        finally:
            slow_timer.cancel()

    def _set_health(self, fault: Failure | None) -> None:
        if (fault is None) != (self._fault is None):
            self._fault = fault
            self._on_health(fault)

    def close(self) -> None:
        """End the thread after the calls queued so far, without waiting for them; later calls never run."""
        self._calls.put(None)
