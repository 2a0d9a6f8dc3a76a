"""The load tool: requests at a stated rate, or from a stated number of clients, against schedulers' addresses.

It owns the plan of sends, the connections, and the tally. Latency counts from the time at which a request was meant
to be sent, so a scheduler (or this tool) that stalls is seen in every request that waited (no coordinated omission;
see Tene, "How NOT to measure latency"). It must never load anything but a loopback address, run without an end, or
hide that it fell behind its own plan.
"""

from __future__ import annotations

import resource
import secrets
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial

import numpy as np

from canvasbeam.scheduler.limits import nanoseconds
from canvasbeam.scheduler.loop import Loop
from canvasbeam.simulator.load_plan import Plan
from canvasbeam.simulator.load_tally import Ended, Summary, Tally
from canvasbeam.simulator.model.units import MS, SECOND
from canvasbeam.simulator.wire import ClientConnection, span

TICK = 250 * MS
# After the last send, answers are awaited for the budget and this.
GRACE = SECOND
ENDED_BY_STATUS = {200: Ended.SERVED, 429: Ended.REFUSED, 503: Ended.REFUSED}


@dataclass(slots=True)
class Ask:
    """One request on its way."""

    cls: int
    department: int
    meant_at: int
    address: int
    call_id: str = ""
    client: int = -1
    over: bool = False
    connection: ClientConnection | None = None


