"""Scores workers by the extra run time that they cost a group's tasks."""

from collections.abc import Sequence
from typing import Final
from typing import Protocol

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state

# Smaller differences leave the order to the best fit.
_STEP: Final = 0.1


class WorkerScorer(Protocol):
    """Estimates what a worker costs a group, from one cause."""

    def score(
        self, group: job_state.Group, worker: fleet.Worker, now: float
    ) -> float:
        """Return the expected extra run time of a task on a worker.

        :return: a share of the task's run time; 0 is neutral.
        """


def score_in_steps(
    scorers: Sequence[WorkerScorer],
    group: job_state.Group,
    worker: fleet.Worker,
    now: float,
) -> int:
    """Return the sum of all scores, in steps that matter for the order."""
    total = sum(scorer.score(group, worker, now) for scorer in scorers)
    return round(total / _STEP)
