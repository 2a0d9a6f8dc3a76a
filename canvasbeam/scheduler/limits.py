"""Every size, count and time the program keeps to, in one type that is filled at start and handed down.

It owns these figures and the one seam between the program's `timedelta` and the dispatcher's whole
nanoseconds. It must never read a clock, and no other file may convert between the two or bring a figure of
its own.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from canvasbeam.dispatch.settings import Discovery, Settings

MICROSECOND = timedelta(microseconds=1)
ZERO = timedelta(0)
WORKER_IDLE = timedelta(seconds=15)  # where the settings name no time
# The platform kills a process no sooner after SIGTERM than the longest deadline, counted as the first where it is
# longer, and the second.
KILL_LONGEST = timedelta(seconds=3)
KILL_SLACK = timedelta(seconds=0.7)


def nanoseconds(span: timedelta) -> int:
    """Return a span in the dispatcher's unit, whole nanoseconds."""
    return span // MICROSECOND * 1000


def span_of(ns: int) -> timedelta:
    """Return a span given in nanoseconds, rounded up to microseconds so that nothing is ever due early."""
    return timedelta(microseconds=-(-ns // 1000))


def seconds(number: float) -> timedelta:
    """Return a span given in seconds."""
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
    client_read: int = 16 * 1024
    piece: int = 1024  # what a client's parser is fed at once: it may hold many requests
    discard: int = 256 * 1024  # of what a refused client goes on sending, in one pass
    framing: int = 8  # a body may come in so many times its size, framing and all
    bodies: int = 32 * 1024 * 1024  # the bodies of all clients' requests together
    id_length: int = 256
    # Counts.
    open_requests: int = 10_000
    client_connections: int = 560
    worker_connections: int = 400
    kept_idle: int = 8  # idle connections to one worker
    requests_per_pass: int = 16  # taken up from one client
    backlog: int = 512
    accepts_per_pass: int = 32
    slots: float = 1024.0  # the most that a request may say it takes, and the most memory
    # The longest `Retry-After` that a client may be given.
    retry_after: timedelta = ZERO
    # The dispatcher is told that a request is due earlier by the first; it answers as late as a quantum before
    # that. The coordinator answers in its stead by the second before the request is due.
    answer_margin: timedelta = seconds(0.005)
    answer_guard: timedelta = seconds(0.002)
    connect: timedelta = seconds(0.25)
    check_health: timedelta = seconds(1)
    # How long the last byte of an attempt that must not be repeated waits: this, or twice the time that
    # the connection took to come up, but no longer than the second.
    proof: timedelta = seconds(0.005)
    longest_proof: timedelta = seconds(0.05)
    # Nothing that must not run twice is sent on a connection that had an answer less than this ago: a second one, some
    # milliseconds late, would be read as the next request's, and a rejection names no request.
    settle: timedelta = seconds(0.05)
    distrust: timedelta = seconds(60)  # of kept connections, after one broke under a request
    worker_idle: timedelta = WORKER_IDLE
    worker_tail: timedelta = seconds(1)  # from the last line of an answer to the end of its framing
    budget: timedelta = seconds(3600)  # the longest that a client may say it waits
    hint: timedelta = seconds(3600)  # the longest work that a client may guess at
    client_idle: timedelta = seconds(75)  # between requests
    client_silent: timedelta = seconds(2)  # from a connection's start to its first byte
    client_request: timedelta = seconds(2.4)  # from there, or from a later request's first byte, to its last
    client_grace: timedelta = seconds(0.25)  # nobody leaves for a newcomer sooner
    client_look: timedelta = seconds(0.05)  # for the end of a client whose bytes are not read now
    client_write: timedelta = seconds(10)
    linger: timedelta = seconds(2)
    accept_pause: timedelta = seconds(0.05)
    # The planned shutdown, counted from SIGTERM: how long clients still come, the last answer, the process's exit.
    drain_window: timedelta = seconds(0.6)
    last_answer: timedelta = seconds(3.4)
    leave: timedelta = seconds(3.6)
    usual_service_time: timedelta = seconds(1)  # assumed for a class that was never served here
    retry_elsewhere: timedelta = seconds(0.05)  # for requests refused during shutdown: another scheduler may take them
    slow_pass: timedelta = seconds(0.02)  # a pass that takes longer is told in the log
    figures_every: timedelta = seconds(5)  # between lines of figures in the log
    # A change counts as told so long after discovery had it and could be reached, whatever calls failed before; of
    # it discovery itself is left the second, from a call to its answer. See `list_gap`.
    told_within: timedelta = seconds(6)
    list_answer: timedelta = seconds(1)
    list_wait: timedelta = seconds(1)
    # Where lists must be asked for and all schedulers together hold more lines than this, their first calls are
    # spread over so long.
    spared_lines: int = 500
    list_spread: timedelta = seconds(1)
    watch_hold: timedelta = seconds(3)
    watch_slack: timedelta = seconds(1)  # past its hold, a watch is stuck
    watch_gap: timedelta = seconds(0.02)  # between calls that bring nothing and come back at once
    watch_retry: timedelta = seconds(0.1)  # after the first failed call; twice as long after each more
    watch_retry_most: timedelta = seconds(1)
    # The management address: calls of operators, one per connection.
    mgmt_connections: int = 16
    mgmt_backlog: int = 64
    mgmt_head: int = 4 * 1024
    mgmt_call: timedelta = seconds(2)  # from a connection's start to its whole call
    mgmt_linger: timedelta = seconds(1)  # from the answer to the close

    def __post_init__(self) -> None:
        """Raise `ValueError` where a wait for an answer is longer than from one call to discovery to the next."""
        if max(self.list_wait, self.watch_hold + self.watch_slack) + self.watch_retry > self.list_gap:
            raise ValueError("the waits for discovery's answers leave a change untold for too long")

    @property
    def list_gap(self) -> timedelta:
        """The longest from the start of a call to discovery that fails to the start of the next.

        A change that discovery has, and could tell, at any moment after a call began is told by the next call: so
        it is told within this and the time that the answer takes.
        """
        return self.told_within - self.list_answer

    @property
    def shutdown_retry_after(self) -> timedelta:
        """The `Retry-After` of requests refused during shutdown, within the settings."""
        return min(self.retry_elsewhere, self.retry_after)

    @classmethod
    def of(cls, settings: Settings, sockets: int, memory_mb: int) -> Limits:
        """Return the figures under a deployment's settings and its limits on descriptors and memory.

        Raises `ValueError` where these leave the scheduler too little.
        """
        if sockets < 64:
            raise ValueError("limits.sockets must be at least 64")
        if memory_mb < 24:
            raise ValueError("limits.memory_mb must be at least 24")
        # The listener, discovery, the selector, the signal pair and the standard streams come first.
        rest = sockets - 48
        allowed, schedulers = settings.limits, settings.dispatchers
        asking = schedulers if settings.discovery is Discovery.ASKED else 1
        idle = allowed.idle_connection_ns
        kill = (
            min(span_of(max(request_class.deadline_ns for request_class in settings.classes)), KILL_LONGEST)
            + KILL_SLACK
        )
        return cls(
            # The program itself takes 10 to 16 MB; a body stands in up to four places on its way.
            bodies=(memory_mb - 16) * 1024 * 1024 // 4,
            open_requests=allowed.max_open,
            client_connections=rest * 3 // 5,
            worker_connections=rest * 2 // 5,
            retry_after=span_of(allowed.max_retry_advice_ns) if allowed.retry_advice else ZERO,
            connect=span_of(allowed.connect_timeout_ns),
            worker_idle=span_of(idle) / 2 if idle else WORKER_IDLE,
            # A process of part of a core may come to its deadlines late, and answers must still be written.
            drain_window=min(seconds(0.6), kill / 4),
            last_answer=kill - seconds(0.3),
            leave=kill - seconds(0.1),
            # A first call was seen to take discovery a tenth of a second and more.
            list_spread=max(schedulers * seconds(0.2), seconds(1)),
            # Where lists are asked for, calls wait in turn where many schedulers ask at once. To a discovery that
            # fails all together make 10 to 20 a second, whatever their number, as long as no list grows too old by
            # it. Pushed lists come from an agent on this machine, which no call costs anything.
            list_wait=min(max(asking * seconds(0.1), seconds(1)), seconds(4)),
            watch_retry_most=min(max(asking * seconds(0.1), seconds(0.5)), seconds(4)),
        )
