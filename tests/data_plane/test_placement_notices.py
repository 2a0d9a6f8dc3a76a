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
AFTER_PREFILL = 1 << 62  # by this time the prefill of all announced prompts has ended
NEAR_WORKER = WorkerEntry("w1", "north", "llm")
FAR_WORKER = WorkerEntry("w2", "south", "llm")


class RecordedTransport:
    def __init__(self) -> None:
        self.sent: list[tuple[str, Channel, bytes]] = []
        self.callbacks: dict[Channel, DatagramCallback] = {}

    def register_datagrams(self, callback: DatagramCallback, channel: Channel) -> None:
        self.callbacks[channel] = callback

    def send_datagram(self, address: Address, payload: bytes, channel: Channel) -> None:
        self.sent.append((address.host, channel, payload))

    def recipients(self) -> list[str]:
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


def make_notices(members: tuple[Member, ...] = MEMBERS) -> tuple[RecordedTransport, EngineExpectations]:
    cluster = FixedCluster(members)
    expectations = EngineExpectations("north")
    expectations.set_engines({"llm": EngineCapacity(100_000)})
    for entry in (NEAR_WORKER, FAR_WORKER):
        expectations.listed(0, entry)
    PlacementNotices(cast(ClusterNode, cluster), expectations, "me", "north")
    return cluster.transport, expectations


def arrival(prompt: PromptEstimate = PROMPT, **fields: Any) -> RequestArrived:
    return RequestArrived("j", "chat", 10**10, prompt=prompt, **fields)


def test_notice_is_unchanged_after_encoding_and_decoding() -> None:
    assert decode_notice(encode_notice(PlacementNotice("w1", PROMPT))) == PlacementNotice("w1", PROMPT)
    assert decode_notice(b"\xff\xff\xff") is None


def test_notice_is_sent_to_nodes_of_the_own_region() -> None:
    transport, expectations = make_notices()
    expectations.sent(0, NEAR_WORKER, arrival())
    assert [(host, channel) for host, channel, _ in transport.sent] == [("ip-near", Channel.PLACEMENT)]


def test_attempt_in_another_region_is_announced_in_both_regions() -> None:
    transport, expectations = make_notices()
    expectations.sent(0, FAR_WORKER, arrival())
    assert transport.recipients() == ["ip-near", "ip-far"]


def test_short_prompts_are_not_announced() -> None:
    transport, expectations = make_notices()
    expectations.sent(0, NEAR_WORKER, arrival(PromptEstimate(MIN_PROMPT_TOKENS - 1, 0)))
    assert transport.sent == []


def test_node_of_a_large_region_notifies_a_bounded_constant_set_of_peers() -> None:
    peers = tuple(member(f"edge-{number}", "north") for number in range(100))
    transport, expectations = make_notices((*peers, member("me", "north")))
    expectations.sent(0, NEAR_WORKER, arrival())
    first = transport.recipients()
    expectations.sent(0, NEAR_WORKER, arrival())
    assert len(set(first)) == len(first) == MAX_PEERS_PER_REGION
    assert transport.recipients() == first * 2


def test_received_notice_adds_queueing_time_and_cached_prefix() -> None:
    transport, expectations = make_notices()
    baseline_ns = expectations.first_token_ns(0, NEAR_WORKER, arrival())
    transport.callbacks[Channel.PLACEMENT](SENDER, encode_notice(PlacementNotice("w1", PROMPT)))
    assert cached_tokens(expectations, NEAR_WORKER, arrival()) == PROMPT.tokens_in
    assert expectations.first_token_ns(time.monotonic_ns(), NEAR_WORKER, arrival()) > expectations.first_token_ns(
        AFTER_PREFILL, NEAR_WORKER, arrival()
    )
    assert expectations.first_token_ns(AFTER_PREFILL, NEAR_WORKER, arrival()) == pytest.approx(
        baseline_ns - PROMPT.tokens_in * PREFILL_NS_PER_TOKEN
    )
    assert transport.sent == []


def test_event_gap_and_unresponsive_flag_are_encoded_and_applied() -> None:
    for notice in (
        PlacementNotice("w1", PROMPT, 1_500_000.0),
        PlacementNotice("w1", PromptEstimate(0, 0), is_unresponsive=True),
    ):
        assert decode_notice(encode_notice(notice)) == notice
    transport, expectations = make_notices()
    assert expectations.has_capacity(time.monotonic_ns(), NEAR_WORKER, arrival(), SECOND)
    transport.callbacks[Channel.PLACEMENT](
        SENDER, encode_notice(PlacementNotice("w1", PromptEstimate(0, 0), is_unresponsive=True))
    )
    assert not expectations.has_capacity(time.monotonic_ns(), NEAR_WORKER, arrival(), SECOND)


def test_unresponsive_worker_is_announced_to_the_region() -> None:
    transport, expectations = make_notices()
    assert expectations.on_timeout is not None
    expectations.on_timeout(NEAR_WORKER)
    assert transport.recipients() == ["ip-near"]
    notice = decode_notice(transport.sent[0][2])
    assert notice is not None
    assert notice.is_unresponsive


def test_unreadable_notice_is_ignored() -> None:
    transport, expectations = make_notices()
    baseline_ns = expectations.first_token_ns(0, NEAR_WORKER, arrival())
    transport.callbacks[Channel.PLACEMENT](SENDER, b"\xff\xff\xff")
    assert cached_tokens(expectations, NEAR_WORKER, arrival()) == 0
    assert expectations.first_token_ns(AFTER_PREFILL, NEAR_WORKER, arrival()) == baseline_ns
