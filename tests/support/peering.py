"""A small fleet in simulated time whose links a test holds in its hand, and a referee over what it says."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Any
from unittest import mock

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim import DatagramReceived, Membership, ReportChange, Sender
from canvasbeam.failure_detection.swim import membership as membership_module
from canvasbeam.simulator.model.links import Links
from canvasbeam.simulator.model.units import MS, SECOND
from canvasbeam.simulator.peers_sim import Instance, PeerWorld

REACHED_FOR = 6 * SECOND
HEALED_WITHIN_S = 20.0


def with_parts(**parts: Any) -> Callable[..., Membership]:
    """Make memberships in which these classes stand in place of the module's own: planted faults."""

    def make(*arguments: Any) -> Membership:
        with mock.patch.multiple(membership_module, **parts):
            return Membership(*arguments)

    return make


class BrokenError(AssertionError):
    """A rule of membership was broken."""


class ManualLinks(Links):
    """Links that a test cuts and heals by hand."""

    cuts: set[tuple[str, str]]
    loss: float = 0.0
    doubled: float = 0.0
    late_ms: float = 0.0

    def pass_on(self, now: int, sender: str, receiver: str, size: int) -> list[int]:
        if (sender, receiver) in self.cuts or self._rng.random() < self.loss:
            return []
        copies = 1 + (self._rng.random() < self.doubled)
        return [MS // 5 + round(self._rng.random() * self.late_ms * MS) for _ in range(copies)]


class Fleet(PeerWorld):
    """The world with a referee: each change is looked at as it is told."""

    def __init__(self, count: int, make: Any = Membership, seed: int = 1) -> None:
        super().__init__(count, seed=seed, make=make)
        held = ManualLinks(self.links.zones, seed=seed)
        held.cuts = set()
        self.held = self.links = held
        self.past: deque[tuple[str, DatagramReceived]] = deque(maxlen=64)
        self.unreached: dict[tuple[str, str], int] = {}
        self.ranks: dict[tuple[str, int, str], tuple[int, int, int]] = {}
        self.own: dict[tuple[str, int], tuple[int, int]] = {}

    # --- what a test does -------------------------------------------------------------------------

    def cut(self, one: str, other: str, both: bool = True) -> None:
        self.held.cuts |= {(one, other)} | ({(other, one)} if both else set())
        self.mark()

    def heal(self) -> None:
        self.mark()
        self.held.cuts.clear()
        self.held.loss = self.held.doubled = self.held.late_ms = 0.0

    def replay(self) -> None:
        """Everything that was kept of the fleet's past comes once more, to all."""
        running = {host.name: host for host in self.running()}
        for name, event in list(self.past):
            sender = running.get(name)
            if sender is not None and sender.members is not None and sender.members.start == event.sender.start:
                continue  # of a process that is known the carrier drops it
            for host in running.values():
                if host.name != name:
                    self._arrive(host, event)

    # --- the referee ------------------------------------------------------------------------------

    def mark(self) -> None:
        """Remember who cannot reach whom now."""
        for one in self.instances.values():
            for other in self.instances.values():
                well = all(each.runs and not each.stopped for each in (one, other))
                if not well or {(one.name, other.name), (other.name, one.name)} & self.held.cuts or self.held.loss:
                    self.unreached[one.name, other.name] = self.now

    def _handle(self, each: Instance, events: list[Any]) -> None:
        members = each.members
        super()._handle(each, events)
        if members is not None:
            self._look_at(each, members)

    def _look_at(self, each: Instance, members: Membership) -> None:
        mine = (members.start, members.incarnation)
        process = (each.name, each.starts)
        if mine < self.own.get(process, mine):
            raise BrokenError(f"{each.name} went back from {self.own[process]} to {mine}")
        self.own[process] = mine
        for name, member in members.members.items():
            key = (*process, name)
            if member.known.rank < self.ranks.get(key, member.known.rank):
                raise BrokenError(f"{each.name} went back on {name}: {self.ranks[key]} to {member.known.rank}")
            self.ranks[key] = member.known.rank

    def _carry_out(self, each: Instance, actions: list[Any]) -> None:
        assert each.members is not None
        for action in actions:
            if isinstance(action, ReportChange) and action.after == "dead":
                self._check_death(each, action)
        super()._carry_out(each, actions)

    def _check_death(self, each: Instance, change: ReportChange) -> None:
        assert each.members is not None
        silent = self.now + each.base - each.members.reachability.last_received_at
        if "suspected by" in change.why and 2 * self.terms.min_suspicion <= silent < self.terms.isolation_timeout:
            raise BrokenError(f"{each.name} called {change.name} dead and heard nothing itself")
        self.mark()
        since = self.unreached.get((each.name, change.name), -REACHED_FOR)
        if self.now - since >= REACHED_FOR:
            raise BrokenError(f"{each.name} called {change.name} dead, which it could reach all the time")

    def _send(self, each: Instance, address: str, datagram: Any) -> None:
        super()._send(each, address, datagram)
        if each.members is not None and self.rng.random() < 0.02:
            mine = each.members
            sender = Sender(mine.name, mine.start, mine.incarnation, each.address)
            self.past.append((each.name, DatagramReceived(sender, datagram)))

    def settle(self) -> None:
        """The network heals, who was stopped goes on: all must agree, and nobody from the past may come back."""
        self.heal()
        for instance in self.instances.values():
            if instance.stopped:
                self.go_on(instance.name)
        took = self.until(self.agree, HEALED_WITHIN_S, 0.1)
        if took > HEALED_WITHIN_S:
            views = {host.name: self.view(host.name) for host in self.running()}
            raise BrokenError(f"they do not agree {HEALED_WITHIN_S} s after all was well again: {views}")
        self.run(3)  # what is under way ends
        begun = self.now
        self.replay()
        self.run(2)
        running = {host.name for host in self.running()}
        for seen in self.seen:
            if seen.at_ns >= begun and seen.after == MemberStatus.ALIVE.name.lower() and seen.name not in running:
                raise BrokenError(f"{seen.by} took {seen.name} to be alive by a datagram from the past")


def apply_step(fleet: Fleet, what: str, name: str, other: str, rng: random.Random) -> None:  # noqa: PLR0912
    """One drawn step of a history; what cannot be done to this process is passed over."""
    names = list(fleet.instances)
    each = fleet.instances[name]
    fleet.mark()
    match what:
        case "kill" if each.runs:
            fleet.kill(name)
        case "start" if not each.runs:
            fleet.start(name, rng.choice([0.0, -3600.0, 3600.0]))
        case "leave" if each.runs and not each.stopped:
            fleet.leave(name)
        case "stop" if each.runs and not each.stopped:
            fleet.stop(name)
        case "go on" if each.runs and each.stopped:
            fleet.go_on(name)
        case "cut":
            fleet.cut(name, other)
        case "cut one way":
            fleet.cut(name, other, both=False)
        case "halves":
            for far in names[: len(names) // 2]:
                for near in names[len(names) // 2 :]:
                    fleet.cut(far, near)
        case "rough":
            fleet.held.late_ms, fleet.held.doubled = rng.choice([0, 30]), rng.choice([0, 0.3])
            fleet.held.loss = rng.choice([0, 0.2])
        case "heal":
            fleet.heal()
        case _:
            pass
    fleet.mark()


STEPS = (
    "kill", "start", "start", "leave", "stop", "go on", "go on", "cut", "cut one way", "halves", "rough", "heal",
)  # fmt: skip
WAITS = (0.05, 0.3, 1.5, 4.0)


def run_history(seed: int, make: Any = Membership, count: int = 4, steps: int = 25) -> None:
    """A drawn history of faults, then peace; BrokenError where a rule was broken."""
    rng = random.Random(seed)
    fleet = Fleet(count, make, seed)
    names = list(fleet.instances)
    for name in names:
        fleet.start(name)
    fleet.run(2)
    for _ in range(steps):
        name, other = rng.sample(names, 2)
        apply_step(fleet, rng.choice(STEPS), name, other, rng)
        fleet.run(rng.choice(WAITS))
        fleet.mark()
    fleet.settle()
