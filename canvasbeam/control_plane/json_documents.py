"""Parse JSON documents of operators; reject non-standard numbers, and nesting too deep for recursive functions."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from typing import Any

from canvasbeam.errors import Failure, ResultCode

MAX_NESTING = 100  # maximum number of nested levels in a document
# Any JSON value. The content of a document is checked by its schema (`configuration_schema`), not by the type checker.
JsonValue = Any


def read_document(body: bytes) -> JsonValue | Failure:
    """Return the JSON document in a body, or a `CONFIG_UNREADABLE` failure.

    Numbers that are not valid JSON or overflow a float are rejected, as is nesting deeper than `MAX_NESTING` levels.
    """
    try:
        document = json.loads(body, parse_constant=_reject_constant, parse_float=_parse_finite_float)
    except (ValueError, RecursionError) as error:
        return Failure(ResultCode.CONFIG_UNREADABLE, f"the body is not a JSON document: {error}")
    if _is_nested_too_deep(document):
        return Failure(ResultCode.CONFIG_UNREADABLE, f"the body is nested deeper than {MAX_NESTING} levels")
    return document


def is_unicode(document: JsonValue) -> bool:
    """Return False if a text in a document contains a surrogate code point.

    JSON can escape such a code point, but no text that contains one can be encoded (RFC 8259, section 8.2).
    """
    try:
        json.dumps(document, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        return False
    return True


def is_same_json(document: JsonValue, other: JsonValue) -> bool:
    """Return True if two documents are the same JSON; `==` alone is not enough, as 1 == 1.0 == True in Python."""
    return bool(document == other) and _canonical(document) == _canonical(other)


def _canonical(document: JsonValue) -> str:
    return json.dumps(document, sort_keys=True)


def _is_nested_too_deep(document: JsonValue) -> bool:
    """Return True if a document is nested so deeply that recursive functions could overflow the stack on it."""
    level = [document]
    for _ in range(MAX_NESTING):
        level = [child for value in level for child in _children(value)]
        if not level:
            return False
    return True


def _children(value: JsonValue) -> Iterable[JsonValue]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def _reject_constant(text: str) -> float:
    raise ValueError(f"{text} is not a JSON number")


def _parse_finite_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{text} is too large")
    return value
