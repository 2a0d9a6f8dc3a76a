"""The scheduler under a wall clock that is wrong: `python -m canvasbeam.simulator.skewed_clock SECONDS`.

It owns the wrong clock, handed to this process alone. It must never touch the machine's.
"""

from __future__ import annotations

import sys
import time

from canvasbeam.__main__ import main


def skew(seconds: float) -> None:
    """From here on this process reads its wall clock so many seconds off."""
    right, off = time.time_ns, round(seconds * 1_000_000_000)
    time.time_ns = lambda: right() + off


if __name__ == "__main__":
    skew(float(sys.argv[1]))
    sys.exit(main())
