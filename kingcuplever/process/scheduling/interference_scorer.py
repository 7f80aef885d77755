"""Scores workers by how a task and those there slow each other down."""

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import scheduler_state


class InterferenceScorer:
    """Keeps tasks that slow each other down apart where there is room."""

    def __init__(self, state: scheduler_state.SchedulerState) -> None:
        """Use the state that the scheduler's parts share."""
        self._state = state

    def score(
        self, group: job_state.Group, worker: fleet.Worker, now: float
    ) -> float:
        """Return the extra run time of a task, and of those there by it."""
        interference = self._state.interference
        if not interference.known_count:
            return 0.0
        if not self._state.policy.separates_neighbours:
            return 0.0
        return interference.estimate_cost(group.kind, worker.name)
