"""Faults between processes: real instances of the program, and a link of the laboratory's own between each two.

It owns the scheduler processes of a fleet with peers, the switchboard that every datagram between them passes, and the
signals that they get. Each member is known to the others by an address of the switchboard's; a datagram to it comes
there, is lost, held back or doubled as the links say (`canvasbeam/simulator/model/links.py`), and goes on from
the sender's own known address. It must never touch a process that it did not start, reach beyond loopback, or take an
instance's word for what happened to another.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from canvasbeam.scheduler.limits import nanoseconds, seconds
from canvasbeam.scheduler.loop import READ, Endpoint, Loop
from canvasbeam.simulator.model.links import LinkFault, Links
from canvasbeam.simulator.model.units import SECOND
from canvasbeam.simulator.wire import Asked, ClientConnection, ServerConnection, ServerSocket, answer, span

ROOT = Path(__file__).resolve().parents[2]
DATAGRAM = 2_048
READS = 64
SEEDS = 3
EXAMPLE = ROOT / "example" / "config.json"


class MemberSocket(Endpoint):
    """One member's known address."""

    def __init__(self, relay: DatagramRelay, name: str, host: str) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((host, 0))
        super().__init__(relay.loop, sock)
        self.relay = relay
        self.name = name
        self.address = "{}:{}".format(*sock.getsockname())
        self.wants(READ)

    def on_event(self, mask: int) -> None:
        for _ in range(READS):
            try:
                data, source = self.sock.recvfrom(DATAGRAM)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue
            self.relay.came(self, data, source)

    def on_failure(self) -> None:
        """Guards the run: one datagram that could not be passed on is one that was lost."""


class DatagramRelay:
    """All links between the members of a fleet of real processes."""

    def __init__(self, loop: Loop, links: Links) -> None:
        self.loop = loop
        self.links = links
        self.began = nanoseconds(loop.now)
        self.real: dict[str, tuple[str, int]] = {}  # where each member's process listens
        self.passed = self.unknown = 0
        self._sockets = {
            name: MemberSocket(self, name, f"127.78.{1 + place // 250}.{1 + place % 250}")
            for place, name in enumerate(links.zones)
        }
        self._of: dict[tuple[str, int], str] = {}

    def known(self, name: str) -> str:
        """Return the address by which the others know a member."""
        return self._sockets[name].address

    def register(self, name: str, real: tuple[str, int]) -> None:
        """Note that a member's process listens here."""
        self.real[name] = real
        self._of[real] = name

    def write_file(self, name: str, to: Path, periods: Mapping[str, float] | None = None) -> None:
        """Return a member's file on peers: the first few are everybody's seeds."""
        seeds = [socket.address for socket in list(self._sockets.values())[:SEEDS]]
        lines = [
            'fleet = "lab"',
            f'address = "{self.known(name)}"',
            'listen = "{}:{}"'.format(*self.real[name]),
            f"seeds = {json.dumps(seeds)}",
            "[periods]",
        ]
        lines += [f"{key} = {value}" for key, value in (periods or {}).items()]
        to.write_text("\n".join(lines) + "\n")

    def came(self, to: MemberSocket, data: bytes, source: tuple[str, int]) -> None:
        """Carry a datagram from a member to another; from anywhere else it goes no further."""
        sender = self._of.get(source)
        if sender is None:
            self.unknown += 1
            return
        now = nanoseconds(self.loop.now) - self.began
        for delay in self.links.pass_on(now, sender, to.name, len(data)):
            self.loop.after(span(delay), partial(self._deliver, sender, to.name, data))

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        with suppress(OSError):
            self._sockets[sender].sock.sendto(data, self.real[receiver])
            self.passed += 1


@dataclass(slots=True, eq=False)
class Member:
    """One process of the fleet, as the fleet started it."""

    name: str
    listen: tuple[str, int]
    mgmt: tuple[str, int]
    peers: tuple[str, int]
    running: subprocess.Popen[bytes] | None = None
    stopped: bool = False
    told: dict[str, Any] = field(default_factory=dict)  # its last answer to GET /peers
    asking: bool = False

    @property
    def runs(self) -> bool:
        """Whether its process is there and not stopped."""
        return self.running is not None and self.running.poll() is None and not self.stopped


