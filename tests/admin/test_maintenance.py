"""Tests the state machine of maintenance mode against a model of its documentation.

For each property, a deliberately broken copy of the state machine shows that the test detects the fault.
"""

from __future__ import annotations

import pytest
from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from canvasbeam.admin import maintenance
from tests.support.machines import assert_caught

NAMES = st.sampled_from(["a", "b", "c", "d"])


class MaintenanceStateMachine(RuleBasedStateMachine):
    """Applies requests, endpoint lists and replaced sets in any order, and compares the register with a model."""

    register_class: type[maintenance.MaintenanceRegister] = maintenance.MaintenanceRegister

    def __init__(self) -> None:
        super().__init__()
        self.register = self.register_class()
        self.listed: set[str] = set()
        self.in_maintenance: set[str] = set()
        self.now = 0
        self.requests = 0
        self.draining: set[str] = set()  # workers drained according to Drain and Reinstate actions alone
        self.starts: dict[str, int] = {}  # start times in the last endpoint list
        self.entered_at: dict[str, int] = {}
        self.persisted: frozenset[str] | None = None

    def send_events(self, *events: maintenance.Event) -> list[maintenance.Action]:
        self.now += 1
        actions = self.register.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, maintenance.Drain):
                self.draining.add(action.worker)
            elif isinstance(action, maintenance.Reinstate):
                reported = self.starts.get(action.worker, 0)
                restarted = action.worker in self.entered_at and reported >= self.entered_at[action.worker]
                assert action.started_ns == (reported if restarted else self.now), "a reported restart, else one now"
                self.draining.discard(action.worker)
                self.entered_at.pop(action.worker, None)
            elif isinstance(action, maintenance.Persist):
                self.persisted = action.workers
        return actions

    def answer(self, actions: list[maintenance.Action]) -> bool:
        answers = [action for action in actions if isinstance(action, maintenance.Answer)]
        assert [answer.request_id for answer in answers] == [self.requests], "one answer to each request"
        return answers[0].is_accepted

    @rule(names=st.sets(NAMES), restarted=st.sets(NAMES))
    def listed_by_discovery(self, names: set[str], restarted: set[str]) -> None:
        self.listed = names
        new_starts = dict.fromkeys(restarted & names, self.now + 1)
        # A worker that did not restart keeps the start time that the list reported last.
        self.starts = {name: new_starts.get(name, self.starts.get(name, 0)) for name in names}
        self.send_events(maintenance.WorkersListedEvent(frozenset(names), dict(self.starts)))

    @rule(name=NAMES)
    def enter_maintenance(self, name: str) -> None:
        self.requests += 1
        accepted = self.answer(self.send_events(maintenance.EnterRequestedEvent(name, self.requests)))
        assert accepted == (name in self.listed or name in self.in_maintenance), (
            "requests for unknown workers are rejected"
        )
        if accepted:
            self.entered_at.setdefault(name, self.now)
            self.in_maintenance.add(name)
            assert self.persisted == frozenset(self.in_maintenance)

    @rule(name=NAMES)
    def leave_maintenance(self, name: str) -> None:
        self.requests += 1
        accepted = self.answer(self.send_events(maintenance.LeaveRequestedEvent(name, self.requests)))
        assert accepted == (name in self.listed or name in self.in_maintenance)
        self.in_maintenance.discard(name)
        if accepted:
            assert self.persisted is None or name not in self.persisted

    @rule(names=st.sets(NAMES))
    def replaced_by_another_process(self, names: set[str]) -> None:
        for name in names - self.in_maintenance:
            self.entered_at[name] = self.now + 1
        self.in_maintenance = set(names)
        self.persisted = frozenset(names)  # the other process has already stored this set
        self.send_events(maintenance.SetReplacedEvent(frozenset(names)))

    @invariant()
    def maintenance_mode_is_a_set_and_its_workers_drain(self) -> None:
        assert self.register.workers == frozenset(self.in_maintenance)
        assert self.draining == self.in_maintenance


