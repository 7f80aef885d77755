"""Decisions of the entry that owns a data centre's scheduling.

Brings together the queue, the choice of places, the gang protocol and the
workers' health.  A pure state machine: it takes applied records, reports and
the time, and leaves commands.  It acts only between :meth:`Owner.gain` and
:meth:`Owner.lose`.
"""

import math
from typing import Final
from typing import NamedTuple

from kingcuplever import logs
from kingcuplever import messages
from kingcuplever import options
from kingcuplever.process import chooser
from kingcuplever.process import commands
from kingcuplever.process import gangs
from kingcuplever.process import health
from kingcuplever.process import learned
from kingcuplever.process import moves
from kingcuplever.process import placement
from kingcuplever.process import queueing
from kingcuplever.process import state
from kingcuplever.process import usage
from kingcuplever import records
from kingcuplever import shapes
from kingcuplever.version import configuration

# Most jobs that one round begins; the next round goes on.
_BEGIN_AT_MOST: Final = 200
# At most one worker is emptied by moves in this time.
_GATHER_S: Final = 5.0
# Timeouts are looked for so often; each look walks all runs and workers.
_SCAN_S: Final = 0.2
# A job whose reservation came to nothing waits so long.
_RETRY_S: Final = 0.5
# A job may fail so many times as often as it may fail on other workers.
_FAILURES_FACTOR: Final = 3
_UNCOMMITTED: Final = (
    gangs.Stage.RESERVING,
    gangs.Stage.COMMITTING,
    gangs.Stage.RELEASING,
)
# A worker that refused or was silent is left out so long.
_SHUN_S: Final = 2.0


class Moment(NamedTuple):
    """The time, in the two clocks that decisions need.

    :ivar now: monotonic seconds.
    :ivar wall_ms: wall clock, as in records.
    """

    now: float
    wall_ms: int


