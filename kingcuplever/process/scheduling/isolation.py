"""Keeps groups under suspicion apart from all other work.

A suspect gets workers without other tasks, and nothing joins it there until
it is cleared.  Workers are reserved for one waiting suspect at a time.
One that waits for too long takes room beside tasks that have been at work for
a while; only it is new there then.  Too long is some time under little
suspicion, and longer for a task that lasts, the more the stronger the
suspicion is.  Other strong suspects wait as long as workers will become idle.
"""

from collections.abc import Iterable
import math
from typing import Final

from kingcuplever.process.scheduling import crash_attribution
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import scheduler_state

# Longest wait of a group under little suspicion for an idle worker.
_MAX_WAIT_S: Final = 2.0
# The same for a strong suspect, the factor for each further crash, and its
# bound.
_MAX_STRONG_WAIT_S: Final = 4.0
_STRONG_WAIT_FACTOR: Final = 4.0
_STRONG_WAIT_BOUND_S: Final = 60.0


class Isolation:
    """The workers of isolated groups in one scheduling cycle.

    :ivar held: free resources of each worker that are kept unused.
    """

    def __init__(
        self,
        state: scheduler_state.SchedulerState,
        free: placement.FreeResources,
        now: float,
    ) -> None:
        """Withhold the workers of isolated groups from all other groups.

        :param free: free resources by worker, modified in place.
        """
        self.held: dict[str, model.Resources] = {}
        self._state = state
        self._free = free
        self._now = now
        self._has_reserved = False
        for group in [*state.isolated_groups]:
            if group.phase == job_state.ASSIGNED and group.must_run_alone:
                self.hold_workers(group)
            else:
                del state.isolated_groups[group]

    def hold_workers(self, group: job_state.Group) -> None:
        """Withhold the workers of a group from all others."""
        self._state.isolated_groups[group] = None
        for name in {worker for worker in group.assigned_workers if worker}:
            if name in self._free and name not in self.held:
                self.held[name] = self._withhold(name)

    def select_workers(
        self, group: job_state.Group, eligible: Iterable[fleet.Worker]
    ) -> list[fleet.Worker]:
        """Return the workers that a group under suspicion may use now."""
        open_workers = [w for w in eligible if w.name not in self.held]
        waited_s = self._state.get_wait_s(group, self._now)
        if waited_s <= self._compute_max_wait_s(group, open_workers):
            return [worker for worker in open_workers if worker.is_idle]
        return [w for w in open_workers if self._has_only_settled_runs(w)]

    def _compute_max_wait_s(
        self, group: job_state.Group, workers: list[fleet.Worker]
    ) -> float:
        """Return how long a suspect waits for idle workers."""
        strength = crash_attribution.rate_suspect(group)
        if not strength:
            return _MAX_WAIT_S
        if not group.spec.long_running and self._choose_idle_first(
            group, workers
        ):
            return math.inf
        factor = _STRONG_WAIT_FACTOR ** (strength - 1)
        return min(_MAX_STRONG_WAIT_S * factor, _STRONG_WAIT_BOUND_S)

    def reserve_workers(
        self, group: job_state.Group, eligible: Iterable[fleet.Worker]
    ) -> tuple[str, ...]:
        """Reserve the workers that will be idle first for a waiting suspect.

        :return: their names; none if some are reserved for another group, or
            all of them don't suffice.
        """
        if self._has_reserved:
            return ()
        open_workers = [w for w in eligible if w.name not in self.held]
        chosen = self._choose_idle_first(group, open_workers)
        self._has_reserved = bool(chosen)
        for name in chosen:
            self._withhold(name)
        return chosen

    def _choose_idle_first(
        self, group: job_state.Group, workers: list[fleet.Worker]
    ) -> tuple[str, ...]:
        """Choose the workers that will be idle first and suffice for a group.

        :return: their names; none if too few will ever be idle.
        """
        request = group.spec.resources
        waits_s = {
            worker: wait_s
            for worker in workers
            if (wait_s := self._estimate_wait_s(worker)) < math.inf
        }
        chosen: list[str] = []
        missing = len(group.tasks)
        for worker in sorted(waits_s, key=lambda w: (waits_s[w], w.name)):
            if missing <= 0:
                break
            fitting = request.count_fits(worker.capacity, missing)
            missing -= fitting
            if fitting:
                chosen.append(worker.name)
        return () if missing > 0 else tuple(chosen)

    def _withhold(self, name: str) -> model.Resources:
        """Withhold what is free on a worker; return how much that is.

        What open preemptions lack there stays: they add their own part back.
        """
        free = self._free[name]
        self._free[name] = free.cap(model.NO_RESOURCES)
        return free.subtract(self._free[name])

    def _estimate_wait_s(self, worker: fleet.Worker) -> float:
        """Estimate the time until a worker has no tasks any more.

        Tasks that last are there for good.
        """
        groups = [self._state.find_group(run) for run in worker.allocations]
        return max(
            (
                (
                    math.inf
                    if group.spec.long_running
                    else group.estimate_remaining_s(self._now)
                )
                for group in groups
                if group is not None
            ),
            default=0.0,
        )

    def _has_only_settled_runs(self, worker: fleet.Worker) -> bool:
        """Return whether all tasks of a worker have been at work a while."""
        if worker.orphans:
            return False
        groups = [self._state.find_group(run) for run in worker.allocations]
        return not any(
            group is None or crash_attribution.is_fresh(group, self._now)
            for group in groups
        )
