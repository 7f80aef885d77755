"""Takes in what sides report, and watches workers: silence, stalls, drain."""

from collections.abc import Iterable
from typing import Final

from kingcuplever import logs
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import job_tracker as job_keepers
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import pacing
from kingcuplever.process.scheduling import scheduler_state as books
from kingcuplever.process.stored import evidence_records

# Reports older than this make a worker no place for new work; two periods
# of a side's reports and some slack.
MAX_REPORT_AGE_S: Final = 2.5
# A task whose progress stands still for so long on its worker's clock is
# moved: at least one list in between, and some hundredths of its work, the
# smallest progress that a list shows, at several times the estimate.
_STALL_TIMEOUT_MS: Final = 1600
_STALL_ESTIMATE_DIVISOR: Final = 12


class WorkerTracker:
    """Changes workers, and the jobs that run on them, by reports and time."""

    def __init__(
        self,
        book: books.SchedulerState,
        jobs: job_keepers.JobTracker,
        lost_after_s: float,
    ) -> None:
        """Work on a shared book.

        :param lost_after_s: silence of a side after which nothing can run
            on its worker any more.
        """
        self._book = book
        self._jobs = jobs
        self._lost_after_s = lost_after_s

    def apply_report(
        self, listing: fleet.WorkerStatus, now: float, wall_ms: int
    ) -> None:
        """Take in what a side reports about its worker."""
        if listing.has_ended:
            self._remove_worker(listing.worker, now, "it has left")
            return
        worker = self._book.workers.get(listing.worker)
        if worker is None:
            worker = fleet.Worker(listing.worker, now)
            self._book.workers[listing.worker] = worker
        if not worker.has_reported:
            self._book.queue_log_line(
                logs.Component.MEMBER, f"Worker {worker.name} is here."
            )
            self._book.newest_worker_at = now
            self._remove_older_incarnations(worker, now)
            seen = evidence_records.WorkerSeen(
                worker.name, listing.capacity.gpus
            )
            self._book.record_evidence(seen)
        if not worker.is_connected or listing.draining != worker.draining:
            worker.orders_changed = True
            self._book.needs_placement = True
        worker.update(listing, now)
        self._apply_running(worker, listing.running, now)
        self._update_paces(worker, listing.running, now)
        # An end says more than a refusal of the same run.
        for ended in listing.ended:
            self._apply_ended(worker, ended, now, wall_ms)
        for refused in listing.refused:
            self._apply_refused(worker, refused, now)

    def mark_side_disconnected(self, side: str) -> None:
        """A side's link has ended; its worker may well go on."""
        for worker in self._book.workers.values():
            if worker.side == side:
                worker.is_connected = False

    def _apply_running(
        self,
        worker: fleet.Worker,
        running: Iterable[fleet.RunningTask],
        now: float,
    ) -> None:
        for row in running:
            run = fleet.RunId(row.task, row.run)
            if run not in worker.allocations:
                self._book.order_stop(worker, run)
                continue
            if worker.pending_starts.pop(run, None) is not None:
                worker.orders_changed = True
            group = self._book.find_group(run)
            if group is None:
                self._book.order_stop(worker, run)
                continue
            index = group.tasks.index(row.task)
            group.update_progress(index, row.percent, worker.clock_ms)
            self._update_group(group, row, now)

    def _update_paces(
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
            group = self._book.find_group(run)
            if group is None:
                continue
            if group.spec.fills:
                fillers.append(run)
            elif group.spec.target_ms:
                target_ms = group.spec.target_ms
                serving.append(pacing.ServingTask(row.usage, target_ms))
        pacing.update_pace(worker, fillers, serving, now)

    def _update_group(
        self, group: job_state.Group, row: fleet.RunningTask, now: float
    ) -> None:
        job = group.job
        group.estimate_start(row.percent, now)
        if row.checkpoint and row.checkpoint != group.checkpoint:
            group.checkpoint = row.checkpoint
            self._book.unpersisted_groups[group] = None
        if job.state == model.PENDING:
            job.state = model.RUNNING
            self._book.dirty_jobs[job.name] = None

    def _apply_refused(
        self, worker: fleet.Worker, refused: fleet.RefusedTask, now: float
    ) -> None:
        run = fleet.RunId(refused.task, refused.run)
        if run not in worker.allocations:
            if run in worker.pending_stops or run in worker.pending_starts:
                worker.release(run)
            return
        text = f"{worker.name} has not run {refused.task}: {refused.reason}."
        self._book.queue_log_line(logs.Component.TASK, text)
        group = self._book.find_group(run)
        worker.release(run)
        if group is not None:
            if refused.reason == "ticket":
                self._book.advice.drop_ticket(group.step_name, worker.name)
            else:
                group.avoided_workers.add(worker.name)
            self._jobs.release_task(group, run, worker, refused.reason, now)
        self._book.needs_placement = True

    def _apply_ended(
        self,
        worker: fleet.Worker,
        ended: fleet.EndedTask,
        now: float,
        wall_ms: int,
    ) -> None:
        if ended.number <= worker.acked:
            return
        run = fleet.RunId(ended.task, ended.run)
        group = (
            self._book.find_group(run) if run in worker.allocations else None
        )
        worker.release(run)
        if group is not None:
            text = (
                f"Task {ended.task} run {ended.run} on {worker.name}:"
                f" {ended.outcome}, end {ended.number}."
            )
            self._book.queue_log_line(logs.Component.TASK, text)
            self._apply_outcome(group, run, worker, ended, now, wall_ms)
        newest = max(
            self._book.deferred.acks.get(worker.name, 0), ended.number
        )
        self._book.deferred.acks[worker.name] = newest
        self._book.needs_placement = True

    def _apply_outcome(
        self,
        group: job_state.Group,
        run: fleet.RunId,
        worker: fleet.Worker,
        ended: fleet.EndedTask,
        now: float,
        wall_ms: int,
    ) -> None:
        if ended.checkpoint and group.phase != job_state.DONE:
            group.checkpoint = ended.checkpoint
        if ended.outcome == "done":
            worker.reset_failures()
            if not group.spec.long_running:
                self._jobs.finish_group(group, now, wall_ms)
        elif ended.outcome == "failed":
            group.has_failed = True
            group.avoided_workers.add(worker.name)
            if worker.record_failure(ended.task, self._book.policy, now):
                text = f"Worker {worker.name} is set aside: it fails tasks."
                self._book.queue_log_line(logs.Component.MEMBER, text)
        self._jobs.release_task(group, run, worker, ended.outcome, now)
        self._jobs.enforce_attempt_limit(group, wall_ms)

    def _remove_older_incarnations(
        self, worker: fleet.Worker, now: float
    ) -> None:
        for name in [*self._book.workers]:
            other = self._book.workers[name]
            if other is not worker and other.side == worker.side:
                self._remove_worker(name, now, f"{worker.name} follows it")

    def _remove_worker(self, name: str, now: float, reason: str) -> None:
        worker = self._book.workers.pop(name, None)
        if worker is None:
            return
        text = (
            f"Worker {name} is gone with {len(worker.allocations)}: {reason}."
        )
        self._book.queue_log_line(logs.Component.MEMBER, text)
        lost = [
            (run, self._book.find_group(run)) for run in worker.allocations
        ]
        for run, _ in lost:
            worker.release(run)
        # First no member holds room there, then each group goes on.
        for _, group in lost:
            if group is not None:
                group.assigned_workers = [
                    "" if holder == name else holder
                    for holder in group.assigned_workers
                ]
        for run, group in lost:
            if group is not None:
                self._jobs.release_task(group, run, worker, "lost", now)
        self._book.needs_placement = True

    def check_workers(self, now: float) -> None:
        """Look for workers that are lost, stall or leave."""
        for name in [*self._book.workers]:
            worker = self._book.workers[name]
            silent_s = now - worker.last_report_at
            if silent_s > self._lost_after_s:
                reason = f"silent for {silent_s:.1f} s"
                self._remove_worker(name, now, reason)
                continue
            self._stop_stalled(worker, now)
            if worker.draining:
                self._evacuate_worker(worker, now)

    def _stop_stalled(self, worker: fleet.Worker, now: float) -> None:
        """Move tasks away whose progress stands still."""
        if (
            not worker.is_connected
            or now - worker.last_report_at > MAX_REPORT_AGE_S
        ):
            return
        for run in [*worker.allocations]:
            group = self._book.find_group(run)
            if group is None or group.phase != job_state.ASSIGNED:
                continue
            if not group.started_at or group.stop_reason:
                continue
            if group.spec.long_running or not group.spec.estimate_ms:
                continue
            patience_ms = (
                _STALL_TIMEOUT_MS
                + group.spec.estimate_ms // _STALL_ESTIMATE_DIVISOR
            )
            index = group.tasks.index(run.task)
            if group.is_stalled(index, worker.clock_ms, patience_ms):
                group.stop_reason = "stalled"
                group.avoided_workers.add(worker.name)
                text = f"{run.task} stands still on {worker.name}; it moves."
                self._book.queue_log_line(logs.Component.TASK, text)
                if worker.quarantine(self._book.policy.probation_s, now):
                    text = f"Worker {worker.name} is set aside: it stalls."
                    self._book.queue_log_line(logs.Component.MEMBER, text)
                self._book.order_group_stop(group)

    def _evacuate_worker(self, worker: fleet.Worker, now: float) -> None:
        """Move what can't end before a worker leaves."""
        left_s = worker.drain_ends_at - now
        for run in [*worker.allocations]:
            group = self._book.find_group(run)
            if group is None or group.stop_reason:
                continue
            if group.phase != job_state.ASSIGNED:
                continue
            if (
                group.spec.long_running
                or group.estimate_remaining_s(now) > left_s
            ):
                group.stop_reason = "evacuated"
                text = f"{run.task} leaves {worker.name}, which drains."
                self._book.queue_log_line(logs.Component.TASK, text)
                self._book.order_group_stop(group)
