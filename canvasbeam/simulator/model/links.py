"""The links between instances of the program, and the faults on them.

It owns what becomes of each datagram between two named members (how late it comes, how often, or never), and who could
hear whom. Pure: the time in and delays out, drawn from a seed. It must never know a socket, or what a datagram says.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Annotated, Literal

import msgspec

from canvasbeam.simulator.model.units import MS, SECOND

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
LinkKind = Literal["cut", "lose", "delay", "duplicate", "reorder", "throttle"]


class LinkFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One fault on links: what, when, how long, and between whom.

    `size` is the share that is lost, doubled or held back, the milliseconds of a delay, or a throttle's bytes a second.
    `of` and `to` name members, `of_zone` and `to_zone` zones; `parts` splits all members at random into so many that
    do not hear each other; `part` draws a share of the members against the rest. With none of these it is on every
    link. `one_way`: only from the first to the second.
    """

    kind: LinkKind
    at_s: NotNegative
    for_s: NotNegative = 10.0
    size: NotNegative = 0.0
    jitter_ms: NotNegative = 0.0
    of: tuple[str, ...] = ()
    to: tuple[str, ...] = ()
    of_zone: str = ""
    to_zone: str = ""
    parts: Annotated[int, msgspec.Meta(ge=0, le=16)] = 0
    part: Share = 0.0
    one_way: bool = False
    flap_s: NotNegative = 0.0  # on for so long, off for so long, and so on

    def is_on(self, now_ns: int) -> bool:
        """Whether it is there at this time."""
        gone = now_ns / SECOND - self.at_s
        if not 0 <= gone < self.for_s:
            return False
        return not self.flap_s or int(gone / self.flap_s) % 2 == 0


def problems(faults: Sequence[LinkFault], zones: Sequence[str]) -> list[tuple[str, str]]:
    """Return what types cannot say: (key, rule) for each rule broken."""
    found = []
    for place, fault in enumerate(faults):
        key = f"links[{place}]"
        if fault.kind in ("lose", "duplicate", "reorder") and not 0 < fault.size <= 1:
            found.append((f"{key}.size", "must be above 0 and at most 1: the share of the datagrams"))
        if fault.kind in ("delay", "throttle") and fault.size <= 0:
            found.append((f"{key}.size", "must be above 0: milliseconds, or bytes a second"))
        if fault.parts == 1:
            found.append((f"{key}.parts", "must be 2 or more"))
        if (fault.to or fault.to_zone) and not (fault.of or fault.of_zone):
            found.append((key, "must say of whom where it says to whom"))
        found += [
            (f"{key}.{name}", "must be one of zones")
            for name, zone in (("of_zone", fault.of_zone), ("to_zone", fault.to_zone))
            if zone and zone not in zones
        ]
    return found


@dataclass(slots=True)
class _Reach:
    """The ordered pairs that a fault is on: of sides that differ, or from the first to the second."""

    fault: LinkFault
    side: dict[str, int]  # by parts or by part
    first: frozenset[str] | None = None
    second: frozenset[str] | None = None

    def holds(self, sender: str, receiver: str) -> bool:
        """Whether a datagram from the one to the other meets it."""
        if self.side:
            one, two = self.side[sender], self.side[receiver]
            return one != two and (not self.fault.one_way or one < two)
        if self.first is None:
            return True
        return self._leads(self.first, sender, receiver) or (
            not self.fault.one_way and self._leads(self.first, receiver, sender)
        )

    def _leads(self, first: frozenset[str], one: str, other: str) -> bool:
        """Whether it is from the first to the second, or to all the rest where no second is named."""
        return one in first and (other not in first if self.second is None else other in self.second)


