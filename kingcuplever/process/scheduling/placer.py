"""Runs a scheduling cycle: its phases over the ready queue, in order.

Each phase has a module: the snapshot of the workers (``snapshot``), the filter
of those that may run a group (``worker_filter``), the scores and the choice
among them (``scoring``, ``placement``), reservations (``reserver``),
preemptions (``preemptor``) and the bind of a group to its workers
(``binder``).
"""

from collections.abc import Collection
from collections.abc import Sequence
import functools
from typing import Final

from kingcuplever.process.scheduling import accounts
from kingcuplever.process.scheduling import binder
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import preemptor
from kingcuplever.process.scheduling import ready_queue
from kingcuplever.process.scheduling import reservation
from kingcuplever.process.scheduling import reserver
from kingcuplever.process.scheduling import scheduler_state
from kingcuplever.process.scheduling import scheduling_cycle
from kingcuplever.process.scheduling import snapshot
from kingcuplever.process.scheduling import ticketed_starts
from kingcuplever.process.scheduling import worker_filter

_HOUR_S: Final = 3600.0


class Placer:
    """Places the groups of the ready queue.

    :ivar wait_reasons: why a group is not placed yet, by its first task.
    """

    def __init__(self, state: scheduler_state.SchedulerState) -> None:
        """Use the scheduler's shared state."""
        self.wait_reasons: dict[str, str] = {}
        self._state = state
        self._preemptor = preemptor.Preemptor(state)
        self._reserver = reserver.Reserver(state, self._preemptor)

    def place_all(self, now: float) -> None:
        """Run one scheduling cycle over the ready queue."""
        usable, free = snapshot.take_snapshot(self._state, now)
        self._preemptor.subtract_preempted(free, now)
        cycle = scheduling_cycle.SchedulingCycle(
            self._state, usable, free, now
        )
        self.wait_reasons.clear()
        contain = self._state.barrier.contain
        steps = self._state.ready_queue.sort_steps(self._queue_rank)
        for groups in steps:
            first = ready_queue.oldest_group(groups)
            if self._state.accounts.has_guarantees(first.job.spec):
                with contain("placement in own cells", first.step_name):
                    self._place_in_own_cells(groups, cycle)
        self._place_in_order(steps, cycle, usable)
        with contain("adopted starts", "all groups"):
            ticketed_starts.order_ticketed_starts(self._state, now)

    def _place_in_order(
        self,
        steps: Sequence[Collection[job_state.Group]],
        cycle: scheduling_cycle.SchedulingCycle,
        usable: list[fleet.Worker],
    ) -> None:
        """Place the steps, with headroom kept before what isn't urgent."""
        contain = self._state.barrier.contain
        pools_with_headroom: set[str] = set()
        for groups in steps:
            if not groups:
                continue
            first = ready_queue.oldest_group(groups)
            queue = self._state.queue_policy_of(first.job)
            if queue.priority and self._must_defer_lower_priority(
                steps, cycle
            ):
                return
            if queue.priority and queue.pool not in pools_with_headroom:
                pools_with_headroom.add(queue.pool)
                pool = [w for w in usable if w.pool == queue.pool]
                max_share = self._state.policy.max_headroom_share
                with contain("headroom", queue.pool):
                    self._state.headroom.reserve(
                        queue.pool, pool, cycle.free, max_share, cycle.now
                    )
            with contain("placement", first.step_name):
                self._place_step(groups, cycle)

    def _must_defer_lower_priority(
        self,
        steps: Sequence[Collection[job_state.Group]],
        cycle: scheduling_cycle.SchedulingCycle,
    ) -> bool:
        """Return whether non-urgent work has to wait for the warm-up's end.

        Until all workers have reported to a new owner, waiting urgent work
        may still fit on the ones to come.  Work placed on the first ones
        would have to be preempted for it.
        """
        if self._state.is_warmed_up(cycle.now):
            return False
        # Steps are sorted by priority, so the first one that still has groups
        # shows whether urgent work waits.
        first = next(
            ready_queue.oldest_group(groups) for groups in steps if groups
        )
        return self._state.queue_policy_of(first.job).priority == 0

    def _place_in_own_cells(
        self,
        groups: Collection[job_state.Group],
        cycle: scheduling_cycle.SchedulingCycle,
    ) -> None:
        """Place a step's groups in the cells of their account.

        This comes before all other placement: neither headroom and
        reservations nor groups ahead in the queue may use those cells.
        """
        first = ready_queue.oldest_group(groups)
        eligible = cycle.find_eligible(
            first,
            self._state.queue_policy_of(first.job).pool,
            also_quarantined=True,
        )
        for group in [*groups]:
            if cycle.now < group.not_before or cycle.is_over_limit(group):
                return
            own_cells = cycle.free_own_cells(group)
            task_limits = accounts.count_tasks_in_cells(
                group, own_cells, eligible
            )
            if not task_limits:
                return
            placed = self._try_place(group, eligible, cycle, task_limits)
            if not placed and not group.must_run_alone:
                self._preemptor.preempt_in_cells(
                    group, eligible, cycle, task_limits
                )

    def _place_step(
        self,
        groups: Collection[job_state.Group],
        cycle: scheduling_cycle.SchedulingCycle,
    ) -> None:
        """Place the groups of one step, or set why they wait."""
        first = ready_queue.oldest_group(groups)
        queue = self._state.queue_policy_of(first.job)
        urgent = queue.priority == 0
        if urgent:
            cycle.ensure_urgent_counted()
        if not urgent and cycle.is_unplaceable(first, queue.pool):
            self._set_wait_reason(
                first, "not enough free capacity for all its tasks"
            )
            return
        eligible = cycle.find_eligible(first, queue.pool)
        if queue.needs_advice:
            eligible = worker_filter.select_ticketed(
                self._state, first, eligible, cycle.free, cycle.now
            )
        for group in [*groups]:
            if cycle.now < group.not_before:
                continue
            if not urgent and cycle.is_unplaceable(group, queue.pool):
                return
            if group in self._preemptor and not urgent:
                self._set_wait_reason(
                    group, "other work is being stopped for it"
                )
                continue
            if cycle.is_over_limit(group):
                self._set_wait_reason(
                    group, "its account or team is at a limit"
                )
                return
            placed = self._try_place(group, eligible, cycle)
            if not placed and group.must_run_alone:
                self._set_wait_reason(
                    group,
                    self._reserver.reserve_for_suspect(group, eligible, cycle),
                )
                if urgent and group in self._preemptor:
                    cycle.add_urgent(group)
                continue
            if not placed and urgent:
                placed = self._place_urgent(group, eligible, cycle)
            if urgent and (placed or group in self._preemptor):
                cycle.add_urgent(group)
            if placed:
                continue
            reason = self._reserver.reserve_for_starved(group, eligible, cycle)
            if reason:
                self._set_wait_reason(group, reason)
            if not urgent:
                if not queue.needs_advice:
                    cycle.mark_unplaceable(group, queue.pool)
                return

    def _place_urgent(
        self,
        group: job_state.Group,
        eligible: list[fleet.Worker],
        cycle: scheduling_cycle.SchedulingCycle,
    ) -> bool:
        """Preempt other work for an urgent group that finds no room.

        Where that can't serve a guarantee, quarantined workers may.

        :return: whether the group was placed on such workers.
        """
        self._preemptor.preempt_for_urgent(group, eligible, cycle)
        if not cycle.is_guaranteed(group):
            return False
        if not self._state.is_warmed_up(cycle.now):
            return False
        pool = self._state.queue_policy_of(group.job).pool
        all_eligible = cycle.find_eligible(group, pool, also_quarantined=True)
        sound = {worker.name for worker in eligible}
        if len(all_eligible) == len(sound):
            return False
        preempted = self._preemptor.preempted_workers(group)
        if preempted and sound.issuperset(preempted):
            return False
        if self._try_place(group, all_eligible, cycle):
            return True
        self._preemptor.preempt_for_urgent(group, all_eligible, cycle)
        return False

    def _set_wait_reason(self, group: job_state.Group, reason: str) -> None:
        self.wait_reasons[group.tasks[0]] = reason

    def _queue_rank(self, group: job_state.Group) -> ready_queue.Rank:
        job = group.job
        return (
            self._state.queue_policy_of(job).priority,
            job.submit_offset,
            group.step,
        )

    def _try_place(
        self,
        group: job_state.Group,
        eligible: list[fleet.Worker],
        cycle: scheduling_cycle.SchedulingCycle,
        task_limits: dict[str, int] | None = None,
    ) -> bool:
        """Place one group if there is enough free capacity.

        :param task_limits: most tasks on each worker, for a placement in
            the account's own cells.  These may be in several racks, so a
            slow placement is allowed.
        :return: whether the group was placed.
        """
        free, now = cycle.free, cycle.now
        if group.must_run_alone:
            eligible = cycle.isolation.select_workers(group, eligible)
        self._preemptor.add_back_preemption(group, free)
        allow_slow = self._may_place_slow(group, eligible, cycle)
        available = free
        if task_limits:
            allow_slow = True
            available = worker_filter.cap_by_tasks(
                free, task_limits, group.spec.resources
            )
            eligible = [
                worker for worker in eligible if worker.name in task_limits
            ]
        chosen = placement.choose_workers(
            group,
            eligible,
            available,
            functools.partial(cycle.count_step_tasks, group),
            allow_slow,
            self._make_preferences(group, eligible, now),
        )
        if chosen is None:
            self._preemptor.subtract_preemption(group, free)
            return False
        self._preemptor.finish(group)
        binder.bind(self._state, group, chosen, now)
        cycle.add_placed(group)
        for name in chosen.workers:
            free[name] = free[name].subtract(group.spec.resources)
        if group.must_run_alone:
            cycle.isolation.hold_workers(group)
        return True

    def _make_preferences(
        self,
        group: job_state.Group,
        eligible: list[fleet.Worker],
        now: float,
    ) -> placement.Preferences:
        """Return what orders the workers for a group."""
        state = self._state
        drain_rate = 0.0
        if group.spec.gang:
            drain_rate = state.policy.drains_per_hour / _HOUR_S
            drain_rate += state.departures.get_mean_drain_rate(eligible, now)
        return placement.Preferences(
            state.accounts.gpus_of_others(group.job.spec),
            functools.partial(state.score_worker, group, now=now),
            drain_rate,
        )

    def _may_place_slow(
        self,
        group: job_state.Group,
        eligible: list[fleet.Worker],
        cycle: scheduling_cycle.SchedulingCycle,
    ) -> bool:
        """Return whether a group may be placed in a rack where it is slow.

        In a busy pool the work may finish earlier by waiting for workers in
        the right rack, if there are any that could take it.
        """
        is_wait_over = cycle.is_locality_wait_over(group)
        if not is_wait_over and (
            group.must_run_alone or placement.can_be_local(group, eligible)
        ):
            return False
        if (
            not placement.is_locality_sensitive(group.spec)
            or cycle.is_mostly_free
        ):
            return True
        plan = reservation.plan_reservation(
            self._state, group, eligible, cycle.free, cycle.now
        )
        return plan is None or plan.slow
