"""Phase reserve: keeps workers for waiting groups that would starve."""

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import preemptor
from kingcuplever.process.scheduling import reservation
from kingcuplever.process.scheduling import scheduler_state
from kingcuplever.process.scheduling import scheduling_cycle


class Reserver:
    """Reserves workers within a cycle; says why the group still waits."""

    def __init__(
        self,
        state: scheduler_state.SchedulerState,
        preemptions: preemptor.Preemptor,
    ) -> None:
        """Use the scheduler's shared state and its open preemptions."""
        self._state = state
        self._preemptor = preemptions

    def reserve_for_suspect(
        self,
        group: job_state.Group,
        eligible: list[fleet.Worker],
        cycle: scheduling_cycle.SchedulingCycle,
    ) -> str:
        """Preempt other work, or reserve workers, for a waiting suspect.

        :return: why the group waits.
        """
        if self._state.queue_policy_of(group.job).priority == 0:
            usable = cycle.isolation.select_workers(group, eligible)
            self._preemptor.preempt_for_urgent(group, usable, cycle)
        reserved: tuple[str, ...] = ()
        if group not in self._preemptor:
            reserved = cycle.isolation.reserve_workers(group, eligible)
        return (
            "it runs alone next, as a worker crashed under it;"
            f" reserved: {', '.join(reserved) or 'no worker'}"
        )

    def reserve_for_starved(
        self,
        group: job_state.Group,
        eligible: list[fleet.Worker],
        cycle: scheduling_cycle.SchedulingCycle,
    ) -> str:
        """Reserve workers for a group that has waited too long.

        Workers are reserved for urgent work without that wait: lower-priority
        work placed there would hold the capacity for longer than the
        urgent job may take.  While more than half of the accelerators are
        free it waits like other work, so that they don't stay idle for it.

        :return: why the group waits; empty if a preemption is open for it.
        """
        if group in self._preemptor:
            return ""
        urgent = self._state.queue_policy_of(group.job).priority == 0
        waited_s = self._state.get_wait_s(group, cycle.now)
        may_wait = waited_s <= self._state.policy.starvation_s
        if may_wait and (not urgent or cycle.is_mostly_free):
            return "not enough free capacity for all its tasks"
        plan = reservation.plan_reservation(
            self._state, group, eligible, cycle.free, cycle.now
        )
        reserved = () if plan is None else plan.workers
        for name in reserved:
            cycle.free[name] = cycle.free[name].subtract(group.spec.resources)
        return f"capacity is reserved on {', '.join(reserved) or 'no worker'}"
