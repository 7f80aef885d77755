"""Measures the cost and latency of requests and the choice of targets."""

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
_LOOP_S: Final = 6.0
_SEEDS: Final = (1, 2, 3)


def measure_path() -> None:
    """Print latency and CPU time of requests, direct and through an entry."""
    with capacity.run_fleet(_SIDES) as fleet:
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
            before = _read_cpu_s(fleet)
            latencies = trio.run(_run_closed_loop, addresses, keyed, clients)
            after = _read_cpu_s(fleet)
            count = len(latencies)
            rows.append(
                {
                    "callers": clients,
                    "path": name,
                    "requests/s": f"{count / _LOOP_S:.0f}",
                    "p50 ms": f"{_get_percentile(latencies, 50) * 1000:.1f}",
                    "p99 ms": f"{_get_percentile(latencies, 99) * 1000:.1f}",
                    "entry ms": f"{(after[0] - before[0]) / count * 1000:.2f}",
                    "sides ms": f"{(after[1] - before[1]) / count * 1000:.2f}",
                }
            )
    print("callers in a closed loop, work of 5 ms; processor ms a request")
    print(tables.render(rows, list(rows[0])))
    print()


def _read_cpu_s(fleet: fleets.Fleet) -> tuple[float, float]:
    entry = processes.read_cost(fleet.get_pid("e1")).cpu_s
    sides = sum(
        processes.read_cost(fleet.get_pid(name)).cpu_s
        for name in fleet.options.side
    )
    return entry, sides


async def _run_closed_loop(
    addresses: list[str], keyed: bool, clients: int
) -> list[float]:
    """Send requests from callers that each wait for their response.

    :returns: latency of each request in seconds.
    """
    latencies: list[float] = []
    deadline = time.monotonic() + _LOOP_S

    async def caller(number: int) -> None:
        address = addresses[number % len(addresses)]
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            while time.monotonic() < deadline:
                run = callers.make_run_id()
                call = callers.Call(
                    "desk", "farrier", run, run if keyed else "", work_ms=5
                )
                latency = await _measure_latency(pool, address, call)
                latencies.append(latency)

    async with trio.open_nursery() as nursery:
        for number in range(clients):
            nursery.start_soon(caller, number)
    return latencies


async def _measure_latency(
    pool: httpcore.AsyncConnectionPool, address: str, call: callers.Call
) -> float:
    """Send a request to an entry or a target and return its latency.

    The path of an entry is tried first, then that of a target.

    :raises RuntimeError: neither path responded with status 200.
    """
    started_at = time.monotonic()
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
            return time.monotonic() - started_at
        started_at = time.monotonic()
    raise RuntimeError(f"{address} answers {response.status}")


class Trial(NamedTuple):
    """Result of one simulated run of routing.

    :ivar urgent: completion times of urgent requests in seconds.
    :ivar normal: completion times of normal requests in seconds.
    """

    urgent: list[float]
    normal: list[float]
    refused: int
    failed: int


class _Target:
    """A simulated target with slots and a queue of its own.

    :ivar fails: whether it fails every request almost at once.
    :ivar busy_until: time at which each slot is free.
    """

    def __init__(self, mean_service_s: float, fails: bool) -> None:
        self.mean_service_s = mean_service_s
        self.fails = fails
        self.busy_until = [0.0] * _SLOTS

    def serve(self, now: float, rng: random.Random) -> float:
        """Queue a request and return the time of its end."""
        slot = min(range(_SLOTS), key=lambda s: self.busy_until[s])
        start = max(now, self.busy_until[slot])
        seconds = (
            0.002 if self.fails else rng.expovariate(1 / self.mean_service_s)
        )
        self.busy_until[slot] = start + seconds
        return start + seconds

    def count_busy_slots(self, now: float) -> int:
        return sum(until > now for until in self.busy_until)


_MEAN_SERVICE_S: Final = 0.05
_SLOW_FACTOR: Final = 5.0
_DEADLINE_S: Final = 2.0
_TRIAL_S: Final = 30.0
_HEARTBEAT_S: Final = 0.5
_TICK_INTERVAL_S: Final = 0.02


def _generate_arrivals(
    load: float, rng: random.Random
) -> list[tuple[float, str]]:
    rate = load * _SIDES * _SLOTS / _MEAN_SERVICE_S
    at = 0.0
    arrivals = []
    while at < _TRIAL_S:
        at += rng.expovariate(rate)
        priority = "urgent" if rng.random() < 0.2 else "normal"
        arrivals.append((at, priority))
    return arrivals


def _make_targets(faulty: bool) -> list[_Target]:
    targets = [_Target(_MEAN_SERVICE_S, False) for _ in range(_SIDES)]
    if faulty:
        targets[0].mean_service_s *= _SLOW_FACTOR
        targets[1].fails = True
    return targets


def simulate_random_of_two(load: float, faulty: bool, seed: int) -> Trial:
    """Route each request to the less busy of two random targets."""
    rng = random.Random(seed)
    targets = _make_targets(faulty)
    trial = Trial([], [], 0, 0)
    failed = 0
    for at, priority in _generate_arrivals(load, rng):
        first, second = rng.sample(targets, 2)
        chosen = min((first, second), key=lambda t: t.count_busy_slots(at))
        end = chosen.serve(at, rng)
        failed += chosen.fails
        times = trial.urgent if priority == "urgent" else trial.normal
        times.append(end - at)
    return trial._replace(failed=failed)


