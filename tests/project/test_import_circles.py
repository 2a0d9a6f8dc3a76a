"""No module needs itself by way of others, not even for its types: each can be read after those that it imports."""

from __future__ import annotations

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]


def modules(root: Path) -> dict[str, Path]:
    """The package's modules by their dotted names."""
    found = {}
    for path in sorted(root.joinpath("canvasbeam").rglob("*.py")):
        found[".".join(path.relative_to(root).with_suffix("").parts).removesuffix(".__init__")] = path
    return found


def imported(path: Path, known: dict[str, Path]) -> set[str]:
    """The package's modules that one names anywhere, in functions and under TYPE_CHECKING too."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names |= {name.name for name in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            inner = {f"{node.module}.{name.name}" for name in node.names}
            names |= (inner & known.keys()) or {node.module}
    return names & known.keys()


def circle(root: Path) -> list[str]:
    """The modules of one circle; none where there is none."""
    known = modules(root)
    graph = {name: imported(path, known) - {name} for name, path in known.items()}
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        return list(error.args[1])
    return []


def test_no_circle_of_imports() -> None:
    assert len(modules(ROOT)) > 200
    assert circle(ROOT) == []


@pytest.mark.parametrize("way", ["import canvasbeam.one", "def late():\n    from canvasbeam.one import ONE"])
def test_a_circle_is_seen(tmp_path: Path, way: str) -> None:
    folder = tmp_path / "canvasbeam"
    folder.mkdir()
    (folder / "one.py").write_text("from canvasbeam import two\n")
    (folder / "two.py").write_text(f"{way}\n")
    assert set(circle(tmp_path)) == {"canvasbeam.one", "canvasbeam.two"}
