"""Former names of `canvasbeam.decide.shutdown`, for importers that have not moved yet."""

from canvasbeam.decide.shutdown import Phase
from canvasbeam.decide.shutdown import PlannedShutdown as Ending
from canvasbeam.decide.shutdown import ShutdownTimes as Terms

__all__ = ["Ending", "Phase", "Terms"]
