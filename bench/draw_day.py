"""Draws a day of trouble: kinds of disruption that may come at any moment, several of them, some twice.

`python bench/draw_day.py PROFILE SEED > day.toml` writes a day of one's own in the form of the files under
`scenarios/system/`. The profile `any` draws from all kinds, half of them on the control side; each other profile draws
for one point of `docs/design/hardening.md`: `contact`, `orders`, `membership`, `changes`, `answers`.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Sequence
from dataclasses import dataclass

DAY_S = 34.0
LAST_FAULT_S = 29.0
LAST_PLAN_S = 30.0
VICTIMS = ("", "leader", "turn", "reader", "seed")
AFTERMATHS = ("", "meet", "race", "hard", "drain", "race hard", "race drain hard")


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of disruption: its fixed fields, the spans from which others are drawn, and its variants."""

    name: str
    fixed: tuple[tuple[str, str], ...] = ()
    spans: tuple[tuple[str, float, float], ...] = ()
    variants: tuple[str, ...] = ()
    names_machines: bool = False
    may_be_two: bool = False  # a deployment that bears one loss cuts a second one down

    def entry(self, chance: random.Random, at: float) -> str:
        """Return this kind at a moment, as an inline table of TOML."""
        fields = [f"at = {at:.2f}", f'kind = "{self.name}"']
        fields += [f"{key} = {value}" for key, value in self.fixed]
        if self.may_be_two:
            fields.append(f"count = {chance.choice((1, 1, 2))}")
        fields += [f"{key} = {chance.uniform(low, high):.2f}" for key, low, high in self.spans]
        words = [chance.choice(self.variants)] if self.variants else []
        if self.names_machines:
            words += [chance.choice(VICTIMS), chance.choice(AFTERMATHS)]
        how = " ".join(word for word in words if word)
        if how:
            fields.append(f'how = "{how}"')
        return "{ " + ", ".join(fields) + " }"


