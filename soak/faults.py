"""Seeded faults: their kinds, victims, start times and durations.

Faults can overlap; each is undone by the end action of its own kind.
"""

from collections.abc import Callable
import contextlib
import functools
import json
import random
import socket
from typing import Final
from typing import NamedTuple

from standins import wire_site

_MEAN_INTERVAL_S: Final = 1.2
_MIN_DURATION_S: Final = 0.3
_MAX_DURATION_S: Final = 5.0
_MEAN_INPUT_INTERVAL_S: Final = 4.0
# Owners that fail one after another, and the pauses between them.
_OWNER_FAULTS: Final = ("owner killed", "owner frozen", "owner stopped")
_MAX_SERIES: Final = 5
_MAX_SERIES_PAUSE_S: Final = 2.5
# All workers are in this data centre.
_EVACUATION_KEY: Final = "evacuate/hall"

_FOREIGN_HEARTBEAT: Final = json.dumps(
    {
        "Service": "desk",
        "Zone": "hall",
        "State": "ready",
        "Capacity": {"Cpu": 128_000, "MemMb": 262_144, "Gpu": 8},
        "Labels": ["a", "r1"],
        "Seq": 1,
    }
).encode()
_INPUT_BYTES: Final = 256 * 1024
# Bodies of legal length that can't be read, or can't be used.
_BODIES: Final = {
    "a document in a string": json.dumps(
        json.dumps([json.loads(_FOREIGN_HEARTBEAT)] * 4000)
    ).encode()[:_INPUT_BYTES],
    "brackets and quotes": (b"[" * 3000 + b'"' + b'\\"' * _INPUT_BYTES)[
        :_INPUT_BYTES
    ],
    "half a character": b'{"State": "\\ud800", "Spec": "\\ud800"}',
    "half a character in UTF-16": (
        '{"State": "\ud800", "Spec": "\ud800"}'.encode(
            "utf-16", "surrogatepass"
        )
    ),
    "a number beyond all": b'{"Seq": 1' + b"0" * 3000 + b', "Steps": [1]}',
}

FaultAction = Callable[[wire_site.Site, str], None]


class FaultKind(NamedTuple):
    """One kind of fault.

    :ivar victim_role: ``entry``, ``side``, ``owner``, ``worker`` or
        ``store``.
    :ivar weight: relative frequency among all kinds.
    :ivar begin: action that injects the fault.
    :ivar end: action that undoes it.
    """

    name: str
    victim_role: str
    weight: int
    begin: FaultAction
    end: FaultAction


class Fault(NamedTuple):
    """One planned fault.

    :ivar start_s: seconds from the start of the run.
    :ivar kind: key in :data:`KINDS`.
    :ivar victim_number: selects the victim among the candidates, modulo
        their number.
    """

    start_s: float
    duration_s: float
    kind: str
    victim_number: int


def _get_process(site: wire_site.Site, name: str) -> wire_site.Process:
    return (site.entries | site.sides)[name]


def _kill(site: wire_site.Site, name: str) -> None:
    _get_process(site, name).kill()


def _restart_if_dead(site: wire_site.Site, name: str) -> None:
    process = _get_process(site, name)
    if not process.is_alive:
        process.restart()


def _terminate(site: wire_site.Site, name: str) -> None:
    _get_process(site, name).terminate()


def _stop_and_restart(site: wire_site.Site, name: str) -> None:
    _get_process(site, name).stop()
    _restart_if_dead(site, name)


def _pause(site: wire_site.Site, name: str) -> None:
    if _get_process(site, name).is_alive:
        _get_process(site, name).pause()


def _resume(site: wire_site.Site, name: str) -> None:
    if _get_process(site, name).is_alive:
        _get_process(site, name).resume()


def _change_store_link(**changes: object) -> FaultAction:
    """Make an action that changes the faults on a process's store link."""

    def act(site: wire_site.Site, name: str) -> None:
        site.set_store_faults(name, **changes)

    return act


def _change_store(**changes: object) -> FaultAction:
    def act(site: wire_site.Site, name: str) -> None:
        def change() -> None:
            for key, value in changes.items():
                setattr(site.store, key, value)

        site.call_soon(change)

    return act


