"""The latest state that a side knows of the worker beside it."""

import trio

from kingcuplever.process.agent import executor as executors
from kingcuplever.process.agent import worker_incarnations
from kingcuplever.process import leases
from kingcuplever.process.scheduling import fleet


class WorkerState:
    """The worker's incarnation, clock and task list, and the owner's epoch.

    :ivar epoch: highest epoch of an owner that has been in contact.
    :ivar owner_contact_at: monotonic time of the last contact to an owner.
    :ivar task_list: newest task list of the current incarnation.
    :ivar task_list_requested_at: monotonic time when it was requested.
    """

    def __init__(self) -> None:
        """Start without a worker or an owner."""
        self.incarnations = worker_incarnations.IncarnationTracker()
        self.clock = leases.WorkerClock()
        self.epoch = 0
        self.owner_contact_at = float("-inf")
        self.task_list: executors.TaskList | None = None
        self.task_list_requested_at = 0.0

    @property
    def incarnation(self) -> str:
        """Name of the current incarnation, or an empty string."""
        current = self.incarnations.current
        return "" if current is None else current.incarnation

    @property
    def is_draining(self) -> bool:
        """Whether the worker accepts no new tasks."""
        current = self.incarnations.current
        return current is not None and current.draining

    def record_owner_contact(self, epoch: int) -> None:
        """Record a contact to the owner of an epoch; ignore older ones."""
        if epoch >= self.epoch:
            self.epoch = epoch
            self.owner_contact_at = trio.current_time()

    def reset(self) -> None:
        """Drop the task list and clock of the previous incarnation."""
        self.task_list = None
        self.clock = leases.WorkerClock()

    def has_run(self, run: fleet.RunId) -> bool:
        """Return whether the newest task list has a run."""
        if self.task_list is None:
            return False
        task_list = self.task_list
        return any(
            (row.task, row.run) == run for row in task_list.running
        ) or any((row.task, row.run) == run for row in task_list.ended)
