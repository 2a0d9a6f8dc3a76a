"""`python3 -m canvasbeam.control_plane`: the process that keeps the control state, the registry and the directory."""

import gc
import sys


def main() -> int:
    """Listen, import the program without collecting garbage, of which imports leave hardly any, and run it."""
    gc.disable()
    from canvasbeam.runtime.listeners import open_listeners  # noqa: PLC0415

    listeners = open_listeners(("control", "directory"))
    from canvasbeam.control_plane import program  # noqa: PLC0415

    gc.freeze()
    gc.enable()
    return program.main(listeners)


if __name__ == "__main__":
    sys.exit(main())
