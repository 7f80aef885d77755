"""Lists the forms of trouble that day files hold, with what they strike.

A form is a kind of event with one variant of it (``how``).  Two forms are
struck together in some day if they touch the same promise of the product.
"""

import enum
from typing import Final
from typing import NamedTuple


class Promise(enum.Enum):
    """What the product keeps, and a form of trouble can break."""

    STARTS = "starts"
    RENEWALS = "renewals"
    ENDS = "ends"
    OWNERSHIP = "ownership"
    ENTRIES = "entries"


# Times at which the product decides, in seconds: a renewal of leases, an
# owner takeover, the silence after which no new work is placed, a lease and
# the time that a side goes on alone (one is the other's on a second site), the
# delay of a late call, the silence after which work starts elsewhere.
BOUNDS_S: Final = (1.0, 1.6, 2.5, 6.0, 10.0, 12.0, 29.2)
# Just below, at and above each of them.
DURATIONS_S: Final = tuple(
    round(bound * factor, 2)
    for bound in BOUNDS_S
    for factor in (0.94, 1.0, 1.06)
)
# Machines of our own programs: entries, sides, those whose loss is counted.
MACHINE_CLASSES: Final = ("front", "side", "core")
# Which machine a plain form strikes; the owner's, that of the last order and
# that of the last renewal have forms of their own.
SELECTIONS: Final = ("", "turn", "reader", "follower", "seed")
# What may be added to a form that strikes chosen machines.
MACHINE_ADDITIONS: Final = ("", "meet", "race", "hard", "drain")
# How a cut treats connections: silent, or answered by the network.
CUT_ADDITIONS: Final = ("", "reset", "refuse")


class Form(NamedTuple):
    """A kind of event with one variant.

    :ivar kind: its ``kind`` in day files.
    :ivar hows: its variants, which differ in how calls fail or in what is
        changed, in turn; empty for the plain one.
    :ivar promises: what it touches.
    :ivar parameters: its other keys and values, as TOML.
    :ivar is_planned: whether it is planned work instead of a fault.
    :ivar lasts: whether it takes a duration.
    :ivar classes: classes of machines that it strikes in turn.
    :ivar selections: which machine it strikes, in turn.
    :ivar additions: words added to the variant in turn.
    """

    kind: str
    hows: tuple[str, ...]
    promises: frozenset[Promise]
    parameters: str = ""
    is_planned: bool = False
    lasts: bool = False
    classes: tuple[str, ...] = ()
    selections: tuple[str, ...] = ("",)
    additions: tuple[str, ...] = ("",)

    @property
    def is_wide(self) -> bool:
        """Return whether it strikes all machines or the store for all."""
        return (
            self.kind in {"platform_down", "platform_slow"}
            and (not self.hows[0].startswith("nodes"))
            or self.kind == "herd_kill"
        )

    @property
    def name(self) -> str:
        """Return the kind and variant, which no other form has."""
        return f"{self.kind} {'|'.join(self.hows)}".strip()


_LETTERS: Final = {
    "S": Promise.STARTS,
    "R": Promise.RENEWALS,
    "E": Promise.ENDS,
    "O": Promise.OWNERSHIP,
    "W": Promise.ENTRIES,
}


class _Family(NamedTuple):
    """Forms of one kind that differ by variant and promises only.

    :ivar variants: the variants, with the letters of the promises touched;
        a bar between those that make one form.
    """

    kind: str
    variants: tuple[tuple[str, str], ...]
    parameters: str = ""
    is_planned: bool = False
    lasts: bool = False
    classes: tuple[str, ...] = ()
    selections: tuple[str, ...] = ("",)
    additions: tuple[str, ...] = ("",)


