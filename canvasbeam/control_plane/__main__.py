"""Run the control process (control state, registry and directory): `python3 -m canvasbeam.control_plane`.

This module imports only what `open_listeners` needs, so that the ports listen before the program is imported.
"""

import gc
import sys


def main() -> int:
    """Open the listeners, import the program, and run the program.

    Garbage collection is disabled during the imports, because imports create hardly any garbage.
    """
    gc.disable()
    from canvasbeam.runtime.listeners import open_listeners  # noqa: PLC0415  # imported after gc.disable()

    listeners = open_listeners(("control", "directory"))
    from canvasbeam.control_plane import program  # noqa: PLC0415  # imported after the ports listen

    gc.freeze()
    gc.enable()
    return program.main(listeners)


if __name__ == "__main__":
    sys.exit(main())
