"""Reading and checking scenario files: TOML, on top of the file that `extends` names.

It owns the order in which files are laid over each other and the wording of errors: file, key, rule, and the
nearest key where one is unknown. It must never start anything, nor let half a scenario through.
"""

from __future__ import annotations

import difflib
import re
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from canvasbeam.simulator.model import links, spec

Table = dict[str, Any]
SHIPPED = Path(__file__).resolve().parents[2] / "scenarios"
DEEPEST = 8  # files that may extend each other


class ScenarioError(Exception):
    """A scenario that cannot be played; the message names file, key and rule."""


def find(name: str) -> Path:
    """Return the file of a scenario: a path, or the name of one that ships."""
    path = Path(name)
    if path.suffix == ".toml" or path.exists():
        return path
    shipped = SHIPPED / f"{name}.toml"
    if shipped.exists():
        return shipped
    names = sorted(path.stem for path in SHIPPED.glob("*.toml"))
    near = difflib.get_close_matches(name, names, 1)
    hint = f"; did you mean {near[0]}?" if near else f"; there are {', '.join(names)}"
    raise ScenarioError(f"{name}: no such scenario{hint}")


def load(name: str, changes: Table | None = None) -> spec.Scenario:
    """Read a scenario, with `changes` (dotted keys) laid over it; ScenarioError where it cannot be played."""
    path = find(name)
    table = _read(path, 0)
    table.setdefault("name", path.stem)
    for key, value in (changes or {}).items():
        _set(table, key, value, path)
    return check(table, str(path))


def check(table: Table, origin: str) -> spec.Scenario:
    """Return a scenario from its table."""
    try:
        scenario = msgspec.convert(table, spec.Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{origin}: {_worded(str(error), table)}") from error
    found = spec.problems(scenario)
    if found:
        raise ScenarioError("\n".join(f"{origin}: {key} {rule}" for key, rule in found))
    return scenario


def _read(path: Path, depth: int) -> Table:
    if depth > DEEPEST:
        raise ScenarioError(f"{path}: extends must not go deeper than {DEEPEST} files")
    try:
        table: Table = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: cannot be read: {error}") from error
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{path}: is not TOML: {error}") from error
    base = table.pop("extends", None)
    if base is None:
        return table
    if not isinstance(base, str):
        raise ScenarioError(f"{path}: extends must be the name of a file")
    return _laid_over(_read(path.parent / base, depth + 1), table)


def _laid_over(below: Table, above: Table) -> Table:
    """Tables are merged key by key; anything else, lists included, is replaced whole."""
    merged = dict(below)
    for key, value in above.items():
        under = merged.get(key)
        merged[key] = _laid_over(under, value) if isinstance(value, dict) and isinstance(under, dict) else value
    return merged


def _set(table: Table, key: str, value: object, path: Path) -> None:
    """Set a dotted key; `classes.0.share` reaches into a list."""
    at: Any = table
    *way, last = key.split(".")
    try:
        for step in way:
            at = at[int(step)] if isinstance(at, list) else at.setdefault(step, {})
        if isinstance(at, list):
            at[int(last)] = value
        else:
            at[last] = value
    except (ValueError, IndexError, AttributeError, TypeError) as error:
        raise ScenarioError(f"{path}: key {key} leads nowhere") from error


def _worded(message: str, table: Table) -> str:
    """Msgspec's message as key and rule, with the nearest known key."""
    rule, _, place = message.partition(" - at `$")
    key = place.rstrip("`").replace("[...]", "[]").lstrip(".")
    unknown = re.search(r"unknown field `(.+)`", rule)
    if unknown:
        known = _fields_at(key)
        near = difflib.get_close_matches(unknown[1], known, 1)
        whole = f"{key}.{unknown[1]}" if key else unknown[1]
        return f"{whole} is no known key" + (f"; did you mean {near[0]}?" if near else "")
    return f"{key or 'the scenario'}: {rule[:1].lower()}{rule[1:]}"


def _fields_at(key: str) -> list[str]:
    """Return the keys that may stand at this place."""
    kinds: dict[str, type[msgspec.Struct]] = {
        "": spec.Scenario,
        "fleet": spec.Fleet,
        "fleet.models": spec.MachineModel,
        "classes": spec.JobClassSpec,
        "departments": spec.Department,
        "traffic": spec.Traffic,
        "clients": spec.Clients,
        "schedulers": spec.Schedulers,
        "discovery": spec.DiscoverySpec,
        "network": spec.Network,
        "faults": spec.FaultSpec,
        "links": links.LinkFault,
    }
    kind = kinds.get(re.sub(r"\[[^]]*\]", "", key))
    return list(kind.__struct_fields__) if kind else []
