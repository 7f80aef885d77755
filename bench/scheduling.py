"""Measures the scheduling against the first-fit baseline."""

import math
import statistics
from typing import Final
from typing import NamedTuple

from bench import baseline
from bench import emulator
from bench import workload
from kingcuplever.command import tables
from kingcuplever import intents
from kingcuplever.process.scheduling import fragmentation
from kingcuplever.process.scheduling import model

_KINDS: Final = ("urgent", "small", "medium", "large", "dawn")
_HOUR_S: Final = 3600.0
_SEEDS: Final = (1, 2, 3)
# A job that waited so long counts as starved.
_STARVED_S: Final = 1800.0
# How long a job waits before workers are kept for it.
_PATIENCE_S: Final = 120.0


class Outcome(NamedTuple):
    """What one run of a workload gave.

    :ivar waits: seconds from arrival to start, by class.
    :ivar completions: seconds from arrival to end, by class.
    :ivar fragmented: mean fragmentation by size.
    """

    waits: dict[str, list[float]]
    completions: dict[str, list[float]]
    fragmented: dict[int, float]
    starved: int
    evictions: int


def run_product(
    mix: workload.Mix,
    count: int,
    until: float,
    seed: int,
    accounts: tuple[intents.AccountSpec, ...] | None = None,
) -> Outcome:
    """Run a workload through the product's decisions."""
    accounts = accounts or workload.accounts(count)
    policy = model.Policy(1, {}, {}, accounts, starvation_s=_PATIENCE_S)
    world = emulator.Emulation(workload.workers(count), policy)
    arrivals = workload.arrivals(mix, count, until, seed)
    world.run(arrivals, until)
    started = {}
    ended = {}
    evictions = 0
    for name, job in world.board.jobs.items():
        if job.progress is None:
            continue
        evictions += job.progress.evictions
        if job.progress.begun_ms:
            started[name] = _seconds(job.progress.begun_ms)
        if job.progress.ended_ms:
            ended[name] = _seconds(job.progress.ended_ms)
    means = {
        size: statistics.fmean(rows) for size, rows in world.samples.items()
    }
    return _outcome(arrivals, started, ended, means, until, evictions)


def run_baseline(
    mix: workload.Mix,
    count: int,
    until: float,
    seed: int,
    accounts: tuple[intents.AccountSpec, ...] | None = None,
) -> Outcome:
    """Run a workload through the first-fit baseline."""
    accounts = accounts or workload.accounts(count)
    arrivals = workload.arrivals(mix, count, until, seed)
    first_fit = baseline.FirstFit(workload.workers(count), accounts)
    first_fit.run(arrivals, until)
    means = {
        size: statistics.fmean(rows)
        for size, rows in first_fit.samples.items()
    }
    return _outcome(
        arrivals, first_fit.started, first_fit.ended, means, until, 0
    )


def compare(count: int, hours: float) -> None:
    """Print both side by side, for both deployments."""
    for mix in (workload.SADDLEBROOK, workload.PHULRENU):
        until = hours * _HOUR_S
        ours = [run_product(mix, count, until, seed) for seed in _SEEDS]
        theirs = [run_baseline(mix, count, until, seed) for seed in _SEEDS]
        print(
            f"{mix.name}, {count} workers, {hours:g} h, {len(_SEEDS)} seeds,"
            f" load {mix.load:.0%} and guaranteed gangs every"
            f" {mix.dawn_every_s:.0f} s"
        )
        _print_times(ours, theirs)
        _print_rest(ours, theirs)


