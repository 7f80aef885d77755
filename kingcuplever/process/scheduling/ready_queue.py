"""The groups that wait for a place, step by step.

Groups of one step need the same, so that one that finds no place speaks for
the rest; a pass over all that waits looks at steps, not at tasks.
"""

from collections.abc import Callable
from collections.abc import Collection
from typing import NamedTuple

from kingcuplever.process.scheduling import job_state

Rank = tuple[float, ...]


class StepId(NamedTuple):
    """Names one step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


class ReadyQueue:
    """Groups by their step, in the order in which they came."""

    def __init__(self) -> None:
        """Start with nothing waiting."""
        self._steps: dict[StepId, dict[job_state.Group, None]] = {}

    def __contains__(self, group: job_state.Group) -> bool:
        """Tell whether a group waits."""
        return group in self._steps.get(_step_id(group), ())

    def add(self, group: job_state.Group) -> None:
        """Have a group wait."""
        self._steps.setdefault(_step_id(group), {})[group] = None

    def discard(self, group: job_state.Group) -> None:
        """Have a group wait no more."""
        step = _step_id(group)
        groups = self._steps.get(step)
        if groups is not None:
            groups.pop(group, None)
            if not groups:
                del self._steps[step]

    def sort_steps(
        self, rank: Callable[[job_state.Group], Rank]
    ) -> list[Collection[job_state.Group]]:
        """Give the groups of each step, the steps in the order of a rank.

        :param rank: of a step's first group; it speaks for all of them.
        """
        steps: list[Collection[job_state.Group]] = [
            groups.keys() for groups in self._steps.values()
        ]
        steps.sort(key=lambda groups: rank(oldest_group(groups)))
        return steps


def oldest_group(groups: Collection[job_state.Group]) -> job_state.Group:
    """Give the group that has waited longest of a step's."""
    return next(iter(groups))


def _step_id(group: job_state.Group) -> StepId:
    return StepId(group.job.name, group.occurrence, group.step)
