"""`python3 -m canvasbeam.control_plane`: the process that keeps the control state, the registry and the directory."""

import gc
import sys


def main() -> int:
    """Import the program without collecting garbage, of which imports leave hardly any, and run it."""
    gc.disable()
    from canvasbeam.control_plane import program  # noqa: PLC0415

    gc.freeze()
    gc.enable()
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
