"""Slows tasks that fill a worker while its serving tasks are too slow.

A serving task has a target for the tail of its response times.  Tasks that
fill use what the others leave, and disturb them; they give way at once and
come back slowly.
"""

from typing import Final

from kingcuplever.process.scheduling import fleet

# Above this share of its target a serving task is in danger; below the
# other one there is room to spare.
_SLOW_DOWN_RATIO: Final = 0.8
_SPEED_UP_RATIO: Final = 0.5
# A step back up, in percent; a step down halves.
_STEP_UP_PERCENT: Final = 10
FULL_PERCENT: Final = 100
# A change shows in the figures only after the worker has followed it and
# half a second has gone by.
_ADJUST_PERIOD_S: Final = 0.9


class ServingTask:
    """One serving task as a worker lists it."""

    def __init__(self, tail_ms: int, target_ms: int) -> None:
        """Take the tail of its response times, and its target."""
        self.target_ratio = tail_ms / max(1, target_ms)


def choose_percent(present: int, serving: list[ServingTask]) -> int:
    """Choose at what share the filling tasks of a worker may work."""
    worst = max((task.target_ratio for task in serving), default=0.0)
    if worst > _SLOW_DOWN_RATIO:
        return present // 2
    if worst < _SPEED_UP_RATIO:
        return min(FULL_PERCENT, present + _STEP_UP_PERCENT)
    return present


def update_pace(
    worker: fleet.Worker,
    filling_runs: list[fleet.RunId],
    serving: list[ServingTask],
    now: float,
) -> None:
    """Set the pace of all filling tasks of a worker."""
    if not filling_runs or now - worker.pace_set_at < _ADJUST_PERIOD_S:
        return
    percent = choose_percent(worker.pace_of, serving)
    wanted = {run: percent for run in filling_runs if percent < FULL_PERCENT}
    if worker.pace_of < FULL_PERCENT and percent == FULL_PERCENT:
        # Tasks that were slowed must be told that they may go on.
        wanted = dict.fromkeys(filling_runs, FULL_PERCENT)
    if wanted != worker.paces:
        worker.paces = wanted
        worker.orders_changed = True
    if percent != worker.pace_of:
        worker.pace_of = percent
        worker.pace_set_at = now
