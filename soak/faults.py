"""Faults by seed: what strikes whom, when, and for how long.

Faults come in series and overlap; each is undone by its own end.
"""

from collections.abc import Callable
import random
from typing import Final
from typing import NamedTuple

from standins import wire_site

# Between two faults, on average.
_PAUSE_S: Final = 1.2
# How long a fault lasts.
_LEAST_S: Final = 0.3
_MOST_S: Final = 5.0

Act = Callable[[wire_site.Site, str], None]


class Kind(NamedTuple):
    """One kind of fault.

    :ivar on: ``entry``, ``side``, ``owner``, ``worker`` or ``store``.
    :ivar weight: how often it comes, against the others.
    """

    name: str
    on: str
    weight: int
    begin: Act
    end: Act


class Fault(NamedTuple):
    """One fault of a plan; ``victim`` is a number that picks the target."""

    at: float
    for_s: float
    kind: str
    victim: int


def _process(site: wire_site.Site, name: str) -> wire_site.Process:
    return (site.entries | site.sides)[name]


def _kill(site: wire_site.Site, name: str) -> None:
    _process(site, name).kill()


def _start(site: wire_site.Site, name: str) -> None:
    process = _process(site, name)
    if not process.is_alive:
        process.restart()


def _terminate(site: wire_site.Site, name: str) -> None:
    _process(site, name).terminate()


def _start_again(site: wire_site.Site, name: str) -> None:
    _process(site, name).stop()
    _start(site, name)


def _pause(site: wire_site.Site, name: str) -> None:
    if _process(site, name).is_alive:
        _process(site, name).pause()


def _resume(site: wire_site.Site, name: str) -> None:
    if _process(site, name).is_alive:
        _process(site, name).resume()


def _disturb(**wanted: object) -> Act:
    """Make an act on a process's way to the store."""

    def act(site: wire_site.Site, name: str) -> None:
        site.set_store_faults(name, **wanted)

    return act


def _store(**wanted: object) -> Act:
    def act(site: wire_site.Site, name: str) -> None:
        def change() -> None:
            for key, value in wanted.items():
                setattr(site.store, key, value)

        site.call_soon(change)

    return act


def _lose_answer(site: wire_site.Site, name: str) -> None:
    def change() -> None:
        site.store.drops_answer = lambda producer, records: True

    site.call_soon(change)


def _worker(**wanted: object) -> Act:
    def act(site: wire_site.Site, name: str) -> None:
        def change() -> None:
            for key, value in wanted.items():
                setattr(site.workers[int(name)], key, value)

        site.call_soon(change)

    return act


def _configure(site: wire_site.Site, name: str) -> None:
    site.add_route()


def _configure_again(site: wire_site.Site, name: str) -> None:
    for _ in range(3):
        site.add_route()


def _crash(site: wire_site.Site, name: str) -> None:
    site.call_soon(site.workers[int(name)].crash)


def _nothing(site: wire_site.Site, name: str) -> None:
    """Nothing is to be undone."""


def _kinds() -> tuple[Kind, ...]:
    swallow, pass_on = {"swallow": True}, {"swallow": False}
    ways = (
        (
            "cut from the store",
            _disturb(refuse=True, cut=True),
            _disturb(refuse=False),
        ),
        (
            "unheard by the store",
            _disturb(forward=swallow),
            _disturb(forward=pass_on, cut=True),
        ),
        (
            "deaf to the store",
            _disturb(backward=swallow),
            _disturb(backward=pass_on, cut=True),
        ),
        (
            "late from the store",
            _disturb(backward={"delay_s": 0.4}),
            _disturb(backward={"delay_s": 0.0}),
        ),
        ("reset by the store", _disturb(cut=True), _nothing),
    )
    kinds = [
        Kind("owner killed", "owner", 3, _kill, _start),
        Kind("owner frozen", "owner", 3, _pause, _resume),
        Kind("owner stopped", "owner", 2, _terminate, _start_again),
        Kind("entry killed", "entry", 2, _kill, _start),
        Kind("entry frozen", "entry", 1, _pause, _resume),
        Kind("entry stopped", "entry", 1, _terminate, _start_again),
        Kind("side killed", "side", 2, _kill, _start),
        Kind("side frozen", "side", 2, _pause, _resume),
        Kind("side stopped", "side", 1, _terminate, _start_again),
        Kind("store down", "store", 2, _store(down=True), _store(down=False)),
        Kind(
            "store slow", "store", 2, _store(delay_s=0.3), _store(delay_s=0.0)
        ),
        Kind("store loses an answer", "store", 3, _lose_answer, _nothing),
        Kind(
            "store forgets",
            "store",
            1,
            _store(retained_records=1),
            _store(retained_records=0),
        ),
        Kind(
            "worker fails all",
            "worker",
            1,
            _worker(fails_all=True),
            _worker(fails_all=False),
        ),
        Kind("worker crashes", "worker", 2, _crash, _nothing),
        Kind("configuration changes", "store", 2, _configure, _nothing),
        Kind(
            "configurations in a row",
            "store",
            1,
            _configure_again,
            _configure_again,
        ),
        Kind(
            "worker drains",
            "worker",
            1,
            _worker(draining=True),
            _worker(draining=False),
        ),
    ]
    for on in ("owner", "entry", "side"):
        for name, begin, end in ways:
            kinds.append(Kind(f"{on} {name}", on, 1, begin, end))
    return tuple(kinds)


KINDS: Final = {kind.name: kind for kind in _kinds()}


def plan(seed: int, seconds: float) -> list[Fault]:
    """Make the faults of a seed, in the order of time."""
    rng = random.Random(seed)
    names = [*KINDS]
    weights = [KINDS[name].weight for name in names]
    faults = []
    at = rng.uniform(0.2, 1.0)
    while at < seconds:
        (name,) = rng.choices(names, weights)
        for_s = rng.uniform(_LEAST_S, _MOST_S)
        faults.append(Fault(at, for_s, name, rng.randrange(1000)))
        # A fault in three is followed at once by the next.
        if rng.random() > 0.33:
            at += rng.expovariate(1 / _PAUSE_S)
    return faults


def pick(site: wire_site.Site, fault: Fault) -> str:
    """Give the name of what a fault strikes now."""
    on = KINDS[fault.kind].on
    if on == "owner" and site.find_owner() in site.entries:
        return site.find_owner()
    if on == "worker":
        return str(fault.victim % len(site.workers))
    names = [*(site.sides if on == "side" else site.entries)]
    return names[fault.victim % len(names)]
