"""Ports for the tests that must name one before anything listens there.

Asking the kernel for a port, closing the socket and binding the port later leaves a gap, in which another process that
runs tests beside this one may be given the same port. So each pytest-xdist worker has a range of its own, below those
that Linux gives to connections by default.
"""

from __future__ import annotations

import itertools
import os
import socket
from contextlib import ExitStack

FIRST_PORT = 16_000
RANGES = 15
BLOCK_PORTS = 16  # a test may use the ports after the one it was given as well
BLOCKS_PER_RANGE = 64

# Several runs on one machine start at different blocks.
_blocks = itertools.count(os.getpid())


def range_of_worker(worker: str) -> int:
    """The number of the range of an xdist worker, such as `gw3`; a run without workers has the last one."""
    return int(worker.removeprefix("gw")) % (RANGES - 1) if worker.startswith("gw") else RANGES - 1


def free_port() -> int:
    """A port that is free with the 15 after it, for TCP and UDP on all loopback addresses."""
    first = FIRST_PORT + range_of_worker(os.environ.get("PYTEST_XDIST_WORKER", "")) * BLOCKS_PER_RANGE * BLOCK_PORTS
    for _ in range(BLOCKS_PER_RANGE):
        port = first + next(_blocks) % BLOCKS_PER_RANGE * BLOCK_PORTS
        if _is_free(port):
            return port
    raise RuntimeError(f"no free block of ports from {first} on")


def _is_free(port: int) -> bool:
    with ExitStack() as stack:
        for number in range(port, port + BLOCK_PORTS):
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
                try:
                    sock.bind(("0.0.0.0", number))
                except OSError:
                    return False
    return True
