"""The workers as the owner knows them, and the room that is left on each.

A worker is one life of an executor on one host.  Its name holds the name of
the side beside it, so that a newer life on the same host shows that the
older one is gone.
"""

from typing import NamedTuple

from kingcuplever.process.scheduling import model


class RunId(NamedTuple):
    """Names one start of one task."""

    task: str
    run: int


class StartOrder(NamedTuple):
    """Asks a worker to start a task.

    :ivar saved: checkpoint to go on from, or empty.
    :ivar ticket: leave of the queue's policy, or empty.
    """

    task: str
    run: int
    payload: str
    checkpoint: str
    ticket: str = ""


class RunningTask(NamedTuple):
    """A task that a worker lists as running.

    :ivar saved: its newest checkpoint, or empty.
    :ivar percent: share of its work that is done.
    :ivar usage: tail latency in ms of a serving task, else thousandths of
        a core in use.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    usage: int


class EndedTask(NamedTuple):
    """An end that a worker lists.

    :ivar number: counts the ends of this worker's life.
    :ivar outcome: ``done``, ``failed``, ``stopped``, ``lapsed``,
        ``broken`` (another member ended) or ``alone`` (it waited in vain
        for the others).
    """

    number: int
    task: str
    run: int
    outcome: str
    checkpoint: str


class RefusedTask(NamedTuple):
    """A start that is surely not carried out, now or later."""

    task: str
    run: int
    reason: str


class WorkerStatus(NamedTuple):
    """What a side reports about its worker.

    :ivar worker: name of the worker, with its side's.
    :ivar draining: it takes no new work and will leave.
    :ivar remaining_ms: least time left before it leaves; 0 if not known.
    :ivar gone: this life of the worker has ended.
    :ivar clock_ms: the worker's own clock when it gave these lists.
    """

    worker: str
    side: str
    data_centre: str
    pool: str
    capacity: model.Resources
    labels: tuple[str, ...]
    draining: bool
    remaining_ms: int
    has_ended: bool
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    refused: tuple[RefusedTask, ...]
    clock_ms: int


def worker_name(incarnation: str, side: str) -> str:
    """Name a worker by its life and the side beside it."""
    return f"{incarnation}@{side}"


def incarnation_of(worker: str) -> str:
    """Give the life's name out of a worker's."""
    return worker.partition("@")[0]


def side_of(worker: str) -> str:
    """Give the side's name out of a worker's."""
    return worker.partition("@")[2]


class Worker:
    """One worker.

    :ivar held: room that each started task holds, until its end is heard.
    :ivar starts: orders that the worker's side has not confirmed.
    :ivar stops: runs that must end there.
    :ivar paces: share of a core at which filling tasks may work, where it
        is not the whole.
    :ivar pace: that share for all of them, in percent.
    :ivar acked: ends up to this number are kept on the log.
    :ivar known: whether its capacity has been heard.
    :ivar linked: whether its side is linked now.
    :ivar heard_at: steady time of its last report.
    :ivar clock_ms: its own clock at its last list.
    :ivar cordoned: it gets no new work, since its host goes down.
    """

    def __init__(self, name: str, now: float) -> None:
        """Know a worker by name only."""
        self.name = name
        self.side = side_of(name)
        self.data_centre = ""
        self.pool = ""
        self.capacity = model.NO_RESOURCES
        self.free = model.NO_RESOURCES
        self.labels: tuple[str, ...] = ()
        self.draining = False
        self.drain_ends_at = float("inf")
        self.has_reported = False
        self.is_connected = False
        self.last_report_at = now
        self.clock_ms = 0
        self.allocations: dict[RunId, model.Resources] = {}
        self.pending_starts: dict[RunId, StartOrder] = {}
        self.pending_stops: set[RunId] = set()
        self.paces: dict[RunId, int] = {}
        self.pace_of = 100
        self.pace_set_at = float("-inf")
        self.acked = 0
        self.orders_changed = False
        self.quarantined_until = 0.0
        self.cordoned = False
        self._failures = 0
        self._failed_tasks: set[str] = set()

    @property
    def rack(self) -> str:
        """The rack it stands in, or empty."""
        return self.labels[1] if len(self.labels) > 1 else ""

    @property
    def is_schedulable(self) -> bool:
        """Whether new work may go there, as far as it stays."""
        return not (self.draining or self.cordoned)

    def update(self, listing: WorkerStatus, now: float) -> None:
        """Take in what a report says about the worker itself."""
        self.data_centre = listing.data_centre
        self.pool = listing.pool
        self.labels = listing.labels
        self.draining = listing.draining
        self.drain_ends_at = float("inf")
        if listing.draining:
            self.drain_ends_at = now + listing.remaining_ms / 1000
        self.has_reported = True
        self.is_connected = True
        self.last_report_at = now
        self.clock_ms = listing.clock_ms
        if self.capacity != listing.capacity:
            self.capacity = listing.capacity
            self._count_free()

    def allocate(self, run: RunId, need: model.Resources) -> None:
        """Keep room for a task that is about to start."""
        self.allocations[run] = need
        self.free = self.free.subtract(need)

    def release(self, run: RunId) -> None:
        """Give room back: the task surely does not run here any more."""
        self.paces.pop(run, None)
        need = self.allocations.pop(run, None)
        if need is not None:
            self.free = self.free.add(need)
        if (
            self.pending_starts.pop(run, None) is not None
            or run in self.pending_stops
        ):
            self.pending_stops.discard(run)
            self.orders_changed = True

    def record_failure(
        self, task: str, policy: model.Policy, now: float
    ) -> bool:
        """Note a failure; tell whether the worker is set aside for it."""
        self._failures += 1
        self._failed_tasks.add(task)
        too_few = self._failures < policy.worker_failures
        if too_few or len(self._failed_tasks) < 2:
            return False
        return self.quarantine(policy.probation_s, now)

    def quarantine(self, duration_s: float, now: float) -> bool:
        """Give it no work for a while; tell whether that is new."""
        is_new = now >= self.quarantined_until
        self.quarantined_until = now + duration_s
        return is_new

    def reset_failures(self) -> None:
        """Note that a task was done."""
        self._failures = 0
        self._failed_tasks.clear()

    def _count_free(self) -> None:
        free = self.capacity
        for need in self.allocations.values():
            free = free.subtract(need)
        self.free = free
