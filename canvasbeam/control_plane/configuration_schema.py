"""Check the structure of an operator's configuration and patch by JSON schemas (draft 2020-12).

The schemas of the fields that a program reads come from `canvasbeam.item_table.configuration_fields`, by which the
readers read them: nothing may be accepted here that a reader cannot read. Unknown fields are allowed in every object,
because a later release of the operator's tools may send more fields. Rules that relate fields to each other are in
`configuration_rules`. `jsonschema` is imported at the first check, because the
library takes more memory than the rest of this package.
"""

from __future__ import annotations

from functools import cache
from typing import TYPE_CHECKING

from canvasbeam.control_plane.json_documents import JsonValue
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.item_table import configuration_fields as fields
from canvasbeam.item_table.configuration_fields import Schema, properties

if TYPE_CHECKING:
    from jsonschema.protocols import Validator

MAX_GENERATION = 2**63 - 1

_NAME = fields.NAME
_GENERATION: Schema = {"type": "integer", "minimum": 0, "maximum": MAX_GENERATION}
_NAMED_ITEM: Schema = {"type": "object", "required": ["name"], "properties": {"name": _NAME}}

_WEIGHTED_SERVICE: Schema = {
    "type": "object",
    "required": ["service", "weight"],
    "properties": {"service": _NAME, **properties(fields.WEIGHT)},
}

_ROUTE: Schema = {
    "type": "object",
    "required": ["name", "host", "prefix"],
    "properties": {
        "name": _NAME,
        "host": _NAME,
        "prefix": fields.PREFIX,
        "kind": {"type": "string"},
        "service": _NAME,
        "split": {"type": "array", "items": _WEIGHTED_SERVICE},
        "home_regions": {"type": "array", "items": {"type": "string"}},
        **properties(
            fields.TIMEOUT,
            fields.LATENCY_TARGET,
            fields.EVENT_GAP_TARGET,
            fields.PRIORITY,
            fields.ATTEMPTS,
            fields.RESUME,
        ),
    },
    "anyOf": [{"required": ["service"]}, {"required": ["split"]}],
}

_SERVICE: Schema = {
    "type": "object",
    "required": ["name"],
    "properties": {
        "name": _NAME,
        "engine": {"type": ["object", "null"], "properties": properties(fields.KV_CACHE_TOKENS)},
        **properties(fields.HEALTH_CHECK, fields.MAX_CONNECTIONS, fields.WARM_UP_RATE),
    },
}

_LIMITS: Schema = {
    "type": "object",
    "properties": properties(
        fields.MAX_HEADER_BYTES,
        fields.MAX_BODY_BYTES,
        fields.HEADER_TIMEOUT,
        fields.IDLE_TIMEOUT,
    ),
}

# The names of a configuration's fields are parts of the keys in its document, as the names of items are.
_FIELD_NAMES: Schema = {"pattern": _NAME["pattern"]}

CONFIGURATION_SCHEMA: Schema = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    "type": "object",
    "required": ["generation", "routes", "services"],
    "propertyNames": _FIELD_NAMES,
    "properties": {
        "generation": _GENERATION,
        "routes": {"type": "array", "items": _ROUTE},
        "services": {"type": "array", "items": _SERVICE},
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
