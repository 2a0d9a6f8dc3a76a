"""Signals that end a command, as a question in place of an exception at any moment.

An exception that a signal raises may come inside a callback that swallows it, and the command would go on. And where
the process was started with SIGINT ignored, as a shell starts its background jobs, no exception comes at all.
"""

from __future__ import annotations

import signal
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

ENDING_SIGNALS = (signal.SIGINT, signal.SIGTERM)


@contextmanager
def interrupted(numbers: Sequence[signal.Signals] = ENDING_SIGNALS) -> Iterator[Callable[[], bool]]:
    """Whether one of these signals has come; the handlers are put back in the end. For the main thread."""
    came = []
    before = {number: signal.signal(number, lambda *_: came.append(True)) for number in numbers}
    try:
        yield lambda: bool(came)
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)