class Owner:
    """The scheduling decisions of one data centre.

    :ivar waiting: why each queued job waits, by the job's name.
    """

    def __init__(
        self, schedule: state.Schedule, timing: options.TimingOptions
    ) -> None:
        """Follow a state, without owning it yet."""
        self._schedule = schedule
        self._silence_s = timing.silence_ms / 1000
        self._config = configuration.SchedulingConfig()
        self._gangs = gangs.Gangs(timing)
        self._run_times = learned.RunTimes()
        self._queue = queueing.Queue(self._run_times)
        self._health = health.WorkerHealth()
        self._usage = usage.UsageWatch()
        self._commands: list[commands.Command] = []
        self._owning = False
        self._gained_at = 0.0
        self._dirty = True
        self._scan_at = 0.0
        self._gather_at = 0.0
        self._not_before: dict[str, float] = {}
        self._tried: dict[str, int] = {}
        self._made_room: dict[str, float] = {}
        self._shunned: dict[str, float] = {}
        self._worker_appends: dict[str, records.WorkerStatus] = {}
        self._reclaims: dict[str, float] = {}
        self.reclaim_times_s: list[float] = []
        self.waiting: dict[str, str] = {}

    @property
    def owning(self) -> bool:
        """Whether decisions are made here."""
        return self._owning

    @property
    def runs(self) -> dict[gangs.Key, gangs.Run]:
        """Runs on their way."""
        return self._gangs.runs

    def set_config(self, config: configuration.SchedulingConfig) -> None:
        """Use a new version of the configuration."""
        self._config = config
        self._dirty = True

    def gain(self, moment: Moment) -> None:
        """Begin to decide, from what the log says runs."""
        self._owning = True
        self._gained_at = moment.now
        self._dirty = True
        self._gangs.drop_runs()
        self._gangs.epoch = self._schedule.epoch
        for job in self._schedule.jobs.values():
            if job.phase in ("running", "stopping"):
                self._adopt(job, moment)
        for name, facts in self._schedule.workers.items():
            if facts.status == "quarantined":
                until = moment.now + self._config.probation_s
                self._health.keep_away(name, until)

    def lose(self) -> None:
        """Stop deciding; another entry owns the epoch."""
        self._owning = False
        for run in self._gangs.runs.values():
            if run.stage in _UNCOMMITTED:
                self._schedule.ledger.release(*run.key)
        self._gangs.drop_runs()
        self._queue.keeps.clear()
        self._worker_appends.clear()
        self._reclaims.clear()
        self.waiting.clear()
        self._commands.clear()

    def applied(
        self, record: records.Record, counted: bool, moment: Moment
    ) -> None:
        """Follow a record that has been applied to the state."""
        body = record.body
        if not isinstance(body, records.Renewal | records.Snapshot):
            self._dirty = True
        if isinstance(body, records.Ended) and counted:
            self._learn(body, record.time_ms)
            self._tried.pop(body.job, None)
            self._made_room.pop(body.job, None)
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
        report: gangs.Report,
        shape: messages.WorkerState,
        moment: Moment,
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
        moment: Moment,
    ) -> None:
        """Take in the answer to an order, or that there was none."""
        message = order.message
        key = (message.job, message.attempt)
        self._gangs.answered(order.worker, key)
        if reply is None or not self._owning:
            return
        self._gangs.report(
            gangs.Report(
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

    def tick(self, moment: Moment) -> None:
        """Do what the time asks for, and place what can be placed."""
        if not self._owning:
            return
        if moment.now >= self._scan_at:
            self._scan_at = moment.now + _SCAN_S
            self._gangs.tick(moment.now)
            self._take_notices(moment)
            self._check_workers(moment)
        if moment.now >= self._gather_at:
            self._gather_at = moment.now + _GATHER_S
            self._gather(moment)
        self._stop_wanted()
        if self._dirty:
            self._dirty = False
            self._place_queued(moment)

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
        taken = self._commands + self._gangs.commands
        self._commands = []
        self._gangs.commands = []
        return taken

    def _adopt(self, job: state.Job, moment: Moment) -> None:
        commit = records.Commit(
            job.spec.job, job.attempt, job.slots, job.borrowed, (), "adopted"
        )
        run = gangs.Run(job.spec, job.attempt, commit, job.progress)
        stage = gangs.Stage.RUNNING
        if job.phase == "stopping":
            stage = gangs.Stage.STOPPING
            run.final = self._is_final(job)
        self._gangs.adopt(run, stage, moment.now)

    def _learn(self, body: records.Ended, time_ms: int) -> None:
        job = self._schedule.jobs.get(body.job)
        if job is None or body.outcome != "done":
            return
        elapsed_s = (time_ms - job.committed_ms) / 1000
        self._run_times.observe(job.spec, elapsed_s + job.progress)

    def _applied_commit(
        self, body: records.Commit, counted: bool, moment: Moment
    ) -> None:
        run = self._gangs.runs.get((body.job, body.attempt))
        if run is None:
            return
        if counted:
            self._gangs.committed(run.key, moment.now)
            self._placed(run, moment)
        elif run.stage is gangs.Stage.COMMITTING:
            reason = "the job changed meanwhile"
            self._gangs.abort(run.key, reason, "", moment.now)

    def _placed(self, run: gangs.Run, moment: Moment) -> None:
        job = self._schedule.jobs[run.spec.job]
        begun = self._reclaims.pop(run.spec.job, None)
        if begun is not None:
            self.reclaim_times_s.append(moment.now - begun)
        waited_s = (moment.wall_ms - job.submitted_ms) / 1000
        places = ", ".join(
            f"{worker}:{len(tasks)}" for worker, tasks in run.members.items()
        )
        self._say(
            logs.Part.PLACE,
            f"Placed {run.name} of {run.spec.account} on {places} after"
            f" {waited_s:.1f} s: {run.commit.reason}.",
        )

    def _applied_vacate(self, body: records.Vacate, moment: Moment) -> None:
        key = (body.job, body.attempt)
        if key not in self._gangs.runs:
            return
        job = self._schedule.jobs[body.job]
        checkpoint_ms = self._config.checkpoint_ms
        self._gangs.vacated(
            key, self._is_final(job), checkpoint_ms, moment.now
        )

    def _is_final(self, job: state.Job) -> bool:
        """Tell whether a vacated job is over.

        A job is given up once it failed on several workers; where it can
        run on few only, once it failed several times more.
        """
        most = self._config.job_failures
        failed = len(job.failed_on) >= most
        failed |= job.failures >= most * _FAILURES_FACTOR
        return job.stop_wanted or failed

    def _take_notices(self, moment: Moment) -> None:
        notices = self._gangs.notices
        self._gangs.notices = []
        for notice in notices:
            if isinstance(notice, gangs.TaskDone):
                self._health.succeeded(notice.worker)
            elif isinstance(notice, gangs.TaskFailed):
                self._task_failed(notice, moment)
            elif isinstance(notice, gangs.GaveUp):
                self._gave_up(notice, moment)
            else:
                self._schedule.ledger.release(notice.job, notice.attempt)
                self._dirty = True

    def _task_failed(self, notice: gangs.TaskFailed, moment: Moment) -> None:
        worker = notice.worker
        if self._health.failed(worker, moment.now, self._config):
            reason = "failed task after task"
            self._change_worker(worker, "quarantined", reason)

    def _gave_up(self, notice: gangs.GaveUp, moment: Moment) -> None:
        self._not_before[notice.job] = moment.now + _RETRY_S
        if notice.worker:
            self._shunned[notice.worker] = moment.now + _SHUN_S

    def _note_worker(self, shape: messages.WorkerState) -> None:
        worker = shapes.WorkerShape(*shape)
        facts = self._schedule.workers.get(worker.worker)
        if facts is None:
            self._append_worker(worker, "up", "joined")
        elif facts.status == "lost":
            self._append_worker(worker, "up", "came back")
        elif facts.shape != worker:
            self._append_worker(worker, facts.status, "changed shape")

    def _check_workers(self, moment: Moment) -> None:
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
        self._let_back(moment.now)

    def _let_back(self, now: float) -> None:
        for waiting in (self._shunned, self._not_before):
            for name, until in list(waiting.items()):
                if until <= now:
                    del waiting[name]
                    self._dirty = True

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

    def _watch_usage(self, report: gangs.Report) -> None:
        room = self._schedule.ledger.workers.get(report.worker)
        if room is None:
            return
        tolerance = self._config.usage_tolerance
        for finding in self._usage.check(room, report.tasks, tolerance):
            task = finding.task
            if finding.stop:
                run = self._gangs.runs.get((task.job, task.attempt))
                if run is not None and run.stage is gangs.Stage.RUNNING:
                    self._vacate(run, "usage", finding.cause)
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
            if run.stage is gangs.Stage.RUNNING:
                self._vacate(run, "operator", "stopped by an operator")

    def _vacate(self, run: gangs.Run, reason: str, cause: str) -> None:
        run.stage = gangs.Stage.ENDING
        body = records.Vacate(*run.key, reason, cause)
        self._commands.append(commands.Append(body))
        text = f"Stopping {run.name} of {run.spec.account}: {cause}."
        self._say(logs.Part.PLACE, text)

    def _place_queued(self, moment: Moment) -> None:
        """Go through the queue once and begin what fits."""
        self._queue.prune(self._schedule)
        busy = {run.spec.job for run in self._gangs.runs.values()}
        queued = [
            job
            for job in self._schedule.jobs.values()
            if job.phase == "queued" and job.spec.job not in busy
        ]
        for name in list(self.waiting):
            if name not in self._schedule.jobs:
                del self.waiting[name]
        failed: set[object] = set()
        begun = 0
        for job in self._queue.order(queued, moment.wall_ms, self._config):
            if job.spec.job in self._not_before:
                continue
            if begun >= _BEGIN_AT_MOST:
                self._dirty = True
                break
            begun += self._try_place(job, failed, moment)

    def _try_place(
        self, job: state.Job, failed: set[object], moment: Moment
    ) -> bool:
        """Place one job if it can be; remember shapes that can't."""
        spec = job.spec
        account = self._schedule.accounts[spec.account]
        limit = chooser.limit_reached(account, spec) or self._pending_limit(
            account, spec
        )
        if limit:
            self.waiting[spec.job] = limit
            return False
        kept = self._queue.avoid_for(job, moment.now)
        shun = frozenset(self._shunned) | frozenset(job.failed_on)
        claimant = spec.account if account.bound else ""
        signature = (claimant, spec.tasks, spec.shape, kept, shun)
        if signature in failed and spec.priority != "urgent":
            self.waiting[spec.job] = "no room for its shape"
            return False
        expected_s = self._run_times.expect_s(spec, job.progress)
        span = placement.Span(moment.now, moment.now + expected_s)
        choice = chooser.choose(self._schedule, job, kept, shun, span)
        if choice is None and job.failed_on:
            # Better once more on a worker where it failed than never.
            nowhere: frozenset[str] = frozenset()
            choice = chooser.choose(self._schedule, job, kept, nowhere, span)
        if choice is None:
            failed.add(signature)
            if spec.priority == "urgent":
                self._make_room(job, kept | shun, moment)
            else:
                self._wait(job, moment)
            return False
        if choice.victims:
            self._reclaim(job, choice, moment)
            return False
        self._begin(job, choice, moment)
        return True

    def _pending_limit(
        self, account: state.Account, spec: shapes.JobSpec
    ) -> str:
        """Check limits with the runs that have no commit record yet."""
        pending = 0
        pending_team = 0
        for run in self._gangs.runs.values():
            if run.spec.account != spec.account:
                continue
            if run.stage in _UNCOMMITTED:
                gpus = run.spec.tasks * run.spec.shape.gpus
                pending += gpus
                pending_team += gpus if run.spec.team == spec.team else 0
        if not pending:
            return ""
        trial = state.Account(account.spec)
        trial.gpus_in_use = account.gpus_in_use + pending
        used = account.team_gpus.get(spec.team, 0) + pending_team
        trial.team_gpus = {spec.team: used}
        return chooser.limit_reached(trial, spec)

    def _begin(
        self, job: state.Job, choice: chooser.Choice, moment: Moment
    ) -> None:
        self.waiting.pop(job.spec.job, None)
        self._queue.drop(job.spec.job)
        # A number is tried once, so that a late order of a round that came
        # to nothing can't be taken for one of the next.
        attempt = max(job.attempt, self._tried.get(job.spec.job, 0)) + 1
        self._tried[job.spec.job] = attempt
        commit = records.Commit(
            job.spec.job,
            attempt,
            choice.slots,
            choice.borrowed,
            choice.rebinds,
            choice.reason,
        )
        run = gangs.Run(job.spec, attempt, commit, job.progress)
        expected_s = self._run_times.expect_s(job.spec, job.progress)
        ends_at = moment.now + expected_s
        gangs.hold_run(self._schedule.ledger, run, ends_at)
        self._gangs.begin(run, moment.now)

    def _reclaim(
        self, job: state.Job, choice: chooser.Choice, moment: Moment
    ) -> None:
        """Evict the borrowers that stand on the account's own cells."""
        name = job.spec.job
        self._reclaims.setdefault(name, moment.now)
        self.waiting[name] = choice.reason
        workers = frozenset(slot.worker for slot in choice.slots)
        # The evicted would be the first to come back, however short they
        # are, so nobody else may use these workers until the job has them.
        ready_at = -math.inf
        self._queue.keeps[name] = queueing.Keep(name, workers, ready_at)
        cause = f"{job.spec.account} reclaims its cells for {name}"
        self._evict(choice.victims, "reclaim", cause, moment)

    def _evict(
        self,
        victims: tuple[str, ...],
        reason: str,
        cause: str,
        moment: Moment,
    ) -> None:
        for victim in victims:
            for run in list(self._gangs.runs.values()):
                if run.spec.job != victim:
                    continue
                if run.stage is gangs.Stage.RUNNING:
                    self._vacate(run, reason, cause)
                elif run.stage is gangs.Stage.RESERVING:
                    self._gangs.abort(run.key, cause, "", moment.now)

    def _make_room(
        self, job: state.Job, avoid: frozenset[str], moment: Moment
    ) -> None:
        """Move batch work away so that urgent work can start."""
        name = job.spec.job
        self.waiting[name] = "no room for its shape"
        if self._made_room.get(name, -math.inf) > moment.now:
            return
        making = moves.for_urgent(self._schedule, job, avoid)
        if making is None:
            return
        self._made_room[name] = moment.now + self._config.reclaim_ms / 1000
        workers = frozenset({making.worker})
        self._queue.keeps[name] = queueing.Keep(name, workers, -math.inf)
        cause = f"moved to make room for urgent {name}"
        self._evict(making.victims, "move", cause, moment)

    def _gather(self, moment: Moment) -> None:
        """Empty a worker that holds little, if that pays."""
        keeps = self._queue.keeps.values()
        avoid = frozenset(worker for k in keeps for worker in k.workers)
        victims = moves.worth_gathering(
            self._schedule,
            moment.now,
            self._config,
            avoid | frozenset(self._shunned),
        )
        if victims:
            cause = "moved so that its worker is whole again"
            self._evict(victims, "move", cause, moment)

    def _wait(self, job: state.Job, moment: Moment) -> None:
        """Note that a job does not fit; keep space if it waits for long."""
        name = job.spec.job
        self.waiting[name] = "no room for its shape"
        waited_s = (moment.wall_ms - job.submitted_ms) / 1000
        if waited_s < self._config.starvation_s:
            return
        keep = self._queue.keep_for(self._schedule, job, moment.now)
        if keep is not None:
            self._say(
                logs.Part.PLACE,
                f"Keeping {len(keep.workers)} workers for {name}, which"
                f" waited {waited_s:.0f} s.",
            )
        kept = self._queue.keeps.get(name)
        if kept is None:
            return
        victims = moves.worth_moving(
            self._schedule, job, kept, moment.now, self._config
        )
        if victims:
            cause = f"moved to make room for {name}"
            self._evict(victims, "move", cause, moment)

    def _say(self, part: logs.Part, text: str) -> None:
        self._commands.append(commands.Say(part, text))
