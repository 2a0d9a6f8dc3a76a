"""Publish the committed control state to all nodes, as items of the item table."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Protocol

from canvasbeam.item_table.configuration_document import document_of
from canvasbeam.item_table.document import Document
from canvasbeam.item_table.items import CURRENT, Item, ItemKind, Version
from canvasbeam.replication.control_state import ControlState


class ItemPublisher(Protocol):
    """The part of `ClusterNode` that the publisher uses."""

    def publish(self, items: Iterable[Item]) -> list[Item]:
        """Merge items into the table, and distribute the items to all nodes."""
        ...


class StatePublisher:
    """Publishes each committed control state. Every control node publishes the state; the first publication suffices.

    Owns the indexes of the configuration and of the evacuations that were published last.
    """

    def __init__(self, node: ItemPublisher) -> None:
        self._node = node
        self._configuration_index = 0
        self._document: Document | None = None
        self._evacuation_index = 0

    def on_committed(self, state: ControlState) -> None:
        """Publish the configuration and the evacuated zones if they have changed since the last published state.

        What was published is recorded after the publication, so that a retry after an exception is complete.
        """
        items = []
        document = self._document
        if state.configuration_index > self._configuration_index and state.configuration is not None:
            document = document_of(state.configuration, self._document)
            version = Version(state.configuration_index)
            items.append(Item(ItemKind.CONFIGURATION, CURRENT, version, document=document))
        if state.evacuation_index > self._evacuation_index:
            zones = json.dumps(state.evacuated_zones).encode("ascii")
            items.append(Item(ItemKind.EVACUATIONS, CURRENT, Version(state.evacuation_index), zones))
        if items:
            self._node.publish(items)
        self._document = document
        self._configuration_index = max(self._configuration_index, state.configuration_index)
        self._evacuation_index = max(self._evacuation_index, state.evacuation_index)
