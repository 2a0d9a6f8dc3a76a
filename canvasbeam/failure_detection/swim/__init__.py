"""Membership of scheduler instances: SWIM with suspicion, and local health as in Lifeguard.

The package is pure: input is events and the time in whole nanoseconds, output is actions; no I/O, no clock, no sockets,
randomness only from a seed. This instance must never declare another one dead while it receives nothing or gets no
answers, never decrease its incarnation, never accept updates from a sender that has not answered a ping, and never send
an unbounded number of datagrams.

| state of a member | from | to |
| --- | --- | --- |
| alive | it answered a ping, or a member reports it | suspect: a ping failed, or a member reports it suspect or dead |
| suspect | | alive: it refuted with a higher incarnation; dead: the suspicion timed out without a refutation |
| dead | the suspicion timed out, or a suspect silent for `min_suspicion` is reported dead | alive: it refuted |
| left | it announced its planned shutdown | alive: a new process of that name |
| removed | dead for `dead_retention`, left for `left_retention` | |

Every change of a member's status goes through `MemberUpdates.set_known`.

| state of this instance | from | to |
| --- | --- | --- |
| joining | the process started | member: another instance answered |
| member | | leaving: the planned shutdown; displaced: a newer process of this name answers at another address |
| displaced | | joining: the newer process no longer answers |
| leaving | | |

Every change of this instance's state goes through `OwnInstance.set_state`.

Updates about a member are ordered by (start of its process, incarnation, status). The higher of two updates takes
precedence, so updates may arrive in any order and any number of times. Sources: Das, Gupta, Motivala, "SWIM" (DSN
2002); Dadgar, Phillips, Currey, "Lifeguard" (2017). Three rules go beyond both papers. A reported death first becomes a
suspicion, so that no member is declared dead when a partition heals. Absent members and seeds are pinged from time to
time, because otherwise a partition would not heal. An instance that receives nothing or gets no answers declares no
member dead.

This detector differs from `failure_detection/monitoring.py`, which detects failed nodes of the cluster. In that module
members come from replicated items, a few monitors are assigned to each member, and a suspicion is published as an item
that the target refutes. SWIM uses only datagrams: every instance pings every other one in turn, and updates are
piggybacked on the pings.

Where to start reading: `membership.py` is the entry point and routes events to the other modules. `ping_exchange.py`
sends pings and processes answers; `pings.py` has the pings in flight, and `ping_order.py` chooses the next member to
ping. `member_updates.py` changes members (`member_table.py`) by the rules of `suspicion.py`. `own_instance.py` has this
instance's incarnation and refutations. `gossip.py` and `datagram_sender.py` spread updates. `reachability.py` and
`local_health.py` measure how reliable this instance's own observations are. `messages.py` and `view.py` define input
and output, `parameters.py` times and sizes.
"""

from canvasbeam.failure_detection.swim.member_table import Member
from canvasbeam.failure_detection.swim.membership import Membership
from canvasbeam.failure_detection.swim.messages import (
    Action,
    Datagram,
    DatagramKind,
    DatagramReceived,
    Event,
    LeaveRequested,
    MemberUpdate,
    ReportChange,
    SendDatagram,
    Sender,
    Ticked,
)
from canvasbeam.failure_detection.swim.parameters import SwimParameters
from canvasbeam.failure_detection.swim.view import MembershipView, OwnState

__all__ = [
    "Action",
    "Datagram",
    "DatagramKind",
    "DatagramReceived",
    "Event",
    "LeaveRequested",
    "Member",
    "MemberUpdate",
    "Membership",
    "MembershipView",
    "OwnState",
    "ReportChange",
    "SendDatagram",
    "Sender",
    "SwimParameters",
    "Ticked",
]
