"""Which instances of the program there are: SWIM with suspicion, and local health in the manner of Lifeguard.

Pure: events and the time in whole nanoseconds in, actions out; no I/O, no clock, no sockets, chance from a seed. It
must never call an instance dead while this one hears nothing itself or is answered by nobody, never go back in an
incarnation, never take the word of a sender that has not answered a ping of ours, and never send without a bound.

| state of a member | from | to |
| --- | --- | --- |
| alive | it answered us, or a member says so | suspect: a probe of ours failed, or a member says so or calls it dead |
| suspect | | alive: it refuted, with a higher incarnation; dead: nobody heard of it for the suspicion's time |
| dead | a suspicion ran out, or one unheard here for the least suspicion is called dead | alive: it refuted |
| left | it said so at its planned end | alive: a new process of that name |
| forgotten | dead for `forget`, left for `forget_left` | |

| state of this instance | from | to |
| --- | --- | --- |
| joining | the start | member: somebody answered |
| member | | leaving: the planned end; displaced: a newer process of this name answers at another address |
| displaced | | member: that process answers no more |
| leaving | | |

What is said of a member is ordered by (start of its process, incarnation, state); of two sayings the higher stands, so
they may come in any order and any number of times. Sources: Das, Gupta, Motivala, "SWIM" (DSN 2002); Dadgar, Phillips,
Currey, "Lifeguard" (2017). Beyond both: a death by hearsay is a suspicion first, so that a cut that heals kills
nobody; the dead and the seeds are asked now and then, so that it heals at all; who hears nothing, or is answered by
nobody, passes no judgement.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from math import ceil, log, log2
from zlib import crc32

from canvasbeam.decide.member_status import Status

MS = 1_000_000
SECOND = 1_000 * MS
MUCH_NEWS = 60  # facts that are still told on: with so many, suspicions take twice as long


class Kind(IntEnum):
    """What a datagram is for."""

    PING = 0  # answer me
    ACK = 1  # the answer to `number`
    ASK = 2  # ping `about` at `address` for me
    NACK = 3  # I asked it, and it did not answer me either
    NEWS = 4  # the facts alone


class Standing(IntEnum):
    """This instance's own state."""

    JOINING = 0
    MEMBER = 1
    DISPLACED = 2
    LEAVING = 3


@dataclass(frozen=True, slots=True)
class Fact:
    """What is said of one member."""

    name: str
    address: str
    status: Status
    start: int  # of its process: the later one is the member
    incarnation: int
    by: str = ""  # who suspects it, where it is suspect

    @property
    def rank(self) -> tuple[int, int, int]:
        """Of two facts of one name the higher stands."""
        return self.start, self.incarnation, int(self.status)

    @property
    def size(self) -> int:
        """Bytes that it takes in a datagram, at the most."""
        return len(self.name) + len(self.address) + len(self.by) + 24


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram's meaning."""

    kind: Kind
    number: int = 0
    about: str = ""
    address: str = ""
    facts: tuple[Fact, ...] = ()


@dataclass(frozen=True, slots=True)
class Sender:
    """Who a datagram says that it comes from, and the address from which it came."""

    name: str
    start: int
    incarnation: int
    address: str


@dataclass(frozen=True, slots=True)
class Received:
    """A datagram that was well formed, of this fleet, and no replay."""

    sender: Sender
    message: Message


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Leave:
    """The planned end has begun."""


Event = Received | Ticked | Leave


@dataclass(frozen=True, slots=True)
class Tell:
    """Send this to an address."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class Changed:
    """A member's state, or our own, is another now, and why."""

    name: str
    before: str
    after: str
    why: str


Action = Tell | Changed


