"""Orders the queue, and keeps space for jobs that would starve.

Urgent work goes first.  Batch work is ordered by its waiting time, with a
bonus for short jobs (completion time) and one for large jobs
(fragmentation) in the configuration's weights.  A job that cannot be placed
for long gets workers kept for it; others may use them only if they are
expected to be done before those workers are free.
"""

from collections.abc import Iterable
from typing import Final
from typing import NamedTuple

from kingcuplever.process import blocks
from kingcuplever.process import learned
from kingcuplever.process import ledger as ledgers
from kingcuplever.process import placement
from kingcuplever.process import state
from kingcuplever.version import configuration

# At most this share of the workers is kept at once.
_KEPT_SHARE: Final = 0.5
# Expected run time at which the bonus for short jobs is half.
_SHORT_S: Final = 60.0


class Keep(NamedTuple):
    """Workers kept for a job.

    :ivar ready_at: when they are expected to be free.
    """

    job: str
    workers: frozenset[str]
    ready_at: float


class Queue:
    """Order of the queued jobs, and the workers kept for some."""

    def __init__(self, run_times: learned.RunTimes) -> None:
        """Start with nothing kept."""
        self._run_times = run_times
        self.keeps: dict[str, Keep] = {}

    def order(
        self,
        jobs: Iterable[state.Job],
        now_ms: int,
        config: configuration.SchedulingConfig,
    ) -> list[state.Job]:
        """Give jobs in the order in which they should be placed."""
        return sorted(jobs, key=lambda job: self._rank(job, now_ms, config))

    def avoid_for(self, job: state.Job, now: float) -> frozenset[str]:
        """Give the workers that a job must leave to others."""
        avoided: set[str] = set()
        expected = None
        for keep in self.keeps.values():
            if keep.job == job.spec.job:
                continue
            if expected is None:
                spec = job.spec
                expected = self._run_times.expect_s(spec, job.progress)
            if now + expected > keep.ready_at:
                avoided |= keep.workers
        return frozenset(avoided)

    def keep_for(
        self, schedule: state.Schedule, job: state.Job, now: float
    ) -> Keep | None:
        """Keep the workers that are expected to be free soonest.

        :return: what was kept anew, or ``None``.
        """
        if job.spec.job in self.keeps:
            return None
        kept = {w for keep in self.keeps.values() for w in keep.workers}
        usable = sum(1 for _ in schedule.ledger.usable_rooms())
        rooms = self._soonest(schedule, job, now, kept)
        if not rooms:
            return None
        many = len(kept) + len(rooms) > usable * _KEPT_SHARE
        if many and self.keeps:
            return None
        ready_at = max(ready for ready, _ in rooms)
        names = frozenset(name for _, name in rooms)
        self.keeps[job.spec.job] = Keep(job.spec.job, names, ready_at)
        return self.keeps[job.spec.job]

    def drop(self, job: str) -> None:
        """Give up what is kept for a job."""
        self.keeps.pop(job, None)

    def prune(self, schedule: state.Schedule) -> None:
        """Give up what is kept for jobs that need it no more."""
        for name, keep in list(self.keeps.items()):
            job = schedule.jobs.get(name)
            waiting = job is not None and job.phase == "queued"
            usable = all(
                schedule.ledger.workers[worker].usable
                for worker in keep.workers
            )
            if not waiting or not usable:
                del self.keeps[name]

    def _rank(
        self,
        job: state.Job,
        now_ms: int,
        config: configuration.SchedulingConfig,
    ) -> tuple[int, float, int]:
        urgent = 0 if job.spec.priority == "urgent" else 1
        waited_s = (now_ms - job.submitted_ms) / 1000
        expected_s = self._run_times.expect_s(job.spec, job.progress)
        short = _SHORT_S / (_SHORT_S + expected_s)
        large = min(job.gpus, 64) / 64
        score = (
            waited_s / max(config.starvation_s, 0.001)
            + config.completion_weight * short
            + config.fragmentation_weight * large
        )
        return (urgent, -score, job.order)

    def _soonest(
        self,
        schedule: state.Schedule,
        job: state.Job,
        now: float,
        kept: set[str],
    ) -> list[tuple[float, str]]:
        """Choose neighbouring workers for the gang that are free soonest."""
        best: list[tuple[float, str]] = []
        ledger = schedule.ledger
        per_rack = [
            [
                (self._free_at(schedule, room, now), room)
                for room in ledger.rooms_of(rack)
                if room.shape.worker not in kept
            ]
            for rack in ledger.racks
        ]
        for first in range(len(per_rack)):
            chosen = _gather(per_rack[first:], job)
            if chosen and (not best or max(chosen) < max(best)):
                best = chosen
        return best

    def _free_at(
        self, schedule: state.Schedule, room: ledgers.WorkerRoom, now: float
    ) -> float:
        latest = now
        for holding in room.holdings.values():
            job = schedule.jobs.get(holding.job)
            if job is None:
                continue
            rest = self._run_times.expect_s(job.spec, job.progress)
            latest = max(latest, now + rest)
        return latest


def _gather(
    racks: list[list[tuple[float, ledgers.WorkerRoom]]], job: state.Job
) -> list[tuple[float, str]]:
    """Take workers from neighbouring racks until the gang fits."""
    shape = job.spec.shape
    found: list[tuple[float, ledgers.WorkerRoom]] = []
    for rack in racks:
        found += rack
        counts = [_empty_count(room, shape.gpus) for _, room in found]
        if sum(counts) < job.spec.tasks:
            continue
        chosen = []
        have = 0
        for at, room in sorted(found, key=lambda f: (f[0], f[1].shape.worker)):
            if have >= job.spec.tasks:
                break
            chosen.append((at, room.shape.worker))
            have += _empty_count(room, shape.gpus)
        return chosen
    return []


def _empty_count(room: ledgers.WorkerRoom, gpus: int) -> int:
    unbound = blocks.full_mask(room.shape.gpus) & ~room.bound_mask
    if not gpus:
        return placement.GPULESS_TASKS
    return blocks.capacity(unbound, room.shape.gpus, gpus)
