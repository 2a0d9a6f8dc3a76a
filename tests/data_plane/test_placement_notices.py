"""Placement notices between data-plane nodes: their recipients, and their effect on latency expectations."""

from __future__ import annotations

import time
from typing import Any, cast

import pytest

from canvasbeam.cluster.member import Member
from canvasbeam.cluster.node import ClusterNode
from canvasbeam.cluster.transport import Channel, DatagramCallback
from canvasbeam.data_plane.placement_notices import (
    MAX_PEERS_PER_REGION,
    MIN_PROMPT_TOKENS,
    PlacementNotice,
    PlacementNotices,
    decode_notice,
    encode_notice,
)
from canvasbeam.dispatch.events import PromptEstimate, PromptPart, RequestArrived, WorkerEntry
from canvasbeam.dispatch.language_model.expectations import EngineCapacity, EngineExpectations
from canvasbeam.dispatch.language_model.learned_latencies import PREFILL_NS_PER_TOKEN
from canvasbeam.runtime.settings import Address
from canvasbeam.units import SECOND
from tests.support.prefix_caches import cached_tokens

PROMPT = PromptEstimate(3000, 0, (PromptPart("5c", 2000), PromptPart("91", 1000)))
SENDER = Address("ip-near", 7001)
LATER = 1 << 62  # by this time the prefill of all announced prompts has ended
HERE = WorkerEntry("w1", "north", "llm")
THERE = WorkerEntry("w2", "south", "llm")


class RecordedTransport:
    def __init__(self) -> None:
        self.sent: list[tuple[str, Channel, bytes]] = []
        self.callbacks: dict[Channel, DatagramCallback] = {}

    def register_datagrams(self, callback: DatagramCallback, channel: Channel) -> None:
        self.callbacks[channel] = callback

    def send_datagram(self, address: Address, payload: bytes, channel: Channel) -> None:
        self.sent.append((address.host, channel, payload))

    def told(self) -> list[str]:
        """Return the hosts that datagrams were sent to, in order of sending."""
        return [host for host, _, _ in self.sent]


class FixedCluster:
    """A cluster node with a constant list of members."""

    def __init__(self, members: tuple[Member, ...]) -> None:
        self.transport = RecordedTransport()
        self._members = members

    def members(self) -> tuple[Member, ...]:
        return self._members

    def peer_address(self, member: Member) -> Address:
        return Address(member.ip, 7001)


def member(name: str, region: str, is_control: bool = False) -> Member:
    return Member(name, "edge", "data-plane", f"ip-{name}", region, region, "", True, 1, is_control)


MEMBERS = (
    member("me", "north"), member("near", "north"), member("far", "south"), member("other", "west"),
    member("core", "north", is_control=True),
)  # fmt: skip


def notices(members: tuple[Member, ...] = MEMBERS) -> tuple[RecordedTransport, EngineExpectations]:
    cluster = FixedCluster(members)
    expectations = EngineExpectations("north")
    expectations.set_engines({"llm": EngineCapacity(100_000)})
    for entry in (HERE, THERE):
        expectations.listed(0, entry)
    PlacementNotices(cast(ClusterNode, cluster), expectations, "me", "north")
    return cluster.transport, expectations


def job(prompt: PromptEstimate = PROMPT, **fields: Any) -> RequestArrived:
    return RequestArrived("j", "chat", 10**10, prompt=prompt, **fields)


def test_a_notice_survives_the_wire() -> None:
    assert decode_notice(encode_notice(PlacementNotice("w1", PROMPT))) == PlacementNotice("w1", PROMPT)
    assert decode_notice(b"\xff\xff\xff") is None


def test_the_nodes_of_the_own_region_are_told() -> None:
    transport, expectations = notices()
    expectations.sent(0, HERE, job())
    assert [(host, channel) for host, channel, _ in transport.sent] == [("ip-near", Channel.PLACEMENT)]


def test_a_send_to_another_region_is_told_there_too() -> None:
    transport, expectations = notices()
    expectations.sent(0, THERE, job())
    assert transport.told() == ["ip-near", "ip-far"]


def test_short_prompts_are_not_told() -> None:
    transport, expectations = notices()
    expectations.sent(0, HERE, job(PromptEstimate(MIN_PROMPT_TOKENS - 1, 0)))
    assert transport.sent == []


def test_a_node_of_a_large_region_tells_some_others_and_the_same_ones_again() -> None:
    many = tuple(member(f"edge-{number}", "north") for number in range(100))
    transport, expectations = notices((*many, member("me", "north")))
    expectations.sent(0, HERE, job())
    first = transport.told()
    expectations.sent(0, HERE, job())
    assert len(set(first)) == len(first) == MAX_PEERS_PER_REGION
    assert transport.told() == first * 2


def test_a_notice_of_another_node_is_expected_to_wait_and_to_be_kept() -> None:
    transport, expectations = notices()
    alone = expectations.first_token_ns(0, HERE, job())
    transport.callbacks[Channel.PLACEMENT](SENDER, encode_notice(PlacementNotice("w1", PROMPT)))
    assert cached_tokens(expectations, HERE, job()) == PROMPT.tokens_in
    assert expectations.first_token_ns(time.monotonic_ns(), HERE, job()) > expectations.first_token_ns(
        LATER, HERE, job()
    )
    assert expectations.first_token_ns(LATER, HERE, job()) == pytest.approx(
        alone - PROMPT.tokens_in * PREFILL_NS_PER_TOKEN
    )
    assert transport.sent == []


def test_pauses_and_silence_survive_the_wire_and_reach_the_expectations() -> None:
    for notice in (
        PlacementNotice("w1", PROMPT, 1_500_000.0),
        PlacementNotice("w1", PromptEstimate(0, 0), is_unresponsive=True),
    ):
        assert decode_notice(encode_notice(notice)) == notice
    transport, expectations = notices()
    assert expectations.has_capacity(time.monotonic_ns(), HERE, job(), SECOND)
    transport.callbacks[Channel.PLACEMENT](
        SENDER, encode_notice(PlacementNotice("w1", PromptEstimate(0, 0), is_unresponsive=True))
    )
    assert not expectations.has_capacity(time.monotonic_ns(), HERE, job(), SECOND)


def test_silence_is_told_to_the_region() -> None:
    transport, expectations = notices()
    assert expectations.on_timeout is not None
    expectations.on_timeout(HERE)
    assert transport.told() == ["ip-near"]
    notice = decode_notice(transport.sent[0][2])
    assert notice is not None
    assert notice.is_unresponsive


def test_a_notice_that_cannot_be_read_is_passed_over() -> None:
    transport, expectations = notices()
    alone = expectations.first_token_ns(0, HERE, job())
    transport.callbacks[Channel.PLACEMENT](SENDER, b"\xff\xff\xff")
    assert cached_tokens(expectations, HERE, job()) == 0
    assert expectations.first_token_ns(LATER, HERE, job()) == alone
