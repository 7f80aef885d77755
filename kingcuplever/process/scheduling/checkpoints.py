"""Chooses whose checkpoints the log keeps, those with most work at stake.

An owner has the newest checkpoints in memory, and its successor hears them
from the workers.  Only the log knows them once all hosts have lost power
together.  Workers make one every half second; the log is given few, since
its bytes and the followers' time are paid for.
"""

from typing import Final

from kingcuplever.process.scheduling import book as books
from kingcuplever.process.scheduling import work

# The owner renews its claim about so often; the records go with that append.
_PERIOD_S: Final = 0.7
# Groups whose progress one period writes again for this alone; some 80 bytes
# each, so under a third of a host's 14 KB/s.
_GROUPS: Final = 32
# Work, in core-seconds, below which a checkpoint is not worth a record: one
# accelerator's for a period or two.
_STAKE_CORE_S: Final = 10.0


class Checkpoints:
    """Marks jobs whose newest checkpoints are to be written."""

    def __init__(self, book: books.Book) -> None:
        """Work on a shared book."""
        self._book = book
        self._next_at = 0.0

    def mark(self, now: float) -> None:
        """Have the records written of what has most at stake."""
        unkept = self._book.unkept
        if not unkept or now < self._next_at:
            return
        stakes: dict[work.Job, float] = {}
        for group in [*unkept]:
            if group.phase != work.ASSIGNED or group.saved == group.kept:
                del unkept[group]
            elif group.unkept_work >= _STAKE_CORE_S:
                stake = stakes.get(group.job, 0.0)
                stakes[group.job] = stake + group.unkept_work
        written = 0
        for job in sorted(stakes, key=lambda job: stakes[job], reverse=True):
            written += len(job.record().groups)
            self._book.dirty[job.name] = None
            if written >= _GROUPS:
                break
        # A large job is written as well, and pays with a longer pause.
        self._next_at = now + _PERIOD_S * max(1.0, written / _GROUPS)
