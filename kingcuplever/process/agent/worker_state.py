"""What a side knows of the worker beside it at a moment."""

import trio

from kingcuplever.process.agent import executor as executors
from kingcuplever.process.agent import worker_lives
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
        self.lives = worker_lives.Registered()
        self.clock = leases.WorkerClock()
        self.epoch = 0
        self.heard_owner_at = float("-inf")
        self.view: executors.View | None = None
        self.view_wanted_at = 0.0

    @property
    def life(self) -> str:
        """The present life, or an empty text."""
        present = self.lives.present
        return "" if present is None else present.life

    @property
    def is_draining(self) -> bool:
        """Whether the worker takes no new work."""
        present = self.lives.present
        return present is not None and present.draining

    def heard_owner(self, epoch: int) -> None:
        """The owner of an epoch has answered."""
        if epoch >= self.epoch:
            self.epoch = epoch
            self.heard_owner_at = trio.current_time()

    def begin_life(self) -> None:
        """Forget what was about the life before."""
        self.view = None
        self.clock = leases.WorkerClock()

    def lists(self, run: fleet.RunId) -> bool:
        """Tell whether the worker's newest list has a run."""
        if self.view is None:
            return False
        view = self.view
        return any((row.task, row.run) == run for row in view.running) or any(
            (row.task, row.run) == run for row in view.ended
        )