class Counting(maintenance.MaintenanceRegister):
    """Fault: counts entries, so that entering twice requires leaving twice."""

    def __init__(self) -> None:
        super().__init__()
        self.entries: dict[str, int] = {}

    def handle(self, now: int, events: list[maintenance.Event]) -> list[maintenance.Action]:
        forwarded_events: list[maintenance.Event] = []
        for event in events:
            if isinstance(event, maintenance.EnterRequestedEvent) and event.worker in self.workers:
                self.entries[event.worker] = self.entries.get(event.worker, 1) + 1
            if isinstance(event, maintenance.LeaveRequestedEvent) and self.entries.get(event.worker, 1) > 1:
                self.entries[event.worker] -= 1
                forwarded_events.append(maintenance.WorkersListedEvent(frozenset()))
                return [maintenance.Answer(event.request_id, True)]
            forwarded_events.append(event)
        return super().handle(now, forwarded_events)


class AcceptingUnknown(maintenance.MaintenanceRegister):
    """Fault: accepts requests about workers that are not in the endpoint list."""

    def handle(self, now: int, events: list[maintenance.Event]) -> list[maintenance.Action]:
        names = {
            event.worker
            for event in events
            if isinstance(event, maintenance.EnterRequestedEvent | maintenance.LeaveRequestedEvent)
        }
        return super().handle(now, [maintenance.WorkersListedEvent(frozenset(names)), *events])


class NotReplacing(maintenance.MaintenanceRegister):
    """Fault: ignores the set stored by another process."""

    def handle(self, now: int, events: list[maintenance.Event]) -> list[maintenance.Action]:
        return super().handle(now, [event for event in events if not isinstance(event, maintenance.SetReplacedEvent)])


class IgnoringStarts(maintenance.MaintenanceRegister):
    """Fault: ignores start times reported by discovery, so every returning worker counts as started now."""

    def handle(self, now: int, events: list[maintenance.Event]) -> list[maintenance.Action]:
        without_starts = [
            maintenance.WorkersListedEvent(event.workers)
            if isinstance(event, maintenance.WorkersListedEvent)
            else event
            for event in events
        ]
        return super().handle(now, without_starts)


class NotPersisting(maintenance.MaintenanceRegister):
    """Fault: never stores the set of workers in maintenance mode."""

    def handle(self, now: int, events: list[maintenance.Event]) -> list[maintenance.Action]:
        return [action for action in super().handle(now, events) if not isinstance(action, maintenance.Persist)]


TestMaintenance = MaintenanceStateMachine.TestCase
TestMaintenance.settings = profile(
    max_examples=80, stateful_step_count=30, deadline=None, derandomize=True, database=None
)


@pytest.mark.parametrize("broken", [Counting, AcceptingUnknown, NotReplacing, IgnoringStarts, NotPersisting])
def test_each_property_catches_a_broken_module(broken: type[maintenance.MaintenanceRegister]) -> None:
    class Broken(MaintenanceStateMachine):
        register_class = broken

    assert_caught(Broken, max_examples=80, steps=30)


def test_entering_twice_needs_leaving_once_and_the_worker_returns_as_just_started() -> None:
    register = maintenance.MaintenanceRegister()
    register.handle(0, [maintenance.WorkersListedEvent(frozenset({"a"}))])
    assert register.handle(1, [maintenance.EnterRequestedEvent("a", 1)]) == [
        maintenance.Drain("a"), maintenance.Persist(frozenset({"a"})), maintenance.Answer(1, True),
    ]  # fmt: skip
    assert register.handle(2, [maintenance.EnterRequestedEvent("a", 2)]) == [maintenance.Answer(2, True)]
    assert register.handle(3, [maintenance.LeaveRequestedEvent("a", 3)]) == [
        maintenance.Reinstate("a", 3), maintenance.Persist(frozenset()), maintenance.Answer(3, True),
    ]  # fmt: skip
    assert register.workers == frozenset()
    assert register.handle(4, [maintenance.EnterRequestedEvent("nobody", 4)]) == [maintenance.Answer(4, False)]
