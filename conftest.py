"""Known-red tests: they run, their failures do not end the run, and they are printed.

`KNOWN-RED.txt` names tests that fail for a real fault that is not mended yet, one a line: `test id, cause, issue`. A
test that is not named there fails as ever. A line that names no collected test, or gives no cause or issue, is an error
wherever the file of the test is collected.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

LIST_NAME = "KNOWN-RED.txt"
COMMENT = "#"


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One line of the list."""

    test_id: str
    cause: str
    issue: str

    @property
    def file(self) -> str:
        """The test file, as pytest names it."""
        return self.test_id.partition("::")[0]


def read_known_red(path: Path) -> list[KnownRed]:
    """Return the entries of the list, none where there is no file; a line that is not whole is an error."""
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines()]
    return [_parse(path, line) for line in lines if line and not line.startswith(COMMENT)]


def _parse(path: Path, line: str) -> KnownRed:
    test_id, _, rest = line.partition(", ")
    cause, _, issue = rest.rpartition(", ")
    if "::" not in test_id or not cause.strip() or not issue.strip():
        raise pytest.UsageError(f"{path.name}: {line!r} is not `test id, cause, issue`")
    return KnownRed(test_id, cause.strip(), issue.strip())


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the named tests, which run like the others; `-k` and `-m` have not taken any away yet."""
    entries = read_known_red(config.rootpath / LIST_NAME)
    by_id = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    picks_tests = any("::" in argument for argument in config.args)
    for entry in entries:
        item = by_id.get(entry.test_id)
        if item is not None:
            item.add_marker(pytest.mark.xfail(reason=f"known red: {entry.cause}, {entry.issue}", strict=False))
        elif not (config.rootpath / entry.file).exists() or (entry.file in files and not picks_tests):
            _end_collection(config, f"{LIST_NAME}: there is no test {entry.test_id}")


def _end_collection(config: pytest.Config, complaint: str) -> None:
    """End the run; the worker of a run in several processes has its main process do so, which prints the complaint."""
    if not hasattr(config, "workerinput"):
        raise pytest.UsageError(complaint)
    config.hook.pytest_collectreport(report=pytest.CollectReport(LIST_NAME, "failed", complaint, []))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print each known-red test that ran, and what became of it."""
    entries = {entry.test_id: entry for entry in read_known_red(config.rootpath / LIST_NAME)}
    outcomes = {
        report.nodeid: outcome
        for outcome in ("xfailed", "xpassed")
        for report in terminalreporter.stats.get(outcome, [])
        if report.nodeid in entries
    }
    if not outcomes:
        return
    terminalreporter.section("known red")
    for test_id, outcome in outcomes.items():
        entry = entries[test_id]
        state = "fails" if outcome == "xfailed" else "PASSES: take it off the list"
        terminalreporter.line(f"{test_id} {state} ({entry.cause}, {entry.issue})")
