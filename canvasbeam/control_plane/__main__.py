"""`python3 -m canvasbeam.control_plane`: the process that keeps the control state, the registry and the directory."""

import sys

from canvasbeam.control_plane.program import main

sys.exit(main())
