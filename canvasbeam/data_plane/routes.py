"""Routes and services of a configuration as typed values, and the choice of the route for a request."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from canvasbeam.units import MILLISECOND

DEFAULT_TIMEOUT_MS = 5000


class RouteKind(Enum):
    """What may be done with the requests of a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services among which a route's requests are split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route of the configuration."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ns: int
    target_ns: int
    priority: int
    split: tuple[WeightedService, ...]
    retries: int = 1
    sticky: bool = False
    resume: bool = False
    gap_aim_ns: int = 0
    home_regions: tuple[str, ...] = ()

    @property
    def streams(self) -> bool:
        """Whether an answer is a series of events."""
        return self.kind is RouteKind.STREAMING

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.streams and self.resume)

    def choose_service(self, generator: random.Random) -> str:
        """One of the services, by their weights."""
        if len(self.split) == 1:
            return self.split[0].service
        weights = [each.weight for each in self.split]
        return generator.choices(self.split, weights)[0].service


@dataclass(frozen=True, slots=True)
class Service:
    """What the configuration tells of the workers of one service."""

    name: str
    health_check: str = "/healthz"
    max_conns: int = 64
    cold_ns: int = 0
    warmup_per_s: float = 0.0
    engine: Mapping[str, Any] | None = None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send and how long it may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


@dataclass(frozen=True, slots=True)
class Configuration:
    """One whole configuration, ready for look-ups."""

    generation: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: ClientLimits = ClientLimits()
    _by_host: Mapping[str, Mapping[str, Route]] = field(default_factory=dict)

    def find_route(self, host: str, path: str) -> Route | None:
        """The route of this host with the longest prefix that begins the path."""
        prefixes = self._by_host.get(host)
        end = path.rfind("/")
        while prefixes and end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def parse_configuration(document: Mapping[str, Any]) -> Configuration:
    """Read a configuration that the control plane has validated."""
    routes = tuple(_parse_route(each) for each in document.get("routes", ()))
    services = {each["name"]: _parse_service(each) for each in document.get("services", ())}
    limits = _parse_limits(document.get("limits") or {})
    return Configuration(int(document["generation"]), routes, services, limits, _index_by_host(routes))


def _index_by_host(routes: Iterable[Route]) -> dict[str, dict[str, Route]]:
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    return by_host


def _parse_route(document: Mapping[str, Any]) -> Route:
    timeout_ms = document.get("timeout_ms", DEFAULT_TIMEOUT_MS)
    return Route(
        name=document["name"],
        host=str(document["host"]).lower(),
        prefix=document["prefix"],
        kind=_parse_kind(document.get("kind")),
        timeout_ns=round(timeout_ms * MILLISECOND),
        target_ns=round(document.get("target_ms", timeout_ms) * MILLISECOND),
        priority=int(document.get("priority", 0)),
        split=_parse_split(document),
        retries=max(1, int(document.get("retries", 1))),
        sticky=bool(document.get("sticky")),
        resume=bool(document.get("resume")),
        gap_aim_ns=round(document.get("gap_aim_ms", 0) * MILLISECOND),
        home_regions=tuple(document.get("home_regions") or ()),
    )


def _parse_kind(text: Any) -> RouteKind:
    """A kind that is not known is treated as the one with the least freedom."""
    try:
        return RouteKind(text)
    except ValueError:
        return RouteKind.UNSAFE


def _parse_split(document: Mapping[str, Any]) -> tuple[WeightedService, ...]:
    parts = document.get("split")
    if not parts:
        return (WeightedService(document["service"], 1.0),)
    weighted = (WeightedService(each["service"], float(each["weight"])) for each in parts)
    return tuple(each for each in weighted if each.weight > 0)


def _parse_service(document: Mapping[str, Any]) -> Service:
    return Service(
        name=document["name"],
        health_check=document.get("health_check") or "/healthz",
        max_conns=int(document.get("max_conns", 64)),
        cold_ns=round(document.get("cold_s", 0.0) * 1000 * MILLISECOND),
        warmup_per_s=float(document.get("warmup_per_s", 0.0)),
        engine=document.get("engine"),
    )


def _parse_limits(document: Mapping[str, Any]) -> ClientLimits:
    default = ClientLimits()
    return ClientLimits(
        max_header_bytes=int(document.get("max_header_bytes", default.max_header_bytes)),
        max_body_bytes=int(document.get("max_body_bytes", default.max_body_bytes)),
        header_timeout_ms=float(document.get("header_timeout_ms", default.header_timeout_ms)),
        idle_timeout_ms=float(document.get("idle_timeout_ms", default.idle_timeout_ms)),
    )
