"""The owner's decisions about jobs: what starts, what stops, what is done.

What must last is named job by job in :meth:`Scheduler.take_changes`; orders
to start a task, and acknowledgements of ends, are released by
:meth:`Scheduler.committed` only once the log has those jobs' records.
"""

from collections.abc import Collection
from collections.abc import Iterable
from typing import Final
from typing import NamedTuple

from kingcuplever.connection import keyed_log
from kingcuplever import logs
from kingcuplever.process import commands
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import placement
from kingcuplever.process.scheduling import reclaim
from kingcuplever.process.scheduling import waiting
from kingcuplever.process.scheduling import work
from kingcuplever.process.stored import job_board
from kingcuplever.process.stored import job_records

# Reports older than this make a worker no place for new work; two periods
# of a side's reports and some slack.
_FRESH_S: Final = 2.5
# A task whose progress stands still for so long on its worker's clock is
# moved: at least one list in between, and some hundredths of its work, the
# smallest progress that a list shows, at several times the estimate.
_STALL_MS: Final = 1600
_STALL_PART: Final = 12
# A task is not placed again at once after a run that came to nothing.
_BACKOFF_S: Final = 0.2
# Ends after which another worker can be tried at once.
_NO_PAUSE: Final = frozenset(("failed", "lost", "stopped", "broken"))
# Work, in core-seconds, that may be thrown away for an urgent group that no
# guarantee covers; a few seconds of one whole worker.
_URGENT_COST: Final = 600.0
# A plan to reclaim room is given up when its victims are not gone by then.
_CLAIM_S: Final = 3.0
# Timeouts are looked for so often.
_SCAN_S: Final = 0.25
# Ended jobs are kept for callers' questions beyond what is promised, since
# a job may be handed in again seconds after its acceptance.
_FORGET_SLACK_MS: Final = 30_000


class Timing(NamedTuple):
    """Times that the decisions depend on, in seconds.

    :ivar lost_after_s: silence of a side after which nothing can run on
        its worker any more.
    :ivar status_s: how long an ended job can be asked for.
    """

    lost_after_s: float
    status_s: float


class Changes(NamedTuple):
    """Records to append in one batch, and what waits for them.

    :ivar number: to hand to :meth:`Scheduler.committed`.
    """

    number: int
    records: tuple[keyed_log.KeyedRecord, ...]


class _AfterCommit:
    """What may happen once a batch is on the log."""

    def __init__(self) -> None:
        self.starts: list[tuple[work.Group, int]] = []
        self.acks: dict[str, int] = {}


class _Claim(NamedTuple):
    """Room that is being cleared for a guaranteed group."""

    workers: tuple[str, ...]
    made_at: float


class _Look:
    """One pass over all that waits.

    :ivar rooms: free room by worker, less what is being cleared.
    :ivar urgent_gpus: accelerators that each account's urgent work has,
        counted once urgent work waits.
    """

    def __init__(
        self,
        usable: list[fleet.Worker],
        rooms: placement.Rooms,
        now: float,
    ) -> None:
        self.rooms = rooms
        self.now = now
        self.urgent_gpus: dict[str, int] | None = None
        self._usable = usable
        self._able: dict[tuple[str, str], list[fleet.Worker]] = {}
        self._failed: set[tuple[object, ...]] = set()

    def able(self, group: work.Group, pool: str) -> list[fleet.Worker]:
        """Give the workers that may run a group's tasks, room aside."""
        key = (pool, group.spec.label)
        if key not in self._able:
            self._able[key] = [
                worker
                for worker in self._usable
                if placement.may_run(worker, group, pool, self.now)
            ]
        return self._able[key]

    def is_hopeless(self, group: work.Group, pool: str) -> bool:
        """Tell whether a group that needs the same found no place."""
        return self._shape(group, pool) in self._failed

    def note_failure(self, group: work.Group, pool: str) -> None:
        """Remember what found no place; limits on a worker are its own."""
        if not group.spec.most_per_worker:
            self._failed.add(self._shape(group, pool))

    def _shape(self, group: work.Group, pool: str) -> tuple[object, ...]:
        spec = group.spec
        return (
            pool,
            spec.label,
            spec.need,
            len(group.tasks),
            spec.same_rack,
            spec.data_rack,
            placement.may_be_slow(group, self.now),
        )


