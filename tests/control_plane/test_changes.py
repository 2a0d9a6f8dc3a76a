"""Applying an operator's changes to the control state: invalid, concurrent and repeated changes, and patches."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

import pytest

from canvasbeam.control_plane.changes import MAX_APPLIED_CHANGE_KEYS, OPEN_FAILURES, apply
from canvasbeam.control_plane.control_state_record import decode_state, encode_state
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.control_state import Change, ChangeKind, ControlState

Document = dict[str, Any]

ROUTE: Document = {
    "name": "r-chat", "host": "a.example", "prefix": "/chat/", "kind": "streaming", "timeout_ms": 3000,
    "target_ms": 600, "priority": 0, "service": "llm", "retries": 2, "sticky": True, "home_regions": [],
}  # fmt: skip
SPLIT_ROUTE: Document = {
    "name": "r-split", "host": "a.example", "prefix": "/split/", "kind": "unsafe", "timeout_ms": 5000,
    "split": [{"service": "llm", "weight": 90}, {"service": "api", "weight": 10}],
}  # fmt: skip
CONFIGURATION: Document = {
    "generation": 7,
    "routes": [ROUTE, SPLIT_ROUTE],
    "services": [{"name": "llm", "health_check": "/healthz", "cold_s": 3.0}, {"name": "api"}],
    "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
    "unknown_field": {"kept": [1, 2.5, None, "é"]},
}


def put(document: Any, if_match: int) -> Change:
    body = document if isinstance(document, bytes) else json.dumps(document).encode()
    return Change(ChangeKind.PUT_CONFIGURATION, body, if_match)


def patch(document: Any, if_match: int) -> Change:
    return Change(ChangeKind.PATCH_CONFIGURATION, json.dumps(document).encode(), if_match)


def evacuate(zone: str) -> Change:
    return Change(ChangeKind.START_EVACUATION, zone=zone)


def end_evacuation(zone: str) -> Change:
    return Change(ChangeKind.END_EVACUATION, zone=zone)


def apply_all(state: ControlState, *changes: Change) -> ControlState:
    """Return the state after `changes`; fail the test if a change is rejected."""
    for change in changes:
        result = apply(state, change)
        assert isinstance(result, ControlState), result
        state = result
    return state


def failure_code(state: ControlState, change: Change) -> ResultCode:
    result = apply(state, change)
    assert isinstance(result, Failure), result
    return result.code


def edited(edit: Callable[[Document], None], generation: int = 9) -> Document:
    document = copy.deepcopy(CONFIGURATION)
    document["generation"] = generation
    edit(document)
    return document


def unchanged(_: Document) -> None:
    pass


CONFIGURED = apply_all(ControlState(), put(CONFIGURATION, 0))


def test_first_configuration_is_stored_unchanged() -> None:
    assert CONFIGURED.index == CONFIGURED.configuration_index == 1
    assert CONFIGURED.generation == 7
    assert CONFIGURED.configuration == CONFIGURATION


def test_next_configuration_builds_on_the_current_one() -> None:
    state = apply_all(CONFIGURED, put(edited(unchanged, 12), 7))
    assert (state.generation, state.index, state.configuration_index) == (12, 2, 2)


def set_route(**fields: Any) -> Callable[[Document], None]:
    return lambda document: document["routes"][0].update(fields)


def drop_route_field(field: str) -> Callable[[Document], None]:
    return lambda document: document["routes"][0].pop(field)


def set_weights(*weights: float) -> Callable[[Document], None]:
    def edit(document: Document) -> None:
        document["routes"][1]["split"] = [{"service": "llm", "weight": weight} for weight in weights]

    return edit


def set_fields(**fields: Any) -> Callable[[Document], None]:
    return lambda document: document.update(fields)


def split_names_unknown_service(document: Document) -> None:
    document["routes"][1]["split"][1]["service"] = "nobody"


def two_tenants_share_a_key(document: Document) -> None:
    document["tenants"] = [{"name": "a", "key": "k-1"}, {"name": "b", "key": "k-1"}]


def two_tenants_share_one_of_their_keys(document: Document) -> None:
    document["tenants"] = [{"name": "a", "keys": ["k-1", "k-2"]}, {"name": "b", "keys": ["k-3", "k-2"]}]


def duplicate_service(document: Document) -> None:
    document["services"].append({"name": "llm"})


INVALID: list[tuple[Callable[[Document], None], ResultCode]] = [
    (set_route(service="nobody"), ResultCode.CONFIG_UNKNOWN_SERVICE),
    (split_names_unknown_service, ResultCode.CONFIG_UNKNOWN_SERVICE),
    (set_fields(services=[]), ResultCode.CONFIG_UNKNOWN_SERVICE),
    (set_route(prefix="/split/"), ResultCode.CONFIG_DUPLICATE_ROUTE),
    (set_route(prefix="/split/", host="A.example"), ResultCode.CONFIG_DUPLICATE_ROUTE),
    (set_weights(0, 0), ResultCode.CONFIG_NO_WEIGHT),
    (set_weights(), ResultCode.CONFIG_NO_WEIGHT),
    (set_weights(0.0), ResultCode.CONFIG_NO_WEIGHT),
    (set_weights(3, -3), ResultCode.CONFIG_SCHEMA),
    (set_route(timeout_ms=0), ResultCode.CONFIG_NO_TIMEOUT),
    (set_route(timeout_ms=0.0), ResultCode.CONFIG_NO_TIMEOUT),
    (set_route(timeout_ms=-1), ResultCode.CONFIG_SCHEMA),
    (set_route(name="r-split"), ResultCode.CONFIG_DUPLICATE_NAME),
    (duplicate_service, ResultCode.CONFIG_DUPLICATE_NAME),
    (two_tenants_share_a_key, ResultCode.CONFIG_DUPLICATE_NAME),
    (two_tenants_share_one_of_their_keys, ResultCode.CONFIG_DUPLICATE_NAME),
    (set_route(prefix="chat/"), ResultCode.CONFIG_SCHEMA),
    (set_route(prefix="/chat"), ResultCode.CONFIG_SCHEMA),
    (set_route(prefix=""), ResultCode.CONFIG_SCHEMA),
    (set_route(host=""), ResultCode.CONFIG_SCHEMA),
    (set_route(host=3), ResultCode.CONFIG_SCHEMA),
    (set_route(retries="2"), ResultCode.CONFIG_SCHEMA),
    (drop_route_field("service"), ResultCode.CONFIG_SCHEMA),
    (drop_route_field("name"), ResultCode.CONFIG_SCHEMA),
    (set_fields(routes={}), ResultCode.CONFIG_SCHEMA),
    (set_fields(routes=["r"]), ResultCode.CONFIG_SCHEMA),
    (set_fields(limits=[]), ResultCode.CONFIG_SCHEMA),
    (set_fields(generation="9"), ResultCode.CONFIG_SCHEMA),
    (set_fields(generation=True), ResultCode.CONFIG_SCHEMA),
    (set_fields(generation=2**64), ResultCode.CONFIG_SCHEMA),
    (set_fields(generation=7), ResultCode.CONFIG_OLD_GENERATION),
    (set_fields(generation=6), ResultCode.CONFIG_OLD_GENERATION),
    (set_fields(generation=0), ResultCode.CONFIG_OLD_GENERATION),
]


@pytest.mark.parametrize(("edit", "expected"), INVALID)
def test_invalid_configuration_is_refused(edit: Callable[[Document], None], expected: ResultCode) -> None:
    document = edited(edit)
    if expected is ResultCode.CONFIG_OLD_GENERATION:
        document["routes"][0]["timeout_ms"] = 1234
    assert failure_code(CONFIGURED, put(document, 7)) is expected


@pytest.mark.parametrize("field", ["generation", "routes", "services"])
def test_configuration_without_required_field_is_refused(field: str) -> None:
    assert failure_code(CONFIGURED, put(edited(lambda document: document.pop(field)), 7)) is ResultCode.CONFIG_SCHEMA


@pytest.mark.parametrize(
    "body",
    [
        b"", b"{", json.dumps(edited(unchanged)).encode()[:-1], b'{"generation": NaN}', b'{"generation": 1e999}',
        b"\xff\xfe\x00", b'{"generation": 9} trailing', b"[" * 100_000, b"[" * 500 + b"]" * 500,
        b'{"a":' * 101 + b"1" + b"}" * 101,
    ],
    ids=["empty", "brace", "truncated", "nan", "infinite", "not_utf8", "trailing", "unclosed", "deep", "deep_object"],
)  # fmt: skip
def test_unreadable_body_is_refused(body: bytes) -> None:
    assert failure_code(CONFIGURED, put(body, 7)) is ResultCode.CONFIG_UNREADABLE


def test_every_truncated_configuration_is_refused() -> None:
    body = json.dumps(edited(unchanged)).encode()
    for length in range(len(body)):
        assert failure_code(CONFIGURED, put(body[:length], 7)) is ResultCode.CONFIG_UNREADABLE


@pytest.mark.parametrize("body", [b"7", b'"text"', b"[]", b"null", b"{}"])
def test_document_of_wrong_structure_is_refused(body: bytes) -> None:
    assert failure_code(CONFIGURED, put(body, 7)) is ResultCode.CONFIG_SCHEMA
    assert failure_code(CONFIGURED, Change(ChangeKind.PATCH_CONFIGURATION, body, 7)) is ResultCode.CONFIG_SCHEMA


def test_stale_match_is_refused() -> None:
    for if_match in (0, 5, 6):
        assert failure_code(CONFIGURED, put(edited(unchanged), if_match)) is ResultCode.CONFIG_STALE_MATCH


def test_change_on_future_generation_has_open_outcome() -> None:
    """Guards against reporting a change as rejected for good although a delayed copy can still be accepted.

    The configuration may still reach the generation that `If-Match` names, and the delayed copy then matches.
    """
    for if_match in (8, 9):
        assert failure_code(CONFIGURED, put(edited(unchanged), if_match)) is ResultCode.CONFIG_UNKNOWN_MATCH
        assert failure_code(CONFIGURED, patch({"generation": 12}, if_match)) is ResultCode.CONFIG_UNKNOWN_MATCH
    early_change = put(edited(unchanged, 12), 9)
    assert failure_code(CONFIGURED, early_change) in OPEN_FAILURES
    assert apply_all(CONFIGURED, put(edited(unchanged, 9), 7), early_change).generation == 12


def test_first_of_two_changes_on_one_generation_wins() -> None:
    first = put(edited(set_route(timeout_ms=1000)), 7)
    second = put(edited(set_route(timeout_ms=2000)), 7)
    state = apply_all(CONFIGURED, first)
    assert failure_code(state, second) is ResultCode.CONFIG_STALE_MATCH
    assert state.configuration is not None
    assert state.configuration["routes"][0]["timeout_ms"] == 1000


def test_repeated_change_is_acknowledged_again() -> None:
    change = put(CONFIGURATION, 0)
    assert apply(CONFIGURED, change) is CONFIGURED
    later = apply_all(CONFIGURED, put(edited(unchanged), 7), evacuate("z"))
    assert apply(later, change) is later


def test_repeated_change_is_acknowledged_again_after_failover() -> None:
    change = patch({"generation": 9, "remove": {"routes": ["r-split"]}}, 7)
    state = apply_all(CONFIGURED, change, put(edited(unchanged, 10), 9))
    successor = decode_state(encode_state(state))
    assert isinstance(successor, ControlState)
    assert apply(successor, change) is successor
    assert apply(successor, put(CONFIGURATION, 0)) is successor


def test_repeated_stale_change_stays_refused() -> None:
    refused = put(edited(set_route(timeout_ms=2000)), 5)
    assert failure_code(CONFIGURED, refused) is ResultCode.CONFIG_STALE_MATCH
    assert failure_code(apply_all(CONFIGURED, put(edited(unchanged), 7)), refused) is ResultCode.CONFIG_STALE_MATCH


def test_same_document_on_another_generation_is_another_change() -> None:
    document = edited(set_route(timeout_ms=2000))
    assert failure_code(CONFIGURED, put(document, 5)) is ResultCode.CONFIG_STALE_MATCH
    assert apply_all(CONFIGURED, put(document, 7)).generation == 9


REORDERED = dict(reversed(CONFIGURATION.items()))


def test_current_configuration_with_other_key_order_is_acknowledged() -> None:
    change = put(REORDERED, 0)
    state = apply_all(CONFIGURED, change)
    assert state.configuration == CONFIGURATION
    assert state.configuration_index == CONFIGURED.configuration_index
    assert (state.generation, state.index) == (7, 2)
    assert apply(state, change) is state


def test_change_acknowledged_as_current_configuration_is_not_refused_later() -> None:
    change = put(REORDERED, 0)
    state = apply_all(CONFIGURED, change, put(edited(unchanged), 7))
    assert apply(state, change) is state


def test_current_configuration_on_another_generation_is_refused() -> None:
    """Guards against two accepted changes that build on the same generation."""
    state = apply_all(CONFIGURED, put(edited(unchanged, 9), 7), put(edited(unchanged, 12), 9))
    document = edited(unchanged, 12)
    assert failure_code(state, put(document, 7)) is ResultCode.CONFIG_STALE_MATCH
    assert failure_code(state, put(document, 0)) is ResultCode.CONFIG_STALE_MATCH
    assert failure_code(state, put(document, 12)) is ResultCode.CONFIG_OLD_GENERATION
    assert failure_code(CONFIGURED, put(REORDERED, 7)) is ResultCode.CONFIG_OLD_GENERATION


def test_put_and_patch_with_same_result_are_both_acknowledged() -> None:
    by_patch = patch({"generation": 9}, 7)
    by_put = put(edited(unchanged, 9), 7)
    state = apply_all(CONFIGURED, by_patch, by_put)
    assert apply(state, by_patch) is state
    assert apply(state, by_put) is state


def test_configuration_equal_in_python_but_not_in_json_is_not_the_current_one() -> None:
    """Guards against comparing JSON documents with Python's `==`, for which `1` and `true` are equal."""
    document = copy.deepcopy(CONFIGURATION)
    document["routes"][0]["sticky"] = 1
    assert failure_code(CONFIGURED, put(document, 0)) is ResultCode.CONFIG_STALE_MATCH


