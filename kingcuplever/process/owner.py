"""Decisions of the entry that owns a data centre's scheduling.

Brings together the queue, the choice of places, the gang protocol and the
workers' health.  A pure state machine: it takes applied records, reports and
the time, and leaves commands.  It acts only between :meth:`Owner.gain` and
:meth:`Owner.lose`.
"""

from typing import Final

from kingcuplever import logs
from kingcuplever import messages
from kingcuplever import options
from kingcuplever.process import commands
from kingcuplever.process import gangs
from kingcuplever.process import health
from kingcuplever.process import placing
from kingcuplever.process import runs
from kingcuplever.process import state
from kingcuplever.process import usage
from kingcuplever import records
from kingcuplever import shapes
from kingcuplever.version import configuration

# Timeouts are looked for so often; each look walks all runs and workers.
_SCAN_S: Final = 0.2
# A job may fail so many times as often as it may fail on other workers.
_FAILURES_FACTOR: Final = 3


class Owner:
    """The scheduling decisions of one data centre."""

    def __init__(
        self, schedule: state.Schedule, timing: options.TimingOptions
    ) -> None:
        """Follow a state, without owning it yet."""
        self._schedule = schedule
        self._silence_s = timing.silence_ms / 1000
        self._gangs = gangs.Gangs(timing)
        self._placer = placing.Placer(schedule, self._gangs)
        self._health = health.WorkerHealth()
        self._usage = usage.UsageWatch()
        self._commands: list[commands.Command] = []
        self._owning = False
        self._gained_at = 0.0
        self._scan_at = 0.0
        self._worker_appends: dict[str, records.WorkerStatus] = {}

    @property
    def owning(self) -> bool:
        """Whether decisions are made here."""
        return self._owning

    @property
    def waiting(self) -> dict[str, str]:
        """Why each queued job waits, by the job's name."""
        return self._placer.waiting

    @property
    def reclaim_times_s(self) -> list[float]:
        """From the decision of each reclaim to the placement after it."""
        return self._placer.reclaim_times_s

    def set_config(self, config: configuration.SchedulingConfig) -> None:
        """Use a new version of the configuration."""
        self._placer.config = config
        self._placer.dirty = True

    def gain(self, moment: placing.Moment) -> None:
        """Begin to decide, from what the log says runs."""
        self._owning = True
        self._gained_at = moment.now
        self._placer.dirty = True
        self._gangs.drop_runs()
        self._gangs.epoch = self._schedule.epoch
        for job in self._schedule.jobs.values():
            if job.phase in ("running", "stopping"):
                self._adopt(job, moment)
        for name, facts in self._schedule.workers.items():
            if facts.status == "quarantined":
                until = moment.now + self._placer.config.probation_s
                self._health.keep_away(name, until)

    def lose(self) -> None:
        """Stop deciding; another entry owns the epoch."""
        self._owning = False
        for run in self._gangs.runs.values():
            if run.stage in placing.UNCOMMITTED:
                self._schedule.ledger.release(*run.key)
        self._gangs.drop_runs()
        self._placer.lose()
        self._worker_appends.clear()
        self._commands.clear()

    def applied(
        self, record: records.Record, counted: bool, moment: placing.Moment
    ) -> None:
        """Follow a record that has been applied to the state."""
        body = record.body
        if not isinstance(body, records.Renewal | records.Snapshot):
            self._placer.dirty = True
        if isinstance(body, records.Ended) and counted:
            self._placer.learn(body, record.time_ms)
        if not self._owning:
            return
        if isinstance(body, records.WorkerChange):
            self._worker_appends.pop(body.worker.worker, None)
        elif isinstance(body, records.Commit):
            if record.epoch == self._gangs.epoch:
                self._applied_commit(body, counted, moment)
        elif isinstance(body, records.Vacate) and counted:
            self._applied_vacate(body, moment)
        elif isinstance(body, records.Ended):
            self._gangs.ended((body.job, body.attempt))

    def report(
        self,
        report: runs.Report,
        shape: messages.WorkerState,
        moment: placing.Moment,
    ) -> None:
        """Take in what a side said about its worker."""
        if not self._owning:
            self._gangs.hear(report, moment.now)
            return
        self._gangs.report(report, moment.now)
        self._note_worker(shape)
        self._watch_usage(report)
        self._take_notices(moment)

    def order_answered(
        self,
        order: commands.Order,
        reply: messages.TaskReport | None,
        moment: placing.Moment,
    ) -> None:
        """Take in the answer to an order, or that there was none."""
        message = order.message
        key = (message.job, message.attempt)
        self._gangs.answered(order.worker, key)
        if reply is None or not self._owning:
            return
        self._gangs.report(
            runs.Report(
                reply.side,
                order.worker,
                reply.incarnation,
                reply.sequence,
                reply.tasks,
                reply.epoch,
            ),
            moment.now,
        )
        if not reply.accepted and isinstance(message, messages.Reserve):
            self._gangs.refused(order.worker, key, reply.detail, moment.now)
        self._take_notices(moment)

    def tick(self, moment: placing.Moment) -> None:
        """Do what the time asks for, and place what can be placed."""
        if not self._owning:
            return
        if moment.now >= self._scan_at:
            self._scan_at = moment.now + _SCAN_S
            self._gangs.tick(moment.now)
            self._take_notices(moment)
            self._check_workers(moment)
        self._stop_wanted()
        self._placer.place_queued(moment)

    def leases(
        self, worker: str, now: float
    ) -> tuple[messages.GangLease, ...]:
        """Grant leases to the side of a worker that was just heard."""
        return self._gangs.leases(worker, now)

    def forgettable(self, worker: str) -> tuple[messages.AttemptId, ...]:
        """Give the ended attempts that a side need not report again."""
        return self._gangs.forgettable(worker) if self._owning else ()

    def take(self) -> list[commands.Command]:
        """Hand over the commands that are waiting."""
        taken = self._commands + self._placer.commands + self._gangs.commands
        self._commands = []
        self._placer.commands = []
        self._gangs.commands = []
        return taken

    def _adopt(self, job: state.Job, moment: placing.Moment) -> None:
        commit = records.Commit(
            job.spec.job, job.attempt, job.slots, job.borrowed, (), "adopted"
        )
        run = runs.Run(job.spec, job.attempt, commit, job.progress)
        stage = runs.Stage.RUNNING
        if job.phase == "stopping":
            stage = runs.Stage.STOPPING
            run.final = self._is_final(job)
        self._gangs.adopt(run, stage, moment.now)

    def _applied_commit(
        self, body: records.Commit, counted: bool, moment: placing.Moment
    ) -> None:
        run = self._gangs.runs.get((body.job, body.attempt))
        if run is None:
            return
        if counted:
            self._gangs.committed(run.key, moment.now)
            self._placer.placed(run, moment)
        elif run.stage is runs.Stage.COMMITTING:
            reason = "the job changed meanwhile"
            self._gangs.abort(run.key, reason, "", moment.now)

    def _applied_vacate(
        self, body: records.Vacate, moment: placing.Moment
    ) -> None:
        key = (body.job, body.attempt)
        if key not in self._gangs.runs:
            return
        job = self._schedule.jobs[body.job]
        checkpoint_ms = self._placer.config.checkpoint_ms
        self._gangs.vacated(
            key, self._is_final(job), checkpoint_ms, moment.now
        )

    def _is_final(self, job: state.Job) -> bool:
        """Tell whether a vacated job is over.

        A job is given up once it failed on several workers; where it can
        run on few only, once it failed several times more.
        """
        most = self._placer.config.job_failures
        failed = len(job.failed_on) >= most
        failed |= job.failures >= most * _FAILURES_FACTOR
        return job.stop_wanted or failed

    def _take_notices(self, moment: placing.Moment) -> None:
        notices = self._gangs.notices
        self._gangs.notices = []
        for notice in notices:
            if isinstance(notice, runs.TaskDone):
                self._health.succeeded(notice.worker)
            elif isinstance(notice, runs.TaskFailed):
                self._task_failed(notice, moment)
            elif isinstance(notice, runs.GaveUp):
                self._placer.gave_up(notice, moment)
            else:
                self._schedule.ledger.release(notice.job, notice.attempt)
                self._placer.dirty = True

    def _task_failed(
        self, notice: runs.TaskFailed, moment: placing.Moment
    ) -> None:
        worker = notice.worker
        if self._health.failed(worker, moment.now, self._placer.config):
            reason = "failed task after task"
            self._change_worker(worker, "quarantined", reason)

    def _note_worker(self, shape: messages.WorkerState) -> None:
        worker = shapes.WorkerShape(*shape)
        facts = self._schedule.workers.get(worker.worker)
        if facts is None:
            self._append_worker(worker, "up", "joined")
        elif facts.status == "lost":
            self._append_worker(worker, "up", "came back")
        elif facts.shape != worker:
            self._append_worker(worker, facts.status, "changed shape")

    def _check_workers(self, moment: placing.Moment) -> None:
        for name, facts in self._schedule.workers.items():
            if facts.status == "lost":
                continue
            view = self._gangs.views.get(name)
            heard_at = self._gained_at if view is None else view.heard_at
            silent_s = moment.now - max(heard_at, self._gained_at)
            if silent_s > self._silence_s:
                reason = f"silent for {silent_s:.1f} s"
                self._append_worker(facts.shape, "lost", reason)
        for name in self._health.due(moment.now):
            facts = self._schedule.workers[name]
            if facts.status == "quarantined":
                self._append_worker(facts.shape, "up", "on probation")
        self._placer.let_back(moment.now)

    def _change_worker(
        self, name: str, status: records.WorkerStatus, reason: str
    ) -> None:
        facts = self._schedule.workers[name]
        self._append_worker(facts.shape, status, reason)

    def _append_worker(
        self,
        shape: shapes.WorkerShape,
        status: records.WorkerStatus,
        reason: str,
    ) -> None:
        if self._worker_appends.get(shape.worker) == status:
            return
        self._worker_appends[shape.worker] = status
        body = records.WorkerChange(shape, status, reason)
        self._commands.append(commands.Append(body))
        text = f"Worker {shape.worker} is {status}: {reason}."
        self._say(logs.Part.MEMBER, text)

    def _watch_usage(self, report: runs.Report) -> None:
        room = self._schedule.ledger.workers.get(report.worker)
        if room is None:
            return
        tolerance = self._placer.config.usage_tolerance
        for finding in self._usage.check(room, report.tasks, tolerance):
            task = finding.task
            if finding.stop:
                run = self._gangs.runs.get((task.job, task.attempt))
                if run is not None and run.stage is runs.Stage.RUNNING:
                    self._placer.vacate(run, "usage", finding.cause)
                continue
            message = messages.Throttle(
                self._schedule.epoch, task.job, task.attempt, task.task
            )
            self._commands.append(commands.Order(report.worker, message))
            text = f"Throttling {task.job}#{task.attempt}: {finding.cause}."
            self._say(logs.Part.TASK, text)

    def _stop_wanted(self) -> None:
        for run in self._gangs.runs.values():
            job = self._schedule.jobs.get(run.spec.job)
            if job is None or not job.stop_wanted:
                continue
            if run.stage is runs.Stage.RUNNING:
                self._placer.vacate(run, "operator", "stopped by an operator")

    def _say(self, part: logs.Part, text: str) -> None:
        self._commands.append(commands.Say(part, text))
