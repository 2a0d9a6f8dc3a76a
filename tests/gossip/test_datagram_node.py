"""Tests gossip nodes on an event loop: joining and leaving, address reuse, floods and disallowed addresses."""

from __future__ import annotations

import socket

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim import Datagram, DatagramKind, MemberUpdate, Sender
from canvasbeam.gossip.codec import MAX_DATAGRAM_BYTES, Codec, DropReason
from canvasbeam.gossip.datagram_node import GossipNode, PeerNode
from tests.support.free_ports import free_port
from tests.support.gossip_nodes import new_loop, run_until, settings_on


def test_two_nodes_on_one_loop_discover_each_other_and_one_leaves() -> None:
    loop, one, two = new_loop(), free_port(), free_port()
    first = GossipNode.bind(loop, settings_on(one), "a", 1)
    second = PeerNode(loop, settings_on(two, seeds=[f"127.0.0.1:{one}"]), "b", 1)
    run_until(loop, lambda: first.report()["there"] == ["a", "b"] == second.report()["there"])
    assert second.report()["members"][0]["state"] == "alive"
    second.leave()
    run_until(loop, lambda: first.report()["gone"] == ["b"])
    assert first.report()["members"][0]["state"] == "left"
    run_until(loop, lambda: second.node is not None and second.node.closed)
    loop.close()


def test_a_new_process_waits_until_the_old_one_frees_the_address() -> None:
    """Fails if the new process of an upgrade does not retry while the old process still uses the gossip address."""
    loop, port = new_loop(), free_port()
    old = PeerNode(loop, settings_on(port), "a", 1)
    new = PeerNode(loop, settings_on(port), "a", 2)
    assert new.node is None
    assert new.report()["me"]["state"] == "waiting for its address"
    old.leave()
    run_until(loop, lambda: new.node is not None)
    loop.close()


def test_a_flood_of_malformed_datagrams_and_valid_pings_is_rate_limited_and_counted() -> None:
    """Fails if a flood gets past the rate limits, adds members, or triggers an unbounded number of replies."""
    loop, port = new_loop(), free_port()
    node = GossipNode.bind(loop, settings_on(port, sizes={"taken_per_s": 100, "taken_per_s_of_one": 40}), "a", 1)
    codec = Codec("f", 10)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sent = 0
        for number in range(400):
            data = (
                b"\x00" * 20
                if number % 2
                else codec.encode(Sender(f"x{number}", 1, 0, ""), Datagram(DatagramKind.PING))
            )
            assert data is not None
            sent += sock.sendto(data, ("127.0.0.1", port)) > 0
            loop.one_pass()
        run_until(loop, lambda: sum(node.codec.dropped.values()) + node.received["datagrams"] >= sent)
    dropped = node.report()["dropped"]
    assert dropped["fast"] > 300
    assert dropped["garbled"] > 0
    assert node.report()["there"] == ["a"]
    assert node.sent["datagrams"] < 2 * node.received["datagrams"] + 40
    loop.close()


def test_no_datagram_is_sent_to_an_address_outside_the_allowed_networks() -> None:
    """Fails if a peer can make a node send to any address by announcing a member at that address."""
    loop, port = new_loop(), free_port()
    node = GossipNode.bind(loop, settings_on(port), "a", 1)
    codec = Codec("f", 10)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        address = "{}:{}".format(*sock.getsockname())
        sender = Sender("b", 1, 0, address)
        unreachable = MemberUpdate("c", "10.0.0.1:7000", MemberStatus.ALIVE, 1, 0)

        def send(datagram: Datagram) -> None:
            sock.sendto(codec.encode(sender, datagram) or b"", ("127.0.0.1", port))

        def answer() -> bool:
            try:
                data = sock.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return False
            event = Codec("f", 10).decode(data, "")
            if event is not None and event.datagram.kind is DatagramKind.PING:
                send(Datagram(DatagramKind.ACK, event.datagram.number, updates=(unreachable,)))
            return "c" in node.report()["there"]

        send(Datagram(DatagramKind.PING, 1))
        run_until(loop, answer)
        run_until(loop, lambda: node.codec.dropped[DropReason.ADDRESS_NOT_ALLOWED] > 0)
    loop.close()
