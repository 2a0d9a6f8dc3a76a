"""The fields of a configuration that the programs read: for each field, which values it accepts, and how it is read.

The control plane builds the schema of an operator's configuration from the fields (`configuration_schema.py`), and the
data plane reads configurations by the same fields (`routes.py`). So no value is accepted that a reader cannot read.

A reader may still meet another value in a configuration that an earlier release has accepted. It then reads the
field's default, because one unusable value must not keep the rest of a configuration out of force.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from canvasbeam.units import MILLISECOND

JsonObject = Mapping[str, Any]  # any JSON object
Schema = Mapping[str, Any]

MAX_MILLISECONDS = 1 << 31  # 24 days; in nanoseconds it fits into 64 bits
MAX_COUNT = 1 << 31
MAX_BYTES = 1 << 40
MAX_QUANTITY = 1 << 53  # the largest range in which a float represents every whole number
KEY_SEPARATOR = "\0"  # separates the parts of a key in a document, so no part may contain it
# `$` also matches before a line feed at the end of a text.
_END = r"$(?!\n)"


@dataclass(frozen=True, slots=True)
class NumberField:
    """A number from `minimum` to `maximum`, in the unit that the key names; a whole number if `is_whole`.

    `is_nullable` fields may also be null, which is read as the default.
    """

    key: str
    default: float
    maximum: int = MAX_QUANTITY
    minimum: int = 0
    is_whole: bool = False
    is_nullable: bool = False

    @property
    def schema(self) -> Schema:
        """The JSON schema of the accepted values (draft 2020-12)."""
        name = "integer" if self.is_whole else "number"
        return {"type": _types(name, self.is_nullable), "minimum": self.minimum, "maximum": self.maximum}

    def read(self, document: JsonObject) -> float:
        """Return the value in a document, or the default if the field is absent or has a value that is not accepted."""
        value = document.get(self.key)
        if isinstance(value, bool) or not isinstance(value, int | float):
            return self.default
        return value if self._is_in_range(value) else self.default

    def read_whole(self, document: JsonObject) -> int:
        """Return the value as `read` does, without its fraction."""
        return int(self.read(document))

    def read_milliseconds(self, document: JsonObject) -> int:
        """Return the value of a field in milliseconds as `read` does, in nanoseconds."""
        return round(self.read(document) * MILLISECOND)

    def _is_in_range(self, value: float) -> bool:
        return self.minimum <= value <= self.maximum and (not self.is_whole or value == int(value))


@dataclass(frozen=True, slots=True)
class PathField:
    """The path of a request: "/" and visible ASCII characters, so that no part of a request can follow; or empty."""

    key: str
    default: str
    is_nullable: bool = False

    @property
    def schema(self) -> Schema:
        """The JSON schema of the accepted values (draft 2020-12)."""
        return {"type": _types("string", self.is_nullable), "pattern": f"^(/[!-~]*)?{_END}"}

    def read(self, document: JsonObject) -> str:
        """Return the path in a document, or the default if it is absent, empty or not accepted."""
        value = document.get(self.key)
        if not isinstance(value, str) or not value.startswith("/"):
            return self.default
        return value if all("!" <= character <= "~" for character in value) else self.default


@dataclass(frozen=True, slots=True)
class FlagField:
    """True or false."""

    key: str
    default: bool = False
    is_nullable: bool = False

    @property
    def schema(self) -> Schema:
        """The JSON schema of the accepted values (draft 2020-12)."""
        return {"type": _types("boolean", self.is_nullable)}

    def read(self, document: JsonObject) -> bool:
        """Return the value in a document, or the default if the field is absent or has a value that is not accepted."""
        value = document.get(self.key)
        return value if isinstance(value, bool) else self.default


Field = NumberField | PathField | FlagField


def properties(*fields: Field) -> dict[str, Schema]:
    """Return the schemas of fields by key, as the `properties` of a JSON schema."""
    return {field.key: field.schema for field in fields}


def _types(name: str, is_nullable: bool) -> str | list[str]:
    return [name, "null"] if is_nullable else name


# Names are parts of the keys in a document.
NAME: Schema = {"type": "string", "minLength": 1, "pattern": f"^[^{KEY_SEPARATOR}]*{_END}"}
PREFIX: Schema = {"type": "string", "pattern": f"^/([^{KEY_SEPARATOR}\n]*/)?{_END}"}

TIMEOUT = NumberField("timeout_ms", 5000, MAX_MILLISECONDS)
LATENCY_TARGET = NumberField("target_ms", 0, MAX_MILLISECONDS)
EVENT_GAP_TARGET = NumberField("gap_aim_ms", 0, MAX_MILLISECONDS)
PRIORITY = NumberField("priority", 0, MAX_COUNT, minimum=-MAX_COUNT, is_whole=True)
ATTEMPTS = NumberField("retries", 1, MAX_COUNT, is_whole=True)
RESUME = FlagField("resume", is_nullable=True)
WEIGHT = NumberField("weight", 0)

HEALTH_CHECK = PathField("health_check", "/healthz", is_nullable=True)
MAX_CONNECTIONS = NumberField("max_conns", 64, MAX_COUNT)
WARM_UP_RATE = NumberField("warmup_per_s", 0.0)
KV_CACHE_TOKENS = NumberField("kv_capacity", 0, is_nullable=True)

MAX_HEADER_BYTES = NumberField("max_header_bytes", 16384, MAX_BYTES)
MAX_BODY_BYTES = NumberField("max_body_bytes", 4 << 20, MAX_BYTES)
HEADER_TIMEOUT = NumberField("header_timeout_ms", 3000, MAX_MILLISECONDS)
IDLE_TIMEOUT = NumberField("idle_timeout_ms", 15000, MAX_MILLISECONDS)
