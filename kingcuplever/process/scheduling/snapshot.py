"""Phase snapshot: the workers of a cycle, and what is free on them."""

from typing import NamedTuple

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import scheduler_state
from kingcuplever.process.scheduling import worker_tracker


class Snapshot(NamedTuple):
    """What one cycle starts from.

    :ivar workers: those whose last report is recent.
    :ivar free: their free resources by name; the cycle subtracts from them.
    """

    workers: list[fleet.Worker]
    free: placement.FreeResources


def take_snapshot(
    state: scheduler_state.SchedulerState, now: float
) -> Snapshot:
    """Return the workers that reported of late, and their free resources."""
    workers = [
        worker
        for worker in state.workers.values()
        if worker.has_reported
        and now - worker.last_report_at <= worker_tracker.MAX_REPORT_AGE_S
    ]
    return Snapshot(workers, {worker.name: worker.free for worker in workers})
