"""The event loop, the tables of numbered slots, the deadlines, and the byte stream that all sockets share.

It owns the selector, the clock's reading for a pass, the one heap on which every deadline of the program
hangs, and the table of open sockets. A slot's number carries a generation, so an event or a deadline that
was meant for an earlier holder finds nothing. It must never know HTTP, a request or a worker, never block
but in the selector, and never let an exception of one socket reach another.
"""

from __future__ import annotations

import heapq
import logging
import selectors
import socket
import time
from collections.abc import Callable
from datetime import timedelta
from typing import Generic, TypeVar

from canvasbeam.scheduler.limits import ZERO

log = logging.getLogger(__name__)

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
Item = TypeVar("Item")
# Linux alone has it; elsewhere the kernel decides when it acknowledges.
QUICKACK: int | None = getattr(socket, "TCP_QUICKACK", None)
TCP_INFO: int | None = getattr(socket, "TCP_INFO", None)
ENDED_TCP_STATES = (7, 8)  # TCP_CLOSE and TCP_CLOSE_WAIT, Linux's numbers of the states after the peer's end
SLOT_BITS = 20
SLOT_MASK = (1 << SLOT_BITS) - 1
MIN_CANCELLED_TO_TIDY = 64  # deadlines; below this the heap is not worth going through


