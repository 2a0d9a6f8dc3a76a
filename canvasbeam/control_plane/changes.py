"""Apply an operator's change to the control state: the state transition function of all replicas.

`apply` is pure and deterministic: every replica applies the same changes in the same order and gets the same state. The
function must use no clock, no randomness and no iteration order of a set, because replicas would diverge otherwise. For
a change that was applied before, `apply` returns the same state object: nothing needs to be stored, and the change is
acknowledged once more. Such duplicates are recognized after a failover too, because the keys of applied changes are
part of the state (`ControlState.applied_change_keys`).

A failure returned by this module is either final, or has a code in `OPEN_FAILURES`. A final failure holds for every
copy of the change. After an open failure, another copy of the same change may still be applied later, or may have been
applied long ago. Only a final failure may be reported to an operator as a rejection.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from hashlib import blake2b

from canvasbeam.control_plane.configuration_patch import apply_patch, drop_unchanged_items
from canvasbeam.control_plane.configuration_rules import check_rules
from canvasbeam.control_plane.configuration_schema import check_configuration, check_patch
from canvasbeam.control_plane.json_documents import JsonValue, is_same_json, is_unicode, read_document
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.control_state import Change, ChangeKind, ControlState

MAX_APPLIED_CHANGE_KEYS = 1024  # maximum number of change keys in the state; the oldest are dropped
KEY_VERSION_BYTES = 8
KEY_DIGEST_BYTES = 12  # a random collision among `MAX_APPLIED_CHANGE_KEYS` digests is practically impossible
CHANGE_KEY_BYTES = KEY_VERSION_BYTES + KEY_DIGEST_BYTES
OPEN_FAILURES = frozenset({ResultCode.CONFIG_UNKNOWN_MATCH, ResultCode.CONFIG_FORGOTTEN})
EMPTY_CONFIGURATION: Mapping[str, JsonValue] = {}


def apply(state: ControlState, change: Change) -> ControlState | Failure:
    """Return the state after a change, or a failure; return the same object if the change was applied before."""
    return _apply(state, change, check_structure=True)


def apply_checked(state: ControlState, change: Change) -> ControlState | Failure:
    """Apply a change as `apply` does, but skip the structure check, which is most of the work for a large change."""
    return _apply(state, change, check_structure=False)


def _apply(state: ControlState, change: Change, *, check_structure: bool) -> ControlState | Failure:
    if change.kind is ChangeKind.START_EVACUATION:
        return _with_zones(state, {*state.evacuated_zones, change.zone})
    if change.kind is ChangeKind.END_EVACUATION:
        return _with_zones(state, {*state.evacuated_zones} - {change.zone})
    return _apply_configuration(state, change, check_structure)


def change_key(change: Change) -> bytes:
    """Return the key by which copies of a configuration change are recognized: base version, and digest of the rest."""
    version = change.if_match.to_bytes(KEY_VERSION_BYTES)
    head = f"{int(change.kind)}\0".encode()
    return version + blake2b(head + change.body, digest_size=KEY_DIGEST_BYTES).digest()


def _base_version(key: bytes) -> int:
    """Return the base version (`If-Match`) in the key of a change."""
    return int.from_bytes(key[:KEY_VERSION_BYTES])


def _with_zones(state: ControlState, zones: set[str]) -> ControlState:
    evacuated = tuple(sorted(zones))
    if evacuated == state.evacuated_zones:
        return state
    index = state.index + 1
    return replace(state, index=index, evacuated_zones=evacuated, evacuation_index=index)


def _apply_configuration(state: ControlState, change: Change, check_structure: bool) -> ControlState | Failure:
    key = change_key(change)
    if key in state.applied_change_keys:
        return state
    if _key_may_be_dropped(state, change):
        return Failure(ResultCode.CONFIG_FORGOTTEN, f"orders on generation {change.if_match} are not remembered")
    document = read_document(change.body)
    if isinstance(document, Failure):
        return document
    if _is_current_configuration(state, change, document):
        return replace(state, index=state.index + 1, applied_change_keys=_append_change_key(state, key))
    failure = _check_match(state, change)
    if failure is not None:
        return failure
    configuration = _next_configuration(state, change.kind, document, check_structure)
    if isinstance(configuration, Failure):
        return configuration
    return _with_configuration(state, configuration, key)


def _key_may_be_dropped(state: ControlState, change: Change) -> bool:
    """Return True if the change may have been applied so long ago that the state no longer keeps its key.

    Each applied change has a higher base version than the change applied before it, so the base version of every
    dropped key is lower than, or equal to, the base version of the oldest key that is kept.
    """
    if len(state.applied_change_keys) < MAX_APPLIED_CHANGE_KEYS:
        return False
    return change.if_match <= _base_version(state.applied_change_keys[0])


def _is_current_configuration(state: ControlState, change: Change, document: JsonValue) -> bool:
    """Return True if the change requests the current configuration and has the same base version as that configuration.

    Such a change is acknowledged, and its key is kept as the key of an applied change. With any other base version, two
    different changes of the same base version would both be acknowledged.
    """
    if change.kind is not ChangeKind.PUT_CONFIGURATION or not state.applied_change_keys:
        return False
    if change.if_match != _base_version(state.applied_change_keys[-1]):
        return False
    return is_same_json(document, state.configuration)


def _check_match(state: ControlState, change: Change) -> Failure | None:
    """Return a failure if the base version of a change is not the current version.

    An older version never becomes current again, so `CONFIG_STALE_MATCH` holds for every copy of the change. A higher
    version may still become current, so `CONFIG_UNKNOWN_MATCH` is an open failure.
    """
    if change.if_match == state.generation:
        return None
    reason = f"If-Match is {change.if_match}, the current generation is {state.generation}"
    is_old = change.if_match < state.generation
    return Failure(ResultCode.CONFIG_STALE_MATCH if is_old else ResultCode.CONFIG_UNKNOWN_MATCH, reason)


def _next_configuration(
    state: ControlState, kind: ChangeKind, document: JsonValue, check_structure: bool
) -> Mapping[str, JsonValue] | Failure:
    """Return the configuration that a change requests, or the failure of the first check that rejects it."""
    failure = _check_own_structure(kind, document) if check_structure else None
    if failure is not None:
        return failure
    if kind is ChangeKind.PATCH_CONFIGURATION:
        document = apply_patch(state.configuration or EMPTY_CONFIGURATION, document)
    failure = _check_structure(state, document) if check_structure else None
    failure = failure or check_rules(document) or _check_generation(state, document)
    return document if failure is None else failure


def _check_own_structure(kind: ChangeKind, document: JsonValue) -> Failure | None:
    """Return the first failure of a change by itself, or None; the resulting configuration is not checked here."""
    if not is_unicode(document):
        return Failure(ResultCode.CONFIG_UNREADABLE, "the body contains a text that is not Unicode")
    return check_patch(document) if kind is ChangeKind.PATCH_CONFIGURATION else None


def _check_structure(state: ControlState, document: JsonValue) -> Failure | None:
    return check_configuration(drop_unchanged_items(document, state.configuration or EMPTY_CONFIGURATION))


def _check_generation(state: ControlState, configuration: Mapping[str, JsonValue]) -> Failure | None:
    generation = configuration["generation"]
    if generation > state.generation:
        return None
    reason = f"the generation {generation} is not above the current one, {state.generation}"
    return Failure(ResultCode.CONFIG_OLD_GENERATION, reason)


def _with_configuration(state: ControlState, configuration: Mapping[str, JsonValue], key: bytes) -> ControlState:
    index = state.index + 1
    return replace(
        state,
        index=index,
        generation=int(configuration["generation"]),
        configuration=configuration,
        configuration_index=index,
        applied_change_keys=_append_change_key(state, key),
    )


def _append_change_key(state: ControlState, key: bytes) -> tuple[bytes, ...]:
    return (*state.applied_change_keys, key)[-MAX_APPLIED_CHANGE_KEYS:]
