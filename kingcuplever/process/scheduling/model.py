"""Job specifications, scheduling policy, and the names of tasks."""

import re
from typing import Final
from typing import NamedTuple

from kingcuplever import intents

PENDING: Final = "pending"
RUNNING: Final = "running"
COMPLETED: Final = "completed"
FAILED: Final = "failed"
CANCELLED: Final = "cancelled"

ENDED_STATES: Final = frozenset((COMPLETED, FAILED, CANCELLED))

# Tasks of a job that may be open at a time, in all its occurrences.  Its
# progress, some 100 bytes a task, is one record on the log.
MAX_TASKS: Final = 2000
# Occurrences of one job; its record on the log lists all that are done.
MAX_OCCURRENCES: Final = 10_000
# Largest number in a job: as a time in milliseconds, beyond the year 30000.
MAX_NUMBER: Final = 10**15
# A job's name may contain dots.  Each number has one spelling, so that each
# task has one name.
_NUMBER_PATTERN: Final = r"(0|[1-9][0-9]{0,15})"
_TASK_NAME: Final = re.compile(
    rf"(.*)\.{_NUMBER_PATTERN}\.{_NUMBER_PATTERN}\.{_NUMBER_PATTERN}",
    re.DOTALL,
)


class Resources(NamedTuple):
    """A resource vector: a task's request or a worker's capacity.

    :ivar cpu_milli: thousandths of a core.
    """

    cpu_milli: int
    memory_mb: int
    gpus: int

    def add(self, other: "Resources") -> "Resources":
        """Return the sum of two resource vectors."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def subtract(self, other: "Resources") -> "Resources":
        """Return the difference of two resource vectors."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def cap(self, most: "Resources") -> "Resources":
        """Return these resources, but no more than ``most`` of each."""
        return Resources(*map(min, self, most))

    def fits_into(self, available: "Resources") -> bool:
        """Return whether the available resources cover these."""
        return (
            self.cpu_milli <= available.cpu_milli
            and self.memory_mb <= available.memory_mb
            and self.gpus <= available.gpus
        )

    def count_fits(self, available: "Resources", most: int) -> int:
        """Return how many of these fit, at most ``most``."""
        fits = [
            max(0, there) // needed
            for needed, there in zip(self, available, strict=True)
            if needed
        ]
        return min([most, *fits])


NO_RESOURCES: Final = Resources(0, 0, 0)


class StepSpec(NamedTuple):
    """One step of a job.

    :ivar tasks: number of tasks.
    :ivar estimate_ms: run time of one task, as the submitter estimates it.
    :ivar after: indices of the steps that must be done first.
    :ivar gang: the tasks start and end together.
    :ivar same_rack: the gang is slow when it spans racks.
    :ivar label: a label that the worker must have, or empty.
    :ivar data_rack: rack that holds the data, or empty; tasks are slow in
        other racks.
    :ivar most_per_worker: most tasks on one worker; 0 for no limit.
    :ivar speculative: several copies of a task may run at once.
    :ivar long_running: the tasks run until the job is cancelled.
    :ivar image: program that runs; tasks of one image behave alike.
    :ivar target_ms: target for the tail latency of a serving task, or 0.
    :ivar fills: a best-effort task that uses spare CPU; its CPU request
        does not count against a worker's capacity.
    :ivar may_miss: disruption budget: most tasks that may be down for
        maintenance at a time, 0 for no limit.  A step with a budget is
        never preempted.
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
        """Resources that one task takes out of a worker's capacity."""
        cpu_milli = 0 if self.fills else self.cpu_milli
        return Resources(cpu_milli, self.memory_mb, self.gpus)


