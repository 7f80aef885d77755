"""Jobs as the owner holds them: occurrences, and groups that start together.

A group is what is placed as one: a whole gang, or a single task of any other
step.  Its run counts its starts; all members of a run carry the same number.
"""

from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import job_records

WAITING = "w"
ASSIGNED = "a"
DONE = "d"

_ALL_DONE = 100
# Progress, in percent, from which on its pace tells of the rest.
_TELLING = 10
# How many cores one accelerator weighs where work is compared.
CORES_PER_GPU = 8
# Work since the last checkpoint, at most.
_CHECKPOINT_S = 0.5


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
        "saved",
        "holders",
        "failed",
        "stopping",
        "percents",
        "moved_ms",
        "begun_at",
        "ready_at",
        "not_before",
        "avoid",
        "tickets",
        "kept",
        "kept_percent",
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
        self.saved = ""
        self.holders = [""] * count
        self.failed = False
        self.stopping = ""
        self.percents = [0] * count
        self.moved_ms = [0] * count
        self.begun_at = 0.0
        self.ready_at = 0.0
        self.not_before = 0.0
        self.avoid: set[str] = set()
        self.tickets: dict[str, str] = {}
        self.kept = ""
        self.kept_percent = 0

    @property
    def vacant(self) -> bool:
        """Whether no task holds room anywhere."""
        return not any(self.holders)

    @property
    def is_at_work(self) -> bool:
        """Whether a lasting task serves, and is not being stopped."""
        ready = self.percent >= _ALL_DONE
        return self.phase == ASSIGNED and ready and not self.stopping

    @property
    def percent(self) -> int:
        """Progress of the member that is furthest behind."""
        return min(self.percents)

    @property
    def step_name(self) -> str:
        """The name of its step, with the job's and the occurrence's."""
        return f"{self.job.name}.{self.occurrence}.{self.step}"

    @property
    def gpus(self) -> int:
        """Accelerators of all its tasks."""
        return self.spec.gpus * len(self.tasks)

    @property
    def unkept_work(self) -> float:
        """Core-seconds done since the checkpoint that is on the log."""
        part = max(0, self.percent - self.kept_percent) / _ALL_DONE
        run_s = self.spec.estimate_ms / 1000
        return part * run_s * self._cores * len(self.tasks)

    @property
    def _cores(self) -> float:
        """Cores of one member, with its accelerators' weight."""
        return self.spec.cpu_milli / 1000 + self.spec.gpus * CORES_PER_GPU

    def left_s(self, now: float) -> float:
        """Estimate how long it still needs to run.

        What it has done since its start says more than the submitter's
        guess, which is far off.
        """
        done = self.percent
        ran_s = now - self.begun_at
        if self.begun_at and done >= _TELLING and not self.saved:
            return ran_s * (_ALL_DONE - done) / done
        return self.spec.estimate_ms / 1000 * (1 - done / _ALL_DONE)

    def lost_work(self, now: float) -> float:
        """Estimate the core-seconds that one member loses by a stop."""
        if not self.begun_at:
            return 0.0
        ran_s = max(0.0, now - self.begun_at)
        if self.spec.checkpointing:
            ran_s = min(ran_s, _CHECKPOINT_S)
        return ran_s * self._cores

    def index_of(self, task: model.TaskId) -> int:
        """Give the number of a task within the group."""
        return task.place - self.first

    def is_new(self) -> bool:
        """Tell whether nothing has happened to it yet."""
        return not (self.run or self.phase != WAITING)

    def record(self) -> job_records.GroupProgress:
        """Give what must last of it."""
        return job_records.GroupProgress(
            self.occurrence,
            self.step,
            self.first,
            self.run,
            self.phase,
            self.failures,
            self.saved,
            tuple(self.holders) if any(self.holders) else (),
        )

    def note_recorded(self) -> None:
        """Its record was made, with the newest checkpoint."""
        self.kept = self.saved
        self.kept_percent = self.percent

    def restore(self, row: job_records.GroupProgress, now: float) -> None:
        """Take over what a record says."""
        self.run = row.run
        self.phase = row.phase
        self.failures = row.failures
        self.saved = self.kept = row.saved
        if len(row.workers) == len(self.holders):
            self.holders = list(row.workers)
        self.ready_at = now

    def note_progress(self, index: int, percent: int, clock_ms: int) -> None:
        """Take in what a member's worker lists.

        :param clock_ms: the worker's clock at that list; time in which no
            list came is no standstill.
        """
        if percent > self.percents[index] or not self.moved_ms[index]:
            self.percents[index] = percent
            self.moved_ms[index] = clock_ms

    def note_begun(self, percent: int, now: float) -> None:
        """Take in the first list that shows the run.

        What it has done says how long it has run; a new owner would take
        old work for young, and cheap to stop.
        """
        if not self.begun_at:
            ran_s = self.spec.estimate_ms / 1000 * percent / _ALL_DONE
            self.begun_at = now - ran_s

    def is_stuck(self, index: int, clock_ms: int, patience_ms: int) -> bool:
        """Tell whether a member should have made progress and has not.

        A member that is ready waits for the others, and all of a gang wait
        until its last member is there.
        """
        if self.percents[index] >= _ALL_DONE:
            return False
        if not any(self.percents) and len(self.tasks) > 1:
            patience_ms *= 2
        moved_ms = self.moved_ms[index]
        return moved_ms > 0 and clock_ms - moved_ms > patience_ms

    def begin_run(self, holders: tuple[str, ...]) -> None:
        """Begin another run on some workers."""
        self.run += 1
        self.phase = ASSIGNED
        self.holders = list(holders)
        self._clear()

    def end_run(self, not_before: float, now: float) -> None:
        """Wait for a place again."""
        if self.failed and not self.spec.long_running:
            self.failures += 1
        self.phase = WAITING
        self.not_before = not_before
        self.ready_at = now
        self._clear()

    def _clear(self) -> None:
        """Forget what was about one run."""
        self.failed = False
        self.stopping = ""
        self.begun_at = 0.0
        self.percents = [0] * len(self.tasks)
        self.moved_ms = [0] * len(self.tasks)
        self.kept_percent = 0


