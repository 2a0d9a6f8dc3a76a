"""Faults on the simulator's links: what they do to a datagram, and how mistakes in them are named."""

from __future__ import annotations

from canvasbeam.simulator.model.links import LinkFault, Links, problems, strip
from canvasbeam.simulator.model.units import MS, SECOND


def test_faults_on_links_do_what_they_say() -> None:
    zones = {"a": "east", "b": "east", "c": "west"}

    def passed(*faults: LinkFault, to: str = "b", of: str = "a", at: int = SECOND) -> list[list[int]]:
        links = Links(zones, faults, seed=3)
        return [links.pass_on(at, of, to, 100) for _ in range(400)]

    assert all(len(arrivals) == 1 for arrivals in passed())
    assert not any(passed(LinkFault(kind="cut", at_s=0, of=("a",), to=("b",), one_way=True)))
    assert all(passed(LinkFault(kind="cut", at_s=0, of=("a",), to=("b",), one_way=True), of="b", to="a"))
    assert all(passed(LinkFault(kind="cut", at_s=0, of_zone="east", to_zone="west")))
    assert not any(passed(LinkFault(kind="cut", at_s=0, of_zone="east", to_zone="west"), to="c"))
    assert all(passed(LinkFault(kind="cut", at_s=0, for_s=0.5)))  # it is over
    assert 40 < sum(not arrivals for arrivals in passed(LinkFault(kind="lose", at_s=0, size=0.2))) < 130
    assert 40 < sum(len(arrivals) == 2 for arrivals in passed(LinkFault(kind="duplicate", at_s=0, size=0.2))) < 130
    slow = passed(LinkFault(kind="delay", at_s=0, size=50, jitter_ms=10))
    assert all(50 * MS <= arrivals[0] <= 61 * MS for arrivals in slow)
    mixed = [arrivals[0] for arrivals in passed(LinkFault(kind="reorder", at_s=0, size=0.5))]
    assert max(mixed) > 10 * MS > min(mixed)
    narrow = passed(LinkFault(kind="throttle", at_s=0, size=1000))
    assert (sum(bool(arrivals) for arrivals in narrow), narrow[1][0] > narrow[0][0]) == (5, True)
    flaps = LinkFault(kind="cut", at_s=0, flap_s=1)
    assert [flaps.is_on(round(second * SECOND)) for second in (0.5, 1.5, 2.5)] == [True, False, True]


def test_a_strip_shows_who_could_hear_whom() -> None:
    links = Links({"a": "x", "b": "x", "c": "y"}, [LinkFault(kind="cut", at_s=1, for_s=2, of_zone="y", one_way=True)])
    lines = strip(links, 4, {"b": [(3, 4)]})
    assert lines == ["a #++#", "b #++x", "c ####"]


def test_link_faults_that_cannot_be_are_named_by_key() -> None:
    wrong = [
        LinkFault(kind="lose", at_s=0), LinkFault(kind="delay", at_s=0), LinkFault(kind="cut", at_s=0, parts=1),
        LinkFault(kind="cut", at_s=0, to=("a",)), LinkFault(kind="cut", at_s=0, of_zone="nowhere"),
    ]  # fmt: skip
    keys = [key for key, _ in problems(wrong, ["east"])]
    assert keys == ["links[0].size", "links[1].size", "links[2].parts", "links[3]", "links[4].of_zone"]
