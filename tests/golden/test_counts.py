"""No test is lost: test functions and assertions are counted by file, against the counts before files were moved.

`test-counts.json` holds the counts of the commit that it names, and is not edited. `test-files.json` says of each file
of then in which files its tests stand now; where a file moves, is split or is merged, its line there is edited. What
a support module asserts counts by the same mapping.

The file also tells how many tests pytest collected then, file by file; to compare, run this, which prints as much:

    .venv/bin/pytest --collect-only -q --ignore=tests/golden
"""

from __future__ import annotations

import ast
import json
from collections import Counter
from functools import cache
from pathlib import Path
from typing import Any

import pytest

HERE = Path(__file__).parent
ROOT = HERE.parents[1]
ASSERTING_CALLS = ("raises",)
BASELINE: dict[str, Any] = json.loads((HERE / "test-counts.json").read_text(encoding="ascii"))
OLD_FILES: dict[str, dict[str, int]] = BASELINE["files"]
NEW_FILES: dict[str, list[str]] = json.loads((HERE / "test-files.json").read_text(encoding="ascii"))
KINDS = ("functions", "assertions")


def count(source: str) -> Counter[str]:
    """The test functions and the assertions of a file: `assert` statements, and each `raises` of pytest."""
    found: Counter[str] = Counter()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            found["functions"] += node.name.startswith("test_")
        elif isinstance(node, ast.Assert):
            found["assertions"] += 1
        elif isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
            found["assertions"] += node.func.attr in ASSERTING_CALLS
    return found


def python_files(root: Path = ROOT) -> list[str]:
    """All files of the tests, support modules too, without this directory."""
    found = sorted((root / "tests").rglob("*.py"))
    return [path.relative_to(root).as_posix() for path in found if root / "tests" / "golden" not in path.parents]


@cache
def counted(name: str) -> Counter[str]:
    return count((ROOT / name).read_text(encoding="utf-8"))


def test_the_mapping_names_each_old_file_and_only_files_that_are_there() -> None:
    assert sorted(NEW_FILES) == sorted(OLD_FILES)
    missing = {new for files in NEW_FILES.values() for new in files} - set(python_files())
    assert not missing
    assert all(NEW_FILES.values())


@pytest.mark.parametrize("kind", KINDS)
def test_the_total_has_not_fallen(kind: str) -> None:
    assert sum(counted(name)[kind] for name in python_files()) >= BASELINE["total"][kind]


@pytest.mark.parametrize("kind", KINDS)
def test_no_old_file_has_lost_any(kind: str) -> None:
    """Files that are merged into one must be there together: what one gains makes up for no loss of another's."""
    fallen = {}
    for group in groups():
        before = sum(OLD_FILES[old][kind] for old in group)
        now = sum(counted(new)[kind] for new in sorted({new for old in group for new in NEW_FILES[old]}))
        if now < before:
            fallen[", ".join(group)] = (before, now)
    assert not fallen


def groups() -> list[list[str]]:
    """The old files, those together that share a new file: a count there is no one's alone."""
    found: list[list[str]] = []
    for old, files in NEW_FILES.items():
        sharing = [group for group in found if any(set(files) & set(NEW_FILES[member]) for member in group)]
        found = [group for group in found if group not in sharing]
        found.append([*(member for group in sharing for member in group), old])
    return found


def test_what_is_counted() -> None:
    source = """
async def test_one():
    assert True
    with pytest.raises(ValueError):
        assert helper()

def helper():
    assert 1

class TestTwo:
    def test_two(self): ...
"""
    assert count(source) == {"functions": 2, "assertions": 4}
