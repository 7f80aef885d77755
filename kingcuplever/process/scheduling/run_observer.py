"""Passes what reports show of runs on to what learns from them."""

import math
from typing import Final
from typing import NamedTuple

from kingcuplever import logs
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import host_speed
from kingcuplever.process.scheduling import interference
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import scheduler_state

# A run is compared with others once it has progressed by so many points: by
# then rounding matters less than the differences between tasks.
_COMPARED_POINTS: Final = 8
# Standard deviations of the logarithms of run times on equal hosts: of the
# tasks of a step, and of the members of a gang, which share their work.
_TASK_SPREAD: Final = 0.2
_MEMBER_SPREAD: Final = 0.05
# Members of one gang whose logarithms of run times differ by more than
# rounding explains show their own progress.
_OWN_RATES: Final = 0.25
# Members of a gang with which each of the others is compared.
_MAX_COMPARED_MEMBERS: Final = 64


class ListedRun(NamedTuple):
    """A current run in a worker's list.

    :ivar member: index of the task within the group.
    """

    group: job_state.Group
    member: int
    row: fleet.RunningTask


class RunObserver:
    """Observes the runs that workers report."""

    def __init__(self, state: scheduler_state.SchedulerState) -> None:
        """Use the state that the scheduler's parts share."""
        self._state = state
        self._gangs_show_own_rates = False

    def note_worker(self, worker: fleet.Worker) -> None:
        """Note which worker is on a host."""
        self._state.host_speeds.note_worker(
            worker.side, _kind_of(worker), worker.name
        )

    def observe_list(
        self, worker: fleet.Worker, listed: list[ListedRun], now: float
    ) -> None:
        """Observe a worker's list of tasks."""
        for group, member, _ in listed:
            self._compare_hosts(worker, group, member, now)
        rows = [
            interference.Listed(
                fleet.RunId(row.task, row.run),
                group.kind,
                row.percent,
                row.usage,
                group.spec.target_ms,
            )
            for group, _, row in listed
        ]
        self._state.interference.observe_list(
            worker.name, rows, worker.clock_ms, worker.pace_percent, now
        )

    def _compare_hosts(
        self,
        worker: fleet.Worker,
        group: job_state.Group,
        index: int,
        now: float,
    ) -> None:
        """Compare a member's run once its progress shows how long it takes."""
        measured = group.member_progress[index]
        if measured.is_compared or measured.points < _COMPARED_POINTS:
            return
        run_s = measured.run_s
        if not run_s:
            return
        measured.is_compared = True
        if group.spec.data_rack not in ("", worker.rack):
            # Away from its data it is slow on any host.
            return
        if not index:
            spec = group.job.spec
            declared_s = group.spec.estimate_ms / 1000
            self._state.run_times.record(
                spec.queue, spec.account, declared_s, run_s
            )
        is_gang = len(group.tasks) > 1
        if is_gang and not self._shows_own_rates(group, index, run_s):
            return
        comparison = host_speed.Comparison(
            worker.side,
            _kind_of(worker),
            group.step_name,
            run_s,
            measured.log_variance,
            _MEMBER_SPREAD if is_gang else _TASK_SPREAD,
        )
        self._state.host_speeds.compare(comparison, now, self._state.wall_ms)

    def _shows_own_rates(
        self, group: job_state.Group, index: int, run_s: float
    ) -> bool:
        """Return whether gangs report the progress of each member by itself.

        Where all members of a gang show its common progress, their rates say
        nothing of their hosts.
        """
        if not self._gangs_show_own_rates:
            # All pairs of a large gang would take long.
            stride = -(-len(group.tasks) // _MAX_COMPARED_MEMBERS)
            for other in range(0, len(group.tasks), stride):
                measured = group.member_progress.get(other)
                if (
                    measured is not None
                    and measured.is_compared
                    and min(measured.run_s, run_s) > 0
                    and group.assigned_workers[other]
                    != group.assigned_workers[index]
                    and abs(math.log(measured.run_s / run_s)) > _OWN_RATES
                ):
                    self._gangs_show_own_rates = True
                    text = f"Members of {group.tasks[0]} show own rates."
                    self._state.queue_log_line(logs.Component.TASK, text)
                    break
        return self._gangs_show_own_rates


def _kind_of(worker: fleet.Worker) -> str:
    return worker.labels[0] if worker.labels else ""