class Scheduler:
    """Decisions over one pool of jobs and workers.

    :ivar workers: by name.
    :ivar jobs: those that are not over, by name.
    """

    def __init__(self, timing: Timing) -> None:
        """Start without jobs and workers."""
        self.workers: dict[str, fleet.Worker] = {}
        self.jobs: dict[str, work.Job] = {}
        self._timing = timing
        self._policy = model.Policy(0, {}, {})
        self._said: list[commands.Say] = []
        self._dirty: dict[str, None] = {}
        self._dropped: list[str] = []
        self._next = _AfterCommit()
        self._batches: dict[int, _AfterCommit] = {}
        self._batch_number = 0
        self._ready = waiting.WaitingGroups()
        self._claims: dict[work.Group, _Claim] = {}
        self._place_wanted = True
        self._scan_at = 0.0
        self._over: dict[str, int] = {}

    def load(
        self, board: job_board.JobBoard, now: float, wall_ms: int
    ) -> None:
        """Begin to decide, from what the log says."""
        stored = sorted(board.jobs.items(), key=lambda item: item[1].order)
        for name, job in stored:
            self._load_job(name, job, now, wall_ms)

    def set_policy(self, policy: model.Policy) -> None:
        """Use a new version of the configuration."""
        self._policy = policy
        self._place_wanted = True

    def job_changed(
        self, name: str, stored: job_board.StoredJob, now: float, wall_ms: int
    ) -> None:
        """Follow what callers did: a job handed in, or cancelled."""
        if name not in self.jobs:
            if name not in self._over:
                self._load_job(name, stored, now, wall_ms)
            return
        if stored.cancelled:
            self._end(self.jobs[name], model.CANCELLED, "cancelled", wall_ms)

    def report(self, listing: fleet.Listing, now: float, wall_ms: int) -> None:
        """Take in what a side reports about its worker."""
        if listing.gone:
            self._worker_gone(listing.worker, now, "it has left")
            return
        worker = self.workers.get(listing.worker)
        if worker is None:
            worker = fleet.Worker(listing.worker, now)
            self.workers[listing.worker] = worker
        if not worker.known:
            self._say(logs.Part.MEMBER, f"Worker {worker.name} is here.")
            self._forget_older_lives(worker, now)
        if not worker.linked or listing.draining != worker.draining:
            worker.orders_changed = True
            self._place_wanted = True
        worker.describe(listing, now)
        self._take_running(worker, listing.running, now)
        # An end says more than a refusal of the same run.
        for ended in listing.ended:
            self._take_ended(worker, ended, now, wall_ms)
        for refused in listing.refused:
            self._take_refused(worker, refused, now)

    def side_lost(self, side: str) -> None:
        """A side's link has ended; its worker may well go on."""
        for worker in self.workers.values():
            if worker.side == side:
                worker.linked = False

    def tick(self, now: float, wall_ms: int) -> None:
        """Do what the time asks for, and place what can be placed."""
        if now >= self._scan_at:
            self._scan_at = now + _SCAN_S
            self._open_due(now, wall_ms)
            self._check_workers(now)
            self._forget_ended(wall_ms)
            self._place_wanted = True
        if self._place_wanted:
            self._place_wanted = False
            self._place_all(now)

    def take_changes(self) -> Changes | None:
        """Give the records that must be appended next, if there are any."""
        after = self._next
        if not self._dirty and not self._dropped:
            if after.acks:
                # The ends were on the log already.
                self._release(after)
                self._next = _AfterCommit()
            return None
        records = []
        for name in self._dirty:
            job = self.jobs.get(name)
            if job is not None:
                records.append(job_records.progress(job.record()))
        for name in self._dropped:
            records.extend(job_records.forgotten(name))
        self._dirty.clear()
        self._dropped.clear()
        self._next = _AfterCommit()
        self._batch_number += 1
        self._batches[self._batch_number] = after
        return Changes(self._batch_number, tuple(records))

    def committed(self, number: int) -> None:
        """A batch is on the log; what waited for it may happen."""
        self._release(self._batches.pop(number))

    def take_said(self) -> list[commands.Say]:
        """Hand over the log lines that are waiting."""
        said, self._said = self._said, []
        return said

    def _load_job(
        self,
        name: str,
        stored: job_board.StoredJob,
        now: float,
        wall_ms: int,
    ) -> None:
        if stored.spec is None:
            return
        job = work.Job(name, stored.spec, stored.order, now)
        if stored.progress is not None:
            job.restore(stored.progress, now)
        if job.ended and job.vacant:
            self._over[name] = job.ended_ms
            return
        self.jobs[name] = job
        self._note_accepted(job)
        for group in job.groups():
            self._adopt(group, now)
        if stored.cancelled:
            self._end(job, model.CANCELLED, "cancelled", wall_ms)
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
        self._say(logs.Part.PLACE, text)

    def _adopt(self, group: work.Group, now: float) -> None:
        """Take over what a past owner assigned."""
        if group.phase == work.ASSIGNED and group.vacant:
            group.phase = work.WAITING
        for index, holder in enumerate(group.holders):
            if not holder:
                continue
            if holder not in self.workers:
                self.workers[holder] = fleet.Worker(holder, now)
            worker = self.workers[holder]
            run = fleet.RunId(group.tasks[index], group.run)
            worker.hold(run, group.spec.need)
            if group.phase == work.ASSIGNED:
                self._order_start(worker, group, run)

    def _open_due(self, now: float, wall_ms: int) -> None:
        for job in self.jobs.values():
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
                if group.phase == work.WAITING and group not in self._ready:
                    group.ready_at = now
                    self._ready.add(group)
                    self._place_wanted = True

    def _queue_of(self, job: work.Job) -> model.QueuePolicy:
        """Give the queue's policy; a removed queue keeps its jobs going."""
        found = self._policy.queues.get(job.spec.queue)
        if found is not None:
            return found
        return model.QueuePolicy(
            job.spec.queue, job.spec.pool, 2, 3, 3.0, 1000
        )

    # Reports.

    def _take_running(
        self,
        worker: fleet.Worker,
        running: Iterable[fleet.RunningTask],
        now: float,
    ) -> None:
        for row in running:
            run = fleet.RunId(row.task, row.run)
            if run not in worker.held:
                self._stop(worker, run)
                continue
            if worker.starts.pop(run, None) is not None:
                worker.orders_changed = True
            group = self._group_of(run)
            if group is None:
                self._stop(worker, run)
                continue
            index = group.tasks.index(row.task)
            group.note_progress(index, row.percent, worker.clock_ms)
            self._note_running(group, row, now)

    def _note_running(
        self, group: work.Group, row: fleet.RunningTask, now: float
    ) -> None:
        job = group.job
        if not group.begun_at:
            group.begun_at = now
        if row.saved:
            group.saved = row.saved
        if job.state == model.PENDING:
            job.state = model.RUNNING
            self._dirty[job.name] = None

    def _take_refused(
        self, worker: fleet.Worker, refused: fleet.RefusedTask, now: float
    ) -> None:
        run = fleet.RunId(refused.task, refused.run)
        if run not in worker.held:
            if run in worker.stops or run in worker.starts:
                worker.release(run)
            return
        text = f"{worker.name} has not run {refused.task}: {refused.reason}."
        self._say(logs.Part.TASK, text)
        group = self._group_of(run)
        worker.release(run)
        if group is not None:
            group.avoid.add(worker.name)
            self._vacate(group, run, worker, refused.reason, now)
        self._place_wanted = True

    def _take_ended(
        self,
        worker: fleet.Worker,
        ended: fleet.EndedTask,
        now: float,
        wall_ms: int,
    ) -> None:
        if ended.number <= worker.acked:
            return
        run = fleet.RunId(ended.task, ended.run)
        group = self._group_of(run) if run in worker.held else None
        worker.release(run)
        if group is not None:
            text = (
                f"Task {ended.task} run {ended.run} on {worker.name}:"
                f" {ended.outcome}, end {ended.number}."
            )
            self._say(logs.Part.TASK, text)
            self._apply_end(group, run, worker, ended, now, wall_ms)
        newest = max(self._next.acks.get(worker.name, 0), ended.number)
        self._next.acks[worker.name] = newest
        self._place_wanted = True

    def _apply_end(
        self,
        group: work.Group,
        run: fleet.RunId,
        worker: fleet.Worker,
        ended: fleet.EndedTask,
        now: float,
        wall_ms: int,
    ) -> None:
        if ended.saved and group.phase != work.DONE:
            group.saved = ended.saved
        if ended.outcome == "done":
            worker.succeeded()
            if not group.spec.long_running:
                self._finish(group, now, wall_ms)
        elif ended.outcome == "failed":
            group.failed = True
            group.avoid.add(worker.name)
            if worker.failed(ended.task, now):
                text = f"Worker {worker.name} is set aside: it fails tasks."
                self._say(logs.Part.MEMBER, text)
        self._vacate(group, run, worker, ended.outcome, now)
        self._check_attempts(group, wall_ms)

    def _finish(self, group: work.Group, now: float, wall_ms: int) -> None:
        """A group is done; its other members' room is still held."""
        if group.phase == work.DONE:
            return
        group.phase = work.DONE
        job = group.job
        occurrence = job.open[group.occurrence]
        occurrence.left[group.step] -= 1
        self._dirty[job.name] = None
        self._ready.discard(group)
        if not occurrence.left[group.step]:
            self._make_ready(job, occurrence, now)
        if occurrence.done:
            job.finished.add(group.occurrence)
            if len(job.finished) == job.spec.occurrences and not job.ended:
                self._end(job, model.COMPLETED, "all tasks done", wall_ms)

    def _vacate(
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
        job = group.job
        self._dirty[job.name] = None
        if group.phase != work.ASSIGNED:
            self._close_if_over(job)
            return
        if not group.vacant:
            if not group.stopping:
                group.stopping = f"a member was {reason}"
                self._stop_group(group)
            return
        pause_s = 0.0 if reason in _NO_PAUSE else _BACKOFF_S
        group.end_run(now + pause_s, now)
        if job.ended:
            self._close_if_over(job)
        else:
            self._ready.add(group)

    def _check_attempts(self, group: work.Group, wall_ms: int) -> None:
        job = group.job
        most = self._queue_of(job).most_attempts
        failures = group.failures + (1 if group.failed else 0)
        if group.spec.long_running or group.phase == work.DONE:
            return
        if failures >= most and not job.ended:
            reason = f"a task failed {failures} times"
            self._end(job, model.FAILED, reason, wall_ms)

    # Ends and stops.

    def _end(
        self, job: work.Job, state: str, reason: str, wall_ms: int
    ) -> None:
        """A job is over; stop what still runs of it."""
        if job.ended:
            return
        job.state = state
        job.ended_ms = wall_ms
        self._dirty[job.name] = None
        text = f"Job {job.name} is {state}: {reason}."
        self._say(logs.Part.PLACE, text)
        if state != model.COMPLETED:
            self._stop_all(job, reason)
        self._close_if_over(job)

    def _stop_all(self, job: work.Job, reason: str) -> None:
        for group in job.groups():
            self._ready.discard(group)
            if not group.vacant:
                group.stopping = reason
                self._stop_group(group)

    def _close_if_over(self, job: work.Job) -> None:
        """Keep an ended job only while tasks of it hold room."""
        if job.ended and job.vacant:
            self._over[job.name] = job.ended_ms

    def _forget_ended(self, wall_ms: int) -> None:
        for name in [n for n in self._over if n in self.jobs]:
            # Its last record is written before it leaves the table.
            if name not in self._dirty and not self._batches:
                del self.jobs[name]
        keep_ms = self._timing.status_s * 1000 + _FORGET_SLACK_MS
        for name, ended_ms in list(self._over.items()):
            if name not in self.jobs and wall_ms > ended_ms + keep_ms:
                del self._over[name]
                self._dropped.append(name)

    def _stop_group(self, group: work.Group) -> None:
        for index, holder in enumerate(group.holders):
            if holder:
                run = fleet.RunId(group.tasks[index], group.run)
                self._stop(self.workers[holder], run)

    def _stop(self, worker: fleet.Worker, run: fleet.RunId) -> None:
        if run in worker.stops:
            return
        worker.starts.pop(run, None)
        worker.stops.add(run)
        worker.orders_changed = True

    # Workers.

    def _forget_older_lives(self, worker: fleet.Worker, now: float) -> None:
        for name in [*self.workers]:
            other = self.workers[name]
            if other is not worker and other.side == worker.side:
                self._worker_gone(name, now, f"{worker.name} follows it")

    def _worker_gone(self, name: str, now: float, reason: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is None:
            return
        text = f"Worker {name} is gone with {len(worker.held)}: {reason}."
        self._say(logs.Part.MEMBER, text)
        lost = [(run, self._group_of(run)) for run in worker.held]
        for run, _ in lost:
            worker.release(run)
        # First no member holds room there, then each group goes on.
        for _, group in lost:
            if group is not None:
                group.holders = [
                    "" if holder == name else holder
                    for holder in group.holders
                ]
        for run, group in lost:
            if group is not None:
                self._vacate(group, run, worker, "lost", now)
        self._place_wanted = True

    def _check_workers(self, now: float) -> None:
        for name in [*self.workers]:
            worker = self.workers[name]
            silent_s = now - worker.heard_at
            if silent_s > self._timing.lost_after_s:
                reason = f"silent for {silent_s:.1f} s"
                self._worker_gone(name, now, reason)
                continue
            self._check_progress(worker, now)
            if worker.draining:
                self._evacuate(worker, now)

    def _check_progress(self, worker: fleet.Worker, now: float) -> None:
        """Move tasks away whose progress stands still."""
        if not worker.linked or now - worker.heard_at > _FRESH_S:
            return
        for run in [*worker.held]:
            group = self._group_of(run)
            if group is None or group.phase != work.ASSIGNED:
                continue
            if not group.begun_at or group.stopping:
                continue
            if group.spec.long_running or not group.spec.estimate_ms:
                continue
            patience_ms = _STALL_MS + group.spec.estimate_ms // _STALL_PART
            index = group.tasks.index(run.task)
            if group.is_stuck(index, worker.clock_ms, patience_ms):
                group.stopping = "no progress"
                group.avoid.add(worker.name)
                text = f"{run.task} stands still on {worker.name}; it moves."
                self._say(logs.Part.TASK, text)
                if worker.set_aside(now):
                    text = f"Worker {worker.name} is set aside: it stalls."
                    self._say(logs.Part.MEMBER, text)
                self._stop_group(group)

    def _evacuate(self, worker: fleet.Worker, now: float) -> None:
        """Move what can't end before a worker leaves."""
        left_s = worker.leaves_at - now
        for run in [*worker.held]:
            group = self._group_of(run)
            if group is None or group.stopping:
                continue
            if group.phase != work.ASSIGNED:
                continue
            whole_s = group.spec.estimate_ms / 1000
            needed_s = whole_s * (1 - group.percent / 100)
            if group.spec.long_running or needed_s > left_s:
                group.stopping = "evacuated"
                text = f"{run.task} leaves {worker.name}, which drains."
                self._say(logs.Part.TASK, text)
                self._stop_group(group)

    # Placing.

    def _place_all(self, now: float) -> None:
        """Place what can be placed, the most urgent first."""
        usable = [
            worker
            for worker in self.workers.values()
            if worker.known and now - worker.heard_at <= _FRESH_S
        ]
        rooms = {worker.name: worker.free for worker in usable}
        self._check_claims(rooms, now)
        look = _Look(usable, rooms, now)
        for groups in self._ready.in_order(self._rank):
            self._place_step(groups, look)

    def _place_step(
        self, groups: Collection[work.Group], look: "_Look"
    ) -> None:
        """Place what can be placed of one step's groups."""
        first = waiting.first_of(groups)
        queue = self._queue_of(first.job)
        urgent = queue.priority == 0
        if urgent and look.urgent_gpus is None:
            look.urgent_gpus = self._count_urgent()
        if not urgent and look.is_hopeless(first, queue.pool):
            return
        able = look.able(first, queue.pool)
        for group in [*groups]:
            if look.now < group.not_before:
                continue
            if not urgent and look.is_hopeless(group, queue.pool):
                return
            placed = self._place(group, able, look)
            if urgent:
                self._claim_if_urgent(group, able, placed, look)
            elif not placed:
                look.note_failure(group, queue.pool)
                return

    def _claim_if_urgent(
        self,
        group: work.Group,
        able: list[fleet.Worker],
        placed: bool,
        look: "_Look",
    ) -> None:
        """Clear room for an urgent group that found none."""
        assert look.urgent_gpus is not None
        account = group.job.spec.account
        used = look.urgent_gpus.get(account, 0)
        promised = self._policy.guaranteed_gpus.get(account, 0)
        if not placed:
            entitled = used + group.gpus <= promised
            most = float("inf") if entitled else _URGENT_COST
            self._reclaim(group, able, look, most)
        if placed or group in self._claims:
            look.urgent_gpus[account] = used + group.gpus

    def _count_urgent(self) -> dict[str, int]:
        """Count the accelerators that each account's urgent work has."""
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            if self._queue_of(job).priority != 0:
                continue
            used = sum(
                group.gpus
                for group in job.groups()
                if group.phase == work.ASSIGNED
            )
            account = job.spec.account
            counts[account] = counts.get(account, 0) + used
        return counts

    def _check_claims(self, rooms: placement.Rooms, now: float) -> None:
        """Set room aside for what is being cleared; drop failed claims."""
        for group, claim in [*self._claims.items()]:
            overdue = now - claim.made_at > _CLAIM_S
            missing = any(name not in rooms for name in claim.workers)
            if group not in self._ready or overdue or missing:
                del self._claims[group]
                continue
            for name in claim.workers:
                rooms[name] = rooms[name].minus(group.spec.need)

    def _reclaim(
        self,
        group: work.Group,
        able: list[fleet.Worker],
        look: "_Look",
        most: float,
    ) -> None:
        """Clear room for an urgent group.

        :param most: core-seconds of work that may be thrown away.
        """
        if group in self._claims:
            return
        rooms, now = look.rooms, look.now
        guaranteed = most == float("inf")
        victims = self._find_victims(able, guaranteed)
        search = reclaim.Search(rooms, victims, now)
        plan = search.find(group, able)
        if plan is None or plan.cost > most:
            return
        self._claims[group] = _Claim(plan.workers, now)
        for name in plan.workers:
            rooms[name] = rooms[name].minus(group.spec.need)
        names = ", ".join(victim.tasks[0] for victim in plan.victims)
        text = (
            f"{group.tasks[0]} reclaims {', '.join(sorted(set(plan.workers)))}"
            f" for {group.job.spec.account}; stopped: {names or 'none'};"
            f" {plan.cost:.0f} core-seconds lost."
        )
        self._say(logs.Part.PLACE, text)
        for victim in plan.victims:
            if not victim.stopping:
                victim.stopping = f"reclaimed for {group.tasks[0]}"
                self._stop_group(victim)

    def _find_victims(
        self, workers: list[fleet.Worker], guaranteed: bool
    ) -> dict[str, list[work.Group]]:
        """Give the groups on each worker that may be stopped.

        Urgent work within its account's guarantee is spared, and so is
        work whose tasks may not be away.

        :param guaranteed: other urgent work may be stopped as well.
        """
        spared = self._find_guaranteed()
        victims: dict[str, list[work.Group]] = {}
        for worker in workers:
            groups: dict[work.Group, None] = {}
            for run in worker.held:
                group = self._group_of(run)
                if group is None or group.phase != work.ASSIGNED:
                    continue
                urgent = self._queue_of(group.job).priority == 0
                if urgent and (group in spared or not guaranteed):
                    continue
                if not group.spec.may_miss:
                    groups[group] = None
            victims[worker.name] = list(groups)
        return victims

    def _find_guaranteed(self) -> set[work.Group]:
        """Give the urgent groups that guarantees cover, oldest first."""
        left = dict(self._policy.guaranteed_gpus)
        spared = set()
        for job in self.jobs.values():
            if self._queue_of(job).priority != 0:
                continue
            for group in job.groups():
                account = job.spec.account
                if group.phase != work.ASSIGNED or group.stopping:
                    continue
                if group.gpus <= left.get(account, 0):
                    left[account] -= group.gpus
                    spared.add(group)
        return spared

    def _rank(self, group: work.Group) -> waiting.Rank:
        job = group.job
        return (self._queue_of(job).priority, job.order, group.step)

    def _place(
        self, group: work.Group, able: list[fleet.Worker], look: "_Look"
    ) -> bool:
        rooms, now = look.rooms, look.now
        allow_slow = placement.may_be_slow(group, now)
        claim = self._claims.get(group)
        if claim is not None:
            for name in claim.workers:
                rooms[name] = rooms[name].plus(group.spec.need)
        places = placement.choose(
            group,
            able,
            rooms,
            lambda name: self._count_on(group, name),
            allow_slow,
        )
        if places is None:
            if claim is not None:
                for name in claim.workers:
                    rooms[name] = rooms[name].minus(group.spec.need)
            return False
        self._claims.pop(group, None)
        self._assign(group, places, now)
        for name in places.workers:
            rooms[name] = rooms[name].minus(group.spec.need)
        return True

    def _count_on(self, group: work.Group, name: str) -> int:
        """Count the tasks of a group's step on one worker."""
        if not group.spec.most_per_worker:
            return 0
        occurrence = group.job.open[group.occurrence]
        return sum(
            other.holders.count(name)
            for other in occurrence.steps[group.step]
            if other is not group
        )

    def _assign(
        self, group: work.Group, places: placement.Places, now: float
    ) -> None:
        self._ready.discard(group)
        group.begin_run(places.workers)
        for index, name in enumerate(places.workers):
            run = fleet.RunId(group.tasks[index], group.run)
            self.workers[name].hold(run, group.spec.need)
        self._dirty[group.job.name] = None
        self._next.starts.append((group, group.run))
        waited_ms = int((now - group.ready_at) * 1000)
        text = (
            f"{group.tasks[0]} and {len(group.tasks) - 1} more, run"
            f" {group.run}, go to {', '.join(sorted(set(places.workers)))}"
            f" after {waited_ms} ms{', slow' if places.slow else ''}."
        )
        self._say(logs.Part.PLACE, text)

    def _release(self, after: _AfterCommit) -> None:
        """Carry out what waited for the log."""
        for group, run_number in after.starts:
            if group.run != run_number or group.phase != work.ASSIGNED:
                continue
            if group.stopping:
                continue
            for index, name in enumerate(group.holders):
                if name:
                    run = fleet.RunId(group.tasks[index], group.run)
                    self._order_start(self.workers[name], group, run)
        for name, number in after.acks.items():
            worker = self.workers.get(name)
            if worker is not None and number > worker.acked:
                worker.acked = number
                worker.orders_changed = True

    def _order_start(
        self, worker: fleet.Worker, group: work.Group, run: fleet.RunId
    ) -> None:
        worker.starts[run] = fleet.StartOrder(
            run.task, run.run, group.job.spec.payload, group.saved
        )
        worker.orders_changed = True

    def _group_of(self, run: fleet.RunId) -> work.Group | None:
        task = model.parse_task(run.task)
        job = None if task is None else self.jobs.get(task.job)
        if job is None or task is None:
            return None
        group = job.find(task)
        return group if group is not None and group.run == run.run else None

    def _say(self, part: logs.Part, text: str) -> None:
        self._said.append(commands.Say(part, text))