class Load:
    """One run of the tool."""

    def __init__(self, plan: Plan, tick: Callable[[Summary], None] | None = None) -> None:
        found = plan.problems()
        if found:
            raise ValueError("; ".join(found))
        self.plan = plan
        self.loop = Loop(timedelta(seconds=10))
        self.loop.read_clock()
        self._tick = tick
        self._rng = np.random.Generator(np.random.PCG64(plan.seed))
        self._tally = Tally(plan)
        self._idle: list[list[ClientConnection]] = [[] for _ in plan.addresses]
        self._connections = 0
        self._most_connections = 0
        self._open = 0
        self._numbers = 0
        self._token = secrets.token_hex(4)  # two runs at once must not meet under one id
        self._waiting: deque[Ask] = deque()  # every connection is in use
        self._body = b"x" * plan.body_bytes
        self._stopped = False
        self._draw()

    def _draw(self) -> None:
        """Who asks when: for open arrivals all of it ahead."""
        plan, rng = self.plan, self._rng
        count = round(plan.rate * plan.seconds) if plan.rate else 4096
        if plan.rate and not plan.evenly:
            gaps = rng.exponential(1 / plan.rate, size=count + 8 * int(count**0.5) + 8)
            times = np.cumsum(gaps)
            times = times[times < plan.seconds]
        else:
            times = np.arange(count) / (plan.rate or 1.0)
        self._times: list[int] = np.rint(times * SECOND).astype(np.int64).tolist()

        def picks(shares: tuple[tuple[str, float], ...]) -> list[int]:
            weights = np.array([share for _, share in shares] or [1.0])
            size = max(1, len(self._times))
            made: list[int] = rng.choice(len(weights), size=size, p=weights / weights.sum()).tolist()
            return made

        self._cls, self._department = picks(plan.classes), picks(plan.departments)
        self._next = 0

    # --- a run ------------------------------------------------------------------------------------

    def _now(self) -> int:
        return nanoseconds(self.loop.read_clock())

    def run(self) -> Summary:
        """Send all that is planned, await the answers, and add up. Ctrl-C ends it early and still adds up."""
        self._begun = self._now()
        self._end = self._begun + round(self.plan.seconds * SECOND)
        latest = self._end + round(self.plan.budget_s * SECOND) + GRACE
        cpu = time.process_time()
        if self.plan.rate:
            self._arm()
        else:
            for client in range(self.plan.clients):
                self._ask_next(client)
        self._ticks()
        try:
            while not self._is_over() and self._now() < latest:
                self.loop.one_pass()
        except KeyboardInterrupt:
            self._stopped = True
        spent = time.process_time() - cpu
        summary = self.summary()
        wall = max(1e-9, (self._now() - self._begun) / SECOND)
        summary.cpu_share = round(spent / wall, 3)
        summary.us_per_request = round(spent / max(1, summary.sent) * 1e6, 1)
        if self._stopped:
            summary.marks.append("interrupted: the figures are of the part that ran")
        if summary.cpu_share > 0.9:
            summary.marks.append(f"the tool used {summary.cpu_share:.0%} of its core: it may be the limit itself")
        self.loop.close()
        return summary

    def _is_over(self) -> bool:
        if self._open:
            return False
        return self._next >= len(self._times) if self.plan.rate else self._now() >= self._end

    def _ticks(self) -> None:
        if self._tick is not None:
            self._tick(self.summary())
        self.loop.after(span(TICK), self._ticks)

    def _arm(self) -> None:
        if self._next < len(self._times):
            when = self._begun + self._times[self._next]
            self.loop.after(span(max(0, when - self._now())), self._arrive)

    def _arrive(self) -> None:
        """All that is due by now: one deadline for many, or the tool itself would fall behind."""
        now = self._now()
        while self._next < len(self._times) and self._begun + self._times[self._next] <= now:
            place = self._next
            self._next += 1
            meant = self._begun + self._times[place]
            self._send(Ask(self._cls[place], self._department[place], meant, place % len(self.plan.addresses)))
        self._arm()

    def _ask_next(self, client: int) -> None:
        """Send the next request of a closed loop, which is meant to be sent now."""
        now = self._now()
        if now >= self._end:
            return
        place = self._next % len(self._cls)
        self._next += 1
        address = client % len(self.plan.addresses)
        self._send(Ask(self._cls[place], self._department[place], now, address, client=client))

    # --- requests ---------------------------------------------------------------------------------

    def _send(self, ask: Ask) -> None:
        self._open += 1
        self._tally.sent(ask.cls, ask.department)
        self.loop.after(span(round(self.plan.budget_s * SECOND) + GRACE // 2), partial(self._late, ask))
        self._put(ask)

    def _put(self, ask: Ask) -> None:
        connection = self._connection(ask.address)
        if connection is None:
            self._waiting.append(ask)
            return
        self._tally.left((self._now() - ask.meant_at) // 1000)
        self._numbers += 1
        ask.call_id = f"{self._token}-{self._numbers:x}"
        ask.connection = connection
        connection.state = ask
        connection.ask(self._request(ask))

    def _connection(self, address: int) -> ClientConnection | None:
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if not connection.closed and connection.is_quiet():
                return connection
            self._drop(connection)
        if self._connections >= self.plan.connections:
            return None
        try:
            made = ClientConnection(
                self.loop, self.plan.addresses[address], partial(self._answered, address), self._broke
            )
        except OSError:
            return None
        self._connections += 1
        self._most_connections = max(self._most_connections, self._connections)
        return made

    def _drop(self, connection: ClientConnection) -> None:
        if not connection.closed:
            connection.close()
        self._connections -= 1

    def _request(self, ask: Ask) -> bytes:
        name = self.plan.classes[ask.cls][0]
        caller = f"X-Caller: {self.plan.departments[ask.department][0]}\r\n" if self.plan.departments else ""
        key = f"Idempotency-Key: {ask.call_id}\r\n" if name in self.plan.keyed else ""
        return (
            f"POST /api?sid={self._numbers:x} HTTP/1.1\r\nHost: load\r\nX-Call-Id: {ask.call_id}\r\n"
            f"X-Call-Class: {name}\r\n{caller}{key}X-Budget: {self.plan.budget_s:g}\r\n"
            f"Content-Length: {len(self._body)}\r\n\r\n"
        ).encode() + self._body

    def _answered(
        self, address: int, connection: ClientConnection, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        ask, connection.state = connection.state, None
        if connection.stays:
            self._idle[address].append(connection)
        else:
            self._drop(connection)
        if isinstance(ask, Ask):
            self._end_ask(ask, ENDED_BY_STATUS.get(status, Ended.FAILED))

    def _broke(self, connection: ClientConnection) -> None:
        ask, connection.state = connection.state, None
        self._connections -= 1
        for idle in self._idle:
            if connection in idle:
                idle.remove(connection)
        if isinstance(ask, Ask):
            self._end_ask(ask, Ended.FAILED)

    def _late(self, ask: Ask) -> None:
        if ask.over:
            return
        if ask.connection is not None:
            ask.connection.state = None
            self._drop(ask.connection)
        self._end_ask(ask, Ended.UNANSWERED)

    def _end_ask(self, ask: Ask, how: Ended) -> None:
        if ask.over:
            return
        ask.over = True
        self._open -= 1
        self._tally.ended(ask.cls, ask.department, how, (self._now() - ask.meant_at) // 1000)
        while self._waiting:
            waiting = self._waiting.popleft()
            if not waiting.over:
                self._put(waiting)
                break
        if ask.client >= 0:
            if how is Ended.FAILED:
                # A scheduler that is not there answers at once: a closed loop must not spin on it.
                self.loop.after(span(10 * MS), partial(self._ask_next, ask.client))
            else:
                self._ask_next(ask.client)

    def summary(self) -> Summary:
        """Return the figures so far."""
        seconds = min((self._now() - self._begun) / SECOND, self.plan.seconds)
        planned = len(self._times) if self.plan.rate else None
        return self._tally.summary(seconds, planned, self._most_connections)


def raise_descriptors(wanted: int) -> None:
    """Let this process open as many descriptors as it may."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(wanted, hard), hard))
