"""Defragmenting moves: only where the gain pays for the checkpoint.

Space kept for a waiting gang is emptied early if the accelerator-seconds
that the gang gains are worth more, in the configuration's weights, than
those that the moved jobs lose by a checkpoint and a new start.
"""

from typing import Final

from kingcuplever.process import chooser
from kingcuplever.process import queueing
from kingcuplever.process import state
from kingcuplever.version import configuration

# A move loses, beside the checkpoint, the wait for a new place.
_RESTART_S: Final = 2.0
# The moved jobs may be so large, as a share of the waiting gang.
_MOVED_SHARE: Final = 0.5
# A job is moved at most so often.
_MOVES_AT_MOST: Final = 2


def worth_moving(
    schedule: state.Schedule,
    job: state.Job,
    keep: queueing.Keep,
    now: float,
    config: configuration.SchedulingConfig,
) -> tuple[str, ...]:
    """Give the jobs to move out of kept workers, or nothing.

    :param job: the waiting gang.
    :param keep: the workers that are kept for it.
    """
    victims = _borrowers_on(schedule, keep)
    if victims is None or not victims:
        return ()
    moved_gpus = sum(schedule.jobs[name].gpus for name in victims)
    if moved_gpus > job.gpus * _MOVED_SHARE:
        return ()
    lost_s = config.checkpoint_ms / 1000 + _RESTART_S
    gain = job.gpus * max(keep.ready_at - now, 0.0)
    cost = moved_gpus * lost_s
    worth = gain * max(config.fragmentation_weight, 0.01)
    price = cost * max(config.completion_weight, 0.01)
    return victims if worth > price else ()


def _borrowers_on(
    schedule: state.Schedule, keep: queueing.Keep
) -> tuple[str, ...] | None:
    """Give the borrowers on kept workers; ``None`` if one can't move."""
    found: dict[str, None] = {}
    for worker in sorted(keep.workers):
        room = schedule.ledger.workers[worker]
        for holding in room.holdings.values():
            job = schedule.jobs.get(holding.job)
            if job is None or job.phase != "running":
                return None
            if not chooser.is_borrowed(schedule, room, holding):
                continue
            if job.evictions >= _MOVES_AT_MOST:
                return None
            if job.spec.priority == "urgent":
                return None
            found[holding.job] = None
    return tuple(found)
