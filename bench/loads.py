"""Replays loads of the users' platform against first fit and before.

Urgent work of a few seconds comes to a pool that batch work fills; a stop
takes most of a second.  First fit starts urgent work when room comes free;
the product's earlier version made room by stopping work each time.
"""

import random
import statistics
from typing import Final
from typing import NamedTuple

from bench import baseline
from bench import emulator
from bench import workload
from kingcuplever.command import tables
from kingcuplever import intents
from kingcuplever.process.scheduling import model

# Fewer make the longest waits a matter of chance.
_SEEDS: Final = tuple(range(1, 13))
_WORKERS: Final = 11
_UNTIL_S: Final = 300.0
_STOP_S: Final = 0.9
# A wait over so much, in seconds, is one in which work was stopped first.
_WAITED_S: Final = 0.5
_URGENT: Final = model.QueuePolicy("urgent", workload.POOL, 0, 2, 1.5, 250)
_BATCH: Final = model.QueuePolicy("batch", workload.POOL, 2, 3, 3.0, 3000)


class Kind(NamedTuple):
    """Jobs of one queue; batch work comes for more than the whole pool."""

    name: str
    every_s: float
    sizes: tuple[int, ...]
    least_s: float
    most_s: float


_KINDS: Final = (
    Kind("urgent", 5.0, (1, 2, 4, 8), 2.0, 8.0),
    Kind("batch", 0.45, (1, 2, 4), 10.0, 30.0),
)


class Outcome(NamedTuple):
    """What one run gave.

    :ivar waits: seconds until urgent jobs started.
    :ivar batch: batch jobs that ended.
    :ivar thrown_away: core-seconds of work that was stopped.
    """

    waits: list[float]
    batch: int
    thrown_away: float


def _arrivals(seed: int) -> list[workload.Arrival]:
    rng = random.Random(seed)
    found: list[workload.Arrival] = []
    for kind in _KINDS:
        at = rng.expovariate(1 / kind.every_s)
        while at < _UNTIL_S:
            name = f"{kind.name}-{len(found)}"
            found.append(_arrival(rng, at, kind, name))
            at += rng.expovariate(1 / kind.every_s)
    return found


def _arrival(
    rng: random.Random, at: float, kind: Kind, name: str
) -> workload.Arrival:
    seconds = rng.uniform(kind.least_s, kind.most_s)
    gpus = rng.choice(kind.sizes)
    spec = intents.GangSpec(
        name,
        kind.name,
        workload.PLACE,
        1,
        intents.TaskShape(gpus, gpus * 8.0, gpus * 16.0),
        seconds * rng.uniform(0.8, 1.2),
        payload=f'{{"seconds": {seconds}}}',
    )
    return workload.Arrival(at, kind.name, spec, seconds, kind.name)


def run_product(seed: int, headroom_part: float) -> Outcome:
    """Run the load through the product's decisions."""
    queues = {queue.name: queue for queue in (_URGENT, _BATCH)}
    policy = model.Policy(1, queues, {}, max_headroom_share=headroom_part)
    world = emulator.Emulation(workload.workers(_WORKERS), policy, _STOP_S)
    arrivals = _arrivals(seed)
    world.run(arrivals, _UNTIL_S)
    started = {}
    ended = 0
    for name, job in world.board.jobs.items():
        if job.progress is None:
            continue
        if job.progress.begun_ms:
            begun_ms = job.progress.begun_ms - emulator.START_MS
            started[name] = begun_ms / 1000
        ended += bool(job.progress.ended_ms and name.startswith("batch"))
    thrown_away = sum(world.thrown_away.values())
    return Outcome(_waits(arrivals, started), ended, thrown_away)


def run_first_fit(seed: int) -> Outcome:
    """Run the load through the baseline."""
    arrivals = _arrivals(seed)
    accounts = tuple(
        intents.AccountSpec(kind.name, workload.PLACE) for kind in _KINDS
    )
    first_fit = baseline.FirstFit(workload.workers(_WORKERS), accounts)
    first_fit.run(arrivals, _UNTIL_S)
    ended = sum(name.startswith("batch") for name in first_fit.ended)
    return Outcome(_waits(arrivals, first_fit.started), ended, 0.0)


def _waits(
    arrivals: list[workload.Arrival], started: dict[str, float]
) -> list[float]:
    return [
        max(0.0, started.get(arrival.spec.job, _UNTIL_S) - arrival.at)
        for arrival in arrivals
        if arrival.kind == "urgent"
    ]


def _row(name: str, outcomes: list[Outcome]) -> dict[str, object]:
    waits = sorted(wait for one in outcomes for wait in one.waits)
    return {
        "version": name,
        "urgent jobs": len(waits),
        "wait p50": f"{statistics.median(waits):.2f}",
        "wait p95": f"{waits[len(waits) * 95 // 100]:.2f}",
        "waited": sum(wait > _WAITED_S for wait in waits),
        "batch done": sum(one.batch for one in outcomes),
        "core-s thrown away": round(sum(one.thrown_away for one in outcomes)),
    }


def main() -> None:
    """Print the load through first fit, the earlier version and this one."""
    part = model.Policy(0, {}, {}).max_headroom_share
    rows = [
        _row("first fit", [run_first_fit(seed) for seed in _SEEDS]),
        _row("no room kept", [run_product(seed, 0.0) for seed in _SEEDS]),
        _row("room kept", [run_product(seed, part) for seed in _SEEDS]),
    ]
    print(f"urgent work in a pool that batch work fills, {_WORKERS} workers")
    print(tables.render(rows, list(rows[0])))
    print()


if __name__ == "__main__":
    main()
