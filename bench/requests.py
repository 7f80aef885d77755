"""Measures the request path: its cost, its latency, and routing choices."""

from collections.abc import Callable
import functools
import heapq
import itertools
import random
import time
from typing import Final
from typing import NamedTuple

import httpcore
import trio

from bench import capacity
from bench import processes
from kingcuplever.command import tables
from kingcuplever import messages
from kingcuplever.process.routing import router as routers
from standins import callers
from standins import fleet as fleets

_SIDES: Final = 10
_SLOTS: Final = 8
_SECONDS: Final = 6.0
_SEEDS: Final = (1, 2, 3)


def measure_path() -> None:
    """Print what a request costs and how much later its answer comes."""
    with capacity.running(_SIDES) as fleet:
        direct = [target.address for target in fleet.standins.targets]
        entry = [fleet.options.entry["e1"].callers]
        rows = []
        for clients, name, addresses, keyed in (
            (1, "direct to the target", direct, False),
            (1, "through one entry", entry, False),
            (1, "through one entry, keyed", entry, True),
            (4, "direct to the target", direct, False),
            (4, "through one entry", entry, False),
            (4, "through one entry, keyed", entry, True),
        ):
            before = _costs(fleet)
            latencies = trio.run(_closed_loop, addresses, keyed, clients)
            after = _costs(fleet)
            count = len(latencies)
            rows.append(
                {
                    "callers": clients,
                    "path": name,
                    "requests/s": f"{count / _SECONDS:.0f}",
                    "p50 ms": f"{_percentile(latencies, 50) * 1000:.1f}",
                    "p99 ms": f"{_percentile(latencies, 99) * 1000:.1f}",
                    "entry ms": f"{(after[0] - before[0]) / count * 1000:.2f}",
                    "sides ms": f"{(after[1] - before[1]) / count * 1000:.2f}",
                }
            )
    print("callers in a closed loop, work of 5 ms; processor ms a request")
    print(tables.render(rows, list(rows[0])))
    print()


def _costs(fleet: fleets.Fleet) -> tuple[float, float]:
    entry = processes.cost_of(fleet.get_pid("e1")).cpu_s
    sides = sum(
        processes.cost_of(fleet.get_pid(name)).cpu_s
        for name in fleet.options.side
    )
    return entry, sides


async def _closed_loop(
    addresses: list[str], keyed: bool, clients: int
) -> list[float]:
    """Send requests one after the other from a few callers."""
    latencies: list[float] = []
    until = time.monotonic() + _SECONDS

    async def caller(number: int) -> None:
        address = addresses[number % len(addresses)]
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            while time.monotonic() < until:
                run = callers.make_run_id()
                call = callers.Call(
                    "desk", "farrier", run, run if keyed else "", work_ms=5
                )
                told = await _send(pool, address, call)
                latencies.append(told)

    async with trio.open_nursery() as nursery:
        for number in range(clients):
            nursery.start_soon(caller, number)
    return latencies


async def _send(
    pool: httpcore.AsyncConnectionPool, address: str, call: callers.Call
) -> float:
    """Send to an entry, or to a target by its own path."""
    started = time.monotonic()
    headers = [
        ("Host", address),
        ("Content-Length", "0"),
        ("Kingcuplever-Account", call.account),
        ("x-run", call.run_id),
        ("x-work-ms", str(call.work_ms)),
    ]
    if call.key:
        headers.append(("Idempotency-Key", call.key))
    for path in ("/v1/services/desk/requests", "/requests/desk"):
        url = f"http://{address}{path}"
        response = await pool.request("POST", url, headers=headers)
        if response.status == 200:
            return time.monotonic() - started
        started = time.monotonic()
    raise RuntimeError(f"{address} answers {response.status}")


class Trial(NamedTuple):
    """One run of the routing measurement.

    :ivar urgent: completion times of urgent requests.
    """

    urgent: list[float]
    normal: list[float]
    refused: int
    failed: int


class _Target:
    """A fake target with slots and a queue of its own."""

    def __init__(self, mean_s: float, fails: bool) -> None:
        self.mean_s = mean_s
        self.fails = fails
        self.busy_until = [0.0] * _SLOTS

    def serve(self, now: float, rng: random.Random) -> float:
        """Take a request; give when it ends."""
        slot = min(range(_SLOTS), key=lambda s: self.busy_until[s])
        start = max(now, self.busy_until[slot])
        seconds = 0.002 if self.fails else rng.expovariate(1 / self.mean_s)
        self.busy_until[slot] = start + seconds
        return start + seconds

    def busy(self, now: float) -> int:
        return sum(until > now for until in self.busy_until)


_MEAN_S: Final = 0.05
_SLOW: Final = 5.0
_DEADLINE_S: Final = 2.0
_TRIAL_S: Final = 30.0
_BEAT_S: Final = 0.5
_TICK_S: Final = 0.02


def _arrivals(load: float, rng: random.Random) -> list[tuple[float, str]]:
    rate = load * _SIDES * _SLOTS / _MEAN_S
    at = 0.0
    found = []
    while at < _TRIAL_S:
        at += rng.expovariate(rate)
        kind = "urgent" if rng.random() < 0.2 else "normal"
        found.append((at, kind))
    return found


def _targets(faulty: bool) -> list[_Target]:
    targets = [_Target(_MEAN_S, False) for _ in range(_SIDES)]
    if faulty:
        targets[0].mean_s *= _SLOW
        targets[1].fails = True
    return targets


