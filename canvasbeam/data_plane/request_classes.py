"""The request classes of the dispatcher, built from a configuration: one class per route and service of that route.

`RequestClasses` owns the classes that are registered with the dispatcher. A class is registered when its first request
arrives, because only some of the hundreds of routes of a configuration receive requests.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasbeam.data_plane.requests import request_class_name
from canvasbeam.data_plane.routes import Configuration, Route
from canvasbeam.dispatch.events import ClassesChanged
from canvasbeam.dispatch.settings import Effect, RequestClass

LOWEST_PRIORITY = 9  # least urgent priority of a route; in the dispatcher's opposite order 0 is the least urgent
LATE_ANSWER_VALUE = 0.3  # value of an answer after the latency target; an answer in time has 1


def request_class_of(route: Route, service: str) -> RequestClass:
    """Return the dispatcher's class for the requests of a route to one of its services."""
    return RequestClass(
        name=request_class_name(route.name, service),
        latency_target_ns=max(1, route.latency_target_ns),
        deadline_ns=max(1, route.timeout_ns),
        late_value=LATE_ANSWER_VALUE,
        effect=Effect.SAFE if route.idempotent else Effect.UNSAFE,
        streams=route.streams,
        kind=service,
        priority=max(0, LOWEST_PRIORITY - route.priority),
        max_attempts=route.max_attempts,
        homes=route.home_regions,
    )


@dataclass(frozen=True, slots=True)
class _KnownClass:
    """A registered class, with the key of its route (host and prefix) and its service."""

    host: str
    prefix: str
    service: str
    request_class: RequestClass


class RequestClasses:
    """The registered classes by name: those of the routes that have received requests."""

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._known: dict[str, _KnownClass] = {}

    def change_configuration(self, configuration: Configuration) -> ClassesChanged:
        """Replace the configuration; update the classes of changed routes, and remove the classes of removed routes."""
        self._configuration = configuration
        found = {name: self._find(name, known.host, known.prefix, known.service) for name, known in self._known.items()}
        self._known = {name: known for name, known in found.items() if known is not None}
        return self.as_event()

    def admit(self, route: Route, service: str) -> bool:
        """Register the class of a route and service; return False if the configuration does not contain both."""
        name = request_class_name(route.name, service)
        if name in self._known:
            return True
        known = self._find(name, route.host, route.prefix, service)
        if known is None:
            return False
        self._known[name] = known
        return True

    def __len__(self) -> int:
        return len(self._known)

    def as_event(self) -> ClassesChanged:
        """Return the dispatcher event with all registered classes and the kinds of workers of the configuration."""
        classes = tuple(known.request_class for known in self._known.values())
        services = self._configuration.services if self._configuration is not None else ()
        kinds = {*services, *(request_class.kind for request_class in classes if request_class.kind is not None)}
        return ClassesChanged(classes, tuple(sorted(kinds)))

    def _find(self, name: str, host: str, prefix: str, service: str) -> _KnownClass | None:
        configuration = self._configuration
        route = configuration.route_at(host, prefix) if configuration is not None else None
        if route is None or all(part.service != service for part in route.split):
            return None
        found = request_class_of(route, service)
        return _KnownClass(host, prefix, service, found) if found.name == name else None
