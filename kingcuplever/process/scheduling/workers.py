"""Takes in what sides report, and watches workers: silence, stalls, drain."""

from collections.abc import Iterable
from typing import Final

from kingcuplever import logs
from kingcuplever.process.scheduling import book as books
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import jobs as job_keepers
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import pacing
from kingcuplever.process.scheduling import work
from kingcuplever.process.stored import evidence_records

# Reports older than this make a worker no place for new work; two periods
# of a side's reports and some slack.
FRESH_S: Final = 2.5
# A task whose progress stands still for so long on its worker's clock is
# moved: at least one list in between, and some hundredths of its work, the
# smallest progress that a list shows, at several times the estimate.
_STALL_MS: Final = 1600
_STALL_PART: Final = 12


class WorkerKeeper:
    """Changes workers, and the jobs that run on them, by reports and time."""

    def __init__(
        self,
        book: books.Book,
        jobs: job_keepers.JobKeeper,
        lost_after_s: float,
    ) -> None:
        """Work on a shared book.

        :param lost_after_s: silence of a side after which nothing can run
            on its worker any more.
        """
        self._book = book
        self._jobs = jobs
        self._lost_after_s = lost_after_s

    def report(self, listing: fleet.Listing, now: float, wall_ms: int) -> None:
        """Take in what a side reports about its worker."""
        if listing.gone:
            self._worker_gone(listing.worker, now, "it has left")
            return
        worker = self._book.workers.get(listing.worker)
        if worker is None:
            worker = fleet.Worker(listing.worker, now)
            self._book.workers[listing.worker] = worker
        if not worker.known:
            self._book.say(logs.Part.MEMBER, f"Worker {worker.name} is here.")
            self._book.newest_at = now
            self._forget_older_lives(worker, now)
            seen = evidence_records.WorkerSeen(
                worker.name, listing.capacity.gpus
            )
            self._book.note(seen)
        if not worker.linked or listing.draining != worker.draining:
            worker.orders_changed = True
            self._book.place_wanted = True
        worker.describe(listing, now)
        self._take_running(worker, listing.running, now)
        self._pace(worker, listing.running, now)
        # An end says more than a refusal of the same run.
        for ended in listing.ended:
            self._take_ended(worker, ended, now, wall_ms)
        for refused in listing.refused:
            self._take_refused(worker, refused, now)

    def side_lost(self, side: str) -> None:
        """A side's link has ended; its worker may well go on."""
        for worker in self._book.workers.values():
            if worker.side == side:
                worker.linked = False

    def _take_running(
        self,
        worker: fleet.Worker,
        running: Iterable[fleet.RunningTask],
        now: float,
    ) -> None:
        for row in running:
            run = fleet.RunId(row.task, row.run)
            if run not in worker.held:
                self._book.stop(worker, run)
                continue
            if worker.starts.pop(run, None) is not None:
                worker.orders_changed = True
            group = self._book.group_of(run)
            if group is None:
                self._book.stop(worker, run)
                continue
            index = group.tasks.index(row.task)
            group.note_progress(index, row.percent, worker.clock_ms)
            self._note_running(group, row, now)

    def _pace(
        self,
        worker: fleet.Worker,
        running: Iterable[fleet.RunningTask],
        now: float,
    ) -> None:
        """Slow what fills the worker while its serving tasks are slow."""
        fillers = []
        serving = []
        for row in running:
            run = fleet.RunId(row.task, row.run)
            group = self._book.group_of(run)
            if group is None:
                continue
            if group.spec.fills:
                fillers.append(run)
            elif group.spec.target_ms:
                target_ms = group.spec.target_ms
                serving.append(pacing.Serving(row.usage, target_ms))
        pacing.repace(worker, fillers, serving, now)

    def _note_running(
        self, group: work.Group, row: fleet.RunningTask, now: float
    ) -> None:
        job = group.job
        group.note_begun(row.percent, now)
        if row.saved and row.saved != group.saved:
            group.saved = row.saved
            self._book.unkept[group] = None
        if job.state == model.PENDING:
            job.state = model.RUNNING
            self._book.dirty[job.name] = None

    def _take_refused(
        self, worker: fleet.Worker, refused: fleet.RefusedTask, now: float
    ) -> None:
        run = fleet.RunId(refused.task, refused.run)
        if run not in worker.held:
            if run in worker.stops or run in worker.starts:
                worker.release(run)
            return
        text = f"{worker.name} has not run {refused.task}: {refused.reason}."
        self._book.say(logs.Part.TASK, text)
        group = self._book.group_of(run)
        worker.release(run)
        if group is not None:
            if refused.reason == "ticket":
                self._book.advice.spoiled(group.step_name, worker.name)
            else:
                group.avoid.add(worker.name)
            self._jobs.vacate(group, run, worker, refused.reason, now)
        self._book.place_wanted = True

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
        group = self._book.group_of(run) if run in worker.held else None
        worker.release(run)
        if group is not None:
            text = (
                f"Task {ended.task} run {ended.run} on {worker.name}:"
                f" {ended.outcome}, end {ended.number}."
            )
            self._book.say(logs.Part.TASK, text)
            self._apply_end(group, run, worker, ended, now, wall_ms)
        newest = max(self._book.after.acks.get(worker.name, 0), ended.number)
        self._book.after.acks[worker.name] = newest
        self._book.place_wanted = True

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
                self._jobs.finish(group, now, wall_ms)
        elif ended.outcome == "failed":
            group.failed = True
            group.avoid.add(worker.name)
            if worker.failed(ended.task, self._book.policy, now):
                text = f"Worker {worker.name} is set aside: it fails tasks."
                self._book.say(logs.Part.MEMBER, text)
        self._jobs.vacate(group, run, worker, ended.outcome, now)
        self._jobs.check_attempts(group, wall_ms)

    def _forget_older_lives(self, worker: fleet.Worker, now: float) -> None:
        for name in [*self._book.workers]:
            other = self._book.workers[name]
            if other is not worker and other.side == worker.side:
                self._worker_gone(name, now, f"{worker.name} follows it")

    def _worker_gone(self, name: str, now: float, reason: str) -> None:
        worker = self._book.workers.pop(name, None)
        if worker is None:
            return
        text = f"Worker {name} is gone with {len(worker.held)}: {reason}."
        self._book.say(logs.Part.MEMBER, text)
        lost = [(run, self._book.group_of(run)) for run in worker.held]
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
                self._jobs.vacate(group, run, worker, "lost", now)
        self._book.place_wanted = True

    def check(self, now: float) -> None:
        """Look for workers that are lost, stall or leave."""
        for name in [*self._book.workers]:
            worker = self._book.workers[name]
            silent_s = now - worker.heard_at
            if silent_s > self._lost_after_s:
                reason = f"silent for {silent_s:.1f} s"
                self._worker_gone(name, now, reason)
                continue
            self._check_progress(worker, now)
            if worker.draining:
                self._evacuate(worker, now)

    def _check_progress(self, worker: fleet.Worker, now: float) -> None:
        """Move tasks away whose progress stands still."""
        if not worker.linked or now - worker.heard_at > FRESH_S:
            return
        for run in [*worker.held]:
            group = self._book.group_of(run)
            if group is None or group.phase != work.ASSIGNED:
                continue
            if not group.begun_at or group.stopping:
                continue
            if group.spec.long_running or not group.spec.estimate_ms:
                continue
            patience_ms = _STALL_MS + group.spec.estimate_ms // _STALL_PART
            index = group.tasks.index(run.task)
            if group.is_stuck(index, worker.clock_ms, patience_ms):
                group.stopping = "stalled"
                group.avoid.add(worker.name)
                text = f"{run.task} stands still on {worker.name}; it moves."
                self._book.say(logs.Part.TASK, text)
                if worker.set_aside(self._book.policy.probation_s, now):
                    text = f"Worker {worker.name} is set aside: it stalls."
                    self._book.say(logs.Part.MEMBER, text)
                self._book.stop_group(group)

    def _evacuate(self, worker: fleet.Worker, now: float) -> None:
        """Move what can't end before a worker leaves."""
        left_s = worker.leaves_at - now
        for run in [*worker.held]:
            group = self._book.group_of(run)
            if group is None or group.stopping:
                continue
            if group.phase != work.ASSIGNED:
                continue
            if group.spec.long_running or group.left_s(now) > left_s:
                group.stopping = "evacuated"
                text = f"{run.task} leaves {worker.name}, which drains."
                self._book.say(logs.Part.TASK, text)
                self._book.stop_group(group)