class PeerFleet:
    """Real processes of the program that know each other, on loopback, with faults between them."""

    def __init__(
        self,
        count: int,
        folder: Path,
        faults: Sequence[LinkFault] = (),
        zones: int = 2,
        seed: int = 1,
        look_every_s: float = 0.02,
        periods: Mapping[str, float] | None = None,
    ) -> None:
        self.loop = Loop(seconds(10))
        self.loop.read_clock()
        self.folder = folder
        self.relay = DatagramRelay(
            self.loop, Links({f"n{place}": f"z{place % zones}" for place in range(count)}, faults, seed)
        )
        self.members = {name: self._member(name, place) for place, name in enumerate(self.relay.links.zones)}
        self.periods = dict(periods or {})
        self.looking = True  # GET /peers of all, all the time
        self._look_every = seconds(look_every_s)
        self._discovery = ServerSocket(self.loop, ("127.77.0.1", 0), self._list, _nothing, _nothing, lambda: 0)
        self._look()

    def _member(self, name: str, place: int) -> Member:
        host = f"127.79.{1 + place // 250}.{1 + place % 250}"
        stream = socket.SOCK_STREAM
        member = Member(name, free_address(host, stream), free_address(host, stream), free_address(host))
        self.relay.register(name, member.peers)
        return member

    def _list(self, connection: ServerConnection, asked: Asked) -> None:
        """Discovery, which has nothing to tell: a whole empty list, and watches that are held."""
        body = json.dumps({"seq": 1, "whole": True, "hosts": []}).encode()
        hold = 5.0 if "from=" in asked.path else 0.0
        self.loop.after(seconds(hold), lambda: None if connection.closed else connection.write(answer("200 OK", body)))

    # --- processes --------------------------------------------------------------------------------

    def start(self, name: str, clock_s: float = 0.0, called: str = "", core: int | None = None) -> None:
        """Start a process with nothing but its files; its wall clock is off by so much, its name may be another's."""
        member = self.members[name]
        fields = json.loads(EXAMPLE.read_text())
        places = {"listen": member.listen, "mgmt": member.mgmt, "discovery": self._discovery.address}
        fields |= {"name": called or name, **{key: "{}:{}".format(*place) for key, place in places.items()}}
        fields["settings"]["policyLimits"]["peers"] = True
        config = self.folder / f"{name}.json"
        config.write_text(json.dumps(fields))
        file = self.folder / f"{name}.toml"
        self.relay.write_file(name, file, self.periods)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        environment |= {
            "LB_CONFIG": str(config),
            "LB_PEERS": str(file),
            "PYTHONPATH": str(ROOT),
            "TMPDIR": str(self.folder),
        }
        module = ["canvasbeam"] if not clock_s else ["canvasbeam.simulator.skewed_clock", str(clock_s)]
        with (self.folder / f"{name}.log").open("ab") as log:
            member.running = subprocess.Popen(
                [sys.executable, "-m", *module],
                env=environment,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        member.stopped, member.told = False, {}
        if core is not None:
            os.sched_setaffinity(member.running.pid, {core})

    def signal(self, name: str, number: signal.Signals) -> None:
        """SIGKILL, SIGTERM, SIGSTOP or SIGCONT to a process that was started here."""
        member = self.members[name]
        assert member.running is not None
        member.running.send_signal(number)
        member.stopped = (member.stopped or number is signal.SIGSTOP) and number is not signal.SIGCONT
        if number is signal.SIGKILL:
            member.running.wait()
        member.told = {}

    def close(self) -> None:
        """End what was started here."""
        for member in self.members.values():
            if member.running is not None and member.running.poll() is None:
                member.running.kill()
                member.running.wait()
        self.loop.close()

    # --- looking ----------------------------------------------------------------------------------

    def _look(self) -> None:
        for member in self.members.values():
            if self.looking and member.runs and not member.asking:
                member.asking = True
                connection = ClientConnection(
                    self.loop, member.mgmt, partial(self._told, member), partial(self._silent, member)
                )
                connection.ask(b"GET /peers HTTP/1.1\r\n\r\n")
        self.loop.after(self._look_every, self._look)

    def _told(self, member: Member, connection: ClientConnection, status: int, _: dict[str, str], body: bytes) -> None:
        member.asking = False
        connection.close()
        if status == 200 and member.runs:
            member.told = json.loads(body)

    def _silent(self, member: Member, _: ClientConnection) -> None:
        member.asking = False

    def view(self, name: str) -> list[str]:
        """Whom an instance says to be there; nobody while it has not answered."""
        return list(self.members[name].told.get("there", ()))

    def running(self) -> list[str]:
        """Return the processes that are there."""
        return sorted(member.name for member in self.members.values() if member.runs)

    def agree(self) -> bool:
        """Whether all that run say that exactly those are there, and none of them is suspect."""
        names = self.running()
        return all(
            sorted(self.view(name)) == names
            and all(row["state"] != "suspect" for row in self.members[name].told.get("members", ()))
            for name in names
        )

    def all_know_gone(self, name: str) -> bool:
        """Whether all the others that run have answered, and do not say that this one is there."""
        others = [host for host in self.running() if host != name]
        return all(self.members[other].told and name not in self.view(other) for other in others)

    def until(self, holds: Callable[[], bool], most_s: float = 60.0) -> float:
        """Pass after pass until something holds; the seconds it took. TimeoutError where it does not."""
        begun = time.monotonic()
        while not holds():
            if time.monotonic() - begun > most_s:
                raise TimeoutError(f"not within {most_s} s: {self.words()}")
            self.loop.one_pass()
        return time.monotonic() - begun

    def run(self, span_s: float) -> None:
        """Let so much time pass."""
        end = nanoseconds(self.loop.read_clock()) + round(span_s * SECOND)
        while nanoseconds(self.loop.read_clock()) < end:
            self.loop.one_pass()

    def later(self, span_s: float, action: Callable[[], None]) -> None:
        """Do this so much later, while time is let pass."""
        self.loop.after(seconds(span_s), action)

    def words(self) -> str:
        """Return what each says, for an error."""
        return "; ".join(f"{name}: {' '.join(self.view(name)) or 'no answer'}" for name in sorted(self.members))

    def counted(self, line: str) -> int:
        """How many lines of all logs hold this."""
        return sum(path.read_text(errors="replace").count(line) for path in self.folder.glob("*.log"))


def free_address(host: str, kind: socket.SocketKind = socket.SOCK_DGRAM) -> tuple[str, int]:
    """Return an address of this host's on which nobody listens."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
        return host, port


def _nothing(_: ServerConnection) -> None:
    pass
