"""The table of result codes, as `docs/result-codes.md` has it and as JSON."""

from __future__ import annotations

from canvasbeam.errors import ResultCode

CODES_PER_GROUP = 100
GROUP_TITLES = {
    0: "Success",
    1: "Settings and start",
    2: "Orders of the operator",
    3: "Replication",
    4: "Storage",
    5: "Messages between nodes",
    6: "Workers",
    7: "Requests of clients",
}
HEADING = """\
# Result codes

Logs, answers and command-line output carry these numbers. A number keeps its meaning for good; new codes are added at
the end of their group. This page is generated from `canvasbeam/errors.py`: `make result-codes`.
"""


def markdown_page() -> str:
    """Return the whole page `docs/result-codes.md`."""
    return "\n".join([HEADING, *(_group_table(group, title) for group, title in GROUP_TITLES.items())])


def records() -> list[dict[str, str | int]]:
    """Return each code as a JSON object."""
    return [{"code": int(code), "name": code.name.lower(), "meaning": code.meaning} for code in ResultCode]


def text_lines() -> list[str]:
    """Return each code as a line for a terminal."""
    width = max(len(code.name) for code in ResultCode)
    return [f"{int(code):3}  {code.name.lower():{width}}  {code.meaning}" for code in ResultCode]


def _group_table(group: int, title: str) -> str:
    """Return the section of one group: the codes with this number of hundreds."""
    rows = [
        f"| {int(code)} | `{code.name.lower()}` | {code.meaning} |"
        for code in ResultCode
        if code // CODES_PER_GROUP == group
    ]
    return "\n".join([f"## {title}", "", "| code | name | meaning |", "| --- | --- | --- |", *rows, ""])
