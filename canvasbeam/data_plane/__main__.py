"""Entry point of `python3 -m canvasbeam.data_plane`, the process that serves clients."""

import gc
import sys

METRICS_OPTION = "--metrics"


def metrics_port(arguments: list[str]) -> int | None:
    """Return the port of `--metrics PORT/PATH`, as in deploy files, or None; the metrics server ignores the path."""
    if METRICS_OPTION not in arguments:
        return None
    return int(arguments[arguments.index(METRICS_OPTION) + 1].partition("/")[0])


def main() -> int:
    """Open the listeners, import the program without garbage collection (imports leave hardly any), and run it."""
    gc.disable()
    from canvasbeam.runtime.unused_imports import block_unused_imports  # noqa: PLC0415

    block_unused_imports()
    from canvasbeam.runtime.listeners import open_listeners  # noqa: PLC0415

    listeners = open_listeners(("front",))
    from canvasbeam.data_plane import program  # noqa: PLC0415

    gc.freeze()
    gc.enable()
    return program.main(listeners, metrics_port(sys.argv[1:]))


if __name__ == "__main__":
    sys.exit(main())
