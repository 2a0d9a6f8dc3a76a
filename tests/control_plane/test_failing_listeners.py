"""Listeners of the control state that raise: replication, the other listeners and a later try are not affected."""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from canvasbeam.control_plane import publisher
from canvasbeam.control_plane.publisher import StatePublisher
from canvasbeam.control_plane.replication_listeners import ReplicationListeners
from canvasbeam.item_table.configuration_document import document_of
from canvasbeam.item_table.document import Document
from canvasbeam.item_table.items import Item, ItemKind
from canvasbeam.replication.control_state import ControlState
from canvasbeam.replication.views import MemberId
from tests.control_plane.test_replicated_state import IPS, System, run, stop_all


class FaultyListener:
    """Records each value; raises while `is_faulty`."""

    def __init__(self) -> None:
        self.is_faulty = True
        self.values: list[object] = []

    def __call__(self, value: object) -> None:
        if self.is_faulty:
            raise RuntimeError("planted fault in a listener")
        self.values.append(value)


def test_listener_that_raises_hides_no_state_from_others_and_gets_the_newest_one_later() -> None:
    """Guards against a committed configuration that one process never publishes, and against an end of its ticks."""
    listeners = ReplicationListeners()
    faulty, sound = FaultyListener(), FaultyListener()
    sound.is_faulty = False
    for add in (listeners.add_commit_listener, listeners.add_primary_listener):
        add(faulty)
        add(sound)
    states = [ControlState(index=index) for index in (1, 2)]
    for state in states:
        listeners.on_committed(state)
    assert sound.values == states
    listeners.on_leadership(False, MemberId("127.0.0.1/a"))
    listeners.on_leadership(False, MemberId(""))
    assert sound.values[len(states) :] == [None]
    faulty.is_faulty = False
    listeners.retry()
    assert faulty.values == [None, states[-1]]
    listeners.retry()
    assert len(faulty.values) == 2


def test_replication_goes_on_beside_a_listener_that_raises() -> None:
    async def work() -> None:
        system = System()
        faulty = [FaultyListener() for _ in IPS]
        for ip, listener in zip(IPS, faulty, strict=True):
            node = await system.start(ip)
            node.service.add_commit_listener(listener)
            node.service.add_primary_listener(listener)
            node.service.add_electorate_listener(listener)
            node.service.add_commit_listener(lambda state: system.wake())
        for zone in ("north", "south"):
            state = await system.evacuate(zone)
        await system.until(lambda: all(node.service.state == state for node in system.nodes.values()))
        for listener in faulty:
            listener.is_faulty = False
        await system.evacuate("west")
        await system.until(lambda: all(len(node.service.state.evacuated_zones) == 3 for node in system.nodes.values()))
        assert all(listener.values for listener in faulty)
        await stop_all(system)

    run(work)


class Node:
    """A node that records the published items."""

    def __init__(self) -> None:
        self.published: list[Item] = []

    def publish(self, items: Iterable[Item]) -> list[Item]:
        new = list(items)
        self.published += new
        return new


def configured(index: int) -> ControlState:
    configuration = {"generation": index, "routes": [], "services": [], "limits": {}}
    return ControlState(index=index, configuration=configuration, configuration_index=index)


def test_state_whose_publication_raised_is_published_by_a_retry(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a version that counts as published before it was."""
    node = Node()
    publish = StatePublisher(node).on_committed
    publish(configured(1))

    def fail(configuration: object, previous: Document | None) -> Document:
        raise RuntimeError("planted fault")

    monkeypatch.setattr(publisher, "document_of", fail)
    with pytest.raises(RuntimeError):
        publish(configured(2))
    monkeypatch.setattr(publisher, "document_of", document_of)
    publish(configured(2))
    assert [(item.kind, item.version.major) for item in node.published] == [
        (ItemKind.CONFIGURATION, 1),
        (ItemKind.CONFIGURATION, 2),
    ]
