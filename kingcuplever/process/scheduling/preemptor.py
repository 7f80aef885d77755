"""Preempts other work for groups that are guaranteed or urgent.

A preemption names the workers that a group will use.  Its victims there are
being stopped, and the capacity stays reserved until the group is placed.
"""

from collections.abc import Sequence
from typing import Final
from typing import NamedTuple

from kingcuplever import logs
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import guarantees
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import preemption
from kingcuplever.process.scheduling import scheduler_state
from kingcuplever.process.scheduling import scheduling_cycle
from kingcuplever.process.stored import evidence_records

# Most work that may be lost for an urgent group that no guarantee covers: a
# few seconds of one whole worker.
_MAX_URGENT_COST_CORE_S: Final = 600.0
# Most names in a log line; the evidence has them all.
_MAX_LISTED: Final = 8
# A preemption is given up if its group is not placed by then.
_PREEMPTION_TIMEOUT_S: Final = 3.0


class _Preemption(NamedTuple):
    workers: tuple[str, ...]
    started_at: float


class Preemptor:
    """Starts preemptions, and reserves the capacity of the open ones."""

    def __init__(self, state: scheduler_state.SchedulerState) -> None:
        """Use the state that the scheduler's parts share."""
        self._state = state
        self._preemptions: dict[job_state.Group, _Preemption] = {}

    def __contains__(self, group: job_state.Group) -> bool:
        """Return whether a preemption is open for a group."""
        return group in self._preemptions

    def preempted_workers(self, group: job_state.Group) -> tuple[str, ...]:
        """Return the workers of a group's open preemption, if there is one."""
        open_preemption = self._preemptions.get(group)
        return () if open_preemption is None else open_preemption.workers

    def subtract_preempted(
        self, free: placement.FreeResources, now: float
    ) -> None:
        """Subtract the capacity of open preemptions from the free resources.

        Drops those that timed out, whose group no longer waits, or whose
        workers left.
        """
        for group, open_preemption in [*self._preemptions.items()]:
            has_timed_out = (
                now - open_preemption.started_at > _PREEMPTION_TIMEOUT_S
            )
            is_unusable = not all(
                name in free and self._state.workers[name].is_schedulable
                for name in open_preemption.workers
            )
            if (
                group not in self._state.ready_queue
                or has_timed_out
                or is_unusable
            ):
                del self._preemptions[group]
            else:
                self.subtract_preemption(group, free)

    def subtract_preemption(
        self, group: job_state.Group, free: placement.FreeResources
    ) -> None:
        """Subtract the capacity of a group's preemption."""
        for name in self.preempted_workers(group):
            free[name] = free[name].subtract(group.spec.resources)

    def add_back_preemption(
        self, group: job_state.Group, free: placement.FreeResources
    ) -> None:
        """Add the capacity of a group's preemption back, to place it."""
        for name in self.preempted_workers(group):
            free[name] = free[name].add(group.spec.resources)

    def finish(self, group: job_state.Group) -> None:
        """End the preemption of a group that was placed."""
        self._preemptions.pop(group, None)

    def preempt_in_cells(
        self,
        group: job_state.Group,
        eligible: list[fleet.Worker],
        cycle: scheduling_cycle.SchedulingCycle,
        task_limits: dict[str, int],
    ) -> None:
        """Preempt borrowers in an account's own cells.

        :param task_limits: most tasks on each worker with such cells.
        """
        if group not in self._preemptions and self._state.is_warmed_up(
            cycle.now
        ):
            workers = [
                worker for worker in eligible if worker.name in task_limits
            ]
            self._preempt(group, workers, cycle, float("inf"), task_limits)

    def preempt_for_urgent(
        self,
        group: job_state.Group,
        eligible: list[fleet.Worker],
        cycle: scheduling_cycle.SchedulingCycle,
    ) -> None:
        """Preempt other work for an urgent group.

        The cost is limited unless the account's guarantee covers the group.
        """
        if group in self._preemptions or not self._state.is_warmed_up(
            cycle.now
        ):
            # A new owner may not know yet of capacity that is free.
            return
        entitled = cycle.is_guaranteed(group)
        max_cost = float("inf") if entitled else _MAX_URGENT_COST_CORE_S
        self._preempt(group, eligible, cycle, max_cost, {})

    def _preempt(
        self,
        group: job_state.Group,
        eligible: list[fleet.Worker],
        cycle: scheduling_cycle.SchedulingCycle,
        max_cost: float,
        task_limits: dict[str, int],
    ) -> None:
        """Stop the cheapest victims that make room for a group.

        :param max_cost: most core-seconds of work that may be lost.
        :param task_limits: most tasks on each worker; empty for no limit.
        """
        entitled = max_cost == float("inf")
        victims, urgent = self._find_victims(eligible, entitled)
        search = preemption.PreemptionSearch(
            cycle.free, victims, urgent, cycle.now, cycle.isolation.held
        )
        plan = search.find_cheapest(group, eligible, task_limits)
        if plan is None or plan.cost > max_cost:
            return
        self._preemptions[group] = _Preemption(plan.workers, cycle.now)
        self.subtract_preemption(group, cycle.free)
        self._report_preemption(group, plan, entitled)
        for victim in plan.victims:
            if not victim.stop_reason:
                victim.stop_reason = (
                    f"{job_state.RECLAIMED} for {group.tasks[0]}"
                )
                self._state.order_group_stop(victim)

    def _report_preemption(
        self,
        group: job_state.Group,
        plan: preemption.PreemptionPlan,
        entitled: bool,
    ) -> None:
        victim_names = tuple(victim.tasks[0] for victim in plan.victims)
        account = group.job.spec.account
        workers = sorted(set(plan.workers))
        text = (
            f"{group.tasks[0]} reclaims {_list_some(workers)} for {account};"
            f" stopped: {_list_some(victim_names)}; {plan.cost:.0f}"
            " core-seconds lost."
        )
        self._state.queue_log_line(logs.Component.PLACE, text)
        self._state.record_evidence(
            evidence_records.CapacityReclaimed(
                group.tasks[0], account, entitled, victim_names
            )
        )

    def _find_victims(
        self, workers: list[fleet.Worker], entitled: bool
    ) -> tuple[dict[str, list[job_state.Group]], set[job_state.Group]]:
        """Return the groups on each worker that may be stopped.

        Groups within their account's guarantee are protected, and so are
        those with a disruption budget.

        :param entitled: urgent groups may be stopped as well.
        :return: those groups, and the urgent ones among them.
        """
        protected = self._find_protected()
        victims: dict[str, list[job_state.Group]] = {}
        urgent: set[job_state.Group] = set()
        for worker in workers:
            groups: dict[job_state.Group, None] = {}
            for run in worker.allocations:
                group = self._state.find_group(run)
                if group is None or group.phase != job_state.ASSIGNED:
                    continue
                is_urgent = (
                    self._state.queue_policy_of(group.job).priority == 0
                )
                if group in protected or (is_urgent and not entitled):
                    continue
                if not group.spec.may_miss:
                    groups[group] = None
                    if is_urgent:
                        urgent.add(group)
            victims[worker.name] = list(groups)
        return victims, urgent

    def _find_protected(self) -> set[job_state.Group]:
        """Return the groups that guarantees cover, oldest jobs first."""
        state = self._state
        protected, _ = state.accounts.find_covered_groups(
            state.jobs.values(), state.workers
        )
        usage = guarantees.GuaranteeUsage(state.policy.guaranteed_gpus)
        for job in state.jobs.values():
            if state.queue_policy_of(job).priority != 0:
                continue
            for group in job.groups():
                if group.phase != job_state.ASSIGNED or group.stop_reason:
                    continue
                if usage.covers(group):
                    usage.add(group)
                    protected.add(group)
        return protected


def _list_some(names: Sequence[str]) -> str:
    """Return the first names, and how many more there are."""
    listed = ", ".join(names[:_MAX_LISTED]) or "none"
    more = len(names) - _MAX_LISTED
    return f"{listed} and {more} more" if more > 0 else listed