def _drop_store_response(site: wire_site.Site, name: str) -> None:
    def change() -> None:
        site.store.drops_answer = lambda producer, records: True

    site.call_soon(change)


def _change_worker(**changes: object) -> FaultAction:
    def act(site: wire_site.Site, name: str) -> None:
        def change() -> None:
            for key, value in changes.items():
                setattr(site.workers[int(name)], key, value)

        site.call_soon(change)

    return act


def _add_route(site: wire_site.Site, name: str) -> None:
    site.add_route()


def _add_three_routes(site: wire_site.Site, name: str) -> None:
    for _ in range(3):
        site.add_route()


def _crash_worker(site: wire_site.Site, name: str) -> None:
    site.call_soon(site.workers[int(name)].crash)


def _restart_worker(site: wire_site.Site, name: str) -> None:
    """Restart a worker; its id outlives that where its start is stated."""
    worker = site.workers[int(name)]
    keeps_id = site.states_birth
    site.call_soon(functools.partial(worker.crash, keeps_id=keeps_id))


def _evacuate(site: wire_site.Site, name: str) -> None:
    site.write_record(_EVACUATION_KEY, {})


def _take_back(site: wire_site.Site, name: str) -> None:
    site.drop_record(_EVACUATION_KEY)


def _send_body(method: str, path: str, body: bytes) -> FaultAction:
    """Make an action that sends a process a body of another writer."""

    def act(site: wire_site.Site, name: str) -> None:
        is_side = name in site.sides
        address = (
            site.get_registry_address(name)
            if is_side
            else site.get_caller_address(name)
        )
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {wire_site.HOST}\r\n"
            f"X-Api-Key: {wire_site.API_KEY}\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        host, _, port = address.rpartition(":")
        with (
            contextlib.suppress(OSError),
            socket.create_connection((host, int(port)), 1.0) as connection,
        ):
            connection.sendall(head.encode() + body)
            connection.recv(1)

    return act


def _do_nothing(site: wire_site.Site, name: str) -> None:
    """End a fault that needs no undoing."""


def _make_kinds() -> tuple[FaultKind, ...]:
    discard, deliver = {"swallow": True}, {"swallow": False}
    link_faults = (
        (
            "cut from the store",
            _change_store_link(refuse=True, cut=True),
            _change_store_link(refuse=False),
        ),
        (
            "unheard by the store",
            _change_store_link(forward=discard),
            _change_store_link(forward=deliver, cut=True),
        ),
        (
            "deaf to the store",
            _change_store_link(backward=discard),
            _change_store_link(backward=deliver, cut=True),
        ),
        (
            "late from the store",
            _change_store_link(backward={"delay_s": 0.4}),
            _change_store_link(backward={"delay_s": 0.0}),
        ),
        ("reset by the store", _change_store_link(cut=True), _do_nothing),
    )
    kinds = [
        FaultKind("owner killed", "owner", 3, _kill, _restart_if_dead),
        FaultKind("owner frozen", "owner", 3, _pause, _resume),
        FaultKind("owner stopped", "owner", 2, _terminate, _stop_and_restart),
        FaultKind("entry killed", "entry", 2, _kill, _restart_if_dead),
        FaultKind("entry frozen", "entry", 1, _pause, _resume),
        FaultKind("entry stopped", "entry", 1, _terminate, _stop_and_restart),
        FaultKind("side killed", "side", 2, _kill, _restart_if_dead),
        FaultKind("side frozen", "side", 2, _pause, _resume),
        FaultKind("side stopped", "side", 1, _terminate, _stop_and_restart),
        FaultKind(
            "store down",
            "store",
            2,
            _change_store(down=True),
            _change_store(down=False),
        ),
        FaultKind(
            "store slow",
            "store",
            2,
            _change_store(delay_s=0.3),
            _change_store(delay_s=0.0),
        ),
        FaultKind(
            "store loses an answer",
            "store",
            3,
            _drop_store_response,
            _do_nothing,
        ),
        FaultKind(
            "store forgets",
            "store",
            1,
            _change_store(retained_records=1),
            _change_store(retained_records=0),
        ),
        FaultKind(
            "worker fails all",
            "worker",
            1,
            _change_worker(fails_all=True),
            _change_worker(fails_all=False),
        ),
        FaultKind("worker crashes", "worker", 2, _crash_worker, _do_nothing),
        FaultKind(
            "worker restarts under its id",
            "worker",
            2,
            _restart_worker,
            _do_nothing,
        ),
        FaultKind(
            "configuration changes", "store", 2, _add_route, _do_nothing
        ),
        FaultKind(
            "configurations in a row",
            "store",
            1,
            _add_three_routes,
            _add_three_routes,
        ),
        FaultKind(
            "worker drains",
            "worker",
            1,
            _change_worker(draining=True),
            _change_worker(draining=False),
        ),
        FaultKind("data centre evacuated", "store", 2, _evacuate, _take_back),
    ]
    # Those of no weight have a stream of their own.
    heartbeat = ("PUT", "/instances/i-other")
    job = ("POST", f"{wire_site.PREFIX}{0:016x}")
    for role, (method, path) in (("side", heartbeat), ("entry", job)):
        for name, body in _BODIES.items():
            action = _send_body(method, path, body)
            name = f"{role} gets {name}"
            kinds.append(FaultKind(name, role, 0, action, _do_nothing))
    foreign = ("PUT", "/instances/i-%E2%82%AC", _FOREIGN_HEARTBEAT)
    kinds.append(
        FaultKind(
            "side gets a foreign id",
            "side",
            0,
            _send_body(*foreign),
            _do_nothing,
        )
    )
    for role in ("owner", "entry", "side"):
        for name, begin, end in link_faults:
            kinds.append(FaultKind(f"{role} {name}", role, 1, begin, end))
    return tuple(kinds)


