"""Scores workers by the chance that they take a gang's work along."""

from typing import Final

from kingcuplever.process.scheduling import departures
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state

# Share of its run time that a gang has done, on average, when it is hit.
_LOST_SHARE: Final = 0.5


class StabilityScorer:
    """Puts gangs that can't save their work on workers that stay."""

    def __init__(self, known: departures.Departures) -> None:
        """Use what is known of workers that leave."""
        self._departures = known

    def score(
        self, group: job_state.Group, worker: fleet.Worker, now: float
    ) -> float:
        """Return the expected extra run time of a task on a worker."""
        spec = group.spec
        if not spec.gang or spec.checkpointing or spec.long_running:
            return 0.0
        known = self._departures
        rate = known.get_drain_rate(worker, now)
        rate += known.get_flap_rate(worker, now)
        return min(1.0, rate * spec.estimate_ms / 1000) * _LOST_SHARE
