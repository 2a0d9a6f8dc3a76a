"""What commands print of a result: a JSON document, or lines for a terminal."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import TypeAlias

import click

JSON_INDENT = 1
JsonValue: TypeAlias = "Mapping[str, JsonValue] | Sequence[JsonValue] | str | int | float | None"


def as_json_text(document: Mapping[str, JsonValue] | Sequence[JsonValue]) -> str:
    """Return a document as the commands print it."""
    return json.dumps(document, indent=JSON_INDENT)


def report(result: Mapping[str, JsonValue], text: str, as_json: bool) -> None:
    """Print what was done, as JSON or as the text."""
    click.echo(as_json_text(result) if as_json else text)


def outline(document: Mapping[str, JsonValue], depth: int = 0) -> list[str]:
    """Return a JSON object as indented lines: a line for each plain value, and for each object of a list."""
    indent = "  " * depth
    lines = []
    for key, value in document.items():
        if isinstance(value, Mapping):
            lines += [f"{indent}{key}:", *outline(value, depth + 1)]
        elif isinstance(value, list | tuple) and any(isinstance(item, Mapping) for item in value):
            lines += [f"{indent}{key}:", *(f"{indent}  {_row(item)}" for item in value)]
        elif isinstance(value, list | tuple):
            lines.append(f"{indent}{key}: {', '.join(map(_plain, value)) or 'none'}")
        else:
            lines.append(f"{indent}{key}: {_plain(value)}")
    return lines


def _row(item: JsonValue) -> str:
    """Return an item of a list on one line."""
    if not isinstance(item, Mapping):
        return _plain(item)
    return "  ".join(f"{key}={_plain(value)}" for key, value in item.items())


def _plain(value: JsonValue) -> str:
    """Return a value as text, what is empty as `none`."""
    if value is None or value == "":
        return "none"
    return value if isinstance(value, str) else json.dumps(value)
