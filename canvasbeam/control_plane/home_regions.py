"""Look up the home regions of each host in the configuration stored at this node."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping

from canvasbeam.control_plane.json_documents import JsonValue
from canvasbeam.item_table.configuration_document import ROUTES, document_of, is_of_field, read_entry
from canvasbeam.item_table.document import Document
from canvasbeam.item_table.items import CURRENT, ItemKind, ItemTable, Version


class HomeRegions:
    """Owns the home regions by host; the first lookup after a new configuration reads the changed routes."""

    def __init__(self, table: ItemTable) -> None:
        self._table = table
        self._version: Version | None = None
        self._document = Document()
        self._routes: dict[str, Mapping[str, JsonValue]] = {}  # routes with home regions, by key in the document
        self._by_host: dict[str, frozenset[str]] = {}

    def of_host(self, host: str) -> frozenset[str] | None:
        """Return the home regions common to all routes of a host that have home regions; None if no route has any."""
        self._read_configuration()
        return self._by_host.get(host.lower())

    def _read_configuration(self) -> None:
        item = self._table.get(ItemKind.CONFIGURATION, CURRENT)
        if item is None or item.version == self._version:
            return
        self._version = item.version
        previous, self._document = self._document, item.document or document_of(json.loads(item.payload))
        for key in self._document.changed_keys(previous):
            if is_of_field(key, ROUTES):
                self._read_route(key)
        self._by_host = home_regions_by_host(self._routes.values())

    def _read_route(self, key: str) -> None:
        route = read_entry(self._document, key)
        if route is not None and route.get("home_regions"):
            self._routes[key] = route
        else:
            self._routes.pop(key, None)


def home_regions_by_host(routes: Iterable[Mapping[str, JsonValue]]) -> dict[str, frozenset[str]]:
    """Return, by host, the home regions common to all routes of the host that have home regions."""
    by_host: dict[str, frozenset[str]] = {}
    for route in routes:
        homes = frozenset(route.get("home_regions") or ())
        if homes:
            host = str(route["host"]).lower()
            by_host[host] = by_host.get(host, homes) & homes
    return by_host
