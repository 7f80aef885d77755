"""Follows jobs from acceptance to their end: steps, runs, attempts."""

from typing import Final

from kingcuplever import logs
from kingcuplever.process.scheduling import book as books
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import work
from kingcuplever.process.stored import evidence_records
from kingcuplever.process.stored import job_board

# A task is not placed again at once after a run that came to nothing.
_BACKOFF_S: Final = 0.2
# Ends after which another worker can be tried at once.
_NO_PAUSE: Final = frozenset(("failed", "lost", "stopped", "broken"))
# Ended jobs are kept for callers' questions beyond what is promised, since
# a job may be handed in again seconds after its acceptance.
_FORGET_SLACK_MS: Final = 30_000


class JobKeeper:
    """Changes jobs by what is known of their tasks."""

    def __init__(self, book: books.Book) -> None:
        """Work on a shared book."""
        self._book = book

    def load_job(
        self,
        name: str,
        stored: job_board.StoredJob,
        now: float,
        wall_ms: int,
    ) -> None:
        """Take a job up from the log, with what a past owner began."""
        if stored.spec is None:
            return
        job = work.Job(name, stored.spec, stored.order)
        if stored.progress is not None:
            job.restore(stored.progress, now)
        if job.ended and job.vacant:
            self._book.over[name] = job.ended_ms
            return
        self._book.jobs[name] = job
        self._note_accepted(job)
        self._note_urgent(job, now)
        for group in job.groups():
            self._adopt(group, now)
        if stored.cancelled:
            self.end(job, model.CANCELLED, "cancelled", wall_ms)
        elif job.ended:
            self._stop_all(job, job.state)
        else:
            for occurrence in job.open.values():
                self._make_ready(job, occurrence, now)
            self._open_job(job, now, wall_ms)

    def _note_accepted(self, job: work.Job) -> None:
        text = (
            f"Job {job.name} of {job.spec.account} on {job.spec.queue},"
            f" order {job.order}: taken, {job.state}."
        )
        self._book.say(logs.Part.PLACE, text)
        if job.state == model.PENDING:
            spec = job.spec
            taken = evidence_records.Taken(
                job.name, spec.account, spec.queue, spec.plan
            )
            self._book.note(taken)

    def _note_urgent(self, job: work.Job, now: float) -> None:
        """Remember urgent work; the next may be like it."""
        queue = self._book.queue_of(job)
        if queue.priority == 0:
            step = job.spec.steps[0]
            self._book.headroom.note(queue.pool, step, step.tasks, now)

    def _adopt(self, group: work.Group, now: float) -> None:
        """Take over what a past owner assigned."""
        if not group.vacant:
            # Evidence of the past owner's last seconds may be lost.
            self._book.note(
                evidence_records.Placed(
                    group.job.name,
                    group.tasks[0],
                    group.run,
                    len(group.tasks),
                    group.spec.gpus,
                    tuple(group.holders),
                    evidence_records.ADOPTED,
                )
            )
        if group.phase == work.ASSIGNED and group.vacant:
            group.phase = work.WAITING
        for index, holder in enumerate(group.holders):
            if not holder:
                continue
            if holder not in self._book.workers:
                self._book.workers[holder] = fleet.Worker(holder, now)
            worker = self._book.workers[holder]
            run = fleet.RunId(group.tasks[index], group.run)
            worker.hold(run, group.spec.need)
            if group.phase == work.ASSIGNED:
                self._book.order_start(worker, group, run)

    def open_due(self, now: float, wall_ms: int) -> None:
        """Open the occurrences of all jobs that are due."""
        for job in self._book.jobs.values():
            if not job.ended:
                self._open_job(job, now, wall_ms)

    def _open_job(self, job: work.Job, now: float, wall_ms: int) -> None:
        """Open the occurrences that are due."""
        while job.next_due < job.spec.occurrences:
            number = job.next_due
            if wall_ms < job.spec.due_ms(number):
                return
            job.next_due += 1
            if number in job.finished:
                continue
            occurrence = work.Occurrence(job, number)
            job.open[number] = occurrence
            self._make_ready(job, occurrence, now)

    def _make_ready(
        self, job: work.Job, occurrence: work.Occurrence, now: float
    ) -> None:
        """Have the groups wait for a place whose earlier steps are done."""
        for index, groups in enumerate(occurrence.steps):
            if not occurrence.left[index]:
                continue
            after = job.spec.steps[index].after
            if any(occurrence.left[earlier] for earlier in after):
                continue
            for group in groups:
                if (
                    group.phase == work.WAITING
                    and group not in self._book.ready
                ):
                    group.ready_at = now
                    self._book.ready.add(group)
                    self._book.place_wanted = True

    def finish(self, group: work.Group, now: float, wall_ms: int) -> None:
        """A group is done; its other members' room is still held."""
        if group.phase == work.DONE:
            return
        group.phase = work.DONE
        job = group.job
        occurrence = job.open[group.occurrence]
        occurrence.left[group.step] -= 1
        self._book.dirty[job.name] = None
        self._book.ready.discard(group)
        if not occurrence.left[group.step]:
            self._make_ready(job, occurrence, now)
        if occurrence.done:
            job.finished.add(group.occurrence)
            if len(job.finished) == job.spec.occurrences and not job.ended:
                self.end(job, model.COMPLETED, "all tasks done", wall_ms)

    def vacate(
        self,
        group: work.Group,
        run: fleet.RunId,
        worker: fleet.Worker,
        reason: str,
        now: float,
    ) -> None:
        """A task holds no room any more; go on once no member does."""
        task = model.parse_task(run.task)
        if task is None or run.run != group.run:
            return
        index = group.index_of(task)
        if group.holders[index] == worker.name:
            group.holders[index] = ""
        self._note_vacated(group, worker, reason)
        if reason != "done" and group.phase == work.ASSIGNED:
            cause = group.stopping.partition(" ")[0] or reason
            self._book.note_lost_work(cause, group.lost_work(now))
        job = group.job
        self._book.dirty[job.name] = None
        if group.phase != work.ASSIGNED:
            job.close_finished(group.occurrence)
            self._close_if_over(job)
            return
        if not group.vacant:
            if not group.stopping:
                group.stopping = f"broken by a member that was {reason}"
                self._book.stop_group(group)
            return
        pause_s = 0.0 if reason in _NO_PAUSE else _BACKOFF_S
        group.end_run(now + pause_s, now)
        if job.ended:
            self._close_if_over(job)
        else:
            self._book.ready.add(group)

    def _note_vacated(
        self, group: work.Group, worker: fleet.Worker, reason: str
    ) -> None:
        """Leave evidence that a task of a run is on its worker no more."""
        outcome = group.stopping or reason
        if group.phase == work.DONE:
            outcome = "done"
        left = sum(bool(holder) for holder in group.holders)
        vacated = evidence_records.Vacated(
            group.tasks[0], group.run, worker.name, left, outcome
        )
        self._book.note(vacated)

    def check_attempts(self, group: work.Group, wall_ms: int) -> None:
        """Fail a job whose group has failed as often as it may."""
        job = group.job
        most = self._book.queue_of(job).most_attempts
        failures = group.failures + (1 if group.failed else 0)
        if group.spec.long_running or group.phase == work.DONE:
            return
        if failures >= most and not job.ended:
            reason = f"a task failed {failures} times"
            self.end(job, model.FAILED, reason, wall_ms)

    def end(
        self, job: work.Job, state: str, reason: str, wall_ms: int
    ) -> None:
        """A job is over; stop what still runs of it."""
        if job.ended:
            return
        job.state = state
        job.ended_ms = wall_ms
        self._book.dirty[job.name] = None
        text = (
            f"Job {job.name} is {state}: {reason};"
            f" {wall_ms - job.spec.accepted_ms} ms after its acceptance,"
            f" {_describe_start(job)}."
        )
        self._book.say(logs.Part.PLACE, text)
        self._book.note(evidence_records.Over(job.name, state, reason))
        if state != model.COMPLETED:
            self._stop_all(job, state)
        self._close_if_over(job)

    def _stop_all(self, job: work.Job, reason: str) -> None:
        for group in job.groups():
            self._book.ready.discard(group)
            if not group.vacant:
                group.stopping = reason
                self._book.stop_group(group)

    def _close_if_over(self, job: work.Job) -> None:
        """Keep an ended job only while tasks of it hold room."""
        if job.ended and job.vacant:
            self._book.over[job.name] = job.ended_ms
            self._book.advice.forget(job.name)

    def forget_ended(
        self, keep_ms: float, settled: bool, wall_ms: int
    ) -> None:
        """Let ended jobs go, and drop their records once nobody asks.

        :param keep_ms: how long an ended job can be asked for.
        :param settled: no batch of records is under way.
        """
        for name in [n for n in self._book.over if n in self._book.jobs]:
            # Its last record is written before it leaves the table.
            if name not in self._book.dirty and settled:
                del self._book.jobs[name]
        keep_ms += _FORGET_SLACK_MS
        for name, ended_ms in list(self._book.over.items()):
            if name not in self._book.jobs and wall_ms > ended_ms + keep_ms:
                del self._book.over[name]
                self._book.dropped.append(name)


def _describe_start(job: work.Job) -> str:
    """Tell how long a job waited for its first place, and its most runs."""
    if not job.begun_ms:
        return "never placed"
    waited_ms = job.begun_ms - job.spec.accepted_ms
    runs = max((group.run for group in job.groups()), default=0)
    return f"placed after {waited_ms} ms, {runs} runs of a task at most"
