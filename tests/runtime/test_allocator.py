"""Returning free memory: once for many requests, and not too often."""

from __future__ import annotations

import asyncio

from canvasbeam.runtime.allocator import MIN_TRIM_INTERVAL_S, TRIM_DELAY_S, MemoryTrimmer, return_free_memory
from tests.support.virtual_time import run_in_virtual_time


def test_requests_are_combined_and_spaced() -> None:
    async def body() -> None:
        loop = asyncio.get_running_loop()
        trimmed: list[float] = []
        began_s = loop.time()
        trimmer = MemoryTrimmer(lambda: trimmed.append(round(loop.time() - began_s, 3)))
        for _ in range(3):
            trimmer.request()
        await asyncio.sleep(TRIM_DELAY_S)
        trimmer.request()
        await asyncio.sleep(MIN_TRIM_INTERVAL_S + TRIM_DELAY_S)
        assert trimmed == [TRIM_DELAY_S, TRIM_DELAY_S + MIN_TRIM_INTERVAL_S]

    run_in_virtual_time(body())


def test_memory_can_be_returned() -> None:
    return_free_memory()
