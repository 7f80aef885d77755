"""The interface to the worker beside a side: start, stop, list and hold.

Everything that runs on a worker holds a lease on the worker's own clock;
holding prolongs the lease of all of it.
"""

from typing import NamedTuple
from typing import Protocol

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model


class Registration(NamedTuple):
    """What a worker says about itself when it registers.

    :ivar life: name of its present life.
    :ivar sequence: grows with each registration of this life.
    :ivar remaining_ms: least time until a draining worker leaves, counted
        from when it said so.
    :ivar heard_at: steady time when it said so.
    """

    incarnation: str
    sequence: int
    pool: str
    data_centre: str
    capacity: model.Resources
    labels: tuple[str, ...]
    draining: bool
    remaining_ms: int
    received_at: float

    def time_left_ms(self, now: float) -> int:
        """Give what is left of the time until it leaves."""
        return max(0, self.remaining_ms - int((now - self.received_at) * 1000))


class TaskList(NamedTuple):
    """What a worker lists.

    :ivar clock_ms: its own steady clock.
    """

    clock_ms: int
    running: tuple[fleet.RunningTask, ...]
    ended: tuple[fleet.EndedTask, ...]


class StartAnswer(NamedTuple):
    """A worker's answer to a start.

    :ivar accepted: the run is there.
    :ivar reason: why it is not: ``old`` (it ended or was stopped there),
        ``late`` (its lease was over), ``fence``, ``room``, ``ticket``,
        ``unhealthy`` or ``invalid``.
    """

    accepted: bool
    reason: str


class Executor(Protocol):
    """One life of the worker beside this process.

    Every call raises :class:`kingcuplever.errors.ExecutorChanged` where
    another life answers, and :class:`kingcuplever.errors.PlatformFailed`
    where no whole answer came: it may be carried out, also later.
    """

    async def start(
        self,
        incarnation: str,
        order: fleet.StartOrder,
        lease_end_ms: int,
        epoch: int,
    ) -> StartAnswer:
        """Start a task.

        :param until_ms: end of the lease on the worker's clock.
        """

    async def stop(
        self, incarnation: str, run: fleet.RunId, epoch: int
    ) -> bool:
        """Stop a run, or keep it from starting; false if fenced."""

    async def pace(
        self, incarnation: str, run: fleet.RunId, percent: int, epoch: int
    ) -> bool:
        """Let a task work at a share; false if fenced or not there."""

    async def renew_and_list(
        self,
        incarnation: str,
        epoch: int,
        acked: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> TaskList:
        """Prolong the lease of all that runs, and list it.

        :param acked: ends up to this number may be forgotten.
        :param until_ms: absent to list only.
        :param wait_ms: how long the answer may wait for an end.
        """
