"""Control nodes in simulated time: the real operator's API, the real changes and the real replication members.

Messages, answers and writes take time and may be lost; nodes may be killed, lose their disks, be cut off, and be frozen
and thawed. What comes to a frozen node waits in its kernel, and a caller's end waits there behind its call.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any
from urllib.parse import urlsplit

from canvasbeam.control_plane import changes
from canvasbeam.control_plane.operator_api import CONFIGURATION_PATH, EVACUATION_PREFIX, OperatorApi
from canvasbeam.control_plane.web import Endpoint, WebApp
from canvasbeam.errors import Failure
from canvasbeam.replication.control_state import Change, ChangeKind, Committed, ControlState
from canvasbeam.replication.durability import Outbox
from canvasbeam.replication.durable_state import DurableState, MemberSettings
from canvasbeam.replication.member import Member
from canvasbeam.replication.messages import Action, Message, Publish, Reply, Save, Send, SendToAddress
from canvasbeam.replication.roles import Role
from canvasbeam.replication.views import GENESIS_DISK, MemberId, genesis_view, member_id, member_ip
from canvasbeam.runtime import http_server
from canvasbeam.runtime.settings import Address, ProcessSettings
from canvasbeam.units import SECOND
from tests.support.change_history import Call, History, HistoryError
from tests.support.replication_simulation import stored

IPS = ("10.1.0.1", "10.2.0.1", "10.3.0.1")
CONTROL_PORT = 8146
ZONES = {"z1": "r1", "z2": "r1", "z3": "r1"}
TICK_S = 0.05
KINDS = ("tick", "message", "call")  # of what comes to a process
CALLER_WAITS_S = 1.0
MOST_REDIRECTS = 2
METHODS = {
    ChangeKind.PUT_CONFIGURATION: "PUT",
    ChangeKind.PATCH_CONFIGURATION: "PATCH",
    ChangeKind.START_EVACUATION: "POST",
    ChangeKind.END_EVACUATION: "DELETE",
}


@dataclass(frozen=True)
class Faults:
    """What is planted, for the checks to find."""

    needs_caller: bool = True  # False: a copy has its effect though its connection has ended
    knows_connections: bool = True  # False: nothing is known of when a copy may have been sent
    joins_evacuations: bool = False
    forgets_at_failover: bool = False


@dataclass(frozen=True)
class HttpMessage:
    """A call on its way."""

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()


@dataclass(frozen=True)
class HttpAnswer:
    """What came back."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


@dataclass
class Connection:
    """A connection of a caller: its answer, and what of it has reached the node."""

    answer: asyncio.Future[HttpAnswer | None]
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    life: int = -1  # of the process that accepted it
    accepted_at: float = 0.0


class JoiningApi(OperatorApi):
    """A planted fault: an evacuation joins an equal one in progress."""

    def _start(self, change: Change) -> asyncio.Task[Committed | Failure]:
        task = super()._start(change)
        self._configuration_changes[change] = task
        task.add_done_callback(lambda _: self._configuration_changes.pop(change, None))
        return task


