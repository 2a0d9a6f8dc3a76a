"""A planned shutdown: the phases, and for each phase which requests are accepted and with which deadline.

The module is pure: events and times in whole nanoseconds go in, decisions come out, without I/O, clocks or sockets. A
request that could not be answered before the platform kills the process must never be accepted, and a phase never
follows a later phase.

| phase | begins | new connections | open connections | a new request |
| --- | --- | --- | --- | --- |
| serving | at process start | accepted | kept open | accepted with the deadline of the client |
| announced | at the signal | accepted: clients still connect | kept open | accepted if `last_answer` can be met |
| handing over | `window` after the signal | refused by the kernel | kept open | as in the phase announced |
| closing | see below | refused | closed after the response, or at once if idle | rejected at once |
| ended | `last_answer` after the signal | refused | closed after the response | rejected at once |

At the beginning of the phase ended, every open request is answered; the process exits by `leave`.

A request that is accepted after the signal has the earlier of the client's deadline and `last_answer` as its deadline.
The kernel refuses connections after the listener is closed: the scheduler closes its listener at the end of `window`,
and the data plane at the start of the phase closing at the latest.

The phase closing begins when a new request of no class could be answered by `last_answer`, judged by a quantile of the
recent service times of each class, but never before the end of `window`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum


class Phase(IntEnum):
    """Phase of a planned shutdown; a process enters the phases only in this order."""

    SERVING = 0
    ANNOUNCED = 1
    HANDING_OVER = 2
    CLOSING = 3
    ENDED = 4


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """Parameters of a planned shutdown; times in nanoseconds, all but `assumed_service_time` relative to the signal."""

    window: int  # end of accepting new connections: load balancers notice a shutdown with a delay
    last_answer: int  # time by which every request must be answered
    leave: int  # time by which the process must exit, before the platform kills the process
    assumed_service_time: int  # service time of a class before its first response
    quantile: float = 0.75  # quantile of a class's service times that must fit before `last_answer`
    max_samples: int = 64  # recent service times kept for each class

    def __post_init__(self) -> None:
        if not 0 <= self.window < self.last_answer < self.leave:
            raise ValueError(
                "a shutdown's times must satisfy 0 <= window < last_answer < leave, "
                f"not {self.window}, {self.last_answer}, {self.leave}"
            )
        if not 0 < self.quantile <= 1 or self.max_samples < 1 or self.assumed_service_time < 0:
            raise ValueError(
                "a shutdown's parameters must satisfy 0 < quantile <= 1, max_samples >= 1, assumed_service_time >= 0, "
                f"not {self.quantile}, {self.max_samples}, {self.assumed_service_time}"
            )


class PlannedShutdown:
    """Planned shutdown of a process, with the recent service times of each class."""

    def __init__(self, times: ShutdownTimes, classes: Iterable[str]) -> None:
        self.times = times
        self._samples: dict[str, deque[int]] = {name: deque(maxlen=times.max_samples) for name in classes}
        self._began_at: int | None = None
        self._service_times: dict[str, int] = {}  # quantile for each class, in nanoseconds, set by `begin`
        self._closing_delay = times.window

    def record_service_time(self, job_class: str, service_time: int) -> None:
        """Record the service time of a request of class `job_class`, in nanoseconds."""
        self._samples[job_class].append(service_time)

    def begin(self, now: int) -> bool:
        """Begin the shutdown and return True; on a later call, return False and change nothing."""
        if self._began_at is not None:
            return False
        self._began_at = now
        self._service_times = {name: self._service_time(spans) for name, spans in self._samples.items()}
        shortest = min(self._service_times.values(), default=self.times.assumed_service_time)
        self._closing_delay = max(self.times.window, self.times.last_answer - shortest)
        return True

    def _service_time(self, spans: deque[int]) -> int:
        if not spans:
            return self.times.assumed_service_time
        return sorted(spans)[min(int(len(spans) * self.times.quantile), len(spans) - 1)]

    def elapsed(self, now: int) -> int:
        """Return the nanoseconds since the shutdown began; 0 before the signal."""
        return 0 if self._began_at is None else now - self._began_at

    def phase(self, now: int) -> Phase:
        """Return the phase of the shutdown at time `now`."""
        if self._began_at is None:
            return Phase.SERVING
        elapsed = now - self._began_at
        if elapsed >= self.times.last_answer:
            return Phase.ENDED
        if elapsed >= self._closing_delay:
            return Phase.CLOSING
        return Phase.HANDING_OVER if elapsed >= self.times.window else Phase.ANNOUNCED

    def deadline(self, now: int, job_class: str, requested: int) -> int | None:
        """Return the deadline of a request that arrives at `now`, or None if the request is rejected at once."""
        if self._began_at is None:
            return requested
        last_answer_at = self._began_at + self.times.last_answer
        if self.phase(now) >= Phase.CLOSING or now + self._service_times[job_class] > last_answer_at:
            return None
        return min(requested, last_answer_at)

    def phase_times(self) -> tuple[int, ...]:
        """Return the start time of each phase after ANNOUNCED, then the exit time; empty before the signal."""
        if self._began_at is None:
            return ()
        spans = (self.times.window, self._closing_delay, self.times.last_answer, self.times.leave)
        return tuple(self._began_at + span for span in spans)
