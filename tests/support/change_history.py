"""Histories of operators' calls, and the sequential specification that each of them must follow.

The specification is a sequence of states, from each to the next by one order. A state is current from when it was first
told to be committed until the next one was. A call has its times at the caller, and its answer if one came.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from canvasbeam.control_plane.changes import apply, change_key
from canvasbeam.control_plane.operator_api import STATUS_OF_CODE
from canvasbeam.errors import Failure
from canvasbeam.replication.control_state import Change, ChangeKind, ControlState

CONFIGURATION_KINDS = (ChangeKind.PUT_CONFIGURATION, ChangeKind.PATCH_CONFIGURATION)
REFUSALS = frozenset({400, 409, 412, 413, 422})
NEVER = float("inf")


class HistoryError(AssertionError):
    """A history that no sequence of states explains."""


@dataclass(frozen=True)
class Call:
    """One call, as its caller saw it. Without a status no answer reached the caller."""

    caller: str
    node: str
    sent_at: float
    change: Change | None = None  # None of a read
    ended_at: float = NEVER
    status: int | None = None
    document: Mapping[str, Any] | None = None  # of a read

    @property
    def is_configuration_order(self) -> bool:
        return self.change is not None and self.change.kind in CONFIGURATION_KINDS

    def __str__(self) -> str:
        what = "GET" if self.change is None else f"{self.change.kind.name} {self.change.zone}{self.change.body!r}"
        match = "" if self.change is None else f" If-Match {self.change.if_match}"
        return (
            f"{self.caller} at {self.node}, {self.sent_at:.3f} to {self.ended_at:.3f}: {what}{match} -> {self.status}"
        )


@dataclass(frozen=True)
class CommittedState:
    """A state, and when it was first told to be committed."""

    state: ControlState
    at: float


@dataclass
class History:
    """Everything that callers saw, and the states that were told to be committed."""

    calls: list[Call] = field(default_factory=list)
    states: dict[int, CommittedState] = field(default_factory=dict)
    _made: dict[int, tuple[ControlState, ControlState]] = field(default_factory=dict)  # by identity: it, and of which

    def note_applied(self, before: ControlState, after: ControlState) -> None:
        """A node made a state of another."""
        self._made[id(after)] = (after, before)

    def note_committed(self, state: ControlState, now: float) -> None:
        """A node tells that a state is committed, and with it those that led to it: there is one of an index."""
        known = self.states.get(state.index)
        if known is not None:
            if _visible(known.state) != _visible(state):
                raise HistoryError(f"two states of index {state.index} were committed: {known.state} and {state}")
            return
        _, before = self._made.get(id(state), (state, None))
        if before is not None and before.index > 0:
            self.note_committed(before, now)
        self.states[state.index] = CommittedState(state, now)

    def check(self) -> None:
        """Raise where the history cannot be explained."""
        _Check(self).run()


def _visible(state: ControlState) -> ControlState:
    """What an operator can see of a state."""
    return replace(state, applied_change_keys=())


class _Check:
    """The sentences of the specification, one function each."""

    def __init__(self, history: History) -> None:
        self._calls = history.calls
        self._states = [history.states[index] for index in sorted(history.states)]
        self._starts = [CommittedState(ControlState(), 0.0), *self._states]

    def run(self) -> None:
        self._check_sequence()
        self._check_one_winner()
        for call in self._calls:
            if call.status is None:
                continue
            if call.change is None:
                self._check_read(call)
            elif call.status in REFUSALS:
                self._check_refusal(call)
            elif call.status == 200:
                self._check_acknowledgement(call)
        self._check_reads_go_forward()
        self._check_evacuations_stay()

    def _current_during(self, begin: float, end: float) -> Iterator[ControlState]:
        """The states that were current at some moment of a span."""
        for number, start in enumerate(self._starts):
            until = self._starts[number + 1].at if number + 1 < len(self._starts) else NEVER
            if start.at <= end and until >= begin:
                yield start.state

    def _check_sequence(self) -> None:
        """Versions rise, and what is in force is valid."""
        for before, after in zip(self._starts, self._starts[1:], strict=False):
            if after.at < before.at or after.state.generation < before.state.generation:
                raise HistoryError(f"{after.state} was committed after {before.state}")
            if after.state.configuration is None:
                continue
            if not is_valid(after.state.configuration):
                raise HistoryError(f"an invalid configuration is in force: {after.state.configuration}")
            is_new = after.state.configuration != before.state.configuration
            if is_new and after.state.generation <= before.state.generation:
                raise HistoryError(f"two configurations have the generation {after.state.generation}")

    def _taken(self) -> dict[bytes, CommittedState]:
        """The configuration orders that were taken, each with the first state that shows it."""
        taken: dict[bytes, CommittedState] = {}
        for state in self._states:
            for key in state.state.applied_change_keys[-1:]:
                taken.setdefault(key, state)
        return taken

    def _check_one_winner(self) -> None:
        """Of the orders on one version, those acknowledged asked for one configuration; so did those of one number."""
        by_version: dict[int, ControlState] = {}
        by_number: dict[int, ControlState] = {}
        taken = self._taken()
        for call in self._calls:
            if call.status != 200 or call.change is None or not call.is_configuration_order:
                continue
            found = taken.get(change_key(call.change))
            if found is None:
                raise HistoryError(f"acknowledged and in no state: {call}")
            number = json.loads(call.change.body)["generation"]
            if found.state.generation != number:
                raise HistoryError(f"acknowledged as {found.state.generation}: {call}")
            for winners, key in ((by_version, call.change.if_match), (by_number, number)):
                winner = winners.setdefault(key, found.state)
                if winner.configuration != found.state.configuration:
                    raise HistoryError(f"a second winner of {key}: {call}")

    def _check_refusal(self, call: Call) -> None:
        """True at some moment between call and answer, and of an order that is never taken.

        Where another version is current, and the order is invalid on its own, either may be answered.
        """
        assert call.change is not None
        if call.is_configuration_order and change_key(call.change) in self._taken():
            raise HistoryError(f"refused and taken: {call}")
        for state in self._current_during(call.sent_at, call.ended_at):
            outcome = apply(state, call.change)
            if not isinstance(outcome, Failure):
                continue
            status = STATUS_OF_CODE.get(outcome.code)
            if status == call.status or (status == 412 and self._is_invalid_on_its_own_version(call)):
                return
        raise HistoryError(f"refused although no state calls for it: {call}")

    def _is_invalid_on_its_own_version(self, call: Call) -> bool:
        assert call.change is not None
        own = [start.state for start in self._starts if start.state.generation == call.change.if_match]
        outcomes = [apply(state, call.change) for state in own]
        return any(
            isinstance(outcome, Failure) and STATUS_OF_CODE.get(outcome.code) == call.status for outcome in outcomes
        )

    def _check_acknowledgement(self, call: Call) -> None:
        """In force, or taken, by the time of the answer."""
        assert call.change is not None
        if call.is_configuration_order:
            found = self._taken().get(change_key(call.change))
            if found is None or found.at > call.ended_at:
                raise HistoryError(f"acknowledged before it was taken: {call}")
            return
        wanted = call.change.kind is ChangeKind.START_EVACUATION
        during = self._current_during(call.sent_at, call.ended_at)
        if not any((call.change.zone in state.evacuated_zones) == wanted for state in during):
            raise HistoryError(f"acknowledged and at no moment in force: {call}")

    def _check_read(self, call: Call) -> None:
        """A configuration that was current, and none older than the newest acknowledged before the read began."""
        during = self._current_during(call.sent_at, call.ended_at)
        if call.status == 404:
            if any(state.configuration is None for state in during):
                return
        elif call.status == 200:
            if any(state.configuration == call.document for state in during):
                return
        else:
            return
        raise HistoryError(f"read what was not current, {call.document}: {call}")

    def _check_reads_go_forward(self) -> None:
        """Black box: nothing older than what somebody was told before the read began."""
        told: list[tuple[float, int]] = []
        for call in self._calls:
            if call.status != 200:
                continue
            if call.document is not None:
                told.append((call.ended_at, call.document["generation"]))
            elif call.is_configuration_order and call.change is not None:
                told.append((call.ended_at, json.loads(call.change.body)["generation"]))
        for call in self._calls:
            if call.change is not None or call.status not in (200, 404):
                continue
            found = -1 if call.document is None else call.document["generation"]
            newest = max((number for at, number in told if at < call.sent_at), default=-1)
            if found < newest:
                raise HistoryError(f"read {found} after {newest} was told: {call}")

    def _check_evacuations_stay(self) -> None:
        """What was acknowledged of a zone holds until the next order for it is sent."""
        zones = {call.change.zone for call in self._calls if call.change is not None and call.change.zone}
        for zone in sorted(zones):
            orders = [call for call in self._calls if call.change is not None and call.change.zone == zone]
            self._check_zone(zone, orders)

    def _check_zone(self, zone: str, orders: Sequence[Call]) -> None:
        for call in orders:
            assert call.change is not None
            kind = call.change.kind
            if call.status != 200:
                continue
            others = [order for order in orders if order.change is not None and order.change.kind is not kind]
            if any(call.sent_at <= other.sent_at <= call.ended_at for other in others):
                continue
            last = max((other.sent_at for other in others if other.sent_at < call.sent_at), default=-1.0)
            next_sent = min((other.sent_at for other in others if other.sent_at > call.ended_at), default=NEVER)
            assert last < next_sent
            for state in self._current_during(call.ended_at, next_sent):
                if (zone in state.evacuated_zones) != (kind is ChangeKind.START_EVACUATION):
                    raise HistoryError(f"undone by no later order, in state {state.index}: {call}")


def is_valid(configuration: Mapping[str, Any]) -> bool:
    """The rules of a valid configuration, told once more and apart from the program."""
    services = {service["name"] for service in configuration["services"]}
    routes = configuration["routes"]
    places = {(route["host"], route["prefix"]) for route in routes}
    return (
        len(places) == len(routes)
        and all(route["service"] in services for route in routes)
        and all(route["timeout_ms"] > 0 for route in routes)
    )
