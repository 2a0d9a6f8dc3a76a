"""Check the structure of an operator's configuration and patch by JSON schemas (draft 2020-12).

Unknown fields are allowed in every object, because a later release of the operator's tools may send more fields. Rules
that relate fields to each other are in `configuration_rules`. `jsonschema` is imported at the first check, because the
library takes more memory than the rest of this package.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import cache
from typing import TYPE_CHECKING

from canvasbeam.control_plane.json_documents import JsonValue
from canvasbeam.errors import Failure, ResultCode

if TYPE_CHECKING:
    from jsonschema.protocols import Validator

Schema = Mapping[str, JsonValue]

MAX_GENERATION = 2**63 - 1

_NAME: Schema = {"type": "string", "minLength": 1}
_GENERATION: Schema = {"type": "integer", "minimum": 0, "maximum": MAX_GENERATION}
_QUANTITY: Schema = {"type": "number", "minimum": 0}
_NAMED_ITEM: Schema = {"type": "object", "required": ["name"], "properties": {"name": _NAME}}

_WEIGHTED_SERVICE: Schema = {
    "type": "object",
    "required": ["service", "weight"],
    "properties": {"service": _NAME, "weight": _QUANTITY},
}

_ROUTE: Schema = {
    "type": "object",
    "required": ["name", "host", "prefix"],
    "properties": {
        "name": _NAME,
        "host": _NAME,
        "prefix": {"type": "string", "pattern": "^/(.*/)?$"},
        "kind": {"type": "string"},
        "service": _NAME,
        "split": {"type": "array", "items": _WEIGHTED_SERVICE},
        "timeout_ms": _QUANTITY,
        "target_ms": _QUANTITY,
        "priority": {"type": "integer"},
        "retries": {"type": "integer", "minimum": 0},
        "home_regions": {"type": "array", "items": {"type": "string"}},
    },
    "anyOf": [{"required": ["service"]}, {"required": ["split"]}],
}

_LIMITS: Schema = {
    "type": "object",
    "properties": {
        "max_header_bytes": _QUANTITY,
        "max_body_bytes": _QUANTITY,
        "header_timeout_ms": _QUANTITY,
        "idle_timeout_ms": _QUANTITY,
    },
}

CONFIGURATION_SCHEMA: Schema = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    "type": "object",
    "required": ["generation", "routes", "services"],
    "properties": {
        "generation": _GENERATION,
        "routes": {"type": "array", "items": _ROUTE},
        "services": {"type": "array", "items": _NAMED_ITEM},
        "tenants": {"type": "array", "items": _NAMED_ITEM},
        "limits": _LIMITS,
    },
}

PATCH_SCHEMA: Schema = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    "type": "object",
    "required": ["generation"],
    "properties": {
        "generation": _GENERATION,
        "upsert": {"type": "object", "additionalProperties": {"type": "array", "items": _NAMED_ITEM}},
        "remove": {"type": "object", "additionalProperties": {"type": "array", "items": _NAME}},
        "limits": _LIMITS,
    },
}


def check_configuration(document: JsonValue) -> Failure | None:
    """Return the failure for the first violation of the configuration schema in a document, or None."""
    return _check(_configuration_validator(), document)


def check_patch(document: JsonValue) -> Failure | None:
    """Return the failure for the first violation of the patch schema in a document, or None."""
    return _check(_patch_validator(), document)


@cache
def _configuration_validator() -> Validator:
    return _validator(CONFIGURATION_SCHEMA)


@cache
def _patch_validator() -> Validator:
    return _validator(PATCH_SCHEMA)


def _validator(schema: Schema) -> Validator:
    from jsonschema import Draft202012Validator  # noqa: PLC0415  # imported on first use to save memory

    return Draft202012Validator(schema)


def _check(validator: Validator, document: JsonValue) -> Failure | None:
    error = next(iter(validator.iter_errors(document)), None)
    if error is None:
        return None
    return Failure(ResultCode.CONFIG_SCHEMA, f"{error.json_path}: {_shorten(error.message)}")


def _shorten(message: str, max_characters: int = 200) -> str:
    return message if len(message) <= max_characters else f"{message[:max_characters]}..."
