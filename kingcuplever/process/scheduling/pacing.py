"""Throttles a worker's filling tasks while its serving tasks are too slow.

A serving task has a target for its tail latency.  Filling tasks are
best-effort tasks that use CPU left over by the others and can slow them down.
Their pace, the share of CPU they may use, drops fast and recovers slowly.

Workers keep a pace until another is ordered, and no record has it.  So a new
owner starts from what the tasks use, and probes upwards from there.  A run
that may have been slowed stays ordered until it ends.
"""

from collections.abc import Mapping
from typing import Final

from kingcuplever.process.scheduling import fleet

# Ratios of tail latency to target.  Above the first the filling tasks slow
# down; below the second they speed up.
_SLOW_DOWN_RATIO: Final = 0.8
_SPEED_UP_RATIO: Final = 0.5
# Added to the pace to speed up; to slow down it is halved.
_STEP_UP_PERCENT: Final = 10
FULL_PERCENT: Final = 100
# A change shows in the reported latencies only after the worker has applied
# it and another half second has passed.
_ADJUST_PERIOD_S: Final = 0.9


class ServingTask:
    """A serving task in a worker's report.

    :ivar target_ratio: its tail latency, as a multiple of its target.
    """

    def __init__(self, tail_ms: int, target_ms: int) -> None:
        """Compute the ratio of a tail latency to its target."""
        self.target_ratio = tail_ms / max(1, target_ms)


def choose_percent(
    current: int, serving: list[ServingTask], probes: bool = False
) -> int:
    """Choose the next pace of a worker's filling tasks, in percent.

    :param current: the current pace, in percent.
    :param probes: whether to speed up as long as that does no harm.
    """
    worst = max((task.target_ratio for task in serving), default=0.0)
    if worst > _SLOW_DOWN_RATIO:
        return current // 2
    if worst < (_SLOW_DOWN_RATIO if probes else _SPEED_UP_RATIO):
        return min(FULL_PERCENT, current + _STEP_UP_PERCENT)
    return current


def adopt_pace(
    worker: fleet.Worker,
    usage_percents: Mapping[fleet.RunId, int],
    serving: list[ServingTask],
    now: float,
) -> None:
    """Order the pace that the runs of a former owner seem to have.

    :param usage_percents: share of its requested CPU that each of them uses,
        in percent.
    """
    percent = FULL_PERCENT
    if serving:
        used = max(_STEP_UP_PERCENT, *usage_percents.values())
        percent = min(FULL_PERCENT, used)
    worker.paces |= dict.fromkeys(usage_percents, percent)
    worker.orders_changed = True
    worker.pace_percent = percent
    worker.pace_set_at = now
    worker.probes_pace = percent < FULL_PERCENT


def update_pace(
    worker: fleet.Worker,
    filling_runs: list[fleet.RunId],
    serving: list[ServingTask],
    now: float,
) -> None:
    """Update the pace of a worker's filling tasks, and the orders for it."""
    if not filling_runs or now - worker.pace_set_at < _ADJUST_PERIOD_S:
        return
    percent = choose_percent(worker.pace_percent, serving, worker.probes_pace)
    if percent < worker.pace_percent or percent == FULL_PERCENT:
        worker.probes_pace = False
    paces = {
        run: percent
        for run in filling_runs
        if percent < FULL_PERCENT or run in worker.paces
    }
    if paces != worker.paces:
        worker.paces = paces
        worker.orders_changed = True
    if percent != worker.pace_percent:
        worker.pace_percent = percent
        worker.pace_set_at = now
