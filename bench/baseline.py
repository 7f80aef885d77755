"""The baseline scheduler: first fit, with guarantees as plain quotas.

A task goes to the first worker with enough free accelerators.  As many
accelerators as an account is guaranteed stay reserved for it, but not as
whole cells.  Jobs start at once, without reports and orders in between, which
favours the baseline.
"""

import heapq
import itertools

from bench import workload
from kingcuplever import intents
from kingcuplever.process.scheduling import fragmentation


class _Worker:
    """A worker.

    :ivar free: number of its free accelerators.
    """

    def __init__(self) -> None:
        self.free = workload.WORKER_GPUS


class FirstFit:
    """Runs a workload, trying to place jobs in the order of their arrival.

    :ivar started: start times of jobs by name, in seconds of the run.
    :ivar ended: end times of jobs by name, in seconds of the run.
    :ivar fragmentation_samples: fragmentation by task size in accelerators.
    """

    def __init__(
        self,
        workers: list[workload.WorkerLocation],
        accounts: tuple[intents.AccountSpec, ...],
    ) -> None:
        """Start with every worker free."""
        self._workers = [_Worker() for _ in workers]
        self._guaranteed_gpus = {
            spec.account: sum(_count_gpus(item) for item in spec.guarantees)
            for spec in accounts
        }
        self._used_by: dict[str, int] = dict.fromkeys(self._guaranteed_gpus, 0)
        self._queue: list[workload.Arrival] = []
        self._job_ends: list[
            tuple[float, int, str, list[tuple[_Worker, int]]]
        ] = []
        self._numbers = itertools.count()
        self._usage_by_job: dict[str, tuple[str, int]] = {}
        self.started: dict[str, float] = {}
        self.ended: dict[str, float] = {}
        self.fragmentation_samples: dict[int, list[float]] = {
            2: [],
            4: [],
            8: [],
        }

    def run(self, arrivals: list[workload.Arrival], until: float) -> None:
        """Run a whole workload.

        :param until: duration of the run in seconds.
        """
        waiting = sorted(arrivals, key=lambda item: item.at)
        now = 0.0
        sample_at = 0.0
        while now < until:
            times = [until]
            if waiting:
                times.append(waiting[0].at)
            if self._job_ends:
                times.append(self._job_ends[0][0])
            now = min(times)
            while sample_at <= now:
                self._sample_fragmentation()
                sample_at += workload.SAMPLE_INTERVAL_S
            while waiting and waiting[0].at <= now:
                self._queue.append(waiting.pop(0))
            while self._job_ends and self._job_ends[0][0] <= now:
                self._end_job(heapq.heappop(self._job_ends))
            self._place_queued_jobs(now)

    def _place_queued_jobs(self, now: float) -> None:
        unplaced = []
        for arrival in self._queue:
            if not self._try_start(arrival, now):
                unplaced.append(arrival)
        self._queue = unplaced

    def _try_start(self, arrival: workload.Arrival, now: float) -> bool:
        spec = arrival.spec
        gpus = spec.tasks * spec.shape.gpus
        if not self._is_within_quota(spec.account, gpus):
            return False
        chosen: list[_Worker] = []
        for worker in self._workers:
            free = worker.free
            while free >= spec.shape.gpus and len(chosen) < spec.tasks:
                chosen.append(worker)
                free -= spec.shape.gpus
            if len(chosen) == spec.tasks:
                break
        if len(chosen) < spec.tasks:
            return False
        for worker in chosen:
            worker.free -= spec.shape.gpus
        allocation = [(worker, spec.shape.gpus) for worker in chosen]
        self._used_by[spec.account] += gpus
        self.started[spec.job] = now
        end = now + arrival.seconds
        number = next(self._numbers)
        heapq.heappush(self._job_ends, (end, number, spec.job, allocation))
        self._usage_by_job[spec.job] = (spec.account, gpus)
        return True

    def _is_within_quota(self, account: str, gpus: int) -> bool:
        """Whether the unused guarantees of other accounts stay free."""
        free = sum(worker.free for worker in self._workers)
        reserved = sum(
            max(0, self._guaranteed_gpus[other] - self._used_by[other])
            for other in self._guaranteed_gpus
            if other != account
        )
        return free - gpus >= reserved

    def _end_job(
        self, job_end: tuple[float, int, str, list[tuple[_Worker, int]]]
    ) -> None:
        at, _, job, allocation = job_end
        for worker, gpus in allocation:
            worker.free += gpus
        account, used = self._usage_by_job.pop(job)
        self._used_by[account] -= used
        self.ended[job] = at

    def _sample_fragmentation(self) -> None:
        free = [worker.free for worker in self._workers]
        for size, samples in self.fragmentation_samples.items():
            if any(free):
                samples.append(fragmentation.compute_share(free, size))


def _count_gpus(guarantee: intents.Guarantee) -> int:
    return guarantee.cells * intents.LEVEL_GPUS.get(
        guarantee.level, workload.WORKER_GPUS
    )
