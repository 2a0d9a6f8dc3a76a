"""Every way in which an attempt at a worker can end, and whether the request may then be retried.

The tests cover each row of the table of docs/design/hardening/calls.md for each kind of request. `RETRY`: the request
did not run, so another worker gets it. `RETRY_IF_REPEATABLE`: the request may have run, so only a kind that may run
twice is retried. `NO_RETRY`: the client receives the worker's answer, and the request is not retried.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum, auto

import pytest

from canvasbeam.data_plane.dispatcher_settings import dispatcher_settings
from canvasbeam.data_plane.exchange import Exchange, ExchangeResult
from canvasbeam.data_plane.health_check import check_health
from canvasbeam.data_plane.worker_connections import WorkerConnection
from canvasbeam.dispatch.actions import Action, StartAttempt
from canvasbeam.dispatch.dispatcher import Dispatcher
from canvasbeam.dispatch.events import Event, Outcome
from tests.data_plane.test_data_plane_requests import run
from tests.support.data_plane_harness import (
    ClientResponse,
    DataPlaneUnderTest,
    Script,
    ScriptedWorker,
    WorkerTurn,
    event,
    request_bytes,
)

KINDS = ("safe", "unsafe", "stream", "resume")
REPEATABLE_KINDS = ("safe", "resume")
STREAMS = ("stream", "resume")
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


class RetryRule(Enum):
    """What the data plane may do after an attempt has ended; see the module docstring."""

    RETRY = auto()
    RETRY_IF_REPEATABLE = auto()
    NO_RETRY = auto()


async def answer_completely(turn: WorkerTurn) -> None:
    """Send a complete answer: the rest of three events for a stream, else a body."""
    if turn.request.target.split("/")[1] not in STREAMS:
        await turn.answer()
        return
    await turn.begin_stream()
    first = int(turn.request.headers.get("last-event-id", 0)) + 1
    for number in range(first, 4):
        await turn.event(number)
    await turn.end_stream()


def head(turn: WorkerTurn, *headers: str, status: str = "200 OK") -> str:
    lines = [f"HTTP/1.1 {status}", f"X-Request-Id: {turn.request.identity}", "X-Response-Seal: a", *headers]
    return "\r\n".join(lines) + "\r\n\r\n"


# --- worker scripts: how an attempt ends ----------------------------------------------------------


async def silence(turn: WorkerTurn) -> None:
    await turn.until_closed()


async def reset_before_an_answer(turn: WorkerTurn) -> None:
    turn.reset()


async def end_before_an_answer(turn: WorkerTurn) -> None:
    turn.writer.close()


async def reset_in_the_head(turn: WorkerTurn) -> None:
    await turn.write(head(turn)[:30])
    await asyncio.sleep(0)
    turn.reset()


async def end_in_the_head(turn: WorkerTurn) -> None:
    await turn.write(head(turn)[:30])
    turn.writer.close()


async def reset_in_the_body(turn: WorkerTurn) -> None:
    await turn.write(head(turn, "Content-Length: 10") + "half")
    await asyncio.sleep(0)
    turn.reset()


async def end_in_the_body(turn: WorkerTurn) -> None:
    await turn.write(head(turn, "Content-Length: 10") + "half")
    turn.writer.close()


async def end_in_the_chunks(turn: WorkerTurn) -> None:
    await turn.write(head(turn, "Transfer-Encoding: chunked") + "4\r\nhalf\r\n")
    turn.writer.close()


async def reset_without_a_length(turn: WorkerTurn) -> None:
    await turn.write(head(turn) + "half")
    await asyncio.sleep(0)
    turn.reset()


async def non_http_bytes(turn: WorkerTurn) -> None:
    await turn.write("\x00\x01 not an answer\r\n\r\n")
    turn.writer.close()


async def protocol_switch(turn: WorkerTurn) -> None:
    await turn.write(head(turn, status="101 Switching Protocols"))
    turn.writer.close()


async def answer_to_another_request(turn: WorkerTurn) -> None:
    await turn.answer(identity="another")


async def rejection_of_another_request(turn: WorkerTurn) -> None:
    await turn.answer("503 Service Unavailable", "", "X-Not-Executed: 1", seal=False, identity="another")


async def success_without_an_id(turn: WorkerTurn) -> None:
    await turn.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Response-Seal: a\r\n\r\ndone")


async def unproven_503(turn: WorkerTurn) -> None:
    await turn.answer("503 Service Unavailable", "", seal=False)


async def unproven_429(turn: WorkerTurn) -> None:
    await turn.answer("429 Too Many Requests", "")


async def unproven_408(turn: WorkerTurn) -> None:
    await turn.answer("408 Request Timeout", "")


async def without_a_seal(turn: WorkerTurn) -> None:
    await turn.answer(seal=False)


async def full(turn: WorkerTurn) -> None:
    await turn.reject()


async def rate_limited(turn: WorkerTurn) -> None:
    await turn.reject("429 Too Many Requests")


async def misdirected(turn: WorkerTurn) -> None:
    await turn.answer("421 Misdirected Request", "", seal=False)


async def rejection_without_an_id(turn: WorkerTurn) -> None:
    await turn.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nX-Not-Executed: 1\r\n\r\n")


async def misdirected_without_an_id(turn: WorkerTurn) -> None:
    await turn.write("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")


async def duplicate_rejection(turn: WorkerTurn) -> None:
    await turn.reject()
    await turn.reject()


async def redirect(turn: WorkerTurn) -> None:
    await turn.answer("307 Temporary Redirect", "", "Location: http://127.0.0.1:1/elsewhere")


async def refused_by_the_worker(turn: WorkerTurn) -> None:
    await turn.answer("422 Unprocessable Content", "no")


async def rejected_as_malformed(turn: WorkerTurn) -> None:
    await turn.answer("400 Bad Request", "", "X-Not-Executed: 1", seal=False)


async def duplicate_answer(turn: WorkerTurn) -> None:
    await turn.answer()
    await turn.answer()


async def answer_ended_by_close(turn: WorkerTurn) -> None:
    await turn.write(head(turn) + "done")
    turn.writer.close()


MAY_HAVE_RUN: list[Script] = [
    reset_before_an_answer, end_before_an_answer, reset_in_the_head, end_in_the_head, reset_in_the_body,
    end_in_the_body, end_in_the_chunks, reset_without_a_length, non_http_bytes, protocol_switch,
    answer_to_another_request, rejection_of_another_request, success_without_an_id, unproven_503, unproven_429,
    unproven_408, without_a_seal,
]  # fmt: skip
NEVER_RAN: list[Script] = [
    full, rate_limited, misdirected, rejection_without_an_id, misdirected_without_an_id, duplicate_rejection,
]  # fmt: skip
ANSWERED: list[Script] = [
    redirect, refused_by_the_worker, rejected_as_malformed, duplicate_answer, answer_ended_by_close,
]  # fmt: skip
# On a reused connection a rejection without a request id may belong to an earlier request.
AMBIGUOUS_ON_REUSE = (rejection_without_an_id, misdirected_without_an_id)

TABLE = (
    [(script, False, RetryRule.RETRY_IF_REPEATABLE) for script in MAY_HAVE_RUN]
    + [(script, False, RetryRule.RETRY) for script in NEVER_RAN]
    + [(script, False, RetryRule.NO_RETRY) for script in ANSWERED]
    + [(script, True, RetryRule.RETRY_IF_REPEATABLE) for script in (*MAY_HAVE_RUN, *AMBIGUOUS_ON_REUSE)]
    + [(script, True, RetryRule.RETRY) for script in NEVER_RAN if script not in AMBIGUOUS_ON_REUSE]
    + [(script, True, RetryRule.NO_RETRY) for script in ANSWERED]
)


@dataclass
class Trial:
    """Two workers that run the script for the first attempt of request r1, and answer all other attempts in full."""

    script: Script
    reused: bool = False
    workers: list[ScriptedWorker] = field(default_factory=list)
    armed: bool = False

    def __post_init__(self) -> None:
        self.workers = [ScriptedWorker(name, default=self._serve) for name in ("w1", "w2")]

    async def _serve(self, turn: WorkerTurn) -> None:
        if self.armed and turn.request.identity == "r1":
            self.armed = False
            await self.script(turn)
        else:
            await answer_completely(turn)

    async def warm_up(self, data_plane: DataPlaneUnderTest, kind: str) -> None:
        """Arm the script; with `reused`, first open connections to both workers and leave them idle."""
        clients = [await data_plane.client() for _ in range(4)]
        rounds = range(4) if self.reused else ()
        for number in rounds:
            requests = (client.request(f"/{kind}/x", f"warm-{number}-{index}") for index, client in enumerate(clients))
            await asyncio.gather(*requests)
        if self.reused:
            assert all(worker.connections for worker in self.workers)
        self.armed = True

    def runs(self) -> int:
        """Return the number of times that request r1 reached a worker."""
        return Counter(request.identity for worker in self.workers for request in worker.received)["r1"]


def assert_no_unsafe_retry(kind: str, rule: RetryRule, runs: int, answer: ClientResponse) -> None:
    """Check that a request that may have run is neither retried nor reported as not run, unless it may run twice."""
    if rule is RetryRule.RETRY_IF_REPEATABLE and kind not in REPEATABLE_KINDS:
        assert runs == 1, f"the {kind} request was written {runs} times"
        assert answer.status not in NOT_EXECUTED_STATUSES, (
            f"the {kind} request may have run, but status {answer.status} says it did not"
        )


def assert_complete(kind: str, answer: ClientResponse) -> None:
    body = "".join(map(event, (1, 2, 3))) if kind in STREAMS else "done"
    assert (answer.status, answer.body, answer.complete) == (200, body.encode(), True)


def run_trial(script: Script, reused: bool, kind: str) -> tuple[int, ClientResponse]:
    """Send a request whose first attempt runs the script; return its number of attempts and the client's answer."""
    trial = Trial(script, reused)
    results: list[ClientResponse] = []

    async def body(data_plane: DataPlaneUnderTest) -> None:
        await trial.warm_up(data_plane, kind)
        client = await data_plane.client()
        results.append(await client.request(f"/{kind}/x", "r1"))
        # Bytes left over from the first answer must not reach a later client.
        for number in range(3):
            later = await (await data_plane.client()).request(f"/{kind}/x", f"later-{number}")
            assert later.status in (200, 503)
            if later.status == 200:
                assert_complete(kind, later)

    run(body, *trial.workers)
    return trial.runs(), results[0]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(("script", "reused", "rule"), TABLE)
