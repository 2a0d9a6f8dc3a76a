"""Every size, count and time the program keeps to, in one type that is filled at start and handed down.

It owns these figures and the one seam between the program's `timedelta` and the module's whole
nanoseconds. It must never read a clock, and no other file may convert between the two or bring a figure of
its own.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from canvasbeam import interface as ci

MICROSECOND = timedelta(microseconds=1)
ZERO = timedelta(0)
TARGET_IDLE = timedelta(seconds=15)  # where the settings name no time


def nanoseconds(span: timedelta) -> int:
    """A span in the module's unit."""
    return span // MICROSECOND * 1000


def span_of(ns: int) -> timedelta:
    """A span given in the module's unit, rounded up so that nothing is ever due early."""
    return timedelta(microseconds=-(-ns // 1000))


def seconds(number: float) -> timedelta:
    """A span given in seconds."""
    return timedelta(seconds=number)


@dataclass(frozen=True, slots=True)
class Limits:
    """What the program allows itself; the defaults suit a scheduler of one core and 1,024 descriptors."""

    # Sizes in bytes.
    body: int = 64 * 1024
    head: int = 16 * 1024
    line: int = 512 * 1024  # one JSON line of a worker: a 64 KiB result, escaped
    list_body: int = 4 * 1024 * 1024
    read: int = 64 * 1024
    # Counts.
    open_requests: int = 10_000
    client_connections: int = 560
    target_connections: int = 400
    pipelined: int = 16
    backlog: int = 512
    accepts_per_pass: int = 64
    # The longest a client may be told to stay away.
    come_back: timedelta = ZERO
    # The module is told that a request is due earlier by the first; it answers as late as a quantum before
    # that. The core answers in its stead by the second before the request is due.
    answer_margin: timedelta = seconds(0.005)
    answer_guard: timedelta = seconds(0.002)
    connect: timedelta = seconds(0.25)
    probe: timedelta = seconds(1)
    target_idle: timedelta = TARGET_IDLE
    target_tail: timedelta = seconds(1)  # from the last line of an answer to the end of its framing
    client_idle: timedelta = seconds(75)
    client_head: timedelta = seconds(20)  # from a request's first byte to its last
    client_write: timedelta = seconds(10)
    linger: timedelta = seconds(1)
    accept_pause: timedelta = seconds(0.05)
    drain_window: timedelta = seconds(0.6)  # after SIGTERM, while clients still come
    slow_pass: timedelta = seconds(0.02)  # a pass that takes longer is told in the log
    list_wait: timedelta = seconds(1)
    watch_hold: timedelta = seconds(5)
    watch_slack: timedelta = seconds(1)  # past its hold, a watch is stuck
    watch_gap: timedelta = seconds(0.02)  # between calls that bring nothing and come back at once
    watch_retry: timedelta = seconds(0.1)

    @classmethod
    def of(cls, settings: ci.Limits, sockets: int) -> Limits:
        """The figures under a deployment's settings and its descriptor limit."""
        if sockets < 64:
            raise ValueError("limits.sockets must be at least 64")
        # The listener, discovery, the selector, the signal pair and the standard streams come first.
        rest = sockets - 48
        idle = settings.idle_connection_ns
        return cls(
            open_requests=settings.max_open,
            client_connections=rest * 3 // 5,
            target_connections=rest * 2 // 5,
            come_back=span_of(settings.max_retry_advice_ns) if settings.retry_advice else ZERO,
            connect=span_of(settings.connect_timeout_ns),
            target_idle=span_of(idle) / 2 if idle else TARGET_IDLE,
        )
