"""Checks the system's promises against the observations of a soak run.

The observations are the responses to callers and the runs on workers.  The
checks are pure functions, so that tests can give each of them a history that
breaks its promise.
"""

from collections.abc import Iterable
import json
from typing import Final
from typing import NamedTuple

from soak import clients
from standins import wire_worker

# Longest time from the acknowledgement of a cancellation to the end of the
# job's last task: detection of a silent host, its lease and the stop.
MAX_CANCEL_S: Final = 25.0


class ObservedRun(NamedTuple):
    """One run of a task on one worker.

    :ivar worker: index of the worker.
    :ivar ended_at: end of the run; of the observation if it still runs.
    """

    worker: int
    task: str
    run_number: int
    gpus: int
    phase: str
    started_at: float
    ended_at: float

    @property
    def job_name(self) -> str:
        """Name of the job that the task belongs to."""
        return self.task.partition(".")[0]


class Observation(NamedTuple):
    """Jobs and task runs of one soak run.

    :ivar acknowledged_ends: ends of tasks that were acknowledged to their
        worker while its lease was valid.
    """

    jobs: tuple[clients.TrackedJob, ...]
    runs: tuple[ObservedRun, ...]
    acknowledged_ends: tuple[wire_worker.AcknowledgedEnd, ...]


def collect_observation(
    jobs: Iterable[clients.TrackedJob],
    workers: Iterable[wire_worker.WireWorker],
    now: float,
) -> Observation:
    """Collect the jobs of the callers and the runs on the stand-in workers.

    :param now: end of the runs that still run, as Unix time.
    """
    runs = []
    acknowledged_ends: list[wire_worker.AcknowledgedEnd] = []
    for number, worker in enumerate(workers):
        acknowledged_ends += worker.acknowledged_ends
        for row in worker.list_runs():
            runs.append(
                ObservedRun(
                    number,
                    row.id,
                    row.run,
                    row.gpus,
                    row.phase,
                    row.started_at,
                    row.ended_at or now,
                )
            )
    return Observation(tuple(jobs), tuple(runs), tuple(acknowledged_ends))


def find_broken_promises(observation: Observation) -> list[str]:
    """Return a line for each broken promise: its rule and the job or task."""
    return [
        *_check_lost_jobs(observation),
        *_check_refused_jobs(observation),
        *_check_unrequested_runs(observation),
        *_check_worker_capacity(observation),
        *_check_concurrent_runs(observation),
        *_check_runs_after_end(observation),
        *_check_reported_states(observation),
        *_check_completed_jobs(observation),
        *find_idle_lasting_tasks(observation),
        *_check_order(observation),
        *_check_cancelled_jobs(observation),
    ]


def _check_lost_jobs(observation: Observation) -> Iterable[str]:
    """Check that accepted jobs that were not cancelled have ended."""
    for job in observation.jobs:
        if job.accepted_at and not job.cancel_sent_at and not job.lasts:
            if job.state not in ("completed", "failed"):
                yield f"LOST {job.name}: last reported as {job.state!r}"


def _check_refused_jobs(observation: Observation) -> Iterable[str]:
    """Check that jobs whose every submission was refused never run."""
    refused = {job.name for job in observation.jobs if job.only_refused}
    for run in observation.runs:
        if run.job_name in refused:
            yield f"REFUSED {run.task}: ran at {run.started_at:.2f}"


def _check_unrequested_runs(observation: Observation) -> Iterable[str]:
    """Check that only submitted jobs run, and with their payload."""
    bodies = {job.name: job.body for job in observation.jobs}
    for run in observation.runs:
        body = bodies.get(run.job_name)
        if body is None:
            yield f"UNASKED {run.task}: its job was never submitted"
        elif run.gpus != json.loads(body["Spec"]).get("gpus", 0):
            yield f"UNASKED {run.task}: payload differs from the submitted one"


def _check_worker_capacity(observation: Observation) -> Iterable[str]:
    """Check that no worker runs more than its accelerators allow."""
    for run in observation.runs:
        concurrent = [
            other
            for other in observation.runs
            if other.worker == run.worker
            and other.started_at <= run.started_at < other.ended_at
        ]
        used = sum(other.gpus for other in concurrent)
        if used > wire_worker.GPUS:
            yield f"LIMIT {run.task}: {used} accelerators in use on one worker"


