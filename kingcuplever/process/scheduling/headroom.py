"""Keeps capacity free for urgent jobs that are likely to arrive.

Preempting other work takes up to a second and loses work, while urgent jobs
are short and have tight objectives.  As long as urgent jobs keep arriving,
capacity for those that are likely to come before a preemption could make
room, each like the recent ones, is withheld from lower priorities.
"""

import bisect
import collections
from collections.abc import Iterable
import statistics
from typing import Final
from typing import NamedTuple

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import placement

# Older arrivals don't predict the next one.
_ARRIVAL_WINDOW_S: Final = 30.0
# The next urgent job is assumed to be like the median of the newest ones.
_TYPICAL_ARRIVALS: Final = 5
# Bounds the memory and time of a burst.
_ARRIVALS_KEPT: Final = 100
# Time until a preemption has made room: the stop, its report and the start.
_RECLAIM_S: Final = 1.0
# Bounds the count where a request is empty.
_MAX_FITTING: Final = 1_000
# Quantile of the arrivals within that time that capacity is kept for.
_ARRIVALS_QUANTILE: Final = 0.9


class _Arrival(NamedTuple):
    """The arrival of an urgent job, with its first step's requirements."""

    arrived_at: float
    request: model.Resources
    tasks: int

    @property
    def gpus(self) -> int:
        """Accelerators of all its tasks."""
        return self.request.gpus * self.tasks


class Headroom:
    """The recent arrivals of urgent jobs in each pool."""

    def __init__(self) -> None:
        """Start without arrivals."""
        self._arrivals: dict[str, collections.deque[_Arrival]] = {}

    def record_arrival(
        self, pool: str, spec: model.StepSpec, tasks: int, now: float
    ) -> None:
        """Record the arrival of an urgent job.

        :param spec: its first step.
        """
        arrivals = self._arrivals.setdefault(
            pool, collections.deque(maxlen=_ARRIVALS_KEPT)
        )
        arrivals.append(_Arrival(now, spec.resources, tasks))

    def expects_arrivals(self, pool: str, now: float) -> bool:
        """Return whether urgent jobs have arrived in a pool of late."""
        arrivals = self._arrivals.get(pool)
        if not arrivals:
            return False
        return now - arrivals[-1].arrived_at <= _ARRIVAL_WINDOW_S

    def reserve(
        self,
        pool: str,
        workers: Iterable[fleet.Worker],
        free: placement.FreeResources,
        max_share: float,
        now: float,
    ) -> None:
        """Subtract capacity for the next urgent jobs from the free resources.

        Nothing is reserved while at least half of the pool's accelerators
        are free, since both kinds of work fit then.

        :param workers: workers of the pool whose last report is recent.
        :param free: free resources by worker, modified in place.
        :param max_share: most that is reserved, as a share of the pool's
            accelerators.
        """
        typical = self._typical_arrival(pool, now)
        if typical is None:
            return
        staying = [worker for worker in workers if worker.is_schedulable]
        total_gpus = sum(worker.capacity.gpus for worker in staying)
        free_gpus = sum(max(0, free[worker.name].gpus) for worker in staying)
        if free_gpus * 2 >= total_gpus:
            return
        max_tasks = int(total_gpus * max_share) // max(1, typical.request.gpus)
        by_rack: dict[str, list[fleet.Worker]] = {}
        for worker in staying:
            by_rack.setdefault(worker.rack, []).append(worker)
        for _ in range(self._count_likely_arrivals(pool, now)):
            tasks = min(typical.tasks, max_tasks)
            max_tasks -= tasks
            best_rack = max(
                by_rack.values(),
                key=lambda rack: _count_fitting_tasks(
                    rack, free, typical.request
                ),
                default=[],
            )
            for _ in range(tasks if best_rack else 0):
                worker = _choose_worker(best_rack, free, typical.request)
                free[worker.name] = free[worker.name].subtract(typical.request)

    def _recent_arrivals(self, pool: str, now: float) -> list[_Arrival]:
        return [
            arrival
            for arrival in self._arrivals.get(pool, ())
            if now - arrival.arrived_at <= _ARRIVAL_WINDOW_S
        ]

    def _count_likely_arrivals(self, pool: str, now: float) -> int:
        """Count the urgent jobs likely to arrive within one preemption.

        The count is a quantile over the recent arrivals of how many came
        with each or soon after it.
        """
        times = [item.arrived_at for item in self._recent_arrivals(pool, now)]
        counts = sorted(
            bisect.bisect_right(times, at + _RECLAIM_S) - index
            for index, at in enumerate(times)
        )
        return counts[int(len(counts) * _ARRIVALS_QUANTILE)] if counts else 0

    def _typical_arrival(self, pool: str, now: float) -> _Arrival | None:
        recent = self._recent_arrivals(pool, now)[-_TYPICAL_ARRIVALS:]
        if len(recent) < 2:
            return None
        median_gpus = statistics.median_low(arrival.gpus for arrival in recent)
        return next(
            arrival
            for arrival in reversed(recent)
            if arrival.gpus == median_gpus
        )


def _choose_worker(
    workers: list[fleet.Worker],
    free: placement.FreeResources,
    request: model.Resources,
) -> fleet.Worker:
    """Choose the worker that fits a task most tightly.

    This keeps empty workers for tasks that need a whole one.  If the task
    fits nowhere, the worker with most free accelerators is chosen: capacity
    is withheld there as its tasks end.
    """
    fitting = [w for w in workers if request.fits_into(free[w.name])]
    if fitting:
        return min(fitting, key=lambda worker: free[worker.name].gpus)
    return max(workers, key=lambda worker: free[worker.name].gpus)


def _count_fitting_tasks(
    workers: list[fleet.Worker],
    free: placement.FreeResources,
    request: model.Resources,
) -> int:
    """Count the tasks that fit into the workers' free resources."""
    return sum(
        request.count_fits(free[worker.name], _MAX_FITTING)
        for worker in workers
    )
