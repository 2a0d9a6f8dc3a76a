"""The conversion of a configuration to a document: one entry per named item, and one header entry for all other fields.

The key of a route contains its host and prefix, whose combination is unique in a valid configuration, so the entry of a
route is found without reading other entries. Both programs use these keys.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from canvasbeam.item_table.configuration_fields import KEY_SEPARATOR
from canvasbeam.item_table.document import Document

JsonObject = Mapping[str, Any]  # any JSON object; the configuration schema is validated earlier

HEADER_KEY = ""
ROUTES = "routes"
SERVICES = "services"
_encode = json.JSONEncoder(separators=(",", ":"), sort_keys=True).encode


def document_of(configuration: JsonObject, before: Document | None = None) -> Document:
    """Return the document of a configuration; share the entries that are equal in the earlier document `before`."""
    entries = dict(_entries(configuration))
    if before is None:
        return Document.of(entries)
    known = before.entries
    shared = {key: known[key] if known.get(key) == value else value for key, value in entries.items()}
    return Document.of(shared)


def route_key(host: str, prefix: str) -> str:
    """Return the key of the entry of the route with this host and prefix."""
    return KEY_SEPARATOR.join((ROUTES, host, prefix))


def read_entry(document: Document, key: str) -> JsonObject | None:
    """Return the item under `key`, or None if the key is absent; raise `ValueError` if the entry is not JSON."""
    value = document.entries.get(key)
    if value is None:
        return None
    item: JsonObject = json.loads(value)
    return item


def keys_of(document: Document, field: str) -> Iterator[str]:
    """Yield the keys of all items of a field; in configuration order if the document was received complete."""
    return (key for key in document.entries if is_of_field(key, field))


def is_of_field(key: str, field: str) -> bool:
    """Return True if `key` is the key of an item of the configuration field `field`."""
    return key.startswith(field + KEY_SEPARATOR)


def _entries(configuration: JsonObject) -> Iterable[tuple[str, bytes]]:
    header = {}
    for field, value in configuration.items():
        if _is_named_list(value):
            for item in value:
                yield _key(field, item), _encode(item).encode("ascii")
        else:
            header[field] = value
    yield HEADER_KEY, _encode(header).encode("ascii")


def _is_named_list(value: object) -> bool:  # any JSON value
    return isinstance(value, list | tuple) and all(isinstance(item, dict) and "name" in item for item in value)


def _key(field: str, item: JsonObject) -> str:
    if field == ROUTES:
        return route_key(str(item["host"]).lower(), item["prefix"])
    return field + KEY_SEPARATOR + str(item["name"])
