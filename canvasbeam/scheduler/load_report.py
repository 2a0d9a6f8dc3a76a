"""Load reports of workers, from a header, a line of an answer, or the answer to a health check.

It owns their two forms on the wire. It must never raise over what a worker wrote.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping


def read_report(value: object, names: Mapping[str, str]) -> dict[str, float] | None:
    """Return a load report from an object or from `name=value,name=value`; None where it holds no finite number.

    `names` translates the wire's names to those of the decisions; a value that is no finite number is skipped.
    """
    if isinstance(value, str):
        value = dict(pair.strip().partition("=")[::2] for pair in value.split(","))
    if not isinstance(value, dict):
        return None
    report = {}
    for name, figure in value.items():
        try:
            number = float(figure)
        except (TypeError, ValueError, OverflowError):
            continue
        if math.isfinite(number):  # guards the decisions, which calculate with it
            report[names.get(name, name)] = number
    return report or None


def read_health_check_report(body: bytes | bytearray, names: Mapping[str, str]) -> dict[str, float] | None:
    """Return the report in the answer to a health check: a JSON object, or `name=value,name=value`."""
    text = body.decode("latin-1").strip()
    if not text.startswith("{"):
        return read_report(text, names)
    try:
        return read_report(json.loads(text), names)
    except (ValueError, RecursionError):
        return None
