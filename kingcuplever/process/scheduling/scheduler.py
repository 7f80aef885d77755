"""The owner's scheduler: decides which tasks start, stop and are complete.

Jobs whose state changed are returned as records by
:meth:`Scheduler.take_record_batch`.  Start orders for tasks, and
acknowledgements of ended tasks, are sent only after
:meth:`Scheduler.confirm_commit` says that those records are on the log.
"""

from typing import Final
from typing import NamedTuple

from kingcuplever.connection import keyed_log
from kingcuplever import containment
from kingcuplever import logs
from kingcuplever.process.scheduling import accounts
from kingcuplever.process.scheduling import advice
from kingcuplever.process.scheduling import bindings
from kingcuplever.process.scheduling import checkpoint_selector
from kingcuplever.process.scheduling import evacuations
from kingcuplever.process.scheduling import fleet
from kingcuplever.process.scheduling import host_speed
from kingcuplever.process.scheduling import interference
from kingcuplever.process.scheduling import interference_scorer
from kingcuplever.process.scheduling import job_state
from kingcuplever.process.scheduling import job_tracker
from kingcuplever.process.scheduling import maintenance
from kingcuplever.process.scheduling import model
from kingcuplever.process.scheduling import placer
from kingcuplever.process.scheduling import scheduler_state
from kingcuplever.process.scheduling import speed_scorer
from kingcuplever.process.scheduling import worker_tracker
from kingcuplever.process.stored import evidence_records
from kingcuplever.process.stored import host_records
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table
from kingcuplever.process.stored import quarantine_records
from kingcuplever.process.stored import silence_records

# Interval of the scan for timeouts, due occurrences and expired jobs.
_SCAN_PERIOD_S: Final = 0.25
# Least time between two log lines about the speeds of hosts.
_SPEEDS_LINE_PERIOD_S: Final = 10.0


class Timing(NamedTuple):
    """Timeouts and retention times of the scheduler, in seconds.

    :ivar lost_after_s: silence of a side after which no task can still run
        on its worker.
    :ivar ended_job_retention_s: how long callers can query an ended job.
    :ivar host_downtime_s: how long a host is down for its maintenance.
    :ivar log_outage_s: how long an owner permits sides to go on while the
        log does not confirm its ownership.  Its successor waits so much
        longer for a worker of which it has not heard at all.
    """

    lost_after_s: float
    ended_job_retention_s: float
    host_downtime_s: float = 0.0
    log_outage_s: float = 0.0


class RecordBatch(NamedTuple):
    """Records to append to the log in one batch.

    :ivar number: identifies the batch in :meth:`Scheduler.confirm_commit`.
    """

    number: int
    records: tuple[keyed_log.KeyedRecord, ...]


