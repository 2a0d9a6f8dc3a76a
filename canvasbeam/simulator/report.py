"""The report of a run or of several: one HTML page that needs nothing beside it.

It owns the page round the pictures of `report_pictures.py`. It must never load anything from elsewhere, leave out a
broken rule, or show a figure that the result file does not hold.
"""

from __future__ import annotations

import html
from collections.abc import Sequence
from pathlib import Path

import msgspec

from canvasbeam.simulator import report_pictures as pictures
from canvasbeam.simulator.engine_sim import Cost
from canvasbeam.simulator.result import Result, read

STYLE = """
:root { color-scheme: light; }
body { font: 15px/1.5 system-ui, sans-serif; max-width: 1120px; margin: 2rem auto; padding: 0 1rem; color: #1c1c1c; }
h1 { margin-bottom: .2rem; } h2 { margin: 2.2rem 0 .3rem; font-size: 1.15rem; }
p.about { color: #555; margin-top: 0; }
.cards { display: flex; flex-wrap: wrap; gap: .8rem; margin: 1.2rem 0; }
.card { border: 1px solid #ddd; border-radius: 8px; padding: .5rem .9rem; min-width: 6.6rem; }
.card b { display: block; font-size: 1.5rem; font-weight: 600; } .card span { color: #666; font-size: .85rem; }
.good { border-color: #009E73; } .bad { border-color: #D55E00; background: #fff4ee; }
svg { width: 100%; height: auto; }
pre { background: #fff4ee; border: 1px solid #D55E00; padding: .8rem; overflow-x: auto; font-size: 13px; }
pre.strip { background: #f6f6f6; border-color: #ddd; line-height: 1.2; }
table { border-collapse: collapse; margin: .5rem 0; } td, th { padding: .25rem .8rem; text-align: right; }
th:first-child, td:first-child { text-align: left; } tr:nth-child(even) { background: #f6f6f6; }
"""


def _card(value: str, name: str, kind: str = "") -> str:
    return f'<div class="card {kind}"><b>{html.escape(value)}</b><span>{html.escape(name)}</span></div>'


def _cards(result: Result) -> str:
    broken = result.broken_count
    cards = [
        _card(f"{result.service:.3f}", "service"),
        _card(f"{result.worst_window:.3f}", "its worst 10 s"),
        _card(f"{result.worst_class:.3f}", "its worst class"),
        _card(f"{result.g:.3f}", "all weighed (G)"),
        _card(f"{result.crossed:.0%}", "of requests crossed zones"),
        _card(f"{result.jobs:,}", "jobs"),
        _card(str(broken), "broken rules" if broken != 1 else "broken rule", "bad" if broken else "good"),
    ]
    return f'<div class="cards">{"".join(cards)}</div>'


def _broken(result: Result) -> str:
    if not result.broken:
        return ""
    texts = "\n\n".join(f"[{rule.rule}] {rule.text}" for rule in result.broken)
    left = result.broken_count - len(result.broken)
    more = f"\n\nand {left} more" if left else ""
    return f"<h2>Broken rules</h2><pre>{html.escape(texts + more)}</pre>"


def _part(title: str, picture: str, text: str = "") -> str:
    said = f'<p class="about">{html.escape(text)}</p>' if text else ""
    return f"<h2>{html.escape(title)}</h2>{said}{picture}"


def page(several: Sequence[Result], cost: Cost | None = None) -> str:
    """Return the whole page, of one run or of several side by side."""
    parts = [*_heading(several), *_overview(several), *_notes(several), *_hearing(several)]
    parts.append(
        _part(
            "Service over time",
            pictures.service_over_time(several),
            "Worth answered in time over worth asked for, over three seconds. What goes wrong is drawn in.",
        )
    )
    parts += _latency(several)
    parts += _traffic(several)
    if cost is not None and cost.pass_us:
        text = f"Each pass of a scheduler's core: {cost.us_per_pass:g} us on average over {cost.passes:,} passes."
        parts.append(_part("Cost of deciding", pictures.decision_cost(cost), text))
    body = "\n".join(part for part in parts if part)
    return (
        f'<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f"<title>canvasbeam: {html.escape(_title(several))}</title>"
        f"<style>{STYLE}</style></head><body>{body}</body></html>\n"
    )


