"""The simulated replication system with links that carry few bytes a second."""

from __future__ import annotations

from canvasbeam.errors import Failure
from canvasbeam.replication.change_log import change_size
from canvasbeam.replication.control_state import Committed, ControlState
from canvasbeam.replication.messages import Append, Chunk, Fetched, Install, Message, Send, SendToAddress
from canvasbeam.replication.snapshots import CHUNK_BYTES
from canvasbeam.replication.views import MemberId, member_ip
from canvasbeam.units import SECOND
from tests.support.replication_simulation import STEP_NS, Machine, Packet, ReplicationSimulation, TagCodec

FIVE_MBIT = 5_000_000 // 8  # bytes a second
SMALL_MESSAGE_BYTES = 100


class SlowLinkSimulation(ReplicationSimulation):
    """Each machine sends so many bytes a second in all, in order; what waits for the link is late."""

    def __init__(
        self, machines: int = 3, tolerated: int = 1, *, state_bytes: int, bytes_a_second: int = FIVE_MBIT
    ) -> None:
        self.bytes_a_second = bytes_a_second
        self.free_at: dict[MemberId, int] = {}
        self.chunks_sent = 0
        self.lose_one_chunk_in = 0
        self.acknowledgement_times_ns: list[int] = []
        self.codec = TagCodec(state_bytes)
        super().__init__(machines, tolerated, chunk_bytes=CHUNK_BYTES, state_bytes=state_bytes)

    def _send(self, machine: Machine, action: Send | SendToAddress) -> None:
        to_ip = action.ip if isinstance(action, SendToAddress) else member_ip(action.to)
        if to_ip == machine.ip:
            super()._send(machine, action)
            return
        taken = self._size_of(action.message) * SECOND // self.bytes_a_second
        free_at = max(self.now, self.free_at.get(machine.me, 0)) + taken
        self.free_at[machine.me] = free_at
        if not self._is_lost(action.message):
            self.packets.append(Packet(machine.me, to_ip, action.message, free_at))

    def _is_lost(self, message: Message) -> bool:
        if not isinstance(message, Chunk):
            return False
        self.chunks_sent += 1
        return self.lose_one_chunk_in > 0 and self.chunks_sent % self.lose_one_chunk_in == 0

    def _size_of(self, message: Message) -> int:
        match message:
            case Chunk(data=data):
                return SMALL_MESSAGE_BYTES + len(data)
            case Append(changes=changes):
                return SMALL_MESSAGE_BYTES + sum(change_size(change) for change in changes)
            case Install(state=ControlState() as state) | Fetched(state=ControlState() as state):
                return SMALL_MESSAGE_BYTES + len(self.codec.encode_state(state))
        return SMALL_MESSAGE_BYTES

    def _on_reply(self, machine: Machine, number: int, result: Committed | Failure) -> None:
        call = self.calls.get(number)
        if call is not None and isinstance(result, Committed):
            self.acknowledgement_times_ns.append(self.now - call.began)
        super()._on_reply(machine, number, result)

    def run_with_changes(self, duration: int, steps_between: int = 4) -> None:
        """Time passes, and the primary is sent a change every few steps."""
        for step in range(duration // STEP_NS):
            primary = self.primary()
            if primary is not None and step % steps_between == 0:
                self.submit(primary)
            self.run_between_regions(STEP_NS)
