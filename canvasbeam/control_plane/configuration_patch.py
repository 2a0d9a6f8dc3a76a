"""Compare and combine configurations by the names of their items.

Pure and deterministic, as is all code by which replicas apply changes. Documents may have any structure until
`configuration_schema` has checked them, so only `patched` relies on structure, that of its patch, which was checked.
"""

from __future__ import annotations

from collections.abc import Mapping

from canvasbeam.control_plane.json_documents import JsonValue

_ABSENT = object()  # placeholder for a missing item; compares unequal to every item


def drop_unchanged_items(document: JsonValue, current: Mapping[str, JsonValue]) -> JsonValue:
    """Return a document without the items that the current, already checked configuration contains unchanged.

    Most changes concern a few of many items, and the check of one item takes a third of a millisecond.
    """
    if not isinstance(document, dict):
        return document
    return {field: _drop_unchanged(value, current.get(field)) for field, value in document.items()}


def _drop_unchanged(value: JsonValue, known: JsonValue) -> JsonValue:
    if not isinstance(value, list) or not isinstance(known, list):
        return value
    by_name = {_name_of(item): item for item in known}
    return [item for item in value if not _is_identical(item, by_name.get(_name_of(item), _ABSENT))]


def _is_identical(item: JsonValue, known: JsonValue) -> bool:
    """Return True if two items are equal in value and type: 1, 1.0 and True are equal, but pass different checks."""
    return bool(item == known) and repr(item) == repr(known)


def apply_patch(base: Mapping[str, JsonValue], patch: Mapping[str, JsonValue]) -> dict[str, JsonValue]:
    """Return the base configuration with a patch applied: named items are removed, replaced in place, or appended."""
    configuration = {**base, "generation": patch["generation"]}
    if "limits" in patch:
        configuration["limits"] = patch["limits"]
    for field, names in patch.get("remove", {}).items():
        if field not in configuration:
            continue
        unwanted = set(names)
        configuration[field] = [item for item in _items(configuration, field) if _name_of(item) not in unwanted]
    for field, items in patch.get("upsert", {}).items():
        configuration[field] = _upsert_items(_items(configuration, field), items)
    return configuration


def _upsert_items(items: list[JsonValue], changed: list[JsonValue]) -> list[JsonValue]:
    """Return the items with each changed item in the place of the item of the same name, or else at the end.

    If `changed` contains a name twice, both items are included, so that `configuration_rules` reports the duplicate.
    """
    not_placed = {item["name"]: item for item in reversed(changed)}
    first_by_name = dict(not_placed)
    replaced = [not_placed.pop(_name_of(item), item) for item in items]
    added = [item for item in changed if item["name"] in not_placed or item is not first_by_name[item["name"]]]
    return replaced + added


def _items(configuration: Mapping[str, JsonValue], field: str) -> list[JsonValue]:
    """Return the list in a field, or an empty list if the field is missing or not a list."""
    items = configuration.get(field)
    return items if isinstance(items, list) else []


def _name_of(item: JsonValue) -> str | None:
    name = item.get("name") if isinstance(item, dict) else None
    return name if isinstance(name, str) else None
