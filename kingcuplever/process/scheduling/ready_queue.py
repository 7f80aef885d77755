"""The queue of groups that are ready to be placed, by step.

All groups of one step have the same requirements, so one that can't be placed
stands for the others.  A scheduling cycle therefore goes through steps, not
through tasks.
"""

from collections.abc import Callable
from collections.abc import Collection
from typing import NamedTuple

from kingcuplever.process.scheduling import job_state

Rank = tuple[float, ...]


class StepId(NamedTuple):
    """Identifies a step in one occurrence of a job."""

    job: str
    occurrence: int
    step: int


class ReadyQueue:
    """Groups by step; within a step, in the order in which they were added."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._steps: dict[StepId, dict[job_state.Group, None]] = {}

    def __contains__(self, group: job_state.Group) -> bool:
        """Return whether a group is in the queue."""
        return group in self._steps.get(_step_id(group), ())

    def add(self, group: job_state.Group) -> None:
        """Add a group at the end of its step."""
        self._steps.setdefault(_step_id(group), {})[group] = None

    def discard(self, group: job_state.Group) -> None:
        """Remove a group if it is in the queue."""
        step = _step_id(group)
        groups = self._steps.get(step)
        if groups is not None:
            groups.pop(group, None)
            if not groups:
                del self._steps[step]

    def sort_steps(
        self, rank: Callable[[job_state.Group], Rank]
    ) -> list[Collection[job_state.Group]]:
        """Return the groups of each step, with the steps sorted by rank.

        The collections are views and change with the queue.

        :param rank: returns the rank of a step from its oldest group.
        """
        steps: list[Collection[job_state.Group]] = [
            groups.keys() for groups in self._steps.values()
        ]
        steps.sort(key=lambda groups: rank(oldest_group(groups)))
        return steps


def oldest_group(groups: Collection[job_state.Group]) -> job_state.Group:
    """Return the group of a step that was added first."""
    return next(iter(groups))


def _step_id(group: job_state.Group) -> StepId:
    return StepId(group.job.name, group.occurrence, group.step)
