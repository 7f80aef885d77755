"""Workers as the owner knows them: their reports, orders and free resources.

A worker is one incarnation of an executor on one host.  Its name contains the
name of its side, so that a newer incarnation on the same host supersedes the
older one.  An executor may restart under the id that it had: the name of an
incarnation contains the time of its start, if the executor states it.
"""

from typing import Final
from typing import NamedTuple

from kingcuplever.process.scheduling import model

_SIDE_SEPARATOR: Final = "@"
_BIRTH_SEPARATOR: Final = "~"
# Why a start is refused in a data centre that is evacuated.
EVACUATED: Final = "evacuated"


class RunId(NamedTuple):
    """Identifies one start of one task."""

    task: str
    run: int


class StartOrder(NamedTuple):
    """An order to a worker to start a task.

    :ivar checkpoint: checkpoint to resume from, or empty.
    :ivar ticket: ticket of the queue's adviser, or empty.
    """

    task: str
    run: int
    payload: str
    checkpoint: str
    ticket: str = ""


class RunningTask(NamedTuple):
    """A task that a worker reports as running.

    :ivar checkpoint: its newest checkpoint, or empty.
    :ivar percent: progress.
    :ivar usage: tail latency of a serving task in milliseconds, else CPU
        usage in thousandths of a core.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    usage: int


class EndedTask(NamedTuple):
    """The end of a run that a worker reports.

    :ivar number: sequence number of the end within this incarnation.
    :ivar outcome: ``done``, ``failed``, ``stopped``, ``lapsed`` (its lease
        expired), ``broken`` (another member ended) or ``alone`` (the other
        members did not start in time).
    :ivar checkpoint: its newest checkpoint, or empty.
    """

    number: int
    task: str
    run: int
    outcome: str
    checkpoint: str


class RefusedTask(NamedTuple):
    """A start order that is certain never to be carried out."""

    task: str
    run: int
    reason: str


class WorkerStatus(NamedTuple):
    """A side's report about its worker.

    :ivar worker: name of the worker, see :func:`worker_name`.
    :ivar draining: it takes no new work and will leave.
    :ivar remaining_ms: minimum time until it leaves; 0 if unknown.
    :ivar has_ended: this incarnation of the worker has ended.
    :ivar running: its tasks; those that had started there if it has ended.
    :ivar clock_ms: the worker's own clock when it listed its tasks.
    :ivar orders: number of the orders that the side follows; absent if it
        does not say.
    :ivar is_unreachable: nobody listens at the worker's address.
    :ivar crashed: it has ended by a crash, seen by a side in contact.
    :ivar has_more: further parts of this report follow.
    :ivar is_cut: the worker has more ends than it lists.
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
    orders: int | None = None
    is_unreachable: bool = False
    crashed: bool = False
    has_more: bool = False
    is_cut: bool = False


def incarnation_name(worker_id: str, born_ms: int | None) -> str:
    """Return the name of an incarnation.

    :param worker_id: id of the executor, which may outlive an incarnation.
    :param born_ms: wall-clock time of its start, if the executor states it.
    :raises ValueError: the id contains a character with a meaning in names.
    """
    if _SIDE_SEPARATOR in worker_id or _BIRTH_SEPARATOR in worker_id:
        raise ValueError(f"{worker_id!r:.40} is no id of a worker")
    if born_ms is None:
        return worker_id
    return f"{worker_id}{_BIRTH_SEPARATOR}{born_ms}"


def worker_name(incarnation: str, side: str) -> str:
    """Return the name of a worker, from its incarnation and its side."""
    return f"{incarnation}{_SIDE_SEPARATOR}{side}"


def incarnation_of(worker: str) -> str:
    """Return the incarnation in a worker's name."""
    return worker.partition(_SIDE_SEPARATOR)[0]


def worker_id_of(name: str) -> str:
    """Return the executor's id in the name of a worker or incarnation."""
    return incarnation_of(name).partition(_BIRTH_SEPARATOR)[0]


def has_birth(incarnation: str) -> bool:
    """Return whether the name of an incarnation contains its start."""
    return _BIRTH_SEPARATOR in incarnation


def side_of(worker: str) -> str:
    """Return the side in a worker's name."""
    return worker.partition(_SIDE_SEPARATOR)[2]


