"""Tests the settings file for peers, and that error messages name the file, the key and the rule."""

from __future__ import annotations

from pathlib import Path

import pytest

from canvasbeam.gossip.settings import AllowedNetworks, PeersFileError, load_peer_settings
from tests.support.gossip_nodes import GOOD, write_file

SECOND = 1_000_000_000


def test_a_valid_file_is_read(tmp_path: Path) -> None:
    more = 'seeds = ["127.0.0.2:7000"]\n[periods]\nprobe_every = 0.5\nprobe_within = 1\n'
    peers = load_peer_settings(write_file(tmp_path, GOOD + more))
    assert (peers.fleet, peers.seeds, peers.swim_parameters().ping_interval) == ("f", ("127.0.0.2:7000",), SECOND // 2)


@pytest.mark.parametrize(
    ("text", "expected_message"),
    [
        ("fleet = ", "is not TOML"),
        ('address = "127.0.0.1:1"', "fleet: required key is missing"),
        (GOOD + "colour = 1", "colour: unknown key"),
        (GOOD + "[periods]\nprobe = 1", "periods.probe: unknown key"),
        (GOOD + "[periods]\nprobe_every = -1", "periods.probe_every: expected"),
        (GOOD + "[periods]\nprobe_within = 0.01", "periods: membership's times"),
        (GOOD + "[sizes]\nmembers = 0", "sizes.members: expected"),
        ('fleet = "f"\naddress = "here"', "address: must be an IPv4 address"),
        ('fleet = "f"\naddress = "127.0.0.300:1"', "address: "),
        (GOOD + 'seeds = ["10.0.0.1:7000"]', "seeds: 10.0.0.1:7000 must be in one of the networks of key `networks`"),
        (GOOD + 'networks = ["all"]', "networks[0]: "),
    ],
)
def test_an_invalid_file_is_rejected_with_file_key_and_rule(tmp_path: Path, text: str, expected_message: str) -> None:
    path = write_file(tmp_path, text)
    with pytest.raises(PeersFileError) as caught:
        load_peer_settings(path)
    assert str(caught.value).startswith(f"{path}: ")
    assert expected_message in str(caught.value)


def test_a_missing_file_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(PeersFileError, match="cannot be read"):
        load_peer_settings(str(tmp_path / "none.toml"))


def test_addresses_outside_the_networks_are_not_allowed() -> None:
    allowed_networks = AllowedNetworks(("127.0.0.0/8",))
    assert "127.9.9.9:1" in allowed_networks
    assert not [
        address
        for address in ("10.0.0.1:1", "127.0.0.1", "x:1", "127.0.0.1:0", "", "[::1]:5")
        if address in allowed_networks
    ]
