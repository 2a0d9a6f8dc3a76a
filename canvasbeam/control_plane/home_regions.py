"""Look up the home regions of each host in the configuration stored at this node."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping

from canvasbeam.control_plane.json_documents import JsonValue
from canvasbeam.item_table.configuration_document import ROUTES, document_of, is_of_field, read_entry
from canvasbeam.item_table.document import Document
from canvasbeam.item_table.items import CURRENT, Item, ItemKind, ItemTable, Version
from canvasbeam.runtime.logs import get_logger

log = get_logger(__name__)

Routes = Mapping[str, Mapping[str, JsonValue]]  # routes with home regions, by key in the document


class HomeRegions:
    """Owns the home regions by host; the first lookup after a new configuration reads the changed routes.

    A configuration is adopted complete or not at all. After one that cannot be read, the home regions of the previous
    one stay in force, and the next configuration is compared with that one.
    """

    def __init__(self, table: ItemTable) -> None:
        self._table = table
        self._read_version: Version | None = None  # of the configuration read last, whether or not it was adopted
        self._document = Document()  # the configuration adopted last
        self._routes: Routes = {}
        self._by_host: Mapping[str, frozenset[str]] = {}

    def of_host(self, host: str) -> frozenset[str] | None:
        """Return the home regions common to all routes of a host that have home regions; None if no route has any."""
        item = self._table.get(ItemKind.CONFIGURATION, CURRENT)
        if item is not None and item.version != self._read_version:
            self._read_configuration(item)
            self._read_version = item.version
        return self._by_host.get(host.lower())

    def _read_configuration(self, item: Item) -> None:
        try:
            document = item.document or document_of(json.loads(item.payload))
            routes = _changed_routes(self._routes, self._document, document)
            by_host = home_regions_by_host(routes.values())
        except (ValueError, KeyError, TypeError, AttributeError):
            log.exception("home regions unreadable action=those of the previous configuration stay in force")
            return
        self._document, self._routes, self._by_host = document, routes, by_host


def _changed_routes(routes: Routes, before: Document, document: Document) -> Routes:
    """Return the routes with home regions of a document; `routes` are those of the document `before`."""
    found = dict(routes)
    for key in document.changed_keys(before):
        if not is_of_field(key, ROUTES):
            continue
        route = read_entry(document, key)
        if route is not None and route.get("home_regions"):
            found[key] = route
        else:
            found.pop(key, None)
    return found


def home_regions_by_host(routes: Iterable[Mapping[str, JsonValue]]) -> dict[str, frozenset[str]]:
    """Return, by host, the home regions common to all routes of the host that have home regions."""
    by_host: dict[str, frozenset[str]] = {}
    for route in routes:
        homes = frozenset(route.get("home_regions") or ())
        if homes:
            host = str(route["host"]).lower()
            by_host[host] = by_host.get(host, homes) & homes
    return by_host
