"""Selects the checkpoints to persist: those that save the most work.

An owner has the newest checkpoints in memory, and its successor gets them
from the workers' reports.  Only after all hosts have lost power at once does
the log have to provide them.  Workers make a checkpoint every half second;
few of them are written, as each costs log bytes and the followers' time.
"""

from typing import Final

from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import scheduler_state

# About the period in which the owner renews its claim of the epoch, so that
# the records share that append.
_PERIOD_S: Final = 0.7
# At about 80 bytes a group, this stays below a third of a host's bandwidth of
# 14 KB/s.
_GROUPS_PER_PERIOD: Final = 32
# A checkpoint that saves less is not worth a record; one accelerator does this
# much work in one or two periods.
_MIN_UNPERSISTED_CORE_S: Final = 10.0


class CheckpointSelector:
    """Marks the jobs whose newest checkpoints are to be written."""

    def __init__(self, state: scheduler_state.SchedulerState) -> None:
        """Use the state that the scheduler's parts share."""
        self._state = state
        self._next_at = 0.0

    def mark_dirty(self, now: float) -> None:
        """Mark the jobs with the most unpersisted work, once in a period."""
        unpersisted = self._state.unpersisted_groups
        if not unpersisted or now < self._next_at:
            return
        work_by_job: dict[job_state.Job, float] = {}
        for group in [*unpersisted]:
            if (
                group.phase != job_state.ASSIGNED
                or group.checkpoint == group.persisted_checkpoint
            ):
                del unpersisted[group]
            elif group.unpersisted_work >= _MIN_UNPERSISTED_CORE_S:
                work = work_by_job.get(group.job, 0.0)
                work_by_job[group.job] = work + group.unpersisted_work
        written = 0
        for job in sorted(
            work_by_job, key=lambda job: work_by_job[job], reverse=True
        ):
            written += len(job.to_record().groups)
            self._state.dirty_jobs[job.name] = None
            if written >= _GROUPS_PER_PERIOD:
                break
        # A job above the limit is written whole, and the pause grows instead.
        self._next_at = now + _PERIOD_S * max(
            1.0, written / _GROUPS_PER_PERIOD
        )