class Worker:
    """One worker.

    :ivar allocations: resources allocated to each run, until its end is
        reported.
    :ivar orphans: resources of runs that it lists and the owner has given
        up, until their end is reported.
    :ivar pending_starts: start orders that the side has not confirmed.
    :ivar pending_stops: runs that must end there.
    :ivar orders_number: number of the newest orders sent.
    :ivar orders_sent_at: monotonic time when they were sent.
    :ivar paces: share of its CPU that a filling run may use, in percent,
        for runs that are or were slowed.
    :ivar adopted_runs: filling runs of a former owner, until the first list.
    :ivar probes_pace: whether the pace that they can have is being probed.
    :ivar pace_percent: that share for all filling runs, in percent.
    :ivar pace_set_at: monotonic time when that share last changed.
    :ivar acked: ends up to this number are on the log.
    :ivar has_reported: whether its capacity is known.
    :ivar is_connected: whether its side is connected now.
    :ivar last_report_at: monotonic time of its last report.
    :ivar drain_ends_at: monotonic time until which a draining worker stays.
    :ivar clock_ms: its own clock at its last report.
    :ivar listed_at: monotonic time of the report with its newest list.
    :ivar listed: its tasks in that list, as far as the report has come.
    :ivar lists_all: whether what has not been reported is not there.
    :ivar is_unreachable: whether nobody listens at its address.
    :ivar cordoned: takes no new work, since its host goes down for
        maintenance.
    :ivar is_evacuated: takes no new work, since its data centre is evacuated.
    :ivar quarantined_until: monotonic time when its quarantine ends.
    """

    def __init__(self, name: str, now: float) -> None:
        """Create a worker of which only the name is known."""
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
        self.listed_at = now
        self.listed: dict[RunId, RunningTask] = {}
        self.lists_all = False
        self._awaits_part = False
        self.is_unreachable = False
        self.allocations: dict[RunId, model.Resources] = {}
        self.orphans: dict[RunId, model.Resources] = {}
        self.pending_starts: dict[RunId, StartOrder] = {}
        self.pending_stops: set[RunId] = set()
        self.paces: dict[RunId, int] = {}
        self.adopted_runs: set[RunId] = set()
        self.probes_pace = False
        self.pace_percent = 100
        self.pace_set_at = float("-inf")
        self.acked = 0
        self.orders_changed = False
        self.orders_number = 0
        self.orders_sent_at = float("-inf")
        self.quarantined_until = 0.0
        self.cordoned = False
        self.is_evacuated = False
        self._failures = 0
        self._failed_tasks: set[str] = set()

    @property
    def rack(self) -> str:
        """Rack of its host, or empty."""
        return self.labels[1] if len(self.labels) > 1 else ""

    @property
    def is_idle(self) -> bool:
        """Whether no run is allocated to it or left on it."""
        return not (self.allocations or self.orphans)

    @property
    def is_schedulable(self) -> bool:
        """Whether it takes new work."""
        return not (
            self.draining
            or self.cordoned
            or self.is_unreachable
            or self.is_evacuated
        )

    def update(self, status: WorkerStatus, now: float) -> None:
        """Apply what a report says about the worker itself."""
        self.data_centre = status.data_centre
        self.pool = status.pool
        self.labels = status.labels
        self.draining = status.draining
        self.drain_ends_at = float("inf")
        if status.draining:
            self.drain_ends_at = now + status.remaining_ms / 1000
        self.has_reported = True
        self.is_connected = True
        self.last_report_at = now
        self.is_unreachable = status.is_unreachable
        if status.clock_ms != self.clock_ms:
            self.listed_at = now
        if status.clock_ms != self.clock_ms or not self._awaits_part:
            self.listed = {}
        self._awaits_part = status.has_more
        self.clock_ms = status.clock_ms
        for task in status.running:
            self.listed[RunId(task.task, task.run)] = task
        self.lists_all = not (status.has_more or status.is_cut)
        if self.capacity != status.capacity:
            self.capacity = status.capacity
            self._recompute_free()

    def allocate(self, run: RunId, request: model.Resources) -> None:
        """Allocate resources to a task that is about to start."""
        self.allocations[run] = request
        self.free = self.free.subtract(request)

    def add_orphan(self, run: RunId, request: model.Resources) -> None:
        """Count the resources of a run that the owner has given up."""
        self.orphans[run] = request
        self.free = self.free.subtract(request)

    def release(self, run: RunId) -> None:
        """Release the resources of a run, and drop the orders about it.

        The run must be certain not to run here any more.
        """
        self.paces.pop(run, None)
        for requests in (self.allocations, self.orphans):
            request = requests.pop(run, None)
            if request is not None:
                self.free = self.free.add(request)
        if (
            self.pending_starts.pop(run, None) is not None
            or run in self.pending_stops
        ):
            self.pending_stops.discard(run)
            self.orders_changed = True

    def record_failure(
        self, task: str, policy: model.Policy, now: float
    ) -> bool:
        """Record a failure; return whether it starts a quarantine."""
        self._failures += 1
        self._failed_tasks.add(task)
        too_few = self._failures < policy.worker_failures
        if too_few or len(self._failed_tasks) < 2:
            return False
        return self.quarantine(policy.probation_s, now)

    def quarantine(self, duration_s: float, now: float) -> bool:
        """Quarantine the worker; return whether it was not before."""
        is_new = now >= self.quarantined_until
        self.quarantined_until = now + duration_s
        return is_new

    def reset_failures(self) -> None:
        """Reset the failure count, after a task was done."""
        self._failures = 0
        self._failed_tasks.clear()

    def _recompute_free(self) -> None:
        free = self.capacity
        for requests in (self.allocations, self.orphans):
            for request in requests.values():
                free = free.subtract(request)
        self.free = free
