"""The clients' connections to real schedulers: requests written, answers read, connections kept."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

from canvasbeam.scheduler.requests import Answer
from canvasbeam.simulator.model import faults
from canvasbeam.simulator.model.clients import Try
from canvasbeam.simulator.model.units import SECOND
from canvasbeam.simulator.scheduler_processes import SchedulerProcess
from canvasbeam.simulator.simulation import result_of
from canvasbeam.simulator.socket_simulation import JobOrder, LoopWorld
from canvasbeam.simulator.wire import ClientConnection

ANSWERS = {200: Answer.SERVED, 429: Answer.REFUSED, 503: Answer.REFUSED, 504: Answer.OVERDUE}


class SocketClients:
    """All clients of a run, as their sockets."""

    def __init__(self, world: LoopWorld, processes: Sequence[SchedulerProcess]) -> None:
        self._world = world
        self._processes = processes
        self.orders: dict[str, JobOrder] = {}  # by call id: what workers are to do
        self.lateness: list[int] = []  # by how much each arrival came late

    @property
    def late_ns(self) -> int:
        """By how much arrivals came late, at the 99th percentile."""
        late = sorted(self.lateness)
        return late[min(len(late) - 1, len(late) * 99 // 100)] if late else 0

    def _after_client(self, action: Callable[[], None]) -> None:
        """Do this one way between client and scheduler later."""
        world = self._world
        world.after(world.delay(world.scenario.network.client_ms), action)

    def submit(self, attempt: Try) -> str | None:
        """Send a request, on a kept connection or on a new one."""
        planned = self._world.begun + self._world.jobs.at_ns[attempt.job]
        if attempt.number == 0:
            self.lateness.append(self._world.now() - planned)
        place = self._world.load_balancer.pick(attempt.zone, self._world.now())
        attempt.scheduler = place
        call_id = f"{attempt.request:x}-{self._world.scenario.seed:x}"
        self.orders[call_id] = JobOrder(
            attempt.request, call_id, attempt.cls, attempt.work_ns, attempt.slots, str(attempt.sid), attempt.due_ns
        )
        self._after_client(partial(self._ask, attempt, call_id, True))
        return faults.scheduler_name(place)

    def _ask(self, attempt: Try, call_id: str, may_reuse: bool) -> None:
        if attempt.over:
            return
        process = self._processes[attempt.scheduler]
        connection = None
        while may_reuse and process.idle and connection is None:
            kept = process.idle.pop()
            if not kept.closed and kept.is_quiet():
                connection = kept
            else:
                kept.close()
        if connection is None:
            try:
                connection = ClientConnection(
                    self._world.loop,
                    process.address,
                    partial(self._answered, process),
                    partial(self._broke, process),
                )
            except OSError:
                self._world.clients.lost(attempt)
                return
        connection.state = (attempt, call_id)
        attempt.core_request = connection
        process.busy[attempt.request] = connection
        connection.ask(self._request(attempt, call_id))

    def _request(self, attempt: Try, call_id: str) -> bytes:
        cls = self._world.scenario.classes[attempt.cls]
        departments = self._world.scenario.departments
        lines = [
            f"POST /api?sid={attempt.sid:x} HTTP/1.1",
            "Host: origin.svc",
            f"X-Call-Id: {call_id}",
            f"X-Call-Class: {cls.name}",
            f"X-Budget: {(attempt.due_ns - self._world.now()) / SECOND:.6f}",
        ]
        if departments:
            lines.append(f"X-Caller: {departments[attempt.department].name}")
        if cls.effect == "keyed":
            lines.append(f"Idempotency-Key: k{attempt.job:x}")
        if attempt.marked:
            lines.append("X-Again: 1")
        if attempt.hint_ns:
            lines.append(f"X-Call-Cost: {max(1, attempt.hint_ns // 1000)}")
        if attempt.slots != 1:
            lines.append(f"X-Call-Info: slots={attempt.slots}")
        body = b"job %d" % attempt.job
        lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def _answered(
        self, process: SchedulerProcess, connection: ClientConnection, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        attempt, _ = connection.state
        process.busy.pop(attempt.request, None)
        connection.state = None
        kind = ANSWERS.get(status, Answer.FAILED)
        own = status != 200 or body.decode("latin-1") == result_of(attempt.request)
        come_back = 0
        if "retry-after" in headers:
            come_back = round(float(headers["retry-after"]) * SECOND)
        if connection.stays:
            process.idle.append(connection)
        else:
            connection.close()
        self._after_client(partial(self._world.clients.answered, attempt, kind, come_back, own))

    def _broke(self, process: SchedulerProcess, connection: ClientConnection) -> None:
        if connection.state is None:
            if connection in process.idle:
                process.idle.remove(connection)
            return
        attempt, call_id = connection.state
        process.busy.pop(attempt.request, None)
        # A kept connection that closes may cross a request that was not read: it is sent once more.
        crossed = connection.requests > 1 and not connection.got_bytes and process.alive
        if crossed and not attempt.over:
            self._ask(attempt, call_id, False)
        else:
            self._after_client(partial(self._world.clients.lost, attempt))

    def leave(self, attempt: Try) -> None:
        """Note that the client closes its connection."""
        connection = attempt.core_request
        if isinstance(connection, ClientConnection) and not connection.closed:
            self._processes[attempt.scheduler].busy.pop(attempt.request, None)
            if connection.state is not None and connection.state[0] is attempt:
                connection.close()
