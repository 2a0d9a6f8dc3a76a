"""canvasbeam: a load-balancing dispatcher that pushes jobs to workers in priority rings.

The package imports `Dispatcher` on first use, because a control-plane process starts faster without the import.
"""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from canvasbeam.dispatch.dispatcher import Dispatcher

__all__ = ["Dispatcher"]


def __getattr__(name: str) -> Any:
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from canvasbeam.dispatch import dispatcher  # noqa: PLC0415

    return getattr(dispatcher, name)
