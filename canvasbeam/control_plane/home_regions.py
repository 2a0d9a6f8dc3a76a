"""The home regions of each host, from the configuration that this node holds."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from typing import Any

from canvasbeam.cluster.items import CURRENT, ItemKind, ItemTable, Version


class HomeRegions:
    """Looks up the home regions of a host; a configuration is read at the first question after it came."""

    def __init__(self, table: ItemTable) -> None:
        self._table = table
        self._version: Version | None = None
        self._by_host: dict[str, frozenset[str]] = {}

    def of_host(self, host: str) -> frozenset[str] | None:
        """The regions that are a home for every route with homes of this host; None where no route has any."""
        self._read_configuration()
        return self._by_host.get(host.lower())

    def _read_configuration(self) -> None:
        item = self._table.get(ItemKind.CONFIGURATION, CURRENT)
        if item is None or item.version == self._version:
            return
        self._version = item.version
        self._by_host = home_regions_by_host(json.loads(item.payload).get("routes") or ())


def home_regions_by_host(routes: Iterable[Mapping[str, Any]]) -> dict[str, frozenset[str]]:
    """For each host with homes, the regions that all its routes with homes share."""
    by_host: dict[str, frozenset[str]] = {}
    for route in routes:
        homes = frozenset(route.get("home_regions") or ())
        if homes:
            host = str(route["host"]).lower()
            by_host[host] = by_host.get(host, homes) & homes
    return by_host