class Node:
    """One machine: its disk, and while it runs its process. It is the `ControlStateService` of its operator's API."""

    def __init__(self, simulation: ChangeSimulation, ip: str) -> None:
        self.ip = ip
        self.me: MemberId = member_id(ip, GENESIS_DISK)
        self.durable = DurableState.genesis(genesis_view(IPS))
        self.member: Member | None = None
        self.is_frozen = False
        self._simulation = simulation
        self._life = 0
        self._outbox = Outbox()
        self._writing: list[Save] | None = None
        self._kernel: list[tuple[str, Callable[[], object]]] = []  # what waits for a frozen process, by kind
        self._waiting: dict[int, asyncio.Future[Committed | Failure]] = {}
        self._calls = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._asleep: list[asyncio.Future[None]] = []  # calls that came to the service while the node was frozen
        self._open: list[Connection] = []
        self._app = WebApp([])
        self._api: OperatorApi | None = None
        self._told_primary = ""

    # --- the machine ------------------------------------------------------------------------------------------

    def start(self) -> None:
        if self.member is not None:
            return
        self._life += 1
        self.is_frozen = False
        self._outbox, self._writing = Outbox(), None
        settings = MemberSettings(self.me, IPS, 1, seed=self._simulation.chance.randrange(1 << 30))
        self.member = Member(settings, self.durable, self._apply, self._apply, self._simulation.now_ns())
        self._app = self._make_app()
        self._told_primary = ""
        self.perform(self.member.begin())
        self._tick(self._life)

    def kill(self, keep_unsynced: bool = False) -> None:
        """The process or the power goes; connections are reset."""
        if self._writing is not None and keep_unsynced:
            self.durable = stored(self.durable, self._writing)
        self.member, self._writing = None, None
        self.is_frozen = False
        self._kernel.clear()
        for task in self._tasks:
            task.cancel()
        for connection in self._open:
            self._simulation.answer(connection, None)
        self._open.clear()
        for future in self._waiting.values():
            future.cancel()
        for asleep in self._asleep:
            asleep.cancel()
        self._waiting.clear()
        self._asleep.clear()

    def wipe(self) -> None:
        """The machine comes back with an empty disk: a new member at the old address."""
        self.kill()
        self.me = member_id(self.ip, f"w{self._life}")
        self.durable = DurableState()

    def freeze(self) -> None:
        self.is_frozen = self.member is not None

    def thaw(self, kinds: Sequence[str] | None = None, messages_after_s: float = 0.0) -> None:
        """The process goes on: its clock and what waits in the kernel come in any order, each kind in its own.

        The messages of replication may take it a while; new calls come between them.
        """
        if not self.is_frozen:
            return
        self.is_frozen = False
        waiting, self._kernel = self._kernel, []
        for kind in kinds or self._simulation.chance.sample(KINDS, len(KINDS)):
            if kind == "tick" and self.member is not None:
                self.perform(self.member.tick(self._simulation.now_ns()))
            events = [event for entry, event in waiting if entry == kind]
            if kind == "message" and messages_after_s:
                self._come_later(events, messages_after_s)
            else:
                for event in events:
                    event()

    def _come_later(self, events: Sequence[Callable[[], object]], after_s: float) -> None:
        for event in events:
            self._simulation.later(after_s, partial(self.run, "message", self._life, event))
            after_s += self._simulation.chance.uniform(0.0, 0.02)

    def run(self, kind: str, life: int, event: Callable[[], object]) -> None:
        """Something comes to the process of that life."""
        if self.member is None or life != self._life:
            return
        if self.is_frozen:
            self._kernel.append((kind, event))
        else:
            event()

    @property
    def life(self) -> int:
        return self._life

    # --- replication ------------------------------------------------------------------------------------------

    def receive(self, sender: MemberId, message: Message) -> None:
        if self.member is None:
            return
        was_primary = self.member.role is Role.PRIMARY
        self.perform(self.member.receive(sender, message, self._simulation.now_ns()))
        if self._simulation.faults.forgets_at_failover and not was_primary and self.member.role is Role.PRIMARY:
            self._forget_orders(self.member)

    def perform(self, actions: list[Action]) -> None:
        for action in self._outbox.take(actions):
            match action:
                case Send() | SendToAddress():
                    self._send(action)
                case Reply(call=call, result=result):
                    future = self._waiting.pop(call, None)
                    if future is not None and not future.done():
                        future.set_result(result)
                case Publish(state=state):
                    self._simulation.note_committed(state)
        self._begin_write()
        self._tell_primary()

    def _tell_primary(self) -> None:
        if (
            self.member is not None
            and self._api is not None
            and self.member.state.known_primary.member != self._told_primary
        ):
            self._told_primary = self.member.state.known_primary.member
            self._api.on_primary_changed(self.primary_ip)

    def _apply(self, state: ControlState, change: Change) -> ControlState | Failure:
        outcome = changes.apply(state, change)
        if isinstance(outcome, ControlState) and outcome is not state:
            self._simulation.history.note_applied(state, outcome)
        return outcome

    def _forget_orders(self, member: Member) -> None:
        """A planted fault: what decides repeats is not handed on."""
        forgetful = replace(member.state.replica.state, applied_change_keys=())
        member.state.replica.advance(forgetful)

    def _tick(self, life: int) -> None:
        if life != self._life or self.member is None:
            return
        if not self.is_frozen:
            self.perform(self.member.tick(self._simulation.now_ns()))
        self._simulation.later(TICK_S, lambda: self._tick(life))

    def _send(self, action: Send | SendToAddress) -> None:
        to_ip = action.ip if isinstance(action, SendToAddress) else member_ip(action.to)
        self._simulation.send(self, to_ip, action.message)

    def _begin_write(self) -> None:
        if self._writing is not None or not self._outbox.has_unwritten:
            return
        self._writing = self._outbox.next_batch()
        life = self._life
        self._simulation.later(self._simulation.chance.uniform(0.001, 0.02), lambda: self._end_write(life))

    def _end_write(self, life: int) -> None:
        if life != self._life or self.member is None or self._writing is None:
            return
        self.durable = stored(self.durable, self._writing)
        self.run("message", life, self._release_written)

    def _release_written(self) -> None:
        self._writing = None
        for held in self._outbox.batch_durable():
            self._send(held)
        self._begin_write()

    # --- the service of the operator's API ----------------------------------------------------------------------

    async def submit(self, change: Change) -> Committed | Failure:
        await self._awake()
        member, number, future = self.member, *self._begin_call()
        if member is not None:
            self.perform(member.submit(number, change, self._simulation.now_ns()))
        return await future

    async def read(self) -> ControlState | Failure:
        await self._awake()
        member, number, future = self.member, *self._begin_call()
        if member is not None:
            self.perform(member.read(number, self._simulation.now_ns()))
        result = await future
        return result.state if isinstance(result, Committed) else result

    @property
    def state(self) -> ControlState:
        return ControlState() if self.member is None else self.member.state.replica.committed

    @property
    def primary_ip(self) -> str | None:
        return (
            member_ip(self.member.state.known_primary.member)
            if self.member is not None and self.member.state.known_primary.member
            else None
        )

    @property
    def is_primary(self) -> bool:
        return self.member is not None and self.member.role in (Role.PRIMARY, Role.REFORMING)

    async def stop(self) -> None:
        """Nothing: the world ends with its loop."""

    def _begin_call(self) -> tuple[int, asyncio.Future[Committed | Failure]]:
        self._calls += 1
        future: asyncio.Future[Committed | Failure] = asyncio.get_running_loop().create_future()
        self._waiting[self._calls] = future
        return self._calls, future

    async def _awake(self) -> None:
        if self.member is None:
            raise asyncio.CancelledError
        if self.is_frozen:
            thawed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._asleep.append(thawed)
            self._kernel.append(("call", partial(_resolve, thawed, None)))
            await thawed

    # --- HTTP -------------------------------------------------------------------------------------------------

    def _make_app(self) -> WebApp:
        settings = ProcessSettings(
            node=self.ip, role="core", node_class="core", serves=("control",), ip=self.ip, zone="z1", region="r1",
            port_range=(7660, 7675), seeds=(), zones=ZONES, listen={"control": Address(self.ip, CONTROL_PORT)},
        )  # fmt: skip
        kind = JoiningApi if self._simulation.faults.joins_evacuations else OperatorApi
        api = self._api = kind(settings, self, lambda ip: True, dict)  # type: ignore[arg-type]
        fenced = self._simulation.faults.needs_caller
        return WebApp(
            [
                Endpoint(CONFIGURATION_PATH, api.configuration, api.max_body_bytes, fenced),
                Endpoint(EVACUATION_PREFIX, api.evacuation, lambda: 4096, fenced),
            ]
        )

    def accept(self, connection: Connection) -> None:
        """A connection was accepted."""
        connection.life, connection.accepted_at = self._life, self._simulation.now()

    def handle(self, message: HttpMessage, connection: Connection) -> None:
        """A call was read."""
        self._open.append(connection)
        task = asyncio.get_running_loop().create_task(self._serve(message, connection, self._life))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, message: HttpMessage, connection: Connection, life: int) -> None:
        sent: list[http_server.Message] = []
        is_read = False

        async def receive() -> http_server.Message:
            nonlocal is_read
            if is_read:
                await connection.ended.wait()
                return {"type": "http.disconnect"}
            is_read = True
            return {"type": "http.request", "body": message.body, "more_body": False}

        async def send(part: http_server.Message) -> None:
            sent.append(part)

        scope: dict[str, Any] = {
            "method": message.method,
            "path": message.path,
            "query_string": b"",
            "headers": message.headers,
        }
        if self._simulation.faults.knows_connections:
            scope["state"] = {http_server.IDLE_SINCE: connection.accepted_at}
        await self._app(scope, receive, send)
        if sent:
            answer = HttpAnswer(sent[0]["status"], dict(sent[0]["headers"]), sent[1]["body"])
            self.run("call", life, lambda: self._answer(connection, answer))

    def _answer(self, connection: Connection, answer: HttpAnswer) -> None:
        if connection in self._open:
            self._open.remove(connection)
            self._simulation.answer(connection, answer)


