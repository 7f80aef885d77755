"""Runs one seed: a deployment of real processes, callers and faults."""

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

# Work on a silent host is declared lost after 18 s and then runs again.
_COMPLETION_TIMEOUT_S: Final = 60.0
_LASTING_TIMEOUT_S: Final = 30.0
_POLL_S: Final = 0.5


class Shape(NamedTuple):
    """Size of the deployment and duration of the load.

    :ivar seconds: time in which callers submit jobs and faults start.
    """

    entries: int = 3
    sides: int = 4
    seconds: float = 20.0


class Result(NamedTuple):
    """Result of one seed: numbers of faults and jobs, and broken promises.

    :ivar jobs: jobs that callers tried to submit.
    :ivar broken_promises: one line for each broken promise.
    """

    seed: int
    faults: int
    jobs: int
    accepted: int
    completed: int
    broken_promises: tuple[str, ...]


def run_seed(seed: int, shape: Shape, folder: str) -> Result:
    """Run one seed.

    :param folder: receives the planned faults, the broken promises and the
        logs of the processes.
    """
    path = pathlib.Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    plan = faults.plan_faults(seed, shape.seconds)
    lines = [
        f"{f.start_s:.2f} {f.duration_s:.2f} {f.kind} {f.victim_number}"
        for f in plan
    ]
    (path / "faults.txt").write_text("\n".join(lines) + "\n")
    site = wire_site.Site(
        folder,
        shape.entries,
        shape.sides,
        proxied=True,
        lease_ms=3000,
        # Platforms with and without it take turns.
        states_birth=seed % 2 == 0,
    )
    with site:
        callers = clients.Callers(site, seed)
        trio.run(_run_callers_and_faults, site, callers, plan, shape.seconds)
        observation = _observe(site, callers)
        broken = [
            *judge.find_broken_promises(observation),
            *_check_configuration(site),
            *(f"FAULT {line}" for line in site.list_errors()),
        ]
        site.allows_errors = True
    (path / "broken.txt").write_text("".join(f"{b}\n" for b in broken))
    return Result(
        seed,
        len(plan),
        len(callers.jobs),
        sum(bool(job.accepted_at) for job in callers.jobs),
        sum(job.state == "completed" for job in callers.jobs),
        tuple(broken),
    )


def _check_configuration(site: wire_site.Site) -> list[str]:
    """Check that every entry serves the newest configuration's route."""
    prefix = f"/route-{site.version}/" if site.version > 1 else None
    broken = []
    for entry in site.entries:
        response = site.call(
            entry, "GET", "", prefix=prefix or wire_site.PREFIX
        )
        if response.status != 200:
            text = f"CONFIG {entry}: {response.status} at {site.version}"
            broken.append(text)
    return broken


async def _run_callers_and_faults(
    site: wire_site.Site,
    callers: clients.Callers,
    plan: list[faults.Fault],
    seconds: float,
) -> None:
    """Inject all faults under load, then wait until the jobs have ended."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run, seconds)
        for fault in plan:
            nursery.start_soon(_inject_fault, site, fault)
    for process in [*site.entries.values(), *site.sides.values()]:
        if not process.is_alive:
            process.restart()
    await callers.wait_for_jobs(_COMPLETION_TIMEOUT_S)
    with trio.move_on_after(_LASTING_TIMEOUT_S):
        while judge.find_idle_lasting_tasks(_observe(site, callers)):
            await trio.sleep(_POLL_S)


def _observe(
    site: wire_site.Site, callers: clients.Callers
) -> judge.Observation:
    return judge.collect_observation(
        callers.jobs, [*site.workers], time.time()
    )


async def _inject_fault(site: wire_site.Site, fault: faults.Fault) -> None:
    """Begin a fault at its start time and end it after its duration."""
    kind = faults.KINDS[fault.kind]
    await trio.sleep(fault.start_s)
    victim = faults.pick_victim(site, fault)
    # Signals and waiting for a process's exit would block the callers.
    with contextlib.suppress(ProcessLookupError):
        await trio.to_thread.run_sync(kind.begin, site, victim)
    await trio.sleep(fault.duration_s)
    with contextlib.suppress(ProcessLookupError):
        await trio.to_thread.run_sync(kind.end, site, victim)