class Scheduler:
    """Schedules the jobs of one owner's term on the workers that report.

    :ivar maintenance: maintenance rounds of the workers' hosts.
    :ivar timing: its timeouts.
    """

    def __init__(self, timing: Timing) -> None:
        """Start without jobs and workers."""
        self.timing = timing
        self._ended_job_retention_s = timing.ended_job_retention_s
        self._state = scheduler_state.SchedulerState()
        self._jobs = job_tracker.JobTracker(self._state)
        self._workers = worker_tracker.WorkerTracker(
            self._state,
            self._jobs,
            timing.lost_after_s,
            timing.log_outage_s,
        )
        self._state.scorers += (
            speed_scorer.SpeedScorer(self._state),
            interference_scorer.InterferenceScorer(self._state),
        )
        self._placer = placer.Placer(self._state)
        self.maintenance = maintenance.Maintenance(
            self._state, timing.host_downtime_s
        )
        self._checkpoints = checkpoint_selector.CheckpointSelector(self._state)
        self._uncommitted: dict[int, scheduler_state.DeferredActions] = {}
        self._batch_number = 0
        self._next_scan_at = 0.0
        self._next_speeds_line_at = 0.0
        self._recorded_bindings: dict[
            bindings.AccountId, evidence_records.CellsBound
        ] = {}
        self._evidence: list[evidence_records.Row] = []

    @property
    def workers(self) -> dict[str, fleet.Worker]:
        """The workers, by name."""
        return self._state.workers

    @property
    def jobs(self) -> dict[str, job_state.Job]:
        """The jobs by name; an ended job stays until its record is written."""
        return self._state.jobs

    @property
    def accounts(self) -> accounts.Accounts:
        """The accounts that operators configured, and their cells."""
        return self._state.accounts

    @property
    def wait_reasons(self) -> dict[str, str]:
        """Why a group is not placed yet, by the name of its first task."""
        return self._placer.wait_reasons

    def explain_wait(self, task: str) -> str:
        """Return why a group waits, by its first task; empty if it is not.

        Names the evacuated data centres, which may be the cause.
        """
        reason = self._placer.wait_reasons.get(task, "")
        evacuated = ", ".join(self._state.evacuations.data_centres)
        if not reason or not evacuated:
            return reason
        return f"{reason}; evacuated: {evacuated}"

    @property
    def lost_work(self) -> dict[str, float]:
        """Core-seconds of work lost so far, by cause."""
        return self._state.lost_work

    @property
    def host_speeds(self) -> host_speed.HostSpeeds:
        """How fast the hosts of workers are, as far as it is learned."""
        return self._state.host_speeds

    @property
    def interference(self) -> interference.Interference:
        """Which kinds of tasks slow each other down, as far as it is seen."""
        return self._state.interference

    @property
    def crash_counts(self) -> dict[str, int]:
        """Crashes of workers so far, by what they prove about tasks."""
        return self._state.crash_counts

    def apply_report(
        self, status: fleet.WorkerStatus, now: float, wall_ms: int
    ) -> None:
        """Apply a side's status report about its worker."""
        self._state.wall_ms = wall_ms
        self._workers.apply_report(status, now, wall_ms)

    def next_advice_request(self) -> advice.AdviceRequest | None:
        """Return the next request to the queues' adviser, if any."""
        return self._state.advice.next_request()

    def apply_advice(
        self,
        request: advice.AdviceRequest,
        reply: advice.AdviceReply | None,
        now: float,
    ) -> None:
        """Apply the adviser's reply; None means that the request failed."""
        self._state.advice.apply_reply(request, reply, now)
        self._state.needs_placement = True

    def mark_side_disconnected(self, side: str) -> None:
        """Mark a side's worker as disconnected; its tasks may still run."""
        self._workers.mark_side_disconnected(side)

    def restore(
        self,
        table: job_table.JobTable,
        now: float,
        wall_ms: int,
        permitted_until: float | None = None,
    ) -> None:
        """Restore the jobs and maintenance rounds that the log has.

        :param permitted_until: monotonic time after which no former owner
            has permitted a side to act; by default the current time.
        """
        self._state.wall_ms = wall_ms
        self._state.permitted_until = (
            now if permitted_until is None else min(now, permitted_until)
        )
        self._state.start_warmup(now)
        stored = sorted(
            table.jobs.items(), key=lambda item: item[1].submit_offset
        )
        for name, job in stored:
            self._jobs.load_job(name, job, now, wall_ms)
        self._workers.restore_silences(table.silences)
        self._state.quarantines.restore(table.quarantines)
        contain = self._state.barrier.contain
        with contain("restore", "maintenance rounds"):
            self.maintenance.restore(table.rounds)
        with contain("restore", "host speeds"):
            self._state.host_speeds.restore(table.host_speeds, now)

    def set_policy(self, policy: model.Policy) -> None:
        """Apply a new version of the configuration."""
        self._state.policy = policy
        self._state.accounts.set_specs(policy.accounts)
        self._state.needs_placement = True

    @property
    def evacuation_view(self) -> evacuations.Evacuations:
        """The evacuated data centres."""
        return self._state.evacuations

    def set_evacuations(self, view: evacuations.Evacuations) -> None:
        """Apply newer evacuations of data centres; ignore older ones."""
        self._workers.set_evacuations(view)

    def warmup_left_s(self, now: float) -> float:
        """Return how long a new owner still waits for workers' reports."""
        return max(0.0, self._state.warmup_ends_at - now)

    def on_job_changed(
        self, name: str, stored: job_table.StoredJob, now: float, wall_ms: int
    ) -> None:
        """Apply a job that a caller has submitted or cancelled."""
        self._state.wall_ms = wall_ms
        if name not in self._state.jobs:
            if name not in self._state.ended_jobs:
                self._jobs.load_job(name, stored, now, wall_ms)
            return
        if stored.cancelled:
            with self._state.barrier.contain("cancellation", name):
                self._jobs.end_job(
                    self._state.jobs[name],
                    model.CANCELLED,
                    "cancelled",
                    wall_ms,
                )

    def tick(self, now: float, wall_ms: int) -> None:
        """Run the periodic scan if it is due, and place ready groups."""
        self._state.wall_ms = wall_ms
        contain = self._state.barrier.contain
        if now >= self._next_scan_at:
            self._next_scan_at = now + _SCAN_PERIOD_S
            self._jobs.open_due_occurrences(now, wall_ms)
            self._workers.check_workers(now)
            with contain("crash proofs", "all jobs"):
                self._workers.check_crash_proofs(now, wall_ms)
            with contain("cells", "all accounts"):
                self._rebind_cells(now)
            with contain("checkpoints", "all jobs"):
                self._checkpoints.mark_dirty(now)
            with contain("learned speeds", "all hosts"):
                self._refresh_learned(now)
            with contain("retention", "all jobs"):
                self._jobs.purge_ended_jobs(
                    self._ended_job_retention_s * 1000,
                    not self._uncommitted,
                    wall_ms,
                )
            self._state.needs_placement = True
        if self._state.needs_placement:
            self._state.needs_placement = False
            with contain("placement", "all jobs"):
                self._placer.place_all(now)

    def take_record_batch(
        self, most_bytes: int = keyed_log.USUAL_LIMITS.record_bytes
    ) -> RecordBatch | None:
        """Return the records to append next, or None if there are none.

        Jobs with new starts come last, since a part of the records may be
        all that gets to the log: what has ended must not miss there.

        :param most_bytes: longest record that the log takes.
        """
        deferred = self._state.deferred
        silences = self._state.silences.take_changes()
        if not (self._state.dirty_jobs or self._state.purged_jobs or silences):
            if deferred.acks or deferred.evidence or deferred.ended_workers:
                # The ended tasks changed no job, so nothing has to be appended
                # before they are acknowledged.
                self._release_effects(deferred)
                self._state.deferred = scheduler_state.DeferredActions()
            return None
        records: list[keyed_log.KeyedRecord] = []
        starting = {group.job.name for group, _ in deferred.starts}
        unrecorded: set[str] = set()
        for name in sorted(self._state.dirty_jobs, key=starting.__contains__):
            job = self._state.jobs.get(name)
            if job is None:
                continue
            with self._state.barrier.contain("record", name) as recording:
                records.append(
                    job_records.encode_progress(job.to_record(), most_bytes)
                )
                for group in job.groups():
                    group.mark_persisted()
            if recording.has_failed:
                unrecorded.add(name)
        # Nothing of a job starts that a successor could not know of.
        deferred.starts = [
            start
            for start in deferred.starts
            if start[0].job.name not in unrecorded
        ]
        for name in self._state.purged_jobs:
            records.extend(job_records.make_tombstones(name))
        for name, silent_ms in silences.items():
            if silent_ms is None:
                records.append(silence_records.make_tombstone(name))
                deferred.ended_silences.append(name)
            else:
                silence = silence_records.Silence(name, silent_ms)
                records.append(silence_records.encode_silence(silence))
        records += self._take_host_records()
        records += self._take_quarantine_records()
        self._state.dirty_jobs.clear()
        self._state.purged_jobs.clear()
        self._state.deferred = scheduler_state.DeferredActions()
        if not records:
            # All jobs that changed are gone: nothing can be appended before.
            self._release_effects(deferred)
            return None
        self._batch_number += 1
        self._uncommitted[self._batch_number] = deferred
        return RecordBatch(self._batch_number, tuple(records))

    def list_silent_workers(self, now: float) -> list[str]:
        """Return the workers with tasks that have not reported for long."""
        return self._workers.list_silent(now)

    def remove_gone_worker(self, name: str, now: float) -> None:
        """Remove a silent worker that is surely gone; its tasks start anew."""
        self._workers.remove_gone(name, now)

    def is_silence_recorded(self, worker: str) -> bool:
        """Return whether a successor may count a worker's silence."""
        return self._state.silences.is_recorded(worker)

    def is_end_recorded(self, worker: str) -> bool:
        """Return whether the log has all that a worker's end led to."""
        return worker not in self._state.unrecorded_ends

    def confirm_commit(self, number: int) -> None:
        """Carry out the actions deferred until a batch was on the log."""
        self._release_effects(self._uncommitted.pop(number))

    def record_evidence(self, body: evidence_records.Body) -> None:
        """Queue evidence of a decision made outside of the scheduler."""
        self._state.record_evidence(body)

    def take_evidence(self) -> list[evidence_records.Row]:
        """Return and clear the evidence whose records are on the log."""
        evidence, self._evidence = self._evidence, []
        return evidence

    def take_contained_errors(self) -> list[containment.ContainedError]:
        """Return and clear the errors that were contained."""
        taken = [*self._state.contained_errors]
        self._state.contained_errors.clear()
        return taken

    def take_log_lines(self) -> list[scheduler_state.LogLine]:
        """Return and clear the queued log lines."""
        log_lines, self._state.log_lines = self._state.log_lines, []
        return log_lines

    def _refresh_learned(self, now: float) -> None:
        """Order the hosts by their speed, and log what is known."""
        speeds = self._state.host_speeds
        if not speeds.is_refresh_due(now):
            return
        present = {worker.side for worker in self._state.workers.values()}
        speeds.refresh(present, now)
        neighbours = self._state.interference
        neighbours.forget_absent(self._state.workers)
        if speeds.comparisons and now >= self._next_speeds_line_at:
            self._next_speeds_line_at = now + _SPEEDS_LINE_PERIOD_S
            text = speeds.describe(self._state.wall_ms)
            self._state.queue_log_line(logs.Component.MEMBER, text)
            text = neighbours.describe(now)
            self._state.queue_log_line(logs.Component.TASK, text)

    def _take_host_records(self) -> list[keyed_log.KeyedRecord]:
        """Return records of what was learned of hosts, if any are due.

        They go along with records that are written anyway.
        """
        changes = self._state.host_speeds.take_changes()
        return [
            (
                host_records.make_tombstone(host)
                if estimate is None
                else host_records.encode_speed(host, estimate)
            )
            for host, estimate in changes
        ]

    def _take_quarantine_records(self) -> list[keyed_log.KeyedRecord]:
        """Return the records of quarantines that have begun or ended.

        One begins with the end or the stop of a run, which is recorded.
        """
        changes = self._state.quarantines.take_changes()
        return [
            (
                quarantine_records.make_tombstone(worker)
                if left_ms is None
                else quarantine_records.encode_quarantine(
                    quarantine_records.Quarantine(worker, left_ms)
                )
            )
            for worker, left_ms in changes.items()
        ]

    def _rebind_cells(self, now: float) -> None:
        """Bind cells for the guarantees, and record bindings that changed."""
        known_accounts = self._state.accounts
        staying = [
            worker
            for worker in self._state.workers.values()
            if worker.has_reported
            and not worker.draining
            and not worker.is_evacuated
        ]
        known_accounts.rebind(
            [w for w in staying if now >= w.quarantined_until],
            [w for w in staying if now < w.quarantined_until],
        )
        if self.warmup_left_s(now):
            return
        for spec in known_accounts.specs():
            account = bindings.account_id(spec)
            cells = [
                cell
                for shape in known_accounts.bindings.shapes_of(account)
                for cell in shape.cells
            ]
            bound = evidence_records.CellsBound(
                *account,
                tuple(cell.worker for cell in cells),
                tuple(cell.gpus for cell in cells),
                known_accounts.bindings.count_missing(account),
            )
            if self._recorded_bindings.get(account) != bound:
                self._recorded_bindings[account] = bound
                self._state.record_evidence(bound)
                text = (
                    f"{account[0]} in {account[1]} has {len(cells)} cells,"
                    f" {bound.missing} missing."
                )
                self._state.queue_log_line(logs.Component.PLACE, text)

    def _drop_start(self, group: job_state.Group) -> None:
        """Free what a run holds that is not ordered, as its job is gone."""
        for index, name in enumerate(group.assigned_workers):
            worker = self._state.workers.get(name)
            if worker is not None:
                worker.release(fleet.RunId(group.tasks[index], group.run))
        self._state.needs_placement = True

    def _release_effects(
        self, deferred: scheduler_state.DeferredActions
    ) -> None:
        """Release a batch's evidence, start orders and acknowledgements."""
        self._evidence += deferred.evidence
        self._state.unrecorded_ends.difference_update(deferred.ended_workers)
        for name in deferred.ended_silences:
            self._state.silences.confirm_dropped(name)
        for group, run_number in deferred.starts:
            with self._state.barrier.contain("start", group.tasks[0]):
                self._release_start(group, run_number)
        for name, number in deferred.acks.items():
            worker = self._state.workers.get(name)
            if worker is not None and number > worker.acked:
                worker.acked = number
                worker.orders_changed = True

    def _release_start(self, group: job_state.Group, run_number: int) -> None:
        """Order the start of a run whose record is on the log."""
        if group.run != run_number or group.phase != job_state.ASSIGNED:
            return
        if self._state.jobs.get(group.job.name) is not group.job:
            self._drop_start(group)
            return
        if group.stop_reason:
            return
        for index, name in enumerate(group.assigned_workers):
            if name:
                run = fleet.RunId(group.tasks[index], group.run)
                self._state.order_start(self._state.workers[name], group, run)
