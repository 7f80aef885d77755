"""Writes fault scenarios ("days") that combine every pair of event kinds.

``python -m tools.make_days`` fills ``deploy/days`` with files
``pairs-NN.toml`` and ``forms-NN.toml``; ``--list`` prints what they hold.
The next day is chosen to cover pairs that no day has covered yet.  The choice
is seeded, so that the files are the same each time.

Days ``pairs`` hold some kinds of events that begin within seconds.  Days
``forms`` hold every form of ``tools.day_forms``: two forms that touch the same
promise strike together in both orders, and one begins while the other lasts.
"""

import argparse
import collections
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import pathlib
import random
from typing import Final
from typing import NamedTuple

from tools import day_forms

_SEED: Final = 20261203
_FORMS_SEED: Final = 20261204
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


# Events of a day of forms begin this far from one another, the first at that.
_FORMS_PER_DAY: Final = 24
_FIRST_FORM_S: Final = 1.0
_FORM_SPACING_S: Final = 1.35
# An event is still felt for as long as a side goes on alone.
TOGETHER_S: Final = 12.0
# A duration that a kind has not had counts like that many pairs.
_DURATION_GAIN: Final = 4
_NEW_DURATION_SHARE: Final = 0.7
# A day has few events of at least this duration: with more, nothing runs.
_LONG_S: Final = 20.0
_MOST_LONG: Final = 2
_REPEATED_DURATIONS_S: Final = tuple(
    duration_s for duration_s in day_forms.DURATIONS_S if 5 < duration_s < 20
)
# Events of one kind may wait for one another.
_MOST_OF_KIND: Final = 4
# A day has few events that strike the whole fleet.
_MOST_WIDE: Final = 3


class Event(NamedTuple):
    """One form in a day.

    :ivar form: its index in ``day_forms.FORMS``.
    :ivar at: seconds from the start of traffic.
    :ivar duration_s: zero if the form takes none.
    """

    form: int
    at: float
    duration_s: float


class _Missing:
    """What no day holds yet.

    :ivar orders: pairs of forms, the first to begin first.
    :ivar middles: pairs of forms, one to begin while the other lasts; the
        lower index first.
    :ivar durations: kinds with their durations.
    """

    def __init__(self) -> None:
        """Start with all that the days have to hold."""
        forms = day_forms.FORMS
        self.orders = set()
        self.middles = set()
        for first, second in itertools.permutations(range(len(forms)), 2):
            if not forms[first].promises & forms[second].promises:
                continue
            self.orders.add((first, second))
            if forms[first].lasts or forms[second].lasts:
                self.middles.add((min(first, second), max(first, second)))
        self.durations = {
            (form.kind, duration_s)
            for form in forms
            if form.lasts
            for duration_s in day_forms.DURATIONS_S
        }

    def __bool__(self) -> bool:
        """Return whether anything is missing."""
        return bool(self.orders or self.middles or self.durations)

    def count_pair(self, first: Event, second: Event) -> int:
        """Return how much two events, of which one is earlier, hold of it."""
        is_lasting = second.at < first.at + first.duration_s
        if not is_lasting and second.at - first.at > TOGETHER_S:
            return 0
        pair = (first.form, second.form)
        middle = (min(pair), max(pair))
        return (pair in self.orders) + (is_lasting and middle in self.middles)

    def count(self, events: Sequence[Event], slot: int, event: Event) -> int:
        """Return how much a day gains by an event in that slot."""
        kind = day_forms.FORMS[event.form].kind
        gain = _DURATION_GAIN * ((kind, event.duration_s) in self.durations)
        for earlier in events[:slot]:
            gain += self.count_pair(earlier, event)
        for later in events[slot + 1 :]:
            gain += self.count_pair(event, later)
        return gain

    def remove(self, events: Sequence[Event]) -> None:
        """Remove what a day holds."""
        for event in events:
            kind = day_forms.FORMS[event.form].kind
            self.durations.discard((kind, event.duration_s))
        for first, second in itertools.combinations(events, 2):
            is_lasting = second.at < first.at + first.duration_s
            if is_lasting or second.at - first.at <= TOGETHER_S:
                self.orders.discard((first.form, second.form))
            if is_lasting:
                pair = sorted((first.form, second.form))
                self.middles.discard((pair[0], pair[1]))


def choose_form_days(rng: random.Random) -> list[list[Event]]:
    """Return the events of the days that hold all pairs of forms."""
    missing = _Missing()
    days = []
    while missing:
        events = _choose_form_day(missing, rng)
        missing.remove(events)
        days.append(events)
    return days


