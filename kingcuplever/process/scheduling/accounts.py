"""Guarantees and limits of client accounts, and their current usage.

A group is covered if all its tasks fit into its own account's cells.  A
covered group is never preempted.  For a group that could be covered,
borrowers in those cells are preempted.
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
    """The accounts with guarantees or limits, by data centre.

    :ivar bindings: cells that are bound to the accounts.
    """

    def __init__(self) -> None:
        """Create an empty set of accounts."""
        self.bindings = bindings.Bindings()
        self._specs: dict[bindings.AccountId, intents.AccountSpec] = {}

    def set_specs(self, specs: Iterable[intents.AccountSpec]) -> None:
        """Replace the guarantees and limits of all accounts."""
        self._specs = {bindings.account_id(spec): spec for spec in specs}

    def rebind(
        self,
        workers: list[fleet.Worker],
        quarantined: list[fleet.Worker],
    ) -> None:
        """Bind cells on the given workers.

        :param quarantined: workers that get the cells for which the others
            have no room: a guarantee outlasts a quarantine.
        """
        if not self._specs:
            return
        specs = self._specs.values()
        self.bindings.rebind(specs, workers)
        if quarantined and any(
            self.bindings.count_missing(name) for name in self._specs
        ):
            self.bindings.rebind(specs, [*workers, *quarantined])

    def specs(self) -> list[intents.AccountSpec]:
        """Return the guarantees and limits of every account."""
        return [*self._specs.values()]

    def find_spec(self, spec: model.JobSpec) -> intents.AccountSpec | None:
        """Return the spec of a job's account, if an operator stated one."""
        return self._specs.get((spec.account, spec.data_centre))

    def has_guarantees(self, spec: model.JobSpec) -> bool:
        """Return whether a job's account has guaranteed shapes."""
        account_spec = self.find_spec(spec)
        return account_spec is not None and bool(account_spec.guarantees)

    def gpus_of_others(self, spec: model.JobSpec) -> dict[str, int]:
        """Return the accelerators bound to other accounts, by worker."""
        name = (spec.account, spec.data_centre)
        return self.bindings.gpus_of_others(name)

    def is_over_limit(self, group: job_state.Group, usage: Usage) -> bool:
        """Return whether a group would take its account over a limit."""
        spec = group.job.spec
        account_spec = self.find_spec(spec)
        if account_spec is None:
            return False
        account = (spec.account, spec.data_centre)
        used = usage.accounts.get(account, 0)
        if account_spec.max_gpus and used + group.gpus > account_spec.max_gpus:
            return True
        team_limit = account_spec.teams.get(spec.team) if spec.team else None
        used = usage.teams.get((*account, spec.team), 0)
        return team_limit is not None and used + group.gpus > team_limit

    def find_covered_groups(
        self,
        jobs: Iterable[job_state.Job],
        workers: Mapping[str, fleet.Worker],
    ) -> tuple[set[job_state.Group], dict[bindings.AccountId, dict[str, int]]]:
        """Find the running groups that their accounts' cells cover.

        Earlier jobs take precedence.

        :return: those groups, and the accelerators that are left in each
            account's cells, by worker.
        """
        free_by_account = {
            name: self.bindings.gpus_by_worker(name)
            for name, spec in self._specs.items()
            if spec.guarantees
        }
        covered: set[job_state.Group] = set()
        if not free_by_account:
            return covered, free_by_account
        for job in jobs:
            free_in_cells = free_by_account.get(
                (job.spec.account, job.spec.data_centre)
            )
            if free_in_cells is None:
                continue
            for group in job.groups():
                if group.phase != job_state.ASSIGNED or group.stop_reason:
                    continue
                if _allocate_in_cells(group, free_in_cells, workers):
                    covered.add(group)
        return covered, free_by_account


def count_usage(jobs: Iterable[job_state.Job]) -> Usage:
    """Count the accelerators in use, by account and by team."""
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
    group: job_state.Group,
    free_in_cells: dict[str, int],
    workers: list[fleet.Worker],
) -> dict[str, int]:
    """Count the tasks of a group that fit into its account's free cells.

    :param free_in_cells: accelerators left in the account's cells, by
        worker.
    :param workers: workers that may run the group.
    :return: tasks by worker; empty unless the whole group fits.
    """
    gpus = group.spec.gpus
    if not gpus:
        return {}
    counts = {
        worker.name: free_in_cells[worker.name] // gpus
        for worker in workers
        if free_in_cells.get(worker.name, 0) >= gpus
        and _is_within_gpu_share(group, worker)
    }
    return counts if sum(counts.values()) >= len(group.tasks) else {}


def _is_within_gpu_share(group: job_state.Group, worker: fleet.Worker) -> bool:
    """Return whether CPU and memory are within the accelerators' share."""
    request, capacity = group.spec.resources, worker.capacity
    return (
        request.cpu_milli * capacity.gpus <= capacity.cpu_milli * request.gpus
        and request.memory_mb * capacity.gpus
        <= capacity.memory_mb * request.gpus
    )


def _allocate_in_cells(
    group: job_state.Group,
    free_in_cells: dict[str, int],
    workers: Mapping[str, fleet.Worker],
) -> bool:
    """Allocate a running group in its account's cells, if it fits there.

    :param free_in_cells: accelerators left in the cells, by worker; reduced
        if the group fits.
    """
    gpus_by_worker: dict[str, int] = {}
    for worker_name in group.assigned_workers:
        gpus_by_worker[worker_name] = (
            gpus_by_worker.get(worker_name, 0) + group.spec.gpus
        )
    for name, gpus in gpus_by_worker.items():
        worker = workers.get(name)
        if not gpus or free_in_cells.get(name, 0) < gpus:
            return False
        if worker is None or not _is_within_gpu_share(group, worker):
            return False
    for name, gpus in gpus_by_worker.items():
        free_in_cells[name] -= gpus
    return True
