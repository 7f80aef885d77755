"""Phase filter: the workers that may run a group, whatever is free there."""

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import scheduler_state


def is_eligible(
    worker: fleet.Worker, group: job_state.Group, pool: str
) -> bool:
    """Return whether a worker may run a group's tasks.

    Free capacity and a quarantine are not looked at.

    :param pool: service whose workers may run it, or empty for all.
    """
    spec = group.spec
    return (
        worker.has_reported
        and worker.is_connected
        and worker.is_schedulable
        and (not pool or worker.pool == pool)
        and group.job.spec.data_centre in ("", worker.data_centre)
        and (not spec.label or spec.label in worker.labels)
    )


def select_ticketed(
    state: scheduler_state.SchedulerState,
    group: job_state.Group,
    eligible: list[fleet.Worker],
    free: placement.FreeResources,
    now: float,
) -> list[fleet.Worker]:
    """Return the workers with a ticket for a step.

    The others are queued for a request to the adviser.
    """
    advice_cache = state.advice
    step = group.step_name
    ticketed = [
        worker
        for worker in eligible
        if advice_cache.find_ticket(step, worker.name, now)
    ]
    emptiest_first = sorted(
        eligible, key=lambda worker: free[worker.name], reverse=True
    )
    advice_cache.queue_request(
        step, [worker.name for worker in emptiest_first], now
    )
    return ticketed


def cap_by_tasks(
    free: placement.FreeResources,
    task_limits: dict[str, int],
    request: model.Resources,
) -> placement.FreeResources:
    """Return free resources with accelerators for so many tasks at most.

    :param task_limits: tasks by worker; other workers are left out.
    """
    return {
        name: free[name]._replace(
            gpus=min(free[name].gpus, count * request.gpus)
        )
        for name, count in task_limits.items()
        if name in free
    }
