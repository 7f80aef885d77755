"""What a job is: steps of tasks, what they need, and when they are due."""

from typing import Final
from typing import NamedTuple

from kingcuplever import intents

PENDING: Final = "pending"
RUNNING: Final = "running"
COMPLETED: Final = "completed"
FAILED: Final = "failed"
CANCELLED: Final = "cancelled"

ENDED_STATES: Final = frozenset((COMPLETED, FAILED, CANCELLED))


class Resources(NamedTuple):
    """What one task takes of a worker.

    :ivar cpu_milli: thousandths of a core.
    """

    cpu_milli: int
    memory_mb: int
    gpus: int

    def add(self, other: "Resources") -> "Resources":
        """Add two needs."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def subtract(self, other: "Resources") -> "Resources":
        """Take a need away."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def fits_into(self, available: "Resources") -> bool:
        """Tell whether there is room for it."""
        return (
            self.cpu_milli <= available.cpu_milli
            and self.memory_mb <= available.memory_mb
            and self.gpus <= available.gpus
        )


NO_RESOURCES: Final = Resources(0, 0, 0)


class StepSpec(NamedTuple):
    """One step of a job.

    :ivar tasks: how many tasks it has.
    :ivar estimate_ms: the submitter's guess of one task's run time.
    :ivar after: numbers of earlier steps that must be done first.
    :ivar gang: the tasks work only together and end together.
    :ivar same_rack: a gang is slow across racks.
    :ivar label: a label that the worker must have, or empty.
    :ivar data_rack: rack where the data lies, or empty; slow elsewhere.
    :ivar most_per_worker: most tasks on one worker; 0 for no limit.
    :ivar speculative: copies may run side by side.
    :ivar long_running: runs until the job is cancelled.
    :ivar image: what runs; tasks of one image behave alike.
    :ivar target_ms: tail latency that a serving task keeps to, or 0.
    :ivar fills: its processor need is not counted.
    :ivar may_miss: how many tasks may be away by our own doing.
    """

    tasks: int
    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    most_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0

    @property
    def resources(self) -> Resources:
        """What one task takes of a worker's capacity."""
        cpu_milli = 0 if self.fills else self.cpu_milli
        return Resources(cpu_milli, self.memory_mb, self.gpus)


class JobSpec(NamedTuple):
    """A job as it was handed in.

    :ivar queue: name of the queue that took it.
    :ivar pool: service whose workers run it, as the queue said then.
    :ivar payload: given to each task as it is.
    :ivar times: how often the steps run; 0 for once, at once.
    :ivar first_ms: time of day when occurrence 0 is due.
    :ivar accepted_ms: time of day when an entry took it.
    :ivar priority: of its queue then, for when the queue is gone.
    :ivar most_attempts: likewise.
    :ivar data_centre: where it must run, or empty.
    :ivar team: team of the account, or empty.
    :ivar plan: the operator's plan that was confirmed for it, or empty.
    """

    queue: str
    pool: str
    account: str
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_ms: int
    times: int = 0
    first_ms: int = 0
    period_ms: int = 0
    priority: int = 2
    most_attempts: int = 3
    data_centre: str = ""
    team: str = ""
    plan: str = ""

    @property
    def occurrences(self) -> int:
        """How often the steps run."""
        return max(1, self.times)

    def due_ms(self, occurrence: int) -> int:
        """Time of day from when an occurrence may run; 0 for at once."""
        if not self.times:
            return 0
        return self.first_ms + occurrence * self.period_ms


class QueuePolicy(NamedTuple):
    """How the jobs of one queue are treated.

    :ivar priority: 0 goes first.
    :ivar most_attempts: a task that failed so often fails its job.
    :ivar stretch: objective, as a multiple of the longest chain of work.
    :ivar slack_ms: added to the objective.
    :ivar needs_advice: only workers with a ticket may run its steps.
    """

    name: str
    pool: str
    priority: int
    most_attempts: int
    stretch: float
    slack_ms: int
    needs_advice: bool = False


class Policy(NamedTuple):
    """The part of the configuration that scheduling uses.

    :ivar guaranteed_gpus: accelerators that an account's jobs of priority
        0 can have at all times, by account.
    :ivar accounts: what operators promised as shapes, and limits.
    :ivar headroom_part: at most this part of a pool's accelerators is kept
        idle for urgent work that is likely to come.
    :ivar patience_s: work that has waited longer has room kept for it.
    :ivar worker_failures: failures in a row, over two tasks at least, that
        set a worker aside.
    :ivar probation_s: how long it is set aside before it is tried again.
    """

    version: int
    queues: dict[str, QueuePolicy]
    guaranteed_gpus: dict[str, int]
    accounts: tuple[intents.AccountSpec, ...] = ()
    starvation_s: float = float("inf")
    worker_failures: int = 3
    probation_s: float = 6.0
    max_headroom_share: float = 0.125


class TaskId(NamedTuple):
    """Names one task of one occurrence of a job.

    :ivar place: number of the task in its step.
    """

    job: str
    occurrence: int
    step: int
    task_index: int

    def __str__(self) -> str:
        """Give the name under which workers know the task."""
        return f"{self.job}.{self.occurrence}.{self.step}.{self.task_index}"


def parse_task_name(name: str) -> TaskId | None:
    """Read a task's name; none if it is no name of ours."""
    # A job's own name may hold dots.
    parts = name.rsplit(".", 3)
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskId(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))
