"""Read typed fields of JSON objects, and say which field is wrong.

The scheduler in service must start with no library but its HTTP parser, so this stands in place of a schema library.
All functions raise `WireError`, which names the message (its field `t`, or the settings) and the field.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

Fields = dict[str, Any]

_Choice = TypeVar("_Choice")


class WireError(Exception):
    """The peer broke the wire; the message names what was wrong."""


def required(fields: Fields, name: str) -> object:
    """Return a field that must be there."""
    value: object = fields.get(name)
    if value is None:
        raise _wrong(fields, f"field {name} is missing")
    return value


def whole_number(fields: Fields, name: str, default: int | None = None) -> int:
    """Return a whole number; required where no default is given."""
    value = required(fields, name) if default is None else fields.get(name)
    if value is None:
        return int(default or 0)
    if isinstance(value, bool) or not isinstance(value, int):
        raise _wrong(fields, f"field {name} is not a whole number")
    return value


def number(fields: Fields, name: str, default: float) -> float:
    """Return a number with a default."""
    value = fields.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _wrong(fields, f"field {name} is not a number")
    return float(value)


def text(fields: Fields, name: str) -> str:
    """Return a required text."""
    value = required(fields, name)
    if not isinstance(value, str):
        raise _wrong(fields, f"field {name} is not a text")
    return value


def choice(fields: Fields, name: str, choices: Mapping[Any, _Choice], default: _Choice | None = None) -> _Choice:
    """Return what a word or code stands for; required where no default is given."""
    value = required(fields, name) if default is None else fields.get(name)
    if value is None and default is not None:
        return default
    if isinstance(value, list | dict) or value not in choices:
        raise _wrong(fields, f"field {name} has the unknown value {value!r}")
    return choices[value]


def section(fields: Fields, name: str) -> Fields:
    """Return a nested object; empty where it is absent."""
    value = fields.get(name)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise WireError(f"settings: {name} is not an object")
    return value


def _wrong(fields: Fields, what: str) -> WireError:
    """Return the error that a field of a message, or of the settings, is wrong."""
    return WireError(f"{fields.get('t', 'settings')}: {what}")