def _title(several: Sequence[Result]) -> str:
    return several[0].scenario if len(several) == 1 else f"{len(several)} runs"


def _heading(several: Sequence[Result]) -> list[str]:
    first = several[0]
    about = first.about if len(several) == 1 else ", ".join(dict.fromkeys(run.scenario for run in several))
    facts = f"{first.workers} workers, {first.schedulers} schedulers"
    if len(several) == 1:
        facts += f", engine {first.engine}, seed {first.seed}"
    title = html.escape(_title(several))
    return [f"<h1>{title}</h1>", f'<p class="about">{html.escape(about)}. {html.escape(facts)}.</p>']


def _overview(several: Sequence[Result]) -> list[str]:
    """Return the figures of one run as cards, of several as a table, and the broken rules."""
    overview = _cards(several[0]) if len(several) == 1 else _table(several)
    return [overview, *(_broken(run) for run in several)]


def _table(several: Sequence[Result]) -> str:
    rows = "".join(
        f"<tr><td>{html.escape(run.scenario)}</td><td>{run.engine}</td><td>{run.seed}</td>"
        f"<td>{run.service:.4f}</td><td>{run.worst_window:.3f}</td><td>{run.g:.4f}</td>"
        f"<td>{run.broken_count}</td></tr>"
        for run in several
    )
    names = ("scenario", "engine", "seed", "service", "worst 10 s", "G", "broken")
    head = "".join(f"<th>{name}</th>" for name in names)
    return f"<table><tr>{head}</tr>{rows}</table>"


def _notes(several: Sequence[Result]) -> list[str]:
    notes = [f"{at:.1f} s: {text}" for run in several for at, text in run.marks]
    return [f"<pre>{html.escape(chr(10).join(notes))}</pre>"] if notes else []


def _hearing(several: Sequence[Result]) -> list[str]:
    """Which instances could hear each other, where schedulers know each other."""
    legend = (
        "A sign for each second: # all others, + at least half of them, . fewer, _ nobody, x the process does not run."
    )
    drawn = [html.escape(chr(10).join(run.strip)) for run in several if run.strip]
    return [_part("Who could hear whom", f'<pre class="strip">{item}</pre>', legend) for item in drawn]


def _drawn_alone(several: Sequence[Result]) -> list[tuple[str, Result]]:
    """Return the runs that get pictures of their own, with what tells them apart; none where there are many."""
    if len(several) == 1:
        return [("", several[0])]
    return [(f": {run.scenario}, {run.engine}", run) for run in several] if len(several) == 2 else []


def _latency(several: Sequence[Result]) -> list[str]:
    parts = []
    for suffix, each in _drawn_alone(several):
        parts.append(_part(f"What became of the jobs{suffix}", pictures.ends_over_time(each)))
        parts.append(_part(f"Latency over time{suffix}", pictures.latency_over_time(each)))
    return [*parts, _part("Latency by class", pictures.latency_by_class(several))]


def _traffic(several: Sequence[Result]) -> list[str]:
    pale = "The pale part came from other zones' schedulers."
    return [_part(f"Traffic by worker{suffix}", pictures.traffic(each), pale) for suffix, each in _drawn_alone(several)]


def write(paths: Sequence[Path], to: Path) -> None:
    """Write the page of these result files."""
    several = [read(path) for path in paths]
    cost = None
    beside = paths[0].with_suffix(".cost")
    if len(paths) == 1 and beside.exists():
        cost = msgspec.json.decode(beside.read_bytes(), type=Cost)
    to.write_text(page(several, cost), encoding="utf-8")
