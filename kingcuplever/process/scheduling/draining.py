"""Decides what becomes of a group on a worker that drains.

Prices are expected seconds of work thrown away.  The time that a worker
states is the least that it stays.
"""

from typing import Final
from typing import NamedTuple

from kingcuplever.process.scheduling import job_state

# An order, its stop and the checkpoint that it makes are done within this.
_STOP_S: Final = 1.25
# How much longer than stated a worker stays at the least, as it has to end.
_EXTRA_STAY_S: Final = 0.5
# Error of an estimated remaining time: a fixed part, and a share of it.
_ERROR_S: Final = 0.5
_ERROR_SHARE: Final = 0.5

RUNS_ON: Final = "runs on"
SAVES_LATER: Final = "saves later"
STOPS: Final = "stops"


class Situation(NamedTuple):
    """A group on a worker that drains.

    :ivar time_left_s: least time until the first of its workers leaves.
    :ivar remaining_s: estimated time until its run ends.
    :ivar at_work_s: how long its run has been at work.
    :ivar checkpointing: a stop saves its work.
    :ivar long_running: it never ends by itself.
    """

    time_left_s: float
    remaining_s: float
    at_work_s: float
    checkpointing: bool
    long_running: bool


class Decision(NamedTuple):
    """What a group does.

    :ivar action: ``RUNS_ON``, ``SAVES_LATER`` or ``STOPS``.
    :ivar chance: chance that it ends before its worker leaves.
    """

    action: str
    chance: float


def describe_situation(
    group: job_state.Group, time_left_s: float, now: float
) -> Situation:
    """Return the situation of a group."""
    return Situation(
        time_left_s,
        group.estimate_remaining_s(now),
        group.get_time_at_work_s(now),
        group.spec.checkpointing,
        group.spec.long_running,
    )


def decide(situation: Situation) -> Decision:
    """Decide what a group does; ask again while its worker is there.

    Work that a stop saves is stopped at the last moment at which that is
    safe.  Other work runs on unless that is expected to throw away more than
    a stop at once.
    """
    if situation.long_running:
        return Decision(STOPS, 0.0)
    chance = estimate_chance_to_end(situation)
    if situation.checkpointing and chance < 1.0:
        is_last_moment = situation.time_left_s <= _STOP_S
        return Decision(STOPS if is_last_moment else SAVES_LATER, chance)
    stay_s = situation.time_left_s + _EXTRA_STAY_S
    lost_by_running_on_s = (1 - chance) * (situation.at_work_s + stay_s)
    if lost_by_running_on_s <= situation.at_work_s:
        return Decision(RUNS_ON, chance)
    return Decision(STOPS, chance)


def estimate_chance_to_end(situation: Situation) -> float:
    """Return the chance that a run ends before its worker leaves."""
    missing_s = situation.remaining_s - max(0.0, situation.time_left_s)
    if missing_s <= 0:
        return 1.0
    error_s = _ERROR_S + _ERROR_SHARE * situation.remaining_s
    return max(0.0, 1 - missing_s / error_s)
