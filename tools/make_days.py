"""Writes fault scenarios ("days") that combine every pair of event kinds.

``python -m tools.make_days`` fills ``deploy/days`` with files
``pairs-NN.toml``.  Each day holds some kinds of events whose times overlap;
the next day is chosen to cover pairs that no day has covered yet.  The choice
is seeded, so that the files are the same each time.
"""

import argparse
import itertools
import pathlib
import random
from typing import Final
from typing import NamedTuple

_SEED: Final = 20261203
_KINDS_PER_DAY: Final = 8
# Random candidates for each day; the one with the most new pairs is used.
_CANDIDATES_PER_DAY: Final = 400
# The events of a day start within the spread after the first start; it is
# shorter than most events, so that they overlap.
_FIRST_START_S: Final = 8.0
_START_SPREAD_S: Final = 3.0
_REPEAT_AFTER_S: Final = 14.0


class EventKind(NamedTuple):
    """A kind of event with its parameters.

    :ivar name: its ``kind`` in day files.
    :ivar is_planned: whether it is planned work instead of a fault.
    :ivar parameters: its other keys and values, as TOML.
    """

    name: str
    is_planned: bool
    parameters: str


_EVENT_KINDS: Final = (
    EventKind("burst", False, "x = 2.0, for_s = 6.0"),
    EventKind("give_up", False, "share = 0.3, for_s = 6.0"),
    EventKind("poison", False, "share = 0.1, for_s = 6.0"),
    EventKind("srv_slow", False, "share = 0.2, x = 5.0, for_s = 6.0"),
    EventKind("srv_grey", False, 'how = "errors", share = 0.1, for_s = 6.0'),
    EventKind(
        "srv_grey", False, 'how = "hang", share = 0.1, x = 1.0, for_s = 6.0'
    ),
    EventKind("srv_cut", False, "share = 0.2, for_s = 6.0"),
    EventKind("applied_late", False, "x = 0.3, for_s = 6.0"),
    EventKind("node_kill", False, 'on = "core", count = 1, how = "leader"'),
    EventKind("node_kill", False, "share = 0.15, for_s = 3.0"),
    EventKind("node_freeze", False, 'on = "core", count = 1, for_s = 4.0'),
    EventKind("node_slow", False, "share = 0.15, x = 5.0, for_s = 6.0"),
    EventKind("node_cut", False, "share = 0.2, for_s = 6.0"),
    EventKind("node_cut", False, 'on = "side", share = 0.2, for_s = 6.0'),
    EventKind("core_cut", False, 'for_s = 6.0, how = "leader"'),
    EventKind("after_ack_kill", False, 'how = "taken", for_s = 2.0'),
    EventKind("replace_core", False, "x = 2.0"),
    EventKind("clock_step", False, "share = 0.3, x = 2000.0, for_s = 6.0"),
    EventKind("reset_conns", False, "share = 0.3, x = 0.5"),
    EventKind("platform_down", False, "for_s = 4.0"),
    EventKind(
        "platform_down",
        False,
        'how = "nodes busy revoke", share = 0.35, for_s = 6.0',
    ),
    EventKind("platform_slow", False, "x = 50.0, for_s = 5.0"),
    EventKind("platform_lost", False, 'x = 0.3, for_s = 6.0, how = "late"'),
    EventKind("platform_compact", False, 'how = "keyed", for_s = 4.0'),
    EventKind("roll_term", True, "share = 0.5, x = 1.0, gap_s = 1.3"),
    EventKind("scale_in", True, "share = 0.1"),
    EventKind("scale_in", True, 'share = 0.1, how = "spot"'),
    EventKind("scale_out", True, "share = 0.25, gap_s = 2.0"),
    EventKind("config_change", True, 'how = "tenant"'),
    EventKind("big_config", True, "count = 200"),
    EventKind("revoke", True, "count = 2, gap_s = 1.0"),
    EventKind("hup", True, "share = 0.3"),
)
_CLOSINGS: Final = (
    'kind = "power_off_all", down_s = 1.2',
    'kind = "power_off_all", down_s = 1.2, how = "taken"',
    'kind = "kill_all", down_s = 0.7',
)


def choose_days(rng: random.Random) -> list[tuple[int, ...]]:
    """Return the kinds of each day, as indices; the days cover all pairs."""
    count = len(_EVENT_KINDS)
    missing_pairs = set(itertools.combinations(range(count), 2))
    days = []
    while missing_pairs:
        best: tuple[int, ...] = ()
        most_new_pairs = -1
        for _ in range(_CANDIDATES_PER_DAY):
            day = tuple(sorted(rng.sample(range(count), _KINDS_PER_DAY)))
            new_pairs = len(
                missing_pairs.intersection(itertools.combinations(day, 2))
            )
            if new_pairs > most_new_pairs:
                best, most_new_pairs = day, new_pairs
        if not most_new_pairs:
            first, second = min(missing_pairs)
            rest = rng.sample(range(count), _KINDS_PER_DAY)
            others = [n for n in rest if n not in (first, second)]
            best = tuple(sorted([first, second, *others[:-2]]))
        missing_pairs -= set(itertools.combinations(best, 2))
        days.append(best)
    return days


def render_day(number: int, kinds: tuple[int, ...], rng: random.Random) -> str:
    """Return the text of a day file; every event occurs twice in it."""
    lines: dict[bool, list[str]] = {True: [], False: []}
    for delay_s in (0.0, _REPEAT_AFTER_S):
        for kind in kinds:
            event = _EVENT_KINDS[kind]
            at = _FIRST_START_S + delay_s + rng.uniform(0.0, _START_SPREAD_S)
            lines[event.is_planned].append(
                f'  {{ at = {at:.1f}, kind = "{event.name}",'
                f" {event.parameters} }},"
            )
    return "\n".join(
        [
            "# Every pair of kinds: see tools/make_days.py.",
            f'name = "pairs-{number:02}"',
            'slot = "scale"',
            f"seed = {200 + number}",
            f"closing = {{ {_CLOSINGS[number % len(_CLOSINGS)]} }}",
            "plan = [",
            *lines[True],
            "]",
            "faults = [",
            *lines[False],
            "]",
            "",
        ]
    )


def main() -> None:
    """Write all day files."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", type=pathlib.Path, default="deploy/days")
    folder: pathlib.Path = parser.parse_args().folder
    rng = random.Random(_SEED)
    for number, kinds in enumerate(choose_days(rng)):
        path = folder / f"pairs-{number:02}.toml"
        path.write_text(render_day(number, kinds, rng), encoding="utf-8")


if __name__ == "__main__":
    main()