@dataclass(slots=True)
class Links:
    """All links between members. Latencies are one way."""

    zones: Mapping[str, str]  # by member
    faults: Sequence[LinkFault] = ()
    seed: int = 1
    same_ms: float = 0.2
    cross_ms: float = 1.5
    jitter: float = 0.2
    lost: int = 0
    _rng: random.Random = field(default_factory=random.Random)
    _reaches: list[_Reach] = field(default_factory=list)
    _free: dict[tuple[str, str], int] = field(default_factory=dict)  # when a throttled link has room again

    def __post_init__(self) -> None:
        self._rng.seed(self.seed)
        self._reaches = [self._reach(place, fault) for place, fault in enumerate(self.faults)]

    def _reach(self, place: int, fault: LinkFault) -> _Reach:
        names = sorted(self.zones)
        if fault.parts or fault.part:
            drawn = random.Random(self.seed * 1_000_003 + place).sample(names, len(names))
            if fault.parts:
                return _Reach(fault, {name: number % fault.parts for number, name in enumerate(drawn)})
            count = max(1, round(fault.part * len(names)))
            return _Reach(fault, {name: int(number >= count) for number, name in enumerate(drawn)})
        return _Reach(fault, {}, self._named(fault.of, fault.of_zone), self._named(fault.to, fault.to_zone))

    def _named(self, names: tuple[str, ...], zone: str) -> frozenset[str] | None:
        if not names and not zone:
            return None
        return frozenset(names) | {name for name, where in self.zones.items() if zone and where == zone}

    def pass_on(self, now: int, sender: str, receiver: str, size: int) -> list[int]:
        """How late each copy of a datagram comes, in nanoseconds; none where it is lost."""
        way = self.same_ms if self.zones[sender] == self.zones[receiver] else self.cross_ms
        delay = way * MS * (1 + self.jitter * self._rng.random())
        copies = 1
        for reach in self._reaches:
            fault = reach.fault
            if not fault.is_on(now) or not reach.holds(sender, receiver):
                continue
            match fault.kind:
                case "cut":
                    copies = 0
                case "lose" if self._rng.random() < fault.size:
                    copies = 0
                case "delay":
                    delay += (fault.size + fault.jitter_ms * self._rng.random()) * MS
                case "duplicate" if self._rng.random() < fault.size:
                    copies += copies
                case "reorder" if self._rng.random() < fault.size:
                    delay += max(fault.jitter_ms, 20) * MS * self._rng.random()
                case "throttle":
                    link = (sender, receiver)
                    free = max(now, self._free.get(link, 0)) + round(size / fault.size * SECOND)
                    if free - now > SECOND // 2:  # its queue is full
                        copies = 0
                    else:
                        self._free[link] = free
                        delay += free - now
                case _:
                    pass
        self.lost += not copies
        return [round(delay) + copy * MS for copy in range(copies)]

    def hears(self, now: int, sender: str, receiver: str) -> bool:
        """Whether a datagram sent now could come, by cuts alone."""
        return not any(
            reach.fault.kind == "cut" and reach.fault.is_on(now) and reach.holds(sender, receiver)
            for reach in self._reaches
        )


def strip(links: Links, length_s: int, down: Mapping[str, Sequence[tuple[float, float]]] | None = None) -> list[str]:
    """Who could hear whom, a line for members that fared alike, a sign for each second.

    `#` hears all others, `+` at least half of them, `.` fewer, `_` none; `x` the process does not run.
    """
    names = sorted(links.zones)
    rows: dict[str, list[str]] = {}
    for name in names:
        signs = []
        for second in range(length_s):
            now = second * SECOND + SECOND // 2
            if any(begin <= second + 0.5 < end for begin, end in (down or {}).get(name, ())):
                signs.append("x")
                continue
            others = [other for other in names if other != name]
            heard = sum(links.hears(now, other, name) for other in others)
            signs.append("#" if heard == len(others) else "+" if 2 * heard >= len(others) else "." if heard else "_")
        rows.setdefault("".join(signs), []).append(name)
    wide = max((len(_shortly(row)) for row in rows.values()), default=0)
    return [f"{_shortly(who):{wide}} {signs}" for signs, who in rows.items()]


def _shortly(names: list[str]) -> str:
    return ", ".join(names) if len(names) <= 4 else f"{', '.join(names[:3])} and {len(names) - 3} more"