def test_item_equal_in_python_but_not_in_json_is_checked() -> None:
    document = edited(set_route(retries=2.0, priority=False))
    assert failure_code(CONFIGURED, put(document, 7)) is ResultCode.CONFIG_SCHEMA


def test_different_configuration_with_current_generation_is_refused() -> None:
    other = edited(set_route(timeout_ms=2000), generation=7)
    assert failure_code(CONFIGURED, put(other, 7)) is ResultCode.CONFIG_OLD_GENERATION
    assert failure_code(CONFIGURED, put(other, 0)) is ResultCode.CONFIG_STALE_MATCH


def test_applied_change_keys_are_bounded() -> None:
    digests = tuple(number.to_bytes(12) for number in range(MAX_APPLIED_CHANGE_KEYS))
    full = ControlState(index=1, generation=7, configuration=CONFIGURATION, applied_change_keys=digests)
    state = apply_all(full, put(edited(unchanged), 7))
    assert len(state.applied_change_keys) == MAX_APPLIED_CHANGE_KEYS
    assert state.applied_change_keys[:-1] == digests[1:]


def test_change_older_than_kept_keys_has_open_outcome() -> None:
    state = CONFIGURED
    for generation in range(8, 8 + MAX_APPLIED_CHANGE_KEYS):
        state = apply_all(state, patch({"generation": generation}, generation - 1))
    assert failure_code(state, put(CONFIGURATION, 0)) is ResultCode.CONFIG_FORGOTTEN
    assert ResultCode.CONFIG_FORGOTTEN in OPEN_FAILURES
    oldest_kept = patch({"generation": 8}, 7)
    assert apply(state, oldest_kept) is state
    assert failure_code(state, patch({"generation": 9, "remove": {}}, 8)) is ResultCode.CONFIG_STALE_MATCH


