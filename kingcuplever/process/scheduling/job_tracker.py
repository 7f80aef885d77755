"""Manages the lifecycle of jobs: occurrences, steps, runs and retries."""

from collections.abc import Iterable
from typing import Final

from kingcuplever import logs
from kingcuplever.process.scheduling import crash_proofs
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import scheduler_state
from kingcuplever.process.stored import evidence_records
from kingcuplever.process.stored import job_table

# Pause before a group is placed again, unless its outcome allows an
# immediate retry.
_RETRY_BACKOFF_S: Final = 0.2
# Outcomes after which another worker can be tried without a pause.
_IMMEDIATE_RETRY: Final = frozenset(
    ("failed", "lost", "crashed", "stopped", "broken")
)
# Ended jobs are kept longer than callers are promised, since a submission may
# be repeated seconds after the job was accepted.
_RETENTION_SLACK_MS: Final = 30_000


class JobTracker:
    """Updates jobs as their tasks start, end and are lost."""

    def __init__(self, state: scheduler_state.SchedulerState) -> None:
        """Use the state that the scheduler's parts share."""
        self._state = state

    def load_job(
        self,
        name: str,
        stored: job_table.StoredJob,
        now: float,
        wall_ms: int,
    ) -> None:
        """Load a stored job, with the runs that a previous owner started.

        One that can't be loaded is left out, and its runs are stopped.
        """
        if stored.spec is None:
            return
        with self._state.barrier.contain("loading", name) as loading:
            self._load_job(name, stored.spec, stored, now, wall_ms)
        if loading.has_failed:
            self._forget_job(name)

    def _load_job(
        self,
        name: str,
        spec: model.JobSpec,
        stored: job_table.StoredJob,
        now: float,
        wall_ms: int,
    ) -> None:
        job = job_state.Job(name, spec, stored.submit_offset)
        job.run_times = self._state.run_times
        if stored.progress is not None:
            job.restore(stored.progress, now, wall_ms)
        if job.has_ended and job.has_no_worker:
            self._state.ended_jobs[name] = job.ended_ms
            return
        self._state.jobs[name] = job
        self._record_acceptance(job)
        self._record_urgent_demand(job, now)
        for group in job.groups():
            self._adopt_run(group, now)
        if job.has_ended:
            self._stop_groups(job, job.state)
        elif stored.cancelled:
            self.end_job(job, model.CANCELLED, "cancelled", wall_ms)
        else:
            for occurrence in job.open_occurrences.values():
                self._enqueue_all_ready(job, occurrence, now)
            self._open_occurrences(job, now, wall_ms)

    def _forget_job(self, name: str) -> None:
        """Drop what is known of a job that was not loaded as a whole.

        Workers that run its tasks list them, and are told to stop them.
        """
        job = self._state.jobs.pop(name, None)
        if job is None:
            return
        for group in job.groups():
            self._state.ready_queue.discard(group)
            self._state.isolated_groups.pop(group, None)
            self._state.unticketed_starts.pop(group, None)
            for task, worker_name in zip(
                group.tasks, group.assigned_workers, strict=True
            ):
                worker = self._state.workers.get(worker_name)
                if worker is not None:
                    worker.release(fleet.RunId(task, group.run))

    def _record_acceptance(self, job: job_state.Job) -> None:
        text = (
            f"Job {job.name} of {job.spec.account} on {job.spec.queue},"
            f" order {job.submit_offset}: taken, {job.state}."
        )
        self._state.queue_log_line(logs.Component.PLACE, text)
        if job.state == model.PENDING:
            spec = job.spec
            accepted = evidence_records.JobAccepted(
                job.name, spec.account, spec.queue, spec.plan
            )
            self._state.record_evidence(accepted)

    def _record_urgent_demand(self, job: job_state.Job, now: float) -> None:
        """Record an urgent job, from which the headroom is estimated."""
        queue = self._state.queue_policy_of(job)
        if queue.priority == 0:
            step = job.spec.steps[0]
            self._state.headroom.record_arrival(
                queue.pool, step, step.tasks, now
            )

    def _adopt_run(self, group: job_state.Group, now: float) -> None:
        """Take over the run of a group that a previous owner placed."""
        if not group.has_no_worker:
            # The previous owner may have failed before it wrote this evidence.
            self._state.record_evidence(
                evidence_records.GroupPlaced(
                    group.job.name,
                    group.tasks[0],
                    group.run,
                    len(group.tasks),
                    group.spec.gpus,
                    tuple(group.assigned_workers),
                    evidence_records.ADOPTED_WAIT_MS,
                )
            )
        if group.phase == job_state.ASSIGNED and group.has_no_worker:
            group.phase = job_state.WAITING
        self._state.crash_proofs.restore(group, now)
        queue = self._state.queue_policy_of(group.job)
        for index, worker_name in enumerate(group.assigned_workers):
            if not worker_name:
                continue
            if worker_name not in self._state.workers:
                self._state.workers[worker_name] = fleet.Worker(
                    worker_name, self._state.permitted_until
                )
            worker = self._state.workers[worker_name]
            run = fleet.RunId(group.tasks[index], group.run)
            worker.allocate(run, group.spec.resources)
            if group.spec.fills:
                worker.adopted_runs.add(run)
            if group.must_run_alone:
                self._state.isolated_groups[group] = None
            if group.phase == job_state.DONE:
                # Its task was done by a former run.
                self._state.order_stop(worker, run)
            elif queue.needs_advice:
                self._state.unticketed_starts[group] = None
            elif group.phase == job_state.ASSIGNED:
                self._state.order_start(worker, group, run)
        if group.phase == job_state.ASSIGNED and "" in group.assigned_workers:
            group.stop_reason = "broken before the takeover"
            self._state.order_group_stop(group)

    def open_due_occurrences(self, now: float, wall_ms: int) -> None:
        """Open the due occurrences of all jobs."""
        for job in self._state.jobs.values():
            if not job.has_ended:
                with self._state.barrier.contain("occurrences", job.name):
                    self._open_occurrences(job, now, wall_ms)

    def _open_occurrences(
        self, job: job_state.Job, now: float, wall_ms: int
    ) -> None:
        """Open the due occurrences of one job."""
        while job.next_occurrence < job.spec.occurrences:
            number = job.next_occurrence
            if wall_ms < job.spec.due_ms(number) or job.is_at_task_limit:
                return
            job.next_occurrence += 1
            if job.has_opened(number):
                continue
            occurrence = job_state.Occurrence(job, number)
            job.open_occurrences[number] = occurrence
            self._enqueue_all_ready(job, occurrence, now)

    def _enqueue_all_ready(
        self, job: job_state.Job, occurrence: job_state.Occurrence, now: float
    ) -> None:
        """Queue the waiting groups of all steps that are ready."""
        ready = [
            step
            for step, blockers in enumerate(occurrence.blockers)
            if not blockers
        ]
        self._enqueue_groups(job, occurrence, ready, now)

    def _enqueue_groups(
        self,
        job: job_state.Job,
        occurrence: job_state.Occurrence,
        steps: Iterable[int],
        now: float,
    ) -> None:
        """Queue the waiting groups of steps whose dependencies are done.

        An ended job starts nothing more; a task that was at work when it was
        cancelled may still end as done.
        """
        if job.has_ended:
            return
        for step in steps:
            if not occurrence.unfinished[step]:
                continue
            for group in occurrence.steps[step]:
                if (
                    group.phase == job_state.WAITING
                    and group not in self._state.ready_queue
                ):
                    group.ready_at = group.ready_at or now
                    self._state.ready_queue.add(group)
                    self._state.needs_placement = True

    def finish_group(
        self, group: job_state.Group, now: float, wall_ms: int
    ) -> None:
        """Mark a group as done.

        Members that have not reported their end keep their allocations.
        """
        if group.phase == job_state.DONE:
            return
        group.phase = job_state.DONE
        job = group.job
        occurrence = job.open_occurrences[group.occurrence]
        occurrence.unfinished[group.step] -= 1
        self._state.dirty_jobs[job.name] = None
        self._state.ready_queue.discard(group)
        if not occurrence.unfinished[group.step]:
            ready = occurrence.unblock(job.dependents[group.step])
            self._enqueue_groups(job, occurrence, ready, now)
        if occurrence.is_done:
            job.finished_occurrences.add(group.occurrence)
            if (
                len(job.finished_occurrences) == job.spec.occurrences
                and not job.has_ended
            ):
                self.end_job(job, model.COMPLETED, "all tasks done", wall_ms)

    def release_task(
        self,
        group: job_state.Group,
        run: fleet.RunId,
        worker: fleet.Worker,
        reason: str,
        now: float,
    ) -> None:
        """Record that a task has left its worker.

        If the group is not done, its run is stopped as a whole, and the
        group is queued again after the last member, unless its job has
        ended.
        """
        if run.run != group.run:
            return
        index = group.index_of(run.task)
        if group.assigned_workers[index] == worker.name:
            group.assigned_workers[index] = ""
        self._record_release(group, worker, reason)
        if reason != "done" and group.phase == job_state.ASSIGNED:
            cause = group.stop_cause or reason
            self._state.add_lost_work(cause, group.estimate_lost_work(now))
        job = group.job
        self._state.dirty_jobs[job.name] = None
        if group.phase != job_state.ASSIGNED:
            job.drop_finished_occurrence(group.occurrence)
            self._close_if_idle(job)
            return
        if not group.has_no_worker:
            if not group.stop_reason:
                group.stop_reason = f"broken by a member that was {reason}"
                self._state.order_group_stop(group)
            return
        pause_s = 0.0 if reason in _IMMEDIATE_RETRY else _RETRY_BACKOFF_S
        group.end_run(now + pause_s, now, self._state.wall_ms)
        self._state.crash_proofs.hold(group, now)
        if job.has_ended:
            self._close_if_idle(job)
        else:
            self._state.ready_queue.add(group)

    def _record_release(
        self, group: job_state.Group, worker: fleet.Worker, reason: str
    ) -> None:
        """Record evidence that a task has left its worker."""
        outcome = group.stop_reason or reason
        if group.phase == job_state.DONE:
            outcome = "done"
        workers = group.assigned_workers
        still_assigned = len(workers) - workers.count("")
        task_ended = evidence_records.TaskEnded(
            group.tasks[0], group.run, worker.name, still_assigned, outcome
        )
        self._state.record_evidence(task_ended)

    def enforce_attempt_limit(
        self, group: job_state.Group, wall_ms: int
    ) -> None:
        """Fail the job of a group that has used up its attempts."""
        job = group.job
        max_attempts = self._state.queue_policy_of(job).most_attempts
        failures = group.known_failures
        if group.spec.long_running or group.phase == job_state.DONE:
            return
        if failures >= max_attempts and not job.has_ended:
            reason = f"a task failed {failures} times"
            self.end_job(job, model.FAILED, reason, wall_ms)

    def enforce_crash_limit(
        self, group: job_state.Group, wall_ms: int
    ) -> None:
        """Fail the job of a group that crashes its workers.

        A task that lasts is restarted however it ends.
        """
        if group.spec.long_running:
            return
        proven = group.crashes.proven
        if proven >= crash_proofs.MAX_PROVEN:
            reason = f"{proven} workers crashed under a task, alone on them"
            self.end_job(group.job, model.FAILED, reason, wall_ms)

    def end_job(
        self, job: job_state.Job, state: str, reason: str, wall_ms: int
    ) -> None:
        """End a job, and stop its remaining runs unless it completed."""
        if job.has_ended:
            return
        job.state = state
        job.ended_ms = wall_ms
        self._state.dirty_jobs[job.name] = None
        text = (
            f"Job {job.name} is {state}: {reason};"
            f" {wall_ms - job.spec.accepted_ms} ms after its acceptance,"
            f" {_describe_start(job)}."
        )
        self._state.queue_log_line(logs.Component.PLACE, text)
        self._state.record_evidence(
            evidence_records.JobEnded(job.name, state, reason)
        )
        if state != model.COMPLETED:
            self._stop_groups(job, state)
        self._close_if_idle(job)

    def _stop_groups(self, job: job_state.Job, reason: str) -> None:
        for group in job.groups():
            self._state.ready_queue.discard(group)
            if not group.has_no_worker:
                group.stop_reason = reason
                self._state.order_group_stop(group)

    def _close_if_idle(self, job: job_state.Job) -> None:
        """Close an ended job once none of its tasks has a worker."""
        if job.has_ended and job.has_no_worker:
            self._state.ended_jobs[job.name] = job.ended_ms
            self._state.advice.forget_job(job.name)

    def purge_ended_jobs(
        self, retention_ms: float, no_pending_batch: bool, wall_ms: int
    ) -> None:
        """Drop ended jobs, and their records after the retention time.

        :param retention_ms: how long callers can query an ended job.
        :param no_pending_batch: no batch of records awaits its commit.
        """
        for name in [
            n for n in self._state.ended_jobs if n in self._state.jobs
        ]:
            # A job is dropped only after its last record is committed.
            if name not in self._state.dirty_jobs and no_pending_batch:
                del self._state.jobs[name]
        retention_ms += _RETENTION_SLACK_MS
        for name, ended_ms in list(self._state.ended_jobs.items()):
            if (
                name not in self._state.jobs
                and wall_ms > ended_ms + retention_ms
            ):
                del self._state.ended_jobs[name]
                self._state.purged_jobs.append(name)


def _describe_start(job: job_state.Job) -> str:
    """Describe how long a job waited, and the most runs of a task."""
    if not job.first_placed_ms:
        return "never placed"
    waited_ms = job.first_placed_ms - job.spec.accepted_ms
    runs = max((group.run for group in job.groups()), default=0)
    return f"placed after {waited_ms} ms, {runs} runs of a task at most"
