"""Each result code as the programs tell it: number, name, meaning, log text, and the answers that carry it."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from canvasbeam.cli.control_options import error_text
from canvasbeam.cli.result_codes import markdown_page, records, text_lines
from canvasbeam.data_plane.requests import STATUS_OF_CODE as STATUS_AT_DATA_PLANE
from canvasbeam.data_plane.requests import local_answer
from canvasbeam.errors import Failure, ResultCode
from tests.control_plane.test_operator_api import Caller
from tests.golden.answer_files import REPOSITORY, as_text, assert_matches, assert_same_text
from tests.golden.raw_http import answers_of, request

FILE = "result-codes.json"
LIST_FILE = "result-codes.txt"
REASON = 'a "reason" in one sentence'


def result_codes() -> list[dict[str, Any]]:
    """An entry for each code, in the order of the numbers."""
    return [_entry(code, record) for code, record in zip(ResultCode, records(), strict=True)]


def listing() -> str:
    """What `canvasbeam system codes` prints."""
    return "".join(f"{line}\n" for line in text_lines())


TEXTS = {FILE: lambda: as_text(result_codes()), LIST_FILE: listing}


def _entry(code: ResultCode, record: dict[str, str | int]) -> dict[str, Any]:
    failure = Failure(code, REASON)
    entry: dict[str, Any] = {"code": int(code), "name": code.name, "record": record, "log": str(failure)}
    if code is ResultCode.OK:
        return entry
    order = asyncio.run(_answer_to_an_order(failure))
    entry["operator"] = order
    entry["command line"] = error_text(order["body"].encode())
    entry["client"] = _answer_to_a_client(failure) if code in STATUS_AT_DATA_PLANE else None
    return entry


async def _answer_to_an_order(failure: Failure) -> dict[str, Any]:
    """The whole HTTP answer to an order that fails in this way."""
    caller = Caller()
    caller.service.failure = failure
    order = request("PUT", "/v1/config", "{}", "If-Match: 0")
    answer: dict[str, Any] = (await answers_of(caller.app, {"order": order}))["order"]
    return answer


def _answer_to_a_client(failure: Failure) -> dict[str, Any]:
    """The data plane's own answer, with the connection kept and closed."""
    kept, closed = local_answer(failure), local_answer(failure, 50_000_000, close=True)
    return {
        "status": kept.status,
        "headers": [[name.decode(), value.decode()] for name, value in kept.headers],
        "headers at a close after 50 ms": [[name.decode(), value.decode()] for name, value in closed.headers],
        "body": kept.body.decode(),
    }


def test_each_code_is_told_as_before() -> None:
    assert_matches(FILE, result_codes())


def test_the_codes_are_the_same_set() -> None:
    golden = json.loads((REPOSITORY / "tests/golden/answers" / FILE).read_text(encoding="utf-8"))
    assert {(int(code), code.name) for code in ResultCode} == {(entry["code"], entry["name"]) for entry in golden}


def test_the_listing_of_the_command_line_is_as_before() -> None:
    assert_same_text(LIST_FILE, listing())


def test_the_page_of_the_codes_is_the_generated_one() -> None:
    assert (REPOSITORY / "docs/result-codes.md").read_text(encoding="utf-8").strip() == markdown_page().strip()