def test_request_is_retried_only_as_the_table_allows(script: Script, reused: bool, rule: RetryRule, kind: str) -> None:
    runs, answer = run_trial(script, reused, kind)
    assert_no_unsafe_retry(kind, rule, runs, answer)
    if rule is RetryRule.NO_RETRY:
        assert runs == 1
    elif rule is RetryRule.RETRY:
        assert runs == 2
        assert_complete(kind, answer)
    elif kind in REPEATABLE_KINDS:
        assert runs <= 2
        if runs == 2:
            assert_complete(kind, answer)
    else:
        assert answer.status == 502


def test_health_check_of_an_ejected_worker_does_not_count_as_a_run() -> None:
    """Regression: on a busy machine a health check arrived before a trial ended, and the trial failed to count it."""
    trial = Trial(unproven_429)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        trial.armed = True
        answer = await (await data_plane.client()).request("/stream/x", "r1")
        assert answer.status == 502
        while not any(received.identity == "" for worker in trial.workers for received in worker.received):
            await asyncio.sleep(0.01)
        for number in range(4):  # enough requests to reach both workers, including the ejected one
            later = await (await data_plane.client()).request("/stream/x", f"later-{number}")
            assert_complete("stream", later)

    run(body, *trial.workers)
    assert trial.runs() == 1


