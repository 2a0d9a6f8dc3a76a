"""Tests gossip nodes on an event loop: joining and leaving, address reuse, floods and disallowed addresses."""

from __future__ import annotations

import socket

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim import Datagram, DatagramKind, MemberUpdate, Sender
from canvasbeam.gossip.codec import MAX_DATAGRAM_BYTES, Codec, DropReason
from canvasbeam.gossip.datagram_node import GossipNode, PeerNode
from tests.support.free_ports import free_port
from tests.support.gossip_nodes import new_loop, run_until, settings_on


def test_two_nodes_on_one_loop_find_each_other_and_one_leaves() -> None:
    running, one, two = new_loop(), free_port(), free_port()
    first = GossipNode.bind(running, settings_on(one), "a", 1)
    second = PeerNode(running, settings_on(two, seeds=[f"127.0.0.1:{one}"]), "b", 1)
    run_until(running, lambda: first.report()["there"] == ["a", "b"] == second.report()["there"])
    assert second.report()["members"][0]["state"] == "alive"
    second.leave()
    run_until(running, lambda: first.report()["gone"] == ["b"])
    assert first.report()["members"][0]["state"] == "left"
    run_until(running, lambda: second.node is not None and second.node.closed)
    running.close()


def test_a_process_beside_an_older_one_waits_for_the_address() -> None:
    running, port = new_loop(), free_port()
    old = PeerNode(running, settings_on(port), "a", 1)
    new = PeerNode(running, settings_on(port), "a", 2)
    assert new.node is None
    assert new.report()["me"]["state"] == "waiting for its address"
    old.leave()
    run_until(running, lambda: new.node is not None)
    running.close()


def test_a_flood_of_rubbish_and_of_good_pings_is_bounded_and_counted() -> None:
    running, port = new_loop(), free_port()
    mine = GossipNode.bind(running, settings_on(port, sizes={"taken_per_s": 100, "taken_per_s_of_one": 40}), "a", 1)
    codec = Codec("f", 10)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sent = 0
        for number in range(400):
            rubbish = (
                b"\x00" * 20
                if number % 2
                else codec.encode(Sender(f"x{number}", 1, 0, ""), Datagram(DatagramKind.PING))
            )
            assert rubbish is not None
            sent += sock.sendto(rubbish, ("127.0.0.1", port)) > 0
            running.one_pass()
        run_until(running, lambda: sum(mine.codec.dropped.values()) + mine.received["datagrams"] >= sent)
    dropped = mine.report()["dropped"]
    assert dropped["fast"] > 300
    assert dropped["garbled"] > 0
    assert mine.report()["there"] == ["a"]
    assert mine.sent["datagrams"] < 2 * mine.received["datagrams"] + 40
    running.close()


def test_nothing_goes_to_an_address_that_a_member_made_up() -> None:
    running, port = new_loop(), free_port()
    mine = GossipNode.bind(running, settings_on(port), "a", 1)
    codec = Codec("f", 10)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        address = "{}:{}".format(*sock.getsockname())
        them = Sender("b", 1, 0, address)
        far = MemberUpdate("c", "10.0.0.1:7000", MemberStatus.ALIVE, 1, 0)

        def say(datagram: Datagram) -> None:
            sock.sendto(codec.encode(them, datagram) or b"", ("127.0.0.1", port))

        def answer() -> bool:
            try:
                data = sock.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return False
            event = Codec("f", 10).decode(data, "")
            if event is not None and event.datagram.kind is DatagramKind.PING:
                say(Datagram(DatagramKind.ACK, event.datagram.number, updates=(far,)))
            return "c" in mine.report()["there"]

        say(Datagram(DatagramKind.PING, 1))
        run_until(running, answer)
        run_until(running, lambda: mine.codec.dropped[DropReason.ADDRESS_NOT_ALLOWED] > 0)
    running.close()
