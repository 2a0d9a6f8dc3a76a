"""Check the JSON body of a worker's heartbeat, and convert the body to a `Heartbeat`.

Only this module translates field names of the body: `seq` is `sequence`, `generation` is `software_generation`, and
`cold_left_ms` is `warm_up_left_ms`. Unknown fields are ignored.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass

from canvasbeam.control_plane.json_documents import JsonValue, is_unicode
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.runtime.settings import Address
from canvasbeam.service_discovery.worker_registry import LEFT_SEQUENCE, Model, Worker, WorkerState

MAX_MILLISECONDS = 1 << 31
MAX_SLOTS = 1 << 31

STATE_BY_NAME = {"ready": WorkerState.READY, "draining": WorkerState.DRAINING}


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The state that a worker reported, and the sequence number that reveals heartbeats arriving out of order."""

    sequence: int
    worker: Worker


class _RejectedError(Exception):
    """Raised if a field of a heartbeat is invalid; the message names the field and the violated rule."""


def parse_heartbeat(body: bytes) -> Heartbeat | Failure:
    """Return the heartbeat parsed from a body, or a `REGISTRATION_INVALID` failure that names the invalid field."""
    try:
        document = _object(json.loads(body))
        return Heartbeat(_integer(document, "seq", LEFT_SEQUENCE - 1), _worker(document))
    except (ValueError, RecursionError, _RejectedError) as error:
        return Failure(ResultCode.REGISTRATION_INVALID, str(error))


def _object(document: JsonValue) -> Mapping[str, JsonValue]:
    if not isinstance(document, dict):
        raise _RejectedError("the body is no object")
    if not is_unicode(document):
        raise _RejectedError("the body contains a text that is not Unicode")
    return document


def _worker(document: Mapping[str, JsonValue]) -> Worker:
    return Worker(
        service=_text(document, "service"),
        address=str(Address.parse(_text(document, "address"))),
        zone=_text(document, "zone"),
        software_generation=str(document.get("generation", "")),
        slots=_integer(document, "slots", MAX_SLOTS, default=0),
        state=_state(document),
        warm_up_left_ms=_milliseconds(document, "cold_left_ms") or 0,
        remaining_ms=_milliseconds(document, "remaining_ms"),
        stage=str(document.get("stage") or ""),
        models=_models(document),
    )


def _text(document: Mapping[str, JsonValue], field: str) -> str:
    value = document.get(field)
    if not isinstance(value, str) or not value:
        raise _RejectedError(f"{field}: must be a text that is not empty")
    return value


def _integer(document: Mapping[str, JsonValue], field: str, maximum: int, default: int | None = None) -> int:
    value = document.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= maximum:
        raise _RejectedError(f"{field}: must be a whole number from 0 to {maximum}")
    return value


def _state(document: Mapping[str, JsonValue]) -> WorkerState:
    state = STATE_BY_NAME.get(str(document.get("state")))
    if state is None:
        raise _RejectedError(f"state: must be one of {', '.join(STATE_BY_NAME)}")
    return state


def _milliseconds(document: Mapping[str, JsonValue], field: str) -> int | None:
    value = document.get(field)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= MAX_MILLISECONDS:
        raise _RejectedError(f"{field}: must be a number of milliseconds")
    return math.ceil(value)


def _models(document: Mapping[str, JsonValue]) -> tuple[Model, ...]:
    models = document.get("models")
    if models is None:
        return ()
    if not isinstance(models, list) or not all(isinstance(model, dict) for model in models):
        raise _RejectedError("models: must be a list of objects")
    return tuple(_model(model) for model in models)


def _model(model: Mapping[str, JsonValue]) -> Model:
    adapters = model.get("adapters")
    if adapters is None:
        adapters = []
    if not isinstance(adapters, list):
        raise _RejectedError("adapters: must be a list")
    generation = _integer(model, "generation", LEFT_SEQUENCE, default=0)
    return Model(_text(model, "name"), generation, tuple(_adapter_name(adapter) for adapter in adapters))


def _adapter_name(adapter: JsonValue) -> str:
    return str(adapter.get("name", "")) if isinstance(adapter, dict) else str(adapter)
