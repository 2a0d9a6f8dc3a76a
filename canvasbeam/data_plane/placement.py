"""Create the dispatchers of a data-plane node with settings, shared limits and expectations of model workers.

`Placement` owns the limits and expectations until the process ends, so both survive the replacement of a failed
dispatcher. `Placement` makes no decision about requests.
"""

from __future__ import annotations

import random

from canvasbeam.cluster.node import ClusterNode
from canvasbeam.data_plane.dispatcher_settings import dispatcher_settings, engine_expectations, engines
from canvasbeam.data_plane.placement_notices import PlacementNotices
from canvasbeam.data_plane.router import monotonic_ns
from canvasbeam.data_plane.routes import Configuration
from canvasbeam.data_plane.shared_limits import SharedLimits, make_limits
from canvasbeam.dispatch.dispatcher import Dispatcher
from canvasbeam.runtime.settings import ProcessSettings


class Placement:
    """The limits and expectations that the dispatchers of one process share."""

    def __init__(self, settings: ProcessSettings, cluster: ClusterNode) -> None:
        self._limits = make_limits(settings, monotonic_ns())
        self._shared_limits = SharedLimits(self._limits, monotonic_ns)
        cluster.add_members_listener(self._shared_limits.change_members)
        self.expectations = engine_expectations(settings)
        self._notices = PlacementNotices(cluster, self.expectations, settings.node, settings.region)

    def make_dispatcher(self, settings: ProcessSettings) -> Dispatcher:
        """Return a new dispatcher with a random seed, and without request classes and workers.

        It replaces a dispatcher that failed, if there was one; that one's attempts would never end.
        """
        self.expectations.forget_attempts(monotonic_ns())
        seed = random.randrange(1 << 30)
        return Dispatcher(dispatcher_settings(settings), seed, self._limits, self.expectations)

    def change_warm_up_rates(self, configuration: Configuration) -> None:
        """Apply the warm-up rates of the services of the new active configuration."""
        self._shared_limits.change_configuration(configuration)

    def change_engines(self, configuration: Configuration) -> None:
        """Apply the engine capacities of the services of the new active configuration."""
        self.expectations.set_engines(engines(configuration.services))
