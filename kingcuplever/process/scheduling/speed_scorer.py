"""Scores workers by the speed of their hosts."""

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import scheduler_state


class SpeedScorer:
    """Sends urgent work to fast hosts, and other work to slow ones."""

    def __init__(self, state: scheduler_state.SchedulerState) -> None:
        """Use the state that the scheduler's parts share."""
        self._state = state

    def score(
        self, group: job_state.Group, worker: fleet.Worker, now: float
    ) -> float:
        """Return the extra run time that the host costs the group.

        Where urgent work is expected, a host costs other work the time that
        urgent work loses which finds the host taken.
        """
        speeds = self._state.host_speeds
        slowness = speeds.find_slowness(worker.side)
        is_used = self._state.policy.uses_host_speeds and speeds.is_uneven
        if not (slowness and is_used):
            return 0.0
        queue = self._state.queue_policy_of(group.job)
        if queue.priority == 0:
            return slowness
        expects_urgent = self._state.headroom.expects_arrivals(queue.pool, now)
        return -slowness if expects_urgent else slowness
