"""A fleet of memberships in simulated time: the decisions alone, the laboratory's links between them, and faults.

It owns simulated time, each instance's clock, and what a stopped, throttled or killed process does. It must never read
a clock for a result, and never tell an instance anything but datagrams and the time.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from typing import Protocol

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim import (
    Action,
    Datagram,
    DatagramReceived,
    Event,
    LeaveRequested,
    Membership,
    ReportChange,
    SendDatagram,
    Sender,
    SwimParameters,
    Ticked,
)
from canvasbeam.simulator.model.links import LinkFault, Links
from canvasbeam.simulator.model.units import MS, SECOND

KERNEL = 200  # datagrams that wait at a socket that nobody reads
Make = Callable[[Sender, Sequence[str], SwimParameters, int, int], Membership]


@dataclass(frozen=True, slots=True)
class Seen:
    """A change that an instance saw."""

    at_ns: int
    by: str
    name: str
    after: str
    why: str


@dataclass(slots=True, eq=False)
class Instance:
    """One process of the program, as far as its membership goes."""

    name: str
    address: str
    members: Membership | None = None
    base: int = 0  # its monotonic clock less the world's
    stopped: bool = False
    waiting: deque[Event] = field(default_factory=lambda: deque(maxlen=KERNEL))
    starts: int = 0
    woken_for: int = -1

    @property
    def runs(self) -> bool:
        """Whether the process is there."""
        return self.members is not None


class PeerWorld:
    """Instances `n0`, `n1` and so on; the first few are everybody's seeds."""

    def __init__(
        self,
        count: int,
        terms: SwimParameters | None = None,
        seed: int = 1,
        faults: Sequence[LinkFault] = (),
        zones: int = 2,
        seeds: int = 3,
        make: Make = Membership,
    ) -> None:
        self._now = SECOND
        self.terms = terms or SwimParameters()
        self.rng = random.Random(seed)
        self.instances = {f"n{place}": Instance(f"n{place}", self._address(place)) for place in range(count)}
        self.links = Links({f"n{place}": f"z{place % zones}" for place in range(count)}, faults, seed)
        self.began = 0  # when the links' faults begin to count, on this world's clock
        self.seen: list[Seen] = []
        self.sent: Counter[str] = Counter()
        self.bytes = 0
        self.size: Callable[[Datagram], int] = lambda datagram: 60 + sum(update.size for update in datagram.updates)
        self.cpu = 1.0  # the part of the time in which a process runs, a hundred milliseconds a turn
        self._by_address = {instance.address: instance for instance in self.instances.values()}
        self._seeds = [self._address(place) for place in range(min(seeds, count))]
        self._make = make
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._order = 0

    @staticmethod
    def _address(place: int) -> str:
        return f"127.78.{place // 250}.{1 + place % 250}:7000"

    @property
    def now(self) -> int:
        """Simulated time."""
        return self._now

    def at(self, when: int, action: Callable[[], None]) -> None:
        """Do this at that time."""
        self._order += 1
        heappush(self._queue, (when, self._order, action))

    def run(self, span_s: float) -> None:
        """Let so much time pass."""
        until = self.now + round(span_s * SECOND)
        while self._queue and self._queue[0][0] <= until:
            self._now, _, action = heappop(self._queue)
            action()
        self._now = until

    def until(self, holds: Callable[[], bool], most_s: float, step_s: float = 0.01) -> float:
        """Let time pass until something holds; the seconds it took, or more than `most_s`."""
        begun = self.now
        while not holds():
            if self.now - begun > most_s * SECOND:
                return most_s + step_s
            self.run(step_s)
        return (self.now - begun) / SECOND

    # --- processes --------------------------------------------------------------------------------

    def start(self, name: str, clock_s: float = 0.0) -> None:
        """Start a new process with nothing but its file; its wall clock is off by so much."""
        each = self.instances[name]
        each.starts += 1
        each.stopped = False
        each.waiting.clear()
        each.base = self.rng.randrange(1, 1_000 * SECOND)
        wall_ms = 1_700_000_000_000 + round(self.now / MS + clock_s * 1000)
        me = Sender(name, wall_ms, 0, each.address)
        each.members = self._make(me, self._seeds, self.terms, self.rng.getrandbits(32), self.now + each.base)
        self._give(each, each.starts, Ticked())

    def start_all(self, within_s: float = 1.0) -> None:
        """All at once, or nearly so."""
        for name in self.instances:
            self.at(self.now + round(self.rng.random() * within_s * SECOND), partial(self.start, name))

    def kill(self, name: str) -> None:
        """SIGKILL."""
        self.instances[name].members = None

    def leave(self, name: str) -> None:
        """SIGTERM; the process is gone a moment later."""
        each = self.instances[name]
        self._give(each, each.starts, LeaveRequested())
        self.at(self.now + 3 * SECOND, partial(self._gone, each, each.starts))

    def _gone(self, each: Instance, starts: int) -> None:
        if each.starts == starts:
            each.members = None

    def stop(self, name: str) -> None:
        """SIGSTOP."""
        self.instances[name].stopped = True

    def go_on(self, name: str) -> None:
        """SIGCONT: what came meanwhile waits at its socket, and its clock has moved on."""
        each = self.instances[name]
        each.stopped = False
        self._catch_up(each, each.starts)

    def _catch_up(self, each: Instance, starts: int) -> None:
        if each.starts == starts and not each.stopped:
            events = list(each.waiting) or [Ticked()]
            each.waiting.clear()
            self._handle(each, events)

    # --- datagrams and time -----------------------------------------------------------------------

    def _give(self, each: Instance, starts: int, event: Event) -> None:
        if not each.runs or each.starts != starts:
            return
        if each.stopped or (self.cpu < 1 and self._is_off_turn(each)):
            each.waiting.append(event)
        else:
            self._handle(each, [event])

    def _is_off_turn(self, each: Instance) -> bool:
        """Return a process with a part of the CPU runs for that part of each hundred milliseconds."""
        turn = 100 * MS
        into = (self.now + each.base) % turn
        if into < self.cpu * turn:
            return False
        if not each.waiting:
            self.at(self.now + turn - into, partial(self._catch_up, each, each.starts))
        return True

    def _handle(self, each: Instance, events: list[Event]) -> None:
        if each.members is None:
            return
        actions = each.members.handle(self.now + each.base, events)
        self._carry_out(each, actions)
        if each.members is None:
            return
        wake = each.members.wake
        if wake != each.woken_for:
            each.woken_for = wake
            self.at(max(self.now, wake - each.base), partial(self._wake, each, each.starts, wake))

    def _wake(self, each: Instance, starts: int, wake: int) -> None:
        if each.woken_for == wake:
            self._give(each, starts, Ticked())

    def _carry_out(self, each: Instance, actions: list[Action]) -> None:
        assert each.members is not None
        for action in actions:
            match action:
                case SendDatagram(address, datagram):
                    self._send(each, address, datagram)
                case ReportChange(name, _, after, why):
                    self.seen.append(Seen(self.now, each.name, name, after, why))

    def _send(self, each: Instance, address: str, datagram: Datagram) -> None:
        mine = each.members
        assert mine is not None
        size = self.size(datagram)
        self.sent[each.name] += 1
        self.bytes += size
        to = self._by_address.get(address)
        if to is None or to is each:
            return
        event = DatagramReceived(Sender(mine.name, mine.start, mine.incarnation, each.address), datagram)
        for delay in self.links.pass_on(self.now - self.began, each.name, to.name, size):
            # Read when it comes: the process that then has the address gets it.
            self.at(self.now + delay, partial(self._arrive, to, event))

    def _arrive(self, to: Instance, event: Event) -> None:
        self._give(to, to.starts, event)

    # --- what can be asked ------------------------------------------------------------------------

    def running(self) -> list[Instance]:
        """Return the processes that are there and not stopped."""
        return [instance for instance in self.instances.values() if instance.runs and not instance.stopped]

    def view(self, name: str) -> tuple[str, ...]:
        """Whom an instance takes to be there."""
        each = self.instances[name]
        assert each.members is not None
        return each.members.view(self.now + each.base).present

    def agree(self) -> bool:
        """Whether all that run take exactly those that run to be there, and none of them is suspect."""
        running = self.running()
        names = tuple(sorted(host.name for host in running))
        return all(
            self.view(host.name) == names
            and all(other.known.status is not MemberStatus.SUSPECT for other in host.members.members.values())
            for host in running
            if host.members is not None
        )

    def all_know_gone(self, name: str) -> bool:
        """Whether no other process that runs takes this one to be there."""
        return all(name not in self.view(host.name) for host in self.running() if host.name != name)

    def false_deaths(self, since_ns: int = 0) -> list[Seen]:
        """Deaths that were told while the process ran."""
        return [seen for seen in self.seen if seen.at_ns >= since_ns and seen.after == "dead"]


class Embedded(PeerWorld):
    """The same on another's clock and queue: the schedulers of a simulated run."""

    def __init__(self, count: int, clock: Clock, links: Links, seed: int) -> None:
        self._clock = clock
        super().__init__(count, seed=seed)
        self.links = links
        self.began = clock.now()

    @property
    def now(self) -> int:
        """The run's time."""
        return self._clock.now()

    def at(self, when: int, action: Callable[[], None]) -> None:
        """Do this at that time of the run."""
        self._clock.after(max(0, when - self._clock.now()), action)


class Clock(Protocol):
    """What a run lends."""

    def now(self) -> int:
        """Return the time in nanoseconds."""

    def after(self, span: int, action: Callable[[], None]) -> None:
        """Do this so many nanoseconds later."""
