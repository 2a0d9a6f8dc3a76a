"""The headers of a prompt: which numbers, parts and names the placement reads."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from canvasbeam.data_plane.prompt_headers import MAX_PART_NAME_BYTES, MAX_PARTS, MAX_TOKENS, read_prompt
from canvasbeam.dispatch.events import PromptEstimate, PromptPart
from canvasbeam.dispatch.language_model import prefix_cache


@dataclass
class Headed:
    """The part of a request that `read_prompt` uses."""

    headers: list[tuple[bytes, bytes]]


def prompt(tokens: str, parts: str = "1f:100") -> PromptEstimate | None:
    headers = [(b"x-tokens", tokens.encode()), (b"x-prefix-hash", parts.encode()), (b"x-model", b"m")]
    return read_prompt(Headed(headers))  # type: ignore[arg-type]


def test_largest_numbers_and_most_parts_are_read() -> None:
    parts = ",".join(f"{'a' * MAX_PART_NAME_BYTES}:{MAX_TOKENS}" for _ in range(MAX_PARTS))
    found = prompt(f"{MAX_TOKENS},{MAX_TOKENS}", parts)
    assert found is not None
    assert (found.tokens_in, found.max_tokens_out, len(found.parts)) == (MAX_TOKENS, MAX_TOKENS, MAX_PARTS)
    assert prompt("100") == PromptEstimate(100, 0, (PromptPart("1f", 100),), "m")


@pytest.mark.parametrize("tokens", [str(MAX_TOKENS + 1), str(2**32), "9" * 400, "-1", "+1", "1_0", "x", ""])
def test_prompt_with_another_number_is_unknown(tokens: str) -> None:
    assert prompt(f"{tokens},1") is None
    assert prompt(f"1,{tokens or 'x'}") is None
    assert prompt("1,1", f"1f:{tokens}") is None


def test_prompt_with_more_or_longer_parts_is_unknown() -> None:
    assert prompt("1,1", ",".join(["1f:1"] * (MAX_PARTS + 1))) is None
    assert prompt("1,1", f"{'a' * (MAX_PART_NAME_BYTES + 1)}:1") is None


def test_parts_without_tokens_are_forgotten() -> None:
    cache = prefix_cache.PrefixCache()
    for number in range(prefix_cache.MAX_PARTS + 10):
        cache.insert(PromptEstimate(0, 0, (PromptPart(str(number), 0),), "m"), 100.0)
    assert len(cache._part_tokens) == prefix_cache.MAX_PARTS
