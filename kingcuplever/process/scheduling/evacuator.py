"""Takes evacuated data centres' workers out of use, and back into it.

Nothing new starts there, and what runs there may end.  A group with a member
whose start no list has shown yet is stopped as a whole and placed elsewhere.
"""

from kingcuplever import logs
from kingcuplever.process.scheduling import evacuations
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import scheduler_state


class Evacuator:
    """Applies the evacuations to the workers and to what is to start there."""

    def __init__(self, state: scheduler_state.SchedulerState) -> None:
        """Use the state that the scheduler's parts share."""
        self._state = state

    def set_evacuations(self, view: evacuations.Evacuations) -> None:
        """Apply newer evacuations; older ones change nothing."""
        before = self._state.evacuations
        if not view.is_newer_than(before):
            return
        self._state.evacuations = view
        if view.data_centres == before.data_centres:
            return
        names = ", ".join(view.data_centres) or "none"
        self._state.queue_log_line(
            logs.Component.PLACE,
            f"Evacuated data centres, version {view.version}: {names}.",
        )
        for worker in self._state.workers.values():
            self.apply_to(worker)
            self.withdraw_starts(worker)

    def apply_to(self, worker: fleet.Worker) -> None:
        """Set whether a worker that has reported takes new work."""
        is_evacuated = (
            worker.data_centre in self._state.evacuations.data_centres
        )
        if is_evacuated != worker.is_evacuated:
            worker.is_evacuated = is_evacuated
            worker.orders_changed = True
            self._state.needs_placement = True

    def withdraw_starts(self, worker: fleet.Worker) -> None:
        """Stop the groups of which an evacuated worker has not listed a run.

        The start may be under way, so the run is stopped by its number.  A
        list that is cut, or awaits its other parts, shows nothing yet.
        """
        if not (worker.is_evacuated and worker.has_reported):
            return
        if not worker.lists_all:
            return
        for run in [*worker.allocations]:
            group = self._state.find_group(run)
            if group is None or group.phase != job_state.ASSIGNED:
                continue
            is_listed = group.progressed_ms[group.index_of(run.task)] > 0
            if group.stop_reason or is_listed:
                continue
            group.stop_reason = "withdrawn by an evacuation"
            text = (
                f"{group.tasks[0]} run {group.run} is withdrawn:"
                f" {worker.data_centre} is evacuated."
            )
            self._state.queue_log_line(logs.Component.TASK, text)
            self._state.order_group_stop(group)