class SlotTable(Generic[Item]):
    """Numbered slots, used again. A handle is a slot's number and its generation; a stale one finds nothing."""

    def __init__(self) -> None:
        self._items: list[Item | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []
        self.count = 0

    def add(self, item: Item) -> int:
        """Give the item a slot and return its handle."""
        if self._free:
            slot = self._free.pop()
            self._items[slot] = item
        else:
            slot = len(self._items)
            self._items.append(item)
            self._generations.append(1)
        self.count += 1
        return self._generations[slot] << SLOT_BITS | slot

    def get(self, handle: int) -> Item | None:
        """Return the item that this handle was given for, None once it was removed."""
        slot = handle & SLOT_MASK
        if slot >= len(self._items) or self._generations[slot] != handle >> SLOT_BITS:
            return None
        return self._items[slot]

    def remove(self, handle: int) -> None:
        """Free the slot; the handle finds nothing from here on. A stale handle frees nothing."""
        if self.get(handle) is None:
            return
        slot = handle & SLOT_MASK
        self._items[slot] = None
        self._generations[slot] += 1
        self._free.append(slot)
        self.count -= 1

    def items(self) -> list[Item]:
        """Return all items, in the order of their slots."""
        return [item for item in self._items if item is not None]


class Deadline:
    """One entry of the heap; without an action it is cancelled or done.

    Cancelled ones stay until they come up or the heap is tidied.
    """

    __slots__ = ("action", "order", "owner", "when")

    def __init__(self, when: timedelta, order: int, owner: int | None, action: Callable[[], None]) -> None:
        self.when, self.order, self.owner = when, order, owner
        self.action: Callable[[], None] | None = action

    def __lt__(self, other: Deadline) -> bool:
        return (self.when, self.order) < (other.when, other.order)


class Endpoint:
    """A socket in the loop's table. Lower ranks are served first within a pass.

    It owns its place in the table and what the selector looks for on its socket.
    """

    rank = 0

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.loop = loop
        self.sock = sock
        self.handle = loop.endpoints.add(self)
        self.closed = False
        self._mask = 0

    def wants(self, mask: int) -> None:
        """Have the selector look for these events, 0 for none."""
        if self.closed or mask == self._mask:
            return
        if not self._mask:
            self.loop.selector.register(self.sock, mask, self.handle)
        elif mask:
            self.loop.selector.modify(self.sock, mask, self.handle)
        else:
            self.loop.selector.unregister(self.sock)
        self._mask = mask

    def on_event(self, mask: int) -> None:
        """Handle the events that the selector saw."""
        raise NotImplementedError

    def on_failure(self) -> None:
        """End this socket, and whatever depends on it, after handling an event raised."""
        self.close()

    def close(self) -> None:
        """Leave the selector and the table, and close the socket."""
        if not self.closed:
            self.wants(0)
            self.closed = True
            self.loop.endpoints.remove(self.handle)
            self.sock.close()


class Stream(Endpoint):
    """A TCP connection with a buffer of what is still to be written.

    It owns that buffer, and whether the socket is read, discarded or left alone.
    """

    def __init__(self, loop: Loop, sock: socket.socket, read_size: int, connected: bool = True) -> None:
        super().__init__(loop, sock)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connected = connected
        self._read_size = read_size
        self._out = bytearray()
        self._reading = True
        self._discards: bytearray | None = None
        self.wants(READ if connected else WRITE)

    @property
    def unwritten(self) -> int:
        """Bytes that the kernel has not yet taken."""
        return len(self._out)

    def write(self, data: bytes) -> None:
        """Write now what the kernel takes, and the rest when it takes more."""
        self._out += data
        if self.connected:
            self._write_out()

    def read(self, on: bool) -> None:
        """Read from now on, or not."""
        self._reading = on
        self._update()

    def discard(self, size: int) -> None:
        """Discard what comes from now on, at most `size` bytes a pass; the connection's end is still seen."""
        self._discards = self.loop.discard_buffer(size)

    def acknowledge(self) -> None:
        """Have the kernel acknowledge at once what has come, instead of up to 40 ms later (TCP_QUICKACK).

        Guards against a peer that writes an answer in small parts with Nagle's algorithm on (RFC 896): each
        part waits there for the acknowledgement of the one before. It holds until data is sent, so it is
        asked for anew after each read.
        """
        if QUICKACK is not None and not self.closed:
            self.sock.setsockopt(socket.IPPROTO_TCP, QUICKACK, 1)

    def is_quiet(self) -> bool:
        """Return whether nothing has come on this connection since it was last read, its end included."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False

    def has_ended(self) -> bool:
        """Return whether the peer's end has come, also behind bytes that were not read; False where unknown."""
        if TCP_INFO is None:
            return False
        try:
            return self.sock.getsockopt(socket.IPPROTO_TCP, TCP_INFO, 1)[0] in ENDED_TCP_STATES
        except OSError:
            return False

    def on_event(self, mask: int) -> None:
        """Finish connecting, write, then read."""
        if not self.connected:
            error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self.on_broken(OSError(error, "connect"))
                return
            self.connected = True
            self._update()
            self.on_connected()
            return
        if mask & WRITE:
            self._write_out()
        if mask & READ and not self.closed:
            self._read_in()

    def _write_out(self) -> None:
        """Write what the kernel takes."""
        while self._out:
            try:
                sent = self.sock.send(self._out)
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:
                self.on_broken(error)
                return
            del self._out[:sent]
        self._update()
        if not self._out:
            self.on_written()

    def _read_in(self) -> None:
        """Read once, or discard once."""
        discards = self._discards
        try:
            if discards is not None:
                # The kernel drops it without copying; other systems overwrite the buffer, which does as well.
                if not self.sock.recv_into(discards, 0, socket.MSG_TRUNC):
                    self.on_eof()
                return
            data = self.sock.recv(self._read_size)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.on_broken(error)
            return
        if data:
            self.on_data(data)
        else:
            self.on_eof()

    def _update(self) -> None:
        """Have the selector look for what this connection can do next."""
        if self.connected:
            self.wants((READ if self._reading else 0) | (WRITE if self._out else 0))

    def on_connected(self) -> None:
        """React to the connection's coming up."""

    def on_written(self) -> None:
        """React to the kernel's taking the last byte."""

    def on_data(self, data: bytes) -> None:
        """Take bytes that came in."""
        raise NotImplementedError

    def on_eof(self) -> None:
        """Close, since the peer ended its sending and so counts as disconnected."""
        self.close()

    def on_broken(self, error: OSError) -> None:
        """Close, since the connection broke or never came up."""
        self.close()


class Loop:
    """One pass after another: sockets by rank, due deadlines, then the end of the pass.

    It owns the selector, the table of sockets, the heap of deadlines and the time of the pass. A pass that takes
    longer than `slow_pass` is logged.
    """

    def __init__(self, slow_pass: timedelta) -> None:
        self.slow_pass = slow_pass
        self.selector = selectors.DefaultSelector()
        self.endpoints: SlotTable[Endpoint] = SlotTable()
        self.end_of_pass: Callable[[], None] = lambda: None
        self._heap: list[Deadline] = []
        self._discard_buffer = bytearray()
        self._order = 0
        self._cancelled = 0
        self._begun = time.monotonic_ns()
        self._again = False
        self._stopped = False
        self.now = ZERO
        self.longest_pass = ZERO
        self.passes = 0

    def read_clock(self) -> timedelta:
        """Read the monotonic clock; return the time since the loop was made, which `now` holds for the pass."""
        self.now = timedelta(microseconds=(time.monotonic_ns() - self._begun) // 1000)
        return self.now

    def at(self, when: timedelta, action: Callable[[], None], owner: Endpoint | None = None) -> Deadline:
        """Have this done at or after that time, never before; not at all once the owner has left its slot."""
        self._order += 1
        deadline = Deadline(when, self._order, None if owner is None else owner.handle, action)
        heapq.heappush(self._heap, deadline)
        return deadline

    def after(self, span: timedelta, action: Callable[[], None], owner: Endpoint | None = None) -> Deadline:
        """Have this done once the span is over, counted from the pass."""
        return self.at(self.now + span, action, owner)

    def cancel(self, deadline: Deadline | None) -> None:
        """Cancel a deadline; one that has passed, or None, is ignored."""
        if deadline is None or deadline.action is None:
            return
        deadline.action = None
        self._cancelled += 1
        # Guards against a heap that grows by one cancelled entry with each request.
        if self._cancelled > MIN_CANCELLED_TO_TIDY and self._cancelled * 2 > len(self._heap):
            self._heap = [deadline for deadline in self._heap if deadline.action is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def again(self) -> None:
        """Have the next pass not wait: there is more to do."""
        self._again = True

    def discard_buffer(self, size: int) -> bytearray:
        """Return the one buffer for what is discarded, on any socket, of at least this size in bytes."""
        if len(self._discard_buffer) < size:
            self._discard_buffer = bytearray(size)
        return self._discard_buffer

    def stop(self) -> None:
        """End after this pass."""
        self._stopped = True

    def run(self) -> None:
        """Run pass after pass until stopped."""
        while not self._stopped:
            self.one_pass()

    def one_pass(self) -> None:
        """Wait for what comes first, then handle all that is there."""
        ready = self.selector.select(self._select_timeout_s())
        self._again = False
        self.passes += 1
        begun_at = self.read_clock()
        events = []
        for key, mask in ready:
            endpoint = self.endpoints.get(key.data)
            if endpoint is not None:
                events.append((endpoint.rank, key.data, mask))
        for _, handle, mask in sorted(events):
            # Looked up again: an earlier event of this pass may have closed it.
            endpoint = self.endpoints.get(handle)
            if endpoint is not None:
                self._guarded(lambda each=endpoint, seen=mask: each.on_event(seen), endpoint)  # type: ignore[misc]
        self._run_due()
        self.end_of_pass()
        took = self.read_clock() - begun_at
        self.longest_pass = max(self.longest_pass, took)
        if took > self.slow_pass:
            # Everything waits for a pass: a long one makes answers late, so it must not go unseen.
            log.warning("a pass took %.1f ms for %d sockets", took.total_seconds() * 1000, len(events))

    def _select_timeout_s(self) -> float | None:
        """Return for how many seconds the selector may wait, None for any time."""
        if self._again or self._stopped:
            return 0.0
        while self._heap and self._heap[0].action is None:
            heapq.heappop(self._heap)
            self._cancelled -= 1
        if not self._heap:
            return None
        return max(0.0, (self._heap[0].when - self.read_clock()).total_seconds())

    def _run_due(self) -> None:
        """Run the actions that are due; those that they add wait for the next pass."""
        due = []
        while self._heap and self._heap[0].when <= self.now:
            due.append(heapq.heappop(self._heap))
        for deadline in due:
            action, deadline.action = deadline.action, None
            if action is None:
                self._cancelled -= 1
                continue
            owner = None if deadline.owner is None else self.endpoints.get(deadline.owner)
            if deadline.owner is None or owner is not None:
                self._guarded(action, owner)

    def _guarded(self, action: Callable[[], None], owner: Endpoint | None) -> None:
        """Run an action; an exception ends the owner's socket and nothing else."""
        try:
            action()
        except Exception:
            log.exception("an event or a deadline failed")
            if owner is not None and not owner.closed:
                try:
                    owner.on_failure()
                except Exception:
                    log.exception("closing after a failure failed too")
                    owner.close()

    def close(self) -> None:
        """Close every socket and the selector."""
        for endpoint in self.endpoints.items():
            endpoint.close()
        self.selector.close()
