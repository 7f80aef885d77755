"""In-memory state of jobs: their occurrences and groups of tasks.

A group is the unit of placement: a whole gang, or a single task of any other
step.  A run is one start of a group.  Runs are numbered, and all members of a
run carry its number.
"""

from collections.abc import Iterable

from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import progress
from kingcuplever.process.scheduling import runtime_estimate
from kingcuplever.process.stored import job_records

WAITING = "w"
ASSIGNED = "a"
DONE = "d"

# First word of the reason why a run is stopped in favour of other work.
RECLAIMED = "reclaimed"

_FULL_PERCENT = 100
# Weight of one accelerator, in cores, where amounts of work are compared.
CORES_PER_GPU = 8
# Longest wait before a takeover that counts after it.
_MAX_RESTORED_WAIT_S = 60.0
# Workers that a group avoids, as far as a record names them: the newest.
_MAX_RECORDED_AVOIDED = 8
# A checkpointing task loses at most this much of its run time by a stop.
_CHECKPOINT_PERIOD_S = 0.5


class Group:
    """Tasks that are placed together.

    :ivar tasks: names of the tasks, by their index in the group.
    :ivar run: number of the current run; 0 before the first.
    :ivar checkpoint: newest checkpoint that a worker has reported.
    :ivar assigned_workers: worker on which each task has an allocation, or
        an empty string.
    :ivar has_failed: whether a member of the current run has failed.
    :ivar stop_reason: why the current run is being stopped, or empty.
    :ivar member_percents: reported progress of each member.
    :ivar member_progress: how fast each member progresses, once a report
        has listed it.
    :ivar progressed_ms: worker's clock when each member's progress last
        grew; 0 until a report lists the member.
    :ivar started_at: monotonic time when the run started, estimated from
        the first report that lists it; 0 until then, also for a run of the
        previous owner.
    :ivar ready_at: monotonic time when it became ready to be placed.
    :ivar ready_ms: wall-clock time when its last run ended, or 0.
    :ivar not_before: monotonic time before which it is not placed again.
    :ivar avoided_workers: workers on which it failed, stalled or was
        refused, the newest last.
    :ivar tickets: the adviser's ticket for the current run, by worker, where
        the queue needs one.
    :ivar crashes: crashes of workers under its runs.
    :ivar persisted_checkpoint: the checkpoint in its newest record.
    :ivar persisted_percent: its progress when that record was made.
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
        "member_progress",
        "progressed_ms",
        "started_at",
        "ready_at",
        "ready_ms",
        "not_before",
        "avoided_workers",
        "tickets",
        "crashes",
        "persisted_checkpoint",
        "persisted_percent",
    )

    def __init__(
        self, job: "Job", occurrence: int, step: int, first: int
    ) -> None:
        """Create a group that waits for its first run."""
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
        self.member_progress: dict[int, progress.RunProgress] = {}
        self.progressed_ms = [0] * count
        self.started_at = 0.0
        self.ready_at = 0.0
        self.ready_ms = 0
        self.not_before = 0.0
        self.avoided_workers: dict[str, None] = {}
        self.tickets: dict[str, str] = {}
        self.crashes = model.NO_CRASHES
        self.persisted_checkpoint = ""
        self.persisted_percent = 0

    @property
    def has_no_worker(self) -> bool:
        """Whether no task has an allocation on a worker."""
        return not any(self.assigned_workers)

    @property
    def is_whole(self) -> bool:
        """Whether no task of the current run has left its worker."""
        return self.phase == ASSIGNED and "" not in self.assigned_workers

    @property
    def is_listed(self) -> bool:
        """Whether reports have listed every task of the current run."""
        return all(self.progressed_ms)

    @property
    def must_run_alone(self) -> bool:
        """Whether nothing else may be on its workers, as one crashed."""
        return self.crashes.alone_ms > 0

    def get_time_at_work_s(self, now: float) -> float:
        """Return how long the current run has been at work; 0 if unlisted."""
        return max(0.0, now - self.started_at) if self.started_at else 0.0

    @property
    def is_serving(self) -> bool:
        """Whether a long-running group is ready and not being stopped."""
        ready = self.percent >= _FULL_PERCENT
        return self.phase == ASSIGNED and ready and not self.stop_reason

    @property
    def percent(self) -> int:
        """Progress of the slowest member."""
        return min(self.member_percents)

    @property
    def step_name(self) -> str:
        """Name of its step, ``JOB.OCCURRENCE.STEP``."""
        return f"{self.job.name}.{self.occurrence}.{self.step}"

    @property
    def kind(self) -> str:
        """Name that tasks share which behave alike.

        Without an image, it is the step that the queue's jobs have there.
        """
        return self.spec.image or f"{self.job.spec.queue}/{self.step}"

    @property
    def stop_cause(self) -> str:
        """First word of the reason why its run is being stopped, if it is."""
        return self.stop_reason.partition(" ")[0]

    @property
    def gpus(self) -> int:
        """Accelerators of all its tasks."""
        return self.spec.gpus * len(self.tasks)

    @property
    def unpersisted_work(self) -> float:
        """Core-seconds of work since the checkpoint that is on the log."""
        share = max(0, self.percent - self.persisted_percent) / _FULL_PERCENT
        run_s = self.spec.estimate_ms / 1000
        return share * run_s * self._weighted_cores * len(self.tasks)

    @property
    def _weighted_cores(self) -> float:
        """Cores of one member, plus its accelerators by their weight."""
        return self.spec.cpu_milli / 1000 + self.spec.gpus * CORES_PER_GPU

    def estimate_remaining_s(self, now: float) -> float:
        """Estimate the remaining run time."""
        run = runtime_estimate.RunView(
            self.percent,
            self._estimate_paced_s(),
            self.get_time_at_work_s(now),
            bool(self.checkpoint),
            self.spec.estimate_ms / 1000,
        )
        spec = self.job.spec
        return runtime_estimate.estimate_remaining_s(
            run, self.job.run_times, spec.queue, spec.account
        )

    def _estimate_paced_s(self) -> float | None:
        """Return the remaining run time by the rates of all members."""
        if len(self.member_progress) < len(self.tasks):
            return None
        slowest_s = 0.0
        for index, measured in self.member_progress.items():
            left = 1 - self.member_percents[index] / _FULL_PERCENT
            if left and not measured.run_s:
                return None
            slowest_s = max(slowest_s, left * measured.run_s)
        return slowest_s

    def estimate_lost_work(self, now: float) -> float:
        """Estimate the core-seconds that one member loses if stopped now."""
        if not self.started_at:
            return 0.0
        ran_s = max(0.0, now - self.started_at)
        if self.spec.checkpointing:
            ran_s = min(ran_s, _CHECKPOINT_PERIOD_S)
        return ran_s * self._weighted_cores

    def index_of(self, task: str) -> int:
        """Return the index of one of its tasks, given the task's name."""
        return int(task.rpartition(".")[2]) - self.first

    def is_new(self) -> bool:
        """Return whether it has never been placed, so needs no record."""
        return not (self.run or self.phase != WAITING)

    def to_record(self) -> job_records.GroupProgress:
        """Build the record of its progress."""
        return job_records.GroupProgress(
            self.occurrence,
            self.step,
            self.first,
            self.run,
            self.phase,
            self.known_failures,
            self.checkpoint,
            tuple(self.assigned_workers) if any(self.assigned_workers) else (),
            self.crashes,
            (*self.avoided_workers,)[-_MAX_RECORDED_AVOIDED:],
            self.ready_ms if self.phase == WAITING else 0,
        )

    def avoid_worker(self, worker: str) -> None:
        """Avoid a worker from now on, where there is another."""
        self.avoided_workers.pop(worker, None)
        self.avoided_workers[worker] = None

    def mark_persisted(self) -> None:
        """Mark the newest checkpoint and progress as persisted."""
        self.persisted_checkpoint = self.checkpoint
        self.persisted_percent = self.percent

    def restore(
        self, row: job_records.GroupProgress, now: float, wall_ms: int
    ) -> None:
        """Restore the state from a record."""
        self.run = row.run
        self.phase = row.phase
        self.failures = row.failures
        self.checkpoint = self.persisted_checkpoint = row.saved
        self.crashes = row.crashes
        self.avoided_workers = dict.fromkeys(row.avoided)
        if len(row.workers) == len(self.assigned_workers):
            self.assigned_workers = list(row.workers)
        self.ready_at = now
        if row.phase == WAITING and row.ready_ms:
            # Clocks of owners may differ.
            waited_s = (wall_ms - row.ready_ms) / 1000
            self.ready_at -= min(max(0.0, waited_s), _MAX_RESTORED_WAIT_S)
            self.ready_ms = row.ready_ms

    def update_progress(self, index: int, percent: int, clock_ms: int) -> None:
        """Apply the progress of a member that its worker reports.

        :param clock_ms: the worker's clock at that report.  With this clock,
            time without reports does not count as a stall.
        """
        measured = self.member_progress.get(index)
        if measured is None:
            self.member_progress[index] = progress.RunProgress(percent)
        else:
            measured.update(percent, clock_ms)
        if (
            percent > self.member_percents[index]
            or not self.progressed_ms[index]
        ):
            self.member_percents[index] = percent
            self.progressed_ms[index] = clock_ms

    def estimate_start(self, percent: int, now: float) -> None:
        """Estimate the start of the run from the first report that lists it.

        Derives the time from the progress: a new owner would otherwise take
        a long run for a recent one that is cheap to stop.  Submitters'
        estimates are no evidence that clears a suspect, though.
        """
        if self.started_at:
            return
        ran_s = self.spec.estimate_ms / 1000 * percent / _FULL_PERCENT
        self.started_at = now if self.must_run_alone else now - ran_s

    def is_stalled(self, index: int, clock_ms: int, timeout_ms: int) -> bool:
        """Return whether a member has made no progress for too long.

        A member at 100 percent may wait for the others.  A gang makes no
        progress until its last member has started, so it gets twice the
        time until then.
        """
        if self.member_percents[index] >= _FULL_PERCENT:
            return False
        if not any(self.member_percents) and len(self.tasks) > 1:
            timeout_ms *= 2
        progressed_ms = self.progressed_ms[index]
        return progressed_ms > 0 and clock_ms - progressed_ms > timeout_ms

    def begin_run(self, workers: tuple[str, ...]) -> None:
        """Begin a new run, with one worker for each task."""
        self.run += 1
        self.phase = ASSIGNED
        self.assigned_workers = list(workers)
        self._reset_run()

    @property
    def known_failures(self) -> int:
        """Number of runs that have failed, with the current one."""
        counts_now = self.has_failed and not self.spec.long_running
        return self.failures + (1 if counts_now else 0)

    def end_run(self, not_before: float, now: float, wall_ms: int) -> None:
        """End the run; the group waits to be placed again."""
        self.failures = self.known_failures
        if self.stop_cause == RECLAIMED:
            self.job.evictions += 1
        self.phase = WAITING
        self.not_before = not_before
        self.ready_at = now
        self.ready_ms = wall_ms
        self._reset_run()

    def _reset_run(self) -> None:
        """Reset the state of the run."""
        self.has_failed = False
        self.stop_reason = ""
        self.started_at = 0.0
        self.member_percents = [0] * len(self.tasks)
        self.member_progress = {}
        self.progressed_ms = [0] * len(self.tasks)
        self.persisted_percent = 0


