"""Keeps room for urgent work that is likely to come.

Stopping other work to make room takes up to a second and throws work away;
urgent work is short and its objective tight.  While urgent jobs keep coming,
room for one like those of late stays out of reach of work that can wait.
"""

import collections
from collections.abc import Iterable
import statistics
from typing import Final
from typing import NamedTuple

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import placement

# Urgent jobs that came longer ago say nothing of the next one.
_ARRIVAL_WINDOW_S: Final = 30.0
# The next job is taken to be like the middle one of so many.
_ARRIVALS_KEPT: Final = 5


class _Arrival(NamedTuple):
    """One urgent job, by what its first step needs."""

    at: float
    need: model.Resources
    tasks: int

    @property
    def gpus(self) -> int:
        """Accelerators of all its tasks."""
        return self.need.gpus * self.tasks


class Headroom:
    """The urgent jobs of late in each pool."""

    def __init__(self) -> None:
        """Expect none."""
        self._seen: dict[str, collections.deque[_Arrival]] = {}

    def record_arrival(
        self, pool: str, spec: model.StepSpec, tasks: int, now: float
    ) -> None:
        """An urgent job has come.

        :param spec: its first step.
        """
        seen = self._seen.setdefault(
            pool, collections.deque(maxlen=_ARRIVALS_KEPT)
        )
        seen.append(_Arrival(now, spec.resources, tasks))

    def reserve(
        self,
        pool: str,
        workers: Iterable[fleet.Worker],
        rooms: placement.FreeResources,
        max_share: float,
        now: float,
    ) -> None:
        """Take room for the next urgent job out of what is free.

        Nothing is taken while half of the pool is free: there is room for
        both.

        :param workers: those of the pool that can take work.
        :param part: of their accelerators, at most.
        """
        typical = self._typical_arrival(pool, now)
        if typical is None:
            return
        here = [worker for worker in workers if not worker.draining]
        whole = sum(worker.capacity.gpus for worker in here)
        free = sum(max(0, rooms[worker.name].gpus) for worker in here)
        if free * 2 >= whole:
            return
        most = int(whole * max_share) // max(1, typical.need.gpus)
        tasks = min(typical.tasks, most)
        by_rack: dict[str, list[fleet.Worker]] = {}
        for worker in here:
            by_rack.setdefault(worker.rack, []).append(worker)
        best = max(
            by_rack.values(),
            key=lambda rack: _count_fitting_tasks(rack, rooms, typical.need),
            default=[],
        )
        for _ in range(tasks if best else 0):
            worker = _choose_worker(best, rooms, typical.need)
            rooms[worker.name] = rooms[worker.name].subtract(typical.need)

    def _typical_arrival(self, pool: str, now: float) -> _Arrival | None:
        seen = self._seen.get(pool)
        recent = [
            one for one in seen or () if now - one.at <= _ARRIVAL_WINDOW_S
        ]
        if len(recent) < 2:
            return None
        middle = statistics.median_low(one.gpus for one in recent)
        return next(one for one in reversed(recent) if one.gpus == middle)


def _choose_worker(
    workers: list[fleet.Worker],
    rooms: placement.FreeResources,
    need: model.Resources,
) -> fleet.Worker:
    """Choose where one task has least room to spare.

    Whole workers stay whole for work that needs them.  Where it fits nowhere
    it is the emptiest worker, which gets room as its tasks end.
    """
    fitting = [w for w in workers if need.fits_into(rooms[w.name])]
    if fitting:
        return min(fitting, key=lambda worker: rooms[worker.name].gpus)
    return max(workers, key=lambda worker: rooms[worker.name].gpus)


def _count_fitting_tasks(
    workers: list[fleet.Worker],
    rooms: placement.FreeResources,
    need: model.Resources,
) -> int:
    """Count the tasks that fit on some workers now."""
    return sum(
        min(
            _count_fits(need.gpus, rooms[worker.name].gpus),
            _count_fits(need.cpu_milli, rooms[worker.name].cpu_milli),
            _count_fits(need.memory_mb, rooms[worker.name].memory_mb),
        )
        for worker in workers
    )


def _count_fits(part: int, whole: int) -> int:
    return max(0, whole) // part if part else 1_000
