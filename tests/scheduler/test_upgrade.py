"""An upgrade of real scheduler processes on loopback loses no request.

The second starts beside the first and becomes ready, the first gets SIGTERM and ends; every request sent meanwhile has
its one answer, and a worker in maintenance mode stays in it.
"""

from __future__ import annotations

import json
import os
import re
import select
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.support.free_ports import free_port
from tests.support.loopback import Peer, Server, done

ROOT = Path(__file__).parents[2]
WAITS = 4000  # waits for a socket of at most 10 ms each; a story that takes more hangs


class Fleet:
    """Discovery and two targets in this process, scheduler processes beside it, clients made by hand."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.discovery = Server()
        self.workers = [Server(), Server()]
        self.answered: dict[int, int] = {}  # by discovery's peer: calls answered
        self.served: dict[str, int] = {}  # call ids by the target that served them
        self.listen = ("127.0.0.1", free_port())
        fields = json.loads((ROOT / "example" / "config.json").read_text())
        fields |= {"listen": "{}:{}".format(*self.listen), "discovery": "{}:{}".format(*self.discovery.address)}
        fields.pop("mgmt", None)
        self.config = folder / "config.json"
        self.config.write_text(json.dumps(fields))
        self.processes: list[subprocess.Popen[bytes]] = []

    def start(self, number: int) -> tuple[subprocess.Popen[bytes], tuple[str, int]]:
        mgmt = ("127.0.0.1", free_port())
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environment |= {
            "LB_CONFIG": str(self.config), "LB_MGMT": "{}:{}".format(*mgmt), "TMPDIR": str(self.folder),
            "PYTHONPATH": str(ROOT),
        }  # fmt: skip
        log = (self.folder / f"run{number}.log").open("ab")
        process = subprocess.Popen(
            [sys.executable, "-m", "canvasbeam"], env=environment, cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log,
        )  # fmt: skip
        self.processes.append(process)
        return process, mgmt

    def stop(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()

    def serve(self) -> None:
        """Discovery answers each first call with the whole list and holds every watch; targets serve at once."""
        hosts = [
            {"host": f"s-{place}", "dial": "{}:{}".format(*worker.address), "site": "rennes-nord", "health": "Ready"}
            for place, worker in enumerate(self.workers)
        ]
        body = json.dumps({"seq": 1, "whole": True, "hosts": hosts}).encode()
        for peer in self.discovery.look():
            asked = peer.got.count(b"GET /registry/instances HTTP")
            if asked and self.answered.get(id(peer), 0) == 0:
                self.answered[id(peer)] = 1
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                peer.say(head + body)
        for place, target in enumerate(self.workers):
            for peer in target.look():
                for call_id in re.findall(rb"X-Call-Id: (j[0-9]+)", peer.got):
                    name = call_id.decode()
                    if name not in self.served:
                        self.served[name] = place
                        peer.say(done(f"r-{name}", name))

    def until(self, condition: Callable[[], object]) -> None:
        """Serve, waiting on the sockets, until it holds."""
        for _ in range(WAITS):
            self.serve()
            if condition():
                return
            waiting = select.poll()
            socks = [self.discovery.sock, *[worker.sock for worker in self.workers]]
            socks += [peer.sock for each in (self.discovery, *self.workers) for peer in each.peers if not peer.ended]
            for sock in socks:
                waiting.register(sock, select.POLLIN)
            waiting.poll(10)
        raise AssertionError("the story hangs")


def call(fleet: Fleet, address: tuple[str, int], text: str) -> tuple[int, str]:
    """One call on a management address."""
    try:
        peer = Peer(socket.create_connection(address))
    except OSError:
        return 0, ""
    peer.say(text.encode())
    fleet.until(lambda: peer.look() and peer.ended)
    head, _, body = peer.got.decode().partition("\r\n\r\n")
    return (int(head.split()[1]) if head else 0), body


def healthy(fleet: Fleet, mgmt: tuple[str, int]) -> bool:
    return call(fleet, mgmt, "GET /healthcheck HTTP/1.1\r\n\r\n")[0] == 200


def job(number: int) -> bytes:
    return (
        f"POST /api?sid=k{number} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: j{number}\r\n"
        f"X-Call-Class: file-read\r\nX-Budget: 5\r\nContent-Length: 4\r\n\r\nBODY"
    ).encode()


def test_an_upgrade_beside_the_running_process_loses_no_job_and_keeps_hands(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)
    try:
        old, old_mgmt = fleet.start(1)
        fleet.until(lambda: healthy(fleet, old_mgmt))
        assert call(fleet, old_mgmt, "POST /workers/s-1/maint HTTP/1.1\r\n\r\n")[0] == 200
        clients: dict[int, Peer] = {}
        turns = [0]

        def send(count: int, every: int = 1) -> bool:
            turns[0] += 1
            for _ in range(count if turns[0] % every == 0 else 0):
                number = len(clients)
                clients[number] = Peer(socket.create_connection(fleet.listen))
                clients[number].say(job(number))
            return True

        send(10)
        _new, new_mgmt = fleet.start(2)
        fleet.until(lambda: send(1, 5) and healthy(fleet, new_mgmt))
        old.send_signal(signal.SIGTERM)
        fleet.until(lambda: send(1, 5) and old.poll() is not None)
        assert old.returncode == 0
        send(10)
        fleet.until(
            lambda: all((client.look() and client.ended) or b"\r\n\r\nr-" in client.got for client in clients.values())
        )
        for number, client in clients.items():
            assert client.got.startswith(b"HTTP/1.1 200"), (number, client.got[:80])
            assert client.got.endswith(f"r-j{number}".encode())
        assert set(fleet.served) == {f"j{number}" for number in clients}
        assert set(fleet.served.values()) == {0}  # s-1 was in maintenance in both processes
        status, body = call(fleet, new_mgmt, "GET /stats HTTP/1.1\r\n\r\n")
        figures: dict[str, Any] = json.loads(body)
        assert (status, figures["members"], figures["members_unavailable"]) == (200, 2, 1)
        assert figures["downstream_requests"]["file-read"]["completed"] > 0
    finally:
        fleet.stop()
