"""The day files: every pair of kinds of trouble overlaps in some day."""

import itertools
import pathlib
import random
import tomllib

from tools import make_days

DAYS = pathlib.Path("deploy/days")
# Trouble that lasts for less may end before another kind of its day begins.
SPREAD_S = 3.0


def test_every_pair_of_kinds_is_in_a_day() -> None:
    count = len(make_days._EVENT_KINDS)
    missing = set(itertools.combinations(range(count), 2))
    for kinds in make_days.choose_days(random.Random(1)):
        missing -= set(itertools.combinations(kinds, 2))
    assert missing == set()


def test_day_files_are_as_the_tool_writes_them(tmp_path: pathlib.Path) -> None:
    rng = random.Random(make_days._SEED)
    names = set()
    for number, kinds in enumerate(make_days.choose_days(rng)):
        text = make_days.render_day(number, kinds, rng)
        name = f"pairs-{number:02}.toml"
        names.add(name)
        assert (DAYS / name).read_text(encoding="utf-8") == text
    assert names == {path.name for path in DAYS.glob("pairs-*.toml")}


def test_day_files_are_valid_and_within_the_time_of_traffic() -> None:
    for path in DAYS.glob("*.toml"):
        day = tomllib.loads(path.read_text(encoding="utf-8"))
        for trouble in [*day.get("plan", []), *day.get("faults", [])]:
            assert 0 <= trouble["at"] < 40, path
