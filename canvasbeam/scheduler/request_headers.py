"""From the headers of a client's request to the `Request` that the coordinator takes, or to its rejection.

It owns the meaning of the `X-Call-` headers, whose names ("call", and "job" in the coordinator's types) are those of
the wire. It must never accept a value that a worker could read in another way.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from urllib.parse import parse_qs

from canvasbeam.scheduler.forwarded_request import ForwardedRequest
from canvasbeam.scheduler.limits import ZERO, Limits
from canvasbeam.scheduler.request_reader import ReceivedRequest, RequestRejectedError
from canvasbeam.scheduler.requests import FinalAnswer, Request

# A worker could read a second value of one of these in another way.
SINGLE = (b"x-call-id", b"x-call-class", b"x-budget", b"idempotency-key")
# What a request id and an idempotency key may contain: workers and logs read these.
PRINTABLE = re.compile(r"[!-~]+")
# float() would also take nan, 1_0, 1e9 and digits of other scripts.
DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12}")


def read_request(
    received: ReceivedRequest,
    query: bytes,
    limits: Limits,
    knows_class: Callable[[str], bool],
    answer: Callable[[FinalAnswer], None],
) -> Request:
    """Return the request as the coordinator takes it; raise RequestRejectedError where its headers cannot be used."""
    names = [name.lower() for name, _ in received.headers]
    for name in SINGLE:
        if names.count(name) > 1:
            raise RequestRejectedError(HTTPStatus.BAD_REQUEST, f"{name.decode()} is given twice")
    request_id, request_class = received.text(b"x-call-id"), received.text(b"x-call-class")
    if not knows_class(request_class):
        raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "X-Call-Class is missing or unknown")
    for name in (b"x-call-id", b"idempotency-key"):
        check_identifier(received, name, limits)
    budget = decimal(received.text(b"x-budget"))
    slots, memory = read_size(received.text(b"x-call-info"))
    if not 0 < budget <= limits.budget.total_seconds():
        raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "X-Budget is no time that can be waited for")
    if not 0 < slots <= limits.slots or memory > limits.slots:
        raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "X-Call-Info asks for what no target has")
    keys = parse_qs(query.decode("latin-1")).get("sid")
    return Request(
        identity=request_id,
        request_class=request_class,
        due=received.arrived + timedelta(seconds=budget),
        payload=ForwardedRequest(
            request_id, received.method, received.url, received.end_to_end_headers(), bytes(received.body)
        ),
        answer=answer,
        tenant=received.text(b"x-caller") or None,
        key=keys[0] if keys else None,
        slots=slots,
        memory=memory,
        repeat=received.text(b"x-again") == "1",
        service_hint=read_service_hint(received.text(b"x-call-cost"), limits.hint),
    )


def check_identifier(received: ReceivedRequest, name: bytes, limits: Limits) -> None:
    """Reject a request id that is missing, and an identifier that is empty, too long or not printable."""
    value = received.value(name)
    text = received.text(name)
    is_missing = name == b"x-call-id" if value is None else not text
    if is_missing or (text and not PRINTABLE.fullmatch(text)) or len(text) > limits.id_length:
        raise RequestRejectedError(HTTPStatus.BAD_REQUEST, f"{name.decode()} is missing or cannot be used")


def read_size(text: str) -> tuple[float, float]:
    """Return the slots and the memory that a request takes, from `slots=1,memory=0`."""
    figures = dict(pair.strip().partition("=")[::2] for pair in text.split(","))
    return decimal(figures.get("slots") or "1"), decimal(figures.get("memory") or "0")


def read_service_hint(text: str, limit: timedelta) -> timedelta:
    """Return the client's estimate of the work, given in microseconds; zero where it is none or over the limit."""
    if not DECIMAL.fullmatch(text):
        return ZERO
    estimate = timedelta(microseconds=float(text))
    return estimate if estimate <= limit else ZERO


def decimal(text: str) -> float:
    """Return a plain decimal number, as these headers have it; raise RequestRejectedError where it is none."""
    if not DECIMAL.fullmatch(text):
        raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "X-Budget or X-Call-Info is not a number")
    return float(text)