def names(state: ControlState, field: str) -> list[str]:
    assert state.configuration is not None
    return [item["name"] for item in state.configuration[field]]


def test_patch_replaces_in_place_adds_at_the_end_and_removes() -> None:
    added = {**ROUTE, "name": "r-new", "prefix": "/new/", "service": "extra"}
    change = {
        "generation": 9,
        "upsert": {"routes": [added, {**ROUTE, "timeout_ms": 1}], "services": [{"name": "extra"}]},
        "remove": {"routes": ["r-split", "r-absent"], "services": ["api"], "absent": ["x"]},
    }
    state = apply_all(CONFIGURED, patch(change, 7))
    assert state.generation == 9
    assert names(state, "routes") == ["r-chat", "r-new"]
    assert names(state, "services") == ["llm", "extra"]
    assert state.configuration is not None
    assert state.configuration["routes"][0]["timeout_ms"] == 1
    assert state.configuration["unknown_field"] == CONFIGURATION["unknown_field"]
    assert state.configuration["limits"] == CONFIGURATION["limits"]
    assert "absent" not in state.configuration
    assert "upsert" not in state.configuration


def test_patch_does_not_modify_previous_state() -> None:
    before = encode_state(CONFIGURED)
    apply_all(CONFIGURED, patch({"generation": 9, "upsert": {"routes": [{**ROUTE, "timeout_ms": 1}]}}, 7))
    assert encode_state(CONFIGURED) == before


