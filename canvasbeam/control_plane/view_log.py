"""Log each new view that a member learns of."""

from __future__ import annotations

from canvasbeam.replication.views import View
from canvasbeam.runtime.logs import get_logger

log = get_logger(__name__)


class ViewLog:
    """Logs new views; owns the view of the last call, for comparison with the next view."""

    def __init__(self) -> None:
        self._view: View | None = None

    def note(self, view: View | None) -> None:
        """Log a view if the view is new; a call with the same view object costs one comparison."""
        if view is self._view:
            return
        if view is not None and view != self._view:
            replicas, witnesses = ",".join(view.replicas), ",".join(view.witnesses)
            primary = view.primary or "none"
            log.info(
                "view known epoch={} primary={} replicas={} witnesses={}",
                view.epoch.number,
                primary,
                replicas,
                witnesses,
            )
        self._view = view
