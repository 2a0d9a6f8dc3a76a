"""The newest configuration and zone evacuations that this node has received through the item table.

`ConfigurationView` owns the configuration in force on this node; routes, services and limits change together or not at
all. The configuration in force is never replaced by an older version, and stays in force if a newer version cannot be
parsed.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence

from canvasbeam.data_plane.routes import Configuration
from canvasbeam.item_table.configuration_document import document_of
from canvasbeam.item_table.items import Item, ItemKind, ItemTable
from canvasbeam.runtime.logs import get_logger

log = get_logger(__name__)

ConfigurationListener = Callable[[Configuration], None]
EvacuationListener = Callable[[frozenset[str]], None]


class ConfigurationView:
    """Adopts each newer configuration; the item table guarantees that versions never decrease."""

    def __init__(self, table: ItemTable) -> None:
        self._table = table
        self._listeners: list[ConfigurationListener] = []
        self._evacuation_listeners: list[EvacuationListener] = []
        self._adopted = asyncio.Event()
        self.current: Configuration | None = None
        self.evacuated_zones: frozenset[str] = frozenset()
        table.add_listener(self._on_items)
        self._on_items(list(table))

    def add_listener(self, listener: ConfigurationListener) -> None:
        """Call the listener with the current configuration, if any, and with each configuration adopted later."""
        self._listeners.append(listener)
        if self.current is not None:
            listener(self.current)

    def add_evacuation_listener(self, listener: EvacuationListener) -> None:
        """Call the listener with the evacuated zones after each change of the evacuations."""
        self._evacuation_listeners.append(listener)

    async def wait_for_first(self, timeout_s: float) -> None:
        """Return when the first configuration has been adopted, or after `timeout_s` seconds."""
        if self.current is not None:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._adopted.wait()
        except TimeoutError:
            return

    def _on_items(self, items: Sequence[Item]) -> None:
        for item in items:
            if item.kind is ItemKind.EVACUATIONS:
                self._adopt_evacuations(item)
            elif item.kind is ItemKind.CONFIGURATION and not item.deleted:
                self._adopt_configuration(item)

    def _adopt_configuration(self, item: Item) -> None:
        try:
            document = item.document or document_of(json.loads(item.payload))
            configuration = Configuration(document, self.current)
        except (ValueError, KeyError, TypeError):
            log.exception("configuration unreadable action=previous configuration stays in force")
            return
        self.current = configuration
        self._adopted.set()
        log.info("configuration adopted generation={}", configuration.generation)
        for listener in self._listeners:
            listener(configuration)

    def _adopt_evacuations(self, item: Item) -> None:
        zones = json.loads(item.payload) if item.payload else []
        if isinstance(zones, dict):
            zones = zones.get("zones", [])
        self.evacuated_zones = frozenset(zones)
        for listener in self._evacuation_listeners:
            listener(self.evacuated_zones)
