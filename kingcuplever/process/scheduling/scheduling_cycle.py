"""The state of one scheduling cycle: free resources and cached results."""

import collections
import functools
from typing import Final

from kingcuplever.process.scheduling import accounts
from kingcuplever.process.scheduling import bindings
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import guarantees
from kingcuplever.process.scheduling import isolation
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import scheduler_state
from kingcuplever.process.scheduling import worker_filter

# Longest wait of a job for the right rack while most workers are idle.
_MAX_IDLE_WAIT_S: Final = 2.0


class SchedulingCycle:
    """One pass over the ready queue; its counts are computed on first use.

    :ivar free: free resources by worker, less capacity that is reserved or
        being cleared by preemption.
    :ivar now: monotonic time of the cycle.
    :ivar isolation: the workers of groups that must run alone.
    """

    def __init__(
        self,
        state: scheduler_state.SchedulerState,
        usable: list[fleet.Worker],
        free: placement.FreeResources,
        now: float,
    ) -> None:
        """Start a cycle.

        :param usable: workers whose last report is recent.
        """
        self.free = free
        self.now = now
        self.isolation = isolation.Isolation(state, free, now)
        self._state = state
        self._usable = usable
        self._eligible: dict[
            tuple[str, str, str, bool], list[fleet.Worker]
        ] = {}
        self._unplaceable: set[tuple[object, ...]] = set()
        self._urgent_usage: guarantees.GuaranteeUsage | None = None
        self._usage: accounts.Usage | None = None
        self._at_work: dict[job_state.Job, bool] = {}
        self._step_tasks: dict[
            tuple[str, int, int], collections.Counter[str]
        ] = {}

    @functools.cached_property
    def is_mostly_free(self) -> bool:
        """Whether over half of the accelerators are free."""
        usable = [w for w in self._usable if not w.is_evacuated]
        total = sum(worker.capacity.gpus for worker in usable)
        free = sum(max(0, worker.free.gpus) for worker in usable)
        return free * 2 > total

    def is_locality_wait_over(self, group: job_state.Group) -> bool:
        """Return whether a group has waited long enough for the right rack.

        A job of which nothing runs is not kept waiting beside idle workers.
        """
        waited_s = self._state.get_wait_s(group, self.now)
        if placement.is_locality_wait_over(group, waited_s):
            return True
        if waited_s <= _MAX_IDLE_WAIT_S:
            return False
        return self.is_mostly_free and not self._is_at_work(group.job)

    def _is_at_work(self, job: job_state.Job) -> bool:
        """Return whether a task of a job has a worker."""
        if job not in self._at_work:
            self._at_work[job] = not job.has_no_worker
        return self._at_work[job]

    def find_eligible(
        self,
        group: job_state.Group,
        pool: str,
        also_quarantined: bool = False,
    ) -> list[fleet.Worker]:
        """Return the workers that may run a group, ignoring free capacity.

        :param also_quarantined: include quarantined workers, for work that
            a guarantee covers.
        """
        data_centre = group.job.spec.data_centre
        key = (pool, group.spec.label, data_centre, also_quarantined)
        if key not in self._eligible:
            self._eligible[key] = [
                worker
                for worker in self._usable
                if worker_filter.is_eligible(worker, group, pool)
                and (also_quarantined or self.now >= worker.quarantined_until)
            ]
        return self._eligible[key]

    def is_unplaceable(self, group: job_state.Group, pool: str) -> bool:
        """Return whether a group with equal requirements can't be placed."""
        return self._equivalence_class(group, pool) in self._unplaceable

    def mark_unplaceable(self, group: job_state.Group, pool: str) -> None:
        """Record that a group's equivalence class can't be placed.

        A limit of tasks on one worker depends on where the step's other
        tasks are, so such a group says nothing about others.
        """
        if not group.spec.most_per_worker:
            self._unplaceable.add(self._equivalence_class(group, pool))

    def is_over_limit(self, group: job_state.Group) -> bool:
        """Return whether a group would exceed a limit of account or team."""
        if self._state.accounts.find_spec(group.job.spec) is None:
            return False
        if self._usage is None:
            self._usage = accounts.count_usage(self._state.jobs.values())
        return self._state.accounts.is_over_limit(group, self._usage)

    def count_step_tasks(self, group: job_state.Group, worker: str) -> int:
        """Return how many tasks of a group's step a worker has.

        Counted only if the step limits the tasks on one worker.
        """
        if not group.spec.most_per_worker:
            return 0
        key = (group.job.name, group.occurrence, group.step)
        counts = self._step_tasks.get(key)
        if counts is None:
            occurrence = group.job.open_occurrences[group.occurrence]
            counts = self._step_tasks[key] = collections.Counter()
            for other in occurrence.steps[group.step]:
                counts.update(other.assigned_workers)
        return counts[worker]

    def add_placed(self, group: job_state.Group) -> None:
        """Count a group that was just placed."""
        self._at_work[group.job] = True
        key = (group.job.name, group.occurrence, group.step)
        if key in self._step_tasks:
            self._step_tasks[key].update(group.assigned_workers)
        self._add_usage(group)

    def _add_usage(self, group: job_state.Group) -> None:
        """Add a group to its account's usage."""
        if self._usage is None:
            return
        spec = group.job.spec
        account = (spec.account, spec.data_centre)
        team = (*account, spec.team)
        used, teams = self._usage
        used[account] = used.get(account, 0) + group.gpus
        teams[team] = teams.get(team, 0) + group.gpus

    def free_own_cells(self, group: job_state.Group) -> dict[str, int]:
        """Return the free accelerators in the account's cells by worker."""
        state = self._state
        _, free_cells = state.accounts.find_covered_groups(
            state.jobs.values(), state.workers
        )
        spec = group.job.spec
        account: bindings.AccountId = (spec.account, spec.data_centre)
        return free_cells.get(account, {})

    def is_guaranteed(self, group: job_state.Group) -> bool:
        """Return whether the count of its account covers an urgent group."""
        return self.ensure_urgent_counted().covers(group)

    def add_urgent(self, group: job_state.Group) -> None:
        """Add an urgent group that is placed or has preempted other work."""
        self.ensure_urgent_counted().add(group)

    def ensure_urgent_counted(self) -> guarantees.GuaranteeUsage:
        """Count the accelerators of urgent work, unless already counted.

        Must be called before the first urgent group is placed:
        :meth:`add_urgent` adds those of this cycle.
        """
        if self._urgent_usage is not None:
            return self._urgent_usage
        policy = self._state.policy
        usage = guarantees.GuaranteeUsage(policy.guaranteed_gpus)
        for job in self._state.jobs.values():
            if self._state.queue_policy_of(job).priority != 0:
                continue
            for group in job.groups():
                if group.phase == job_state.ASSIGNED:
                    usage.add(group)
        self._urgent_usage = usage
        return usage

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
            placement.is_locality_sensitive(spec)
            and self.is_locality_wait_over(group),
        )