@dataclass(frozen=True, slots=True)
class Terms:
    """Times in nanoseconds, counts and bytes."""

    period: int = 200 * MS  # between probes
    rtt: int = 60 * MS  # an answer is out so long before others are asked to try
    probe: int = 250 * MS  # and so long before the probe has failed, longer by our own health
    helpers: int = 3
    least_suspicion: int = 500 * MS  # with `confirmers` others that suspect it too
    most_suspicion: int = 1_000 * MS
    confirmers: int = 3
    news_every: int = 50 * MS  # while there are news
    fanout: int = 3
    spread: int = 3  # a fact is told on this often for each doubling of the fleet
    revive: int = 500 * MS  # between pings to the dead and to seeds that are not there
    join: int = 200 * MS  # between pings to seeds while nobody answered; longer after each
    longest_join: int = 2 * SECOND
    deaf: int = SECOND  # nothing heard for so long: we are cut off
    contact: int = 3 * SECOND  # no ping of ours answered for so long: nobody may hear us
    alone: int = 10 * SECOND  # nothing heard for so long: suspects are taken for dead all the same
    forget: int = 600 * SECOND  # the dead
    forget_left: int = 60 * SECOND
    stall: int = 250 * MS  # a wake so late shows that this process stood still
    health_most: int = 8
    room: int = 1_000  # bytes of facts in one datagram
    fill: int = 180  # of them for what is no news, in turn, so that what got lost comes round
    members: int = 1_000  # the most that are kept
    strangers: int = 32  # unknown senders that we are asking back, at once

    def __post_init__(self) -> None:
        spans = (self.period, self.rtt, self.least_suspicion, self.news_every, self.revive, self.join, self.deaf)
        if min(spans) <= 0 or self.probe <= self.rtt or self.most_suspicion < self.least_suspicion:
            raise ValueError("membership's times must be above 0, and each longer one no shorter than its part")
        if min(self.helpers, self.confirmers, self.spread, self.members, self.strangers) < 1 or self.fanout < 1:
            raise ValueError("membership's counts must be at least 1")
        if not 0 <= self.fill <= self.room:
            raise ValueError("membership's fill must lie within its room")


@dataclass(slots=True, eq=False)
class Member:
    """What is known of another instance."""

    fact: Fact
    since: int  # when its state became what it is
    heard: int = 0  # when it last spoke to us itself; 0 never
    confirmers: set[str] = field(default_factory=set)
    corrected: int = 0  # when we last told it what we hold of it


@dataclass(slots=True)
class Probe:
    """A ping that is out. `name` is empty where only the address is known."""

    name: str
    address: str
    begun: int
    counts: bool  # a failure raises suspicion
    asked: bool = False
    nacks: int = 0
    helpers: int = 0


@dataclass(slots=True)
class Relay:
    """A ping that is out for somebody else."""

    address: str
    number: int
    about: str
    until: int


@dataclass(slots=True)
class Rumour:
    """A fact that is still told on."""

    fact: Fact
    told: int = 0


@dataclass(frozen=True, slots=True)
class View:
    """What the rest of the program is told."""

    there: tuple[str, ...]  # alive or suspect, this instance among them
    gone: tuple[str, ...]  # dead or left, not yet forgotten
    sure: float  # the part of our last probes that were answered; 0 while nothing is heard, or nothing answered
    silent_since: int | None  # since when nothing was heard, once that is longer than `deaf`
    unanswered_since: int | None  # when the last ping that was answered was sent, once that is longer than `contact`


