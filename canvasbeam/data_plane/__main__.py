"""`python3 -m canvasbeam.data_plane`: the process that serves clients."""

import sys

from canvasbeam.data_plane.program import main

sys.exit(main())