def test_patch_applies_to_any_list_of_named_items() -> None:
    tenants = [{"name": "t1", "quota": 5}]
    state = apply_all(CONFIGURED, patch({"generation": 9, "upsert": {"tenants": tenants}}, 7))
    assert names(state, "tenants") == ["t1"]
    state = apply_all(state, patch({"generation": 10, "remove": {"tenants": ["t1"]}}, 9))
    assert names(state, "tenants") == []


def test_new_route_may_reuse_prefix_of_removed_route() -> None:
    change = {"generation": 9, "upsert": {"routes": [{**ROUTE, "name": "r-2"}]}, "remove": {"routes": ["r-chat"]}}
    assert names(apply_all(CONFIGURED, patch(change, 7)), "routes") == ["r-split", "r-2"]


INVALID_PATCHES: list[tuple[Mapping[str, Any], ResultCode]] = [
    ({}, ResultCode.CONFIG_SCHEMA),
    ({"generation": 9, "upsert": []}, ResultCode.CONFIG_SCHEMA),
    ({"generation": 9, "upsert": {"routes": {}}}, ResultCode.CONFIG_SCHEMA),
    ({"generation": 9, "upsert": {"routes": [{"host": "a"}]}}, ResultCode.CONFIG_SCHEMA),
    ({"generation": 9, "remove": {"routes": [1]}}, ResultCode.CONFIG_SCHEMA),
    ({"generation": 9, "upsert": {"routes": [{"name": "r-chat"}]}}, ResultCode.CONFIG_SCHEMA),
    ({"generation": 7, "remove": {"routes": ["r-split"]}}, ResultCode.CONFIG_OLD_GENERATION),
    ({"generation": 9, "remove": {"services": ["llm"]}}, ResultCode.CONFIG_UNKNOWN_SERVICE),
    ({"generation": 9, "upsert": {"routes": [{**ROUTE, "timeout_ms": 0}]}}, ResultCode.CONFIG_NO_TIMEOUT),
    ({"generation": 9, "upsert": {"routes": [{**ROUTE, "name": "r-2"}]}}, ResultCode.CONFIG_DUPLICATE_ROUTE),
    (
        {"generation": 9, "upsert": {"routes": [{**ROUTE, "timeout_ms": 1}, {**ROUTE, "timeout_ms": 2}]}},
        ResultCode.CONFIG_DUPLICATE_NAME,
    ),
    (
        {"generation": 9, "upsert": {"services": [{"name": "x"}, {"name": "x"}]}},
        ResultCode.CONFIG_DUPLICATE_NAME,
    ),
]


