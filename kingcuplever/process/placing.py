"""Places queued jobs: the queue's order, reclaims, moves and kept space.

The part of an owner's decisions that begins attempts and frees room for
them.  Pure: it reads the replicated state, and leaves commands.
"""

import math
from typing import Final
from typing import NamedTuple

from kingcuplever import logs
from kingcuplever.process import chooser
from kingcuplever.process import commands
from kingcuplever.process import gangs
from kingcuplever.process import learned
from kingcuplever.process import moves
from kingcuplever.process import placement
from kingcuplever.process import queueing
from kingcuplever.process import runs
from kingcuplever.process import state
from kingcuplever import records
from kingcuplever import shapes
from kingcuplever.version import configuration

# Most jobs that one round begins; the next round goes on.
_BEGIN_AT_MOST: Final = 200
# At most one worker is emptied by moves in this time.
_GATHER_S: Final = 5.0
# A job whose reservation came to nothing waits so long.
_RETRY_S: Final = 0.5
# A worker that refused or was silent is left out so long.
_SHUN_S: Final = 2.0
UNCOMMITTED: Final = (
    runs.Stage.RESERVING,
    runs.Stage.COMMITTING,
    runs.Stage.RELEASING,
)


class Moment(NamedTuple):
    """The time, in the two clocks that decisions need.

    :ivar now: monotonic seconds.
    :ivar wall_ms: wall clock, as in records.
    """

    now: float
    wall_ms: int


class Placer:
    """Begins attempts of queued jobs.

    :ivar config: the configuration in force.
    :ivar dirty: whether anything changed that lets another job fit.
    :ivar waiting: why each queued job waits, by the job's name.
    :ivar reclaim_times_s: from the decision of each reclaim to the
        placement that it was for.
    :ivar commands: appends and log lines not yet taken.
    """

    def __init__(self, schedule: state.Schedule, runner: gangs.Gangs) -> None:
        """Place the jobs of a state.

        :param runner: carries the attempts out.
        """
        self._schedule = schedule
        self._gangs = runner
        self._run_times = learned.RunTimes()
        self._queue = queueing.Queue(self._run_times)
        self._gather_at = 0.0
        self._not_before: dict[str, float] = {}
        self._tried: dict[str, int] = {}
        self._made_room: dict[str, float] = {}
        self._shunned: dict[str, float] = {}
        self._reclaims: dict[str, float] = {}
        self.config = configuration.SchedulingConfig()
        self.dirty = True
        self.waiting: dict[str, str] = {}
        self.reclaim_times_s: list[float] = []
        self.commands: list[commands.Command] = []

    def lose(self) -> None:
        """Forget what only an owner may hold."""
        self._queue.keeps.clear()
        self._reclaims.clear()
        self.waiting.clear()
        self.commands.clear()

    def place_queued(self, moment: Moment) -> None:
        """Go through the queue once and begin what fits."""
        if moment.now >= self._gather_at:
            self._gather_at = moment.now + _GATHER_S
            self._gather(moment)
        if not self.dirty:
            return
        self.dirty = False
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
        for job in self._queue.order(queued, moment.wall_ms, self.config):
            if job.spec.job in self._not_before:
                continue
            if begun >= _BEGIN_AT_MOST:
                self.dirty = True
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
            if run.stage in UNCOMMITTED:
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
        run = runs.Run(job.spec, attempt, commit, job.progress)
        expected_s = self._run_times.expect_s(job.spec, job.progress)
        ends_at = moment.now + expected_s
        runs.hold_run(self._schedule.ledger, run, ends_at)
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
                if run.stage is runs.Stage.RUNNING:
                    self.vacate(run, reason, cause)
                elif run.stage is runs.Stage.RESERVING:
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
        self._made_room[name] = moment.now + self.config.reclaim_ms / 1000
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
            self.config,
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
        if waited_s < self.config.starvation_s:
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
            self._schedule, job, kept, moment.now, self.config
        )
        if victims:
            cause = f"moved to make room for {name}"
            self._evict(victims, "move", cause, moment)

    def learn(self, body: records.Ended, time_ms: int) -> None:
        """Take in how an attempt ended."""
        self._tried.pop(body.job, None)
        self._made_room.pop(body.job, None)
        job = self._schedule.jobs.get(body.job)
        if job is None or body.outcome != "done":
            return
        elapsed_s = (time_ms - job.committed_ms) / 1000
        self._run_times.observe(job.spec, elapsed_s + job.progress)

    def placed(self, run: runs.Run, moment: Moment) -> None:
        """Note that an attempt's commit has been applied."""
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

    def gave_up(self, notice: runs.GaveUp, moment: Moment) -> None:
        """Note that a reservation came to nothing."""
        self._not_before[notice.job] = moment.now + _RETRY_S
        if notice.worker:
            self._shunned[notice.worker] = moment.now + _SHUN_S

    def let_back(self, now: float) -> None:
        """Let jobs and workers back that were left out for a while."""
        for waiting in (self._shunned, self._not_before):
            for name, until in list(waiting.items()):
                if until <= now:
                    del waiting[name]
                    self.dirty = True

    def vacate(self, run: runs.Run, reason: str, cause: str) -> None:
        """Ask for the end of a running attempt."""
        run.stage = runs.Stage.ENDING
        body = records.Vacate(*run.key, reason, cause)
        self.commands.append(commands.Append(body))
        text = f"Stopping {run.name} of {run.spec.account}: {cause}."
        self._say(logs.Part.PLACE, text)

    def _say(self, part: logs.Part, text: str) -> None:
        self.commands.append(commands.Say(part, text))
