"""robinstream: the decisions of a dispatcher that pushes jobs to workers in priority rings."""

from robinstream.decide import Dispatcher

__all__ = ["Dispatcher"]
