"""Interface to the worker beside a side: start, stop, renew and list.

Every task on a worker holds a lease that ends on the worker's own clock.
One renewal extends the leases of all tasks on the worker.
"""

from typing import NamedTuple
from typing import Protocol

from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model


class Registration(NamedTuple):
    """What a worker reports about itself when it registers.

    :ivar incarnation: name of this start of the worker, see
        :func:`kingcuplever.process.scheduling.fleet.incarnation_name`.
    :ivar sequence: increases with each registration of this incarnation.
    :ivar remaining_ms: minimum time until a draining worker leaves, counted
        from ``received_at``.
    :ivar received_at: monotonic time of the registration, in seconds.
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
        """Return the minimum time from ``now`` until the worker leaves."""
        return max(0, self.remaining_ms - int((now - self.received_at) * 1000))


class TaskList(NamedTuple):
    """The tasks of a worker.

    :ivar clock_ms: the worker's monotonic clock.
    :ivar ended: tasks whose end has not been acknowledged.
    :ivar incarnation: incarnation that has answered; empty if the worker does
        not state when it started, so that it is the one addressed.
    :ivar is_cut: there may be more ends than are listed, so that a run in
        neither list may have ended.
    """

    clock_ms: int
    running: tuple[fleet.RunningTask, ...]
    ended: tuple[fleet.EndedTask, ...]
    incarnation: str = ""
    is_cut: bool = False


class StartAnswer(NamedTuple):
    """A worker's answer to a start.

    :ivar accepted: the worker has the run.
    :ivar reason: why it does not: ``old`` (the run ended or was stopped
        there), ``late`` (its lease had expired), ``fence`` (stale epoch),
        ``room`` (no capacity), ``ticket``, ``unhealthy`` or ``invalid``.
    """

    accepted: bool
    reason: str


class Executor(Protocol):
    """Client of the worker beside this process.

    Every call raises :class:`kingcuplever.errors.ExecutorReplaced` if a worker
    with another id answers, and :class:`kingcuplever.errors.PlatformFailed` if
    no complete response arrived: the call may take effect, even later.  Of the
    incarnations with one id, a call reaches the one that is up; only a list
    shows which.
    """

    async def start(
        self,
        incarnation: str,
        order: fleet.StartOrder,
        lease_end_ms: int,
        epoch: int,
    ) -> StartAnswer:
        """Start a task.

        :param lease_end_ms: end of the lease on the worker's clock.
        """

    async def stop(
        self, incarnation: str, run: fleet.RunId, epoch: int
    ) -> bool:
        """Stop a run or prevent its start; return false if fenced."""

    async def pace(
        self, incarnation: str, run: fleet.RunId, percent: int, epoch: int
    ) -> bool:
        """Limit a task's share of its CPU.

        :return: false if the call was fenced or the run is not there.
        """

    async def renew_and_list(
        self,
        incarnation: str,
        epoch: int,
        acked: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> TaskList:
        """Renew the leases of all tasks and list the tasks.

        :param acked: number up to which ends are acknowledged, so that the
            worker may drop them.
        :param lease_end_ms: new end of the leases on the worker's clock;
            absent to list only.
        :param wait_ms: how long the worker may delay its answer until a task
            ends.
        """
