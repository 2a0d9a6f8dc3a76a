"""One emulated worker: what it takes, in which order it serves, how fast, and what it says of it.

It owns the worker's queue, its running jobs, its warmth, its pauses and its load report, and is written once for
both engines. Jobs share the cores evenly, so one virtual clock serves them all: it runs at the speed at which
each running job gets on, and a job ends when that clock has advanced by the job's work. It must never read a
clock, know a connection or a scheduler, or say anything twice.
"""

from __future__ import annotations

import heapq
import random
from bisect import insort
from collections.abc import Hashable
from dataclasses import dataclass, field
from math import ceil, inf

from canvasbeam.simulator.model.load_reporter import Figures, LoadReporter
from canvasbeam.simulator.model.machine import Machine
from canvasbeam.simulator.model.units import MS
from canvasbeam.simulator.model.worker_messages import (
    Action,
    Began,
    Born,
    Breaks,
    Connected,
    Died,
    Drains,
    Errs,
    Event,
    FellOver,
    Offered,
    Paused,
    Probed,
    Said,
    Say,
    Slowed,
    Task,
    Withdrawn,
    Woken,
)
from canvasbeam.simulator.model.worker_parts import ColdOverload, DataSetCache, ProbeLimit

# A cold worker's speed is worked out anew so often while it warms.
WARM_STEP = 50 * MS
# What a job that fails fast takes.
FAST_ERROR = 2 * MS


