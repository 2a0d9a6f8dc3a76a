"""Notices of prompts between data-plane nodes: who is told, and what comes of it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, cast

from canvasbeam.cluster.member import Member
from canvasbeam.cluster.node import ClusterNode
from canvasbeam.cluster.transport import Channel, MessageCallback, PeerInfo
from canvasbeam.data_plane.placement_notices import (
    LEAST_TOKENS,
    MOST_PEERS,
    PlacementNotices,
    decode_notice,
    encode_notice,
)
from canvasbeam.decide.engine_model import Engine, EngineExpectations
from canvasbeam.interface import JobArrived, PromptEstimate, PromptPart, WorkerEntry
from canvasbeam.runtime.settings import Address

PROMPT = PromptEstimate(3000, 0, (PromptPart("5c", 2000), PromptPart("91", 1000)))
HERE = WorkerEntry("w1", "north", "llm")
THERE = WorkerEntry("w2", "south", "llm")


class RecordedTransport:
    def __init__(self) -> None:
        self.sent: list[tuple[tuple[str, ...], Channel, bytes]] = []
        self.callbacks: dict[Channel, MessageCallback] = {}

    def register(self, channel: Channel, callback: MessageCallback) -> None:
        self.callbacks[channel] = callback

    def send_to_many(self, addresses: Iterable[Address], channel: Channel, payload: bytes) -> None:
        self.sent.append((tuple(each.host for each in addresses), channel, payload))


class FixedCluster:
    """A cluster whose members are given."""

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
    expectations.engines({"llm": Engine(100_000)})
    for entry in (HERE, THERE):
        expectations.listed(0, entry)
    PlacementNotices(cast(ClusterNode, cluster), expectations, "me", "north")
    return cluster.transport, expectations


def job(prompt: PromptEstimate = PROMPT, **fields: Any) -> JobArrived:
    return JobArrived("j", "chat", 10**10, prompt=prompt, **fields)


def test_a_notice_survives_the_wire() -> None:
    assert decode_notice(encode_notice("w1", PROMPT)) == ("w1", PROMPT)
    assert decode_notice(b"\xff\xff\xff") is None


def test_the_nodes_of_the_own_region_are_told() -> None:
    transport, expectations = notices()
    expectations.sent(0, HERE, job())
    assert [(hosts, channel) for hosts, channel, _ in transport.sent] == [(("ip-near",), Channel.PLACEMENT)]


def test_a_send_to_another_region_is_told_there_too() -> None:
    transport, expectations = notices()
    expectations.sent(0, THERE, job())
    assert transport.sent[0][0] == ("ip-near", "ip-far")


def test_short_prompts_are_not_told() -> None:
    transport, expectations = notices()
    expectations.sent(0, HERE, job(PromptEstimate(LEAST_TOKENS - 1, 0)))
    assert transport.sent == []


def test_a_node_of_a_large_region_tells_some_others_and_the_same_ones_again() -> None:
    many = tuple(member(f"edge-{number}", "north") for number in range(100))
    transport, expectations = notices((*many, member("me", "north")))
    expectations.sent(0, HERE, job())
    expectations.sent(0, HERE, job())
    assert len(set(transport.sent[0][0])) == MOST_PEERS
    assert transport.sent[0][0] == transport.sent[1][0]


def test_a_notice_of_another_node_is_expected_to_wait_and_to_be_kept() -> None:
    transport, expectations = notices()
    sender = PeerInfo("near", Address("ip-near", 7001))
    transport.callbacks[Channel.PLACEMENT](sender, encode_notice("w1", PROMPT))
    assert expectations.kept(HERE, job()) == PROMPT.tokens_in
    assert transport.sent == []


def test_a_notice_that_cannot_be_read_is_passed_over() -> None:
    transport, expectations = notices()
    transport.callbacks[Channel.PLACEMENT](PeerInfo("near", Address("ip-near", 7001)), b"\xff\xff\xff")
    assert expectations.kept(HERE, job()) == 0