KINDS: Final = {kind.name: kind for kind in _make_kinds()}


def plan_faults(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a seed, in the order of their start."""
    rng = random.Random(seed)
    names = [*KINDS]
    weights = [KINDS[name].weight for name in names]
    faults = []
    start_s = rng.uniform(0.2, 1.0)
    while start_s < seconds:
        (name,) = rng.choices(names, weights)
        duration_s = rng.uniform(_MIN_DURATION_S, _MAX_DURATION_S)
        faults.append(Fault(start_s, duration_s, name, rng.randrange(1000)))
        # One fault in three starts together with the next one.
        if rng.random() > 0.33:
            start_s += rng.expovariate(1 / _MEAN_INTERVAL_S)
    extra = [*_plan_inputs(seed, seconds), *_plan_series(seed, seconds)]
    return sorted([*faults, *extra])


def _plan_inputs(seed: int, seconds: float) -> list[Fault]:
    """Return when processes get what they can't read.

    The other faults of a seed are the same without them.
    """
    rng = random.Random(f"inputs {seed}")
    names = [kind.name for kind in KINDS.values() if not kind.weight]
    return [
        Fault(
            rng.uniform(0.2, seconds), 0.0, rng.choice(names), rng.randrange(9)
        )
        for _ in range(int(seconds / _MEAN_INPUT_INTERVAL_S))
    ]


def _plan_series(seed: int, seconds: float) -> list[Fault]:
    """Return a series of faults of owners, each of whoever owns then."""
    rng = random.Random(f"series {seed}")
    start_s = rng.uniform(1.0, seconds / 2)
    faults = []
    for _ in range(rng.randint(3, _MAX_SERIES)):
        kind = rng.choice(_OWNER_FAULTS)
        duration_s = rng.uniform(_MIN_DURATION_S, _MAX_SERIES_PAUSE_S)
        faults.append(Fault(start_s, duration_s, kind, rng.randrange(9)))
        start_s += rng.uniform(_MIN_DURATION_S, _MAX_SERIES_PAUSE_S)
    return faults


def pick_victim(site: wire_site.Site, fault: Fault) -> str:
    """Return the name of the process or the index of the worker to affect.

    A fault of the owner affects some entry if no entry is the owner.
    """
    role = KINDS[fault.kind].victim_role
    if role == "owner" and site.find_owner() in site.entries:
        return site.find_owner()
    if role == "worker":
        return str(fault.victim_number % len(site.workers))
    names = [*(site.sides if role == "side" else site.entries)]
    return names[fault.victim_number % len(names)]
