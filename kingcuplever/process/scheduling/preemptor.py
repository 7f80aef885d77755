"""Room that is being cleared for work that a guarantee or urgency covers.

A claim names the workers that a group will use; what stands there is being
stopped, and the room is kept until the group is placed.
"""

from typing import Final
from typing import NamedTuple

from kingcuplever import logs
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import preemption
from kingcuplever.process.scheduling import scheduler_state as books
from kingcuplever.process.scheduling import scheduling_cycle as looks
from kingcuplever.process.stored import evidence_records

# Work, in core-seconds, that may be thrown away for an urgent group that no
# guarantee covers; a few seconds of one whole worker.
_MAX_URGENT_COST_CORE_S: Final = 600.0
# A plan to reclaim room is given up when its victims are not gone by then.
_PREEMPTION_TIMEOUT_S: Final = 3.0


class _Preemption(NamedTuple):
    workers: tuple[str, ...]
    started_at: float


class Preemptor:
    """All claims that are open."""

    def __init__(self, book: books.SchedulerState) -> None:
        """Work on a shared book."""
        self._book = book
        self._preemptions: dict[job_state.Group, _Preemption] = {}

    def __contains__(self, group: job_state.Group) -> bool:
        """Tell whether room is being cleared for a group."""
        return group in self._preemptions

    def subtract_preempted(
        self, rooms: placement.FreeResources, now: float
    ) -> None:
        """Take claimed room out of what is free; drop failed claims."""
        for group, claim in [*self._preemptions.items()]:
            overdue = now - claim.started_at > _PREEMPTION_TIMEOUT_S
            leaving = not all(
                name in rooms and self._book.workers[name].is_schedulable
                for name in claim.workers
            )
            if group not in self._book.ready_queue or overdue or leaving:
                del self._preemptions[group]
            else:
                self.subtract_preemption(group, rooms)

    def subtract_preemption(
        self, group: job_state.Group, rooms: placement.FreeResources
    ) -> None:
        """Take a group's claimed room out of what is free."""
        for name in self._preempted_workers(group):
            rooms[name] = rooms[name].subtract(group.spec.resources)

    def add_back_preemption(
        self, group: job_state.Group, rooms: placement.FreeResources
    ) -> None:
        """Let a group itself see the room that is claimed for it."""
        for name in self._preempted_workers(group):
            rooms[name] = rooms[name].add(group.spec.resources)

    def finish(self, group: job_state.Group) -> None:
        """A group is placed, and needs no claim any more."""
        self._preemptions.pop(group, None)

    def preempt_in_cells(
        self,
        group: job_state.Group,
        able: list[fleet.Worker],
        look: looks.SchedulingCycle,
        counts: dict[str, int],
    ) -> None:
        """Clear an account's own cells for a group that they cover.

        :param counts: most tasks on each worker that has such cells.
        """
        if group not in self._preemptions and self._book.is_warmed_up(
            look.now
        ):
            workers = [worker for worker in able if worker.name in counts]
            self._preempt(group, workers, look, float("inf"), counts)

    def preempt_for_urgent(
        self,
        group: job_state.Group,
        able: list[fleet.Worker],
        look: looks.SchedulingCycle,
    ) -> None:
        """Clear room for an urgent group: dear only within its guarantee."""
        if group in self._preemptions or not self._book.is_warmed_up(look.now):
            # A new owner may not have heard yet of room that is free.
            return
        account = group.job.spec.account
        promised = self._book.policy.guaranteed_gpus.get(account, 0)
        entitled = look.count_urgent_gpus(account) + group.gpus <= promised
        most = float("inf") if entitled else _MAX_URGENT_COST_CORE_S
        self._preempt(group, able, look, most, {})

    def _preempted_workers(self, group: job_state.Group) -> tuple[str, ...]:
        claim = self._preemptions.get(group)
        return () if claim is None else claim.workers

    def _preempt(
        self,
        group: job_state.Group,
        able: list[fleet.Worker],
        look: looks.SchedulingCycle,
        most: float,
        counts: dict[str, int],
    ) -> None:
        """Stop the cheapest work whose room a group needs.

        :param most: core-seconds of work that may be thrown away.
        :param counts: most tasks on each worker; empty for no limit.
        """
        entitled = most == float("inf")
        victims = self._find_victims(able, entitled)
        search = preemption.PreemptionSearch(look.free, victims, look.now)
        plan = search.find_cheapest(group, able, counts)
        if plan is None or plan.cost > most:
            return
        self._preemptions[group] = _Preemption(plan.workers, look.now)
        self.subtract_preemption(group, look.free)
        self._report_preemption(group, plan, entitled)
        for victim in plan.victims:
            if not victim.stop_reason:
                victim.stop_reason = f"reclaimed for {group.tasks[0]}"
                victim.job.evictions += 1
                self._book.order_group_stop(victim)

    def _report_preemption(
        self,
        group: job_state.Group,
        plan: preemption.PreemptionPlan,
        entitled: bool,
    ) -> None:
        names = tuple(victim.tasks[0] for victim in plan.victims)
        account = group.job.spec.account
        text = (
            f"{group.tasks[0]} reclaims {', '.join(sorted(set(plan.workers)))}"
            f" for {account}; stopped: {', '.join(names) or 'none'};"
            f" {plan.cost:.0f} core-seconds lost."
        )
        self._book.queue_log_line(logs.Component.PLACE, text)
        self._book.record_evidence(
            evidence_records.CapacityReclaimed(
                group.tasks[0], account, entitled, names
            )
        )

    def _find_victims(
        self, workers: list[fleet.Worker], entitled: bool
    ) -> dict[str, list[job_state.Group]]:
        """Give the groups on each worker that may be stopped.

        Work within its account's guarantee is spared, and so is work whose
        tasks may not be away.

        :param entitled: urgent work may be stopped as well.
        """
        spared = self._find_protected()
        victims: dict[str, list[job_state.Group]] = {}
        for worker in workers:
            groups: dict[job_state.Group, None] = {}
            for run in worker.allocations:
                group = self._book.find_group(run)
                if group is None or group.phase != job_state.ASSIGNED:
                    continue
                urgent = self._book.queue_policy_of(group.job).priority == 0
                if group in spared or (urgent and not entitled):
                    continue
                if not group.spec.may_miss:
                    groups[group] = None
            victims[worker.name] = list(groups)
        return victims

    def _find_protected(self) -> set[job_state.Group]:
        """Give the groups that guarantees cover, the oldest first."""
        book = self._book
        spared, _ = book.accounts.find_covered_groups(
            book.jobs.values(), book.workers
        )
        left = dict(book.policy.guaranteed_gpus)
        for job in book.jobs.values():
            if book.queue_policy_of(job).priority != 0:
                continue
            account = job.spec.account
            for group in job.groups():
                if group.phase != job_state.ASSIGNED or group.stop_reason:
                    continue
                if group.gpus <= left.get(account, 0):
                    left[account] -= group.gpus
                    spared.add(group)
        return spared
