"""Jobs as the owner holds them: occurrences, and groups that start together.

A group is what is placed as one: a whole gang, or a single task of any other
step.  Its run counts its starts; all members of a run carry the same number.
"""

from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import job_records

WAITING = "w"
ASSIGNED = "a"
DONE = "d"

_FULL_PERCENT = 100
# Progress, in percent, from which on its pace tells of the rest.
_MIN_PERCENT_FOR_PACE = 10
# How many cores one accelerator weighs where work is compared.
CORES_PER_GPU = 8
# Work since the last checkpoint, at most.
_CHECKPOINT_PERIOD_S = 0.5


class Group:
    """Tasks that are placed together.

    :ivar tasks: names of the tasks, by their place in the group.
    :ivar holders: worker that each task holds room on, or an empty text.
    :ivar failed: whether a member of the present run has failed.
    :ivar stopping: why the present run is being stopped, or empty.
    :ivar percents: reported progress of each member.
    :ivar moved_ms: its worker's clock when each member's progress last
        grew; 0 until it is listed.
    :ivar begun_at: steady time when the run began, as far as its first list
        tells; 0 until then, for another owner's runs as well.
    :ivar ready_at: steady time since when it waits for a place.
    :ivar not_before: steady time before which it is not placed again.
    :ivar avoid: workers on which it failed.
    :ivar tickets: leave of the queue's policy for the present run, by
        worker, where that is needed.
    :ivar kept: the checkpoint that its newest record names.
    :ivar kept_percent: its progress when that record was made.
    """

    __slots__ = (
        "job",
        "occurrence",
        "step",
        "first",
        "spec",
        "tasks",
        "run",
        "phase",
        "failures",
        "checkpoint",
        "assigned_workers",
        "has_failed",
        "stop_reason",
        "member_percents",
        "progressed_ms",
        "started_at",
        "ready_at",
        "not_before",
        "avoided_workers",
        "tickets",
        "persisted_checkpoint",
        "persisted_percent",
    )

    def __init__(
        self, job: "Job", occurrence: int, step: int, first: int
    ) -> None:
        """Make a group that waits for its first run."""
        self.job = job
        self.occurrence = occurrence
        self.step = step
        self.first = first
        self.spec = job.spec.steps[step]
        count = self.spec.tasks if self.spec.gang else 1
        self.tasks = tuple(
            str(model.TaskId(job.name, occurrence, step, first + index))
            for index in range(count)
        )
        self.run = 0
        self.phase = WAITING
        self.failures = 0
        self.checkpoint = ""
        self.assigned_workers = [""] * count
        self.has_failed = False
        self.stop_reason = ""
        self.member_percents = [0] * count
        self.progressed_ms = [0] * count
        self.started_at = 0.0
        self.ready_at = 0.0
        self.not_before = 0.0
        self.avoided_workers: set[str] = set()
        self.tickets: dict[str, str] = {}
        self.persisted_checkpoint = ""
        self.persisted_percent = 0

    @property
    def has_no_worker(self) -> bool:
        """Whether no task holds room anywhere."""
        return not any(self.assigned_workers)

    @property
    def is_serving(self) -> bool:
        """Whether a lasting task serves, and is not being stopped."""
        ready = self.percent >= _FULL_PERCENT
        return self.phase == ASSIGNED and ready and not self.stop_reason

    @property
    def percent(self) -> int:
        """Progress of the member that is furthest behind."""
        return min(self.member_percents)

    @property
    def step_name(self) -> str:
        """The name of its step, with the job's and the occurrence's."""
        return f"{self.job.name}.{self.occurrence}.{self.step}"

    @property
    def gpus(self) -> int:
        """Accelerators of all its tasks."""
        return self.spec.gpus * len(self.tasks)

    @property
    def unpersisted_work(self) -> float:
        """Core-seconds done since the checkpoint that is on the log."""
        part = max(0, self.percent - self.persisted_percent) / _FULL_PERCENT
        run_s = self.spec.estimate_ms / 1000
        return part * run_s * self._weighted_cores * len(self.tasks)

    @property
    def _weighted_cores(self) -> float:
        """Cores of one member, with its accelerators' weight."""
        return self.spec.cpu_milli / 1000 + self.spec.gpus * CORES_PER_GPU

    def estimate_remaining_s(self, now: float) -> float:
        """Estimate how long it still needs to run.

        What it has done since its start says more than the submitter's
        guess, which is far off.
        """
        done = self.percent
        ran_s = now - self.started_at
        if (
            self.started_at
            and done >= _MIN_PERCENT_FOR_PACE
            and not self.checkpoint
        ):
            return ran_s * (_FULL_PERCENT - done) / done
        return self.spec.estimate_ms / 1000 * (1 - done / _FULL_PERCENT)

    def estimate_lost_work(self, now: float) -> float:
        """Estimate the core-seconds that one member loses by a stop."""
        if not self.started_at:
            return 0.0
        ran_s = max(0.0, now - self.started_at)
        if self.spec.checkpointing:
            ran_s = min(ran_s, _CHECKPOINT_PERIOD_S)
        return ran_s * self._weighted_cores

    def member_index(self, task: model.TaskId) -> int:
        """Give the number of a task within the group."""
        return task.task_index - self.first

    def is_new(self) -> bool:
        """Tell whether nothing has happened to it yet."""
        return not (self.run or self.phase != WAITING)

    def to_record(self) -> job_records.GroupProgress:
        """Give what must last of it."""
        return job_records.GroupProgress(
            self.occurrence,
            self.step,
            self.first,
            self.run,
            self.phase,
            self.failures,
            self.checkpoint,
            tuple(self.assigned_workers) if any(self.assigned_workers) else (),
        )

    def mark_persisted(self) -> None:
        """Its record was made, with the newest checkpoint."""
        self.persisted_checkpoint = self.checkpoint
        self.persisted_percent = self.percent

    def restore(self, row: job_records.GroupProgress, now: float) -> None:
        """Take over what a record says."""
        self.run = row.run
        self.phase = row.phase
        self.failures = row.failures
        self.checkpoint = self.persisted_checkpoint = row.saved
        if len(row.workers) == len(self.assigned_workers):
            self.assigned_workers = list(row.workers)
        self.ready_at = now

    def update_progress(self, index: int, percent: int, clock_ms: int) -> None:
        """Take in what a member's worker lists.

        :param clock_ms: the worker's clock at that list; time in which no
            list came is no standstill.
        """
        if (
            percent > self.member_percents[index]
            or not self.progressed_ms[index]
        ):
            self.member_percents[index] = percent
            self.progressed_ms[index] = clock_ms

    def estimate_start(self, percent: int, now: float) -> None:
        """Take in the first list that shows the run.

        What it has done says how long it has run; a new owner would take
        old work for young, and cheap to stop.
        """
        if not self.started_at:
            ran_s = self.spec.estimate_ms / 1000 * percent / _FULL_PERCENT
            self.started_at = now - ran_s

    def is_stalled(self, index: int, clock_ms: int, patience_ms: int) -> bool:
        """Tell whether a member should have made progress and has not.

        A member that is ready waits for the others, and all of a gang wait
        until its last member is there.
        """
        if self.member_percents[index] >= _FULL_PERCENT:
            return False
        if not any(self.member_percents) and len(self.tasks) > 1:
            patience_ms *= 2
        moved_ms = self.progressed_ms[index]
        return moved_ms > 0 and clock_ms - moved_ms > patience_ms

    def begin_run(self, holders: tuple[str, ...]) -> None:
        """Begin another run on some workers."""
        self.run += 1
        self.phase = ASSIGNED
        self.assigned_workers = list(holders)
        self._reset_run()

    def end_run(self, not_before: float, now: float) -> None:
        """Wait for a place again."""
        if self.has_failed and not self.spec.long_running:
            self.failures += 1
        self.phase = WAITING
        self.not_before = not_before
        self.ready_at = now
        self._reset_run()

    def _reset_run(self) -> None:
        """Forget what was about one run."""
        self.has_failed = False
        self.stop_reason = ""
        self.started_at = 0.0
        self.member_percents = [0] * len(self.tasks)
        self.progressed_ms = [0] * len(self.tasks)
        self.persisted_percent = 0


