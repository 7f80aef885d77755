"""The groups that wait for a place, step by step.

Groups of one step need the same, so that one that finds no place speaks for
the rest; a pass over all that waits looks at steps, not at tasks.
"""

from collections.abc import Callable
from collections.abc import Collection
from typing import NamedTuple

from kingcuplever.process.scheduling import work

Rank = tuple[float, ...]


class StepId(NamedTuple):
    """Names one step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


class WaitingGroups:
    """Groups by their step, in the order in which they came."""

    def __init__(self) -> None:
        """Start with nothing waiting."""
        self._steps: dict[StepId, dict[work.Group, None]] = {}

    def __contains__(self, group: work.Group) -> bool:
        """Tell whether a group waits."""
        return group in self._steps.get(_step_of(group), ())

    def add(self, group: work.Group) -> None:
        """Have a group wait."""
        self._steps.setdefault(_step_of(group), {})[group] = None

    def discard(self, group: work.Group) -> None:
        """Have a group wait no more."""
        step = _step_of(group)
        groups = self._steps.get(step)
        if groups is not None:
            groups.pop(group, None)
            if not groups:
                del self._steps[step]

    def in_order(
        self, rank: Callable[[work.Group], Rank]
    ) -> list[Collection[work.Group]]:
        """Give the groups of each step, the steps in the order of a rank.

        :param rank: of a step's first group; it speaks for all of them.
        """
        steps: list[Collection[work.Group]] = [
            groups.keys() for groups in self._steps.values()
        ]
        steps.sort(key=lambda groups: rank(first_of(groups)))
        return steps


def first_of(groups: Collection[work.Group]) -> work.Group:
    """Give the group that has waited longest of a step's."""
    return next(iter(groups))


def _step_of(group: work.Group) -> StepId:
    return StepId(group.job.name, group.occurrence, group.step)
