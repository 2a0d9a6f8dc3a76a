"""Shows that planned ends of data-plane processes lose no request: real processes on loopback, under load.

    .venv/bin/python bench/planned_ends.py --ends 100 --systems 4

Each system has three control processes, two data-plane processes and two emulated workers, and clients that send
streams, idempotent requests and ones that may run only once. Its data-plane processes end as planned in turn, each once
the other one is ready. A line for each system says what became of the requests; the command ends with 0 only if each
was answered with 200, at the first address or at the other one after an answer or a refusal that says that nothing ran.
"""

from __future__ import annotations

import argparse
import itertools
import json
import signal
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path

from loopback_system import DATA_PLANES, NODES, Load, Release, StoryError, System

ROOT = Path(__file__).resolve().parents[1]
UNSAFE_HOST = "order.example"


def configuration() -> dict[str, object]:
    """Return the example's configuration with one service, and a route whose requests may run only once."""
    document = json.loads((ROOT / "example" / "system" / "configuration.json").read_text())
    routes = [{**route, "service": "model"} for route in document["routes"]]
    unsafe = {**routes[1], "name": "order", "host": UNSAFE_HOST, "kind": "unsafe", "retries": 1}
    return {**document, "routes": [*routes, unsafe]}


def start(system: System, release: Release) -> None:
    """Start all processes of a system, and put its configuration."""
    for node in NODES:
        system.start(node, release, is_first_start=True)
    system.start_worker(1, "z1", release)
    system.start_worker(2, "z3", release)
    system.put()
    system.await_complete()


def end_in_turn(ends: int) -> tuple[bool, str]:
    """End the data-plane processes of one system so often in all; return whether no request failed, and the figures."""
    release = Release("new", ROOT, sys.executable)
    with tempfile.TemporaryDirectory() as folder:
        system = System(Path(folder), configuration())
        began_at = time.monotonic()
        ended_s: list[float] = []
        try:
            start(system, release)
            with Load(other_hosts=("lookup.example", UNSAFE_HOST)) as load:
                for node in itertools.islice(itertools.cycle(DATA_PLANES), ends):
                    ended_s.append(system.end(node))
                    system.start(node, release)
                    system.await_complete()
        except StoryError as error:
            return False, f"{len(ended_s)} of {ends} ends, then: {error}"
        finally:
            system.stop()
        took_s = time.monotonic() - began_at
    line = f"{ends} ends, each within {max(ended_s):.1f} s, in {took_s:.0f} s; {load.figures()}"
    return not load.failed, line


def parse_arguments() -> argparse.Namespace:
    """Return the options of the command."""
    parser = argparse.ArgumentParser(description="Show that planned ends of data-plane processes lose no request.")
    parser.add_argument("--ends", type=int, default=20, help="planned ends, of all systems together")
    parser.add_argument("--systems", type=int, default=1, help="systems beside each other, each with its own load")
    return parser.parse_args()


def main() -> int:
    """Run the command; return its exit code."""
    options = parse_arguments()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    shares = [len(range(system, options.ends, options.systems)) for system in range(options.systems)]
    # A process that begins anew has addresses of its own.
    context = get_context("spawn")
    with ProcessPoolExecutor(options.systems, context, max_tasks_per_child=1) as pool:
        outcomes = list(pool.map(end_in_turn, shares))
    for has_held, line in outcomes:
        print(f"{'held  ' if has_held else 'FAILED'} {line}", flush=True)
    return 0 if all(has_held for has_held, _ in outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