def simulate_router(load: float, faulty: bool, seed: int) -> Trial:
    """Route each request with the product's router."""
    return _RouterSimulation(faulty, seed).run(load)


class _RouterSimulation:
    """Drives the product's router with simulated targets and clock."""

    def __init__(self, faulty: bool, seed: int) -> None:
        self._rng = random.Random(seed)
        self._targets = _make_targets(faulty)
        self._router = routers.Router("here")
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._trial = Trial([], [], 0, 0)
        self._refused = 0
        self._failed = 0
        self._arrived_at: dict[int, float] = {}

    def run(self, load: float) -> Trial:
        """Run the whole simulation."""
        for at, kind in _generate_arrivals(load, self._rng):
            self._schedule(at, functools.partial(self._dispatch_request, kind))
        for number in range(int(_TRIAL_S * 2) + 10):
            self._schedule(number * _HEARTBEAT_S, self._send_heartbeats)
        for number in range(int(_TRIAL_S / _TICK_INTERVAL_S) + 200):
            self._schedule(number * _TICK_INTERVAL_S, self._tick)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self._trial._replace(refused=self._refused, failed=self._failed)

    def _schedule(
        self, due_at: float, action: Callable[[float], None]
    ) -> None:
        heapq.heappush(self._events, (due_at, next(self._numbers), action))

    def _send_heartbeats(self, now: float) -> None:
        """Apply a heartbeat of every target's side."""
        for number, target in enumerate(self._targets):
            state = messages.TargetState(
                "t", "desk", _SLOTS, target.count_busy_slots(now), False
            )
            heartbeat = messages.Heartbeat(
                f"s{number}", 1, 0, "here", (state,), 0
            )
            self._apply_decisions(
                self._router.apply_heartbeat(heartbeat, now), now
            )

    def _tick(self, now: float) -> None:
        self._apply_decisions(self._router.tick(now), now)

    def _dispatch_request(self, kind: str, now: float) -> None:
        priority: routers.Priority = "urgent" if kind == "urgent" else "normal"
        number = self._router.next_number()
        ticket = routers.Ticket(number, "desk", priority, now + _DEADLINE_S)
        self._arrived_at[number] = now
        decision = self._router.acquire(ticket, now)
        if decision is not None:
            self._apply_decisions([decision], now)

    def _apply_decisions(
        self, decisions: list[routers.RoutingDecision], now: float
    ) -> None:
        for decision in decisions:
            if isinstance(decision, routers.Refusal):
                self._refused += 1
                continue
            number = int(decision.target.side[1:])
            end = self._targets[number].serve(now, self._rng)
            self._schedule(
                end, functools.partial(self._complete_request, decision)
            )

    def _complete_request(
        self, assignment: routers.Assignment, now: float
    ) -> None:
        ticket = assignment.ticket
        arrived_at = self._arrived_at.pop(ticket.number)
        urgent = ticket.priority == "urgent"
        times = self._trial.urgent if urgent else self._trial.normal
        times.append(now - arrived_at)
        number = int(assignment.target.side[1:])
        observed_s: float | None = now - arrived_at
        if self._targets[number].fails:
            self._failed += 1
            observed_s = None
        self._apply_decisions(
            self._router.release(assignment, observed_s, now), now
        )


def measure_routing() -> None:
    """Print completion times of urgent requests, also for random of two."""
    rows = []
    for faulty in (False, True):
        for load in (0.5, 0.9, 1.5):
            router_trials = [
                simulate_router(load, faulty, seed) for seed in _SEEDS
            ]
            baseline_trials = [
                simulate_random_of_two(load, faulty, seed) for seed in _SEEDS
            ]
            rows.append(
                _make_routing_row(load, faulty, router_trials, baseline_trials)
            )
    print("urgent requests in ms, ours / random of two; 20 percent urgent,")
    print(
        f"{_SIDES} targets of {_SLOTS} slots,"
        f" {_MEAN_SERVICE_S * 1000:.0f} ms mean;"
    )
    print("with faults: one target 5 times slower and one failing at once")
    print(tables.render(rows, list(rows[0])))
    print()


def _make_routing_row(
    load: float,
    faulty: bool,
    router_trials: list[Trial],
    baseline_trials: list[Trial],
) -> dict[str, object]:
    router_times = [s for trial in router_trials for s in trial.urgent]
    baseline_times = [s for trial in baseline_trials for s in trial.urgent]
    ratio = _get_percentile(baseline_times, 99) / _get_percentile(
        router_times, 99
    )
    refused = sum(trial.refused for trial in router_trials)
    failed = sum(trial.failed for trial in router_trials)
    baseline_failed = sum(trial.failed for trial in baseline_trials)
    return {
        "load": f"{load:.0%}",
        "faults": "yes" if faulty else "no",
        "p50": _format_pair_ms(router_times, baseline_times, 50),
        "p99": _format_pair_ms(router_times, baseline_times, 99),
        "p99 ratio": f"{ratio:.1f}",
        "failed": f"{failed} / {baseline_failed}",
        "refused": f"{refused} / 0",
    }


def _format_pair_ms(
    router_times: list[float], baseline_times: list[float], percent: int
) -> str:
    router_ms = _get_percentile(router_times, percent) * 1000
    baseline_ms = _get_percentile(baseline_times, percent) * 1000
    return f"{router_ms:.0f} / {baseline_ms:.0f}"


def _get_percentile(values: list[float], percent: int) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


def main() -> None:
    """Run the request benchmarks."""
    measure_routing()
    measure_path()


if __name__ == "__main__":
    main()
