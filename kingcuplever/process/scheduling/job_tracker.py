"""Follows jobs from acceptance to their end: steps, runs, attempts."""

from typing import Final

from kingcuplever import logs
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import scheduler_state as books
from kingcuplever.process.stored import evidence_records
from kingcuplever.process.stored import job_table

# A task is not placed again at once after a run that came to nothing.
_RETRY_BACKOFF_S: Final = 0.2
# Ends after which another worker can be tried at once.
_IMMEDIATE_RETRY: Final = frozenset(("failed", "lost", "stopped", "broken"))
# Ended jobs are kept for callers' questions beyond what is promised, since
# a job may be handed in again seconds after its acceptance.
_RETENTION_SLACK_MS: Final = 30_000


class JobTracker:
    """Changes jobs by what is known of their tasks."""

    def __init__(self, book: books.SchedulerState) -> None:
        """Work on a shared book."""
        self._book = book

    def load_job(
        self,
        name: str,
        stored: job_table.StoredJob,
        now: float,
        wall_ms: int,
    ) -> None:
        """Take a job up from the log, with what a past owner began."""
        if stored.spec is None:
            return
        job = job_state.Job(name, stored.spec, stored.submit_offset)
        if stored.progress is not None:
            job.restore(stored.progress, now)
        if job.has_ended and job.has_no_worker:
            self._book.ended_jobs[name] = job.ended_ms
            return
        self._book.jobs[name] = job
        self._record_acceptance(job)
        self._record_urgent_demand(job, now)
        for group in job.groups():
            self._adopt_run(group, now)
        if stored.cancelled:
            self.end_job(job, model.CANCELLED, "cancelled", wall_ms)
        elif job.has_ended:
            self._stop_groups(job, job.state)
        else:
            for occurrence in job.open_occurrences.values():
                self._enqueue_ready_groups(job, occurrence, now)
            self._open_occurrences(job, now, wall_ms)

    def _record_acceptance(self, job: job_state.Job) -> None:
        text = (
            f"Job {job.name} of {job.spec.account} on {job.spec.queue},"
            f" order {job.order}: taken, {job.state}."
        )
        self._book.queue_log_line(logs.Component.PLACE, text)
        if job.state == model.PENDING:
            spec = job.spec
            taken = evidence_records.JobAccepted(
                job.name, spec.account, spec.queue, spec.plan
            )
            self._book.record_evidence(taken)

    def _record_urgent_demand(self, job: job_state.Job, now: float) -> None:
        """Remember urgent work; the next may be like it."""
        queue = self._book.queue_policy_of(job)
        if queue.priority == 0:
            step = job.spec.steps[0]
            self._book.headroom.record_arrival(
                queue.pool, step, step.tasks, now
            )

    def _adopt_run(self, group: job_state.Group, now: float) -> None:
        """Take over what a past owner assigned."""
        if not group.has_no_worker:
            # Evidence of the past owner's last seconds may be lost.
            self._book.record_evidence(
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
        for index, holder in enumerate(group.assigned_workers):
            if not holder:
                continue
            if holder not in self._book.workers:
                self._book.workers[holder] = fleet.Worker(holder, now)
            worker = self._book.workers[holder]
            run = fleet.RunId(group.tasks[index], group.run)
            worker.allocate(run, group.spec.resources)
            if group.phase == job_state.ASSIGNED:
                self._book.order_start(worker, group, run)

    def open_due_occurrences(self, now: float, wall_ms: int) -> None:
        """Open the occurrences of all jobs that are due."""
        for job in self._book.jobs.values():
            if not job.has_ended:
                self._open_occurrences(job, now, wall_ms)

    def _open_occurrences(
        self, job: job_state.Job, now: float, wall_ms: int
    ) -> None:
        """Open the occurrences that are due."""
        while job.next_occurrence < job.spec.occurrences:
            number = job.next_occurrence
            if wall_ms < job.spec.due_ms(number):
                return
            job.next_occurrence += 1
            if number in job.finished_occurrences:
                continue
            occurrence = job_state.Occurrence(job, number)
            job.open_occurrences[number] = occurrence
            self._enqueue_ready_groups(job, occurrence, now)

    def _enqueue_ready_groups(
        self, job: job_state.Job, occurrence: job_state.Occurrence, now: float
    ) -> None:
        """Have the groups wait for a place whose earlier steps are done."""
        for index, groups in enumerate(occurrence.steps):
            if not occurrence.unfinished[index]:
                continue
            after = job.spec.steps[index].after
            if any(occurrence.unfinished[earlier] for earlier in after):
                continue
            for group in groups:
                if (
                    group.phase == job_state.WAITING
                    and group not in self._book.ready_queue
                ):
                    group.ready_at = now
                    self._book.ready_queue.add(group)
                    self._book.needs_placement = True

    def finish_group(
        self, group: job_state.Group, now: float, wall_ms: int
    ) -> None:
        """A group is done; its other members' room is still held."""
        if group.phase == job_state.DONE:
            return
        group.phase = job_state.DONE
        job = group.job
        occurrence = job.open_occurrences[group.occurrence]
        occurrence.unfinished[group.step] -= 1
        self._book.dirty_jobs[job.name] = None
        self._book.ready_queue.discard(group)
        if not occurrence.unfinished[group.step]:
            self._enqueue_ready_groups(job, occurrence, now)
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
        """A task holds no room any more; go on once no member does."""
        task = model.parse_task_name(run.task)
        if task is None or run.run != group.run:
            return
        index = group.member_index(task)
        if group.assigned_workers[index] == worker.name:
            group.assigned_workers[index] = ""
        self._record_release(group, worker, reason)
        if reason != "done" and group.phase == job_state.ASSIGNED:
            cause = group.stop_reason.partition(" ")[0] or reason
            self._book.add_lost_work(cause, group.estimate_lost_work(now))
        job = group.job
        self._book.dirty_jobs[job.name] = None
        if group.phase != job_state.ASSIGNED:
            job.close_finished(group.occurrence)
            self._close_if_idle(job)
            return
        if not group.has_no_worker:
            if not group.stop_reason:
                group.stop_reason = f"broken by a member that was {reason}"
                self._book.order_group_stop(group)
            return
        pause_s = 0.0 if reason in _IMMEDIATE_RETRY else _RETRY_BACKOFF_S
        group.end_run(now + pause_s, now)
        if job.has_ended:
            self._close_if_idle(job)
        else:
            self._book.ready_queue.add(group)

    def _record_release(
        self, group: job_state.Group, worker: fleet.Worker, reason: str
    ) -> None:
        """Leave evidence that a task of a run is on its worker no more."""
        outcome = group.stop_reason or reason
        if group.phase == job_state.DONE:
            outcome = "done"
        left = sum(bool(holder) for holder in group.assigned_workers)
        vacated = evidence_records.TaskEnded(
            group.tasks[0], group.run, worker.name, left, outcome
        )
        self._book.record_evidence(vacated)

    def enforce_attempt_limit(
        self, group: job_state.Group, wall_ms: int
    ) -> None:
        """Fail a job whose group has failed as often as it may."""
        job = group.job
        most = self._book.queue_policy_of(job).most_attempts
        failures = group.failures + (1 if group.has_failed else 0)
        if group.spec.long_running or group.phase == job_state.DONE:
            return
        if failures >= most and not job.has_ended:
            reason = f"a task failed {failures} times"
            self.end_job(job, model.FAILED, reason, wall_ms)

    def end_job(
        self, job: job_state.Job, state: str, reason: str, wall_ms: int
    ) -> None:
        """A job is over; stop what still runs of it."""
        if job.has_ended:
            return
        job.state = state
        job.ended_ms = wall_ms
        self._book.dirty_jobs[job.name] = None
        text = (
            f"Job {job.name} is {state}: {reason};"
            f" {wall_ms - job.spec.accepted_ms} ms after its acceptance,"
            f" {_describe_start(job)}."
        )
        self._book.queue_log_line(logs.Component.PLACE, text)
        self._book.record_evidence(
            evidence_records.JobEnded(job.name, state, reason)
        )
        if state != model.COMPLETED:
            self._stop_groups(job, state)
        self._close_if_idle(job)

    def _stop_groups(self, job: job_state.Job, reason: str) -> None:
        for group in job.groups():
            self._book.ready_queue.discard(group)
            if not group.has_no_worker:
                group.stop_reason = reason
                self._book.order_group_stop(group)

    def _close_if_idle(self, job: job_state.Job) -> None:
        """Keep an ended job only while tasks of it hold room."""
        if job.has_ended and job.has_no_worker:
            self._book.ended_jobs[job.name] = job.ended_ms
            self._book.advice.forget_job(job.name)

    def purge_ended_jobs(
        self, retention_ms: float, no_pending_batch: bool, wall_ms: int
    ) -> None:
        """Let ended jobs go, and drop their records once nobody asks.

        :param keep_ms: how long an ended job can be asked for.
        :param settled: no batch of records is under way.
        """
        for name in [n for n in self._book.ended_jobs if n in self._book.jobs]:
            # Its last record is written before it leaves the table.
            if name not in self._book.dirty_jobs and no_pending_batch:
                del self._book.jobs[name]
        retention_ms += _RETENTION_SLACK_MS
        for name, ended_ms in list(self._book.ended_jobs.items()):
            if (
                name not in self._book.jobs
                and wall_ms > ended_ms + retention_ms
            ):
                del self._book.ended_jobs[name]
                self._book.purged_jobs.append(name)


def _describe_start(job: job_state.Job) -> str:
    """Tell how long a job waited for its first place, and its most runs."""
    if not job.first_placed_ms:
        return "never placed"
    waited_ms = job.first_placed_ms - job.spec.accepted_ms
    runs = max((group.run for group in job.groups()), default=0)
    return f"placed after {waited_ms} ms, {runs} runs of a task at most"
