"""Parts of an emulated worker that keep a record of their own: cached data sets, work sent while cold, probes."""

from __future__ import annotations

from collections import deque
from math import inf

from canvasbeam.simulator.model.machine import Machine
from canvasbeam.simulator.model.units import SECOND


class DataSetCache:
    """The data sets that a worker holds; the latest few are kept."""

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._keys: dict[str, None] = {}  # the latest last

    def fetch(self, key: str) -> float:
        """Return what fetching a data set adds to a job's work."""
        held = key in self._keys
        self._keys.pop(key, None)
        self._keys[key] = None
        while len(self._keys) > self._machine.keys_kept:
            del self._keys[next(iter(self._keys))]
        return 0.0 if held else self._machine.fetch_ns

    def clear(self) -> None:
        """Note that the process has ended."""
        self._keys.clear()


class ColdOverload:
    """The work sent to a worker of late, which one that is cold may not bear."""

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._sent: deque[tuple[int, float]] = deque()

    def falls(self, now: int, work: float, warmth: float) -> bool:
        """Whether this work is too much for a worker with this share of its capacity."""
        machine = self._machine
        if warmth >= 1 or machine.tip_multiple == inf:
            return False
        self._sent.append((now, work))
        while self._sent[0][0] <= now - machine.tip_window_ns:
            self._sent.popleft()
        bears = machine.tip_multiple * machine.capacity * warmth * machine.tip_window_ns
        return sum(sent for _, sent in self._sent) > bears

    def clear(self) -> None:
        """Note that the process has ended."""
        self._sent.clear()


class ProbeLimit:
    """The probes of the last second."""

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._probes: deque[int] = deque()

    def add(self, now: int) -> None:
        """Note that a probe has come."""
        self._probes.append(now)

    def allows(self, now: int) -> bool:
        """Whether one more is answered now."""
        while self._probes and self._probes[0] <= now - SECOND:
            self._probes.popleft()
        return len(self._probes) < self._machine.probes_per_s