class Membership:
    """One instance's part in the fleet."""

    def __init__(self, me: Sender, seeds: Iterable[str], terms: Terms, seed: int, now: int) -> None:
        self.terms = terms
        self.name, self.address = me.name, me.address
        self.start, self.incarnation = me.start, me.incarnation
        self.standing = Standing.JOINING
        self.members: dict[str, Member] = {}
        self.health = 0  # 0 is well
        self.seeds = tuple(each for each in dict.fromkeys(seeds) if each != me.address)
        self.heard_at = self._awake_at = now
        self.contact_at = now  # when the newest of our pings that were answered was sent
        self._rng = random.Random(seed)
        self._number = self._rng.getrandbits(31)
        self._named_start = me.start  # the latest that was said of our name
        self._alive: list[Member] | None = None  # as last worked out
        self._suspects: dict[str, Member] = {}
        self._newcomers: dict[str, int] = {}  # addresses that get the whole list, and until when
        self._order: list[str] = []
        self._neighbours_turn = False
        self._probes: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}
        self._rumours: dict[str, Rumour] = {}
        self._turn: list[str] = []  # of what is no news
        self._answered: list[bool] = []  # of the last probes
        self._join_wait = terms.join
        self._next_probe = now + self._drawn(terms.period)
        self._next_news = now
        self._next_revive = now
        self._next_tidy = now + SECOND
        self._next_challenge = 0
        self._wake = now
        self._now = now
        self._actions: list[Action] = []
        self._rumour(self._self())

    # --- the entry point --------------------------------------------------------------------------

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Take what has come, and what is due; `wake` then says when time matters next."""
        self._notice_stall(now)
        self._now, self._actions = now, []
        for event in events:
            match event:
                case Received(sender, message):
                    self._on_received(sender, message)
                case Leave():
                    self._on_leave()
                case Ticked():
                    pass
        self._on_time()
        self._wake = self._next()
        return self._actions

    @property
    def wake(self) -> int:
        """When `handle` must be called next, with nothing but the time if need be."""
        return self._wake

    def view(self, now: int) -> View:
        """Who is there, who was, how sure we are, and since when we have heard nothing."""
        there = sorted(name for name, each in self.members.items() if each.fact.status <= Status.SUSPECT)
        gone = sorted(name for name, each in self.members.items() if each.fact.status > Status.SUSPECT)
        deaf, unanswered = self._is_deaf(now), not self._has_contact(now)
        sure = sum(self._answered) / len(self._answered) if self._answered else 1.0
        mine = [self.name] if self.standing in (Standing.JOINING, Standing.MEMBER) else []
        return View(
            there=tuple(sorted(there + mine)),
            gone=tuple(gone),
            sure=0.0 if deaf or unanswered else sure,
            silent_since=self.heard_at if deaf else None,
            unanswered_since=self.contact_at if unanswered else None,
        )

    def knows(self, name: str, start: int) -> bool:
        """Whether this process of that name is one that we have met."""
        member = self.members.get(name)
        return member is not None and member.fact.start == start

    # --- time -------------------------------------------------------------------------------------

    def _notice_stall(self, now: int) -> None:
        """Danger: a process that was stopped wakes with every answer overdue, and would call all others dead."""
        late = now - self._wake
        if late < self.terms.stall:
            return
        self.health = self.terms.health_most
        self._awake_at = now
        self._probes = {number: each for number, each in self._probes.items() if not each.counts}
        for member in self._suspects.values():
            member.since += late

    def _on_time(self) -> None:
        now = self._now
        self._time_probes()
        self._time_relays()
        self._time_suspicions()
        if now >= self._next_probe:
            self._next_probe = now + self._jittered(self.terms.period * (1 + min(self.health, 2)))
            self._probe_next()
        if now >= self._next_revive:
            self._revive()
        if now >= self._next_tidy:
            self._next_tidy = now + SECOND
            self._tidy()
        if self._rumours and now >= self._next_news:
            self._next_news = now + self.terms.news_every
            self._tell_news()

    def _next(self) -> int:
        terms = self.terms
        # The dead, the seeds and the forgetting have their turn with the probes: each wake costs more than its work.
        times = [self._next_probe]
        if self._rumours:
            times.append(self._next_news)
        for probe in self._probes.values():
            times.append(probe.begun + (self._patience() if probe.asked or not probe.counts else terms.rtt))
        times += [each.until for each in self._relays.values()]
        times += [self._judged_at(each) for each in self._suspects.values()]
        # Never in the past: what could not be done now is looked at again a little later.
        return max(min(times), self._now + MS)

    def _drawn(self, span: int) -> int:
        return round(span * self._rng.random())

    def _jittered(self, span: int) -> int:
        """Danger: instances that were started together would all ask in the same instants."""
        return round(span * (0.9 + 0.2 * self._rng.random()))

    def _is_deaf(self, now: int) -> bool:
        return bool(self.members) and now - self.heard_at > self.terms.deaf

    def _has_contact(self, now: int) -> bool:
        """Danger: who hears the others may be heard by nobody. Only an answer to a ping of ours shows both ways."""
        return not self.members or now - self.contact_at <= self.terms.contact

    def _patience(self) -> int:
        """How long a probe may take; a process that is slow itself gives others more."""
        return self.terms.probe * (1 + self.health)

    # --- what comes in ----------------------------------------------------------------------------

    def _on_received(self, sender: Sender, message: Message) -> None:
        if self.standing is Standing.LEAVING:
            return
        if sender.name == self.name:
            self._on_namesake(sender, message)
            return
        asked = self._answer_of(sender, message)
        member = self.members.get(sender.name)
        if member is None or sender.start > member.fact.start:
            if asked is None:
                self._on_stranger(sender, message)
                return
            self._hear(Fact(sender.name, sender.address, Status.ALIVE, sender.start, sender.incarnation), sender.name)
            member = self.members.get(sender.name)
            if member is None:
                return  # there is no room for more members
            self._greet(sender.address)
        elif sender.start < member.fact.start:
            # A process from before, or one whose clock was set back: told who it is taken for, it may prove itself.
            if message.kind is Kind.PING:
                self._tell(sender.address, Message(Kind.ACK, message.number), (member.fact,))
            return
        elif member.fact.status > Status.SUSPECT and asked is None:
            # Danger: a datagram from the fleet's past. The dead answer for themselves, and so does who has left.
            if member.fact.status is Status.DEAD:
                self._correct(member)
                self._on_stranger(sender, message)
            return
        self._on_member(member, sender, message)

    def _on_member(self, member: Member, sender: Sender, message: Message) -> None:
        if self._is_deaf(self._now):
            self._renew_suspicions()
        self.heard_at = member.heard = self._now
        if self.standing is Standing.JOINING:
            self._stand(Standing.MEMBER, f"{sender.name} answered")
        if sender.incarnation > member.fact.incarnation and member.fact.status is not Status.LEFT:
            self._hear(Fact(sender.name, sender.address, Status.ALIVE, sender.start, sender.incarnation), sender.name)
        for fact in message.facts:
            self._hear(fact, sender.name)
        match message.kind:
            case Kind.PING if message.about in ("", self.name) and self.standing is not Standing.DISPLACED:
                self._tell(sender.address, Message(Kind.ACK, message.number), self._on_it(member))
            case Kind.ACK:
                self._on_ack(message)
            case Kind.NACK if message.number in self._probes:
                self._probes[message.number].nacks += 1
            case Kind.ASK:
                self._on_ask(sender, message)
            case _:
                self._correct(member)

    def _on_it(self, member: Member) -> tuple[Fact, ...]:
        """What a member must be told of itself, so that it can refute it."""
        return (member.fact,) if member.fact.status in (Status.SUSPECT, Status.DEAD) else ()

    def _on_name(self, name: str) -> tuple[Fact, ...]:
        """The same for a name, which may be nobody's here."""
        member = self.members.get(name)
        return self._on_it(member) if member else ()

    def _correct(self, member: Member) -> None:
        if self._on_it(member) and self._now - member.corrected >= self.terms.rtt:
            member.corrected = self._now
            self._tell(member.fact.address, Message(Kind.NEWS), self._on_it(member))

    def _answer_of(self, sender: Sender, message: Message) -> Probe | None:
        """The ping of ours that this datagram answers from where we sent it."""
        probe = self._probes.get(message.number) if message.kind is Kind.ACK else None
        if probe is None or probe.address != sender.address or probe.name not in ("", sender.name):
            return None
        return probe

    def _on_stranger(self, sender: Sender, message: Message) -> None:
        """Danger: a datagram from the fleet's past, or a forged one, must bring nobody in. It is asked back."""
        if message.about not in ("", self.name) or self.standing is Standing.DISPLACED:
            return
        if message.kind is Kind.PING:
            self._tell(sender.address, Message(Kind.ACK, message.number), ())
        asking = [each for each in self._probes.values() if not each.counts]
        if len(asking) < self.terms.strangers and all(each.address != sender.address for each in asking):
            self._ping(sender.name if self.knows(sender.name, sender.start) else "", sender.address, counts=False)

    def _on_namesake(self, sender: Sender, message: Message) -> None:
        """Another process says that it has our name, or an echo of what we said ourselves."""
        if sender.address == self.address:
            return
        self._named_start = max(self._named_start, sender.start)
        probe = self._answer_of(sender, message)
        if probe is not None and sender.start > self.start:
            if self.standing is not Standing.DISPLACED:
                self._stand(Standing.DISPLACED, f"a newer process of this name answers at {sender.address}")
            self._next_challenge = self._now + 10 * self.terms.revive
        elif message.kind is Kind.PING:
            if self.standing is not Standing.DISPLACED:
                self._tell(sender.address, Message(Kind.ACK, message.number), (self._self(),))
            if sender.start > self.start:
                self._challenge(sender.address)

    def _challenge(self, address: str) -> None:
        """Ask a process that has our name; whoever is newer and answers keeps it."""
        if all(each.address != address for each in self._probes.values()):
            self._ping(self.name, address, counts=False)

    def _on_ack(self, message: Message) -> None:
        relay = self._relays.pop(message.number, None)
        if relay is not None:
            self._tell(relay.address, Message(Kind.ACK, relay.number, relay.about), ())
            return
        probe = self._probes.pop(message.number, None)
        if probe is None:
            return
        self._note_contact(probe)
        if probe.counts:
            self._judge_self(True)
            self.health = max(0, self.health - 1)

    def _note_contact(self, probe: Probe) -> None:
        """Counted from when the ping was sent: what came later may have been lost."""
        if not self._has_contact(self._now):
            self._renew_suspicions()
        self.contact_at = max(self.contact_at, probe.begun)

    def _renew_suspicions(self) -> None:
        """Danger: of what was suspected while this instance was cut off nobody had the time to refute it."""
        for suspect in self._suspects.values():
            suspect.since = self._now

    def _on_ask(self, sender: Sender, message: Message) -> None:
        if self.standing is not Standing.MEMBER or len(self._relays) >= self.terms.strangers:
            return
        if not message.about or message.about == self.name:
            return
        self._number = self._number + 1 & 0xFFFFFFFF
        until = self._now + self.terms.probe - self.terms.rtt
        self._relays[self._number] = Relay(sender.address, message.number, message.about, until)
        self._tell(message.address, Message(Kind.PING, self._number, message.about), self._on_name(message.about))

    # --- what is said of members ------------------------------------------------------------------

    def _hear(self, fact: Fact, teller: str) -> None:
        """Take one fact; the higher of two stands."""
        if fact.name == self.name:
            self._hear_of_self(fact)
            return
        member = self.members.get(fact.name)
        if member is None:
            if fact.status <= Status.SUSPECT and self._make_room():
                member = self.members[fact.name] = Member(fact, self._now, confirmers={fact.by})
                self._order.insert(self._rng.randint(0, len(self._order)), fact.name)
                self._newcomers[fact.address] = self._now + 2 * SECOND
                self._note(member)
                self._changed(member, "unknown", _why(fact, teller))
                self._rumour(fact)
            return
        if fact.status is Status.SUSPECT and fact.rank == member.fact.rank:
            self._confirm(member, fact)
        if fact.rank <= member.fact.rank:
            return
        if fact.status is Status.DEAD and member.fact.status <= Status.SUSPECT and not self._may_believe(member, fact):
            # Who says it is one more witness of a suspicion; the member is told at once, so that it can refute it.
            self._hear(Fact(fact.name, fact.address, Status.SUSPECT, fact.start, fact.incarnation, teller), teller)
            self._correct(member)
            return
        self._set(member, fact, _why(fact, teller))

    def _may_believe(self, member: Member, death: Fact) -> bool:
        """Danger: after a cut each side calls the other dead, its own members by hearsay too.

        Only who was suspect here, and not heard, for the whole least suspicion is dead by hearsay.
        """
        known = member.fact
        if known.status is not Status.SUSPECT or (death.start, death.incarnation) != (known.start, known.incarnation):
            return False
        span = self.terms.least_suspicion * (1 + self.health / 4)
        return self._now >= max(member.since, member.heard) + span

    def _hear_of_self(self, fact: Fact) -> None:
        if self.standing in (Standing.LEAVING, Standing.DISPLACED) or fact.start < self.start:
            return
        self._named_start = max(self._named_start, fact.start)
        if fact.start > self.start and fact.address != self.address and fact.status <= Status.SUSPECT:
            self._challenge(fact.address)
            return
        if fact.start > self.start:
            # Our own past: the clock was set back over a restart, or the other process is gone.
            self._refute(fact.start + 1, 0, "an earlier process of this name started later by its clock")
        elif fact.status is not Status.ALIVE and fact.incarnation >= self.incarnation:
            self.health = min(self.terms.health_most, self.health + 1)
            self._refute(self.start, fact.incarnation + 1, f"called {fact.status.name.lower()}")
        elif fact.incarnation > self.incarnation:
            self._refute(self.start, fact.incarnation + 1, "an incarnation that we never had")

    def _refute(self, start: int, incarnation: int, why: str) -> None:
        before = f"incarnation {self.incarnation}"
        self.start, self.incarnation = start, incarnation
        self._actions.append(Changed(self.name, before, f"incarnation {incarnation}", why))
        self._rumour(self._self())
        self._next_news = self._now

    def _self(self) -> Fact:
        status = Status.LEFT if self.standing is Standing.LEAVING else Status.ALIVE
        return Fact(self.name, self.address, status, self.start, self.incarnation)

    def _set(self, member: Member, fact: Fact, why: str) -> None:
        before = member.fact
        member.fact = fact
        if fact.start > before.start:
            member.heard = 0
            self._newcomers[fact.address] = self._now + 2 * SECOND
        if fact.status is Status.SUSPECT:
            # Where an older incarnation was suspect, too: the newer one is suspected from now on, not from then.
            member.confirmers = {fact.by}
            member.since = self._now
        if fact.status is not before.status:
            member.since = self._now
            self._note(member)
            self._changed(member, before.status.name.lower(), why)
        self._rumour(fact)

    def _note(self, member: Member) -> None:
        """A member's state is another: keep what is worked out from it true."""
        self._alive = None
        if member.fact.status is Status.SUSPECT:
            self._suspects[member.fact.name] = member
        else:
            self._suspects.pop(member.fact.name, None)

    def _confirm(self, member: Member, fact: Fact) -> None:
        """Another witness shortens the suspicion; the first few are told on."""
        if fact.by and fact.by not in member.confirmers and len(member.confirmers) <= self.terms.confirmers:
            member.confirmers.add(fact.by)
            self._rumour(fact)

    def _suspect(self, member: Member, why: str) -> None:
        known = member.fact
        fact = Fact(known.name, known.address, Status.SUSPECT, known.start, known.incarnation, self.name)
        if known.status is Status.SUSPECT:
            self._confirm(member, fact)
        elif known.status is Status.ALIVE:
            self._set(member, fact, why)
            self._tell(known.address, Message(Kind.NEWS), (fact,))

    def _suspicion_end(self, member: Member) -> int:
        """The more witnesses, the sooner; a process that is slow itself waits longer.

        Danger: when half of a fleet comes back there is more news than fits, and refutations come late.
        """
        terms = self.terms
        others = max(1, self._count() - 1)
        wanted = min(terms.confirmers, others)
        share = log(min(max(1, len(member.confirmers)), wanted + 1)) / log(wanted + 1)
        span = terms.most_suspicion - share * (terms.most_suspicion - terms.least_suspicion)
        span *= (1 + self.health / 4) * (1 + len(self._rumours) / MUCH_NEWS)
        return round(max(member.since, member.heard) + span)

    def _time_suspicions(self) -> None:
        for member in tuple(self._suspects.values()):
            if self._now < self._judged_at(member):
                continue
            known = member.fact
            dead = Fact(known.name, known.address, Status.DEAD, known.start, known.incarnation)
            by = ", ".join(sorted(member.confirmers))
            heard = "not heard of" if self._may_judge(member) else "nothing heard at all"
            self._set(member, dead, f"suspected by {by}, and {heard}")

    def _may_judge(self, member: Member) -> bool:
        """Danger: who is cut off, in one direction too, would call everybody dead.

        A judge hears others now, and a ping that it sent since it began to suspect was answered.
        """
        hears = self._now - self.heard_at < self.terms.least_suspicion
        return hears and self.contact_at > member.since and self._has_contact(self._now)

    def _judged_at(self, member: Member) -> int:
        """Two instances cannot tell a cut from a death; after `alone` the one that is left takes it for one."""
        if self._may_judge(member):
            return self._suspicion_end(member)
        return max(self._suspicion_end(member), self._quiet_from() + self.terms.alone)

    def _quiet_from(self) -> int:
        """Since when this process ran and heard nothing."""
        return max(self.heard_at, self._awake_at)

    def _changed(self, member: Member, before: str, why: str) -> None:
        self._actions.append(Changed(member.fact.name, before, member.fact.status.name.lower(), why))

    def _stand(self, standing: Standing, why: str) -> None:
        before, self.standing = self.standing, standing
        self._actions.append(Changed(self.name, before.name.lower(), standing.name.lower(), why))

    def _make_room(self) -> bool:
        """Room for one more member: whoever has been gone the longest is forgotten first."""
        if len(self.members) < self.terms.members:
            return True
        gone = [each for each in self.members.values() if each.fact.status > Status.SUSPECT]
        if not gone:
            return False
        self._forget(min(gone, key=lambda each: (each.since, each.fact.name)).fact.name)
        return True

    def _forget(self, name: str) -> None:
        del self.members[name]
        self._alive = None
        self._suspects.pop(name, None)
        self._rumours.pop(name, None)

    def _tidy(self) -> None:
        for name, member in tuple(self.members.items()):
            left = member.fact.status is Status.LEFT
            span = self.terms.forget_left if left else self.terms.forget
            if member.fact.status > Status.SUSPECT and self._now - member.since >= span:
                self._forget(name)
        self._newcomers = {each: until for each, until in self._newcomers.items() if until > self._now}
        if self.standing is Standing.DISPLACED and self._now >= self._next_challenge:
            self._next_challenge = self._now + 10 * self.terms.revive
            self._stand(Standing.JOINING, "the other process of this name answers no more")
            self._refute(self._named_start + 1, 0, "taken up again")

    # --- probes -----------------------------------------------------------------------------------

    def _count(self) -> int:
        return 1 + len(self._living()) + len(self._suspects)

    def _living(self) -> list[Member]:
        if self._alive is None:
            self._alive = [each for each in self.members.values() if each.fact.status is Status.ALIVE]
        return self._alive

    def _probe_next(self) -> None:
        """In turn our neighbour in an order that is the same everywhere, and the next of a drawn order.

        Danger: by drawn orders alone nobody asks one of forty that has just died for over a second, once in a hundred
        times; by neighbours alone two that die together hide each other.
        """
        if self.standing is not Standing.MEMBER:
            return
        self._neighbours_turn = not self._neighbours_turn
        if self._neighbours_turn:
            member = self._neighbour()
            if member is not None:
                self._ping(member.fact.name, member.fact.address, counts=True)
                return
        while True:
            if not self._order:
                self._order = [name for name, each in self.members.items() if each.fact.status <= Status.SUSPECT]
                self._rng.shuffle(self._order)
                if not self._order:
                    return
            member = self.members.get(self._order.pop())
            if member is not None and member.fact.status <= Status.SUSPECT:
                self._ping(member.fact.name, member.fact.address, counts=True)
                return

    def _neighbour(self) -> Member | None:
        """Who is there and comes next after us in the order of the names' checksums."""
        there = [*self._living(), *self._suspects.values()]
        mine = (crc32(self.name.encode()), self.name)
        places = [((crc32(each.fact.name.encode()), each.fact.name), each) for each in there]
        after = [each for each in places if each[0] > mine]
        return min(after or places, key=lambda each: each[0])[1] if places else None

    def _ping(self, name: str, address: str, counts: bool) -> None:
        self._number = self._number + 1 & 0xFFFFFFFF
        self._probes[self._number] = Probe(name, address, self._now, counts)
        self._tell(address, Message(Kind.PING, self._number, name), self._on_name(name))

    def _time_probes(self) -> None:
        for number, probe in tuple(self._probes.items()):
            out = self._now - probe.begun
            if out >= self._patience():
                del self._probes[number]
                self._failed(probe)
            elif probe.counts and not probe.asked and out >= self.terms.rtt:
                probe.asked = True
                # Once more ourselves, too: most often a single datagram got lost.
                self._tell(probe.address, Message(Kind.PING, number, probe.name), self._on_name(probe.name))
                for helper in self._others(self.terms.helpers, probe.name):
                    probe.helpers += 1
                    self._tell(helper.fact.address, Message(Kind.ASK, number, probe.name, probe.address), ())

    def _failed(self, probe: Probe) -> None:
        if probe.name == self.name:
            # Whoever had our name does not answer: the name is ours, above what was said of it.
            if self.standing is Standing.DISPLACED:
                return
            self._refute(self._named_start + 1, 0, f"nobody of this name answers at {probe.address}")
            return
        if not probe.counts:
            return
        self._judge_self(False)
        # Lifeguard: helpers that could not reach it say so; where they are silent too, it may be us.
        if probe.nacks < probe.helpers or not probe.helpers:
            self.health = min(self.terms.health_most, self.health + 1)
        member = self.members.get(probe.name)
        # Danger: who is cut off suspects itself first, and the others only once that has gone on for long.
        silent = self._now - self._quiet_from()
        if member is None or member.heard >= probe.begun or self.terms.deaf < silent < self.terms.alone // 2:
            return
        self._suspect(member, "it answered neither us nor others for us")

    def _judge_self(self, answered: bool) -> None:
        self._answered.append(answered)
        del self._answered[:-16]

    def _time_relays(self) -> None:
        for number, relay in tuple(self._relays.items()):
            if self._now >= relay.until:
                del self._relays[number]
                self._tell(relay.address, Message(Kind.NACK, relay.number, relay.about), ())

    def _revive(self) -> None:
        """Ask one of the dead, or a seed that is not there: so a cut heals, and a fleet is found."""
        alone = self.standing is Standing.JOINING
        self._next_revive = self._now + self._jittered(self._join_wait if alone else self.terms.revive)
        if alone:
            self._join_wait = min(self._join_wait * 2, self.terms.longest_join)
        if self.standing not in (Standing.JOINING, Standing.MEMBER):
            return
        there = {each.fact.address for each in self.members.values() if each.fact.status <= Status.SUSPECT}
        asked = {(each.fact.name, each.fact.address) for each in self.members.values()
                 if each.fact.status is Status.DEAD}  # fmt: skip
        known = there | {address for _, address in asked}
        chosen = sorted(asked) + [("", each) for each in self.seeds if each not in known]
        if chosen:
            name, address = self._rng.choice(chosen)
            self._ping(name, address, counts=False)

    # --- what goes out ----------------------------------------------------------------------------

    def _others(self, count: int, besides: str = "") -> list[Member]:
        """Some members that are there, drawn."""
        able = self._living()
        if besides:
            able = [each for each in able if each.fact.name != besides]
        return able if len(able) <= count else self._rng.sample(able, count)

    def _rumour(self, fact: Fact) -> None:
        self._rumours[fact.name] = Rumour(fact)

    def _tell_news(self) -> None:
        for member in self._others(self.terms.fanout):
            if not self._rumours:
                return
            self._tell(member.fact.address, Message(Kind.NEWS), ())

    def _tell(self, address: str, message: Message, first: tuple[Fact, ...]) -> None:
        """Send, with what the receiver must know first, then news, the least told first, then some of the rest."""
        if self.standing is Standing.DISPLACED:
            self._actions.append(Tell(address, message))
            return
        facts = list(first)
        room = self.terms.room - sum(each.size for each in facts)
        names = {each.name for each in facts}
        most = self.terms.spread * ceil(log2(self._count() + 1))
        for rumour in sorted(self._rumours.values(), key=lambda each: each.told):
            fact = rumour.fact
            if fact.name in names or fact.size > room:
                continue
            room -= fact.size
            names.add(fact.name)
            facts.append(fact)
            rumour.told += 1
            if rumour.told >= most:
                del self._rumours[fact.name]
        self._fill(address, facts, names, room)
        self._actions.append(Tell(address, Message(message.kind, message.number, message.about, message.address,
                                                   tuple(facts))))  # fmt: skip

    def _greet(self, address: str) -> None:
        """The whole list, in parts, to who has just joined through us.

        Danger: drawn parts alone leave it without the last few names for many seconds.
        """
        facts = [each.fact for each in self.members.values() if each.fact.status <= Status.SUSPECT]
        self._rng.shuffle(facts)
        part: list[Fact] = [self._self()]
        for fact in facts:
            if sum(each.size for each in part) + fact.size > self.terms.room:
                self._actions.append(Tell(address, Message(Kind.NEWS, facts=tuple(part))))
                part = []
            part.append(fact)
        self._actions.append(Tell(address, Message(Kind.NEWS, facts=tuple(part))))

    def _fill(self, address: str, facts: list[Fact], names: set[str], room: int) -> None:
        """What is no news, in turn: what got lost comes round, and a newcomer soon has the whole list."""
        room = min(room, self.terms.room if address in self._newcomers else self.terms.fill)
        for _ in range(len(self.members) + 1):
            if not self._turn:
                self._turn = [self.name, *self.members]
                self._rng.shuffle(self._turn)
            name = self._turn[-1]
            member = self.members.get(name)
            fact = self._self() if name == self.name else member.fact if member else None
            if fact is not None and fact.size > room:
                return
            self._turn.pop()
            if fact is not None and name not in names:
                names.add(name)
                facts.append(fact)
                room -= fact.size

    def _on_leave(self) -> None:
        """Say so to as many at once as is fair; they tell the rest."""
        if self.standing is Standing.LEAVING:
            return
        displaced = self.standing is Standing.DISPLACED
        self._stand(Standing.LEAVING, "the planned end")
        if displaced:
            return
        self._rumours = {self.name: Rumour(self._self())}
        for member in self._others(20):
            self._actions.append(Tell(member.fact.address, Message(Kind.NEWS, facts=(self._self(),))))

    @property
    def asked(self) -> int:
        """Pings that are out, for the figures."""
        return len(self._probes)


def _why(fact: Fact, teller: str) -> str:
    return "it answered us itself" if fact.name == teller else f"told by {teller}"
