"""What a side knows of the worker beside it at a moment."""

import trio

from kingcuplever.process.agent import executor as executors
from kingcuplever.process.agent import worker_incarnations
from kingcuplever.process import leases
from kingcuplever.process.scheduling import fleet


class WorkerState:
    """The worker's present life, its clock, and its newest list.

    :ivar epoch: highest epoch of an owner that has been heard.
    :ivar heard_owner_at: steady time when an owner was heard last.
    :ivar view: newest list of the present life.
    :ivar view_wanted_at: steady time when that list was asked for.
    """

    def __init__(self) -> None:
        """Know nothing yet."""
        self.incarnations = worker_incarnations.IncarnationTracker()
        self.clock = leases.WorkerClock()
        self.epoch = 0
        self.owner_contact_at = float("-inf")
        self.task_list: executors.TaskList | None = None
        self.task_list_requested_at = 0.0

    @property
    def incarnation(self) -> str:
        """The present life, or an empty text."""
        present = self.incarnations.current
        return "" if present is None else present.incarnation

    @property
    def is_draining(self) -> bool:
        """Whether the worker takes no new work."""
        present = self.incarnations.current
        return present is not None and present.draining

    def record_owner_contact(self, epoch: int) -> None:
        """The owner of an epoch has answered."""
        if epoch >= self.epoch:
            self.epoch = epoch
            self.owner_contact_at = trio.current_time()

    def reset(self) -> None:
        """Forget what was about the life before."""
        self.task_list = None
        self.clock = leases.WorkerClock()

    def has_run(self, run: fleet.RunId) -> bool:
        """Tell whether the worker's newest list has a run."""
        if self.task_list is None:
            return False
        view = self.task_list
        return any((row.task, row.run) == run for row in view.running) or any(
            (row.task, row.run) == run for row in view.ended
        )