def random_of_two(load: float, faulty: bool, seed: int) -> Trial:
    """Route each request to the less busy of two random targets."""
    rng = random.Random(seed)
    targets = _targets(faulty)
    trial = Trial([], [], 0, 0)
    failed = 0
    for at, kind in _arrivals(load, rng):
        one, two = rng.sample(targets, 2)
        chosen = min((one, two), key=lambda t: t.busy(at))
        end = chosen.serve(at, rng)
        failed += chosen.fails
        times = trial.urgent if kind == "urgent" else trial.normal
        times.append(end - at)
    return trial._replace(failed=failed)


def by_router(load: float, faulty: bool, seed: int) -> Trial:
    """Route each request by the product's router."""
    return _RouterTrial(faulty, seed).run(load)


class _RouterTrial:
    """Drives the product's router with fake targets and a fake clock."""

    def __init__(self, faulty: bool, seed: int) -> None:
        self._rng = random.Random(seed)
        self._targets = _targets(faulty)
        self._router = routers.Router("here")
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._trial = Trial([], [], 0, 0)
        self._refused = 0
        self._failed = 0
        self._began: dict[int, float] = {}

    def run(self, load: float) -> Trial:
        """Run the whole trial."""
        for at, kind in _arrivals(load, self._rng):
            self._at(at, functools.partial(self._arrive, kind))
        for number in range(int(_TRIAL_S * 2) + 10):
            self._at(number * _BEAT_S, self._beat)
        for number in range(int(_TRIAL_S / _TICK_S) + 200):
            self._at(number * _TICK_S, self._tick)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self._trial._replace(refused=self._refused, failed=self._failed)

    def _at(self, when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def _beat(self, now: float) -> None:
        """Send the heartbeat of every target's side."""
        for number, target in enumerate(self._targets):
            state = messages.TargetState(
                "t", "desk", _SLOTS, target.busy(now), False
            )
            heartbeat = messages.Heartbeat(
                f"s{number}", 1, 0, "here", (state,), 0
            )
            self._take(self._router.apply_heartbeat(heartbeat, now), now)

    def _tick(self, now: float) -> None:
        self._take(self._router.tick(now), now)

    def _arrive(self, kind: str, now: float) -> None:
        priority: routers.Priority = "urgent" if kind == "urgent" else "normal"
        number = self._router.next_number()
        ticket = routers.Ticket(number, "desk", priority, now + _DEADLINE_S)
        self._began[number] = now
        verdict = self._router.acquire(ticket, now)
        if verdict is not None:
            self._take([verdict], now)

    def _take(
        self, verdicts: list[routers.RoutingDecision], now: float
    ) -> None:
        for verdict in verdicts:
            if isinstance(verdict, routers.Refusal):
                self._refused += 1
                continue
            number = int(verdict.target.side[1:])
            end = self._targets[number].serve(now, self._rng)
            self._at(end, functools.partial(self._end, verdict))

    def _end(self, assignment: routers.Assignment, now: float) -> None:
        ticket = assignment.ticket
        began = self._began.pop(ticket.number)
        urgent = ticket.priority == "urgent"
        times = self._trial.urgent if urgent else self._trial.normal
        times.append(now - began)
        number = int(assignment.target.side[1:])
        seen_s: float | None = now - began
        if self._targets[number].fails:
            self._failed += 1
            seen_s = None
        self._take(self._router.release(assignment, seen_s, now), now)


def measure_routing() -> None:
    """Print urgent completion times against random of two."""
    rows = []
    for faulty in (False, True):
        for load in (0.5, 0.9, 1.5):
            ours = [by_router(load, faulty, seed) for seed in _SEEDS]
            theirs = [random_of_two(load, faulty, seed) for seed in _SEEDS]
            rows.append(_routing_row(load, faulty, ours, theirs))
    print("urgent requests in ms, ours / random of two; 20 percent urgent,")
    print(f"{_SIDES} targets of {_SLOTS} slots, {_MEAN_S * 1000:.0f} ms mean;")
    print("with faults: one target 5 times slower and one failing at once")
    print(tables.render(rows, list(rows[0])))
    print()


def _routing_row(
    load: float, faulty: bool, ours: list[Trial], theirs: list[Trial]
) -> dict[str, object]:
    mine = [s for trial in ours for s in trial.urgent]
    base = [s for trial in theirs for s in trial.urgent]
    ratio = _percentile(base, 99) / _percentile(mine, 99)
    refused = sum(trial.refused for trial in ours)
    failed = sum(trial.failed for trial in ours)
    base_failed = sum(trial.failed for trial in theirs)
    return {
        "load": f"{load:.0%}",
        "faults": "yes" if faulty else "no",
        "p50": _pair(mine, base, 50),
        "p99": _pair(mine, base, 99),
        "p99 ratio": f"{ratio:.1f}",
        "failed": f"{failed} / {base_failed}",
        "refused": f"{refused} / 0",
    }


def _pair(mine: list[float], base: list[float], percent: int) -> str:
    one = _percentile(mine, percent) * 1000
    two = _percentile(base, percent) * 1000
    return f"{one:.0f} / {two:.0f}"


def _percentile(values: list[float], percent: int) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


def main() -> None:
    """Run the request measurements."""
    measure_routing()
    measure_path()


if __name__ == "__main__":
    main()