def compare_fragmentation() -> None:
    """Print fragmentation where both have the same accelerators free.

    Without guarantees and below the load at which a queue forms, both place
    every job at once, so that only the choice of places differs.
    """
    rows = []
    accounts = tuple(
        spec._replace(guarantees=()) for spec in workload.accounts(10)
    )
    for load in (0.5, 0.7):
        mix = workload.SADDLEBROOK._replace(load=load, dawn_every_s=math.inf)
        runs = [
            (
                run_product(mix, 10, _HOUR_S, seed, accounts),
                run_baseline(mix, 10, _HOUR_S, seed, accounts),
            )
            for seed in _SEEDS
        ]
        for size in fragmentation.TASK_SIZES:
            mine = statistics.median(one.fragmented[size] for one, _ in runs)
            base = statistics.median(two.fragmented[size] for _, two in runs)
            rows.append(
                {
                    "load": f"{load:.0%}",
                    "size": size,
                    "ours": f"{mine:.3f}",
                    "first fit": f"{base:.3f}",
                    "ratio": f"{mine / base:.2f}",
                }
            )
    print("fragmentation with the same accelerators free, 10 workers, 1 h")
    print(tables.render(rows, list(rows[0])))
    print()


def _seconds(wall_ms: int) -> float:
    return (wall_ms - emulator.START_MS) / 1000


def _outcome(
    arrivals: list[workload.Arrival],
    started: dict[str, float],
    ended: dict[str, float],
    fragmented: dict[int, float],
    until: float,
    evictions: int,
) -> Outcome:
    waits: dict[str, list[float]] = {kind: [] for kind in _KINDS}
    completions: dict[str, list[float]] = {kind: [] for kind in _KINDS}
    starved = 0
    for arrival in arrivals:
        name = arrival.spec.job
        begun = started.get(name, until)
        waits[arrival.kind].append(begun - arrival.at)
        # A job that has not ended counts with the time so far.
        completions[arrival.kind].append(ended.get(name, until) - arrival.at)
        starved += begun - arrival.at > _STARVED_S
    return Outcome(waits, completions, fragmented, starved, evictions)


def _print_times(ours: list[Outcome], theirs: list[Outcome]) -> None:
    rows = []
    for kind in _KINDS:
        mine = [s for run in ours for s in run.completions[kind]]
        base = [s for run in theirs for s in run.completions[kind]]
        mine_wait = [s for run in ours for s in run.waits[kind]]
        base_wait = [s for run in theirs for s in run.waits[kind]]
        rows.append(
            {
                "class": kind,
                "jobs": len(mine),
                "wait p50": _pair(mine_wait, base_wait, 50),
                "wait p99": _pair(mine_wait, base_wait, 99),
                "completion p50": _pair(mine, base, 50),
                "completion p99": _pair(mine, base, 99),
                "mean ratio": f"{_mean_ratio(mine, base):.2f}",
            }
        )
    print("seconds, ours / first fit; mean ratio: first fit over ours")
    print(tables.render(rows, list(rows[0])))


def _print_rest(ours: list[Outcome], theirs: list[Outcome]) -> None:
    for size in fragmentation.TASK_SIZES:
        mine = statistics.median(run.fragmented[size] for run in ours)
        base = statistics.median(run.fragmented[size] for run in theirs)
        ratio = mine / base if base else 0.0
        print(
            f"fragmentation for {size}: {mine:.3f} / {base:.3f},"
            f" ratio {ratio:.2f}"
        )
    mine_starved = sum(run.starved for run in ours)
    base_starved = sum(run.starved for run in theirs)
    evictions = sum(run.evictions for run in ours)
    print(
        f"started later than {_STARVED_S:.0f} s or never: {mine_starved} /"
        f" {base_starved}; evictions: {evictions} / 0"
    )
    print()


def _pair(mine: list[float], base: list[float], percent: int) -> str:
    return (
        f"{_percentile(mine, percent):.1f} / {_percentile(base, percent):.1f}"
    )


def _percentile(values: list[float], percent: int) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


def _mean_ratio(mine: list[float], base: list[float]) -> float:
    return statistics.fmean(base) / statistics.fmean(mine)


def main() -> None:
    """Run the scheduling measurements."""
    compare(10, 1.0)
    compare_fragmentation()


if __name__ == "__main__":
    main()
