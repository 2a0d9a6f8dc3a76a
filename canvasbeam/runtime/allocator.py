"""Return memory that the C library keeps for later allocations to the operating system.

The C library keeps freed blocks that lie below blocks in use. After many large bodies or answers this is most of the
memory of the process, although nothing needs it any more.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

TRIM_DELAY_S = 1.0  # after much memory was released, because more is usually released soon
MIN_TRIM_INTERVAL_S = 5.0


def return_free_memory() -> None:
    """Return free memory to the operating system, if the C library has a function for this."""
    import ctypes  # noqa: PLC0415 - needed only after a crowd of callers, and it takes memory

    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


class MemoryTrimmer:
    """Calls `trim` once, some time after it was requested, and not too often."""

    def __init__(self, trim: Callable[[], None] = return_free_memory) -> None:
        self._trim = trim
        self._timer: asyncio.TimerHandle | None = None
        self._trimmed_at_s = -MIN_TRIM_INTERVAL_S

    def request(self) -> None:
        """Trim after `TRIM_DELAY_S`, or as soon as `MIN_TRIM_INTERVAL_S` permits."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            earliest_s = max(loop.time() + TRIM_DELAY_S, self._trimmed_at_s + MIN_TRIM_INTERVAL_S)
            self._timer = loop.call_at(earliest_s, self._run)

    def _run(self) -> None:
        self._timer = None
        self._trimmed_at_s = asyncio.get_running_loop().time()
        self._trim()
