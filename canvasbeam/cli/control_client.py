"""Requests of the operator to the processes that serve `control`.

A request goes to the first address; it follows a redirect to the primary, and moves to the next address after a
failure, a 5xx, a 408 or a 429. It owns the attempts and the backoff between rounds of them. A request that changes
something may be sent again: a configuration that was committed is acknowledged again, not rejected. It must never
change a request between two attempts, and never report one as surely not done that may have been received.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from urllib.parse import urlsplit

import httpcore

from canvasbeam.runtime.settings import Address

MAX_REDIRECTS = 2
CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 2.0
MIN_TIMEOUT_S = 0.001
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
REDIRECT_STATUSES = (307, 308)
RETRIED_STATUSES = (408, 429)
ATTEMPT_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)
UNSENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)


@dataclass(frozen=True, slots=True)
class ControlRequest:
    """One request, the same in every attempt."""

    method: str
    path: str
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ControlAnswer:
    """A final answer and who gave it."""

    status: int
    body: bytes
    address: str

    @property
    def is_success(self) -> bool:
        """Whether the request was carried out."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No address gave a final answer in time; `may_be_done` is false where the request surely reached nobody."""

    reason: str
    may_be_done: bool


@dataclass(frozen=True, slots=True)
class _Attempt:
    """What became of one attempt, redirects included: an answer, or the reason why there is none."""

    answer: ControlAnswer | None = None
    reason: str = ""
    was_sent: bool = True


class ControlClient:
    """Tries the control addresses in turn until one gives a final answer or the time is over.

    `clock` returns seconds of a clock that never goes back; `sleep` waits so many seconds.
    """

    def __init__(
        self,
        addresses: Sequence[Address],
        timeout_s: float,
        *,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._addresses = [str(address) for address in addresses]
        self._timeout_s = timeout_s
        self._clock = clock
        self._sleep = sleep

    def send(self, request: ControlRequest) -> ControlAnswer | NoAnswer:
        """Send a request, and again unchanged after each round of failed attempts, as long as the time lasts.

        The backoff between rounds doubles from FIRST_BACKOFF_S to MAX_BACKOFF_S.
        """
        deadline = self._clock() + self._timeout_s
        backoff_s = FIRST_BACKOFF_S
        outcome = NoAnswer("no control address is given", may_be_done=False)
        with httpcore.ConnectionPool() as pool:
            while True:
                for address in self._addresses:
                    attempt = self._attempt(pool, address, request, deadline)
                    if attempt.answer is not None:
                        return attempt.answer
                    outcome = NoAnswer(attempt.reason, outcome.may_be_done or attempt.was_sent)
                left_s = deadline - self._clock()
                if left_s <= backoff_s:
                    return outcome
                self._sleep(backoff_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def _attempt(
        self, pool: httpcore.ConnectionPool, address: str, request: ControlRequest, deadline: float
    ) -> _Attempt:
        """Send the request to one address, and follow the redirects from there."""
        was_sent = False
        for _ in range(MAX_REDIRECTS + 1):
            try:
                response = self._exchange(pool, address, request, deadline)
            except UNSENT_ERRORS as error:
                return _Attempt(reason=f"{address}: {_error_text(error)}", was_sent=was_sent)
            except ATTEMPT_ERRORS as error:
                return _Attempt(reason=f"{address}: {_error_text(error)}")
            if response.status in REDIRECT_STATUSES:
                primary = _redirect_address(response)
                if primary is None:
                    return _Attempt(reason=f"{address}: a redirect without a usable Location", was_sent=was_sent)
                address = primary
                continue
            if response.status >= 500 or response.status in RETRIED_STATUSES:
                was_sent = True
                reason = f"{address}: {response.status} {response.content.decode('utf-8', 'replace').strip()}"
                return _Attempt(reason=reason, was_sent=was_sent)
            return _Attempt(answer=ControlAnswer(response.status, response.content, address))
        return _Attempt(reason=f"{address}: too many redirects", was_sent=was_sent)

    def _exchange(
        self, pool: httpcore.ConnectionPool, address: str, request: ControlRequest, deadline: float
    ) -> httpcore.Response:
        """Send the request once, within what is left of the time; raise httpcore's errors."""
        left_s = max(MIN_TIMEOUT_S, deadline - self._clock())
        timeout = {
            "connect": min(CONNECT_TIMEOUT_S, left_s),
            "write": min(ANSWER_TIMEOUT_S, left_s),
            "read": min(ANSWER_TIMEOUT_S, left_s),
            "pool": left_s,
        }
        headers: list[tuple[bytes | str, bytes | str]] = [("Host", address), *request.headers.items()]
        if request.body:
            headers.append(("Content-Type", "application/json"))
        return pool.request(
            request.method,
            f"http://{address}{request.path}",
            headers=headers,
            content=request.body,
            extensions={"timeout": timeout},
        )


def _redirect_address(response: httpcore.Response) -> str | None:
    """Return the address that a redirect names, None without a usable one; the path stays that of the request."""
    for name, value in response.headers:
        if name.lower() == b"location":
            netloc = urlsplit(value.decode("latin-1")).netloc
            try:
                return str(Address.parse(netloc))
            except ValueError:
                return None
    return None


def _error_text(error: Exception) -> str:
    """Return what an error says, or its class where it says nothing."""
    return str(error) or type(error).__name__
