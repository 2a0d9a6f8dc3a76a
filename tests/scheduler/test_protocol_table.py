"""Every header and field of a job on the protocol pages, what it becomes for the decisions and for the target.

The table stands in docs/design/second-deployment.md too. A header that nobody read (X-Call-Cost, for long) went
unnoticed because the first deployment's clients send none.
"""

from __future__ import annotations

from typing import Any

import pytest

from canvasbeam.dispatch.actions import Action
from canvasbeam.dispatch.events import Event, RequestArrived
from tests.support.loopback import Server, World, job

MICROSECOND = 1000
# What a client sends; the field of RequestArrived and its value; what the target must be sent, if anything.
TABLE: dict[str, tuple[bytes, str, Any, bytes]] = {
    "X-Call-Id": (job(call_id="id-7"), "job", "0", b"X-Call-Id: id-7\r\n"),
    "X-Call-Class": (job("book"), "request_class", "book", b"X-Call-Class: book\r\n"),
    "X-Caller": (job(extra="X-Caller: acme\r\n"), "tenant", "acme", b"X-Caller: acme\r\n"),
    "no X-Caller": (job(), "tenant", None, b""),
    "sid": (job(), "key", "k1", b"POST /api?sid=k1&x=%20y HTTP/1.1\r\n"),
    "Idempotency-Key": (job(extra="Idempotency-Key: 5c0f\r\n"), "job", "0", b"Idempotency-Key: 5c0f\r\n"),
    "X-Again": (job(extra="X-Again: 1\r\n"), "repeat", True, b"X-Again: 1\r\n"),
    "no X-Again": (job(), "repeat", False, b""),
    "X-Call-Info slots": (job(extra="X-Call-Info: slots=2\r\n"), "slots", 2.0, b"X-Call-Info: slots=2\r\n"),
    "X-Call-Info memory": (job(extra="X-Call-Info: slots=1,memory=3\r\n"), "memory", 3.0, b""),
    "X-Call-Cost": (job(extra="X-Call-Cost: 431624\r\n"), "service_hint_ns", 431_624 * MICROSECOND, b"X-Call-Cost: 43"),
    "X-Call-Cost, a part": (job(extra="X-Call-Cost: 12.6\r\n"), "service_hint_ns", 13 * MICROSECOND, b""),
    "X-Call-Cost absent": (job(), "service_hint_ns", 0, b""),
    "X-Call-Cost 0": (job(extra="X-Call-Cost: 0\r\n"), "service_hint_ns", 0, b""),
    "X-Call-Cost negative": (job(extra="X-Call-Cost: -5\r\n"), "service_hint_ns", 0, b""),
    "X-Call-Cost absurd": (job(extra="X-Call-Cost: 999999999999\r\n"), "service_hint_ns", 0, b""),
    "X-Call-Cost huge": (job(extra=f"X-Call-Cost: {'9' * 400}\r\n"), "service_hint_ns", 0, b""),
    "X-Call-Cost no number": (job(extra="X-Call-Cost: nan\r\n"), "service_hint_ns", 0, b""),
}


@pytest.mark.parametrize("name", TABLE)
def test_what_a_client_says_reaches_the_decisions_and_the_target(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    data, field, value, passed = TABLE[name]
    world = World(Server())
    told: list[Event] = []
    handle = world.coordinator.decisions.dispatcher.handle

    def spy(now: int, events: list[Event]) -> list[Action]:
        told.extend(events)
        return handle(now, events)

    monkeypatch.setattr(world.coordinator.decisions.dispatcher, "handle", spy)
    client = world.client(data)
    peer = world.asked()
    assert not client.ended
    arrived = [item for item in told if isinstance(item, RequestArrived)]
    assert len(arrived) == 1
    if field == "job":
        assert arrived[0].request_id.isdigit()  # a name of the program's own
    else:
        assert getattr(arrived[0], field) == value
    assert passed in peer.got


def test_the_budget_becomes_a_due_time_and_is_told_the_target_anew() -> None:
    world = World(Server())
    client = world.client(job(budget="4.0"))
    head = world.asked().got.decode()
    assert not client.ended
    told = float(head.split("X-Budget: ")[1].split("\r\n")[0])
    assert 0 < told <= 4
    assert head.count("X-Budget") == 1
