"""Run the scheduler with the configuration in the environment variables and `LB_CONFIG`.

With any command-line argument, run the command-line interface of canvasbeam instead.
"""

from __future__ import annotations

import logging
import os
import sys

from canvasbeam.dispatch.settings_json import plain_report_names, read_settings
from canvasbeam.scheduler.configuration import CONFIGURATION_ERRORS, read_configuration, read_peers
from canvasbeam.scheduler.limits import Limits
from canvasbeam.scheduler.process_signals import Signals
from canvasbeam.scheduler.program import Scheduler


def main() -> int:
    """Run the scheduler to its end; return the exit code.

    The exit code is 1, after one line on standard error, if the configuration is invalid or a socket operation fails.
    """
    signals = Signals.catch()
    logging.basicConfig(format="%(asctime)s %(levelname)s %(name)s: %(message)s", level=logging.INFO)
    try:
        configuration = read_configuration(os.environ)
        settings, names = read_settings(configuration.options)
        limits = Limits.of(settings, configuration.sockets, configuration.memory_mb)
        peers = read_peers(configuration, settings)
    except CONFIGURATION_ERRORS as error:
        print(f"canvasbeam: bad configuration: {error}", file=sys.stderr)
        return 1
    try:
        Scheduler(configuration, settings, limits, plain_report_names(names), signals, peers=peers).run()
    except OSError as error:
        print(f"canvasbeam: cannot listen or serve: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    if len(sys.argv) > 1:
        # Imported only if there is an argument, because the scheduler must not load the libraries of the command line.
        from canvasbeam.cli import main as command_line

        command_line()
    sys.exit(main())