CORE = (("on", '"core"'),)
FOR = ("for_s", 1.0, 8.0)
SHORT = ("for_s", 0.8, 4.0)
CONTROL_FAULTS = (
    Kind("core_cut", (), (("for_s", 2.0, 9.0),),
         ("", "all", "near", "oldest", "one_way", "one_way near", "seeds", "both", "lure", "reset", "refuse"),
         True, True),
    Kind("core_cut", (), (("for_s", 8.0, 20.0),), ("one_way", "all", "lure", "both"), True, True),
    Kind("node_kill", CORE, (SHORT,), ("", "power"), True, True),
    Kind("node_freeze", CORE, (("for_s", 0.5, 6.0),), (), True, True),
    Kind("node_slow", CORE, (FOR, ("x", 3.0, 8.0)), (), True, True),
    Kind("replace_core", (), (("x", 0.5, 2.0),), ("", "planned", "oldest", "oldest planned")),
    Kind("after_ack_kill", (), (SHORT,), ("", "kill", "timed", "taken")),
    Kind("after_ack_wipe", (), (SHORT,), ("", "oldest", "timed")),
    Kind("disk_slow", (), (FOR, ("x", 10.0, 60.0)), ("", "leader"), False, True),
    Kind("disk_stall", (), (("for_s", 1.0, 4.0),), ("", "leader"), False, True),
    Kind("disk_full", (), (("for_s", 1.0, 5.0),), ("", "leader"), False, True),
    Kind("clock_step", (("share", "0.5"),), (("for_s", 2.0, 6.0), ("x", 1000.0, 5000.0)), ("back", "ahead")),
    Kind("reset_conns", CORE, (("x", 0.3, 1.0),), (), True, True),
    Kind("ack_lost", (), (("for_s", 4.0, 12.0), ("x", 0.5, 0.9))),
    Kind("herd_kill", (("on", '"core"'),), (SHORT,), ("", "power", "taken")),
    Kind("roll_term", (("on", '"core"'), ("x", "1.0")), (("share", 0.3, 1.0), ("gap_s", 1.0, 4.0)), ("", "remove")),
    Kind("srv_cut", (), (("share", 0.1, 0.3), FOR), ("", "one_way", "reset")),
)  # fmt: skip
OTHER_FAULTS = (
    Kind("region_cut", (), (FOR,), ("", "one_way")),
    Kind("region_loss", (), (FOR,)),
    Kind("zone_cut", (), (FOR,)),
    Kind("zone_loss", (), (FOR,)),
    Kind("node_cut", (), (("share", 0.1, 0.3), FOR), ("", "all", "servers")),
    Kind("node_kill", (), (("share", 0.1, 0.3), SHORT), ("", "power")),
    Kind("node_freeze", (), (("share", 0.1, 0.3), ("for_s", 0.5, 6.0))),
    Kind("node_slow", (), (("share", 0.1, 0.3), FOR, ("x", 3.0, 8.0))),
    Kind("herd_kill", (), (("share", 0.3, 0.7), SHORT), ("", "power")),
    Kind("reset_conns", (), (("share", 0.1, 0.5), ("x", 0.3, 0.9))),
    Kind("hup", (), (("share", 0.2, 1.0), ("gap_s", 0.3, 2.0))),
    Kind("srv_crash", (), (("share", 0.1, 0.2), FOR), ("", "dark", "gone")),
    Kind("srv_grey", (), (("share", 0.1, 0.3), ("x", 0.2, 0.5), FOR),
         ("errors", "shed", "busy", "hang", "reset", "mute")),
    Kind("answer_lost", (), (("share", 0.3, 0.7), ("x", 0.03, 0.1), FOR)),
    Kind("garble", (), (("share", 0.3, 0.7), ("x", 0.05, 0.3), FOR), ("", "extra", "unframed", "early")),
    Kind("scale_in", (), (("share", 0.1, 0.3), ("x", 1.0, 3.0)), ("", "spot")),
    Kind("replace_with_reuse", (), (("share", 0.1, 0.3),), ("", "drain", "dark")),
    Kind("give_up", (), (("share", 0.1, 0.4), FOR)),
    Kind("retry_abuse", (), (("share", 0.1, 0.3), ("x", 1.0, 3.0), FOR)),
    Kind("burst", (), (("x", 1.3, 2.3), FOR)),
)  # fmt: skip
PLANS = (
    Kind("config_change", (), (), ("route", "weights", "timeout", "idle")),
    Kind("config_change", (), (), ("route",)),
    Kind("config_race", (), (("gap_s", 0.4, 1.5),)),
    Kind("bad_config", (), (("gap_s", 0.5, 1.2),),
         ("cut_short", "unknown_service", "no_timeout", "old_version", "same_version", "stale_match")),
    Kind("evacuate", (), (("for_s", 2.0, 9.0),), ("", "warm")),
    Kind("release", (("x", "1.0"),), (("share", 0.2, 0.5), ("gap_s", 0.8, 1.5))),
    Kind("roll_term", (("x", "1.0"),), (("share", 0.2, 0.6), ("gap_s", 1.0, 2.0)), ("", "busy")),
    Kind("seed_turnover"),
)  # fmt: skip
CLOSINGS = (
    'kind = "power_off_all"', 'kind = "kill_all"', 'kind = "wipe_after_ack"', 'kind = "wipe_after_ack", how = "timed"',
    'kind = "wipe_after_ack", how = "oldest"', 'kind = "power_off_all", how = "taken"',
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Profile:
    """From what a day is drawn, and how many of each: least and most."""

    control: tuple[Kind, ...]
    controls: tuple[int, int]
    others: tuple[int, int]
    plan: tuple[Kind, ...]
    plans: tuple[int, int]


def _picked(kinds: Sequence[Kind], *names: str) -> tuple[Kind, ...]:
    return tuple(kind for kind in kinds if kind.name in names)


ORDERS = _picked(PLANS, "config_change", "config_race", "bad_config", "evacuate")
ROUTES = (Kind("config_change", (), (), ("route",)), Kind("config_race", (), (("gap_s", 0.4, 1.5),)))
MANY_CHANGES = (Kind("config_race", (("count", "30"),), (("gap_s", 0.3, 0.9),)),)
CUTS = (
    Kind("core_cut", (), (("for_s", 5.0, 20.0),),
         ("one_way", "one_way near", "one_way all", "one_way seeds", "one_way lure", "one_way oldest", "one_way both"),
         True, True),
)  # fmt: skip
FREEZES = _picked(CONTROL_FAULTS, "core_cut", "node_freeze", "node_slow", "clock_step", "srv_cut")
LOST_ANSWERS = _picked(CONTROL_FAULTS, "ack_lost", "node_kill", "after_ack_kill", "node_freeze", "core_cut")
LOSSES = _picked(CONTROL_FAULTS, "replace_core", "after_ack_wipe", "node_kill", "roll_term", "herd_kill")
DISKS = _picked(CONTROL_FAULTS, "after_ack_wipe", "node_kill", "disk_slow", "disk_stall", "disk_full", "replace_core")
SPOILT = _picked(OTHER_FAULTS, "garble", "answer_lost", "reset_conns", "srv_grey", "give_up", "replace_with_reuse")
PROFILES = {
    "any": Profile(CONTROL_FAULTS, (2, 5), (1, 3), PLANS, (5, 9)),
    "contact": Profile((*CUTS, *CUTS, *FREEZES), (2, 4), (0, 1), ROUTES, (14, 22)),
    "orders": Profile(LOST_ANSWERS, (3, 5), (0, 1), ORDERS, (16, 26)),
    "membership": Profile(LOSSES, (3, 6), (0, 1), ROUTES, (8, 14)),
    "changes": Profile(DISKS, (2, 5), (0, 1), MANY_CHANGES, (4, 6)),
    "answers": Profile(SPOILT, (4, 7), (1, 2), PLANS, (3, 6)),
}


def draw_entries(chance: random.Random, kinds: Sequence[Kind], count: int, last_s: float) -> list[str]:
    """So many disruptions in the order of their moments."""
    moments = sorted(chance.uniform(1.0, last_s) for _ in range(count))
    return [chance.choice(kinds).entry(chance, at) for at in moments]


def draw_day(profile_name: str, seed: int) -> str:
    """Return a whole day as TOML."""
    chance = random.Random(f"{profile_name}/{seed}")
    profile = PROFILES[profile_name]
    control = draw_entries(chance, profile.control, chance.randint(*profile.controls), LAST_FAULT_S)
    other = draw_entries(chance, OTHER_FAULTS, chance.randint(*profile.others), LAST_FAULT_S)
    plan = draw_entries(chance, profile.plan, chance.randint(*profile.plans), LAST_PLAN_S)
    lines = [f'name = "{profile_name}-{seed}"', 'slot = "trouble"', f"seed = {seed}"]
    lines.append(f"closing = {{ {chance.choice(CLOSINGS)}, down_s = {chance.uniform(0.4, 1.2):.2f} }}")
    for title, entries in (("plan", plan), ("faults", control + other)):
        lines += [f"{title} = [", *(f"  {entry}," for entry in entries), "]"]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    sys.stdout.write(draw_day(sys.argv[1], int(sys.argv[2])))