class Occurrence:
    """One occurrence of a job: its steps, run through once.

    :ivar steps: the groups of each step.
    :ivar unfinished: number of groups of each step that are not done.
    :ivar blockers: number of steps that are not done and come before each.
    """

    __slots__ = ("steps", "unfinished", "blockers")

    def __init__(self, job: "Job", number: int) -> None:
        """Create all groups, in the waiting phase."""
        self.steps: list[list[Group]] = []
        for index, spec in enumerate(job.spec.steps):
            group_size = spec.tasks if spec.gang else 1
            firsts = range(0, spec.tasks, max(1, group_size))
            groups = [Group(job, number, index, first) for first in firsts]
            self.steps.append(groups)
        self.unfinished = [len(groups) for groups in self.steps]
        self.blockers = [len({*spec.after}) for spec in job.spec.steps]

    def unblock(self, steps: Iterable[int]) -> list[int]:
        """Count a step that is done.

        :param steps: those that come after it.
        :return: those among them that are ready now.
        """
        ready = []
        for step in steps:
            self.blockers[step] -= 1
            if not self.blockers[step]:
                ready.append(step)
        return ready

    @property
    def is_done(self) -> bool:
        """Whether every task of every step is done."""
        return not any(self.unfinished)

    @property
    def has_no_worker(self) -> bool:
        """Whether no task has an allocation on a worker."""
        return all(
            group.has_no_worker for step in self.steps for group in step
        )

    def find_group(self, task: model.TaskId) -> Group | None:
        """Return the group of a task; None if there is no such task."""
        if not 0 <= task.step < len(self.steps):
            return None
        groups = self.steps[task.step]
        if not groups:
            return None
        if groups[0].spec.gang:
            gang = groups[0]
            return gang if 0 <= task.task_index < len(gang.tasks) else None
        return (
            groups[task.task_index]
            if 0 <= task.task_index < len(groups)
            else None
        )


