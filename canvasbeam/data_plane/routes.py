"""Routes and services of a configuration as typed values, and the choice of the route for a request.

`canvasbeam.item_table.configuration_fields` maps the keys of configuration files (`retries`, `target_ms`, `gap_aim_ms`,
`max_conns`) to the names in the code. The control plane has validated the configurations by the same fields. A route is
parsed at its first use, and the parsed route is reused while its entry is unchanged.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from canvasbeam.item_table import configuration_fields as fields
from canvasbeam.item_table.configuration_document import (
    HEADER_KEY,
    ROUTES,
    SERVICES,
    keys_of,
    read_entry,
    route_key,
)
from canvasbeam.item_table.document import Document

GOLDEN_RATIO = 0.6180339887498949


class RouteKind(Enum):
    """The kind of a route, which decides on retries and streaming. The values are those of `kind` in configurations."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services among which the requests of a route are split, with its relative weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route of the configuration.

    `latency_target_ns` is the target from the arrival of a request to its answer or the first event of its stream,
    `event_gap_target_ns` the target between two events of a stream (0: none). `max_attempts` counts all attempts at
    workers, and is at least 1. A greater `priority` is less urgent.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ns: int
    latency_target_ns: int
    priority: int
    split: tuple[WeightedService, ...]
    max_attempts: int = 1
    resume: bool = False
    event_gap_target_ns: int = 0
    home_regions: tuple[str, ...] = ()

    @property
    def streams(self) -> bool:
        """True if the answers of the route are streams of events."""
        return self.kind is RouteKind.STREAMING

    @property
    def idempotent(self) -> bool:
        """True if a request of the route may run more than once."""
        return self.kind is RouteKind.SAFE or (self.streams and self.resume)

    def service_at(self, point: float) -> str:
        """Return the service at `point`; the services divide the interval [0, 1) in proportion to their weights."""
        remaining = point * sum(part.weight for part in self.split)
        for part in self.split:
            remaining -= part.weight
            if remaining < 0:
                return part.service
        return self.split[-1].service


class SplitSequence:
    """Chooses a service for each request by the weights of its route; the shares are also even for few requests.

    The points of a route's requests are an additive recurrence with the golden ratio, a low-discrepancy sequence
    (Kuipers, Niederreiter, "Uniform Distribution of Sequences", 1974, chapter 2.3). Each process starts at a random
    point, so that the requests of all processes together follow the weights as well.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._points: dict[tuple[str, str], float] = {}

    def next_service(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.split) == 1:
            return route.split[0].service
        key = (route.host, route.prefix)
        previous = self._points.get(key)
        point = self._random.random() if previous is None else (previous + GOLDEN_RATIO) % 1.0
        self._points[key] = point
        return route.service_at(point)


@dataclass(frozen=True, slots=True)
class Service:
    """The settings of the configuration for the workers of one service."""

    name: str
    health_check: str = "/healthz"
    max_connections: int = 64
    warmup_per_s: float = 0.0
    kv_cache_tokens: int = 0  # size of the KV cache of each worker that runs a language model; 0: none


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size of a client's request, and on the time that the client may take to send the request."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class Configuration:
    """One complete configuration, with lookup of routes.

    A route is parsed when the first request needs it, because requests use only a few of hundreds of routes. The routes
    parsed from unchanged entries are taken over from the previous configuration, so the cost of adopting a
    configuration depends on the number of changed routes.
    """

    def __init__(self, document: Document, previous: Configuration | None = None) -> None:
        header = read_entry(document, HEADER_KEY) or {}
        self.generation = int(header["generation"])
        self.limits = _parse_limits(header.get("limits") or {})
        self.services = _parse_services(document)
        self._document = document
        self._routes: dict[str, Route] = {}
        if previous is not None:
            self._reuse_routes(previous)

    @property
    def routes(self) -> tuple[Route, ...]:
        """All routes of the configuration."""
        keys = keys_of(self._document, ROUTES)
        return tuple(route for route in map(self._route, keys) if route is not None)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of this host with the longest prefix of the path, or None; prefixes end with `/`."""
        end = path.rfind("/")
        while end >= 0:
            route = self.route_at(host, path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def route_at(self, host: str, prefix: str) -> Route | None:
        """Return the route with exactly this host and prefix, or None."""
        return self._route(route_key(host, prefix))

    def _route(self, key: str) -> Route | None:
        route = self._routes.get(key)
        if route is None:
            item = read_entry(self._document, key)
            if item is not None:
                route = self._routes[key] = _parse_route(item)
        return route

    def _reuse_routes(self, previous: Configuration) -> None:
        """Take over the parsed routes of the previous configuration whose entries are unchanged."""
        old, new = previous._document.entries, self._document.entries
        self._routes = {key: route for key, route in previous._routes.items() if new.get(key) == old.get(key)}


def _parse_services(document: Document) -> dict[str, Service]:
    items = (read_entry(document, key) for key in keys_of(document, SERVICES))
    return {item["name"]: _parse_service(item) for item in items if item is not None}


def _parse_route(document: Mapping[str, Any]) -> Route:
    timeout_ns = fields.TIMEOUT.read_milliseconds(document)
    has_target = fields.LATENCY_TARGET.key in document
    return Route(
        name=document["name"],
        host=str(document["host"]).lower(),
        prefix=document["prefix"],
        kind=_parse_kind(document.get("kind")),
        timeout_ns=timeout_ns,
        latency_target_ns=fields.LATENCY_TARGET.read_milliseconds(document) if has_target else timeout_ns,
        priority=fields.PRIORITY.read_whole(document),
        split=_parse_split(document),
        max_attempts=max(1, fields.ATTEMPTS.read_whole(document)),
        resume=fields.RESUME.read(document),
        event_gap_target_ns=fields.EVENT_GAP_TARGET.read_milliseconds(document),
        home_regions=tuple(document.get("home_regions") or ()),
    )


def _parse_kind(text: object) -> RouteKind:
    """Return the route kind of this name; an unknown name gives `UNSAFE`, the most restrictive kind."""
    try:
        return RouteKind(text)
    except ValueError:
        return RouteKind.UNSAFE


def _parse_split(document: Mapping[str, Any]) -> tuple[WeightedService, ...]:
    parts = document.get("split")
    if not parts:
        return (WeightedService(document["service"], 1.0),)
    weighted = (WeightedService(part["service"], fields.WEIGHT.read(part)) for part in parts)
    return tuple(part for part in weighted if part.weight > 0)


def _parse_service(document: Mapping[str, Any]) -> Service:
    return Service(
        name=document["name"],
        health_check=fields.HEALTH_CHECK.read(document),
        max_connections=fields.MAX_CONNECTIONS.read_whole(document),
        warmup_per_s=fields.WARM_UP_RATE.read(document),
        kv_cache_tokens=_parse_kv_cache_tokens(document.get("engine")),
    )


def _parse_kv_cache_tokens(engine: object) -> int:  # any JSON value
    return fields.KV_CACHE_TOKENS.read_whole(engine) if isinstance(engine, Mapping) else 0


def _parse_limits(document: Mapping[str, Any]) -> ClientLimits:
    return ClientLimits(
        max_header_bytes=fields.MAX_HEADER_BYTES.read_whole(document),
        max_body_bytes=fields.MAX_BODY_BYTES.read_whole(document),
        header_timeout_ms=fields.HEADER_TIMEOUT.read(document),
        idle_timeout_ms=fields.IDLE_TIMEOUT.read(document),
    )
