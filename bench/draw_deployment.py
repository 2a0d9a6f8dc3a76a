"""Draws another deployment of the same kind as one that an operator's site file describes.

    .venv/bin/python bench/draw_deployment.py SITE.toml SEED FOLDER

writes FOLDER/drawn-SEED.toml, and beside it the file of examples that the site names. Other names of zones, regions,
services and classes; other numbers of workers and schedulers, speeds, memory, batches and reading speeds of engines,
sizes of shared prompts, distances and loads. Each figure is scaled by a factor within a range around the site's own,
wide enough to hold the deployments known so far. The site file itself is never changed, and the folder must not lie in
this repository. A change of policy that gains on a known deployment and loses on these was fitted to it.
"""

from __future__ import annotations

import random
import re
import shutil
import tomllib
from collections.abc import Callable
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parents[1]
LETTERS = "abcdefghijklmnopqrstuvwxyz"
# Fields, and the least and most that each is multiplied by; every place of one is scaled alike.
SCALED: dict[str, tuple[float, float]] = {
    "prefill_tokens_per_ms": (0.7, 1.2),
    "step_ms": (0.85, 1.3),
    "kv_tokens": (0.75, 1.4),
    "cross_region_ms": (0.6, 1.8),
    "cross_zone_ms": (0.6, 2.5),
    "things": (0.6, 2.5),
    "skew": (0.6, 2.0),
}
WHOLE = frozenset(("kv_tokens", "things"))
LOAD = (0.8, 1.1)
LEAST_SPEED, MOST_SPEED = 0.6, 1.25


@click.command()
@click.argument("site", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.argument("seed", type=int)
@click.argument("folder", type=click.Path(file_okay=False, path_type=Path))
def draw(site: Path, seed: int, folder: Path) -> None:
    """Write another deployment of the kind of SITE into FOLDER."""
    if folder.resolve().is_relative_to(ROOT):
        raise click.BadParameter("the folder must lie outside this repository")
    text = site.read_text(encoding="utf-8")
    drawn = drawn_site(text, random.Random(seed), seed)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"drawn-{seed}.toml").write_text(drawn, encoding="utf-8")
    examples = tomllib.loads(text).get("wire")
    if examples:
        shutil.copy(site.with_name(examples), folder / examples)


def drawn_site(text: str, chance: random.Random, seed: int) -> str:
    """Return the text of another deployment."""
    text = renamed(text, chance)
    for field, (least, most) in SCALED.items():
        text = scaled(text, field, chance.uniform(least, most), whole=field in WHOLE)
    text = scaled(text, "per_s", chance.uniform(*LOAD), whole=False)
    text = with_speeds(text, chance)
    text = with_counts(text, chance)
    tomllib.loads(text)
    return re.sub(r'^name = "[^"]*"', f'name = "drawn-{seed}"', text, count=1)


def renamed(text: str, chance: random.Random) -> str:
    """Other names for zones, regions, services and classes."""
    document = tomllib.loads(text)
    names = {zone["name"] for zone in document["zones"]} | {zone["region"] for zone in document["zones"]}
    names |= {item["name"] for item in (*document["services"], *document["classes"])}
    for name in sorted(names, key=lambda each: (-len(each), each)):
        other = "".join(chance.choices(LETTERS, k=9))
        text = re.sub(rf"(?<![\w-]){re.escape(name)}(?![\w-])", other, text)
    return text


def scaled(text: str, field: str, factor: float, *, whole: bool) -> str:
    """Every value of a field multiplied by a factor."""

    def change(found: re.Match[str]) -> str:
        value = float(found[2]) * factor
        return f"{found[1]}{max(1, round(value)) if whole else round(value, 4)}"

    return re.sub(rf"(\b{field} = )(\d+(?:\.\d+)?)", change, text)


def with_speeds(text: str, chance: random.Random) -> str:
    """Workers of unequal speed, where the site says nothing of them."""
    speeds = [round(chance.uniform(LEAST_SPEED, MOST_SPEED), 2) for _ in range(chance.randint(2, 5))]
    return text.replace("speeds = []", f"speeds = {speeds}")


def with_counts(text: str, chance: random.Random) -> str:
    """Other numbers of schedulers and of model workers in each zone; never none."""
    text = _each_line(text, 'class = "front"', lambda line: _counted(line, chance, 1, 2))
    return _each_line(text, 'model = "llm"', lambda line: _counted(line, chance, -1, 2))


def _each_line(text: str, mark: str, change: Callable[[str], str]) -> str:
    return "\n".join(change(line) if mark in line else line for line in text.split("\n"))


def _counted(line: str, chance: random.Random, least: int, most: int) -> str:
    def change(found: re.Match[str]) -> str:
        return f"count = {max(1, int(found[1]) + chance.randint(min(0, least), most))}"

    return re.sub(r"count = (\d+)", change, line)


if __name__ == "__main__":
    draw()