class Job:
    """One accepted job.

    :ivar submit_offset: offset of the submission record; sorts the jobs.
    :ivar state: one of the states of :mod:`model`.
    :ivar next_occurrence: lowest number of an occurrence that may not have
        been opened.
    :ivar ended_ms: wall-clock time of its end, or 0.
    :ivar first_placed_ms: wall-clock time of its first placement, or 0.
    :ivar evictions: number of its groups' runs that were preempted and have
        ended, so that each record with such an end has the count.
    :ivar run_times: what is seen of run times on the queues, if anything is.
    :ivar dependents: the steps that come after each step.
    """

    __slots__ = (
        "name",
        "spec",
        "submit_offset",
        "state",
        "open_occurrences",
        "finished_occurrences",
        "next_occurrence",
        "ended_ms",
        "first_placed_ms",
        "evictions",
        "run_times",
        "dependents",
    )

    def __init__(
        self, name: str, spec: model.JobSpec, submit_offset: int
    ) -> None:
        """Create a pending job without open occurrences."""
        self.name = name
        self.spec = spec
        self.submit_offset = submit_offset
        self.state = model.PENDING
        self.open_occurrences: dict[int, Occurrence] = {}
        self.finished_occurrences: set[int] = set()
        self.next_occurrence = 0
        self.ended_ms = 0
        self.first_placed_ms = 0
        self.evictions = 0
        self.run_times: runtime_estimate.RunTimes | None = None
        self.dependents: list[list[int]] = [[] for _ in spec.steps]
        for number, step in enumerate(spec.steps):
            for earlier in {*step.after}:
                self.dependents[earlier].append(number)

    @property
    def has_ended(self) -> bool:
        """Whether its state is final; some tasks may still be stopping."""
        return self.state in model.ENDED_STATES

    @property
    def has_no_worker(self) -> bool:
        """Whether no task has an allocation on a worker."""
        return all(
            occurrence.has_no_worker
            for occurrence in self.open_occurrences.values()
        )

    @property
    def is_at_task_limit(self) -> bool:
        """Whether another occurrence would open too many tasks at a time."""
        tasks = sum(step.tasks for step in self.spec.steps)
        return (
            bool(self.open_occurrences)
            and tasks * (len(self.open_occurrences) + 1) > model.MAX_TASKS
        )

    def groups(self) -> list[Group]:
        """Return the groups of all open occurrences."""
        return [
            group
            for occurrence in self.open_occurrences.values()
            for step in occurrence.steps
            for group in step
        ]

    def find_group(self, task: model.TaskId) -> Group | None:
        """Return the group of a task in an open occurrence."""
        occurrence = self.open_occurrences.get(task.occurrence)
        return None if occurrence is None else occurrence.find_group(task)

    def drop_finished_occurrence(self, number: int) -> None:
        """Drop a finished occurrence that has no worker any more.

        An ended job keeps its open occurrences, as the log line and the
        status row of its end use their groups.
        """
        occurrence = self.open_occurrences.get(number)
        if occurrence is None or self.has_ended or not occurrence.is_done:
            return
        if occurrence.has_no_worker:
            del self.open_occurrences[number]

    def to_record(self) -> job_records.Progress:
        """Build the record of its progress."""
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

    def restore(
        self, record: job_records.Progress, now: float, wall_ms: int
    ) -> None:
        """Restore the state from a record."""
        self.state = record.state
        self.finished_occurrences = {
            number
            for number in record.finished
            if 0 <= number < self.spec.occurrences
        }
        self.ended_ms = record.ended_ms
        self.first_placed_ms = record.begun_ms
        self.evictions = record.evictions
        for row in record.groups:
            occurrence = self._open_recorded(row.occurrence)
            if occurrence is None:
                continue
            task = model.TaskId(self.name, row.occurrence, row.step, row.first)
            group = occurrence.find_group(task)
            if group is None:
                continue
            was_done = group.phase == DONE
            group.restore(row, now, wall_ms)
            if group.phase == DONE and not was_done:
                occurrence.unfinished[row.step] -= 1
        for occurrence in self.open_occurrences.values():
            for step, unfinished in enumerate(occurrence.unfinished):
                if not unfinished:
                    occurrence.unblock(self.dependents[step])
        # A later occurrence may have been placed before an earlier one, which
        # is in no record then.
        while self.has_opened(self.next_occurrence):
            self.next_occurrence += 1

    def has_opened(self, number: int) -> bool:
        """Return whether an occurrence is open or has been."""
        return (
            number in self.open_occurrences
            or number in self.finished_occurrences
        )

    def _open_recorded(self, number: int) -> Occurrence | None:
        """Return an occurrence that a record names, if it can be open."""
        occurrence = self.open_occurrences.get(number)
        if occurrence is not None:
            return occurrence
        if not 0 <= number < self.spec.occurrences or self.is_at_task_limit:
            return None
        occurrence = Occurrence(self, number)
        self.open_occurrences[number] = occurrence
        return occurrence