def _check_concurrent_runs(observation: Observation) -> Iterable[str]:
    """Check that runs of one task do not overlap in time."""
    by_task: dict[str, list[ObservedRun]] = {}
    for run in observation.runs:
        by_task.setdefault(run.task, []).append(run)
    for task, runs in by_task.items():
        runs.sort(key=lambda run: run.started_at)
        for earlier, later in zip(runs, runs[1:], strict=False):
            if later.started_at < earlier.ended_at:
                yield (
                    f"TWICE {task}: run {later.run_number} overlaps run"
                    f" {earlier.run_number} at {later.started_at:.2f}"
                )


def _check_runs_after_end(observation: Observation) -> Iterable[str]:
    """Check that no task starts again after an end that is acknowledged.

    It counts from the end on, whenever it is acknowledged.
    """
    acknowledged = {
        (end.task, end.run)
        for end in observation.acknowledged_ends
        if end.outcome == "done"
    }
    done_at = _find_first_ends(
        run
        for run in observation.runs
        if (run.task, run.run_number) in acknowledged
    )
    for run in observation.runs:
        if run.started_at > done_at.get(run.task, run.started_at):
            yield (
                f"TWICE {run.task}: run {run.run_number} after an end that"
                " was acknowledged"
            )


def _check_reported_states(observation: Observation) -> Iterable[str]:
    """Check the states that callers saw.

    A job is reported as completed only after its tasks have ended, and an
    accepted job never becomes unknown.
    """
    done_at: dict[str, float] = {}
    for run in observation.runs:
        if run.phase == "done":
            done_at[run.job_name] = max(
                done_at.get(run.job_name, 0.0), run.ended_at
            )
    for job in observation.jobs:
        for at, state in job.observed_states:
            if state == "completed" and not done_at.get(job.name, at) < at:
                yield f"MIXED {job.name}: completed before its tasks ended"
        states = [state for _, state in job.observed_states]
        if job.accepted_at and "gone" in states:
            yield f"LOST {job.name}: accepted, then reported as unknown"


def _check_cancelled_jobs(observation: Observation) -> Iterable[str]:
    """Check that tasks of cancelled jobs end within the bound."""
    for job in observation.jobs:
        if not job.cancel_acknowledged_at:
            continue
        for run in observation.runs:
            late_s = run.ended_at - job.cancel_acknowledged_at
            if run.job_name == job.name and late_s > MAX_CANCEL_S:
                yield f"UNASKED {run.task}: ran on for {late_s:.1f} s"


def _check_completed_jobs(observation: Observation) -> Iterable[str]:
    """Check that each task of each occurrence of a completed job was done.

    One end of a gang stands for all its members.
    """
    done = {run.task for run in observation.runs if run.phase == "done"}
    for job in observation.jobs:
        if job.state != "completed":
            continue
        for occurrence in range(job.occurrences):
            for number, step in enumerate(job.body["Steps"]):
                names = _list_tasks(job, occurrence, number)
                missing = [name for name in names if name not in done]
                if step.get("Gang") and len(missing) < len(names):
                    continue
                for name in missing:
                    yield f"MIXED {name}: never done, its job is completed"


def find_idle_lasting_tasks(observation: Observation) -> list[str]:
    """Return a line for each task of a job that lasts that does not run."""
    broken = []
    running = {run.task for run in observation.runs if run.phase == "running"}
    for job in observation.jobs:
        if job.accepted_at and job.lasts and not job.cancel_sent_at:
            for name in _list_tasks(job, 0, 0):
                if name not in running:
                    broken.append(f"LOST {name}: it lasts, and does not run")
    return broken


def _check_order(observation: Observation) -> Iterable[str]:
    """Check that the tasks of earlier steps are done before one starts."""
    done_at = _find_first_ends(observation.runs)
    jobs = {job.name: job for job in observation.jobs}
    for run in observation.runs:
        job = jobs.get(run.job_name)
        if job is None:
            continue
        occurrence, step = map(int, run.task.split(".")[1:3])
        for earlier in job.body["Steps"][step].get("After", ()):
            for name in _list_tasks(job, occurrence, earlier):
                if done_at.get(name, run.ended_at) > run.started_at:
                    yield f"ORDER {run.task}: started before {name} was done"


def _find_first_ends(runs: Iterable[ObservedRun]) -> dict[str, float]:
    """Return when a run of each task first ended as done, by task."""
    done_at: dict[str, float] = {}
    for run in runs:
        if run.phase == "done":
            at = done_at.get(run.task, run.ended_at)
            done_at[run.task] = min(at, run.ended_at)
    return done_at


def _list_tasks(
    job: clients.TrackedJob, occurrence: int, step: int
) -> list[str]:
    count = job.body["Steps"][step]["Count"]
    return [f"{job.name}.{occurrence}.{step}.{n}" for n in range(count)]
