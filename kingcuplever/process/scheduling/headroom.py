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
_WINDOW_S: Final = 30.0
# The next job is taken to be like the middle one of so many.
_JOBS: Final = 5


class _Seen(NamedTuple):
    """One urgent job, by what its first step needs."""

    at: float
    need: model.Need
    tasks: int

    @property
    def gpus(self) -> int:
        """Accelerators of all its tasks."""
        return self.need.gpus * self.tasks


class Headroom:
    """The urgent jobs of late in each pool."""

    def __init__(self) -> None:
        """Expect none."""
        self._seen: dict[str, collections.deque[_Seen]] = {}

    def note(
        self, pool: str, spec: model.StepSpec, tasks: int, now: float
    ) -> None:
        """An urgent job has come.

        :param spec: its first step.
        """
        seen = self._seen.setdefault(pool, collections.deque(maxlen=_JOBS))
        seen.append(_Seen(now, spec.need, tasks))

    def keep(
        self,
        pool: str,
        workers: Iterable[fleet.Worker],
        rooms: placement.Rooms,
        part: float,
        now: float,
    ) -> None:
        """Take room for the next urgent job out of what is free.

        Nothing is taken while half of the pool is free: there is room for
        both.

        :param workers: those of the pool that can take work.
        :param part: of their accelerators, at most.
        """
        typical = self._typical(pool, now)
        if typical is None:
            return
        here = [worker for worker in workers if not worker.draining]
        whole = sum(worker.capacity.gpus for worker in here)
        free = sum(max(0, rooms[worker.name].gpus) for worker in here)
        if free * 2 >= whole:
            return
        most = int(whole * part) // max(1, typical.need.gpus)
        tasks = min(typical.tasks, most)
        by_rack: dict[str, list[fleet.Worker]] = {}
        for worker in here:
            by_rack.setdefault(worker.rack, []).append(worker)
        best = max(
            by_rack.values(),
            key=lambda rack: _count(rack, rooms, typical.need),
            default=[],
        )
        for _ in range(tasks if best else 0):
            worker = _choose(best, rooms, typical.need)
            rooms[worker.name] = rooms[worker.name].minus(typical.need)

    def _typical(self, pool: str, now: float) -> _Seen | None:
        seen = self._seen.get(pool)
        recent = [one for one in seen or () if now - one.at <= _WINDOW_S]
        if len(recent) < 2:
            return None
        middle = statistics.median_low(one.gpus for one in recent)
        return next(one for one in reversed(recent) if one.gpus == middle)


def _choose(
    workers: list[fleet.Worker], rooms: placement.Rooms, need: model.Need
) -> fleet.Worker:
    """Choose where one task has least room to spare.

    Whole workers stay whole for work that needs them.  Where it fits nowhere
    it is the emptiest worker, which gets room as its tasks end.
    """
    fitting = [w for w in workers if need.fits(rooms[w.name])]
    if fitting:
        return min(fitting, key=lambda worker: rooms[worker.name].gpus)
    return max(workers, key=lambda worker: rooms[worker.name].gpus)


def _count(
    workers: list[fleet.Worker], rooms: placement.Rooms, need: model.Need
) -> int:
    """Count the tasks that fit on some workers now."""
    return sum(
        min(
            _times(need.gpus, rooms[worker.name].gpus),
            _times(need.cpu_milli, rooms[worker.name].cpu_milli),
            _times(need.memory_mb, rooms[worker.name].memory_mb),
        )
        for worker in workers
    )


def _times(part: int, whole: int) -> int:
    return max(0, whole) // part if part else 1_000
