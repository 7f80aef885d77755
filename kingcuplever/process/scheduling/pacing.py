"""Slows tasks that fill a worker while its serving tasks are too slow.

A serving task has a target for the tail of its response times.  Tasks that
fill use what the others leave, and disturb them; they give way at once and
come back slowly.
"""

from typing import Final

from kingcuplever.process.scheduling import fleet

# Above this share of its target a serving task is in danger; below the
# other one there is room to spare.
_DANGER: Final = 0.8
_CALM: Final = 0.5
# A step back up, in percent; a step down halves.
_STEP_UP: Final = 10
FULL: Final = 100
# A change shows in the figures only after the worker has followed it and
# half a second has gone by.
_SETTLE_S: Final = 0.9


class Serving:
    """One serving task as a worker lists it."""

    def __init__(self, tail_ms: int, target_ms: int) -> None:
        """Take the tail of its response times, and its target."""
        self.load = tail_ms / max(1, target_ms)


def choose_percent(present: int, serving: list[Serving]) -> int:
    """Choose at what share the filling tasks of a worker may work."""
    worst = max((task.load for task in serving), default=0.0)
    if worst > _DANGER:
        return present // 2
    if worst < _CALM:
        return min(FULL, present + _STEP_UP)
    return present


def repace(
    worker: fleet.Worker,
    fillers: list[fleet.RunId],
    serving: list[Serving],
    now: float,
) -> None:
    """Set the pace of all filling tasks of a worker."""
    if not fillers or now - worker.paced_at < _SETTLE_S:
        return
    percent = choose_percent(worker.pace, serving)
    wanted = {run: percent for run in fillers if percent < FULL}
    if worker.pace < FULL and percent == FULL:
        # Tasks that were slowed must be told that they may go on.
        wanted = dict.fromkeys(fillers, FULL)
    if wanted != worker.paces:
        worker.paces = wanted
        worker.orders_changed = True
    if percent != worker.pace:
        worker.pace = percent
        worker.paced_at = now
