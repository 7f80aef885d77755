"""One run: a deployment of real processes, callers, and a seed's faults."""

import contextlib
import pathlib
import time
from typing import Final
from typing import NamedTuple

import trio

from soak import clients
from soak import faults
from soak import judge
from standins import wire_site

# A silent host's work is given up after 18 s, then it runs anew.
_SETTLE_S: Final = 60.0


class Shape(NamedTuple):
    """How large a deployment is, and for how long it is disturbed."""

    entries: int = 3
    sides: int = 4
    seconds: float = 20.0


class Result(NamedTuple):
    """What one run gave.

    :ivar broken: every promise that was broken.
    """

    seed: int
    faults: int
    jobs: int
    accepted: int
    completed: int
    broken: tuple[str, ...]


def run_seed(seed: int, shape: Shape, folder: str) -> Result:
    """Run one seed; logs of the processes lie in the folder afterwards."""
    path = pathlib.Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    planned = faults.plan(seed, shape.seconds)
    lines = [f"{f.at:.2f} {f.for_s:.2f} {f.kind} {f.victim}" for f in planned]
    (path / "faults.txt").write_text("\n".join(lines) + "\n")
    site = wire_site.Site(
        folder, shape.entries, shape.sides, proxied=True, lease_ms=3000
    )
    with site:
        callers = clients.Callers(site, seed)
        trio.run(_disturb, site, callers, planned, shape.seconds)
        workers = [*site.workers]
        seen = judge.collect(callers.told, workers, time.time())
        broken = judge.judge(seen) + _check_configuration(site)
    (path / "broken.txt").write_text("".join(f"{b}\n" for b in broken))
    return Result(
        seed,
        len(planned),
        len(callers.told),
        sum(bool(told.accepted_at) for told in callers.told),
        sum(told.state == "completed" for told in callers.told),
        tuple(broken),
    )


def _check_configuration(site: wire_site.Site) -> list[str]:
    """Every entry serves the newest configuration's route by now."""
    prefix = f"/route-{site.version}/" if site.version > 1 else None
    broken = []
    for entry in site.entries:
        answer = site.call(entry, "GET", "", prefix=prefix or wire_site.PREFIX)
        if answer.status != 200:
            text = f"CONFIG {entry}: {answer.status} at {site.version}"
            broken.append(text)
    return broken


async def _disturb(
    site: wire_site.Site,
    callers: clients.Callers,
    planned: list[faults.Fault],
    seconds: float,
) -> None:
    """Play all faults under load, then let everything settle."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run, seconds)
        for fault in planned:
            nursery.start_soon(_play, site, fault)
    for process in [*site.entries.values(), *site.sides.values()]:
        if not process.is_alive:
            process.restart()
    await callers.settle(_SETTLE_S)


async def _play(site: wire_site.Site, fault: faults.Fault) -> None:
    """Begin a fault at its time, and end it."""
    kind = faults.KINDS[fault.kind]
    await trio.sleep(fault.at)
    victim = faults.pick(site, fault)
    # Signals and waiting for an end would hold the callers up.
    with contextlib.suppress(ProcessLookupError):
        await trio.to_thread.run_sync(kind.begin, site, victim)
    await trio.sleep(fault.for_s)
    with contextlib.suppress(ProcessLookupError):
        await trio.to_thread.run_sync(kind.end, site, victim)
