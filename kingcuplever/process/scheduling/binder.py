"""Phase bind: assigns a group to the workers chosen for it."""

from kingcuplever import logs
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import scheduler_state
from kingcuplever.process.stored import evidence_records


def bind(
    state: scheduler_state.SchedulerState,
    group: job_state.Group,
    chosen: placement.Placement,
    now: float,
) -> None:
    """Begin a run of a group; its starts wait for the commit."""
    tickets = {
        name: state.advice.find_ticket(group.step_name, name, now)
        for name in set(chosen.workers)
    }
    workers = [state.workers[name] for name in chosen.workers]
    state.ready_queue.discard(group)
    group.begin_run(chosen.workers)
    group.tickets = tickets
    for task, worker in zip(group.tasks, workers, strict=True):
        run = fleet.RunId(task, group.run)
        worker.allocate(run, group.spec.resources)
    state.dirty_jobs[group.job.name] = None
    group.job.first_placed_ms = group.job.first_placed_ms or state.wall_ms
    state.deferred.starts.append((group, group.run))
    _report(state, group, chosen, int((now - group.ready_at) * 1000))


def _report(
    state: scheduler_state.SchedulerState,
    group: job_state.Group,
    chosen: placement.Placement,
    waited_ms: int,
) -> None:
    text = (
        f"{group.tasks[0]} and {len(group.tasks) - 1} more, run"
        f" {group.run}, go to {', '.join(sorted(set(chosen.workers)))}"
        f" after {waited_ms} ms{', slow' if chosen.slow else ''}."
    )
    state.queue_log_line(logs.Component.PLACE, text)
    state.record_evidence(
        evidence_records.GroupPlaced(
            group.job.name,
            group.tasks[0],
            group.run,
            len(group.tasks),
            group.spec.gpus,
            chosen.workers,
            waited_ms,
        )
    )