@dataclass(slots=True)
class Worker:
    """An emulated worker: events in, actions out. After each call `next_at` says when to wake it."""

    machine: Machine
    rng: random.Random
    alive: bool = True
    draining: bool = False
    fallen: bool = False
    born_ns: int = 0  # 0: long ago
    next_at: float = inf
    connections: int = 0
    used: int = 0  # slots in use
    served: int = 0
    failed: int = 0
    killed: int = 0
    done_work: float = 0.0
    _now: int = 0
    _clock: float = 0.0  # the virtual clock
    _rate: float = 0.0
    _slowed: float = 1.0
    _errs: float = 0.0
    _breaks: float = 0.0
    _orders: int = 0
    _running: list[tuple[float, int, Task]] = field(default_factory=list)
    _waiting: list[Task] = field(default_factory=list)
    _tasks: dict[Hashable, Task] = field(default_factory=dict)
    _notes: list[tuple[int, int, Task]] = field(default_factory=list)
    _ends: list[tuple[int, int, Task, Said]] = field(default_factory=list)  # fast errors and breaks
    _paused_until: int = 0
    _next_pause: float = inf
    _inbox: list[Event] = field(default_factory=list)
    _warmed_by: float = 0.0
    _warm: float = 1.0
    _warm_at: float = inf
    _busy_ns: float = 0.0
    _out: list[Action] = field(default_factory=list)
    _reporter: LoadReporter = field(init=False)
    _data_sets: DataSetCache = field(init=False)
    _cold_overload: ColdOverload = field(init=False)
    _probe_limit: ProbeLimit = field(init=False)

    def __post_init__(self) -> None:
        self._reporter = LoadReporter(self.machine, self.rng)
        self._data_sets = DataSetCache(self.machine)
        self._cold_overload = ColdOverload(self.machine)
        self._probe_limit = ProbeLimit(self.machine)
        self._plan_pause(0)

    @property
    def held(self) -> int:
        """Jobs that it holds, running or waiting."""
        return len(self._tasks)

    def handle(self, now: int, events: tuple[Event, ...]) -> list[Action]:
        """Take events at a time in nanoseconds, never before the last one's; what follows from them."""
        self._out = []
        self._advance(max(now, self._now))
        for event in events:
            self._take(event)
        if self.alive:
            self._serve()
        self._plan()
        return self._out

    def _take(self, event: Event) -> None:
        if self._now < self._paused_until and isinstance(event, Offered | Withdrawn):
            self._inbox.append(event)
            return
        match event:
            case Offered(task):
                self._offered(task)
            case Withdrawn(ref):
                self._withdrawn(ref)
            case Woken():
                pass  # all that is due is done by _serve
            case Connected():
                self._lose(self.machine.handshake_work_ns)
            case Probed():
                self._probe_limit.add(self._now)
            case Died():
                self._die()
            case Born():
                self._begin()
            case _:
                self._take_fault(event)

    def _take_fault(self, event: Event) -> None:
        """Take a planned or drawn fault of a process that goes on."""
        match event:
            case Drains(on):
                self._drain(on)
            case Slowed(times):
                self._slowed = max(1.0, times)
            case Errs(share):
                self._errs = share
            case Breaks(share):
                self._breaks = share
            case Paused(until):
                self._paused_until = max(self._paused_until, until)

    # --- time -------------------------------------------------------------------------------------

    def _advance(self, now: int) -> None:
        """Move the virtual clock to now, at the speed that held since the last event."""
        span = now - self._now
        if span <= 0:
            return
        gone = span * self._rate
        self._clock += gone
        if self._running:
            used = min(self.used, self.machine.cores)
            self._busy_ns += span * used / self.machine.cores
            self.done_work += gone * self.used
            self._warmed_by += gone * self.used
        self._now = now

    def _pace(self) -> float:
        """How fast each running job gets on now."""
        if not self._running or self._now < self._paused_until:
            return 0.0
        machine = self.machine
        shared = min(1.0, machine.cores / self.used) if self.used else 1.0
        crowded = self.held / machine.cores - machine.thrash_at
        thrashed = 1.0 / (1.0 + machine.thrash * crowded) if machine.thrash and crowded > 0 else 1.0
        return machine.speed * self._warm * shared * thrashed / self._slowed

    def warmth(self) -> float:
        """Return the share of its capacity that it has now."""
        machine = self.machine
        if not self.born_ns or not machine.cold_ns:
            return 1.0
        grown = (self._now - self.born_ns) / machine.cold_ns
        if machine.warm_by == "work":
            grown = max(grown, self._warmed_by / (machine.capacity * machine.cold_ns))
        return min(1.0, machine.cold_from + (1 - machine.cold_from) * max(0.0, grown))

    def _lose(self, work: float) -> None:
        """Work beside the jobs slows them all down."""
        if self._running and work:
            self._clock -= work * self.machine.speed / self.machine.cores

    def _plan(self) -> None:
        """Set the pace from here on, and when to look again."""
        if not self.alive:
            self._rate, self.next_at = 0.0, inf
            return
        self._warm = self.warmth()
        self._warm_at = self._now + WARM_STEP if self._warm < 1 and self._running else inf
        self._rate = self._pace()
        soon = min(self._next_pause, self._warm_at)
        if self._now < self._paused_until:
            soon = min(soon, self._paused_until)
        else:
            while self._running and self._running[0][2].over:
                heapq.heappop(self._running)
            if self._running and self._rate > 0:
                soon = min(soon, self._now + max(1, ceil((self._running[0][0] - self._clock) / self._rate)))
            if self._notes:
                soon = min(soon, self._notes[0][0])
            if self._ends:
                soon = min(soon, self._ends[0][0])
        self.next_at = soon

    def _plan_pause(self, now: int) -> None:
        every = self.machine.pause_every_ns
        self._next_pause = now + round(self.rng.expovariate(1 / every)) if every and self.machine.pause_ns else inf

    # --- what is due ------------------------------------------------------------------------------

    def _serve(self) -> None:
        """Do what is due now: the end of a pause, ended jobs, notes, and new starts."""
        if self._now >= self._next_pause:
            self._paused_until = max(self._paused_until, self._now + self.machine.pause_ns)
            self._plan_pause(self._paused_until)
        if self._now < self._paused_until:
            return
        inbox, self._inbox = self._inbox, []
        for event in inbox:
            self._take(event)
        # Half a nanosecond: the clock is a float, and a job must not end a wake-up late for it.
        while self._running and (self._running[0][2].over or self._running[0][0] <= self._clock + 0.5):
            task = heapq.heappop(self._running)[2]
            if not task.over:
                self.served += 1
                self._end(task, Said.DONE)
        while self._ends and self._ends[0][0] <= self._now:
            _, _, task, said = heapq.heappop(self._ends)
            if not task.over:
                self.failed += said is Said.FAILED
                self._end(task, said)
        while self._notes and self._notes[0][0] <= self._now:
            when, order, task = heapq.heappop(self._notes)
            if not task.over and task.running:
                share = min(1.0, (self._clock - task.run_from) / task.work_ns) if task.work_ns else 1.0
                self._out.append(Say(task.ref, Said.RUNNING, max(0.0, share)))
                heapq.heappush(self._notes, (when + self.machine.progress_ns, order, task))
        self._start_waiting()

    def _start_waiting(self) -> None:
        place = 0
        while place < len(self._waiting):
            task = self._waiting[place]
            if task.over:
                del self._waiting[place]
            elif self.machine.drops_expired and self._now >= task.due_ns:
                del self._waiting[place]
                self._end(task, None)
            elif self._fits(task) or self._makes_room(task):
                del self._waiting[self._waiting.index(task)]
                self._start(task)
                place = 0
            elif self.machine.order == "backfill":
                place += 1
            else:
                break

    def _fits(self, task: Task) -> bool:
        return self.used + task.slots <= self.machine.slots

    def _makes_room(self, task: Task) -> bool:
        """Push out running jobs of lower priority, the newest first, if that is enough."""
        if self.machine.preempt == "none" or task.priority <= 0:
            return False
        kills = self.machine.preempt == "kill"
        victims = sorted(
            (
                each
                for _, _, each in self._running
                if not each.over and each.priority < task.priority and (each.may_be_killed or not kills)
            ),
            key=lambda each: (each.priority, -each.order),
        )
        free, chosen = self.machine.slots - self.used, []
        for victim in victims:
            if free >= task.slots:
                break
            chosen.append(victim)
            free += victim.slots
        if free < task.slots:
            return False
        for victim in chosen:
            if kills:
                self.killed += 1
                self._end(victim, Said.LOST)
            else:
                self._suspend(victim)
        return True

    # --- a job's life -----------------------------------------------------------------------------

    def _offered(self, task: Task) -> None:
        machine = self.machine
        if task.ref in self._tasks:
            raise ValueError("an attempt was offered twice")
        if self._falls_over(task):
            return
        self._orders += 1
        task.order = self._orders
        if self.draining or (task.slots > machine.slots):
            self._out.append(Say(task.ref, Said.REJECTED))
            return
        errs = 1 - (1 - machine.error_rate) * (1 - self._errs)
        if errs and self.rng.random() < errs:
            self._tasks[task.ref] = task
            self._out.append(Began(task.ref))
            heapq.heappush(self._ends, (self._now + FAST_ERROR, task.order, task, Said.FAILED))
            return
        task.work_left = task.work_ns
        direct = not any(not entry.over for entry in self._waiting) or machine.order == "backfill"
        if (direct and self._fits(task)) or self._waiting_room():
            self._tasks[task.ref] = task
            if machine.order == "priority":
                insort(self._waiting, task)
            else:
                self._waiting.append(task)
            self._start_waiting()
        elif (not self._waiting or machine.order == "priority") and self._makes_room(task):
            self._tasks[task.ref] = task
            self._start(task)
        else:
            self._out.append(Say(task.ref, Said.REJECTED))

    def _waiting_room(self) -> bool:
        return sum(not entry.over for entry in self._waiting) < self.machine.queue

    def _start(self, task: Task) -> None:
        machine = self.machine
        first = not task.told
        if first and machine.keys_kept and task.key is not None:
            task.work_left += self._data_sets.fetch(task.key)
        task.running = True
        task.run_from = self._clock - (task.work_ns - task.work_left)
        task.ends_at = self._clock + task.work_left
        self.used += task.slots
        heapq.heappush(self._running, (task.ends_at, task.order, task))
        if not first:
            return
        task.told = True
        self._out.append(Began(task.ref))
        if machine.tells_start:
            self._out.append(Say(task.ref, Said.STARTED))
        if machine.progress_ns:
            heapq.heappush(self._notes, (self._now + machine.progress_ns, task.order, task))
        if self._breaks and self.rng.random() < self._breaks:
            pace = max(1e-9, machine.speed * self._warm / self._slowed)
            when = self._now + round(self.rng.random() * task.work_left / pace)
            heapq.heappush(self._ends, (when, task.order, task, Said.BROKE))

    def _suspend(self, task: Task) -> None:
        """Note that it waits again, and goes on later where it stopped."""
        again = Task(task.ref, task.work_ns, task.slots, task.priority, task.may_be_killed, task.key, task.due_ns)
        again.order, again.told = task.order, True
        again.work_left = max(0.0, task.ends_at - self._clock)
        task.over, task.running = True, False
        self.used -= task.slots
        self._tasks[task.ref] = again
        insort(self._waiting, again) if self.machine.order == "priority" else self._waiting.insert(0, again)
        if self.machine.progress_ns:
            heapq.heappush(self._notes, (self._now + self.machine.progress_ns, again.order, again))

    def _end(self, task: Task, said: Said | None) -> None:
        task.over = True
        self._tasks.pop(task.ref, None)
        if task.running:
            task.running = False
            self.used -= task.slots
        if said is not None:
            self._out.append(Say(task.ref, said))

    def _withdrawn(self, ref: Hashable) -> None:
        task = self._tasks.get(ref)
        if task is not None and (self.machine.cancel_stops_work or not task.running):
            self._end(task, None)

    # --- the worker's life ------------------------------------------------------------------------

    def _die(self) -> None:
        for task in self._tasks.values():
            task.over = True
        self._tasks.clear()
        self._running.clear()
        self._waiting.clear()
        self._notes.clear()
        self._ends.clear()
        self._inbox.clear()
        self._data_sets.clear()
        self._cold_overload.clear()
        self.alive, self.draining = False, False
        self.used = self.connections = 0
        self._paused_until = 0

    def _begin(self) -> None:
        if self.fallen:
            return
        self.alive = True
        self.born_ns = max(1, self._now)
        self._warmed_by = 0.0
        self._reporter.restart(self._now)
        self._plan_pause(self._now)

    def _drain(self, on: bool) -> None:
        self.draining = on
        if on and self.machine.drain_returns:
            for task in tuple(self._waiting):
                if not task.over and not task.told:
                    self._end(task, Said.RETURNED)
            self._waiting = [entry for entry in self._waiting if not entry.over]

    def _falls_over(self, task: Task) -> bool:
        """Whether this job is one too many for a cold worker: it falls over, and stays down."""
        if not self._cold_overload.falls(self._now, task.work_ns * task.slots, self.warmth()):
            return False
        self._die()
        self.fallen = True
        self._out.append(FellOver())
        return True

    # --- what it tells of itself ------------------------------------------------------------------

    def probe_answer(self, now: int) -> bool:
        """Whether a probe that comes now is answered as well; over the worker's limit it is turned away."""
        if not self.alive or self.draining or not self._probe_limit.allows(now):
            return False
        self.handle(now, (Probed(),))
        self._lose(self.machine.probe_work_ns)
        self._plan()
        return True

    def report(self, now: int) -> dict[str, float]:
        """Return the load report as it stands; empty where the machine makes none."""
        return self._reporter.report(now, self._figures)

    def _figures(self) -> Figures:
        return Figures(self.served, self.failed, self._busy_ns, self.machine.slots - self.used)

    def weight(self) -> float:
        """Return the live weight that discovery may tell: nominal size, lowered by what it holds."""
        nominal = self.machine.capacity
        return round(nominal / (1 + self.held / self.machine.slots), 3)