class Occurrence:
    """One run through all steps of a job.

    :ivar steps: the groups of each step.
    :ivar left: groups of each step that are not done.
    """

    __slots__ = ("steps", "left")

    def __init__(self, job: "Job", number: int) -> None:
        """Make all groups, waiting."""
        self.steps: list[list[Group]] = []
        for index, spec in enumerate(job.spec.steps):
            stride = spec.tasks if spec.gang else 1
            firsts = range(0, spec.tasks, max(1, stride))
            groups = [Group(job, number, index, first) for first in firsts]
            self.steps.append(groups)
        self.left = [len(groups) for groups in self.steps]

    @property
    def done(self) -> bool:
        """Whether every task of every step is done."""
        return not any(self.left)

    @property
    def vacant(self) -> bool:
        """Whether no task holds room anywhere."""
        return all(group.vacant for step in self.steps for group in step)

    def group_of(self, task: model.TaskId) -> Group | None:
        """Find the group of a task; none if there is no such task."""
        if not 0 <= task.step < len(self.steps):
            return None
        groups = self.steps[task.step]
        if not groups:
            return None
        if groups[0].spec.gang:
            whole = groups[0]
            return whole if 0 <= task.place < len(whole.tasks) else None
        return groups[task.place] if 0 <= task.place < len(groups) else None


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
        "open",
        "finished",
        "next_due",
        "ended_ms",
        "begun_ms",
        "evictions",
    )

    def __init__(self, name: str, spec: model.JobSpec, order: int) -> None:
        """Take a job; no occurrence is due yet."""
        self.name = name
        self.spec = spec
        self.order = order
        self.state = model.PENDING
        self.open: dict[int, Occurrence] = {}
        self.finished: set[int] = set()
        self.next_due = 0
        self.ended_ms = 0
        self.begun_ms = 0
        self.evictions = 0

    @property
    def ended(self) -> bool:
        """Whether its state is final; tasks may still be stopping."""
        return self.state in model.ENDED_STATES

    @property
    def vacant(self) -> bool:
        """Whether no task holds room anywhere."""
        return all(occurrence.vacant for occurrence in self.open.values())

    def groups(self) -> list[Group]:
        """Give the groups of all open occurrences."""
        return [
            group
            for occurrence in self.open.values()
            for step in occurrence.steps
            for group in step
        ]

    def find(self, task: model.TaskId) -> Group | None:
        """Find the group of a task that is open."""
        occurrence = self.open.get(task.occurrence)
        return None if occurrence is None else occurrence.group_of(task)

    def close_finished(self, number: int) -> None:
        """Forget the groups of a finished occurrence, unless it is the last.

        The last one's groups tell how an ended job went.
        """
        occurrence = self.open.get(number)
        if occurrence is None or self.ended or not occurrence.done:
            return
        if occurrence.vacant:
            del self.open[number]

    def record(self) -> job_records.Progress:
        """Give what must last of it."""
        rows = tuple(
            group.record() for group in self.groups() if not group.is_new()
        )
        finished = tuple(sorted(self.finished))
        return job_records.Progress(
            self.name,
            self.state,
            finished,
            rows,
            self.ended_ms,
            self.begun_ms,
            self.evictions,
        )

    def restore(self, record: job_records.Progress, now: float) -> None:
        """Take over what a record says."""
        self.state = record.state
        self.finished = set(record.finished)
        self.ended_ms = record.ended_ms
        self.begun_ms = record.begun_ms
        self.evictions = record.evictions
        for row in record.groups:
            if row.occurrence not in self.open:
                self.open[row.occurrence] = Occurrence(self, row.occurrence)
            occurrence = self.open[row.occurrence]
            task = model.TaskId(self.name, row.occurrence, row.step, row.first)
            group = occurrence.group_of(task)
            if group is not None:
                group.restore(row, now)
                if group.phase == DONE:
                    occurrence.left[row.step] -= 1
        opened = [*self.open, *self.finished]
        self.next_due = max(opened, default=-1) + 1
