"""One pass over all that waits: what is free, and what was found so far."""

import functools

from kingcuplever.process.scheduling import accounts
from kingcuplever.process.scheduling import bindings
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import scheduler_state as books


class SchedulingCycle:
    """What one pass knows; counted only once it is asked for.

    :ivar rooms: free room by worker, less what is being cleared or kept.
    """

    def __init__(
        self,
        book: books.SchedulerState,
        usable: list[fleet.Worker],
        rooms: placement.FreeResources,
        now: float,
    ) -> None:
        """Begin a pass over the workers that can take work now."""
        self.free = rooms
        self.now = now
        self._book = book
        self._usable = usable
        self._eligible: dict[tuple[str, str, str], list[fleet.Worker]] = {}
        self._unplaceable: set[tuple[object, ...]] = set()
        self._urgent_gpus: dict[str, int] | None = None
        self._usage: accounts.Usage | None = None

    @functools.cached_property
    def is_mostly_free(self) -> bool:
        """Whether over half of the accelerators are free."""
        whole = sum(worker.capacity.gpus for worker in self._usable)
        free = sum(max(0, worker.free.gpus) for worker in self._usable)
        return free * 2 > whole

    def find_eligible(
        self, group: job_state.Group, pool: str
    ) -> list[fleet.Worker]:
        """Give the workers that may run a group's tasks, room aside."""
        key = (pool, group.spec.label, group.job.spec.data_centre)
        if key not in self._eligible:
            self._eligible[key] = [
                worker
                for worker in self._usable
                if placement.is_eligible(worker, group, pool, self.now)
            ]
        return self._eligible[key]

    def is_unplaceable(self, group: job_state.Group, pool: str) -> bool:
        """Tell whether a group that needs the same found no place."""
        return self._equivalence_class(group, pool) in self._unplaceable

    def mark_unplaceable(self, group: job_state.Group, pool: str) -> None:
        """Remember what found no place; limits on a worker are its own."""
        if not group.spec.most_per_worker:
            self._unplaceable.add(self._equivalence_class(group, pool))

    def is_over_limit(self, group: job_state.Group) -> bool:
        """Tell whether a group would take its account over a limit."""
        if self._book.accounts.find_spec(group.job.spec) is None:
            return False
        if self._usage is None:
            self._usage = accounts.count_usage(self._book.jobs.values())
        return self._book.accounts.is_over_limit(group, self._usage)

    def add_usage(self, group: job_state.Group) -> None:
        """Count a group that has been given a place."""
        if self._usage is None:
            return
        spec = group.job.spec
        account = (spec.account, spec.data_centre)
        team = (*account, spec.team)
        used, teams = self._usage
        used[account] = used.get(account, 0) + group.gpus
        teams[team] = teams.get(team, 0) + group.gpus

    def free_own_cells(self, group: job_state.Group) -> dict[str, int]:
        """Give what is left in the cells of a group's account by worker."""
        book = self._book
        _, left = book.accounts.find_covered_groups(
            book.jobs.values(), book.workers
        )
        spec = group.job.spec
        name: bindings.AccountId = (spec.account, spec.data_centre)
        return left.get(name, {})

    def count_urgent_gpus(self, account: str) -> int:
        """Count the accelerators that an account's urgent work has."""
        self.ensure_urgent_counted()
        assert self._urgent_gpus is not None
        return self._urgent_gpus.get(account, 0)

    def add_urgent(self, group: job_state.Group) -> None:
        """Count an urgent group that has a place, or is about to."""
        assert self._urgent_gpus is not None
        account = group.job.spec.account
        used = self._urgent_gpus.get(account, 0)
        self._urgent_gpus[account] = used + group.gpus

    def ensure_urgent_counted(self) -> None:
        """Count urgent work, once, before any of it is placed."""
        if self._urgent_gpus is not None:
            return
        counts: dict[str, int] = {}
        for job in self._book.jobs.values():
            if self._book.queue_policy_of(job).priority != 0:
                continue
            used = sum(
                group.gpus
                for group in job.groups()
                if group.phase == job_state.ASSIGNED
            )
            account = job.spec.account
            counts[account] = counts.get(account, 0) + used
        self._urgent_gpus = counts

    def _equivalence_class(
        self, group: job_state.Group, pool: str
    ) -> tuple[object, ...]:
        spec = group.spec
        return (
            pool,
            group.job.spec.data_centre,
            spec.label,
            spec.resources,
            len(group.tasks),
            spec.same_rack,
            spec.data_rack,
            placement.is_locality_wait_over(group, self.now),
        )
