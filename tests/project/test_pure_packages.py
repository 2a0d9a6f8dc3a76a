"""The structure of the packages: imports point down one list, and pure packages touch nothing outside the process."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2] / "canvasbeam"

# From the top to the bottom: a package may import from those below it only.
LAYERS = (
    ("cli",),
    ("simulator",),
    ("__main__",),
    ("control_plane", "data_plane", "adapter"),
    ("scheduler", "admin", "gossip"),
    ("cluster",),
    ("dispatch", "replication", "service_discovery", "storage"),
    ("distribution",),
    ("leases",),
    ("failure_detection",),
    ("item_table",),
    ("runtime",),
    ("errors", "units", "version"),
)
# The lazily imported public names of the package itself.
FACADE = "__init__"
# Starts the scheduler in service, and imports the command line only where there are arguments.
COMMAND_ENTRY = "__main__"
# What a pure package may use of the standard library. `random` is allowed for its `Random` class alone.
PURE_LIBRARY = {
    "__future__", "bisect", "collections", "dataclasses", "enum", "functools", "hashlib", "heapq", "itertools", "json",
    "math", "operator", "random", "typing", "zlib",
}  # fmt: skip
PURE_PACKAGES = (
    "dispatch", "replication", "leases", "distribution", "failure_detection", "item_table", "service_discovery",
)  # fmt: skip
PURE_MODULES = (
    "admin/maintenance.py", "runtime/change_listeners.py", "runtime/planned_shutdown.py",
    "runtime/process_incarnation.py", "simulator/lending_budgets.py", "errors.py", "units.py",
)  # fmt: skip


def package_of(path: Path) -> str:
    """The package of a module, or the name of a module that stands beside the packages."""
    return path.relative_to(ROOT).with_suffix("").parts[0]


def sources() -> list[Path]:
    return [path for path in sorted(ROOT.rglob("*.py")) if not path.stem.endswith("_pb2")]


def imported_modules(path: Path) -> set[str]:
    """The dotted names that a module imports anywhere, inside functions and under TYPE_CHECKING too."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            found |= {name.name for name in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module == "canvasbeam":
            found |= {f"canvasbeam.{name.name}" for name in node.names}
        elif isinstance(node, ast.ImportFrom):
            found.add(str(node.module))
    return found


def imported_packages(path: Path) -> set[str]:
    """The packages of this project that a module imports, without its own."""
    names = {name.split(".")[1] for name in imported_modules(path) if name.startswith("canvasbeam.")}
    return names - {package_of(path)}


def pure_sources() -> list[Path]:
    packages = [path for path in sources() if package_of(path) in PURE_PACKAGES]
    return packages + [ROOT / name for name in PURE_MODULES]


def layer_of(package: str) -> int:
    """The number of a package's layer, from 0 at the top."""
    return next(number for number, packages in enumerate(LAYERS) if package in packages)


def test_every_package_has_one_layer() -> None:
    packages = {package_of(path) for path in sources()} - {FACADE}
    named = [package for layer in LAYERS for package in layer]
    assert sorted(named) == sorted(packages)


def test_imports_point_down_the_layers() -> None:
    upward = [
        f"{path.relative_to(ROOT)} imports {package}"
        for path in sources()
        if package_of(path) not in (FACADE, COMMAND_ENTRY)
        for package in sorted(imported_packages(path))
        if layer_of(package) < layer_of(package_of(path))
    ]
    assert upward == []


@pytest.mark.parametrize("path", pure_sources(), ids=lambda path: str(path.relative_to(ROOT)))
def test_pure_code_imports_only_pure_library_parts(path: Path) -> None:
    names = {name for name in imported_modules(path) if not name.startswith("canvasbeam")}
    assert {name.split(".")[0] for name in names} - PURE_LIBRARY == set()


@pytest.mark.parametrize("path", pure_sources(), ids=lambda path: str(path.relative_to(ROOT)))
def test_pure_code_draws_chance_from_seeded_generators_only(path: Path) -> None:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    unseeded = [
        node.attr
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == "random"
        and node.attr != "Random"
    ]
    bare = [node for node in ast.walk(tree) if _is_generator_without_seed(node)]
    assert unseeded == []
    assert bare == []


@pytest.mark.parametrize("path", pure_sources(), ids=lambda path: str(path.relative_to(ROOT)))
def test_pure_code_iterates_over_no_set_literal(path: Path) -> None:
    """Sets have a hash order, which differs between processes."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    loops = [node.iter for node in ast.walk(tree) if isinstance(node, ast.For | ast.comprehension)]
    assert [loop.lineno for loop in loops if isinstance(loop, ast.Set | ast.SetComp)] == []


def _is_generator_without_seed(node: ast.AST) -> bool:
    return (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr == "Random"
        and not node.args
        and not node.keywords
    )