@pytest.mark.parametrize("kind", KINDS)
def test_request_to_a_silent_worker_is_not_reported_as_not_run(kind: str) -> None:
    trial = Trial(silence)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        trial.armed = True
        answer = await (await data_plane.client()).request(f"/{kind}/x", "r1", "", "X-Deadline: 400")
        assert_no_unsafe_retry(kind, RetryRule.RETRY_IF_REPEATABLE, trial.runs(), answer)
        assert answer.status in ((200, 502, 504) if kind in REPEATABLE_KINDS else (502, 504))

    run(body, *trial.workers)


@pytest.mark.parametrize("kind", KINDS)
def test_request_is_retried_when_its_connection_breaks_before_the_first_byte(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    trial = Trial(answer_completely)
    broken: list[WorkerConnection] = []
    exchange = Exchange._exchange

    async def break_the_first(self: Exchange) -> ExchangeResult:
        if not broken:
            broken.append(self._connection)
            self._connection.stream.abort()
        return await exchange(self)

    monkeypatch.setattr(Exchange, "_exchange", break_the_first)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        assert_complete(kind, await (await data_plane.client()).request(f"/{kind}/x", "r1"))
        assert trial.runs() == 1

    run(body, *trial.workers)


def test_late_answer_does_not_reach_another_client() -> None:
    """Guard against passing a worker's late answer to another client.

    The first client gets 504 at its deadline, and the worker's answer arrives during a second request.
    """
    late = asyncio.Event()

    async def answer_late(turn: WorkerTurn) -> None:
        await late.wait()
        await turn.answer("200 OK", "late")

    worker = ScriptedWorker("w1", default=answer_late)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        first = await data_plane.client()
        assert (await first.request("/unsafe/x", "r1", "", "X-Deadline: 200")).status == 504
        worker.default = answer_completely
        late.set()
        second = await (await data_plane.client()).request("/unsafe/x", "r2")
        assert (second.status, second.body) == (200, b"done")
        assert Counter(request.identity for request in worker.received) == {"r1": 1, "r2": 1}

    run(body, worker)


# --- two attempts with one request id -------------------------------------------------------------


def test_request_with_a_repeated_id_uses_a_new_connection() -> None:
    """Guard against reuse of a connection on which a late duplicate of the first answer has the second request's id."""
    written: dict[object, str] = {}

    async def answer_after_duplicate(turn: WorkerTurn) -> None:
        surplus = written.get(turn.writer)
        if surplus is not None:
            await turn.answer("200 OK", surplus)  # a late duplicate of the first answer
        written[turn.writer] = f"body-{len(written)}"
        await turn.answer("200 OK", written[turn.writer])

    worker = ScriptedWorker("w1", default=answer_after_duplicate)

    async def body(data_plane: DataPlaneUnderTest) -> None:
        client = await data_plane.client()
        for number in range(3):
            assert (await client.request("/unsafe/x", "r1")).body == f"body-{number}".encode()
        assert worker.connections == 3

    run(body, worker)


class DuplicatingDispatcher(Dispatcher):
    """A planted fault: a dispatcher that sends each request to two workers at once."""

    def handle(self, now_ns: int, events: Sequence[Event]) -> list[Action]:
        actions = super().handle(now_ns, events)
        others = {"w1": "w2", "w2": "w1"}
        duplicates = [
            StartAttempt(action.request_id, others[action.worker])
            for action in actions
            if isinstance(action, StartAttempt)
        ]
        return [*actions, *duplicates]


@pytest.mark.parametrize(("kind", "max_runs"), [("safe", 2), ("unsafe", 1), ("stream", 1), ("resume", 1)])
def test_duplicate_attempt_of_the_dispatcher_runs_only_safe_requests_twice(kind: str, max_runs: int) -> None:
    released = asyncio.Event()

    async def answer_when_released(turn: WorkerTurn) -> None:
        await released.wait()
        await answer_completely(turn)

    workers = [ScriptedWorker(name, default=answer_when_released) for name in ("w1", "w2")]

    async def body(data_plane: DataPlaneUnderTest) -> None:
        data_plane.router._driver._dispatcher = DuplicatingDispatcher(dispatcher_settings(data_plane.settings), 1)
        data_plane.router._driver._restart = lambda: None  # type: ignore[method-assign]
        data_plane.configure()
        for worker in workers:
            data_plane.heartbeat(worker)
        client = await data_plane.client()
        await client.send(request_bytes(f"/{kind}/x"))
        while not any(worker.received for worker in workers):
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.05)  # gives a second attempt time to reach its worker
        released.set()
        assert_complete(kind, await client.response())
        assert 1 <= sum(len(worker.received) for worker in workers) <= max_runs

    run(body, *workers)


