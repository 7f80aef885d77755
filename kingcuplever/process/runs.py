"""Runs of gangs as plain data: what one attempt of a job has come to.

Shared by the gang protocol, which changes them, and by the owner, which
asks for them.
"""

from collections.abc import Iterator
import enum
from typing import Final
from typing import NamedTuple

from kingcuplever import messages
from kingcuplever.process import ledger as ledgers
from kingcuplever import records
from kingcuplever import shapes

ALIVE: Final = frozenset({messages.RESERVED, messages.RUNNING})

Key = tuple[str, int]


class Stage(enum.Enum):
    """How far a run has come."""

    RESERVING = "reserving"
    COMMITTING = "committing"
    RUNNING = "running"
    STOPPING = "stopping"
    RELEASING = "releasing"
    ENDING = "ending"


class Report(NamedTuple):
    """What a side said about its worker, in a heartbeat or an answer.

    :ivar tasks: every task that the side holds.
    :ivar epoch: the highest epoch that the side has obeyed; reservations
        that it reports were made in that one.
    """

    side: str
    worker: str
    incarnation: int
    sequence: int
    tasks: tuple[messages.TaskState, ...]
    epoch: int


class SideView:
    """The newest report of the side of one worker.

    :ivar heard_at: when it came, on the owner's clock.
    """

    def __init__(self, report: Report, now: float) -> None:
        """Take the first report."""
        self.incarnation = report.incarnation
        self.sequence = report.sequence
        self.epoch = report.epoch
        self.heard_at = now
        self.tasks: dict[Key, dict[int, messages.TaskState]] = {}

    def is_newer(self, report: Report) -> bool:
        """Tell whether a report is newer than what is known."""
        new = (report.incarnation, report.sequence)
        return new > (self.incarnation, self.sequence)

    def update(self, report: Report, now: float) -> None:
        """Take a report in."""
        self.incarnation = report.incarnation
        self.sequence = report.sequence
        self.epoch = report.epoch
        self.heard_at = now
        self.tasks = {}
        for task in report.tasks:
            key = (task.job, task.attempt)
            self.tasks.setdefault(key, {})[task.task] = task


class Run:
    """One attempt of a job on its way.

    :ivar since: when the present stage began.
    :ivar lease_until: no member runs after this, on the owner's clock.
    """

    def __init__(
        self,
        spec: shapes.JobSpec,
        attempt: int,
        commit: records.Commit,
        progress: float,
    ) -> None:
        """Start with nothing reserved."""
        self.spec = spec
        self.attempt = attempt
        self.commit = commit
        self.progress = progress
        self.stage = Stage.RESERVING
        self.since = 0.0
        self.lease_until = 0.0
        self.final = False
        self.checkpoint_ms = 0
        self.reserved: set[str] = set()
        self.stopped: set[str] = set()
        self.started: set[str] = set()
        self.done: set[int] = set()
        self.checkpoints: dict[int, float] = {}
        self.proof = "reported"
        self.members: dict[str, list[int]] = {}
        for task, slot in enumerate(commit.slots):
            self.members.setdefault(slot.worker, []).append(task)

    @property
    def key(self) -> Key:
        """Job and attempt."""
        return (self.spec.job, self.attempt)

    @property
    def name(self) -> str:
        """Job and attempt, for log lines."""
        return f"{self.spec.job}#{self.attempt}"

    def enter(self, stage: Stage, now: float) -> None:
        """Go on to a stage."""
        self.stage = stage
        self.since = now

    def open_members(self) -> Iterator[str]:
        """Give the workers where some task is not done."""
        for worker, tasks in self.members.items():
            if not self.done.issuperset(tasks):
                yield worker


class TaskFailed(NamedTuple):
    """A task failed on a worker."""

    worker: str
    job: str


class TaskDone(NamedTuple):
    """A task was done on a worker."""

    worker: str
    job: str


class GaveUp(NamedTuple):
    """A reservation came to nothing.

    :ivar worker: the worker that refused or was silent, or empty.
    """

    job: str
    worker: str


class Released(NamedTuple):
    """A reservation is surely gone; its room may be used again."""

    job: str
    attempt: int


Notice = TaskFailed | TaskDone | GaveUp | Released


def hold_run(ledger: ledgers.Ledger, run: Run, ends_at: float) -> None:
    """Take the room of a run that is not committed yet.

    :param ends_at: when the run is expected to end.
    """
    for task, slot in enumerate(run.commit.slots):
        ledger.hold(
            ledgers.Holding(
                run.spec.job,
                run.attempt,
                task,
                slot,
                run.spec.shape,
                ends_at,
            )
        )


def any_alive(tasks: dict[int, messages.TaskState]) -> bool:
    """Tell whether any task is reserved or runs."""
    return any(task.phase in ALIVE for task in tasks.values())