_CHOSEN_MACHINES: Final = (
    ("leader", "O"),
    ("giver", "S"),
    ("renewed", "O"),
)
_FAMILIES: Final = (
    _Family("burst", (("", "S"),), "x = 1.6", lasts=True),
    _Family(
        "give_up",
        (("", "S"), ("once", "S"), ("prompt", "SE")),
        "share = 0.3",
        lasts=True,
    ),
    _Family(
        "srv_grey",
        (
            ("errors|shed|busy|reset", "S"),
            ("hang", "R"),
            ("mute", "E"),
            ("slow", "S"),
            ("errors one_zone", "S"),
        ),
        "share = 0.1",
        lasts=True,
    ),
    _Family(
        "srv_lying_health",
        (("errors|hang|reset", "W"), ("bad", "W")),
        "share = 0.1",
        lasts=True,
    ),
    _Family(
        "srv_flap", (("", "EW"),), "share = 0.08, gap_s = 1.3", lasts=True
    ),
    _Family(
        "scale_in",
        (("", "W"), ("spot", "EW"), ("across", "W")),
        "share = 0.06",
        is_planned=True,
    ),
    _Family(
        "scale_in",
        (("reclaim", "W"), ("reclaim dry", "W")),
        "x = 2.5",
        is_planned=True,
        lasts=True,
    ),
    _Family(
        "node_kill",
        (("", "RO"),),
        "count = 1",
        classes=MACHINE_CLASSES,
        selections=SELECTIONS,
        additions=MACHINE_ADDITIONS,
    ),
    _Family(
        "node_kill",
        (("power", "RO"),),
        "count = 1",
        lasts=True,
        classes=MACHINE_CLASSES,
        selections=SELECTIONS,
        additions=MACHINE_ADDITIONS,
    ),
    _Family(
        "node_kill",
        _CHOSEN_MACHINES,
        "count = 1",
        classes=MACHINE_CLASSES,
        additions=MACHINE_ADDITIONS,
    ),
    _Family(
        "node_kill",
        (("follower power wipe", "O"),),
        'on = "core", count = 1',
        lasts=True,
    ),
    _Family(
        "node_freeze",
        (("", "RO"),),
        "count = 1",
        lasts=True,
        classes=MACHINE_CLASSES,
        selections=SELECTIONS,
        additions=MACHINE_ADDITIONS,
    ),
    _Family(
        "node_freeze",
        _CHOSEN_MACHINES,
        "count = 1",
        lasts=True,
        classes=MACHINE_CLASSES,
        additions=MACHINE_ADDITIONS,
    ),
    _Family(
        "node_slow",
        (("", "RO"), ("leader", "O"), ("giver", "S")),
        "share = 0.1, x = 5.0",
        lasts=True,
        classes=MACHINE_CLASSES,
    ),
    _Family(
        "roll_term",
        (("", "O"), ("leader", "O"), ("starter", "S"), ("busy", "S")),
        "share = 0.2, x = 1.0, gap_s = 1.2",
        is_planned=True,
        classes=MACHINE_CLASSES,
    ),
    _Family(
        "roll_term",
        (("remove", "O"),),
        "share = 0.1, x = 1.0, gap_s = 1.2",
        is_planned=True,
    ),
    _Family(
        "herd_kill", (("", "RO"),), "share = 0.3", classes=("front", "side")
    ),
    _Family(
        "herd_kill",
        (("power", "RO"),),
        "share = 0.3",
        lasts=True,
        classes=("front", "side"),
    ),
    _Family(
        "herd_kill",
        (("off", "O"), ("taken", "S"), ("taken all", "S")),
        'on = "core", share = 1.0',
        lasts=True,
    ),
    _Family("add_nodes", (("", "W"),), "share = 0.5", is_planned=True),
    _Family(
        "replace_core",
        (("|oldest|leader", "O"), ("planned", "O")),
        "x = 1.0",
    ),
    _Family(
        "after_ack_kill",
        (
            ("|kill|timed", "O"),
            ("taken|taken gone", "S"),
        ),
        lasts=True,
    ),
    _Family("hup", (("", "S"),), "share = 0.4, gap_s = 1.0", is_planned=True),
    _Family(
        "reset_conns",
        (("", "R"),),
        "share = 0.3, x = 0.5",
        classes=MACHINE_CLASSES,
    ),
    _Family(
        "core_cut",
        (
            ("behind", "O"),
            ("split", "O"),
            ("all", "O"),
            ("near", "O"),
            ("oldest", "O"),
            ("one_way", "O"),
            ("seeds", "OW"),
            ("both", "O"),
            ("lure", "OW"),
            ("relieve", "O"),
        ),
        lasts=True,
        additions=CUT_ADDITIONS,
    ),
    _Family(
        "core_cut",
        (("", "O"),),
        lasts=True,
        selections=SELECTIONS,
        additions=CUT_ADDITIONS,
    ),
    _Family(
        "core_cut",
        _CHOSEN_MACHINES,
        lasts=True,
        additions=(*CUT_ADDITIONS, "meet", "race", "drain"),
    ),
    _Family(
        "node_cut",
        (("", "RO"), ("all", "RO")),
        "share = 0.1",
        lasts=True,
        classes=MACHINE_CLASSES,
        selections=SELECTIONS,
        additions=(*CUT_ADDITIONS, "meet", "race", "drain", "revoke"),
    ),
    _Family(
        "node_cut",
        _CHOSEN_MACHINES,
        "count = 1",
        lasts=True,
        classes=MACHINE_CLASSES,
        additions=CUT_ADDITIONS,
    ),
    _Family(
        "node_cut",
        (("servers", "RE"), ("servers reborn", "SE")),
        "share = 0.12",
        lasts=True,
        additions=CUT_ADDITIONS,
    ),
    _Family(
        "srv_cut",
        (
            ("", "RE"),
            ("fronts", "R"),
            ("some", "S"),
            ("some lossy", "R"),
            ("one_way|some one_way|some lossy one_way", "RE"),
            ("reborn|some reborn", "SE"),
        ),
        "share = 0.12",
        lasts=True,
        additions=CUT_ADDITIONS,
    ),
    _Family(
        "platform_down",
        (
            ("|silent|busy|reset", "O"),
            ("silent lapse|busy lapse|reset lapse", "ORW"),
            ("silent log|busy log|reset log", "O"),
            ("silent tables|busy tables|reset tables", "W"),
        ),
        "share = 0.4",
        lasts=True,
    ),
    _Family(
        "platform_down",
        (
            ("nodes silent|nodes busy|nodes many|nodes reset", "O"),
            ("nodes leader|nodes leader busy", "O"),
            ("nodes renewed|nodes renewed reset", "O"),
            ("nodes giver|nodes giver many", "S"),
        ),
        "share = 0.3",
        lasts=True,
        additions=("", "revoke", "revoke meet"),
    ),
    _Family("platform_slow", (("", "O"),), "x = 50.0", lasts=True),
    _Family(
        "platform_lost", (("", "SE"), ("late", "SE")), "x = 0.3", lasts=True
    ),
    _Family(
        "platform_compact",
        (
            ("", "W"),
            ("keyed", "W"),
            ("drain", "W"),
            ("rebalance", "O"),
            ("rewind", "W"),
        ),
        "x = 3.0",
        lasts=True,
    ),
    _Family(
        "config_change",
        (
            ("route", "S"),
            ("weights|timeout|idle", "S"),
            ("tenant|tenant down", "S"),
            ("quota|quota down|topup", "S"),
        ),
        is_planned=True,
    ),
    _Family(
        "revoke",
        (("|last", "S"),),
        "count = 2, gap_s = 0.5",
        is_planned=True,
    ),
    _Family(
        "applied_late",
        (
            ("", "SR"),
            ("orders", "SE"),
            ("cloud", "W"),
            ("grants", "RE"),
            ("all", "SRE"),
        ),
        "x = 0.5",
        lasts=True,
    ),
    _Family(
        "clock_step",
        (("|back|ahead", "R"),),
        "share = 0.3, x = 2400.0",
        lasts=True,
    ),
    _Family(
        "cloud_down",
        (("silent|busy|reset", "W"),),
        lasts=True,
    ),
    _Family("cloud_slow", (("", "W"),), "x = 50.0", lasts=True),
)
FORMS: Final = tuple(
    Form(
        family.kind,
        tuple(how.split("|")),
        frozenset(_LETTERS[letter] for letter in letters),
        family.parameters,
        family.is_planned,
        family.lasts,
        family.classes,
        family.selections,
        family.additions,
    )
    for family in _FAMILIES
    for how, letters in family.variants
)
CLOSINGS: Final = (
    'kind = "power_off_all", down_s = 1.2',
    'kind = "power_off_all", down_s = 1.2, how = "taken"',
    'kind = "power_off_all", down_s = 1.2, how = "timed"',
    'kind = "power_off_all", down_s = 1.2, how = "oldest"',
    'kind = "power_off_all", down_s = 1.2, how = "all"',
    'kind = "wipe_after_ack", down_s = 1.2',
    'kind = "kill_all", down_s = 0.7',
)
