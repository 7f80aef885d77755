"""The latest state that a side knows of the worker beside it."""

from kingcuplever import clock
from kingcuplever.process.agent import executor as executors
from kingcuplever.process.agent import worker_contact
from kingcuplever.process.agent import worker_incarnations
from kingcuplever.process import leases
from kingcuplever.process.scheduling import evacuations
from kingcuplever.process.scheduling import fleet


class WorkerState:
    """The worker's incarnation, clock and task list, and the owner's epoch.

    :ivar epoch: highest epoch of an owner that has been in contact.
    :ivar task_list: newest task list of the current incarnation.
    :ivar task_list_requested_at: monotonic time when it was requested.
    :ivar unlisted_starts: runs that may have started since that list.
    :ivar contact: contacts to the worker and to other hosts.
    :ivar evacuations: newest evacuations that it has learned of.
    """

    def __init__(self, autonomous_renewal_s: float) -> None:
        """Start without a worker or an owner.

        :param autonomous_renewal_s: how long the side acts without contact
            to an owner.
        """
        self._autonomous_renewal_s = autonomous_renewal_s
        self._owner_contact = clock.NEVER
        self.incarnations = worker_incarnations.IncarnationTracker()
        self.clock = leases.WorkerClock()
        self.epoch = 0
        self.task_list: executors.TaskList | None = None
        self.task_list_requested_at = 0.0
        self.unlisted_starts: set[fleet.RunId] = set()
        self._listed: set[fleet.RunId] = set()
        self.contact = worker_contact.WorkerContact()
        self.evacuations = evacuations.NONE_KNOWN

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

    @property
    def is_evacuated(self) -> bool:
        """Whether the worker's data centre is evacuated."""
        current = self.incarnations.current
        evacuated = self.evacuations.data_centres
        return current is not None and current.data_centre in evacuated

    @property
    def owner_silence_s(self) -> float:
        """Seconds since the last contact to an owner."""
        return self._owner_contact.elapsed_s()

    @property
    def may_act(self) -> bool:
        """Whether the last contact to an owner permits starts and renewals."""
        return leases.can_act(self.owner_silence_s, self._autonomous_renewal_s)

    def record_evacuations(self, view: evacuations.Evacuations) -> None:
        """Record which data centres are evacuated; ignore older views."""
        if view.is_newer_than(self.evacuations):
            self.evacuations = view

    def record_epoch(self, epoch: int) -> None:
        """Record the epoch of an owner; ignore older ones."""
        self.epoch = max(self.epoch, epoch)

    def record_owner_contact(self, epoch: int, moment: clock.Moment) -> None:
        """Record that the owner of an epoch was in contact at a moment.

        A contact with the owner of an older epoch is ignored.
        """
        if epoch >= self.epoch:
            self.epoch = epoch
            self._owner_contact = max(self._owner_contact, moment)

    def reset(self) -> None:
        """Drop the task list and clock of the previous incarnation."""
        self.task_list = None
        self._listed = set()
        self.unlisted_starts.clear()
        self.clock = leases.WorkerClock()
        self.contact.reset()

    def apply_task_list(
        self, task_list: executors.TaskList, requested_at: float
    ) -> None:
        """Apply a newer list of the current incarnation."""
        self.task_list = task_list
        self.task_list_requested_at = requested_at
        self._listed = list_runs(task_list)
        self.unlisted_starts -= self._listed

    def list_started_tasks(self) -> tuple[fleet.RunningTask, ...]:
        """Return the tasks that run, or may have started since the list."""
        listed = () if self.task_list is None else self.task_list.running
        return listed + tuple(
            fleet.RunningTask(run.task, run.run, "", 0, 0)
            for run in sorted(self.unlisted_starts)
        )

    def has_run(self, run: fleet.RunId) -> bool:
        """Return whether the newest task list has a run."""
        return run in self._listed

    def lacks_run_since(self, run: fleet.RunId, moment: float) -> bool:
        """Return whether a list requested after a moment lacks a run."""
        return (
            self.task_list is not None
            and self.task_list_requested_at > moment
            and not (self.task_list.is_cut or run in self._listed)
        )


def lacks_run(task_list: executors.TaskList, run: fleet.RunId) -> bool:
    """Return whether a list shows that a run is not there.

    A run that is in no list because the list is cut may have ended.
    """
    return not (task_list.is_cut or run in list_runs(task_list))


def list_runs(task_list: executors.TaskList) -> set[fleet.RunId]:
    """Return the runs that are listed, as running or as ended."""
    running = {fleet.RunId(row.task, row.run) for row in task_list.running}
    return running | {
        fleet.RunId(row.task, row.run) for row in task_list.ended
    }