# --- planted faults that the tests above must detect ----------------------------------------------


def test_trust_in_a_rejection_without_id_on_a_reused_connection_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted fault: each connection counts as unused, so a rejection without a request id is trusted."""
    monkeypatch.setattr(WorkerConnection, "is_first_use", property(lambda connection: True))
    runs, answer = run_trial(rejection_without_an_id, True, "unsafe")
    with pytest.raises(AssertionError, match="written 2 times"):
        assert_no_unsafe_retry("unsafe", RetryRule.RETRY_IF_REPEATABLE, runs, answer)


def test_missing_list_of_recent_request_ids_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted fault: a connection keeps no list of the request ids that were sent on it."""
    monkeypatch.setattr(WorkerConnection, "recent_request_ids", property(lambda _: [], lambda *_: None), raising=False)
    with pytest.raises(AssertionError):
        test_request_with_a_repeated_id_uses_a_new_connection()


# --- resume ---------------------------------------------------------------------------------------


def _break_off(reset: bool, partial: str) -> Script:
    async def script(turn: WorkerTurn) -> None:
        await turn.begin_stream()
        await turn.event(1)
        if partial:
            await turn.chunk(partial)
        if reset:
            turn.reset()
        turn.writer.close()

    return script


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("partial", ["", "id: 2\nda"])
@pytest.mark.parametrize("kind", STREAMS)
def test_broken_stream_is_retried_only_if_resumable(kind: str, partial: str, reset: bool) -> None:
    trial = Trial(_break_off(reset, partial))

    async def body(data_plane: DataPlaneUnderTest) -> None:
        trial.armed = True
        answer = await (await data_plane.client()).request(f"/{kind}/x", "r1")
        if kind == "resume":
            assert_complete(kind, answer)
            assert trial.runs() == 2
        else:
            # A reset may also discard bytes sent before it; the client then gets 502 and no part of the answer.
            assert trial.runs() == 1
            assert not answer.complete or answer.status == 502

    run(body, *trial.workers)


# --- health checks share the connections ----------------------------------------------------------


def test_duplicate_answer_to_a_request_is_not_taken_for_a_health_answer() -> None:
    worker = ScriptedWorker("w1")

    async def body(data_plane: DataPlaneUnderTest) -> None:
        assert (await (await data_plane.client()).request("/unsafe/x", "r1")).status == 200
        pool = data_plane.connections.pool("w1")
        assert pool is not None

        async def surplus(turn: WorkerTurn) -> None:
            await turn.answer(identity="r1")

        async def healthy(turn: WorkerTurn) -> None:
            await turn.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Instance: w1\r\n\r\n")

        worker.scripts = [surplus, healthy]
        assert await check_health(pool, "w1", "/healthz") is Outcome.BROKEN
        assert await check_health(pool, "w1", "/healthz") is Outcome.OK
        assert worker.connections == 2

    run(body, worker)
