"""Check the rules between the parts of a configuration whose structure `configuration_schema` has checked.

Pure and deterministic: every replica gets the same result.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Iterator, Mapping
from typing import TypeVar

from canvasbeam.control_plane.json_documents import JsonValue
from canvasbeam.errors import Failure, ResultCode

Configuration = Mapping[str, JsonValue]
Route = Mapping[str, JsonValue]
Value = TypeVar("Value", bound=Hashable)

TENANT_KEY_FIELDS = ("key", "api_key", "keys", "api_keys")


def check_rules(configuration: Configuration) -> Failure | None:
    """Return the failure of the first rule that a configuration breaks, or None."""
    for rule in _RULES:
        failure = rule(configuration)
        if failure is not None:
            return failure
    return None


def _check_unique_names(configuration: Configuration) -> Failure | None:
    for field, items in configuration.items():
        if not isinstance(items, list):
            continue
        duplicate = _first_duplicate(item["name"] for item in items if _has_name(item))
        if duplicate is not None:
            return Failure(ResultCode.CONFIG_DUPLICATE_NAME, f"{field}: the name {duplicate!r} stands twice")
    return None


def _check_unique_tenant_keys(configuration: Configuration) -> Failure | None:
    keys = (key for tenant in configuration.get("tenants", ()) for key in sorted(_api_keys(tenant)))
    duplicate = _first_duplicate(keys)
    if duplicate is None:
        return None
    return Failure(ResultCode.CONFIG_DUPLICATE_NAME, "tenants: two tenants have the same key")


def _check_unique_routes(configuration: Configuration) -> Failure | None:
    duplicate = _first_duplicate((route["host"].lower(), route["prefix"]) for route in configuration["routes"])
    if duplicate is None:
        return None
    host, prefix = duplicate
    return Failure(ResultCode.CONFIG_DUPLICATE_ROUTE, f"two routes have the host {host!r} and the prefix {prefix!r}")


def _check_known_services(configuration: Configuration) -> Failure | None:
    known = {service["name"] for service in configuration["services"]}
    for route in configuration["routes"]:
        for service in _services_of(route):
            if service not in known:
                reason = f"route {route['name']!r} names the service {service!r}"
                return Failure(ResultCode.CONFIG_UNKNOWN_SERVICE, reason)
    return None


def _check_weights(configuration: Configuration) -> Failure | None:
    for route in configuration["routes"]:
        if "split" in route and sum(part["weight"] for part in route["split"]) <= 0:
            return Failure(ResultCode.CONFIG_NO_WEIGHT, f"the weights of route {route['name']!r} sum to zero")
    return None


def _check_timeouts(configuration: Configuration) -> Failure | None:
    for route in configuration["routes"]:
        if route.get("timeout_ms", 1) <= 0:
            return Failure(ResultCode.CONFIG_NO_TIMEOUT, f"the timeout of route {route['name']!r} is zero")
    return None


_RULES: tuple[Callable[[Configuration], Failure | None], ...] = (
    _check_unique_names,
    _check_unique_tenant_keys,
    _check_unique_routes,
    _check_known_services,
    _check_weights,
    _check_timeouts,
)


def _services_of(route: Route) -> Iterator[str]:
    if "service" in route:
        yield route["service"]
    for part in route.get("split", ()):
        yield part["service"]


def _has_name(item: object) -> bool:
    return isinstance(item, dict) and isinstance(item.get("name"), str)


def _api_keys(tenant: Mapping[str, JsonValue]) -> set[str]:
    """Return the API keys that identify the requests of a tenant, without duplicates."""
    keys: set[str] = set()
    for field in TENANT_KEY_FIELDS:
        value = tenant.get(field)
        if isinstance(value, str):
            keys.add(value)
        elif isinstance(value, list):
            keys.update(key for key in value if isinstance(key, str))
    return keys


def _first_duplicate(values: Iterable[Value]) -> Value | None:
    seen: set[Value] = set()
    for value in values:
        if value in seen:
            return value
        seen.add(value)
    return None