class ChangeSimulation:
    """The nodes, what lies between them, and the history of the calls."""

    def __init__(self, seed: int = 0, faults: Faults | None = None) -> None:
        self.chance = random.Random(seed)
        self.faults = faults or Faults()
        self.history = History()
        self.violation: HistoryError | None = None
        self.latency = (0.002, 0.06)
        self.loss = 0.0
        self.partitions: set[tuple[str, str]] = set()
        self._loop = asyncio.get_running_loop()
        self.nodes = {ip: Node(self, ip) for ip in IPS}
        for node in self.nodes.values():
            node.start()

    def now(self) -> float:
        return self._loop.time()

    def now_ns(self) -> int:
        return round(self._loop.time() * SECOND)

    def note_committed(self, state: ControlState) -> None:
        """A node tells that a state is committed. What contradicts the history is raised at the end of the day."""
        try:
            self.history.note_committed(state, self.now())
        except HistoryError as violation:
            self.violation = self.violation or violation

    def check(self) -> None:
        """Raise where the history cannot be explained."""
        if self.violation is not None:
            raise self.violation
        self.history.check()

    def later(self, seconds: float, event: Callable[[], object]) -> None:
        self._loop.call_later(seconds, event)

    def primary(self) -> Node | None:
        """A node that acts as the primary and is not frozen."""
        return next((node for node in self.nodes.values() if node.is_primary and not node.is_frozen), None)

    async def primary_in_force(self) -> Node:
        """Wait for a primary, and a little longer."""
        while self.primary() is None:
            await asyncio.sleep(TICK_S)
        await asyncio.sleep(1.0)
        node = self.primary()
        assert node is not None
        return node

    def cut_off(self, ip: str) -> None:
        """The node neither hears nor reaches the others; callers reach it."""
        self.partitions |= {(ip, other) for other in IPS if other != ip} | {(other, ip) for other in IPS if other != ip}

    def send(self, sender: Node, to_ip: str, message: Message) -> None:
        """A message of replication."""
        if sender.ip == to_ip:
            life = sender.life
            self._loop.call_soon(sender.run, "message", life, lambda: sender.receive(sender.me, message))
            return
        if self.chance.random() < self.loss:
            return
        me, receiver = sender.me, self.nodes[to_ip]

        def arrive() -> None:
            if (sender.ip, to_ip) not in self.partitions:
                receiver.run("message", receiver.life, lambda: receiver.receive(me, message))

        self.later(self.chance.uniform(*self.latency), arrive)

    # --- calls ------------------------------------------------------------------------------------------------

    def answer(self, connection: Connection, answer: HttpAnswer | None) -> None:
        """An answer, or a reset, is on its way to the caller."""
        self.later(self.chance.uniform(*self.latency), partial(_resolve, connection.answer, answer))

    async def exchange(
        self, ip: str, message: HttpMessage, held_s: float = 0.0, closes: bool = True
    ) -> HttpAnswer | None:
        """One call on a connection of its own; None where no answer came in the time that callers wait.

        `held_s` is lost on the way there. A caller that gives up closes its connection, or leaves it open.
        """
        node, connection = self.nodes[ip], Connection(self._loop.create_future())
        opened_at = self.now() + self.chance.uniform(*self.latency)
        arrives_at = opened_at + self.chance.uniform(*self.latency) + held_s

        def accept() -> None:
            node.run("call", node.life, partial(node.accept, connection))

        def arrive() -> None:
            if node.member is None or connection.life not in (-1, node.life):
                self.answer(connection, None)
            else:
                node.run("call", node.life, partial(node.handle, message, connection))

        self._loop.call_at(opened_at, accept)
        self._loop.call_at(arrives_at, arrive)
        try:
            async with asyncio.timeout(CALLER_WAITS_S):
                return await connection.answer
        except TimeoutError:
            if closes:
                ends_at = max(self.now() + self.chance.uniform(*self.latency), arrives_at) + self._end_delay()
                self._loop.call_at(ends_at, lambda: node.run("call", node.life, connection.ended.set))
            return None

    def _end_delay(self) -> float:
        """By which the end of a connection follows the bytes that were held up with it."""
        return self.chance.uniform(1e-6, 0.01)

    async def call(
        self,
        caller: str,
        ip: str,
        change: Change | None = None,
        *,
        held_s: float = 0.0,
        closes: bool = True,
        is_answer_lost: bool = False,
    ) -> Call:
        """One call with its redirects, as the history notes it."""
        message = http_message(change)
        sent_at = self.now()
        number = len(self.history.calls)
        self.history.calls.append(Call(caller, ip, sent_at, change))
        answer = await self.exchange(ip, message, held_s, closes)
        for _ in range(MOST_REDIRECTS):
            if answer is None or answer.status != 307:
                break
            ip = str(urlsplit(answer.headers[b"location"].decode()).hostname)
            answer = await self.exchange(ip, message)
        call = Call(caller, ip, sent_at, change)
        if answer is not None and not is_answer_lost:
            call = replace(call, ended_at=self.now(), status=answer.status, document=_document(change, answer))
        self.history.calls[number] = call
        return call


def _resolve(future: asyncio.Future[Any], result: Any) -> None:
    if not future.done():
        future.set_result(result)


def http_message(change: Change | None) -> HttpMessage:
    """The call of an order, or of a read."""
    if change is None:
        return HttpMessage("GET", CONFIGURATION_PATH)
    method = METHODS[change.kind]
    if change.zone:
        return HttpMessage(method, EVACUATION_PREFIX + change.zone)
    return HttpMessage(method, CONFIGURATION_PATH, change.body, ((b"if-match", str(change.if_match).encode()),))


def _document(change: Change | None, answer: HttpAnswer) -> dict[str, Any] | None:
    if change is not None or answer.status != 200:
        return None
    document: dict[str, Any] = json.loads(answer.body)
    return document
