"""Orders the starts of adopted runs that need a ticket of the adviser.

A former owner has recorded such a run, and may not have ordered its start.
Only that owner had the tickets, so the adviser is asked again unless the
workers list the run.
"""

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import scheduler_state


def order_ticketed_starts(
    state: scheduler_state.SchedulerState, now: float
) -> None:
    """Order the starts that have tickets, and request the others' tickets."""
    missing: dict[str, dict[str, None]] = {}
    for group in [*state.unticketed_starts]:
        if _is_settled(group):
            del state.unticketed_starts[group]
            continue
        waiting = _find_unlisted(state, group)
        step = group.step_name
        if any(state.advice.is_refused(step, name) for name in waiting):
            group.stop_reason = "refused by the adviser"
            state.order_group_stop(group)
            continue
        tickets = {
            name: state.advice.find_ticket(step, name, now) for name in waiting
        }
        if not all(tickets.values()):
            missing.setdefault(step, {}).update(dict.fromkeys(waiting))
        elif tickets:
            _order_starts(state, group, tickets)
            del state.unticketed_starts[group]
    for step, names in missing.items():
        state.advice.extend_request(step, [*names], now)


def _is_settled(group: job_state.Group) -> bool:
    """Return whether no start of a group's run has to be ordered."""
    return (
        group.phase != job_state.ASSIGNED
        or bool(group.stop_reason)
        or group.is_listed
    )


def _find_unlisted(
    state: scheduler_state.SchedulerState, group: job_state.Group
) -> set[str]:
    """Return the workers that list all their tasks, and not a group's.

    :return: none until all its workers do.
    """
    names = set()
    for index, name in enumerate(group.assigned_workers):
        worker = state.workers.get(name)
        if worker is None or not (worker.has_reported and worker.lists_all):
            return set()
        if not group.progressed_ms[index]:
            names.add(name)
    return names


def _order_starts(
    state: scheduler_state.SchedulerState,
    group: job_state.Group,
    tickets: dict[str, str],
) -> None:
    group.tickets |= tickets
    for index, name in enumerate(group.assigned_workers):
        if not group.progressed_ms[index]:
            run = fleet.RunId(group.tasks[index], group.run)
            state.order_start(state.workers[name], group, run)
