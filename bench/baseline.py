"""The baseline: first fit by free count, guarantees as plain quotas.

Walks the workers in order and takes any that have enough free accelerators,
adjacent or not.  An account's guaranteed count is kept free of others, but
nobody keeps its shape.  Starts at once, without any protocol, which favours
the baseline.
"""

import heapq
import itertools

from bench import workload
from kingcuplever.process import blocks
from kingcuplever import shapes


class _Worker:
    """One worker's free accelerators."""

    def __init__(self, shape: shapes.WorkerShape) -> None:
        self.gpus = shape.gpus
        self.used = 0

    @property
    def free(self) -> int:
        return self.gpus - self.used.bit_count()

    def take(self, count: int) -> int:
        """Take the lowest free accelerators."""
        mask = 0
        for number in range(self.gpus):
            bit = 1 << number
            if mask.bit_count() < count and not self.used & bit:
                mask |= bit
        self.used |= mask
        return mask


class FirstFit:
    """Places the jobs of a workload, first come first fitted."""

    def __init__(
        self,
        workers: list[shapes.WorkerShape],
        accounts: tuple[shapes.AccountSpec, ...],
    ) -> None:
        """Start with every worker free."""
        self._workers = [_Worker(shape) for shape in workers]
        self._kept = {
            spec.account: sum(_cell_gpus(item) for item in spec.guarantees)
            for spec in accounts
        }
        self._used_by: dict[str, int] = dict.fromkeys(self._kept, 0)
        self._queue: list[workload.Arrival] = []
        self._ends: list[tuple[float, int, str, list[tuple[_Worker, int]]]] = (
            []
        )
        self._numbers = itertools.count()
        self._account_of: dict[str, tuple[str, int]] = {}
        self.started: dict[str, float] = {}
        self.ended: dict[str, float] = {}
        self.samples: dict[int, list[float]] = {2: [], 4: [], 8: []}

    def run(self, arrivals: list[workload.Arrival], until: float) -> None:
        """Run the whole workload."""
        waiting = sorted(arrivals, key=lambda item: item.at)
        now = 0.0
        sample_at = 0.0
        while now < until:
            times = [until]
            if waiting:
                times.append(waiting[0].at)
            if self._ends:
                times.append(self._ends[0][0])
            now = min(times)
            while sample_at <= now:
                self._sample()
                sample_at += workload.SAMPLE_S
            while waiting and waiting[0].at <= now:
                self._queue.append(waiting.pop(0))
            while self._ends and self._ends[0][0] <= now:
                self._end(heapq.heappop(self._ends))
            self._place(now)

    def _place(self, now: float) -> None:
        left = []
        for arrival in self._queue:
            if not self._try(arrival, now):
                left.append(arrival)
        self._queue = left

    def _try(self, arrival: workload.Arrival, now: float) -> bool:
        spec = arrival.spec
        gpus = spec.tasks * spec.shape.gpus
        if not self._within_quota(spec.account, gpus):
            return False
        chosen: list[_Worker] = []
        for worker in self._workers:
            room = worker.free
            while room >= spec.shape.gpus and len(chosen) < spec.tasks:
                chosen.append(worker)
                room -= spec.shape.gpus
            if len(chosen) == spec.tasks:
                break
        if len(chosen) < spec.tasks:
            return False
        taken = [(worker, worker.take(spec.shape.gpus)) for worker in chosen]
        self._used_by[spec.account] += gpus
        self.started[spec.job] = now
        end = now + arrival.seconds
        number = next(self._numbers)
        heapq.heappush(self._ends, (end, number, spec.job, taken))
        self._account_of[spec.job] = (spec.account, gpus)
        return True

    def _within_quota(self, account: str, gpus: int) -> bool:
        """Leave the unused guaranteed count of others free."""
        free = sum(worker.free for worker in self._workers)
        kept = sum(
            max(0, self._kept[other] - self._used_by[other])
            for other in self._kept
            if other != account
        )
        return free - gpus >= kept

    def _end(
        self, ended: tuple[float, int, str, list[tuple[_Worker, int]]]
    ) -> None:
        at, _, job, taken = ended
        for worker, mask in taken:
            worker.used &= ~mask
        account, gpus = self._account_of.pop(job)
        self._used_by[account] -= gpus
        self.ended[job] = at

    def _sample(self) -> None:
        for size, samples in self.samples.items():
            free = sum(worker.free for worker in self._workers)
            usable = sum(
                size
                * blocks.capacity(
                    blocks.full_mask(worker.gpus) & ~worker.used,
                    worker.gpus,
                    size,
                )
                for worker in self._workers
            )
            if free:
                samples.append(1 - usable / free)


def _cell_gpus(guarantee: shapes.Guarantee) -> int:
    return guarantee.cells * shapes.LEVEL_GPUS.get(guarantee.level, 8)