def _choose_form_day(missing: _Missing, rng: random.Random) -> list[Event]:
    """Return the events of a day that holds much of what is missing.

    It begins at random; then events are replaced as long as it gains by that.
    """
    forms = day_forms.FORMS
    durations: dict[str, list[float]] = collections.defaultdict(list)
    for kind, duration_s in sorted(missing.durations):
        durations[kind].append(duration_s)
    events: list[Event] = []
    for number in rng.sample(range(len(forms)), len(forms)):
        at = round(_FIRST_FORM_S + len(events) * _FORM_SPACING_S, 2)
        duration_s = _choose_duration(forms[number], {}, rng)
        event = Event(number, at, duration_s)
        if len(events) < _FORMS_PER_DAY and _is_bearable([*events, event]):
            events.append(event)
    has_changed = True
    while has_changed:
        has_changed = False
        for slot in rng.sample(range(_FORMS_PER_DAY), _FORMS_PER_DAY):
            others = events[:slot] + events[slot + 1 :]
            best = events[slot]
            most = missing.count(events, slot, best)
            used = {event.form for event in others}
            for number, form in enumerate(forms):
                if number in used:
                    continue
                event = Event(
                    number, best.at, _choose_duration(form, durations, rng)
                )
                gain = missing.count(events, slot, event)
                if gain > most and _is_bearable([*others, event]):
                    best, most = event, gain
            if best != events[slot]:
                events[slot] = best
                has_changed = True
    return events


def _choose_duration(
    form: day_forms.Form,
    durations: Mapping[str, Sequence[float]],
    rng: random.Random,
) -> float:
    """Return a duration for a form, mostly one that its kind lacks."""
    if not form.lasts:
        return 0.0
    left = durations.get(form.kind)
    if left and rng.random() < _NEW_DURATION_SHARE:
        return rng.choice(left)
    return rng.choice(_REPEATED_DURATIONS_S)


def _is_bearable(events: Sequence[Event]) -> bool:
    """Return whether anything can still run on a day with the events."""
    forms = day_forms.FORMS
    long = sum(event.duration_s >= _LONG_S for event in events)
    wide = sum(forms[event.form].is_wide for event in events)
    kinds = collections.Counter(forms[event.form].kind for event in events)
    return (
        long <= _MOST_LONG
        and wide <= _MOST_WIDE
        and max(kinds.values()) <= _MOST_OF_KIND
    )


class _Values:
    """Gives the forms of a kind each value of a parameter in turn."""

    def __init__(self) -> None:
        """Start with the first value of each."""
        self._used: collections.Counter[tuple[str, tuple[str, ...]]] = (
            collections.Counter()
        )

    def get_next(self, kind: str, values: tuple[str, ...]) -> str:
        """Return the value that was not used for longest."""
        number = self._used[kind, values]
        self._used[kind, values] += 1
        return values[number % len(values)]


def render_form_days(days: list[list[Event]]) -> dict[str, str]:
    """Return the texts of day files by their names."""
    values = _Values()
    texts = {}
    for number, events in enumerate(days):
        lines: dict[bool, list[str]] = {True: [], False: []}
        for event in events:
            form = day_forms.FORMS[event.form]
            lines[form.is_planned].append(_render_event(event, form, values))
        closing = day_forms.CLOSINGS[number % len(day_forms.CLOSINGS)]
        texts[f"forms-{number:02}"] = "\n".join(
            [
                "# Pairs of forms: see tools/make_days.py.",
                f'name = "forms-{number:02}"',
                f'slot = "{("trouble", "scale")[number % 2]}"',
                f"seed = {500 + number}",
                f"closing = {{ {closing} }}",
                "plan = [",
                *lines[True],
                "]",
                "faults = [",
                *lines[False],
                "]",
                "",
            ]
        )
    return texts


def _render_event(event: Event, form: day_forms.Form, values: _Values) -> str:
    """Return the line of an event, with the next values of its parameters."""
    fields = [f"at = {event.at}", f'kind = "{form.kind}"']
    if form.classes:
        fields.append(f'on = "{values.get_next(form.kind, form.classes)}"')
    if form.parameters:
        fields.append(form.parameters)
    if event.duration_s:
        fields.append(f"for_s = {event.duration_s}")
    words = (
        values.get_next(form.kind, form.selections),
        values.get_next(form.name, form.hows),
        values.get_next(form.kind, form.additions),
    )
    how = " ".join(word for word in words if word)
    if how:
        fields.append(f'how = "{how}"')
    return f"  {{ {', '.join(fields)} }},"


def print_list(days: list[list[Event]]) -> None:
    """Print the forms with their promises, and the counts."""
    forms = day_forms.FORMS
    for form in forms:
        promises = ", ".join(
            promise.value
            for promise in day_forms.Promise
            if promise in form.promises
        )
        print(f"{promises:24}{form.name}")
    pairs = sum(
        bool(first.promises & second.promises)
        for first, second in itertools.combinations(forms, 2)
    )
    print(f"{len(forms)} forms, {pairs} pairs, {len(days)} days")


def main() -> None:
    """Write all day files, or print what the days of forms hold."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", type=pathlib.Path, default="deploy/days")
    parser.add_argument("--list", action="store_true")
    arguments = parser.parse_args()
    folder: pathlib.Path = arguments.folder
    form_days = choose_form_days(random.Random(_FORMS_SEED))
    if arguments.list:
        print_list(form_days)
        return
    rng = random.Random(_SEED)
    for number, kinds in enumerate(choose_days(rng)):
        path = folder / f"pairs-{number:02}.toml"
        path.write_text(render_day(number, kinds, rng), encoding="utf-8")
    for name, text in render_form_days(form_days).items():
        path = folder / f"{name}.toml"
        path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