class Occurrence:
    """One run through all steps of a job.

    :ivar steps: the groups of each step.
    :ivar left: groups of each step that are not done.
    """

    __slots__ = ("steps", "unfinished")

    def __init__(self, job: "Job", number: int) -> None:
        """Make all groups, waiting."""
        self.steps: list[list[Group]] = []
        for index, spec in enumerate(job.spec.steps):
            stride = spec.tasks if spec.gang else 1
            firsts = range(0, spec.tasks, max(1, stride))
            groups = [Group(job, number, index, first) for first in firsts]
            self.steps.append(groups)
        self.unfinished = [len(groups) for groups in self.steps]

    @property
    def is_done(self) -> bool:
        """Whether every task of every step is done."""
        return not any(self.unfinished)

    @property
    def has_no_worker(self) -> bool:
        """Whether no task holds room anywhere."""
        return all(
            group.has_no_worker for step in self.steps for group in step
        )

    def find_group(self, task: model.TaskId) -> Group | None:
        """Find the group of a task; none if there is no such task."""
        if not 0 <= task.step < len(self.steps):
            return None
        groups = self.steps[task.step]
        if not groups:
            return None
        if groups[0].spec.gang:
            whole = groups[0]
            return whole if 0 <= task.task_index < len(whole.tasks) else None
        return (
            groups[task.task_index]
            if 0 <= task.task_index < len(groups)
            else None
        )


