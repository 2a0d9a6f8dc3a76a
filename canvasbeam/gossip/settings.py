"""The operators' settings file for peers: this instance's address, its seeds, intervals and size limits.

The module owns the file's keys, their validation and the error messages, which name the file, the key and the rule. The
keys are older than the names in the code and must not change; `PeerSettings.swim_parameters` alone maps the keys to
these names. The module must never open a socket, and never accept a partially valid file.
"""

from __future__ import annotations

import ipaddress
import re
import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec

from canvasbeam.failure_detection.swim import SwimParameters
from canvasbeam.units import MILLISECOND as MS
from canvasbeam.units import SECOND

PositiveSeconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]


MAX_ADDRESSES_CACHED = 4096
MAX_GOSSIP_INTERVAL = 50 * MS  # nanoseconds; upper bound of the gossip interval, which is otherwise `probe_every`


class PeersFileError(ValueError):
    """The settings file for peers is invalid; the message names the file, the key and the rule."""


_DEFAULT = SwimParameters()


class Periods(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Intervals and timeouts in seconds; `SwimParameters` documents each (mapping: `PeerSettings.swim_parameters`)."""

    probe_every: PositiveSeconds = _DEFAULT.ping_interval / SECOND
    answer_within: PositiveSeconds = _DEFAULT.direct_ping_timeout / SECOND
    probe_within: PositiveSeconds = _DEFAULT.ping_timeout / SECOND
    least_suspicion: PositiveSeconds = _DEFAULT.min_suspicion / SECOND
    most_suspicion: PositiveSeconds = _DEFAULT.max_suspicion / SECOND
    deaf_after: PositiveSeconds = _DEFAULT.receive_timeout / SECOND
    forget_dead: PositiveSeconds = _DEFAULT.dead_retention / SECOND
    forget_left: PositiveSeconds = _DEFAULT.left_retention / SECOND


class Sizes(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Limits: members kept, and datagrams per second sent, received in total and received from one source."""

    members: Count = _DEFAULT.max_members
    sent_per_s: Count = 300
    taken_per_s: Count = 600
    taken_per_s_of_one: Count = 150


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Content of the settings file for peers."""

    fleet: Name
    address: str  # address at which the peers reach this instance
    listen: str = ""  # address to bind, if different from `address`
    seeds: tuple[str, ...] = ()
    networks: tuple[str, ...] = ("127.0.0.0/8",)  # datagrams to and from addresses outside these networks are dropped
    periods: Periods = Periods()
    sizes: Sizes = Sizes()

    def swim_parameters(self) -> SwimParameters:
        """Return the parameters of the membership; raise ValueError if the periods or sizes contradict each other."""
        periods = self.periods
        return SwimParameters(
            ping_interval=round(periods.probe_every * SECOND),
            direct_ping_timeout=round(periods.answer_within * SECOND),
            ping_timeout=round(periods.probe_within * SECOND),
            min_suspicion=round(periods.least_suspicion * SECOND),
            max_suspicion=round(periods.most_suspicion * SECOND),
            receive_timeout=round(periods.deaf_after * SECOND),
            dead_retention=round(periods.forget_dead * SECOND),
            left_retention=round(periods.forget_left * SECOND),
            gossip_interval=min(MAX_GOSSIP_INTERVAL, round(periods.probe_every * SECOND)),
            max_members=self.sizes.members,
        )


def address_of(text: str) -> tuple[str, int]:
    """Return host and port of an IPv4 address and port, as `127.0.0.1:7000`; raise ValueError for any other text."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdecimal() or not 0 < int(port) < 65_536:
        raise ValueError("must be an IPv4 address and a port, as 127.0.0.1:7000")
    ipaddress.IPv4Address(host)
    return host, int(port)


class AllowedNetworks:
    """The networks to and from which datagrams are allowed; `in` tests an address with port, and caches the result."""

    def __init__(self, networks: tuple[str, ...]) -> None:
        self._networks = [ipaddress.IPv4Network(network) for network in networks]
        self._cached: dict[str, bool] = {}

    def __contains__(self, address: str) -> bool:
        is_allowed = self._cached.get(address)
        if is_allowed is None:
            try:
                host = ipaddress.IPv4Address(address_of(address)[0])
                is_allowed = any(host in network for network in self._networks)
            except ValueError:
                is_allowed = False
            if len(self._cached) >= MAX_ADDRESSES_CACHED:  # bounds the cache under forged addresses
                self._cached.clear()
            self._cached[address] = is_allowed
        return is_allowed


def load_peer_settings(path: str) -> PeerSettings:
    """Read and validate a settings file; raise PeersFileError, which names the file, the key and the rule."""
    try:
        table = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise PeersFileError(f"{path}: cannot be read: {error}") from error
    except tomllib.TOMLDecodeError as error:
        raise PeersFileError(f"{path}: is not TOML: {error}") from error
    return check(table, path)


def check(table: Mapping[str, Any], origin: str) -> PeerSettings:
    """Validate the table of a settings file; raise PeersFileError, which names the origin, the key and the rule."""
    try:
        peers = msgspec.convert(table, PeerSettings)
    except msgspec.ValidationError as error:
        raise PeersFileError(f"{origin}: {_describe(str(error))}") from error
    _check_rule(origin, "address", peers.address, address_of)
    if peers.listen:
        _check_rule(origin, "listen", peers.listen, address_of)
    for index, network in enumerate(peers.networks):
        _check_rule(origin, f"networks[{index}]", network, ipaddress.IPv4Network)
    allowed = AllowedNetworks(peers.networks)
    for key, addresses in (("address", (peers.address,)), ("seeds", peers.seeds)):
        for address in addresses:
            _check_rule(origin, key, address, address_of)
            if address not in allowed:
                raise PeersFileError(f"{origin}: {key}: {address} must be in one of the networks of key `networks`")
    try:
        peers.swim_parameters()
    except ValueError as error:
        raise PeersFileError(f"{origin}: periods: {error}") from error
    return peers


def _check_rule(origin: str, key: str, value: str, rule: Callable[[str], object]) -> None:
    """Raise PeersFileError if `rule`, a function that raises ValueError for invalid values, rejects the value."""
    try:
        rule(value)
    except ValueError as error:
        raise PeersFileError(f"{origin}: {key}: {error}") from error


def _describe(message: str) -> str:
    """Return msgspec's error message rewritten as `key: rule`."""
    rule, _, path = message.partition(" - at `$")
    key = path.rstrip("`").lstrip(".")
    unknown = re.search(r"unknown field `(.+)`", rule)
    missing = re.search(r"missing required field `(.+)`", rule)
    if unknown:
        return f"{f'{key}.' if key else ''}{unknown[1]}: unknown key"
    if missing:
        return f"{f'{key}.' if key else ''}{missing[1]}: required key is missing"
    return f"{key or 'the file'}: {rule[:1].lower()}{rule[1:]}"
