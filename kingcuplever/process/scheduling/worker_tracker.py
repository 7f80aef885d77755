"""Tracks workers by their reports, and detects loss, stalls and drain."""

from collections.abc import Iterable
from typing import Final

from kingcuplever import logs
from kingcuplever.process.scheduling import crash_attribution
from kingcuplever.process.scheduling import draining
from kingcuplever.process.scheduling import evacuations
from kingcuplever.process.scheduling import evacuator
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import job_tracker
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import pacing
from kingcuplever.process.scheduling import run_observer
from kingcuplever.process.scheduling import scheduler_state
from kingcuplever.process.stored import evidence_records

# A worker whose last report is older takes no new work: two report periods
# of a side and some slack.
MAX_REPORT_AGE_S: Final = 2.5
# A worker with tasks that is silent for longer is looked for elsewhere.
_LONG_SILENCE_S: Final = 4.0
# A task without progress for this long on its worker's clock has stalled.  The
# fixed part covers at least one report in between; the share of the estimate
# covers the smallest progress that a report shows, for a task that takes
# several times its estimate.
_STALL_TIMEOUT_MS: Final = 1600
_STALL_ESTIMATE_DIVISOR: Final = 12


class WorkerTracker:
    """Updates workers, and the jobs on them, by reports and timeouts."""

    def __init__(
        self,
        state: scheduler_state.SchedulerState,
        jobs: job_tracker.JobTracker,
        lost_after_s: float,
        log_outage_s: float,
    ) -> None:
        """Use the state that the scheduler's parts share.

        :param lost_after_s: time without a report after which no task can
            still run on its worker, as all leases have expired.
        :param log_outage_s: how much longer a former owner may have permitted
            a side to go on that has not reported to this one.
        """
        self._state = state
        self._jobs = jobs
        self._lost_after_s = lost_after_s
        self._log_outage_s = log_outage_s
        self._evacuator = evacuator.Evacuator(state)
        self._observer = run_observer.RunObserver(state)

    def apply_report(
        self, status: fleet.WorkerStatus, now: float, wall_ms: int
    ) -> None:
        """Apply a side's report about its worker."""
        if status.has_ended:
            self._apply_worker_end(status, now)
            return
        worker = self._state.workers.get(status.worker)
        if worker is None:
            worker = fleet.Worker(status.worker, now)
            self._state.workers[status.worker] = worker
        self._state.silences.end(worker.name)
        if not worker.has_reported:
            worker.quarantined_until = self._state.quarantines.get_end(
                worker.name
            )
            self._state.queue_log_line(
                logs.Component.MEMBER, f"Worker {worker.name} is here."
            )
            self._state.newest_worker_at = now
            self._remove_older_incarnations(worker, now)
            seen = evidence_records.WorkerSeen(
                worker.name, status.capacity.gpus
            )
            self._state.record_evidence(seen)
        if not worker.is_connected or status.draining != worker.draining:
            worker.orders_changed = True
            self._state.needs_placement = True
        begins_to_drain = status.draining and not worker.draining
        is_new_list = status.clock_ms != worker.clock_ms
        worker.update(status, now)
        self._evacuator.apply_to(worker)
        if begins_to_drain:
            self._state.departures.record_drain(worker, now)
        self._observer.note_worker(worker)
        self._apply_running(worker, status.running, now)
        if is_new_list:
            self._clear_survivors(worker, now)
        if not model.NO_RESOURCES.fits_into(worker.free):
            self._withdraw_starts(worker)
        if not status.has_more:
            with self._state.barrier.contain("paces", worker.name):
                self._update_paces(worker, worker.listed.values(), now)
        # Ends come first: if a run has both, its end has the outcome.
        contain = self._state.barrier.contain
        for ended in status.ended:
            with contain("end", ended.task):
                self._apply_ended(worker, ended, now, wall_ms)
        for refused in status.refused:
            with contain("refusal", refused.task):
                self._apply_refused(worker, refused, now)
        self._evacuator.withdraw_starts(worker)

    def _apply_worker_end(
        self, status: fleet.WorkerStatus, now: float
    ) -> None:
        """Remove an ended worker; its crash may count for tasks on it.

        A worker that was to leave may end at any time.
        """
        worker = self._state.workers.get(status.worker)
        if worker is None:
            return
        if worker.allocations:
            self._state.unrecorded_ends.add(worker.name)
            self._state.deferred.ended_workers.append(worker.name)
        if not status.crashed or worker.draining or worker.cordoned:
            self._remove_worker(worker.name, now, "it has ended")
            return
        groups = {
            group: None
            for group in map(self._state.find_group, worker.allocations)
            if group is not None
        }
        crash_attribution.attribute_crash(
            self._state, worker, status.running, now
        )
        self._remove_worker(worker.name, now, "it has crashed", "crashed")
        for group in groups:
            self._state.crash_proofs.hold(group, now)

    def list_silent(self, now: float) -> list[str]:
        """Return the workers with tasks that have not reported for long.

        There are none until all could report to a new owner.
        """
        if now < self._state.warmup_ends_at:
            return []
        return [
            worker.name
            for worker in self._state.workers.values()
            if worker.allocations
            and now - worker.last_report_at > _LONG_SILENCE_S
        ]

    def remove_gone(self, name: str, now: float) -> None:
        """Remove a worker that has ended, unless it has reported since."""
        if name in self.list_silent(now):
            self._remove_worker(name, now, "no host has it any more")

    def restore_silences(self, silent_since: dict[str, float]) -> None:
        """Count the silences of sides that a former owner has recorded.

        :param silent_since: monotonic time of their start, by worker.
        """
        for name, since in silent_since.items():
            self._state.silences.restore(name)
            worker = self._state.workers.get(name)
            if worker is None:
                self._state.silences.end(name)
            else:
                worker.last_report_at = min(worker.last_report_at, since)

    def check_crash_proofs(self, now: float, wall_ms: int) -> None:
        """Confirm or drop crashes; a group with too many ends its job."""
        proofs = self._state.crash_proofs
        for group in proofs.check(self._state.workers, now):
            self._state.dirty_jobs[group.job.name] = None
            self._jobs.enforce_crash_limit(group, wall_ms)
        for component, text in proofs.log_lines:
            self._state.queue_log_line(component, text)
        proofs.log_lines.clear()

    def _clear_survivors(self, worker: fleet.Worker, now: float) -> None:
        """Clear the suspects that a worker's new list shows at work."""
        for group in [*self._state.isolated_groups]:
            if group.phase != job_state.ASSIGNED or group.stop_reason:
                continue
            if worker.name in group.assigned_workers:
                crash_attribution.clear_survivor(self._state, group, now)

    def set_evacuations(self, view: evacuations.Evacuations) -> None:
        """Apply newer evacuations of data centres."""
        self._evacuator.set_evacuations(view)

    def mark_side_disconnected(self, side: str) -> None:
        """Mark the worker of a disconnected side; its tasks may go on."""
        for worker in self._state.workers.values():
            if worker.side == side:
                worker.is_connected = False

    def _apply_running(
        self,
        worker: fleet.Worker,
        running: Iterable[fleet.RunningTask],
        now: float,
    ) -> None:
        contain = self._state.barrier.contain
        listed: list[run_observer.ListedRun] = []
        for running_task in running:
            with contain("listed run", running_task.task):
                known = self._apply_listed(worker, running_task, now)
                if known is not None:
                    listed.append(known)
        with contain("observation", worker.name):
            self._observer.observe_list(worker, listed, now)

    def _apply_listed(
        self,
        worker: fleet.Worker,
        running_task: fleet.RunningTask,
        now: float,
    ) -> run_observer.ListedRun | None:
        """Apply one row of a list; return the run if it is a current one."""
        run = fleet.RunId(running_task.task, running_task.run)
        if run not in worker.allocations:
            self._stop_orphan(worker, run)
            return None
        if worker.pending_starts.pop(run, None) is not None:
            worker.orders_changed = True
        group = self._state.find_group(run)
        if group is None:
            self._state.order_stop(worker, run)
            return None
        index = group.index_of(running_task.task)
        group.update_progress(index, running_task.percent, worker.clock_ms)
        self._update_group(group, running_task, now)
        return run_observer.ListedRun(group, index, running_task)

    def _stop_orphan(self, worker: fleet.Worker, run: fleet.RunId) -> None:
        """Stop a run that the owner has given up; it takes room until then."""
        if run not in worker.orphans:
            text = f"{worker.name} runs {run.task} run {run.run}, given up."
            self._state.queue_log_line(logs.Component.TASK, text)
            request = self._state.find_request(run)
            worker.add_orphan(run, request or worker.capacity)
        self._state.order_stop(worker, run)

    def _withdraw_starts(self, worker: fleet.Worker) -> None:
        """Withdraw starts for which a worker has no room any more.

        It may have shrunk, or run what the owner had given up.  Runs that
        it has listed stay; of the others, the newest go first.
        """
        free = worker.free
        kept: list[tuple[job_state.Group, model.Resources]] = []
        for run, request in worker.allocations.items():
            group = self._state.find_group(run)
            if group is None or group.phase != job_state.ASSIGNED:
                continue
            if group.progressed_ms[group.index_of(run.task)]:
                continue
            if group.stop_reason:
                free = free.add(request)
            else:
                kept.append((group, request))
        while kept and not model.NO_RESOURCES.fits_into(free):
            group, request = kept.pop()
            free = free.add(request)
            if not group.stop_reason:
                group.stop_reason = "shrunk room of its worker"
                text = (
                    f"{group.tasks[0]} run {group.run} is withdrawn:"
                    f" {worker.name} has room for {worker.capacity}."
                )
                self._state.queue_log_line(logs.Component.TASK, text)
                self._state.order_group_stop(group)

    def _update_paces(
        self,
        worker: fleet.Worker,
        running: Iterable[fleet.RunningTask],
        now: float,
    ) -> None:
        """Slow filling tasks while serving tasks miss their targets."""
        filling_runs = []
        serving = []
        adopted: dict[fleet.RunId, int] = {}
        for running_task in running:
            run = fleet.RunId(running_task.task, running_task.run)
            group = self._state.find_group(run)
            if group is None:
                continue
            if group.spec.fills:
                filling_runs.append(run)
                if run in worker.adopted_runs:
                    requested = max(1, group.spec.cpu_milli)
                    adopted[run] = 100 * running_task.usage // requested
            elif group.spec.target_ms:
                target_ms = group.spec.target_ms
                serving.append(
                    pacing.ServingTask(running_task.usage, target_ms)
                )
        worker.adopted_runs.clear()
        if adopted:
            pacing.adopt_pace(worker, adopted, serving, now)
        pacing.update_pace(worker, filling_runs, serving, now)

    def _update_group(
        self,
        group: job_state.Group,
        running_task: fleet.RunningTask,
        now: float,
    ) -> None:
        job = group.job
        group.estimate_start(running_task.percent, now)
        if (
            running_task.checkpoint
            and running_task.checkpoint != group.checkpoint
        ):
            group.checkpoint = running_task.checkpoint
            self._state.unpersisted_groups[group] = None
        if job.state == model.PENDING:
            job.state = model.RUNNING
            self._state.dirty_jobs[job.name] = None

    def _apply_refused(
        self, worker: fleet.Worker, refused: fleet.RefusedTask, now: float
    ) -> None:
        run = fleet.RunId(refused.task, refused.run)
        if run not in worker.allocations:
            if run in worker.pending_stops or run in worker.pending_starts:
                worker.release(run)
            return
        text = (
            f"{worker.name} refused to run {refused.task}: {refused.reason}."
        )
        self._state.queue_log_line(logs.Component.TASK, text)
        group = self._state.find_group(run)
        worker.release(run)
        if group is not None:
            if refused.reason == "ticket":
                self._state.advice.drop_ticket(group.step_name, worker.name)
            elif refused.reason != fleet.EVACUATED:
                group.avoid_worker(worker.name)
            self._jobs.release_task(group, run, worker, refused.reason, now)
        self._state.needs_placement = True

    def _apply_ended(
        self,
        worker: fleet.Worker,
        ended: fleet.EndedTask,
        now: float,
        wall_ms: int,
    ) -> None:
        run = fleet.RunId(ended.task, ended.run)
        if ended.number <= worker.acked:
            if run in worker.allocations:
                text = (
                    f"End {ended.number} of {worker.name} is ignored, as end"
                    f" {worker.acked} is recorded: {ended.task} run"
                    f" {ended.run}, {ended.outcome}."
                )
                self._state.queue_log_line(logs.Component.TASK, text)
            return
        group = (
            self._state.find_group(run) if run in worker.allocations else None
        )
        worker.release(run)
        if group is not None:
            text = (
                f"Task {ended.task} run {ended.run} on {worker.name}:"
                f" {ended.outcome}, end {ended.number}."
            )
            self._state.queue_log_line(logs.Component.TASK, text)
            self._apply_outcome(group, run, worker, ended, now, wall_ms)
        else:
            self._apply_late_end(run, worker, ended, now, wall_ms)
        newest = max(
            self._state.deferred.acks.get(worker.name, 0), ended.number
        )
        self._state.deferred.acks[worker.name] = newest
        self._state.needs_placement = True

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
            group.avoid_worker(worker.name)
            if worker.record_failure(ended.task, self._state.policy, now):
                text = f"Worker {worker.name} is set aside: it fails tasks."
                self._state.queue_log_line(logs.Component.MEMBER, text)
            self._state.quarantines.record(worker, now)
        self._jobs.release_task(group, run, worker, ended.outcome, now)
        self._jobs.enforce_attempt_limit(group, wall_ms)

    def _apply_late_end(
        self,
        run: fleet.RunId,
        worker: fleet.Worker,
        ended: fleet.EndedTask,
        now: float,
        wall_ms: int,
    ) -> None:
        """Apply an end of a run that has been given up, if its task is done.

        The worker drops the end once it is acknowledged, so it counts now.
        Another outcome may have been applied before its acknowledgement was
        lost, so it changes nothing.
        """
        group = self._state.find_task_group(run)
        if (
            group is None
            or group.phase == job_state.DONE
            or group.spec.long_running
            or ended.outcome != "done"
        ):
            return
        text = (
            f"Task {ended.task} run {ended.run} on {worker.name}, given up"
            f" before: done, end {ended.number}."
        )
        self._state.queue_log_line(logs.Component.TASK, text)
        self._jobs.finish_group(group, now, wall_ms)
        group.stop_reason = "done by a former run"
        self._state.order_group_stop(group)

    def _remove_older_incarnations(
        self, worker: fleet.Worker, now: float
    ) -> None:
        for name in [*self._state.workers]:
            other = self._state.workers[name]
            if other is worker or other.side != worker.side:
                continue
            if fleet.worker_id_of(name) == fleet.worker_id_of(worker.name):
                self._move_runs(other, worker)
            self._remove_worker(name, now, f"{worker.name} replaces it")

    def _move_runs(self, former: fleet.Worker, worker: fleet.Worker) -> None:
        """Stop the runs of a former incarnation at a worker of the same id.

        Its side has not reported the end, so it may not know of starts that
        are still on their way; the worker would carry them out.
        """
        for run, request in [*former.allocations.items()]:
            former.release(run)
            group = self._state.find_group(run)
            if group is None:
                worker.add_orphan(run, request)
                self._state.order_stop(worker, run)
                continue
            worker.allocate(run, request)
            index = group.index_of(run.task)
            group.assigned_workers[index] = worker.name
            self._state.dirty_jobs[group.job.name] = None
            self._state.order_stop(worker, run)
            if group.phase == job_state.ASSIGNED and not group.stop_reason:
                group.stop_reason = "restarted worker"
                self._state.order_group_stop(group)
        for run, request in [*former.orphans.items()]:
            former.release(run)
            worker.add_orphan(run, request)
            self._state.order_stop(worker, run)

    def _remove_worker(
        self, name: str, now: float, reason: str, outcome: str = "lost"
    ) -> None:
        """Remove a worker.

        :param outcome: what has become of its tasks.
        """
        worker = self._state.workers.pop(name, None)
        if worker is None:
            return
        self._state.silences.end(name)
        if not (worker.draining or worker.cordoned):
            self._state.departures.record_flap(worker.side, now)
        text = (
            f"Worker {name} is removed with {len(worker.allocations)} tasks:"
            f" {reason}."
        )
        self._state.queue_log_line(logs.Component.MEMBER, text)
        lost = [
            (run, self._state.find_group(run)) for run in worker.allocations
        ]
        for run, _ in lost:
            worker.release(run)
        # All members leave the worker before any group is queued again.
        for run, group in lost:
            if group is not None:
                group.assigned_workers[group.index_of(run.task)] = ""
        for run, group in lost:
            if group is not None:
                self._jobs.release_task(group, run, worker, outcome, now)
        self._state.needs_placement = True

    def check_workers(self, now: float) -> None:
        """Remove lost workers, stop stalled tasks, and drain workers."""
        contain = self._state.barrier.contain
        for worker in [*self._state.workers.values()]:
            with contain("worker check", worker.name):
                self._check_worker(worker, now)
        with contain("departures", "all workers"):
            workers = [*self._state.workers.values()]
            self._state.departures.observe(workers, now)
        self._state.quarantines.check(now)
        self._drain_workers(now)

    def _check_worker(self, worker: fleet.Worker, now: float) -> None:
        """Remove a lost worker, or stop what has stalled on it."""
        silent_s = now - worker.last_report_at
        lost_after_s = self._lost_after_s
        if not worker.has_reported:
            lost_after_s += self._log_outage_s
        if silent_s > lost_after_s:
            reason = f"no report for {silent_s:.1f} s"
            self._remove_worker(worker.name, now, reason)
            return
        self._state.silences.check(worker, now)
        self._stop_stalled(worker, now)

    def _stop_stalled(self, worker: fleet.Worker, now: float) -> None:
        """Stop groups with a stalled task, so that they are placed again."""
        if (
            not worker.is_connected
            or now - worker.last_report_at > MAX_REPORT_AGE_S
        ):
            return
        for run in [*worker.allocations]:
            if not worker.lists_all and run not in worker.listed:
                # It may have ended, and its end may not be listed yet.
                continue
            group = self._state.find_group(run)
            if group is None or group.phase != job_state.ASSIGNED:
                continue
            if not group.started_at or group.stop_reason:
                continue
            if group.spec.long_running or not group.spec.estimate_ms:
                continue
            stall_timeout_ms = (
                _STALL_TIMEOUT_MS
                + group.spec.estimate_ms // _STALL_ESTIMATE_DIVISOR
            )
            index = group.index_of(run.task)
            if group.is_stalled(index, worker.clock_ms, stall_timeout_ms):
                group.stop_reason = "stalled"
                group.avoid_worker(worker.name)
                self._state.dirty_jobs[group.job.name] = None
                text = f"{run.task} stands still on {worker.name}; it moves."
                self._state.queue_log_line(logs.Component.TASK, text)
                if worker.quarantine(self._state.policy.probation_s, now):
                    text = f"Worker {worker.name} is set aside: it stalls."
                    self._state.queue_log_line(logs.Component.MEMBER, text)
                self._state.quarantines.record(worker, now)
                self._state.order_group_stop(group)

    def _drain_workers(self, now: float) -> None:
        """Stop the groups on draining workers that should run on no more."""
        leaving: dict[job_state.Group, fleet.Worker] = {}
        for worker in self._state.workers.values():
            if not worker.draining:
                continue
            for run in worker.allocations:
                group = self._state.find_group(run)
                if group is None or group.stop_reason:
                    continue
                if group.phase != job_state.ASSIGNED:
                    continue
                first = leaving.setdefault(group, worker)
                if worker.drain_ends_at < first.drain_ends_at:
                    leaving[group] = worker
        for group, worker in leaving.items():
            with self._state.barrier.contain("drain", group.tasks[0]):
                self._drain_group(group, worker, now)

    def _drain_group(
        self, group: job_state.Group, worker: fleet.Worker, now: float
    ) -> None:
        """Stop a group if that is due before a worker of it leaves."""
        time_left_s = worker.drain_ends_at - now
        situation = draining.describe_situation(group, time_left_s, now)
        decision = draining.decide(situation)
        if decision.action != draining.STOPS:
            return
        group.stop_reason = "drained"
        text = (
            f"{group.tasks[0]} run {group.run} is stopped, as {worker.name}"
            f" drains and stays {time_left_s:.1f} s at least: at work for"
            f" {situation.at_work_s:.1f} s, about"
            f" {situation.remaining_s:.1f} s to go, chance to end"
            f" {decision.chance:.2f}."
        )
        self._state.queue_log_line(logs.Component.TASK, text)
        self._state.order_group_stop(group)