@pytest.mark.parametrize(("document", "expected"), INVALID_PATCHES)
def test_invalid_patch_is_refused(document: Mapping[str, Any], expected: ResultCode) -> None:
    assert failure_code(CONFIGURED, patch(document, 7)) is expected


def test_patch_on_stale_generation_is_refused() -> None:
    change = {"generation": 9, "remove": {"routes": ["r-split"]}}
    assert failure_code(CONFIGURED, patch(change, 5)) is ResultCode.CONFIG_STALE_MATCH


def test_patch_before_the_first_configuration_is_refused() -> None:
    change = {"generation": 9, "upsert": {"services": [{"name": "llm"}]}}
    assert failure_code(ControlState(), patch(change, 0)) is ResultCode.CONFIG_SCHEMA


def test_repeated_evacuation_changes_have_no_effect() -> None:
    state = apply_all(CONFIGURED, evacuate("z2"), evacuate("z1"))
    assert state.evacuated_zones == ("z1", "z2")
    assert state.evacuation_index == state.index == 3
    assert state.configuration_index == 1
    assert apply(state, evacuate("z1")) is state
    ended = apply_all(state, end_evacuation("z2"))
    assert ended.evacuated_zones == ("z1",)
    assert apply(ended, end_evacuation("z2")) is ended


def test_encoded_state_decodes_unchanged() -> None:
    for state in (ControlState(), CONFIGURED, apply_all(CONFIGURED, evacuate("z2"), evacuate("z1"))):
        assert decode_state(encode_state(state)) == state


def test_change_keys_of_earlier_release_are_dropped() -> None:
    """Guards against decoding the 12-byte digests of an earlier release as change keys.

    The first 8 bytes of such a digest would be read as an arbitrary generation. If that generation is high, every new
    change fails with the open outcome `CONFIG_FORGOTTEN`.
    """
    digests = tuple(bytes([255]) * 8 + number.to_bytes(4) for number in range(MAX_APPLIED_CHANGE_KEYS))
    state = decode_state(encode_state(replace(CONFIGURED, applied_change_keys=digests)))
    assert isinstance(state, ControlState)
    assert apply_all(state, put(edited(unchanged), 7)).generation == 9


def test_damaged_encoding_decodes_to_failure() -> None:
    data = encode_state(CONFIGURED)
    assert isinstance(decode_state(data[: len(data) // 2]), Failure)
    assert isinstance(decode_state(b"\xff" * 10), Failure)
