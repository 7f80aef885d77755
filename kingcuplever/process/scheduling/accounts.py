"""What operators promised to client accounts, and what they use of it.

An account's job is covered where all its tasks lie in the account's own
cells.  Covered work is never stopped for others; work that could be covered
has borrowers stopped in those cells.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from kingcuplever import intents
from kingcuplever.process.scheduling import bindings
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model


class Usage(NamedTuple):
    """Accelerators in use, by account and by team of an account."""

    accounts: dict[bindings.AccountId, int]
    teams: dict[tuple[str, str, str], int]


class Accounts:
    """The accounts with promises or limits in data centres.

    :ivar bindings: which cells are kept for whom.
    """

    def __init__(self) -> None:
        """Start without accounts."""
        self.bindings = bindings.Bindings()
        self._specs: dict[bindings.AccountId, intents.AccountSpec] = {}

    def set_specs(self, specs: Iterable[intents.AccountSpec]) -> None:
        """Use what was promised last."""
        self._specs = {bindings.account_id(spec): spec for spec in specs}

    def rebind(self, workers: Iterable[fleet.Worker]) -> list[str]:
        """Bind cells on the workers that can be promised now.

        :return: names of accounts whose cells have changed.
        """
        if not self._specs:
            return []
        changed = self.bindings.rebind(self._specs.values(), workers)
        return [f"{account} in {place}" for account, place in changed]

    def specs(self) -> list[intents.AccountSpec]:
        """Give every account."""
        return [*self._specs.values()]

    def find_spec(self, spec: model.JobSpec) -> intents.AccountSpec | None:
        """Give a job's account, if an operator has stated it."""
        return self._specs.get((spec.account, spec.data_centre))

    def has_guarantees(self, spec: model.JobSpec) -> bool:
        """Tell whether shapes are promised to a job's account."""
        found = self.find_spec(spec)
        return found is not None and bool(found.guarantees)

    def gpus_of_others(self, spec: model.JobSpec) -> dict[str, int]:
        """Give what others are promised on each worker."""
        name = (spec.account, spec.data_centre)
        return self.bindings.gpus_of_others(name)

    def is_over_limit(self, group: job_state.Group, usage: Usage) -> bool:
        """Tell whether a group would take its account over a limit."""
        spec = group.job.spec
        found = self.find_spec(spec)
        if found is None:
            return False
        account = (spec.account, spec.data_centre)
        used = usage.accounts.get(account, 0)
        if found.max_gpus and used + group.gpus > found.max_gpus:
            return True
        most = found.teams.get(spec.team) if spec.team else None
        used = usage.teams.get((*account, spec.team), 0)
        return most is not None and used + group.gpus > most

    def find_covered_groups(
        self,
        jobs: Iterable[job_state.Job],
        workers: Mapping[str, fleet.Worker],
    ) -> tuple[set[job_state.Group], dict[bindings.AccountId, dict[str, int]]]:
        """Tell which running groups lie in their accounts' own cells.

        :return: those groups, the oldest first served, and the
            accelerators that are left in each account's cells by worker.
        """
        left = {
            name: self.bindings.gpus_by_worker(name)
            for name, spec in self._specs.items()
            if spec.guarantees
        }
        covered: set[job_state.Group] = set()
        if not left:
            return covered, left
        for job in jobs:
            own = left.get((job.spec.account, job.spec.data_centre))
            if own is None:
                continue
            for group in job.groups():
                if group.phase != job_state.ASSIGNED or group.stop_reason:
                    continue
                if _allocate_in_cells(group, own, workers):
                    covered.add(group)
        return covered, left


def count_usage(jobs: Iterable[job_state.Job]) -> Usage:
    """Count the accelerators that accounts and their teams use."""
    usage = Usage({}, {})
    for job in jobs:
        spec = job.spec
        gpus = sum(
            group.gpus
            for group in job.groups()
            if group.phase == job_state.ASSIGNED
        )
        if not gpus:
            continue
        account = (spec.account, spec.data_centre)
        usage.accounts[account] = usage.accounts.get(account, 0) + gpus
        if spec.team:
            team = (*account, spec.team)
            usage.teams[team] = usage.teams.get(team, 0) + gpus
    return usage


def count_tasks_in_cells(
    group: job_state.Group, own: dict[str, int], workers: list[fleet.Worker]
) -> dict[str, int]:
    """Count the tasks of a group that an account's free cells hold.

    :param own: accelerators left in the account's cells by worker.
    :param workers: those that may run the group.
    :return: by worker; empty unless the whole group fits.
    """
    gpus = group.spec.gpus
    if not gpus:
        return {}
    counts = {
        worker.name: own[worker.name] // gpus
        for worker in workers
        if own.get(worker.name, 0) >= gpus
        and _is_within_gpu_share(group, worker)
    }
    return counts if sum(counts.values()) >= len(group.tasks) else {}


def _is_within_gpu_share(group: job_state.Group, worker: fleet.Worker) -> bool:
    """Tell whether a task takes no more than its accelerators' share."""
    need, whole = group.spec.resources, worker.capacity
    return (
        need.cpu_milli * whole.gpus <= whole.cpu_milli * need.gpus
        and need.memory_mb * whole.gpus <= whole.memory_mb * need.gpus
    )


def _allocate_in_cells(
    group: job_state.Group,
    own: dict[str, int],
    workers: Mapping[str, fleet.Worker],
) -> bool:
    """Take a running group's accelerators out of its account's cells."""
    wanted: dict[str, int] = {}
    for holder in group.assigned_workers:
        wanted[holder] = wanted.get(holder, 0) + group.spec.gpus
    for name, gpus in wanted.items():
        worker = workers.get(name)
        if not gpus or own.get(name, 0) < gpus:
            return False
        if worker is None or not _is_within_gpu_share(group, worker):
            return False
    for name, gpus in wanted.items():
        own[name] -= gpus
    return True
