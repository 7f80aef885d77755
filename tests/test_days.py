"""The day files: every pair of kinds of trouble overlaps in some day."""

import itertools
import pathlib
import random
import tomllib
from typing import NamedTuple

from kingcuplever.platform import roles
from kingcuplever.process import leases
from kingcuplever.process.scheduling import worker_tracker
from tools import day_forms
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


class Struck(NamedTuple):
    """An event of a day file, with its form and the words of its variant."""

    form: day_forms.Form
    at: float
    for_s: float
    on: str
    selection: str
    how: str
    addition: str


def read_form_days() -> list[list[Struck]]:
    """Return the events of each generated day of forms, by their times."""
    variants = {}
    for form in day_forms.FORMS:
        for words in itertools.product(
            form.selections, form.hows, form.additions
        ):
            key = (form.kind, " ".join(filter(None, words)))
            assert key not in variants
            variants[key] = (form, words)
    days = []
    for path in sorted(DAYS.glob("forms-*.toml")):
        day = tomllib.loads(path.read_text(encoding="utf-8"))
        struck = []
        for event in [*day["plan"], *day["faults"]]:
            form, words = variants[event["kind"], event.get("how", "")]
            for_s = event.get("for_s", 0.0)
            on = event.get("on", "")
            struck.append(Struck(form, event["at"], for_s, on, *words))
        days.append(sorted(struck, key=lambda event: event.at))
    return days


def test_every_form_is_held_by_a_day_in_each_variant() -> None:
    held = {
        (event.form.name, event.how)
        for day in read_form_days()
        for event in day
    }
    assert held == {
        (form.name, how) for form in day_forms.FORMS for how in form.hows
    }


def test_every_value_is_held_by_a_day_for_each_kind() -> None:
    held: set[tuple[str, tuple[str, ...], str]] = set()
    for event in itertools.chain.from_iterable(read_form_days()):
        form = event.form
        assert (event.for_s > 0) == form.lasts
        held.add((form.kind, ("for_s",), str(event.for_s)))
        held.add((form.kind, form.classes, event.on))
        held.add((form.kind, form.selections, event.selection))
        held.add((form.kind, form.additions, event.addition))
    wanted: set[tuple[str, tuple[str, ...], str]] = set()
    for form in day_forms.FORMS:
        if form.lasts:
            for for_s in day_forms.DURATIONS_S:
                wanted.add((form.kind, ("for_s",), str(for_s)))
        for values in (form.classes, form.selections, form.additions):
            for value in values:
                wanted.add((form.kind, values, value))
    assert wanted - held == set()


# Guards against days made for bounds that the product no longer has.
def test_durations_lie_below_at_and_above_each_bound() -> None:
    bounds_s = {1.0, 1.6, worker_tracker.MAX_REPORT_AGE_S}
    late_call_s = roles.MAX_EXECUTOR_CALL_DELAY_S
    for lease_s in (6.0, 10.0):
        alone_s = leases.compute_autonomous_renewal_s(lease_s)
        timeout_s = leases.compute_side_timeout_s(
            lease_s, alone_s, late_call_s
        )
        bounds_s |= {lease_s, alone_s, late_call_s, timeout_s}
    for bound_s in bounds_s:
        near = [
            duration_s
            for duration_s in day_forms.DURATIONS_S
            if abs(duration_s - bound_s) < 0.1 * bound_s
        ]
        assert min(near) < bound_s < max(near)
        # Only the timeouts of two sites, 29.12 and 29.2 s, share a duration.
        assert min(abs(each - bound_s) for each in near) < 0.003 * bound_s


def test_forms_of_one_promise_strike_together_in_both_orders() -> None:
    orders = set()
    middles = set()
    for day in read_form_days():
        for first, second in itertools.combinations(day, 2):
            names = (first.form.name, second.form.name)
            is_under_way = second.at < first.at + first.for_s
            if is_under_way:
                middles.add(frozenset(names))
            if is_under_way or second.at - first.at <= 12.0:
                orders.add(names)
    missing = []
    for first_form, second_form in itertools.permutations(day_forms.FORMS, 2):
        if not first_form.promises & second_form.promises:
            continue
        names = (first_form.name, second_form.name)
        if names not in orders:
            missing.append(names)
        if first_form.lasts or second_form.lasts:
            if frozenset(names) not in middles:
                missing.append(names)
    assert missing == []


def test_day_files_of_forms_are_as_the_tool_writes_them() -> None:
    rng = random.Random(make_days._FORMS_SEED)
    texts = make_days.render_form_days(make_days.choose_form_days(rng))
    assert texts.keys() == {path.stem for path in DAYS.glob("forms-*.toml")}
    for name, text in texts.items():
        path = DAYS / f"{name}.toml"
        assert path.read_text(encoding="utf-8") == text
