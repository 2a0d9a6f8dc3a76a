"""Parse the headers that describe the prompt of a request, and compute the request's priority at a worker.

`X-Tokens`, `X-Prefix-Hash` and `X-Model` are read only for placement; the node forwards them to the worker unchanged.
"""

from __future__ import annotations

from canvasbeam.data_plane.requests import ClientRequest
from canvasbeam.dispatch.events import PromptEstimate, PromptPart

LOWEST_WORKER_PRIORITY = 9  # the greatest priority number of a worker; 0 is the most urgent
PROMPT_SIZE_STEPS_TOKENS = (1_500, 4_000, 10_000)  # a prompt is one step less urgent for each threshold that it exceeds
MAX_TOKENS = (1 << 31) - 1  # in a prompt, in one of its parts, or generated
MAX_PARTS = 64  # of a prompt; the placement keeps the names of all parts before each part
MAX_PART_NAME_BYTES = 64
MAX_MODEL_NAME_BYTES = 256
PRIORITY_STEP = 2  # added to the priority number for each threshold that the prompt exceeds


def worker_priority(request: ClientRequest) -> bytes:
    """Return the `Priority` header for a worker: the priority of the route, less urgent for longer prompts.

    Workers prefill one prompt at a time, so a long prompt delays many short prompts, while short prompts hardly delay a
    long one.
    """
    prompt = read_prompt(request)
    tokens = prompt.tokens_in if prompt is not None else 0
    steps = sum(tokens > limit for limit in PROMPT_SIZE_STEPS_TOKENS)
    return str(min(LOWEST_WORKER_PRIORITY, max(0, request.route.priority) + PRIORITY_STEP * steps)).encode()


def read_prompt(request: ClientRequest) -> PromptEstimate | None:
    """Return the estimate of the prompt from the headers; None if `X-Tokens` is missing or a header is malformed."""
    tokens = parts = model = None
    for name, value in request.headers:
        if name == b"x-tokens":
            tokens = value
        elif name == b"x-prefix-hash":
            parts = value
        elif name == b"x-model":
            model = value
    if tokens is None:
        return None
    try:
        tokens_in, _, max_tokens_out = tokens.partition(b",")
        model_name = (model or b"").decode("latin-1").strip()
        if len(model_name) > MAX_MODEL_NAME_BYTES:
            return None
        return PromptEstimate(
            _token_count(tokens_in), _token_count(max_tokens_out or b"0"), _read_parts(parts or b""), model_name
        )
    except ValueError:
        return None


def _token_count(digits: bytes) -> int:
    """Return a number of tokens; raise `ValueError` if it is not a decimal number up to `MAX_TOKENS`."""
    stripped = digits.strip()
    if not stripped.isdigit() or len(stripped) > len(str(MAX_TOKENS)) or int(stripped) > MAX_TOKENS:
        raise ValueError("not a number of tokens")
    return int(stripped)


def _read_parts(text: bytes) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; raise `ValueError` if a part is malformed or there are too many."""
    parts = []
    for part in text.split(b",", MAX_PARTS):
        name, separator, tokens = part.strip().partition(b":")
        if separator:
            if len(name) > MAX_PART_NAME_BYTES:
                raise ValueError("the name of a part is too long")
            parts.append(PromptPart(name.decode("latin-1"), _token_count(tokens)))
    if len(parts) > MAX_PARTS:
        raise ValueError("too many parts")
    return tuple(parts)
