"""The dispatcher's classes of requests, made from the routes of a configuration: one for each route and service of it.

`RequestClasses` owns the classes that the dispatcher knows. Of hundreds of routes only some are asked for: the
dispatcher learns of a class when its first request comes.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasbeam.data_plane.requests import request_class_name
from canvasbeam.data_plane.routes import Configuration, Route
from canvasbeam.dispatch.events import ClassesChanged
from canvasbeam.dispatch.settings import Effect, RequestClass

LOWEST_PRIORITY = 9  # of a route; the dispatcher counts the other way, with 0 as the lowest
LATE_ANSWER_VALUE = 0.3  # of an answer after the latency target, where one in time has 1


def request_class_of(route: Route, service: str) -> RequestClass:
    """Return the class for the requests of a route to one of its services."""
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
    """A class, and where it comes from: the key of its route, and the service."""

    host: str
    prefix: str
    service: str
    request_class: RequestClass


class RequestClasses:
    """The classes of the routes that were asked for, by name."""

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._known: dict[str, _KnownClass] = {}

    def change_configuration(self, configuration: Configuration) -> ClassesChanged:
        """Put another configuration in force: classes change with their routes, or are removed with them."""
        self._configuration = configuration
        found = {name: self._find(name, known.host, known.prefix, known.service) for name, known in self._known.items()}
        self._known = {name: known for name, known in found.items() if known is not None}
        return self.as_event()

    def admit(self, route: Route, service: str) -> bool:
        """Return whether the configuration in force has the route and service; their class is known from then on."""
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
        """Return the event that names all classes, and the kinds of workers that they ask for, to the dispatcher."""
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
