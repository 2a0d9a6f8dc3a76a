"""canvasbeam: the decisions of a dispatcher that pushes jobs to workers in priority rings."""

from canvasbeam.choice import Dispatcher

__all__ = ["Dispatcher"]
