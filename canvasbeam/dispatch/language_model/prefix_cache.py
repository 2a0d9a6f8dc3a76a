"""Model the prefix cache of one worker: the prompt parts whose KV cache entries the worker is expected to have.

The parts of all known attempts are added; the least recently used parts are evicted first. The worker itself is never
queried.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

from canvasbeam.dispatch.events import PromptEstimate

PrefixKey = tuple[str, ...]  # the names of a part and of all parts before it

MAX_PARTS = 8192  # parts of a worker, however few tokens they have


class PrefixCache:
    """The prompt parts that one worker is expected to have cached, in the order of their last use."""

    __slots__ = ("_part_tokens", "_total_tokens")

    def __init__(self) -> None:
        self._part_tokens: OrderedDict[PrefixKey, int] = OrderedDict()
        self._total_tokens = 0

    def cached_tokens(self, prompt: PromptEstimate) -> int:
        """Return how many tokens at the start of the prompt need no prefill, from 0 to `prompt.tokens_in`."""
        cached = self._part_tokens
        total = 0
        for key, tokens in _prefixes(prompt):
            if key not in cached:
                break
            total += tokens
        return min(total, prompt.tokens_in)

    def insert(self, prompt: PromptEstimate, max_tokens: float) -> None:
        """Add a prompt's parts or mark them as used, then evict least recently used parts down to `max_tokens`."""
        for key, tokens in _prefixes(prompt):
            if key in self._part_tokens:
                self._part_tokens.move_to_end(key)
            else:
                self._part_tokens[key] = tokens
                self._total_tokens += tokens
        while self._total_tokens > max_tokens or len(self._part_tokens) > MAX_PARTS:
            _, tokens = self._part_tokens.popitem(last=False)
            self._total_tokens -= tokens


def _prefixes(prompt: PromptEstimate) -> Iterator[tuple[PrefixKey, int]]:
    """Yield, for each part of a prompt, the names of all parts up to that part and its number of tokens."""
    names: PrefixKey = ()
    for part in prompt.parts:
        names = (*names, part.name)
        yield names, part.tokens
