"""A whole scheduler process that breaks a rule on purpose: run like `python -m canvasbeam`."""

from __future__ import annotations

import sys

from canvasbeam.__main__ import main
from canvasbeam.scheduler import program
from tests.support.lab import RunsTwice

if __name__ == "__main__":
    setattr(program, "RequestCoordinator", RunsTwice)  # noqa: B010 - mypy rightly minds a plain assignment
    sys.exit(main())
