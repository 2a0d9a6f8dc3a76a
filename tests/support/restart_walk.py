"""Random walks in which all processes are killed at once, again and again, while workers sign off.

Control processes store workers as `WorkerStorage` does: a snapshot of the workers every three seconds, and the items of
writes, which are confirmed after a sync. Machines come back one by one; some are without their disk.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from canvasbeam.cluster.worker_items import restricts_requests, worker_of
from canvasbeam.control_plane.worker_snapshot import MAX_AGE_NS, SAVE_INTERVAL_S
from canvasbeam.item_table.items import Item, ItemKind
from canvasbeam.leases.messages import LeaseRequest
from canvasbeam.runtime.settings import Address
from canvasbeam.service_discovery.worker_registry import Worker, WorkerState
from canvasbeam.units import MILLISECOND, SECOND
from tests.support.soft_state_invariants import DrainedWorkerInUseError, Invariants
from tests.support.soft_state_world import (
    SYNC_TIME,
    ControlProcess,
    DistributionPayload,
    Drained,
    Machine,
    Process,
    Shape,
    World,
    seconds,
)

STEP = 50 * MILLISECOND
WARM_UP = 3 * SECOND
RECOVERY = 10 * SECOND
HEARTBEAT_INTERVAL = SECOND
WORKERS = 4
SHAPES = (Shape(controls=3, edges=4, edge_regions=1), Shape(controls=5, edges=4, edge_regions=1))


@dataclass(eq=False)
class WorkerDisk:
    """What the disk of one control machine holds of the workers."""

    kept: dict[str, Item] = field(default_factory=dict)
    snapshot: tuple[Item, ...] = ()
    saved_at: int = 0

    def keep(self, items: Iterable[Item]) -> None:
        """Store items whose sync has ended, each in its newest version."""
        for item in items:
            kept = self.kept.get(item.key)
            if kept is None or item.version > kept.version:
                self.kept[item.key] = item


class StoringProcess(ControlProcess):
    """A control process with a `WorkerDisk`, which it uses as the product does."""

    world: RestartWorld

    @property
    def disk(self) -> WorkerDisk:
        """The disk of this machine."""
        return self.world.disks.setdefault(self.machine.name, WorkerDisk())

    def begin(self) -> None:
        """Restore the workers, then save them periodically and keep those that the table receives."""
        super().begin()
        kept = self.disk.kept
        self.publish(kept.values())
        if self.world.now - self.disk.saved_at <= MAX_AGE_NS:
            self.publish(self.disk.snapshot)
        self.perform()
        self.core.table.add_listener(lambda items: self._keep_later(filter(restricts_requests, items)))
        self._save_at(self.world.now + self.world.draw(seconds(SAVE_INTERVAL_S)))

    def on_message(self, sender: Address, payload: object) -> None:
        """Take a request with items once they are on disk, because the answer confirms that."""
        message = payload.message if isinstance(payload, DistributionPayload) else None
        if not self.world.keeps_writes or not isinstance(message, LeaseRequest) or not message.items:
            super().on_message(sender, payload)
            return
        self._keep_later(message.items, lambda: ControlProcess.on_message(self, sender, payload))

    async def write(self, items: Iterable[Item], within_s: float) -> bool:
        """Keep the items on the own disk, and have most of the control nodes keep them."""
        written = tuple(items)
        if self.world.keeps_writes:
            self.disk.keep(written)
        return await super().write(written, within_s)

    def _keep_later(self, items: Iterable[Item], then: Callable[[], None] = lambda: None) -> None:
        kept = tuple(items)

        def on_synced() -> None:
            if self.is_running and not self.is_frozen and self.world.keeps_writes:
                self.disk.keep(kept)
                then()

        self.world.network.at(self.world.now + SYNC_TIME, on_synced)

    def _save_at(self, when: int) -> None:
        def save() -> None:
            if self.is_running:
                self.disk.snapshot = tuple(self.core.table.of_kind(ItemKind.WORKER))
                self.disk.saved_at = self.world.now
                self._save_at(self.world.now + seconds(SAVE_INTERVAL_S))

        self.world.network.at(when, save)


class RestartWorld(World):
    """A world whose control processes store workers; `keeps_writes` is False for the fault of before."""

    control_process = StoringProcess

    def __init__(self, seed: int, shape: Shape, *, keeps_writes: bool) -> None:
        self.disks: dict[str, WorkerDisk] = {}
        self.keeps_writes = keeps_writes
        super().__init__(seed, shape)


@dataclass(eq=False)
class WalkWorker:
    """A worker that sends heartbeats, and at some time says that it ends, or drains, and then nothing more."""

    name: str
    next_call_at: int
    ends_at: int
    signs_off: bool  # by DELETE; otherwise by a heartbeat with the state draining
    sequence: int = 0
    is_ended: bool = False


class RestartWalk:
    """One walk; `run` raises a violation if an acknowledged end of a worker is forgotten."""

    def __init__(self, seed: int, *, keeps_writes: bool = True) -> None:
        self.chance = random.Random(seed)
        self.world = RestartWorld(seed, self.chance.choice(SHAPES), keeps_writes=keeps_writes)
        self.watch = Invariants(self.world)
        self.ended = 0
        self.restarts = 0
        self._names = 0
        self._workers: list[WalkWorker] = []
        self._restart_at: int | None = None  # time of the next restart of all, once it is set

    def run(self, span: int) -> None:
        """Let workers come and go, with a restart of all soon after some ends, then wait for the recovery."""
        self.world.begin()
        self._pass(WARM_UP, with_restarts=False)
        self._pass(span, with_restarts=True)
        self._pass(RECOVERY, with_restarts=False)
        for process in (*self.world.controls(), *self.world.edges()):
            self._check_ended(process)

    def _pass(self, span: int, *, with_restarts: bool) -> None:
        end = self.world.now + span
        while self.world.now < end:
            self.world.run(STEP)
            self.watch.check()
            self._call_for_workers()
            if with_restarts and self._restart_at is not None and self.world.now >= self._restart_at:
                self._restart_at = None
                self._restart_all()

    # --- workers ------------------------------------------------------------------------------------

    def _call_for_workers(self) -> None:
        self._workers = [worker for worker in self._workers if not worker.is_ended]
        while len(self._workers) < WORKERS:
            self._workers.append(self._new_worker())
        for worker in self._workers:
            if self.world.now >= worker.next_call_at:
                self._call(worker)

    def _new_worker(self) -> WalkWorker:
        self._names += 1
        now, chance = self.world.now, self.chance
        ends_at = now + seconds(chance.uniform(2.0, 12.0))
        return WalkWorker(f"w{self._names}", now + chance.randrange(SECOND), ends_at, chance.random() < 0.6)

    def _call(self, worker: WalkWorker) -> None:
        worker.next_call_at = self.world.now + HEARTBEAT_INTERVAL
        controls = self.world.controls()
        if not controls:
            return
        process = self.chance.choice(controls)
        if self.world.now < worker.ends_at:
            self._send_heartbeat(process, worker, "ready", lambda _: None)
        elif worker.signs_off:
            process.begin_sign_off(worker.name, lambda is_acknowledged: self._on_end(worker, is_acknowledged))
        else:
            self._send_heartbeat(process, worker, "draining", lambda answer: self._on_end(worker, answer))

    def _send_heartbeat(
        self, process: ControlProcess, worker: WalkWorker, state: str, on_answer: Callable[[bool], None]
    ) -> None:
        worker.sequence += 1
        process.begin_heartbeat(worker.name, worker.sequence, state, on_answer)

    def _on_end(self, worker: WalkWorker, is_acknowledged: bool) -> None:
        if worker.is_ended:
            return
        if not is_acknowledged:
            worker.next_call_at = min(worker.next_call_at, self.world.now + 200 * MILLISECOND)
            return
        worker.is_ended = True
        self.ended += 1
        self.watch.drained.append(Drained(worker.name, worker.sequence, self.world.now))
        if self._restart_at is None and self.chance.random() < 0.5:
            self._restart_at = self.world.now + self.chance.randrange(400 * MILLISECOND)

    # --- restarts -----------------------------------------------------------------------------------

    def _restart_all(self) -> None:
        """Kill all control processes and some or all edges at once; one machine may lose its disk."""
        self.restarts += 1
        machines = self.world.control_machines()
        lost = self.chance.choice(machines)
        if self.chance.random() < 0.3 and self.world.is_whole(lost):
            self.world.wipe(lost)
            self.world.disks[lost.name] = WorkerDisk()
        edges = self.world.edge_machines()
        if self.chance.random() < 0.3:
            edges = self.chance.sample(edges, self.chance.randrange(len(edges)))
        for machine in (*machines, *edges):
            self._end(machine)
            self._start_soon(machine)

    def _start_soon(self, machine: Machine) -> None:
        starts_at = self.world.now + seconds(self.chance.uniform(0.2, 1.0))
        self.world.network.at(starts_at, lambda: self.world.start(machine))

    def _end(self, machine: Machine) -> None:
        if self.chance.random() < 0.5:
            self.world.kill(machine)
        else:
            self.world.lose_power(machine)

    def _check_ended(self, process: Process) -> None:
        for drained in self.watch.drained:
            item = process.core.table.get(ItemKind.WORKER, drained.worker)
            worker = None if item is None or item.deleted else worker_of(item)
            if isinstance(worker, Worker) and worker.state is WorkerState.READY:
                raise DrainedWorkerInUseError(f"{process.machine.name} takes {drained.worker} for ready at the end")