class JobSpec(NamedTuple):
    """A job as it was submitted.

    :ivar queue: name of its queue.
    :ivar pool: service whose workers run it, as its queue named it at
        submission.
    :ivar payload: opaque; passed unchanged to each task.
    :ivar times: number of occurrences of a periodic job; 0 for a job that
        runs once, without delay.
    :ivar first_ms: wall-clock time when occurrence 0 is due.
    :ivar accepted_ms: wall-clock time when an entry accepted it.
    :ivar priority: priority of its queue at submission, used if the queue
        is removed.
    :ivar most_attempts: attempt limit of its queue at submission, used if
        the queue is removed.
    :ivar data_centre: where it must run, or empty.
    :ivar team: team of the account, or empty.
    :ivar plan: the operator's confirmed plan that created it, or empty.
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
        """Number of times that the steps run."""
        return max(1, self.times)

    def due_ms(self, occurrence: int) -> int:
        """Return the wall-clock time when an occurrence is due; 0 for now."""
        if not self.times:
            return 0
        return self.first_ms + occurrence * self.period_ms


def explain_invalid(spec: JobSpec) -> str:
    """Return why a job can't be scheduled; empty if it can.

    All that schedules a job relies on this, so no job gets there without it,
    neither from a caller nor from the log.
    """
    if not spec.steps:
        return "it has no steps"
    for number, step in enumerate(spec.steps):
        if step.tasks < 1:
            return f"step {number} has no tasks"
        if not all(0 <= earlier < number for earlier in step.after):
            return f"step {number} comes after what is no earlier step"
    tasks = sum(step.tasks for step in spec.steps)
    if tasks > MAX_TASKS:
        return f"it has {tasks} tasks; the limit is {MAX_TASKS}"
    if spec.times > MAX_OCCURRENCES:
        return f"it has {spec.times} times; the limit is {MAX_OCCURRENCES}"
    numbers = [spec.accepted_ms, spec.times, spec.first_ms, spec.period_ms]
    for step in spec.steps:
        numbers += [value for value in step if type(value) is int]
    if not all(0 <= number <= MAX_NUMBER for number in numbers):
        return f"it has a number that is not from 0 to {MAX_NUMBER}"
    return ""


class QueuePolicy(NamedTuple):
    """Scheduling policy for the jobs of one queue.

    :ivar priority: 0 is the most urgent.
    :ivar most_attempts: failures of a task after which its job fails.
    :ivar stretch: objective for a job's completion time, as a multiple of
        its critical path.
    :ivar slack_ms: added to that objective.
    :ivar needs_advice: a step runs only on workers for which the adviser
        has issued a ticket.
    """

    name: str
    pool: str
    priority: int
    most_attempts: int
    stretch: float
    slack_ms: int
    needs_advice: bool = False


class Policy(NamedTuple):
    """The part of the configuration that the scheduler uses.

    :ivar guaranteed_gpus: accelerators that are guaranteed to an account's
        jobs of priority 0, by account.
    :ivar accounts: guaranteed shapes and limits that operators stated.
    :ivar starvation_s: waiting time after which workers are reserved for a
        group.
    :ivar worker_failures: consecutive failures, of at least two different
        tasks, after which a worker is quarantined.
    :ivar probation_s: length of a quarantine.
    :ivar max_headroom_share: largest share of a pool's accelerators that is
        kept idle for expected urgent work.
    :ivar drains_per_hour: how often each worker is expected to leave at
        short notice, beside what the scheduler sees.
    :ivar uses_host_speeds: whether the learned speeds of hosts order the
        workers for a placement.
    :ivar separates_neighbours: whether tasks that slow each other down are
        placed apart where there is room.
    """

    version: int
    queues: dict[str, QueuePolicy]
    guaranteed_gpus: dict[str, int]
    accounts: tuple[intents.AccountSpec, ...] = ()
    starvation_s: float = float("inf")
    worker_failures: int = 3
    probation_s: float = 6.0
    max_headroom_share: float = 0.125
    drains_per_hour: float = 0.0
    uses_host_speeds: bool = False
    separates_neighbours: bool = False


class CrashHistory(NamedTuple):
    """What crashes of workers say about the tasks of a group.

    :ivar proven: runs under which a worker crashed with nothing else on it,
        and whose host then stayed up without them.
    :ivar suspicion: weight of the crashes of workers that it shared.
    :ivar alone_ms: how long its next run must be at work with nothing else
        on its workers; 0 if it may share them.
    :ivar unconfirmed: hosts whose worker crashed with nothing else on it, and
        that have not stayed up without the group yet.
    """

    proven: int = 0
    suspicion: int = 0
    alone_ms: int = 0
    unconfirmed: tuple[str, ...] = ()


NO_CRASHES: Final = CrashHistory()


class TaskId(NamedTuple):
    """Identifies one task of one occurrence of a job.

    :ivar task_index: index of the task in its step.
    """

    job: str
    occurrence: int
    step: int
    task_index: int

    def __str__(self) -> str:
        """Return the name that workers and records use for the task."""
        return f"{self.job}.{self.occurrence}.{self.step}.{self.task_index}"


def parse_task_name(name: str) -> TaskId | None:
    """Parse a task's name; return None if it is not well formed."""
    found = _TASK_NAME.fullmatch(name)
    if found is None:
        return None
    job, occurrence, step, task_index = found.groups()
    return TaskId(job, int(occurrence), int(step), int(task_index))
