"""Chooses whose checkpoints the log keeps, those with most work at stake.

An owner has the newest checkpoints in memory, and its successor hears them
from the workers.  Only the log knows them once all hosts have lost power
together.  Workers make one every half second; the log is given few, since
its bytes and the followers' time are paid for.
"""

from typing import Final

from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import scheduler_state as books

# The owner renews its claim about so often; the records go with that append.
_PERIOD_S: Final = 0.7
# Groups whose progress one period writes again for this alone; some 80 bytes
# each, so under a third of a host's 14 KB/s.
_GROUPS_PER_PERIOD: Final = 32
# Work, in core-seconds, below which a checkpoint is not worth a record: one
# accelerator's for a period or two.
_MIN_UNPERSISTED_CORE_S: Final = 10.0


class CheckpointSelector:
    """Marks jobs whose newest checkpoints are to be written."""

    def __init__(self, book: books.SchedulerState) -> None:
        """Work on a shared book."""
        self._book = book
        self._next_at = 0.0

    def mark_dirty(self, now: float) -> None:
        """Have the records written of what has most at stake."""
        unkept = self._book.unpersisted_groups
        if not unkept or now < self._next_at:
            return
        stakes: dict[job_state.Job, float] = {}
        for group in [*unkept]:
            if (
                group.phase != job_state.ASSIGNED
                or group.checkpoint == group.persisted_checkpoint
            ):
                del unkept[group]
            elif group.unpersisted_work >= _MIN_UNPERSISTED_CORE_S:
                stake = stakes.get(group.job, 0.0)
                stakes[group.job] = stake + group.unpersisted_work
        written = 0
        for job in sorted(stakes, key=lambda job: stakes[job], reverse=True):
            written += len(job.to_record().groups)
            self._book.dirty_jobs[job.name] = None
            if written >= _GROUPS_PER_PERIOD:
                break
        # A large job is written as well, and pays with a longer pause.
        self._next_at = now + _PERIOD_S * max(
            1.0, written / _GROUPS_PER_PERIOD
        )
