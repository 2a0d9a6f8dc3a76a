"""Numbered result codes, and `Failure`, the return value that pairs a result code with a reason.

Functions return a `Failure` for an expected error, such as a full disk; exceptions are for faults in the program
itself. `docs/result-codes.md` is generated from `ResultCode`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class ResultCode(IntEnum):
    """Result of an operation. The numbers must not change, because logs, responses and exit reports contain them."""

    def __new__(cls, number: int, meaning: str) -> ResultCode:
        """Create an enum member with `number` as its value and `meaning` as an attribute."""
        member = int.__new__(cls, number)
        member._value_ = number
        member.meaning = meaning
        return member

    meaning: str

    OK = 0, "done"
    # 1xx: settings and process start
    SETTINGS_UNREADABLE = 101, "the settings file cannot be read or is not TOML"
    SETTINGS_INVALID = 102, "a key of the settings file is missing or breaks a rule"
    ADDRESS_IN_USE = 103, "a listening address could not be bound"
    # 2xx: requests to the operator API
    CONFIG_UNREADABLE = 201, "the body is not a whole JSON document"
    CONFIG_SCHEMA = 202, "the configuration does not match the schema"
    CONFIG_UNKNOWN_SERVICE = 203, "a route names a service that is not configured"
    CONFIG_DUPLICATE_ROUTE = 204, "two routes have the same host and prefix"
    CONFIG_NO_WEIGHT = 205, "the weights of a route sum to zero"
    CONFIG_NO_TIMEOUT = 206, "a timeout is zero"
    CONFIG_OLD_GENERATION = 207, "the generation is not above the current one"
    CONFIG_STALE_MATCH = 208, "If-Match names another generation than the current one"
    CONFIG_NO_MATCH = 209, "If-Match is missing or not a number"
    CONFIG_TOO_LARGE = 210, "the body is larger than the limit"
    CONFIG_DUPLICATE_NAME = 211, "two items have the same name"
    ZONE_UNKNOWN = 212, "the zone is not one of the deployment"
    CONFIG_UNKNOWN_MATCH = 213, "If-Match names a generation that is not known yet; the outcome is open"
    CONFIG_FORGOTTEN = 214, "the order is too old to tell whether it was taken; the outcome is open"
    ORDER_MAY_BE_LATE = 215, "the order may have been sent before an opposite one; send it on a new connection"
    # 3xx: replication
    NOT_PRIMARY = 301, "this node is not the primary"
    NO_PRIMARY = 302, "no primary is known at present"
    PRIMARY_LOST = 303, "the primary lost its epoch before the change was replicated; its outcome is unknown"
    REPLICATION_TIMEOUT = 304, "the replicas did not confirm in time; the outcome is unknown"
    OVERLOADED = 305, "too many calls are in progress"
    MEMBER_UNKNOWN = 306, "no control process is known at the address"
    MEMBER_NEEDED = 307, "the control process may not be removed: no other can take its place"
    # 4xx: storage
    DISK_FULL = 401, "the disk takes no more bytes"
    DISK_FAILED = 402, "a disk operation failed"
    DISK_CORRUPT = 403, "what is stored fails its checksum"
    DISK_SLOW = 404, "a disk operation did not finish in time"
    # 5xx: messages between nodes
    MESSAGE_INVALID = 501, "a message could not be decoded"
    MESSAGE_TOO_LARGE = 502, "a message is larger than the limit"
    MESSAGE_VERSION = 503, "a message has another protocol version"
    PEER_UNREACHABLE = 504, "the peer could not be reached in time"
    # 6xx: workers
    REGISTRATION_INVALID = 601, "a heartbeat of a worker misses a field or breaks a rule"
    REGISTRATION_STALE = 602, "a heartbeat is older than one already taken"
    REGISTRATION_TOO_LARGE = 603, "a heartbeat is larger than the limit"
    # 7xx: client requests
    REQUEST_INVALID = 701, "the request cannot be understood"
    REQUEST_NO_ROUTE = 702, "no route fits the host and path"
    REQUEST_TOO_LARGE = 703, "the body is larger than the limit"
    REQUEST_REFUSED = 704, "no worker could take the request in time; it has not run"
    REQUEST_FAILED = 705, "the worker failed; the request may have run"
    REQUEST_TIMED_OUT = 706, "no answer came in time; the request may have run"
    REQUEST_NOT_READY = 707, "this node has no configuration yet"
    REQUEST_HEAD_TOO_LARGE = 708, "the head of the request is larger than the limit"
    REQUEST_INCOMPLETE = 709, "the body of the request did not come in time; it has not run"


@dataclass(frozen=True, slots=True)
class Failure:
    """An expected failure: a result code, and the details of the failure in one sentence."""

    code: ResultCode
    reason: str

    def __str__(self) -> str:
        return f"{int(self.code)} {self.code.name.lower()}: {self.reason}"
