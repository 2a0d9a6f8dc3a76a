"""Read typed fields of JSON objects, and report invalid fields by name.

This module replaces a schema library, because the scheduler program must start without any library except its HTTP
parser. All functions raise `WireError`, which names the message (by its field `t`, or "settings") and the field.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

Fields = dict[str, Any]

_Choice = TypeVar("_Choice")


class WireError(Exception):
    """A received message, or the settings, is malformed; the error text names the invalid part."""


def required(fields: Fields, name: str) -> object:
    """Return a required field."""
    value: object = fields.get(name)
    if value is None:
        raise _invalid(fields, f"field {name} is missing")
    return value


def whole_number(fields: Fields, name: str, default: int | None = None) -> int:
    """Return an integer field, which is required where no default is given."""
    value = required(fields, name) if default is None else fields.get(name)
    if value is None:
        return int(default or 0)
    if isinstance(value, bool) or not isinstance(value, int):
        raise _invalid(fields, f"field {name} must be an integer, got {type(value).__name__}")
    return value


def number(fields: Fields, name: str, default: float) -> float:
    """Return a numeric field, or the default where the field is missing."""
    value = fields.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _invalid(fields, f"field {name} must be a number, got {type(value).__name__}")
    return float(value)


def text(fields: Fields, name: str) -> str:
    """Return a required string field."""
    value = required(fields, name)
    if not isinstance(value, str):
        raise _invalid(fields, f"field {name} must be a string, got {type(value).__name__}")
    return value


def choice(fields: Fields, name: str, choices: Mapping[Any, _Choice], default: _Choice | None = None) -> _Choice:
    """Return the element of `choices` under a field's value; the field is required where no default is given."""
    value = required(fields, name) if default is None else fields.get(name)
    if value is None and default is not None:
        return default
    if isinstance(value, list | dict) or value not in choices:
        raise _invalid(fields, f"field {name} must be one of {list(choices)}, got {value!r}")
    return choices[value]


def section(fields: Fields, name: str) -> Fields:
    """Return a nested object, or an empty object where the field is missing."""
    value = fields.get(name)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise WireError(f"settings: {name} must be an object, got {type(value).__name__}")
    return value


def _invalid(fields: Fields, problem: str) -> WireError:
    """Return the error for an invalid field of a message, or of the settings."""
    return WireError(f"{fields.get('t', 'settings')}: {problem}")
