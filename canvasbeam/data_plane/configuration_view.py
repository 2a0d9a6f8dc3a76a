"""The newest configuration and zone evacuations that this node has received through the item table.

`ConfigurationView` owns the configuration in force on this node; routes, services and limits change together or not at
all. The configuration in force is never replaced by an older version, and stays in force if a newer version cannot be
parsed; the same holds for the evacuations. A listener that raises does not keep a version from the other listeners, and
is called again with the newest version, because `ConfigurationView` then raises to its own caller, the item table.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence

from canvasbeam.data_plane.routes import Configuration
from canvasbeam.item_table.configuration_document import document_of
from canvasbeam.item_table.items import Item, ItemKind, ItemTable, Version
from canvasbeam.runtime.change_listeners import ChangeListeners, latest, raise_failures
from canvasbeam.runtime.logs import get_logger

log = get_logger(__name__)

ConfigurationListener = Callable[[Configuration], None]
EvacuationListener = Callable[[frozenset[str]], None]


class ConfigurationView:
    """Adopts each newer configuration; the item table guarantees that versions never decrease."""

    def __init__(self, table: ItemTable) -> None:
        self._table = table
        self._configuration_listeners: ChangeListeners[Configuration] = ChangeListeners(latest)
        self._evacuation_listeners: ChangeListeners[frozenset[str]] = ChangeListeners(latest)
        self._adopted = asyncio.Event()
        self._adopted_version: Version | None = None
        self.current: Configuration | None = None
        self.evacuated_zones: frozenset[str] = frozenset()
        table.add_listener(self._on_items)
        self._on_items(list(table))

    def add_listener(self, listener: ConfigurationListener) -> None:
        """Call the listener with the current configuration, if any, and with each configuration adopted later."""
        self._configuration_listeners.add(listener)
        if self.current is not None:
            listener(self.current)

    def add_evacuation_listener(self, listener: EvacuationListener) -> None:
        """Call the listener with the evacuated zones after each change of the evacuations."""
        self._evacuation_listeners.add(listener)

    async def wait_for_first(self, timeout_s: float) -> None:
        """Return when the first configuration has been adopted, or after `timeout_s` seconds."""
        if self.current is not None:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._adopted.wait()
        except TimeoutError:
            return

    @property
    def listeners_behind(self) -> int:
        """Number of listeners that raised and have not adopted the newest configuration or evacuations since."""
        return self._configuration_listeners.behind_count + self._evacuation_listeners.behind_count

    def _on_items(self, items: Sequence[Item]) -> None:
        failures: list[Exception] = []
        for item in items:
            if item.kind is ItemKind.EVACUATIONS:
                failures += self._adopt_evacuations(item)
            elif item.kind is ItemKind.CONFIGURATION and not item.deleted:
                failures += self._adopt_configuration(item)
        raise_failures(failures)

    def _adopt_configuration(self, item: Item) -> list[Exception]:
        """Adopt a configuration; return the exceptions of the listeners that have not adopted it."""
        if item.version == self._adopted_version:
            return self._configuration_listeners.retry()
        try:
            document = item.document or document_of(json.loads(item.payload))
            configuration = Configuration(document, self.current)
        except (ValueError, KeyError, TypeError):
            log.exception("configuration unreadable action=previous configuration stays in force")
            return []
        self.current = configuration
        self._adopted_version = item.version
        self._adopted.set()
        log.info("configuration adopted generation={}", configuration.generation)
        return self._configuration_listeners.notify(configuration)

    def _adopt_evacuations(self, item: Item) -> list[Exception]:
        """Adopt the evacuated zones; return the exceptions of the listeners that have not adopted them."""
        try:
            self.evacuated_zones = _parse_zones(item.payload)
        except (ValueError, TypeError):
            log.exception("evacuations unreadable action=previous evacuations stay in force")
            return []
        return self._evacuation_listeners.notify(self.evacuated_zones)


def _parse_zones(payload: bytes) -> frozenset[str]:
    zones = json.loads(payload) if payload else []
    if isinstance(zones, dict):
        zones = zones.get("zones", [])
    return frozenset(zones)