class Job:
    """One accepted job.

    :ivar order: grows with the time of acceptance.
    :ivar state: one of the states of :mod:`model`.
    :ivar next_due: number of the first occurrence that was not opened yet.
    :ivar begun_ms: time of day when a task was first given a worker, or 0.
    :ivar evictions: how often work of it was stopped for other work.
    """

    __slots__ = (
        "name",
        "spec",
        "order",
        "state",
        "open_occurrences",
        "finished_occurrences",
        "next_occurrence",
        "ended_ms",
        "first_placed_ms",
        "evictions",
    )

    def __init__(self, name: str, spec: model.JobSpec, order: int) -> None:
        """Take a job; no occurrence is due yet."""
        self.name = name
        self.spec = spec
        self.order = order
        self.state = model.PENDING
        self.open_occurrences: dict[int, Occurrence] = {}
        self.finished_occurrences: set[int] = set()
        self.next_occurrence = 0
        self.ended_ms = 0
        self.first_placed_ms = 0
        self.evictions = 0

    @property
    def has_ended(self) -> bool:
        """Whether its state is final; tasks may still be stopping."""
        return self.state in model.ENDED_STATES

    @property
    def has_no_worker(self) -> bool:
        """Whether no task holds room anywhere."""
        return all(
            occurrence.has_no_worker
            for occurrence in self.open_occurrences.values()
        )

    def groups(self) -> list[Group]:
        """Give the groups of all open occurrences."""
        return [
            group
            for occurrence in self.open_occurrences.values()
            for step in occurrence.steps
            for group in step
        ]

    def find_group(self, task: model.TaskId) -> Group | None:
        """Find the group of a task that is open."""
        occurrence = self.open_occurrences.get(task.occurrence)
        return None if occurrence is None else occurrence.find_group(task)

    def close_finished(self, number: int) -> None:
        """Forget the groups of a finished occurrence, unless it is the last.

        The last one's groups tell how an ended job went.
        """
        occurrence = self.open_occurrences.get(number)
        if occurrence is None or self.has_ended or not occurrence.is_done:
            return
        if occurrence.has_no_worker:
            del self.open_occurrences[number]

    def to_record(self) -> job_records.Progress:
        """Give what must last of it."""
        rows = tuple(
            group.to_record() for group in self.groups() if not group.is_new()
        )
        finished = tuple(sorted(self.finished_occurrences))
        return job_records.Progress(
            self.name,
            self.state,
            finished,
            rows,
            self.ended_ms,
            self.first_placed_ms,
            self.evictions,
        )

    def restore(self, record: job_records.Progress, now: float) -> None:
        """Take over what a record says."""
        self.state = record.state
        self.finished_occurrences = set(record.finished)
        self.ended_ms = record.ended_ms
        self.first_placed_ms = record.begun_ms
        self.evictions = record.evictions
        for row in record.groups:
            if row.occurrence not in self.open_occurrences:
                self.open_occurrences[row.occurrence] = Occurrence(
                    self, row.occurrence
                )
            occurrence = self.open_occurrences[row.occurrence]
            task = model.TaskId(self.name, row.occurrence, row.step, row.first)
            group = occurrence.find_group(task)
            if group is not None:
                group.restore(row, now)
                if group.phase == DONE:
                    occurrence.unfinished[row.step] -= 1
        opened = [*self.open_occurrences, *self.finished_occurrences]
        self.next_occurrence = max(opened, default=-1) + 1
